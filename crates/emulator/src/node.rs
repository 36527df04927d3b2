//! A node: some cores that its requests share, slots for those that it holds, and a queue before them.
//!
//! Running requests share the cores equally (processor sharing), each with one core at the most. The node keeps one
//! virtual clock of the work that every running request has had; a request is done when that clock reaches its mark, so
//! arrivals, departures and changes of speed cost logarithmic time. It knows nothing of networks or balancers.

use garnettally_model::Micros;
use std::cmp::Ordering;
use std::collections::{BTreeSet, VecDeque};

/// The number of a request at a node, of the caller's choosing.
pub type JobId = u64;

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub struct Build {
    /// Its cores.
    pub cores: f64,
    /// Work that a core does in a unit of time.
    pub speed: f64,
    /// Requests that it holds at a time, running or waiting for others.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// What it does with a request that was called off: stop, or work on.
    pub cancel_stops: bool,
    /// When it turns slow under a crowd.
    pub thrash: Option<Thrash>,
}

/// Some nodes turn slow when far more requests run than they have cores, and stay so for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Thrash {
    /// Running requests for each core that bring it about.
    pub above: f64,
    /// Once they have been so many for this long.
    pub after: Micros,
    /// The speed is divided by this.
    pub factor: f64,
    /// It ends once no more run than there are cores for this long.
    pub calm: Micros,
}

/// A mark on the virtual clock; totally ordered, ties by number.
#[derive(Clone, Copy, PartialEq)]
struct Mark(f64, JobId);

impl Eq for Mark {}
impl PartialOrd for Mark {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Mark {
    fn cmp(&self, o: &Self) -> Ordering {
        self.0.total_cmp(&o.0).then(self.1.cmp(&o.1))
    }
}

/// What became of a request that was brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Brought {
    /// It runs.
    Runs,
    /// It waits for a slot.
    Waits,
    /// Slots and queue are full: it was turned away, and never ran.
    Full,
}

/// A node at work.
pub struct Node {
    build: Build,
    /// Work that each running request has had.
    clock: f64,
    at: Micros,
    running: BTreeSet<Mark>,
    marks: rustc_hash::FxHashMap<JobId, f64>,
    /// Requests that hold a slot and wait for another tier.
    away: usize,
    waiting: VecDeque<(JobId, f64)>,
    /// What its speed is multiplied by: faults, pauses, cold starts.
    factor: f64,
    thrashing: bool,
    crowded_since: Option<Micros>,
    calm_since: Option<Micros>,
    /// Work done in all.
    done: f64,
}

impl Node {
    /// A node with nothing to do.
    pub fn new(build: Build, now: Micros) -> Node {
        Node {
            build,
            clock: 0.0,
            at: now,
            running: BTreeSet::new(),
            marks: Default::default(),
            away: 0,
            waiting: VecDeque::new(),
            factor: 1.0,
            thrashing: false,
            crowded_since: None,
            calm_since: None,
            done: 0.0,
        }
    }

    /// What it is.
    pub fn build(&self) -> &Build {
        &self.build
    }

    /// Requests that it holds: running, away, and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.away + self.waiting.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Work done in all, up to the last call.
    pub fn work_done(&self) -> f64 {
        self.done
    }

    /// The work it can do in a microsecond as it is now, with all cores busy.
    pub fn capacity(&self) -> f64 {
        self.build.cores * self.speed()
    }

    /// Whether a crowd has turned it slow.
    pub fn thrashing(&self) -> bool {
        self.thrashing
    }

    fn speed(&self) -> f64 {
        let slowed = self.build.thrash.as_ref().filter(|_| self.thrashing).map_or(1.0, |t| t.factor);
        self.build.speed * self.factor / slowed
    }

    /// Work that each running request gets in a microsecond.
    fn rate(&self) -> f64 {
        let n = self.running.len() as f64;
        if n == 0.0 {
            return 0.0;
        }
        self.speed() * (self.build.cores / n).min(1.0)
    }

    /// Lets time pass. No request may be done before `now`: [`Node::next`] tells when to come back.
    pub fn advance(&mut self, now: Micros) {
        let passed = (now - self.at).0.max(0) as f64;
        let step = passed * self.rate();
        self.clock += step;
        self.done += step * self.running.len() as f64;
        self.at = self.at.max(now);
        self.feel_crowd();
    }

