//! What came of a load.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Percentiles, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// The median.
    pub p50_ms: f64,
    /// Nine in ten.
    pub p90_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1,000.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Times {
    pub(crate) fn of(h: &Histogram<u64>) -> Times {
        if h.is_empty() {
            return Times::default();
        }
        let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
        Times {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: h.max() as f64 / 1e3,
        }
    }
}

/// Figures of a kind of request, or of all.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Requests that were meant to be sent.
    pub meant: u64,
    /// Answered with 2xx or 3xx.
    pub ok: u64,
    /// Of them, within the kind's aim.
    pub in_time: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered with another 4xx.
    pub rejected: u64,
    /// Answered with another 5xx.
    pub failed: u64,
    /// Not answered in time.
    pub timed_out: u64,
    /// The connection could not be had, broke, or brought what makes no sense.
    pub broken: u64,
    /// Never sent: too many were waiting already.
    pub unsent: u64,
    /// Times of the good answers, from the intended time of sending.
    pub latency: Times,
}

/// What came of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// How long it took, in seconds.
    pub seconds: f64,
    /// Good answers a second.
    pub goodput: f64,
    /// All requests.
    pub all: Part,
    /// By kind.
    pub kinds: Vec<Part>,
    /// Times of good answers from the moment they were really sent.
    pub service_time: Times,
    /// Connections that were opened.
    pub connections: u64,
    /// Answers, or parts of some, that nobody had asked for.
    pub unasked: u64,
    /// The longest that the generator itself was late to send.
    pub late_ms: f64,
    /// The generator kept its schedule; else the figures are not those of the load that was meant.
    pub valid: bool,
}

/// Late by more than this, the generator was too slow or the machine too busy.
pub const LATE: Duration = Duration::from_millis(100);

impl Report {
    /// Whether every request that was sent got one answer, or a time-out or broken connection that says so.
    pub fn one_answer_each(&self) -> bool {
        let a = &self.all;
        let ends = a.ok + a.refused + a.rejected + a.failed + a.timed_out + a.broken + a.unsent;
        self.unasked == 0 && ends == a.meant
    }

    /// For people.
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
