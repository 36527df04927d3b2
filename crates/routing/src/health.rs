//! How many of a pool's nodes are well, as far as failover between pools is concerned.
//!
//! The decision module leaves out single outliers, and never most of them: where all are in trouble it has nobody to
//! prefer. Failover asks the other question, whether the pool as a whole can serve, so it keeps plain marks of its
//! own: a node is down once so many attempts in a row have failed there, until one succeeds or the mark is old. Old
//! marks go because a pool that is left brings no news of its nodes.

use garnettally_model::{Code, ListedState, Micros, ServerId};
use rustc_hash::FxHashMap;

/// Failures in a row that mark a node as down: one may be the request's fault.
const FAILURES: u32 = 3;
/// For how long a mark is believed without news; shorter than the hold of any sensible rule.
const MEMORY: Micros = Micros(5_000_000);

#[derive(Clone, Copy, Default)]
struct Mark {
    failures: u32,
    at: Micros,
}

/// The nodes of one pool.
#[derive(Default)]
pub struct NodeHealth {
    listed: FxHashMap<ServerId, (bool, Mark)>,
    ready: usize,
}

impl NodeHealth {
    /// A whole list has come: those that it leaves out go, and are named.
    pub fn retain_listed(&mut self, keep: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        let gone: Vec<ServerId> = self.listed.keys().copied().filter(|id| !keep(*id)).collect();
        for &id in &gone {
            self.set_listed(id, ListedState::Removed);
        }
        gone
    }

    /// Takes in one entry of a list.
    pub fn set_listed(&mut self, id: ServerId, state: ListedState) {
        let ready = state == ListedState::Ready;
        let before = match state {
            ListedState::Removed => self.listed.remove(&id).map(|(was, _)| was),
            _ => {
                let mark = self.listed.get(&id).map(|(_, mark)| *mark).unwrap_or_default();
                self.listed.insert(id, (ready, mark)).map(|(was, _)| was)
            }
        };
        self.ready = self.ready + usize::from(ready) - usize::from(before == Some(true));
    }

    /// Takes in how an attempt ended.
    pub fn attempt_ended(&mut self, now: Micros, id: ServerId, code: Code) {
        let Some((_, mark)) = self.listed.get_mut(&id) else { return };
        match code {
            Code::Ok | Code::Rejected => *mark = Mark::default(),
            Code::Error | Code::Timeout | Code::ConnectFailed | Code::Reset => {
                let before = if now - mark.at > MEMORY { 0 } else { mark.failures };
                *mark = Mark { failures: before.saturating_add(1), at: now };
            }
            // Full: it is there, and says so. The others tell nothing of it.
            Code::Full | Code::Cancelled | Code::Moot => {}
        }
    }

    /// Nodes that are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.ready
    }

    /// Of the nodes listed, the part that is ready and not marked as down; 0 without any.
    pub fn healthy_share(&self, now: Micros) -> f64 {
        self.well(now) as f64 / self.listed.len().max(1) as f64
    }

    /// The nodes listed, and those of them that are draining or marked as down.
    pub fn node_counts(&self, now: Micros) -> (usize, usize) {
        (self.listed.len(), self.listed.len() - self.well(now))
    }

    fn well(&self, now: Micros) -> usize {
        let well =
            |(ready, mark): &&(bool, Mark)| *ready && (mark.failures < FAILURES || now - mark.at > MEMORY);
        self.listed.values().filter(well).count()
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
