//! The pools, each with its own instance of the decision module, its own source of nodes and its own
//! settings.

use crate::discovery::Discovery;
use crate::exchange::ModuleInput;
use crate::fleet::PoolSnapshot;
use crate::plan::PoolPlan;
use crate::source::{whole_list, Source};
use crate::upstreams::Target;
use crate::{Proxy, SharedBudget};
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

/// A pool in use.
pub struct Pool {
    pub id: PoolId,
    pub name: String,
    /// The pool's instance of the decision module.
    pub decisions: Decisions,
    /// Where the pool's list of nodes comes from.
    pub source: Source,
    /// The pool that has taken over this pool's source, and queues its reports for both.
    pub source_moved_to: Option<PoolId>,
    /// The settings that the pool's instance of the module was created with; a change of them needs a new
    /// instance. `None` on the platform.
    pub identity: Option<PoolIdentity>,
    /// The setting that names the source of the pool's nodes.
    pub nodes: Option<PoolNodes>,
    /// The pool's share of the requests in flight.
    pub requests: HolderId,
    /// The pool's share of the mirrored requests in flight.
    pub copies: HolderId,
    /// The pool's share of the connections.
    pub connections: HolderId,
    /// The health of the pool's nodes, on which failover is based.
    pub health: health::NodeHealth,
    /// Whether failover uses the pool, and for how large a part of its requests.
    pub failover: PoolFailover,
    /// How many requests of the pool have not ended yet, or still have attempts in flight.
    pub unfinished_requests: usize,
    /// Whether a removal from the list is only a hint: then only a listing as draining obliges this process
    /// to stop sending.
    pub removal_is_advisory: bool,
    /// Whether the pool gets no new requests, and is removed when its last one has ended.
    pub is_retired: bool,
    /// Whether a node has been listed as ready at least once.
    pub was_ready: bool,
    /// Where as many instances as the fleet has members share the pool's nodes: their number and this
    /// instance's index from 0, as last reported to the module.
    pub shared_by_fleet: Option<(u32, u32)>,
    /// Whether the source has delivered a whole list; requests that arrive earlier wait for it.
    pub has_list: bool,
    /// How far the wall clock was ahead of the process's own clock when the module was last notified.
    wall_clock_ahead: Micros,
    /// The freshness of the list in the last log line about it.
    logged_freshness: Option<ListFreshness>,
    /// Whether the first call to discovery has been given its time, or the list was usable without it.
    is_started: bool,
    /// Input for the module's next turn, in the order of arrival.
    queued: Vec<ModuleInput>,
    /// When the first queued input arrived; `None` with an empty queue.
    first_queued_at: Option<Instant>,
}

impl Pool {
    /// Whether a request could be sent to one of the pool's nodes, or may wait for the pool's first list.
    pub fn can_serve(&self) -> bool {
        !self.is_retired && (!self.has_list || self.health.ready_count() > 0)
    }

    /// Whether the pool may accept requests. A process that starts has a list of unknown age, and waits for
    /// discovery's answer for a limited time.
    pub fn is_started(&self, now: Micros) -> bool {
        let is_usable = |freshness| matches!(freshness, ListFreshness::Watched | ListFreshness::Leased);
        self.is_started
            || self.decisions.list_report(now).is_none_or(|r| r.is_started || is_usable(r.freshness))
    }

    /// The pool as the fleet's exchange of verdicts reads it.
    pub fn snapshot(&self) -> PoolSnapshot<'_> {
        PoolSnapshot {
            id: self.id,
            name: &self.name,
            classes: self.decisions.classes(),
            decisions: &self.decisions,
        }
    }

    /// Reports to the module how many instances share the pool's nodes, if the pool's settings leave that to
    /// the fleet and the number has changed. Returns whether it has changed.
    pub fn set_fleet_share(&mut self, share: (u32, u32)) -> bool {
        let has_changed = self.shared_by_fleet.is_some_and(|before| before.0 != share.0);
        if has_changed {
            self.shared_by_fleet = Some(share);
            self.decisions.set_instances(share.0, share.1);
        }
        has_changed
    }

    /// Reports a step of the wall clock to the module, as lists date the starts of nodes by that clock.
    fn follow_wall_clock(&mut self, now: Micros, ahead: Micros) {
        // A smaller difference comes from the drift of the clocks and the time between two readings.
        const MIN_STEP_US: i64 = 100_000;
        if (ahead - self.wall_clock_ahead).0.abs() >= MIN_STEP_US {
            self.wall_clock_ahead = ahead;
            self.decisions.report(now, Report::WallClock { ahead });
        }
    }

    /// Queues a report for the module's next turn.
    pub fn queue_report(&mut self, report: Report, now: Instant) {
        self.queue_input(ModuleInput::Report(report), now);
    }

    /// Queues an input for the module's next turn.
    pub fn queue_input(&mut self, input: ModuleInput, now: Instant) {
        self.queued.push(input);
        self.first_queued_at.get_or_insert(now);
    }

    /// Empties the queue, and returns what was in it.
    pub fn take_queued(&mut self) -> Vec<ModuleInput> {
        self.first_queued_at = None;
        std::mem::take(&mut self.queued)
    }

    /// When the first queued input arrived; `None` with an empty queue.
    pub fn first_queued_at(&self) -> Option<Instant> {
        self.first_queued_at
    }
}

