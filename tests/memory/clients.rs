//! The kinds of clients, and what became of their requests.

use crate::support::{Client as Connection, Message};
use fastrand::Rng;
use std::fmt;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The time that clients give each request.
const DEADLINE: Duration = Duration::from_secs(3);
/// How far after its time an answer may come before it counts as late.
const LATE_SLACK: Duration = Duration::from_millis(500);
/// The body of a usual request, and that of its answer.
const USUAL_BYTES: usize = 212;

/// What a client does.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Sends a short request, reads its answer, and rests for 40 ms.
    Usual,
    /// Sends requests with a body of this length, `at_once` in one write, reads the answers, and goes on.
    Sender { body: usize, at_once: usize, answer: usize, wait_ms: u64 },
    /// Sends this much of a request and no more, until the balancer ends the connection.
    Halting { sent: usize },
    /// Sends a head of very many short fields, until the balancer ends the connection.
    ManyFields { fields: usize },
    /// Sends this much of a request of 32 MB and no more, until the balancer ends the connection.
    HaltingLong { sent: usize },
    /// Reads its answers slowly.
    SlowReader { answer: usize, bytes_per_second: usize },
    /// Asks for readiness at full speed, and reads nothing.
    ReadyFlood,
    /// Sends requests at full speed, and reads nothing.
    UnreadAnswers { answer: usize },
    /// Sends a request and closes the connection.
    Leaver { body: usize },
    /// Sends like a sender for half a second, then rests for as long, all clients together.
    Bursts { body: usize, answer: usize },
    /// Sends requests that some upstreams end without an answer, so that they are sent again.
    Retried { body: usize },
}

/// What became of the requests of some clients.
#[derive(Default)]
pub struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    late: AtomicUsize,
    unanswered: AtomicUsize,
}

impl Counts {
    fn record(&self, answer: Option<&Message>, took: Duration) {
        let status = answer.map(Message::status);
        let counter = match status {
            Some(200) => &self.served,
            Some(503) => &self.refused,
            Some(_) => &self.failed,
            None => &self.unanswered,
        };
        counter.fetch_add(1, Relaxed);
        if took > DEADLINE + LATE_SLACK {
            self.late.fetch_add(1, Relaxed);
        }
    }

    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Relaxed)
    }

    pub fn late(&self) -> usize {
        self.late.load(Relaxed)
    }

    pub fn served_share(&self) -> f64 {
        self.served.load(Relaxed) as f64 / self.sent.load(Relaxed).max(1) as f64
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let get = |c: &AtomicUsize| c.load(Relaxed);
        write!(
            f,
            "{} sent, {} served, {} refused, {} failed, {} late, {} unanswered",
            get(&self.sent),
            get(&self.served),
            get(&self.refused),
            get(&self.failed),
            get(&self.late),
            get(&self.unanswered)
        )
    }
}

/// The length that the longest requests state.
const LONGEST_REQUEST: usize = 32 << 20;

/// The number of the next request, over all clients.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A keyed request with this body, whose answer is to have this length. `extra` is added to the query.
fn request(body: usize, answer: usize, extra: &str) -> Vec<u8> {
    let number = NEXT_REQUEST.fetch_add(1, Relaxed);
    let mut bytes = request_head(number, body, answer, extra).into_bytes();
    bytes.resize(bytes.len() + body, b'b');
    bytes
}

/// The head of a keyed request.
fn request_head(number: u64, body: usize, answer: usize, extra: &str) -> String {
    format!(
        "POST /book?len={answer}{extra} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: m{number}\r\nReq-Owner: acme\r\n\
         Req-Deadline: {}\r\nIdempotency-Key: k{number}\r\nContent-Length: {body}\r\n\r\n",
        DEADLINE.as_secs()
    )
}

/// One client.
pub struct Client {
    pub address: SocketAddr,
    pub kind: Kind,
    pub counts: Arc<Counts>,
    pub stop: Arc<AtomicBool>,
    pub seed: u64,
}

impl Client {
    /// A kind drawn by `rng`.
    pub fn draw(rng: &mut Rng, longest_body: usize, longest_answer: usize) -> Kind {
        let body = rng.usize(100..=longest_body);
        let longest = [4 << 10, 64 << 10, longest_answer][rng.usize(..3)];
        let answer = rng.usize(100..=longest);
        match rng.usize(..9) {
            0 => Kind::Sender { body, at_once: 1, answer: 200, wait_ms: rng.u64(..500) },
            1 => Kind::Sender { body: body / 4, at_once: rng.usize(2..24), answer: 200, wait_ms: 50 },
            2 => Kind::Sender { body: 200, at_once: 1, answer, wait_ms: rng.u64(..100) },
            3 => Kind::Halting { sent: body },
            4 => Kind::SlowReader { answer, bytes_per_second: rng.usize(1 << 10..128 << 10) },
            5 => Kind::UnreadAnswers { answer: answer / 8 },
            6 => Kind::Leaver { body },
            7 => Kind::Bursts { body, answer: answer / 4 },
            _ => Kind::Retried { body },
        }
    }

