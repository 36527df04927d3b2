//! The checks and defaults of the table `[fleet]` in the operator's file.

use super::check::Checker;
use super::format::{self, File};
use super::problems::KeyPath;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The link of this member to the other balancers of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The UDP address on which this member receives datagrams.
    pub address: SocketAddr,
    /// The address at which peers reach this member.
    pub advertise: SocketAddr,
    /// The name of this member, which no other member has.
    pub name: String,
    /// The zone of this member; may be empty.
    pub zone: String,
    /// Addresses of members that are contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The file of this member's keys; without one, all addresses must be loopback.
    pub key_file: Option<PathBuf>,
    /// The time between two probes; each probes one member chosen at random.
    pub probe_period: Duration,
    /// A suspected member that does not respond is taken to be dead after this time.
    pub suspicion_timeout: Duration,
    /// A dead member is forgotten after this time.
    pub forget_after: Duration,
    /// The time between two rounds in which peers are asked for updates.
    pub ask_every: Duration,
    /// The number of peers asked in each round, beside one chosen at random.
    pub ask_peers: usize,
    /// Reports of peers that are older than this are no longer used.
    pub max_age: Duration,
    /// The most members that are tracked.
    pub max_members: usize,
    /// The most reports of peers that are stored.
    pub max_facts: usize,
    /// The fleet is assumed to have at least this many members.
    pub size_floor: u32,
    /// The fleet is also assumed to have at least as many members as were alive at once within this time.
    pub size_hold: Duration,
    /// The most bytes that are sent per second.
    pub max_send_bytes_per_second: u64,
    /// The most datagrams that are processed per second; further ones are dropped.
    pub max_receive_datagrams_per_second: u64,
    /// The fleet's duties, each of which one member does on behalf of all; `None` if there are none.
    pub duties: Option<Duties>,
}

/// The fleet's duties, and the members that vote on their owners.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// The names of the voters, numbered from 1 in this order.
    pub voters: Vec<String>,
    /// The folder where this member's votes are stored, if it is a voter.
    pub folder: Option<PathBuf>,
    /// How long a voter's promise to an owner is valid.
    pub lease: Duration,
    /// The names of the duties whose work is done outside the balancers.
    pub names: Vec<String>,
    /// The settings of the duty that exports the figures of all members to a sink.
    pub export: Option<Export>,
}

/// The sink to which the figures of all members are exported.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// The address of the sink.
    pub address: SocketAddr,
    /// The path of the POST requests.
    pub path: String,
    /// The time between two exports.
    pub interval: Duration,
}

/// The name of the duty that exports figures to a sink.
const EXPORT_DUTY: &str = "export";

impl Duties {
    /// The names of all duties: those in `names`, then the export if there is one.
    pub fn all_names(&self) -> Vec<String> {
        let export = self.export.iter().map(|_| EXPORT_DUTY.to_string());
        self.names.iter().cloned().chain(export).collect()
    }
}

/// The least number of rounds of asking within `max_age`: a report has to pass through several members before
/// it expires.
const MIN_ROUNDS_PER_MAX_AGE: u32 = 10;

