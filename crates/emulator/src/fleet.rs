//! The balancers of the first tier as one fleet, in virtual time: the very crates that the program runs, on links that
//! take the network's times, lose, and are cut.

use crate::draw::Stream;
use crate::world::{FleetLink, World};
use garnettally_model::{LocalObservations, Micros, PeerVerdict, ServerId};
use garnettally_peers::{Input, MemberState, Output, Peers, Settings};
use garnettally_verdicts::{merge_claims, Claim, FleetView, MemberClaim, Subject, VerdictExchange};
use rustc_hash::FxHashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Between two looks of a member at what its module has found.
const LOOK: Micros = Micros(50_000);
/// The same for what all say, while nothing is new.
const LOOK_ANYWAY: Micros = Micros(500_000);

struct Member {
    peers: Peers,
    set: Settings,
    exchange: VerdictExchange,
    zone: usize,
    due: Micros,
    look_at: Micros,
    merged: (u64, Micros),
    /// Its process is dead.
    gone: bool,
}

/// What a step brings about.
#[derive(Default)]
pub(crate) struct Step {
    /// Datagrams: to whom, what.
    pub sends: Vec<(usize, Vec<u8>)>,
    /// What the member's module is to hear.
    pub heard: Vec<PeerVerdict>,
    /// When the member is to be woken, if that is sooner than before.
    pub wake: Option<Micros>,
}