    /// Goes on until it is told to stop.
    pub fn run(&self) {
        let mut rng = Rng::with_seed(self.seed);
        let mut connection = None;
        while !self.stop.load(Relaxed) {
            let is_new = connection.is_none();
            let Some(open) = connection.take().or_else(|| Connection::connect(self.address)) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            connection = self.turn(open, is_new, &mut rng);
        }
    }

    /// Does what the kind does once; returns the connection if it stays open.
    fn turn(&self, mut connection: Connection, is_new: bool, rng: &mut Rng) -> Option<Connection> {
        match self.kind {
            Kind::Usual => {
                thread::sleep(Duration::from_millis(40));
                self.exchange(connection, is_new, &request(USUAL_BYTES, USUAL_BYTES, "&wait=20"), 1)
            }
            Kind::Sender { body, at_once, answer, wait_ms } => {
                let one = || request(body, answer, &format!("&wait={wait_ms}"));
                let bytes: Vec<u8> = (0..at_once).flat_map(|_| one()).collect();
                self.exchange(connection, is_new, &bytes, at_once)
            }
            Kind::Bursts { body, answer } => {
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
                if now.subsec_millis() >= 500 {
                    thread::sleep(Duration::from_millis(u64::from(1000 - now.subsec_millis())));
                }
                self.exchange(connection, is_new, &request(body, answer, "&wait=50"), 1)
            }
            Kind::Retried { body } => {
                let extra = if rng.u8(..10) < 3 { "&reset=1" } else { "&wait=30" };
                self.exchange(connection, is_new, &request(body, 200, extra), 1)
            }
            Kind::Halting { sent } => {
                let bytes = request(sent + 1, 0, "");
                let _ = connection.stream.write_all(&bytes[..bytes.len() - 1]);
                connection.read_answer();
                None
            }
            Kind::ManyFields { fields } => {
                let lines: String = (0..fields).map(|n| format!("a{n}: b\r\n")).collect();
                let _ = connection.stream.write_all(b"GET /look HTTP/1.1\r\nHost: x\r\n");
                let _ = connection.stream.write_all(lines.as_bytes());
                connection.read_answer();
                None
            }
            Kind::HaltingLong { sent } => {
                let number = NEXT_REQUEST.fetch_add(1, Relaxed);
                let head = request_head(number, LONGEST_REQUEST, 0, "");
                let _ = connection.stream.write_all(head.as_bytes());
                let _ = connection.stream.write_all(&vec![b'b'; sent]);
                connection.read_answer();
                None
            }
            Kind::SlowReader { answer, bytes_per_second } => {
                let _ = connection.stream.write_all(&request(100, answer, ""));
                self.read_slowly(connection, bytes_per_second);
                None
            }
            Kind::ReadyFlood => {
                let bytes = crate::support::READY_REQUEST.repeat(200);
                self.write_without_reading(connection, bytes.as_bytes())
            }
            Kind::UnreadAnswers { answer } => {
                self.write_without_reading(connection, &request(100, answer, ""))
            }
            Kind::Leaver { body } => {
                let _ = connection.stream.write_all(&request(body, 200, "&wait=400"));
                thread::sleep(Duration::from_millis(rng.u64(..50)));
                None
            }
        }
    }

    /// Sends some requests and reads their answers; returns the connection if it stays open.
    fn exchange(
        &self,
        mut connection: Connection,
        is_new: bool,
        bytes: &[u8],
        count: usize,
    ) -> Option<Connection> {
        let sent_at = Instant::now();
        // A balancer that answers before it has read all may reset the connection; the answer counts.
        let _ = connection.stream.write_all(bytes);
        for done in 0..count {
            let answer = connection.read_answer();
            let is_last = answer.as_ref().is_none_or(|a| a.header("connection") == Some("close"));
            // The time of a request behind another counts from when the answer before it was given.
            let took = if done == 0 { sent_at.elapsed() } else { Duration::ZERO };
            // What follows an answer that ends the connection was not taken, nor what crosses the end of a
            // connection that was between requests.
            if answer.is_some() || (done == 0 && is_new) {
                self.counts.sent.fetch_add(1, Relaxed);
                self.counts.record(answer.as_ref(), took);
            }
            if is_last {
                return None;
            }
        }
        Some(connection)
    }

    /// Reads at this rate for three seconds.
    fn read_slowly(&self, mut connection: Connection, bytes_per_second: usize) {
        const STEPS_PER_SECOND: usize = 20;
        let mut piece = vec![0; bytes_per_second / STEPS_PER_SECOND + 1];
        for _ in 0..3 * STEPS_PER_SECOND {
            if !matches!(connection.stream.read(&mut piece), Ok(1..)) || self.stop.load(Relaxed) {
                return;
            }
            thread::sleep(Duration::from_secs(1) / STEPS_PER_SECOND as u32);
        }
    }

    /// Writes for as long as the balancer takes it, half a second without progress at the most.
    fn write_without_reading(&self, mut connection: Connection, bytes: &[u8]) -> Option<Connection> {
        connection.stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        connection.stream.write_all(bytes).ok().map(|()| connection)
    }
}
