//! A simulated network in virtual time: members with clocks of their own, and links that lose, delay,
//! duplicate and reorder datagrams.

use garnettally_model::Micros;
use garnettally_peers::{Event, Input, Keys, Output, Peers, Settings};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub const SECOND: i64 = 1_000_000;

/// The faults of a link in one direction.
#[derive(Clone, Copy)]
pub struct Link {
    pub cut: bool,
    pub loss: f64,
    pub duplication: f64,
    /// The minimum and maximum delay, in microseconds.
    pub delay: (i64, i64),
}

pub const RELIABLE: Link = Link { cut: false, loss: 0.0, duplication: 0.0, delay: (100, 2_000) };

pub struct SimulatedMember {
    pub peers: Option<Peers>,
    /// The rate of the member's clock, relative to the virtual time.
    pub rate: f64,
    /// The reading of the member's clock at virtual time 0, extrapolated at the current rate, in
    /// microseconds.
    pub offset: i64,
    pub paused: bool,
    /// The datagrams that arrived while the member was paused.
    inbox: Vec<Vec<u8>>,
    pub events: Vec<Event>,
    pub messages: Vec<(u64, Vec<u8>)>,
}

pub struct Network {
    pub now: i64,
    pub members: Vec<SimulatedMember>,
    links: BTreeMap<(usize, usize), Link>,
    pub default_link: Link,
    queue: BTreeMap<(i64, u64), (usize, Vec<u8>)>,
    last_sequence: u64,
    pub rng: ChaCha8Rng,
    pub tune: fn(&mut Settings),
    pub bytes: u64,
}

pub fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + index as u16).into()
}

fn keys() -> Keys {
    Keys::parse(&format!("1 {}", "5a".repeat(32))).unwrap()
}

impl Network {
    /// Creates a network of members that start at the same time and have the first two as seeds.
    pub fn new(count: usize, seed: u64, tune: fn(&mut Settings)) -> Network {
        let mut network = Network {
            now: 0,
            members: Vec::new(),
            links: BTreeMap::new(),
            default_link: RELIABLE,
            queue: BTreeMap::new(),
            last_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tune,
            bytes: 0,
        };
        for index in 0..count {
            let member = SimulatedMember {
                peers: None,
                rate: 1.0,
                offset: 0,
                paused: false,
                inbox: Vec::new(),
                events: Vec::new(),
                messages: Vec::new(),
            };
            network.members.push(member);
            network.start(index);
        }
        network
    }

    /// Starts a member, or restarts it if it is running.
    pub fn start(&mut self, index: usize) {
        self.start_as(index, &format!("m{index}"));
    }

    pub fn start_as(&mut self, index: usize, name: &str) {
        let mut settings = Settings::new(name, "z", address(index));
        settings.seeds = vec![address(0), address(1)];
        (self.tune)(&mut settings);
        let mut seed = [0; 32];
        self.rng.fill_bytes(&mut seed);
        let at = self.clock(index);
        self.members[index].inbox.clear();
        self.members[index].paused = false;
        self.members[index].peers = Some(Peers::new(settings, Some(keys()), seed, at));
    }

    pub fn kill(&mut self, index: usize) {
        self.members[index].peers = None;
    }

