//! When to ask a registry for a watch, where many processes that cannot talk to each other share it.
//!
//! Such a registry handles calls one after another and fails those that have waited too long, but has spent its time
//! on them all the same. If more is asked than it can answer in time, it answers nobody (a metastable failure). So a
//! process asks once in a cycle, at a phase of its own: spread over a cycle, the calls of all fit. A cycle that is too
//! short for the fleet shows in calls that fail one after another; it is lengthened then (multiplicative increase),
//! and halved towards its first length by each success.
//!
//! A state machine without I/O and without a clock: the caller tells what happened with the time, and polls. It leaves
//! the call itself, its time-out and the list to the caller. It never allocates and never panics.
#![forbid(unsafe_code)]

use garnettally_model::{Micros, Settings};

/// The shortest cycle. What a registry tells is binding 6 s after it could be asked, and a call may have waited 2 s
/// for its answer: whoever asks within 4 s of the return is answered in time, if the registry can answer all by then.
const CYCLE_LEAST: Micros = Micros(4_000_000);

/// One call of each instance takes this part of a cycle: 55 calls a second are assumed until failures tell otherwise.
const CALL: Micros = Micros(18_000);

/// A watch that is lost, and the first one, are asked for within this and the calls of all instances.
const FIRST_SPREAD: Micros = Micros(400_000);

/// So many calls that were not refused (no connection, or an answer that ended early) are repeated after a short pause,
/// which doubles; then the registry is taken to be down.
const REPEATS_MOST: u32 = 2;

/// The shortest pause after a failure.
const PAUSE_LEAST: Micros = Micros(100_000);

/// A cycle varies by this part of it to either side, so that processes which met once part again.
const JITTER: f64 = 0.2;

/// For so long without a watch it may be an outage that is soon over, in which a longer cycle would only be late.
const PATIENCE: Micros = Micros(15_000_000);

/// Growth of the cycle by each failure until then, and by each later one.
const GROWTH_PATIENT: f64 = 1.1;
const GROWTH: f64 = 1.5;

/// The longest cycle, in first cycles.
const STRETCH_MOST: f64 = 8.0;

/// What a success leaves of the growth.
const STRETCH_KEPT: f64 = 0.5;

/// After so long without a watch, nothing that the last list said is doubted for that alone.
const BLIND_MOST: Micros = Micros(60_000_000);

/// Whom the registry serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registry {
    /// This process alone: it may be asked at any time.
    Own,
    /// So many instances at the least.
    Shared {
        /// How many of them are known of.
        instances: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No watch; it is asked for at this time.
    Waiting { until: Micros },
    /// It was asked for at this time, and nothing has come yet.
    Asked { at: Micros },
    /// A watch is open.
    Open,
}

/// One process's watch on a registry: whether it is open, and when to ask for it.
#[derive(Debug)]
pub struct Subscription {
    registry: Registry,
    random: fastrand::Rng,
    state: State,
    /// Length of a cycle, in first cycles; 1 or more.
    stretch: f64,
    /// Calls since the last success that were repeated after a short pause.
    repeats: u32,
    /// Since when there has been no watch, where there is none.
    without_since: Micros,
}

impl Subscription {
    /// What an instance with these settings needs: nothing, where discovery need not be asked. Where it may be asked
    /// without a pause, it is the instance's own.
    pub fn of(settings: &Settings, seed: u64, now: Micros) -> Option<Subscription> {
        let registry = match settings.ask_within {
            Micros(0) => Registry::Own,
            _ => Registry::Shared { instances: settings.instances },
        };
        settings.must_ask.then(|| Subscription::new(registry, seed, now))
    }

    /// A process that starts now, with random numbers from this seed.
    pub fn new(registry: Registry, seed: u64, now: Micros) -> Subscription {
        let state = State::Waiting { until: now };
        let random = fastrand::Rng::with_seed(seed);
        let mut subscription =
            Subscription { registry, random, state, stretch: 1.0, repeats: 0, without_since: now };
        subscription.wait_for_first(now);
        subscription
    }

    /// The number of instances has changed; it holds from the next pause on.
    pub fn set_instances(&mut self, count: u32) {
        if let Registry::Shared { instances } = &mut self.registry {
            *instances = count;
        }
    }

    /// Whether a watch is open, as far as is known.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether changes may go untold: there is no watch, and has been none for less than a minute. After that the
    /// registry is taken to be out of reach, and the last list is all there is.
    pub fn is_blind(&self, now: Micros) -> bool {
        !self.is_open() && now - self.without_since < BLIND_MOST
    }

    /// A list or a change has come on a watch, whoever opened it.
    pub fn heard(&mut self) {
        if self.is_open() {
            return;
        }
        self.state = State::Open;
        self.repeats = 0;
        self.stretch = (self.stretch * STRETCH_KEPT).max(1.0);
    }

    /// The call has failed, or the watch has ended; returns whether a watch was open until now. A call that was not
    /// refused tells of no load on the registry.
    pub fn failed(&mut self, now: Micros, refused: bool) -> bool {
        let was_open = self.is_open();
        match self.state {
            State::Waiting { .. } => {}
            State::Asked { at } => self.wait_for_next(at, now, refused),
            State::Open => {
                self.without_since = now;
                self.wait_for_first(now);
            }
        }
        was_open
    }

    /// Whether the watch is to be asked for now; the caller then does so, and tells what comes of it.
    pub fn poll(&mut self, now: Micros) -> bool {
        let due = self.next_timeout().is_some_and(|until| until <= now);
        if due {
            self.state = State::Asked { at: now };
        }
        due
    }

    /// When [`Subscription::poll`] has something to do without being told anything.
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ => None,
        }
    }

    /// Time that the calls of all instances take.
    fn calls_of_all(&self) -> Micros {
        match self.registry {
            Registry::Own => Micros(0),
            Registry::Shared { instances } => Micros(CALL.0 * i64::from(instances)),
        }
    }

    /// A call at a phase of its own: many processes lose their watches, or start, in one moment.
    fn wait_for_first(&mut self, now: Micros) {
        let spread = match self.registry {
            Registry::Own => 0,
            Registry::Shared { .. } => FIRST_SPREAD.0 + self.calls_of_all().0,
        };
        self.state = State::Waiting { until: now + Micros(self.random.i64(0..=spread)) };
    }

    /// A call one cycle after the one that failed; sooner at first, where that one was not refused.
    fn wait_for_next(&mut self, asked: Micros, now: Micros, refused: bool) {
        let pause = Micros(PAUSE_LEAST.0 + self.random.i64(0..=PAUSE_LEAST.0));
        if !refused && self.repeats < REPEATS_MOST {
            self.repeats += 1;
            self.state = State::Waiting { until: now + Micros(pause.0 << self.repeats) };
            return;
        }
        let growth = if now - self.without_since < PATIENCE { GROWTH_PATIENT } else { GROWTH };
        self.stretch = (self.stretch * growth).min(STRETCH_MOST);
        let next = match self.registry {
            Registry::Own => now,
            Registry::Shared { .. } => asked + self.jittered_cycle(),
        };
        self.state = State::Waiting { until: next.max(now + pause) };
    }

    fn jittered_cycle(&mut self) -> Micros {
        let cycle = CYCLE_LEAST.max(self.calls_of_all()).0 as f64 * self.stretch;
        let jitter = 1.0 + JITTER * (2.0 * self.random.f64() - 1.0);
        Micros((cycle * jitter) as i64)
    }
}
