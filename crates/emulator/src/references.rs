//! Policies to compare the decision module with. **For the lab alone**: the crates that serve do not depend on this one.
//!
//! They differ in which node they choose, and share the rest, which is what a common balancer does: no admission, up to
//! as many attempts as the settings allow, a retry at once where the class allows it and a budget of a tenth of the
//! requests (and for what was turned away unseen without it), keyed retries in the cell of the first.

use crate::draw::Stream;
use crate::policy::{takes, Policy, Truth, Truths};
use garnettally_decisions::facade::{
    Code, Decision, Effect, Micros, PickRequest, Report, RequestId, ServerId,
};
use garnettally_model::{DedupScope, HostList, Settings};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// How a node is chosen.
pub enum Rule {
    /// Any.
    Random,
    /// One after the other.
    RoundRobin {
        /// The place to go on from.
        next: usize,
    },
    /// Of two, the one with fewer own requests out.
    TwoChoices,
    /// The one with the fewest own requests out.
    LeastOutstanding,
    /// At random, by the inverse of the load that it last reported.
    WeightedReports,
    /// Hot and cold by probes.
    Prequal(Probes),
    /// By the true time until a request of mean work would be done.
    Oracle,
}

/// The pool of probes of the hot/cold rule.
#[derive(Default)]
pub struct Probes {
    pool: VecDeque<Probe>,
    /// Requests in flight as probed of late, for the bound between hot and cold.
    seen: VecDeque<usize>,
}

struct Probe {
    server: usize,
    at: Micros,
    held: usize,
    latency: f64,
    uses: u32,
}

// The figures of the paper's evaluation: probes for each request, the pool, its age, and the quantile of hot.
const PROBES: usize = 3;
const POOL: usize = 16;
const PROBE_AGE: Micros = Micros(1_000_000);
const PROBE_USES: u32 = 2;
const HOT: f64 = 0.84;
const SEEN: usize = 128;

/// Part of the requests that may be retried.
const RETRY_RATIO: f64 = 0.1;

#[derive(Clone, Copy, Default)]
struct View {
    ready: bool,
    cell: i64,
    zone: usize,
    out: u32,
    reported: f64,
}

struct Asked {
    class: usize,
    expires: Micros,
    tried: Vec<(usize, bool)>,
    out: u32,
    first: Micros,
}

/// A reference policy of one balancer.
pub struct Reference {
    rule: Rule,
    settings: Settings,
    nodes: Vec<View>,
    names: FxHashMap<String, usize>,
    zones: FxHashMap<String, usize>,
    asked: FxHashMap<RequestId, Asked>,
    tokens: f64,
    rng: Stream,
    truths: Truths,
}

impl Reference {
    /// A policy that chooses by this rule.
    pub fn new(rule: Rule, settings: Settings, seed: u64, truths: Truths) -> Reference {
        Reference {
            rule,
            settings,
            nodes: Vec::new(),
            names: FxHashMap::default(),
            zones: FxHashMap::default(),
            asked: FxHashMap::default(),
            tokens: 10.0,
            rng: Stream::new(seed, "reference", 0),
            truths,
        }
    }

    fn list(&mut self, list: &HostList) {
        if list.whole {
            self.nodes.iter_mut().for_each(|n| n.ready = false);
        }
        for (l, _) in &list.hosts {
            let next = self.names.len();
            let at = *self.names.entry(l.name.clone()).or_insert(next);
            let zones = self.zones.len();
            let zone = *self.zones.entry(l.zone.clone().unwrap_or_default()).or_insert(zones);
            self.nodes.resize(self.nodes.len().max(at + 1), View::default());
            let node = &mut self.nodes[at];
            (node.ready, node.cell, node.zone) = (takes(l.state), l.cell, zone);
        }
    }

