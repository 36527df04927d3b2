//! Policies to compare the decision module with. **For experiments only**: the crates of the serving path do
//! not depend on this one.
//!
//! The policies differ in the node that they choose. The rest is the same for all and is what a common
//! balancer does: no admission control, at most as many attempts as the settings allow, keyed retries in the
//! cell of the first attempt, and an immediate retry where the class allows it, within a budget of a tenth of
//! the requests. An attempt that a node rejected without running it is retried outside the budget.

use crate::draw::RandomStream;
use crate::policy::{accepts_requests, Policy, TrueNodeState, TrueNodeStates};
use garnettally_decisions::facade::{
    Code, Decision, Effect, Micros, PickRequest, Report, RequestId, ServerId,
};
use garnettally_model::{DedupScope, HostList, Settings};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The rule by which a reference policy chooses a node.
pub enum SelectionRule {
    /// Chooses a ready node at random.
    Random,
    /// Chooses the ready nodes in turn.
    RoundRobin {
        /// The index, modulo the number of nodes, of the node chosen last.
        next: usize,
    },
    /// Draws two ready nodes and chooses the one with fewer of the balancer's own attempts in flight.
    TwoChoices,
    /// Chooses the ready node with the fewest of the balancer's own attempts in flight.
    LeastOutstanding,
    /// Chooses a ready node at random, weighted by the inverse of the load that it last reported.
    WeightedReports,
    /// Classifies nodes as hot or cold by probes, and prefers the cold node with the lowest latency.
    Prequal(Probes),
    /// Chooses the ready node that, by its true state, would finish one more request of mean work first.
    Oracle,
}

/// The pool of probes of the hot/cold rule.
#[derive(Default)]
pub struct Probes {
    pool: VecDeque<Probe>,
    /// The numbers in flight of the latest probes, from which the bound between hot and cold follows.
    latest_in_flight: VecDeque<usize>,
}

struct Probe {
    server: usize,
    at: Micros,
    in_flight: usize,
    latency: f64,
    uses: u32,
}

// PROBES_PER_REQUEST, POOL_SIZE, PROBE_MAX_AGE and HOT_QUANTILE have the values of the paper's evaluation.

/// Probes sent for each request.
const PROBES_PER_REQUEST: usize = 3;
/// The most probes in the pool.
const POOL_SIZE: usize = 16;
/// The age at which a probe is removed from the pool.
const PROBE_MAX_AGE: Micros = Micros(1_000_000);
/// The number of uses after which a probe is removed from the pool.
const PROBE_MAX_USES: u32 = 2;
/// The quantile of the latest numbers in flight above which a node is hot.
const HOT_QUANTILE: f64 = 0.84;
/// The number of latest probes from which the quantile is taken.
const QUANTILE_SAMPLES: usize = 128;

/// The retry budget, as a part of the number of requests.
const RETRY_RATIO: f64 = 0.1;

#[derive(Clone, Copy, Default)]
struct NodeView {
    ready: bool,
    cell: i64,
    zone: usize,
    in_flight: u32,
    reported_load: f64,
}

struct OpenRequest {
    class: usize,
    expires: Micros,
    /// Of each attempt: its node, and whether it may have run.
    tried: Vec<(usize, bool)>,
    in_flight: u32,
    /// When the request arrived.
    arrived_at: Micros,
}

/// The reference policy of one balancer.
pub struct ReferencePolicy {
    rule: SelectionRule,
    settings: Settings,
    nodes: Vec<NodeView>,
    names: FxHashMap<String, usize>,
    zones: FxHashMap<String, usize>,
    requests: FxHashMap<RequestId, OpenRequest>,
    /// The retries that the budget allows at present.
    tokens: f64,
    rng: RandomStream,
    true_states: TrueNodeStates,
}

impl ReferencePolicy {
    /// Creates a policy that chooses nodes by this rule.
    pub fn new(
        rule: SelectionRule,
        settings: Settings,
        seed: u64,
        true_states: TrueNodeStates,
    ) -> ReferencePolicy {
        ReferencePolicy {
            rule,
            settings,
            nodes: Vec::new(),
            names: FxHashMap::default(),
            zones: FxHashMap::default(),
            requests: FxHashMap::default(),
            tokens: 10.0,
            rng: RandomStream::new(seed, "reference", 0),
            true_states,
        }
    }

    fn update_list(&mut self, list: &HostList) {
        if list.whole {
            self.nodes.iter_mut().for_each(|n| n.ready = false);
        }
        for (l, _) in &list.hosts {
            let next = self.names.len();
            let at = *self.names.entry(l.name.clone()).or_insert(next);
            let zones = self.zones.len();
            let zone = *self.zones.entry(l.zone.clone().unwrap_or_default()).or_insert(zones);
            self.nodes.resize(self.nodes.len().max(at + 1), NodeView::default());
            let node = &mut self.nodes[at];
            (node.ready, node.cell, node.zone) = (accepts_requests(l.state), l.cell, zone);
        }
    }

