//! The membership protocol of a fleet of balancers, and the exchange of facts and messages between its
//! members (docs/design/fleet.md).
//!
//! [`Peers`] implements the whole protocol without sockets and without a clock: the caller passes in
//! datagrams and the time ([`Peers::handle`]), fetches datagrams to send and events ([`Peers::poll`]), and
//! passes [`Input::Wake`] at [`Peers::next_timeout`]. Membership is SWIM as implemented by `foca`. Facts are
//! pulled rather than pushed, so that the receiver has a bound on their age.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod facts;
mod identity;
mod messages;
mod seal;
mod suspicion;
mod swim;

pub use facts::{Fact, MAX_FACT_KEY_BYTES, MAX_FACT_VALUE_BYTES};
pub use identity::{Identity, MAX_NAME_BYTES};
pub use messages::MAX_MESSAGE_BYTES;
pub use seal::{KeyFileError, Keys, RejectReason, FORMAT_VERSION, MAX_DATAGRAM_BYTES};

use facts::Facts;
use garnettally_model::Micros;
use messages::MessageFragments;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use seal::{read_u64, Kind, Sealer, MAX_BODY_BYTES};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use swim::{micros, Swim};

/// The identity of a member, and the times and bounds of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The member's name; at most [`MAX_NAME_BYTES`] long.
    pub name: String,
    /// The member's zone; may be empty.
    pub zone: String,
    /// The address to which peers send datagrams.
    pub address: SocketAddr,
    /// The addresses to which this member announces itself for as long as they belong to no live member.
    pub seeds: Vec<SocketAddr>,
    /// The interval at which this member probes another, random member.
    pub probe_period: Duration,
    /// The time after which a member that did not answer a probe is declared dead, unless it refutes.
    pub suspicion_timeout: Duration,
    /// The time after which a dead member is forgotten.
    pub forget_after: Duration,
    /// The average interval at which this member pulls changed facts from some peers.
    pub ask_every: Duration,
    /// The number of fixed peers from which this member pulls facts; a random one is added to them.
    pub ask_peers: usize,
    /// The time for which the answer to a pull is accepted.
    pub ask_timeout: Duration,
    /// The age at which facts expire, which bounds the staleness of all information from peers.
    pub max_age: Duration,
    /// The maximum number of stored facts.
    pub max_facts: usize,
    /// The maximum number of known members, dead ones included.
    pub max_members: usize,
    /// The lower bound on the assumed size of the fleet, in members.
    pub size_floor: u32,
    /// The time for which the assumed size of the fleet does not fall below an earlier size.
    pub size_hold: Duration,
}

impl Settings {
    /// Creates the settings of a member with the default times and bounds.
    pub fn new(name: &str, zone: &str, address: SocketAddr) -> Settings {
        Settings {
            name: name.into(),
            zone: zone.into(),
            address,
            seeds: Vec::new(),
            probe_period: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(3),
            forget_after: Duration::from_secs(600),
            ask_every: Duration::from_millis(200),
            ask_peers: 3,
            ask_timeout: Duration::from_secs(1),
            max_age: Duration::from_secs(20),
            max_facts: 8192,
            max_members: 4096,
            size_floor: 1,
            size_hold: Duration::from_secs(60),
        }
    }
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined the fleet, or is alive again.
    MemberUp(Identity),
    /// A member was declared dead, or has left the fleet.
    MemberDown(Identity),
    /// The first identity was replaced by the second, later one at the same address.
    MemberRenewed(Identity, Identity),
    /// This process was declared dead and has joined again under the given identity.
    Rejoined(Identity),
    /// Two live members have the same name.
    DuplicateName(Identity, Identity),
}

/// An action or notification for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The datagram has to be sent to the address.
    Send(SocketAddr, Vec<u8>),
    /// The membership changed.
    Event(Event),
    /// A message was received from the member with this life.
    Message(u64, Vec<u8>),
}

/// An input of the protocol, passed in by the caller.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// The time of [`Peers::next_timeout`] has come.
    Wake,
    /// The process shuts down in an orderly way, of which peers are notified.
    Leave,
}

/// The state of another member as this member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member was declared dead or has left.
    Down,
}

