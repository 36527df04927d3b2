//! The pools: each with its own instance of the decision module, its own source of nodes and its own terms.

use crate::discovery::Discovery;
use crate::exchange::ModuleInput;
use crate::fleet::Seen;
use crate::plan::PoolPlan;
use crate::source::{whole, Source};
use crate::upstreams::Target;
use crate::{Proxy, Shared};
use garnettally_config::file::{PoolIdentity, PoolNodes};
use garnettally_decisions::facade::{
    Code, Decision, Decisions, ListFreshness, ListedState, Micros, Report, ServerId,
};
use garnettally_model::HostList;
use garnettally_routing::budget::HolderId;
use garnettally_routing::failover::{PoolFailover, Transition};
use garnettally_routing::health;
use slog::{info, Logger};
use std::collections::BTreeMap;
use std::time::{Instant, SystemTime};

/// The number of a pool; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u64);

/// One pool.
pub struct Pool {
    pub id: PoolId,
    pub name: String,
    pub decisions: Decisions,
    pub source: Source,
    /// The pool that has taken its source over, and hears for both.
    pub told_with: Option<PoolId>,
    /// What makes its instance of the module what it is.
    pub basis: Option<PoolIdentity>,
    /// Where its nodes are told, as it is written.
    pub nodes: Option<PoolNodes>,
    pub requests: HolderId,
    pub copies: HolderId,
    pub connections: HolderId,
    pub health: health::NodeHealth,
    pub fitness: PoolFailover,
    /// Requests and attempts that it still has.
    pub open: usize,
    /// Only being listed as draining binds.
    pub drain_binds_alone: bool,
    /// It gets no new request, and goes when it has none left.
    pub leaving: bool,
    /// A node of it was ready once.
    pub ready: bool,
    /// Its nodes are shared by as many instances as the fleet has members: so many it was last told, and which it is.
    pub shared_by_fleet: Option<(u32, u32)>,
    /// Its source has told its nodes; before, requests wait for them.
    pub told: bool,
    /// How far its module takes the wall clock to be ahead of its own.
    wall_ahead: Micros,
    /// What the log was last told of its list.
    logged_standing: Option<ListFreshness>,
    /// Its first call to discovery has had its time, or its list could be used without.
    is_started: bool,
    news: Vec<ModuleInput>,
    first_news: Option<Instant>,
}

impl Pool {
    /// Whether a request could go to one of its nodes, or may wait to hear of them.
    pub fn serves(&self) -> bool {
        !self.leaving && (!self.told || self.health.ready_count() > 0)
    }

    /// Whether it may take requests: a process that starts knows a list of any age, and waits for discovery's answer, but not
    /// for long.
    pub fn is_started(&self, now: Micros) -> bool {
        let is_usable = |standing| matches!(standing, ListFreshness::Watched | ListFreshness::Leased);
        self.is_started
            || self.decisions.list_standing(now).is_none_or(|r| r.is_started || is_usable(r.freshness))
    }

    /// What the fleet's exchange of verdicts sees of it.
    pub fn seen(&self) -> Seen<'_> {
        Seen { id: self.id, name: &self.name, classes: self.decisions.classes(), decisions: &self.decisions }
    }

    /// Tells the module how many share its nodes, where the fleet says so and it has changed.
    pub fn share(&mut self, share: (u32, u32)) -> bool {
        let new = self.shared_by_fleet.is_some_and(|before| before.0 != share.0);
        if new {
            self.shared_by_fleet = Some(share);
            self.decisions.set_instances(share.0, share.1);
        }
        new
    }

    /// Tells the module of a step of the wall clock, by which lists date the starts of nodes.
    fn follow_wall_clock(&mut self, now: Micros, ahead: Micros) {
        // Less is the clocks' own drift, and the time between two readings.
        const STEP_LEAST: i64 = 100_000;
        if (ahead - self.wall_ahead).0.abs() >= STEP_LEAST {
            self.wall_ahead = ahead;
            self.decisions.report(now, Report::WallClock { ahead });
        }
    }

    /// Has the module hear of this at its next turn.
    pub fn queue(&mut self, report: Report, now: Instant) {
        self.add(ModuleInput::Report(report), now);
    }

    pub fn add(&mut self, news: ModuleInput, now: Instant) {
        self.news.push(news);
        self.first_news.get_or_insert(now);
    }

    pub fn take_news(&mut self) -> Vec<ModuleInput> {
        self.first_news = None;
        std::mem::take(&mut self.news)
    }

    pub fn first_news(&self) -> Option<Instant> {
        self.first_news
    }
}

