//! The script of a drill, in TOML: its members, its load, its faults and their times.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// The script of a drill.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seeds all random draws of the drill. Default: 0.
    #[serde(default)]
    pub seed: u64,
    /// The number of members, each a process; they are numbered from 0. 1 to 200.
    pub members: usize,
    /// The number of stand-in nodes that the members balance over. 1 to 1000; default: 1.
    #[serde(default = "one")]
    pub nodes: usize,
    /// The number of simultaneous requests that each member gets, about ten times a second. 1 to 64; default:
    /// 1.
    #[serde(default = "one")]
    pub load: usize,
    /// The zones, assigned to members in turn.
    #[serde(default)]
    pub zones: Vec<String>,
    /// How long the drill runs its faults; no fault may be set later.
    #[serde(with = "humantime_text")]
    pub time: Duration,
    /// After `time`, all running members must agree within this on who is alive. Default: derived from the
    /// probe period and the suspicion time of `[fleet]`.
    #[serde(default, with = "humantime_option")]
    pub settle: Option<Duration>,
    /// Keys of the table `[fleet]`, copied into each member's file.
    #[serde(default)]
    pub fleet: BTreeMap<String, toml::Value>,
    /// The fleet's duties, work that one member owns on behalf of all; written to each member's file and
    /// checked.
    #[serde(default)]
    pub duties: Option<Duties>,
    /// Members that are not started with the drill but by a fault "start".
    #[serde(default)]
    pub late: Vec<usize>,
    /// Members whose fleet key differs from that of the others, and which must therefore stay outside the
    /// fleet.
    #[serde(default)]
    pub strangers: Vec<usize>,
    /// The names of members, by their number, that get another member's name instead of their own.
    #[serde(default)]
    pub named_as: BTreeMap<String, String>,
    /// For members, by their number, the nodes that this member alone can't reach.
    #[serde(default)]
    pub blind: BTreeMap<String, Vec<usize>>,
    /// Members whose datagrams have another protocol version, as those of an older or newer program do.
    #[serde(default)]
    pub other_version: Vec<usize>,
    /// The largest age of a verdict that the checks allow, where it is not `max_age` of `[fleet]`: with a
    /// shorter one the drill has to fail.
    #[serde(default, with = "humantime_option")]
    pub checked_max_age: Option<Duration>,
    /// The share of datagrams that every link loses, from the start. 0 to below 1.
    #[serde(default)]
    pub loss: f64,
    /// The share of datagrams that every link delivers twice. 0 to below 1.
    #[serde(default)]
    pub twice: f64,
    /// The largest delay of a datagram; delays are random, so that datagrams overtake each other.
    #[serde(default, with = "humantime_option")]
    pub delay: Option<Duration>,
    /// The number of random faults of processes, links and disks, drawn from the seed in addition to
    /// `faults`.
    #[serde(default)]
    pub drawn: usize,
    /// The faults, and the ends of faults, in any order.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The fleet's duties in a drill.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// The number of voters, which are the members with the lowest numbers: 1, 3, 5 or 7.
    pub voters: usize,
    /// The names of the duties.
    pub names: Vec<String>,
    /// Whether the owner of the duty "export" sends exports to a stand-in sink, five times a second.
    #[serde(default)]
    pub export: bool,
    /// Members whose files name themselves as the only voter: a wrong configuration, which the checks must
    /// detect.
    #[serde(default)]
    pub alone: Vec<usize>,
    /// The lease of a duty's owner. Default: that of the program, 1 s.
    #[serde(default, with = "humantime_option")]
    pub lease: Option<Duration>,
    /// The longest time after a fault until each duty has an acting owner again, counted while a majority of
    /// voters runs. Default: three leases and 4 s, since the machine is busy with the drill itself.
    #[serde(default, with = "humantime_option")]
    pub gap: Option<Duration>,
}

/// One fault, or the end of one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault is injected, counted from the time at which all initial members see each other.
    #[serde(with = "humantime_text")]
    pub at: Duration,
    /// The kind of fault.
    pub what: FaultKind,
    /// The numbers of the members concerned, or of the nodes for a fault of nodes.
    #[serde(default)]
    pub members: Vec<usize>,
    /// For "cut" alone: the members to which the links are cut.
    #[serde(default)]
    pub to: Vec<usize>,
}

/// The kind of a fault, or of the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The processes get SIGKILL.
    Kill,
    /// The processes get SIGTERM: the members leave the fleet in an orderly way.
    Term,
    /// The processes are suspended by SIGSTOP.
    Stop,
    /// The suspended processes are continued by SIGCONT.
    Continue,
    /// The processes are started; one that runs is killed first.
    Start,
    /// No datagram passes from `members` to `to`; the other direction stays open.
    Cut,
    /// No datagram passes between `members` and all other members.
    Split,
    /// Every cut and split ends.
    Heal,
    /// All members get a new key, which they use first, and keep the old one.
    RotateKeys,
    /// All members drop the old key.
    DropOldKey,
    /// The processes can't write to files any more, as on a full disk, by a limit of the file size set from
    /// outside.
    FillDisk,
    /// The limit of the file size is removed.
    FreeDisk,
    /// The folders in which voters store their votes are removed while the processes run.
    RemoveFolder,
    /// For members that don't run: their stored state gets an incomplete last record, as after a power
    /// failure.
    TearFile,
    /// For members that don't run: their state folders are copied aside.
    KeepCopy,
    /// For members that don't run: the copies replace the state folders, and with them all that was stored
    /// since.
    RestoreCopy,
    /// Nodes accept requests and never respond. `members` are nodes.
    HangNodes,
    /// Nodes respond 500 at once. `members` are nodes.
    FailNodes,
    /// Nodes respond normally again. `members` are nodes.
    MendNodes,
}

