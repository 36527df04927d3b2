//! A client that reads an answer at a given pace and tells whether it came whole.

use crate::upstream::body_byte;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for the next byte.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its framing: the length, or the last chunk.
    Whole,
    /// The connection ended in order, and the framing says that the body ends there.
    Closed,
    /// The connection ended before the end that the framing states, or by a reset.
    Cut,
}

/// An answer as a client has seen it.
#[derive(Debug)]
pub struct Seen {
    pub status: u16,
    /// The header lines, in lower case.
    pub head: String,
    /// The number of body bytes, without the framing.
    pub body_bytes: usize,
    /// Whether each body byte was the one that the upstream has written at its position.
    pub is_unchanged: bool,
    pub end: End,
    /// When the first byte and the last byte came, from when the request was sent.
    pub first_byte_after: Duration,
    pub ended_after: Duration,
}

impl Seen {
    /// Whether the whole body of this length came unchanged.
    pub fn is_whole(&self, length: usize) -> bool {
        self.status == 200 && self.end != End::Cut && self.body_bytes == length && self.is_unchanged
    }
}

/// How a client reads.
#[derive(Clone, Copy)]
pub struct Pace {
    pub piece: usize,
    pub pause: Duration,
}

/// Reads at full speed.
pub const FULL_SPEED: Pace = Pace { piece: 256 << 10, pause: Duration::ZERO };

/// The bytes of a connection that are not used yet, and its state.
struct Input<'a> {
    stream: &'a TcpStream,
    pace: Pace,
    bytes: Vec<u8>,
    /// Whether the peer has ended its sending; `Some(true)`: by a reset or by falling silent.
    ended: Option<bool>,
    sent_at: Instant,
    first_byte_after: Option<Duration>,
}

impl Input<'_> {
    /// Reads once; returns whether anything came.
    fn fill(&mut self) -> bool {
        let mut piece = vec![0; self.pace.piece];
        thread::sleep(self.pace.pause);
        match self.stream.read(&mut piece) {
            Ok(0) => self.ended = Some(false),
            Err(_) => self.ended = Some(true),
            Ok(n) => {
                self.first_byte_after.get_or_insert(self.sent_at.elapsed());
                self.bytes.extend_from_slice(&piece[..n]);
            }
        }
        self.ended.is_none()
    }

    /// Takes the bytes up to and including `end`; `None` if the connection ends before.
    fn take_through(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.bytes.windows(end.len()).position(|w| w == end) {
                return Some(self.bytes.drain(..at + end.len()).collect());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Takes between one and `max` bytes; `None` if the connection ends before.
    fn take_some(&mut self, max: usize) -> Option<Vec<u8>> {
        if self.bytes.is_empty() && !self.fill() {
            return None;
        }
        let count = self.bytes.len().min(max);
        Some(self.bytes.drain(..count).collect())
    }
}

/// The body as far as it has come.
struct Body {
    bytes: usize,
    is_unchanged: bool,
}

impl Body {
    fn push(&mut self, bytes: &[u8]) {
        self.is_unchanged &= bytes.iter().enumerate().all(|(i, &b)| b == body_byte(self.bytes + i));
        self.bytes += bytes.len();
    }

    /// Reads the next `count` bytes; returns whether they came.
    fn read(&mut self, input: &mut Input<'_>, count: usize) -> bool {
        let mut missing = count;
        while missing > 0 {
            let Some(bytes) = input.take_some(missing) else { return false };
            missing -= bytes.len();
            self.push(&bytes);
        }
        true
    }

    /// Reads to the end that the head states.
    fn read_to_end(&mut self, input: &mut Input<'_>, head: &str) -> End {
        let whole_if = |is_whole| if is_whole { End::Whole } else { End::Cut };
        let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
        if let Some(length) = length {
            return whole_if(self.read(input, length.trim().parse().unwrap()));
        }
        if head.contains("transfer-encoding: chunked") {
            return whole_if(self.read_chunks(input).is_some());
        }
        while let Some(bytes) = input.take_some(usize::MAX) {
            self.push(&bytes);
        }
        if input.ended == Some(false) {
            End::Closed
        } else {
            End::Cut
        }
    }

    /// Reads chunks up to the last one and its trailers; `None` if they do not come.
    fn read_chunks(&mut self, input: &mut Input<'_>) -> Option<()> {
        loop {
            let line = input.take_through(b"\r\n")?;
            let size = usize::from_str_radix(std::str::from_utf8(&line).unwrap().trim(), 16).unwrap();
            if size > 0 && !self.read(input, size) {
                return None;
            }
            let after = input.take_through(b"\r\n")?;
            assert_eq!(after, b"\r\n", "behind a chunk");
            if size == 0 {
                return Some(());
            }
        }
    }
}

/// Sends a request on an open connection, and reads its answer at this pace.
pub fn request_on(mut stream: &TcpStream, request: &str, pace: Pace) -> Option<Seen> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let sent_at = Instant::now();
    stream.write_all(request.as_bytes()).ok()?;
    let mut input = Input { stream, pace, bytes: Vec::new(), ended: None, sent_at, first_byte_after: None };
    let head = input.take_through(b"\r\n\r\n")?;
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let mut body = Body { bytes: 0, is_unchanged: true };
    let end = body.read_to_end(&mut input, &head);
    Some(Seen {
        status,
        head,
        body_bytes: body.bytes,
        is_unchanged: body.is_unchanged,
        end,
        first_byte_after: input.first_byte_after.unwrap(),
        ended_after: sent_at.elapsed(),
    })
}

/// Sends a request on a new connection, and reads its answer at this pace.
pub fn request(address: SocketAddr, request: &str, pace: Pace) -> Option<Seen> {
    request_on(&TcpStream::connect(address).ok()?, request, pace)
}
