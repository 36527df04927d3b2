//! The downstream side: the listeners and the connections of callers.

use crate::admission::{AdmissionError, RETRY_AFTER};
use crate::exchange::FinalResponse;
use crate::http::{self, HttpError, Incoming, OutgoingResponse};
use crate::memory::{Buffer, Charge, MemoryUse};
use crate::pools::Budgets;
use crate::reasons::{CloseReason, RefusalReason};
use crate::reservation::Reservation;
use crate::socket_errors::{accept_failure, AcceptFailure};
use crate::{ConnId, Limits, Net, Proxy, ReadStatus, WatchedStream};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use garnettally_config::file::Listener as ListenerConfig;
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

/// The state of a caller's connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnState {
    /// The connection is between requests, or a request is being received.
    Reading,
    /// A complete request was received, and its response is outstanding.
    Waiting(RequestId),
    /// The last response was given; what the peer still sends is discarded.
    Lingering,
}

/// A connection of a caller.
struct Conn {
    listener: ListenerId,
    /// The connection's unit of the budget for the connections of both sides.
    connection_reservation: Reservation,
    /// The connection's unit of the budget for callers' connections.
    caller_reservation: Reservation,
    socket: WatchedStream,
    state: ConnState,
    /// The bytes of requests that are received and not processed yet.
    input: Buffer,
    /// Bytes that follow `input` and arrived while a request awaits its response. They are read so that a
    /// close behind them is noticed.
    read_ahead: VecDeque<u8>,
    /// The memory that `read_ahead` takes.
    read_ahead_charge: Charge,
    output: Buffer,
    /// The number of bytes of `output` that the socket has accepted.
    written: usize,
    /// Whether the connection closes after the next response.
    close_after_response: bool,
    /// How many bytes are missing of the request that is being received; `None`: its length is not known.
    missing_bytes: Option<usize>,
    /// Whether bytes may be left in the socket that the event loop has reported already.
    has_unread: bool,
    /// Whether a `100 Continue` was sent for the request that is being received.
    sent_continue: bool,
    /// Whether the connection has carried a complete request.
    had_request: bool,
    /// When the connection was accepted, became idle, or began its current request. The first request counts
    /// as begun when the connection is accepted: a client that connects and sends nothing is as slow as one
    /// that sends half a head.
    since: Instant,
}

/// The result of receiving a part of the input.
struct Received {
    reading: ReadStatus,
    /// How many bytes were appended to the input.
    bytes: usize,
    /// Whether the socket has no more bytes for now.
    is_socket_empty: bool,
}

/// The number of a listener; numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(u64);

/// An address that callers connect to.
struct Listener {
    /// The name in the configuration.
    name: String,
    /// The address in the configuration; with port 0 the system binds a port of its choice.
    address: SocketAddr,
    /// `None`: the listener is closed, and its connections end.
    socket: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// When accepting resumes; `None`: it is not paused.
    paused_until: Option<Instant>,
    /// The listener's holder in the budget for the connections of both sides.
    connection_holder: HolderId,
    /// The listener's holder in the budget for callers' connections.
    caller_holder: HolderId,
    /// The listener's holder in the budget for requests.
    request_holder: HolderId,
    /// The listener's share of the memory for incomplete requests and for bytes that are read ahead.
    memory_share: Share,
}

/// The listeners and their connections.
#[derive(Default)]
pub struct Callers {
    listeners: BTreeMap<ListenerId, Listener>,
    /// The number given to the newest listener.
    last_listener: u64,
    conns: FxHashMap<ConnId, Conn>,
    /// The connections that had more input than one round reads.
    unread: Vec<ConnId>,
}

