//! The admin address (docs/design/admin.md): it serves operators' calls, one per connection, separately from
//! clients. Its connections take no part of the callers' budgets and have a limit of their own, so that
//! neither an overload of clients nor callers that never complete a call can starve it.

use crate::callers::{accept, AcceptResult};
use crate::http::{write_response, OutgoingResponse};
use crate::pools::Pool;
use crate::socket_errors::AcceptFailure;
use crate::stats::Gauges;
use crate::{ConnId, Net, Proxy, ReadStatus, WatchedStream};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use garnettally_decisions::facade::ListFreshness;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

/// The maximum size of a call's head. A body is read and discarded.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// An operator's call, identified by its method and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// `GET /healthcheck`: whether this process accepts clients.
    Health,
    /// `GET /stats`: the metrics.
    Stats,
    /// `GET /members`: the members of the fleet, if `[fleet]` is configured.
    Members,
    /// `GET /duties`: the fleet's duties, if any are configured.
    Duties,
    /// `PUT /duties/DUTY/MEMBER`: moves a duty to a member; `PUT /duties/DUTY`: moves it to any other member.
    MoveDuty,
    /// `PUT /healthcheck/fail`: starts a drain.
    StartDrain,
    /// `PUT /healthcheck/ok`: ends the drain.
    EndDrain,
    /// A path that is not served: 404.
    UnknownPath,
    /// A path that is served, but not with this method: 405.
    WrongMethod,
}

/// Identifies the call by its method and path; a query is ignored.
pub fn route(method: &str, path: &str) -> AdminCall {
    let path = path.split('?').next().unwrap_or(path);
    let path = if path.len() > 1 { path.trim_end_matches('/') } else { path };
    match (method, path) {
        ("GET" | "HEAD", "/healthcheck") => AdminCall::Health,
        ("GET" | "HEAD", "/stats") => AdminCall::Stats,
        ("GET" | "HEAD", "/members") => AdminCall::Members,
        ("GET" | "HEAD", "/duties") => AdminCall::Duties,
        ("PUT", path) if duty_and_member(path).is_some() => AdminCall::MoveDuty,
        ("PUT" | "POST", "/healthcheck/fail") => AdminCall::StartDrain,
        ("PUT" | "POST", "/healthcheck/ok") => AdminCall::EndDrain,
        (_, "/healthcheck" | "/stats" | "/members" | "/duties" | "/healthcheck/fail" | "/healthcheck/ok") => {
            AdminCall::WrongMethod
        }
        _ => AdminCall::UnknownPath,
    }
}

/// The duty, and the member if there is one, that a path of `PUT /duties/...` names.
fn duty_and_member(path: &str) -> Option<(&str, Option<&str>)> {
    let (duty, member) = match path.strip_prefix("/duties/")?.split_once('/') {
        Some((duty, member)) => (duty, Some(member)),
        None => (path.strip_prefix("/duties/")?, None),
    };
    (!duty.is_empty() && member.is_none_or(|m| !m.is_empty())).then_some((duty, member))
}

/// The result of parsing the bytes of a call received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedCall {
    /// The head is incomplete.
    Partial,
    /// The head is complete and contains this call; a body may still follow.
    Complete(AdminCall),
    /// The bytes are not HTTP, or the head is too long: 400.
    Malformed,
}

/// Parses a call's head.
pub fn parse_call(input: &[u8]) -> ParsedCall {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input) {
        Ok(httparse::Status::Complete(_)) => {
            ParsedCall::Complete(route(request.method.unwrap_or(""), request.path.unwrap_or("")))
        }
        Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => ParsedCall::Partial,
        _ => ParsedCall::Malformed,
    }
}

/// A connection to the admin address; it carries one call.
struct Conn {
    socket: WatchedStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The number of bytes of `output` that the socket has accepted.
    written: usize,
    /// When the connection was accepted; the complete call has to arrive within `limits.admin_call_timeout`
    /// of it. Once the response is written: when that was; the caller has to close within the same time.
    since: Instant,
    /// Whether the response is written; what the caller still sends is discarded until it closes or its time
    /// has elapsed.
    responded: bool,
}

/// The admin listener and its connections.
#[derive(Default)]
pub struct Admin {
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// The connections by number, which is also their order by age.
    conns: BTreeMap<ConnId, Conn>,
    /// When `PUT /healthcheck/fail` started the drain; `None`: this process is not drained by an operator.
    pub drained_since: Option<Instant>,
    /// When accepting resumes after a pause, which begins when the system has no descriptor left: a
    /// level-triggered listener would spin. `None`: accepting is not paused.
    paused_until: Option<Instant>,
}

