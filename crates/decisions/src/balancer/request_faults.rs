//! Classes and tenants whose requests fail on any server, so that the servers are not to blame.

use super::*;

/// The time constant, in microseconds, with which old values fade from the means of failures and congestion.
const SIGNAL_MEMORY_US: f64 = 3e6;
/// The largest weight of one call in these means.
const MAX_SIGNAL_WEIGHT: f64 = 0.5;
/// The excess of failures of a class or tenant over the others from which the failures count as its own
/// fault.
pub(super) const FAULTY_SHARE: f64 = 0.6;

impl Balancer {
    /// Returns how far the class or tenant of a request fails or is late beyond the others, on whichever
    /// servers. This share of a failure is not attributed to the server. From [`FAULTY_SHARE`] on, the
    /// request changes no mean and no limit, is not retried, and may use only half of the concurrency limit.
    /// This guards against bad input and slow back ends. Drawback: where most servers fail a class, they are
    /// not ejected for it.
    pub(super) fn fault_share(&self, request: &Request) -> f64 {
        self.failure_shares[request.class].excess.max(self.failure_shares[request.tenant_index].excess)
    }

    /// Adds an outcome to the failure shares of its class and tenant, whose indices are given.
    pub(super) fn record_fault(&mut self, indices: [usize; 2], expected: f64, outcome: &Outcome) {
        let late =
            (outcome.latency.0 as f64 - expected) / self.settings.classes[indices[0]].aim.0.max(1) as f64;
        let bad = match outcome.code {
            Code::Error => 1.0,
            Code::Ok | Code::Timeout | Code::Cancelled => late.clamp(0.0, 1.0),
            _ => return,
        };
        for index in indices {
            let share = &mut self.failure_shares[index];
            share.failing += Self::signal_weight(self.now - share.updated_at).min(MIN_SCORE_WEIGHT)
                * (bad - share.failing);
            share.updated_at = self.now;
        }
        let (classes, tenants) = self.failure_shares.split_at_mut(self.settings.classes.len());
        for peers in [classes, tenants] {
            let sum: f64 = peers.iter().map(|s| s.failing).sum();
            let others = peers.iter().filter(|s| s.updated_at > Micros(0)).count() as f64 - 1.0;
            let excess = |bad: f64| if others > 0.0 { bad - 2.0 * (sum - bad) / others } else { 0.0 };
            peers.iter_mut().for_each(|s| s.excess = excess(s.failing).max(0.0));
        }
    }

    /// Returns the weight of a new value in the means of failures and congestion, by the time since the last
    /// value.
    pub(super) fn signal_weight(since: Micros) -> f64 {
        (1.0 - (-(since.0 as f64) / SIGNAL_MEMORY_US).exp()).clamp(CALL_WEIGHT, MAX_SIGNAL_WEIGHT)
    }
}