/// All members.
pub(crate) struct Fleet {
    members: Vec<Member>,
    seed: u64,
    /// The pool's name, and its classes.
    pool: (String, Vec<String>),
    max_age: Micros,
    nodes: Vec<String>,
    /// Datagrams and bytes.
    pub sent: (u64, u64),
    /// The greatest age at which something was acted upon, as its member knew it.
    pub oldest: Micros,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, (i >> 16) as u8, (i >> 8) as u8, i as u8).into(), 7400)
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => {
            let [_, high, middle, low] = a.ip().octets();
            usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// A member that starts within a second, as it is there from then on.
fn join(s: &mut Stream, set: &Settings, now: Micros) -> (Peers, Micros) {
    let mut bytes = [0; 32];
    bytes.chunks_mut(8).for_each(|c| c.copy_from_slice(&s.bits().to_be_bytes()));
    let start = now + Micros((s.unit() * 1e6) as i64);
    (Peers::new(set.clone(), None, bytes, start), start)
}

impl Fleet {
    /// So many members, which start within the first second.
    pub fn new(world: &World, link: &FleetLink, seed: u64) -> Fleet {
        let tier = &world.tiers[0];
        let classes: Vec<String> = world.classes.iter().map(|c| c.name.clone()).collect();
        let zones = &world.zones;
        let members = (0..tier.balancers).map(|i| {
            let mut s = Stream::new(seed, "member", i as u64);
            let mut set = Settings::new(&format!("b{i}"), &zones[i % zones.len()], address(i));
            set.seeds = (0..tier.balancers.min(3)).map(address).collect();
            set.ask_every = Duration::from_micros(link.ask_every.0 .0 as u64);
            set.max_age = Duration::from_micros(link.max_age.0 .0 as u64);
            let (peers, start) = join(&mut s, &set, Micros(0));
            Member {
                peers,
                set,
                exchange: VerdictExchange::new(&tier.name, &classes),
                zone: i % zones.len(),
                due: start,
                look_at: start,
                merged: (0, Micros(0)),
                gone: false,
            }
        });
        let members = members.collect();
        let nodes = (0..tier.nodes).map(|n| format!("n{n}")).collect();
        let pool = (tier.name.clone(), classes.clone());
        Fleet { members, seed, pool, max_age: link.max_age.0, nodes, sent: (0, 0), oldest: Micros(0) }
    }

    /// A member's process is dead.
    pub fn kill(&mut self, at: usize) {
        self.members[at].gone = true;
    }

    /// It has started anew, for the so-manieth time of all: another life that knows nothing. When it
    /// first wakes.
    pub fn start(&mut self, now: Micros, at: usize, starts: u64) -> Micros {
        let mut s = Stream::new(self.seed, "member", at as u64 | starts << 32);
        let (peers, due) = join(&mut s, &self.members[at].set, now);
        let m = &mut self.members[at];
        (m.peers, m.due, m.look_at, m.merged, m.gone) = (peers, due, due, (0, now), false);
        m.exchange = VerdictExchange::new(&self.pool.0, &self.pool.1);
        due
    }

    /// When each member first wakes.
    pub fn starts(&self) -> Vec<Micros> {
        self.members.iter().map(|m| m.due).collect()
    }

    pub fn zone(&self, member: usize) -> usize {
        self.members[member].zone
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Micros, at: usize, data: &[u8]) -> Step {
        // What is dropped is counted there.
        let _ = self.members[at].peers.handle(now, Input::Datagram(data));
        self.fetch(at)
    }

    /// Whether this wake is the one that was asked for last.
    pub fn is_due(&self, now: Micros, at: usize) -> bool {
        !self.members[at].gone && self.members[at].due <= now
    }

    /// Time has passed: the link's own work, and a look at what the module found and what all say.
    pub fn wake(
        &mut self,
        now: Micros,
        at: usize,
        findings: impl FnOnce() -> LocalObservations,
        since: impl Fn(ServerId) -> Option<Micros>,
    ) -> Step {
        let m = &mut self.members[at];
        m.due = Micros(i64::MAX);
        if m.peers.next_timeout() <= now {
            let _ = m.peers.handle(now, Input::Wake);
        }
        let mut heard = Vec::new();
        if m.look_at <= now {
            m.look_at = now + LOOK;
            let names = &self.nodes;
            let name = |id: ServerId| names[id.0 as usize].as_str();
            m.exchange.register_nodes(names.len(), &name);
            for (key, value, age) in m.exchange.collect_claims(now, &findings(), self.max_age, name) {
                m.peers.publish(now, &key, &value, age);
            }
            let version = m.peers.facts_version();
            if version != m.merged.0 || now - m.merged.1 >= LOOK_ANYWAY {
                m.merged = (version, now);
                heard = self.hear(now, at, since);
            }
        }
        let mut step = self.fetch(at);
        step.heard = heard;
        step
    }

    fn hear(
        &mut self,
        now: Micros,
        at: usize,
        since: impl Fn(ServerId) -> Option<Micros>,
    ) -> Vec<PeerVerdict> {
        let m = &self.members[at];
        let said: Vec<MemberClaim> = m
            .peers
            .facts(now)
            .filter_map(|f| {
                let (subject, claim) = (Subject::from_key(f.key)?, Claim::from_value(f.value)?);
                Some(MemberClaim { member: f.origin, subject, claim, age: f.age })
            })
            .collect();
        self.oldest = said.iter().map(|s| s.age).fold(self.oldest, Micros::max);
        let me = m.peers.own_identity();
        let members: FxHashMap<u64, (bool, bool)> = m
            .peers
            .other_members()
            .map(|(id, state)| (id.boot, (id.zone == me.zone, state != MemberState::Down)))
            .collect();
        let nodes = self.nodes.len();
        let view = FleetView {
            own_life: me.boot,
            same_zone: &|member| members.get(&member).map(|m| m.0),
            is_alive: &|member| members.get(&member).is_some_and(|m| m.1),
            alive_members: m.peers.alive_count() as usize,
            pool_size: &|_| nodes,
        };
        let priors = merge_claims(&said, &view);
        self.members[at].exchange.update_verdicts(now, &priors, since)
    }

    fn fetch(&mut self, at: usize) -> Step {
        let mut step = Step::default();
        let m = &mut self.members[at];
        while let Some(output) = m.peers.poll() {
            if let Output::Send(to, data) = output {
                self.sent.0 += 1;
                self.sent.1 += data.len() as u64;
                step.sends.push((index(to), data));
            }
        }
        let due = m.peers.next_timeout().min(m.look_at);
        if due < m.due {
            m.due = due;
            step.wake = Some(due);
        }
        step
    }
}
