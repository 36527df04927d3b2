//! Connects the fleet's link to the event loop, the log, `/members` and `/stats`. This file passes values
//! between them and handles no requests.

use crate::duties::{FleetDuties, StoreCompletion};
use crate::export::{Export, MemberCounters};
use crate::pools::PoolId;
use crate::{Net, Proxy};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use garnettally_config::file::Fleet as FleetSettings;
use garnettally_decisions::facade::{Decisions, Micros, ServerId};
use garnettally_link::{Link, LinkError, LinkSettings};
use garnettally_model::PeerVerdict;
use garnettally_peers::{Event, Fact, Identity, MemberState, RejectReason};
use garnettally_verdicts::{
    merge_claims, name_hash, Claim, FleetView, MemberClaim, MergedVerdict, NodeCondition, Subject,
    VerdictExchange,
};
use rustc_hash::FxHashMap;
use serde_json::{json, Value};
use slog::{error, info, warn, Logger};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// How often claims are collected from the modules and merged with other members' claims: a quarter of a
/// module's period.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// How often claims are merged while no new fact has arrived: the present ones only age.
const UNCHANGED_MERGE_INTERVAL: Duration = Duration::from_millis(500);

/// This process as a member of the fleet.
pub struct Fleet {
    /// The connection to the other members.
    link: Link,
    /// The settings at the start; later changes, except of keys, apply from the next start on.
    settings: FleetSettings,
    /// The exchange of verdicts of each pool.
    exchanges: BTreeMap<PoolId, VerdictExchange>,
    /// Names by their hashes, as claims carry only hashes. The first hash of the key is 0 for pools and
    /// classes, and the pool's hash for nodes.
    names: FxHashMap<(u64, u64), String>,
    /// This member's part in the fleet's duties, if the file names any.
    duties: Option<FleetDuties>,
    /// The export duty, if the file names a sink.
    export: Option<Export>,
    /// When verdicts are exchanged next.
    next_exchange_at: Instant,
    /// Whether the exchange that is due has been postponed once already.
    is_postponed: bool,
    /// The version of the facts at the last merge, and when that was.
    last_merge: (u64, Instant),
    /// How many verdicts the modules act on.
    verdicts_in_use: u64,
}

/// One pool, as the exchange of verdicts reads it.
pub struct PoolSnapshot<'a> {
    pub id: PoolId,
    pub name: &'a str,
    pub classes: &'a [String],
    pub decisions: &'a Decisions,
}

/// The settings of the link, from those of the file.
fn link_settings(settings: &FleetSettings) -> LinkSettings {
    let member = garnettally_peers::Settings {
        seeds: settings.seeds.clone(),
        probe_period: settings.probe_period,
        suspicion_timeout: settings.suspicion_timeout,
        forget_after: settings.forget_after,
        ask_every: settings.ask_every,
        ask_peers: settings.ask_peers,
        // An answer that takes longer than a probe may take is considered lost.
        ask_timeout: settings.probe_period,
        max_age: settings.max_age,
        max_facts: settings.max_facts,
        max_members: settings.max_members,
        size_floor: settings.size_floor,
        size_hold: settings.size_hold,
        ..garnettally_peers::Settings::new(&settings.name, &settings.zone, settings.advertise)
    };
    LinkSettings {
        member,
        bind_address: settings.address,
        key_file: settings.key_file.clone(),
        max_send_bytes_per_s: settings.max_send_bytes_per_second,
        max_receive_datagrams_per_s: settings.max_receive_datagrams_per_second,
    }
}

