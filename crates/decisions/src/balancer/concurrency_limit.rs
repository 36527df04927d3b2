//! The concurrency limit: how many calls may be in flight, by kind of server.

use super::*;

/// Mean square of time over aim: exponential times, a third of the aim on average.
pub(super) const CONGESTED: f64 = 0.25;
const MAX_UNANSWERED_CONGESTION: f64 = 0.375; // most that an unanswered call adds to it: a few hung servers are no crowd
const MAX_CONGESTION_WEIGHT: f64 = 0.15; // most weight of one call in it: a single late one must not close the limit
const MAX_STRETCH: f64 = 2.2; // served over uncrowded time past which it closes: more wait than run
/// Weight of a call in the present time: its mean is sure to a fifth.
pub(super) const STRETCH_WEIGHT: f64 = 1.0 / 64.0;
const STRETCH_DRIFT_PER_PERIOD: f64 = 1e-3; // of the uncrowded time towards it each period: forgotten in minutes
pub(super) const FIRST_LIMIT_PER_SERVER: f64 = 6.0; // the concurrency limit at first, per server
pub(super) const LIMIT_CHANCE_ROOTS: f64 = 2.0; // and roots of an instance's share of it, as room for chance
const MIN_LIMIT_PER_SERVER: f64 = 4.0; // its floor per server: at fewer, those that wait on others would idle
const LIMIT_STEP_DOWN: f64 = 0.07; // its step down each period, times the crowding over its bound
const MAX_LIMIT_STEP_DOWN: f64 = 0.25;
const LIMIT_STEP_UP: f64 = 0.05; // its step up, by what is spare, once this part of it is out
const LIMIT_BINDS_FROM: f64 = 0.8;

impl Balancer {
    /// Crowding: time over aim, squared. What ended unanswered or was turned away is no silence.
    pub(super) fn record_congestion(&mut self, server: ServerId, class: usize, o: &Outcome) {
        let pool = &mut self.pools[self.servers[server.0 as usize].pool];
        // Lateness counts by what it costs: less where a late answer still earns something.
        let of = &self.settings.classes[class];
        let part = (o.latency.0 as f64 / of.aim.0.max(1) as f64).powi(2) * (1.0 - of.late_worth).max(0.0);
        let part = match o.code {
            Code::Ok => part,
            Code::Timeout | Code::Cancelled if part > pool.congestion => part.min(MAX_UNANSWERED_CONGESTION),
            Code::Full => 1.0,
            _ => return,
        };
        let k = Self::signal_weight(self.now - pool.congestion_at).min(MAX_CONGESTION_WEIGHT);
        pool.congestion_at = self.now;
        pool.congestion += k * (part.min(2.0) - pool.congestion);
    }

    /// The limit is that of the servers at hand and follows what they carry, cold and ejected ones less or
    /// nothing. Where it stayed, callers of half the servers sent each twice what it was found to bear.
    pub(super) fn scale_limit(&mut self) {
        let before: Vec<f64> = self.pools.iter_mut().map(|p| std::mem::take(&mut p.capacity)).collect();
        for s in self.ring.iter().map(|&(_, i)| &self.servers[i as usize]) {
            if s.health.first().is_none_or(|m| m.ejected_until.is_none()) {
                self.pools[s.pool].capacity += s.started_at.map_or(1.0, |t| self.warm_share(t));
            }
        }
        for (p, before) in self.pools.iter_mut().zip(before) {
            if p.capacity == 0.0 {
                p.capacity = before; // none is left to send to, and what comes back is no growth
            } else if before > 0.0 {
                p.limit *= p.capacity / before;
            }
        }
    }

    /// Overload: the concurrency limit shrinks while served times take too much of the aim, and grows when it
    /// binds though they don't. Guards against crowding, which shows in time over the aim, or, where that is
    /// far off, over the uncrowded time: servers may tire of a queue that calls have time for. A delay that
    /// costs nobody anything is no crowding, however fast the servers: a full machine delays by milliseconds.
    pub(super) fn adapt_limit(&mut self) {
        for p in &mut self.pools {
            let costs = p.mean_delay >= FREE_DELAY_AIM_SHARE;
            let stretch = p
                .least_log_time
                .filter(|_| costs)
                .map_or(0.0, |base| (p.mean_log_time - base) / MAX_STRETCH.ln());
            p.least_log_time =
                p.least_log_time.map(|base| base + STRETCH_DRIFT_PER_PERIOD * (p.mean_log_time - base));
            let crowd = p.congestion.max(CONGESTED * stretch);
            if crowd > CONGESTED {
                let least =
                    MIN_LIMIT_PER_SERVER * p.ready_servers / f64::from(self.settings.instances.max(1));
                let down = (LIMIT_STEP_DOWN * crowd / CONGESTED).min(MAX_LIMIT_STEP_DOWN);
                p.limit = (p.limit * (1.0 - down)).max(least);
            } else if p.calls_in_flight as f64 + self.limit_dither >= LIMIT_BINDS_FROM * p.limit {
                let spare = 1.0 - crowd / CONGESTED;
                p.limit = (p.limit * (1.0 + LIMIT_STEP_UP * spare)).min(1e6);
            }
        }
    }
}
