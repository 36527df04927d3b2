//! What clients and upstreams saw of each request.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A request reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub upstream: usize,
    pub declined: bool,
    /// What it tells of the time that is left.
    pub deadline: Option<Duration>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered {
        status: u16,
    },
    /// Its connection ended without an answer.
    Closed,
    /// Nothing came for longer than it may take.
    Silent,
    /// The client left.
    Left,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub process: usize,
    pub sent: Instant,
    pub deadline: Duration,
    pub may_be_repeated: bool,
    pub ended: Option<(Instant, End)>,
    pub arrivals: Vec<Arrival>,
}

/// All requests of a run, by their ids.
#[derive(Default)]
pub struct Records {
    requests: Mutex<HashMap<String, Request>>,
}

impl Records {
    pub fn lock(&self) -> MutexGuard<'_, HashMap<String, Request>> {
        self.requests.lock().unwrap()
    }

    pub fn sent(&self, id: &str, request: Request) {
        self.lock().insert(id.to_string(), request);
    }

    pub fn ended(&self, id: &str, end: End) {
        if let Some(request) = self.lock().get_mut(id) {
            request.ended = Some((Instant::now(), end));
        }
    }

    pub fn arrived(&self, id: &str, arrival: Arrival) {
        if let Some(request) = self.lock().get_mut(id) {
            request.arrivals.push(arrival);
        }
    }
}
