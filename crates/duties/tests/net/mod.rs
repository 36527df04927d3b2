//! A fleet in virtual time: links that lose, repeat and delay, clocks that run apart, processes that die and stand still,
//! disks that are slow, full or lost.
#![allow(dead_code)] // each test program uses its part

use garnettally_duties::{Duties, Epoch, Event, Fence, Input, Life, Output, Sender, Settings, To};
use garnettally_model::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000_000;

#[derive(Clone, Copy)]
pub struct Link {
    pub cut: bool,
    pub loss: f64,
    pub twice: f64,
    pub delay: (i64, i64),
}

pub const GOOD: Link = Link { cut: false, loss: 0.0, twice: 0.0, delay: (200, 1_000) };

/// What a disk does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disk {
    Well,
    /// Nothing can be written.
    Full,
}

pub enum Job {
    Add(Vec<u8>),
    Replace(Vec<Vec<u8>>),
}

pub struct Node {
    pub duties: Option<Duties>,
    pub life: Life,
    pub rate: f64,
    pub offset: i64,
    pub paused: bool,
    pub inbox: Vec<(Sender, Vec<u8>)>,
    /// What is synced.
    pub disk: Vec<Vec<u8>>,
    pub folder: u64,
    pub state: Disk,
    jobs: VecDeque<(i64, u64, Job)>,
    pub events: Vec<Event>,
}

pub struct Net {
    pub now: i64,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub voters: usize,
    /// Members whose files name other voters.
    pub rosters: BTreeMap<usize, u64>,
    pub names: Vec<String>,
    pub every_link: Link,
    pub links: BTreeMap<(usize, usize), Link>,
    queue: BTreeMap<(i64, u64), (usize, Sender, Vec<u8>)>,
    /// Effects on their way to the sink: duty, epoch, a number of their own, and whose.
    effects: BTreeMap<(i64, u64), (usize, Epoch, usize)>,
    next: u64,
    pub fence: Fence,
    pub fenced: bool,
    /// Highest epoch that the sink has taken, by duty; with whom each epoch was.
    pub taken: BTreeMap<usize, Epoch>,
    pub owners: BTreeMap<(usize, Epoch), usize>,
    pub refused: u64,
    pub admitted: u64,
    pub messages: u64,
    pub bytes: u64,
    /// What was seen to be broken.
    pub broken: Vec<String>,
    /// By duty: since when nobody acts.
    pub idle_since: BTreeMap<usize, i64>,
    pub gaps: Vec<i64>,
    /// Two owners at a time count as broken.
    pub exclusive: bool,
    pub lease: Micros,
    /// What was sent, where that is recorded.
    pub tape: Option<Vec<(Sender, Vec<u8>)>>,
    /// For how long it takes a sink's effect to come.
    pub effect_delay: (i64, i64),
}

impl Net {
    pub fn new(members: usize, voters: usize, duties: usize, seed: u64) -> Net {
        let mut net = Net {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            voters,
            rosters: BTreeMap::new(),
            names: (0..duties).map(|d| format!("duty-{d}")).collect(),
            every_link: GOOD,
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            effects: BTreeMap::new(),
            next: 0,
            fence: Fence::default(),
            fenced: true,
            taken: BTreeMap::new(),
            owners: BTreeMap::new(),
            refused: 0,
            admitted: 0,
            messages: 0,
            bytes: 0,
            broken: Vec::new(),
            idle_since: (0..duties).map(|d| (d, 0)).collect(),
            gaps: Vec::new(),
            exclusive: true,
            lease: Micros(SECOND),
            tape: None,
            effect_delay: (200, 5_000),
        };
        for i in 0..members {
            let (offset, folder) = (net.rng.random_range(0..1_000_000_000), net.rng.random());
            net.nodes.push(Node {
                duties: None,
                life: 0,
                rate: 1.0,
                offset,
                paused: false,
                inbox: Vec::new(),
                disk: Vec::new(),
                folder,
                state: Disk::Well,
                jobs: VecDeque::new(),
                events: Vec::new(),
            });
            net.start(i);
        }
        net
    }

    pub fn clock(&self, i: usize) -> Micros {
        Micros(self.nodes[i].offset + (self.now as f64 * self.nodes[i].rate) as i64)
    }

    pub fn set_rate(&mut self, i: usize, rate: f64) {
        let at = self.clock(i).0;
        self.nodes[i].rate = rate;
        self.nodes[i].offset = at - (self.now as f64 * rate) as i64;
    }

