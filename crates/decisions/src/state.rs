//! The state that a balancer keeps: plain data and running means. The decisions are made in `balancer`.

use garnettally_model::*;
use std::collections::VecDeque;

/// The cost board of one server: a ring of time slots, TC, and Q_k, the calls that are still to be booked.
#[derive(Default)]
pub struct Board {
    /// The cost booked in each slot, in microseconds. The slot of a time is its slot number modulo the ring's
    /// length. The ring is empty until the first booking.
    pub slots: Vec<f64>,
    /// The number of the first slot that has not been cleared; earlier slots are in the past.
    pub first_slot: i64,
    /// TC of the paper: the time, in microseconds, up to which the server's time is booked.
    pub tc: f64,
    /// The cost in all slots together, in microseconds.
    pub total: f64,
    /// Q_k of the paper: the calls sent since the last period, each with its send time and its price.
    pub queue: Vec<(Micros, f64)>,
}

/// One call in flight to a server.
pub struct InFlightCall {
    /// The request that the call belongs to.
    pub id: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub attempt: u32,
    /// The index of the request's class.
    pub class: usize,
    /// When the call was sent.
    pub sent_at: Micros,
    /// When the call counts as overdue.
    pub overdue_at: Micros,
    /// Whether the call has been found overdue.
    pub is_overdue: bool,
    /// The time, in microseconds, at which the time booked for the call ends.
    pub booked_until: f64,
    /// The price of the call before it is scaled by [`Stats::gain`].
    pub unscaled_price: f64,
}

/// The health of a server as a whole, or of a server for one class.
#[derive(Clone, Default)]
pub struct HealthRecord {
    /// The outlier score, 0 to 1: a running mean of how bad the outcomes of this instance's calls were.
    pub outlier_score: f64,
    /// When the first probe is due, while the server is ejected; `None`: it is not ejected.
    pub ejected_until: Option<Micros>,
    /// The number of consecutive ejections and failed probes, which lengthens the back-off. Good outcomes
    /// reduce it.
    pub ejections: u32,
    /// Whether a probe attempt is in flight while the server is ejected.
    pub probe_in_flight: bool,
    /// Whether this instance's own score ejected the server, rather than a verdict of others.
    pub by_own_score: bool,
    /// The severity of the other instances' verdict, 0 to 1; 0: there is none.
    pub peer_severity: f64,
    /// The earliest time at which the other instances may have found the fault.
    pub peer_found_at: Micros,
    /// Whether this instance sends probe attempts on behalf of the others.
    pub probes_here: bool,
}

/// The last outcome that raised a server's outlier score.
#[derive(Clone, Copy, Debug)]
pub struct BadOutcome {
    /// How the attempt ended; `None`: it is overdue and still in flight.
    pub code: Option<Code>,
    /// The time since the attempt was sent.
    pub latency: Micros,
    /// The part of the latency that this process may have caused itself.
    pub local_delay: Micros,
    /// The time that the call was expected to take.
    pub expected: Micros,
}

impl std::fmt::Display for BadOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |m: Micros| m.0 as f64 / 1e3;
        match self.code {
            Some(code) => write!(f, "{code:?}")?,
            None => write!(f, "no answer")?,
        }
        let (latency, expected, local_delay) = (ms(self.latency), ms(self.expected), ms(self.local_delay));
        write!(
            f,
            " after {latency:.1} ms, {expected:.1} ms expected, {local_delay:.1} ms delayed in this process"
        )
    }
}

/// A server, with what this instance has learned about it since the server's last start.
#[derive(Default)]
pub struct Server {
    /// The server's entry on the list.
    pub entry: ServerEntry,
    /// The cost board, on which the calls of this instance are booked.
    pub board: Board,
    /// The calls of this instance that are in flight.
    pub calls: Vec<InFlightCall>,
    /// W_k of the paper: 0 for the least loaded servers, negative for the others. It is renewed each period.
    pub weight: f64,
    /// The sum of the prices of the calls sent since the weight was last renewed.
    pub sent_since_update: f64,
    /// Whether the server is among [`Balancer`](crate::Balancer)'s busy ones: it has bookings or calls in
    /// flight.
    pub is_busy: bool,
    /// The index of the server's pool.
    pub pool: usize,
    /// A random factor on the server's price at this instance. It is exponentially distributed before the
    /// first send and drawn anew, near 1, at each later one. Otherwise all callers with empty boards would
    /// choose the fastest server at once.
    pub random_factor: f64,
    /// The running mean of served time over expected time, relative to that of the pool; 0: never listed.
    pub time_ratio: f64,
    /// The number of requests that the server last reported to have in progress, and when.
    pub reported_load: Option<(f64, Micros)>,
    /// The health of the server as a whole at index 0, then for each class, as far as it was needed.
    pub health: Vec<HealthRecord>,
    /// The last outcome that raised an outlier score.
    pub last_bad_outcome: Option<BadOutcome>,
    /// Whether the server has answered any call since its last start.
    pub has_answered: bool,
    /// When the server last gave a good answer in time.
    pub last_ok_at: Micros,
    /// When an outcome was last added to the server's outlier scores.
    pub last_ended_at: Micros,
    /// The number of idle connections that this instance has to the server, as far as it knows.
    pub idle_connections: u32,
    /// When a connection last became idle.
    pub idle_since: Micros,
    /// Whether the last attempt got no connection.
    pub is_unreachable: bool,
    /// Slow start: the work that may still be sent to the server while it is cold; negative: the bucket is in
    /// debt.
    pub cold_bucket: f64,
    /// When the server last started, by this instance's own clock; `None`: it started long ago.
    pub started_at: Option<Micros>,
    /// The latest time at which the server is known not to have been leaving: it was listed, the watch was
    /// open, or a call was sent that it accepted.
    pub confirmed_at: Micros,
    /// Whether a list reported the server as removed, or left it out, where that does not forbid calls, and
    /// the server has not given a good answer since.
    pub is_doubted: bool,
}

