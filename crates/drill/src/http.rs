//! One HTTP call and its answer, within a bounded time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest answer that is read, in bytes.
const MOST: usize = 32 << 20;

/// Status and body of `GET path`. `Err`: no whole answer came in time, and why.
pub fn get(address: SocketAddr, path: &str, patience: Duration) -> Result<(u16, String), String> {
    call(address, "GET", path, patience)
}

/// The same with another method and no body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    patience: Duration,
) -> Result<(u16, String), String> {
    let end = Instant::now() + patience;
    let left = || Some(end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)));
    let told = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, patience).map_err(told)?;
    stream.set_write_timeout(left()).map_err(told)?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
        .map_err(told)?;
    let (mut answer, mut part) = (Vec::new(), [0; 16 << 10]);
    loop {
        if answer.len() > MOST || Instant::now() >= end {
            return Err("no whole answer in time".into());
        }
        stream.set_read_timeout(left()).map_err(told)?;
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(n) => answer.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(&answer) {
        Ok(httparse::Status::Complete(n)) => {
            let body = String::from_utf8(answer[n..].to_vec()).map_err(|e| e.to_string())?;
            Ok((head.code.unwrap_or(0), body))
        }
        _ => Err("the connection ended without a whole answer".into()),
    }
}
