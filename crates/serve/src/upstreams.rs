//! The upstream side: attempts, and the pool of connections that they use one at a time.

use crate::http::{self, Answer, Request};
use crate::{ConnId, Net, Proxy, Reading, Watched};
use garnettally_decisions::facade::{Code, RequestId, ServerId};
use rustc_hash::FxHashMap;
use slog::warn;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An attempt: the request, and its number among the request's sends.
pub type Attempt = (RequestId, u32);

/// How an attempt ended.
pub struct Ended {
    pub attempt: Attempt,
    pub code: Code,
    pub latency: Duration,
    pub answer: Option<Answer>,
}

struct Flight {
    attempt: Attempt,
    sent: Instant,
}

struct Conn {
    upstream: ServerId,
    address: SocketAddr,
    socket: Watched,
    /// It has come up.
    open: bool,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    flight: Option<Flight>,
    idle_since: Instant,
}

/// The connections to upstreams.
#[derive(Default)]
pub struct Upstreams {
    addresses: FxHashMap<ServerId, SocketAddr>,
    conns: FxHashMap<ConnId, Conn>,
    /// Idle connections of each upstream, the one used last at the end.
    idle: FxHashMap<ServerId, Vec<ConnId>>,
    /// Upstreams that closed a connection unnoticed: how long theirs may idle, and when that was learned.
    keeps: FxHashMap<ServerId, (Duration, Instant)>,
    flights: FxHashMap<Attempt, ConnId>,
    deadlines: BinaryHeap<Reverse<(Instant, Attempt, bool)>>,
}

impl Upstreams {
    pub fn count(&self) -> usize {
        self.conns.len()
    }

    /// What is held of answers that are not whole.
    fn held(&self) -> usize {
        self.conns.values().map(|c| c.input.len()).sum()
    }

    /// Where this upstream is reached from now on; connections to its former address go.
    pub fn moved(&mut self, net: &Net, upstream: ServerId, address: SocketAddr) {
        if self.addresses.insert(upstream, address).is_some_and(|old| old != address) {
            self.close_idle(net, upstream);
        }
    }

    /// How long a connection of this upstream may have been idle to be used again.
    fn keep(&self, net: &Net, upstream: ServerId, now: Instant) -> Duration {
        let fresh = |at: Instant| now.saturating_duration_since(at) < net.limits.upstream_idle_memory;
        let learned = self.keeps.get(&upstream).filter(|(_, at)| fresh(*at));
        learned.map_or(net.limits.upstream_idle, |(keep, _)| *keep)
    }

    /// Some machines close what is idle sooner than the settings say, and without a word: only the reset of the
    /// next request tells. From then on their connections idle for less.
    fn learn_keep(&mut self, net: &Net, conn: &Conn, flight: &Flight) {
        let idle = flight.sent.saturating_duration_since(conn.idle_since);
        let at_once = conn.input.is_empty() && flight.sent.elapsed() < net.limits.upstream_stale;
        if at_once && idle >= net.limits.upstream_idle_least {
            let now = Instant::now();
            let keep = (idle * 3 / 4).max(net.limits.upstream_idle_least);
            let keep = keep.min(self.keep(net, conn.upstream, now));
            self.keeps.insert(conn.upstream, (keep, now));
        }
    }

    /// Closes an upstream's idle connections.
    pub fn close_idle(&mut self, net: &Net, upstream: ServerId) {
        self.keeps.remove(&upstream);
        for id in self.idle.remove(&upstream).unwrap_or_default() {
            if let Some(conn) = self.conns.remove(&id) {
                net.unwatch(conn.socket);
            }
        }
    }

    /// Closes the connection that has been idle for longest.
    pub fn close_oldest_idle(&mut self, net: &Net) -> bool {
        let oldest = self.idle.values().filter_map(|ids| ids.first());
        let oldest = oldest.min_by_key(|id| self.conns.get(id).map(|c| c.idle_since)).copied();
        oldest.is_some_and(|id| self.remove(net, id).is_some())
    }