impl FaultKind {
    /// Whether the fault concerns nodes and not members.
    pub fn concerns_nodes(self) -> bool {
        matches!(self, FaultKind::HangNodes | FaultKind::FailNodes | FaultKind::MendNodes)
    }
}

fn one() -> usize {
    1
}

/// Why a script can't be used.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// The text is not TOML, or has unknown, missing or mistyped keys.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// A value is out of range, or contradicts another.
    #[error("{0}")]
    Value(String),
}

impl Script {
    /// Returns the script with the random faults drawn and sorted in among the others.
    pub fn with_drawn_faults(&self) -> Script {
        let mut script = self.clone();
        if script.drawn > 0 {
            script.faults.extend(crate::draw::draw_faults(self, self.drawn));
            script.faults.sort_by_key(|fault| fault.at);
            script.drawn = 0;
        }
        script
    }

    /// Whether a member can't join the fleet, since it has another key or another protocol version.
    pub fn is_outside(&self, member: usize) -> bool {
        self.strangers.contains(&member) || self.other_version.contains(&member)
    }

    /// Whether a member can't reach some of its nodes.
    pub fn is_blind(&self, member: usize) -> bool {
        self.blind.contains_key(&member.to_string())
    }

    /// Reads and checks a script file.
    pub fn load(path: &str) -> Result<Script, ScriptError> {
        Script::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses and checks the text of a script.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let script: Script = toml::from_str(text)?;
        script.check()?;
        Ok(script)
    }

    /// Checks ranges and dependencies of values, which parsing alone does not.
    pub fn check(&self) -> Result<(), ScriptError> {
        let script = self;
        let invalid = |what: String| Err(ScriptError::Value(what));
        if !(1..=200).contains(&script.members) {
            return invalid(format!("members: {} is out of range; use 1 to 200", script.members));
        }
        for (key, share) in [("loss", script.loss), ("twice", script.twice)] {
            if !(0.0..1.0).contains(&share) {
                return invalid(format!("{key}: {share} is out of range; use 0 to below 1"));
            }
        }
        if !(1..=1000).contains(&script.nodes) {
            return invalid(format!("nodes: {} is out of range; use 1 to 1000", script.nodes));
        }
        if !(1..=64).contains(&script.load) {
            return invalid(format!("load: {} is out of range; use 1 to 64", script.load));
        }
        let fault_nodes =
            script.faults.iter().filter(|fault| fault.what.concerns_nodes()).flat_map(|fault| &fault.members);
        if let Some(i) = fault_nodes.chain(script.blind.values().flatten()).find(|&&i| i >= script.nodes) {
            return invalid(format!("node {i} does not exist; there are {}, numbered from 0", script.nodes));
        }
        let is_member_number = |k: &String| k.parse::<usize>().ok().filter(|&i| i < script.members).is_some();
        if let Some(key) = script.blind.keys().chain(script.named_as.keys()).find(|k| !is_member_number(k)) {
            return invalid(format!(
                "blind, named_as: {key:?} is not the number of a member; there are {}",
                script.members
            ));
        }
        let listed_members = script.late.iter().chain(&script.strangers).chain(&script.other_version);
        let fault_members = script.faults.iter().filter(|fault| !fault.what.concerns_nodes());
        let fault_members = fault_members.flat_map(|fault| fault.members.iter().chain(&fault.to));
        if let Some(i) = listed_members.chain(fault_members).find(|&&i| i >= script.members) {
            return invalid(format!(
                "member {i} does not exist; there are {}, numbered from 0",
                script.members
            ));
        }
        if let Some(duties) = &script.duties {
            if !matches!(duties.voters, 1 | 3 | 5 | 7)
                || duties.voters > script.members
                || duties.names.is_empty()
            {
                return invalid(format!(
                    "duties: needs 1, 3, 5 or 7 voters, no more than the {} members, and at least one name",
                    script.members
                ));
            }
        }
        for (i, fault) in script.faults.iter().enumerate() {
            let takes_no_members =
                matches!(fault.what, FaultKind::Heal | FaultKind::RotateKeys | FaultKind::DropOldKey);
            if takes_no_members != fault.members.is_empty() {
                let requirement = if takes_no_members { "takes no members" } else { "needs members" };
                return invalid(format!("faults[{i}]: {:?} {requirement}", fault.what));
            }
            if (fault.what == FaultKind::Cut) == fault.to.is_empty() {
                return invalid(format!("faults[{i}]: to is allowed for \"cut\" alone, which needs it"));
            }
            if fault.at > script.time {
                return invalid(format!("faults[{i}].at is after time, the end of the drill's faults"));
            }
        }
        Ok(())
    }
}

mod humantime_text {
    use serde::{de::Error, Deserialize, Deserializer};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        humantime::parse_duration(&String::deserialize(d)?).map_err(D::Error::custom)
    }
}

mod humantime_option {
    use serde::{de::Error, Deserialize, Deserializer};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
        humantime::parse_duration(&String::deserialize(d)?).map(Some).map_err(D::Error::custom)
    }
}

#[cfg(test)]
#[path = "script_tests.rs"]
mod tests;