    fn choose(&mut self, now: Micros, request_state: &OpenRequest) -> Option<usize> {
        // A keyed retry stays in the cell or zone of the first attempt that may have run, where the
        // nodes recognize the key and drop the repeat.
        let bound = match self.settings.classes[request_state.class].effect {
            Effect::Keyed { scope, .. } => {
                request_state.tried.iter().find(|t| t.1).map(|t| (scope, self.nodes[t.0]))
            }
            _ => None,
        };
        let eligible = |i: &usize| {
            let n = &self.nodes[*i];
            n.ready
                && match bound {
                    Some((DedupScope::Cell, b)) => n.cell == b.cell && n.zone == b.zone,
                    Some((DedupScope::Zone, b)) => n.zone == b.zone,
                    _ => true,
                }
        };
        let mut candidates: Vec<usize> = (0..self.nodes.len()).filter(eligible).collect();
        let untried: Vec<usize> =
            candidates.iter().copied().filter(|i| request_state.tried.iter().all(|t| t.0 != *i)).collect();
        if !untried.is_empty() {
            candidates = untried;
        }
        if candidates.is_empty() {
            return None;
        }
        let (nodes, rng) = (&self.nodes, &mut self.rng);
        let least = |candidates: &[usize], rng: &mut RandomStream, by: &dyn Fn(usize) -> f64| {
            // Ties are broken at random, as otherwise all balancers would choose the same node.
            let from = rng.index(candidates.len());
            let order = (0..candidates.len()).map(|i| candidates[(from + i) % candidates.len()]);
            order.min_by(|&a, &b| by(a).total_cmp(&by(b)))
        };
        match &mut self.rule {
            SelectionRule::Random => Some(candidates[rng.index(candidates.len())]),
            SelectionRule::RoundRobin { next } => {
                *next = next.wrapping_add(1);
                Some(candidates[*next % candidates.len()])
            }
            SelectionRule::TwoChoices => {
                let two = [candidates[rng.index(candidates.len())], candidates[rng.index(candidates.len())]];
                least(&two, rng, &|i| f64::from(nodes[i].in_flight))
            }
            SelectionRule::LeastOutstanding => least(&candidates, rng, &|i| f64::from(nodes[i].in_flight)),
            SelectionRule::WeightedReports => {
                let weight = |i: usize| 1.0 / (1.0 + nodes[i].reported_load);
                let mut at = rng.unit() * candidates.iter().map(|&i| weight(i)).sum::<f64>();
                let found = candidates.iter().copied().find(|&i| {
                    at -= weight(i);
                    at <= 0.0
                });
                found.or(candidates.last().copied())
            }
            SelectionRule::Prequal(probes) => {
                let true_states = self.true_states.borrow();
                probes.probe(now, &candidates, &true_states, rng);
                probes.choose(now, &candidates).or_else(|| Some(candidates[rng.index(candidates.len())]))
            }
            SelectionRule::Oracle => {
                let true_states = self.true_states.borrow();
                least(&candidates, rng, &|i| match true_states.get(i) {
                    Some(t) if t.capacity > 0.0 => (t.in_flight as f64 + 1.0) / t.capacity,
                    _ => f64::INFINITY,
                })
            }
        }
    }

    fn send_attempt(&mut self, now: Micros, id: RequestId) -> Option<Decision> {
        let mut request_state = self.requests.remove(&id)?;
        let left = request_state.expires - now;
        let server = (left > Micros(0)).then(|| self.choose(now, &request_state)).flatten();
        let decision = server.map(|at| {
            request_state.tried.push((at, true));
            request_state.in_flight += 1;
            self.nodes[at].in_flight += 1;
            let timeout = Duration::from_micros(left.0 as u64);
            Decision::Send { request: id, upstream: ServerId(at as u32), timeout }
        });
        self.requests.insert(id, request_state);
        decision
    }

    fn end_request(&mut self, id: RequestId) -> Vec<Decision> {
        let Some(request_state) = self.requests.remove(&id) else { return Vec::new() };
        let never_ran = !request_state.tried.iter().any(|t| t.1);
        match never_ran {
            true => vec![Decision::Refuse { request: id, retry_after: None }],
            false => vec![Decision::Fail(id)],
        }
    }
}

impl Probes {
    fn probe(
        &mut self,
        now: Micros,
        candidates: &[usize],
        true_states: &[TrueNodeState],
        rng: &mut RandomStream,
    ) {
        for _ in 0..PROBES_PER_REQUEST {
            let server = candidates[rng.index(candidates.len())];
            let Some(t) = true_states.get(server) else { continue };
            self.latest_in_flight.push_back(t.in_flight);
            if self.latest_in_flight.len() > QUANTILE_SAMPLES {
                self.latest_in_flight.pop_front();
            }
            self.pool.push_back(Probe {
                server,
                at: now,
                in_flight: t.in_flight,
                latency: t.expected_time(),
                uses: 0,
            });
            if self.pool.len() > POOL_SIZE {
                self.pool.pop_front();
            }
        }
    }

