//! The period: boards, weights and running means are renewed, and everything that ages is looked after.

use super::*;

const LOAD_L_SHARE: f64 = 0.25; // load_l and load_m, as shares of the time that all servers have in a period
const LOAD_M_SHARE: f64 = 0.5;
const BOOKED_SHARE: f64 = 0.8; // part of its time for which a server is booked on average; under 1: boards run dry
pub(super) const PERIOD_WEIGHT: f64 = 1.0 / 32.0; // weight of a period in running means: about 6 s
const QUOTA_SECONDS: f64 = 5.0; // quota saved up by a tenant: chance must not look like excess

impl Balancer {
    /// Every P: drain each Q_k onto its board, renew L_k and W_k, and look after everything that ages. Only
    /// the servers booked or in flight have changed; the others have L_k = 0.
    pub(super) fn end_period(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let ended = ((now - self.next_period).0 / PERIOD.0 + 1) as f64;
        self.next_period += Micros(ended as i64 * PERIOD.0);
        self.limit_dither = self.rng.f64();
        let n = self.subset.len().max(1) as f64;
        self.update_statistics(n, ended);
        // L_k, from one, two or all next periods as Cp passes load_l, load_m.
        let horizon = match self.stats.cp / (n * PERIOD.0 as f64) {
            part if part < LOAD_L_SHARE => Some(1),
            part if part < LOAD_M_SHARE => Some(2),
            _ => None,
        };
        let mut loads = Vec::with_capacity(self.busy_servers.len() + 1);
        for i in std::mem::take(&mut self.busy_servers) {
            let s = &mut self.servers[i as usize];
            s.board.book_queue(now);
            s.sent_since_update = 0.0;
            // Unfinished work stays booked: what is out past its booked time counts in full again.
            let late = s.calls.iter().filter(|f| f.booked_until <= now.0 as f64);
            let carried = self.stats.gain * late.map(|f| f.unscaled_price).sum::<f64>();
            s.is_busy = s.board.total > 1.0 || !s.calls.is_empty();
            s.weight = 0.0;
            if s.is_busy {
                self.busy_servers.push(i);
                loads.push((s.board.booked_ahead(horizon) + carried) / self.stats.cr);
            }
        }
        if self.busy_servers.len() < self.subset.len() {
            loads.push(0.0);
        }
        self.stats.dec = loads_to_weights(&mut loads, self.stats.nr / n);
        for (&i, w) in self.busy_servers.iter().zip(&loads) {
            self.servers[i as usize].weight = *w;
        }
        self.overdue_check_due = true;
        if now < self.cold_until {
            self.fill_cold_buckets(ended);
        }
        self.eject(actions);
        self.scale_limit();
        self.adapt_limit();
        self.key_queues.retain(|_, t| !t.requests.is_empty() || t.paused_until > now);
        for (tokens, quota) in self.quota_tokens.iter_mut().zip(&self.settings.tenant_quota) {
            let rate = quota / f64::from(self.settings.instances.max(1));
            let earned = rate * ended * PERIOD.0 as f64 / 1e6;
            *tokens = (*tokens + earned).min(MIN_QUOTA_REQUESTS + QUOTA_SECONDS * rate);
        }
        let enough = self.subset.len() + self.subset.len() / 4;
        self.subset_is_stale |= self.subset_size() > enough && self.subset.len() < self.ring.len();
    }

    /// Nr, Cp and Cr. One of many callers books too little of each server's time for boards to tell. So
    /// prices are scaled until servers are booked for FILL of it: a board is this caller's share.
    pub(super) fn update_statistics(&mut self, n: f64, ended: f64) {
        let st = &mut self.stats;
        st.periods += ended;
        let mean = |old: &mut f64, new: &mut f64, k: f64| {
            *old = (*old + k * (std::mem::take(new) - *old)) * (1.0 - k).powf(ended - 1.0);
        };
        let k = PERIOD_WEIGHT.max(1.0 / st.periods);
        mean(&mut st.nr, &mut st.sent_count, k);
        mean(&mut st.raw, &mut st.sent_raw, k);
        mean(&mut st.cp, &mut st.sent_booked, (4.0 * PERIOD_WEIGHT).max(1.0 / st.periods));
        if self.stats.raw > 0.0 && self.stats.nr > 0.0 {
            self.stats.gain = BOOKED_SHARE * n * PERIOD.0 as f64 / self.stats.raw;
            self.stats.cr = self.stats.gain * self.stats.raw / self.stats.nr;
        }
    }
}
