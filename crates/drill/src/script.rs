//! What a drill does, as it is written.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// A drill.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// For everything that is drawn.
    #[serde(default)]
    pub seed: u64,
    /// Processes, numbered from 0. 1 to 200.
    pub members: usize,
    /// Stand-in nodes that the members balance over. Default: 1.
    #[serde(default = "one")]
    pub nodes: usize,
    /// Requests that each member gets at once, some ten times a second. Default: 1.
    #[serde(default = "one")]
    pub load: usize,
    /// Zones, given to members in turn.
    #[serde(default)]
    pub zones: Vec<String>,
    /// For how long faults may come.
    #[serde(with = "humantime_text")]
    pub time: Duration,
    /// All that run must agree on who is there within this after `time`. Default: what the fleet's times allow.
    #[serde(default, with = "humantime_option")]
    pub settle: Option<Duration>,
    /// Keys of `[fleet]` in the members' files, as they are written there.
    #[serde(default)]
    pub fleet: BTreeMap<String, toml::Value>,
    /// Work that one member does for all: each member's file has it, and checks hold to it.
    #[serde(default)]
    pub duties: Option<Duties>,
    /// Members that start later than the drill: by a fault "start".
    #[serde(default)]
    pub late: Vec<usize>,
    /// Members that hold another key than the rest.
    #[serde(default)]
    pub strangers: Vec<usize>,
    /// Members, by number, that have another's name.
    #[serde(default)]
    pub named_as: BTreeMap<String, String>,
    /// Members, by number, and nodes that they can't reach: a broken link of their own.
    #[serde(default)]
    pub blind: BTreeMap<String, Vec<usize>>,
    /// Members whose datagrams bear another version of the protocol, as an older or newer program's do.
    #[serde(default)]
    pub other_version: Vec<usize>,
    /// The `max_age` that checks hold members to, where it is not that of `[fleet]`: one that is shorter has to fail.
    #[serde(default, with = "humantime_option")]
    pub checked_max_age: Option<Duration>,
    /// Every link loses this part of its datagrams from the start.
    #[serde(default)]
    pub loss: f64,
    /// And repeats this part.
    #[serde(default)]
    pub twice: f64,
    /// And delays each by up to this, which has them overtake each other.
    #[serde(default, with = "humantime_option")]
    pub delay: Option<Duration>,
    /// So many faults of processes, links and disks are drawn by the seed, beside `faults`.
    #[serde(default)]
    pub drawn: usize,
    /// What is done to them.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The fleet's duties.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// The first so many members are voters: 1, 3, 5 or 7.
    pub voters: usize,
    /// Names of duties.
    pub names: Vec<String>,
    /// Whoever owns the duty "export" tells a stand-in sink five times a second.
    #[serde(default)]
    pub export: bool,
    /// Members whose files name themselves as the only voter: a wrong configuration, which checks have to show.
    #[serde(default)]
    pub alone: Vec<usize>,
    /// Default: that of the program, 1 s.
    #[serde(default, with = "humantime_option")]
    pub lease: Option<Duration>,
    /// Each duty has an owner that acts within this after a fault, where a majority of voters is there. Default: three
    /// leases and 4 s, on a machine that is busy with the drill itself.
    #[serde(default, with = "humantime_option")]
    pub gap: Option<Duration>,
}

/// One fault, or the end of one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the time when all that start at once see each other.
    #[serde(with = "humantime_text")]
    pub at: Duration,
    /// What.
    pub what: What,
    /// To whom.
    #[serde(default)]
    pub members: Vec<usize>,
    /// Links to these alone ("cut").
    #[serde(default)]
    pub to: Vec<usize>,
}

/// What a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL.
    Kill,
    /// SIGTERM: the member leaves in good order.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// The process is started, anew if it was there.
    Start,
    /// Nothing passes from `members` to `to`; the other direction stays.
    Cut,
    /// Nothing passes between `members` and all others.
    Split,
    /// All links are whole again.
    Heal,
    /// All members get a new key first and keep the old one.
    RotateKeys,
    /// The old key goes.
    DropOldKey,
    /// The processes' files can't grow any more, as on a full disk: a limit that is set on them from outside.
    FillDisk,
    /// They can.
    FreeDisk,
    /// The folders in which voters store what they promise are removed under the running process.
    RemoveFolder,
    /// Of members that are gone: what they stored ends in a record that was cut off in the middle, as by a power cut.
    TearFile,
    /// Of members that are gone: a copy of their folders is kept.
    KeepCopy,
    /// Of members that are gone: the copy takes the place of what they stored since.
    RestoreCopy,
    /// Nodes take requests and answer none. `members` are nodes.
    HangNodes,
    /// Nodes answer 500 at once. `members` are nodes.
    FailNodes,
    /// Nodes are well again. `members` are nodes.
    MendNodes,
}

