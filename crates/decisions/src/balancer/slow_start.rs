//! Slow start: a cold server gets no more than the share of its capacity that it is certain to have.

use super::*;

/// The share of the work of a warm peer that a server gets at the end of its ramp. If the peers are loaded to
/// 1.4 times their capacity and the server is half as fast, that is twice what the server can do.
const COLD_RATE_SHARE: f64 = 0.7;

/// Returns when a server started, by this instance's clock, which never steps. The start may be dated by the
/// wall clock before it was stepped or after. The later of both times is the safe one, unless it is in the
/// future.
pub(super) fn start_by_own_clock(dated: Micros, wall_clock_ahead: Micros, now: Micros) -> Micros {
    let possible = [dated, dated - wall_clock_ahead].into_iter().filter(|&start| start <= now);
    possible.max().unwrap_or(now)
}

impl Balancer {
    /// Fills the buckets of cold servers for the periods that have ended. A cold server gets most of the work
    /// that this instance sends to a warm peer ([`COLD_RATE_SHARE`]), times the share of its capacity that it
    /// has reached. Each bucket starts with a random debt, so that all instances together keep to the budget.
    /// The number of cores of a server does not limit the rate, since it is not known how much of a core a
    /// price stands for: with such a limit, new servers were idle while the old ones were overloaded.
    pub(super) fn fill_cold_buckets(&mut self, ended_periods: f64) {
        let rate = COLD_RATE_SHARE * self.stats.raw / self.subset.len().max(1) as f64;
        let mean_price = self.stats.cr / self.stats.gain;
        let window = self.settings.cold_overload_window.0 as f64 / PERIOD.0 as f64;
        for position in 0..self.subset.len() {
            let index = self.subset[position] as usize;
            let Some(started_at) = self.servers[index].started_at else { continue };
            let fill = self.warm_share(started_at) * rate;
            let server = &mut self.servers[index];
            server.cold_bucket =
                (server.cold_bucket + fill * ended_periods).min((fill * window).max(mean_price));
        }
    }

    /// Returns the share of its capacity, 0 to 1, that a server which started at this time is certain to
    /// have.
    pub(super) fn warm_share(&self, started_at: Micros) -> f64 {
        let age = (self.now - started_at).0 as f64 / self.settings.ramp_time.0.max(1) as f64;
        self.settings.cold_share + (1.0 - self.settings.cold_share) * age.clamp(0.0, 1.0)
    }
}
