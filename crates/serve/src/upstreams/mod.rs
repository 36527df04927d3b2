//! The upstream side: attempts, and the pooled connections that each carry one attempt at a time.

mod receiving;
mod silence;
#[cfg(test)]
mod silence_tests;
mod transfers;

use crate::http::{Request, Response, ResponseHead};
use crate::memory::{Buffer, Counted, MemoryUse};
use crate::outgoing::OutgoingRequest;
use crate::pools::PoolId;
use crate::reasons::CloseReason;
use crate::reservation::Reservation;
use crate::rounds::Rounds;
use crate::socket_errors::is_local_shortage;
use crate::turns::ReadyQueue;
use crate::{ConnId, Net, Proxy, WatchedStream};
use garnettally_decisions::facade::{Code, RequestId, ServerId};
use garnettally_routing::budget::{exceeds_share, HolderId, Share};
use receiving::IncomingResponse;
use rustc_hash::FxHashMap;
use slog::{debug, warn};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use transfers::Transfer;
pub use transfers::TransferEnd;

/// An attempt: the request, and the attempt's number within that request.
pub type Attempt = (RequestId, u32);

/// One upstream: the pool and the server's id in that pool's module.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target {
    pub pool: PoolId,
    pub server: ServerId,
}

/// The settings of the connections to one pool.
pub struct ConnectionSettings {
    /// The time-out for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The holder against whose share of the connections these count.
    pub holder: HolderId,
    /// The pool's share of the memory for incomplete responses, in bytes.
    pub memory: Share,
    /// Whether any 2xx or 3xx response counts as success; on the platform only 200 does.
    pub any_success: bool,
}

/// The result of an attempt that has ended.
pub struct AttemptResult {
    pub attempt: Attempt,
    /// The upstream that the attempt was meant for; `None` if it ended in this process before it concerned an
    /// upstream.
    pub target: Option<Target>,
    pub code: Code,
    /// The time from sending the attempt to its end.
    pub latency: Duration,
    /// The part of `latency` in which this process may have had an event of the attempt unread.
    pub local_delay: Duration,
    /// The response, if one was received.
    pub answer: Option<Answer>,
}

/// The response of an attempt that has ended.
pub enum Answer {
    /// The response is whole.
    Whole(Response),
    /// The response has begun, and its body passes through this connection of the upstream.
    Begun(ConnId, ResponseHead),
}

impl Answer {
    /// The head of the response.
    pub fn head(&self) -> &ResponseHead {
        match self {
            Answer::Whole(response) => &response.head,
            Answer::Begun(_, head) => head,
        }
    }
}

/// An attempt that its connection carries at present.
struct InFlight {
    attempt: Attempt,
    /// When the attempt was sent, or queued for a connection that is still being opened.
    sent_at: Instant,
    /// For how long the connection may have been established before this process noticed.
    local_delay: Duration,
}

/// A connection to an upstream.
pub struct Conn {
    upstream: Target,
    /// The connection's unit of the limit on connections.
    reservation: Reservation,
    address: SocketAddr,
    socket: WatchedStream,
    /// Whether the connection has been established.
    is_open: bool,
    /// The request of the present attempt.
    output: OutgoingRequest,
    /// The bytes received that are not parsed yet.
    input: Buffer,
    /// The response of the present attempt, as far as it has arrived.
    response: IncomingResponse,
    /// The attempt that the connection carries; `None` while the connection is idle, and once the body of the
    /// response passes through.
    in_flight: Option<InFlight>,
    /// Where the body of the response passes to; `None`: it is held, or there is none.
    transfer: Option<Transfer>,
    /// When the last response ended, or when the connection was requested.
    idle_since: Instant,
}

/// The connections to upstreams.
#[derive(Default)]
pub struct Upstreams {
    settings: FxHashMap<PoolId, ConnectionSettings>,
    /// The address of each upstream.
    addresses: FxHashMap<Target, SocketAddr>,
    conns: FxHashMap<ConnId, Conn>,
    /// Idle connections of each upstream, the most recently used one last.
    idle: FxHashMap<Target, Vec<ConnId>>,
    /// Upstreams that closed an idle connection before its time-out: the shorter idle time-out for them, and
    /// when it was learned.
    learned_idle_timeouts: FxHashMap<Target, (Duration, Instant)>,
    /// The connection that carries each attempt.
    connection_by_attempt: FxHashMap<Attempt, ConnId>,
    /// Times at which an attempt may have to end, earliest first; the flag marks time-outs of opening a
    /// connection.
    deadlines: BinaryHeap<Reverse<(Instant, Attempt, bool)>>,
    /// The connections whose body passes through and can go on.
    ready_transfers: ReadyQueue<ConnId>,
}

