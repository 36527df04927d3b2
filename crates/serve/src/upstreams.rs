//! The upstream side: attempts, and the pool of connections that they use one at a time.

use crate::http::{self, Request, Response};
use crate::lease::Lease;
use crate::pools::PoolId;
use crate::reasons::CloseReason;
use crate::rounds::Rounds;
use crate::socket_errors::is_local_shortage;
use crate::{ConnId, Net, Proxy, ReadStatus, WatchedStream};
use garnettally_decisions::facade::{Code, RequestId, ServerId};
use garnettally_routing::budget::{exceeds_share, HolderId, Share};
use rustc_hash::FxHashMap;
use slog::{debug, warn};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An attempt: the request, and its number among the request's sends.
pub type Attempt = (RequestId, u32);

/// An upstream of a pool.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target {
    pub pool: PoolId,
    pub server: ServerId,
}

/// What the connections of one pool go by.
pub struct Terms {
    /// How long opening one may take.
    pub connect: Duration,
    /// How long one between requests is kept.
    pub keep: Duration,
    /// Whose share of the connections they are.
    pub holder: HolderId,
    /// Their share of the memory for unfinished answers.
    pub memory: Share,
    /// Any 2xx or 3xx answer serves a request; on the platform 200 alone does.
    pub any_success: bool,
}

/// How an attempt ended.
pub struct Ended {
    pub attempt: Attempt,
    /// Where it was sent; `None`: nowhere.
    pub target: Option<Target>,
    pub code: Code,
    pub latency: Duration,
    /// For how much of that this process did not look at its sockets.
    pub held_up: Duration,
    pub answer: Option<Response>,
}

struct Flight {
    attempt: Attempt,
    sent: Instant,
    /// Its request asks for no body.
    head: bool,
    /// For how long its connection may have been up unnoticed.
    held_up: Duration,
}

struct Conn {
    upstream: Target,
    lease: Lease,
    address: SocketAddr,
    socket: WatchedStream,
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
    terms: FxHashMap<PoolId, Terms>,
    addresses: FxHashMap<Target, SocketAddr>,
    conns: FxHashMap<ConnId, Conn>,
    /// Idle connections of each upstream, the one used last at the end.
    idle: FxHashMap<Target, Vec<ConnId>>,
    /// Upstreams that closed a connection unnoticed: how long theirs may idle, and when that was learned.
    keeps: FxHashMap<Target, (Duration, Instant)>,
    flights: FxHashMap<Attempt, ConnId>,
    deadlines: BinaryHeap<Reverse<(Instant, Attempt, bool)>>,
}

impl Upstreams {
    pub fn count(&self) -> usize {
        self.conns.len()
    }

    /// Whether a pool's connections hold more than they may of answers that are not whole.
    fn hold_too_much(&self, pool: PoolId, capacity: usize) -> bool {
        let mut held: BTreeMap<PoolId, (Share, usize)> =
            self.terms.iter().map(|(&id, t)| (id, (t.memory, 0))).collect();
        for c in self.conns.values() {
            held.entry(c.upstream.pool).or_default().1 += c.input.len();
        }
        let at = held.keys().position(|&p| p == pool).unwrap_or(usize::MAX);
        exceeds_share(capacity, &held.into_values().collect::<Vec<_>>(), at)
    }

    /// The terms of a pool's connections; at first, and whenever they have changed.
    pub fn set_terms(&mut self, pool: PoolId, terms: Terms) {
        self.terms.insert(pool, terms);
    }

    /// A pool is no more: all that is known of its upstreams goes, and their idle connections. Nothing of it is in
    /// flight any more.
    pub fn remove_pool(&mut self, net: &Net, pool: PoolId) {
        self.terms.remove(&pool);
        self.addresses.retain(|t, _| t.pool != pool);
        self.keeps.retain(|t, _| t.pool != pool);
        let idle: Vec<_> = self.idle.keys().filter(|t| t.pool == pool).copied().collect();
        for target in idle {
            self.close_idle(net, target);
        }
    }

    /// Where this upstream is reached from now on; connections to its former address go.
    pub fn moved(&mut self, net: &Net, upstream: Target, address: SocketAddr) {
        if self.addresses.insert(upstream, address).is_some_and(|old| old != address) {
            self.close_idle(net, upstream);
        }
    }

    /// How long a connection of this upstream may have been idle to be used again.
    fn keep(&self, net: &Net, upstream: Target, now: Instant) -> Duration {
        let fresh = |at: Instant| now.saturating_duration_since(at) < net.limits.learned_idle_timeout_ttl;
        let learned = self.keeps.get(&upstream).filter(|(_, at)| fresh(*at));
        let told = || self.terms.get(&upstream.pool).map_or(net.limits.upstream_idle_timeout, |t| t.keep);
        learned.map_or_else(told, |(keep, _)| *keep)
    }

