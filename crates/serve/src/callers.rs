//! The downstream side: the listener and the connections of callers.

use crate::exchange::{Final, Unfit};
use crate::http::{self, Bad, Incoming};
use crate::{ConnId, Net, Proxy, Reading, Watched};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use garnettally_decisions::facade::RequestId;
use rustc_hash::FxHashMap;
use slog::{debug, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

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
    socket: Watched,
    state: State,
    input: Vec<u8>,
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

/// The listener and its connections.
pub struct Callers {
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    conns: FxHashMap<ConnId, Conn>,
    resume: Option<Instant>,
    /// Those that had more to throw away than one turn takes.
    unread: Vec<ConnId>,
}

impl Callers {
    /// Binds the address and begins to listen.
    pub fn listen(net: &Net, address: SocketAddr) -> io::Result<Callers> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?; // a restart must not wait for the old connections
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(net.limits.backlog)?;
        let listener = Rc::new(TcpListener::from(socket));
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = net.handle.insert_source(source, |_, _, proxy: &mut Proxy| {
            proxy.accept();
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error))?;
        Ok(Callers {
            listener: Some((listener, token)),
            conns: FxHashMap::default(),
            resume: None,
            unread: Vec::new(),
        })
    }

    pub fn count(&self) -> usize {
        self.conns.len()
    }

    /// When accepting goes on, if it rests.
    pub fn resume_at(&self) -> Option<Instant> {
        self.resume
    }

    /// The connection between requests that is missed least: one that never brought a request, before those
    /// of the usual clients, who come back to theirs; then the one that has been idle for longest.
    fn oldest_idle(&self, fresh: Option<Instant>) -> Option<ConnId> {
        let idle =
            self.conns.iter().filter(|(_, c)| c.idle() && fresh.is_none_or(|at| c.spoke || c.since <= at));
        idle.min_by_key(|(_, c)| (c.spoke, c.since)).map(|(&id, _)| id)
    }

    /// What is held of requests that are not whole, and of those that wait behind another.
    fn held(&self) -> usize {
        self.conns.values().map(|c| c.input.len()).sum()
    }

    /// Whether there is more to throw away.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    fn drop_conn(&mut self, net: &Net, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            net.unwatch(conn.socket);
        }
    }

    /// Ends the listening.
    pub fn stop_listening(&mut self, net: &Net) {
        if let Some((_, token)) = self.listener.take() {
            net.handle.remove(token);
        }
        self.resume = None;
    }

    /// Whether an answer is still to be written, or a request begun is still to come in.
    pub fn owes(&self) -> bool {
        self.conns.values().any(|c| match c.state {
            State::Lingering => c.written < c.output.len(),
            _ => !c.idle(),
        })
    }
}

impl Conn {
    fn idle(&self) -> bool {
        self.state == State::Reading && self.input.is_empty() && self.written == self.output.len()
    }
}

impl Proxy {
    /// Takes every connection that waits. At the limit idle ones make room; while none is idle, the rest
    /// wait in the kernel's queue: closing one there would lose a request that is taken already.
    pub fn accept(&mut self) {
        while let Some((listener, _)) = &self.callers.listener {
            let listener = listener.clone();
            // One over the limit, until the next one comes: nothing is closed for a connection not there.
            let full = self.callers.count() > self.net.limits.callers;
            let room = if full { self.close_idle_caller() } else { self.make_room() };
            if !room {
                return self.rest_accepting("no connection is idle");
            }
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    self.upstreams.close_oldest_idle(&self.net);
                    self.close_idle_caller();
                    return self.rest_accepting(&e.to_string());
                }
            };
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
                socket,
                state: State::Reading,
                input: Vec::new(),
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

    fn rest_accepting(&mut self, why: &str) {
        if let Some((_, token)) = &self.callers.listener {
            warn!(self.net.log, "accepting rests"; "why" => why, "callers" => self.callers.conns.len());
            let _ = self.net.handle.disable(token);
            self.callers.resume = Some(Instant::now() + self.net.limits.accept_rest);
        }
    }

