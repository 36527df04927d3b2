//! The downstream side: the listener and the connections of callers.

use crate::admission::Unfit;
use crate::exchange::Final;
use crate::http::{self, Bad, Incoming, Outgoing};
use crate::pools::Budgets;
use crate::reasons::CloseReason;
use crate::reservation::Reservation;
use crate::socket_errors::{accept_failure, AcceptFailure};
use crate::{ConnId, Net, Proxy, Reading, Watched};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use garnettally_config::file::Listener as Plan;
use garnettally_decisions::facade::RequestId;
use garnettally_routing::budget::{exceeds_share, HolderId, Refusal, Share};
use rustc_hash::FxHashMap;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use slog::{debug, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a caller's connection is doing.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Between requests, or in the middle of one that is not whole.
    Reading,
    /// It waits for the answer to this one.
    Waiting(RequestId),
    /// It has had its last answer; what it still sends is thrown away.
    Lingering,
}

struct Conn {
    listener: ListenerId,
    /// Its places among the connections of both sides, and among the callers'.
    lease: Reservation,
    _caller: Reservation,
    socket: Watched,
    state: State,
    input: Vec<u8>,
    /// What has come behind the input while a request waits. It is read so that the end behind it is seen.
    ahead: VecDeque<u8>,
    output: Vec<u8>,
    written: usize,
    close: bool,
    continued: bool,
    /// It has brought a whole request.
    spoke: bool,
    /// It came up, fell idle, or began its present request, at this time. Its first request has begun when it
    /// came up: who connects and says nothing is as slow as who sends half a head.
    since: Instant,
}

/// The number of a listener; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(u64);

/// One address that callers connect to.
struct Listener {
    name: String,
    /// As the configuration says; with port 0 another one is bound.
    address: SocketAddr,
    /// `None`: it is closed, and its connections end.
    socket: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// When accepting goes on, if it rests.
    resume: Option<Instant>,
    connections: HolderId,
    callers: HolderId,
    requests: HolderId,
    memory: Share,
}

/// The listeners and their connections.
#[derive(Default)]
pub struct Callers {
    listeners: BTreeMap<ListenerId, Listener>,
    next: u64,
    conns: FxHashMap<ConnId, Conn>,
    /// Those that had more than one turn takes.
    unread: Vec<ConnId>,
}

/// Binds an address and begins to listen; nothing is accepted before [`Callers::add`] has it watched. With
/// `shared`, a second process that replaces this one may listen on the same address beside it (SO_REUSEPORT).
pub fn bind(net: &Net, address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?; // a restart must not wait for the old connections
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(net.limits.listen_backlog)?;
    Ok(TcpListener::from(socket))
}

impl Callers {
    /// Accepts on a listener that is bound.
    pub fn add(&mut self, net: &Net, budgets: &Budgets, plan: Plan, bound: TcpListener) -> io::Result<()> {
        self.next += 1;
        let id = ListenerId(self.next);
        let listener = Rc::new(bound);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = net.handle.insert_source(source, move |_, _, proxy: &mut Proxy| {
            proxy.accept(id);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error))?;
        let listener = Listener {
            name: plan.name,
            address: plan.address,
            socket: Some((listener, token)),
            resume: None,
            connections: budgets.connections.add_holder(plan.connections),
            callers: budgets.callers.add_holder(plan.connections),
            requests: budgets.requests.add_holder(plan.requests),
            memory: plan.memory_bytes,
        };
        self.listeners.insert(id, listener);
        Ok(())
    }

    /// The open listeners: number, name and configured address.
    pub fn listening(&self) -> impl Iterator<Item = (ListenerId, &str, SocketAddr)> {
        let open = self.listeners.iter().filter(|(_, l)| l.socket.is_some());
        open.map(|(&id, l)| (id, l.name.as_str(), l.address))
    }

    /// Changes the shares of a listener that stays.
    pub fn change(&mut self, budgets: &Budgets, id: ListenerId, plan: &Plan) {
        if let Some(l) = self.listeners.get_mut(&id) {
            budgets.connections.set_share(l.connections, plan.connections);
            budgets.callers.set_share(l.callers, plan.connections);
            budgets.requests.set_share(l.requests, plan.requests);
            l.memory = plan.memory_bytes;
        }
    }

