//! Runs a load: sends its requests and reads the responses, on one event loop.

use crate::answer::{self, Response};
use crate::mix::Mix;
use crate::report::{Outcomes, Percentiles, Report, MAX_SCHEDULE_DELAY};
use crate::schedule::{Phase, Schedule};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode as Trigger, PostAction, RegistrationToken};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// When requests are sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    /// An open loop: requests are sent at their intended times, whether or not earlier ones have ended.
    Open(Vec<Phase>),
    /// A closed loop: each client sends its next request when the one before has ended.
    Closed {
        /// The number of clients.
        clients: usize,
        /// For how long new requests are sent.
        lasts: Duration,
    },
}

/// The settings of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The address of the service.
    pub address: SocketAddr,
    /// The value of the `Host` header.
    pub host: String,
    /// The mix of requests that is sent.
    pub mix: Mix,
    /// When requests are sent.
    pub mode: Mode,
    /// The largest number of connections. Requests beyond them wait, and their latency includes the wait.
    pub connections: usize,
    /// The largest number of requests that wait for a connection; any beyond count as unsent.
    pub backlog: usize,
    /// The time within which a complete response must come.
    pub timeout: Duration,
    /// The seed of the schedule, of the mix, and of ids and keys.
    pub seed: u64,
}

/// The progress of a load in the last second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// The time since the start.
    pub elapsed: Duration,
    /// Requests that were meant to be sent in the last second.
    pub meant: u64,
    /// Good responses in the last second.
    pub ok: u64,
    /// Refusals, 429 or 503, in the last second.
    pub refused: u64,
    /// Other outcomes in the last second.
    pub bad: u64,
    /// Requests in flight now.
    pub in_flight: usize,
    /// The median time of the good responses in the last second, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of these times, in milliseconds.
    pub p99_ms: f64,
}

/// A request in flight.
struct RequestInFlight {
    /// The index of the request's kind in the mix.
    kind: usize,
    /// When the request was meant to be sent.
    meant: Instant,
    /// When the request was sent.
    sent: Instant,
    /// Whether the method is HEAD, so that the response has no body.
    is_head: bool,
    /// The number of the request in this run; a time-out of an earlier request does not apply to it.
    number: u64,
}

struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// The request in flight or the last one, as bytes, of which the first `written` are sent.
    output: Vec<u8>,
    written: usize,
    /// Received bytes that belong to no complete response yet.
    input: Vec<u8>,
    request: Option<RequestInFlight>,
}

/// How a request ended.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    /// A complete response with this status came.
    Status(u16),
    /// No complete response came within the time-out.
    TimedOut,
    /// The connection could not be opened, broke, or brought a malformed response.
    Broken,
    /// The request was never sent, since the backlog was full.
    Unsent,
}

