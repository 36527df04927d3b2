//! The record of each request, as its client and its upstreams saw it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The arrival of one attempt of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The number of the upstream.
    pub upstream: usize,
    /// Whether the upstream declined the request.
    pub declined: bool,
    /// The remaining time that the request states.
    pub deadline: Option<Duration>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The client got an answer.
    Answered { status: u16 },
    /// The connection ended without an answer.
    Closed,
    /// No answer came in the time that an answer may take.
    NoAnswer,
    /// The client closed its connection before an answer.
    Left,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The number of the process that the request was sent to.
    pub process: usize,
    pub sent: Instant,
    /// The time from the sending within which the client wants an answer.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub may_be_repeated: bool,
    /// When and how the request ended for its client; `None` while it is under way.
    pub ended: Option<(Instant, RequestEnd)>,
    pub arrivals: Vec<Arrival>,
}

/// All requests of a run, by their ids.
#[derive(Default)]
pub struct Records {
    requests: Mutex<HashMap<String, Request>>,
}

impl Records {
    /// The requests by their ids, locked.
    pub fn lock(&self) -> MutexGuard<'_, HashMap<String, Request>> {
        self.requests.lock().unwrap()
    }

    /// Records a request that is about to be sent.
    pub fn record_sent(&self, id: &str, request: Request) {
        self.lock().insert(id.to_string(), request);
    }

    /// Records the end of a request.
    pub fn record_end(&self, id: &str, end: RequestEnd) {
        if let Some(request) = self.lock().get_mut(id) {
            request.ended = Some((Instant::now(), end));
        }
    }

    /// Records the arrival of an attempt at an upstream.
    pub fn record_arrival(&self, id: &str, arrival: Arrival) {
        if let Some(request) = self.lock().get_mut(id) {
            request.arrivals.push(arrival);
        }
    }
}