impl Upstreams {
    /// How many connections there are, idle ones included.
    pub fn count(&self) -> usize {
        self.conns.len()
    }

    /// Whether the incomplete responses of a pool exceed its share of the memory for them.
    fn exceeds_memory_share(&self, pool: PoolId, capacity: usize) -> bool {
        let mut bytes_by_pool: BTreeMap<PoolId, (Share, usize)> =
            self.settings.iter().map(|(&id, t)| (id, (t.memory, 0))).collect();
        for c in self.conns.values() {
            bytes_by_pool.entry(c.upstream.pool).or_default().1 += c.held_bytes();
        }
        let at = bytes_by_pool.keys().position(|&p| p == pool).unwrap_or(usize::MAX);
        exceeds_share(capacity, &bytes_by_pool.into_values().collect::<Vec<_>>(), at)
    }

    /// Sets the settings of a pool's connections, at first and whenever they have changed.
    pub fn set_connection_settings(&mut self, pool: PoolId, settings: ConnectionSettings) {
        self.settings.insert(pool, settings);
    }

    /// Removes a pool's settings, what is known of its upstreams, and their idle connections. The pool has no
    /// attempt in flight any more.
    pub fn remove_pool(&mut self, net: &Net, pool: PoolId) {
        self.settings.remove(&pool);
        self.addresses.retain(|t, _| t.pool != pool);
        self.learned_idle_timeouts.retain(|t, _| t.pool != pool);
        let idle: Vec<_> = self.idle.keys().filter(|t| t.pool == pool).copied().collect();
        for target in idle {
            self.close_idle(net, target);
        }
    }

    /// Sets the address of an upstream; idle connections to its former address are closed.
    pub fn set_address(&mut self, net: &Net, upstream: Target, address: SocketAddr) {
        if self.addresses.insert(upstream, address).is_some_and(|old| old != address) {
            self.close_idle(net, upstream);
        }
    }

    /// How long a connection of this upstream may have been idle and still be reused.
    fn idle_timeout(&self, net: &Net, upstream: Target, now: Instant) -> Duration {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < net.limits.learned_idle_timeout_ttl;
        let learned = self.learned_idle_timeouts.get(&upstream).filter(|(_, at)| is_fresh(*at));
        let configured =
            || self.settings.get(&upstream.pool).map_or(net.limits.upstream_idle_timeout, |t| t.idle_timeout);
        learned.map_or_else(configured, |(idle_timeout, _)| *idle_timeout)
    }

    /// Shortens the idle time-out of an upstream that closed an idle connection. Some machines close idle
    /// connections earlier than the settings say, and this process only notices by the reset of the next
    /// request.
    fn learn_idle_timeout(&mut self, net: &Net, conn: &Conn, in_flight: &InFlight) {
        let idle = in_flight.sent_at.saturating_duration_since(conn.idle_since);
        let broke_at_once = !conn.has_response_begun()
            && in_flight.sent_at.elapsed() < net.limits.upstream_stale_break_window;
        if broke_at_once && idle >= net.limits.min_upstream_idle_timeout {
            let now = Instant::now();
            let idle_timeout = (idle * 3 / 4).max(net.limits.min_upstream_idle_timeout);
            let idle_timeout = idle_timeout.min(self.idle_timeout(net, conn.upstream, now));
            self.learned_idle_timeouts.insert(conn.upstream, (idle_timeout, now));
        }
    }

    /// Closes an upstream's idle connections.
    pub fn close_idle(&mut self, net: &Net, upstream: Target) {
        self.learned_idle_timeouts.remove(&upstream);
        for id in self.idle.remove(&upstream).unwrap_or_default() {
            if let Some(conn) = self.conns.remove(&id) {
                debug!(net.log, "an upstream's connection closes"; "connection" => id,
                    "reason" => %CloseReason::UpstreamLeft);
                net.unwatch(conn.socket);
            }
        }
    }

