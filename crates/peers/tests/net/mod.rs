//! A network in virtual time: members, each with a clock of its own, and links that lose, delay, repeat and reorder.

use garnettally_model::Micros;
use garnettally_peers::{Event, Input, Keys, Output, Peers, Settings};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub const SECOND: i64 = 1_000_000;

/// What a link does to a datagram, in one direction.
#[derive(Clone, Copy)]
pub struct Link {
    pub cut: bool,
    pub loss: f64,
    pub twice: f64,
    /// Least and most delay, in microseconds.
    pub delay: (i64, i64),
}

pub const GOOD: Link = Link { cut: false, loss: 0.0, twice: 0.0, delay: (100, 2_000) };

pub struct Node {
    pub peers: Option<Peers>,
    /// Its clock: so many of its microseconds pass in one, counted from so many.
    pub rate: f64,
    pub offset: i64,
    pub paused: bool,
    /// What came while it was paused.
    inbox: Vec<Vec<u8>>,
    pub events: Vec<Event>,
    pub letters: Vec<(u64, Vec<u8>)>,
}

pub struct Net {
    pub now: i64,
    pub nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    pub every_link: Link,
    queue: BTreeMap<(i64, u64), (usize, Vec<u8>)>,
    next: u64,
    pub rng: ChaCha8Rng,
    pub tune: fn(&mut Settings),
    pub bytes: u64,
}

pub fn address(i: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + i as u16).into()
}

fn keys() -> Keys {
    Keys::parse(&format!("1 {}", "5a".repeat(32))).unwrap()
}

impl Net {
    /// So many members that start at once and know the first two as seeds.
    pub fn new(n: usize, seed: u64, tune: fn(&mut Settings)) -> Net {
        let mut net = Net {
            now: 0,
            nodes: Vec::new(),
            links: BTreeMap::new(),
            every_link: GOOD,
            queue: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tune,
            bytes: 0,
        };
        for i in 0..n {
            let node = Node {
                peers: None,
                rate: 1.0,
                offset: 0,
                paused: false,
                inbox: Vec::new(),
                events: Vec::new(),
                letters: Vec::new(),
            };
            net.nodes.push(node);
            net.start(i);
        }
        net
    }

    /// Starts a member, anew if it was there.
    pub fn start(&mut self, i: usize) {
        self.start_as(i, &format!("m{i}"));
    }

    pub fn start_as(&mut self, i: usize, name: &str) {
        let mut set = Settings::new(name, "z", address(i));
        set.seeds = vec![address(0), address(1)];
        (self.tune)(&mut set);
        let mut seed = [0; 32];
        self.rng.fill_bytes(&mut seed);
        let at = self.clock(i);
        self.nodes[i].inbox.clear();
        self.nodes[i].paused = false;
        self.nodes[i].peers = Some(Peers::new(set, Some(keys()), seed, at));
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].peers = None;
    }

    pub fn link(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    pub fn heal(&mut self) {
        self.links.clear();
        self.every_link = GOOD;
    }

    /// Cuts all links between these and the others, both ways.
    pub fn split(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.link(a, b, Link { cut: true, ..GOOD });
                }
            }
        }
    }

    pub fn clock(&self, i: usize) -> Micros {
        Micros(self.nodes[i].offset + (self.now as f64 * self.nodes[i].rate) as i64)
    }

    /// A member's clock runs at this rate from now on, and does not jump.
    pub fn set_rate(&mut self, i: usize, rate: f64) {
        let at = self.clock(i).0;
        self.nodes[i].rate = rate;
        self.nodes[i].offset = at - (self.now as f64 * rate) as i64;
    }

    pub fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for data in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(i, &data);
        }
    }

    fn deliver(&mut self, i: usize, data: &[u8]) {
        let at = self.clock(i);
        let Some(p) = &mut self.nodes[i].peers else { return };
        let _ = p.handle(at, Input::Datagram(data));
        self.fetch(i);
    }

    pub fn leave(&mut self, i: usize) {
        let at = self.clock(i);
        let _ = self.nodes[i].peers.as_mut().unwrap().handle(at, Input::Leave);
        self.fetch(i);
        self.kill(i);
    }

    fn fetch(&mut self, i: usize) {
        loop {
            let Some(output) = self.nodes[i].peers.as_mut().and_then(Peers::poll) else { return };
            match output {
                Output::Event(e) => self.nodes[i].events.push(e),
                Output::Message(from, letter) => self.nodes[i].letters.push((from, letter)),
                Output::Send(to, data) => {
                    self.bytes += data.len() as u64;
                    let to = usize::from(to.port()) - 1000;
                    let link = self.links.get(&(i, to)).copied().unwrap_or(self.every_link);
                    let copies = 1 + usize::from(self.rng.random_bool(link.twice));
                    for _ in 0..copies {
                        let at = self.now + self.rng.random_range(link.delay.0..=link.delay.1);
                        if !link.cut && to < self.nodes.len() && !self.rng.random_bool(link.loss) {
                            self.next += 1;
                            self.queue.insert((at, self.next), (to, data.clone()));
                        }
                    }
                }
            }
        }
    }

    /// Lets this much time pass, in steps of 1 ms for what members do by themselves.
    pub fn run(&mut self, time: i64) {
        let end = self.now + time;
        while self.now < end {
            self.now += 1_000;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, data) = entry.remove();
                if self.nodes[to].paused {
                    // As much as a socket's buffer holds.
                    if self.nodes[to].inbox.len() < 200 {
                        self.nodes[to].inbox.push(data);
                    }
                } else {
                    self.deliver(to, &data);
                }
            }
            for i in 0..self.nodes.len() {
                let at = self.clock(i);
                let Node { peers: Some(p), paused: false, .. } = &mut self.nodes[i] else { continue };
                if p.next_timeout() <= at {
                    let _ = p.handle(at, Input::Wake);
                    self.fetch(i);
                }
            }
        }
    }

    /// Until this holds, or for so long at most; the time that it took, if it came.
    pub fn until(&mut self, most: i64, mut holds: impl FnMut(&Net) -> bool) -> Option<i64> {
        let start = self.now;
        while self.now - start < most {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(20_000);
        }
        holds(self).then_some(self.now - start)
    }

    pub fn alive(&self, i: usize) -> u32 {
        self.nodes[i].peers.as_ref().map_or(0, |p| p.alive_count())
    }

    /// Each live member sees so many alive.
    pub fn all_see(&self, n: u32) -> bool {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].peers.is_some()).all(|i| self.alive(i) == n)
    }

    /// Says something whose value is the true time.
    pub fn say(&mut self, i: usize, key: &[u8]) {
        let (at, now) = (self.clock(i), self.now);
        if let Some(p) = &mut self.nodes[i].peers {
            p.publish(at, key, &now.to_be_bytes(), Micros(0));
        }
    }

    /// The true ages of all that this member would act upon now.
    pub fn ages(&self, i: usize) -> Vec<i64> {
        let at = self.clock(i);
        let Some(p) = &self.nodes[i].peers else { return Vec::new() };
        p.facts(at).map(|f| self.now - i64::from_be_bytes(f.value.try_into().unwrap())).collect()
    }
}

/// **The** invariant of staleness: nothing is acted upon that is older than the bound, for clocks that are at the
/// worst slower by this.
pub fn within_bound(age: i64, bound: Duration, slowest: f64) -> bool {
    // A step of the harness, and one millisecond of rounding.
    age as f64 <= bound.as_micros() as f64 / slowest + 2_000.0
}
