//! The responses of attempts, as they arrive: they are held until they are whole, or until the decision module
//! has them committed to their callers.

use super::{Answer, Attempt, AttemptResult, Conn};
use crate::http::{HttpError, Response, ResponseHead, ResponseReader};
use crate::memory::{Buffer, MemoryMeter, MemoryUse};
use crate::reasons::CloseReason;
use crate::{ConnId, Limits, Net, Proxy, ReadStatus};
use garnettally_decisions::facade::{
    Code, Micros, Report, ResponseProgress, ResponseStart, TimedOutResponse,
};
use slog::{debug, warn};
use std::time::Instant;

/// The response of an attempt, as far as it has arrived.
pub(super) struct IncomingResponse {
    pub(super) reader: ResponseReader,
    /// The body that is held, without its framing.
    pub(super) body: Buffer,
    /// When the head was complete.
    pub(super) head_at: Option<Instant>,
    /// When the last bytes arrived.
    pub(super) last_bytes_at: Instant,
    /// Whether the decision module has been told of the head.
    is_reported: bool,
}

/// What has to be done after bytes of a response have arrived.
enum Progress {
    /// The response is complete.
    Complete,
    /// More has to arrive.
    Incomplete,
    /// The bytes are no response that can be passed on.
    Unusable(HttpError),
}

impl IncomingResponse {
    /// Expects the response to a request that is sent now; `to_head`: its method is HEAD.
    pub(super) fn new(memory: &MemoryMeter, to_head: bool, now: Instant) -> IncomingResponse {
        IncomingResponse {
            reader: ResponseReader::new(to_head),
            body: memory.buffer(MemoryUse::UpstreamInput),
            head_at: None,
            last_bytes_at: now,
            is_reported: false,
        }
    }

    /// Parses what has arrived. Bytes that can't be parsed yet stay in `input`.
    ///
    /// # Errors
    ///
    /// Those of [`ResponseReader::read`].
    pub(super) fn take_in(
        &mut self,
        input: &mut Buffer,
        ended: bool,
        limits: &Limits,
        now: Instant,
    ) -> Result<(), HttpError> {
        self.last_bytes_at = now;
        let reader = &mut self.reader;
        let used = self.body.edit(|body| reader.read(input, ended, body, limits))?;
        input.consume(used, limits.read_chunk_bytes);
        if self.reader.head().is_some() {
            self.head_at.get_or_insert(now);
        }
        Ok(())
    }

    /// The length of the body, if the head has arrived and states it.
    fn stated_length(&self) -> Option<usize> {
        self.reader.head().and_then(ResponseHead::stated_length)
    }

    /// How far the response has arrived, for the decision to commit it.
    fn progress(&self, has_room: bool) -> ResponseProgress {
        let head_at = self.head_at.unwrap_or(self.last_bytes_at);
        let flowed_for = self.last_bytes_at.saturating_duration_since(head_at);
        ResponseProgress {
            stated_length: self.stated_length(),
            received: self.reader.body_bytes(),
            flowed_for: Micros(flowed_for.as_micros() as i64),
            has_room,
        }
    }
}

impl Conn {
    /// Parses what has arrived.
    fn parse_input(&mut self, reading: ReadStatus, limits: &Limits) -> Progress {
        let is_empty = self.input.is_empty() && self.response.reader.head().is_none();
        if is_empty || reading == ReadStatus::Broken {
            return Progress::Incomplete;
        }
        let ended = reading == ReadStatus::Ended;
        match self.response.take_in(&mut self.input, ended, limits, Instant::now()) {
            Err(error) => Progress::Unusable(error),
            Ok(()) if self.response.reader.is_complete() => Progress::Complete,
            Ok(()) => Progress::Incomplete,
        }
    }
}

impl Net {
    /// Reads once what a socket has, behind what `input` holds. Returns whether the socket may have more, too.
    pub(super) fn read_piece(
        &mut self,
        stream: &std::net::TcpStream,
        input: &mut Buffer,
        max_bytes: usize,
    ) -> (ReadStatus, bool) {
        let wanted = input.len() + max_bytes;
        let reading = input.edit(|input| self.read(stream, input, wanted - 1));
        (reading, reading == ReadStatus::Open && input.len() == wanted)
    }
}