    /// Drops connections idle for too long, well before the upstream would.
    pub fn sweep(&mut self, net: &Net, now: Instant) {
        let old = |c: &Conn| now.saturating_duration_since(c.idle_since) >= self.keep(net, c.upstream, now);
        let ids = self.idle.values().flatten().copied();
        let ids: Vec<_> = ids.filter(|id| self.conns.get(id).is_some_and(old)).collect();
        for id in ids {
            self.remove(net, id);
        }
    }

    /// The next time that an attempt's time may be up.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.peek().map(|d| d.0 .0)
    }

    /// Removes a connection, with the attempt that it carried.
    fn remove(&mut self, net: &Net, id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        if let Some(flight) = &conn.flight {
            self.flights.remove(&flight.attempt);
        } else if let Some(ids) = self.idle.get_mut(&conn.upstream) {
            ids.retain(|&i| i != id);
        }
        net.unwatch(Watched { stream: conn.socket.stream.clone(), token: conn.socket.token });
        Some(conn)
    }

    /// The idle connection used last. One that its upstream has closed would answer with a reset: it is
    /// dropped, even if the event loop has not heard of it yet.
    fn take_idle(&mut self, net: &Net, upstream: ServerId) -> Option<ConnId> {
        let now = Instant::now();
        let keep = self.keep(net, upstream, now);
        while let Some(id) = self.idle.get_mut(&upstream)?.pop() {
            let quiet =
                |c: &Conn| c.socket.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
            let young = |c: &&Conn| now.saturating_duration_since(c.idle_since) < keep;
            if self.conns.get(&id).filter(young).is_some_and(quiet) {
                return Some(id);
            }
            self.remove(net, id);
        }
        None
    }

    /// Gives an attempt up: its connection closes.
    pub fn cancel(&mut self, net: &Net, attempt: Attempt) -> Option<Ended> {
        let id = *self.flights.get(&attempt)?;
        Some(self.remove(net, id)?.flight?.end(Code::Cancelled))
    }
}

impl Flight {
    fn end(&self, code: Code) -> Ended {
        Ended { attempt: self.attempt, code, latency: self.sent.elapsed(), answer: None }
    }
}

impl Conn {
    /// What its breaking means: a request that was not written whole can't have run.
    fn broken(&self) -> Code {
        if self.open && self.written == self.output.len() {
            Code::Reset
        } else {
            Code::ConnectFailed
        }
    }
}

impl Proxy {
    /// Sends an attempt on an idle connection, or on a new one.
    pub fn send_attempt(&mut self, attempt: Attempt, to: ServerId, request: &Request, timeout: Duration) {
        let sent = Instant::now();
        let failed = Ended { attempt, code: Code::ConnectFailed, latency: Duration::ZERO, answer: None };
        let Some(&address) = self.upstreams.addresses.get(&to) else {
            return self.attempt_ended(failed);
        };
        let id = match self.upstreams.take_idle(&self.net, to) {
            Some(id) => id,
            None => {
                if !self.make_room() {
                    warn!(self.net.log, "no descriptor is left for an attempt"; "upstreams" => self.upstreams.count());
                    return self.attempt_ended(failed);
                }
                let id = self.net.number();
                let ready =
                    move |proxy: &mut Proxy, r: calloop::Readiness| proxy.upstream_ready(id, r.writable);
                let socket = match crate::connect(address).and_then(|s| self.net.watch(s, ready)) {
                    Ok(socket) => socket,
                    Err(_) => return self.attempt_ended(failed),
                };
                let conn = Conn {
                    upstream: to,
                    address,
                    socket,
                    open: false,
                    output: Vec::new(),
                    written: 0,
                    input: Vec::new(),
                    flight: None,
                    idle_since: sent,
                };
                self.upstreams.conns.insert(id, conn);
                let connect_by = sent + self.net.limits.upstream_connect;
                self.upstreams.deadlines.push(Reverse((connect_by, attempt, true)));
                id
            }
        };
        self.upstreams.deadlines.push(Reverse((sent + timeout, attempt, false)));
        self.upstreams.flights.insert(attempt, id);
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        conn.output.clear();
        conn.written = 0;
        conn.input.clear();
        http::write_request(&mut conn.output, request, &conn.address.to_string(), timeout);
        conn.flight = Some(Flight { attempt, sent });
        if conn.open {
            self.upstream_ready(id, true);
        }
    }

