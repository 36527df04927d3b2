//! The time that a call is expected to take: the estimate of served time by price, the mean of each class,
//! and the slowness of each server.

use super::*;

/// The price, in microseconds, before any call of the class has been served, and the first Cr, from the
/// design page.
pub(super) const FIRST_PRICE_US: f64 = 1_000.0;
/// The weight of one call in the running means of served times.
pub(super) const CALL_WEIGHT: f64 = 0.05;
/// The number of calls from which the slope of the estimate is used.
const MIN_SLOPE_SAMPLES: f64 = 5.0;
/// The largest slowness of a server, and the inverse of the least. Larger differences are left to outlier
/// ejection.
const MAX_SLOWNESS: f64 = 4.0;
/// The time, in microseconds, over which the effect of a load report fades to nothing: the requests that it
/// counted have been served by then.
const REPORT_LASTS_US: f64 = 2e6;

impl TimeEstimate {
    /// Adds the price and served time of a call to the means.
    pub(super) fn add_sample(&mut self, price: f64, time: f64) {
        self.samples += 1.0;
        let weight = CALL_WEIGHT.max(1.0 / self.samples);
        for (mean, value) in self.means.iter_mut().zip([price, time, price * price, price * time]) {
            *mean += weight * (value - *mean);
        }
    }

    /// Returns the time that a call of this price is expected to take.
    pub(super) fn served_time(&self, price: f64) -> f64 {
        let [mean_price, mean_time, mean_square, mean_product] = self.means;
        let ratio = if self.samples < 1.0 { 1.0 } else { mean_time / mean_price.max(1.0) };
        if self.samples < MIN_SLOPE_SAMPLES {
            return ratio * price;
        }
        let slope =
            (mean_product - mean_price * mean_time) / (mean_square - mean_price * mean_price).max(1.0);
        mean_time + slope.clamp(0.3 * ratio, ratio) * (price - mean_price)
    }
}

impl Balancer {
    /// Adds the served time of a call to the mean of its class, to the estimate by price, and to the slowness
    /// of its server and pool.
    pub(super) fn learn_served_time(
        &mut self,
        server_id: ServerId,
        class: usize,
        price: f64,
        expected: f64,
        time: f64,
    ) {
        let mean = self.mean_times[class].get_or_insert(time);
        *mean += CALL_WEIGHT * (time - *mean);
        self.time_estimate.add_sample(price, time.min(MAX_SLOWNESS * expected.max(price)));
        let server = &mut self.servers[server_id.0 as usize];
        let pool = &mut self.pools[server.pool];
        let ratio = (time / expected).min(2.0 * MAX_SLOWNESS);
        server.time_ratio += 2.0 * CALL_WEIGHT * (ratio / pool.time_ratio.max(0.01) - server.time_ratio);
        pool.time_ratio += CALL_WEIGHT * (ratio - pool.time_ratio);
        // Served times are heavy-tailed, so this is a mean of logarithms. It is taken relative to the square
        // root of the price, since only a part of the time grows with the price.
        pool.log_samples += 1.0;
        let aim = self.settings.classes[class].aim.0.max(1) as f64;
        pool.mean_delay += STRETCH_WEIGHT.max(1.0 / pool.log_samples) * (time / aim - pool.mean_delay);
        let log_time = time.max(1.0).ln() - 0.5 * price.max(1.0).ln();
        pool.mean_log_time += STRETCH_WEIGHT.max(1.0 / pool.log_samples) * (log_time - pool.mean_log_time);
        if pool.log_samples * STRETCH_WEIGHT >= 1.0 {
            pool.least_log_time =
                Some(pool.least_log_time.map_or(pool.mean_log_time, |least| least.min(pool.mean_log_time)));
        }
    }

    /// Returns the factor by which calls to a server take longer than expected of all servers. It is made of
    /// the server's served times compared with those of its pool, of its units where they state its size, and
    /// of the load that it reports. The factor is bounded, so that a wrong one makes the load uneven and does
    /// not exclude a server.
    pub(super) fn slowness(&self, server: &Server) -> f64 {
        let pool = &self.pools[server.pool];
        let has_size = self.settings.weight_by_units && server.entry.units > 0.0;
        let size =
            if has_size { pool.time_ratio * pool.mean_units / server.entry.units } else { pool.time_ratio };
        let load_factor = server.reported_load.map_or(1.0, |(in_progress, at)| {
            let freshness = (1.0 - (self.now - at).0 as f64 / REPORT_LASTS_US).max(0.0);
            1.0 + freshness * ((1.0 + in_progress) / (1.0 + self.stats.mean_reported_load) - 1.0)
        });
        (size * (server.time_ratio * load_factor).sqrt()).clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS)
    }
}