    fn feel_crowd(&mut self) {
        let Some(t) = &self.build.thrash else { return };
        let n = self.running.len() as f64;
        if n > t.above * self.build.cores {
            let since = *self.crowded_since.get_or_insert(self.at);
            if !self.thrashing && self.at - since >= t.after {
                self.thrashing = true;
            }
        } else {
            self.crowded_since = None;
        }
        if n <= self.build.cores {
            let since = *self.calm_since.get_or_insert(self.at);
            if self.thrashing && self.at - since >= t.calm {
                self.thrashing = false;
            }
        } else {
            self.calm_since = None;
        }
    }

    /// When something happens here by itself: a request is done, or the crowd makes itself felt.
    pub fn next(&self) -> Option<Micros> {
        let rate = self.rate();
        let done = self.running.first().filter(|_| rate > 0.0).map(|m| {
            let left = (m.0 - self.clock).max(0.0) / rate;
            self.at + Micros(left.min(1e15).ceil() as i64)
        });
        let crowd = self.build.thrash.as_ref().and_then(|t| match self.thrashing {
            false => self.crowded_since.map(|since| since + t.after),
            true => self.calm_since.map(|since| since + t.calm),
        });
        done.into_iter().chain(crowd.filter(|&at| at > self.at)).min()
    }

    /// A request that is done by now, if there is one: it has left its slot.
    pub fn pop(&mut self, now: Micros) -> Option<JobId> {
        self.advance(now);
        // Rounding up to whole microseconds can leave less than one microsecond's work.
        let slack = self.rate() + 1e-6;
        let first = *self.running.first()?;
        if first.0 > self.clock + slack && self.rate() > 0.0 || self.rate() == 0.0 {
            return None;
        }
        self.running.remove(&first);
        self.marks.remove(&first.1);
        self.admit();
        Some(first.1)
    }

    /// Brings a request with this much work.
    pub fn bring(&mut self, now: Micros, id: JobId, work: f64) -> Brought {
        self.advance(now);
        if self.running.len() + self.away < self.build.slots {
            self.run(id, work);
            return Brought::Runs;
        }
        if self.waiting.len() < self.build.queue {
            self.waiting.push_back((id, work));
            return Brought::Waits;
        }
        Brought::Full
    }

    fn run(&mut self, id: JobId, work: f64) {
        let mark = self.clock + work.max(0.0);
        self.running.insert(Mark(mark, id));
        self.marks.insert(id, mark);
        self.feel_crowd();
    }

    fn admit(&mut self) {
        while self.running.len() + self.away < self.build.slots {
            let Some((id, work)) = self.waiting.pop_front() else { break };
            self.run(id, work);
        }
        self.feel_crowd();
    }

    /// A request that was just done goes on to wait for another tier: it keeps a slot.
    pub fn go_away(&mut self) {
        self.away += 1;
    }

    /// One that was away has more work here.
    pub fn come_back(&mut self, now: Micros, id: JobId, work: f64) {
        self.advance(now);
        self.away = self.away.saturating_sub(1);
        self.run(id, work);
    }

    /// One that was away is over.
    pub fn end_away(&mut self, now: Micros) {
        self.advance(now);
        self.away = self.away.saturating_sub(1);
        self.admit();
    }

    /// Calls a request off. True: it was here and is gone; false: it works on, or was not here.
    pub fn cancel(&mut self, now: Micros, id: JobId) -> bool {
        self.advance(now);
        if let Some(at) = self.waiting.iter().position(|w| w.0 == id) {
            self.waiting.remove(at);
            return true;
        }
        if !self.build.cancel_stops {
            return false;
        }
        let Some(mark) = self.marks.remove(&id) else { return false };
        self.running.remove(&Mark(mark, id));
        self.admit();
        true
    }

    /// Changes what its speed is multiplied by; 0 stops it.
    pub fn set_factor(&mut self, now: Micros, factor: f64) {
        self.advance(now);
        self.factor = factor.max(0.0);
    }

    /// Ends all that it holds, as a restart does, and says which; requests that are away are the caller's to end.
    pub fn clear(&mut self, now: Micros) -> Vec<JobId> {
        self.advance(now);
        let mut all: Vec<JobId> = self.running.iter().map(|m| m.1).collect();
        all.extend(self.waiting.iter().map(|w| w.0));
        all.sort_unstable();
        self.running.clear();
        self.marks.clear();
        self.waiting.clear();
        self.away = 0;
        (self.thrashing, self.crowded_since, self.calm_since) = (false, None, None);
        all
    }
}