impl Proxy {
    /// Reads the response of the attempt that a connection carries. `is_broken`: writing to it has failed.
    pub(super) fn receive_response(&mut self, id: ConnId, is_broken: bool) {
        loop {
            let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
            let stream = conn.socket.stream.clone();
            let max_bytes = self.net.limits.read_chunk_bytes;
            let (reading, has_more) = self.net.read_piece(&stream, &mut conn.input, max_bytes);
            if conn.in_flight.is_none() {
                // On an idle connection, any event means that it ends.
                if reading != ReadStatus::Open || !conn.input.is_empty() {
                    self.upstreams.remove(&self.net, id, CloseReason::Broken);
                }
                return;
            }
            match conn.parse_input(reading, &self.net.limits) {
                Progress::Complete => return self.response_received(id, reading == ReadStatus::Open),
                Progress::Unusable(error) => return self.response_unusable(id, error),
                Progress::Incomplete if is_broken || reading != ReadStatus::Open => {
                    return self.upstream_connection_broken(id);
                }
                Progress::Incomplete => {}
            }
            if self.pass_or_hold(id) || !has_more {
                return;
            }
        }
    }

    /// Decides on a response that is not whole: it is held on, dropped, or begins to pass through. Returns
    /// whether it is no longer held.
    fn pass_or_hold(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return true };
        let Some(request) = conn.in_flight.as_ref().map(|f| f.attempt.0) else { return true };
        let Some(code) = self.response_code(id) else { return false };
        let is_awaited = matches!(code, Code::Ok | Code::Rejected) && self.is_response_awaited(request);
        if !is_awaited {
            return self.discard_body(id, code);
        }
        if self.commits(id) {
            self.begin_transfer(id);
            return true;
        }
        self.report_response_start(id);
        false
    }

    /// Tells the decision module, once, that the head of a response has arrived.
    fn report_response_start(&mut self, id: ConnId) {
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let Some((request, attempt)) = conn.in_flight.as_ref().map(|f| f.attempt) else { return };
        if !std::mem::replace(&mut conn.response.is_reported, true) {
            let stated_length = conn.response.stated_length();
            let start = ResponseStart { id: request, attempt, stated_length };
            debug!(self.net.log, "an answer has begun"; "connection" => id, "request" => request.0,
                "attempt" => attempt, "length" => stated_length);
            self.queue_report(request, Report::ResponseStarted(start));
        }
    }

    /// Drops the body of a response that nobody is given. One that is too long to be read for the sake of its
    /// connection ends the attempt. Returns whether it has.
    fn discard_body(&mut self, id: ConnId, code: Code) -> bool {
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return true };
        conn.response.body.clear(0);
        if conn.response.reader.body_bytes() <= self.net.limits.max_discarded_response_bytes {
            return false;
        }
        let Some(conn) = self.upstreams.remove(&self.net, id, CloseReason::TooLong) else { return true };
        if let Some(in_flight) = &conn.in_flight {
            self.attempt_ended(in_flight.result(code, &self.net.rounds).with_target(conn.upstream));
        }
        true
    }

    /// Whether a response that is not whole is committed to its caller now.
    fn commits(&self, id: ConnId) -> bool {
        let Some(conn) = self.upstreams.conns.get(&id).filter(|c| c.output.is_written()) else {
            return false;
        };
        let held = self.net.memory.held();
        let is_large = conn.held_bytes() > self.net.limits.read_chunk_bytes;
        let exceeds_share = is_large
            && self
                .upstreams
                .exceeds_memory_share(conn.upstream.pool, self.net.limits.max_held_responses_bytes);
        let has_room =
            !exceeds_share && self.net.message_memory().admits_response(held, conn.response.body.capacity());
        conn.response.progress(has_room).commits()
    }

    /// Commits the response of an attempt, as the decision module has decided.
    pub fn commit_response(&mut self, attempt: Attempt) {
        let Some(&id) = self.upstreams.connection_by_attempt.get(&attempt) else { return };
        if self.has_awaited_response_started(id) {
            self.begin_transfer(id);
        }
    }

    /// Goes on with an attempt that has timed out after its response has started, as the decision module says.
    /// Returns whether the attempt goes on.
    pub(super) fn outlasts_timeout(&mut self, id: ConnId, now: Instant) -> bool {
        if !self.has_awaited_response_started(id) {
            return false;
        }
        let Some(conn) = self.upstreams.conns.get(&id) else { return false };
        let Some(attempt) = conn.in_flight.as_ref().map(|f| f.attempt) else { return false };
        match conn.response.progress(true).at_timeout() {
            TimedOutResponse::Commit => self.begin_transfer(id),
            TimedOutResponse::Hold => {
                let Some(until) = self.answer_due_at(attempt.0).filter(|&until| until > now) else {
                    return false;
                };
                debug!(self.net.log, "an answer that has begun outlasts its attempt's time";
                    "request" => attempt.0 .0, "attempt" => attempt.1, "bytes" => conn.held_bytes());
                self.upstreams.set_deadline(attempt, until);
            }
        }
        true
    }

    /// Whether the head of a response has arrived that would be passed on, and that is awaited.
    fn has_awaited_response_started(&self, id: ConnId) -> bool {
        let Some(conn) = self.upstreams.conns.get(&id).filter(|c| c.output.is_written()) else {
            return false;
        };
        let is_awaited = conn.in_flight.as_ref().is_some_and(|f| self.is_response_awaited(f.attempt.0));
        is_awaited && matches!(self.response_code(id), Some(Code::Ok | Code::Rejected))
    }

    /// The code of the attempt, as the head of the response says; `None`: the head is not complete.
    fn response_code(&self, id: ConnId) -> Option<Code> {
        let conn = self.upstreams.conns.get(&id)?;
        let head = conn.response.reader.head()?;
        let settings = self.upstreams.settings.get(&conn.upstream.pool);
        Some(match head.status {
            200 => Code::Ok,
            200..=399 if settings.is_some_and(|t| t.any_success) => Code::Ok,
            503 | 504 if head.declined => Code::Full,
            // The other 4xx statuses are caused by the request, not by the upstream; these three say that a
            // later attempt may succeed.
            400..=499 if !matches!(head.status, 408 | 425 | 429) => Code::Rejected,
            _ => Code::Error,
        })
    }

    /// Ends an attempt with a complete response, and makes its connection idle if it can be reused.
    fn response_received(&mut self, id: ConnId, stays_open: bool) {
        let Some(code) = self.response_code(id) else { return };
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let Some(head) = conn.response.reader.take_head() else { return };
        let body = conn.response.body.edit(std::mem::take);
        let Some(ended) =
            conn.in_flight.as_ref().map(|f| f.result(code, &self.net.rounds).with_target(conn.upstream))
        else {
            return;
        };
        self.upstreams.connection_by_attempt.remove(&ended.attempt);
        self.upstreams.release(&self.net, id, stays_open && head.keep_alive);
        self.attempt_ended(AttemptResult { answer: Some(Answer::Whole(Response { head, body })), ..ended });
    }

    /// Ends an attempt whose response can't be used, with its connection.
    fn response_unusable(&mut self, id: ConnId, HttpError(status): HttpError) {
        let Some(conn) = self.upstreams.conns.get(&id) else { return };
        let why = if status == 413 { "longer than an answer may be" } else { "malformed" };
        warn!(self.net.log, "an upstream's answer was not understood";
            "upstream" => self.upstream_name(conn.upstream), "why" => why,
            "bytes" => conn.input.len() + conn.response.reader.body_bytes());
        self.upstream_connection_broken(id);
    }

    /// Has the body of a response pass through: the attempt has ended well, and no other can take its place.
    fn begin_transfer(&mut self, id: ConnId) {
        let Some(code) = self.response_code(id) else { return };
        let Some(conn) = self.upstreams.conns.get_mut(&id) else { return };
        let (Some(in_flight), Some(head)) = (conn.in_flight.take(), conn.response.reader.take_head()) else {
            return;
        };
        debug!(self.net.log, "an answer begins to pass through"; "connection" => id,
            "request" => in_flight.attempt.0 .0, "attempt" => in_flight.attempt.1,
            "length" => head.stated_length(), "held" => conn.response.body.len());
        let ended = in_flight.result(code, &self.net.rounds).with_target(conn.upstream);
        let passed = conn.response.head_at.map(|at| at.saturating_duration_since(in_flight.sent_at));
        let latency = passed.unwrap_or(ended.latency);
        let local_delay = ended.local_delay.min(latency);
        self.upstreams.connection_by_attempt.remove(&ended.attempt);
        let answer = Some(Answer::Begun(id, head));
        self.attempt_ended(AttemptResult { answer, latency, local_delay, ..ended });
    }
}
