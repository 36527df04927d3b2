//! The results of a run.

use crate::rules::{Rule, RuleChecker, Violation};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The outcomes of the requests of one class, of one tenant, or of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// The name of the class or tenant, or `all`.
    pub name: String,
    /// Requests that clients made after the warm-up; retries are not counted.
    pub asked: u64,
    /// Requests served within the aim.
    pub in_time: u64,
    /// Requests served after the aim.
    pub late: u64,
    /// Requests refused at their last try.
    pub refused: u64,
    /// Requests that failed at their last try.
    pub failed: u64,
    /// Requests that the client gave up, or that had no outcome at the end of the run.
    pub given_up: u64,
    /// The total worth of the requests.
    pub worth_asked: f64,
    /// The worth that answers earned: all of it in time, the class's `late_worth` of it after the aim.
    pub worth_earned: f64,
}

impl OutcomeCounts {
    /// The part of the total worth that was earned, 0 to 1; 1 without requests.
    pub fn service(&self) -> f64 {
        if self.worth_asked > 0.0 {
            self.worth_earned / self.worth_asked
        } else {
            1.0
        }
    }
}

/// Percentiles of the latency of served requests, measured from the first try on, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 90th percentile, in milliseconds.
    pub p90_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// The maximum, in milliseconds.
    pub max_ms: f64,
}

/// The results of a run. Figures on requests leave out those that started in the warm-up, unless noted;
/// figures on the work of nodes include the warm-up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The world's name.
    pub world: String,
    /// The name of the policy under which the run took place.
    pub policy: String,
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The part of the total worth of the requests that was earned, 0 to 1.
    pub service: f64,
    /// The lowest service, 0 to 1, of the requests that started within one second of the run.
    pub worst_second: f64,
    /// Requests served within the aim, per second.
    pub goodput: f64,
    /// The part of the work of all nodes, 0 to 1, that contributed to no answer.
    pub waste: f64,
    /// Tries of clients per request.
    pub client_amplification: f64,
    /// Attempts of the first tier's balancers per try of a client.
    pub retry_amplification: f64,
    /// The latency of served requests.
    pub latency: Latency,
    /// By tier: the coefficient of variation of the nodes' utilization.
    pub imbalance: Vec<f64>,
    /// By tier: the mean utilization of the nodes, as a part of their nominal capacity.
    pub used: Vec<f64>,
    /// The outcomes of all requests.
    pub all: OutcomeCounts,
    /// The outcomes by class, in the order of the world.
    pub classes: Vec<OutcomeCounts>,
    /// The outcomes by tenant, in the order of the world.
    pub tenants: Vec<OutcomeCounts>,
    /// Requests of clients, including those of the warm-up.
    pub requests: u64,
    /// Attempts sent by the balancers of all tiers, including those of the warm-up.
    pub attempts: u64,
    /// Requests and reports that were passed to policies.
    pub decisions: u64,
    /// Events that were scheduled during the run.
    pub events: u64,
    /// Each rule, and how often it was broken; 0 for a rule that was kept.
    pub broken: Vec<(Rule, u64)>,
    /// The first violations in detail.
    pub breaks: Vec<Violation>,
}

impl Report {
    /// Whether no rule was broken.
    pub fn all_rules_kept(&self) -> bool {
        self.broken.iter().all(|(_, n)| *n == 0)
    }

    pub(crate) fn set_rule_results(&mut self, checker: &RuleChecker) {
        self.broken = checker.counts().to_vec();
        self.breaks = checker.violations().to_vec();
    }

    /// Formats the results as a few lines of text for people.
    pub fn text(&self) -> String {
        let mut out = format!(
            "{} under {}, seed {}\n  service {:.4}, worst second {:.3}, goodput {:.1}/s, waste {:.3}, retry amplification {:.3} (clients {:.3})\n",
            self.world, self.policy, self.seed, self.service, self.worst_second, self.goodput, self.waste,
            self.retry_amplification, self.client_amplification
        );
        let l = &self.latency;
        out += &format!(
            "  latency p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.1} ms\n",
            l.p50_ms, l.p90_ms, l.p99_ms, l.p999_ms, l.max_ms
        );
        for p in std::iter::once(&self.all).chain(&self.classes).chain(&self.tenants) {
            out += &format!(
                "  {:<16} asked {:>8}  in time {:>8}  late {:>6}  refused {:>6}  failed {:>6}  given up {:>6}  service {:.3}\n",
                p.name, p.asked, p.in_time, p.late, p.refused, p.failed, p.given_up, p.service()
            );
        }
        for (tier, (spread, used)) in self.imbalance.iter().zip(&self.used).enumerate() {
            out += &format!("  tier {tier}: used {used:.3} of nominal, spread of use {spread:.3}\n");
        }
        out += &format!(
            "  {} requests, {} attempts, {} decisions, {} events\n",
            self.requests, self.attempts, self.decisions, self.events
        );
        let broken: Vec<_> =
            self.broken.iter().filter(|(_, n)| *n > 0).map(|(r, n)| format!("{r:?} {n} times")).collect();
        match broken.is_empty() {
            true => out += "  rules kept\n",
            false => {
                out += &format!("  RULES BROKEN: {}\n", broken.join(", "));
                for b in &self.breaks {
                    out += &format!("    {:.6} s: {}\n", b.at_us as f64 / 1e6, b.what);
                }
            }
        }
        out
    }
}

/// A histogram of times between a microsecond and an hour, with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    // The library accepts these constant bounds; the fallback has no bounds and accepts any value.
    Histogram::new_with_bounds(1, 3_600_000_000, 3)
        .or_else(|_| Histogram::new(3))
        .unwrap_or_else(|_| unreachable!("histograms allow three significant digits"))
}

pub(crate) fn latency_percentiles(times: &Histogram<u64>) -> Latency {
    if times.is_empty() {
        return Latency::default();
    }
    let at = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    Latency {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: times.max() as f64 / 1e3,
    }
}