impl Checker<'_, '_> {
    pub(super) fn fleet(&mut self, file: &File, spec: &format::Fleet) -> Fleet {
        let root = KeyPath::default();
        let key = root.key("fleet");
        let (ms, second) = (Duration::from_millis(1), Duration::from_secs(1));
        let address = self.address(&key.key("address"), &spec.address);
        let advertise = match &spec.advertise {
            Some(text) => self.address(&key.key("advertise"), text),
            None => address,
        };
        if advertise.ip().is_unspecified() {
            let what = format!("fleet.address {address} is no address that peers can send to");
            self.report_str(
                &key.key("advertise"),
                &what,
                "give fleet.advertise the one that reaches this member",
            );
        }
        if spec.advertise.is_some() && advertise.port() == 0 {
            self.report_str(&key.key("advertise"), "has port 0", "give it the port that reaches this member");
        }
        let seeds: Vec<SocketAddr> =
            spec.seeds.iter().enumerate().map(|(i, s)| self.address(&key.key("seeds").index(i), s)).collect();
        if spec.key_file.is_none() {
            let all = [("address", address), ("advertise", advertise)];
            let seeds = seeds.iter().map(|s| ("seeds", *s));
            for (name, address_given) in all.into_iter().chain(seeds) {
                let is_written = name != "advertise" || spec.advertise.is_some();
                if is_written && !address_given.ip().is_loopback() {
                    let what = format!(
                        "fleet.{name} {address_given} is not loopback, and fleet.key_file is missing"
                    );
                    self.report_str(
                        &key.key(name),
                        &what,
                        "give fleet.key_file: without keys anybody could join",
                    );
                }
            }
        }
        let name = spec.name.as_ref().or(file.name.as_ref());
        if name.is_none() {
            self.report_str(
                &key.key("name"),
                "fleet.name and name are both missing",
                "give this member a name of its own",
            );
        }
        for (key_name, text) in [("name", name), ("zone", spec.zone.as_ref())] {
            if text.is_some_and(|t| {
                t.len() > 64 || (t.is_empty() && key_name == "name") || t.chars().any(char::is_control)
            }) {
                self.report_str(
                    &key.key(key_name),
                    "is empty, longer than 64 bytes, or has control characters",
                    "use 1 to 64 bytes",
                );
            }
        }
        let probe_period =
            self.duration(&key.key("probe_period"), spec.probe_period.as_ref(), second, 10 * ms);
        let suspicion = self.duration(&key.key("suspicion"), spec.suspicion.as_ref(), 3 * second, 10 * ms);
        if suspicion < probe_period {
            let what =
                format!("fleet.suspicion {suspicion:?} is shorter than fleet.probe_period {probe_period:?}");
            self.report_str(
                &key.key("suspicion"),
                &what,
                "raise it: a suspected member needs a probe period to respond",
            );
        }
        let forget_after =
            self.duration(&key.key("forget_after"), spec.forget_after.as_ref(), 600 * second, 10 * ms);
        if forget_after < 2 * suspicion {
            let what = format!(
                "fleet.forget_after {forget_after:?} is shorter than twice fleet.suspicion {suspicion:?}"
            );
            self.report_str(
                &key.key("forget_after"),
                &what,
                "raise it: a dead member that is forgotten early is added again from peers' reports",
            );
        }
        let ask_every = self.duration(&key.key("ask_every"), spec.ask_every.as_ref(), 200 * ms, 5 * ms);
        let max_age = self.duration(&key.key("max_age"), spec.max_age.as_ref(), 20 * second, 10 * ms);
        if max_age < MIN_ROUNDS_PER_MAX_AGE * ask_every {
            let what = format!(
                "fleet.max_age {max_age:?} is shorter than {MIN_ROUNDS_PER_MAX_AGE} times \
                 fleet.ask_every {ask_every:?}"
            );
            self.report_str(
                &key.key("max_age"),
                &what,
                "raise it: reports would expire before they have reached all members",
            );
        }
        let members = self.integer(&key.key("members"), spec.members, 4096, 2, 65_536);
        let size_floor = self.integer(&key.key("size_floor"), spec.size_floor, 1, 1, 65_536);
        if size_floor > members {
            let what = format!("fleet.size_floor {size_floor} is above fleet.members {members}");
            self.report_str(&key.key("size_floor"), &what, "lower fleet.size_floor or raise fleet.members");
        }
        Fleet {
            address,
            advertise,
            name: name.cloned().unwrap_or_default(),
            zone: spec.zone.clone().unwrap_or_default(),
            seeds,
            key_file: spec.key_file.as_ref().map(PathBuf::from),
            probe_period,
            suspicion_timeout: suspicion,
            forget_after,
            ask_every,
            ask_peers: self.integer(&key.key("ask_peers"), spec.ask_peers, 3, 1, 16),
            max_age,
            max_members: members,
            max_facts: self.integer(&key.key("facts"), spec.facts, 8192, 64, 1 << 20),
            duties: spec.duties.as_ref().map(|d| self.duties(&key.key("duties"), d, name)),
            size_floor: size_floor as u32,
            size_hold: self.duration(
                &key.key("size_hold"),
                spec.size_hold.as_ref(),
                60 * second,
                Duration::ZERO,
            ),
            max_send_bytes_per_second: self.integer(&key.key("send_kb"), spec.send_kb, 256, 8, 65_536) as u64
                * 1024,
            max_receive_datagrams_per_second: self.integer(
                &key.key("receive_datagrams"),
                spec.receive_datagrams,
                10_000,
                100,
                1_000_000,
            ) as u64,
        }
    }