    /// Closes the connection that has been idle for longest, of those whose reservation is useful to the
    /// caller. Returns whether there was one.
    pub fn close_oldest_idle(&mut self, net: &Net, is_useful: impl Fn(&Reservation) -> bool) -> bool {
        let fits = |id: &&ConnId| self.conns.get(*id).is_some_and(|c| is_useful(&c.reservation));
        let oldest = self.idle.values().filter_map(|ids| ids.iter().find(fits));
        let oldest = oldest.min_by_key(|id| self.conns.get(id).map(|c| c.idle_since)).copied();
        oldest.is_some_and(|id| self.remove(net, id, CloseReason::Displaced).is_some())
    }

    /// Closes connections that have been idle for too long, well before the upstream would.
    pub fn sweep(&mut self, net: &Net, now: Instant) {
        let is_expired =
            |c: &Conn| now.saturating_duration_since(c.idle_since) >= self.idle_timeout(net, c.upstream, now);
        let ids = self.idle.values().flatten().copied();
        let ids: Vec<_> = ids.filter(|id| self.conns.get(id).is_some_and(is_expired)).collect();
        for id in ids {
            self.remove(net, id, CloseReason::Idle);
        }
    }

    /// The next time at which an attempt may have to end.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.peek().map(|d| d.0 .0)
    }

    /// Sets a time at which an attempt times out.
    fn set_deadline(&mut self, attempt: Attempt, at: Instant) {
        self.deadlines.push(Reverse((at, attempt, false)));
    }

    /// Removes and closes a connection, with the attempt that it carried.
    fn remove(&mut self, net: &Net, id: ConnId, reason: CloseReason) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        debug!(net.log, "an upstream's connection closes"; "connection" => id, "reason" => %reason);
        if let Some(in_flight) = &conn.in_flight {
            self.connection_by_attempt.remove(&in_flight.attempt);
        } else if let Some(ids) = self.idle.get_mut(&conn.upstream) {
            ids.retain(|&i| i != id);
        }
        net.unwatch(WatchedStream { stream: conn.socket.stream.clone(), token: conn.socket.token });
        Some(conn)
    }

    /// Takes the most recently used idle connection, of those idle for at least `upstream_reuse_delay`. A
    /// request on a connection that its upstream has closed would get a reset: such a connection is closed,
    /// even if the event loop has not reported it yet. A request that may not be repeated
    /// (`must_not_repeat`) gets none that has used up half of its idle time-out, as the upstream's close
    /// may be on its way.
    fn take_idle(&mut self, net: &Net, upstream: Target, must_not_repeat: bool) -> Option<ConnId> {
        let now = Instant::now();
        let idle_timeout = self.idle_timeout(net, upstream, now);
        let idle_before = now.checked_sub(net.limits.upstream_reuse_delay)?;
        loop {
            let ids = self.idle.get_mut(&upstream)?;
            let conns = &self.conns;
            let at = ids.iter().rposition(|id| conns.get(id).is_none_or(|c| c.idle_since <= idle_before))?;
            let id = ids[at];
            let idle = conns.get(&id).map_or(idle_timeout, |c| now.saturating_duration_since(c.idle_since));
            if must_not_repeat && idle < idle_timeout && idle * 2 >= idle_timeout {
                return None; // the other connections have been idle for longer
            }
            let is_quiet =
                |c: &Conn| c.socket.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
            if idle < idle_timeout && conns.get(&id).is_some_and(is_quiet) {
                ids.remove(at);
                return Some(id);
            }
            if self.remove(net, id, CloseReason::Idle).is_none() {
                self.idle.get_mut(&upstream)?.remove(at);
            }
        }
    }

    /// Cancels an attempt whose request is not written completely: it can't run any more.
    pub fn cancel_unwritten(&mut self, net: &Net, attempt: Attempt) -> Option<AttemptResult> {
        let id = *self.connection_by_attempt.get(&attempt)?;
        self.conns.get(&id).filter(|c| c.is_unwritten())?;
        let conn = self.remove(net, id, CloseReason::Cancelled)?;
        Some(conn.in_flight.as_ref()?.result(Code::Moot, &net.rounds).with_target(conn.upstream))
    }

    /// The attempts at an upstream of whose request no byte has been written.
    pub fn unwritten_attempts(&self, upstream: Target) -> Vec<Attempt> {
        let unwritten_attempts =
            self.conns.values().filter(|c| c.upstream == upstream && c.output.is_untouched());
        unwritten_attempts.filter_map(|c| c.in_flight.as_ref()).map(|f| f.attempt).collect()
    }

    /// Cancels an attempt by closing its connection.
    pub fn cancel(&mut self, net: &Net, attempt: Attempt) -> Option<AttemptResult> {
        let id = *self.connection_by_attempt.get(&attempt)?;
        let conn = self.remove(net, id, CloseReason::Cancelled)?;
        Some(conn.in_flight.as_ref()?.result(Code::Cancelled, &net.rounds).with_target(conn.upstream))
    }
}

