//! The invariants of a drill, checked against what members, nodes and the sink report, and the drill's
//! report.

use crate::script::{Fault, FaultKind, Script};
use crate::sink::SinkRecord;
use plotters::prelude::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// One member's view of the fleet at one time.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// When the member was asked, from the drill's start.
    pub at: Duration,
    pub member: usize,
    /// The members that the member takes to be alive, itself and suspects included.
    pub alive: BTreeSet<usize>,
    /// The members that the member takes to be dead.
    pub down: BTreeSet<usize>,
    /// The size of the fleet that the member calculates with (`size` of `/members`).
    pub size: u64,
    /// The number of times that the member found out that others had taken it for dead.
    pub away: u64,
    /// The number of times that the member's process stood still, for instance while stopped.
    pub stalls: u64,
    /// The number of verdicts that the member acts on.
    pub acted_on: u64,
    /// The age of the oldest verdict that the member stores.
    pub oldest_verdict: Duration,
    /// The number of members with a verdict against a node.
    pub accusers: usize,
    /// The number of datagrams that the member dropped because of their protocol version.
    pub other_version: u64,
}

impl Sample {
    /// Reads the JSON of `/members`; `peers` are the addresses of the members by number.
    pub fn from_json(at: Duration, member: usize, view: &Value, peers: &[SocketAddr]) -> Sample {
        let (mut alive, mut down) = (BTreeSet::new(), BTreeSet::new());
        for m in view["members"].as_array().into_iter().flatten() {
            let address = m["address"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
            let Some(i) = address.and_then(|a| peers.iter().position(|p| *p == a)) else { continue };
            let same_state = if m["state"] == "down" { &mut down } else { &mut alive };
            same_state.insert(i);
        }
        let number = |key: &str| view[key].as_u64().unwrap_or(0);
        let (size, away, stalls) = (number("size"), number("away"), number("stalls"));
        let ages = view["verdicts"].as_array().into_iter().flatten().filter_map(|v| v["age_ms"].as_u64());
        let oldest_verdict = Duration::from_millis(ages.max().unwrap_or(0));
        let acted_on = number("acted_on");
        let bad = view["verdicts"].as_array().into_iter().flatten().filter(|v| v["what"] != "well");
        let accusers = bad.filter_map(|v| v["by"].as_str()).collect::<BTreeSet<&str>>().len();
        let other_version = view["dropped"]["version"].as_u64().unwrap_or(0);
        Sample {
            at,
            member,
            alive,
            down,
            size,
            away,
            stalls,
            acted_on,
            oldest_verdict,
            accusers,
            other_version,
        }
    }
}

/// The results of checking one invariant.
#[derive(Clone, Debug, Default)]
pub struct Check {
    /// The number of times that the invariant was checked.
    pub tried: u64,
    /// Descriptions of the first few violations.
    pub examples: Vec<String>,
    /// The number of violations.
    pub violations: u64,
    /// For invariants with a time bound, the longest time that was seen.
    pub worst: Option<Duration>,
    /// For invariants with a time bound, the longest time that is allowed.
    pub bound: Option<Duration>,
}

/// The largest number of violations of an invariant that are described.
const MAX_EXAMPLES: usize = 5;

impl Check {
    /// Counts one check, and a violation unless it `holds`.
    fn require(&mut self, holds: bool, what: impl FnOnce() -> String) {
        self.tried += 1;
        if !holds {
            self.violations += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(what());
            }
        }
    }

    /// Counts one check of a time against its bound.
    fn require_within(&mut self, took: Duration, bound: Duration, what: &str) {
        self.worst = self.worst.max(Some(took));
        self.bound = Some(bound);
        self.require(took <= bound, || format!("{what}: {took:.2?}, above the bound of {bound:.2?}"));
    }
}

