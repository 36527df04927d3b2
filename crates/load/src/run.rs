//! The connections of a load, on one event loop.

use crate::answer::{self, Answer};
use crate::mix::Mix;
use crate::report::{Part, Report, Times, LATE};
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

/// How requests are let go.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    /// At their intended times, whatever has been answered.
    Open(Vec<Phase>),
    /// So many clients, each of which asks again once it is answered, for this long.
    Closed {
        /// The clients.
        clients: usize,
        /// For how long they ask.
        lasts: Duration,
    },
}

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where the service answers.
    pub address: SocketAddr,
    /// What the `Host` header says.
    pub host: String,
    /// What is asked.
    pub mix: Mix,
    /// How requests are let go.
    pub mode: Mode,
    /// The most connections. Requests beyond them wait; they are late, which their latency tells.
    pub connections: usize,
    /// Requests that may wait for a connection; past them requests count as unsent.
    pub backlog: usize,
    /// An answer must come within this.
    pub timeout: Duration,
    /// For random numbers.
    pub seed: u64,
}

/// What is going on, once a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Since the start.
    pub elapsed: Duration,
    /// Requests that were meant to be sent, and good answers, in the last second.
    pub meant: u64,
    /// Good answers in it.
    pub ok: u64,
    /// Refusals in it.
    pub refused: u64,
    /// Other ends in it.
    pub bad: u64,
    /// Requests out now.
    pub out: usize,
    /// Times of the good answers in it, in milliseconds: the median, and 99 in 100.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
}

struct Flight {
    kind: usize,
    meant: Instant,
    sent: Instant,
    bare: bool,
    number: u64,
}

struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    flight: Option<Flight>,
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Status(u16),
    TimedOut,
    Broken,
    Unsent,
}

struct State {
    load: Load,
    handle: LoopHandle<'static, State>,
    conns: FxHashMap<u64, Conn>,
    idle: Vec<u64>,
    backlog: VecDeque<Instant>,
    deadlines: BinaryHeap<Reverse<(Instant, u64, u64)>>,
    rng: ChaCha8Rng,
    run: u64,
    next: u64,
    number: u64,
    parts: Vec<(Part, Histogram<u64>)>,
    all: (Part, Histogram<u64>),
    service: Histogram<u64>,
    opened: u64,
    unasked: u64,
    late: Duration,
    asking: bool,
    second: (Progress, Histogram<u64>),
    scratch: Vec<u8>,
}

fn histogram() -> Histogram<u64> {
    // Three significant figures are always allowed.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are lawful"))
}

/// Carries out a load; `show` is told once a second what is going on, and may end the run early by saying no.
pub fn run(load: Load, mut show: impl FnMut(&Progress) -> bool) -> io::Result<Report> {
    let mut events: EventLoop<'static, State> = EventLoop::try_new().map_err(io::Error::other)?;
    let part = |name: &str| (Part { name: name.into(), ..Part::default() }, histogram());
    let mut state = State {
        rng: ChaCha8Rng::seed_from_u64(load.seed),
        run: load.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32,
        parts: load.mix.requests.iter().map(|k| part(&k.name)).collect(),
        all: part("all"),
        service: histogram(),
        handle: events.handle(),
        conns: FxHashMap::default(),
        idle: Vec::new(),
        backlog: VecDeque::new(),
        deadlines: BinaryHeap::new(),
        next: 0,
        number: 0,
        opened: 0,
        unasked: 0,
        late: Duration::ZERO,
        asking: true,
        second: (Progress::default(), histogram()),
        scratch: vec![0; 64 << 10],
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
        (0..clients).for_each(|_| state.ask(start));
    }
    let mut tick = start + Duration::from_secs(1);
    loop {
        let now = Instant::now();
        while let Some(at) = meant.filter(|at| *at <= now && state.asking) {
            state.late = state.late.max(now.saturating_duration_since(at));
            state.ask(at);
            meant = schedule.as_mut().and_then(Iterator::next).map(|t| start + t);
        }
        state.expire(now);
        if now >= tick {
            tick += Duration::from_secs(1);
            let (p, h) = &mut state.second;
            let t = Times::of(h);
            let progress = Progress {
                elapsed: now - start,
                out: state.conns.len() - state.idle.len(),
                p50_ms: t.p50_ms,
                p99_ms: t.p99_ms,
                ..*p
            };
            (*p, _) = (Progress::default(), h.reset());
            if !show(&progress) {
                state.asking = false;
            }
        }
        if now >= start + lasts {
            state.asking = false;
        }
        let out = state.conns.len() > state.idle.len() || !state.backlog.is_empty();
        if !state.asking && !out {
            break;
        }
        let wakes = [
            meant.filter(|_| state.asking),
            state.deadlines.peek().map(|d| d.0 .0),
            Some(tick),
            state.asking.then_some(start + lasts),
        ];
        let wake = wakes.into_iter().flatten().min().map(|at| at.saturating_duration_since(Instant::now()));
        events.dispatch(wake, &mut state).map_err(io::Error::other)?;
    }
    Ok(state.report(start.elapsed()))
}

