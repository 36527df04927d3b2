//! The balancers of the first tier as one fleet, in virtual time. It runs the same crates as the real
//! program, over links that have the delays of the network, lose datagrams, and may be cut.

use crate::draw::RandomStream;
use crate::world::{FleetLink, World};
use garnettally_model::{LocalObservations, Micros, PeerVerdict, ServerId};
use garnettally_peers::{Input, MemberState, Output, Peers, Settings};
use garnettally_verdicts::{merge_claims, Claim, FleetView, MemberClaim, Subject, VerdictExchange};
use rustc_hash::FxHashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The interval at which a member publishes the observations of its module.
const PUBLISH_INTERVAL: Micros = Micros(50_000);
/// The interval at which a member merges the claims of all members while none of them has changed.
const MERGE_INTERVAL: Micros = Micros(500_000);

struct Member {
    peers: Peers,
    settings: Settings,
    exchange: VerdictExchange,
    zone: usize,
    due: Micros,
    publish_at: Micros,
    last_merge: (u64, Micros),
    /// The member's process is dead.
    dead: bool,
}

/// The consequences of a step of a member.
#[derive(Default)]
pub(crate) struct Step {
    /// Datagrams to send: the member to which each goes, and its content.
    pub sends: Vec<(usize, Vec<u8>)>,
    /// Verdicts to pass on to the member's module.
    pub verdicts: Vec<PeerVerdict>,
    /// When the member has to be woken, if that is sooner than scheduled so far.
    pub wake: Option<Micros>,
}

/// All members of the fleet.
pub(crate) struct Fleet {
    members: Vec<Member>,
    seed: u64,
    /// The name of the pool, and the names of its classes.
    pool: (String, Vec<String>),
    max_age: Micros,
    nodes: Vec<String>,
    /// The number of datagrams sent, and of the bytes in them.
    pub datagrams_and_bytes_sent: (u64, u64),
    /// The greatest age of a claim that a member has used, by that member's knowledge.
    pub oldest_claim_used: Micros,
}

fn member_address(member: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, (member >> 16) as u8, (member >> 8) as u8, member as u8).into(), 7400)
}