    /// Ends a listener, after what the kernel has accepted for it was taken. Its connections go on until they are
    /// between requests.
    fn close_listener(&mut self, net: &Net, id: ListenerId) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            if let Some((_, token)) = listener.socket.take() {
                net.handle.remove(token);
            }
            listener.resume = None;
        }
    }

    /// Whose share of the requests those of a listener are.
    pub fn request_holder(&self, id: ListenerId) -> Option<HolderId> {
        self.listeners.get(&id).map(|l| l.requests)
    }

    pub fn listener_name(&self, id: ListenerId) -> &str {
        self.listeners.get(&id).map_or("", |l| l.name.as_str())
    }

    /// A request that waits for its answer has got another number.
    pub fn waits_for(&mut self, caller: ConnId, number: RequestId) {
        if let Some(conn) = self.conns.get_mut(&caller) {
            conn.state = State::Waiting(number);
        }
    }

    /// When accepting goes on, where it rests.
    pub fn resume_at(&self) -> Option<Instant> {
        self.listeners.values().filter_map(|l| l.resume).min()
    }

    /// The connection between requests that is missed least, of those that fit: one that never brought a request,
    /// before those of the usual clients, who come back to theirs; then the one that has been idle for longest.
    fn oldest_idle(&self, fresh: Option<Instant>, fits: impl Fn(&Conn) -> bool) -> Option<ConnId> {
        let idle =
            self.conns.iter().filter(|(_, c)| c.idle() && fresh.is_none_or(|at| c.spoke || c.since <= at));
        idle.filter(|(_, c)| fits(c)).min_by_key(|(_, c)| (c.spoke, c.since)).map(|(&id, _)| id)
    }

    /// Whether a listener's connections hold more than they may of requests that are not whole, and of those that
    /// wait behind another.
    fn hold_too_much(&self, id: ListenerId, capacity: usize) -> bool {
        let mut held: BTreeMap<ListenerId, (Share, usize)> =
            self.listeners.iter().map(|(&id, l)| (id, (l.memory, 0))).collect();
        for c in self.conns.values() {
            held.entry(c.listener).or_default().1 += c.input.len() + c.ahead.len();
        }
        let at = held.keys().position(|&l| l == id).unwrap_or(usize::MAX);
        exceeds_share(capacity, &held.into_values().collect::<Vec<_>>(), at)
    }

    /// Whether there is more to read.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    fn drop_conn(&mut self, net: &Net, id: ConnId, reason: CloseReason) {
        if let Some(conn) = self.conns.remove(&id) {
            debug!(net.log, "a client's connection closes"; "connection" => id, "reason" => %reason);
            net.unwatch(conn.socket);
        }
    }

    /// Ends all listening.
    pub fn stop_listening(&mut self, net: &Net) {
        for id in self.listeners.keys().copied().collect::<Vec<_>>() {
            self.close_listener(net, id);
        }
    }

    /// Whether the listener of a connection has been closed.
    fn left(&self, conn: &Conn) -> bool {
        self.listeners.get(&conn.listener).is_none_or(|l| l.socket.is_none())
    }

    /// Whether an answer is still to be written, or a request begun is still to come in. A new connection is owed
    /// `linger` for its first request, and one that has had its last answer for its peer's end: a close that crosses
    /// what the peer sends is a reset, which may cost it the answer.
    pub fn owes(&self, now: Instant, linger: Duration) -> bool {
        self.conns.values().any(|c| {
            let young = now.saturating_duration_since(c.since) < linger;
            match c.state {
                State::Lingering => young || c.written < c.output.len(),
                _ => !c.idle() || (young && !c.spoke),
            }
        })
    }

    /// Whether accepting rests anywhere.
    pub fn rests(&self) -> bool {
        self.listeners.values().any(|l| l.resume.is_some())
    }
}

impl Conn {
    fn idle(&self) -> bool {
        self.state == State::Reading && !self.has_input() && self.written == self.output.len()
    }