impl Admin {
    /// Listens on the admin address and logs the port that was bound.
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

    /// The earliest time at which [`Admin::sweep`] has something to do: a connection's time has elapsed, or
    /// accepting resumes.
    pub fn next_wake(&self, net: &Net) -> Option<Instant> {
        let expiries = self.conns.values().map(|c| c.since + net.limits.admin_call_timeout);
        expiries.chain(self.paused_until).min()
    }

    /// Whether clients' connections have to close after their current request.
    pub fn draining(&self) -> bool {
        self.drained_since.is_some()
    }

    /// Whether idle connections of clients have to close now: by then the load balancer in front has stopped
    /// sending new ones.
    pub fn closes_idle(&self, net: &Net, now: Instant) -> bool {
        self.drained_since.is_some_and(|at| now >= at + net.limits.admin_drain_keepalive)
    }

    /// Stops listening and closes all connections, at the end of the process.
    pub fn stop(&mut self, net: &Net) {
        if let Some((_, token)) = self.listener.take() {
            net.handle.remove(token);
        }
        for (_, conn) in std::mem::take(&mut self.conns) {
            net.unwatch(conn.socket);
        }
    }

    /// Closes the connections whose time has elapsed; one without a response gets a 408 first. Resumes
    /// accepting after a pause.
    pub fn sweep(&mut self, net: &Net, now: Instant) {
        let expired: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| now >= c.since + net.limits.admin_call_timeout)
            .map(|(&id, _)| id)
            .collect();
        if self.paused_until.is_some_and(|at| at <= now) {
            self.paused_until = None;
            if let Some((_, token)) = &self.listener {
                let _ = net.handle.enable(token);
            }
        }
        for id in expired {
            if let Some(conn) = self.conns.get_mut(&id) {
                if conn.responded {
                    self.drop_conn(net, id);
                } else {
                    self.respond(net, id, 408, b"");
                }
            }
        }
    }

    fn drop_conn(&mut self, net: &Net, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            net.unwatch(conn.socket);
        }
    }

    /// Writes a response and shuts down the sending side; the connection is read until the caller closes it.
    fn respond(&mut self, net: &Net, id: ConnId, status: u16, body: &[u8]) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let headers: &[u8] = match body.first() {
            None => b"",
            Some(b'{') => b"Content-Type: application/json\r\n",
            Some(_) => b"Content-Type: text/plain\r\n",
        };
        write_response(
            &mut conn.output,
            &OutgoingResponse { status, headers, body, length_without_body: None },
            true,
        );
        // The time starts again, so that a late response such as the 408 arrives before the close.
        (conn.responded, conn.since) = (true, Instant::now());
        if flush(conn).is_err() {
            self.drop_conn(net, id);
        }
    }
}

fn flush(conn: &mut Conn) -> io::Result<()> {
    if conn.written < conn.output.len() {
        crate::write_pending(&conn.socket.stream, &conn.output, &mut conn.written)?;
        if conn.written == conn.output.len() {
            conn.socket.stream.shutdown(Shutdown::Write)?;
        }
    }
    Ok(())
}