    fn duties(&mut self, key: &KeyPath, spec: &format::Duties, name: Option<&String>) -> Duties {
        let distinct: std::collections::BTreeSet<&String> = spec.voters.iter().collect();
        if !matches!(spec.voters.len(), 1 | 3 | 5 | 7) || distinct.len() != spec.voters.len() {
            let what = format!("names {} members, {} of them different", spec.voters.len(), distinct.len());
            self.report_str(&key.key("voters"), &what, "name 1, 3, 5 or 7 different members");
        }
        let votes = name.is_some_and(|name| spec.voters.contains(name));
        if votes && spec.folder.is_none() {
            let name = name.map_or("", String::as_str);
            let what = format!("is missing, and {name:?} is one of fleet.duties.voters");
            self.report_str(&key.key("folder"), &what, "give it a folder: a voter has to store its promises");
        }
        if !votes && spec.folder.is_some() {
            let what = "is given, and this member is not one of fleet.duties.voters";
            self.report_str(&key.key("folder"), what, "take it out, or name this member as a voter");
        }
        let ms = Duration::from_millis(1);
        let lease = self.duration(&key.key("lease"), spec.lease.as_ref(), 1000 * ms, 200 * ms);
        if lease > Duration::from_secs(60) {
            self.report_str(
                &key.key("lease"),
                "is longer than a minute",
                "lower it: the duties of a dead owner are not done for that long",
            );
        }
        for (i, duty) in spec.names.iter().enumerate() {
            let fits = !duty.is_empty()
                && duty.len() <= 64
                && !duty.chars().any(|c| c.is_control() || c.is_whitespace());
            if !fits || spec.names[..i].contains(duty) {
                self.report_str(
                    &key.key("names").index(i),
                    "is no name of its own",
                    "use 1 to 64 bytes without spaces, once",
                );
            }
        }
        if spec.names.len() > 1000 {
            self.report_str(&key.key("names"), "names more than 1000 duties", "name fewer");
        }
        Duties {
            voters: spec.voters.clone(),
            folder: spec.folder.as_ref().map(PathBuf::from),
            lease,
            names: spec.names.clone(),
            export: spec.export.as_ref().map(|e| self.export(&key.key("export"), spec, e)),
        }
    }

    fn export(&mut self, key: &KeyPath, duties: &format::Duties, spec: &format::Export) -> Export {
        if duties.names.iter().any(|n| n == EXPORT_DUTY) {
            let what = "is also a name in fleet.duties.names";
            self.report_str(key, what, "take it out there: this table makes the duty \"export\"");
        }
        let path = spec.path.clone().unwrap_or_else(|| "/".into());
        if !path.starts_with('/') || path.bytes().any(|b| b <= b' ' || b >= 127) || path.len() > 1024 {
            self.report_str(&key.key("path"), "is not a path", "begin it with a slash, without spaces");
        }
        let ms = Duration::from_millis(1);
        Export {
            address: self.address(&key.key("address"), &spec.address),
            path,
            interval: self.duration(&key.key("every"), spec.every.as_ref(), 10_000 * ms, 100 * ms),
        }
    }
}
