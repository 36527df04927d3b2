//! When to ask a registry for a watch, where many processes that cannot talk to each other share it, and for how long
//! the list that a process holds may be used without one.
//!
//! Such a registry handles calls one after another and fails those that have waited too long, but has spent its time
//! on them all the same. If more is asked than it can answer in time, it answers nobody (a metastable failure). `pace`
//! says when a process asks, so that the calls of all fit.
//!
//! What a registry has binds a process some seconds later, whether or not it was told. `knowledge` says until when the list
//! may be used without a watch, and `evidence` is the table of what each failure proves. [`Subscription`] puts them together.
//!
//! A state machine without I/O and without a clock: the caller tells what happened with the time, and polls. It leaves
//! the call itself, its time-out and the list to the caller. It never allocates and never panics.
#![forbid(unsafe_code)]

mod crowding;
mod evidence;
mod knowledge;
mod pace;

use crowding::Condition;
use evidence::{loss_of_watch, proof_of_call, Proof};
use garnettally_model::{CallFailure, Micros, Settings};
use knowledge::{Leases, ListKnowledge};
use pace::Pace;

/// Where the registry was down before, it still is where a call has been out for so long.
const STILL_DOWN_AFTER: Micros = Micros(1_300_000);

/// A registry with few callers answers the first call of a process within this.
const FIRST_ANSWER_WITHIN: Micros = Micros(2_200_000);

/// Whom the registry serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registry {
    /// This process alone: it may be asked at any time.
    Exclusive,
    /// So many instances at the least.
    Shared {
        /// How many of them are known of.
        instances: u32,
    },
}

/// What a process knows of the list that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
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
    pub freshness: ListFreshness,
    /// When a watch is asked for, in microseconds of the caller's clock; `None`: a call is out, or a watch is open.
    pub next_call_at: Option<Micros>,
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
    pace: Pace,
    state: State,
    /// For how long a list is as good as a watch; `None`: for as long as the registry is asked.
    list_lease: Option<Micros>,
    /// What is known of the list held, where no watch is open.
    knowledge: ListKnowledge,
    /// No call has ended yet.
    is_starting: bool,
}

impl Subscription {
    /// What an instance with these settings needs: nothing, where discovery need not be asked. Where it may be asked
    /// without a pause, it is the instance's own.
    pub fn from_settings(settings: &Settings, seed: u64, now: Micros) -> Option<Subscription> {
        let registry = match settings.watch_request_within {
            Micros(0) => Registry::Exclusive,
            _ => Registry::Shared { instances: settings.instances },
        };
        let new = || Subscription::new(registry, seed, now).with_list_lease(settings.list_lease);
        settings.watch_on_request.then(new)
    }

    /// A process that starts now, with random numbers from this seed; its list never grows stale.
    pub fn new(registry: Registry, seed: u64, now: Micros) -> Subscription {
        let mut pace = Pace::new(registry, seed);
        let until = pace.first_call(now);
        Subscription {
            pace,
            state: State::Waiting { until },
            list_lease: None,
            knowledge: ListKnowledge::at_start(),
            is_starting: true,
        }
    }

    /// Without a watch, a list may be gone by for so long after the registry could have been asked.
    pub fn with_list_lease(self, list_lease: Option<Micros>) -> Subscription {
        Subscription { list_lease, ..self }
    }

    /// Goes on from where another one is, which asked for the same watch until now; the size of the fleet and the lease stay
    /// its own.
    pub fn continue_from(&mut self, before: &Subscription) {
        self.pace.continue_from(&before.pace);
        self.state = before.state;
        self.knowledge = before.knowledge;
        self.is_starting = before.is_starting;
    }

    /// The number of instances has changed; it holds from the next pause on.
    pub fn set_instances(&mut self, count: u32) {
        self.pace.set_instances(count);
    }

    /// Whether a watch is open, as far as is known.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether the list held may lack changes that bind already: there is no watch, and its lease has ended.
    pub fn is_stale(&self, now: Micros) -> bool {
        let is_bounded = self.list_lease.is_some();
        is_bounded && !self.is_open() && !self.knowledge.is_good(now) && !self.is_still_down(now)
    }

    fn leases(&self) -> Leases {
        let whole = self.list_lease.unwrap_or(Micros(0));
        Leases {
            whole,
            after_loss: self.pace.answered_after_loss().min(whole),
            is_strict: self.pace.is_small(),
        }
    }

    /// What is known of the list held, and when the next call is made.
    pub fn list_report(&self, now: Micros) -> ListReport {
        ListReport {
            freshness: self.list_freshness(now),
            next_call_at: self.next_timeout(),
            is_started: self.is_started(now),
        }
    }

    /// What is known of the list held.
    fn list_freshness(&self, now: Micros) -> ListFreshness {
        match (self.is_open(), self.is_stale(now)) {
            (true, _) => ListFreshness::Watched,
            (false, false) => ListFreshness::Leased,
            (false, true) if self.knowledge.is_unverified() => ListFreshness::Unverified,
            (false, true) => ListFreshness::Stale,
        }
    }

    /// Whether a call is out for so long, with nothing of an answer, that the registry is taken to be out of reach.
    fn is_still_down(&self, now: Micros) -> bool {
        let State::Asked { at, is_answering: false } = self.state else { return false };
        self.knowledge.seems_down(at, self.leases()) && now - at >= STILL_DOWN_AFTER
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
    pub fn answer_started(&mut self) {
        if let State::Asked { is_answering, .. } = &mut self.state {
            *is_answering = true;
            self.knowledge.was_reachable();
        }
    }

    /// A list or a change has come on a watch, whoever opened it.
    pub fn update_received(&mut self) {
        if self.is_open() {
            return;
        }
        self.state = State::Open;
        self.is_starting = false;
        self.pace.succeeded();
    }

    /// The call has failed, or the watch has ended, on which up to `since` all changes have come. Returns whether a
    /// watch was open until now.
    pub fn call_or_watch_failed(&mut self, now: Micros, since: Micros, failure: CallFailure) -> bool {
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
    pub fn registry_moved(&mut self, now: Micros) {
        if self.is_open() {
            self.lost(now, now, CallFailure::WatchBroken);
        }
        let until = self.pace.call_after_move(now, self.next_timeout());
        self.state = State::Waiting { until };
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

    /// An open watch is lost, on which all changes have come up to `since`.
    fn lost(&mut self, now: Micros, since: Micros, failure: CallFailure) {
        self.knowledge = ListKnowledge::lost(now, since, loss_of_watch(failure), self.leases());
        self.state = State::Waiting { until: self.pace.call_after_loss(now) };
    }

    fn call_failed(&mut self, asked: Micros, now: Micros, failure: CallFailure) {
        let (leases, is_starting) = (self.leases(), self.is_starting);
        let until = match proof_of_call(failure) {
            Proof::Unclear(doubt) => {
                match self.pace.refused(asked, now) {
                    Condition::Overloaded => self.knowledge.was_reachable(),
                    Condition::Down | Condition::Unclear => {
                        self.knowledge.may_have_been_out_of_reach(asked, doubt, leases);
                    }
                }
                self.pace.call_after_refusal(asked, now, is_starting)
            }
            Proof::Down => {
                self.knowledge.was_out_of_reach(asked, leases);
                self.pace.call_after_failure(asked, now, is_starting)
            }
            Proof::Up => {
                self.knowledge.was_reachable();
                self.pace.call_after_failure(asked, now, is_starting)
            }
            Proof::Nothing => self.pace.call_without_socket(now),
        };
        self.state = State::Waiting { until };
    }
}