impl AttemptResult {
    /// Returns the result with the upstream that the attempt was sent to.
    fn with_target(self, target: Target) -> AttemptResult {
        AttemptResult { target: Some(target), ..self }
    }
}

impl InFlight {
    /// The result of the attempt if it ends now with this code.
    fn result(&self, code: Code, rounds: &Rounds) -> AttemptResult {
        let now = Instant::now();
        let latency = now.saturating_duration_since(self.sent_at);
        let local_delay = (self.local_delay + rounds.local_delay(now)).min(latency);
        AttemptResult { attempt: self.attempt, target: None, code, latency, local_delay, answer: None }
    }
}

impl Conn {
    /// Whether the end of the connection would free a unit of the limit on connections that helps.
    pub fn frees_connection(&self, helps: impl Fn(&Reservation) -> bool) -> bool {
        helps(&self.reservation)
    }

    /// Whether any byte of the response has arrived.
    fn has_response_begun(&self) -> bool {
        !self.input.is_empty() || self.response.reader.head().is_some()
    }

    /// The bytes that are held of the response.
    fn held_bytes(&self) -> usize {
        self.input.len() + self.response.body.len()
    }

    /// Whether the attempt's request is not written completely, and so can't have run.
    fn is_unwritten(&self) -> bool {
        !self.is_open || !self.output.is_written()
    }

    /// The code of the attempt if the connection breaks now.
    fn code_if_broken(&self) -> Code {
        if self.is_unwritten() {
            Code::ConnectFailed
        } else {
            Code::Reset
        }
    }
}

impl Proxy {
    /// Sends an attempt on an idle connection or on a new one; `must_not_repeat`: the request may not be
    /// repeated.
    pub fn send_attempt(
        &mut self,
        attempt: Attempt,
        to: Target,
        request: &Rc<Counted<Request>>,
        timeout: Duration,
        must_not_repeat: bool,
    ) {
        let sent = Instant::now();
        let zero = Duration::ZERO;
        let failed = AttemptResult {
            attempt,
            target: Some(to),
            code: Code::ConnectFailed,
            latency: zero,
            local_delay: zero,
            answer: None,
        };
        let Some(&address) = self.upstreams.addresses.get(&to) else {
            return self.attempt_ended(failed);
        };
        let id = match self.upstreams.take_idle(&self.net, to, must_not_repeat) {
            Some(id) => id,
            None => {
                let Some(settings) = self.upstreams.settings.get(&to.pool) else {
                    return self.attempt_ended(failed);
                };
                let (holder, connect_timeout) = (settings.holder, settings.connect_timeout);
                let Some(reservation) = self.acquire_connection(holder) else {
                    warn!(self.net.log, "no connection is left for an attempt";
                        "upstreams" => self.upstreams.count(),
                        "pool" => self.pool_name(to.pool));
                    // This failure says nothing about the upstream.
                    return self.attempt_ended(AttemptResult { target: None, code: Code::Moot, ..failed });
                };
                let id = self.net.next_connection_id();
                let ready =
                    move |proxy: &mut Proxy, r: calloop::Readiness| proxy.upstream_ready(id, r.writable);
                let socket = match crate::connect(address).and_then(|s| self.net.watch(s, ready)) {
                    Ok(socket) => socket,
                    // This failure says nothing about the upstream.
                    Err(e) if is_local_shortage(&e) => {
                        return self.attempt_ended(AttemptResult {
                            target: None,
                            code: Code::Moot,
                            ..failed
                        });
                    }
                    Err(_) => return self.attempt_ended(failed),
                };
                let conn = Conn {
                    upstream: to,
                    reservation,
                    address,
                    socket,
                    is_open: false,
                    output: OutgoingRequest::new(&self.net.memory),
                    input: self.net.memory.buffer(MemoryUse::UpstreamInput),
                    response: IncomingResponse::new(&self.net.memory, false, sent),
                    in_flight: None,
                    transfer: None,
                    idle_since: sent,
                };
                self.upstreams.conns.insert(id, conn);
                let connect_by = sent + connect_timeout;
                self.upstreams.deadlines.push(Reverse((connect_by, attempt, true)));
                id
            }
        };
        debug!(self.net.log, "sent"; "request" => attempt.0 .0, "attempt" => attempt.1,
            "upstream" => self.upstream_name(to),
            "open" => self.upstreams.conns.get(&id).is_some_and(|c| c.is_open));
        self.upstreams.set_deadline(attempt, sent + timeout);
        self.upstreams.connection_by_attempt.insert(attempt, id);
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        conn.input.edit(Vec::clear);
        conn.output.begin(request, &conn.address.to_string(), timeout, &self.net.limits);
        conn.response = IncomingResponse::new(&self.net.memory, request.method == "HEAD", sent);
        conn.in_flight = Some(InFlight { attempt, sent_at: sent, local_delay: zero });
        if conn.is_open {
            self.upstream_ready(id, true);
        }
    }

