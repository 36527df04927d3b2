//! The downstream side: the connections of callers, and their responses.

mod listeners;
mod passing;
mod reading;

pub use listeners::{accept, bind, AcceptResult, ListenerId};

use crate::exchange::FinalResponse;
use crate::http::{self, HttpError, OutgoingResponse};
use crate::memory::{Buffer, Charge};
use crate::reasons::CloseReason;
use crate::reservation::Reservation;
use crate::turns::ReadyQueue;
use crate::{ConnId, Limits, Net, Proxy, WatchedStream};
use garnettally_decisions::facade::RequestId;
use garnettally_routing::budget::{exceeds_share, HolderId, Refusal, Share};
use listeners::Listener;
use passing::PassingBody;
use rustc_hash::FxHashMap;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use slog::{debug, warn};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The state of a caller's connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnState {
    /// The connection is between requests, or a request is being received.
    Reading,
    /// A complete request was received, and its response is outstanding.
    Waiting(RequestId),
    /// The body of the response passes through from an upstream.
    Passing(PassingBody),
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
    /// When bytes were last written, or the present response began.
    last_written_at: Instant,
    /// Whether the connection closes after the next response.
    close_after_response: bool,
    /// Whether the client understands chunked bodies, as its present request says.
    accepts_chunked: bool,
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

/// The listeners and their connections.
#[derive(Default)]
pub struct Callers {
    listeners: BTreeMap<ListenerId, Listener>,
    /// The number given to the newest listener.
    last_listener: u64,
    conns: FxHashMap<ConnId, Conn>,
    /// The connections that may be readable or writable, and wait for their turn.
    ready: ReadyQueue<ConnId>,
}

impl Callers {
    /// Replaces the number of the request whose response a connection awaits.
    pub fn set_awaited_request(&mut self, caller: ConnId, number: RequestId) {
        if let Some(conn) = self.conns.get_mut(&caller) {
            conn.state = ConnState::Waiting(number);
        }
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

    /// Whether connections wait for their turn.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// How many connections wait for their turn.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Marks a connection as readable or writable; it is handled when its turn comes.
    pub fn mark_ready(&mut self, id: ConnId) {
        self.ready.push(id);
    }

    /// Whether so much waits to be written that the next request of a connection is not processed.
    fn exceeds_backlog(&self, id: ConnId, limits: &Limits) -> bool {
        self.conns.get(&id).is_some_and(|c| c.backlog_bytes() > limits.max_caller_backlog_bytes)
    }

    fn drop_conn(&mut self, net: &Net, id: ConnId, reason: CloseReason) {
        if let Some(conn) = self.conns.remove(&id) {
            debug!(net.log, "a client's connection closes"; "connection" => id, "reason" => %reason);
            net.unwatch(conn.socket);
        }
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

    /// Ends the sending if the last response is written.
    fn end_sending_if_done(&self) {
        if self.state == ConnState::Lingering && self.backlog_bytes() == 0 {
            // If this fails, the connection has ended already, which its next event tells.
            let _ = self.socket.stream.shutdown(Shutdown::Write);
        }
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
        match state {
            ConnState::Waiting(request) => self.client_left(request),
            ConnState::Passing(body) => self.transfer_caller_left(body.upstream),
            ConnState::Reading | ConnState::Lingering => {}
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
                let (head, body) = (&upstream.head, &upstream.body[..]);
                let (status, headers) = (head.status, &head.headers[..]);
                self.write_response(
                    id,
                    &OutgoingResponse {
                        status,
                        headers,
                        body,
                        length_without_body: head.length_without_body,
                    },
                );
            }
            FinalResponse::Failed => {
                self.write_response(id, &OutgoingResponse { status: 502, ..OutgoingResponse::default() })
            }
            FinalResponse::Refused { retry_after } => self.write_refusal(id, retry_after),
        }
        self.flush_caller(id);
        // The client may have sent its next request in the meantime.
        if self.callers.conns.get(&id).is_some_and(|c| c.has_input() || c.has_unread) {
            self.callers.mark_ready(id);
        }
    }

    /// Queues a response to be written; afterwards the connection closes or accepts its next request.
    fn write_response(&mut self, id: ConnId, response: &OutgoingResponse<'_>) {
        let is_ending = self.ends_after_response(id);
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        conn.close_after_response |= is_ending;
        let close = conn.close_after_response;
        conn.output.edit(|output| http::write_response(output, response, close));
        conn.state = if conn.close_after_response { ConnState::Lingering } else { ConnState::Reading };
        (conn.since, conn.last_written_at) = (Instant::now(), Instant::now());
    }

    /// Whether a connection ends after its present response, since the process or its listener does.
    fn ends_after_response(&self, id: ConnId) -> bool {
        self.shutdown.is_closing()
            || self.admin.draining()
            || self.callers.conns.get(&id).is_some_and(|conn| self.callers.is_listener_closed(conn))
    }

    /// Writes what a connection has to write, as far as its socket accepts it.
    pub fn flush_caller(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id).filter(|c| !c.output.is_empty()) else { return };
        if flush(conn, &self.net.limits).is_err() {
            return self.caller_left(id);
        }
        let is_exceeded = self.net.message_memory().is_exceeded_by_responses(self.net.memory.held());
        // What passes through is bounded by its window, and may be moving.
        let is_passing = matches!(conn.state, ConnState::Passing(_));
        if is_exceeded && !is_passing && conn.backlog_bytes() > self.net.limits.max_caller_backlog_bytes {
            warn!(self.net.log, "a response that its client does not read is cut off"; "connection" => id,
                "unread_bytes" => conn.backlog_bytes());
            self.drop_caller(id, CloseReason::OutOfMemory);
        }
    }

    /// Closes a connection, with what it awaits or is given.
    fn drop_caller(&mut self, id: ConnId, reason: CloseReason) {
        debug!(self.net.log, "a client's connection is closed"; "connection" => id, "reason" => %reason);
        self.caller_left(id);
    }

    /// Closes a connection whose client has read nothing for too long.
    pub fn caller_stalled(&mut self, id: ConnId) {
        self.drop_caller(id, CloseReason::NotReading);
    }

    /// Closes the connections that have been idle or lingering for too long, and rejects requests that have
    /// been incomplete for too long.
    pub fn sweep_callers(&mut self, now: Instant) {
        let limits = &self.net.limits;
        let has_stalled =
            |c: &Conn| now.saturating_duration_since(c.last_written_at) >= limits.max_transfer_pause;
        let (mut slow, mut expired, mut stalled) = (Vec::new(), Vec::new(), Vec::new());
        for (&id, c) in &self.callers.conns {
            let age = now.saturating_duration_since(c.since);
            match c.state {
                ConnState::Waiting(_) | ConnState::Passing(_) => {}
                // While its client reads a response, however slowly, a connection is not at rest.
                _ if c.backlog_bytes() > 0 && !has_stalled(c) => {}
                _ if c.backlog_bytes() > 0 => stalled.push(id),
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
            self.flush_caller(id);
        }
        for id in stalled {
            self.caller_stalled(id);
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
            self.caller_ready(id);
            return;
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

/// Writes pending output, and releases the memory of what is written. After the last response the sending
/// side is shut down.
fn flush(conn: &mut Conn, limits: &Limits) -> io::Result<()> {
    let written_before = conn.written;
    crate::write_pending(&conn.socket.stream, &conn.output, &mut conn.written)?;
    if conn.written > written_before {
        conn.last_written_at = Instant::now();
    }
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