/// Logs for how long the pool's list may be used, which explains requests that were sent according to an
/// outdated list.
fn log_list_limits(log: &Logger, plan: &PoolPlan) {
    let milliseconds = |time: Micros| time.0 / 1000;
    let settings = &plan.site.settings;
    let known_version = plan.known_list.as_ref().map_or(0, |list| list.seq);
    info!(log, "terms of the list of upstreams"; "tier" => settings.tier, "instances" => settings.instances,
        "ask_within_ms" => milliseconds(settings.watch_request_within),
        "lease_ms" => settings.list_lease.map(milliseconds),
        "connect_ms" => plan.connect_timeout.as_millis(), "known" => known_version);
}

/// All pools in use, by number.
#[derive(Default)]
pub struct Pools {
    all: BTreeMap<PoolId, Pool>,
    last_id: u64,
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

    /// A pool and all pools whose source it has taken over.
    pub fn sharing_source(&mut self, id: PoolId) -> impl Iterator<Item = &mut Pool> {
        self.all.values_mut().filter(move |p| p.id == id || p.source_moved_to == Some(id))
    }

    /// The pool whose source has the watch with this number.
    pub fn pool_with_watch(&self, number: u64) -> Option<PoolId> {
        let has_watch = |p: &&Pool| matches!(&p.source, Source::Watch(d) if d.has_watch(number));
        self.all.values().find(has_watch).map(|p| p.id)
    }

    /// Moves the source of `from` and the state of its watch to `to`; both pools go on receiving its reports.
    pub fn hand_over_source(&mut self, from: PoolId, to: PoolId, now: Instant) {
        let Some(mut taken_over) = self.all.remove(&to) else { return };
        if let Some(before) = self.all.get_mut(&from) {
            taken_over.source = std::mem::replace(&mut before.source, Source::Static);
            taken_over.decisions.take_over_watch(&before.decisions);
        }
        // A report that the previous module has not received yet would never reach this one.
        if let Some(report) = taken_over.source.watch_report(now) {
            taken_over.queue_report(report, now);
        }
        self.all.insert(to, taken_over);
        for p in self.sharing_source(from) {
            p.source_moved_to = Some(to);
        }
    }

    /// The pool of this name that accepts requests.
    pub fn active_pool(&self, name: &str) -> Option<PoolId> {
        self.all.values().find(|p| p.name == name && !p.is_retired).map(|p| p.id)
    }
}

impl Proxy {
    /// Adds a pool, with a new instance of the decision module.
    pub fn add_pool(&mut self, plan: PoolPlan, seed: u64, now: Instant) -> PoolId {
        self.pools.last_id += 1;
        let id = PoolId(self.pools.last_id);
        let at = self.net.clock.unix_time(now);
        let (mut source, initial_list) = Source::new(&plan.nodes, now);
        if let (Source::Watch(discovery), Some(known)) = (&mut source, &plan.known_list) {
            *discovery = Discovery::new(discovery.address(), Some(known));
            log_list_limits(&self.net.log, &plan);
        }
        let requests = self.budgets.requests.add_holder(plan.requests);
        let connections = self.budgets.connections.add_holder(plan.connections);
        let connection_settings = plan.connection_settings(connections);
        self.upstreams.set_connection_settings(id, connection_settings);
        // Each pool has its own random sequence: the draws of one must not depend on those of another.
        let seed = if plan.identity.is_none() {
            seed
        } else {
            seed ^ garnettally_routing::stable_hash(0, plan.name.as_bytes())
        };
        let mut pool = Pool {
            id,
            name: plan.name,
            removal_is_advisory: plan.site.settings.removal_is_advisory,
            decisions: Decisions::new(plan.site, seed, at),
            source,
            source_moved_to: None,
            identity: plan.identity,
            nodes: Some(plan.nodes),
            requests,
            copies: self.budgets.copies.add_holder(plan.requests),
            connections,
            health: health::NodeHealth::default(),
            failover: PoolFailover::new(plan.failover, at),
            unfinished_requests: 0,
            is_retired: false,
            was_ready: false,
            shared_by_fleet: plan.shared_by_fleet.then_some((1, 0)),
            has_list: false,
            wall_clock_ahead: Micros(0),
            logged_freshness: None,
            is_started: false,
            queued: Vec::new(),
            first_queued_at: None,
        };
        // The module requests a watch once it has received a report, even one of an empty list.
        let empty_list = || HostList { seq: 0, whole: true, hosts: Vec::new() };
        let first_list = plan.known_list.or_else(|| matches!(pool.source, Source::Watch(_)).then(empty_list));
        if let Some(list) = first_list {
            pool.queue_report(Report::InitialList(list), now);
        }
        if let Some(list) = initial_list {
            pool.queue_report(Report::List(list), now);
        }
        self.pools.all.insert(id, pool);
        id
    }