/// The invariants of a drill, with the state that checking them needs.
pub(crate) struct Checks {
    script: Script,
    by_name: BTreeMap<&'static str, Check>,
    samples: Vec<Sample>,
    /// The faults injected so far, with their times.
    faults: Vec<(Duration, Fault)>,
    /// Deaths that not all running members have noticed yet: the member, when it died, and the bound for
    /// noticing it.
    unnoticed_deaths: Vec<(usize, Duration, Duration)>,
    /// By member: the numbers of live members that its process saw within the hold time, and when.
    seen_sizes: BTreeMap<usize, Vec<(Duration, u64)>>,
    /// By member: the values of `away` that the members reported last.
    aways: BTreeMap<usize, u64>,
    /// By member: the values of `stalls` that the members reported last.
    stalls: BTreeMap<usize, u64>,
    /// The nodes that a fault makes hang or fail now.
    sick_nodes: BTreeSet<usize>,
    /// When a fault of nodes last began or ended.
    nodes_changed_at: Duration,
    /// Whether all running members have acted on that change.
    change_followed: bool,
    /// The number of requests that each node got while it was sick.
    sick_requests: Vec<u64>,
    /// By member: whether the member has dropped a datagram of another protocol version.
    saw_other_version: BTreeMap<usize, bool>,
    /// By duty and epoch: the life of the process that owned the duty first under this epoch.
    epoch_owners: BTreeMap<(String, u64), String>,
    /// By duty: the highest epoch under which an owner was seen to act, when that was reported, and by which
    /// member.
    highest_acting: BTreeMap<String, (u64, Duration, String)>,
    /// By duty without an acting owner: since when none was seen to act.
    idle_since: BTreeMap<String, Duration>,
    /// By duty: when an owner was last seen to act.
    last_acting: BTreeMap<String, Duration>,
    /// Since when a majority of voters has been available without a break, so that owners can be elected.
    majority_since: Option<Duration>,
    /// The times for which duties had no acting owner.
    gaps: Vec<Duration>,
    /// Members whose state folder was replaced by an old copy, and when.
    restored: BTreeMap<usize, Duration>,
    /// What the sink had received at the end.
    sink: Option<SinkRecord>,
}

impl Checks {
    pub fn new(script: &Script) -> Checks {
        Checks {
            script: script.clone(),
            by_name: BTreeMap::new(),
            samples: Vec::new(),
            faults: Vec::new(),
            unnoticed_deaths: Vec::new(),
            seen_sizes: BTreeMap::new(),
            aways: BTreeMap::new(),
            stalls: BTreeMap::new(),
            sick_nodes: BTreeSet::new(),
            nodes_changed_at: Duration::ZERO,
            change_followed: true,
            sick_requests: Vec::new(),
            saw_other_version: BTreeMap::new(),
            epoch_owners: BTreeMap::new(),
            highest_acting: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            last_acting: BTreeMap::new(),
            majority_since: Some(Duration::ZERO),
            gaps: Vec::new(),
            restored: BTreeMap::new(),
            sink: None,
        }
    }

    /// The results of this invariant.
    fn check(&mut self, name: &'static str) -> &mut Check {
        self.by_name.entry(name).or_default()
    }

    /// A time of the script's table `[fleet]`, or this default.
    fn fleet_time(&self, key: &str, default: Duration) -> Duration {
        let text = self.script.fleet.get(key).and_then(|v| v.as_str());
        text.and_then(|t| humantime::parse_duration(t).ok()).unwrap_or(default)
    }

    fn probe_period(&self) -> Duration {
        self.fleet_time("probe_period", Duration::from_secs(1))
    }

    fn suspicion(&self) -> Duration {
        self.fleet_time("suspicion", Duration::from_secs(3))
    }

    /// The longest time until all members know of a death: until some member probes the dead one, the
    /// suspicion time, and the spread; the 2 s are for the polls and a busy machine.
    fn noticed_within(&self) -> Duration {
        let members = self.script.members as u32;
        self.probe_period() * (2 * members).saturating_sub(1)
            + self.suspicion()
            + self.probe_period() * 4
            + Duration::from_secs(2)
    }

    /// The default of `settle`: the longest time after the last fault until all agree on who is alive.
    pub fn settles_within(&self) -> Duration {
        self.noticed_within() + Duration::from_secs(10)
    }

    /// Drops what was recorded of a member's former process: its successor does not know the
    /// sizes of the fleet seen before.
    pub fn forget_life(&mut self, member: usize) {
        self.seen_sizes.remove(&member);
        self.unnoticed_deaths.retain(|d| d.0 != member);
    }

