//! The load generator against services that misbehave in known ways.

use garnettally_load::mix::Mix;
use garnettally_load::run::{run, Load, Mode};
use garnettally_load::schedule::Phase;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A service that answers the nth request as told; `None`: not at all.
fn service(answer: impl Fn(u64) -> Option<Vec<u8>> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (answer, n) = (Arc::new(answer), Arc::new(AtomicU64::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, n) = (answer.clone(), n.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let (mut output, mut line) = (stream, String::new());
                while input.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if line == "\r\n" {
                        if let Some(bytes) = answer(n.fetch_add(1, Ordering::SeqCst)) {
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
        mix: Mix::plain("/"),
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
fn every_request_gets_one_answer() {
    let r = run(load(service(|_| ok()), open(400.0, 1_000)), |_| true).unwrap();
    assert!(r.one_answer_each() && r.all.ok == r.all.meant, "{}", r.text());
    assert!((300..500).contains(&r.all.meant), "{}", r.text());
    let r =
        run(load(service(|_| ok()), Mode::Closed { clients: 5, lasts: Duration::from_millis(300) }), |_| {
            true
        })
        .unwrap();
    assert!(r.one_answer_each() && r.all.ok == r.all.meant && r.connections == 5, "{}", r.text());
}

#[test]
fn each_way_to_end_is_counted_as_what_it_is() {
    let bytes = |text: &str| Some(text.as_bytes().to_vec());
    let address = service(move |n| match n % 6 {
        0 => ok(),
        1 => bytes("HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
        2 => bytes("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"),
        3 => bytes("HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"),
        4 => bytes("what is this\r\n\r\n"),
        _ => None,
    });
    let mut l = load(address, open(120.0, 1_000));
    l.connections = 200;
    let r = run(l, |_| true).unwrap();
    assert!(r.one_answer_each(), "{}", r.text());
    let a = &r.all;
    for n in [a.ok, a.refused, a.rejected, a.failed, a.broken, a.timed_out] {
        assert!(n > 0 && n.abs_diff(a.meant / 6) <= 1, "{}", r.text());
    }
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let r = run(load(nobody, open(100.0, 200)), |_| true).unwrap();
    assert!(r.one_answer_each() && r.all.broken == r.all.meant, "{}", r.text());
}

#[test]
fn a_second_answer_to_one_request_is_found() {
    let twice = |n: u64| ok().map(|one| if n == 5 { one.repeat(2) } else { one });
    let r = run(load(service(twice), open(100.0, 500)), |_| true).unwrap();
    assert_eq!((r.unasked, r.one_answer_each()), (1, false), "{}", r.text());
}

/// A service that stalls once must not look good because it was asked for less meanwhile.
#[test]
fn a_stall_counts_for_all_that_were_meant_during_it() {
    let start = Instant::now();
    let stall = Duration::from_millis(400)..Duration::from_millis(800);
    let address = service(move |_| {
        let at = start.elapsed();
        if stall.contains(&at) {
            thread::sleep(stall.end - at);
        }
        ok()
    });
    let mut l = load(address, open(200.0, 1_000));
    (l.connections, l.timeout) = (1, Duration::from_secs(5));
    let r = run(l, |_| true).unwrap();
    assert!(r.all.ok == r.all.meant, "{}", r.text());
    // One request of some 200 met the stall; four in ten were meant during it, and waited for what was left of it.
    assert!(r.all.latency.p90_ms > 100.0, "{}", r.text());
    assert!(r.service_time.p90_ms < r.all.latency.p90_ms / 2.0, "{}", r.text());
}
