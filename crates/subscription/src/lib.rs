//! Decides when a process calls a registry to open a watch, where many processes that cannot communicate with
//! each other share the registry, and for how long the list that a process has may be used without a watch.
//!
//! Such a registry handles calls one after another. It fails those that have waited too long, but has by then
//! spent its time on them. If more calls arrive than it can answer in time, it answers none (a metastable
//! failure). `pace` decides when a process calls, so that the registry can answer the calls of all processes.
//!
//! A change in the registry is binding for a process some seconds later, whether or not the process was
//! notified. `list_validity` says until when the list may be used without a watch, and `evidence` is the
//! table of what each failure says about the registry. [`Subscription`] puts them together.
//!
//! The crate is a state machine without I/O and without a clock: the host reports events with their times,
//! and polls. The call itself, its time-out and the list are the host's task. The crate never allocates and
//! never panics.
#![forbid(unsafe_code)]

mod evidence;
mod list_validity;
mod overload;
mod pace;

use evidence::{reachability_at_failure, watch_loss, Reachability};
use garnettally_model::{CallFailure, Micros, Settings};
use list_validity::{Leases, ListValidity};
use overload::RegistryState;
use pace::CallPace;

/// If the registry was down before, it is taken to be still down once a call has been unanswered for this
/// long.
const STILL_DOWN_AFTER: Micros = Micros(1_300_000);

/// A registry with few callers answers the first call of a process within this time.
const FIRST_ANSWER_WITHIN: Micros = Micros(2_200_000);

/// Which processes a registry serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registry {
    /// The registry serves this process alone, which may call it at any time.
    Exclusive,
    /// The registry serves several instances.
    Shared {
        /// The number of instances known of; there may be more.
        instances: u32,
    },
}

/// How fresh the list is that a process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
    /// A watch is open: changes are received as they are made.
    Watched,
    /// No watch is open, and the list may still be used.
    Leased,
    /// The list may lack changes that are already binding.
    Stale,
    /// The list comes from the configuration and may be of any age; the registry has not confirmed it yet.
    Unverified,
}

/// The freshness of the list that a process has, and the time of its next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListReport {
    /// The freshness of the list.
    pub freshness: ListFreshness,
    /// When the next call to open a watch is made, in microseconds of the host's clock; `None` while a call
    /// is in flight or a watch is open.
    pub next_call_at: Option<Micros>,
    /// Whether the first call of this process has ended, or has been in flight for longer than an answer
    /// normally takes.
    pub is_started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no watch; the call to open one is made at this time.
    Waiting { until: Micros },
    /// The call to open a watch was made at `asked`, and no list has come yet. `is_answering` is set once the
    /// head of the answer has been received.
    Calling { asked: Micros, is_answering: bool },
    /// A watch is open.
    Open,
}

/// One process's watch on a registry: whether the watch is open, and when to call for one.
#[derive(Debug)]
pub struct Subscription {
    pace: CallPace,
    state: State,
    /// For how long a list may be used without a watch; `None` means without limit.
    list_lease: Option<Micros>,
    /// How long the list may be used while no watch is open.
    validity: ListValidity,
    /// Whether no call has ended yet.
    is_starting: bool,
}

impl Subscription {
    /// The subscription that an instance with these settings needs: `None` where discovery need not be
    /// called. A registry that may be called without a pause is taken to serve this instance alone.
    pub fn from_settings(settings: &Settings, seed: u64, now: Micros) -> Option<Subscription> {
        let registry = match settings.watch_request_within {
            Micros(0) => Registry::Exclusive,
            _ => Registry::Shared { instances: settings.instances },
        };
        let new = || Subscription::new(registry, seed, now).with_list_lease(settings.list_lease);
        settings.watch_on_request.then(new)
    }

    /// A process that starts now. `seed` seeds its random numbers. Its list never becomes stale unless
    /// [`Subscription::with_list_lease`] sets a lease.
    pub fn new(registry: Registry, seed: u64, now: Micros) -> Subscription {
        let mut pace = CallPace::new(registry, seed);
        let until = pace.first_call_at(now);
        Subscription {
            pace,
            state: State::Waiting { until },
            list_lease: None,
            validity: ListValidity::at_start(),
            is_starting: true,
        }
    }

    /// Sets for how long a list may be used without a watch, counted from the last evidence that it was
    /// current.
    pub fn with_list_lease(self, list_lease: Option<Micros>) -> Subscription {
        Subscription { list_lease, ..self }
    }

    /// Takes over the state of another subscription, which maintained the same watch until now. The size of
    /// the fleet and the lease remain those of `self`.
    pub fn continue_from(&mut self, before: &Subscription) {
        self.pace.continue_from(&before.pace);
        self.state = before.state;
        self.validity = before.validity;
        self.is_starting = before.is_starting;
    }

    /// Sets the number of instances; the new number applies from the next pause on.
    pub fn set_instances(&mut self, count: u32) {
        self.pace.set_instances(count);
    }

    /// Whether a watch is open, as far as this process knows.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether the list may lack changes that are already binding: no watch is open, and the lease of the
    /// list has ended.
    pub fn is_stale(&self, now: Micros) -> bool {
        let is_bounded = self.list_lease.is_some();
        is_bounded && !self.is_open() && !self.validity.is_usable(now) && !self.is_still_down(now)
    }