    /// Checks how long it `took` until the initial members saw each other.
    pub fn check_start(&mut self, took: Duration, limit: Duration) {
        self.check("all initial members see each other").require_within(took, limit, "the start");
    }

    /// Checks whether, and how soon after the last fault, all running members agreed on who runs.
    pub fn check_agreement(&mut self, agreed: bool, took: Duration, limit: Duration) {
        if !self.script.other_version.is_empty() {
            // Only the seeds get its datagrams, since it asks them to let it join.
            let detected = self.saw_other_version.values().any(|seen| *seen);
            self.check("another protocol version is detected")
                .require(detected, || "no member dropped a datagram because of its version".into());
        }
        let missing = self.unnoticed_deaths.len();
        let check = self.check("all agree after the last fault");
        check.require_within(took, limit, "agreement");
        if !agreed {
            check.require(false, || {
                format!("the members never agreed on who runs; {missing} deaths are not known to all")
            });
        }
    }

    /// Records that a process ended without being asked to, or with a failure.
    pub fn record_exit(&mut self, member: usize, status: &str) {
        self.check("no process ends by itself").require(false, || format!("m{member}: {status}"));
    }

    /// Checks the response of a member to a request.
    pub fn check_response(&mut self, at: Duration, member: usize, response: Result<(u16, String), String>) {
        // While nodes are sick, and for up to the longest time of a request afterwards, some requests fail.
        let nodes_fail = self.script.faults.iter().any(|f| f.what.concerns_nodes());
        if nodes_fail && (!self.sick_nodes.is_empty() || at < self.nodes_changed_at + Duration::from_secs(3))
        {
            return;
        }
        let check = self.check("each request is served");
        check.require(matches!(response, Ok((200, _))), || format!("{at:.2?} m{member}: {response:?}"));
    }

    /// Checks a member's report of the duties that it owns; the call was sent at `asked`, and its response
    /// received at `came`.
    pub fn check_duties(&mut self, member: usize, asked: Duration, came: Duration, view: &Value) {
        let life = view["life"].as_str().unwrap_or("").to_string();
        if let Some(since) =
            self.restored.get(&member).copied().filter(|s| asked > *s + Duration::from_secs(3))
        {
            let standing = view["standing"].as_str().unwrap_or("").to_string();
            self.check("an old copy may not vote").require(standing == "old copy", || {
                format!("{asked:.2?}: m{member}, restored at {since:.2?}, has the standing {standing:?}")
            });
        }
        for owned in view["owned"].as_array().into_iter().flatten() {
            let (Some(duty), Some(epoch)) = (owned["duty"].as_str(), owned["epoch"].as_u64()) else {
                continue;
            };
            let duty = duty.to_string();
            let owner =
                self.epoch_owners.entry((duty.clone(), epoch)).or_insert_with(|| life.clone()).clone();
            let same = owner == life;
            self.check("no epoch is of two lives")
                .require(same, || format!("duty {duty}, epoch {epoch}: the lives {owner} and {life}"));
            if owned["acts"] != true {
                continue;
            }
            // A member that was asked after an owner was seen to act under a higher epoch must not act under
            // a lower one.
            let before = self.highest_acting.get(&duty).cloned();
            if let Some((highest, when, by)) = &before {
                let holds = epoch >= *highest || asked <= *when;
                self.check("no owner acts after a later one").require(holds, || {
                    format!(
                        "{asked:.2?}: m{member} acts on duty {duty} under epoch {epoch}; {by} acted under {highest}"
                    )
                });
            }
            if before.is_none_or(|(highest, _, _)| epoch > highest) {
                self.highest_acting.insert(duty.clone(), (epoch, came, format!("m{member}")));
            }
            self.last_acting.insert(duty, came);
        }
    }