    /// Goes on accepting after a rest.
    pub fn resume_accepting(&mut self, now: Instant) {
        if self.callers.resume.is_some_and(|at| at <= now) {
            self.callers.resume = None;
            if let Some((_, token)) = &self.callers.listener {
                let _ = self.net.handle.enable(token);
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
            (limits.read_bytes, limits.caller_bytes, limits.caller_discard);
        let most = if conn.state == State::Reading { limits.message_bytes } else { read_bytes };
        let was_idle = conn.idle();
        let mut reading = self.net.read(&conn.socket.stream, &mut conn.input, most);
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
        let large = conn.input.len() > read_bytes;
        match (reading, conn.state) {
            (Reading::Open, State::Reading) => {
                self.take_requests(id);
                if large && self.callers.held() > caller_bytes {
                    self.reject_unfinished(id);
                }
            }
            (Reading::Open, _) => {}
            // What came before the end may be a whole request, but nobody waits for its answer any more.
            (Reading::Ended | Reading::Broken, _) => self.caller_left(id),
        }
    }

    /// Goes on throwing away what could not be in one turn.
    pub fn resume_discarding(&mut self) {
        for id in std::mem::take(&mut self.callers.unread) {
            self.caller_ready(id);
        }
    }

    /// All callers together hold too much: this one, which holds much, gives it up, if it is not whole.
    fn reject_unfinished(&mut self, id: ConnId) {
        if self.callers.conns.get(&id).is_some_and(|c| c.state == State::Reading && !c.input.is_empty()) {
            self.reject_caller(id, Bad(413));
        }
    }

    fn caller_left(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.remove(&id) else { return };
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
                Ok(Incoming::Partial { .. }) if conn.input.len() > self.net.limits.message_bytes => {
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
                    conn.input.shrink_to(self.net.limits.kept_bytes);
                    (conn.continued, conn.spoke, conn.since) = (false, true, Instant::now());
                    conn.close = !request.keep_alive;
                    if request.path() == "/ready" {
                        let status = if self.ready() { 200 } else { 503 };
                        self.write_answer(id, status, &[], &[]);
                    } else {
                        let taken = http::call(&request).and_then(|call| {
                            self.take_request(id, &call).map_err(|unfit| match unfit {
                                Unfit::Class => Bad(404),
                                Unfit::Method => Bad(405),
                                Unfit::NoKey | Unfit::IdInUse => Bad(400),
                            })
                        });
                        match (taken, self.callers.conns.get_mut(&id)) {
                            (Ok(number), Some(conn)) => {
                                conn.state = State::Waiting(number);
                                self.exchanges.keep(number, request);
                            }
                            (Err(bad), _) => self.reject_caller(id, bad),
                            _ => {}
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
            conn.input = Vec::new();
        }
        self.write_answer(id, status, &[], &[]);
    }

    /// Gives a request its final answer, and the connection's next request its turn.
    pub fn answer_caller(&mut self, id: ConnId, answer: Final<'_>) {
        match answer {
            Final::Passed(a) => self.write_answer(id, a.status, &a.headers, &a.body),
            Final::Failed => self.write_answer(id, 502, &[], &[]),
            Final::Refused { retry_after } => {
                let advice = retry_after.map(|t| format!("Retry-After: {:.3}\r\n", t.as_secs_f64()));
                self.write_answer(id, 503, advice.unwrap_or_default().as_bytes(), &[]);
            }
        }
        // It may have sent the next one meanwhile.
        if self.callers.conns.get(&id).is_some_and(|c| !c.input.is_empty()) {
            self.caller_ready(id);
        }
    }

    /// Writes an answer; then the connection closes, or takes its next request.
    fn write_answer(&mut self, id: ConnId, status: u16, headers: &[u8], body: &[u8]) {
        let closing = self.shutdown.closing();
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        conn.close |= closing;
        http::write_answer(&mut conn.output, status, headers, body, conn.close);
        conn.state = if conn.close { State::Lingering } else { State::Reading };
        conn.since = Instant::now();
        if flush(conn).is_err() {
            return self.caller_left(id);
        }
        if conn.output.is_empty() {
            conn.output.shrink_to(self.net.limits.kept_bytes);
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
                State::Lingering if c.written < c.output.len() && age < limits.caller_request => {}
                State::Lingering if age >= limits.caller_linger => old.push(id),
                State::Reading if c.idle() => {
                    let most = if c.spoke { limits.caller_idle } else { limits.caller_request };
                    if age >= most {
                        old.push(id);
                    }
                }
                State::Reading if age >= limits.caller_request => slow.push(id),
                _ => {}
            }
        }
        for id in slow {
            self.reject_caller(id, Bad(408));
        }
        for id in old {
            self.caller_ready(id); // its next request may have come just now
            if self.callers.conns.get(&id).is_some_and(|c| c.idle() || c.state == State::Lingering) {
                self.callers.drop_conn(&self.net, id);
            }
        }
    }

    /// Closes the connection that has been between requests for longest. One whose next request lies in the
    /// socket is not between requests: that request is taken, and closing would lose it.
    pub fn close_idle_caller(&mut self) -> bool {
        // At the end all have to go; to make room, only those that are not about to ask.
        let fresh =
            Instant::now().checked_sub(self.net.limits.caller_fresh).filter(|_| !self.shutdown.closing());
        while let Some(id) = self.callers.oldest_idle(fresh) {
            let Some(conn) = self.callers.conns.get(&id) else { return false };
            if conn.socket.stream.peek(&mut [0]).is_ok_and(|n| n > 0) {
                self.caller_ready(id);
                continue;
            }
            self.callers.drop_conn(&self.net, id);
            return true;
        }
        false
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