    /// A new life of a member; what it had not synced is lost.
    pub fn start(&mut self, i: usize) {
        self.kill(i);
        let life = self.rng.random_range(1..u64::MAX);
        let at = self.clock(i);
        let set = Settings {
            life,
            voters: (1..=self.voters as u64).collect(),
            roster: self.rosters.get(&i).copied().unwrap_or(7),
            me: (i < self.voters).then_some(i as u64 + 1),
            lease: self.lease,
            duties: self.names.clone(),
        };
        let mut duties = Duties::new(set, at);
        let n = &mut self.nodes[i];
        n.life = life;
        if i < self.voters {
            duties.handle(at, Input::Opened(&n.disk.clone(), n.folder));
        }
        n.duties = Some(duties);
        self.fetch(i);
    }

    pub fn kill(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        n.duties = None;
        n.paused = false;
        n.inbox.clear();
        n.jobs.clear();
    }

    pub fn leave(&mut self, i: usize) {
        self.hand(i, Input::End);
    }

    /// Hands something to a member.
    pub fn hand(&mut self, i: usize, input: Input<'_>) {
        let at = self.clock(i);
        if let Some(d) = &mut self.nodes[i].duties {
            d.handle(at, input);
        }
        self.fetch(i);
    }

    pub fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for (from, data) in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(i, from, &data);
        }
    }

    pub fn link(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    /// Nothing passes between these and the others.
    pub fn split(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.link(a, b, Link { cut: true, ..GOOD });
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.links.clear();
        self.every_link = GOOD;
    }

    fn deliver(&mut self, i: usize, from: Sender, data: &[u8]) {
        let at = self.clock(i);
        if let Some(d) = &mut self.nodes[i].duties {
            d.handle(at, Input::Message(from, data));
            self.fetch(i);
        }
    }

    fn fetch(&mut self, i: usize) {
        loop {
            let Some(output) = self.nodes[i].duties.as_mut().and_then(Duties::poll) else { return };
            match output {
                Output::Event(e) => self.nodes[i].events.push(e),
                Output::Store(n, record) => self.job(i, n, Job::Add(record)),
                Output::Replace(n, records) => self.job(i, n, Job::Replace(records)),
                Output::Reopen => {
                    let (at, n) = (self.clock(i), &mut self.nodes[i]);
                    let input = match n.state {
                        Disk::Full => Input::StoreFailed,
                        Disk::Well => Input::Opened(&n.disk, n.folder),
                    };
                    if let Some(d) = &mut n.duties {
                        d.handle(at, input);
                    }
                }
                Output::Send(to, data) => {
                    let from =
                        Sender { life: self.nodes[i].life, voter: (i < self.voters).then_some(i as u64 + 1) };
                    let to = match to {
                        To::Voter(v) => v as usize - 1,
                        To::Member(life) => match self.nodes.iter().position(|n| n.life == life) {
                            Some(to) => to,
                            None => continue,
                        },
                    };
                    if let Some(tape) = &mut self.tape {
                        tape.push((from, data.clone()));
                    }
                    self.messages += u64::from(to != i);
                    self.bytes += if to == i { 0 } else { data.len() as u64 };
                    let link = match to == i {
                        true => Link { delay: (0, 1), ..GOOD },
                        false => self.links.get(&(i, to)).copied().unwrap_or(self.every_link),
                    };
                    for _ in 0..1 + usize::from(self.rng.random_bool(link.twice)) {
                        let at = self.now + self.rng.random_range(link.delay.0..=link.delay.1);
                        if !link.cut && !self.rng.random_bool(link.loss) {
                            self.next += 1;
                            self.queue.insert((at, self.next), (to, from, data.clone()));
                        }
                    }
                }
            }
        }
    }

    fn job(&mut self, i: usize, n: u64, job: Job) {
        let after = self.nodes[i].jobs.back().map_or(self.now, |j| j.0);
        let at = after.max(self.now) + self.rng.random_range(100..5_000);
        self.nodes[i].jobs.push_back((at, n, job));
    }

    fn work_off(&mut self, i: usize) {
        while self.nodes[i].jobs.front().is_some_and(|j| j.0 <= self.now) {
            let at = self.clock(i);
            let node = &mut self.nodes[i];
            let Some((_, n, job)) = node.jobs.pop_front() else { return };
            let input = match node.state {
                Disk::Full => {
                    node.jobs.clear();
                    Input::StoreFailed
                }
                Disk::Well => {
                    match job {
                        Job::Add(r) => node.disk.push(r),
                        Job::Replace(r) => node.disk = r,
                    }
                    Input::Stored(n)
                }
            };
            if let Some(d) = &mut node.duties {
                d.handle(at, input);
            }
            self.fetch(i);
        }
    }

    /// Lets this much time pass, in steps of 1 ms.
    pub fn run(&mut self, time: i64) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, from, data) = entry.remove();
                if self.nodes[to].paused {
                    if self.nodes[to].inbox.len() < 200 {
                        self.nodes[to].inbox.push((from, data));
                    }
                } else {
                    self.deliver(to, from, &data);
                }
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].paused {
                    continue;
                }
                self.work_off(i);
                let at = self.clock(i);
                if let Some(d) = &mut self.nodes[i].duties {
                    if d.next_timeout() <= at {
                        d.handle(at, Input::Wake);
                        self.fetch(i);
                    }
                }
            }
            self.act();
            self.sink();
        }
    }

    /// Every owner acts, if it may; what is seen of all at once is checked.
    fn act(&mut self) {
        for d in 0..self.names.len() {
            let name = &self.names[d];
            let mut actors = Vec::new();
            for (i, n) in self.nodes.iter().enumerate() {
                // One that stands still does nothing; but what it had read before it may do when it wakes.
                let epoch = n.duties.as_ref().and_then(|x| x.may_act(self.clock(i), name));
                actors.extend(epoch.map(|e| (i, e)));
            }
            if self.exclusive && actors.len() > 1 {
                self.broken.push(format!("{} us: {name} has the owners {actors:?}", self.now));
            }
            for &(i, epoch) in &actors {
                let whose = *self.owners.entry((d, epoch)).or_insert(i);
                if whose != i {
                    self.broken.push(format!("{} us: {name} {epoch} of {whose} and of {i}", self.now));
                }
                if !self.nodes[i].paused && self.now % (10 * MS) == 0 {
                    self.next += 1;
                    let at = self.now + self.rng.random_range(self.effect_delay.0..=self.effect_delay.1);
                    self.effects.insert((at, self.next), (d, epoch, i));
                }
            }
            let active = actors.iter().any(|&(i, _)| !self.nodes[i].paused);
            match (active, self.idle_since.get(&d).copied()) {
                (true, Some(since)) => {
                    self.gaps.push(self.now - since);
                    self.idle_since.remove(&d);
                }
                (false, None) => {
                    self.idle_since.insert(d, self.now);
                }
                _ => {}
            }
        }
    }

    fn sink(&mut self) {
        while let Some(entry) = self.effects.first_entry().filter(|e| e.key().0 <= self.now) {
            let (d, epoch, _) = entry.remove();
            if self.fenced && !self.fence.admits(&self.names[d], epoch) {
                self.refused += 1;
                continue;
            }
            self.admitted += 1;
            let highest = self.taken.entry(d).or_insert(0);
            if epoch < *highest {
                self.broken.push(format!("{} us: the sink took {epoch} after {highest}", self.now));
            }
            *highest = epoch.max(*highest);
        }
    }

    /// Until this holds, or for so long at most; the time that it took, if it came.
    pub fn until(&mut self, most: i64, mut holds: impl FnMut(&Net) -> bool) -> Option<i64> {
        let start = self.now;
        while self.now - start < most {
            // What has just been done to it shows once time has passed.
            self.run(MS);
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(4 * MS);
        }
        None
    }

    /// Every duty has an owner that acts.
    pub fn all_owned(&self) -> bool {
        self.idle_since.is_empty()
    }

    /// Who acts on a duty.
    pub fn owner(&self, d: usize) -> Option<usize> {
        let name = &self.names[d];
        (0..self.nodes.len()).find(|&i| {
            let n = &self.nodes[i];
            !n.paused && n.duties.as_ref().is_some_and(|x| x.may_act(self.clock(i), name).is_some())
        })
    }

    pub fn counts(&self) -> BTreeMap<usize, usize> {
        let mut all = BTreeMap::new();
        for d in 0..self.names.len() {
            if let Some(o) = self.owner(d) {
                *all.entry(o).or_default() += 1;
            }
        }
        all
    }

    pub fn alive(&self) -> BTreeSet<usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].duties.is_some()).collect()
    }
}
