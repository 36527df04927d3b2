//! Who is alive among the balancers of a fleet, and what they tell each other (docs/design/fleet.md).
//!
//! [`Peers`] is the whole protocol without sockets and without a clock: the caller hands in datagrams and the time
//! ([`Peers::handle`]), fetches what is to be sent and what has happened ([`Peers::poll`]), and wakes it when
//! [`Peers::next_timeout`] says. Membership is SWIM by `foca`; facts go by asking, so that their age is known.
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
use seal::{number, Kind, Sealer, MAX_BODY_BYTES};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use swim::{micros, Swim};

/// What a member is, and the times and bounds that it keeps.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Its zone; may be empty.
    pub zone: String,
    /// Where peers send to.
    pub address: SocketAddr,
    /// Addresses that are asked to be let in by, for as long as they are no members.
    pub seeds: Vec<SocketAddr>,
    /// A random member is probed this often.
    pub probe_period: Duration,
    /// A member that did not answer is declared dead after this, unless it objects.
    pub suspicion_timeout: Duration,
    /// A dead member is forgotten after this.
    pub forget_after: Duration,
    /// Some peers are asked for what is new this often.
    pub ask_every: Duration,
    /// How many, beside one by chance.
    pub ask_peers: usize,
    /// An answer counts for so long after its question.
    pub ask_timeout: Duration,
    /// Facts end when they are so old: the bound on how stale anything is.
    pub max_age: Duration,
    /// Facts that are held.
    pub max_facts: usize,
    /// Members that are known, dead ones included.
    pub max_members: usize,
    /// The fleet is taken to be no smaller than this,
    pub size_floor: u32,
    /// nor smaller than it was within this.
    pub size_hold: Duration,
}

impl Settings {
    /// A member with the default times and bounds.
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

/// What has happened among the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there.
    MemberUp(Identity),
    /// A member is taken to be dead, or has left.
    MemberDown(Identity),
    /// At the address of the first, the second is now.
    MemberRenewed(Identity, Identity),
    /// This member was declared dead and has joined anew, as this.
    Rejoined(Identity),
    /// Two live members have this name.
    DuplicateName(Identity, Identity),
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram there.
    Send(SocketAddr, Vec<u8>),
    /// Take note.
    Event(Event),
    /// A letter has come from this life.
    Message(u64, Vec<u8>),
}

/// What the caller hands in.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A datagram has come.
    Datagram(&'a [u8]),
    /// Time has passed.
    Wake,
    /// The process ends in good order: peers are told.
    Leave,
}

/// How a member looks from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and may still object.
    Suspect,
    /// It is taken to be dead.
    Down,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams taken.
    pub accepted: u64,
    /// Datagrams dropped, by [`RejectReason::index`].
    pub dropped: [u64; RejectReason::ALL.len()],
    /// Datagrams sent.
    pub sent: u64,
    /// And their bytes.
    pub sent_bytes: u64,
    /// Facts that there was no room for.
    pub facts_rejected: u64,
    /// How often this process was declared dead and came back.
    pub rejoins: u32,
    /// How often it noticed that it had stood still.
    pub stalls: u32,
}

struct Asked {
    to: u64,
    at: Micros,
}

/// One member of the fleet.
pub struct Peers {
    set: Settings,
    /// There is no key.
    loopback_only: bool,
    rng: ChaCha8Rng,
    sealer: Sealer,
    swim: Swim,
    facts: Facts,
    letters: MessageFragments,
    /// Questions that are open, by number.
    asked: FxHashMap<u64, Asked>,
    next_question: u64,
    /// Where each life's next page starts.
    cursors: FxHashMap<u64, u64>,
    /// The fixed ones of those that are asked.
    neighbours: Vec<(u64, SocketAddr)>,
    ask_at: Micros,
    /// Up to which fact peers were told that there is news, and when they may be told again.
    hinted: u64,
    hint_at: Micros,
    seed_at: Micros,
    tidy_at: Micros,
    /// The fleet's size now and then, to hold its largest: times and sizes, falling.
    sizes: VecDeque<(Micros, u32)>,
    /// The last datagram that a peer without a token was sent: it goes again once the token is there.
    unheard: FxHashMap<SocketAddr, (Kind, Vec<u8>)>,
    reported: Vec<(SocketAddr, SocketAddr)>,
    outputs: VecDeque<Output>,
    counters: Counters,
}

/// Peers may be told of news so many times between two rounds of questions.
const HINTS: i64 = 10;

/// Outputs that may wait to be fetched; past them datagrams are dropped, as links drop them.
const OUTPUTS_MOST: usize = 1024;

