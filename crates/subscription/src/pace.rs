//! The pauses between the calls of one process, where many processes that cannot communicate share a
//! registry.
//!
//! All pauses follow from the time that the calls of the whole fleet take. A process calls once per cycle, at
//! a random phase: spread over a cycle, the calls of all processes fit. Only overload lengthens the cycle,
//! and refusals tell overload apart from an outage. Each success halves the growth of the cycle.

use crate::overload::{RefusalHistory, RegistryState};
use crate::Registry;
use garnettally_model::Micros;

/// Time in a cycle that the call of one instance takes: 45 calls per second are assumed until failures show
/// otherwise.
const CALL_TIME: Micros = Micros(22_000);

/// The shortest cycle of a small fleet: all its members can call twice in this time, and the registry has
/// capacity left for others.
const MIN_CYCLE_SMALL_FLEET: Micros = Micros(1_000_000);

/// The shortest cycle of any other fleet: settings give the size of one tier, but other tiers call as well. A
/// change is binding 6 s after the registry could first be called, and a call may wait 2 s for its answer: a
/// process that calls within 4 s of the registry's return is answered in time.
const MIN_CYCLE: Micros = Micros(4_000_000);

/// The first call, and the call after a lost watch, are spread over this time plus the time that the calls of
/// all instances take. A fleet whose calls take no longer than this is small (18 instances) and replaces a
/// lost watch within about a second.
const FIRST_SPREAD: Micros = Micros(400_000);

/// Calls may wait this long for their answers, so the last call can be made this much earlier than it must be
/// answered.
const ANSWER_DELAY: Micros = Micros(1_000_000);

/// Upper bound for the delay of the first call of a process, whatever the size of its fleet: until the call
/// is answered the process has no list that it may use.
const MAX_START_SPREAD: Micros = Micros(5_600_000);

/// If the calls of the whole fleet take no longer than this, all can be answered before the changes they ask
/// for become binding.
const MAX_TIMELY_CALLS: Micros = Micros(6_600_000);

/// After the loss of a watch the answer is expected within the spread of the calls plus `ANSWER_TIME`, or
/// within `MIN_LEASE_AFTER_LOSS` if that is longer.
const ANSWER_TIME: Micros = Micros(1_000_000);
const MIN_LEASE_AFTER_LOSS: Micros = Micros(2_000_000);

/// This number of calls that reached no registry are repeated after a short pause, which doubles; then the
/// registry is taken to be down. In a fleet whose calls exceed `MIN_CYCLE` none is repeated early: the
/// repeats of all processes would coincide when the registry returns.
const MAX_EARLY_REPEATS: u32 = 2;

/// The shortest pause after a failure.
const MIN_PAUSE: Micros = Micros(100_000);

/// The longest pause after a call that failed because the process had no socket: such a call costs the
/// registry nothing.
const MAX_PAUSE_WITHOUT_SOCKET: Micros = Micros(1_000_000);

/// A cycle is shortened by a random part of up to this fraction, so that processes which called at the same
/// time drift apart.
const JITTER: f64 = 0.1;

/// The first cycle after a loss is shortened by up to this fraction if the calls of the fleet take less:
/// these calls were all made at the same moment.
const JITTER_AFTER_LOSS: f64 = 0.5;

/// In a fleet that cannot be answered in time, first calls are made faster than they can be answered. After a
/// failed first call the next one follows after a random number of cycles in this range, so that the calls of
/// all processes spread over one cycle.
const CYCLES_AFTER_FAILED_START: std::ops::Range<f64> = 0.6..1.4;

/// Each refusal by an overloaded registry multiplies the cycle by `OVERLOAD_FACTOR`; each refusal by a
/// registry that is down multiplies it by `DOWN_FACTOR`.
const OVERLOAD_FACTOR: f64 = 2.0;
const DOWN_FACTOR: f64 = 0.8;

/// The longest cycle, as a multiple of the base cycle. In a small fleet, which cannot overload the registry
/// by itself, the longest cycle is `MIN_CYCLE`.
const MAX_STRETCH: f64 = 8.0;

/// Each success multiplies the stretch of the cycle by this factor.
const SUCCESS_FACTOR: f64 = 0.5;

