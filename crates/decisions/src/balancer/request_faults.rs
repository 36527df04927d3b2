//! Classes and tenants whose requests fail wherever they go: not their servers' fault.

use super::*;

const SIGNAL_MEMORY_US: f64 = 3e6; // memory, in time
const MAX_SIGNAL_WEIGHT: f64 = 0.5; // most weight of one call
/// Share of a class or tenant failing beyond its peers past which it fails by itself.
pub(super) const FAULTY_SHARE: f64 = 0.6;

impl Balancer {
    /// How far a request's class or tenant fails or drags beyond its peers, wherever it goes: so much of it
    /// is not its server's. Past STRUCK it moves no mean, no limit, is not tried again, gets half the room.
    /// Guards against bad input and slow back ends. Harm: a class that most servers fail is borne.
    pub(super) fn fault_share(&self, r: &Request) -> f64 {
        self.failure_shares[r.class].excess.max(self.failure_shares[r.tenant_index].excess)
    }

    pub(super) fn record_fault(&mut self, sides: [usize; 2], expected: f64, o: &Outcome) {
        let late = (o.latency.0 as f64 - expected) / self.settings.classes[sides[0]].aim.0.max(1) as f64;
        let bad = match o.code {
            Code::Error => 1.0,
            Code::Ok | Code::Timeout | Code::Cancelled => late.clamp(0.0, 1.0),
            _ => return,
        };
        for side in sides {
            let side = &mut self.failure_shares[side];
            side.failing +=
                Self::signal_weight(self.now - side.updated_at).min(MIN_SCORE_WEIGHT) * (bad - side.failing);
            side.updated_at = self.now;
        }
        let (classes, tenants) = self.failure_shares.split_at_mut(self.settings.classes.len());
        for peers in [classes, tenants] {
            let sum: f64 = peers.iter().map(|s| s.failing).sum();
            let others = peers.iter().filter(|s| s.updated_at > Micros(0)).count() as f64 - 1.0;
            let excess = |bad: f64| if others > 0.0 { bad - 2.0 * (sum - bad) / others } else { 0.0 };
            peers.iter_mut().for_each(|s| s.excess = excess(s.failing).max(0.0));
        }
    }

    /// Weight of a new value in the means that tell of trouble: by the time since the last one.
    pub(super) fn signal_weight(since: Micros) -> f64 {
        (1.0 - (-(since.0 as f64) / SIGNAL_MEMORY_US).exp()).clamp(CALL_WEIGHT, MAX_SIGNAL_WEIGHT)
    }
}
