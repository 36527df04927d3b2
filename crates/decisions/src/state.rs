//! What a balancer keeps: plain data and running means. It decides nothing; `balancer` does.

use garnettally_model::*;
use std::collections::VecDeque;

/// Q_k and the cost board of one server: a ring of slots from `cleared` on, and TC.
#[derive(Default)]
pub struct Board {
    pub slots: Vec<f64>,
    pub first_slot: i64,
    pub tc: f64,
    pub total: f64,
    pub queue: Vec<(Micros, f64)>,
}

/// One call in flight, as its server's board knows it.
pub struct InFlightCall {
    pub id: RequestId,
    pub attempt: u32,
    pub class: usize,
    pub sent_at: Micros,
    pub overdue_at: Micros,
    pub is_overdue: bool,
    pub booked_until: f64, // When its booked time has passed, and its price before scaling
    pub unscaled_price: f64,
}

/// Health of one key: a server, or a server for one class.
#[derive(Clone, Default)]
pub struct HealthRecord {
    pub outlier_score: f64, // The outlier score
    pub ejected_until: Option<Micros>,
    pub ejections: u32,
    pub probe_in_flight: bool,
    pub by_own_score: bool, // It was ejected by what was found here
    pub peer_severity: f64, // What others say of it, since when, and whether this instance tries it for them
    pub peer_found_at: Micros,
    pub probes_here: bool,
}

/// What spoke against a server last: the code of an attempt that ended, `None` for one that is out too long.
#[derive(Clone, Copy, Debug)]
pub struct BadOutcome {
    pub code: Option<Code>,
    pub latency: Micros,
    /// So much of the latency may be this process's own.
    pub local_delay: Micros,
    pub expected: Micros,
}

impl std::fmt::Display for BadOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |m: Micros| m.0 as f64 / 1e3;
        match self.code {
            Some(code) => write!(f, "{code:?}")?,
            None => write!(f, "no answer")?,
        }
        let (latency, expected, held_up) = (ms(self.latency), ms(self.expected), ms(self.local_delay));
        write!(f, " after {latency:.1} ms, {expected:.1} expected, {held_up:.1} of them held up here")
    }
}

#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    pub board: Board,
    pub calls: Vec<InFlightCall>,
    pub weight: f64,
    pub sent_since_update: f64, // Prices sent since the last update
    pub is_busy: bool,          // Among the servers with bookings or calls in flight
    pub pool: usize,            // Its place in the pools
    /// This instance's own luck with it, a factor on its price, exponential before the first send and near 1,
    /// drawn anew, at each later one: callers with empty boards must not all take the fastest.
    pub random_factor: f64,
    pub time_ratio: f64, // Served time over expected time, a running mean
    pub reported_load: Option<(f64, Micros)>, // What it reported to hold, and when
    pub health: Vec<HealthRecord>, // Health: as a whole, then by class, as far as it was needed
    pub last_bad_outcome: Option<BadOutcome>,
    pub has_answered: bool, // Something came back from it in its present life
    pub last_ok_at: Micros,
    pub last_ended_at: Micros,
    pub idle_connections: u32, // Idle connections of this instance, as far as it knows, and when the last one fell idle
    pub idle_since: Micros,
    pub is_unreachable: bool,       // The last try got no connection
    pub cold_bucket: f64,           // Slow start: work that may still be sent to it while it is cold
    pub started_at: Option<Micros>, // When it last started, by this instance's own clock; `None`: long ago
    pub confirmed_at: Micros, // Then it was sure not to be leaving: listed, watched, or sent a call that it took
    /// Called gone, or left out, where that does not bind, and nothing was answered since.
    pub is_doubted: bool,
}

/// Servers of one kind, which tire alike: the concurrency limit is theirs. With one limit for all, a class
/// bound to one kind would close the others too.
#[derive(Default)]
pub struct Pool {
    pub kind: u32,
    pub ready_servers: f64,     // Ready servers
    pub calls_in_flight: usize, // Calls in flight, and how many there may be
    pub limit: f64,
    pub capacity: f64, // Servers that the limit is for, cold ones by the part of their capacity that they have
    pub mean_delay: f64, // Served time as a part of the aim, a running mean
    pub time_ratio: f64, // Served time over what is expected of all, a running mean, and the mean of its units
    pub mean_units: f64,
    pub congestion: f64, // Served time over the aim, squared: the late ones count most
    pub congestion_at: Micros,
    pub log_samples: f64, // Calls in the running mean of served time, a logarithm, and the least that this mean was
    pub mean_log_time: f64,
    pub least_log_time: Option<f64>,
}

pub struct Attempt {
    pub server: ServerId,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub may_have_run: bool,
}

/// What a class's or a tenant's requests have met of late, wherever they went.
#[derive(Clone, Default)]
pub struct FailureShare {
    pub failing: f64, // Share that erred or came late by its whole aim, a running mean
    pub excess: f64,  // That beyond twice its peers' own
    pub updated_at: Micros,
}

pub struct Request {
    pub class: usize,
    pub tenant_index: usize, // Its place among the sides
    pub over_quota: bool,
    pub is_repeat: bool,
    pub arrived_at: Micros,
    pub expires: Micros, // When its client gives up, or its answer is worth nothing any more
    pub price: f64,      // Estimated work, unscaled
    pub attempts: Vec<Attempt>,
    pub is_finished: bool,
    pub key: Option<KeyId>, // Where its class keeps order
}

/// Order: the requests that share a key as they were taken, the first of which has the turn, and until when
/// the key rests after an attempt that may run still.
#[derive(Default)]
pub struct KeyQueue {
    pub requests: VecDeque<RequestId>,
    pub paused_until: Micros,
}

/// Served time as a line over price, by running means: it grows with the price, but the wait before it does
/// not. A ratio would make a dear call look hopeless in a queue.
#[derive(Default)]
pub struct TimeEstimate {
    pub samples: f64,
    pub means: [f64; 4], // of price, time, price squared, price times time
}

/// Running means per period, and what the present period adds to them.
#[derive(Default)]
pub struct Stats {
    pub periods: f64,
    pub nr: f64, // Sends per period, cost booked per period, and cost per send
    pub cp: f64,
    pub cr: f64,
    pub raw: f64, // Cost before scaling, and the scale
    pub gain: f64,
    pub dec: f64, // How far the weights are compressed
    pub sent_count: f64,
    pub sent_raw: f64,
    pub sent_booked: f64,
    pub mean_reported_load: f64, // Mean of what is reported to be held
}

/// What a pick came to.
pub enum PickResult {
    Server(ServerId),
    /// Only limits are in the way.
    Wait,
    NoServer,
}