/// The state of a running load.
struct LoadRun {
    load: Load,
    handle: LoopHandle<'static, LoadRun>,
    connections: FxHashMap<u64, Connection>,
    /// The ids of connections without a request in flight.
    idle: Vec<u64>,
    /// The intended times of requests that wait for a connection.
    backlog: VecDeque<Instant>,
    /// When requests time out, the earliest first: the time, the connection's id, the request's number.
    deadlines: BinaryHeap<Reverse<(Instant, u64, u64)>>,
    rng: ChaCha8Rng,
    /// A number computed from the seed, which makes ids and keys differ between runs.
    run_id: u64,
    /// The id of the connection opened last.
    last_connection: u64,
    /// The number of the request sent last.
    last_request: u64,
    /// The outcomes and the latencies in microseconds, by kind.
    by_kind: Vec<(Outcomes, Histogram<u64>)>,
    /// The outcomes and the latencies in microseconds, of all requests.
    all: (Outcomes, Histogram<u64>),
    /// The times of good responses from the actual sending, in microseconds.
    service_times: Histogram<u64>,
    opened: u64,
    /// The number of times that bytes came without a request in flight, or behind a response.
    unasked: u64,
    /// The longest delay of the generator behind its schedule.
    schedule_delay: Duration,
    /// Whether new requests are still sent.
    sending: bool,
    /// The progress and the latencies of the current second.
    second: (Progress, Histogram<u64>),
    read_buffer: Vec<u8>,
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to one hour, with three significant figures: the bounds are always valid.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// Runs a load. `show` gets the progress once a second; the run ends early if it returns false.
pub fn run(load: Load, mut show: impl FnMut(&Progress) -> bool) -> io::Result<Report> {
    let mut events: EventLoop<'static, LoadRun> = EventLoop::try_new().map_err(io::Error::other)?;
    let outcomes = |name: &str| (Outcomes { name: name.into(), ..Outcomes::default() }, histogram());
    let mut state = LoadRun {
        rng: ChaCha8Rng::seed_from_u64(load.seed),
        run_id: load.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32,
        by_kind: load.mix.requests.iter().map(|k| outcomes(&k.name)).collect(),
        all: outcomes("all"),
        service_times: histogram(),
        handle: events.handle(),
        connections: FxHashMap::default(),
        idle: Vec::new(),
        backlog: VecDeque::new(),
        deadlines: BinaryHeap::new(),
        last_connection: 0,
        last_request: 0,
        opened: 0,
        unasked: 0,
        schedule_delay: Duration::ZERO,
        sending: true,
        second: (Progress::default(), histogram()),
        read_buffer: vec![0; 64 << 10],
        load,
    };
    let start = Instant::now();
    let (mut schedule, lasts) = match &state.load.mode {
        Mode::Open(phases) => {
            let schedule = Schedule::new(phases.clone(), state.load.seed);
            let lasts = schedule.lasts();
            (Some(schedule), lasts)
        }
        Mode::Closed { lasts, .. } => (None, *lasts),
    };
    let mut meant = schedule.as_mut().and_then(Iterator::next).map(|t| start + t);
    if let Mode::Closed { clients, .. } = state.load.mode {
        (0..clients).for_each(|_| state.submit(start));
    }
    let mut tick = start + Duration::from_secs(1);
    loop {
        let now = Instant::now();
        while let Some(at) = meant.filter(|at| *at <= now && state.sending) {
            state.schedule_delay = state.schedule_delay.max(now.saturating_duration_since(at));
            state.submit(at);
            meant = schedule.as_mut().and_then(Iterator::next).map(|t| start + t);
        }
        state.expire(now);
        if now >= tick {
            tick += Duration::from_secs(1);
            let (counts, histogram) = &mut state.second;
            let times = Percentiles::from_histogram(histogram);
            let progress = Progress {
                elapsed: now - start,
                in_flight: state.connections.len() - state.idle.len(),
                p50_ms: times.p50_ms,
                p99_ms: times.p99_ms,
                ..*counts
            };
            (*counts, _) = (Progress::default(), histogram.reset());
            if !show(&progress) {
                state.sending = false;
            }
        }
        if now >= start + lasts {
            state.sending = false;
        }
        let in_flight = state.connections.len() > state.idle.len() || !state.backlog.is_empty();
        if !state.sending && !in_flight {
            break;
        }
        let wakes = [
            meant.filter(|_| state.sending),
            state.deadlines.peek().map(|d| d.0 .0),
            Some(tick),
            state.sending.then_some(start + lasts),
        ];
        let wake = wakes.into_iter().flatten().min().map(|at| at.saturating_duration_since(Instant::now()));
        events.dispatch(wake, &mut state).map_err(io::Error::other)?;
    }
    Ok(state.report(start.elapsed()))
}

impl LoadRun {
    /// Sends a request that was meant for this time, or queues it until a connection is free.
    fn submit(&mut self, meant: Instant) {
        self.all.0.meant += 1;
        self.second.0.meant += 1;
        if self.backlog.len() >= self.load.backlog {
            return self.count_outcome(None, Outcome::Unsent, meant, meant);
        }
        self.backlog.push_back(meant);
        self.send_backlog();
    }

    /// Sends the requests of the backlog on idle or new connections, as far as there are any.
    fn send_backlog(&mut self) {
        while let Some(&meant) = self.backlog.front() {
            let id = match self.idle.pop() {
                Some(id) => id,
                None if self.connections.len() < self.load.connections => match self.connect() {
                    Ok(id) => id,
                    Err(_) => {
                        self.backlog.pop_front();
                        self.count_outcome(None, Outcome::Broken, meant, meant);
                        continue;
                    }
                },
                None => return,
            };
            self.backlog.pop_front();
            self.send(id, meant);
        }
    }

    fn connect(&mut self) -> io::Result<u64> {
        // A blocking connect delays the schedule: on loopback it returns at once, and elsewhere the time it
        // takes counts towards the request's time-out.
        let stream =
            TcpStream::connect_timeout(&self.load.address, self.load.timeout.min(Duration::from_secs(1)))?;
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        self.last_connection += 1;
        let id = self.last_connection;
        let source = Generic::new(stream.clone(), Interest::BOTH, Trigger::Edge);
        let token = self.handle.insert_source(source, move |_, _, state: &mut LoadRun| {
            state.connection_ready(id);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error))?;
        self.opened += 1;
        let connection =
            Connection { stream, token, output: Vec::new(), written: 0, input: Vec::new(), request: None };
        self.connections.insert(id, connection);
        Ok(id)
    }

    fn send(&mut self, id: u64, meant: Instant) {
        self.last_request += 1;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.output.clear();
        connection.written = 0;
        let kind = self.load.mix.write_request(
            self.last_request,
            self.run_id,
            &self.load.host,
            &mut self.rng,
            &mut connection.output,
        );
        let sent = Instant::now();
        let is_head = self.load.mix.requests[kind].method == "HEAD";
        connection.request = Some(RequestInFlight { kind, meant, sent, is_head, number: self.last_request });
        self.by_kind[kind].0.meant += 1;
        self.deadlines.push(Reverse((meant.max(sent) + self.load.timeout, id, self.last_request)));
        // The request is only written here: reading the response here too would recurse once for each
        // response that is there at once. The event loop reports a broken connection.
        let _ = flush(connection);
    }