    /// Some machines close what is idle sooner than the settings say, and without a word: only the reset of the
    /// next request tells. From then on their connections idle for less.
    fn learn_keep(&mut self, net: &Net, conn: &Conn, flight: &Flight) {
        let idle = flight.sent.saturating_duration_since(conn.idle_since);
        let at_once = conn.input.is_empty() && flight.sent.elapsed() < net.limits.upstream_stale_break_window;
        if at_once && idle >= net.limits.min_upstream_idle_timeout {
            let now = Instant::now();
            let keep = (idle * 3 / 4).max(net.limits.min_upstream_idle_timeout);
            let keep = keep.min(self.keep(net, conn.upstream, now));
            self.keeps.insert(conn.upstream, (keep, now));
        }
    }

    /// Closes an upstream's idle connections.
    pub fn close_idle(&mut self, net: &Net, upstream: Target) {
        self.keeps.remove(&upstream);
        for id in self.idle.remove(&upstream).unwrap_or_default() {
            if let Some(conn) = self.conns.remove(&id) {
                debug!(net.log, "an upstream's connection closes"; "connection" => id, "reason" => %CloseReason::UpstreamLeft);
                net.unwatch(conn.socket);
            }
        }
    }

    /// Closes the connection that has been idle for longest, of those whose place helps.
    pub fn close_oldest_idle(&mut self, net: &Net, helps: impl Fn(&Lease) -> bool) -> bool {
        let fits = |id: &&ConnId| self.conns.get(*id).is_some_and(|c| helps(&c.lease));
        let oldest = self.idle.values().filter_map(|ids| ids.iter().find(fits));
        let oldest = oldest.min_by_key(|id| self.conns.get(id).map(|c| c.idle_since)).copied();
        oldest.is_some_and(|id| self.remove(net, id, CloseReason::Displaced).is_some())
    }

    /// Drops connections idle for too long, well before the upstream would.
    pub fn sweep(&mut self, net: &Net, now: Instant) {
        let old = |c: &Conn| now.saturating_duration_since(c.idle_since) >= self.keep(net, c.upstream, now);
        let ids = self.idle.values().flatten().copied();
        let ids: Vec<_> = ids.filter(|id| self.conns.get(id).is_some_and(old)).collect();
        for id in ids {
            self.remove(net, id, CloseReason::Idle);
        }
    }

    /// The next time that an attempt's time may be up.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.peek().map(|d| d.0 .0)
    }

    /// Removes a connection, with the attempt that it carried.
    fn remove(&mut self, net: &Net, id: ConnId, reason: CloseReason) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        debug!(net.log, "an upstream's connection closes"; "connection" => id, "reason" => %reason);
        if let Some(flight) = &conn.flight {
            self.flights.remove(&flight.attempt);
        } else if let Some(ids) = self.idle.get_mut(&conn.upstream) {
            ids.retain(|&i| i != id);
        }
        net.unwatch(WatchedStream { stream: conn.socket.stream.clone(), token: conn.socket.token });
        Some(conn)
    }

    /// The idle connection used last, of those that have rested. One that its upstream has closed would answer with a
    /// reset: it is dropped, even if the event loop has not heard of it yet. What may not be repeated takes none that
    /// is near its end (`once`), as the close may be on its way.
    fn take_idle(&mut self, net: &Net, upstream: Target, once: bool) -> Option<ConnId> {
        let now = Instant::now();
        let keep = self.keep(net, upstream, now);
        let rested = now.checked_sub(net.limits.upstream_reuse_delay)?;
        loop {
            let ids = self.idle.get_mut(&upstream)?;
            let conns = &self.conns;
            let at = ids.iter().rposition(|id| conns.get(id).is_none_or(|c| c.idle_since <= rested))?;
            let id = ids[at];
            let idle = conns.get(&id).map_or(keep, |c| now.saturating_duration_since(c.idle_since));
            if once && idle < keep && idle * 2 >= keep {
                return None; // the others have been idle for longer
            }
            let quiet =
                |c: &Conn| c.socket.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
            if idle < keep && conns.get(&id).is_some_and(quiet) {
                ids.remove(at);
                return Some(id);
            }
            if self.remove(net, id, CloseReason::Idle).is_none() {
                self.idle.get_mut(&upstream)?.remove(at);
            }
        }
    }

    /// Gives up an attempt that is not written whole: it can't run any more.
    pub fn drop_unwritten(&mut self, net: &Net, attempt: Attempt) -> Option<Ended> {
        let id = *self.flights.get(&attempt)?;
        self.conns.get(&id).filter(|c| c.unwritten())?;
        let conn = self.remove(net, id, CloseReason::Cancelled)?;
        Some(conn.flight.as_ref()?.end(Code::Moot, &net.rounds).at(conn.upstream))
    }

    /// The attempts at an upstream of which nothing is written yet.
    pub fn unbegun(&self, upstream: Target) -> Vec<Attempt> {
        let unbegun = self.conns.values().filter(|c| c.upstream == upstream && c.written == 0);
        unbegun.filter_map(|c| c.flight.as_ref()).map(|f| f.attempt).collect()
    }

    /// Gives an attempt up: its connection closes.
    pub fn cancel(&mut self, net: &Net, attempt: Attempt) -> Option<Ended> {
        let id = *self.flights.get(&attempt)?;
        let conn = self.remove(net, id, CloseReason::Cancelled)?;
        Some(conn.flight.as_ref()?.end(Code::Cancelled, &net.rounds).at(conn.upstream))
    }
}

