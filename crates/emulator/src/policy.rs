//! What decides for a balancer: the real module, or a reference to compare it with.

use crate::references::{Reference, Rule};
use garnettally_decisions::facade::{Decision, Decisions, Micros, PickRequest, Report};
use garnettally_model::{ListedState, LocalObservations, Settings, Site};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// Which policy a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The project's decision module, as the program runs it.
    #[default]
    Module,
    /// Reference: any ready node.
    Random,
    /// Reference: one ready node after the other.
    RoundRobin,
    /// Reference: of two ready nodes, the one with fewer own requests out.
    TwoChoices,
    /// Reference: the ready node with the fewest own requests out.
    LeastOutstanding,
    /// Reference: at random, weighted by the load that nodes report.
    WeightedReports,
    /// Reference: the hot/cold rule over probes of requests in flight and latency (Wydrowski et al., NSDI 2024).
    Prequal,
    /// Reference: sees the true state of every node, and no one else's requests under way.
    Oracle,
}

impl Kind {
    /// All of them, the module first.
    pub const ALL: [Kind; 8] = [
        Kind::Module,
        Kind::Random,
        Kind::RoundRobin,
        Kind::TwoChoices,
        Kind::LeastOutstanding,
        Kind::WeightedReports,
        Kind::Prequal,
        Kind::Oracle,
    ];

    /// Its name in files and results.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Module => "module",
            Kind::Random => "random",
            Kind::RoundRobin => "round-robin",
            Kind::TwoChoices => "two-choices",
            Kind::LeastOutstanding => "least-outstanding",
            Kind::WeightedReports => "weighted-reports",
            Kind::Prequal => "prequal",
            Kind::Oracle => "oracle",
        }
    }
}

/// What a node is really like, for references that may see it.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Requests that it holds.
    pub held: usize,
    /// The work it can do in a microsecond; 0: none.
    pub capacity: f64,
    /// How long requests took of late, in microseconds, by the number that were held when they came; 0: none did.
    pub latency: Vec<f64>,
}

impl Truth {
    /// Notes how long a request took that came when so many were held.
    pub(crate) fn served(&mut self, held: usize, took: f64) {
        const MOST: usize = 256;
        let at = held.min(MOST - 1);
        if self.latency.len() <= at {
            self.latency.resize(at + 1, 0.0);
        }
        let mean = &mut self.latency[at];
        *mean = if *mean == 0.0 { took } else { *mean + 0.2 * (took - *mean) };
    }

    /// How long a request that comes now is thought to take: as those took that came at the same number held, or at
    /// the nearest that is known, in proportion.
    pub(crate) fn expected(&self) -> f64 {
        let known = |at: usize| self.latency.get(at).copied().filter(|l| *l > 0.0);
        let near = (0..self.latency.len() + self.held).find_map(|d| {
            let below = self.held.checked_sub(d).and_then(|at| known(at).map(|l| (at, l)));
            below.or_else(|| known(self.held + d).map(|l| (self.held + d, l)))
        });
        near.map_or(0.0, |(at, l)| l * (self.held + 1) as f64 / (at + 1) as f64)
    }
}

/// The true state of the nodes of a tier.
pub type Truths = Rc<RefCell<Vec<Truth>>>;

/// Decides for one balancer. Nodes are numbered by their places in the tier.
pub trait Policy {
    /// Where a new request goes.
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision>;
    /// Takes in what has become known.
    fn report(&mut self, now: Micros, report: Report) -> Vec<Decision>;
    /// Lets time pass.
    fn tick(&mut self, now: Micros) -> Vec<Decision>;
    /// When time is to pass next.
    fn next_tick(&self) -> Option<Micros>;
    /// What it has found out by its own calls. References find out nothing.
    fn findings(&self, _now: Micros) -> LocalObservations {
        LocalObservations::default()
    }
}

impl Policy for Decisions {
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision> {
        Decisions::pick(self, now, ask)
    }
    fn report(&mut self, now: Micros, report: Report) -> Vec<Decision> {
        Decisions::report(self, now, report)
    }
    fn tick(&mut self, now: Micros) -> Vec<Decision> {
        Decisions::tick(self, now)
    }
    fn next_tick(&self) -> Option<Micros> {
        Decisions::next_tick(self)
    }
    fn findings(&self, now: Micros) -> LocalObservations {
        Decisions::local_observations(self, now)
    }
}

/// A policy of a kind for one balancer.
pub fn new(kind: Kind, site: Site, seed: u64, now: Micros, truths: &Truths) -> Box<dyn Policy> {
    let settings: Settings = site.settings.clone();
    let rule = match kind {
        Kind::Module => return Box::new(Decisions::new(site, seed, now)),
        Kind::Random => Rule::Random,
        Kind::RoundRobin => Rule::RoundRobin { next: seed as usize },
        Kind::TwoChoices => Rule::TwoChoices,
        Kind::LeastOutstanding => Rule::LeastOutstanding,
        Kind::WeightedReports => Rule::WeightedReports,
        Kind::Prequal => Rule::Prequal(Default::default()),
        Kind::Oracle => Rule::Oracle,
    };
    Box::new(Reference::new(rule, settings, seed, truths.clone()))
}

/// Whether a node of a list takes new requests.
pub(crate) fn takes(state: ListedState) -> bool {
    state == ListedState::Ready
}