impl Peers {
    /// A member that has just started. Without keys only loopback addresses are taken. `seed` has to differ at each
    /// start, and be hard to guess.
    pub fn new(set: Settings, keys: Option<Keys>, seed: [u8; 32], now: Micros) -> Peers {
        let mut rng = ChaCha8Rng::from_seed(seed);
        let boot = rng.next_u64().max(1);
        let mut secret = [0; 32];
        rng.fill_bytes(&mut secret);
        let me = Identity {
            address: set.address,
            name: set.name.clone(),
            zone: set.zone.clone(),
            boot,
            generation: 0,
        };
        let loopback_only = keys.is_none();
        let keys = keys.unwrap_or_else(Keys::well_known);
        let swim_rng = ChaCha8Rng::seed_from_u64(rng.next_u64());
        Peers {
            sealer: Sealer::new(keys, boot, set.address, secret, set.max_members),
            swim: Swim::new(me, &set, loopback_only, swim_rng, now),
            facts: Facts::new(boot, micros(set.max_age), set.max_facts),
            letters: MessageFragments::default(),
            asked: FxHashMap::default(),
            next_question: rng.next_u64(),
            cursors: FxHashMap::default(),
            neighbours: Vec::new(),
            ask_at: now,
            hinted: 1,
            hint_at: now,
            seed_at: now,
            tidy_at: now,
            sizes: VecDeque::new(),
            unheard: FxHashMap::default(),
            reported: Vec::new(),
            outputs: VecDeque::new(),
            counters: Counters::default(),
            loopback_only,
            set,
            rng,
        }
    }

    /// Takes what has come. `Err`: the datagram is dropped and counted.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) -> Result<(), RejectReason> {
        let result = match input {
            Input::Datagram(data) => self.datagram(now, data),
            Input::Wake => {
                self.wake(now);
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
        self.settle(now);
        result
    }

    /// The next thing to be done, if there is one.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Wake`] is due.
    pub fn next_timeout(&self) -> Micros {
        let mut own = self.ask_at.min(self.seed_at).min(self.tidy_at);
        if self.facts.version() > self.hinted {
            own = own.min(self.hint_at);
        }
        self.swim.next_timeout().map_or(own, |at| at.min(own))
    }

    /// Tells all members something: it is so old already. An empty value takes back what was said. `false`: there is
    /// no room for it.
    pub fn publish(&mut self, now: Micros, key: &[u8], value: &[u8], age: Micros) -> bool {
        let taken = self.facts.publish(now, key, value, age);
        if taken && now >= self.hint_at {
            self.hint(now);
        }
        self.counters.facts_rejected += u64::from(!taken);
        taken
    }

    /// Sends a letter to a member that is known, by its life: it comes whole, or not at all. `false`: there is no such member, or
    /// it is longer than [`MAX_MESSAGE_BYTES`].
    pub fn send_message(&mut self, life: u64, letter: &[u8]) -> bool {
        let Some(address) = self.address_of(life) else { return false };
        let Some(parts) = self.letters.cut(letter, MAX_BODY_BYTES) else { return false };
        parts.iter().for_each(|body| self.send(address, Kind::MessagePart, body));
        true
    }

    /// What holds now: none is older than [`Settings::max_age`].
    pub fn facts(&self, now: Micros) -> impl Iterator<Item = Fact<'_>> {
        self.facts.iter(now)
    }

    /// Grows with each fact that is new here.
    pub fn facts_version(&self) -> u64 {
        self.facts.version()
    }

    /// How many facts are held.
    pub fn fact_count(&self) -> usize {
        self.facts.len()
    }

    /// This member.
    pub fn own_identity(&self) -> &Identity {
        self.swim.own_identity()
    }

    /// The others, dead ones included for a time.
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

    /// Members taken to be alive, this one included.
    pub fn alive_count(&self) -> u32 {
        self.swim.alive_count() as u32 + 1
    }

    /// How large the fleet is taken to be: at the least the floor, and the most that was alive within the hold. Of two
    /// sides of a cut, neither may believe that it is the whole fleet before its operator would know.
    pub fn fleet_size(&self, now: Micros) -> u32 {
        let from = now - micros(self.set.size_hold);
        let held = self.sizes.iter().filter(|(at, _)| *at >= from).map(|(_, n)| *n).max().unwrap_or(0);
        held.max(self.alive_count()).max(self.set.size_floor)
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        Counters { rejoins: self.swim.rejoins(), stalls: self.swim.stalls, ..self.counters.clone() }
    }

