//! The admin address: operators' calls, one to a connection, beside the clients and apart from them
//! (docs/design/admin.md). Its connections hold nothing of the callers' budgets and are bounded by a count of
//! their own, so that no crowd of clients, nor callers that never finish a call, can starve it.

use crate::callers::{accept, Accepted};
use crate::http::{write_answer, Outgoing};
use crate::pools::Pool;
use crate::socket_errors::AcceptFailure;
use crate::stats::Gauges;
use crate::{ConnId, Net, Proxy, Reading, Watched};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use garnettally_decisions::facade::ListFreshness;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

/// The most that is read of one call: its head; a body is read and thrown away.
const CALL_BYTES: usize = 8 << 10;

/// What an operator's call asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /healthcheck`: whether this process takes clients.
    Health,
    /// `GET /stats`: the figures.
    Stats,
    /// `GET /members`: the fleet, where there is one.
    Members,
    /// `GET /duties`: the fleet's duties, where there are any.
    Duties,
    /// `PUT /duties/DUTY/MEMBER`: an operator wants a duty there; `PUT /duties/DUTY`: anywhere else.
    Move,
    /// `PUT /healthcheck/fail`: the drain begins.
    Fail,
    /// `PUT /healthcheck/ok`: the drain ends.
    Ok,
    /// A path that is not served: 404.
    Unknown,
    /// A path that is served, by another method: 405.
    WrongMethod,
}

/// What a method and a path ask; a query is ignored.
pub fn route(method: &str, path: &str) -> Call {
    let path = path.split('?').next().unwrap_or(path);
    let path = if path.len() > 1 { path.trim_end_matches('/') } else { path };
    match (method, path) {
        ("GET" | "HEAD", "/healthcheck") => Call::Health,
        ("GET" | "HEAD", "/stats") => Call::Stats,
        ("GET" | "HEAD", "/members") => Call::Members,
        ("GET" | "HEAD", "/duties") => Call::Duties,
        ("PUT", path) if wish(path).is_some() => Call::Move,
        ("PUT" | "POST", "/healthcheck/fail") => Call::Fail,
        ("PUT" | "POST", "/healthcheck/ok") => Call::Ok,
        (_, "/healthcheck" | "/stats" | "/members" | "/duties" | "/healthcheck/fail" | "/healthcheck/ok") => {
            Call::WrongMethod
        }
        _ => Call::Unknown,
    }
}

/// The duty, and the member, that a path of `PUT /duties/...` names.
fn wish(path: &str) -> Option<(&str, Option<&str>)> {
    let (duty, member) = match path.strip_prefix("/duties/")?.split_once('/') {
        Some((duty, member)) => (duty, Some(member)),
        None => (path.strip_prefix("/duties/")?, None),
    };
    (!duty.is_empty() && member.is_none_or(|m| !m.is_empty())).then_some((duty, member))
}

/// What is read of a call so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// More has to come.
    Partial,
    /// The call, whole as far as its head goes.
    Whole(Call),
    /// Not HTTP, or too long: 400.
    Bad,
}

/// Reads a call's head.
pub fn parse(input: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input) {
        Ok(httparse::Status::Complete(_)) => {
            Parsed::Whole(route(request.method.unwrap_or(""), request.path.unwrap_or("")))
        }
        Ok(httparse::Status::Partial) if input.len() < CALL_BYTES => Parsed::Partial,
        _ => Parsed::Bad,
    }
}

struct Conn {
    socket: Watched,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// It came up at this time; the whole call is owed within `admin_call` of it.
    since: Instant,
    /// It has its answer; what it still sends is thrown away until it closes or its time is up.
    answered: bool,
}

/// The admin listener and its connections.
#[derive(Default)]
pub struct Admin {
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// By number, and so by age.
    conns: BTreeMap<ConnId, Conn>,
    /// Since when this process is drained by `PUT /healthcheck/fail`.
    pub failed_at: Option<Instant>,
    /// Accepting rests until then: the system had no descriptor, and a level-triggered listener would spin.
    rest: Option<Instant>,
}

