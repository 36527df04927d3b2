//! The fleet's wiring: the link on the event loop, what it tells in the log, in `/members` and in `/stats`. It hands
//! values over and knows nothing of requests.

use crate::duties::{FleetDuties, Stored};
use crate::export::{Export, Figures};
use crate::pools::PoolId;
use crate::{Net, Proxy};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use garnettally_config::file::Fleet as Settings;
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

/// Between two looks at what modules have found and what members say: a quarter of a module's period.
const LOOK: Duration = Duration::from_millis(50);
/// The same for what members say, while nothing is new: it only grows old.
const LOOK_ANYWAY: Duration = Duration::from_millis(500);

/// This process as a member of the fleet.
pub struct Fleet {
    link: Link,
    /// As it was started: what else a reload says holds from the next start on.
    settings: Settings,
    /// One for each pool.
    exchanges: BTreeMap<PoolId, VerdictExchange>,
    /// Names by their hashes: of pools and classes, and of nodes, by pool.
    names: FxHashMap<(u64, u64), String>,
    duties: Option<FleetDuties>,
    export: Option<Export>,
    look_at: Instant,
    /// The look that is due was put off already.
    is_postponed: bool,
    /// Up to which fact, and when, what members say was last merged.
    merged: (u64, Instant),
    /// Verdicts that modules go by.
    acted_on: u64,
}

/// One pool, as the exchange of verdicts sees it.
pub struct Seen<'a> {
    pub id: PoolId,
    pub name: &'a str,
    pub classes: &'a [String],
    pub decisions: &'a Decisions,
}

fn link_settings(s: &Settings) -> LinkSettings {
    let member = garnettally_peers::Settings {
        seeds: s.seeds.clone(),
        probe_period: s.probe_period,
        suspicion_timeout: s.suspicion_timeout,
        forget_after: s.forget_after,
        ask_every: s.ask_every,
        ask_peers: s.ask_peers,
        // An answer that was under way for longer than a probe may be is as good as lost.
        ask_timeout: s.probe_period,
        max_age: s.max_age,
        max_facts: s.max_facts,
        max_members: s.max_members,
        size_floor: s.size_floor,
        size_hold: s.size_hold,
        ..garnettally_peers::Settings::new(&s.name, &s.zone, s.advertise)
    };
    LinkSettings {
        member,
        bind_address: s.address,
        key_file: s.key_file.clone(),
        max_send_bytes_per_s: s.max_send_bytes_per_second,
        max_receive_datagrams_per_s: s.max_receive_datagrams_per_second,
    }
}