/// Binds an address and begins to listen; connections are accepted once [`Callers::add_listener`] has
/// registered the socket. With `shared`, a second process that replaces this one may listen on the same
/// address at the same time (SO_REUSEPORT).
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
    /// Adds a listener whose socket is bound, and starts accepting on it.
    pub fn add_listener(
        &mut self,
        net: &Net,
        budgets: &Budgets,
        config: ListenerConfig,
        bound: TcpListener,
    ) -> io::Result<()> {
        self.last_listener += 1;
        let id = ListenerId(self.last_listener);
        let listener = Rc::new(bound);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = net.handle.insert_source(source, move |_, _, proxy: &mut Proxy| {
            proxy.accept(id);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error))?;
        let listener = Listener {
            name: config.name,
            address: config.address,
            socket: Some((listener, token)),
            paused_until: None,
            connection_holder: budgets.connections.add_holder(config.connections),
            caller_holder: budgets.callers.add_holder(config.connections),
            request_holder: budgets.requests.add_holder(config.requests),
            memory_share: config.memory_bytes,
        };
        self.listeners.insert(id, listener);
        Ok(())
    }

    /// The open listeners: number, name and configured address.
    pub fn open_listeners(&self) -> impl Iterator<Item = (ListenerId, &str, SocketAddr)> {
        let open = self.listeners.iter().filter(|(_, l)| l.socket.is_some());
        open.map(|(&id, l)| (id, l.name.as_str(), l.address))
    }

    /// Changes the shares of a listener that a new configuration keeps.
    pub fn set_shares(&mut self, budgets: &Budgets, id: ListenerId, config: &ListenerConfig) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            budgets.connections.set_share(listener.connection_holder, config.connections);
            budgets.callers.set_share(listener.caller_holder, config.connections);
            budgets.requests.set_share(listener.request_holder, config.requests);
            listener.memory_share = config.memory_bytes;
        }
    }

    /// Closes a listener's socket; connections in the kernel's queue have to be accepted before. Its
    /// connections stay open until they are between requests.
    fn close_listener(&mut self, net: &Net, id: ListenerId) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            if let Some((_, token)) = listener.socket.take() {
                net.handle.remove(token);
            }
            listener.paused_until = None;
        }
    }

    /// The holder in the request budget that a listener's requests are counted in.
    pub fn request_holder(&self, id: ListenerId) -> Option<HolderId> {
        self.listeners.get(&id).map(|l| l.request_holder)
    }

    /// The configured name of a listener; empty if it was removed.
    pub fn listener_name(&self, id: ListenerId) -> &str {
        self.listeners.get(&id).map_or("", |l| l.name.as_str())
    }

    /// Replaces the number of the request whose response a connection awaits.
    pub fn set_awaited_request(&mut self, caller: ConnId, number: RequestId) {
        if let Some(conn) = self.conns.get_mut(&caller) {
            conn.state = ConnState::Waiting(number);
        }
    }

    /// The earliest time at which a listener resumes accepting; `None`: accepting is paused nowhere.
    pub fn accepting_resumes_at(&self) -> Option<Instant> {
        self.listeners.values().filter_map(|l| l.paused_until).min()
    }

    /// The idle connection whose loss matters least, among those that `fits` selects: first connections that
    /// never carried a request, then those of regular clients, who will reuse them; of each the one that has
    /// been idle for longest. Connections without a request are left out if they were accepted
    /// after `accepted_by`.
    fn least_needed_idle(
        &self,
        accepted_by: Option<Instant>,
        fits: impl Fn(&Conn) -> bool,
    ) -> Option<ConnId> {
        let idle = self
            .conns
            .iter()
            .filter(|(_, c)| c.is_idle() && accepted_by.is_none_or(|at| c.had_request || c.since <= at));
        idle.filter(|(_, c)| fits(c)).min_by_key(|(_, c)| (c.had_request, c.since)).map(|(&id, _)| id)
    }

    /// Whether a listener's connections buffer more bytes than its share of `capacity` allows: bytes of
    /// incomplete requests, and of requests that wait behind another.
    fn exceeds_memory_share(&self, id: ListenerId, capacity: usize) -> bool {
        let mut buffered: BTreeMap<ListenerId, (Share, usize)> =
            self.listeners.iter().map(|(&id, l)| (id, (l.memory_share, 0))).collect();
        for c in self.conns.values() {
            buffered.entry(c.listener).or_default().1 += c.input.len() + c.read_ahead.len();
        }
        let index = buffered.keys().position(|&l| l == id).unwrap_or(usize::MAX);
        exceeds_share(capacity, &buffered.into_values().collect::<Vec<_>>(), index)
    }

    /// Whether connections have input that the last round did not read.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    fn drop_conn(&mut self, net: &Net, id: ConnId, reason: CloseReason) {
        if let Some(conn) = self.conns.remove(&id) {
            debug!(net.log, "a client's connection closes"; "connection" => id, "reason" => %reason);
            net.unwatch(conn.socket);
        }
    }

    /// Closes the sockets of all listeners.
    pub fn stop_listening(&mut self, net: &Net) {
        for id in self.listeners.keys().copied().collect::<Vec<_>>() {
            self.close_listener(net, id);
        }
    }

    /// Whether the listener of a connection has been closed.
    fn is_listener_closed(&self, conn: &Conn) -> bool {
        self.listeners.get(&conn.listener).is_none_or(|l| l.socket.is_none())
    }

    /// Whether a response is still to be written, or the rest of a request is still to be received. A new
    /// connection is given `linger` for its first request. A connection after its last response is given the
    /// same for its peer to close: a close that crosses bytes of the peer becomes a reset, which may destroy
    /// the response.
    pub fn has_outstanding_work(&self, now: Instant, linger: Duration) -> bool {
        self.conns.values().any(|c| {
            let is_recent = now.saturating_duration_since(c.since) < linger;
            match c.state {
                ConnState::Lingering => is_recent || c.written < c.output.len(),
                _ => !c.is_idle() || (is_recent && !c.had_request),
            }
        })
    }

    /// Whether accepting is paused at any listener.
    pub fn is_accepting_paused(&self) -> bool {
        self.listeners.values().any(|l| l.paused_until.is_some())
    }
}