impl Fleet {
    /// Opens the link, joins the fleet, and starts the duties.
    pub fn start(net: &Net, settings: FleetSettings) -> Result<Fleet, String> {
        let link = Link::open(link_settings(&settings)).map_err(|e: LinkError| e.to_string())?;
        let source = Generic::new(link.socket(), Interest::READ, Mode::Level);
        let watched = net.handle.insert_source(source, |_, _, proxy: &mut Proxy| {
            if let Some(fleet) = &mut proxy.fleet {
                fleet.link.on_readable();
            }
            Ok(PostAction::Continue)
        });
        watched.map_err(|e| format!("fleet.address: {}", e.error))?;
        let me = link.own_identity();
        info!(net.log, "this process is a member of the fleet"; "member" => &me.name,
            "zone" => &me.zone, "address" => %me.address,
            "life" => format!("{:016x}", me.boot), "keys" => settings.key_file.is_some());
        let now = Instant::now();
        let duties = settings.duties.clone().map(|plan| FleetDuties::start(net, plan, &link)).transpose()?;
        let export = settings.duties.as_ref().and_then(|d| d.export.clone()).map(|e| Export::new(e, now));
        Ok(Fleet {
            duties,
            export,
            link,
            settings,
            exchanges: BTreeMap::new(),
            names: FxHashMap::default(),
            next_exchange_at: now,
            is_postponed: false,
            last_merge: (0, now),
            verdicts_in_use: 0,
        })
    }

    /// Performs the work that is due, after each round of the event loop.
    pub fn run_due_work(&mut self, net: &mut Net, own: MemberCounters, now: Instant) {
        self.link.run_due_timers();
        for event in self.link.take_events() {
            log_event(net, &event, self.link.alive_count());
        }
        match &mut self.duties {
            Some(duties) => {
                duties.run_due_work(net, &mut self.link);
                if let Some(export) = &mut self.export {
                    export.run_due_work(net, &mut self.link, duties, own, now);
                }
            }
            // Without duties there is no reader for messages.
            None => drop(self.link.take_messages()),
        }
    }

    /// Handles the export's connection when it has become readable or writable.
    pub fn export_ready(&mut self, net: &mut Net, own: MemberCounters, event: (u64, bool)) {
        if let (Some(export), Some(duties)) = (&mut self.export, &self.duties) {
            export.on_socket_ready(net, &self.link, duties, own, event);
        }
    }

    /// Receives a result of the voter's store thread.
    pub(crate) fn store_completed(&mut self, done: StoreCompletion) {
        if let Some(duties) = &mut self.duties {
            duties.store_completed(done);
        }
    }

    /// Reports whether this process is being drained or shut down, so that its duties go to other members.
    pub fn set_draining(&mut self, is_draining: bool) {
        if let Some(duties) = &mut self.duties {
            duties.set_draining(is_draining);
        }
    }

    /// The body of `GET /duties`; `None` if the file names no duties.
    pub fn duties_json(&self) -> Option<Value> {
        self.duties.as_ref().map(|d| d.to_json(&self.link))
    }

    /// Requests that a duty move to this member, or with `None` to any other member. Returns `None` if the
    /// file names no duties.
    pub fn request_move(&mut self, duty: &str, member: Option<&str>) -> Option<Result<(), String>> {
        self.duties.as_mut().map(|d| d.request_move(&self.link, duty, member))
    }

    /// When the next work is due.
    pub fn next_wake(&self) -> Instant {
        let wake = self.link.next_wake().min(self.next_exchange_at);
        let wake = self.export.as_ref().map_or(wake, |e| e.next_wake().min(wake));
        self.duties.as_ref().map_or(wake, |d| d.next_wake().min(wake))
    }

    /// Whether [`Fleet::exchange_verdicts`] is due.
    pub fn is_exchange_due(&self, now: Instant) -> bool {
        self.next_exchange_at <= now
    }

    /// Postpones the exchange that is due to this time, but not twice in a row. Returns whether it did.
    pub fn postpone_exchange(&mut self, until: Instant) -> bool {
        let postpones = !self.is_postponed;
        if postpones {
            (self.next_exchange_at, self.is_postponed) = (until, true);
        }
        postpones
    }