/// Says for how long the pool's list may be used, which whoever reads about a request that went too late needs to know.
fn log_list_terms(log: &Logger, plan: &PoolPlan) {
    let milliseconds = |time: Micros| time.0 / 1000;
    let settings = &plan.site.settings;
    let known = plan.known.as_ref().map_or(0, |list| list.seq);
    info!(log, "terms of the list of upstreams"; "tier" => settings.tier, "instances" => settings.instances,
        "ask_within_ms" => milliseconds(settings.watch_request_within),
        "lease_ms" => settings.list_lease.map(milliseconds),
        "connect_ms" => plan.connect.as_millis(), "known" => known);
}

/// All pools.
#[derive(Default)]
pub struct Pools {
    all: BTreeMap<PoolId, Pool>,
    next: u64,
}

impl Pools {
    pub fn get(&self, id: PoolId) -> Option<&Pool> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: PoolId) -> Option<&mut Pool> {
        self.all.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.all.values()
    }

    pub fn ids(&self) -> Vec<PoolId> {
        self.all.keys().copied().collect()
    }

    /// A pool and those whose source it has taken over.
    pub fn told_by(&mut self, id: PoolId) -> impl Iterator<Item = &mut Pool> {
        self.all.values_mut().filter(move |p| p.id == id || p.told_with == Some(id))
    }

    /// The pool with this watch.
    pub fn watching(&self, number: u64) -> Option<PoolId> {
        let watches = |p: &&Pool| matches!(&p.source, Source::Watch(d) if d.watches(number));
        self.all.values().find(watches).map(|p| p.id)
    }

    /// Has `to` take over the source of `from` with all that it has told; both go on hearing of it.
    pub fn hand_over_source(&mut self, from: PoolId, to: PoolId, now: Instant) {
        let Some(mut taken_over) = self.all.remove(&to) else { return };
        if let Some(before) = self.all.get_mut(&from) {
            taken_over.source = std::mem::replace(&mut before.source, Source::Static);
            taken_over.decisions.take_over_watch(&before.decisions);
        }
        // What the module before has not heard of yet would never reach this one.
        if let Some(standing) = taken_over.source.standing(now) {
            taken_over.queue(standing, now);
        }
        self.all.insert(to, taken_over);
        for p in self.told_by(from) {
            p.told_with = Some(to);
        }
    }

    /// The pool of this name that takes requests.
    pub fn named(&self, name: &str) -> Option<PoolId> {
        self.all.values().find(|p| p.name == name && !p.leaving).map(|p| p.id)
    }
}

impl Proxy {
    /// Starts a pool.
    pub fn add_pool(&mut self, plan: PoolPlan, seed: u64, now: Instant) -> PoolId {
        self.pools.next += 1;
        let id = PoolId(self.pools.next);
        let at = self.net.clock.unix_time(now);
        let (mut source, told) = Source::new(&plan.nodes, now);
        if let (Source::Watch(discovery), Some(known)) = (&mut source, &plan.known) {
            *discovery = Discovery::new(discovery.address(), Some(known));
            log_list_terms(&self.net.log, &plan);
        }
        let requests = self.budgets.requests.join(plan.requests);
        let connections = self.budgets.connections.join(plan.connections);
        let terms = plan.terms(connections);
        self.upstreams.set_terms(id, terms);
        // Pools draw from numbers of their own: what one draws must not depend on what another does.
        let seed = if plan.basis.is_none() {
            seed
        } else {
            seed ^ garnettally_routing::stable_hash(0, plan.name.as_bytes())
        };
        let mut pool = Pool {
            id,
            name: plan.name,
            drain_binds_alone: plan.site.settings.removal_is_advisory,
            decisions: Decisions::new(plan.site, seed, at),
            source,
            told_with: None,
            basis: plan.basis,
            nodes: Some(plan.nodes),
            requests,
            copies: self.budgets.copies.join(plan.requests),
            connections,
            health: health::NodeHealth::default(),
            fitness: PoolFailover::new(plan.failover, at),
            open: 0,
            leaving: false,
            ready: false,
            shared_by_fleet: plan.shared_by_fleet.then_some((1, 0)),
            told: false,
            wall_ahead: Micros(0),
            logged_standing: None,
            is_started: false,
            news: Vec::new(),
            first_news: None,
        };
        // The module asks for a watch when it first hears of anything, if only of an empty list.
        let nothing = || HostList { seq: 0, whole: true, hosts: Vec::new() };
        let known = plan.known.or_else(|| matches!(pool.source, Source::Watch(_)).then(nothing));
        if let Some(known) = known {
            pool.queue(Report::InitialList(known), now);
        }
        if let Some(list) = told {
            pool.queue(Report::List(list), now);
        }
        self.pools.all.insert(id, pool);
        id
    }

