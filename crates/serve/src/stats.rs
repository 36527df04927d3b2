//! The figures that operators fetch from `/stats` (docs/stats.md): one registry, owned by the network side, counted
//! from 0 in each process, written as statsd lines. It decides nothing and does no I/O.

use crate::reasons::RefusalReason;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Classes counted by name; names past this are counted under `other`, so that no caller can grow the registry.
const MOST_CLASSES: usize = 256;

/// How a request that was taken ended, as `/stats` counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It had an answer that was passed on: `completed`.
    Completed,
    /// It was refused, with `Retry-After`: `rejected`.
    Rejected,
    /// It failed: `failed`.
    Failed,
}

#[derive(Clone, Copy, Default)]
struct Outcomes {
    completed: u64,
    rejected: u64,
    failed: u64,
}

/// What is known at the time of a fetch, rather than counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Requests taken whose answer is still owed.
    pub pending: usize,
    /// Upstreams in the lists.
    pub members: usize,
    /// Of those, the ones that are avoided now: draining, or marked down.
    pub members_unavailable: usize,
    /// Pools whose list of upstreams may lack changes that bind already.
    pub lists_stale: usize,
}

/// The counters of one process.
#[derive(Default)]
pub struct Stats {
    classes: BTreeMap<String, Outcomes>,
    upstream_requests: u64,
    config_reloads: u64,
    config_reload_errors: u64,
    refused: BTreeMap<RefusalReason, u64>,
    discovery_calls: u64,
    discovery_failures: u64,
}

/// A class's name as a statsd path part: what would end or split a line is left out.
fn part(name: &str) -> String {
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
    /// A class is known from the start, so that its counters read 0 before its first request.
    pub fn know_class(&mut self, class: &str) {
        if self.classes.len() < MOST_CLASSES {
            self.classes.entry(part(class)).or_default();
        }
    }

    /// A request of this class has had its final answer.
    pub fn ended(&mut self, class: &str, outcome: Outcome) {
        let name = part(class);
        let name = if self.classes.contains_key(&name) || self.classes.len() < MOST_CLASSES {
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

    /// The sums of all classes.
    pub fn figures(&self) -> crate::export::MemberCounters {
        let sum = |of: fn(&Outcomes) -> u64| self.classes.values().map(of).sum();
        crate::export::MemberCounters {
            completed: sum(|o| o.completed),
            rejected: sum(|o| o.rejected),
            failed: sum(|o| o.failed),
            attempts: self.upstream_requests,
        }
    }

    /// An attempt has been written whole to an upstream.
    pub fn attempt_written(&mut self) {
        self.upstream_requests += 1;
    }

    /// A request was refused or failed for this reason.
    pub fn refused(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// Discovery was asked for a watch.
    pub fn discovery_asked(&mut self) {
        self.discovery_calls += 1;
    }

    /// A call to discovery failed, or a watch ended.
    pub fn discovery_failed(&mut self) {
        self.discovery_failures += 1;
    }

    /// A file was read at SIGHUP: taken, or turned down.
    pub fn reloaded(&mut self, taken: bool) {
        match taken {
            true => self.config_reloads += 1,
            false => self.config_reload_errors += 1,
        }
    }

    /// The lines of a fetch.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut out = String::with_capacity(64 * (self.classes.len() * 3 + 6));
        for (class, c) in &self.classes {
            for (what, n) in [("completed", c.completed), ("rejected", c.rejected), ("failed", c.failed)] {
                let _ = writeln!(out, "edge_gw.downstream_requests.{class}.{what}:{n}|c");
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
        out
    }
}

#[cfg(test)]
#[path = "stats_tests.rs"]
mod tests;