    /// Whether bytes were read that are not taken yet.
    fn has_input(&self) -> bool {
        !self.input.is_empty() || !self.ahead.is_empty()
    }

    /// Moves what was read ahead to the input, until that holds more than `most`.
    fn refill(&mut self, most: usize) {
        let room = (most + 1).saturating_sub(self.input.len()).min(self.ahead.len());
        self.input.extend(self.ahead.drain(..room));
        if self.ahead.is_empty() {
            self.ahead = VecDeque::new();
        }
    }

    /// Forgets what was read and not taken.
    fn drop_input(&mut self) {
        (self.input, self.ahead) = (Vec::new(), VecDeque::new());
    }
}

impl Proxy {
    /// Takes every connection that waits, at every listener.
    pub fn accept_all(&mut self) {
        for id in self.callers.listeners.keys().copied().collect::<Vec<_>>() {
            self.accept(id);
        }
    }

    /// Takes every connection that waits. At the limit idle ones make room; while none is idle, the rest
    /// wait in the kernel's queue: closing one there would lose a request that is taken already.
    pub fn accept(&mut self, at: ListenerId) {
        // So many connections in a row that are gone already are no chance: a rest, so that nothing spins.
        const BROKEN_MOST: u32 = 64;
        let mut broken = 0;
        while let Some((l, (listener, _))) =
            self.callers.listeners.get(&at).and_then(|l| l.socket.as_ref().map(|s| (l, s)))
        {
            let (listener, connections, callers) = (listener.clone(), l.connections, l.callers);
            // The callers' own limit is one more than that, until the next one comes: nothing is closed for a
            // connection that is not there.
            while let Err(why) = self.budgets.callers.check(&[Some(callers)]) {
                if !self.close_idle_caller_for(|c| c._caller.would_admit(callers, why)) {
                    return self.rest_accepting(at, "no connection is idle");
                }
            }
            if !self.has_room(connections) {
                return self.rest_accepting(at, "no connection is idle");
            }
            let stream = match accept(&listener) {
                Accepted::Stream(stream) => stream,
                Accepted::Failed(AcceptFailure::Empty, _) => return,
                Accepted::Failed(AcceptFailure::Connection, _) if broken < BROKEN_MOST => {
                    broken += 1;
                    continue;
                }
                Accepted::Failed(AcceptFailure::Shortage, e) => {
                    self.upstreams.close_oldest_idle(&self.net, |_| true);
                    self.close_idle_caller_for(|_| true);
                    return self.rest_accepting(at, &e.to_string());
                }
                Accepted::Failed(_, e) => return self.rest_accepting(at, &e.to_string()),
            };
            let leases = (
                self.budgets.connections.reserve(&[Some(connections)]),
                self.budgets.callers.reserve(&[Some(callers)]),
            );
            let (Ok(lease), Ok(caller)) = leases else { continue };
            let id = self.net.number();
            let stream =
                stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).map(|()| stream);
            let ready = move |proxy: &mut Proxy, _| proxy.caller_ready(id);
            let socket = match stream.and_then(|s| self.net.watch(s, ready)) {
                Ok(socket) => socket,
                Err(e) => {
                    warn!(self.net.log, "a caller's connection could not be served"; "error" => %e);
                    continue;
                }
            };
            let conn = Conn {
                listener: at,
                lease,
                _caller: caller,
                socket,
                state: State::Reading,
                input: Vec::new(),
                ahead: VecDeque::new(),
                output: Vec::new(),
                written: 0,
                close: false,
                continued: false,
                spoke: false,
                since: Instant::now(),
            };
            self.callers.conns.insert(id, conn);
        }
    }

    fn rest_accepting(&mut self, at: ListenerId, why: &str) {
        let callers = self.callers.conns.len();
        let Some(listener) = self.callers.listeners.get_mut(&at) else { return };
        if let Some((_, token)) = &listener.socket {
            warn!(self.net.log, "accepting rests"; "why" => why, "callers" => callers, "listener" => &listener.name);
            let _ = self.net.handle.disable(token);
            listener.resume = Some(Instant::now() + self.net.limits.accept_pause);
        }
    }

    /// Goes on accepting after a rest.
    pub fn resume_accepting(&mut self, now: Instant) {
        for listener in self.callers.listeners.values_mut() {
            if listener.resume.is_some_and(|at| at <= now) {
                listener.resume = None;
                if let Some((_, token)) = &listener.socket {
                    let _ = self.net.handle.enable(token);
                }
            }
        }
    }

    /// Closes a listener that the newest version does not name.
    pub fn leave_listener(&mut self, id: ListenerId) {
        // What the kernel has accepted is taken already.
        self.accept(id);
        self.callers.close_listener(&self.net, id);
    }

    /// Ends what the listeners that were closed have left, once it is between requests.
    pub fn end_left_listeners(&mut self) {
        let closed = |l: &Listener| l.socket.is_none();
        if self.shutdown.is_closing() || !self.callers.listeners.values().any(closed) {
            return;
        }
        self.end_idle_callers(Instant::now(), false);
        let used: BTreeSet<ListenerId> = self.callers.conns.values().map(|c| c.listener).collect();
        let done: Vec<ListenerId> = self
            .callers
            .listeners
            .iter()
            .filter(|(id, l)| closed(l) && !used.contains(id))
            .map(|(&id, _)| id)
            .collect();
        for id in done {
            if let Some(l) = self.callers.listeners.remove(&id) {
                self.budgets.connections.remove_holder(l.connections);
                self.budgets.callers.remove_holder(l.callers);
                self.budgets.requests.remove_holder(l.requests);
            }
        }
    }

    fn caller_ready(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        if flush(conn).is_err() {
            return self.caller_left(id);
        }
        // One request and its head at a time; what lies beyond stays in the socket.
        let limits = &self.net.limits;
        let (read_bytes, caller_bytes, discard) =
            (limits.read_chunk_bytes, limits.max_callers_buffered_bytes, limits.caller_discard_bytes);
        let most = if conn.state == State::Reading { limits.max_request_bytes } else { read_bytes };
        let (was_idle, listener) = (conn.idle(), conn.listener);
        if conn.state == State::Lingering {
            conn.ahead = VecDeque::new();
        }
        conn.refill(most);
        // Bytes that were read ahead come before those in the socket.
        let mut reading = match conn.ahead.is_empty() {
            true => self.net.read(&conn.socket.stream, &mut conn.input, most),
            false => Reading::Open,
        };
        let mut discarded = 0;
        while conn.state == State::Lingering && !conn.input.is_empty() {
            discarded += conn.input.len();
            conn.input.clear();
            if discarded >= discard {
                return self.callers.unread.push(id);
            }
            reading = self.net.read(&conn.socket.stream, &mut conn.input, most);
        }
        if was_idle && conn.spoke && !conn.input.is_empty() {
            conn.since = Instant::now();
        }
        let (large, more) = (conn.input.len() > read_bytes, conn.input.len() > most);
        match (reading, conn.state) {
            (Reading::Open, State::Reading) => {
                self.take_requests(id);
                if large && self.callers.hold_too_much(listener, caller_bytes) {
                    self.reject_unfinished(id);
                }
            }
            (Reading::Open, _) => {}
            // What came before the end may be a whole request, but nobody waits for its answer any more.
            (Reading::Ended | Reading::Broken, _) => return self.caller_left(id),
        }
        if !more {
            return;
        }
        // What still lies in the socket has told of itself, and does not do so again: neither do the bytes, if the
        // requests before them have been answered, nor the end behind them, if one waits.
        match self.callers.conns.get(&id) {
            Some(c) if matches!(c.state, State::Waiting(_)) => self.look_for_the_end(id),
            Some(c) if c.state == State::Reading && c.input.len() <= most => self.callers.unread.push(id),
            _ => {}
        }
    }

    /// Finds out whether a client has closed its connection behind bytes that are not taken, as its request waits: the
    /// kernel knows of no end that lies behind more than a socket holds, so bytes are read ahead.
    fn look_for_the_end(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get(&id) else { return };
        match peer(&conn.socket.stream) {
            Peer::Quiet => {}
            Peer::Closed => self.caller_left(id),
            Peer::Unread if self.read_ahead(id) == Reading::Open => {}
            Peer::Unread => self.caller_left(id),
        }
    }

    /// Reads what lies behind the input, as far as the limits allow.
    fn read_ahead(&mut self, id: ConnId) -> Reading {
        let (most, together) =
            (self.net.limits.max_caller_read_ahead_bytes, self.net.limits.max_callers_buffered_bytes);
        let Some(conn) = self.callers.conns.get(&id) else { return Reading::Open };
        let room = most.saturating_sub(conn.ahead.len());
        if room == 0 || self.callers.hold_too_much(conn.listener, together) {
            return Reading::Open;
        }
        let Some(conn) = self.callers.conns.get_mut(&id) else { return Reading::Open };
        let mut bytes = Vec::new();
        let reading = self.net.read(&conn.socket.stream, &mut bytes, room);
        conn.ahead.extend(bytes);
        reading
    }

    /// Goes on with what could not be read or thrown away in one turn.
    pub fn resume_reading(&mut self) {
        for id in std::mem::take(&mut self.callers.unread) {
            self.caller_ready(id);
        }
    }

    /// All callers together hold too much: this one, which holds much, gives it up, if it is not whole.
    fn reject_unfinished(&mut self, id: ConnId) {
        // What lies ahead may make it whole.
        let unfinished = |c: &Conn| c.state == State::Reading && !c.input.is_empty() && c.ahead.is_empty();
        if self.callers.conns.get(&id).is_some_and(unfinished) {
            self.reject_caller(id, Bad(413));
        }
    }

    /// Ends a connection whose peer has ended its sending; whether it has.
    pub fn end_if_hung_up(&mut self, id: ConnId) -> bool {
        let gone = self.callers.conns.get(&id).is_some_and(|c| peer(&c.socket.stream) == Peer::Closed);
        if gone {
            self.caller_left(id);
        }
        gone
    }

    fn caller_left(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.remove(&id) else { return };
        debug!(self.net.log, "a client's connection closes"; "connection" => id, "reason" => %CloseReason::PeerLeft);
        let state = conn.state;
        self.net.unwatch(conn.socket);
        if let State::Waiting(request) = state {
            self.client_gone(request);
        }
    }

    /// Takes the request that the input holds, if it is whole.
    fn take_requests(&mut self, id: ConnId) {
        while let Some(conn) = self.callers.conns.get_mut(&id) {
            if conn.state != State::Reading || conn.input.is_empty() {
                return;
            }
            match http::request(&conn.input, &self.net.limits) {
                Ok(Incoming::Partial { .. }) if conn.input.len() > self.net.limits.max_request_bytes => {
                    return self.reject_caller(id, Bad(413));
                }
                Ok(Incoming::Partial { expects }) => {
                    if expects && !std::mem::replace(&mut conn.continued, true) {
                        conn.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        if flush(conn).is_err() {
                            self.caller_left(id);
                        }
                    }
                    return;
                }
                Ok(Incoming::Whole(request, used)) => {
                    conn.input.drain(..used);
                    conn.input.shrink_to(self.net.limits.retained_buffer_bytes);
                    (conn.continued, conn.spoke, conn.since) = (false, true, Instant::now());
                    conn.close = !request.keep_alive;
                    if request.path() == "/ready" {
                        let status = if self.ready() { 200 } else { 503 };
                        self.write_answer(id, &Outgoing { status, ..Outgoing::default() });
                    } else {
                        let listener = conn.listener;
                        match (self.take_request(id, listener, *request), self.callers.conns.get_mut(&id)) {
                            (Ok(number), Some(conn)) => conn.state = State::Waiting(number),
                            (Err(Unfit::Bad(bad)), _) => self.reject_caller(id, bad),
                            (Err(Unfit::Refused { retry_after, .. }), _) => {
                                self.write_refusal(id, retry_after)
                            }
                            (Ok(_), None) => {}
                        }
                    }
                }
                Err(bad) => return self.reject_caller(id, bad),
            }
        }
    }

    /// Answers what can't be taken, then closes: what follows it may be part of it.
    fn reject_caller(&mut self, id: ConnId, Bad(status): Bad) {
        debug!(self.net.log, "a request was not understood"; "status" => status);
        if let Some(conn) = self.callers.conns.get_mut(&id) {
            conn.close = true;
            conn.drop_input();
        }
        self.write_answer(id, &Outgoing { status, ..Outgoing::default() });
    }

    fn write_refusal(&mut self, id: ConnId, retry_after: Option<Duration>) {
        // Other installations' clients read whole seconds, as the standard has it.
        let advice = retry_after.map(|t| match self.version.is_some() {
            true => format!("Retry-After: {}\r\n", t.as_secs_f64().ceil().max(1.0)),
            false => format!("Retry-After: {:.3}\r\n", t.as_secs_f64()),
        });
        let headers = advice.unwrap_or_default();
        self.write_answer(id, &Outgoing { status: 503, headers: headers.as_bytes(), ..Outgoing::default() });
    }

    /// Gives a request its final answer, and the connection's next request its turn.
    pub fn answer_caller(&mut self, id: ConnId, answer: Final<'_>) {
        match answer {
            Final::Passed(a) => {
                let (status, headers, body) = (a.status, &a.headers[..], &a.body[..]);
                self.write_answer(id, &Outgoing { status, headers, body, bare_length: a.bare_length });
            }
            Final::Failed => self.write_answer(id, &Outgoing { status: 502, ..Outgoing::default() }),
            Final::Refused { retry_after } => self.write_refusal(id, retry_after),
        }
        // It may have sent the next one meanwhile.
        if self.callers.conns.get(&id).is_some_and(Conn::has_input) {
            self.caller_ready(id);
        }
    }

    /// Writes an answer; then the connection closes, or takes its next request.
    fn write_answer(&mut self, id: ConnId, answer: &Outgoing<'_>) {
        let closing = self.shutdown.is_closing()
            || self.admin.draining()
            || self.callers.conns.get(&id).is_some_and(|conn| self.callers.left(conn));
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        conn.close |= closing;
        http::write_answer(&mut conn.output, answer, conn.close);
        conn.state = if conn.close { State::Lingering } else { State::Reading };
        conn.since = Instant::now();
        if flush(conn).is_err() {
            return self.caller_left(id);
        }
        if conn.output.is_empty() {
            conn.output.shrink_to(self.net.limits.retained_buffer_bytes);
        }
    }

    /// Closes what has been idle, half sent or lingering for too long.
    pub fn sweep_callers(&mut self, now: Instant) {
        let limits = &self.net.limits;
        let (mut slow, mut old) = (Vec::new(), Vec::new());
        for (&id, c) in &self.callers.conns {
            let age = now.saturating_duration_since(c.since);
            match c.state {
                State::Waiting(_) => {}
                State::Lingering if c.written < c.output.len() && age < limits.caller_request_timeout => {}
                State::Lingering if age >= limits.caller_linger_timeout => old.push(id),
                State::Reading if c.idle() => {
                    let most =
                        if c.spoke { limits.caller_idle_timeout } else { limits.caller_request_timeout };
                    if age >= most {
                        old.push(id);
                    }
                }
                State::Reading if age >= limits.caller_request_timeout => slow.push(id),
                _ => {}
            }
        }
        for id in slow {
            self.reject_caller(id, Bad(408));
        }
        for id in old {
            self.caller_ready(id); // its next request, or its end, may have come just now
            match self.callers.conns.get(&id) {
                Some(c) if c.state == State::Lingering => {
                    self.callers.drop_conn(&self.net, id, CloseReason::Finished);
                }
                Some(c) if c.idle() => self.end_if_idle(id),
                _ => {}
            }
        }
    }

    /// Ends the connections between requests, `all` or those whose listener was closed; those that came up just now get time for their first one.
    pub fn end_idle_callers(&mut self, now: Instant, all: bool) {
        let linger = self.net.limits.drain_linger;
        let callers = &self.callers;
        let due = |c: &Conn| c.idle() && (c.spoke || now.saturating_duration_since(c.since) >= linger);
        let idle = callers.conns.iter().filter(|(_, c)| due(c) && (all || callers.left(c)));
        for id in idle.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.end_if_idle(id);
        }
    }

    /// Ends a connection between requests, unless its next one lies in the socket: that one is taken up. The sending
    /// ends, and what still comes is thrown away until the peer ends, too: a close that crosses its bytes would be
    /// a reset. A request among them was never taken, and its client tries again elsewhere.
    fn end_if_idle(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        if conn.socket.stream.peek(&mut [0]).is_ok_and(|n| n > 0) {
            return self.caller_ready(id);
        }
        (conn.close, conn.state, conn.since) = (true, State::Lingering, Instant::now());
        if conn.socket.stream.shutdown(Shutdown::Write).is_err() {
            return self.callers.drop_conn(&self.net, id, CloseReason::PeerLeft);
        }
        debug!(self.net.log, "a client's connection ends between requests"; "connection" => id, "reason" => %CloseReason::Idle);
        self.caller_ready(id);
    }

    /// Closes the connection that is missed least: one that has had its last answer, else the one that has been
    /// between requests for longest. One whose next request lies in the socket is not between requests: that request
    /// is taken, and closing would lose it.
    fn close_idle_caller_for(&mut self, fits: impl Fn(&Conn) -> bool) -> bool {
        let done = |c: &Conn| c.state == State::Lingering && c.written == c.output.len();
        let done = self.callers.conns.iter().filter(|(_, c)| done(c) && fits(c)).min_by_key(|(_, c)| c.since);
        if let Some(id) = done.map(|(&id, _)| id) {
            self.callers.drop_conn(&self.net, id, CloseReason::Displaced);
            return true;
        }
        // Only those that are not about to ask.
        let fresh = Instant::now().checked_sub(self.net.limits.caller_min_age_to_evict);
        while let Some(id) = self.callers.oldest_idle(fresh, &fits) {
            self.end_if_idle(id);
            if self.callers.conns.get(&id).is_some_and(|c| c.state == State::Lingering) {
                self.callers.drop_conn(&self.net, id, CloseReason::Displaced);
            }
            if !self.callers.conns.contains_key(&id) {
                return true;
            }
        }
        false
    }

    /// Closes one whose place helps a holder that was refused one.
    pub fn close_idle_caller_helping(&mut self, holder: HolderId, why: Refusal) -> bool {
        self.close_idle_caller_for(|c| c.lease.would_admit(holder, why))
    }
}

