//! What a balancer keeps: plain data and running means. It decides nothing; `balancer` does.

use garnettally_model::*;
use std::collections::VecDeque;

/// Q_k and the cost board of one server: a ring of slots from `cleared` on, and TC.
#[derive(Default)]
pub struct Board {
    pub slots: Vec<f64>,
    pub cleared: i64,
    pub tc: f64,
    pub total: f64,
    pub queue: Vec<(Micros, f64)>,
}

/// One call in flight, as its server's board knows it.
pub struct Flight {
    pub id: RequestId,
    pub attempt: u32,
    pub class: usize,
    pub sent: Micros,
    pub overdue_at: Micros,
    pub overdue: bool,
    pub booked_until: f64, // When its booked time has passed, and its price before scaling
    pub price: f64,
}

/// Health of one key: a server, or a server for one class.
#[derive(Clone, Default)]
pub struct HealthRecord {
    pub bad: f64, // The outlier score
    pub ejected_until: Option<Micros>,
    pub strikes: u32,
    pub trial: bool,
    pub by_own_score: bool, // It was ejected by what was found here
    pub heard: f64,         // What others say of it, since when, and whether this instance tries it for them
    pub heard_at: Micros,
    pub tries: bool,
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
    pub flights: Vec<Flight>,
    pub weight: f64,
    pub own: f64,    // Prices sent since the last update
    pub busy: bool,  // Among the servers with bookings or calls in flight
    pub pool: usize, // Its place in the pools
    /// This instance's own luck with it, a factor on its price, exponential before the first send and near 1,
    /// drawn anew, at each later one: callers with empty boards must not all take the fastest.
    pub luck: f64,
    pub ratio: f64,                  // Served time over expected time, a running mean
    pub held: Option<(f64, Micros)>, // What it reported to hold, and when
    pub health: Vec<HealthRecord>,   // Health: as a whole, then by class, as far as it was needed
    pub last_bad: Option<BadOutcome>,
    pub answered: bool, // Something came back from it in its present life
    pub last_ok: Micros,
    pub last_end: Micros,
    pub idle: u32, // Idle connections of this instance, as far as it knows, and when the last one fell idle
    pub idle_since: Micros,
    pub shut: bool,                 // The last try got no connection
    pub bucket: f64,                // Slow start: work that may still be sent to it while it is cold
    pub started_at: Option<Micros>, // When it last started, by this instance's own clock; `None`: long ago
    pub proven: Micros, // Then it was sure not to be leaving: listed, watched, or sent a call that it took
    /// Called gone, or left out, where that does not bind, and nothing was answered since.
    pub doubted: bool,
}

/// Servers of one kind, which tire alike: the concurrency limit is theirs. With one limit for all, a class
/// bound to one kind would close the others too.
#[derive(Default)]
pub struct Pool {
    pub kind: u32,
    pub ready: f64, // Ready servers
    pub out: usize, // Calls in flight, and how many there may be
    pub limit: f64,
    pub carry: f64, // Servers that the limit is for, cold ones by the part of their capacity that they have
    pub delay: f64, // Served time as a part of the aim, a running mean
    pub ratio: f64, // Served time over what is expected of all, a running mean, and the mean of its units
    pub units: f64,
    pub crowd: f64, // Served time over the aim, squared: the late ones count most
    pub crowd_at: Micros,
    pub logs: f64, // Calls in the running mean of served time, a logarithm, and the least that this mean was
    pub log: f64,
    pub base: Option<f64>,
}

pub struct Attempt {
    pub server: ServerId,
    pub sent: Micros,
    pub out: bool,
    pub may_have_run: bool,
}

/// What a class's or a tenant's requests have met of late, wherever they went.
#[derive(Clone, Default)]
pub struct Side {
    pub bad: f64,    // Share that erred or came late by its whole aim, a running mean
    pub excess: f64, // That beyond twice its peers' own
    pub at: Micros,
}

pub struct Request {
    pub class: usize,
    pub tenant: usize, // Its place among the sides
    pub over_share: bool,
    pub repeat: bool,
    pub came: Micros,
    pub expires: Micros, // When its client gives up, or its answer is worth nothing any more
    pub price: f64,      // Estimated work, unscaled
    pub attempts: Vec<Attempt>,
    pub over: bool,
    pub key: Option<KeyId>, // Where its class keeps order
}

/// Order: the requests that share a key as they were taken, the first of which has the turn, and until when
/// the key rests after an attempt that may run still.
#[derive(Default)]
pub struct Turn {
    pub queue: VecDeque<RequestId>,
    pub rest: Micros,
}

/// Served time as a line over price, by running means: it grows with the price, but the wait before it does
/// not. A ratio would make a dear call look hopeless in a queue.
#[derive(Default)]
pub struct Line {
    pub n: f64,
    pub mean: [f64; 4], // of price, time, price squared, price times time
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
    pub held: f64, // Mean of what is reported to be held
}

/// What a pick came to.
pub enum Pick {
    To(ServerId),
    /// Only limits are in the way.
    Wait,
    Nobody,
}
