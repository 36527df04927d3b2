//! A fleet simulated in virtual time: links that lose, duplicate and delay messages, clocks that drift,
//! processes that die or are paused, and disks that are slow, full or lost.
#![allow(dead_code)] // each test program uses only some of the items

use garnettally_duties::{Duties, Epoch, Event, Fence, Input, Life, Output, Recipient, Sender, Settings};
use garnettally_model::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One millisecond, in microseconds.
pub const MS: i64 = 1_000;
/// One second, in microseconds.
pub const SECOND: i64 = 1_000_000;

/// The behaviour of the link from one member to another.
#[derive(Clone, Copy)]
pub struct Link {
    /// No message passes.
    pub cut: bool,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is sent twice.
    pub duplication: f64,
    /// The shortest and the longest delay of a message, in microseconds.
    pub delay: (i64, i64),
}

/// A link that delivers every message once, within 1 ms.
pub const GOOD_LINK: Link = Link { cut: false, loss: 0.0, duplication: 0.0, delay: (200, 1_000) };

/// The condition of a disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disk {
    Working,
    /// Every write fails.
    Full,
}

/// A write that a member has started.
pub enum WriteJob {
    Add(Vec<u8>),
    Replace(Vec<Vec<u8>>),
}

/// One member of the fleet.
pub struct Node {
    /// The code under test; `None` while the process is not running.
    pub duties: Option<Duties>,
    pub life: Life,
    /// The speed of the member's clock relative to true time.
    pub rate: f64,
    /// The value of the member's clock at true time 0, in microseconds, at the present rate.
    pub offset: i64,
    /// The process is stopped, but not ended.
    pub paused: bool,
    /// Messages that have arrived while the process was paused.
    pub inbox: Vec<(Sender, Vec<u8>)>,
    /// The records that are synced to the disk.
    pub disk: Vec<Vec<u8>>,
    /// The identifier of the member's folder.
    pub folder: u64,
    pub disk_state: Disk,
    /// Writes in progress: when each ends, its number, and what is written.
    jobs: VecDeque<(i64, u64, WriteJob)>,
    pub events: Vec<Event>,
}