    /// Checks for how long duties have had no acting owner; `majority`: whether a majority of voters
    /// is available.
    pub fn check_owners(&mut self, at: Duration, majority: bool) {
        let Some(duties) = self.script.duties.clone() else { return };
        let lease = duties.lease.unwrap_or(Duration::from_secs(1));
        let bound = duties.gap.unwrap_or(3 * lease + Duration::from_secs(4));
        self.majority_since = if majority { self.majority_since.or(Some(at)) } else { None };
        for duty in &duties.names {
            let seen = self.last_acting.get(duty).copied();
            // An owner that was seen to act in one of the last polls still counts as acting.
            let fresh = seen.is_some_and(|s| at.saturating_sub(s) < Duration::from_millis(300));
            match (fresh, self.idle_since.get(duty).copied()) {
                (true, Some(since)) => {
                    self.idle_since.remove(duty);
                    let gap = seen.unwrap_or(at).saturating_sub(since);
                    self.gaps.push(gap);
                }
                (false, None) => {
                    self.idle_since.insert(duty.clone(), seen.unwrap_or(Duration::ZERO));
                }
                _ => {}
            }
            if let (Some(&since), Some(majority_since)) = (self.idle_since.get(duty), self.majority_since) {
                // The gap counts from the last of: the owner's last act, the return of a majority, the last
                // fault.
                let fault = self.faults.last().map_or(Duration::ZERO, |f| f.0);
                let gap = at.saturating_sub(since.max(majority_since).max(fault));
                self.check("each duty has an owner again").require_within(
                    gap,
                    bound,
                    &format!("duty {duty} without an owner"),
                );
            } else if fresh {
                self.check("each duty has an owner again").tried += 1;
            }
        }
    }

    /// Checks what the sink has received at the end of the drill, when these members run.
    pub fn check_sink(&mut self, record: &SinkRecord, running: BTreeSet<String>) {
        if !self.script.duties.as_ref().is_some_and(|d| d.export) {
            return;
        }
        let fresh = record.last_accepted.is_some_and(|l| l.elapsed() < Duration::from_secs(2));
        self.check("the sink gets exports until the end").require(fresh, || {
            format!("{} exports accepted, the last at {:?}", record.accepted, record.last_accepted)
        });
        let (accepted, repeated, conflicting) = (record.accepted, record.repeated, record.conflicting);
        self.check("the sink gets no export twice").require(accepted > 0 && repeated == 0, || {
            format!("{repeated} of {accepted} exports were repeated")
        });
        self.check("no epoch of two lives at the sink").require(conflicting == 0, || {
            format!("{conflicting} of {accepted} exports came from a second life")
        });
        let members = record.members.clone();
        self.check("the sink has all members' figures")
            .require(members == running, || format!("it has those of {members:?}; {running:?} run"));
        self.sink = Some(record.clone());
    }

    /// Checks that each duty has an acting owner at the end of the drill.
    pub fn check_final_owners(&mut self, at: Duration) {
        let Some(duties) = self.script.duties.clone() else { return };
        for duty in &duties.names {
            let acts =
                self.last_acting.get(duty).is_some_and(|s| at.saturating_sub(*s) < Duration::from_secs(2));
            self.check("each duty has an owner at the end").require(acts, || format!("duty {duty} has none"));
        }
    }

    /// Records a fault that is injected now.
    pub fn record_fault(&mut self, at: Duration, fault: &Fault) {
        self.faults.push((at, fault.clone()));
        if fault.what == FaultKind::RestoreCopy {
            self.restored.extend(fault.members.iter().map(|&m| (m, at)));
        }
        if fault.what.concerns_nodes() {
            let sick_before = self.sick_nodes.clone();
            match fault.what {
                FaultKind::MendNodes => fault.members.iter().for_each(|n| {
                    self.sick_nodes.remove(n);
                }),
                _ => self.sick_nodes.extend(&fault.members),
            }
            if !self.change_followed {
                self.record_unfollowed_change(!sick_before.is_empty());
            }
            (self.nodes_changed_at, self.change_followed) = (at, false);
            return;
        }
        let bound = match fault.what {
            FaultKind::Kill => self.noticed_within(),
            // The leaving member announces its death, so that the same bound is ample.
            FaultKind::Term => self.noticed_within(),
            _ => return,
        };
        if !self.script.faults.iter().any(|f| matches!(f.what, FaultKind::Split | FaultKind::Cut)) {
            self.unnoticed_deaths.extend(fault.members.iter().map(|&i| (i, at, bound)));
        }
    }

