//! When to ask a registry for a watch, where many processes that cannot talk to each other share it, and for how long
//! the list that a process holds may be used without one.
//!
//! Such a registry handles calls one after another and fails those that have waited too long, but has spent its time
//! on them all the same. If more is asked than it can answer in time, it answers nobody (a metastable failure). So a
//! process asks once in a cycle, at a phase of its own: spread over a cycle, the calls of all fit. The length of the
//! cycle follows from the size of the fleet. It is the same after an outage of any length: whoever asks once in a cycle
//! has asked within one cycle of the registry's return. Only overload lengthens it (multiplicative increase), which
//! refusals tell apart from an outage; each success halves what it has grown by.
//!
//! What a registry has to tell binds a process soon after it could have asked. Until then the list it holds is as good
//! as a watch (a lease); after that it is stale, unless the registry is known to have been out of reach meanwhile
//! (`knowledge`, by the table in `evidence`).
//!
//! A state machine without I/O and without a clock: the caller tells what happened with the time, and polls. It leaves
//! the call itself, its time-out and the list to the caller. It never allocates and never panics.
#![forbid(unsafe_code)]

mod crowding;
mod evidence;
mod knowledge;

use crowding::{Condition, RefusalHistory};
use evidence::{may_have_missed, proof_of_call, Proof};
use garnettally_model::{CallFailure, Micros, Settings};
use knowledge::ListKnowledge;

/// The shortest cycle. What a registry tells is binding 6 s after it could be asked, and a call may have waited 2 s
/// for its answer: whoever asks within 4 s of the return is answered in time, if the registry can answer all by then.
const CYCLE_LEAST: Micros = Micros(4_000_000);

/// One call of each instance takes this part of a cycle: 45 calls a second are assumed until failures tell otherwise.
const CALL: Micros = Micros(22_000);

/// A watch that is lost, and the first one, are asked for within this and the calls of all instances.
const FIRST_SPREAD: Micros = Micros(400_000);

/// Calls may wait for their answers: so much sooner all are made than they are answered.
const QUEUEING: Micros = Micros(1_000_000);

/// The first call of a process comes within this at the most, however large its fleet: until its answer the process has no list
/// that it may use.
const START_SPREAD_MOST: Micros = Micros(5_600_000);

/// If the calls of all take no longer, all can be answered before what they ask for binds.
const ALL_IN_TIME: Micros = Micros(6_600_000);

/// So many calls that reached no registry are repeated after a short pause, which doubles; then it is taken to be down. In a
/// fleet whose calls fill the shortest cycle none is: the repeats of all would meet at the registry's return.
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

/// The longest cycle, in first cycles.
const STRETCH_MOST: f64 = 8.0;

/// What a success leaves of the growth.
const STRETCH_KEPT: f64 = 0.5;

/// Refusals are remembered for so many cycles.
const CYCLES_REMEMBERED: i64 = 5;

/// Where the registry was down before, it still is where a call has been out for so long.
const STILL_DOWN_AFTER: Micros = Micros(1_300_000);

/// A registry with few callers answers the first call of a process within this.
const FIRST_ANSWER_WITHIN: Micros = Micros(2_200_000);

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

/// What a process knows of the list that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStanding {
    /// A watch is open: changes come as they are made.
    Watched,
    /// There is no watch, and the list may be used for now.
    Leased,
    /// Changes that bind already may be missing.
    Stale,
    /// It is the one of the configuration, may be of any age, and the registry has not been heard of yet.
    Unverified,
}

/// What is known of the list that a process holds, and when it asks next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListReport {
    /// What is known of the list.
    pub standing: ListStanding,
    /// When a watch is asked for, in microseconds of the caller's clock; `None`: a call is out, or a watch is open.
    pub asked_at: Option<Micros>,
    /// The first call of this process has had its time.
    pub is_started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No watch; it is asked for at this time.
    Waiting { until: Micros },
    /// It was asked for at this time, and no list has come yet.
    Asked { at: Micros, is_answering: bool },
    /// A watch is open.
    Open,
}

/// One process's watch on a registry: whether it is open, and when to ask for it.
#[derive(Debug)]
pub struct Subscription {
    registry: Registry,
    random: fastrand::Rng,
    state: State,
    /// For how long a list is as good as a watch; `None`: for as long as the registry is asked.
    list_lease: Option<Micros>,
    /// Length of a cycle, in first cycles; 1 or more.
    stretch: f64,
    /// Calls since the last success that were repeated after a short pause.
    repeats: u32,
    refusals: RefusalHistory,
    /// What is known of the list held, where no watch is open.
    knowledge: ListKnowledge,
    /// The next cycle is the first after a loss.
    is_first: bool,
    /// No call has ended yet.
    is_starting: bool,
}

