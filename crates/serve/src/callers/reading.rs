//! What is read from callers: requests, the bytes behind them, and closes.

use super::{Conn, ConnState};
use crate::admission::{AdmissionError, RETRY_AFTER};
use crate::http::{self, HttpError, Incoming, OutgoingResponse};
use crate::reasons::RefusalReason;
use crate::turns::WorkBudget;
use crate::{ConnId, Limits, Net, Proxy, ReadStatus};
use std::time::Instant;

/// The result of receiving a part of the input.
struct Received {
    reading: ReadStatus,
    /// How many bytes were appended to the input.
    bytes: usize,
    /// Whether the socket has no more bytes for now.
    is_socket_empty: bool,
}

impl Conn {
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
}

impl Proxy {
    /// Serves the connections that are ready, in turn, until the work of one turn of the event loop is done.
    pub fn serve_ready_callers(&mut self) {
        let mut left = self.net.limits.turn_units;
        for _ in 0..self.callers.ready.len() {
            if left == 0 {
                return;
            }
            let Some(id) = self.callers.ready.pop() else { return };
            left = left.saturating_sub(self.caller_ready(id).max(1));
        }
    }

    /// Gives a connection that may be readable or writable its quantum: writes pending output, reads input
    /// and processes the requests in it. Returns the units of work that it took.
    pub(super) fn caller_ready(&mut self, id: ConnId) -> usize {
        let quantum = self.net.limits.quantum_units;
        let mut budget = WorkBudget::new(quantum);
        self.flush_caller(id);
        match self.callers.conns.get(&id).map(|c| c.state) {
            Some(ConnState::Reading) => self.read_requests(id, &mut budget),
            Some(ConnState::Waiting(_)) => self.read_behind_request(id, &mut budget),
            Some(ConnState::Passing(body)) => {
                self.upstreams.mark_transfer_ready(body.upstream);
                self.read_behind_request(id, &mut budget);
            }
            Some(ConnState::Lingering) => self.discard_unread(id, &mut budget),
            None => {}
        }
        // All that the quantum has answered goes out in one write.
        self.flush_caller(id);
        quantum - budget.left()
    }

    /// Reads and processes requests until one awaits its response, the socket has no more bytes, or the
    /// quantum is used up. Little more than one request is read at a time; what follows stays in the socket.
    fn read_requests(&mut self, id: ConnId, budget: &mut WorkBudget) {
        self.process_while_written(id, budget);
        loop {
            let Some(conn) = self.callers.conns.get_mut(&id) else { return };
            match conn.state {
                ConnState::Waiting(_) | ConnState::Passing(_) => return self.read_behind_request(id, budget),
                ConnState::Lingering => return self.discard_unread(id, budget),
                // The socket is full; once it is writable, the connection is handled again.
                ConnState::Reading if conn.backlog_bytes() > self.net.limits.max_caller_backlog_bytes => {
                    return
                }
                ConnState::Reading if budget.is_used_up() => return self.callers.ready.push(id),
                ConnState::Reading => {}
            }
            let wanted = conn.missing_bytes.unwrap_or(self.net.limits.request_head_read_bytes).max(1);
            let received = conn.receive(&mut self.net, wanted);
            if received.reading != ReadStatus::Open {
                // The input may contain a complete request, but its client no longer waits for a response.
                return self.caller_left(id);
            }
            if received.bytes > 0 {
                self.process_while_written(id, budget);
                // With the quantum used up by requests, the input may hold more of them.
                if !budget.is_used_up() {
                    self.limit_incomplete(id);
                }
            }
            budget.spend_bytes(received.bytes);
            if received.is_socket_empty {
                let Some(conn) = self.callers.conns.get_mut(&id) else { return };
                conn.has_unread = false;
                if budget.is_used_up() && !conn.input.is_empty() {
                    self.callers.ready.push(id);
                }
                return;
            }
        }
    }

    /// Reads what a client sends behind a request that awaits its response, as far as the limits allow, so
    /// that a close behind it is noticed: the kernel can't know of a close behind more bytes than its socket
    /// buffer holds. The event loop is edge-triggered and does not report again what is left in the socket.
    fn read_behind_request(&mut self, id: ConnId, budget: &mut WorkBudget) {
        let wanted = self.net.limits.read_chunk_bytes;
        while self.may_read_ahead(id) {
            if budget.is_used_up() {
                return self.callers.ready.push(id);
            }
            let Some(conn) = self.callers.conns.get_mut(&id) else { return };
            let mut bytes = Vec::new();
            let reading = self.net.read(&conn.socket.stream, &mut bytes, wanted - 1);
            if reading != ReadStatus::Open {
                return self.caller_left(id);
            }
            conn.extend_read_ahead(&bytes);
            budget.spend_bytes(bytes.len());
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
    fn discard_unread(&mut self, id: ConnId, budget: &mut WorkBudget) {
        self.flush_caller(id);
        let Some(conn) = self.callers.conns.get_mut(&id) else { return };
        conn.discard_input();
        let max_bytes = self.net.limits.caller_discard_bytes;
        budget.spend_bytes(max_bytes);
        match self.net.discard(&conn.socket.stream, max_bytes) {
            (ReadStatus::Open, true) => self.callers.ready.push(id),
            (ReadStatus::Open, false) => {}
            (ReadStatus::Ended | ReadStatus::Broken, _) => self.caller_left(id),
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

    /// Processes requests for as long as the socket accepts the answers. If it does not, its becoming writable
    /// continues; what is only queued would bring no such event.
    fn process_while_written(&mut self, id: ConnId, budget: &mut WorkBudget) {
        loop {
            self.process_requests(id, budget);
            if !self.callers.exceeds_backlog(id, &self.net.limits) {
                return;
            }
            self.flush_caller(id);
            if self.callers.exceeds_backlog(id, &self.net.limits) {
                return;
            }
        }
    }

    /// Processes the requests in the input, as far as they are complete and the quantum allows.
    fn process_requests(&mut self, id: ConnId, budget: &mut WorkBudget) {
        while let Some(conn) = self.callers.conns.get_mut(&id) {
            let has_backlog = conn.backlog_bytes() > self.net.limits.max_caller_backlog_bytes;
            let is_reading = conn.state == ConnState::Reading;
            if !is_reading || conn.input.is_empty() || has_backlog || budget.is_used_up() {
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
                    }
                    return;
                }
                Ok(Incoming::Complete(request, used)) => {
                    budget.spend_unit();
                    conn.input.consume(used, self.net.limits.retained_buffer_bytes);
                    (conn.sent_continue, conn.had_request, conn.since) = (false, true, Instant::now());
                    conn.missing_bytes = None;
                    conn.close_after_response = !request.keep_alive;
                    conn.accepts_chunked = request.accepts_chunked;
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
}
