//! When a response is committed: passed on to the client as it arrives, so that no other attempt can take its
//! place any more.
//!
//! Until then a response that may be long is held, so that another attempt can run beside it and the first
//! one that can be passed on wins. Whether it still arrives is not judged: a late body looks like a spoilt
//! one. It is committed at the aim of its request at the latest, or earlier if no other attempt can take its
//! place.

use super::*;

/// A response up to this length is held until it is whole, so that one that breaks can be tried again. Of a
/// longer one the client waits for the first bytes alone.
const MAX_HELD_BYTES: usize = 64 << 10;
/// A response without a stated length is committed before the aim only if this much of it has arrived: most
/// of them are short.
const MIN_LONG_BYTES: usize = 4 << 10;
/// A long response is committed once this much of it has arrived: spoilt ones rarely bring as much.
const COMMITTED_BYTES: usize = 16 << 10;
/// A long response that arrives slowly is committed if it still arrives this long after its head.
const FLOW_TIME: Micros = Micros(100_000);

/// How far a response that is not whole has arrived, of which nothing was passed on yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseProgress {
    /// The length of the body, if the head states it.
    pub stated_length: Option<usize>,
    /// The length of the body so far.
    pub received: usize,
    /// From the arrival of the head to that of the last bytes.
    pub flowed_for: Micros,
    /// Whether there is memory to hold what has arrived.
    pub has_room: bool,
}

/// What becomes of a response that is not whole when its attempt times out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimedOutResponse {
    /// It is committed.
    Commit,
    /// It is held until the client stops waiting, as the client waits for its last byte.
    Hold,
}

impl ResponseProgress {
    /// Whether the response is committed now that bytes of it have arrived.
    pub fn commits(&self) -> bool {
        let is_long =
            is_long(self.stated_length) && (self.stated_length.is_some() || self.received >= MIN_LONG_BYTES);
        let flows = self.received >= COMMITTED_BYTES || self.flowed_for >= FLOW_TIME;
        let is_due = !self.has_room || (is_long && flows);
        is_due && self.received > 0
    }

    /// What becomes of the response when its attempt times out: it is not ended while its client waits, since
    /// no other attempt would be in time.
    pub fn at_timeout(&self) -> TimedOutResponse {
        match is_long(self.stated_length) {
            true => TimedOutResponse::Commit,
            false => TimedOutResponse::Hold,
        }
    }
}

/// Whether a body is longer than what is held, or may be.
fn is_long(stated_length: Option<usize>) -> bool {
    stated_length.is_none_or(|length| length > MAX_HELD_BYTES)
}

/// A started response that is committed at some time, unless its request has ended by then.
pub(super) struct DueCommit {
    at: Micros,
    request: RequestId,
    attempt: u32,
}

impl Balancer {
    /// Takes in that a response has started, and decides when it is committed.
    pub(super) fn response_started(&mut self, start: ResponseStart, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&start.id).filter(|request| !request.is_finished) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(start.attempt as usize).filter(|a| a.in_flight) else {
            return;
        };
        attempt.has_response_started = true;
        if !is_long(start.stated_length) {
            return;
        }
        let request = &self.requests[&start.id];
        let at = match start.stated_length.is_some() && !self.may_be_hedged(request) {
            true => self.now,
            // The client waits for the first bytes alone, so these are to be in time.
            false => self.answer_by(request),
        };
        self.due_commits.push(DueCommit { at, request: start.id, attempt: start.attempt });
        if at > self.now {
            actions.push(Action::Timer { at, token: PERIOD_TIMER + 1 });
        }
        self.commit_due_responses(actions);
    }

    /// Whether the class and the settings allow another attempt beside those in flight.
    fn may_be_hedged(&self, request: &Request) -> bool {
        self.settings.parallel_attempts
            && !matches!(self.settings.classes[request.class].effect, Effect::Unsafe)
            && request.attempts.len() < self.settings.max_attempts as usize
    }

    /// Commits the responses for which it is time. Of several responses to a request the one that started
    /// first is committed.
    pub(super) fn commit_due_responses(&mut self, actions: &mut Vec<Action>) {
        let (now, requests) = (self.now, &self.requests);
        self.due_commits.retain(|due| {
            let request = requests.get(&due.request).filter(|request| !request.is_finished);
            let is_started = request
                .and_then(|request| request.attempts.get(due.attempt as usize))
                .is_some_and(|attempt| attempt.in_flight);
            if is_started && due.at <= now {
                actions.push(Action::Commit { id: due.request, attempt: due.attempt });
            }
            is_started && due.at > now
        });
    }
}