impl Admin {
    /// Listens on the admin address; the port that was bound is logged.
    pub fn listen(&mut self, net: &Net, address: SocketAddr) -> io::Result<()> {
        let bound = crate::callers::bind(net, address, false)?;
        info!(net.log, "listening"; "listener" => "admin", "address" => %bound.local_addr()?);
        let bound = Rc::new(bound);
        let source = Generic::new(bound.clone(), Interest::READ, Mode::Level);
        let token = net.handle.insert_source(source, |_, _, proxy: &mut Proxy| {
            proxy.admin_accept();
            Ok(PostAction::Continue)
        });
        self.listener = Some((bound, token.map_err(|e| io::Error::other(e.error))?));
        Ok(())
    }

    /// When the oldest connection's time is up.
    pub fn next_wake(&self, net: &Net) -> Option<Instant> {
        let calls = self.conns.values().map(|c| c.since + net.limits.admin_call_timeout);
        calls.chain(self.rest).min()
    }

    /// Whether clients' connections are to close after their present request.
    pub fn draining(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Whether idle connections of clients are to close now: the front has stopped sending new ones.
    pub fn close_idle(&self, net: &Net, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now >= at + net.limits.admin_drain_keepalive)
    }

    /// Stops listening, at the end.
    pub fn stop(&mut self, net: &Net) {
        if let Some((_, token)) = self.listener.take() {
            net.handle.remove(token);
        }
        for (_, conn) in std::mem::take(&mut self.conns) {
            net.unwatch(conn.socket);
        }
    }

    /// Ends the connections whose time is up: an unanswered one gets 408.
    pub fn sweep(&mut self, net: &Net, now: Instant) {
        let late: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| now >= c.since + net.limits.admin_call_timeout)
            .map(|(&id, _)| id)
            .collect();
        if self.rest.is_some_and(|at| at <= now) {
            self.rest = None;
            if let Some((_, token)) = &self.listener {
                let _ = net.handle.enable(token);
            }
        }
        for id in late {
            if let Some(conn) = self.conns.get_mut(&id) {
                if conn.answered {
                    self.drop_conn(net, id);
                } else {
                    self.answer(net, id, 408, b"");
                }
            }
        }
    }

    fn drop_conn(&mut self, net: &Net, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            net.unwatch(conn.socket);
        }
    }

    /// Writes an answer and ends the sending; the connection is read on until the caller closes.
    fn answer(&mut self, net: &Net, id: ConnId, status: u16, body: &[u8]) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let headers: &[u8] = match body.first() {
            None => b"",
            Some(b'{') => b"Content-Type: application/json\r\n",
            Some(_) => b"Content-Type: text/plain\r\n",
        };
        write_answer(&mut conn.output, &Outgoing { status, headers, body, bare_length: None }, true);
        // It lingers once more as long, so that a late answer such as the 408 arrives before the close.
        (conn.answered, conn.since) = (true, Instant::now());
        if flush(conn).is_err() {
            self.drop_conn(net, id);
        }
    }
}

fn flush(conn: &mut Conn) -> io::Result<()> {
    if conn.written < conn.output.len() {
        crate::write(&conn.socket.stream, &conn.output, &mut conn.written)?;
        if conn.written == conn.output.len() {
            conn.socket.stream.shutdown(Shutdown::Write)?;
        }
    }
    Ok(())
}

impl Proxy {
    /// Takes every admin connection that waits; over the count, the oldest gives way.
    fn admin_accept(&mut self) {
        let Some((listener, _)) = &self.admin.listener else { return };
        let listener = listener.clone();
        loop {
            let stream = match accept(&listener) {
                Accepted::Stream(stream) => stream,
                // The listener tells again of what waits.
                Accepted::Failed(AcceptFailure::Empty | AcceptFailure::Connection, _) => return,
                Accepted::Failed(_, e) => {
                    // Out of descriptors: the oldest admin connection makes room, the call waits in the queue.
                    warn!(self.net.log, "an admin connection could not be taken"; "error" => %e);
                    match self.admin.conns.keys().next().copied() {
                        Some(oldest) => self.admin.drop_conn(&self.net, oldest),
                        None => {
                            if let Some((_, token)) = &self.admin.listener {
                                let _ = self.net.handle.disable(token);
                                self.admin.rest = Some(Instant::now() + self.net.limits.accept_pause);
                            }
                            return;
                        }
                    }
                    continue;
                }
            };
            while self.admin.conns.len() >= self.net.limits.max_admin_connections {
                let Some(oldest) = self.admin.conns.keys().next().copied() else { break };
                self.admin.drop_conn(&self.net, oldest);
            }
            let id = self.net.number();
            let ready = move |proxy: &mut Proxy, _| proxy.admin_ready(id);
            let watched = stream.set_nonblocking(true).and_then(|()| self.net.watch(stream, ready));
            let Ok(socket) = watched else { continue };
            let conn = Conn {
                socket,
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                since: Instant::now(),
                answered: false,
            };
            self.admin.conns.insert(id, conn);
        }
    }