/// The fleet, its links, and a sink that receives the effects of the owners.
pub struct Net {
    /// True time since the start, in microseconds.
    pub now: i64,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    /// The number of voters, which are the first members.
    pub voters: usize,
    /// The roster hashes of members whose configuration lists other voters.
    pub rosters: BTreeMap<usize, u64>,
    pub duty_names: Vec<String>,
    /// The behaviour of all links that are not in `links`.
    pub default_link: Link,
    /// Links by sending and receiving member.
    pub links: BTreeMap<(usize, usize), Link>,
    /// Messages on their way, by arrival time and number: receiver, sender and content.
    queue: BTreeMap<(i64, u64), (usize, Sender, Vec<u8>)>,
    /// Effects on their way to the sink, by arrival time and number: duty, epoch and owner.
    effects: BTreeMap<(i64, u64), (usize, Epoch, usize)>,
    /// The last number given to a message or an effect.
    next_number: u64,
    /// The sink's check of epochs.
    pub fence: Fence,
    /// Whether the sink refuses effects that its check does not admit.
    pub fenced: bool,
    /// The highest epoch that the sink has accepted, by duty.
    pub highest_taken: BTreeMap<usize, Epoch>,
    /// The member that acted in each epoch of each duty.
    pub epoch_owners: BTreeMap<(usize, Epoch), usize>,
    /// Effects that the sink refused.
    pub refused: u64,
    /// Effects that the sink accepted.
    pub admitted: u64,
    /// Messages that were sent from one member to another.
    pub messages: u64,
    /// The total size of these messages, in bytes.
    pub bytes: u64,
    /// Descriptions of the violations of invariants that were observed.
    pub violations: Vec<String>,
    /// The duties on which no member acts, each with the time since when.
    pub idle_since: BTreeMap<usize, i64>,
    /// The lengths of the periods in which no member acted on a duty, in microseconds.
    pub gaps: Vec<i64>,
    /// Whether two members acting on a duty at the same time count as a violation.
    pub check_single_owner: bool,
    pub lease: Micros,
    /// The messages sent so far, if they are recorded.
    pub recorded_messages: Option<Vec<(Sender, Vec<u8>)>>,
    /// The shortest and the longest time for an effect to reach the sink, in microseconds.
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
            duty_names: (0..duties).map(|duty| format!("duty-{duty}")).collect(),
            default_link: GOOD_LINK,
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            effects: BTreeMap::new(),
            next_number: 0,
            fence: Fence::default(),
            fenced: true,
            highest_taken: BTreeMap::new(),
            epoch_owners: BTreeMap::new(),
            refused: 0,
            admitted: 0,
            messages: 0,
            bytes: 0,
            violations: Vec::new(),
            idle_since: (0..duties).map(|duty| (duty, 0)).collect(),
            gaps: Vec::new(),
            check_single_owner: true,
            lease: Micros(SECOND),
            recorded_messages: None,
            effect_delay: (200, 5_000),
        };
        for member in 0..members {
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
                disk_state: Disk::Working,
                jobs: VecDeque::new(),
                events: Vec::new(),
            });
            net.start(member);
        }
        net
    }

    /// Returns the present value of a member's clock.
    pub fn clock(&self, member: usize) -> Micros {
        Micros(self.nodes[member].offset + (self.now as f64 * self.nodes[member].rate) as i64)
    }

    /// Changes the speed of a member's clock from now on; the clock does not jump.
    pub fn set_rate(&mut self, member: usize, rate: f64) {
        let at = self.clock(member).0;
        self.nodes[member].rate = rate;
        self.nodes[member].offset = at - (self.now as f64 * rate) as i64;
    }

    /// Starts a member with a new life, after killing a running one. Records that were not synced are lost.
    pub fn start(&mut self, member: usize) {
        self.kill(member);
        let life = self.rng.random_range(1..u64::MAX);
        let at = self.clock(member);
        let settings = Settings {
            life,
            voters: (1..=self.voters as u64).collect(),
            roster: self.rosters.get(&member).copied().unwrap_or(7),
            own_voter: (member < self.voters).then_some(member as u64 + 1),
            lease: self.lease,
            duties: self.duty_names.clone(),
        };
        let mut duties = Duties::new(settings, at);
        let n = &mut self.nodes[member];
        n.life = life;
        if member < self.voters {
            duties.handle(at, Input::Opened(&n.disk.clone(), n.folder));
        }
        n.duties = Some(duties);
        self.process_outputs(member);
    }

    /// Ends a member's process without notice.
    pub fn kill(&mut self, member: usize) {
        let n = &mut self.nodes[member];
        n.duties = None;
        n.paused = false;
        n.inbox.clear();
        n.jobs.clear();
    }

    /// Makes a member leave in an orderly way.
    pub fn leave(&mut self, member: usize) {
        self.handle_input(member, Input::Leave);
    }

    /// Passes an input to a member.
    pub fn handle_input(&mut self, member: usize, input: Input<'_>) {
        let at = self.clock(member);
        if let Some(duties) = &mut self.nodes[member].duties {
            duties.handle(at, input);
        }
        self.process_outputs(member);
    }

    /// Lets a paused member continue, starting with the messages that arrived meanwhile.
    pub fn resume(&mut self, member: usize) {
        self.nodes[member].paused = false;
        for (from, data) in std::mem::take(&mut self.nodes[member].inbox) {
            self.deliver(member, from, &data);
        }
    }

    pub fn set_link(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    /// Cuts all links between these members and the others.
    pub fn split(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.set_link(a, b, Link { cut: true, ..GOOD_LINK });
                }
            }
        }
    }

    /// Restores all links to the good state.
    pub fn heal(&mut self) {
        self.links.clear();
        self.default_link = GOOD_LINK;
    }

    fn deliver(&mut self, member: usize, from: Sender, data: &[u8]) {
        let at = self.clock(member);
        if let Some(duties) = &mut self.nodes[member].duties {
            duties.handle(at, Input::Message(from, data));
            self.process_outputs(member);
        }
    }

    /// Carries out the pending actions of a member.
    fn process_outputs(&mut self, member: usize) {
        loop {
            let Some(output) = self.nodes[member].duties.as_mut().and_then(Duties::poll) else { return };
            match output {
                Output::Event(e) => self.nodes[member].events.push(e),
                Output::Store(n, record) => self.enqueue_write(member, n, WriteJob::Add(record)),
                Output::Replace(n, records) => self.enqueue_write(member, n, WriteJob::Replace(records)),
                Output::Reopen => {
                    let (at, n) = (self.clock(member), &mut self.nodes[member]);
                    let input = match n.disk_state {
                        Disk::Full => Input::StoreFailed,
                        Disk::Working => Input::Opened(&n.disk, n.folder),
                    };
                    if let Some(duties) = &mut n.duties {
                        duties.handle(at, input);
                    }
                }
                Output::Send(to, data) => {
                    let from = Sender {
                        life: self.nodes[member].life,
                        voter: (member < self.voters).then_some(member as u64 + 1),
                    };
                    let to = match to {
                        Recipient::Voter(v) => v as usize - 1,
                        Recipient::Member(life) => match self.nodes.iter().position(|n| n.life == life) {
                            Some(to) => to,
                            None => continue,
                        },
                    };
                    if let Some(recorded_messages) = &mut self.recorded_messages {
                        recorded_messages.push((from, data.clone()));
                    }
                    self.messages += u64::from(to != member);
                    self.bytes += if to == member { 0 } else { data.len() as u64 };
                    let link = match to == member {
                        true => Link { delay: (0, 1), ..GOOD_LINK },
                        false => self.links.get(&(member, to)).copied().unwrap_or(self.default_link),
                    };
                    for _ in 0..1 + usize::from(self.rng.random_bool(link.duplication)) {
                        let at = self.now + self.rng.random_range(link.delay.0..=link.delay.1);
                        if !link.cut && !self.rng.random_bool(link.loss) {
                            self.next_number += 1;
                            self.queue.insert((at, self.next_number), (to, from, data.clone()));
                        }
                    }
                }
            }
        }
    }

    /// Starts a write that ends after those started before.
    fn enqueue_write(&mut self, member: usize, n: u64, job: WriteJob) {
        let after = self.nodes[member].jobs.back().map_or(self.now, |j| j.0);
        let at = after.max(self.now) + self.rng.random_range(100..5_000);
        self.nodes[member].jobs.push_back((at, n, job));
    }

    /// Completes the writes of a member that have ended by now.
    fn run_disk(&mut self, member: usize) {
        while self.nodes[member].jobs.front().is_some_and(|j| j.0 <= self.now) {
            let at = self.clock(member);
            let node = &mut self.nodes[member];
            let Some((_, n, job)) = node.jobs.pop_front() else { return };
            let input = match node.disk_state {
                Disk::Full => {
                    node.jobs.clear();
                    Input::StoreFailed
                }
                Disk::Working => {
                    match job {
                        WriteJob::Add(r) => node.disk.push(r),
                        WriteJob::Replace(r) => node.disk = r,
                    }
                    Input::Stored(n)
                }
            };
            if let Some(duties) = &mut node.duties {
                duties.handle(at, input);
            }
            self.process_outputs(member);
        }
    }

    /// Lets this many microseconds pass, in steps of 1 ms.
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
            for member in 0..self.nodes.len() {
                if self.nodes[member].paused {
                    continue;
                }
                self.run_disk(member);
                let at = self.clock(member);
                if let Some(duties) = &mut self.nodes[member].duties {
                    if duties.next_timeout() <= at {
                        duties.handle(at, Input::Wake);
                        self.process_outputs(member);
                    }
                }
            }
            self.run_owners();
            self.deliver_effects();
        }
    }

    /// Lets every owner act if it may, and checks the invariants over all members at this moment.
    fn run_owners(&mut self) {
        for duty in 0..self.duty_names.len() {
            let name = &self.duty_names[duty];
            let mut actors = Vec::new();
            for (member, n) in self.nodes.iter().enumerate() {
                // A paused member does not act, but when it continues it may still act on a permission that
                // it read before the pause.
                let epoch = n.duties.as_ref().and_then(|x| x.may_act(self.clock(member), name));
                actors.extend(epoch.map(|e| (member, e)));
            }
            if self.check_single_owner && actors.len() > 1 {
                self.violations.push(format!("{} us: {name} has the owners {actors:?}", self.now));
            }
            for &(member, epoch) in &actors {
                let first_owner = *self.epoch_owners.entry((duty, epoch)).or_insert(member);
                if first_owner != member {
                    self.violations.push(format!(
                        "{} us: epoch {epoch} of {name} belongs to {first_owner} and to {member}",
                        self.now
                    ));
                }
                if !self.nodes[member].paused && self.now % (10 * MS) == 0 {
                    self.next_number += 1;
                    let at = self.now + self.rng.random_range(self.effect_delay.0..=self.effect_delay.1);
                    self.effects.insert((at, self.next_number), (duty, epoch, member));
                }
            }
            let active = actors.iter().any(|&(member, _)| !self.nodes[member].paused);
            match (active, self.idle_since.get(&duty).copied()) {
                (true, Some(since)) => {
                    self.gaps.push(self.now - since);
                    self.idle_since.remove(&duty);
                }
                (false, None) => {
                    self.idle_since.insert(duty, self.now);
                }
                _ => {}
            }
        }
    }

    /// Delivers the effects that have reached the sink by now, and checks the order of their epochs.
    fn deliver_effects(&mut self) {
        while let Some(entry) = self.effects.first_entry().filter(|e| e.key().0 <= self.now) {
            let (duty, epoch, _) = entry.remove();
            if self.fenced && !self.fence.admits(&self.duty_names[duty], epoch) {
                self.refused += 1;
                continue;
            }
            self.admitted += 1;
            let highest = self.highest_taken.entry(duty).or_insert(0);
            if epoch < *highest {
                self.violations.push(format!("{} us: the sink took {epoch} after {highest}", self.now));
            }
            *highest = epoch.max(*highest);
        }
    }

    /// Lets time pass until the condition holds, but no longer than `most` microseconds. Returns the time
    /// until then, or `None` if the condition did not come to hold.
    pub fn run_until(&mut self, most: i64, mut holds: impl FnMut(&Net) -> bool) -> Option<i64> {
        let start = self.now;
        while self.now - start < most {
            // A change just made by the test takes effect only after some time has passed.
            self.run(MS);
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(4 * MS);
        }
        None
    }

    /// Whether a member acts on every duty.
    pub fn all_owned(&self) -> bool {
        self.idle_since.is_empty()
    }

    /// Returns the member that acts on a duty, if there is one.
    pub fn acting_owner(&self, duty: usize) -> Option<usize> {
        let name = &self.duty_names[duty];
        (0..self.nodes.len()).find(|&member| {
            let n = &self.nodes[member];
            !n.paused && n.duties.as_ref().is_some_and(|x| x.may_act(self.clock(member), name).is_some())
        })
    }

    /// Returns the number of duties on which each member acts.
    pub fn duties_per_owner(&self) -> BTreeMap<usize, usize> {
        let mut all = BTreeMap::new();
        for duty in 0..self.duty_names.len() {
            if let Some(o) = self.acting_owner(duty) {
                *all.entry(o).or_default() += 1;
            }
        }
        all
    }

    /// Returns the members whose processes are running.
    pub fn alive(&self) -> BTreeSet<usize> {
        (0..self.nodes.len()).filter(|&member| self.nodes[member].duties.is_some()).collect()
    }
}
