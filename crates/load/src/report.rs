//! The results of a load.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Percentiles of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// The 50th percentile, the median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The longest time.
    pub max_ms: f64,
}

impl Percentiles {
    /// The percentiles of a histogram of microseconds; all 0 if it is empty.
    pub(crate) fn from_histogram(h: &Histogram<u64>) -> Percentiles {
        if h.is_empty() {
            return Percentiles::default();
        }
        let quantile_ms = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
        Percentiles {
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: h.max() as f64 / 1e3,
        }
    }
}

/// The outcomes of the requests of one kind, or of all.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcomes {
    /// The name of the kind, or `all`.
    pub name: String,
    /// Requests that the schedule meant to be sent.
    pub meant: u64,
    /// Requests with a good response: 2xx or 3xx.
    pub ok: u64,
    /// Requests with a good response within the kind's `aim_ms`.
    pub in_time: u64,
    /// Requests that got 429 or 503.
    pub refused: u64,
    /// Requests that got another 4xx.
    pub rejected: u64,
    /// Requests that got another status, mostly 5xx.
    pub failed: u64,
    /// Requests without a complete response within the time-out.
    pub timed_out: u64,
    /// Requests whose connection could not be opened, broke, or brought a malformed response.
    pub broken: u64,
    /// Requests that were never sent, since the backlog was full.
    pub unsent: u64,
    /// The times of good responses, from the intended time of sending.
    pub latency: Percentiles,
}

/// The results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// How long the load took, in seconds.
    pub seconds: f64,
    /// Good responses per second.
    pub goodput: f64,
    /// The outcomes of all requests.
    pub all: Outcomes,
    /// The outcomes by kind of request.
    pub kinds: Vec<Outcomes>,
    /// The times of good responses, from the time at which the request was actually sent.
    pub service_time: Percentiles,
    /// The number of connections that were opened.
    pub connections: u64,
    /// The number of times that bytes came on a connection without a request in flight, or behind a response.
    pub unasked: u64,
    /// The longest delay of the generator itself behind its schedule, in milliseconds.
    pub late_ms: f64,
    /// Whether the generator kept its schedule; otherwise the figures are not those of the intended load.
    pub valid: bool,
}

/// The longest delay behind the schedule in a valid run; beyond it the generator was too slow or the machine
/// too busy.
pub const MAX_SCHEDULE_DELAY: Duration = Duration::from_millis(100);

impl Report {
    /// Whether every request ended in exactly one way, and no response came without a request.
    pub fn every_request_ended_once(&self) -> bool {
        let a = &self.all;
        let outcomes = a.ok + a.refused + a.rejected + a.failed + a.timed_out + a.broken + a.unsent;
        self.unasked == 0 && outcomes == a.meant
    }

    /// The results as text for people.
    pub fn text(&self) -> String {
        let mut out = format!(
            "{:.1} s, {:.1} good answers a second, {} connections\n",
            self.seconds, self.goodput, self.connections
        );
        for p in std::iter::once(&self.all).chain(&self.kinds) {
            let l = &p.latency;
            out += &format!(
                "  {:<14} meant {:>8}  ok {:>8}  refused {:>6}  rejected {:>5}  failed {:>5}  timed out {:>5}  broken {:>5}  unsent {:>5}   p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  max {:.1} ms\n",
                p.name, p.meant, p.ok, p.refused, p.rejected, p.failed, p.timed_out, p.broken, p.unsent,
                l.p50_ms, l.p90_ms, l.p99_ms, l.p999_ms, l.max_ms
            );
        }
        let s = &self.service_time;
        out += &format!(
            "  from the real sending: p50 {:.1}, p99 {:.1}, max {:.1} ms\n",
            s.p50_ms, s.p99_ms, s.max_ms
        );
        if self.unasked > 0 {
            out += &format!("  {} ANSWERS THAT NOBODY HAD ASKED FOR\n", self.unasked);
        }
        if !self.valid {
            out += &format!("  INVALID: the generator was late by up to {:.1} ms\n", self.late_ms);
        }
        out
    }
}