    pub fn set_link(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    pub fn heal(&mut self) {
        self.links.clear();
        self.default_link = RELIABLE;
    }

    /// Cuts all links between these members and the others, in both directions.
    pub fn split(&mut self, side: &[usize]) {
        for a in 0..self.members.len() {
            for b in 0..self.members.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.set_link(a, b, Link { cut: true, ..RELIABLE });
                }
            }
        }
    }

    pub fn clock(&self, index: usize) -> Micros {
        Micros(self.members[index].offset + (self.now as f64 * self.members[index].rate) as i64)
    }

    /// Changes the rate of a member's clock without a jump of its reading.
    pub fn set_rate(&mut self, index: usize, rate: f64) {
        let at = self.clock(index).0;
        self.members[index].rate = rate;
        self.members[index].offset = at - (self.now as f64 * rate) as i64;
    }

    pub fn resume(&mut self, index: usize) {
        self.members[index].paused = false;
        for data in std::mem::take(&mut self.members[index].inbox) {
            self.deliver(index, &data);
        }
    }

    fn deliver(&mut self, index: usize, data: &[u8]) {
        let at = self.clock(index);
        let Some(peers) = &mut self.members[index].peers else { return };
        let _ = peers.handle(at, Input::Datagram(data));
        self.process_outputs(index);
    }

    pub fn leave(&mut self, index: usize) {
        let at = self.clock(index);
        let _ = self.members[index].peers.as_mut().unwrap().handle(at, Input::Leave);
        self.process_outputs(index);
        self.kill(index);
    }

    fn process_outputs(&mut self, index: usize) {
        loop {
            let Some(output) = self.members[index].peers.as_mut().and_then(Peers::poll) else { return };
            match output {
                Output::Event(event) => self.members[index].events.push(event),
                Output::Message(from, message) => self.members[index].messages.push((from, message)),
                Output::Send(to, data) => {
                    self.bytes += data.len() as u64;
                    let to = usize::from(to.port()) - 1000;
                    let link = self.links.get(&(index, to)).copied().unwrap_or(self.default_link);
                    let copies = 1 + usize::from(self.rng.random_bool(link.duplication));
                    for _ in 0..copies {
                        let at = self.now + self.rng.random_range(link.delay.0..=link.delay.1);
                        if !link.cut && to < self.members.len() && !self.rng.random_bool(link.loss) {
                            self.last_sequence += 1;
                            self.queue.insert((at, self.last_sequence), (to, data.clone()));
                        }
                    }
                }
            }
        }
    }

    /// Advances the virtual time by `time` microseconds, running the members' timers in steps of 1 ms.
    pub fn run(&mut self, time: i64) {
        let end = self.now + time;
        while self.now < end {
            self.now += 1_000;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, data) = entry.remove();
                if self.members[to].paused {
                    // The limit stands for the size of a socket's receive buffer.
                    if self.members[to].inbox.len() < 200 {
                        self.members[to].inbox.push(data);
                    }
                } else {
                    self.deliver(to, &data);
                }
            }
            for index in 0..self.members.len() {
                let at = self.clock(index);
                let SimulatedMember { peers: Some(peers), paused: false, .. } = &mut self.members[index]
                else {
                    continue;
                };
                if peers.next_timeout() <= at {
                    let _ = peers.handle(at, Input::Wake);
                    self.process_outputs(index);
                }
            }
        }
    }

    /// Advances the virtual time until the condition holds, for at most `timeout` microseconds. Returns the
    /// time that it took, or `None` if the condition does not hold by then.
    pub fn run_until(&mut self, timeout: i64, mut condition: impl FnMut(&Network) -> bool) -> Option<i64> {
        let start = self.now;
        while self.now - start < timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(20_000);
        }
        condition(self).then_some(self.now - start)
    }

    pub fn alive(&self, index: usize) -> u32 {
        self.members[index].peers.as_ref().map_or(0, |p| p.alive_count())
    }

    /// Whether each running member believes that `count` members are alive.
    pub fn all_see_alive(&self, count: u32) -> bool {
        (0..self.members.len())
            .filter(|&index| self.members[index].peers.is_some())
            .all(|index| self.alive(index) == count)
    }

    /// Publishes a fact whose value is the current virtual time.
    pub fn publish_time(&mut self, index: usize, key: &[u8]) {
        let (at, now) = (self.clock(index), self.now);
        if let Some(peers) = &mut self.members[index].peers {
            peers.publish(at, key, &now.to_be_bytes(), Micros(0));
        }
    }

    /// The true ages of all facts that this member would use now, in microseconds.
    pub fn true_ages(&self, index: usize) -> Vec<i64> {
        let at = self.clock(index);
        let Some(peers) = &self.members[index].peers else { return Vec::new() };
        peers.facts(at).map(|f| self.now - i64::from_be_bytes(f.value.try_into().unwrap())).collect()
    }
}

/// The invariant of staleness: no fact older than the bound is used, if no clock runs slower than the rate
/// `slowest`.
pub fn within_bound(age: i64, bound: Duration, slowest: f64) -> bool {
    // The tolerance covers a step of 1 ms of the simulation and 1 ms of rounding.
    age as f64 <= bound.as_micros() as f64 / slowest + 2_000.0
}