    /// Takes over what a new version says of a pool that stays. Its instance of the module goes on.
    pub fn change_pool(&mut self, id: PoolId, plan: PoolPlan, now: Instant) {
        let at = self.net.clock.unix_time(now);
        let Some(pool) = self.pools.get_mut(id) else { return };
        self.budgets.requests.change(pool.requests, plan.requests);
        self.budgets.copies.change(pool.copies, plan.requests);
        self.budgets.connections.change(pool.connections, plan.connections);
        pool.fitness.set_rules(plan.failover.clone(), at);
        pool.shared_by_fleet = plan.shared_by_fleet.then(|| pool.shared_by_fleet.unwrap_or((1, 0)));
        self.upstreams.set_terms(id, plan.terms(pool.connections));
        if pool.nodes.as_ref() == Some(&plan.nodes) {
            return;
        }
        match &plan.nodes {
            // The address alone moves; a watch on the old one ends.
            PoolNodes::Discovery(address) if matches!(pool.source, Source::Watch(_)) => {
                let address = *address;
                pool.nodes = Some(plan.nodes);
                self.follow_discovery(id, address);
            }
            nodes => {
                let (source, told) = Source::new(nodes, now);
                if let Some(PoolNodes::Static(hosts)) = Some(nodes) {
                    pool.queue(Report::List(whole(hosts.clone())), now);
                } else if let Some(list) = told {
                    pool.queue(Report::List(list), now);
                }
                pool.source = source;
                pool.nodes = Some(plan.nodes);
            }
        }
    }

    /// A pool that the newest version does not name: what it has taken ends there, and nothing new comes.
    pub fn leave_pool(&mut self, id: PoolId) {
        if let Some(pool) = self.pools.get_mut(id) {
            pool.leaving = true;
            self.budgets.requests.leave(pool.requests);
            self.budgets.copies.leave(pool.copies);
        }
    }

    /// Ends the pools that have been left and have nothing any more.
    pub fn end_left_pools(&mut self) {
        let done = |p: &&Pool| p.leaving && p.open == 0 && p.news.is_empty();
        let ids: Vec<PoolId> = self.pools.iter().filter(done).map(|p| p.id).collect();
        for id in ids {
            self.end_watch(id);
            self.upstreams.remove_pool(&self.net, id);
            if let Some(pool) = self.pools.all.remove(&id) {
                self.budgets.connections.leave(pool.connections);
                info!(self.net.log, "the pool has ended"; "pool" => pool.name);
            }
        }
    }

    /// One of a pool's requests or attempts is over.
    pub fn pool_let_go(&mut self, id: PoolId) {
        if let Some(pool) = self.pools.get_mut(id) {
            pool.open = pool.open.saturating_sub(1);
        }
    }

    pub fn pool_name(&self, id: PoolId) -> &str {
        self.pools.get(id).map_or("", |p| p.name.as_str())
    }

    pub fn upstream_name(&self, target: Target) -> &str {
        self.pools.get(target.pool).map_or("", |p| p.decisions.upstream_name(target.server))
    }