    /// Publishes the observations of these pools' modules, and returns the verdicts that changed for each of
    /// them. `at` is the modules' time.
    pub fn exchange_verdicts(
        &mut self,
        log: &Logger,
        now: Instant,
        at: Micros,
        pools: &[PoolSnapshot<'_>],
    ) -> Vec<(PoolId, PeerVerdict)> {
        (self.next_exchange_at, self.is_postponed) = (now + EXCHANGE_INTERVAL, false);
        self.exchanges.retain(|id, _| pools.iter().any(|p| p.id == *id));
        let max_age = Micros(self.settings.max_age.as_micros() as i64);
        for pool in pools {
            let exchange = self
                .exchanges
                .entry(pool.id)
                .or_insert_with(|| VerdictExchange::new(pool.name, pool.classes));
            let name = |id: ServerId| pool.decisions.upstream_name(id);
            for n in exchange.known_node_count()..pool.decisions.upstream_count() {
                let name = name(ServerId(n as u32));
                self.names.insert((exchange.pool_hash(), name_hash(name)), name.to_string());
            }
            exchange.register_nodes(pool.decisions.upstream_count(), &name);
            self.names.entry((0, exchange.pool_hash())).or_insert_with(|| pool.name.to_string());
            for class in pool.classes {
                self.names.entry((0, name_hash(class))).or_insert_with(|| class.to_string());
            }
            let observations = pool.decisions.local_observations(at);
            for (key, value, age) in exchange.collect_claims(at, &observations, max_age, name) {
                self.link.publish(&key, &value, Duration::from_micros(age.0.max(0) as u64));
            }
        }
        let version = self.link.facts_version();
        if version == self.last_merge.0 && now < self.last_merge.1 + UNCHANGED_MERGE_INTERVAL {
            return Vec::new();
        }
        self.last_merge = (version, now);
        let claims: Vec<MemberClaim> = self.link.facts().filter_map(|f| read_claim(&f)).collect();
        let merged = self.merge_member_claims(&claims, pools);
        let mut verdicts = Vec::new();
        for pool in pools {
            if let Some(exchange) = self.exchanges.get_mut(&pool.id) {
                let changed =
                    exchange.update_verdicts(at, &merged, |id| pool.decisions.upstream_started_at(id));
                for verdict in &changed {
                    self.log_verdict(log, pool, verdict, &claims);
                }
                verdicts.extend(changed.into_iter().map(|v| (pool.id, v)));
            }
        }
        // This counts what modules here act on: verdicts on their own pools, and on nodes since their last
        // start.
        self.verdicts_in_use = self.exchanges.values().map(|e| e.active_verdicts().count() as u64).sum();
        verdicts
    }

    /// The estimated size of the fleet, and this member's index in it, from 0: its position in the order of
    /// addresses, scaled to the size, as missing members may come back.
    pub fn size_and_index(&self) -> (u32, u32) {
        let (size, me) = (self.link.fleet_size(), self.link.own_identity().address);
        let live = self.link.other_members().filter(|(_, s)| *s != MemberState::Down);
        let (mut members_before, mut live_members) = (0, 1);
        for (id, _) in live {
            live_members += 1;
            members_before += u64::from(id.address < me);
        }
        (size, (members_before * u64::from(size) / live_members) as u32)
    }

    /// Logs a verdict that this process acts on from now on, with each member's claim about the node and its
    /// age.
    fn log_verdict(
        &self,
        log: &Logger,
        pool: &PoolSnapshot<'_>,
        verdict: &PeerVerdict,
        claims: &[MemberClaim],
    ) {
        let name = pool.decisions.upstream_name(verdict.server);
        let (pool_hash, node_hash) = (name_hash(pool.name), name_hash(name));
        let members = self.member_names();
        let claim_texts: Vec<String> = claims
            .iter()
            .filter(|s| s.subject.pool == pool_hash && s.subject.node == node_hash)
            .map(|s| {
                let member = members.get(&s.member).copied().unwrap_or("an unknown member");
                let of_class = if s.subject.class == 0 { "" } else { " for a class" };
                format!("{member}: {}{of_class} {} ms ago", condition_name(s.claim.condition), s.age.0 / 1000)
            })
            .collect();
        let class = verdict.class.and_then(|c| pool.classes.get(c.0 as usize)).map_or("", String::as_str);
        info!(log, "the verdict on a node has changed"; "pool" => pool.name, "node" => name,
            "class" => class, "bad" => verdict.severity,
            "tries" => verdict.probes_here, "said" => claim_texts.join(", "));
    }

    /// The names of members by the ids of their processes.
    fn member_names(&self) -> FxHashMap<u64, &str> {
        let me = self.link.own_identity();
        let others = self.link.other_members().map(|(id, _)| (id.boot, id.name.as_str()));
        others.chain([(me.boot, me.name.as_str())]).collect()
    }

    /// Merges the claims of all members into verdicts on the nodes of these pools.
    fn merge_member_claims(&self, claims: &[MemberClaim], pools: &[PoolSnapshot<'_>]) -> Vec<MergedVerdict> {
        let me = self.link.own_identity();
        let members: FxHashMap<u64, (bool, bool)> = self
            .link
            .other_members()
            .map(|(id, state)| (id.boot, (id.zone == me.zone, state != MemberState::Down)))
            .collect();
        let nodes: FxHashMap<u64, usize> =
            pools.iter().map(|p| (name_hash(p.name), p.decisions.ready_count())).collect();
        let view = FleetView {
            own_life: me.boot,
            same_zone: &|member| members.get(&member).map(|m| m.0),
            is_alive: &|member| members.get(&member).is_some_and(|m| m.1),
            alive_members: self.link.alive_count() as usize,
            pool_size: &|pool| nodes.get(&pool).copied().unwrap_or(0),
        };
        merge_claims(claims, &view)
    }

    /// The claims about nodes that are current, each with the member that made it and its age.
    fn claims_json(&self) -> Vec<Value> {
        let members = self.member_names();
        let name =
            |scope: u64, hash: u64| self.names.get(&(scope, hash)).cloned().unwrap_or(format!("{hash:016x}"));
        let claims = self.link.facts().filter_map(|f| read_claim(&f));
        let rows = claims.map(|s| {
            let Subject { pool, node, class, .. } = s.subject;
            let what = condition_name(s.claim.condition);
            json!({
                "pool": name(0, pool), "node": name(pool, node),
                "class": (class != 0).then(|| name(0, class)),
                "what": what, "bad": (s.claim.severity * 100.0).round() / 100.0, "age_ms": s.age.0 / 1000,
                "by": members.get(&s.member).map_or_else(|| format!("{:016x}", s.member), |m| m.to_string()),
            })
        });
        rows.collect()
    }

    /// Leaves the fleet when the process ends, so that peers need not detect that by probes.
    pub fn leave(&mut self) {
        self.link.leave();
    }

    /// Applies a new version of the file: keys change at once, all other settings at the next start.
    pub fn reload(&mut self, net: &Net, new: Option<&FleetSettings>) {
        if new != Some(&self.settings) {
            warn!(
                net.log,
                "[fleet] has changed in the configuration; but for keys, that applies from the next start on"
            );
        }
        match self.link.reload_keys() {
            Ok(()) => {}
            Err(e) => error!(net.log, "the fleet's keys before stay in force"; "error" => %e),
        }
    }

    /// The body of `GET /members`.
    pub fn members_json(&self) -> Value {
        let me = self.link.own_identity();
        let mut members: Vec<(&Identity, &str)> = vec![(me, "self")];
        members.extend(self.link.other_members().map(|(id, state)| (id, state_name(state))));
        members.sort_by(|a, b| a.0.name.cmp(&b.0.name).then(a.0.address.cmp(&b.0.address)));
        let rows: Vec<Value> = members
            .into_iter()
            .map(|(id, state)| {
                json!({
                    "name": id.name, "zone": id.zone, "address": id.address.to_string(), "state": state,
                    "life": format!("{:016x}", id.boot), "generation": id.generation,
                })
            })
            .collect();
        let counts = self.link.counters();
        let dropped: serde_json::Map<String, Value> = RejectReason::ALL
            .iter()
            .map(|why| (format!("{why:?}").to_lowercase(), counts.dropped[why.index()].into()))
            .collect();
        json!({
            "member": me.name, "alive": self.link.alive_count(), "size": self.link.fleet_size(),
            "away": counts.rejoins,
            "stalls": counts.stalls, "facts": self.link.fact_count(),
            "max_age_ms": self.settings.max_age.as_millis() as u64, "members": rows,
            "dropped": dropped, "verdicts": self.claims_json(), "acted_on": self.verdicts_in_use,
        })
    }

    /// Appends the fleet's lines of `/stats`.
    pub fn write_stats(&self, out: &mut String) {
        if let Some(duties) = &self.duties {
            duties.write_stats(out);
        }
        if let Some(export) = &self.export {
            export.write_stats(out);
        }
        let (counts, dropped) = (self.link.counters(), self.link.dropped());
        for (what, n) in [
            ("members_alive", u64::from(self.link.alive_count())),
            ("size", u64::from(self.link.fleet_size())),
            ("facts", self.link.fact_count() as u64),
            ("verdicts_acted_on", self.verdicts_in_use),
        ] {
            let _ = writeln!(out, "edge_gw.fleet.{what}:{n}|g");
        }
        for (what, n) in [
            ("away", u64::from(counts.rejoins)),
            ("stalls", u64::from(counts.stalls)),
            ("taken", counts.accepted),
            ("sent", counts.sent),
            ("sent_bytes", counts.sent_bytes),
            ("facts_over", counts.facts_rejected),
            ("dropped.rate", dropped.over_receive_rate),
            ("dropped.unsent", dropped.over_send_rate),
            ("dropped.failed", dropped.send_failed),
        ] {
            let _ = writeln!(out, "edge_gw.fleet.{what}:{n}|c");
        }
        for why in RejectReason::ALL {
            let what = format!("{why:?}").to_lowercase();
            let _ = writeln!(out, "edge_gw.fleet.dropped.{what}:{}|c", counts.dropped[why.index()]);
        }
    }
}

/// Reads a claim from a fact; `None` if the fact is not a claim.
fn read_claim(fact: &Fact<'_>) -> Option<MemberClaim> {
    let (subject, claim) = (Subject::from_key(fact.key)?, Claim::from_value(fact.value)?);
    Some(MemberClaim { member: fact.origin, subject, claim, age: fact.age })
}

/// The name of a condition in `/members` and in the log.
fn condition_name(condition: NodeCondition) -> &'static str {
    match condition {
        NodeCondition::Sick => "sick",
        NodeCondition::Unreachable => "unreachable",
        NodeCondition::Well => "well",
        NodeCondition::Silent => "silent",
    }
}

/// The name of a member's state in `/members`.
fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Down => "down",
    }
}

/// Logs a change of the membership.
fn log_event(net: &Net, event: &Event, alive: u32) {
    let log = &net.log;
    match event {
        Event::MemberUp(m) => {
            info!(log, "a member is there"; "member" => &m.name, "address" => %m.address, "alive" => alive)
        }
        Event::MemberDown(m) => {
            warn!(log, "a member is down"; "member" => &m.name, "address" => %m.address, "alive" => alive)
        }
        Event::MemberRenewed(_, m) => {
            info!(log, "a member has a new life"; "member" => &m.name, "address" => %m.address,
                "generation" => m.generation)
        }
        Event::Rejoined(_) => warn!(log, "was taken to be dead, and has joined anew"),
        Event::DuplicateName(a, b) => error!(log, "two members have one name: give each its own";
            "member" => &a.name, "address" => %a.address, "other" => %b.address),
    }
}