impl Fleet {
    /// Joins the fleet.
    pub fn start(net: &Net, settings: Settings) -> Result<Fleet, String> {
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
        info!(net.log, "a member of the fleet"; "member" => &me.name, "zone" => &me.zone, "address" => %me.address,
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
            look_at: now,
            is_postponed: false,
            merged: (0, now),
            acted_on: 0,
        })
    }

    /// What is due, after each round of the event loop.
    pub fn turn(&mut self, net: &mut Net, own: Figures, now: Instant) {
        self.link.run_due_timers();
        for event in self.link.take_events() {
            tell(net, &event, self.link.alive_count());
        }
        match &mut self.duties {
            Some(duties) => {
                duties.turn(net, &mut self.link);
                if let Some(export) = &mut self.export {
                    export.turn(net, &mut self.link, duties, own, now);
                }
            }
            // Nobody reads them here.
            None => drop(self.link.take_messages()),
        }
    }

    /// The export's connection has become readable or writable.
    pub fn export_ready(&mut self, net: &mut Net, own: Figures, event: (u64, bool)) {
        if let (Some(export), Some(duties)) = (&mut self.export, &self.duties) {
            export.ready(net, &self.link, duties, own, event);
        }
    }

    /// A voter's thread has answered.
    pub(crate) fn stored(&mut self, done: Stored) {
        if let Some(duties) = &mut self.duties {
            duties.stored(done);
        }
    }

    /// This process is drained or ends, or takes part again.
    pub fn drain(&mut self, drained: bool) {
        if let Some(duties) = &mut self.duties {
            duties.drain(drained);
        }
    }

    /// `GET /duties`; `None`: the file names none.
    pub fn duties(&self) -> Option<Value> {
        self.duties.as_ref().map(|d| d.json(&self.link))
    }

    /// An operator wants a duty at a member, or anywhere else. `None`: the file names no duties.
    pub fn wish(&mut self, duty: &str, member: Option<&str>) -> Option<Result<(), String>> {
        self.duties.as_mut().map(|d| d.wish(&self.link, duty, member))
    }

    pub fn next_wake(&self) -> Instant {
        let own = self.link.next_wake().min(self.look_at);
        let own = self.export.as_ref().map_or(own, |e| e.next_wake().min(own));
        self.duties.as_ref().map_or(own, |d| d.next_wake().min(own))
    }

    /// Whether [`Fleet::look`] is due.
    pub fn looks(&self, now: Instant) -> bool {
        self.look_at <= now
    }

    /// Puts the look that is due off to this time, but not twice in a row. Whether it did.
    pub fn postpone_look(&mut self, until: Instant) -> bool {
        let postpones = !self.is_postponed;
        if postpones {
            (self.look_at, self.is_postponed) = (until, true);
        }
        postpones
    }

    /// Tells members what these pools' modules have found, and gives what each is to hear. `at` is their time.
    pub fn look(
        &mut self,
        log: &Logger,
        now: Instant,
        at: Micros,
        pools: &[Seen<'_>],
    ) -> Vec<(PoolId, PeerVerdict)> {
        (self.look_at, self.is_postponed) = (now + LOOK, false);
        self.exchanges.retain(|id, _| pools.iter().any(|p| p.id == *id));
        let max_age = Micros(self.settings.max_age.as_micros() as i64);
        for p in pools {
            let e = self.exchanges.entry(p.id).or_insert_with(|| VerdictExchange::new(p.name, p.classes));
            let name = |id: ServerId| p.decisions.upstream_name(id);
            for n in e.known_node_count()..p.decisions.upstream_count() {
                let name = name(ServerId(n as u32));
                self.names.insert((e.pool_hash(), name_hash(name)), name.to_string());
            }
            e.register_nodes(p.decisions.upstream_count(), &name);
            self.names.entry((0, e.pool_hash())).or_insert_with(|| p.name.to_string());
            for class in p.classes {
                self.names.entry((0, name_hash(class))).or_insert_with(|| class.to_string());
            }
            let findings = p.decisions.local_observations(at);
            for (key, value, age) in e.collect_claims(at, &findings, max_age, name) {
                self.link.publish(&key, &value, Duration::from_micros(age.0.max(0) as u64));
            }
        }
        let version = self.link.facts_version();
        if version == self.merged.0 && now < self.merged.1 + LOOK_ANYWAY {
            return Vec::new();
        }
        self.merged = (version, now);
        let said: Vec<MemberClaim> = self.link.facts().filter_map(|f| read(&f)).collect();
        let priors = self.merge(&said, pools);
        let mut heard = Vec::new();
        for p in pools {
            if let Some(e) = self.exchanges.get_mut(&p.id) {
                let told = e.update_verdicts(at, &priors, |id| p.decisions.upstream_started_at(id));
                for h in &told {
                    self.log_verdict(log, p, h, &said);
                }
                heard.extend(told.into_iter().map(|h| (p.id, h)));
            }
        }
        // Not what members say, but what modules here are told: of their own pools, and of nodes in their present life.
        self.acted_on = self.exchanges.values().map(|e| e.active_verdicts().count() as u64).sum();
        heard
    }

    /// How many members the fleet is taken to have, and which of them, from 0, this one is: by the order of addresses,
    /// stretched over the size, as members that are missing may come back.
    pub fn share(&self) -> (u32, u32) {
        let (size, me) = (self.link.fleet_size(), self.link.own_identity().address);
        let live = self.link.other_members().filter(|(_, s)| *s != MemberState::Down);
        let (mut before, mut all) = (0, 1);
        for (id, _) in live {
            all += 1;
            before += u64::from(id.address < me);
        }
        (size, (before * u64::from(size) / all) as u32)
    }

    /// Writes what this process goes by from now on, with what each member says of the node, and how old that is.
    fn log_verdict(&self, log: &Logger, pool: &Seen<'_>, heard: &PeerVerdict, said: &[MemberClaim]) {
        let name = pool.decisions.upstream_name(heard.server);
        let (of, node) = (name_hash(pool.name), name_hash(name));
        let members = self.member_names();
        let voices: Vec<String> = said
            .iter()
            .filter(|s| s.subject.pool == of && s.subject.node == node)
            .map(|s| {
                let member = members.get(&s.member).copied().unwrap_or("one unknown");
                let of_class = if s.subject.class == 0 { "" } else { " for a class" };
                format!("{member}: {}{of_class} {} ms ago", what_name(s.claim.condition), s.age.0 / 1000)
            })
            .collect();
        let class = heard.class.and_then(|c| pool.classes.get(c.0 as usize)).map_or("", String::as_str);
        info!(log, "a verdict"; "pool" => pool.name, "node" => name, "class" => class, "bad" => heard.severity,
            "tries" => heard.probes_here, "said" => voices.join(", "));
    }

    /// The names of members by their lives.
    fn member_names(&self) -> FxHashMap<u64, &str> {
        let me = self.link.own_identity();
        let others = self.link.other_members().map(|(id, _)| (id.boot, id.name.as_str()));
        others.chain([(me.boot, me.name.as_str())]).collect()
    }

    fn merge(&self, said: &[MemberClaim], pools: &[Seen<'_>]) -> Vec<MergedVerdict> {
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
        merge_claims(said, &view)
    }

    /// What members say of nodes now, with who said it and how old it is.
    fn verdicts(&self) -> Vec<Value> {
        let members = self.member_names();
        let name =
            |of: u64, hash: u64| self.names.get(&(of, hash)).cloned().unwrap_or(format!("{hash:016x}"));
        let said = self.link.facts().filter_map(|f| read(&f));
        let rows = said.map(|s| {
            let Subject { pool, node, class, .. } = s.subject;
            let what = what_name(s.claim.condition);
            json!({
                "pool": name(0, pool), "node": name(pool, node),
                "class": (class != 0).then(|| name(0, class)),
                "what": what, "bad": (s.claim.severity * 100.0).round() / 100.0, "age_ms": s.age.0 / 1000,
                "by": members.get(&s.member).map_or_else(|| format!("{:016x}", s.member), |m| m.to_string()),
            })
        });
        rows.collect()
    }

    /// The process ends: peers need not find out by themselves.
    pub fn leave(&mut self) {
        self.link.leave();
    }

    /// A new version of the file: keys change at once, all else at the next start.
    pub fn reload(&mut self, net: &Net, new: Option<&Settings>) {
        if new != Some(&self.settings) {
            warn!(net.log, "[fleet] has changed; that holds from the next start on");
        }
        match self.link.reload_keys() {
            Ok(()) => {}
            Err(e) => error!(net.log, "the fleet's keys before stay in force"; "error" => %e),
        }
    }

    /// `GET /members`.
    pub fn json(&self) -> Value {
        let me = self.link.own_identity();
        let mut members: Vec<(&Identity, &str)> = vec![(me, "self")];
        members.extend(self.link.other_members().map(|(id, state)| (id, name(state))));
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
            "member": me.name, "alive": self.link.alive_count(), "size": self.link.fleet_size(), "away": counts.rejoins,
            "stalls": counts.stalls, "facts": self.link.fact_count(),
            "max_age_ms": self.settings.max_age.as_millis() as u64, "members": rows,
            "dropped": dropped, "verdicts": self.verdicts(), "acted_on": self.acted_on,
        })
    }

    /// Its lines of `/stats`.
    pub fn stats(&self, out: &mut String) {
        if let Some(duties) = &self.duties {
            duties.stats(out);
        }
        if let Some(export) = &self.export {
            export.stats(out);
        }
        let (counts, dropped) = (self.link.counters(), self.link.dropped());
        for (what, n) in [
            ("members_alive", u64::from(self.link.alive_count())),
            ("size", u64::from(self.link.fleet_size())),
            ("facts", self.link.fact_count() as u64),
            ("verdicts_acted_on", self.acted_on),
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

/// `None`: the news is not a verdict.
fn read(f: &Fact<'_>) -> Option<MemberClaim> {
    let (subject, claim) = (Subject::from_key(f.key)?, Claim::from_value(f.value)?);
    Some(MemberClaim { member: f.origin, subject, claim, age: f.age })
}

fn what_name(what: NodeCondition) -> &'static str {
    match what {
        NodeCondition::Sick => "sick",
        NodeCondition::Unreachable => "unreachable",
        NodeCondition::Well => "well",
        NodeCondition::Silent => "silent",
    }
}

fn name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Down => "down",
    }
}

fn tell(net: &Net, event: &Event, alive: u32) {
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
