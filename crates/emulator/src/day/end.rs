//! What came of it all.

use super::*;

impl Day<'_> {
    pub(super) fn report(mut self, seed: u64, kind: Kind) -> Report {
        let world = self.world;
        let lasted = (world.lasts.0 - world.warm_up.0).0 as f64 / 1e6;
        let (mut imbalance, mut used) = (Vec::new(), Vec::new());
        let mut done = 0.0;
        for (t, tier) in world.tiers.iter().enumerate() {
            let places = &self.places[self.first[t]..self.first[t] + tier.nodes];
            let whole = world.lasts.0 .0 as f64;
            let uses: Vec<f64> = places.iter().map(|p| p.node.work_done() / (p.nominal * whole)).collect();
            let mean = uses.iter().sum::<f64>() / uses.len() as f64;
            let variance = uses.iter().map(|u| (u - mean).powi(2)).sum::<f64>() / uses.len() as f64;
            imbalance.push(if mean > 0.0 { variance.sqrt() / mean } else { 0.0 });
            used.push(mean);
            done += places.iter().map(|p| p.node.work_done()).sum::<f64>();
        }
        // Whoever is not settled yet has got nothing.
        let open: Vec<u32> =
            (0..self.clients.len() as u32).filter(|&c| !self.clients[c as usize].over).collect();
        let now = self.events.now();
        open.into_iter().for_each(|c| self.settle(now, c, Outcome::GivenUp));
        let worst = self.seconds.iter().filter(|s| s.asked > 0.0).map(|s| s.earned / s.asked);
        let counted = self.all.asked.max(1) as f64;
        let mut report = Report {
            world: world.name.clone(),
            policy: kind.name().to_string(),
            seed,
            service: self.all.service(),
            worst_second: worst.fold(1.0, f64::min),
            goodput: self.all.in_time as f64 / lasted,
            waste: if done > 0.0 { (1.0 - self.useful / done).max(0.0) } else { 0.0 },
            client_amplification: self.tries as f64 / counted,
            retry_amplification: self.first_sends as f64 / self.tries.max(1) as f64,
            latency: latency(&self.served),
            imbalance,
            used,
            all: self.all.clone(),
            classes: self.parts.clone(),
            tenants: self.tenants.clone(),
            requests: self.clients.len() as u64,
            attempts: self.sends,
            decisions: self.decisions,
            events: self.events.asked(),
            ..Report::default()
        };
        report.take_rules(&self.rules);
        report
    }
}
