//! The listeners: the addresses that callers connect to, and the connections that are accepted there.

use super::{Callers, Conn, ConnState};
use crate::memory::MemoryUse;
use crate::pools::Budgets;
use crate::reservation::Reservation;
use crate::socket_errors::{accept_failure, AcceptFailure};
use crate::{Net, Proxy};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use garnettally_config::file::Listener as ListenerConfig;
use garnettally_routing::budget::{HolderId, Share};
use slog::warn;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// The number of a listener; numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(u64);

/// An address that callers connect to.
pub(super) struct Listener {
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
    pub(super) memory_share: Share,
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
            proxy.accept(id, proxy.net.limits.accepts_per_turn);
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

    /// The earliest time at which a listener resumes accepting; `None`: accepting is paused nowhere.
    pub fn accepting_resumes_at(&self) -> Option<Instant> {
        self.listeners.values().filter_map(|l| l.paused_until).min()
    }

    /// Closes the sockets of all listeners.
    pub fn stop_listening(&mut self, net: &Net) {
        for id in self.listeners.keys().copied().collect::<Vec<_>>() {
            self.close_listener(net, id);
        }
    }

    /// Whether the listener of a connection has been closed.
    pub(super) fn is_listener_closed(&self, conn: &Conn) -> bool {
        self.listeners.get(&conn.listener).is_none_or(|l| l.socket.is_none())
    }

    /// Whether accepting is paused at any listener.
    pub fn is_accepting_paused(&self) -> bool {
        self.listeners.values().any(|l| l.paused_until.is_some())
    }
}

impl Proxy {
    /// Accepts every queued connection at every listener.
    pub fn accept_all(&mut self) {
        for id in self.callers.listeners.keys().copied().collect::<Vec<_>>() {
            self.accept(id, usize::MAX);
        }
    }

    /// Accepts queued connections, `max` at the most. At the limit idle connections are closed to make room; while none is
    /// idle, new connections wait in the kernel's queue: closing one there would lose a request that
    /// its client may already have sent.
    pub fn accept(&mut self, listener_id: ListenerId, max: usize) {
        // More failed connections in a row than this are no coincidence: accepting pauses, so that the loop
        // does not spin.
        const MAX_FAILED_IN_A_ROW: u32 = 64;
        let mut failed = 0;
        let mut accepted = 0;
        while let Some((entry, (listener, _))) =
            self.callers.listeners.get(&listener_id).and_then(|l| l.socket.as_ref().map(|s| (l, s)))
        {
            // The level-triggered listener reports again what is still queued.
            if accepted == max {
                return;
            }
            let (listener, connection_holder, caller_holder) =
                (listener.clone(), entry.connection_holder, entry.caller_holder);
            // The budget of callers' connections is one larger than their limit, so that no connection is
            // closed for a new one that has not arrived.
            while let Err(why) = self.budgets.callers.check(&[Some(caller_holder)]) {
                let helps = |reservation: &Reservation| reservation.would_admit(caller_holder, why);
                if !self.close_idle_caller_where(|c| helps(&c.caller_reservation))
                    && !self.displace_silent_transfer(|room| room.callers.frees_caller(room.caller, helps))
                {
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
            accepted += 1;
            let id = self.net.next_connection_id();
            let stream =
                stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).map(|()| stream);
            let ready = move |proxy: &mut Proxy, _| proxy.callers.mark_ready(id);
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
                last_written_at: Instant::now(),
                close_after_response: false,
                accepts_chunked: true,
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
        self.accept(id, usize::MAX);
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
