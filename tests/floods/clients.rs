//! The usual clients, and those that send at full speed.

use crate::support::{look_request, Client, READY_REQUEST};
use std::fmt;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time that a usual client gives each request, in seconds.
const DEADLINE_S: f64 = 1.05;
/// How far after its time an answer may come: 20 ms by the settings and 50 ms of every limit on sockets.
const LATE_SLACK: Duration = Duration::from_millis(70);
/// How long a usual client rests after an answer.
const REST: Duration = Duration::from_millis(40);

/// What became of one usual request: whether the process was flooded when it was sent, how long its answer took,
/// and its status, if any.
struct UsualOutcome {
    is_flooded: bool,
    took: Duration,
    status: Option<u16>,
}

/// What became of the usual requests.
#[derive(Default)]
pub struct UsualOutcomes(Mutex<Vec<UsualOutcome>>);

/// The figures of a part of the play.
#[derive(Debug)]
pub struct Figures {
    pub completed: usize,
    pub late: usize,
    pub unanswered: usize,
    /// Answered otherwise than with 200.
    pub not_served: usize,
    pub median: Duration,
    pub slowest_hundredth: Duration,
    pub longest: Duration,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} completed, {} late, {} unanswered, {} not served, median {:?}, p99 {:?}, longest {:?}",
            self.completed,
            self.late,
            self.unanswered,
            self.not_served,
            self.median,
            self.slowest_hundredth,
            self.longest
        )
    }
}

impl Figures {
    fn new<'a>(outcomes: impl Iterator<Item = &'a UsualOutcome>) -> Figures {
        let outcomes: Vec<&UsualOutcome> = outcomes.collect();
        let mut times: Vec<Duration> = outcomes.iter().map(|o| o.took).collect();
        times.sort();
        let at = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or_default();
        let due = Duration::from_secs_f64(DEADLINE_S) + LATE_SLACK;
        let count = |is: &dyn Fn(&UsualOutcome) -> bool| outcomes.iter().filter(|o| is(o)).count();
        Figures {
            completed: count(&|o| o.status == Some(200) && o.took <= due),
            late: count(&|o| o.took > due),
            unanswered: count(&|o| o.status.is_none()),
            not_served: count(&|o| o.status.is_some_and(|s| s != 200)),
            median: at(0.5),
            slowest_hundredth: at(0.99),
            longest: times.last().copied().unwrap_or_default(),
        }
    }
}

impl UsualOutcomes {
    /// The figures of the requests sent while the other process was flooded, and while this one was.
    pub fn by_flood(&self) -> (Figures, Figures) {
        let all = self.0.lock().unwrap();
        let quiet = Figures::new(all.iter().filter(|o| !o.is_flooded));
        (quiet, Figures::new(all.iter().filter(|o| o.is_flooded)))
    }
}

/// A client that sends one request at a time, on a connection that it keeps.
pub struct UsualClient {
    pub address: SocketAddr,
    pub number: usize,
    pub outcomes: Arc<UsualOutcomes>,
    pub is_flooded: Arc<AtomicBool>,
    pub stop: Arc<AtomicBool>,
}

impl UsualClient {
    /// Goes on until it is told to stop.
    pub fn run(&self) {
        let mut kept: Option<Client> = None;
        // The clients begin at different times.
        thread::sleep(REST * self.number as u32 / 24);
        while !self.stop.load(Relaxed) {
            thread::sleep(REST);
            let is_new = kept.is_none();
            let Some(mut client) = kept.take().or_else(|| Client::connect(self.address)) else { continue };
            let (sent_at, is_flooded) = (Instant::now(), self.is_flooded.load(Relaxed));
            let written = client.stream.write_all(look_request(&DEADLINE_S.to_string()).as_bytes());
            let answer = written.ok().and_then(|()| client.read_answer());
            let took = sent_at.elapsed();
            // A close between requests may cross the next request on a connection that was kept.
            if answer.is_none() && !is_new && took < REST {
                continue;
            }
            let status = answer.as_ref().map(|a| a.status());
            self.outcomes.0.lock().unwrap().push(UsualOutcome { is_flooded, took, status });
            if answer.is_some_and(|a| a.header("connection") != Some("close")) {
                kept = Some(client);
            }
        }
    }
}