    /// Tells a pool's module of news; lists also tell where its nodes are reached, and how many are well.
    pub fn tell(&mut self, id: PoolId, now: Micros, report: Report) -> Vec<Decision> {
        let Some(pool) = self.pools.get_mut(id) else { return Vec::new() };
        let (hint, mut found, mut left) = (pool.drain_binds_alone, Vec::new(), Vec::new());
        let mut all = false;
        if let Report::List(list) | Report::InitialList(list) = &report {
            all = list.whole && matches!(report, Report::List(_));
            for (listing, dial) in &list.hosts {
                found.push((listing.name.clone(), *dial, listing.state));
            }
        }
        let listed = !found.is_empty() || all;
        pool.told |= all;
        if !found.is_empty() {
            pool.follow_wall_clock(now, self.net.clock.wall_clock_offset(Instant::now(), SystemTime::now()));
        }
        let decisions = pool.decisions.report(now, report);
        if !listed {
            return decisions;
        }
        // The module has numbered them; nothing it decides is carried out before they have an address.
        let number = |name: &str| pool.decisions.upstream(name);
        let found: Vec<(ServerId, _, ListedState)> =
            found.into_iter().filter_map(|(name, dial, state)| Some((number(&name)?, dial, state))).collect();
        if all {
            let named: rustc_hash::FxHashSet<ServerId> = found.iter().map(|f| f.0).collect();
            let gone = pool.health.retain_listed(|id| named.contains(&id));
            // Where only draining binds, being called gone is a hint that the module may doubt.
            left.extend(gone.iter().filter(|_| !hint).map(|&server| Target { pool: id, server }));
            // On the platform only draining binds: one that is left out may be sent to, and its connections cost.
            for server in gone.into_iter().filter(|_| pool.basis.is_some()) {
                self.upstreams.close_idle(&self.net, Target { pool: id, server });
            }
        }
        for (server, dial, state) in found {
            let target = Target { pool: id, server };
            pool.ready |= state == ListedState::Ready;
            pool.health.set_listed(server, state);
            if let Some(address) = dial {
                self.upstreams.moved(&self.net, target, address);
            }
            if state != ListedState::Ready {
                self.upstreams.close_idle(&self.net, target);
                left.extend((state == ListedState::Draining || !hint).then_some(target));
            }
        }
        for target in left {
            self.withdraw_unbegun_attempts(target);
        }
        decisions
    }

    /// Notes what is known of a pool's list, and writes a line when that has changed. Calls to discovery have pauses, so lines do, too.
    pub fn note_list_standing(&mut self, id: PoolId, now: Micros) {
        let Some(pool) = self.pools.get_mut(id) else { return };
        pool.is_started = pool.is_started(now);
        let Some(report) = pool.decisions.list_standing(now) else { return };
        if pool.logged_standing.replace(report.freshness) == Some(report.freshness) {
            return;
        }
        let state = match report.freshness {
            ListFreshness::Watched => "watched",
            ListFreshness::Leased => "leased",
            ListFreshness::Stale => "stale",
            ListFreshness::Unverified => "unverified",
        };
        let asked_in = report.next_call_at.map_or(0, |at| (at - now).0 / 1000);
        info!(self.net.log, "the list of upstreams"; "state" => state, "ready" => pool.health.ready_count(),
            "asked_in_ms" => asked_in, "pool" => &pool.name);
    }

    /// Notes how an attempt ended, for failover.
    pub fn note_health(&mut self, target: Target, code: Code, now: Instant) {
        let at = self.net.clock.unix_time(now);
        if let Some(pool) = self.pools.get_mut(target.pool) {
            pool.health.attempt_ended(at, target.server, code);
        }
    }

    /// Tells the modules whose nodes the fleet shares how large it is taken to be, and which member this is.
    pub fn share_pools(&mut self, share: (u32, u32)) {
        for pool in self.pools.all.values_mut() {
            if pool.share(share) {
                info!(self.net.log, "the fleet's size"; "pool" => &pool.name, "instances" => share.0, "instance" => share.1);
            }
        }
    }

    /// Looks at the health of every pool, which failover goes by.
    pub fn review_pools(&mut self, now: Instant) {
        let at = self.net.clock.unix_time(now);
        // Before its nodes are told, nothing is known of a pool.
        for pool in self.pools.all.values_mut().filter(|p| p.told) {
            let share = pool.health.healthy_share(at);
            if let Some(change) = pool.fitness.update(at, share) {
                let what = match change {
                    Transition::Left => "the pool is left: too few of its nodes are well",
                    Transition::Returning => "the pool is returned to",
                    Transition::Restored => "the pool has all its requests again",
                };
                info!(self.net.log, "{}", what; "pool" => &pool.name, "healthy" => share);
            }
        }
    }
}

/// What connections and requests may take, in all and by whom.
pub struct Budgets {
    /// Requests in flight, by listener, route and pool.
    pub requests: Shared,
    /// Connections of both sides, by listener and pool.
    pub connections: Shared,
    /// Callers' connections, by listener.
    pub callers: Shared,
    /// Copies in flight, by shadow pool: they take nothing of what requests may have.
    pub copies: Shared,
}