    fn choose(&mut self, now: Micros, asked: &Asked) -> Option<usize> {
        // A keyed retry stays where its first attempt that may have run would drop it.
        let bound = match self.settings.classes[asked.class].effect {
            Effect::Keyed { scope: group, .. } => {
                asked.tried.iter().find(|t| t.1).map(|t| (group, self.nodes[t.0]))
            }
            _ => None,
        };
        let fits = |i: &usize| {
            let n = &self.nodes[*i];
            n.ready
                && match bound {
                    Some((DedupScope::Cell, b)) => n.cell == b.cell && n.zone == b.zone,
                    Some((DedupScope::Zone, b)) => n.zone == b.zone,
                    _ => true,
                }
        };
        let mut open: Vec<usize> = (0..self.nodes.len()).filter(fits).collect();
        let fresh: Vec<usize> =
            open.iter().copied().filter(|i| asked.tried.iter().all(|t| t.0 != *i)).collect();
        if !fresh.is_empty() {
            open = fresh;
        }
        if open.is_empty() {
            return None;
        }
        let (nodes, rng) = (&self.nodes, &mut self.rng);
        let least = |open: &[usize], rng: &mut Stream, by: &dyn Fn(usize) -> f64| {
            // Ties are broken at random, or all balancers would choose alike.
            let from = rng.place(open.len());
            let order = (0..open.len()).map(|i| open[(from + i) % open.len()]);
            order.min_by(|&a, &b| by(a).total_cmp(&by(b)))
        };
        match &mut self.rule {
            Rule::Random => Some(open[rng.place(open.len())]),
            Rule::RoundRobin { next } => {
                *next = next.wrapping_add(1);
                Some(open[*next % open.len()])
            }
            Rule::TwoChoices => {
                let two = [open[rng.place(open.len())], open[rng.place(open.len())]];
                least(&two, rng, &|i| f64::from(nodes[i].out))
            }
            Rule::LeastOutstanding => least(&open, rng, &|i| f64::from(nodes[i].out)),
            Rule::WeightedReports => {
                let weight = |i: usize| 1.0 / (1.0 + nodes[i].reported);
                let mut at = rng.unit() * open.iter().map(|&i| weight(i)).sum::<f64>();
                let found = open.iter().copied().find(|&i| {
                    at -= weight(i);
                    at <= 0.0
                });
                found.or(open.last().copied())
            }
            Rule::Prequal(probes) => {
                let truths = self.truths.borrow();
                probes.probe(now, &open, &truths, rng);
                probes.choose(now, &open).or_else(|| Some(open[rng.place(open.len())]))
            }
            Rule::Oracle => {
                let truths = self.truths.borrow();
                least(&open, rng, &|i| match truths.get(i) {
                    Some(t) if t.capacity > 0.0 => (t.held as f64 + 1.0) / t.capacity,
                    _ => f64::INFINITY,
                })
            }
        }
    }

    fn send(&mut self, now: Micros, id: RequestId) -> Option<Decision> {
        let mut asked = self.asked.remove(&id)?;
        let left = asked.expires - now;
        let server = (left > Micros(0)).then(|| self.choose(now, &asked)).flatten();
        let decision = server.map(|at| {
            asked.tried.push((at, true));
            asked.out += 1;
            self.nodes[at].out += 1;
            let timeout = Duration::from_micros(left.0 as u64);
            Decision::Send { request: id, upstream: ServerId(at as u32), timeout }
        });
        self.asked.insert(id, asked);
        decision
    }

    fn end(&mut self, id: RequestId) -> Vec<Decision> {
        let Some(asked) = self.asked.remove(&id) else { return Vec::new() };
        let harmless = !asked.tried.iter().any(|t| t.1);
        match harmless {
            true => vec![Decision::Refuse { request: id, retry_after: None }],
            false => vec![Decision::Fail(id)],
        }
    }
}