    /// Handles an event of a connection: writes what is left of its request, and reads.
    fn connection_ready(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let mut broken = !flush(connection);
        let mut ended = false;
        loop {
            match (&*connection.stream).read(&mut self.read_buffer) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => connection.input.extend_from_slice(&self.read_buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    (ended, broken) = (true, true);
                    break;
                }
            }
        }
        let Some(request) = &connection.request else {
            // Without a request in flight only the end of the connection may come.
            self.unasked += u64::from(!connection.input.is_empty());
            if ended || !connection.input.is_empty() {
                self.close(id);
            }
            return;
        };
        match answer::parse_response(&connection.input, ended && !broken, request.is_head) {
            Ok(Some(response)) if !connection.input.is_empty() => self.response_received(id, response, ended),
            Ok(_) if !ended && !broken => {}
            _ => self.end_request(id, Outcome::Broken, false),
        }
    }

    fn response_received(&mut self, id: u64, response: Response, ended: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.input.drain(..response.length);
        // Bytes behind the response are a second response to one request, which the generator has to detect.
        let extra = !connection.input.is_empty();
        let request_written = connection.written == connection.output.len();
        self.unasked += u64::from(extra);
        self.end_request(
            id,
            Outcome::Status(response.status),
            response.keep_alive && !ended && !extra && request_written,
        );
    }

    /// Ends the request of a connection, which is reused if `keep_alive` and else closed; then sends the next
    /// one.
    fn end_request(&mut self, id: u64, outcome: Outcome, keep_alive: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(request) = connection.request.take() else { return };
        if keep_alive {
            self.idle.push(id);
        } else {
            self.close(id);
        }
        self.count_outcome(Some(request.kind), outcome, request.meant, request.sent);
        if self.sending && matches!(self.load.mode, Mode::Closed { .. }) {
            self.submit(Instant::now());
        } else {
            self.send_backlog();
        }
    }

    fn close(&mut self, id: u64) {
        self.idle.retain(|&i| i != id);
        if let Some(connection) = self.connections.remove(&id) {
            self.handle.remove(connection.token);
        }
    }

    /// Counts the outcome of a request, of which the kind is unknown if it was never written.
    fn count_outcome(&mut self, kind: Option<usize>, outcome: Outcome, meant: Instant, sent: Instant) {
        let now = Instant::now();
        let micros = |from: Instant| now.saturating_duration_since(from).as_micros().max(1) as u64;
        let aim =
            kind.and_then(|k| self.load.mix.requests[k].aim_ms).map_or(u64::MAX, |ms| (ms * 1e3) as u64);
        let of_kind = kind.and_then(|k| self.by_kind.get_mut(k));
        for (outcomes, times) in std::iter::once(&mut self.all).chain(of_kind) {
            match outcome {
                Outcome::Status(200..=399) => {
                    outcomes.ok += 1;
                    outcomes.in_time += u64::from(micros(meant) <= aim);
                    times.saturating_record(micros(meant));
                }
                Outcome::Status(429 | 503) => outcomes.refused += 1,
                Outcome::Status(400..=499) => outcomes.rejected += 1,
                Outcome::Status(_) => outcomes.failed += 1,
                Outcome::TimedOut => outcomes.timed_out += 1,
                Outcome::Broken => outcomes.broken += 1,
                Outcome::Unsent => outcomes.unsent += 1,
            }
        }
        let (progress, times) = &mut self.second;
        match outcome {
            Outcome::Status(200..=399) => {
                progress.ok += 1;
                times.saturating_record(micros(meant));
                self.service_times.saturating_record(micros(sent));
            }
            Outcome::Status(429 | 503) => progress.refused += 1,
            _ => progress.bad += 1,
        }
    }

    /// Ends the requests whose time-out has passed.
    fn expire(&mut self, now: Instant) {
        while let Some(&Reverse((at, id, number))) = self.deadlines.peek() {
            if at > now {
                return;
            }
            self.deadlines.pop();
            let in_flight = self
                .connections
                .get(&id)
                .and_then(|c| c.request.as_ref())
                .is_some_and(|r| r.number == number);
            if in_flight {
                self.end_request(id, Outcome::TimedOut, false);
            }
        }
    }

    fn report(self, took: Duration) -> Report {
        let with_latency = |(outcomes, times): (Outcomes, Histogram<u64>)| Outcomes {
            latency: Percentiles::from_histogram(&times),
            ..outcomes
        };
        let seconds = took.as_secs_f64();
        Report {
            seconds,
            goodput: self.all.0.ok as f64 / seconds.max(1e-9),
            all: with_latency(self.all),
            kinds: self.by_kind.into_iter().map(with_latency).collect(),
            service_time: Percentiles::from_histogram(&self.service_times),
            connections: self.opened,
            unasked: self.unasked,
            late_ms: self.schedule_delay.as_secs_f64() * 1e3,
            valid: self.schedule_delay <= MAX_SCHEDULE_DELAY,
        }
    }
}

/// Writes as much of the request as the socket takes; false: the connection is broken.
fn flush(connection: &mut Connection) -> bool {
    while connection.written < connection.output.len() {
        match (&*connection.stream).write(&connection.output[connection.written..]) {
            Ok(n) if n > 0 => connection.written += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
            Ok(_) => return false,
        }
    }
    true
}