    /// Whether no fault of the script gives one of these members a reason to take the other for dead.
    fn unaffected(&self, a: usize, b: usize) -> bool {
        self.script.loss == 0.0
            && [a, b].iter().all(|&i| !self.script.is_outside(i))
            && self.script.faults.iter().filter(|f| !f.what.concerns_nodes()).all(|f| {
                let (has_a, has_b) = (f.members.contains(&a), f.members.contains(&b));
                match f.what {
                    // After a cut about as long as the suspicion time, members may still believe reports that
                    // those who were cut off are dead.
                    FaultKind::Split => has_a == has_b && self.is_long_split(f),
                    FaultKind::Stop => !(has_a || has_b) || self.is_short_stop(f),
                    FaultKind::Kill | FaultKind::Term | FaultKind::Start => !(has_a || has_b),
                    // A member that is cut off in one direction, or from some, can still be reached through
                    // the others.
                    FaultKind::Cut if f.to.len() + 1 >= self.script.members => !(has_a || has_b),
                    _ => true,
                }
            })
    }

    /// Whether a split lasts so long that all members have taken those on the other side for dead before it
    /// ends.
    fn is_long_split(&self, split: &Fault) -> bool {
        let ends = self.script.faults.iter().filter(|f| f.what == FaultKind::Heal && f.at >= split.at);
        let least = 2 * self.suspicion() + 4 * self.probe_period();
        ends.map(|f| f.at - split.at).min().is_none_or(|d| d >= least)
    }

    /// Whether a stop ends before a suspicion of the stopped members could.
    fn is_short_stop(&self, stop: &Fault) -> bool {
        let ends = self.script.faults.iter().filter(|f| f.what == FaultKind::Continue && f.at >= stop.at);
        let ends = ends.filter(|f| stop.members.iter().all(|m| f.members.contains(m)));
        ends.map(|f| f.at - stop.at).min().is_some_and(|d| d < self.suspicion() / 2)
    }

    /// Checks one member's view, and whether all running members have followed deaths and changes of nodes by
    /// now.
    pub fn check_sample(&mut self, sample: Sample, running: &BTreeSet<usize>) {
        let (at, member) = (sample.at, sample.member);
        for &other in &sample.down {
            if self.unaffected(member, other) {
                let what = || format!("{at:.2?}: m{member} takes m{other} for dead");
                self.check("nobody without a fault is taken for dead").require(false, what);
            }
        }
        for other in 0..self.script.members {
            if self.unaffected(member, other) && !sample.down.contains(&other) {
                self.check("nobody without a fault is taken for dead").tried += 1;
            }
        }
        for stranger in (0..self.script.members).filter(|&m| self.script.is_outside(m)).collect::<Vec<_>>() {
            let holds = stranger == member || !sample.alive.contains(&stranger);
            self.check("strangers stay outside")
                .require(holds, || format!("{at:.2?}: m{member} let m{stranger} in"));
        }
        // The largest size must be held for the whole hold time, less the time that may lie between two
        // polls.
        let hold =
            self.fleet_time("size_hold", Duration::from_secs(60)).saturating_sub(Duration::from_millis(500));
        let floor = self.script.fleet.get("size_floor").and_then(|v| v.as_integer()).unwrap_or(1) as u64;
        let seen = self.seen_sizes.entry(member).or_default();
        seen.retain(|(t, _)| at.saturating_sub(*t) < hold);
        seen.push((at, sample.alive.len() as u64));
        let least = seen.iter().map(|(_, alive)| *alive).max().unwrap_or(0).max(floor);
        let size = sample.size;
        self.check("no fleet size below its held maximum").require(size >= least, || {
            format!("{at:.2?}: m{member} reckons with {size} members; {least} is the least")
        });
        let max_age = self
            .script
            .checked_max_age
            .unwrap_or_else(|| self.fleet_time("max_age", Duration::from_secs(20)));
        let never_sick = !self.faults.iter().any(|(_, f)| f.what.concerns_nodes());
        if never_sick && !self.script.is_blind(member) && sample.accusers > 0 {
            let acted_on = sample.acted_on;
            self.check("no member acts on one broken member's verdicts").require(acted_on == 0, || {
                format!("{at:.2?}: m{member} acts on {acted_on} verdicts, and all nodes are well")
            });
        }
        if !self.script.other_version.is_empty() {
            self.saw_other_version.insert(member, sample.other_version > 0);
        }
        // Members report ages in whole milliseconds, rounded up once per hop.
        self.check("no verdict is held past its age").require_within(
            sample.oldest_verdict,
            max_age,
            "the age of the oldest verdict",
        );
        self.aways.insert(member, sample.away);
        self.stalls.insert(member, sample.stalls);
        self.samples.push(sample);
        self.check_deaths(at, running);
        self.check_verdicts(at, running, max_age);
    }