    /// Applies a new version's settings to a pool that stays. Its instance of the module goes on.
    pub fn update_pool(&mut self, id: PoolId, plan: PoolPlan, now: Instant) {
        let at = self.net.clock.unix_time(now);
        let Some(pool) = self.pools.get_mut(id) else { return };
        self.budgets.requests.set_share(pool.requests, plan.requests);
        self.budgets.copies.set_share(pool.copies, plan.requests);
        self.budgets.connections.set_share(pool.connections, plan.connections);
        pool.failover.set_rules(plan.failover.clone(), at);
        pool.shared_by_fleet = plan.shared_by_fleet.then(|| pool.shared_by_fleet.unwrap_or((1, 0)));
        self.upstreams.set_connection_settings(id, plan.connection_settings(pool.connections));
        if pool.nodes.as_ref() == Some(&plan.nodes) {
            return;
        }
        match &plan.nodes {
            // Only the address changes; a watch on the old one ends.
            PoolNodes::Discovery(address) if matches!(pool.source, Source::Watch(_)) => {
                let address = *address;
                pool.nodes = Some(plan.nodes);
                self.change_discovery_address(id, address);
            }
            nodes => {
                let (source, initial_list) = Source::new(nodes, now);
                if let Some(PoolNodes::Static(hosts)) = Some(nodes) {
                    pool.queue_report(Report::List(whole_list(hosts.clone())), now);
                } else if let Some(list) = initial_list {
                    pool.queue_report(Report::List(list), now);
                }
                pool.source = source;
                pool.nodes = Some(plan.nodes);
            }
        }
    }

    /// Retires a pool that the newest version does not name: its requests end there, and it gets no new ones.
    pub fn retire_pool(&mut self, id: PoolId) {
        if let Some(pool) = self.pools.get_mut(id) {
            pool.is_retired = true;
            self.budgets.requests.remove_holder(pool.requests);
            self.budgets.copies.remove_holder(pool.copies);
        }
    }

    /// Removes the retired pools whose last request has ended.
    pub fn remove_retired_pools(&mut self) {
        let is_done = |p: &&Pool| p.is_retired && p.unfinished_requests == 0 && p.queued.is_empty();
        let ids: Vec<PoolId> = self.pools.iter().filter(is_done).map(|p| p.id).collect();
        for id in ids {
            self.close_watch(id);
            self.upstreams.remove_pool(&self.net, id);
            self.pins.forget_pool(id);
            if let Some(pool) = self.pools.all.remove(&id) {
                self.budgets.connections.remove_holder(pool.connections);
                info!(self.net.log, "the pool has ended"; "pool" => pool.name);
            }
        }
    }

    /// Records that a request of a pool has ended with all its attempts, or has moved to another pool.
    pub fn pool_request_finished(&mut self, id: PoolId) {
        if let Some(pool) = self.pools.get_mut(id) {
            pool.unfinished_requests = pool.unfinished_requests.saturating_sub(1);
        }
    }

    /// The name of a pool; empty if it has been removed.
    pub fn pool_name(&self, id: PoolId) -> &str {
        self.pools.get(id).map_or("", |p| p.name.as_str())
    }

    /// The name of an upstream; empty if its pool has been removed.
    pub fn upstream_name(&self, target: Target) -> &str {
        self.pools.get(target.pool).map_or("", |p| p.decisions.upstream_name(target.server))
    }

