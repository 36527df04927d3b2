//! The end of a period: boards, weights, running means and all state that depends on time are updated.

use super::*;

/// load_l of the paper, as a share of the time that all servers of the subset have in a period.
const LOAD_L_SHARE: f64 = 0.25;
/// load_m of the paper, as a share of the same time.
const LOAD_M_SHARE: f64 = 0.5;
/// The share of its time for which a server is booked on average. It is below 1 so that boards become empty
/// again.
const BOOKED_SHARE: f64 = 0.8;
/// The weight of a period in running means, which so cover about 6 s.
pub(super) const PERIOD_WEIGHT: f64 = 1.0 / 32.0;
/// The seconds of its quota that a tenant can save up, so that random variation does not count as excess.
const QUOTA_SECONDS: f64 = 5.0;

impl Balancer {
    /// Ends a period, at every P: books each Q_k on its board, renews L_k and W_k, and updates all state that
    /// depends on time. Only servers with bookings or calls in flight have changed; the others have L_k = 0.
    pub(super) fn end_period(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let ended_periods = ((now - self.next_period).0 / PERIOD.0 + 1) as f64;
        self.next_period += Micros(ended_periods as i64 * PERIOD.0);
        self.limit_dither = self.rng.f64();
        let server_count = self.subset.len().max(1) as f64;
        self.update_statistics(server_count, ended_periods);
        // L_k covers one, two or all of the next periods, as Cp is below load_l, below load_m, or above.
        let horizon = match self.stats.cp / (server_count * PERIOD.0 as f64) {
            part if part < LOAD_L_SHARE => Some(1),
            part if part < LOAD_M_SHARE => Some(2),
            _ => None,
        };
        let mut loads = Vec::with_capacity(self.busy_servers.len() + 1);
        for index in std::mem::take(&mut self.busy_servers) {
            let server = &mut self.servers[index as usize];
            server.board.book_queue(now);
            server.sent_since_update = 0.0;
            // Unfinished work stays booked: a call in flight whose booked time has passed counts in full
            // again.
            let late = server.calls.iter().filter(|c| c.booked_until <= now.0 as f64);
            let carried = self.stats.gain * late.map(|c| c.unscaled_price).sum::<f64>();
            server.is_busy = server.board.total > 1.0 || !server.calls.is_empty();
            server.weight = 0.0;
            if server.is_busy {
                self.busy_servers.push(index);
                loads.push((server.board.booked_ahead(horizon) + carried) / self.stats.cr);
            }
        }
        if self.busy_servers.len() < self.subset.len() {
            loads.push(0.0);
        }
        self.stats.dec = loads_to_weights(&mut loads, self.stats.nr / server_count);
        for (&index, weight) in self.busy_servers.iter().zip(&loads) {
            self.servers[index as usize].weight = *weight;
        }
        self.overdue_check_due = true;
        if now < self.cold_until {
            self.fill_cold_buckets(ended_periods);
        }
        self.eject(actions);
        self.scale_limit();
        self.adapt_limit();
        self.key_queues.retain(|_, q| !q.requests.is_empty() || q.paused_until > now);
        for (tokens, quota) in self.quota_tokens.iter_mut().zip(&self.settings.tenant_quota) {
            let rate = quota / f64::from(self.settings.instances.max(1));
            let earned = rate * ended_periods * PERIOD.0 as f64 / 1e6;
            *tokens = (*tokens + earned).min(MIN_QUOTA_REQUESTS + QUOTA_SECONDS * rate);
        }
        let large_enough = self.subset.len() + self.subset.len() / 4;
        self.subset_is_stale |= self.subset_size() > large_enough && self.subset.len() < self.ring.len();
    }

    /// Updates Nr, Cp and Cr. One of many callers books too little of each server's time for its boards to
    /// show differences. So prices are scaled until servers are booked for [`BOOKED_SHARE`] of their time: a
    /// board then stands for this caller's share of the server.
    pub(super) fn update_statistics(&mut self, server_count: f64, ended_periods: f64) {
        let stats = &mut self.stats;
        stats.periods += ended_periods;
        let update_mean = |mean: &mut f64, new: &mut f64, weight: f64| {
            *mean =
                (*mean + weight * (std::mem::take(new) - *mean)) * (1.0 - weight).powf(ended_periods - 1.0);
        };
        let weight = PERIOD_WEIGHT.max(1.0 / stats.periods);
        update_mean(&mut stats.nr, &mut stats.sent_count, weight);
        update_mean(&mut stats.raw, &mut stats.sent_raw, weight);
        update_mean(&mut stats.cp, &mut stats.sent_booked, (4.0 * PERIOD_WEIGHT).max(1.0 / stats.periods));
        if self.stats.raw > 0.0 && self.stats.nr > 0.0 {
            self.stats.gain = BOOKED_SHARE * server_count * PERIOD.0 as f64 / self.stats.raw;
            self.stats.cr = self.stats.gain * self.stats.raw / self.stats.nr;
        }
    }
}
