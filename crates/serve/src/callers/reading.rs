//! What is read from callers: requests, the bytes behind them, and closes.

use super::{flush, Conn, ConnState};
use crate::admission::{AdmissionError, RETRY_AFTER};
use crate::http::{self, HttpError, Incoming, OutgoingResponse};
use crate::reasons::RefusalReason;
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
    /// Handles a connection that may be readable or writable: writes pending output, reads input and
    /// processes the requests in it.
    pub(super) fn caller_ready(&mut self, id: ConnId) {
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
}
