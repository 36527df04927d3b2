//! **The** decisions of one balancer; its face (settings, events, actions) is `garnettally_model`.
//!
//! CSLD: every call's estimated cost is booked onto a per-server time board; each period the booked work
//! becomes a compressed weight; a call goes to the largest weight net of this instance's own sends since. The
//! paper's names are kept. Each decision has a module of its own.

mod admission;
mod board;
mod concurrency_limit;
mod list_freshness;
mod membership;
mod outcome;
mod outlier_ejection;
mod period;
mod pricing;
mod request_faults;
mod retry;
mod selection;
mod slow_start;

use crate::state::*;
use garnettally_model::*;
use garnettally_subscription::{ListReport, Subscription};
use rustc_hash::FxHashMap;

use admission::{IN_TIME, QUOTA_LEAST};
use board::{weights, SLOT};
use concurrency_limit::{CROWDED, LIMIT_CHANCE, LIMIT_FIRST, STRETCH_MEAN};
use list_freshness::NEVER;
pub use outlier_ejection::EJECT_SCORE;
use outlier_ejection::{marks_of, BAD_MEAN, DELAY_FREE, OVERDUE};
use period::PERIOD_MEAN;
use pricing::{CALL_MEAN, FIRST_PRICE};
use request_faults::STRUCK;
use retry::{RETRY_LEAST, RETRY_PERIODS, RETRY_RATIO};
use selection::allowed;
use slow_start::start_by_own_clock;

// Times in microseconds, shares and ratios without a unit.
const PERIOD: Micros = Micros(200_000); // P and slot_len, from the design page

const TICK: u64 = 0; // timer token of the period; a held request's is 1

/// The balancer of one caller.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: Vec<Server>,
    ring: Vec<(u64, u32)>, // All ready servers by key
    members: Vec<u32>,     // Those of them that this instance sends to; stale: to be chosen anew
    stale: bool,
    list_believed: bool, // Servers that it calls gone get nothing, though they may
    busy: Vec<u32>,      // Servers with bookings or calls in flight
    cold_until: Micros,
    // Of this instance's clock: where it was stepped since, starts are dated by the new time
    wall_ahead: Micros,
    requests: FxHashMap<RequestId, Request>,
    held: Vec<RequestId>,
    turns: FxHashMap<KeyId, Turn>,
    means: Vec<Option<f64>>, // Running mean of served time by class: the price without a hint
    patience: Vec<Micros>,   // The longest that a client's try has been given, by class
    sides: Vec<Side>,        // Classes, then tenants, then those of no tenant
    line: Line,
    quota: Vec<f64>,
    next_period: Micros,
    looks_for_overdue: bool, // A period has ended since attempts were last looked at
    timer: Micros,
    st: Stats,
    pools: Vec<Pool>,
    chance: f64, // Drawn anew each period: a limit of 0.3 lets one call in three periods of ten
    retry_tokens: f64,
    subscription: Option<Subscription>, // Where discovery must be asked
}

impl Balancer {
    /// A fresh instance: it knows its settings, and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let mut rng = fastrand::Rng::with_seed(seed);
        Balancer {
            means: vec![None; settings.classes.len()],
            patience: vec![Micros(0); settings.classes.len()],
            quota: vec![QUOTA_LEAST; settings.tenant_quota.len()],
            sides: vec![Side::default(); settings.classes.len() + settings.tenant_quota.len() + 1],
            subscription: Subscription::from_settings(&settings, rng.u64(..), now),
            next_period: now,
            timer: Micros(i64::MAX),
            chance: rng.f64(),
            retry_tokens: RETRY_LEAST,
            st: Stats { cr: FIRST_PRICE, gain: 1.0, ..Stats::default() },
            set: settings,
            rng,
            now,
            ..Balancer::default()
        }
    }

    /// Takes one event, and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.now >= self.next_period {
            self.period(actions);
        }
        match event {
            Event::List { form, entries } => self.news(form, entries),
            Event::WatchFailed { complete_until: since, failure } => self.unwatched(since, failure),
            Event::DiscoveryAnswerStarted => self.subscription.iter_mut().for_each(|s| s.answer_started()),
            Event::DiscoveryMoved => self.subscription.iter_mut().for_each(|s| s.registry_moved(self.now)),
            Event::WallClock { ahead } => self.wall_ahead = ahead,
            Event::Request(new) => self.admit(new, actions),
            Event::Outcome(outcome) => self.outcome(outcome, actions),
            Event::ClientLeft(id) => self.over(id, actions),
            Event::PeerVerdict(heard) => self.hear(heard, actions),
            Event::Timer(_) => self.overdue(actions),
        }
        let ask = self.subscription.as_mut().is_some_and(|s| s.poll(self.now));
        actions.extend(ask.then_some(Action::Watch));
        self.drain_held(actions);
        self.wake(actions);
    }

    /// One timer at a time, at the period's end, and only while time alone can change anything.
    fn wake(&mut self, actions: &mut Vec<Action>) {
        if self.timer <= self.now {
            self.timer = Micros(i64::MAX);
        }
        let flights = self.busy.iter().flat_map(|&i| &self.servers[i as usize].flights);
        let due = flights.filter(|f| !f.overdue).map(|f| f.overdue_at.max(self.next_period)).min();
        let at = if self.held.is_empty() { due.unwrap_or(self.timer) } else { self.next_period };
        let at = self.subscription.as_ref().and_then(|s| s.next_timeout()).map_or(at, |ask| at.min(ask));
        if at < self.timer {
            self.timer = at;
            actions.push(Action::Timer { at, token: TICK });
        }
    }

    /// So many instances share the servers from now on, and this is which of them this one is.
    pub fn set_instances(&mut self, instances: u32, me: u32) {
        (self.set.instances, self.set.instance_index, self.stale) = (instances, me, true);
        self.subscription.iter_mut().for_each(|s| s.set_instances(instances));
    }

    /// Another instance has asked for the watch until now, and this one does from here on. What it was
    /// told, and when,
    /// goes on binding.
    pub fn take_over_watch(&mut self, before: &Balancer) {
        if let (Some(mine), Some(theirs)) = (&mut self.subscription, &before.subscription) {
            mine.continue_from(theirs);
        }
    }

    /// The servers, for those who tell others of them.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }
}
