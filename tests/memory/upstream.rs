//! An upstream that keeps nothing of what it is sent, and answers as the query of the request says.

use crate::support::Message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The part of an answer that is written at a time.
const PIECE_BYTES: usize = 32 << 10;

/// Starts an upstream and returns its address.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// The number that the query gives a name.
fn number(request: &Message, name: &str) -> Option<u64> {
    let target = request.start_line.split(' ').nth(1)?;
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Answers the requests of one connection. `wait`: milliseconds before the answer; `len`: the length of its
/// body; `reset=1`: instead of an answer, the connection ends.
fn serve(mut stream: TcpStream) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut input) {
        thread::sleep(Duration::from_millis(number(&request, "wait").unwrap_or(0)));
        if number(&request, "reset") == Some(1) {
            return;
        }
        let length = number(&request, "len").unwrap_or(0) as usize;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let body = vec![b'a'; length];
        let pieces = std::iter::once(head.as_bytes()).chain(body.chunks(PIECE_BYTES));
        for piece in pieces {
            if stream.write_all(piece).is_err() {
                return;
            }
        }
    }
}
