//! A node: cores that its running requests share, slots for the requests in process, and a queue for those
//! that wait for a slot.
//!
//! Running requests share the cores equally (processor sharing), each with one core at the most. The node has
//! one virtual clock, which counts the work that every running request has received. A request is finished
//! when that clock reaches the request's completion point, so arrivals, departures and changes of speed cost
//! logarithmic time. The model contains neither networks nor balancers.

use garnettally_model::Micros;
use std::cmp::Ordering;
use std::collections::{BTreeSet, VecDeque};

/// The number of a request at a node, chosen by the caller.
pub type JobId = u64;

/// The fixed properties of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// The number of cores; may be fractional.
    pub cores: f64,
    /// The work that a core does in a unit of time.
    pub speed: f64,
    /// The requests in process at a time, running or waiting for the next tier.
    pub slots: usize,
    /// The requests that may wait for a slot.
    pub queue: usize,
    /// Whether a cancelled request is stopped; otherwise it runs to its end.
    pub cancel_stops: bool,
    /// The conditions under which the node becomes slow under overload; `None`: it never does.
    pub thrash: Option<Thrash>,
}

/// Thrashing: a node with far more running requests than cores becomes slow, and stays slow for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Thrash {
    /// The number of running requests for each core above which the node counts as overloaded.
    pub above: f64,
    /// How long the node has to be overloaded before it becomes slow.
    pub after: Micros,
    /// The divisor of the speed while the node is slow.
    pub factor: f64,
    /// The node recovers once it has had no more running requests than cores for this long.
    pub calm: Micros,
}

/// The point of the virtual clock at which a request is finished. The order is total; ties go by number.
#[derive(Clone, Copy, PartialEq)]
struct CompletionPoint(f64, JobId);

impl Eq for CompletionPoint {}
impl PartialOrd for CompletionPoint {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for CompletionPoint {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// The outcome of submitting a request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Running,
    /// The request waits in the queue for a slot.
    Queued,
    /// The slots and the queue are full: the request was rejected and never ran.
    Full,
}

/// A node and its requests at a point of virtual time.
pub struct Node {
    config: NodeConfig,
    /// The virtual clock: the work that a request would have received had it been running from the start.
    clock: f64,
    now: Micros,
    running: BTreeSet<CompletionPoint>,
    completion_points: rustc_hash::FxHashMap<JobId, f64>,
    /// The number of requests that occupy a slot while they wait for the next tier.
    waiting_for_next_tier: usize,
    waiting: VecDeque<(JobId, f64)>,
    /// The factor of the speed that faults, pauses and cold starts determine.
    speed_factor: f64,
    thrashing: bool,
    overloaded_since: Option<Micros>,
    calm_since: Option<Micros>,
    /// The total work done.
    work_done: f64,
}

impl Node {
    /// Creates a node without requests.
    pub fn new(config: NodeConfig, now: Micros) -> Node {
        Node {
            config,
            clock: 0.0,
            now,
            running: BTreeSet::new(),
            completion_points: Default::default(),
            waiting_for_next_tier: 0,
            waiting: VecDeque::new(),
            speed_factor: 1.0,
            thrashing: false,
            overloaded_since: None,
            calm_since: None,
            work_done: 0.0,
        }
    }

    /// The fixed properties of the node.
    pub fn config(&self) -> &NodeConfig {
        &self.config
    }

    /// The number of requests at the node: running, waiting for the next tier, and waiting for a slot.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting_for_next_tier + self.waiting.len()
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The total work done up to the last call that took a time.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// The work that the node can do in a microsecond at its current speed, with all cores busy.
    pub fn capacity(&self) -> f64 {
        self.config.cores * self.speed()
    }

    /// Whether overload has made the node slow.
    pub fn thrashing(&self) -> bool {
        self.thrashing
    }

    fn speed(&self) -> f64 {
        let slowed = self.config.thrash.as_ref().filter(|_| self.thrashing).map_or(1.0, |t| t.factor);
        self.config.speed * self.speed_factor / slowed
    }

    /// The work that each running request receives in a microsecond.
    fn rate(&self) -> f64 {
        let running = self.running.len() as f64;
        if running == 0.0 {
            return 0.0;
        }
        self.speed() * (self.config.cores / running).min(1.0)
    }

    /// Advances the node to `now`. No request may be finished before `now`: [`Node::next_event`] returns the
    /// time up to which the node may be advanced.
    pub fn advance(&mut self, now: Micros) {
        let passed = (now - self.now).0.max(0) as f64;
        let step = passed * self.rate();
        self.clock += step;
        self.work_done += step * self.running.len() as f64;
        self.now = self.now.max(now);
        self.update_thrashing();
    }