/// The servers of one kind. They slow down under load in the same way, so the concurrency limit is one for
/// all of them. With a single limit for all kinds, a class that is restricted to one kind would close the
/// others, too.
#[derive(Default)]
pub struct Pool {
    /// The number of the machine kind.
    pub kind: u32,
    /// The number of ready servers.
    pub ready_servers: f64,
    /// The number of calls of this instance in flight.
    pub calls_in_flight: usize,
    /// The concurrency limit: how many calls of this instance may be in flight.
    pub limit: f64,
    /// The number of servers that the limit was scaled to. A cold server counts by the share of its capacity
    /// that it has, an ejected one not at all.
    pub capacity: f64,
    /// The running mean of served time over the aim of the class.
    pub mean_delay: f64,
    /// The running mean of served time over the time expected of any server.
    pub time_ratio: f64,
    /// The mean size of the ready servers, in units.
    pub mean_units: f64,
    /// The running mean of the square of served time over aim, in which late answers count most.
    pub congestion: f64,
    /// When `congestion` was last updated.
    pub congestion_at: Micros,
    /// The number of calls that `mean_log_time` and `mean_delay` are made of.
    pub log_samples: f64,
    /// The running mean of the logarithm of served time over the square root of the price.
    pub mean_log_time: f64,
    /// The least value of `mean_log_time`, which drifts towards the present one: the time without congestion.
    pub least_log_time: Option<f64>,
}

/// An attempt of a request.
pub struct Attempt {
    /// The server it was sent to.
    pub server: ServerId,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
    /// Whether the request may have run, or may still be running, because of this attempt.
    pub may_have_run: bool,
    /// Whether the head of a response has arrived that would be passed on to the client.
    pub has_response_started: bool,
}

/// How often the requests of a class or tenant have failed lately, on whichever servers.
#[derive(Clone, Default)]
pub struct FailureShare {
    /// The running mean, 0 to 1, of the requests that ended with an error or were late by their whole aim.
    pub failing: f64,
    /// By how much `failing` exceeds twice the mean of the other classes or tenants.
    pub excess: f64,
    /// When `failing` was last updated; 0: never.
    pub updated_at: Micros,
}

/// A request that has no final answer yet, or has attempts in flight.
pub struct Request {
    /// The index of the request's class.
    pub class: usize,
    /// The index of the request's tenant in [`Balancer`](crate::Balancer)'s failure shares.
    pub tenant_index: usize,
    /// Whether the request exceeds the quota of its tenant.
    pub over_quota: bool,
    /// Whether the client has tried the request before.
    pub is_repeat: bool,
    /// When the client first sent the request, as far as that can be inferred.
    pub arrived_at: Micros,
    /// When the client stops waiting, or an answer is worth nothing any more.
    pub expires: Micros,
    /// The estimated work of the request, in microseconds, before any scaling.
    pub price: f64,
    /// The attempts, in the order of their numbers.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final answer or its client has disconnected.
    pub is_finished: bool,
    /// The key of the request, where its class keeps the order of requests with the same key.
    pub key: Option<KeyId>,
}

/// The requests that share a key and have to run in order.
#[derive(Default)]
pub struct KeyQueue {
    /// The requests in the order of their arrival. Only the first may be sent.
    pub requests: VecDeque<RequestId>,
    /// Until when the key is paused after an attempt that may still be running: the next request is not sent
    /// before.
    pub paused_until: Micros,
}

/// The estimate of served time as a straight line over the price, from running means. Served time grows with
/// the price, but the wait before it does not: by a plain ratio, an expensive call would look hopeless once
/// there is a queue.
#[derive(Default)]
pub struct TimeEstimate {
    /// The number of calls that the means are made of.
    pub samples: f64,
    /// The running means of price, time, price squared, and price times time.
    pub means: [f64; 4],
}

/// Running means per period, and the sums of the present period that will be added to them.
#[derive(Default)]
pub struct Stats {
    /// The number of periods that have ended.
    pub periods: f64,
    /// Nr of the paper: the mean number of sends per period.
    pub nr: f64,
    /// Cp of the paper: the mean cost booked per period.
    pub cp: f64,
    /// Cr of the paper: the mean cost per send.
    pub cr: f64,
    /// The mean cost per period before it is scaled by `gain`.
    pub raw: f64,
    /// The factor by which costs are scaled before they are booked.
    pub gain: f64,
    /// dec of the paper: the factor by which the weights are compressed, at most 1.
    pub dec: f64,
    /// The number of sends in the present period.
    pub sent_count: f64,
    /// The cost of the sends of the present period, before it is scaled.
    pub sent_raw: f64,
    /// The cost booked for the sends of the present period.
    pub sent_booked: f64,
    /// The running mean of the number of requests that servers report to have in progress.
    pub mean_reported_load: f64,
}

/// The result of picking a server for a request.
pub enum PickResult {
    /// The request is to be sent to this server.
    Server(ServerId),
    /// The request has to wait: a limit, the order of its key or a stale list does not allow to send it now.
    Wait,
    /// There is no server that the request may be sent to.
    NoServer,
}
