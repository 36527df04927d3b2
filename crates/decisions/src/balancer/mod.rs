//! The decisions of one balancer. The settings, events and actions of its interface are defined in
//! `garnettally_model`.
//!
//! The balancer implements CSLD: the estimated cost of each call is booked on a time board of its server;
//! each period, the booked cost is turned into a compressed weight; a call goes to the server with the
//! largest weight, net of what this instance has sent there since. The names Nr, Cp, Cr, TC, dec, L_k, W_k
//! and Q_k are those of the paper. Each kind of decision has its own module.

mod admission;
mod board;
mod concurrency_limit;
mod list_freshness;
mod membership;
mod message_memory;
mod outcome;
mod outlier_ejection;
mod period;
mod pricing;
mod request_faults;
mod response_commit;
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
pub use message_memory::{MemoryHeld, MessageMemory};
pub use outlier_ejection::EJECT_SCORE;
use outlier_ejection::{health_of, FREE_DELAY_AIM_SHARE, MIN_SCORE_WEIGHT, OVERDUE_FACTOR};
use period::PERIOD_WEIGHT;
use pricing::{CALL_WEIGHT, FIRST_PRICE_US};
use request_faults::FAULTY_SHARE;
use response_commit::DueCommit;
pub use response_commit::{ResponseProgress, TimedOutResponse};
use retry::{MIN_RETRY_TOKENS, RETRY_RATIO, RETRY_SAVED_PERIODS};
use selection::is_allowed;
use slow_start::start_by_own_clock;

/// P and slot_len of the paper, with the value from the design page. In this crate, times of type `f64` are
/// in microseconds, and shares and ratios have no unit.
const PERIOD: Micros = Micros(200_000);

/// The token of the timer for the end of a period; the timers of waiting requests, of paused keys and of
/// responses to be committed have the next token.
const PERIOD_TIMER: u64 = 0;

/// The balancer of one caller.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// The time of the latest event.
    now: Micros,
    /// All servers that have ever been listed, by their numbers.
    servers: Vec<Server>,
    /// The ready servers, each with its ring key, in the order of these keys.
    ring: Vec<(u64, u32)>,
    /// The servers that this instance sends to.
    subset: Vec<u32>,
    /// Whether the subset has to be chosen anew before the next pick.
    subset_is_stale: bool,
    /// Whether servers that a list has removed get no calls though removals are advisory.
    believes_removals: bool,
    /// The servers with bookings or calls in flight.
    busy_servers: Vec<u32>,
    /// The time from which no server is cold any more.
    cold_until: Micros,
    /// How far the wall clock is ahead of this instance's clock. If the wall clock has been stepped, new
    /// starts of servers are dated by its new time.
    wall_clock_ahead: Micros,
    /// The requests without a final answer, and those with attempts in flight.
    requests: FxHashMap<RequestId, Request>,
    /// The requests that wait to be sent.
    waiting: Vec<RequestId>,
    /// The started responses that are to be committed at some time.
    due_commits: Vec<DueCommit>,
    /// The queues of those keys whose requests run in order.
    key_queues: FxHashMap<KeyId, KeyQueue>,
    /// The running mean of served time by class, which is the price of a request without a hint.
    mean_times: Vec<Option<f64>>,
    /// The longest time that a client has given a single try, by class.
    longest_tries: Vec<Micros>,
    /// The failure shares of the classes, then of the tenants, then of all requests without a known tenant.
    failure_shares: Vec<FailureShare>,
    /// The estimate of served time by price.
    time_estimate: TimeEstimate,
    /// The requests that each tenant may send within its quota at once.
    quota_tokens: Vec<f64>,
    /// When the present period ends.
    next_period: Micros,
    /// Whether a period has ended since the last check for overdue attempts.
    overdue_check_due: bool,
    /// When the next timer is due; the largest value: no timer is set.
    timer_at: Micros,
    /// The running means per period, from which prices, weights and the subset follow.
    stats: Stats,
    /// The servers by machine kind, each kind with its concurrency limit.
    pools: Vec<Pool>,
    /// A random number, 0 to 1, drawn anew each period, that is added to the calls in flight when they are
    /// compared with a limit. So a limit of 0.3 allows one call in three of ten periods.
    limit_dither: f64,
    /// The budget for retries, in calls.
    retry_tokens: f64,
    /// The state of the watch on discovery, where a watch has to be requested.
    subscription: Option<Subscription>,
}

