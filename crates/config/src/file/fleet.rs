//! The checks and defaults of `[fleet]`.

use super::check::Check;
use super::format::{self, File};
use super::problems::Path;
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
    pub suspicion: Duration,
    /// and after this it is forgotten.
    pub forget_after: Duration,
    /// How often peers are asked for news.
    pub ask_every: Duration,
    /// How many, beside one by chance.
    pub ask_peers: usize,
    /// When news is void.
    pub max_age: Duration,
    /// Members that are known at the most.
    pub members: usize,
    /// Pieces of news that are held at the most.
    pub facts: usize,
    /// The fleet's least size,
    pub size_floor: u32,
    /// and for how long a larger one is held.
    pub size_hold: Duration,
    /// Bytes a second that are sent at the most.
    pub send_bytes: u64,
    /// Datagrams a second that are looked at at the most.
    pub receive_datagrams: u64,
}

/// News has to pass several members before it is void.
const ASKINGS: u32 = 10;

impl Check<'_, '_> {
    pub(super) fn fleet(&mut self, file: &File, f: &format::Fleet) -> Fleet {
        let top = Path::default();
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
            f.seeds.iter().enumerate().map(|(i, s)| self.address(&key.key("seeds").at(i), s)).collect();
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
            suspicion,
            forget_after,
            ask_every,
            ask_peers: self.whole(&key.key("ask_peers"), f.ask_peers, 3, 1, 16),
            max_age,
            members,
            facts: self.whole(&key.key("facts"), f.facts, 8192, 64, 1 << 20),
            size_floor: size_floor as u32,
            size_hold: self.time(&key.key("size_hold"), f.size_hold.as_ref(), 60 * second, Duration::ZERO),
            send_bytes: self.whole(&key.key("send_kb"), f.send_kb, 256, 8, 65_536) as u64 * 1024,
            receive_datagrams: self.whole(
                &key.key("receive_datagrams"),
                f.receive_datagrams,
                10_000,
                100,
                1_000_000,
            ) as u64,
        }
    }
}