/// Counters of the protocol since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The number of received datagrams that were processed.
    pub accepted: u64,
    /// The numbers of received datagrams that were dropped, by [`RejectReason::index`].
    pub dropped: [u64; RejectReason::ALL.len()],
    /// The number of datagrams queued for sending.
    pub sent: u64,
    /// The total size of the datagrams queued for sending.
    pub sent_bytes: u64,
    /// The number of facts for which there was no room.
    pub facts_rejected: u64,
    /// The number of times this process was declared dead and joined again.
    pub rejoins: u32,
    /// The number of times this process detected that it had been stalled.
    pub stalls: u32,
}

/// A pull that awaits its answer.
struct PendingPull {
    /// The life of the member to which the pull was sent.
    life: u64,
    sent_at: Micros,
}

/// The protocol state of one member of the fleet.
pub struct Peers {
    settings: Settings,
    /// Whether this member has no key and therefore accepts only loopback addresses.
    loopback_only: bool,
    rng: ChaCha8Rng,
    sealer: Sealer,
    swim: Swim,
    facts: Facts,
    fragments: MessageFragments,
    /// The pulls that await an answer, by their numbers.
    pending_pulls: FxHashMap<u64, PendingPull>,
    last_pull_number: u64,
    /// The cursor from which the next page of each life's facts starts, by life.
    cursors: FxHashMap<u64, u64>,
    /// The fixed peers, by life and address, from which this member pulls facts.
    neighbours: Vec<(u64, SocketAddr)>,
    next_pull_at: Micros,
    /// The change count of the facts at which peers were last sent a hint.
    hinted_change_count: u64,
    /// The earliest time of the next hint.
    next_hint_at: Micros,
    next_seed_at: Micros,
    next_cleanup_at: Micros,
    /// Earlier sizes of the fleet with the times until which they were in force, in the order of time. The
    /// sizes decrease, so that the first is the largest.
    recent_sizes: VecDeque<(Micros, u32)>,
    /// The kind and body of the last datagram sent to each address. It is sent again if the peer answers with
    /// a challenge.
    last_sent: FxHashMap<SocketAddr, (Kind, Vec<u8>)>,
    /// The pairs of live members with the same name that were reported.
    reported_duplicates: Vec<(SocketAddr, SocketAddr)>,
    outputs: VecDeque<Output>,
    counters: Counters,
}

/// The maximum number of rounds of hints per interval between pulls.
const HINTS_PER_PULL_INTERVAL: i64 = 10;

/// The number of outputs that may wait to be fetched. Further datagrams are dropped, which the protocol
/// tolerates like any loss on a link.
const MAX_QUEUED_OUTPUTS: usize = 1024;

impl Peers {
    /// Creates the state of a member that has just started. Without keys, only loopback addresses are
    /// accepted. `seed` has to be unpredictable and to differ at each start.
    pub fn new(settings: Settings, keys: Option<Keys>, seed: [u8; 32], now: Micros) -> Peers {
        let mut rng = ChaCha8Rng::from_seed(seed);
        let boot = rng.next_u64().max(1);
        let mut secret = [0; 32];
        rng.fill_bytes(&mut secret);
        let me = Identity {
            address: settings.address,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            boot,
            generation: 0,
        };
        let loopback_only = keys.is_none();
        let keys = keys.unwrap_or_else(Keys::well_known);
        let swim_rng = ChaCha8Rng::seed_from_u64(rng.next_u64());
        Peers {
            sealer: Sealer::new(keys, boot, settings.address, secret, settings.max_members),
            swim: Swim::new(me, &settings, loopback_only, swim_rng, now),
            facts: Facts::new(boot, micros(settings.max_age), settings.max_facts),
            fragments: MessageFragments::default(),
            pending_pulls: FxHashMap::default(),
            last_pull_number: rng.next_u64(),
            cursors: FxHashMap::default(),
            neighbours: Vec::new(),
            next_pull_at: now,
            hinted_change_count: 1,
            next_hint_at: now,
            next_seed_at: now,
            next_cleanup_at: now,
            recent_sizes: VecDeque::new(),
            last_sent: FxHashMap::default(),
            reported_duplicates: Vec::new(),
            outputs: VecDeque::new(),
            counters: Counters::default(),
            loopback_only,
            settings,
            rng,
        }
    }