impl Conn {
    /// Whether the connection is between requests, with nothing to process and nothing to write.
    fn is_idle(&self) -> bool {
        self.state == ConnState::Reading && !self.has_input() && self.written == self.output.len()
    }

    /// Whether bytes were read that are not processed yet.
    fn has_input(&self) -> bool {
        !self.input.is_empty() || !self.read_ahead.is_empty()
    }

    /// The number of bytes that wait to be written.
    fn backlog_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether a part of a request has been received, and no more of it was read.
    fn is_request_incomplete(&self, limits: &Limits) -> bool {
        // Behind a backlog, the input may hold whole requests.
        let has_backlog = self.backlog_bytes() > limits.max_caller_backlog_bytes;
        self.state == ConnState::Reading
            && !self.input.is_empty()
            && self.read_ahead.is_empty()
            && !has_backlog
    }

    /// Appends up to `wanted` bytes to the input, from those that were read ahead, or else from the socket.
    fn receive(&mut self, net: &mut Net, wanted: usize) -> Received {
        let (was_idle, length_before) = (self.is_idle(), self.input.len());
        let is_from_socket = self.read_ahead.is_empty();
        let (read_ahead, stream) = (&mut self.read_ahead, &self.socket.stream);
        let reading = self.input.edit(|input| match read_ahead.len() {
            0 => net.read(stream, input, length_before + wanted - 1),
            ahead => {
                input.reserve_exact(wanted.min(ahead));
                input.extend(read_ahead.drain(..wanted.min(ahead)));
                ReadStatus::Open
            }
        });
        if self.read_ahead.is_empty() {
            self.discard_read_ahead();
        }
        let bytes = self.input.len() - length_before;
        if was_idle && self.had_request && bytes > 0 {
            self.since = Instant::now();
        }
        Received { reading, bytes, is_socket_empty: is_from_socket && bytes < wanted }
    }

    /// Appends to the bytes that were read ahead.
    fn extend_read_ahead(&mut self, bytes: &[u8]) {
        self.read_ahead.reserve_exact(bytes.len().max(self.read_ahead.len() / 4));
        self.read_ahead.extend(bytes);
        self.read_ahead_charge.set(self.read_ahead.capacity());
    }

    /// Discards what was read and not processed.
    fn discard_input(&mut self) {
        self.input.clear(0);
        self.discard_read_ahead();
    }

    /// Discards the bytes that were read ahead.
    fn discard_read_ahead(&mut self) {
        self.read_ahead = VecDeque::new();
        self.read_ahead_charge.set(0);
    }
}

impl Proxy {
    /// Accepts every queued connection at every listener.
    pub fn accept_all(&mut self) {
        for id in self.callers.listeners.keys().copied().collect::<Vec<_>>() {
            self.accept(id);
        }
    }

