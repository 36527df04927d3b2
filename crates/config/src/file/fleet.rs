//! The checks and defaults of `[fleet]`.

use super::check::Check;
use super::format::{self, File};
use super::problems::KeyPath;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The link to the other balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where datagrams are taken.
    pub address: SocketAddr,
    /// Where peers reach this member.
    pub advertise: SocketAddr,
    /// Its name.
    pub name: String,
    /// Its zone; may be empty.
    pub zone: String,
    /// Members that let it in.
    pub seeds: Vec<SocketAddr>,
    /// Its keys; without them all addresses are loopback.
    pub key_file: Option<PathBuf>,
    /// How often a member is probed.
    pub probe_period: Duration,
    /// After this a silent member is taken to be dead,
    pub suspicion_timeout: Duration,
    /// and after this it is forgotten.
    pub forget_after: Duration,
    /// How often peers are asked for news.
    pub ask_every: Duration,
    /// How many, beside one by chance.
    pub ask_peers: usize,
    /// When news is void.
    pub max_age: Duration,
    /// Members that are known at the most.
    pub max_members: usize,
    /// Pieces of news that are held at the most.
    pub max_facts: usize,
    /// The fleet's least size,
    pub size_floor: u32,
    /// and for how long a larger one is held.
    pub size_hold: Duration,
    /// Bytes a second that are sent at the most.
    pub max_send_bytes_per_second: u64,
    /// Datagrams a second that are looked at at the most.
    pub max_receive_datagrams_per_second: u64,
    /// Work that one member does on behalf of all.
    pub duties: Option<Duties>,
}

/// The fleet's duties, and who decides about them.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// The names of the voters, numbered from 1 in this order.
    pub voters: Vec<String>,
    /// Where this member's votes are stored, if it is a voter.
    pub folder: Option<PathBuf>,
    /// For how long a voter's promise holds.
    pub lease: Duration,
    /// Duties whose work others do.
    pub names: Vec<String>,
    /// The duty of telling a sink all members' figures.
    pub export: Option<Export>,
}

/// Where all members' figures are told.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// The sink.
    pub address: SocketAddr,
    /// The path of its POST.
    pub path: String,
    /// How often.
    pub interval: Duration,
}

/// The name of the duty that tells a sink.
const EXPORT: &str = "export";

impl Duties {
    /// The names of all duties.
    pub fn all_names(&self) -> Vec<String> {
        let export = self.export.iter().map(|_| EXPORT.to_string());
        self.names.iter().cloned().chain(export).collect()
    }
}

/// News has to pass several members before it is void.
const ASKINGS: u32 = 10;

impl Check<'_, '_> {
    pub(super) fn fleet(&mut self, file: &File, f: &format::Fleet) -> Fleet {
        let top = KeyPath::default();
        let key = top.key("fleet");
        let (ms, second) = (Duration::from_millis(1), Duration::from_secs(1));
        let address = self.address(&key.key("address"), &f.address);
        let advertise = match &f.advertise {
            Some(text) => self.address(&key.key("advertise"), text),
            None => address,
        };
        if advertise.ip().is_unspecified() {
            let what = format!("fleet.address {address} is no address that peers can send to");
            self.note(&key.key("advertise"), &what, "give fleet.advertise the one that reaches this member");
        }
        if f.advertise.is_some() && advertise.port() == 0 {
            self.note(&key.key("advertise"), "has port 0", "give it the port that reaches this member");
        }
        let seeds: Vec<SocketAddr> =
            f.seeds.iter().enumerate().map(|(i, s)| self.address(&key.key("seeds").index(i), s)).collect();
        if f.key_file.is_none() {
            let all = [("address", address), ("advertise", advertise)];
            let seeds = seeds.iter().map(|s| ("seeds", *s));
            for (name, a) in all.into_iter().chain(seeds) {
                let told = name != "advertise" || f.advertise.is_some();
                if told && !a.ip().is_loopback() {
                    let what = format!("fleet.{name} {a} is not loopback, and fleet.key_file is missing");
                    self.note(&key.key(name), &what, "give fleet.key_file: without keys anybody could join");
                }
            }
        }
        let name = f.name.as_ref().or(file.name.as_ref());
        if name.is_none() {
            self.note(
                &key.key("name"),
                "fleet.name and name are both missing",
                "give this member a name of its own",
            );
        }
        for (at, text) in [("name", name), ("zone", f.zone.as_ref())] {
            if text.is_some_and(|t| {
                t.len() > 64 || (t.is_empty() && at == "name") || t.chars().any(char::is_control)
            }) {
                self.note(
                    &key.key(at),
                    "is empty, longer than 64 bytes, or has control characters",
                    "use 1 to 64 bytes",
                );
            }
        }
        let probe_period = self.time(&key.key("probe_period"), f.probe_period.as_ref(), second, 10 * ms);
        let suspicion = self.time(&key.key("suspicion"), f.suspicion.as_ref(), 3 * second, 10 * ms);
        if suspicion < probe_period {
            let what =
                format!("fleet.suspicion {suspicion:?} is shorter than fleet.probe_period {probe_period:?}");
            self.note(&key.key("suspicion"), &what, "a member must have a period's time to object: raise it");
        }
        let forget_after =
            self.time(&key.key("forget_after"), f.forget_after.as_ref(), 600 * second, 10 * ms);
        if forget_after < 2 * suspicion {
            let what = format!(
                "fleet.forget_after {forget_after:?} is shorter than twice fleet.suspicion {suspicion:?}"
            );
            self.note(
                &key.key("forget_after"),
                &what,
                "a dead member that is forgotten early comes back by hearsay",
            );
        }
        let ask_every = self.time(&key.key("ask_every"), f.ask_every.as_ref(), 200 * ms, 5 * ms);
        let max_age = self.time(&key.key("max_age"), f.max_age.as_ref(), 20 * second, 10 * ms);
        if max_age < ASKINGS * ask_every {
            let what = format!(
                "fleet.max_age {max_age:?} is shorter than {ASKINGS} times fleet.ask_every {ask_every:?}"
            );
            self.note(&key.key("max_age"), &what, "news would be void before it has reached all members");
        }
        let members = self.whole(&key.key("members"), f.members, 4096, 2, 65_536);
        let size_floor = self.whole(&key.key("size_floor"), f.size_floor, 1, 1, 65_536);
        if size_floor > members {
            let what = format!("fleet.size_floor {size_floor} is above fleet.members {members}");
            self.note(&key.key("size_floor"), &what, "lower fleet.size_floor or raise fleet.members");
        }
        Fleet {
            address,
            advertise,
            name: name.cloned().unwrap_or_default(),
            zone: f.zone.clone().unwrap_or_default(),
            seeds,
            key_file: f.key_file.as_ref().map(PathBuf::from),
            probe_period,
            suspicion_timeout: suspicion,
            forget_after,
            ask_every,
            ask_peers: self.whole(&key.key("ask_peers"), f.ask_peers, 3, 1, 16),
            max_age,
            max_members: members,
            max_facts: self.whole(&key.key("facts"), f.facts, 8192, 64, 1 << 20),
            duties: f.duties.as_ref().map(|d| self.duties(&key.key("duties"), d, name)),
            size_floor: size_floor as u32,
            size_hold: self.time(&key.key("size_hold"), f.size_hold.as_ref(), 60 * second, Duration::ZERO),
            max_send_bytes_per_second: self.whole(&key.key("send_kb"), f.send_kb, 256, 8, 65_536) as u64
                * 1024,
            max_receive_datagrams_per_second: self.whole(
                &key.key("receive_datagrams"),
                f.receive_datagrams,
                10_000,
                100,
                1_000_000,
            ) as u64,
        }
    }