    /// Other keys from now on.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.sealer.replace_keys(keys);
    }

    fn datagram(&mut self, now: Micros, data: &[u8]) -> Result<(), RejectReason> {
        let opened = self.sealer.open(data)?;
        let (kind, boot, address, body, fresh) =
            (opened.kind, opened.boot, opened.address, opened.body, opened.fresh);
        if !identity::may_be_sent_to(address, self.loopback_only) {
            return Err(RejectReason::Origin);
        }
        if kind == Kind::Challenge {
            return self.challenged(now, address, body);
        }
        if !fresh {
            if seal::may_be_challenged(data) {
                self.challenge(boot, address);
            }
            return Err(RejectReason::Token);
        }
        match kind {
            Kind::Swim if self.swim.take(now, body) => Ok(()),
            Kind::Swim | Kind::Challenge => Err(RejectReason::Malformed),
            Kind::Pull => self.answer(now, address, body),
            Kind::Facts => self.learn(now, boot, body),
            Kind::MessagePart => match self.letters.take(now, boot, body) {
                Ok(Some(letter)) => {
                    self.outputs.push_back(Output::Message(boot, letter));
                    Ok(())
                }
                Ok(None) => Ok(()),
                Err(true) => Err(RejectReason::Malformed),
                Err(false) => Err(RejectReason::Bound),
            },
            Kind::News => {
                // One question at a time: a peer that says so all the time gets no more answers by it.
                if !self.asked.values().any(|a| a.to == boot && now - a.at < micros(self.set.ask_every)) {
                    self.ask(now, boot, address);
                }
                Ok(())
            }
        }
    }

    /// Tells a sender its token, and what is known of lives before it at its address.
    fn challenge(&mut self, boot: u64, address: SocketAddr) {
        let token = self.sealer.token_for(boot, address);
        let before = self.swim.other_members().find(|(id, _)| id.address == address && id.boot != boot);
        let generation = before.map_or(u64::MAX, |(id, _)| id.generation);
        let mut body = token.to_be_bytes().to_vec();
        body.extend(generation.to_be_bytes());
        self.send(address, Kind::Challenge, &body);
    }

    /// A peer tells its token. What it was sent without goes again.
    fn challenged(&mut self, now: Micros, address: SocketAddr, body: &[u8]) -> Result<(), RejectReason> {
        if body.len() != 16 {
            return Err(RejectReason::Malformed);
        }
        // Only who was just sent something may say so, and once: a recorded challenge spoils at most one datagram.
        let (kind, last) = self.unheard.remove(&address).ok_or(RejectReason::Unasked)?;
        self.sealer.learn_token(address, number(body, 0));
        let generation = number(body, 8);
        if generation != u64::MAX {
            self.swim.outdo(now, generation);
            if kind == Kind::Swim {
                // What was sealed for it names the life before.
                self.swim.announce(now, address);
                return Ok(());
            }
        }
        self.send(address, kind, &last);
        Ok(())
    }

    /// Answers a question for what is new.
    fn answer(&mut self, now: Micros, address: SocketAddr, body: &[u8]) -> Result<(), RejectReason> {
        if body.len() != 24 {
            return Err(RejectReason::Malformed);
        }
        // The cursor is one of ours, of this life, or it starts anew.
        let since = if number(body, 8) == self.own_identity().boot { number(body, 16) } else { 0 };
        let page = self.facts.page(now, since, MAX_BODY_BYTES - 17);
        let mut answer = body[..8].to_vec();
        answer.extend(page.cursor.to_be_bytes());
        answer.push(u8::from(page.more));
        answer.extend(page.bytes);
        self.send(address, Kind::Facts, &answer);
        Ok(())
    }

    fn learn(&mut self, now: Micros, boot: u64, body: &[u8]) -> Result<(), RejectReason> {
        if body.len() < 17 {
            return Err(RejectReason::Malformed);
        }
        let question = number(body, 0);
        let asked = self.asked.remove(&question).ok_or(RejectReason::Unasked)?;
        if asked.to != boot || now - asked.at > micros(self.set.ask_timeout) {
            return Err(RejectReason::Unasked);
        }
        let over = self.facts.take_page(now, asked.at, &body[17..]).ok_or(RejectReason::Malformed)?;
        self.counters.facts_rejected += over as u64;
        self.cursors.insert(boot, number(body, 8));
        if body[16] != 0 {
            if let Some(address) = self.address_of(boot) {
                self.ask(now, boot, address);
            }
        }
        Ok(())
    }

    fn address_of(&self, boot: u64) -> Option<SocketAddr> {
        self.swim.other_members().find(|(id, _)| id.boot == boot).map(|(id, _)| id.address)
    }

    /// Asks a member for what is new.
    fn ask(&mut self, now: Micros, boot: u64, address: SocketAddr) {
        if self.asked.len() >= 4 * (self.set.ask_peers + 1) + 16 {
            return;
        }
        self.next_question = self.next_question.wrapping_add(1);
        self.asked.insert(self.next_question, Asked { to: boot, at: now });
        let mut body = self.next_question.to_be_bytes().to_vec();
        body.extend(boot.to_be_bytes());
        body.extend(self.cursors.get(&boot).copied().unwrap_or(0).to_be_bytes());
        self.send(address, Kind::Pull, &body);
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) {
        if self.outputs.len() >= OUTPUTS_MOST {
            return;
        }
        if kind != Kind::Challenge {
            if self.unheard.len() >= self.set.max_members && !self.unheard.contains_key(&to) {
                self.unheard.clear();
            }
            self.unheard.insert(to, (kind, body.to_vec()));
        }
        let datagram = self.sealer.seal(to, kind, body);
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.outputs.push_back(Output::Send(to, datagram));
    }

    fn wake(&mut self, now: Micros) {
        self.swim.wake(now);
        if now >= self.seed_at {
            // With jitter: a fleet that starts at once must not ask its seeds in one moment again and again.
            let period = micros(self.set.probe_period * 2);
            self.seed_at = now + Micros(self.rng.random_range(period.0 / 2..=period.0.max(1)));
            let members: Vec<SocketAddr> = self
                .other_members()
                .filter(|(_, s)| *s != MemberState::Down)
                .map(|(id, _)| id.address)
                .collect();
            for seed in self.set.seeds.clone() {
                if seed != self.own_identity().address && !members.contains(&seed) {
                    self.swim.announce(now, seed);
                }
            }
        }
        if now >= self.ask_at {
            let every = micros(self.set.ask_every).0.max(1);
            self.ask_at = now + Micros(self.rng.random_range(every * 9 / 10..=every * 11 / 10));
            let late = micros(self.set.ask_timeout);
            self.asked.retain(|_, a| now - a.at <= late);
            self.facts.expire(now);
            for (boot, address) in self.asked_next() {
                self.ask(now, boot, address);
            }
        }
        if now >= self.hint_at && self.facts.version() > self.hinted {
            self.hint(now);
        }
        if now >= self.tidy_at {
            self.tidy_at = now + micros(self.set.probe_period);
            self.letters.expire(now);
            for address in self.swim.tidy() {
                self.sealer.forget(address);
                self.unheard.remove(&address);
            }
            let lives: Vec<u64> = self.swim.other_members().map(|(id, _)| id.boot).collect();
            self.cursors.retain(|boot, _| lives.contains(boot));
        }
    }

    /// Tells some peers, by chance, that there is news. They ask for it: so its age stays a bound.
    fn hint(&mut self, now: Micros) {
        self.hinted = self.facts.version();
        // Many facts at once are one hint.
        self.hint_at = now + Micros(micros(self.set.ask_every).0 / HINTS);
        let mut live: Vec<SocketAddr> = self
            .swim
            .other_members()
            .filter(|(_, s)| *s == foca::State::Alive)
            .map(|(id, _)| id.address)
            .collect();
        for _ in 0..=self.set.ask_peers {
            if !live.is_empty() {
                let to = live.swap_remove(self.rng.random_range(0..live.len()));
                self.send(to, Kind::News, &[0; 24]);
            }
        }
    }

    /// The neighbours and one by chance: they spread the news along fixed ways, it heals what these miss.
    fn asked_next(&mut self) -> Vec<(u64, SocketAddr)> {
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

    /// After each step: what `foca` wants sent, what has happened, and what follows from it.
    fn settle(&mut self, now: Micros) {
        while let Some((to, body)) = self.swim.next_send() {
            self.send(to, Kind::Swim, &body);
        }
        for event in self.swim.take_events() {
            self.outputs.push_back(Output::Event(event));
        }
        if !self.swim.take_changed() {
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
        live.truncate(self.set.ask_peers);
        self.neighbours = live.into_iter().map(|(_, boot, address)| (boot, address)).collect();
        self.report_same_names();
        self.note_size(now);
    }

    fn note_size(&mut self, now: Micros) {
        let n = self.alive_count();
        let from = now - micros(self.set.size_hold);
        // A size was in force until this moment, however long ago it was noted: it is held from now on.
        if let Some(last) = self.sizes.back_mut() {
            last.0 = now;
        }
        while self.sizes.front().is_some_and(|(at, _)| *at < from) {
            self.sizes.pop_front();
        }
        while self.sizes.back().is_some_and(|(_, m)| *m <= n) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, n));
    }

    fn report_same_names(&mut self) {
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
            if !self.reported.contains(&(a.address, b.address)) {
                self.outputs.push_back(Output::Event(Event::DuplicateName(a, b)));
            }
        }
        self.reported = now;
    }
}

/// A number that any member computes alike for a pair: the order in which the second serves the first.
pub fn rendezvous_hash(one: u64, other: u64) -> u64 {
    let mut h = blake3::Hasher::new();
    h.update(&one.to_be_bytes());
    h.update(&other.to_be_bytes());
    number(h.finalize().as_bytes(), 0)
}
