//! The period: boards, weights and running means are renewed, and everything that ages is looked after.

use super::*;

const LOAD_LOW: f64 = 0.25; // load_l and load_m, as shares of the time that all servers have in a period
const LOAD_MID: f64 = 0.5;
const FILL: f64 = 0.8; // part of its time for which a server is booked on average; under 1: boards run dry
pub(super) const PERIOD_MEAN: f64 = 1.0 / 32.0; // weight of a period in running means: about 6 s
const QUOTA_SECONDS: f64 = 5.0; // quota saved up by a tenant: chance must not look like excess

impl Balancer {
    /// Every P: drain each Q_k onto its board, renew L_k and W_k, and look after everything that ages. Only
    /// the servers booked or in flight have changed; the others have L_k = 0.
    pub(super) fn period(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let ended = ((now - self.next_period).0 / PERIOD.0 + 1) as f64;
        self.next_period += Micros(ended as i64 * PERIOD.0);
        self.chance = self.rng.f64();
        let n = self.members.len().max(1) as f64;
        self.statistics(n, ended);
        // L_k, from one, two or all next periods as Cp passes load_l, load_m.
        let horizon = match self.st.cp / (n * PERIOD.0 as f64) {
            part if part < LOAD_LOW => Some(1),
            part if part < LOAD_MID => Some(2),
            _ => None,
        };
        let mut loads = Vec::with_capacity(self.busy.len() + 1);
        for i in std::mem::take(&mut self.busy) {
            let s = &mut self.servers[i as usize];
            s.board.update(now);
            s.own = 0.0;
            // Unfinished work stays booked: what is out past its booked time counts in full again.
            let late = s.flights.iter().filter(|f| f.booked_until <= now.0 as f64);
            let carried = self.st.gain * late.map(|f| f.price).sum::<f64>();
            s.busy = s.board.total > 1.0 || !s.flights.is_empty();
            s.weight = 0.0;
            if s.busy {
                self.busy.push(i);
                loads.push((s.board.ahead(horizon) + carried) / self.st.cr);
            }
        }
        if self.busy.len() < self.members.len() {
            loads.push(0.0);
        }
        self.st.dec = weights(&mut loads, self.st.nr / n);
        for (&i, w) in self.busy.iter().zip(&loads) {
            self.servers[i as usize].weight = *w;
        }
        self.looks_for_overdue = true;
        if now < self.cold_until {
            self.slow_start(ended);
        }
        self.eject(actions);
        self.scale_limit();
        self.adapt_limit();
        self.turns.retain(|_, t| !t.queue.is_empty() || t.rest > now);
        for (tokens, quota) in self.quota.iter_mut().zip(&self.set.tenant_quota) {
            let rate = quota / f64::from(self.set.instances.max(1));
            let earned = rate * ended * PERIOD.0 as f64 / 1e6;
            *tokens = (*tokens + earned).min(QUOTA_LEAST + QUOTA_SECONDS * rate);
        }
        let enough = self.members.len() + self.members.len() / 4;
        self.stale |= self.subset_size() > enough && self.members.len() < self.ring.len();
    }

    /// Nr, Cp and Cr. One of many callers books too little of each server's time for boards to tell. So
    /// prices are scaled until servers are booked for FILL of it: a board is this caller's share.
    pub(super) fn statistics(&mut self, n: f64, ended: f64) {
        let st = &mut self.st;
        st.periods += ended;
        let mean = |old: &mut f64, new: &mut f64, k: f64| {
            *old = (*old + k * (std::mem::take(new) - *old)) * (1.0 - k).powf(ended - 1.0);
        };
        let k = PERIOD_MEAN.max(1.0 / st.periods);
        mean(&mut st.nr, &mut st.sent_count, k);
        mean(&mut st.raw, &mut st.sent_raw, k);
        mean(&mut st.cp, &mut st.sent_booked, (4.0 * PERIOD_MEAN).max(1.0 / st.periods));
        if self.st.raw > 0.0 && self.st.nr > 0.0 {
            self.st.gain = FILL * n * PERIOD.0 as f64 / self.st.raw;
            self.st.cr = self.st.gain * self.st.raw / self.st.nr;
        }
    }
}
