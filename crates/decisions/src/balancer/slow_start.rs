//! Slow start: a cold server gets no more than the part of its capacity that it is sure to have.

use super::*;

const COLD_RATE_SHARE: f64 = 0.7; // of a peer: peers 1.4 times full, a server half as fast: twice what it can

/// When a server started, by a clock that never steps. Its start may be dated by the time before the wall
/// clock was
/// stepped or by the one after; the later of both is the safe one, if it is not yet to come.
pub(super) fn start_by_own_clock(dated: Micros, wall_ahead: Micros, now: Micros) -> Micros {
    let possible = [dated, dated - wall_ahead].into_iter().filter(|&start| start <= now);
    possible.max().unwrap_or(now)
}

impl Balancer {
    /// Slow start. A cold server gets the ramp's fraction of most of what a warm peer gets here, by a bucket
    /// that starts in debt by chance: all together keep the budget. How much of a core a price is worth is
    /// not known, so no core bounds it: where that did, new servers idled while the old ones drowned.
    pub(super) fn fill_cold_buckets(&mut self, ended: f64) {
        let rate = COLD_RATE_SHARE * self.stats.raw / self.subset.len().max(1) as f64;
        let unit = self.stats.cr / self.stats.gain;
        let window = self.settings.cold_overload_window.0 as f64 / PERIOD.0 as f64;
        for at in 0..self.subset.len() {
            let i = self.subset[at] as usize;
            let Some(since) = self.servers[i].started_at else { continue };
            let fill = self.warm_share(since) * rate;
            let s = &mut self.servers[i];
            s.cold_bucket = (s.cold_bucket + fill * ended).min((fill * window).max(unit));
        }
    }

    /// The part of its capacity that a server is sure to have that started at this time.
    pub(super) fn warm_share(&self, since: Micros) -> f64 {
        let age = (self.now - since).0 as f64 / self.settings.ramp_time.0.max(1) as f64;
        self.settings.cold_share + (1.0 - self.settings.cold_share) * age.clamp(0.0, 1.0)
    }
}
