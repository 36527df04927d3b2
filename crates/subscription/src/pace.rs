//! When to ask: the pauses between the calls of one process, where many that cannot talk to each other share a registry.
//!
//! All pauses follow from the time that the calls of the whole fleet take. A process asks once in a cycle, at a phase of its
//! own: spread over a cycle, the calls of all fit. Only overload lengthens the cycle, which refusals tell apart from an
//! outage; each success halves what it has grown by.

use crate::crowding::{Condition, RefusalHistory};
use crate::Registry;
use garnettally_model::Micros;

/// One call of each instance takes this part of a cycle: 45 calls a second are assumed until failures tell otherwise.
const CALL: Micros = Micros(22_000);

/// The shortest cycle of a small fleet: all of it can ask twice in this, and its registry has room for others.
const CYCLE_OF_SMALL_FLEET: Micros = Micros(1_000_000);

/// The shortest cycle of any other: settings tell the size of one tier, and others ask as well. What a registry tells is
/// binding 6 s after it could be asked, and a call may have waited 2 s for its answer: whoever asks within 4 s of the return
/// is answered in time.
const CYCLE_IN_TIME: Micros = Micros(4_000_000);

/// A watch that is lost, and the first one, are asked for within this and the calls of all instances. A fleet whose calls take
/// no longer is small (18 instances): its loss of a watch is over within a second or so.
const FIRST_SPREAD: Micros = Micros(400_000);

/// Calls may wait for their answers: so much sooner all are made than they are answered.
const QUEUEING: Micros = Micros(1_000_000);

/// The first call of a process comes within this at the most, however large its fleet: until its answer the process has no
/// list that it may use.
const START_SPREAD_MOST: Micros = Micros(5_600_000);

/// If the calls of all take no longer, all can be answered before what they ask for binds.
const ALL_IN_TIME: Micros = Micros(6_600_000);

/// After the loss of a watch the answer is there within the spread of the calls and this, or within the shortest lease.
const ANSWERED_WITHIN: Micros = Micros(1_000_000);
const LEASE_AFTER_LOSS_LEAST: Micros = Micros(2_000_000);

/// So many calls that reached no registry are repeated after a short pause, which doubles; then it is taken to be down. In a
/// fleet whose calls fill `CYCLE_IN_TIME` none is: the repeats of all would meet at the registry's return.
const REPEATS_MOST: u32 = 2;

/// The shortest pause after a failure.
const PAUSE_LEAST: Micros = Micros(100_000);

/// The longest pause after a call that failed for want of a socket: it cost the registry nothing.
const PAUSE_WITHOUT_SOCKET_MOST: Micros = Micros(1_000_000);

/// A cycle is shorter by up to this part, so that processes which met once part again,
const JITTER: f64 = 0.1;

/// and the first after a loss by up to this, where the calls of all take less: they were all made in one moment.
const JITTER_AFTER_LOSS: f64 = 0.5;

/// In a fleet that cannot be answered in time, first calls come closer together than they are answered. Where one fails, the
/// next comes between these parts of a cycle later, so that the calls of all spread over one.
const CYCLES_AFTER_START: std::ops::Range<f64> = 0.6..1.4;

/// Growth of the cycle by each refusal of an overloaded registry, and what a refusal of one that is down leaves of it.
const GROWTH: f64 = 2.0;
const SHRINKAGE: f64 = 0.8;

/// The longest cycle, in first cycles. That of a small fleet, which crowds nothing by itself, is `CYCLE_IN_TIME`.
const STRETCH_MOST: f64 = 8.0;

/// What a success leaves of the growth.
const STRETCH_KEPT: f64 = 0.5;

/// Refusals are remembered for so many cycles.
const CYCLES_REMEMBERED: i64 = 5;

/// When one process asks.
#[derive(Clone, Debug)]
pub struct Pace {
    registry: Registry,
    random: fastrand::Rng,
    /// Length of a cycle, in first cycles; 1 or more.
    stretch: f64,
    /// Calls since the last success that were repeated after a short pause.
    repeats: u32,
    refusals: RefusalHistory,
    /// The next cycle is the first after a loss.
    is_first: bool,
    /// When a watch was first asked for in vain, or is to be, since the last one.
    without_since: Option<Micros>,
}

impl Pace {
    pub fn new(registry: Registry, seed: u64) -> Pace {
        Pace {
            registry,
            random: fastrand::Rng::with_seed(seed),
            stretch: 1.0,
            repeats: 0,
            refusals: RefusalHistory::default(),
            is_first: true,
            without_since: None,
        }
    }

    /// Goes on from where another one is; the size of the fleet and the random numbers stay its own.
    pub fn continue_from(&mut self, before: &Pace) {
        let (registry, random) = (self.registry, self.random.clone());
        *self = Pace { registry, random, ..before.clone() };
    }

    pub fn set_instances(&mut self, count: u32) {
        if let Registry::Shared { instances } = &mut self.registry {
            *instances = count;
        }
    }

    /// Whether the fleet is so small that it cannot crowd its registry, and each process asks often.
    pub fn is_small(&self) -> bool {
        self.registry != Registry::Exclusive && self.calls_of_all() <= FIRST_SPREAD
    }

    /// How long after the loss of a watch the next answer comes, as a rule.
    pub fn answered_after_loss(&self) -> Micros {
        LEASE_AFTER_LOSS_LEAST.max(self.spread_after_loss() + ANSWERED_WITHIN)
    }