impl Ended {
    /// The same, with where it was sent.
    fn at(self, target: Target) -> Ended {
        Ended { target: Some(target), ..self }
    }
}

impl Flight {
    fn end(&self, code: Code, rounds: &Rounds) -> Ended {
        let now = Instant::now();
        let latency = now.saturating_duration_since(self.sent);
        let held_up = (self.held_up + rounds.held_up(now)).min(latency);
        Ended { attempt: self.attempt, target: None, code, latency, held_up, answer: None }
    }
}

impl Conn {
    /// Its request is not written whole, so it can't have run.
    fn unwritten(&self) -> bool {
        !self.open || self.written < self.output.len()
    }

    /// What its breaking means.
    fn broken(&self) -> Code {
        if self.unwritten() {
            Code::ConnectFailed
        } else {
            Code::Reset
        }
    }
}

impl Proxy {
    /// Sends an attempt on an idle connection, or on a new one; `once`: it may not be repeated.
    pub fn send_attempt(
        &mut self,
        attempt: Attempt,
        to: Target,
        request: &Request,
        timeout: Duration,
        once: bool,
    ) {
        let sent = Instant::now();
        let zero = Duration::ZERO;
        let failed = Ended {
            attempt,
            target: Some(to),
            code: Code::ConnectFailed,
            latency: zero,
            held_up: zero,
            answer: None,
        };
        let Some(&address) = self.upstreams.addresses.get(&to) else {
            return self.attempt_ended(failed);
        };
        let id = match self.upstreams.take_idle(&self.net, to, once) {
            Some(id) => id,
            None => {
                let Some(terms) = self.upstreams.terms.get(&to.pool) else {
                    return self.attempt_ended(failed);
                };
                let (holder, connect) = (terms.holder, terms.connect);
                let Some(lease) = self.acquire_connection(holder) else {
                    warn!(self.net.log, "no connection is left for an attempt"; "upstreams" => self.upstreams.count(),
                        "pool" => self.pool_name(to.pool));
                    // It tells nothing of the upstream.
                    return self.attempt_ended(Ended { target: None, code: Code::Moot, ..failed });
                };
                let id = self.net.next_connection_id();
                let ready =
                    move |proxy: &mut Proxy, r: calloop::Readiness| proxy.upstream_ready(id, r.writable);
                let socket = match crate::connect(address).and_then(|s| self.net.watch(s, ready)) {
                    Ok(socket) => socket,
                    // It tells nothing of the upstream.
                    Err(e) if is_local_shortage(&e) => {
                        return self.attempt_ended(Ended { target: None, code: Code::Moot, ..failed });
                    }
                    Err(_) => return self.attempt_ended(failed),
                };
                let conn = Conn {
                    upstream: to,
                    lease,
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
                let connect_by = sent + connect;
                self.upstreams.deadlines.push(Reverse((connect_by, attempt, true)));
                id
            }
        };
        debug!(self.net.log, "sent"; "request" => attempt.0 .0, "attempt" => attempt.1,
            "upstream" => self.upstream_name(to), "open" => self.upstreams.conns.get(&id).is_some_and(|c| c.open));
        self.upstreams.deadlines.push(Reverse((sent + timeout, attempt, false)));
        self.upstreams.flights.insert(attempt, id);
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        conn.output.clear();
        conn.written = 0;
        conn.input.clear();
        http::write_request(&mut conn.output, request, &conn.address.to_string(), timeout);
        conn.flight = Some(Flight { attempt, sent, head: request.method == "HEAD", held_up: zero });
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
            let held_up = self.net.rounds.held_up(Instant::now());
            conn.flight.iter_mut().for_each(|f| f.held_up = held_up);
        }
        // It was decided on when the connection was asked for, and that may be long ago; nor can it run before its last
        // byte is written.
        let unwritten = conn.flight.as_ref().filter(|_| conn.written < conn.output.len()).map(|f| f.attempt);
        if unwritten.is_some_and(|(request, _)| self.end_if_client_left(request)) {
            return;
        }
        if let Some(attempt) = unwritten.filter(|a| !self.may_write(*a)) {
            if let Some(ended) = self.upstreams.drop_unwritten(&self.net, attempt) {
                self.attempt_ended(ended);
            }
            return;
        }
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let before = conn.written;
        let wrote = crate::write_pending(&conn.socket.stream, &conn.output, &mut conn.written);
        if conn.flight.is_some() && before < conn.output.len() && conn.written == conn.output.len() {
            self.stats.record_attempt_written();
        }
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let most = self.net.limits.max_response_bytes;
        let reading = self.net.read(&conn.socket.stream, &mut conn.input, most);
        if conn.flight.is_none() {
            // An idle connection has nothing to say but that it ends.
            if reading != ReadStatus::Open || !conn.input.is_empty() {
                self.upstreams.remove(&self.net, id, CloseReason::Broken);
            }
            return;
        }
        let large = conn.input.len() > self.net.limits.max_request_bytes;
        let pool = conn.upstream.pool;
        let crowded = large && self.upstreams.hold_too_much(pool, self.net.limits.max_long_responses_bytes);
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        if !conn.input.is_empty() {
            let head = conn.flight.as_ref().is_some_and(|f| f.head);
            let parsed =
                http::parse_response(&conn.input, reading == ReadStatus::Ended, head, &self.net.limits);
            match parsed {
                Ok(Some(answer)) => return self.answered(id, answer, reading == ReadStatus::Open),
                Ok(None) if conn.input.len() <= most && !crowded => {}
                _ if reading == ReadStatus::Broken => {}
                _ => {
                    let why = match parsed {
                        Err(http::HttpError(413)) => "longer than an answer may be",
                        Err(_) => "malformed",
                        _ if crowded => "answers together hold too much",
                        _ => "longer than an answer may be",
                    };
                    let (upstream, bytes) = (conn.upstream, conn.input.len());
                    let name = self.upstream_name(upstream);
                    warn!(self.net.log, "an upstream's answer was not understood"; "upstream" => name, "why" => why,
                        "bytes" => bytes);
                    return self.upstream_broken(id);
                }
            }
        }
        if wrote.is_err() || reading != ReadStatus::Open {
            self.upstream_broken(id);
        }
    }