    fn update_thrashing(&mut self) {
        let Some(t) = &self.config.thrash else { return };
        let running = self.running.len() as f64;
        if running > t.above * self.config.cores {
            let since = *self.overloaded_since.get_or_insert(self.now);
            if !self.thrashing && self.now - since >= t.after {
                self.thrashing = true;
            }
        } else {
            self.overloaded_since = None;
        }
        if running <= self.config.cores {
            let since = *self.calm_since.get_or_insert(self.now);
            if self.thrashing && self.now - since >= t.calm {
                self.thrashing = false;
            }
        } else {
            self.calm_since = None;
        }
    }

    /// The time of the node's next change without outside input: a request is finished, or thrashing begins
    /// or ends.
    pub fn next_event(&self) -> Option<Micros> {
        let rate = self.rate();
        let done = self.running.first().filter(|_| rate > 0.0).map(|m| {
            let left = (m.0 - self.clock).max(0.0) / rate;
            self.now + Micros(left.min(1e15).ceil() as i64)
        });
        let thrashing_change = self.config.thrash.as_ref().and_then(|t| match self.thrashing {
            false => self.overloaded_since.map(|since| since + t.after),
            true => self.calm_since.map(|since| since + t.calm),
        });
        done.into_iter().chain(thrashing_change.filter(|&at| at > self.now)).min()
    }

    /// Removes a request that is finished by `now` from its slot and returns it, if there is one.
    pub fn pop_finished(&mut self, now: Micros) -> Option<JobId> {
        self.advance(now);
        // Because event times are rounded to whole microseconds, up to one microsecond's work may be missing.
        let slack = self.rate() + 1e-6;
        let first = *self.running.first()?;
        if first.0 > self.clock + slack && self.rate() > 0.0 || self.rate() == 0.0 {
            return None;
        }
        self.running.remove(&first);
        self.completion_points.remove(&first.1);
        self.fill_slots();
        Some(first.1)
    }

    /// Submits a request with this much work.
    pub fn submit(&mut self, now: Micros, id: JobId, work: f64) -> Admission {
        self.advance(now);
        if self.running.len() + self.waiting_for_next_tier < self.config.slots {
            self.start(id, work);
            return Admission::Running;
        }
        if self.waiting.len() < self.config.queue {
            self.waiting.push_back((id, work));
            return Admission::Queued;
        }
        Admission::Full
    }

    fn start(&mut self, id: JobId, work: f64) {
        let point = self.clock + work.max(0.0);
        self.running.insert(CompletionPoint(point, id));
        self.completion_points.insert(id, point);
        self.update_thrashing();
    }

    fn fill_slots(&mut self) {
        while self.running.len() + self.waiting_for_next_tier < self.config.slots {
            let Some((id, work)) = self.waiting.pop_front() else { break };
            self.start(id, work);
        }
        self.update_thrashing();
    }

    /// Makes a request that was just taken as finished wait for the next tier: it occupies a slot again.
    pub fn wait_for_next_tier(&mut self) {
        self.waiting_for_next_tier += 1;
    }

    /// Resumes a request that waited for the next tier, with this much more work here.
    pub fn resume(&mut self, now: Micros, id: JobId, work: f64) {
        self.advance(now);
        self.waiting_for_next_tier = self.waiting_for_next_tier.saturating_sub(1);
        self.start(id, work);
    }

    /// Ends a request that waited for the next tier, and frees its slot.
    pub fn end_wait_for_next_tier(&mut self, now: Micros) {
        self.advance(now);
        self.waiting_for_next_tier = self.waiting_for_next_tier.saturating_sub(1);
        self.fill_slots();
    }

    /// Cancels a request. Returns true if the request was here and has been removed, false if it runs on or
    /// was not here.
    pub fn cancel(&mut self, now: Micros, id: JobId) -> bool {
        self.advance(now);
        if let Some(at) = self.waiting.iter().position(|w| w.0 == id) {
            self.waiting.remove(at);
            return true;
        }
        if !self.config.cancel_stops {
            return false;
        }
        let Some(point) = self.completion_points.remove(&id) else { return false };
        self.running.remove(&CompletionPoint(point, id));
        self.fill_slots();
        true
    }

    /// Sets the factor of the speed; 0 stops the node.
    pub fn set_speed_factor(&mut self, now: Micros, factor: f64) {
        self.advance(now);
        self.speed_factor = factor.max(0.0);
    }

    /// Removes all requests, as a restart does, and returns those that ran or waited for a slot. The caller
    /// has to end the requests that waited for the next tier.
    pub fn remove_all(&mut self, now: Micros) -> Vec<JobId> {
        self.advance(now);
        let mut all: Vec<JobId> = self.running.iter().map(|m| m.1).collect();
        all.extend(self.waiting.iter().map(|w| w.0));
        all.sort_unstable();
        self.running.clear();
        self.completion_points.clear();
        self.waiting.clear();
        self.waiting_for_next_tier = 0;
        (self.thrashing, self.overloaded_since, self.calm_since) = (false, None, None);
        all
    }
}