    /// Checks whether all running members act on a verdict while a node is sick, and on none when all are
    /// well again.
    fn check_verdicts(&mut self, at: Duration, running: &BTreeSet<usize>, max_age: Duration) {
        let last: BTreeMap<usize, (Duration, u64)> = self
            .samples
            .iter()
            .rev()
            .take(2 * self.script.members)
            .rev()
            .map(|s| (s.member, (s.at, s.acted_on)))
            .collect();
        let sick = !self.sick_nodes.is_empty();
        let changed_at = self.nodes_changed_at;
        let agrees = |m: &usize| last.get(m).is_some_and(|&(at, n)| at > changed_at && (n > 0) == sick);
        if self.change_followed || !running.iter().all(agrees) {
            return;
        }
        self.change_followed = true;
        if sick {
            // Two members have to find it, each by an overdue response or by two errors; then the verdicts
            // spread.
            let bound = Duration::from_secs(8);
            self.check("all go by a verdict on a sick node").require_within(
                at - changed_at,
                bound,
                "acting on the change",
            );
        } else {
            let bound = max_age + Duration::from_secs(2);
            self.check("no verdict is left on a node that is well").require_within(
                at - changed_at,
                bound,
                "acting on the change",
            );
        }
    }

    /// Ends the checks of faulty nodes; `sick_requests`: how many requests each node got while it was sick.
    pub fn end_node_faults(&mut self, sick_requests: Vec<u64>) {
        self.sick_requests = sick_requests;
        if !self.change_followed {
            self.record_unfollowed_change(!self.sick_nodes.is_empty());
        }
    }

    /// Records a violation: nodes changed and not all running members acted on it in time; `sick`: whether
    /// any is sick.
    fn record_unfollowed_change(&mut self, sick: bool) {
        let name = match sick {
            true => "all go by a verdict on a sick node",
            false => "no verdict is left on a node that is well",
        };
        self.check(name).require(false, || "not all running members came to that".into());
    }

    /// Checks, for each death that all running members know of by their last samples, how long that took.
    fn check_deaths(&mut self, at: Duration, running: &BTreeSet<usize>) {
        let last: BTreeMap<usize, &Sample> =
            self.samples.iter().rev().take(2 * self.script.members).rev().map(|s| (s.member, s)).collect();
        let knows = |dead: usize, since: Duration| {
            running.iter().all(|m| last.get(m).is_some_and(|s| s.at > since && !s.alive.contains(&dead)))
        };
        let (known, unnoticed): (Vec<_>, Vec<_>) =
            self.unnoticed_deaths.iter().partition(|d| knows(d.0, d.1));
        self.unnoticed_deaths = unnoticed;
        for (dead, since, bound) in known {
            self.check("each death is noticed by all").require_within(
                at - since,
                bound,
                &format!("noticing the death of m{dead}"),
            );
        }
    }

    /// Checks that members that were stopped, and meanwhile taken for dead, have found out that they were.
    fn check_stopped_members(&mut self) {
        let stops: Vec<(usize, Duration)> = self
            .faults
            .iter()
            .filter(|(_, f)| f.what == FaultKind::Stop)
            .flat_map(|(at, f)| f.members.iter().map(move |&member| (member, *at)))
            .collect();
        for (member, since) in stops {
            let later = |f: &Fault| {
                matches!(f.what, FaultKind::Kill | FaultKind::Start | FaultKind::Term)
                    && f.members.contains(&member)
            };
            let replaced = self.faults.iter().any(|(at, f)| *at >= since && later(f));
            let taken_for_dead = self.samples.iter().any(|s| s.at >= since && s.down.contains(&member));
            let away = self.aways.get(&member).copied().unwrap_or(0);
            if taken_for_dead && !replaced {
                let what = || {
                    format!(
                        "m{member}, stopped at {since:.2?}, counts {away} times that it was taken for dead"
                    )
                };
                self.check("who was taken for dead knows it").require(away > 0, what);
            }
        }
    }

