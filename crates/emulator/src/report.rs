//! What came of a run.

use crate::rules::{Break, Checker, Rule};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Figures of one class, tenant, or of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Requests of clients, repeats not counted.
    pub asked: u64,
    /// Of them, served within the aim.
    pub in_time: u64,
    /// Served after it.
    pub late: u64,
    /// Refused at the last try.
    pub refused: u64,
    /// Failed at the last try.
    pub failed: u64,
    /// Given up by the client.
    pub given_up: u64,
    /// Worth that was asked for, and that was earned.
    pub worth_asked: f64,
    /// Worth that was earned.
    pub worth_earned: f64,
}

impl Part {
    /// Worth earned of what was asked for, 0 to 1; 1 where nothing was asked.
    pub fn service(&self) -> f64 {
        if self.worth_asked > 0.0 {
            self.worth_earned / self.worth_asked
        } else {
            1.0
        }
    }
}

/// Percentiles of the times of what was served, from the first try on, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The median.
    pub p50_ms: f64,
    /// Nine in ten.
    pub p90_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1,000.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The world's name.
    pub world: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Worth earned of what was asked for, 0 to 1.
    pub service: f64,
    /// Service of the worst second-long stretch with anything asked in it.
    pub worst_second: f64,
    /// Requests served in time, a second.
    pub goodput: f64,
    /// Work that nodes did for nothing, of all that they did.
    pub waste: f64,
    /// Tries of clients for each request, and attempts of balancers for each try at the first tier.
    pub client_amplification: f64,
    /// Attempts of the first tier's balancers for each try.
    pub retry_amplification: f64,
    /// Times of what was served.
    pub latency: Latency,
    /// By tier: the spread of the nodes' use, as a coefficient of variation.
    pub imbalance: Vec<f64>,
    /// By tier: the part of their nominal capacity that nodes used.
    pub used: Vec<f64>,
    /// All requests.
    pub all: Part,
    /// By class.
    pub classes: Vec<Part>,
    /// By tenant.
    pub tenants: Vec<Part>,
    /// Requests, attempts, decisions asked for and events.
    pub requests: u64,
    /// Attempts of all tiers.
    pub attempts: u64,
    /// Calls of the policy.
    pub decisions: u64,
    /// Events of the run.
    pub events: u64,
    /// Rules that were broken, and how often.
    pub broken: Vec<(Rule, u64)>,
    /// The first breaks.
    pub breaks: Vec<Break>,
}

impl Report {
    /// Whether all rules were kept.
    pub fn lawful(&self) -> bool {
        self.broken.iter().all(|(_, n)| *n == 0)
    }

    pub(crate) fn take_rules(&mut self, checker: &Checker) {
        self.broken = checker.counts().to_vec();
        self.breaks = checker.breaks().to_vec();
    }

    /// A few lines for people.
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

/// Times between a microsecond and an hour, to three figures.
pub(crate) fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts; without them it takes any value.
    Histogram::new_with_bounds(1, 3_600_000_000, 3)
        .or_else(|_| Histogram::new(3))
        .unwrap_or_else(|_| unreachable!("three significant figures are within what histograms allow"))
}

pub(crate) fn latency(h: &Histogram<u64>) -> Latency {
    if h.is_empty() {
        return Latency::default();
    }
    let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
    Latency {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: h.max() as f64 / 1e3,
    }
}