    fn choose(&mut self, now: Micros, candidates: &[usize]) -> Option<usize> {
        self.pool.retain(|p| {
            now - p.at <= PROBE_MAX_AGE
                && p.uses < PROBE_MAX_USES
                && candidates.binary_search(&p.server).is_ok()
        });
        let mut sorted: Vec<usize> = self.latest_in_flight.iter().copied().collect();
        sorted.sort_unstable();
        let bound = sorted
            .get(((sorted.len() as f64 * HOT_QUANTILE) as usize).min(sorted.len().saturating_sub(1)))?;
        // The cold node with the lowest latency; if all are hot, the one with the fewest requests in flight.
        let cold = self.pool.iter_mut().filter(|p| p.in_flight <= *bound);
        let best = cold.min_by(|a, b| a.latency.total_cmp(&b.latency));
        let best = match best {
            Some(p) => p,
            None => self.pool.iter_mut().min_by_key(|p| p.in_flight)?,
        };
        best.uses += 1;
        // The attempt that is about to be sent counts until the next probe.
        best.in_flight += 1;
        Some(best.server)
    }
}

impl Policy for ReferencePolicy {
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision> {
        self.tokens = (self.tokens + RETRY_RATIO).min(100.0);
        let (class, expires) = (ask.class.0 as usize, ask.expires);
        let request_state = OpenRequest { class, expires, tried: Vec::new(), in_flight: 0, arrived_at: now };
        self.requests.insert(ask.request, request_state);
        match self.send_attempt(now, ask.request) {
            Some(send) => vec![send],
            None => self.end_request(ask.request),
        }
    }

    fn report(&mut self, now: Micros, report: Report) -> Vec<Decision> {
        match report {
            Report::InitialList(list) | Report::List(list) => {
                self.update_list(&list);
                Vec::new()
            }
            // References use only their own observations, and responses come whole in the emulator.
            Report::PeerVerdict(_) | Report::ResponseStarted(_) => Vec::new(),
            Report::ClientLeft(id) => {
                let Some(request_state) = self.requests.get(&id) else { return Vec::new() };
                let attempts = request_state.tried.len() as u32;
                let in_flight = request_state.in_flight;
                if in_flight == 0 {
                    self.requests.remove(&id);
                }
                let cancel = |attempt| Decision::Cancel { request: id, attempt };
                (0..attempts).filter(|_| in_flight > 0 && self.settings.may_cancel).map(cancel).collect()
            }
            Report::Ended { request, attempt, code, upstream_in_flight: reported_load, answered, .. } => {
                let Some(request_state) = self.requests.get_mut(&request) else { return Vec::new() };
                let Some(tried) = request_state.tried.get_mut(attempt as usize) else { return Vec::new() };
                tried.1 = !matches!(code, Code::Full | Code::ConnectFailed | Code::Moot);
                let (server, never_ran) = (tried.0, !tried.1);
                request_state.in_flight = request_state.in_flight.saturating_sub(1);
                let node = &mut self.nodes[server];
                node.in_flight = node.in_flight.saturating_sub(1);
                if let Some(load) = reported_load {
                    node.reported_load = load;
                }
                if answered {
                    if request_state.in_flight == 0 {
                        self.requests.remove(&request);
                    }
                    return Vec::new();
                }
                let allowed = match self.settings.classes[request_state.class].effect {
                    Effect::Safe => true,
                    Effect::Keyed { window, .. } => now - request_state.arrived_at < window,
                    Effect::Unsafe => !request_state.tried.iter().any(|t| t.1),
                };
                let attempts_left = request_state.tried.len() < self.settings.max_attempts as usize
                    && request_state.in_flight == 0;
                let within_budget = never_ran || self.tokens >= 1.0;
                if allowed && attempts_left && within_budget && code != Code::Cancelled {
                    if !never_ran {
                        self.tokens -= 1.0;
                    }
                    if let Some(send) = self.send_attempt(now, request) {
                        return vec![send];
                    }
                }
                match self.requests.get(&request).is_some_and(|a| a.in_flight == 0) {
                    true => self.end_request(request),
                    false => Vec::new(),
                }
            }
            Report::WatchFailed { .. }
            | Report::DiscoveryAnswerStarted
            | Report::DiscoveryMoved
            | Report::WallClock { .. } => Vec::new(),
        }
    }

    fn tick(&mut self, _: Micros) -> Vec<Decision> {
        Vec::new()
    }

    fn next_tick(&self) -> Option<Micros> {
        None
    }
}
