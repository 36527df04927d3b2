//! The report at the end of a run.

use super::*;

impl Day<'_> {
    pub(super) fn into_report(mut self, seed: u64, kind: PolicyKind) -> Report {
        let world = self.world;
        let counted_seconds = (world.lasts.0 - world.warm_up.0).0 as f64 / 1e6;
        let (mut imbalance, mut used) = (Vec::new(), Vec::new());
        let mut work_done = 0.0;
        for (t, tier) in world.tiers.iter().enumerate() {
            let nodes = &self.nodes[self.first_node[t]..self.first_node[t] + tier.nodes];
            let duration = world.lasts.0 .0 as f64;
            let uses: Vec<f64> =
                nodes.iter().map(|n| n.processor.work_done() / (n.nominal_capacity * duration)).collect();
            let mean = uses.iter().sum::<f64>() / uses.len() as f64;
            let variance = uses.iter().map(|u| (u - mean).powi(2)).sum::<f64>() / uses.len() as f64;
            imbalance.push(if mean > 0.0 { variance.sqrt() / mean } else { 0.0 });
            used.push(mean);
            work_done += nodes.iter().map(|n| n.processor.work_done()).sum::<f64>();
        }
        // A client whose request has no outcome yet has got no answer.
        let unsettled: Vec<u32> =
            (0..self.clients.len() as u32).filter(|&c| !self.clients[c as usize].settled).collect();
        let now = self.events.now();
        unsettled.into_iter().for_each(|c| self.settle(now, c, RequestOutcome::GivenUp));
        let worst =
            self.seconds.iter().filter(|s| s.worth_asked > 0.0).map(|s| s.worth_earned / s.worth_asked);
        let requests = self.totals.asked.max(1) as f64;
        let mut report = Report {
            world: world.name.clone(),
            policy: kind.name().to_string(),
            seed,
            service: self.totals.service(),
            worst_second: worst.fold(1.0, f64::min),
            goodput: self.totals.in_time as f64 / counted_seconds,
            waste: if work_done > 0.0 { (1.0 - self.useful_work / work_done).max(0.0) } else { 0.0 },
            client_amplification: self.client_tries as f64 / requests,
            retry_amplification: self.first_tier_attempts as f64 / self.client_tries.max(1) as f64,
            latency: latency_percentiles(&self.served_latency),
            imbalance,
            used,
            all: self.totals.clone(),
            classes: self.class_totals.clone(),
            tenants: self.tenant_totals.clone(),
            requests: self.clients.len() as u64,
            attempts: self.attempts_sent,
            decisions: self.policy_calls,
            events: self.events.scheduled(),
            ..Report::default()
        };
        report.set_rule_results(&self.checker);
        report
    }
}
