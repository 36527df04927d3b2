//! Requests with long bodies: their clients get the final answer in time, whatever their server does.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};
use support::{book_request, host_entry, Balancer, Discovery, Message};

/// The client's time for a request, and how far after it an answer may come.
const CLIENT_TIME: Duration = Duration::from_millis(1_200);
const LATE_SLACK: Duration = Duration::from_millis(70);

/// Starts an upstream that reads requests at this rate, on connections whose buffers hold little, and answers
/// with the length of the body that it has read.
fn start_slow_reader(bytes_per_second: usize) -> SocketAddr {
    const STEP: Duration = Duration::from_millis(50);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_recv_buffer_size(8 << 10).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut input = BufReader::with_capacity(1 << 10, stream.try_clone().unwrap());
                let mut length = 0;
                loop {
                    let mut line = String::new();
                    if !matches!(input.read_line(&mut line), Ok(1..)) {
                        return;
                    }
                    if let Some(value) = line.to_lowercase().strip_prefix("content-length: ") {
                        length = value.trim().parse().unwrap();
                    }
                    if line == "\r\n" {
                        break;
                    }
                }
                let mut piece = vec![0; bytes_per_second / 20];
                let mut read = 0;
                while read < length {
                    let wanted = piece.len().min(length - read);
                    if input.read_exact(&mut piece[..wanted]).is_err() {
                        return;
                    }
                    read += wanted;
                    thread::sleep(STEP);
                }
                let body = read.to_string();
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            });
        }
    });
    address
}

/// Sends a request with a body of this length by way of the program; returns the answer and its time.
fn ask(upstream: SocketAddr, length: usize, deadline: &str) -> (Option<Message>, Duration) {
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s0", upstream, 0, "SERVING")]);
    let mut client = balancer.connect();
    let sent_at = Instant::now();
    // A balancer that answers before it has read all may reset the connection; the answer counts.
    let _ = client.stream.write_all(book_request(deadline, &"b".repeat(length)).as_bytes());
    let written_after = sent_at.elapsed();
    let answer = client.read_answer();
    (answer, sent_at.elapsed() - written_after)
}

#[test]
fn a_request_that_its_server_reads_slowly_gets_its_final_answer_in_time() {
    let (answer, took) = ask(start_slow_reader(20_000), 60_000, "1.2");
    assert!(matches!(answer.expect("an answer").status(), 502 | 503));
    assert!(took < CLIENT_TIME + LATE_SLACK, "{took:?}");
}

#[test]
fn a_request_of_3_megabytes_passes_through() {
    let (answer, _) = ask(start_slow_reader(100_000_000), 3_000_000, "5");
    let answer = answer.expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"3000000"[..]));
}
