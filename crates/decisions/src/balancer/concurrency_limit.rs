//! The concurrency limit: how many calls may be in flight to the servers of one kind.

use super::*;

/// The mean square of served time over aim from which a pool counts as congested. Exponentially distributed
/// times with a mean of a third of the aim come close to it.
pub(super) const CONGESTED: f64 = 0.25;
/// The largest square that an unanswered call adds to the mean, so that a few hung servers do not count as
/// congestion.
const MAX_UNANSWERED_CONGESTION: f64 = 0.375;
/// The largest weight of one call in the mean, so that a single late call does not reduce the limit.
const MAX_CONGESTION_WEIGHT: f64 = 0.15;
/// The ratio of served time to the time without congestion above which the limit shrinks: calls then wait for
/// longer than they run.
const MAX_STRETCH: f64 = 2.2;
/// The weight of a call in the mean of the present served time, which is then accurate to a fifth.
pub(super) const STRETCH_WEIGHT: f64 = 1.0 / 64.0;
/// The share of the distance to the present served time by which the time without congestion moves towards it
/// each period. An old minimum is forgotten within minutes.
const STRETCH_DRIFT_PER_PERIOD: f64 = 1e-3;
/// The first concurrency limit, in calls per server of the pool over all instances.
pub(super) const FIRST_LIMIT_PER_SERVER: f64 = 6.0;
/// The room for random variation in the first limit, in square roots of the instance's share of it.
pub(super) const LIMIT_CHANCE_ROOTS: f64 = 2.0;
/// The least concurrency limit, in calls per server over all instances. With fewer, servers whose
/// calls wait for other servers would be idle.
const MIN_LIMIT_PER_SERVER: f64 = 4.0;
/// The share of the limit by which it shrinks each period, for each multiple of [`CONGESTED`].
const LIMIT_STEP_DOWN: f64 = 0.07;
/// The largest share of the limit by which it shrinks in one period.
const MAX_LIMIT_STEP_DOWN: f64 = 0.25;
/// The share of the limit by which it grows each period, if there is no congestion at all; less, the closer
/// that is.
const LIMIT_STEP_UP: f64 = 0.05;
/// The share of the limit that has to be in flight for the limit to grow.
const LIMIT_BINDS_FROM: f64 = 0.8;

impl Balancer {
    /// Adds the square of an attempt's latency over its aim to the congestion of the pool. Attempts that
    /// ended without an answer, or were declined, are signs of congestion as well.
    pub(super) fn record_congestion(&mut self, server_id: ServerId, class: usize, outcome: &Outcome) {
        let pool = &mut self.pools[self.servers[server_id.0 as usize].pool];
        // Lateness counts by what it costs: less where a late answer still earns something.
        let class = &self.settings.classes[class];
        let square = (outcome.latency.0 as f64 / class.aim.0.max(1) as f64).powi(2)
            * (1.0 - class.late_worth).max(0.0);
        let square = match outcome.code {
            Code::Ok => square,
            Code::Timeout | Code::Cancelled if square > pool.congestion => {
                square.min(MAX_UNANSWERED_CONGESTION)
            }
            Code::Full => 1.0,
            _ => return,
        };
        let weight = Self::signal_weight(self.now - pool.congestion_at).min(MAX_CONGESTION_WEIGHT);
        pool.congestion_at = self.now;
        pool.congestion += weight * (square.min(2.0) - pool.congestion);
    }

    /// Scales the limits to the capacity of the servers that may be called. Cold servers count for less and
    /// ejected ones not at all. Without this, callers that lost half of the servers would send each of the
    /// others twice what it was found to bear.
    pub(super) fn scale_limit(&mut self) {
        let before: Vec<f64> = self.pools.iter_mut().map(|pool| std::mem::take(&mut pool.capacity)).collect();
        for server in self.ring.iter().map(|&(_, i)| &self.servers[i as usize]) {
            if server.health.first().is_none_or(|record| record.ejected_until.is_none()) {
                self.pools[server.pool].capacity += server.started_at.map_or(1.0, |t| self.warm_share(t));
            }
        }
        for (pool, before) in self.pools.iter_mut().zip(before) {
            if pool.capacity == 0.0 {
                // No server is left to send to. The old value stays, so that servers that come back do not
                // count as growth.
                pool.capacity = before;
            } else if before > 0.0 {
                pool.limit *= pool.capacity / before;
            }
        }
    }

    /// Adapts the concurrency limits to overload. A limit shrinks while served times use up too much of the
    /// aim, and grows when it is nearly reached though they do not. Congestion shows in served time over aim
    /// or, where the aim is far longer, over the served time without congestion: a queue may slow servers
    /// down even if calls have the time to wait in it. A delay that costs the callers nothing is not
    /// congestion, however fast the servers are: any fully loaded machine delays calls by milliseconds.
    pub(super) fn adapt_limit(&mut self) {
        for pool in &mut self.pools {
            let delay_costs = pool.mean_delay >= FREE_DELAY_AIM_SHARE;
            let stretch = pool
                .least_log_time
                .filter(|_| delay_costs)
                .map_or(0.0, |least| (pool.mean_log_time - least) / MAX_STRETCH.ln());
            pool.least_log_time = pool
                .least_log_time
                .map(|least| least + STRETCH_DRIFT_PER_PERIOD * (pool.mean_log_time - least));
            let congestion = pool.congestion.max(CONGESTED * stretch);
            if congestion > CONGESTED {
                let least =
                    MIN_LIMIT_PER_SERVER * pool.ready_servers / f64::from(self.settings.instances.max(1));
                let down = (LIMIT_STEP_DOWN * congestion / CONGESTED).min(MAX_LIMIT_STEP_DOWN);
                pool.limit = (pool.limit * (1.0 - down)).max(least);
            } else if pool.calls_in_flight as f64 + self.limit_dither >= LIMIT_BINDS_FROM * pool.limit {
                let spare = 1.0 - congestion / CONGESTED;
                pool.limit = (pool.limit * (1.0 + LIMIT_STEP_UP * spare)).min(1e6);
            }
        }
    }
}