impl Balancer {
    /// Creates an instance that knows its settings and no servers yet. The seed determines all of its random
    /// numbers.
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
            subscription: Subscription::from_settings(&settings, rng.u64(..), now),
            next_period: now,
            timer_at: Micros(i64::MAX),
            limit_dither: rng.f64(),
            retry_tokens: MIN_RETRY_TOKENS,
            stats: Stats { cr: FIRST_PRICE_US, gain: 1.0, ..Stats::default() },
            settings,
            rng,
            now,
            ..Balancer::default()
        }
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.now >= self.next_period {
            self.end_period(actions);
        }
        match event {
            Event::List { form, entries } => self.apply_list(form, entries),
            Event::WatchFailed { complete_until, failure } => self.watch_failed(complete_until, failure),
            Event::DiscoveryAnswerStarted => self.subscription.iter_mut().for_each(|s| s.answer_started()),
            Event::DiscoveryMoved => self.subscription.iter_mut().for_each(|s| s.registry_moved(self.now)),
            Event::WallClock { ahead } => self.wall_clock_ahead = ahead,
            Event::Request(new) => self.admit(new, actions),
            Event::ResponseStarted(start) => self.response_started(start, actions),
            Event::Outcome(outcome) => self.handle_outcome(outcome, actions),
            Event::ClientLeft(id) => self.close_request(id, actions),
            Event::PeerVerdict(verdict) => self.apply_peer_verdict(verdict, actions),
            Event::Timer(_) => {
                self.commit_due_responses(actions);
                self.check_overdue(actions);
            }
        }
        let request_watch = self.subscription.as_mut().is_some_and(|s| s.poll(self.now));
        actions.extend(request_watch.then_some(Action::Watch));
        self.dispatch_waiting(actions);
        self.set_timer(actions);
    }

    /// Sets a timer for the end of the period, if time alone can change a decision by then and no earlier
    /// timer is set.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        if self.timer_at <= self.now {
            self.timer_at = Micros(i64::MAX);
        }
        let calls = self.busy_servers.iter().flat_map(|&i| &self.servers[i as usize].calls);
        let due = calls.filter(|c| !c.is_overdue).map(|c| c.overdue_at.max(self.next_period)).min();
        let at = if self.waiting.is_empty() { due.unwrap_or(self.timer_at) } else { self.next_period };
        let at =
            self.subscription.as_ref().and_then(|s| s.next_timeout()).map_or(at, |timeout| at.min(timeout));
        if at < self.timer_at {
            self.timer_at = at;
            actions.push(Action::Timer { at, token: PERIOD_TIMER });
        }
    }

    /// Sets how many instances share the servers, and the number of this one among them.
    pub fn set_instances(&mut self, instances: u32, instance_index: u32) {
        (self.settings.instances, self.settings.instance_index, self.subset_is_stale) =
            (instances, instance_index, true);
        self.subscription.iter_mut().for_each(|s| s.set_instances(instances));
    }

    /// Takes over the watch on discovery from another instance. What that instance was notified of, and when,
    /// stays in force.
    pub fn take_over_watch(&mut self, previous: &Balancer) {
        if let (Some(own), Some(other)) = (&mut self.subscription, &previous.subscription) {
            own.continue_from(other);
        }
    }

    /// Returns the servers that have ever been listed, for reports on their health.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }
}