    /// Accepts every queued connection. At the limit idle connections are closed to make room; while none is
    /// idle, new connections wait in the kernel's queue: closing one there would lose a request that
    /// its client may already have sent.
    pub fn accept(&mut self, listener_id: ListenerId) {
        // More failed connections in a row than this are no coincidence: accepting pauses, so that the loop
        // does not spin.
        const MAX_FAILED_IN_A_ROW: u32 = 64;
        let mut failed = 0;
        while let Some((entry, (listener, _))) =
            self.callers.listeners.get(&listener_id).and_then(|l| l.socket.as_ref().map(|s| (l, s)))
        {
            let (listener, connection_holder, caller_holder) =
                (listener.clone(), entry.connection_holder, entry.caller_holder);
            // The budget of callers' connections is one larger than their limit, so that no connection is
            // closed for a new one that has not arrived.
            while let Err(why) = self.budgets.callers.check(&[Some(caller_holder)]) {
                if !self.close_idle_caller_where(|c| c.caller_reservation.would_admit(caller_holder, why)) {
                    return self.pause_accepting(listener_id, "no connection is idle");
                }
            }
            if !self.make_room(connection_holder) {
                return self.pause_accepting(listener_id, "no connection is idle");
            }
            let stream = match accept(&listener) {
                AcceptResult::Stream(stream) => stream,
                AcceptResult::Failed(AcceptFailure::Empty, _) => return,
                AcceptResult::Failed(AcceptFailure::Connection, _) if failed < MAX_FAILED_IN_A_ROW => {
                    failed += 1;
                    continue;
                }
                AcceptResult::Failed(AcceptFailure::Shortage, e) => {
                    self.upstreams.close_oldest_idle(&self.net, |_| true);
                    self.close_idle_caller_where(|_| true);
                    return self.pause_accepting(listener_id, &e.to_string());
                }
                AcceptResult::Failed(_, e) => return self.pause_accepting(listener_id, &e.to_string()),
            };
            let reservations = (
                self.budgets.connections.reserve(&[Some(connection_holder)]),
                self.budgets.callers.reserve(&[Some(caller_holder)]),
            );
            let (Ok(connection_reservation), Ok(caller_reservation)) = reservations else { continue };
            let id = self.net.next_connection_id();
            let stream =
                stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).map(|()| stream);
            let ready = move |proxy: &mut Proxy, _| proxy.caller_ready(id);
            let socket = match stream.and_then(|s| self.net.watch(s, ready)) {
                Ok(socket) => socket,
                Err(e) => {
                    warn!(self.net.log, "a caller's connection could not be set up and is closed";
                        "error" => %e);
                    continue;
                }
            };
            let conn = Conn {
                listener: listener_id,
                connection_reservation,
                caller_reservation,
                socket,
                state: ConnState::Reading,
                input: self.net.memory.buffer(MemoryUse::CallerInput),
                read_ahead: VecDeque::new(),
                read_ahead_charge: self.net.memory.charge(MemoryUse::ReadAhead),
                output: self.net.memory.buffer(MemoryUse::CallerOutput),
                written: 0,
                close_after_response: false,
                missing_bytes: None,
                has_unread: false,
                sent_continue: false,
                had_request: false,
                since: Instant::now(),
            };
            self.callers.conns.insert(id, conn);
        }
    }

    /// Stops accepting at a listener for `accept_pause`: the new connections stay in the kernel's queue.
    fn pause_accepting(&mut self, id: ListenerId, why: &str) {
        let callers = self.callers.conns.len();
        let Some(listener) = self.callers.listeners.get_mut(&id) else { return };
        if let Some((_, token)) = &listener.socket {
            warn!(self.net.log, "accepting rests";
                "why" => why, "callers" => callers, "listener" => &listener.name);
            let _ = self.net.handle.disable(token);
            listener.paused_until = Some(Instant::now() + self.net.limits.accept_pause);
        }
    }

    /// Resumes accepting at the listeners whose pause is over.
    pub fn resume_accepting(&mut self, now: Instant) {
        for listener in self.callers.listeners.values_mut() {
            if listener.paused_until.is_some_and(|at| at <= now) {
                listener.paused_until = None;
                if let Some((_, token)) = &listener.socket {
                    let _ = self.net.handle.enable(token);
                }
            }
        }
    }

    /// Closes a listener that the newest version of the configuration does not name.
    pub fn retire_listener(&mut self, id: ListenerId) {
        // A connection in the kernel's queue counts as accepted: its client may already have sent a request.
        self.accept(id);
        self.callers.close_listener(&self.net, id);
    }

    /// Closes the connections of closed listeners once they are between requests, and removes the listeners
    /// that have no connection left.
    pub fn remove_closed_listeners(&mut self) {
        let closed = |l: &Listener| l.socket.is_none();
        if self.shutdown.is_closing() || !self.callers.listeners.values().any(closed) {
            return;
        }
        self.close_idle_callers(Instant::now(), false);
        let used: BTreeSet<ListenerId> = self.callers.conns.values().map(|c| c.listener).collect();
        let done: Vec<ListenerId> = self
            .callers
            .listeners
            .iter()
            .filter(|(id, l)| closed(l) && !used.contains(id))
            .map(|(&id, _)| id)
            .collect();
        for id in done {
            if let Some(listener) = self.callers.listeners.remove(&id) {
                self.budgets.connections.remove_holder(listener.connection_holder);
                self.budgets.callers.remove_holder(listener.caller_holder);
                self.budgets.requests.remove_holder(listener.request_holder);
            }
        }
    }

    /// Handles a connection that may be readable or writable: writes pending output, reads input and
    /// processes the requests in it.
    fn caller_ready(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        if flush(conn, &self.net.limits).is_err() {
            return self.caller_left(id);
        }
        match conn.state {
            ConnState::Reading => self.read_requests(id),
            ConnState::Waiting(_) => self.read_behind_request(id),
            ConnState::Lingering => self.discard_unread(id),
        }
    }

    /// Reads and processes requests until one awaits its response, the socket has no more bytes, or the
    /// connection has had its part of this round. Little more than one request is read at a time; what
    /// follows stays in the socket.
    fn read_requests(&mut self, id: ConnId) {
        let mut left = self.net.limits.max_request_bytes;
        self.process_requests(id);
        while let Some(conn) = self.callers.conns.get_mut(&id) {
            match conn.state {
                ConnState::Waiting(_) => return self.read_behind_request(id),
                ConnState::Lingering => return self.discard_unread(id),
                // The socket is full; once it is writable, the connection is handled again.
                ConnState::Reading if conn.backlog_bytes() > self.net.limits.max_caller_backlog_bytes => {
                    return
                }
                ConnState::Reading if left == 0 => return self.callers.unread.push(id),
                ConnState::Reading => {}
            }
            let wanted = conn.missing_bytes.unwrap_or(self.net.limits.request_head_read_bytes).max(1);
            let received = conn.receive(&mut self.net, wanted);
            if received.reading != ReadStatus::Open {
                // The input may contain a complete request, but its client no longer waits for a response.
                return self.caller_left(id);
            }
            left = left.saturating_sub(received.bytes);
            if received.bytes > 0 {
                self.process_requests(id);
                self.limit_incomplete(id);
            }
            if received.is_socket_empty {
                if let Some(conn) = self.callers.conns.get_mut(&id) {
                    conn.has_unread = false;
                }
                return;
            }
        }
    }

    /// Reads what a client sends behind a request that awaits its response, as far as the limits allow, so
    /// that a close behind it is noticed: the kernel can't know of a close behind more bytes than its socket
    /// buffer holds. The event loop is edge-triggered and does not report again what is left in the socket.
    fn read_behind_request(&mut self, id: ConnId) {
        let wanted = self.net.limits.read_chunk_bytes;
        while self.may_read_ahead(id) {
            let Some(conn) = self.callers.conns.get_mut(&id) else { return };
            let mut bytes = Vec::new();
            let reading = self.net.read(&conn.socket.stream, &mut bytes, wanted - 1);
            if reading != ReadStatus::Open {
                return self.caller_left(id);
            }
            conn.extend_read_ahead(&bytes);
            conn.has_unread = bytes.len() == wanted;
            if !conn.has_unread {
                return;
            }
        }
        if let Some(conn) = self.callers.conns.get_mut(&id) {
            conn.has_unread = true;
        }
        self.close_if_hung_up(id);
    }

    /// Whether the limits allow more bytes to be read ahead on a connection.
    fn may_read_ahead(&self, id: ConnId) -> bool {
        let limits = &self.net.limits;
        self.callers.conns.get(&id).is_some_and(|conn| {
            conn.read_ahead.len() < limits.max_caller_read_ahead_bytes
                && self
                    .net
                    .message_memory()
                    .admits_read_ahead(self.net.memory.held(), limits.read_chunk_bytes)
                && !self.callers.exceeds_memory_share(conn.listener, limits.max_callers_buffered_bytes)
        })
    }

    /// Discards what a client sends after its last response.
    fn discard_unread(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        conn.discard_input();
        match self.net.discard(&conn.socket.stream, self.net.limits.caller_discard_bytes) {
            (ReadStatus::Open, true) => self.callers.unread.push(id),
            (ReadStatus::Open, false) => {}
            (ReadStatus::Ended | ReadStatus::Broken, _) => self.caller_left(id),
        }
    }

    /// Continues with the connections whose input could not be read or discarded in one round.
    pub fn resume_reading(&mut self) {
        for id in std::mem::take(&mut self.callers.unread) {
            self.caller_ready(id);
        }
    }

    /// Ends the incomplete request of a connection if the limits have no room for it: with 413 if the
    /// listener's connections buffer more than their share, with 503 if the process holds too much.
    fn limit_incomplete(&mut self, id: ConnId) {
        let limits = &self.net.limits;
        let Some(conn) = self.callers.conns.get(&id).filter(|c| c.is_request_incomplete(limits)) else {
            return;
        };
        let exceeds_share = conn.input.len() > limits.read_chunk_bytes
            && self.callers.exceeds_memory_share(conn.listener, limits.max_callers_buffered_bytes);
        if exceeds_share {
            self.reject_caller(id, HttpError(413));
        } else if !self.net.message_memory().admits_input(self.net.memory.held(), conn.input.len()) {
            self.stats.record_refusal(RefusalReason::NoMemory);
            self.end_input(id);
            self.write_refusal(id, Some(RETRY_AFTER));
        }
    }

    /// Closes a connection whose peer has ended its sending. Returns whether the peer has.
    pub fn close_if_hung_up(&mut self, id: ConnId) -> bool {
        let closed =
            self.callers.conns.get(&id).is_some_and(|c| peer_state(&c.socket.stream) == PeerState::Closed);
        if closed {
            self.caller_left(id);
        }
        closed
    }

    /// Removes a connection that its client has closed, and abandons the request that awaits a response on
    /// it.
    fn caller_left(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.remove(&id) else { return };
        debug!(self.net.log, "a client's connection closes";
            "connection" => id, "reason" => %CloseReason::PeerLeft);
        let state = conn.state;
        self.net.unwatch(conn.socket);
        if let ConnState::Waiting(request) = state {
            self.client_left(request);
        }
    }

    /// Processes the requests in the input, as far as they are complete.
    fn process_requests(&mut self, id: ConnId) {
        while let Some(conn) = self.callers.conns.get_mut(&id) {
            let has_backlog = conn.backlog_bytes() > self.net.limits.max_caller_backlog_bytes;
            if conn.state != ConnState::Reading || conn.input.is_empty() || has_backlog {
                return;
            }
            match http::parse_request(&conn.input, &self.net.limits) {
                Ok(Incoming::Partial { .. }) if conn.input.len() > self.net.limits.max_request_bytes => {
                    return self.reject_caller(id, HttpError(413));
                }
                Ok(Incoming::Partial { expects_continue, missing_bytes }) => {
                    conn.missing_bytes = missing_bytes;
                    if expects_continue && !std::mem::replace(&mut conn.sent_continue, true) {
                        conn.output.edit(|output| output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"));
                        if flush(conn, &self.net.limits).is_err() {
                            self.caller_left(id);
                        }
                    }
                    return;
                }
                Ok(Incoming::Complete(request, used)) => {
                    conn.input.consume(used, self.net.limits.retained_buffer_bytes);
                    (conn.sent_continue, conn.had_request, conn.since) = (false, true, Instant::now());
                    conn.missing_bytes = None;
                    conn.close_after_response = !request.keep_alive;
                    if request.path() == "/ready" {
                        let status = if self.is_ready() { 200 } else { 503 };
                        self.write_response(id, &OutgoingResponse { status, ..OutgoingResponse::default() });
                    } else {
                        let listener = conn.listener;
                        match (self.accept_request(id, listener, *request), self.callers.conns.get_mut(&id)) {
                            (Ok(number), Some(conn)) => conn.state = ConnState::Waiting(number),
                            (Err(AdmissionError::Rejected(error)), _) => self.reject_caller(id, error),
                            (Err(AdmissionError::Refused { retry_after, .. }), _) => {
                                self.write_refusal(id, retry_after)
                            }
                            (Ok(_), None) => {}
                        }
                    }
                }
                Err(error) => return self.reject_caller(id, error),
            }
        }
    }

    /// Responds to an invalid request with its status, then closes the connection: the bytes after the
    /// request may be part of it.
    fn reject_caller(&mut self, id: ConnId, HttpError(status): HttpError) {
        debug!(self.net.log, "a request is rejected, and its connection closes"; "status" => status);
        self.end_input(id);
        self.write_response(id, &OutgoingResponse { status, ..OutgoingResponse::default() });
    }

    /// Discards the input of a connection, which closes after its next response.
    fn end_input(&mut self, id: ConnId) {
        if let Some(conn) = self.callers.conns.get_mut(&id) {
            conn.close_after_response = true;
            conn.discard_input();
        }
    }

    /// Responds with a 503 and, if `retry_after` is given, with the time after which the client may try
    /// again.
    fn write_refusal(&mut self, id: ConnId, retry_after: Option<Duration>) {
        // With an operator's file, clients expect whole seconds as RFC 9110 defines `Retry-After`; those of
        // the platform's protocol read fractions.
        let header = retry_after.map(|t| match self.active_config.is_some() {
            true => format!("Retry-After: {}\r\n", t.as_secs_f64().ceil().max(1.0)),
            false => format!("Retry-After: {:.3}\r\n", t.as_secs_f64()),
        });
        let headers = header.unwrap_or_default();
        self.write_response(
            id,
            &OutgoingResponse { status: 503, headers: headers.as_bytes(), ..OutgoingResponse::default() },
        );
    }

    /// Sends a request its final response, and processes the connection's next request.
    pub fn respond_to_caller(&mut self, id: ConnId, response: FinalResponse<'_>) {
        match response {
            FinalResponse::Forwarded(upstream) => {
                let (status, headers, body) = (upstream.status, &upstream.headers[..], &upstream.body[..]);
                self.write_response(
                    id,
                    &OutgoingResponse {
                        status,
                        headers,
                        body,
                        length_without_body: upstream.length_without_body,
                    },
                );
            }
            FinalResponse::Failed => {
                self.write_response(id, &OutgoingResponse { status: 502, ..OutgoingResponse::default() })
            }
            FinalResponse::Refused { retry_after } => self.write_refusal(id, retry_after),
        }
        // The client may have sent its next request in the meantime.
        if self.callers.conns.get(&id).is_some_and(|c| c.has_input() || c.has_unread) {
            self.caller_ready(id);
        }
    }

    /// Writes a response; afterwards the connection closes or accepts its next request.
    fn write_response(&mut self, id: ConnId, response: &OutgoingResponse<'_>) {
        let closing = self.shutdown.is_closing()
            || self.admin.draining()
            || self.callers.conns.get(&id).is_some_and(|conn| self.callers.is_listener_closed(conn));
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        conn.close_after_response |= closing;
        let close = conn.close_after_response;
        conn.output.edit(|output| http::write_response(output, response, close));
        conn.state = if conn.close_after_response { ConnState::Lingering } else { ConnState::Reading };
        conn.since = Instant::now();
        if flush(conn, &self.net.limits).is_err() {
            return self.caller_left(id);
        }
        let has_room = |bytes| self.net.message_memory().admits_response(self.net.memory.held(), bytes);
        if !conn.output.is_empty() && !has_room(conn.output.capacity()) {
            warn!(self.net.log, "a response that its client does not read is cut off"; "connection" => id,
                "unread_bytes" => conn.backlog_bytes());
            self.callers.drop_conn(&self.net, id, CloseReason::OutOfMemory);
        }
    }

    /// Closes the connections that have been idle or lingering for too long, and rejects requests that have
    /// been incomplete for too long.
    pub fn sweep_callers(&mut self, now: Instant) {
        let limits = &self.net.limits;
        let (mut slow, mut expired) = (Vec::new(), Vec::new());
        for (&id, c) in &self.callers.conns {
            let age = now.saturating_duration_since(c.since);
            match c.state {
                ConnState::Waiting(_) => {}
                ConnState::Lingering if c.written < c.output.len() && age < limits.caller_request_timeout => {
                }
                ConnState::Lingering if age >= limits.caller_linger_timeout => expired.push(id),
                ConnState::Reading if c.is_idle() => {
                    let max_age = if c.had_request {
                        limits.caller_idle_timeout
                    } else {
                        limits.caller_request_timeout
                    };
                    if age >= max_age {
                        expired.push(id);
                    }
                }
                ConnState::Reading if age >= limits.caller_request_timeout => slow.push(id),
                _ => {}
            }
        }
        for id in slow {
            self.reject_caller(id, HttpError(408));
        }
        for id in expired {
            self.caller_ready(id); // its next request, or its close, may have arrived just now
            match self.callers.conns.get(&id) {
                Some(c) if c.state == ConnState::Lingering => {
                    self.callers.drop_conn(&self.net, id, CloseReason::Finished);
                }
                Some(c) if c.is_idle() => self.close_if_idle(id),
                _ => {}
            }
        }
    }

    /// Closes the connections between requests: all of them, or without `all` those whose listener is closed.
    /// Connections that were accepted less than `drain_linger` ago get time for their first request.
    pub fn close_idle_callers(&mut self, now: Instant, all: bool) {
        let linger = self.net.limits.drain_linger;
        let callers = &self.callers;
        let due =
            |c: &Conn| c.is_idle() && (c.had_request || now.saturating_duration_since(c.since) >= linger);
        let idle = callers.conns.iter().filter(|(_, c)| due(c) && (all || callers.is_listener_closed(c)));
        for id in idle.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.close_if_idle(id);
        }
    }

    /// Closes a connection between requests, unless its next request is already in the socket: that request
    /// is processed. To close it, the sending side is shut down, and what still arrives is discarded until
    /// the peer closes as well: a close that crosses bytes of the peer would be a reset. A request among them
    /// was never accepted, and its client tries again elsewhere.
    fn close_if_idle(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        if conn.socket.stream.peek(&mut [0]).is_ok_and(|n| n > 0) {
            return self.caller_ready(id);
        }
        (conn.close_after_response, conn.state, conn.since) = (true, ConnState::Lingering, Instant::now());
        if conn.socket.stream.shutdown(Shutdown::Write).is_err() {
            return self.callers.drop_conn(&self.net, id, CloseReason::PeerLeft);
        }
        debug!(self.net.log, "a client's connection is closed between requests";
            "connection" => id, "reason" => %CloseReason::Idle);
        self.caller_ready(id);
    }

    /// Closes the connection whose loss matters least, among those that `fits` selects: one that has had its
    /// last response, else the one that has been between requests for longest. A connection whose next
    /// request is already in the socket is not between requests: closing it would lose that request. Returns
    /// whether one was closed.
    fn close_idle_caller_where(&mut self, fits: impl Fn(&Conn) -> bool) -> bool {
        let finished = |c: &Conn| c.state == ConnState::Lingering && c.written == c.output.len();
        let oldest =
            self.callers.conns.iter().filter(|(_, c)| finished(c) && fits(c)).min_by_key(|(_, c)| c.since);
        if let Some(id) = oldest.map(|(&id, _)| id) {
            self.callers.drop_conn(&self.net, id, CloseReason::Displaced);
            return true;
        }
        // A connection that was just accepted is about to send its first request.
        let accepted_by = Instant::now().checked_sub(self.net.limits.caller_min_age_to_evict);
        while let Some(id) = self.callers.least_needed_idle(accepted_by, &fits) {
            self.close_if_idle(id);
            if self.callers.conns.get(&id).is_some_and(|c| c.state == ConnState::Lingering) {
                self.callers.drop_conn(&self.net, id, CloseReason::Displaced);
            }
            if !self.callers.conns.contains_key(&id) {
                return true;
            }
        }
        false
    }

    /// Closes an idle connection whose unit of the budget lets a refused holder have one.
    pub fn close_idle_caller_admitting(&mut self, holder: HolderId, why: Refusal) -> bool {
        self.close_idle_caller_where(|c| c.connection_reservation.would_admit(holder, why))
    }
}