/// Refusals are remembered for this number of cycles.
const REFUSAL_MEMORY_CYCLES: i64 = 5;

/// Decides when one process calls the registry.
#[derive(Clone, Debug)]
pub struct CallPace {
    registry: Registry,
    random: fastrand::Rng,
    /// Length of a cycle as a multiple of the base cycle; at least 1.
    stretch: f64,
    /// Number of calls since the last success that were repeated after a short pause.
    early_repeats: u32,
    refusals: RefusalHistory,
    /// Whether the next cycle is the first one after a loss.
    is_first_cycle: bool,
    /// When the process lost its last watch or first planned a call for one; `None` after a success.
    without_watch_since: Option<Micros>,
}

impl CallPace {
    pub fn new(registry: Registry, seed: u64) -> CallPace {
        CallPace {
            registry,
            random: fastrand::Rng::with_seed(seed),
            stretch: 1.0,
            early_repeats: 0,
            refusals: RefusalHistory::default(),
            is_first_cycle: true,
            without_watch_since: None,
        }
    }

    /// Takes over the state of another pace; the size of the fleet and the random numbers remain those of
    /// `self`.
    pub fn continue_from(&mut self, before: &CallPace) {
        let (registry, random) = (self.registry, self.random.clone());
        *self = CallPace { registry, random, ..before.clone() };
    }

    pub fn set_instances(&mut self, count: u32) {
        if let Registry::Shared { instances } = &mut self.registry {
            *instances = count;
        }
    }

    /// Whether the fleet is so small that it cannot overload its registry, so that each process calls often.
    pub fn is_small(&self) -> bool {
        self.registry != Registry::Exclusive && self.fleet_call_time() <= FIRST_SPREAD
    }

    /// Time after the loss of a watch within which the next answer normally comes.
    pub fn lease_after_loss(&self) -> Micros {
        MIN_LEASE_AFTER_LOSS.max(self.spread_after_loss() + ANSWER_TIME)
    }

    /// The time of the first call of a process that starts now.
    pub fn first_call_at(&mut self, now: Micros) -> Micros {
        let spread = match self.registry {
            Registry::Exclusive => Micros(0),
            Registry::Shared { .. } => MAX_START_SPREAD.min(FIRST_SPREAD + self.fleet_call_time()),
        };
        now + self.random_up_to(spread)
    }

    /// The time of the call that follows a watch lost now. Other processes may have lost theirs at the same
    /// moment.
    pub fn call_after_loss(&mut self, now: Micros) -> Micros {
        self.is_first_cycle = true;
        self.without_watch_since = Some(now);
        now + self.random_up_to(self.spread_after_loss())
    }

    /// The time of the call after the registry's address has changed. `planned` is the time of the next call
    /// until now, `None` if a call was in flight. A series of address changes delays the call no further than
    /// the spread of the first one.
    pub fn call_after_move(&mut self, now: Micros, planned: Option<Micros>) -> Micros {
        let since = *self.without_watch_since.get_or_insert(now);
        let latest = (since + self.spread_after_loss()).max(now + self.random_up_to(FIRST_SPREAD));
        let drawn = now + self.random_up_to(self.spread_after_loss());
        drawn.min(latest).min(planned.unwrap_or(drawn))
    }

    /// Records that a watch is open.
    pub fn record_success(&mut self) {
        self.early_repeats = 0;
        self.refusals.clear();
        self.without_watch_since = None;
        self.stretch = (self.stretch * SUCCESS_FACTOR).max(1.0);
    }

    /// Records a call that left open whether the registry is down. Returns what it says about the registry,
    /// together with the refusals before it.
    pub fn record_refusal(&mut self, asked: Micros, now: Micros) -> RegistryState {
        let refusal_memory = Micros(self.cycle().0.saturating_mul(REFUSAL_MEMORY_CYCLES));
        let registry_state = self.refusals.add(asked, now, refusal_memory);
        match registry_state {
            RegistryState::Overloaded => self.stretch *= OVERLOAD_FACTOR,
            RegistryState::Down => self.stretch = (self.stretch * DOWN_FACTOR).max(1.0),
            RegistryState::Unclear => {}
        }
        let max_stretch = match self.is_small() {
            true => MIN_CYCLE.0 as f64 / MIN_CYCLE_SMALL_FLEET.0 as f64,
            false => MAX_STRETCH,
        };
        self.stretch = self.stretch.min(max_stretch);
        registry_state
    }

