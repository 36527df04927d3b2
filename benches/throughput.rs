//! What the whole program carries with one route of an operator's file, against the same program on the platform's
//! configuration with a resolution of 0: interleaved slices in one run, the median of their ratios.
//!
//! `cargo bench --bench throughput -- [slices] [connections]`; 15 slices of 1 s each and 16 connections by default.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n0123456789012345678901234567890123456789012345678901234567890123";

/// A node that answers every head it reads.
fn node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let mut output = stream;
                let mut line = String::new();
                while input.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if line == "\r\n" && output.write_all(ANSWER).is_err() {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

struct Program {
    child: Child,
    address: SocketAddr,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(text: &str, name: &str, platform: bool) -> Program {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let path = std::env::temp_dir().join(format!("garnettally-bench-{}-{name}", std::process::id()));
    std::fs::write(&path, text.replace("LISTEN", &address.to_string())).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnettally"));
    match platform {
        true => command.env("GW_CONFIG", &path),
        false => command.env_remove("GW_CONFIG").arg("serve").arg(&path),
    };
    let child = command.stderr(Stdio::null()).spawn().unwrap();
    let program = Program { child, address };
    let end = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < end, "it does not start");
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(500)); // its list is told
    let _ = std::fs::remove_file(path);
    program
}

/// Requests that so many clients, one after another each, get answered in a time.
fn carried(address: SocketAddr, connections: usize, time: Duration) -> f64 {
    let (done, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let start = Instant::now();
    let clients: Vec<_> = (0..connections)
        .map(|c| {
            let (done, count) = (done.clone(), count.clone());
            thread::spawn(move || {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_nodelay(true).unwrap();
                stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let mut output = stream;
                let (mut line, mut body, mut n) = (String::new(), [0; 64], 0u64);
                while !done.load(Ordering::Relaxed) {
                    n += 1;
                    let request = format!(
                        "GET /look/part HTTP/1.1\r\nHost: app.test\r\nReq-Id: {c:x}-{n:x}-{address}\r\nReq-Owner: acme\r\nReq-Deadline: 1.5\r\n\r\n"
                    );
                    output.write_all(request.as_bytes()).unwrap();
                    line.clear();
                    input.read_line(&mut line).unwrap();
                    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
                    while line != "\r\n" {
                        line.clear();
                        input.read_line(&mut line).unwrap();
                    }
                    input.read_exact(&mut body).unwrap();
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    thread::sleep(time);
    done.store(true, Ordering::Relaxed);
    let rate = count.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
    clients.into_iter().for_each(|c| c.join().unwrap());
    rate
}

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|a| a.parse::<usize>().ok());
    let (slices, connections) = (numbers.next().unwrap_or(15), numbers.next().unwrap_or(16));
    let node = node();
    let platform = include_str!("../deploy/example.json")
        .replace("127.0.0.1:9000", "LISTEN")
        .replace("127.0.0.1:9101", &node.to_string())
        .replace("\"ResolutionUs\": 5000", "\"ResolutionUs\": 0")
        .replace("\"QuotaRps\": 100.0", "\"QuotaRps\": 1e9");
    let operator = format!(
        "version = 1\n[listeners.a]\naddress = \"LISTEN\"\n[classes.look]\nrepeat = \"safe\"\naim = \"600ms\"\n\
         deadline = \"1500ms\"\n[tenants.acme]\n[pools.p]\nattempts = 5\nnodes = [{{ name = \"s-1\", address = \"{node}\" }}]\n\
         [[routes]]\nname = \"all\"\npath_prefix = \"/\"\nclass = \"look\"\npool = \"p\"\ntenant = {{ header = \"Req-Owner\" }}\n"
    );
    let (platform, operator) = (start(&platform, "platform", true), start(&operator, "operator", false));
    let slice = Duration::from_secs(1);
    carried(platform.address, connections, slice);
    carried(operator.address, connections, slice);
    let mut pairs: Vec<(f64, f64)> = (0..slices)
        .map(|_| {
            (carried(platform.address, connections, slice), carried(operator.address, connections, slice))
        })
        .collect();
    pairs.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let (first, median, last) = (pairs[0], pairs[slices / 2], pairs[slices - 1]);
    println!(
        "one route against the platform's configuration, {connections} connections, {slices} slices: {:.3} of it \
         ({:.0} to {:.0} requests a second); {:.3} to {:.3}",
        median.1 / median.0, median.1, median.0, first.1 / first.0, last.1 / last.0
    );
}