    /// Processes an input. An `Err` means that the datagram was dropped and counted.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) -> Result<(), RejectReason> {
        let result = match input {
            Input::Datagram(data) => self.handle_datagram(now, data),
            Input::Wake => {
                self.run_due_timers(now);
                Ok(())
            }
            Input::Leave => {
                self.swim.leave(now);
                Ok(())
            }
        };
        match result {
            Err(why) => self.counters.dropped[why.index()] += 1,
            Ok(()) => self.counters.accepted += u64::from(matches!(input, Input::Datagram(_))),
        }
        self.process_membership_output(now);
        result
    }

    /// Removes and returns the next output, if there is one.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which [`Input::Wake`] has to be passed in.
    pub fn next_timeout(&self) -> Micros {
        let mut next = self.next_pull_at.min(self.next_seed_at).min(self.next_cleanup_at);
        if self.facts.change_count() > self.hinted_change_count {
            next = next.min(self.next_hint_at);
        }
        self.swim.next_timeout().map_or(next, |at| at.min(next))
    }

    /// Publishes a fact to all members; `age` is the time since it was established. An empty value withdraws
    /// the previous one. Returns `false` if the key or value is too long or there is no room for the fact.
    pub fn publish(&mut self, now: Micros, key: &[u8], value: &[u8], age: Micros) -> bool {
        let is_stored = self.facts.publish(now, key, value, age);
        if is_stored && now >= self.next_hint_at {
            self.send_hints(now);
        }
        self.counters.facts_rejected += u64::from(!is_stored);
        is_stored
    }

    /// Sends a message to the member with this life, which receives either all of it or nothing. Returns
    /// `false` if no such member is known or the message is longer than [`MAX_MESSAGE_BYTES`].
    pub fn send_message(&mut self, life: u64, message: &[u8]) -> bool {
        let Some(address) = self.address_of(life) else { return false };
        let Some(parts) = self.fragments.split(message, MAX_BODY_BYTES) else { return false };
        parts.iter().for_each(|body| self.send(address, Kind::MessagePart, body));
        true
    }

    /// The facts of all members, this one included, that are younger than [`Settings::max_age`].
    pub fn facts(&self, now: Micros) -> impl Iterator<Item = Fact<'_>> {
        self.facts.iter(now)
    }

    /// A counter that increases with each fact that is stored or updated here.
    pub fn facts_version(&self) -> u64 {
        self.facts.change_count()
    }

    /// The number of stored facts, including expired ones that are not yet removed.
    pub fn fact_count(&self) -> usize {
        self.facts.len()
    }

    /// The identity of this member.
    pub fn own_identity(&self) -> &Identity {
        self.swim.own_identity()
    }

    /// The other members and their states. Dead members are included until they are forgotten.
    pub fn other_members(&self) -> impl Iterator<Item = (&Identity, MemberState)> {
        self.swim.other_members().map(|(id, state)| {
            let state = match state {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down => MemberState::Down,
            };
            (id, state)
        })
    }

    /// The number of members believed to be alive, this one included.
    pub fn alive_count(&self) -> u32 {
        self.swim.alive_count() as u32 + 1
    }

    /// The assumed size of the fleet: the largest number of members alive within [`Settings::size_hold`], and
    /// at least [`Settings::size_floor`]. When the network is partitioned, neither side may take itself for
    /// the whole fleet before its operator can notice the partition.
    pub fn fleet_size(&self, now: Micros) -> u32 {
        let from = now - micros(self.settings.size_hold);
        let largest =
            self.recent_sizes.iter().filter(|(at, _)| *at >= from).map(|(_, n)| *n).max().unwrap_or(0);
        largest.max(self.alive_count()).max(self.settings.size_floor)
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        Counters { rejoins: self.swim.rejoins(), stalls: self.swim.stalls, ..self.counters.clone() }
    }

    /// Replaces the keys of the fleet.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.sealer.replace_keys(keys);
    }

    fn handle_datagram(&mut self, now: Micros, data: &[u8]) -> Result<(), RejectReason> {
        let opened = self.sealer.open(data)?;
        let (kind, boot, address, body, has_valid_token) =
            (opened.kind, opened.boot, opened.address, opened.body, opened.has_valid_token);
        if !identity::is_allowed_destination(address, self.loopback_only) {
            return Err(RejectReason::Origin);
        }
        if kind == Kind::Challenge {
            return self.handle_challenge(now, address, body);
        }
        if !has_valid_token {
            if seal::may_be_challenged(data) {
                self.send_challenge(boot, address);
            }
            return Err(RejectReason::Token);
        }
        match kind {
            Kind::Swim if self.swim.handle_packet(now, body) => Ok(()),
            Kind::Swim | Kind::Challenge => Err(RejectReason::Malformed),
            Kind::Pull => self.answer_pull(now, address, body),
            Kind::Facts => self.handle_page(now, boot, body),
            Kind::MessagePart => match self.fragments.accept_part(now, boot, body) {
                Ok(Some(message)) => {
                    self.outputs.push_back(Output::Message(boot, message));
                    Ok(())
                }
                Ok(None) => Ok(()),
                Err(true) => Err(RejectReason::Malformed),
                Err(false) => Err(RejectReason::Bound),
            },
            Kind::UpdateHint => {
                // At most one pull per peer and interval, so that a peer that sends hints all the time does
                // not cause more pulls.
                if !self
                    .pending_pulls
                    .values()
                    .any(|pull| pull.life == boot && now - pull.sent_at < micros(self.settings.ask_every))
                {
                    self.pull_from(now, boot, address);
                }
                Ok(())
            }
        }
    }

    /// Sends a sender its token, and the generation of a previous life at its address if one is known.
    fn send_challenge(&mut self, boot: u64, address: SocketAddr) {
        let token = self.sealer.token_for(boot, address);
        let before = self.swim.other_members().find(|(id, _)| id.address == address && id.boot != boot);
        let generation = before.map_or(u64::MAX, |(id, _)| id.generation);
        let mut body = token.to_be_bytes().to_vec();
        body.extend(generation.to_be_bytes());
        self.send(address, Kind::Challenge, &body);
    }

    /// Stores the token from a peer's challenge, and sends the last datagram to that peer again with the
    /// token.
    fn handle_challenge(
        &mut self,
        now: Micros,
        address: SocketAddr,
        body: &[u8],
    ) -> Result<(), RejectReason> {
        if body.len() != 16 {
            return Err(RejectReason::Malformed);
        }
        // A challenge is accepted only from an address to which a datagram was sent, and once per datagram. A
        // replayed challenge therefore spoils at most one datagram.
        let (kind, last) = self.last_sent.remove(&address).ok_or(RejectReason::Unasked)?;
        self.sealer.learn_token(address, read_u64(body, 0));
        let generation = read_u64(body, 8);
        if generation != u64::MAX {
            self.swim.supersede_generation(now, generation);
            if kind == Kind::Swim {
                // The last packet names the superseded identity, so a new announcement is sent instead.
                self.swim.announce(now, address);
                return Ok(());
            }
        }
        self.send(address, kind, &last);
        Ok(())
    }

    /// Answers a pull with a page of changed facts.
    fn answer_pull(&mut self, now: Micros, address: SocketAddr, body: &[u8]) -> Result<(), RejectReason> {
        if body.len() != 24 {
            return Err(RejectReason::Malformed);
        }
        // A cursor that was issued by another life is ignored, and the pages start from the beginning.
        let since = if read_u64(body, 8) == self.own_identity().boot { read_u64(body, 16) } else { 0 };
        let page = self.facts.page(now, since, MAX_BODY_BYTES - 17);
        let mut answer = body[..8].to_vec();
        answer.extend(page.cursor.to_be_bytes());
        answer.push(u8::from(page.more));
        answer.extend(page.bytes);
        self.send(address, Kind::Facts, &answer);
        Ok(())
    }

    fn handle_page(&mut self, now: Micros, boot: u64, body: &[u8]) -> Result<(), RejectReason> {
        if body.len() < 17 {
            return Err(RejectReason::Malformed);
        }
        let pull_number = read_u64(body, 0);
        let pull = self.pending_pulls.remove(&pull_number).ok_or(RejectReason::Unasked)?;
        if pull.life != boot || now - pull.sent_at > micros(self.settings.ask_timeout) {
            return Err(RejectReason::Unasked);
        }
        let rejected =
            self.facts.apply_page(now, pull.sent_at, &body[17..]).ok_or(RejectReason::Malformed)?;
        self.counters.facts_rejected += rejected as u64;
        self.cursors.insert(boot, read_u64(body, 8));
        if body[16] != 0 {
            if let Some(address) = self.address_of(boot) {
                self.pull_from(now, boot, address);
            }
        }
        Ok(())
    }

    fn address_of(&self, boot: u64) -> Option<SocketAddr> {
        self.swim.other_members().find(|(id, _)| id.boot == boot).map(|(id, _)| id.address)
    }

    /// Requests the facts that changed since the last page from a member.
    fn pull_from(&mut self, now: Micros, boot: u64, address: SocketAddr) {
        if self.pending_pulls.len() >= 4 * (self.settings.ask_peers + 1) + 16 {
            return;
        }
        self.last_pull_number = self.last_pull_number.wrapping_add(1);
        self.pending_pulls.insert(self.last_pull_number, PendingPull { life: boot, sent_at: now });
        let mut body = self.last_pull_number.to_be_bytes().to_vec();
        body.extend(boot.to_be_bytes());
        body.extend(self.cursors.get(&boot).copied().unwrap_or(0).to_be_bytes());
        self.send(address, Kind::Pull, &body);
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) {
        if self.outputs.len() >= MAX_QUEUED_OUTPUTS {
            return;
        }
        if kind != Kind::Challenge {
            if self.last_sent.len() >= self.settings.max_members && !self.last_sent.contains_key(&to) {
                self.last_sent.clear();
            }
            self.last_sent.insert(to, (kind, body.to_vec()));
        }
        let datagram = self.sealer.seal(to, kind, body);
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.outputs.push_back(Output::Send(to, datagram));
    }

    fn run_due_timers(&mut self, now: Micros) {
        self.swim.run_due_timers(now);
        if now >= self.next_seed_at {
            // The jitter keeps the members of a fleet that started at the same time from contacting the seeds
            // at the same moment again and again.
            let period = micros(self.settings.probe_period * 2);
            self.next_seed_at = now + Micros(self.rng.random_range(period.0 / 2..=period.0.max(1)));
            let members: Vec<SocketAddr> = self
                .other_members()
                .filter(|(_, s)| *s != MemberState::Down)
                .map(|(id, _)| id.address)
                .collect();
            for seed in self.settings.seeds.clone() {
                if seed != self.own_identity().address && !members.contains(&seed) {
                    self.swim.announce(now, seed);
                }
            }
        }
        if now >= self.next_pull_at {
            let every = micros(self.settings.ask_every).0.max(1);
            self.next_pull_at = now + Micros(self.rng.random_range(every * 9 / 10..=every * 11 / 10));
            let timeout = micros(self.settings.ask_timeout);
            self.pending_pulls.retain(|_, pull| now - pull.sent_at <= timeout);
            self.facts.expire(now);
            for (boot, address) in self.next_pull_targets() {
                self.pull_from(now, boot, address);
            }
        }
        if now >= self.next_hint_at && self.facts.change_count() > self.hinted_change_count {
            self.send_hints(now);
        }
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + micros(self.settings.probe_period);
            self.fragments.expire(now);
            for address in self.swim.forget_removed_addresses() {
                self.sealer.forget_token(address);
                self.last_sent.remove(&address);
            }
            let lives: Vec<u64> = self.swim.other_members().map(|(id, _)| id.boot).collect();
            self.cursors.retain(|boot, _| lives.contains(boot));
        }
    }

    /// Notifies some random peers that facts have changed. They pull the facts, so that the bound on the ages
    /// holds.
    fn send_hints(&mut self, now: Micros) {
        self.hinted_change_count = self.facts.change_count();
        // Facts published in quick succession are announced by one hint.
        self.next_hint_at = now + Micros(micros(self.settings.ask_every).0 / HINTS_PER_PULL_INTERVAL);
        let mut live: Vec<SocketAddr> = self
            .swim
            .other_members()
            .filter(|(_, s)| *s == foca::State::Alive)
            .map(|(id, _)| id.address)
            .collect();
        for _ in 0..=self.settings.ask_peers {
            if !live.is_empty() {
                let to = live.swap_remove(self.rng.random_range(0..live.len()));
                self.send(to, Kind::UpdateHint, &[0; 24]);
            }
        }
    }

    /// The peers to pull from next: the neighbours, which spread facts along fixed paths, and a random peer,
    /// which reaches what these paths miss.
    fn next_pull_targets(&mut self) -> Vec<(u64, SocketAddr)> {
        let live: Vec<(u64, SocketAddr)> = self
            .swim
            .other_members()
            .filter(|(_, s)| *s != foca::State::Down)
            .map(|(id, _)| (id.boot, id.address))
            .collect();
        let mut next = self.neighbours.clone();
        if !live.is_empty() {
            let one = live[self.rng.random_range(0..live.len())];
            if !next.contains(&one) {
                next.push(one);
            }
        }
        next
    }

    /// Queues the packets and events that `foca` produced, and updates the state that depends on the
    /// membership. It runs after each input.
    fn process_membership_output(&mut self, now: Micros) {
        while let Some((to, body)) = self.swim.next_send() {
            self.send(to, Kind::Swim, &body);
        }
        for event in self.swim.take_events() {
            self.outputs.push_back(Output::Event(event));
        }
        if !self.swim.take_membership_changed() {
            return;
        }
        let me = self.own_identity().boot;
        let mut live: Vec<(u64, u64, SocketAddr)> = self
            .swim
            .other_members()
            .filter(|(_, s)| *s != foca::State::Down)
            .map(|(id, _)| (rendezvous_hash(me, id.boot), id.boot, id.address))
            .collect();
        live.sort_unstable();
        live.truncate(self.settings.ask_peers);
        self.neighbours = live.into_iter().map(|(_, boot, address)| (boot, address)).collect();
        self.report_duplicate_names();
        self.record_size(now);
    }

    fn record_size(&mut self, now: Micros) {
        let size = self.alive_count();
        let from = now - micros(self.settings.size_hold);
        // The previous size was in force until now, however long ago it was recorded, so it is held from now
        // on.
        if let Some(last) = self.recent_sizes.back_mut() {
            last.0 = now;
        }
        while self.recent_sizes.front().is_some_and(|(at, _)| *at < from) {
            self.recent_sizes.pop_front();
        }
        while self.recent_sizes.back().is_some_and(|(_, earlier)| *earlier <= size) {
            self.recent_sizes.pop_back();
        }
        self.recent_sizes.push_back((now, size));
    }

    fn report_duplicate_names(&mut self) {
        let mut live: Vec<&Identity> =
            self.swim.other_members().filter(|(_, s)| *s != foca::State::Down).map(|(id, _)| id).collect();
        live.push(self.swim.own_identity());
        live.sort_by(|a, b| a.name.cmp(&b.name).then(a.address.cmp(&b.address)));
        let pairs: Vec<(Identity, Identity)> = live
            .windows(2)
            .filter(|w| w[0].name == w[1].name && w[0].address != w[1].address)
            .map(|w| (w[0].clone(), w[1].clone()))
            .collect();
        let now: Vec<(SocketAddr, SocketAddr)> = pairs.iter().map(|(a, b)| (a.address, b.address)).collect();
        for (a, b) in pairs {
            if !self.reported_duplicates.contains(&(a.address, b.address)) {
                self.outputs.push_back(Output::Event(Event::DuplicateName(a, b)));
            }
        }
        self.reported_duplicates = now;
    }
}

/// Hashes a pair of lives to a number that is the same on all members. Sorted by it, the values of `other`
/// are in the order in which they are chosen to serve `one`.
pub fn rendezvous_hash(one: u64, other: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&one.to_be_bytes());
    hasher.update(&other.to_be_bytes());
    read_u64(hasher.finalize().as_bytes(), 0)
}