impl State {
    /// Lets a request go that was meant for this time.
    fn ask(&mut self, meant: Instant) {
        self.all.0.meant += 1;
        self.second.0.meant += 1;
        if self.backlog.len() >= self.load.backlog {
            return self.count(None, End::Unsent, meant, meant);
        }
        self.backlog.push_back(meant);
        self.send_waiting();
    }

    fn send_waiting(&mut self) {
        while let Some(&meant) = self.backlog.front() {
            let id = match self.idle.pop() {
                Some(id) => id,
                None if self.conns.len() < self.load.connections => match self.connect() {
                    Ok(id) => id,
                    Err(_) => {
                        self.backlog.pop_front();
                        self.count(None, End::Broken, meant, meant);
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
        // Blocking connects would hold up the schedule; on loopback they return at once, and elsewhere the time-out of
        // the request holds for them too, since its clock runs.
        let stream =
            TcpStream::connect_timeout(&self.load.address, self.load.timeout.min(Duration::from_secs(1)))?;
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        self.next += 1;
        let id = self.next;
        let source = Generic::new(stream.clone(), Interest::BOTH, Trigger::Edge);
        let token = self.handle.insert_source(source, move |_, _, state: &mut State| {
            state.ready(id);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error))?;
        self.opened += 1;
        let conn = Conn { stream, token, output: Vec::new(), written: 0, input: Vec::new(), flight: None };
        self.conns.insert(id, conn);
        Ok(id)
    }

    fn send(&mut self, id: u64, meant: Instant) {
        self.number += 1;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.output.clear();
        conn.written = 0;
        let kind =
            self.load.mix.write(self.number, self.run, &self.load.host, &mut self.rng, &mut conn.output);
        let sent = Instant::now();
        let bare = self.load.mix.requests[kind].method == "HEAD";
        conn.flight = Some(Flight { kind, meant, sent, bare, number: self.number });
        self.parts[kind].0.meant += 1;
        self.deadlines.push(Reverse((meant.max(sent) + self.load.timeout, id, self.number)));
        // Only written here: reading the answer here too would nest as deep as answers come at once. What breaks is told
        // by the event loop.
        let _ = flush(conn);
    }

    fn ready(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let mut broken = !flush(conn);
        let mut ended = false;
        loop {
            match (&*conn.stream).read(&mut self.scratch) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => conn.input.extend_from_slice(&self.scratch[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    (ended, broken) = (true, true);
                    break;
                }
            }
        }
        let Some(flight) = &conn.flight else {
            // Between requests nothing may come but the end.
            self.unasked += u64::from(!conn.input.is_empty());
            if ended || !conn.input.is_empty() {
                self.close(id);
            }
            return;
        };
        match answer::read(&conn.input, ended && !broken, flight.bare) {
            Ok(Some(a)) if !conn.input.is_empty() => self.answered(id, a, ended),
            Ok(_) if !ended && !broken => {}
            _ => self.end(id, End::Broken, false),
        }
    }

    fn answered(&mut self, id: u64, a: Answer, ended: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.input.drain(..a.used);
        // A second answer to one request is what this is to find out.
        let extra = !conn.input.is_empty();
        let whole = conn.written == conn.output.len();
        self.unasked += u64::from(extra);
        self.end(id, End::Status(a.status), a.keep && !ended && !extra && whole);
    }

    /// A request has ended; its connection is kept, or closed.
    fn end(&mut self, id: u64, end: End, keep: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Some(f) = conn.flight.take() else { return };
        if keep {
            self.idle.push(id);
        } else {
            self.close(id);
        }
        self.count(Some(f.kind), end, f.meant, f.sent);
        if self.asking && matches!(self.load.mode, Mode::Closed { .. }) {
            self.ask(Instant::now());
        } else {
            self.send_waiting();
        }
    }

    fn close(&mut self, id: u64) {
        self.idle.retain(|&i| i != id);
        if let Some(conn) = self.conns.remove(&id) {
            self.handle.remove(conn.token);
        }
    }

    fn count(&mut self, kind: Option<usize>, end: End, meant: Instant, sent: Instant) {
        let now = Instant::now();
        let micros = |from: Instant| now.saturating_duration_since(from).as_micros().max(1) as u64;
        let aim =
            kind.and_then(|k| self.load.mix.requests[k].aim_ms).map_or(u64::MAX, |ms| (ms * 1e3) as u64);
        let of_kind = kind.and_then(|k| self.parts.get_mut(k));
        for (part, times) in std::iter::once(&mut self.all).chain(of_kind) {
            match end {
                End::Status(200..=399) => {
                    part.ok += 1;
                    part.in_time += u64::from(micros(meant) <= aim);
                    times.saturating_record(micros(meant));
                }
                End::Status(429 | 503) => part.refused += 1,
                End::Status(400..=499) => part.rejected += 1,
                End::Status(_) => part.failed += 1,
                End::TimedOut => part.timed_out += 1,
                End::Broken => part.broken += 1,
                End::Unsent => part.unsent += 1,
            }
        }
        let (p, times) = &mut self.second;
        match end {
            End::Status(200..=399) => {
                p.ok += 1;
                times.saturating_record(micros(meant));
                self.service.saturating_record(micros(sent));
            }
            End::Status(429 | 503) => p.refused += 1,
            _ => p.bad += 1,
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&Reverse((at, id, number))) = self.deadlines.peek() {
            if at > now {
                return;
            }
            self.deadlines.pop();
            let out = self.conns.get(&id).and_then(|c| c.flight.as_ref()).is_some_and(|f| f.number == number);
            if out {
                self.end(id, End::TimedOut, false);
            }
        }
    }

    fn report(self, took: Duration) -> Report {
        let done = |(part, times): (Part, Histogram<u64>)| Part { latency: Times::of(&times), ..part };
        let seconds = took.as_secs_f64();
        Report {
            seconds,
            goodput: self.all.0.ok as f64 / seconds.max(1e-9),
            all: done(self.all),
            kinds: self.parts.into_iter().map(done).collect(),
            service_time: Times::of(&self.service),
            connections: self.opened,
            unasked: self.unasked,
            late_ms: self.late.as_secs_f64() * 1e3,
            valid: self.late <= LATE,
        }
    }
}

/// Writes what is to be written; false: the connection is broken.
fn flush(conn: &mut Conn) -> bool {
    while conn.written < conn.output.len() {
        match (&*conn.stream).write(&conn.output[conn.written..]) {
            Ok(n) if n > 0 => conn.written += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
            Ok(_) => return false,
        }
    }
    true
}
