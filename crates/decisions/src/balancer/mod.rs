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

use admission::{IN_TIME_FACTOR, MIN_QUOTA_REQUESTS};
use board::{loads_to_weights, SLOT};
use concurrency_limit::{CONGESTED, FIRST_LIMIT_PER_SERVER, LIMIT_CHANCE_ROOTS, STRETCH_WEIGHT};
use list_freshness::NEVER;
pub use outlier_ejection::EJECT_SCORE;
use outlier_ejection::{health_of, FREE_DELAY_AIM_SHARE, MIN_SCORE_WEIGHT, OVERDUE_FACTOR};
use period::PERIOD_WEIGHT;
use pricing::{CALL_WEIGHT, FIRST_PRICE_US};
use request_faults::FAULTY_SHARE;
use retry::{MIN_RETRY_TOKENS, RETRY_RATIO, RETRY_SAVED_PERIODS};
use selection::is_allowed;
use slow_start::start_by_own_clock;

// Times in microseconds, shares and ratios without a unit.
const PERIOD: Micros = Micros(200_000); // P and slot_len, from the design page

const PERIOD_TIMER: u64 = 0; // timer token of the period; a held request's is 1

/// The balancer of one caller.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: Vec<Server>,
    ring: Vec<(u64, u32)>, // All ready servers by key
    subset: Vec<u32>,      // Those of them that this instance sends to; stale: to be chosen anew
    subset_is_stale: bool,
    believes_removals: bool, // Servers that it calls gone get nothing, though they may
    busy_servers: Vec<u32>,  // Servers with bookings or calls in flight
    cold_until: Micros,
    // Of this instance's clock: where it was stepped since, starts are dated by the new time
    wall_clock_ahead: Micros,
    requests: FxHashMap<RequestId, Request>,
    waiting: Vec<RequestId>,
    key_queues: FxHashMap<KeyId, KeyQueue>,
    mean_times: Vec<Option<f64>>, // Running mean of served time by class: the price without a hint
    longest_tries: Vec<Micros>,   // The longest that a client's try has been given, by class
    failure_shares: Vec<FailureShare>, // Classes, then tenants, then those of no tenant
    time_estimate: TimeEstimate,
    quota_tokens: Vec<f64>,
    next_period: Micros,
    overdue_check_due: bool, // A period has ended since attempts were last looked at
    timer_at: Micros,
    stats: Stats,
    pools: Vec<Pool>,
    limit_dither: f64, // Drawn anew each period: a limit of 0.3 lets one call in three periods of ten
    retry_tokens: f64,
    subscription: Option<Subscription>, // Where discovery must be asked
}

impl Balancer {
    /// A fresh instance: it knows its settings, and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let mut rng = fastrand::Rng::with_seed(seed);
        Balancer {
            mean_times: vec![None; settings.classes.len()],
            longest_tries: vec![Micros(0); settings.classes.len()],
            quota_tokens: vec![MIN_QUOTA_REQUESTS; settings.tenant_quota.len()],
            failure_shares: vec![
                FailureShare::default();
                settings.classes.len() + settings.tenant_quota.len() + 1
            ],
            subscription: Subscription::of(&settings, rng.u64(..), now),
            next_period: now,
            timer_at: Micros(i64::MAX),
            limit_dither: rng.f64(),
            retry_tokens: MIN_RETRY_TOKENS,
            stats: Stats { cr: FIRST_PRICE_US, gain: 1.0, ..Stats::default() },
            settings: settings,
            rng,
            now,
            ..Balancer::default()
        }
    }

    /// Takes one event, and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.now >= self.next_period {
            self.end_period(actions);
        }
        match event {
            Event::List { form, entries } => self.apply_list(form, entries),
            Event::WatchFailed { complete_until: since, failure } => self.watch_failed(since, failure),
            Event::DiscoveryAnswerStarted => self.subscription.iter_mut().for_each(|s| s.answering()),
            Event::DiscoveryMoved => self.subscription.iter_mut().for_each(|s| s.moved(self.now)),
            Event::WallClock { ahead } => self.wall_clock_ahead = ahead,
            Event::Request(new) => self.admit(new, actions),
            Event::Outcome(outcome) => self.handle_outcome(outcome, actions),
            Event::ClientLeft(id) => self.close_request(id, actions),
            Event::PeerVerdict(heard) => self.apply_peer_verdict(heard, actions),
            Event::Timer(_) => self.check_overdue(actions),
        }
        let ask = self.subscription.as_mut().is_some_and(|s| s.poll(self.now));
        actions.extend(ask.then_some(Action::Watch));
        self.dispatch_waiting(actions);
        self.set_timer(actions);
    }

    /// One timer at a time, at the period's end, and only while time alone can change anything.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        if self.timer_at <= self.now {
            self.timer_at = Micros(i64::MAX);
        }
        let flights = self.busy_servers.iter().flat_map(|&i| &self.servers[i as usize].calls);
        let due = flights.filter(|f| !f.is_overdue).map(|f| f.overdue_at.max(self.next_period)).min();
        let at = if self.waiting.is_empty() { due.unwrap_or(self.timer_at) } else { self.next_period };
        let at = self.subscription.as_ref().and_then(|s| s.next_timeout()).map_or(at, |ask| at.min(ask));
        if at < self.timer_at {
            self.timer_at = at;
            actions.push(Action::Timer { at, token: PERIOD_TIMER });
        }
    }

    /// So many instances share the servers from now on, and this is which of them this one is.
    pub fn set_instances(&mut self, instances: u32, me: u32) {
        (self.settings.instances, self.settings.instance_index, self.subset_is_stale) = (instances, me, true);
        self.subscription.iter_mut().for_each(|s| s.set_instances(instances));
    }

    /// Another instance has asked for the watch until now, and this one does from here on. What it was
    /// told, and when,
    /// goes on binding.
    pub fn take_over_watch(&mut self, before: &Balancer) {
        if let (Some(mine), Some(theirs)) = (&mut self.subscription, &before.subscription) {
            mine.go_on_from(theirs);
        }
    }

    /// The servers, for those who tell others of them.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }
}
