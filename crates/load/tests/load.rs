//! Tests of the load generator against services with known faults.

use garnettally_load::mix::Mix;
use garnettally_load::run::{run, Load, Mode};
use garnettally_load::schedule::Phase;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a service that sends `response(n)` in response to request n, counted from 0; `None`: no response.
fn service(response: impl Fn(u64) -> Option<Vec<u8>> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (response, n) = (Arc::new(response), Arc::new(AtomicU64::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (response, n) = (response.clone(), n.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let (mut output, mut line) = (stream, String::new());
                while input.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if line == "\r\n" {
                        if let Some(bytes) = response(n.fetch_add(1, Ordering::SeqCst)) {
                            if output.write_all(&bytes).is_err() {
                                return;
                            }
                        }
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

fn ok() -> Option<Vec<u8>> {
    Some(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".to_vec())
}

fn load(address: SocketAddr, mode: Mode) -> Load {
    Load {
        address,
        host: "test".into(),
        mix: Mix::single_get("/"),
        mode,
        connections: 50,
        backlog: 10_000,
        timeout: Duration::from_millis(500),
        seed: 4,
    }
}

fn open(rate: f64, ms: u64) -> Mode {
    Mode::Open(vec![Phase { from: rate, to: rate, lasts: Duration::from_millis(ms) }])
}

#[test]
fn every_request_gets_exactly_one_response() {
    let report = run(load(service(|_| ok()), open(400.0, 1_000)), |_| true).unwrap();
    assert!(report.every_request_ended_once() && report.all.ok == report.all.meant, "{}", report.text());
    assert!((300..500).contains(&report.all.meant), "{}", report.text());
    let report =
        run(load(service(|_| ok()), Mode::Closed { clients: 5, lasts: Duration::from_millis(300) }), |_| {
            true
        })
        .unwrap();
    assert!(
        report.every_request_ended_once() && report.all.ok == report.all.meant && report.connections == 5,
        "{}",
        report.text()
    );
}

#[test]
fn each_outcome_of_a_request_is_counted_separately() {
    let bytes = |text: &str| Some(text.as_bytes().to_vec());
    let address = service(move |n| match n % 6 {
        0 => ok(),
        1 => bytes("HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
        2 => bytes("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"),
        3 => bytes("HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"),
        4 => bytes("what is this\r\n\r\n"),
        _ => None,
    });
    let mut settings = load(address, open(120.0, 1_000));
    settings.connections = 200;
    let report = run(settings, |_| true).unwrap();
    assert!(report.every_request_ended_once(), "{}", report.text());
    let all = &report.all;
    for n in [all.ok, all.refused, all.rejected, all.failed, all.broken, all.timed_out] {
        assert!(n > 0 && n.abs_diff(all.meant / 6) <= 1, "{}", report.text());
    }
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let report = run(load(unused, open(100.0, 200)), |_| true).unwrap();
    assert!(report.every_request_ended_once() && report.all.broken == report.all.meant, "{}", report.text());
}

#[test]
fn a_second_response_to_one_request_is_detected() {
    let twice = |n: u64| ok().map(|one| if n == 5 { one.repeat(2) } else { one });
    let report = run(load(service(twice), open(100.0, 500)), |_| true).unwrap();
    assert_eq!((report.unasked, report.every_request_ended_once()), (1, false), "{}", report.text());
}

/// Guards against coordinated omission: a stall of the service must count for all requests that were meant to
/// be sent during it, and not only for the one that was in flight.
#[test]
fn a_stall_counts_for_all_requests_that_were_meant_to_be_sent_during_it() {
    let start = Instant::now();
    let stall = Duration::from_millis(400)..Duration::from_millis(800);
    let address = service(move |_| {
        let at = start.elapsed();
        if stall.contains(&at) {
            thread::sleep(stall.end - at);
        }
        ok()
    });
    let mut settings = load(address, open(200.0, 1_000));
    (settings.connections, settings.timeout) = (1, Duration::from_secs(5));
    let report = run(settings, |_| true).unwrap();
    assert!(report.all.ok == report.all.meant, "{}", report.text());
    // One request of about 200 was in flight during the stall; four in ten were meant to be sent during it,
    // and waited for the rest of it.
    assert!(report.all.latency.p90_ms > 100.0, "{}", report.text());
    assert!(report.service_time.p90_ms < report.all.latency.p90_ms / 2.0, "{}", report.text());
}