    fn duties(&mut self, key: &KeyPath, d: &format::Duties, name: Option<&String>) -> Duties {
        let distinct: std::collections::BTreeSet<&String> = d.voters.iter().collect();
        if !matches!(d.voters.len(), 1 | 3 | 5 | 7) || distinct.len() != d.voters.len() {
            let what = format!("names {} members, {} of them different", d.voters.len(), distinct.len());
            self.note(&key.key("voters"), &what, "name 1, 3, 5 or 7 different members");
        }
        let votes = name.is_some_and(|n| d.voters.contains(n));
        if votes && d.folder.is_none() {
            let name = name.map_or("", String::as_str);
            let what = format!("is missing, and {name:?} is one of fleet.duties.voters");
            self.note(&key.key("folder"), &what, "a voter has to store what it promises: give it a folder");
        }
        if !votes && d.folder.is_some() {
            let what = "is given, and this member is not one of fleet.duties.voters";
            self.note(&key.key("folder"), what, "take it out, or name this member as a voter");
        }
        let ms = Duration::from_millis(1);
        let lease = self.time(&key.key("lease"), d.lease.as_ref(), 1000 * ms, 200 * ms);
        if lease > Duration::from_secs(60) {
            self.note(
                &key.key("lease"),
                "is longer than a minute",
                "a dead owner's work would stand still: lower it",
            );
        }
        for (i, n) in d.names.iter().enumerate() {
            let fits =
                !n.is_empty() && n.len() <= 64 && !n.chars().any(|c| c.is_control() || c.is_whitespace());
            if !fits || d.names[..i].contains(n) {
                self.note(
                    &key.key("names").index(i),
                    "is no name of its own",
                    "use 1 to 64 bytes without spaces, once",
                );
            }
        }
        if d.names.len() > 1000 {
            self.note(&key.key("names"), "names more than 1000 duties", "name fewer");
        }
        Duties {
            voters: d.voters.clone(),
            folder: d.folder.as_ref().map(PathBuf::from),
            lease,
            names: d.names.clone(),
            export: d.export.as_ref().map(|e| self.export(&key.key("export"), d, e)),
        }
    }

    fn export(&mut self, key: &KeyPath, d: &format::Duties, e: &format::Export) -> Export {
        if d.names.iter().any(|n| n == EXPORT) {
            let what = "is also a name in fleet.duties.names";
            self.note(key, what, "take it out there: this table makes the duty \"export\"");
        }
        let path = e.path.clone().unwrap_or_else(|| "/".into());
        if !path.starts_with('/') || path.bytes().any(|b| b <= b' ' || b >= 127) || path.len() > 1024 {
            self.note(&key.key("path"), "is no path", "begin it with a slash, without spaces");
        }
        let ms = Duration::from_millis(1);
        Export {
            address: self.address(&key.key("address"), &e.address),
            path,
            interval: self.time(&key.key("every"), e.every.as_ref(), 10_000 * ms, 100 * ms),
        }
    }
}