    /// Handles a connection that has been established, has become writable, or has data to read.
    fn upstream_ready(&mut self, id: ConnId, writable: bool) {
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        if conn.transfer.is_some() {
            return self.upstreams.ready_transfers.push(id);
        }
        if !conn.is_open {
            let failed = !matches!(conn.socket.stream.take_error(), Ok(None));
            // Until the connection is established, only an error or its becoming writable is meaningful.
            if failed || (writable && conn.socket.stream.peer_addr().is_err()) {
                return self.upstream_connection_broken(id);
            }
            if !writable {
                return;
            }
            conn.is_open = true;
            let local_delay = self.net.rounds.local_delay(Instant::now());
            conn.in_flight.iter_mut().for_each(|f| f.local_delay = local_delay);
        }
        // The decision to send was made when the connection was requested, which may be long ago, so it is
        // checked again: the request can't run before its last byte is written.
        let unwritten = conn.in_flight.as_ref().filter(|_| !conn.output.is_written()).map(|f| f.attempt);
        if unwritten.is_some_and(|(request, _)| self.end_if_client_left(request)) {
            return;
        }
        if let Some(attempt) = unwritten.filter(|a| !self.may_write(*a)) {
            if let Some(ended) = self.upstreams.cancel_unwritten(&self.net, attempt) {
                self.attempt_ended(ended);
            }
            return;
        }
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let was_written = conn.output.is_written();
        let wrote = conn.output.write(&conn.socket.stream, &self.net.limits);
        if conn.in_flight.is_some() && !was_written && conn.output.is_written() {
            self.stats.record_attempt_written();
        }
        self.receive_response(id, wrote.is_err());
    }

    /// Removes a connection that broke or whose response can't be used, and ends its attempt.
    fn upstream_connection_broken(&mut self, id: ConnId) {
        let Some(conn) = self.upstreams.remove(&self.net, id, CloseReason::Broken) else { return };
        if let Some(in_flight) = &conn.in_flight {
            self.upstreams.learn_idle_timeout(&self.net, &conn, in_flight);
            self.attempt_ended(
                in_flight.result(conn.code_if_broken(), &self.net.rounds).with_target(conn.upstream),
            );
        }
    }

    /// Ends the attempts that have timed out, and those whose connection was not established in time.
    pub fn expire_attempts(&mut self, now: Instant) {
        while self.upstreams.next_deadline().is_some_and(|at| at <= now) {
            let Some(Reverse((_, attempt, connecting))) = self.upstreams.deadlines.pop() else { return };
            let Some(&id) = self.upstreams.connection_by_attempt.get(&attempt) else { continue };
            if connecting && self.upstreams.conns.get(&id).is_some_and(|c| c.is_open) {
                continue;
            }
            if !connecting && self.outlasts_timeout(id, now) {
                continue;
            }
            let Some(conn) = self.upstreams.remove(&self.net, id, CloseReason::TimedOut) else { continue };
            let code = if conn.is_unwritten() { Code::ConnectFailed } else { Code::Timeout };
            if let Some(in_flight) = &conn.in_flight {
                self.attempt_ended(in_flight.result(code, &self.net.rounds).with_target(conn.upstream));
            }
        }
    }
}
