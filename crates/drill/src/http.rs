//! A blocking HTTP client for single calls with an overall time-out.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest response that is read, in bytes with its head.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Returns the status and the body of `GET path`. `Err` says why no complete response came within `timeout`.
pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> Result<(u16, String), String> {
    call(address, "GET", path, timeout)
}

/// Sends a request with this method and no body, and returns the response like [`get`].
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let deadline = Instant::now() + timeout;
    let remaining = || Some(deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)));
    let to_text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(to_text)?;
    stream.set_write_timeout(remaining()).map_err(to_text)?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
        .map_err(to_text)?;
    let (mut response, mut buffer) = (Vec::new(), [0; 16 << 10]);
    loop {
        if response.len() > MAX_RESPONSE_BYTES || Instant::now() >= deadline {
            return Err("no complete response in time, or one of more than 32 MiB".into());
        }
        stream.set_read_timeout(remaining()).map_err(to_text)?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => response.extend_from_slice(&buffer[..length]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(&response) {
        Ok(httparse::Status::Complete(length)) => {
            let body = String::from_utf8(response[length..].to_vec()).map_err(|e| e.to_string())?;
            Ok((head.code.unwrap_or(0), body))
        }
        _ => Err("the connection closed before a complete, well-formed response".into()),
    }
}