    /// When the first call of a process that starts now is made.
    pub fn first_call(&mut self, now: Micros) -> Micros {
        let spread = match self.registry {
            Registry::Exclusive => Micros(0),
            Registry::Shared { .. } => START_SPREAD_MOST.min(FIRST_SPREAD + self.calls_of_all()),
        };
        now + self.within(spread)
    }

    /// When a watch that is lost now is asked for: others may have lost theirs in this moment, too.
    pub fn call_after_loss(&mut self, now: Micros) -> Micros {
        self.is_first = true;
        self.without_since = Some(now);
        now + self.within(self.spread_after_loss())
    }

    /// When a registry that has moved is asked, where it was to be asked at this time (`None`: a call is out). A series of
    /// moves puts the call off no further than the spread of the first.
    pub fn call_after_move(&mut self, now: Micros, planned: Option<Micros>) -> Micros {
        let since = *self.without_since.get_or_insert(now);
        let latest = (since + self.spread_after_loss()).max(now + self.within(FIRST_SPREAD));
        let drawn = now + self.within(self.spread_after_loss());
        drawn.min(latest).min(planned.unwrap_or(drawn))
    }

    /// A watch is open.
    pub fn succeeded(&mut self) {
        self.repeats = 0;
        self.refusals.clear();
        self.without_since = None;
        self.stretch = (self.stretch * STRETCH_KEPT).max(1.0);
    }

    /// Notes a call that left open whether the registry is down, and what that tells with those before.
    pub fn refused(&mut self, asked: Micros, now: Micros) -> Condition {
        let remembered = Micros(self.cycle().0.saturating_mul(CYCLES_REMEMBERED));
        let condition = self.refusals.add(asked, now, remembered);
        match condition {
            Condition::Overloaded => self.stretch *= GROWTH,
            Condition::Down => self.stretch = (self.stretch * SHRINKAGE).max(1.0),
            Condition::Unclear => {}
        }
        let most = match self.is_small() {
            true => CYCLE_IN_TIME.0 as f64 / CYCLE_OF_SMALL_FLEET.0 as f64,
            false => STRETCH_MOST,
        };
        self.stretch = self.stretch.min(most);
        condition
    }

    /// When the next call is made after one that was refused: one cycle after it.
    pub fn call_after_refusal(&mut self, asked: Micros, now: Micros, is_starting: bool) -> Micros {
        let least = now + self.jittered_pause();
        let next = match self.registry {
            Registry::Exclusive => now,
            Registry::Shared { .. } => asked + self.jittered_cycle(is_starting),
        };
        next.max(least)
    }

    /// When the next call is made after one that met nobody, or did not bring a list: by chance, or for longer.
    pub fn call_after_failure(&mut self, asked: Micros, now: Micros, is_starting: bool) -> Micros {
        self.refusals.clear();
        if self.repeats < REPEATS_MOST && self.calls_of_all() <= CYCLE_IN_TIME {
            return now + self.doubling_pause();
        }
        self.stretch = 1.0;
        self.call_after_refusal(asked, now, is_starting)
    }

    /// When the next call is made after one for which there was no socket.
    pub fn call_without_socket(&mut self, now: Micros) -> Micros {
        now + self.doubling_pause().min(PAUSE_WITHOUT_SOCKET_MOST)
    }

    /// Time that the calls of all instances take.
    fn calls_of_all(&self) -> Micros {
        match self.registry {
            Registry::Exclusive => Micros(0),
            Registry::Shared { instances } => Micros(CALL.0 * i64::from(instances)),
        }
    }

    /// The time within which all make their calls: a little less than these take, where that has all answered in time.
    fn asking_time(&self) -> Micros {
        let calls = self.calls_of_all();
        match calls <= ALL_IN_TIME {
            true => calls - QUEUEING.min(calls),
            false => calls,
        }
    }

    fn spread_after_loss(&self) -> Micros {
        match self.registry {
            Registry::Exclusive => Micros(0),
            Registry::Shared { .. } => FIRST_SPREAD.max(self.asking_time()),
        }
    }

    /// A phase of its own: many processes may be in the same place at one moment.
    fn within(&mut self, most: Micros) -> Micros {
        Micros(self.random.i64(0..=most.0.max(0)))
    }

    /// A short pause, which doubles.
    fn doubling_pause(&mut self) -> Micros {
        const DOUBLINGS_MOST: u32 = 8;
        self.repeats = (self.repeats + 1).min(DOUBLINGS_MOST);
        Micros(self.jittered_pause().0 << self.repeats)
    }

    fn jittered_pause(&mut self) -> Micros {
        PAUSE_LEAST + self.within(PAUSE_LEAST)
    }

    fn first_cycle(&self) -> Micros {
        match self.is_small() {
            true => CYCLE_OF_SMALL_FLEET,
            false => CYCLE_IN_TIME.max(self.asking_time()),
        }
    }

    /// The longest cycle at the present stretch.
    fn cycle(&self) -> Micros {
        Micros((self.first_cycle().0 as f64 * self.stretch) as i64)
    }

    fn jittered_cycle(&mut self, is_starting: bool) -> Micros {
        let is_first = std::mem::take(&mut self.is_first);
        let cycle = self.cycle().0 as f64;
        if is_starting && self.calls_of_all() > ALL_IN_TIME {
            let parts = CYCLES_AFTER_START;
            let part = parts.start + (parts.end - parts.start) * self.random.f64();
            return Micros((cycle * part) as i64);
        }
        let room = cycle * JITTER_AFTER_LOSS;
        let fits = self.calls_of_all().0 as f64 <= room;
        let jitter = if is_first && fits { JITTER_AFTER_LOSS } else { JITTER };
        Micros((cycle * (1.0 - jitter * self.random.f64())) as i64)
    }
}