impl Subscription {
    /// What an instance with these settings needs: nothing, where discovery need not be asked. Where it may be asked
    /// without a pause, it is the instance's own.
    pub fn of(settings: &Settings, seed: u64, now: Micros) -> Option<Subscription> {
        let registry = match settings.ask_within {
            Micros(0) => Registry::Own,
            _ => Registry::Shared { instances: settings.instances },
        };
        let new = || Subscription::new(registry, seed, now).with_list_lease(settings.list_lease);
        settings.must_ask.then(new)
    }

    /// A process that starts now, with random numbers from this seed; its list never grows stale.
    pub fn new(registry: Registry, seed: u64, now: Micros) -> Subscription {
        let state = State::Waiting { until: now };
        let mut subscription = Subscription {
            registry,
            random: fastrand::Rng::with_seed(seed),
            state,
            list_lease: None,
            stretch: 1.0,
            repeats: 0,
            refusals: RefusalHistory::default(),
            knowledge: ListKnowledge::at_start(now),
            is_first: true,
            is_starting: true,
        };
        let spread = match registry {
            Registry::Own => Micros(0),
            Registry::Shared { .. } => START_SPREAD_MOST.min(FIRST_SPREAD + subscription.calls_of_all()),
        };
        subscription.wait_up_to(now, spread);
        subscription
    }

    /// Without a watch, a list may be gone by for so long after the registry could have been asked.
    pub fn with_list_lease(self, list_lease: Option<Micros>) -> Subscription {
        Subscription { list_lease, ..self }
    }