    fn answered(&mut self, id: ConnId, answer: Response, open: bool) {
        let upstreams = &mut self.upstreams;
        let Some(conn) = upstreams.conns.get_mut(&id) else { return };
        let terms = upstreams.terms.get(&conn.upstream.pool);
        let code = match answer.status {
            200 => Code::Ok,
            200..=399 if terms.is_some_and(|t| t.any_success) => Code::Ok,
            503 | 504 if answer.declined => Code::Full,
            // Of the request, not of the upstream; three statuses say that a later try may do.
            400..=499 if !matches!(answer.status, 408 | 425 | 429) => Code::Rejected,
            _ => Code::Error,
        };
        let whole = conn.written == conn.output.len();
        let Some(ended) = conn.flight.as_ref().map(|f| f.end(code, &self.net.rounds).at(conn.upstream))
        else {
            return;
        };
        if open && whole && answer.keep_alive {
            let upstream = conn.upstream;
            (conn.flight, conn.idle_since) = (None, Instant::now());
            conn.input.clear();
            conn.input.shrink_to(self.net.limits.read_chunk_bytes);
            self.upstreams.flights.remove(&ended.attempt);
            self.upstreams.idle.entry(upstream).or_default().push(id);
        } else {
            self.upstreams.remove(&self.net, id, CloseReason::UpstreamLeft);
        }
        self.attempt_ended(Ended { answer: Some(answer), ..ended });
    }

    fn upstream_broken(&mut self, id: ConnId) {
        let Some(conn) = self.upstreams.remove(&self.net, id, CloseReason::Broken) else { return };
        if let Some(flight) = &conn.flight {
            self.upstreams.learn_keep(&self.net, &conn, flight);
            self.attempt_ended(flight.end(conn.broken(), &self.net.rounds).at(conn.upstream));
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
            let Some(conn) = self.upstreams.remove(&self.net, id, CloseReason::TimedOut) else { continue };
            let code = if conn.unwritten() { Code::ConnectFailed } else { Code::Timeout };
            if let Some(flight) = &conn.flight {
                self.attempt_ended(flight.end(code, &self.net.rounds).at(conn.upstream));
            }
        }
    }
}