impl What {
    /// Whether it befalls nodes.
    pub fn of_nodes(self) -> bool {
        matches!(self, What::HangNodes | What::FailNodes | What::MendNodes)
    }
}

fn one() -> usize {
    1
}

/// What is wrong with a script.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// It can't be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// It is not as it should be written.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("{0}")]
    Value(String),
}

impl Script {
    /// The script with what is drawn in its place among the faults.
    pub fn with_drawn(&self) -> Script {
        let mut s = self.clone();
        if s.drawn > 0 {
            s.faults.extend(crate::draw::faults(self, self.drawn));
            s.faults.sort_by_key(|f| f.at);
            s.drawn = 0;
        }
        s
    }

    /// Whether a member can't be one of the fleet: it has another key, or speaks another version.
    pub fn is_outside(&self, member: usize) -> bool {
        self.strangers.contains(&member) || self.other_version.contains(&member)
    }

    /// Whether nodes of a member don't answer it.
    pub fn is_blind(&self, member: usize) -> bool {
        self.blind.contains_key(&member.to_string())
    }

    /// Reads a script.
    pub fn load(path: &str) -> Result<Script, ScriptError> {
        Script::parse(&std::fs::read_to_string(path)?)
    }

    /// Checks the text of a script.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let s: Script = toml::from_str(text)?;
        s.check()?;
        Ok(s)
    }

    /// Checks what the form alone does not.
    pub fn check(&self) -> Result<(), ScriptError> {
        let s = self;
        let wrong = |what: String| Err(ScriptError::Value(what));
        if !(1..=200).contains(&s.members) {
            return wrong(format!("members: {} is out of range; use 1 to 200", s.members));
        }
        for (key, part) in [("loss", s.loss), ("twice", s.twice)] {
            if !(0.0..1.0).contains(&part) {
                return wrong(format!("{key}: {part} is out of range; use 0 to below 1"));
            }
        }
        if !(1..=1000).contains(&s.nodes) {
            return wrong(format!("nodes: {} is out of range; use 1 to 1000", s.nodes));
        }
        if !(1..=64).contains(&s.load) {
            return wrong(format!("load: {} is out of range; use 1 to 64", s.load));
        }
        let of_nodes = s.faults.iter().filter(|f| f.what.of_nodes()).flat_map(|f| &f.members);
        if let Some(i) = of_nodes.chain(s.blind.values().flatten()).find(|&&i| i >= s.nodes) {
            return wrong(format!("node {i} is named, and there are {}", s.nodes));
        }
        let number = |k: &String| k.parse::<usize>().ok().filter(|&i| i < s.members).is_some();
        if let Some(key) = s.blind.keys().chain(s.named_as.keys()).find(|k| !number(k)) {
            return wrong(format!("blind, named_as: {key:?} is no member; there are {}", s.members));
        }
        let listed = s.late.iter().chain(&s.strangers).chain(&s.other_version);
        let named = s.faults.iter().filter(|f| !f.what.of_nodes());
        let named = named.flat_map(|f| f.members.iter().chain(&f.to));
        if let Some(i) = listed.chain(named).find(|&&i| i >= s.members) {
            return wrong(format!("member {i} is named, and there are {}", s.members));
        }
        if let Some(d) = &s.duties {
            if !matches!(d.voters, 1 | 3 | 5 | 7) || d.voters > s.members || d.names.is_empty() {
                return wrong(format!("duties: 1, 3, 5 or 7 voters of {} members, and a name", s.members));
            }
        }
        for (i, f) in s.faults.iter().enumerate() {
            let whole = matches!(f.what, What::Heal | What::RotateKeys | What::DropOldKey);
            if whole != f.members.is_empty() {
                let what = if whole { "takes no members" } else { "needs members" };
                return wrong(format!("faults[{i}]: {:?} {what}", f.what));
            }
            if (f.what == What::Cut) == f.to.is_empty() {
                return wrong(format!("faults[{i}]: to is for \"cut\", which needs it"));
            }
            if f.at > s.time {
                return wrong(format!("faults[{i}].at is after time"));
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
