//! What a call is expected to take: the line of served time over price, class means, and how slow a server
//! is.

use super::*;

pub(super) const FIRST_PRICE: f64 = 1_000.0; // prices and Cr before anything is known, from the design page
pub(super) const CALL_MEAN: f64 = 0.05; // weight of a served call in them
const LINE_LEAST: f64 = 5.0; // calls before a slope is believed
const SLOW_BOUND: f64 = 4.0; // bound of slowness: past it health should speak, not price
const REPORT_LASTS: f64 = 2e6; // a report fades over this: the queue that it saw has been served by then

/// The estimate of a served time.
impl Line {
    pub(super) fn learn(&mut self, price: f64, time: f64) {
        self.n += 1.0;
        let k = CALL_MEAN.max(1.0 / self.n);
        for (m, v) in self.mean.iter_mut().zip([price, time, price * price, price * time]) {
            *m += k * (v - *m);
        }
    }

    pub(super) fn at(&self, price: f64) -> f64 {
        let [p, t, square, product] = self.mean;
        let ratio = if self.n < 1.0 { 1.0 } else { t / p.max(1.0) };
        if self.n < LINE_LEAST {
            return ratio * price;
        }
        let slope = (product - p * t) / (square - p * p).max(1.0);
        t + slope.clamp(0.3 * ratio, ratio) * (price - p)
    }
}

impl Balancer {
    /// Served times: the class mean, the line over price, and the slowness of server and kind.
    pub(super) fn learn(&mut self, server: ServerId, class: usize, price: f64, expected: f64, time: f64) {
        let mean = self.means[class].get_or_insert(time);
        *mean += CALL_MEAN * (time - *mean);
        self.line.learn(price, time.min(SLOW_BOUND * expected.max(price)));
        let s = &mut self.servers[server.0 as usize];
        let pool = &mut self.pools[s.pool];
        let ratio = (time / expected).min(2.0 * SLOW_BOUND);
        s.ratio += 2.0 * CALL_MEAN * (ratio / pool.ratio.max(0.01) - s.ratio);
        pool.ratio += CALL_MEAN * (ratio - pool.ratio);
        // Heavy-tailed: logarithms. The root of the price: a part of the time grows with it, a part does not.
        pool.logs += 1.0;
        let aim = self.set.classes[class].aim.0.max(1) as f64;
        pool.delay += STRETCH_MEAN.max(1.0 / pool.logs) * (time / aim - pool.delay);
        let log = time.max(1.0).ln() - 0.5 * price.max(1.0).ln();
        pool.log += STRETCH_MEAN.max(1.0 / pool.logs) * (log - pool.log);
        if pool.logs * STRETCH_MEAN >= 1.0 {
            pool.base = Some(pool.base.map_or(pool.log, |b| b.min(pool.log)));
        }
    }

    /// Unequal servers: each one's served times against its peers', its units where they tell a size, and
    /// what it reports to hold. Bounded, since a wrong price should cost balance, not a server.
    pub(super) fn slowness(&self, s: &Server) -> f64 {
        let pool = &self.pools[s.pool];
        let tell_size = self.set.weight_by_units && s.entry.units > 0.0;
        let size = if tell_size { pool.ratio * pool.units / s.entry.units } else { pool.ratio };
        let crowd = s.held.map_or(1.0, |(h, at)| {
            let fresh = (1.0 - (self.now - at).0 as f64 / REPORT_LASTS).max(0.0);
            1.0 + fresh * ((1.0 + h) / (1.0 + self.st.held) - 1.0)
        });
        (size * (s.ratio * crowd).sqrt()).clamp(1.0 / SLOW_BOUND, SLOW_BOUND)
    }
}