    /// The time of the next call after a refused one: one cycle later.
    pub fn call_after_refusal(&mut self, asked: Micros, now: Micros, is_starting: bool) -> Micros {
        let earliest = now + self.jittered_pause();
        let next = match self.registry {
            Registry::Exclusive => now,
            Registry::Shared { .. } => asked + self.jittered_cycle(is_starting),
        };
        next.max(earliest)
    }

    /// The time of the next call after one that reached no registry, or brought no list. The first such
    /// failures may be due to chance and are repeated early; later ones wait for a cycle.
    pub fn call_after_failure(&mut self, asked: Micros, now: Micros, is_starting: bool) -> Micros {
        self.refusals.clear();
        if self.early_repeats < MAX_EARLY_REPEATS && self.fleet_call_time() <= MIN_CYCLE {
            return now + self.doubling_pause();
        }
        self.stretch = 1.0;
        self.call_after_refusal(asked, now, is_starting)
    }

    /// The time of the next call after one for which the process had no socket.
    pub fn call_without_socket(&mut self, now: Micros) -> Micros {
        now + self.doubling_pause().min(MAX_PAUSE_WITHOUT_SOCKET)
    }

    /// The time that the calls of all instances take.
    fn fleet_call_time(&self) -> Micros {
        match self.registry {
            Registry::Exclusive => Micros(0),
            Registry::Shared { instances } => Micros(CALL_TIME.0 * i64::from(instances)),
        }
    }

    /// The time over which all processes spread their calls: slightly less than the calls take, if all can
    /// then be answered in time.
    fn fleet_asking_time(&self) -> Micros {
        let call_time = self.fleet_call_time();
        match call_time <= MAX_TIMELY_CALLS {
            true => call_time - ANSWER_DELAY.min(call_time),
            false => call_time,
        }
    }

    fn spread_after_loss(&self) -> Micros {
        match self.registry {
            Registry::Exclusive => Micros(0),
            Registry::Shared { .. } => FIRST_SPREAD.max(self.fleet_asking_time()),
        }
    }

    /// A random time from 0 to `most`. It gives each process its own phase: many may be in the same state at
    /// the same moment.
    fn random_up_to(&mut self, most: Micros) -> Micros {
        Micros(self.random.i64(0..=most.0.max(0)))
    }

    /// A short pause, which doubles with each call.
    fn doubling_pause(&mut self) -> Micros {
        const MAX_DOUBLINGS: u32 = 8;
        self.early_repeats = (self.early_repeats + 1).min(MAX_DOUBLINGS);
        Micros(self.jittered_pause().0 << self.early_repeats)
    }

    fn jittered_pause(&mut self) -> Micros {
        MIN_PAUSE + self.random_up_to(MIN_PAUSE)
    }

    fn base_cycle(&self) -> Micros {
        match self.is_small() {
            true => MIN_CYCLE_SMALL_FLEET,
            false => MIN_CYCLE.max(self.fleet_asking_time()),
        }
    }

    /// The longest cycle at the present stretch.
    fn cycle(&self) -> Micros {
        Micros((self.base_cycle().0 as f64 * self.stretch) as i64)
    }

    fn jittered_cycle(&mut self, is_starting: bool) -> Micros {
        let is_first_cycle = std::mem::take(&mut self.is_first_cycle);
        let cycle = self.cycle().0 as f64;
        if is_starting && self.fleet_call_time() > MAX_TIMELY_CALLS {
            let range = CYCLES_AFTER_FAILED_START;
            let cycles = range.start + (range.end - range.start) * self.random.f64();
            return Micros((cycle * cycles) as i64);
        }
        let room = cycle * JITTER_AFTER_LOSS;
        let leaves_time = self.fleet_call_time().0 as f64 <= room;
        let jitter = if is_first_cycle && leaves_time { JITTER_AFTER_LOSS } else { JITTER };
        Micros((cycle * (1.0 - jitter * self.random.f64())) as i64)
    }
}
