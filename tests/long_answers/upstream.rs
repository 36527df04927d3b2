//! An upstream that writes a long answer at a given pace, and tells how its connection ended.

use crate::support::Message;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How the end of an answer's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    UntilClose,
}

pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];

/// What follows the part of the body that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The end of the body.
    Whole,
    /// The connection is reset.
    Reset,
    /// Nothing: the connection stays open.
    Silence,
}

/// An answer, and the pace at which it is written.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub framing: Framing,
    /// The length that the head states, where it states one.
    pub length: usize,
    /// How much of the body is written.
    pub written: usize,
    /// The bytes of one write, and the pause after it.
    pub piece: usize,
    pub pause: Duration,
    /// The time before the head.
    pub delay: Duration,
    /// How much of the body is written with the head, and the pause after it.
    pub opening: usize,
    pub body_delay: Duration,
    pub ending: Ending,
}

impl Answer {
    /// A whole answer that is written at full speed.
    pub fn whole(framing: Framing, length: usize) -> Answer {
        Answer {
            framing,
            length,
            written: length,
            piece: 256 << 10,
            pause: Duration::ZERO,
            delay: Duration::ZERO,
            opening: 0,
            body_delay: Duration::ZERO,
            ending: Ending::Whole,
        }
    }

    /// The same answer, written in pieces of this length with this pause after each.
    pub fn paced(self, piece: usize, pause: Duration) -> Answer {
        Answer { piece, pause, ..self }
    }
}

/// The byte of an answer's body at this position.
pub fn body_byte(position: usize) -> u8 {
    (position % 251) as u8
}

/// The upstream's address, and what it has seen.
pub struct LongUpstream {
    pub address: SocketAddr,
    /// The number of attempts that were read whole.
    pub attempts: Arc<AtomicUsize>,
    /// The number of answers that could not be written to their end.
    pub cut_off: Arc<AtomicUsize>,
    /// The number of connections that were accepted.
    pub connections: Arc<AtomicUsize>,
}

impl LongUpstream {
    /// Starts an upstream that gives each request the answer that `choose` returns for it.
    pub fn start(choose: impl Fn(&Message) -> Answer + Send + Sync + 'static) -> LongUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = LongUpstream {
            address,
            attempts: Arc::default(),
            cut_off: Arc::default(),
            connections: Arc::default(),
        };
        let connections = upstream.connections.clone();
        let (attempts, cut_off, choose) =
            (upstream.attempts.clone(), upstream.cut_off.clone(), Arc::new(choose));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let (attempts, cut_off, choose) = (attempts.clone(), cut_off.clone(), choose.clone());
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = Message::read(&mut input) {
                        attempts.fetch_add(1, Ordering::SeqCst);
                        let answer = choose(&request);
                        if write_answer(&stream, &answer).is_err() {
                            cut_off.fetch_add(1, Ordering::SeqCst);
                            return;
                        }
                        if answer.ending != Ending::Whole || answer.framing == Framing::UntilClose {
                            return end(stream, answer.ending);
                        }
                    }
                });
            }
        });
        upstream
    }

    pub fn attempts(&self) -> usize {
        self.attempts.load(Ordering::SeqCst)
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn cut_off(&self) -> usize {
        self.cut_off.load(Ordering::SeqCst)
    }
}

/// Ends a connection as the answer says.
fn end(mut stream: TcpStream, ending: Ending) {
    match ending {
        Ending::Whole => {}
        Ending::Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
        Ending::Silence => drop(stream.read_to_end(&mut Vec::new())),
    }
}

/// Writes an answer at its pace.
fn write_answer(mut stream: &TcpStream, answer: &Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    thread::sleep(answer.delay);
    let framing = match answer.framing {
        Framing::Length => format!("Content-Length: {}\r\n", answer.length),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_string(),
        Framing::UntilClose => "Connection: close\r\n".to_string(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}X-Long: yes\r\n\r\n").as_bytes())?;
    if answer.opening > 0 {
        write_piece(stream, answer.framing, 0..answer.opening)?;
    }
    thread::sleep(answer.body_delay);
    let mut position = answer.opening;
    while position < answer.written {
        let end = (position + answer.piece).min(answer.written);
        write_piece(stream, answer.framing, position..end)?;
        position = end;
        thread::sleep(answer.pause);
    }
    if answer.framing == Framing::Chunked && answer.ending == Ending::Whole {
        stream.write_all(b"0\r\nX-Trailer: yes\r\n\r\n")?;
    }
    Ok(())
}

/// Writes the bytes of a body at these positions.
fn write_piece(mut stream: &TcpStream, framing: Framing, positions: Range<usize>) -> std::io::Result<()> {
    let piece: Vec<u8> = positions.map(body_byte).collect();
    if framing != Framing::Chunked {
        return stream.write_all(&piece);
    }
    stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
    stream.write_all(&piece)?;
    stream.write_all(b"\r\n")
}
