//! Bodies that pass through to callers.

use super::{Callers, ConnState};
use crate::http::{self, BodyFraming, ResponseHead};
use crate::reasons::CloseReason;
use crate::reservation::Reservation;
use crate::{ConnId, Proxy};
use garnettally_decisions::facade::RequestId;
use std::time::{Duration, Instant};

/// The body that a connection's caller is given as it arrives.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct PassingBody {
    /// The upstream's connection that the body comes from.
    pub(super) upstream: ConnId,
    framing: BodyFraming,
}

impl Callers {
    /// Whether the end of a caller's connection would free a unit of the limit on connections that helps.
    pub fn frees_connection(&self, id: ConnId, helps: impl Fn(&Reservation) -> bool) -> bool {
        self.conns.get(&id).is_some_and(|c| helps(&c.connection_reservation))
    }

    /// Whether the end of a caller's connection would free a unit of the limit on callers that helps.
    pub fn frees_caller(&self, id: ConnId, helps: impl Fn(&Reservation) -> bool) -> bool {
        self.conns.get(&id).is_some_and(|c| helps(&c.caller_reservation))
    }

    /// How many bytes wait to be written to a caller.
    pub fn backlog_bytes(&self, id: ConnId) -> usize {
        self.conns.get(&id).map_or(0, |c| c.backlog_bytes())
    }

    /// When bytes were last written to a caller, or its response began.
    pub fn last_written_at(&self, id: ConnId) -> Option<Instant> {
        self.conns.get(&id).map(|c| c.last_written_at)
    }

    /// Queues a part of the body that passes through to a caller.
    pub fn append_body(&mut self, id: ConnId, part: &[u8]) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let ConnState::Passing(body) = conn.state {
            conn.output.edit(|output| body.framing.write(output, part));
        }
    }
}

impl Proxy {
    /// Begins the final response of a request whose body passes through from an upstream's connection.
    pub fn begin_response(&mut self, id: ConnId, request: RequestId, upstream: ConnId, head: &ResponseHead) {
        let is_ending = self.ends_after_response(id);
        let Some(conn) = self.callers.conns.get_mut(&id) else {
            return self.drop_begun_response(upstream);
        };
        let framing = BodyFraming::for_caller(head.framing, conn.accepts_chunked);
        conn.close_after_response |= is_ending || framing == BodyFraming::UntilClose;
        let close = conn.close_after_response;
        conn.output.edit(|out| http::write_response_head(out, head.status, &head.headers, framing, close));
        (conn.state, conn.last_written_at) =
            (ConnState::Passing(PassingBody { upstream, framing }), Instant::now());
        self.start_transfer(upstream, request, id, head.keep_alive);
        // The body may come late, and the client waits for the first bytes.
        self.flush_caller(id);
    }

    /// Ends a body that is whole; the connection closes or accepts its next request.
    pub fn end_body(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        let ConnState::Passing(body) = conn.state else { return };
        conn.output.edit(|output| body.framing.write_end(output));
        conn.state = if conn.close_after_response { ConnState::Lingering } else { ConnState::Reading };
        conn.since = Instant::now();
        if conn.output.is_empty() {
            conn.end_sending_if_done();
        }
        self.flush_caller(id);
        // The client may have sent its next request in the meantime.
        self.callers.mark_ready(id);
    }

    /// Ends a body that is not whole, so that its caller can tell: before the last chunk or the stated length, or
    /// by a reset where the end of the connection would be that of the body.
    pub fn cut_body(&mut self, id: ConnId) {
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        if matches!(conn.state, ConnState::Passing(body) if body.framing == BodyFraming::UntilClose) {
            let _ = socket2::SockRef::from(&*conn.socket.stream).set_linger(Some(Duration::ZERO));
        }
        self.callers.drop_conn(&self.net, id, CloseReason::Broken);
    }
}