    fn admin_ready(&mut self, id: ConnId) {
        let Some(conn) = self.admin.conns.get_mut(&id) else { return };
        if flush(conn).is_err() {
            return self.admin.drop_conn(&self.net, id);
        }
        let reading = self.net.read(&conn.socket.stream, &mut conn.input, CALL_BYTES);
        if conn.answered {
            conn.input.clear();
            if reading != Reading::Open && conn.written == conn.output.len() {
                self.admin.drop_conn(&self.net, id);
            }
            return;
        }
        let parsed = parse(&conn.input);
        match (parsed, reading) {
            (Parsed::Whole(call), _) => {
                let input = std::mem::take(&mut conn.input);
                self.admin_call(id, call, &input);
            }
            (Parsed::Bad, _) => self.admin.answer(&self.net, id, 400, b""),
            (Parsed::Partial, Reading::Open) => {}
            (Parsed::Partial, _) => self.admin.drop_conn(&self.net, id),
        }
    }

    fn admin_call(&mut self, id: ConnId, call: Call, head: &[u8]) {
        let now = Instant::now();
        let (status, body) = match call {
            Call::Health if self.ready() => (200, b"ok\n".to_vec()),
            Call::Health => (503, b"no\n".to_vec()),
            Call::Stats => (200, self.stats_text(now).into_bytes()),
            Call::Members => match &self.fleet {
                Some(fleet) => (200, fleet.members_json().to_string().into_bytes()),
                None => (404, Vec::new()),
            },
            Call::Duties => match self.fleet.as_ref().and_then(|f| f.duties_json()) {
                Some(duties) => (200, duties.to_string().into_bytes()),
                None => (404, Vec::new()),
            },
            Call::Move => {
                let line = String::from_utf8_lossy(head);
                let path = line.split(' ').nth(1).unwrap_or("").split('?').next().unwrap_or("").to_string();
                let wished = wish(path.trim_end_matches('/')).zip(self.fleet.as_mut());
                match wished.and_then(|((duty, member), fleet)| fleet.request_move(duty, member)) {
                    Some(Ok(())) => (200, b"told the voters\n".to_vec()),
                    Some(Err(why)) => (409, (why + "\n").into_bytes()),
                    None => (404, Vec::new()),
                }
            }
            Call::Fail => {
                if self.admin.failed_at.is_none() {
                    info!(self.net.log, "drained by an operator");
                    self.admin.failed_at = Some(now);
                }
                (200, b"draining\n".to_vec())
            }
            Call::Ok => {
                if self.admin.failed_at.take().is_some() {
                    info!(self.net.log, "the drain has ended");
                }
                (200, b"ok\n".to_vec())
            }
            Call::Unknown => (404, Vec::new()),
            Call::WrongMethod => (405, Vec::new()),
        };
        self.admin.answer(&self.net, id, status, &body);
    }
}

impl Proxy {
    /// The figures, one statsd line each (docs/stats.md).
    fn stats_text(&self, now: Instant) -> String {
        let at = self.net.clock.at(now);
        let is_stale = |p: &&Pool| {
            p.decisions.list_standing(at).is_some_and(|report| report.freshness == ListFreshness::Stale)
        };
        let lists_stale = self.pools.iter().filter(is_stale).count();
        let pending = self.exchanges.pending();
        let mut gauges = Gauges { pending, lists_stale, ..Gauges::default() };
        for pool in self.pools.iter().filter(|p| !p.is_retired) {
            let (members, unavailable) = pool.health.node_counts(at);
            gauges.members += members;
            gauges.members_unavailable += unavailable;
        }
        let mut text = self.stats.render(gauges);
        if let Some(fleet) = &self.fleet {
            fleet.write_stats(&mut text);
        }
        text
    }
}

#[cfg(test)]
#[path = "admin_tests.rs"]
mod tests;
