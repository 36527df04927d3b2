//! What a call is expected to take: the line of served time over price, class means, and how slow a server
//! is.

use super::*;

pub(super) const FIRST_PRICE_US: f64 = 1_000.0; // prices and Cr before anything is known, from the design page
pub(super) const CALL_WEIGHT: f64 = 0.05; // weight of a served call in them
const MIN_SLOPE_SAMPLES: f64 = 5.0; // calls before a slope is believed
const MAX_SLOWNESS: f64 = 4.0; // bound of slowness: past it health should speak, not price
const REPORT_LASTS_US: f64 = 2e6; // a report fades over this: the queue that it saw has been served by then

/// The estimate of a served time.
impl TimeEstimate {
    pub(super) fn add_sample(&mut self, price: f64, time: f64) {
        self.samples += 1.0;
        let k = CALL_WEIGHT.max(1.0 / self.samples);
        for (m, v) in self.means.iter_mut().zip([price, time, price * price, price * time]) {
            *m += k * (v - *m);
        }
    }

    pub(super) fn served_time(&self, price: f64) -> f64 {
        let [p, t, square, product] = self.means;
        let ratio = if self.samples < 1.0 { 1.0 } else { t / p.max(1.0) };
        if self.samples < MIN_SLOPE_SAMPLES {
            return ratio * price;
        }
        let slope = (product - p * t) / (square - p * p).max(1.0);
        t + slope.clamp(0.3 * ratio, ratio) * (price - p)
    }
}

impl Balancer {
    /// Served times: the class mean, the line over price, and the slowness of server and kind.
    pub(super) fn learn_served_time(
        &mut self,
        server: ServerId,
        class: usize,
        price: f64,
        expected: f64,
        time: f64,
    ) {
        let mean = self.mean_times[class].get_or_insert(time);
        *mean += CALL_WEIGHT * (time - *mean);
        self.time_estimate.add_sample(price, time.min(MAX_SLOWNESS * expected.max(price)));
        let s = &mut self.servers[server.0 as usize];
        let pool = &mut self.pools[s.pool];
        let ratio = (time / expected).min(2.0 * MAX_SLOWNESS);
        s.time_ratio += 2.0 * CALL_WEIGHT * (ratio / pool.time_ratio.max(0.01) - s.time_ratio);
        pool.time_ratio += CALL_WEIGHT * (ratio - pool.time_ratio);
        // Heavy-tailed: logarithms. The root of the price: a part of the time grows with it, a part does not.
        pool.log_samples += 1.0;
        let aim = self.settings.classes[class].aim.0.max(1) as f64;
        pool.mean_delay += STRETCH_WEIGHT.max(1.0 / pool.log_samples) * (time / aim - pool.mean_delay);
        let log = time.max(1.0).ln() - 0.5 * price.max(1.0).ln();
        pool.mean_log_time += STRETCH_WEIGHT.max(1.0 / pool.log_samples) * (log - pool.mean_log_time);
        if pool.log_samples * STRETCH_WEIGHT >= 1.0 {
            pool.least_log_time =
                Some(pool.least_log_time.map_or(pool.mean_log_time, |b| b.min(pool.mean_log_time)));
        }
    }

    /// Unequal servers: each one's served times against its peers', its units where they tell a size, and
    /// what it reports to hold. Bounded, since a wrong price should cost balance, not a server.
    pub(super) fn slowness(&self, s: &Server) -> f64 {
        let pool = &self.pools[s.pool];
        let tell_size = self.settings.weight_by_units && s.entry.units > 0.0;
        let size =
            if tell_size { pool.time_ratio * pool.mean_units / s.entry.units } else { pool.time_ratio };
        let crowd = s.reported_load.map_or(1.0, |(h, at)| {
            let fresh = (1.0 - (self.now - at).0 as f64 / REPORT_LASTS_US).max(0.0);
            1.0 + fresh * ((1.0 + h) / (1.0 + self.stats.mean_reported_load) - 1.0)
        });
        (size * (s.time_ratio * crowd).sqrt()).clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS)
    }
}