impl Probes {
    fn probe(&mut self, now: Micros, open: &[usize], truths: &[Truth], rng: &mut Stream) {
        for _ in 0..PROBES {
            let server = open[rng.place(open.len())];
            let Some(t) = truths.get(server) else { continue };
            self.seen.push_back(t.held);
            if self.seen.len() > SEEN {
                self.seen.pop_front();
            }
            self.pool.push_back(Probe { server, at: now, held: t.held, latency: t.expected(), uses: 0 });
            if self.pool.len() > POOL {
                self.pool.pop_front();
            }
        }
    }

    fn choose(&mut self, now: Micros, open: &[usize]) -> Option<usize> {
        self.pool.retain(|p| {
            now - p.at <= PROBE_AGE && p.uses < PROBE_USES && open.binary_search(&p.server).is_ok()
        });
        let mut seen: Vec<usize> = self.seen.iter().copied().collect();
        seen.sort_unstable();
        let bound = seen.get(((seen.len() as f64 * HOT) as usize).min(seen.len().saturating_sub(1)))?;
        // The coldest latency; where all are hot, the fewest requests.
        let cold = self.pool.iter_mut().filter(|p| p.held <= *bound);
        let best = cold.min_by(|a, b| a.latency.total_cmp(&b.latency));
        let best = match best {
            Some(p) => p,
            None => self.pool.iter_mut().min_by_key(|p| p.held)?,
        };
        best.uses += 1;
        // What was sent there counts, until the next probe.
        best.held += 1;
        Some(best.server)
    }
}

impl Policy for Reference {
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision> {
        self.tokens = (self.tokens + RETRY_RATIO).min(100.0);
        let (class, expires) = (ask.class.0 as usize, ask.expires);
        let asked = Asked { class, expires, tried: Vec::new(), out: 0, first: now };
        self.asked.insert(ask.request, asked);
        match self.send(now, ask.request) {
            Some(send) => vec![send],
            None => self.end(ask.request),
        }
    }

    fn report(&mut self, now: Micros, report: Report) -> Vec<Decision> {
        match report {
            Report::InitialList(list) | Report::List(list) => {
                self.list(&list);
                Vec::new()
            }
            // References go by what they see themselves.
            Report::PeerVerdict(_) => Vec::new(),
            Report::ClientLeft(id) => {
                let Some(asked) = self.asked.get(&id) else { return Vec::new() };
                let attempts = asked.tried.len() as u32;
                let out = asked.out;
                if out == 0 {
                    self.asked.remove(&id);
                }
                let cancel = |attempt| Decision::Cancel { request: id, attempt };
                (0..attempts).filter(|_| out > 0 && self.settings.may_cancel).map(cancel).collect()
            }
            Report::Ended { request, attempt, code, upstream_in_flight: held, answered, .. } => {
                let Some(asked) = self.asked.get_mut(&request) else { return Vec::new() };
                let Some(tried) = asked.tried.get_mut(attempt as usize) else { return Vec::new() };
                tried.1 = !matches!(code, Code::Full | Code::ConnectFailed | Code::Moot);
                let (server, unseen) = (tried.0, !tried.1);
                asked.out = asked.out.saturating_sub(1);
                let node = &mut self.nodes[server];
                node.out = node.out.saturating_sub(1);
                if let Some(held) = held {
                    node.reported = held;
                }
                if answered {
                    if asked.out == 0 {
                        self.asked.remove(&request);
                    }
                    return Vec::new();
                }
                let allowed = match self.settings.classes[asked.class].effect {
                    Effect::Safe => true,
                    Effect::Keyed { window, .. } => now - asked.first < window,
                    Effect::Unsafe => !asked.tried.iter().any(|t| t.1),
                };
                let more = asked.tried.len() < self.settings.max_attempts as usize && asked.out == 0;
                let paid = unseen || self.tokens >= 1.0;
                if allowed && more && paid && code != Code::Cancelled {
                    if !unseen {
                        self.tokens -= 1.0;
                    }
                    if let Some(send) = self.send(now, request) {
                        return vec![send];
                    }
                }
                match self.asked.get(&request).is_some_and(|a| a.out == 0) {
                    true => self.end(request),
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