    fn leases(&self) -> Leases {
        let full = self.list_lease.unwrap_or(Micros(0));
        Leases { full, after_loss: self.pace.lease_after_loss().min(full), is_strict: self.pace.is_small() }
    }

    /// The freshness of the list, and the time of the next call.
    pub fn list_report(&self, now: Micros) -> ListReport {
        ListReport {
            freshness: self.list_freshness(now),
            next_call_at: self.next_timeout(),
            is_started: self.is_started(now),
        }
    }

    fn list_freshness(&self, now: Micros) -> ListFreshness {
        match (self.is_open(), self.is_stale(now)) {
            (true, _) => ListFreshness::Watched,
            (false, false) => ListFreshness::Leased,
            (false, true) if self.validity.is_unverified() => ListFreshness::Unverified,
            (false, true) => ListFreshness::Stale,
        }
    }

    /// Whether a call has been in flight for so long, without any part of an answer, that the registry is
    /// taken to be unreachable.
    fn is_still_down(&self, now: Micros) -> bool {
        let State::Calling { asked, is_answering: false } = self.state else { return false };
        self.validity.is_registry_presumed_down(asked, self.leases()) && now - asked >= STILL_DOWN_AFTER
    }

    /// Whether the first call of this process has been answered or has failed, or has been in flight for
    /// longer than an answer normally takes. Waiting longer before taking requests would not bring a list
    /// soon.
    pub fn is_started(&self, now: Micros) -> bool {
        match self.state {
            State::Calling { asked, .. } if self.is_starting => now - asked >= FIRST_ANSWER_WITHIN,
            _ => !self.is_starting,
        }
    }

    /// Reports that the head of an answer to the call was received: the registry can be reached.
    pub fn answer_started(&mut self) {
        if let State::Calling { is_answering, .. } = &mut self.state {
            *is_answering = true;
            self.validity.registry_was_reachable();
        }
    }

    /// Reports that a list or a change was received on a watch, even one that this subscription did not ask
    /// for.
    pub fn update_received(&mut self) {
        if self.is_open() {
            return;
        }
        self.state = State::Open;
        self.is_starting = false;
        self.pace.record_success();
    }

    /// Reports that the call has failed, or that the watch has ended after all changes up to `complete_until` were
    /// received. Returns whether a watch was open until now.
    pub fn call_or_watch_failed(
        &mut self,
        now: Micros,
        complete_until: Micros,
        failure: CallFailure,
    ) -> bool {
        let was_open = self.is_open();
        match self.state {
            State::Waiting { .. } => {}
            State::Calling { asked, .. } => {
                self.call_failed(asked, now, failure);
                self.is_starting = false;
            }
            State::Open => self.watch_lost(now, complete_until, failure),
        }
        was_open
    }

    /// Reports that the registry has a new address. The end of the watch on the old address was reported
    /// before; a call in flight to it is dropped and says nothing about the registry.
    pub fn registry_moved(&mut self, now: Micros) {
        if self.is_open() {
            self.watch_lost(now, now, CallFailure::WatchBroken);
        }
        let until = self.pace.call_after_move(now, self.next_timeout());
        self.state = State::Waiting { until };
    }

    /// Whether a call to open a watch is due. If so, the host makes the call and reports how it ends.
    pub fn poll(&mut self, now: Micros) -> bool {
        let is_due = self.next_timeout().is_some_and(|until| until <= now);
        if is_due {
            self.state = State::Calling { asked: now, is_answering: false };
        }
        is_due
    }

    /// When [`Subscription::poll`] must be called next if no event is reported before.
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ => None,
        }
    }

    /// Ends an open watch on which all changes up to `complete_until` were received.
    fn watch_lost(&mut self, now: Micros, complete_until: Micros, failure: CallFailure) {
        self.validity =
            ListValidity::after_watch_loss(now, complete_until, watch_loss(failure), self.leases());
        self.state = State::Waiting { until: self.pace.call_after_loss(now) };
    }

    fn call_failed(&mut self, asked: Micros, now: Micros, failure: CallFailure) {
        let (leases, is_starting) = (self.leases(), self.is_starting);
        let until = match reachability_at_failure(failure) {
            Reachability::Unclear(kind) => {
                match self.pace.record_refusal(asked, now) {
                    RegistryState::Overloaded => self.validity.registry_was_reachable(),
                    RegistryState::Down | RegistryState::Unclear => {
                        self.validity.registry_may_have_been_unreachable(asked, kind, leases);
                    }
                }
                self.pace.call_after_refusal(asked, now, is_starting)
            }
            Reachability::Unreachable => {
                self.validity.registry_was_unreachable(asked, leases);
                self.pace.call_after_failure(asked, now, is_starting)
            }
            Reachability::Reachable => {
                self.validity.registry_was_reachable();
                self.pace.call_after_failure(asked, now, is_starting)
            }
            Reachability::NoEvidence => self.pace.call_without_socket(now),
        };
        self.state = State::Waiting { until };
    }
}