fn member_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => {
            let [_, high, middle, low] = a.ip().octets();
            usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// Creates the link layer of a member that starts at a random time within the next second; returns that time,
/// too.
fn create_peers(stream: &mut RandomStream, settings: &Settings, now: Micros) -> (Peers, Micros) {
    let mut bytes = [0; 32];
    bytes.chunks_mut(8).for_each(|c| c.copy_from_slice(&stream.bits().to_be_bytes()));
    let start = now + Micros((stream.unit() * 1e6) as i64);
    (Peers::new(settings.clone(), None, bytes, start), start)
}

impl Fleet {
    /// Creates one member for each balancer of the first tier; the members start within the first second.
    pub fn new(world: &World, link: &FleetLink, seed: u64) -> Fleet {
        let tier = &world.tiers[0];
        let classes: Vec<String> = world.classes.iter().map(|c| c.name.clone()).collect();
        let zones = &world.zones;
        let members = (0..tier.balancers).map(|i| {
            let mut stream = RandomStream::new(seed, "member", i as u64);
            let mut settings = Settings::new(&format!("b{i}"), &zones[i % zones.len()], member_address(i));
            settings.seeds = (0..tier.balancers.min(3)).map(member_address).collect();
            settings.ask_every = Duration::from_micros(link.ask_every.0 .0 as u64);
            settings.max_age = Duration::from_micros(link.max_age.0 .0 as u64);
            let (peers, start) = create_peers(&mut stream, &settings, Micros(0));
            Member {
                peers,
                settings,
                exchange: VerdictExchange::new(&tier.name, &classes),
                zone: i % zones.len(),
                due: start,
                publish_at: start,
                last_merge: (0, Micros(0)),
                dead: false,
            }
        });
        let members = members.collect();
        let nodes = (0..tier.nodes).map(|n| format!("n{n}")).collect();
        let pool = (tier.name.clone(), classes.clone());
        Fleet {
            members,
            seed,
            pool,
            max_age: link.max_age.0,
            nodes,
            datagrams_and_bytes_sent: (0, 0),
            oldest_claim_used: Micros(0),
        }
    }

    /// Marks a member's process as dead.
    pub fn kill(&mut self, member: usize) {
        self.members[member].dead = true;
    }

    /// Starts a member anew, as a new process without state, and returns when it first wakes. `starts` is the
    /// number of restarts in the whole run so far.
    pub fn start(&mut self, now: Micros, member: usize, starts: u64) -> Micros {
        let mut stream = RandomStream::new(self.seed, "member", member as u64 | starts << 32);
        let (peers, due) = create_peers(&mut stream, &self.members[member].settings, now);
        let state = &mut self.members[member];
        (state.peers, state.due, state.publish_at, state.last_merge, state.dead) =
            (peers, due, due, (0, now), false);
        state.exchange = VerdictExchange::new(&self.pool.0, &self.pool.1);
        due
    }

    /// The times at which the members first wake.
    pub fn start_times(&self) -> Vec<Micros> {
        self.members.iter().map(|m| m.due).collect()
    }

    pub fn zone(&self, member: usize) -> usize {
        self.members[member].zone
    }

    /// Handles a datagram that a member has received.
    pub fn receive_datagram(&mut self, now: Micros, member: usize, data: &[u8]) -> Step {
        // The link layer counts the datagrams that it drops, so the error is ignored here.
        let _ = self.members[member].peers.handle(now, Input::Datagram(data));
        self.take_output(member)
    }

    /// Whether the member is alive and due; a wake-up that has been superseded is not.
    pub fn is_due(&self, now: Micros, member: usize) -> bool {
        !self.members[member].dead && self.members[member].due <= now
    }

    /// Wakes a member: handles the timers of its link layer, publishes the module's observations, and merges
    /// the claims of all members.
    pub fn wake(
        &mut self,
        now: Micros,
        member: usize,
        observations: impl FnOnce() -> LocalObservations,
        since: impl Fn(ServerId) -> Option<Micros>,
    ) -> Step {
        let state = &mut self.members[member];
        state.due = Micros(i64::MAX);
        if state.peers.next_timeout() <= now {
            let _ = state.peers.handle(now, Input::Wake);
        }
        let mut verdicts = Vec::new();
        if state.publish_at <= now {
            state.publish_at = now + PUBLISH_INTERVAL;
            let names = &self.nodes;
            let name = |id: ServerId| names[id.0 as usize].as_str();
            state.exchange.register_nodes(names.len(), &name);
            for (key, value, age) in state.exchange.collect_claims(now, &observations(), self.max_age, name) {
                state.peers.publish(now, &key, &value, age);
            }
            let version = state.peers.facts_version();
            if version != state.last_merge.0 || now - state.last_merge.1 >= MERGE_INTERVAL {
                state.last_merge = (version, now);
                verdicts = self.merge(now, member, since);
            }
        }
        let mut step = self.take_output(member);
        step.verdicts = verdicts;
        step
    }

    fn merge(
        &mut self,
        now: Micros,
        member: usize,
        since: impl Fn(ServerId) -> Option<Micros>,
    ) -> Vec<PeerVerdict> {
        let state = &self.members[member];
        let claims: Vec<MemberClaim> = state
            .peers
            .facts(now)
            .filter_map(|f| {
                let (subject, claim) = (Subject::from_key(f.key)?, Claim::from_value(f.value)?);
                Some(MemberClaim { member: f.origin, subject, claim, age: f.age })
            })
            .collect();
        self.oldest_claim_used = claims.iter().map(|c| c.age).fold(self.oldest_claim_used, Micros::max);
        let own_identity = state.peers.own_identity();
        let members: FxHashMap<u64, (bool, bool)> = state
            .peers
            .other_members()
            .map(|(id, state)| (id.boot, (id.zone == own_identity.zone, state != MemberState::Down)))
            .collect();
        let nodes = self.nodes.len();
        let view = FleetView {
            own_life: own_identity.boot,
            same_zone: &|member| members.get(&member).map(|m| m.0),
            is_alive: &|member| members.get(&member).is_some_and(|m| m.1),
            alive_members: state.peers.alive_count() as usize,
            pool_size: &|_| nodes,
        };
        let priors = merge_claims(&claims, &view);
        self.members[member].exchange.update_verdicts(now, &priors, since)
    }

    fn take_output(&mut self, member: usize) -> Step {
        let mut step = Step::default();
        let state = &mut self.members[member];
        while let Some(output) = state.peers.poll() {
            if let Output::Send(to, data) = output {
                self.datagrams_and_bytes_sent.0 += 1;
                self.datagrams_and_bytes_sent.1 += data.len() as u64;
                step.sends.push((member_index(to), data));
            }
        }
        let due = state.peers.next_timeout().min(state.publish_at);
        if due < state.due {
            state.due = due;
            step.wake = Some(due);
        }
        step
    }
}