    /// Passes a report to a pool's module, and returns the module's decisions. From a list it also updates
    /// the addresses and the listed states of the nodes.
    pub fn apply_report(&mut self, id: PoolId, now: Micros, report: Report) -> Vec<Decision> {
        let Some(pool) = self.pools.get_mut(id) else { return Vec::new() };
        let (removal_is_advisory, mut found, mut departed) =
            (pool.removal_is_advisory, Vec::new(), Vec::new());
        let mut is_whole_list = false;
        if let Report::List(list) | Report::InitialList(list) = &report {
            is_whole_list = list.whole && matches!(report, Report::List(_));
            for (listing, dial) in &list.hosts {
                found.push((listing.name.clone(), *dial, listing.state));
            }
        }
        let listed = !found.is_empty() || is_whole_list;
        pool.has_list |= is_whole_list;
        if !found.is_empty() {
            pool.follow_wall_clock(now, self.net.clock.wall_clock_offset(Instant::now(), SystemTime::now()));
        }
        let decisions = pool.decisions.report(now, report);
        if !listed {
            return decisions;
        }
        // The module has assigned the server ids; none of its decisions is carried out before the servers
        // have an address here.
        let server_id = |name: &str| pool.decisions.upstream(name);
        let found: Vec<(ServerId, _, ListedState)> = found
            .into_iter()
            .filter_map(|(name, dial, state)| Some((server_id(&name)?, dial, state)))
            .collect();
        if is_whole_list {
            let named: rustc_hash::FxHashSet<ServerId> = found.iter().map(|f| f.0).collect();
            let removed = pool.health.retain_listed(|id| named.contains(&id));
            // Where only a listing as draining is binding, removal from the list is a hint that the module
            // may doubt.
            departed.extend(
                removed.iter().filter(|_| !removal_is_advisory).map(|&server| Target { pool: id, server }),
            );
            // On the platform only a listing as draining is binding: a server that the list leaves out may
            // still get requests, and new connections are costly, so its idle ones stay open.
            for server in removed.into_iter().filter(|_| pool.identity.is_some()) {
                self.upstreams.close_idle(&self.net, Target { pool: id, server });
            }
        }
        for (server, dial, state) in found {
            let target = Target { pool: id, server };
            pool.was_ready |= state == ListedState::Ready;
            pool.health.set_listed(server, state);
            if let Some(address) = dial {
                self.upstreams.set_address(&self.net, target, address);
            }
            if state != ListedState::Ready {
                self.upstreams.close_idle(&self.net, target);
                departed.extend((state == ListedState::Draining || !removal_is_advisory).then_some(target));
            }
        }
        for target in departed {
            self.withdraw_unbegun_attempts(target);
        }
        decisions
    }

    /// Updates whether the pool has started, and logs the freshness of its list when that has changed. The
    /// rate of these lines is limited, as calls to discovery have pauses between them.
    pub fn log_list_freshness(&mut self, id: PoolId, now: Micros) {
        let Some(pool) = self.pools.get_mut(id) else { return };
        pool.is_started = pool.is_started(now);
        let Some(report) = pool.decisions.list_report(now) else { return };
        if pool.logged_freshness.replace(report.freshness) == Some(report.freshness) {
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

    /// Records the result of an attempt for the health on which failover is based.
    pub fn record_attempt_result(&mut self, target: Target, code: Code, now: Instant) {
        let at = self.net.clock.unix_time(now);
        if let Some(pool) = self.pools.get_mut(target.pool) {
            pool.health.attempt_ended(at, target.server, code);
        }
    }

    /// Reports the fleet's size and this member's index to the modules of pools whose nodes the fleet shares.
    pub fn report_fleet_share(&mut self, share: (u32, u32)) {
        for pool in self.pools.all.values_mut() {
            if pool.set_fleet_share(share) {
                info!(self.net.log, "the fleet's size"; "pool" => &pool.name,
                    "instances" => share.0, "instance" => share.1);
            }
        }
    }

    /// Updates the failover state of every pool from the health of its nodes.
    pub fn update_failover(&mut self, now: Instant) {
        let at = self.net.clock.unix_time(now);
        // Nothing is known of a pool before its first whole list.
        for pool in self.pools.all.values_mut().filter(|p| p.has_list) {
            let share = pool.health.healthy_share(at);
            if let Some(change) = pool.failover.update(at, share) {
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

/// The limits on connections and requests, with the shares of each holder.
pub struct Budgets {
    /// Requests in flight, by listener, route and pool.
    pub requests: SharedBudget,
    /// Connections of both sides, by listener and pool.
    pub connections: SharedBudget,
    /// Connections of callers, by listener.
    pub callers: SharedBudget,
    /// Mirrored requests in flight, by the pool that they go to: they take nothing from the limit on
    /// requests.
    pub copies: SharedBudget,
}