    /// Checks the members' logs for panics, and for equal names: those are reported in logs alone, by each
    /// member that knows both members.
    pub fn check_logs(&mut self, logs: &[String]) {
        let panics: Vec<usize> = (0..logs.len()).filter(|&i| logs[i].contains("panicked")).collect();
        self.check("no process ends by itself")
            .require(panics.is_empty(), || format!("the logs of members {panics:?} have a panic"));
        if !self.script.named_as.is_empty() {
            let reported = logs.iter().filter(|l| l.contains("two members have one name")).count();
            let expected = logs.len() - self.script.strangers.len();
            self.check("two of one name are reported by all")
                .require(reported == expected, || format!("{reported} of {expected} reported it"));
        }
    }

    /// Ends the drill and makes its report; `usage`: processor time in ms and memory in KiB of each running
    /// member.
    pub fn report(mut self, took: Duration, datagrams: u64, bytes: u64, usage: Vec<(u64, u64)>) -> Report {
        for (dead, since, bound) in std::mem::take(&mut self.unnoticed_deaths) {
            let check = self.check("each death is noticed by all");
            check.bound = Some(bound);
            check.require(false, || format!("m{dead} is dead since {since:.2?}, and not all members know"));
        }
        self.check_stopped_members();
        let mean = |value: fn(&(u64, u64)) -> u64| {
            usage.iter().map(value).sum::<u64>() / (usage.len() as u64).max(1)
        };
        let seconds = took.as_secs_f64().max(0.001);
        let members = self.script.members as f64;
        Report {
            members: self.script.members,
            checks: self.by_name.into_iter().collect(),
            samples: self.samples,
            faults: self.faults,
            away: self.aways.values().sum(),
            stalls: self.stalls.values().sum(),
            bytes_a_second: bytes as f64 / seconds / members,
            datagrams_a_second: datagrams as f64 / seconds / members,
            cpu_percent: mean(|c| c.0) as f64 / 10.0 / seconds,
            memory_kb: mean(|c| c.1),
            sick_requests: self.sick_requests.iter().sum(),
            sink: self.sink,
            gaps: {
                self.gaps.sort_unstable();
                self.gaps
            },
        }
    }
}

/// The results of a drill.
pub struct Report {
    members: usize,
    /// The invariants that were checked, by name.
    pub checks: Vec<(&'static str, Check)>,
    samples: Vec<Sample>,
    faults: Vec<(Duration, Fault)>,
    away: u64,
    stalls: u64,
    bytes_a_second: f64,
    datagrams_a_second: f64,
    cpu_percent: f64,
    memory_kb: u64,
    sick_requests: u64,
    /// The times for which duties had no acting owner, the shortest first.
    gaps: Vec<Duration>,
    sink: Option<SinkRecord>,
}

impl Report {
    /// Whether all invariants held, and each was checked at least once.
    pub fn passed(&self) -> bool {
        !self.checks.is_empty() && self.checks.iter().all(|(_, c)| c.violations == 0 && c.tried > 0)
    }

