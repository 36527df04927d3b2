//! The number of healthy nodes of a pool, as used for failover between pools.
//!
//! The decision module ejects single outliers but never most of the servers: if all of them have problems
//! there is no server to prefer. Failover asks a different question, whether the pool as a whole can serve,
//! so this module keeps simple records of its own: a node counts as down after `DOWN_AFTER_FAILURES`
//! attempts in a row have failed, until one succeeds or the record expires. Records expire because a pool
//! without traffic gets no new results from its nodes.

use garnettally_model::{Code, ListedState, Micros, ServerId};
use rustc_hash::FxHashMap;

/// Number of failures in a row after which a node counts as down: a single one may be the request's fault.
const DOWN_AFTER_FAILURES: u32 = 3;
/// For how long a failure counts without a new one; shorter than any sensible hold-down time.
const FAILURE_MEMORY: Micros = Micros(5_000_000);

#[derive(Clone, Copy, Default)]
struct FailureRecord {
    failures: u32,
    last_failure_at: Micros,
}

/// The health of the nodes of one pool.
#[derive(Default)]
pub struct NodeHealth {
    listed: FxHashMap<ServerId, (bool, FailureRecord)>,
    ready_count: usize,
}

impl NodeHealth {
    /// Removes the nodes that a new whole list leaves out, and returns their ids. `keep` tells whether a node
    /// is on the list.
    pub fn retain_listed(&mut self, keep: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        let removed: Vec<ServerId> = self.listed.keys().copied().filter(|id| !keep(*id)).collect();
        for &id in &removed {
            self.set_listed(id, ListedState::Removed);
        }
        removed
    }

    /// Applies one entry of a list.
    pub fn set_listed(&mut self, id: ServerId, state: ListedState) {
        let is_ready = state == ListedState::Ready;
        let was_ready = match state {
            ListedState::Removed => self.listed.remove(&id).map(|(was_ready, _)| was_ready),
            _ => {
                let record = self.listed.get(&id).map(|(_, record)| *record).unwrap_or_default();
                self.listed.insert(id, (is_ready, record)).map(|(was_ready, _)| was_ready)
            }
        };
        self.ready_count = self.ready_count + usize::from(is_ready) - usize::from(was_ready == Some(true));
    }

    /// Records the result of an attempt.
    pub fn attempt_ended(&mut self, now: Micros, id: ServerId, code: Code) {
        let Some((_, record)) = self.listed.get_mut(&id) else { return };
        match code {
            Code::Ok | Code::Rejected => *record = FailureRecord::default(),
            Code::Error | Code::Timeout | Code::ConnectFailed | Code::Reset => {
                let failures =
                    if now - record.last_failure_at > FAILURE_MEMORY { 0 } else { record.failures };
                *record = FailureRecord { failures: failures.saturating_add(1), last_failure_at: now };
            }
            // A node that answers that it is full is up but has not served. The other codes say nothing about
            // the node.
            Code::Full | Code::Cancelled | Code::Moot => {}
        }
    }

    /// The number of nodes that are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// The share of the listed nodes that are ready and not down, from 0 to 1; 0 without any nodes.
    pub fn healthy_share(&self, now: Micros) -> f64 {
        self.healthy_count(now) as f64 / self.listed.len().max(1) as f64
    }

    /// The number of listed nodes, and how many of them are draining or down.
    pub fn node_counts(&self, now: Micros) -> (usize, usize) {
        (self.listed.len(), self.listed.len() - self.healthy_count(now))
    }

    fn healthy_count(&self, now: Micros) -> usize {
        let is_healthy = |(is_ready, record): &&(bool, FailureRecord)| {
            *is_ready
                && (record.failures < DOWN_AFTER_FAILURES || now - record.last_failure_at > FAILURE_MEMORY)
        };
        self.listed.values().filter(is_healthy).count()
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
