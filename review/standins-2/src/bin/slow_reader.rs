//! A client that reads a long answer slowly.

use review_standins_2::*;
use std::io::{self, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

/// The answer's body, and how fast the client reads.
const BODY: usize = 900_000;
const BYTES_A_SECOND: f64 = 64_000.0;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with segments and a window as on an Ethernet with a slow link behind: loopback's segments of
/// 64 KiB would let the kernel take some MB that nobody reads.
fn connect_slowly(address: SocketAddr) -> io::Result<std::net::TcpStream> {
    let SocketAddr::V4(v4) = address else { return Err(io::ErrorKind::InvalidInput.into()) };
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&2u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    let (segment, window) = (1460i32, 8 * 1024i32);
    // SAFETY: the socket is new and its own; all pointers are to values that outlive the calls.
    unsafe {
        let s = socket(2, 1, 0);
        if s < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = std::net::TcpStream::from_raw_fd(s);
        if setsockopt(s, 6, 2, &segment, 4) != 0
            || setsockopt(s, 1, 8, &window, 4) != 0
            || connect(s, raw.as_ptr(), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let node_record = record.clone();
        let node = start_server(move |request| {
            let body: Vec<u8> = (0..BODY).map(|i| b'a' + (i % 23) as u8).collect();
            node_record
                .note(format!("node: {} has run, its answer has {BODY} bytes", request.header("req-id")));
            (200, body)
        })?;
        let listen = free_address()?;
        let text = format!(
            r#"version = 1
name = "edge-1"

[listeners.public]
address = "{listen}"

[classes.report]
repeat = "never"
aim = "20s"
deadline = "1m"

[pools.web]
nodes = [{{ name = "web-1", address = "{node}" }}]

[[routes]]
name = "reports"
path_prefix = "/reports"
class = "report"
pool = "web"
"#
        );
        let balancer = Balancer::serve(case, "edge-1", &text)?;
        wait_until_ready(listen)?;
        let mut stream = connect_slowly(listen).map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(|e| e.to_string())?;
        let headers = [("Req-Id", "report-1".to_string()), ("Req-Deadline", "60.000".to_string())];
        stream.write_all(&request_bytes("POST", "/reports/1", &headers, "x")).map_err(|e| e.to_string())?;
        record.note("client: report-1 is sent");
        let started = Instant::now();
        let (mut got, mut piece) = (Vec::new(), [0u8; 3200]);
        let mut input = BufReader::with_capacity(3200, stream);
        let (mut noted, mut end) = (0, "the whole answer".to_string());
        let mut wanted = usize::MAX;
        while got.len() < wanted {
            match input.read(&mut piece) {
                Ok(0) => {
                    end = "the end of the connection".into();
                    break;
                }
                Ok(n) => got.extend_from_slice(&piece[..n]),
                Err(e) => {
                    end = format!("an error: {e}");
                    break;
                }
            }
            if wanted == usize::MAX {
                if let Some(at) = got.windows(4).position(|w| w == b"\r\n\r\n") {
                    record.note(format!(
                        "client: the head is there: {:?}",
                        String::from_utf8_lossy(&got[..at])
                    ));
                    wanted = at + 4 + BODY;
                }
            }
            if got.len() / 100_000 > noted {
                noted = got.len() / 100_000;
                record.note(format!("client: {} bytes are read", got.len()));
            }
            if case.trouble {
                let due = Duration::from_secs_f64(got.len() as f64 / BYTES_A_SECOND);
                thread::sleep(due.saturating_sub(started.elapsed()));
            }
        }
        record.note(format!("client: {} of {wanted} bytes, then {end}", got.len()));
        let served = got.starts_with(b"HTTP/1.1 200 ");
        let body_at = wanted.saturating_sub(BODY);
        let whole = got.len() >= wanted
            && got[body_at..wanted].iter().enumerate().all(|(i, &b)| b == b'a' + (i % 23) as u8);
        if let Some(tail) = got.windows(12).position(|w| w.starts_with(b"HTTP/1.1 408")) {
            record.note(format!("client: a second answer begins inside the body at byte {tail}"));
        }
        record.note(format!("the balancer says: {}", balancer.log_text().lines().last().unwrap_or("")));
        drop(balancer);
        Ok(served && whole)
    })
}