    /// The report as text: the table of invariants, the timeline, the members' resource usage, and the
    /// result.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let seconds = |d: Option<Duration>| d.map_or("-".into(), |d| format!("{:.2}", d.as_secs_f64()));
        let width = self.checks.iter().map(|(n, _)| n.len()).max().unwrap_or(0).max(9);
        let _ = writeln!(
            out,
            "{:width$}  {:>8} {:>7} {:>8} {:>8}",
            "invariant", "tried", "broken", "worst s", "bound s"
        );
        for (name, c) in &self.checks {
            let (worst, bound) = (seconds(c.worst), seconds(c.bound));
            let _ = writeln!(out, "{name:width$}  {:>8} {:>7} {worst:>8} {bound:>8}", c.tried, c.violations);
            for what in &c.examples {
                let _ = writeln!(out, "  broken: {what}");
            }
        }
        let _ = writeln!(out, "\n     s  seen alive: least to most, by all that were asked");
        let mut second = 0;
        let mut faults = self.faults.iter().peekable();
        while let Some(range) = self.seen_alive_in(second) {
            while let Some((at, f)) = faults.next_if(|(at, _)| at.as_secs() <= second) {
                let to = if f.to.is_empty() { String::new() } else { format!(" to {:?}", f.to) };
                let _ = writeln!(out, "{:6.2}  {:?} {:?}{to}", at.as_secs_f64(), f.what, f.members);
            }
            let _ = writeln!(out, "{second:6}  {} to {}", range.0, range.1);
            second += 1;
        }
        let _ = writeln!(
            out,
            "\na member: {:.0} bytes/s, {:.1} datagrams/s, {:.1}% of a core, {} KiB; away {} times, stood still {} times",
            self.bytes_a_second, self.datagrams_a_second, self.cpu_percent, self.memory_kb, self.away, self.stalls
        );
        if self.sick_requests > 0 {
            let _ = writeln!(out, "requests that nodes got while they were sick: {}", self.sick_requests);
        }
        if let (Some(middle), Some(worst)) = (self.gaps.get(self.gaps.len() / 2), self.gaps.last()) {
            let _ = writeln!(
                out,
                "duties without an owner that acts: {} times, median {middle:.2?}, worst {worst:.2?}",
                self.gaps.len()
            );
        }
        if let Some(s) = &self.sink {
            let _ = writeln!(
                out,
                "the sink took {}, refused {} of older epochs; longest without a word {:.2?}",
                s.accepted, s.refused, s.longest_gap
            );
        }
        let _ = writeln!(out, "{}", if self.passed() { "drill passed" } else { "drill failed" });
        out
    }

    /// The least and the most members that any member saw alive in this second; `None` after the last sample.
    fn seen_alive_in(&self, second: u64) -> Option<(usize, usize)> {
        let seen = self.samples.iter().filter(|s| s.at.as_secs() == second).map(|s| s.alive.len());
        let seen: Vec<usize> = seen.collect();
        // A second without a sample, while all members are stopped, does not end the timeline.
        let last = self.samples.last().map_or(0, |s| s.at.as_secs());
        let most = seen.iter().max().copied();
        most.map(|most| (seen.iter().min().copied().unwrap_or(0), most)).or((second < last).then_some((0, 0)))
    }

    /// Writes `samples.csv` and `alive.svg` into this folder.
    pub fn write_files(&self, folder: &Path) -> Result<(), String> {
        let describe = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        let mut csv = csv::Writer::from_path(folder.join("samples.csv")).map_err(|e| describe(&e))?;
        csv.write_record(["s", "member", "alive", "down", "size", "away", "stalls", "acted_on"])
            .map_err(|e| describe(&e))?;
        for s in &self.samples {
            let row = [
                format!("{:.3}", s.at.as_secs_f64()),
                format!("m{}", s.member),
                s.alive.len().to_string(),
                s.down.len().to_string(),
                s.size.to_string(),
                s.away.to_string(),
                s.stalls.to_string(),
                s.acted_on.to_string(),
            ];
            csv.write_record(row).map_err(|e| describe(&e))?;
        }
        csv.flush().map_err(|e| describe(&e))?;
        self.draw_chart(&folder.join("alive.svg")).map_err(|e| describe(&e))
    }

    /// Draws how many members each member sees alive over time, with the faults marked.
    fn draw_chart(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let end = self.samples.last().map_or(1.0, |s| s.at.as_secs_f64()).max(1.0);
        let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("members seen alive, a line each; faults in red", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..self.members as f64 + 0.5)?;
        chart.configure_mesh().x_desc("s").y_desc("alive").disable_mesh().draw()?;
        for (at, _) in &self.faults {
            let x = at.as_secs_f64();
            let line = [(x, 0.0), (x, self.members as f64 + 0.5)];
            chart.draw_series(LineSeries::new(line, RED.mix(0.6)))?;
        }
        for m in 0..self.members {
            let line = self.samples.iter().filter(|s| s.member == m);
            let line = line.map(|s| (s.at.as_secs_f64(), s.alive.len() as f64 + 0.02 * m as f64));
            chart.draw_series(LineSeries::new(line, Palette99::pick(m)))?;
        }
        area.present()?;
        Ok(())
    }
}
