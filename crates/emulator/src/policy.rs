//! The policy that makes a balancer's decisions: the real decision module, or a reference to compare it with.

use crate::references::{ReferencePolicy, SelectionRule};
use garnettally_decisions::facade::{Decision, Decisions, Micros, PickRequest, Report};
use garnettally_model::{ListedState, LocalObservations, Settings, Site};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// The policy of all balancers in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The project's decision module, as in the real program.
    #[default]
    Module,
    /// Reference: a ready node at random.
    Random,
    /// Reference: the ready nodes in turn.
    RoundRobin,
    /// Reference: of two random ready nodes, the one with fewer of the balancer's own attempts in flight.
    TwoChoices,
    /// Reference: the ready node with the fewest of the balancer's own attempts in flight.
    LeastOutstanding,
    /// Reference: a random ready node, weighted by the inverse of the load that nodes report.
    WeightedReports,
    /// Reference: the hot/cold rule over probes of requests in flight and latency (Wydrowski et al., NSDI
    /// 2024).
    Prequal,
    /// Reference: sees the true state of every node, but not the attempts of other balancers that have not
    /// arrived yet.
    Oracle,
}

impl PolicyKind {
    /// All policies, the decision module first.
    pub const ALL: [PolicyKind; 8] = [
        PolicyKind::Module,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::TwoChoices,
        PolicyKind::LeastOutstanding,
        PolicyKind::WeightedReports,
        PolicyKind::Prequal,
        PolicyKind::Oracle,
    ];

    /// The name of the policy in files and results.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::WeightedReports => "weighted-reports",
            PolicyKind::Prequal => "prequal",
            PolicyKind::Oracle => "oracle",
        }
    }
}

/// The true state of a node, for references that may see it.
#[derive(Clone, Debug, Default)]
pub struct TrueNodeState {
    /// The number of requests at the node: running, waiting for the next tier, and waiting for a slot.
    pub in_flight: usize,
    /// The work that the node can do in a microsecond; 0 while it is stopped or unreachable.
    pub capacity: f64,
    /// The moving average of the time that requests took, in microseconds, by the number of requests at the
    /// node when they arrived; 0: no such request yet.
    pub mean_time: Vec<f64>,
}

impl TrueNodeState {
    /// Records that a request took `took` microseconds that arrived when `in_flight` requests were at the
    /// node.
    pub(crate) fn record_time(&mut self, in_flight: usize, took: f64) {
        const MAX_IN_FLIGHT: usize = 256;
        let at = in_flight.min(MAX_IN_FLIGHT - 1);
        if self.mean_time.len() <= at {
            self.mean_time.resize(at + 1, 0.0);
        }
        let mean = &mut self.mean_time[at];
        *mean = if *mean == 0.0 { took } else { *mean + 0.2 * (took - *mean) };
    }

    /// Estimates the time of a request that arrives now, in microseconds: the average of requests that
    /// arrived at the same number in flight, or at the nearest number with an average, scaled in proportion.
    /// 0 without any average.
    pub(crate) fn expected_time(&self) -> f64 {
        let known = |at: usize| self.mean_time.get(at).copied().filter(|l| *l > 0.0);
        let near = (0..self.mean_time.len() + self.in_flight).find_map(|d| {
            let below = self.in_flight.checked_sub(d).and_then(|at| known(at).map(|l| (at, l)));
            below.or_else(|| known(self.in_flight + d).map(|l| (self.in_flight + d, l)))
        });
        near.map_or(0.0, |(at, l)| l * (self.in_flight + 1) as f64 / (at + 1) as f64)
    }
}

/// The true state of the nodes of a tier.
pub type TrueNodeStates = Rc<RefCell<Vec<TrueNodeState>>>;

/// Makes the decisions of one balancer. Nodes are numbered by their indices in the tier.
pub trait Policy {
    /// Handles a new request and returns what to do with it.
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision>;
    /// Processes a report, such as the end of an attempt or a change of the list.
    fn report(&mut self, now: Micros, report: Report) -> Vec<Decision>;
    /// Processes the timers that are due.
    fn tick(&mut self, now: Micros) -> Vec<Decision>;
    /// When [`Policy::tick`] has to be called next, if at all.
    fn next_tick(&self) -> Option<Micros>;
    /// The observations that the policy has made by its own attempts. References make none.
    fn local_observations(&self, _now: Micros) -> LocalObservations {
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
    fn local_observations(&self, now: Micros) -> LocalObservations {
        Decisions::local_observations(self, now)
    }
}

/// Creates the policy of one balancer.
pub fn create_policy(
    kind: PolicyKind,
    site: Site,
    seed: u64,
    now: Micros,
    true_states: &TrueNodeStates,
) -> Box<dyn Policy> {
    let settings: Settings = site.settings.clone();
    let rule = match kind {
        PolicyKind::Module => return Box::new(Decisions::new(site, seed, now)),
        PolicyKind::Random => SelectionRule::Random,
        PolicyKind::RoundRobin => SelectionRule::RoundRobin { next: seed as usize },
        PolicyKind::TwoChoices => SelectionRule::TwoChoices,
        PolicyKind::LeastOutstanding => SelectionRule::LeastOutstanding,
        PolicyKind::WeightedReports => SelectionRule::WeightedReports,
        PolicyKind::Prequal => SelectionRule::Prequal(Default::default()),
        PolicyKind::Oracle => SelectionRule::Oracle,
    };
    Box::new(ReferencePolicy::new(rule, settings, seed, true_states.clone()))
}

/// Whether a node listed in this state accepts new requests.
pub(crate) fn accepts_requests(state: ListedState) -> bool {
    state == ListedState::Ready
}