/// What is sent at full speed.
#[derive(Clone, Copy, Debug)]
pub enum Flood {
    /// `GET /ready`, this many in each write, over and over on one connection.
    Ready { at_once: usize },
    /// Requests of a class that does not exist, which end their connection, on ever new connections.
    UnknownClass { at_once: usize },
    /// Connections that are opened and closed, with nothing sent.
    Connections,
}

/// A client that sends at full speed and reads whatever it is sent.
pub struct Flooder {
    pub address: SocketAddr,
    /// The address of the other process.
    pub other_address: SocketAddr,
    pub flood: Flood,
    /// Whether the flood goes to `address` now, rather than to the other process.
    pub is_flooded: Arc<AtomicBool>,
    pub stop: Arc<AtomicBool>,
}

impl Flooder {
    /// Goes on until it is told to stop.
    pub fn run(&self) {
        while !self.stop.load(Relaxed) {
            let is_flooded = self.is_flooded.load(Relaxed);
            let address = if is_flooded { self.address } else { self.other_address };
            let Ok(stream) = TcpStream::connect(address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            match self.flood {
                Flood::Ready { at_once } => {
                    self.send_and_read(stream, &READY_REQUEST.repeat(at_once), is_flooded);
                }
                Flood::UnknownClass { at_once } => {
                    let one = "GET /nowhere HTTP/1.1\r\nHost: x\r\nReq-Id: x\r\nReq-Deadline: 1\r\n\r\n";
                    self.send_and_read(stream, &one.repeat(at_once), is_flooded);
                }
                Flood::Connections => {}
            }
        }
    }

    /// Writes the bytes over and over while another thread reads the answers, until the connection ends or the
    /// flood goes elsewhere.
    fn send_and_read(&self, mut output: TcpStream, bytes: &str, is_flooded: bool) {
        output.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
        output.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        let mut input = output.try_clone().unwrap();
        let stop = self.stop.clone();
        let reader = thread::spawn(move || {
            let mut piece = vec![0; 64 << 10];
            while !stop.load(Relaxed) && matches!(input.read(&mut piece), Ok(1..)) {}
        });
        let goes_on = || !self.stop.load(Relaxed) && self.is_flooded.load(Relaxed) == is_flooded;
        while goes_on() && output.write_all(bytes.as_bytes()).is_ok() {}
        let _ = output.shutdown(Shutdown::Both);
        let _ = reader.join();
    }
}

/// How many requests a client sends that reads late.
pub const LATE_READ_REQUESTS: usize = 60_000;

/// Sends requests in one go on a connection with a small receive buffer, rests, then reads the answers in small
/// pieces; returns how many came until nothing did for a second.
pub fn read_late(address: SocketAddr, rest: Duration) -> usize {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut input = TcpStream::from(socket);
    input.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut output = input.try_clone().unwrap();
    let writer = thread::spawn(move || output.write_all(READY_REQUEST.repeat(LATE_READ_REQUESTS).as_bytes()));
    thread::sleep(rest);
    let (mut piece, mut answers, mut line_bytes) = ([0; 16 << 10], 0, 0);
    while let Ok(count @ 1..) = input.read(&mut piece) {
        // An answer ends with the only empty line that it has.
        for byte in &piece[..count] {
            match byte {
                b'\n' if line_bytes == 1 => (answers, line_bytes) = (answers + 1, 0),
                b'\n' => line_bytes = 0,
                _ => line_bytes += 1,
            }
        }
        if answers == LATE_READ_REQUESTS {
            break;
        }
    }
    let _ = input.shutdown(Shutdown::Both);
    let _ = writer.join();
    answers
}