/// What the kernel knows of a peer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Peer {
    /// It may send more, and nothing of it is unread.
    Quiet,
    /// It may send more, and bytes of it are unread.
    Unread,
    /// It has ended its sending, also where unread bytes lie before that end.
    Closed,
}

fn peer(stream: &TcpStream) -> Peer {
    match stream.peek(&mut [0]) {
        Ok(0) => Peer::Closed,
        Ok(_) if hung_up_behind_bytes(stream) => Peer::Closed,
        Ok(_) => Peer::Unread,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Peer::Quiet,
        Err(_) => Peer::Closed,
    }
}

/// Whether the peer has ended its sending behind unread bytes.
fn hung_up_behind_bytes(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    loop {
        match poll(&mut polled, Some(&Timespec::default())) {
            Err(Errno::INTR) => {}
            answered => return matches!(answered, Ok(1..)) && polled[0].revents().intersects(gone),
        }
    }
}

/// What one accept brought.
pub enum Accepted {
    Stream(TcpStream),
    /// No connection, for this reason.
    Failed(AcceptFailure, io::Error),
}

/// Takes one connection off a listener's queue.
pub fn accept(listener: &TcpListener) -> Accepted {
    match listener.accept() {
        Ok((stream, _)) => Accepted::Stream(stream),
        Err(e) => Accepted::Failed(accept_failure(&e), e),
    }
}

/// Writes what is to be written; the end of the last answer ends the sending.
fn flush(conn: &mut Conn) -> io::Result<()> {
    crate::write(&conn.socket.stream, &conn.output, &mut conn.written)?;
    if conn.written == conn.output.len() && conn.written > 0 {
        conn.output.clear();
        conn.written = 0;
        if conn.state == State::Lingering {
            conn.socket.stream.shutdown(Shutdown::Write)?;
        }
    }
    Ok(())
}