    /// Goes on from where another one is, which asked for the same watch until now; the size of the fleet and the lease stay
    /// its own.
    pub fn go_on_from(&mut self, before: &Subscription) {
        self.state = before.state;
        self.stretch = before.stretch;
        self.repeats = before.repeats;
        self.refusals = before.refusals;
        self.knowledge = before.knowledge;
        self.is_first = before.is_first;
        self.is_starting = before.is_starting;
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

    /// Whether the list held may lack changes that bind already: there is no watch, and nothing shows that the registry was
    /// out of reach since the list was complete.
    pub fn is_stale(&self, now: Micros) -> bool {
        let Some(lease) = self.list_lease else { return false };
        !self.is_open() && !self.knowledge.is_good(now, lease) && !self.is_still_down(now)
    }

    /// What is known of the list held, and when the next call is made.
    pub fn list_report(&self, now: Micros) -> ListReport {
        ListReport {
            standing: self.list_standing(now),
            asked_at: self.next_timeout(),
            is_started: self.is_started(now),
        }
    }

    /// What is known of the list held.
    fn list_standing(&self, now: Micros) -> ListStanding {
        match (self.is_open(), self.is_stale(now)) {
            (true, _) => ListStanding::Watched,
            (false, false) => ListStanding::Leased,
            (false, true) if self.knowledge.is_unverified() => ListStanding::Unverified,
            (false, true) => ListStanding::Stale,
        }
    }

    /// Whether a call is out for so long, with nothing of an answer, that the registry is taken to be out of reach.
    fn is_still_down(&self, now: Micros) -> bool {
        let State::Asked { at, is_answering: false } = self.state else { return false };
        self.knowledge.seems_down() && now - at >= STILL_DOWN_AFTER
    }

    /// Whether the first call of this process has been answered or has failed, or is out for longer than an answer takes: there
    /// is nothing that it could soon be told before it takes requests.
    pub fn is_started(&self, now: Micros) -> bool {
        match self.state {
            State::Asked { at, .. } if self.is_starting => now - at >= FIRST_ANSWER_WITHIN,
            _ => !self.is_starting,
        }
    }

    /// The head of an answer to the call has come: the registry can be reached.
    pub fn answering(&mut self) {
        if let State::Asked { is_answering, .. } = &mut self.state {
            *is_answering = true;
            self.knowledge.was_reachable();
        }
    }

    /// A list or a change has come on a watch, whoever opened it.
    pub fn heard(&mut self) {
        if self.is_open() {
            return;
        }
        self.state = State::Open;
        self.is_starting = false;
        self.repeats = 0;
        self.refusals.clear();
        self.stretch = (self.stretch * STRETCH_KEPT).max(1.0);
    }

    /// The call has failed, or the watch has ended, on which up to `since` all changes have come. Returns whether a
    /// watch was open until now.
    pub fn failed(&mut self, now: Micros, since: Micros, failure: CallFailure) -> bool {
        let was_open = self.is_open();
        match self.state {
            State::Waiting { .. } => {}
            State::Asked { at, .. } => {
                self.call_failed(at, now, failure);
                self.is_starting = false;
            }
            State::Open => self.lost(now, since, failure),
        }
        was_open
    }

    /// The registry is at another address from now on. How the watch on the old one ended was told before; a call that was
    /// out is no more, and tells nothing.
    pub fn moved(&mut self, now: Micros) {
        if self.is_open() {
            self.knowledge = ListKnowledge::watched_until(now);
        }
        self.refusals.clear();
        self.ask_anew(now);
    }

    /// Whether the watch is to be asked for now; the caller then does so, and tells what comes of it.
    pub fn poll(&mut self, now: Micros) -> bool {
        let due = self.next_timeout().is_some_and(|until| until <= now);
        if due {
            self.state = State::Asked { at: now, is_answering: false };
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

    /// The time within which all make their calls: a little less than these take, where that has all answered in time.
    fn asking_time(&self) -> Micros {
        let calls = self.calls_of_all();
        match calls <= ALL_IN_TIME {
            true => calls - QUEUEING.min(calls),
            false => calls,
        }
    }

    /// Many processes lose their watches, or start, in one moment: each asks at a phase of its own within this.
    fn wait_up_to(&mut self, now: Micros, most: Micros) {
        self.state = State::Waiting { until: now + Micros(self.random.i64(0..=most.0.max(0))) };
    }

    /// An open watch is lost, on which all changes have come up to `since`.
    fn lost(&mut self, now: Micros, since: Micros, failure: CallFailure) {
        self.knowledge = match may_have_missed(failure) {
            true => ListKnowledge::missing_since(since),
            false => ListKnowledge::watched_until(since),
        };
        self.ask_anew(now);
    }

    /// Others may have lost their watches in this moment, too.
    fn ask_anew(&mut self, now: Micros) {
        self.is_first = true;
        let spread = match self.registry {
            Registry::Own => Micros(0),
            Registry::Shared { .. } => FIRST_SPREAD.max(self.asking_time()),
        };
        self.wait_up_to(now, spread);
    }

    fn call_failed(&mut self, asked: Micros, now: Micros, failure: CallFailure) {
        match proof_of_call(failure) {
            Proof::Unclear => self.refused(asked, now),
            Proof::Down => {
                self.knowledge.was_out_of_reach(asked);
                self.repeat(asked, now);
            }
            Proof::Up => {
                self.knowledge.was_reachable();
                self.repeat(asked, now);
            }
            Proof::Nothing => self.pause(now, PAUSE_WITHOUT_SOCKET_MOST),
        }
    }

    /// Down or overloaded: the next call comes one cycle after this one.
    fn refused(&mut self, asked: Micros, now: Micros) {
        let remembered = Micros(self.cycle().saturating_mul(CYCLES_REMEMBERED));
        match self.refusals.add(asked, now, remembered) {
            Condition::Overloaded => {
                self.stretch = (self.stretch * GROWTH).min(STRETCH_MOST);
                self.knowledge.was_reachable();
            }
            Condition::Down => {
                self.stretch = (self.stretch * SHRINKAGE).max(1.0);
                self.knowledge.may_have_been_out_of_reach(asked);
            }
            Condition::Unclear => self.knowledge.may_have_been_out_of_reach(asked),
        }
        self.wait_for_next(asked, now);
    }

    /// It was not there when it was asked, or did not tell its list: by chance, or for longer.
    fn repeat(&mut self, asked: Micros, now: Micros) {
        self.refusals.clear();
        if self.repeats < REPEATS_MOST && self.calls_of_all() <= CYCLE_LEAST {
            return self.pause(now, Micros(i64::MAX));
        }
        self.stretch = 1.0;
        self.wait_for_next(asked, now);
    }

    /// A short pause, which doubles.
    fn pause(&mut self, now: Micros, most: Micros) {
        const DOUBLINGS_MOST: u32 = 8;
        self.repeats = (self.repeats + 1).min(DOUBLINGS_MOST);
        let pause = Micros(self.jittered_pause().0 << self.repeats).min(most);
        self.state = State::Waiting { until: now + pause };
    }

    fn wait_for_next(&mut self, asked: Micros, now: Micros) {
        let least = now + self.jittered_pause();
        let next = match self.registry {
            Registry::Own => now,
            Registry::Shared { .. } => asked + self.jittered_cycle(),
        };
        self.state = State::Waiting { until: next.max(least) };
    }

    fn jittered_pause(&mut self) -> Micros {
        Micros(PAUSE_LEAST.0 + self.random.i64(0..=PAUSE_LEAST.0))
    }

    /// The longest cycle at the present stretch, in microseconds.
    fn cycle(&self) -> i64 {
        (CYCLE_LEAST.max(self.asking_time()).0 as f64 * self.stretch) as i64
    }

    fn jittered_cycle(&mut self) -> Micros {
        let is_first = std::mem::take(&mut self.is_first);
        if self.is_starting && self.calls_of_all() > ALL_IN_TIME {
            let cycles = CYCLES_AFTER_START;
            let part = cycles.start + (cycles.end - cycles.start) * self.random.f64();
            return Micros((self.cycle() as f64 * part) as i64);
        }
        let room = CYCLE_LEAST.0 as f64 * JITTER_AFTER_LOSS;
        let fits = self.calls_of_all().0 as f64 <= room;
        let jitter = if is_first && fits { JITTER_AFTER_LOSS } else { JITTER };
        let part = 1.0 - jitter * self.random.f64();
        Micros((self.cycle() as f64 * part) as i64)
    }
}