    /// A connection has come up, can take more, or has brought something.
    fn upstream_ready(&mut self, id: ConnId, writable: bool) {
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        if !conn.open {
            let failed = !matches!(conn.socket.stream.take_error(), Ok(None));
            // Until it is up, only its becoming writable or its failing tells anything.
            if failed || (writable && conn.socket.stream.peer_addr().is_err()) {
                return self.upstream_broken(id);
            }
            if !writable {
                return;
            }
            conn.open = true;
        }
        let wrote = crate::write(&conn.socket.stream, &conn.output, &mut conn.written);
        let most = self.net.limits.answer_bytes;
        let reading = self.net.read(&conn.socket.stream, &mut conn.input, most);
        if conn.flight.is_none() {
            // An idle connection has nothing to say but that it ends.
            if reading != Reading::Open || !conn.input.is_empty() {
                self.upstreams.remove(&self.net, id);
            }
            return;
        }
        let large = conn.input.len() > self.net.limits.message_bytes;
        let crowded = large && self.upstreams.held() > self.net.limits.answers_bytes;
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        if !conn.input.is_empty() {
            match http::answer(&conn.input, reading == Reading::Ended, &self.net.limits) {
                Ok(Some(answer)) => return self.answered(id, answer, reading == Reading::Open),
                Ok(None) if conn.input.len() <= most && !crowded => {}
                _ if reading == Reading::Broken => {}
                _ => {
                    let name = self.decisions.upstream_name(conn.upstream);
                    warn!(self.net.log, "an upstream's answer was not understood"; "upstream" => name);
                    return self.upstream_broken(id);
                }
            }
        }
        if wrote.is_err() || reading != Reading::Open {
            self.upstream_broken(id);
        }
    }

    fn answered(&mut self, id: ConnId, answer: Answer, open: bool) {
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let code = match answer.status {
            200 => Code::Ok,
            503 | 504 if answer.declined => Code::Full,
            // Of the request, not of the upstream; three statuses say that a later try may do.
            400..=499 if !matches!(answer.status, 408 | 425 | 429) => Code::Rejected,
            _ => Code::Error,
        };
        let whole = conn.written == conn.output.len();
        let Some(ended) = conn.flight.as_ref().map(|f| f.end(code)) else { return };
        if open && whole && answer.keep_alive {
            let upstream = conn.upstream;
            (conn.flight, conn.idle_since) = (None, Instant::now());
            conn.input.clear();
            conn.input.shrink_to(self.net.limits.read_bytes);
            self.upstreams.flights.remove(&ended.attempt);
            self.upstreams.idle.entry(upstream).or_default().push(id);
        } else {
            self.upstreams.remove(&self.net, id);
        }
        self.attempt_ended(Ended { answer: Some(answer), ..ended });
    }

    fn upstream_broken(&mut self, id: ConnId) {
        let Some(conn) = self.upstreams.remove(&self.net, id) else { return };
        if let Some(flight) = &conn.flight {
            self.upstreams.learn_keep(&self.net, &conn, flight);
            self.attempt_ended(flight.end(conn.broken()));
        }
    }

    /// Ends the attempts whose time is up, and those whose connection has not come up in time.
    pub fn expire_attempts(&mut self, now: Instant) {
        while self.upstreams.next_deadline().is_some_and(|at| at <= now) {
            let Some(Reverse((_, attempt, connecting))) = self.upstreams.deadlines.pop() else { return };
            let Some(&id) = self.upstreams.flights.get(&attempt) else { continue };
            if connecting && self.upstreams.conns.get(&id).is_some_and(|c| c.open) {
                continue;
            }
            let Some(conn) = self.upstreams.remove(&self.net, id) else { continue };
            let unsent = !conn.open || conn.written < conn.output.len();
            let code = if unsent { Code::ConnectFailed } else { Code::Timeout };
            if let Some(flight) = &conn.flight {
                self.attempt_ended(flight.end(code));
            }
        }
    }
}