impl Proxy {
    /// Accepts the queued admin connections, a bounded number in one turn; above the limit, the oldest connection is closed for a new one.
    fn admin_accept(&mut self) {
        let Some((listener, _)) = &self.admin.listener else { return };
        let listener = listener.clone();
        for _ in 0..self.net.limits.accepts_per_turn {
            let stream = match accept(&listener) {
                AcceptResult::Stream(stream) => stream,
                // The level-triggered listener reports connections that are still queued again.
                AcceptResult::Failed(AcceptFailure::Empty | AcceptFailure::Connection, _) => return,
                AcceptResult::Failed(_, e) => {
                    // No descriptor is left: the oldest admin connection is closed to free one, and the new
                    // connection stays in the queue meanwhile.
                    warn!(self.net.log, "an admin connection could not be accepted"; "error" => %e);
                    match self.admin.conns.keys().next().copied() {
                        Some(oldest) => self.admin.drop_conn(&self.net, oldest),
                        None => {
                            if let Some((_, token)) = &self.admin.listener {
                                let _ = self.net.handle.disable(token);
                                self.admin.paused_until = Some(Instant::now() + self.net.limits.accept_pause);
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
            let id = self.net.next_connection_id();
            let ready = move |proxy: &mut Proxy, _| proxy.admin_ready(id);
            let watched = stream.set_nonblocking(true).and_then(|()| self.net.watch(stream, ready));
            let Ok(socket) = watched else { continue };
            let conn = Conn {
                socket,
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                since: Instant::now(),
                responded: false,
            };
            self.admin.conns.insert(id, conn);
        }
    }

    fn admin_ready(&mut self, id: ConnId) {
        let Some(conn) = self.admin.conns.get_mut(&id) else { return };
        if flush(conn).is_err() {
            return self.admin.drop_conn(&self.net, id);
        }
        let reading = self.net.read(&conn.socket.stream, &mut conn.input, MAX_HEAD_BYTES);
        if conn.responded {
            conn.input.clear();
            if reading != ReadStatus::Open && conn.written == conn.output.len() {
                self.admin.drop_conn(&self.net, id);
            }
            return;
        }
        let parsed = parse_call(&conn.input);
        match (parsed, reading) {
            (ParsedCall::Complete(call), _) => {
                let input = std::mem::take(&mut conn.input);
                self.admin_call(id, call, &input);
            }
            (ParsedCall::Malformed, _) => self.admin.respond(&self.net, id, 400, b""),
            (ParsedCall::Partial, ReadStatus::Open) => {}
            (ParsedCall::Partial, _) => self.admin.drop_conn(&self.net, id),
        }
    }

    fn admin_call(&mut self, id: ConnId, call: AdminCall, head: &[u8]) {
        let now = Instant::now();
        let (status, body) = match call {
            AdminCall::Health if self.is_ready() => (200, b"ok\n".to_vec()),
            AdminCall::Health => (503, b"no\n".to_vec()),
            AdminCall::Stats => (200, self.stats_text(now).into_bytes()),
            AdminCall::Members => match &self.fleet {
                Some(fleet) => (200, fleet.members_json().to_string().into_bytes()),
                None => (404, Vec::new()),
            },
            AdminCall::Duties => match self.fleet.as_ref().and_then(|f| f.duties_json()) {
                Some(duties) => (200, duties.to_string().into_bytes()),
                None => (404, Vec::new()),
            },
            AdminCall::MoveDuty => {
                let line = String::from_utf8_lossy(head);
                let path = line.split(' ').nth(1).unwrap_or("").split('?').next().unwrap_or("").to_string();
                let target = duty_and_member(path.trim_end_matches('/')).zip(self.fleet.as_mut());
                match target.and_then(|((duty, member), fleet)| fleet.request_move(duty, member)) {
                    Some(Ok(())) => (200, b"told the voters\n".to_vec()),
                    Some(Err(why)) => (409, (why + "\n").into_bytes()),
                    None => (404, Vec::new()),
                }
            }
            AdminCall::StartDrain => {
                if self.admin.drained_since.is_none() {
                    info!(self.net.log, "drained by an operator");
                    self.admin.drained_since = Some(now);
                }
                (200, b"draining\n".to_vec())
            }
            AdminCall::EndDrain => {
                if self.admin.drained_since.take().is_some() {
                    info!(self.net.log, "the drain has ended");
                }
                (200, b"ok\n".to_vec())
            }
            AdminCall::UnknownPath => (404, Vec::new()),
            AdminCall::WrongMethod => (405, Vec::new()),
        };
        self.admin.respond(&self.net, id, status, &body);
    }
}

impl Proxy {
    /// The metrics, one statsd line each (docs/stats.md).
    fn stats_text(&self, now: Instant) -> String {
        let at = self.net.clock.unix_time(now);
        let is_stale = |p: &&Pool| {
            p.decisions.list_report(at).is_some_and(|report| report.freshness == ListFreshness::Stale)
        };
        let lists_stale = self.pools.iter().filter(is_stale).count();
        let pending = self.exchanges.pending();
        let (connections_ready, longest_turn) = (self.callers.ready_count(), self.net.rounds.longest_turn());
        let mut gauges =
            Gauges { pending, lists_stale, connections_ready, longest_turn, ..Gauges::default() };
        for pool in self.pools.iter().filter(|p| !p.is_retired) {
            let (members, unavailable) = pool.health.node_counts(at);
            gauges.members += members;
            gauges.members_unavailable += unavailable;
        }
        let mut text = self.stats.render(gauges, &self.net.memory);
        if let Some(fleet) = &self.fleet {
            fleet.write_stats(&mut text);
        }
        text
    }
}

#[cfg(test)]
#[path = "admin_tests.rs"]
mod tests;