/// What the kernel knows about a peer's sending side.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// The peer may send more, and no bytes are unread.
    Open,
    /// The peer may send more, and bytes are unread.
    Unread,
    /// The peer has ended its sending, possibly after bytes that are unread.
    Closed,
}

fn peer_state(stream: &TcpStream) -> PeerState {
    match stream.peek(&mut [0]) {
        Ok(0) => PeerState::Closed,
        Ok(_) if is_closed_after_unread_bytes(stream) => PeerState::Closed,
        Ok(_) => PeerState::Unread,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => PeerState::Open,
        Err(_) => PeerState::Closed,
    }
}

/// Whether the peer has ended its sending after bytes that are unread.
fn is_closed_after_unread_bytes(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    loop {
        match poll(&mut polled, Some(&Timespec::default())) {
            Err(Errno::INTR) => {}
            result => return matches!(result, Ok(1..)) && polled[0].revents().intersects(hang_up),
        }
    }
}

/// The result of one `accept`.
pub enum AcceptResult {
    /// The connection that was accepted.
    Stream(TcpStream),
    /// There is no connection, for this reason.
    Failed(AcceptFailure, io::Error),
}

/// Accepts one connection from a listener's queue.
pub fn accept(listener: &TcpListener) -> AcceptResult {
    match listener.accept() {
        Ok((stream, _)) => AcceptResult::Stream(stream),
        Err(e) => AcceptResult::Failed(accept_failure(&e), e),
    }
}

/// Writes pending output, and releases the memory of what is written. After the last response the sending
/// side is shut down.
fn flush(conn: &mut Conn, limits: &Limits) -> io::Result<()> {
    crate::write_pending(&conn.socket.stream, &conn.output, &mut conn.written)?;
    if conn.written == conn.output.len() && conn.written > 0 {
        conn.output.clear(limits.retained_buffer_bytes);
        conn.written = 0;
        if conn.state == ConnState::Lingering {
            conn.socket.stream.shutdown(Shutdown::Write)?;
        }
    } else if conn.written > conn.output.len() / 2 {
        conn.output.consume(conn.written, 0);
        conn.written = 0;
    }
    Ok(())
}
