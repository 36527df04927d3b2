//! The metrics that operators fetch from `/stats` (docs/stats.md): one registry per process, owned by the
//! network side, whose counters start at 0 and are rendered as statsd lines. The registry makes no decisions
//! and does no I/O.

use crate::memory::{MemoryMeter, MemoryUse};
use crate::reasons::RefusalReason;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// The number of classes counted by name; further names are counted under `other`, so that callers can't grow
/// the registry without bound.
const MAX_CLASSES: usize = 256;

/// How an accepted request ended, as `/stats` counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream's response was forwarded: `completed`.
    Completed,
    /// The request was refused, with `Retry-After`: `rejected`.
    Rejected,
    /// The request failed: `failed`.
    Failed,
}

/// The number of requests of one class by outcome, since the start of the process.
#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    completed: u64,
    rejected: u64,
    failed: u64,
}

/// Current values at the time of a fetch, as opposed to counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The number of accepted requests that have had no response yet.
    pub pending: usize,
    /// The number of upstreams in the lists of all pools.
    pub members: usize,
    /// The number of `members` that are avoided now: draining, or considered down.
    pub members_unavailable: usize,
    /// The number of pools whose list of upstreams is stale: changes that the balancer has to obey may be
    /// missing.
    pub lists_stale: usize,
    /// The number of clients' connections that wait for their turn.
    pub connections_ready: usize,
    /// The longest turn of the event loop since the start of the process.
    pub longest_turn: Duration,
}

/// The counters of one process.
#[derive(Default)]
pub struct Stats {
    /// The outcome counts of each class, by the class's name as it appears in the metric.
    classes: BTreeMap<String, OutcomeCounts>,
    /// The number of attempts that were written completely to an upstream.
    upstream_requests: u64,
    config_reloads: u64,
    config_reload_errors: u64,
    refused: BTreeMap<RefusalReason, u64>,
    discovery_calls: u64,
    discovery_failures: u64,
}

/// A class's name as a segment of a statsd path: characters that would end or split a line become `_`.
fn path_segment(name: &str) -> String {
    let clean: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() || c == '_' || c == '-' { c } else { '_' })
        .collect();
    if clean.is_empty() {
        "_".into()
    } else {
        clean
    }
}

impl Stats {
    /// Registers a configured class, so that its counters read 0 before its first request.
    pub fn register_class(&mut self, class: &str) {
        if self.classes.len() < MAX_CLASSES {
            self.classes.entry(path_segment(class)).or_default();
        }
    }

    /// Counts a request of this class that has had its final response.
    pub fn record_outcome(&mut self, class: &str, outcome: Outcome) {
        let name = path_segment(class);
        let name = if self.classes.contains_key(&name) || self.classes.len() < MAX_CLASSES {
            name
        } else {
            "other".into()
        };
        let counts = self.classes.entry(name).or_default();
        match outcome {
            Outcome::Completed => counts.completed += 1,
            Outcome::Rejected => counts.rejected += 1,
            Outcome::Failed => counts.failed += 1,
        }
    }

    /// The sums over all classes, for the export.
    pub fn totals(&self) -> crate::export::MemberCounters {
        let sum = |field: fn(&OutcomeCounts) -> u64| self.classes.values().map(field).sum();
        crate::export::MemberCounters {
            completed: sum(|o| o.completed),
            rejected: sum(|o| o.rejected),
            failed: sum(|o| o.failed),
            attempts: self.upstream_requests,
        }
    }

    /// Counts an attempt whose request was written completely to an upstream.
    pub fn record_attempt_written(&mut self) {
        self.upstream_requests += 1;
    }

    /// Counts a request that was refused or failed for this reason.
    pub fn record_refusal(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// Counts a call that opens a watch on discovery.
    pub fn record_discovery_call(&mut self) {
        self.discovery_calls += 1;
    }

    /// Counts a call to discovery that failed, or a watch that ended.
    pub fn record_discovery_failure(&mut self) {
        self.discovery_failures += 1;
    }

    /// Counts a reload of the configuration at SIGHUP; `accepted`: the file was put in force.
    pub fn record_reload(&mut self, accepted: bool) {
        match accepted {
            true => self.config_reloads += 1,
            false => self.config_reload_errors += 1,
        }
    }

    /// Renders all metrics as statsd lines.
    pub fn render(&self, gauges: Gauges, memory: &MemoryMeter) -> String {
        let mut out = String::with_capacity(64 * (self.classes.len() * 3 + 6));
        for (class, counts) in &self.classes {
            let by_outcome =
                [("completed", counts.completed), ("rejected", counts.rejected), ("failed", counts.failed)];
            for (outcome, count) in by_outcome {
                let _ = writeln!(out, "edge_gw.downstream_requests.{class}.{outcome}:{count}|c");
            }
        }
        let _ = writeln!(out, "edge_gw.upstream_requests:{}|c", self.upstream_requests);
        let _ = writeln!(out, "edge_gw.pending:{}|g", gauges.pending);
        let _ = writeln!(out, "edge_gw.members:{}|g", gauges.members);
        let _ = writeln!(out, "edge_gw.members_unavailable:{}|g", gauges.members_unavailable);
        let _ = writeln!(out, "edge_gw.config_reloads:{}|c", self.config_reloads);
        let _ = writeln!(out, "edge_gw.config_reload_errors:{}|c", self.config_reload_errors);
        for reason in RefusalReason::ALL {
            let count = self.refused.get(&reason).copied().unwrap_or_default();
            let _ = writeln!(out, "edge_gw.refused_for.{}:{count}|c", reason.name());
        }
        let _ = writeln!(out, "edge_gw.discovery_calls:{}|c", self.discovery_calls);
        let _ = writeln!(out, "edge_gw.discovery_failures:{}|c", self.discovery_failures);
        let _ = writeln!(out, "edge_gw.lists_stale:{}|g", gauges.lists_stale);
        let _ = writeln!(out, "edge_gw.connections_ready:{}|g", gauges.connections_ready);
        let _ = writeln!(out, "edge_gw.longest_turn_us:{}|g", gauges.longest_turn.as_micros());
        for purpose in MemoryUse::ALL {
            let _ = writeln!(out, "edge_gw.memory_bytes.{}:{}|g", purpose.name(), memory.bytes(purpose));
        }
        out
    }
}

#[cfg(test)]
#[path = "stats_tests.rs"]
mod tests;
