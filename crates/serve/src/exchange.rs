//! The life cycle of a request: it is accepted from a caller, submitted to its pool's decision module,
//! attempted, and given exactly one response.

use crate::admission::{ActiveRoute, AdmissionError, Admitted, Labels, RETRY_AFTER};
use crate::callers::ListenerId;
use crate::http::{HttpError, Request, Response};
use crate::memory::{Counted, MemoryUse};
use crate::pools::{Pool, PoolId};
use crate::reasons::RefusalReason;
use crate::reservation::Reservation;
use crate::stats::Outcome;
use crate::upstreams::{Answer, Attempt, AttemptResult, Target, TransferEnd};
use crate::{ConnId, Proxy};
use garnettally_config::file::format::LogRequests;
use garnettally_decisions::facade::{Code, Decision, ListFreshness, Micros, PickRequest, Report, RequestId};
use garnettally_routing::budget::{HolderId, Refusal};
use garnettally_routing::left_requests::LeftRequests;
use garnettally_routing::pins::{PinError, PinKey};
use garnettally_routing::stable_hash;
use rustc_hash::{FxHashMap, FxHashSet};
use slog::{debug, info};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The final response to a request; every request gets exactly one.
pub enum FinalResponse<'a> {
    /// The response of an upstream, which served the request or rejected it as faulty.
    Forwarded(&'a Response),
    /// The request was refused (503), and trying again is harmless. `retry_after`: the client's advised wait.
    Refused { retry_after: Option<Duration> },
    /// The request failed (502); whether it had an effect is unknown.
    Failed,
}

/// A request that has been accepted, in one pool. If it moves to another pool, it gets a new number there.
struct Exchange {
    /// The connection that awaits the response; `None`: the request is a mirrored copy.
    caller: Option<ConnId>,
    /// The caller's identifier of the request.
    id: String,
    pool: PoolId,
    /// The request as it is passed to the pool's decision module.
    pick_request: PickRequest,
    /// `None`: the request is concluded, and is sent no more.
    request: Option<Rc<Counted<Request>>>,
    /// The number of attempts started in this pool.
    attempts: u32,
    /// The number of attempts in this pool that have not ended.
    in_flight: u32,
    /// Whether the request has had its response, its response has begun, or its client has left.
    concluded: bool,
    /// Whether the body of its response passes through.
    is_transferring: bool,
    /// Whether an attempt has run, or may have run, on an upstream.
    may_have_run: bool,
    /// For how long after an attempt that may have run another may be sent: zero for unsafe classes; `None`:
    /// without limit.
    repeat_within: Option<Duration>,
    /// When the first attempt was sent.
    first_sent_at: Option<Instant>,
    /// When the time of `repeat_within` ends; `None`: no attempt can have run yet, or there is no limit.
    repeat_deadline: Option<Instant>,
    /// The pools that may get the request, in order, if this pool refuses it and no attempt can have run.
    fallback_pools: Vec<PoolId>,
    /// The idempotency key and its window, if a repeat must not go to another pool.
    pin: Option<(PinKey, Micros)>,
    /// The number of the pin's last recorded attempt.
    pin_number: u64,
    /// The request's unit of the request budgets, or the copy's unit of the budget for copies.
    reservation: Reservation,
    /// The listener that accepted the request; `None` for a copy.
    listener: Option<ListenerId>,
    /// The route of the operator's file; `None` for a copy and with the platform's protocol.
    route: Option<Rc<ActiveRoute>>,
    /// The names of class and tenant for the log; `None`: requests are not logged.
    labels: Option<Labels>,
    /// The class's name for the metrics.
    class_name: Rc<str>,
    accepted_at: Instant,
    /// The number of attempts in the pools that had the request before.
    earlier_attempts: u32,
}

impl Exchange {
    /// Lets no attempt be written from this time on.
    fn limit_repeats(&mut self, deadline: Instant) {
        self.repeat_deadline = Some(self.repeat_deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    /// Limits the time of an attempt that is sent now beside another one, which may be running.
    fn limit_hedge(&mut self, now: Instant) {
        let first_sent_at = *self.first_sent_at.get_or_insert(now);
        if let Some(within) = self.repeat_within.filter(|_| self.in_flight > 0) {
            self.limit_repeats(first_sent_at + within);
        }
    }
}

/// An input that is queued for a pool's decision module until its next run.
pub enum ModuleInput {
    /// A request that needs an upstream.
    Pick(PickRequest),
    /// A report of something that has happened.
    Report(Report),
}

/// The requests that are not finished.
#[derive(Default)]
pub struct Exchanges {
    /// The requests that await a response or still have attempts in flight.
    open: FxHashMap<RequestId, Exchange>,
    /// The callers' identifiers of the requests that await a response; mirrored copies are left out.
    pending_ids: FxHashSet<String>,
    /// The ids of unsafe requests that may have run and whose clients have left.
    left: LeftRequests,
    /// The number given to the newest request.
    last_number: u64,
}

impl Exchanges {
    /// Whether any request awaits its response.
    pub fn has_pending(&self) -> bool {
        !self.pending_ids.is_empty()
    }

    /// The number of accepted requests that await their response.
    pub fn pending(&self) -> usize {
        self.pending_ids.len()
    }

    /// Whether the end of a request would free a unit of the request budgets that helps.
    pub fn frees_request(&self, request: RequestId, helps: impl Fn(&Reservation) -> bool) -> bool {
        self.open.get(&request).is_some_and(|x| helps(&x.reservation))
    }

    /// Returns the number for a new request.
    fn next_request_id(&mut self) -> RequestId {
        self.last_number += 1;
        RequestId(self.last_number)
    }

    /// Marks a request as concluded: its response is determined or no longer needed. Returns the connection
    /// that awaits the response, if there is one.
    fn conclude(&mut self, number: RequestId) -> Option<ConnId> {
        let caller = self.conclude_by_transfer(number)?;
        if let Some(exchange) = self.open.get_mut(&number) {
            exchange.is_transferring = false;
            self.pending_ids.remove(&exchange.id);
        }
        Some(caller)
    }

    /// Marks a request as concluded by a response that has begun: it is pending until its body has ended.
    /// Returns the connection that awaits the response, if there is one.
    fn conclude_by_transfer(&mut self, number: RequestId) -> Option<ConnId> {
        let exchange = self.open.get_mut(&number).filter(|x| !x.concluded)?;
        exchange.concluded = true;
        exchange.request = None;
        exchange.is_transferring = exchange.caller.is_some();
        exchange.caller
    }

    /// Marks the end of the body of a request's response.
    fn end_transfer(&mut self, number: RequestId) {
        if let Some(exchange) = self.open.get_mut(&number).filter(|x| x.is_transferring) {
            exchange.is_transferring = false;
            self.pending_ids.remove(&exchange.id);
        }
    }
}

impl Proxy {
    /// Whether this process can serve requests: a pool is ready, and the process is not draining.
    pub fn is_ready(&self) -> bool {
        let now = self.net.clock.unix_time(Instant::now());
        let is_pool_ready = |p: &Pool| p.was_ready && !p.is_retired && p.is_started(now);
        self.pools.iter().any(is_pool_ready) && !self.shutdown.is_closing() && !self.admin.draining()
    }

    /// Accepts a request, or returns why it can't be accepted.
    pub fn accept_request(
        &mut self,
        caller: ConnId,
        listener: ListenerId,
        mut request: Request,
    ) -> Result<RequestId, AdmissionError> {
        let now = Instant::now();
        match self.admit_within_limits(listener, &mut request, now) {
            Ok((admitted, reservation)) => {
                Ok(self.start_request(admitted, reservation, caller, listener, request, now))
            }
            Err(error) => {
                if let AdmissionError::Refused { route: Some(r), .. } = &error {
                    let class = self.active_config.as_ref().map(|v| v.class(r.route.class).to_string());
                    if let Some(class) = class {
                        self.stats.record_outcome(&class, Outcome::Rejected);
                    }
                }
                self.log_not_admitted(listener, &request, &error);
                Err(error)
            }
        }
    }

    /// Finds the pool of a request and takes its unit of the request budgets.
    fn admit_within_limits(
        &mut self,
        listener: ListenerId,
        request: &mut Request,
        now: Instant,
    ) -> Result<(Admitted, Reservation), AdmissionError> {
        let admitted = self.admit(request, now)?;
        let id_hash = stable_hash(self.key_seed, admitted.id.as_bytes());
        let may_have_run = self.exchanges.left.contains(self.net.clock.unix_time(now), id_hash);
        if may_have_run || self.exchanges.pending_ids.contains(&admitted.id) {
            return Err(AdmissionError::Rejected(HttpError(400)));
        }
        if !self.net.message_memory().admits_request(self.net.memory.held(), request.memory_bytes()) {
            self.stats.record_refusal(RefusalReason::NoMemory);
            if admitted.route.is_none() {
                self.stats.record_outcome(&admitted.class_name, Outcome::Rejected);
            }
            return Err(AdmissionError::Refused { retry_after: Some(RETRY_AFTER), route: admitted.route });
        }
        let holders =
            self.holders(admitted.pool, admitted.route.as_deref(), self.callers.request_holder(listener));
        if let Err(why) = self.budgets.requests.check(&holders) {
            self.displace_silent_request(&holders, why);
        }
        match self.budgets.requests.reserve(&holders) {
            Ok(reservation) => Ok((admitted, reservation)),
            Err(_) => Err(AdmissionError::Refused { retry_after: Some(RETRY_AFTER), route: admitted.route }),
        }
    }

    /// Ends a request whose upstream is silent and whose unit of the request budgets these holders need.
    fn displace_silent_request(&mut self, holders: &[Option<HolderId>], why: Refusal) {
        let helps = |reservation: &Reservation| {
            holders.iter().flatten().any(|&holder| reservation.would_admit(holder, why))
        };
        self.displace_silent_transfer(|room| room.exchanges.frees_request(room.request, helps));
    }

    /// The identifier that the client gave a request.
    pub fn client_request_id(&self, request: RequestId) -> &str {
        self.exchanges.open.get(&request).map_or("", |x| &x.id)
    }

    /// Starts an admitted request, and its mirrored copy if its route asks for one.
    fn start_request(
        &mut self,
        admitted: Admitted,
        reservation: Reservation,
        caller: ConnId,
        listener: ListenerId,
        request: Request,
        now: Instant,
    ) -> RequestId {
        let bytes = request.memory_bytes();
        self.exchanges.pending_ids.insert(admitted.id.clone());
        let request = Rc::new(Counted::new(request, bytes, self.net.memory.charge(MemoryUse::Requests)));
        if let Some(shadow) = admitted.mirror {
            self.start_mirror_copy(shadow, &admitted, &request, now);
        }
        self.start_exchange(admitted, Some(caller), Some(listener), request, reservation, now)
    }

    /// Creates the exchange of a request or of a mirrored copy, and submits it to its pool.
    fn start_exchange(
        &mut self,
        admitted: Admitted,
        caller: Option<ConnId>,
        listener: Option<ListenerId>,
        request: Rc<Counted<Request>>,
        reservation: Reservation,
        now: Instant,
    ) -> RequestId {
        let micros = |d: Duration| Micros(d.as_micros() as i64);
        let expires = self.net.clock.unix_time(now) + micros(admitted.deadline);
        let number = self.exchanges.next_request_id();
        let pick_request = PickRequest {
            request: number,
            class: admitted.class,
            tenant: admitted.tenant,
            expires: self
                .shutdown
                .respond_by()
                .map_or(expires, |by| expires.min(self.net.clock.unix_time(by))),
            cost: admitted.cost.map(micros).filter(|c| c.0 > 0),
            repeat: admitted.repeat,
            key: admitted.order_key,
        };
        let exchange = Exchange {
            caller,
            id: admitted.id,
            pool: admitted.pool,
            pick_request,
            request: Some(request),
            attempts: 0,
            in_flight: 0,
            concluded: false,
            is_transferring: false,
            may_have_run: false,
            repeat_within: admitted.repeat_within,
            first_sent_at: None,
            repeat_deadline: None,
            fallback_pools: admitted.fallback_pools,
            pin: admitted.pin,
            pin_number: 0,
            reservation,
            listener,
            route: admitted.route,
            labels: admitted.labels,
            class_name: admitted.class_name,
            accepted_at: now,
            earlier_attempts: 0,
        };
        self.submit_to_pool(number, exchange, now);
        number
    }

    /// Submits a request to its pool: the pool's decision module gets it at its next run.
    fn submit_to_pool(&mut self, number: RequestId, mut exchange: Exchange, now: Instant) {
        exchange.pick_request.request = number;
        if let Some(pool) = self.pools.get_mut(exchange.pool) {
            pool.unfinished_requests += 1;
            pool.queue_input(ModuleInput::Pick(exchange.pick_request), now);
        }
        self.exchanges.open.insert(number, exchange);
    }

    /// Sends a mirrored copy to a shadow pool if the pool's budget for copies has room. The copy takes
    /// nothing from the limits of the original request.
    fn start_mirror_copy(
        &mut self,
        shadow: PoolId,
        original: &Admitted,
        request: &Rc<Counted<Request>>,
        now: Instant,
    ) {
        let Some(pool) = self.pools.get(shadow) else { return };
        let Ok(reservation) = self.budgets.copies.reserve(&[Some(pool.copies)]) else { return };
        let copy = Admitted {
            id: original.id.clone(),
            class: original.class,
            tenant: original.tenant,
            deadline: original.deadline,
            cost: original.cost,
            repeat: original.repeat,
            order_key: original.order_key,
            pool: shadow,
            fallback_pools: Vec::new(),
            route: None,
            pin: None,
            mirror: None,
            labels: None,
            class_name: original.class_name.clone(),
            repeat_within: original.repeat_within,
        };
        self.start_exchange(copy, None, None, request.clone(), reservation, now);
    }

    /// Abandons a request whose client has closed its connection.
    pub fn client_left(&mut self, request: RequestId) {
        if self.exchanges.conclude(request).is_some() {
            self.log_request(request, "gone", None, None, None);
            self.drop_unwritten_attempts(request);
            self.remember_if_unsafe(request);
            self.queue_report(request, Report::ClientLeft(request));
        }
    }

    /// Remembers the id of a request whose client has left, if it may have run and must not run again.
    fn remember_if_unsafe(&mut self, request: RequestId) {
        let Some(exchange) = self.exchanges.open.get(&request) else { return };
        let is_unsafe = exchange.repeat_within == Some(Duration::ZERO);
        if is_unsafe && (exchange.may_have_run || exchange.in_flight > 0) {
            let id_hash = stable_hash(self.key_seed, exchange.id.as_bytes());
            self.exchanges.left.insert(self.net.clock.unix_time(Instant::now()), id_hash);
        }
    }

    /// Drops the attempts of a concluded request that wait for their connection or are not written
    /// completely: nobody awaits their response. Attempts that are written completely are the module's: it
    /// cancels them only where the settings allow cancellation.
    fn drop_unwritten_attempts(&mut self, request: RequestId) {
        let attempts =
            self.exchanges.open.get(&request).filter(|x| x.in_flight > 0).map_or(0, |x| x.attempts);
        for attempt in 0..attempts {
            if let Some(ended) = self.upstreams.cancel_unwritten(&self.net, (request, attempt)) {
                self.attempt_ended(ended);
            }
        }
    }

    /// Checks with the kernel whether the client of a request has closed its connection, and ends the request
    /// if it has. After a long round, the event of the close may be queued behind others that the loop has
    /// not dispatched.
    pub fn end_if_client_left(&mut self, request: RequestId) -> bool {
        let waiting = self.exchanges.open.get(&request).filter(|x| !x.concluded);
        let Some(caller) = waiting.and_then(|x| x.caller) else { return false };
        self.close_if_hung_up(caller)
    }

    /// Whether an attempt may be written now: its response is awaited, the request has not expired, and the
    /// time within which its class allows a repeat has not ended.
    pub fn may_write(&self, attempt: Attempt) -> bool {
        let now = Instant::now();
        let open = self.exchanges.open.get(&attempt.0).filter(|x| !x.concluded);
        open.is_some_and(|x| {
            x.pick_request.expires > self.net.clock.unix_time(now)
                && x.repeat_deadline.is_none_or(|deadline| now < deadline)
        })
    }

    /// Withdraws the attempts that have not begun at an upstream that accepts no new ones; the module sends
    /// them elsewhere.
    pub fn withdraw_unbegun_attempts(&mut self, target: Target) {
        for attempt in self.upstreams.unwritten_attempts(target) {
            if let Some(ended) = self.upstreams.cancel_unwritten(&self.net, attempt) {
                self.attempt_ended(ended);
            }
        }
    }

    /// Queues a report for the module of a request's pool.
    pub fn queue_report(&mut self, request: RequestId, report: Report) {
        let pool = self.exchanges.open.get(&request).map(|x| x.pool);
        if let Some(pool) = pool.and_then(|id| self.pools.get_mut(id)) {
            pool.queue_report(report, Instant::now());
        }
    }

    /// Handles the end of an attempt. The first response that serves the request, or rejects it as faulty, is
    /// forwarded to the caller at once; the decision module handles everything else.
    pub fn attempt_ended(&mut self, ended: AttemptResult) {
        let (request, attempt) = ended.attempt;
        let Some(exchange) = self.exchanges.open.get_mut(&request) else { return };
        exchange.in_flight -= 1;
        let never_ran = matches!(ended.code, Code::Full | Code::ConnectFailed | Code::Moot);
        exchange.may_have_run |= !never_ran;
        if let Some(within) = exchange.repeat_within.filter(|_| !never_ran) {
            let deadline = Instant::now() + within;
            exchange.limit_repeats(deadline.checked_sub(ended.latency).unwrap_or(deadline));
        }
        let concluded = exchange.concluded;
        if let Some((key, _)) = exchange.pin.filter(|_| never_ran) {
            self.pins.attempt_never_ran(key, exchange.pin_number);
        }
        if let Some(target) = ended.target {
            self.record_attempt_result(target, ended.code, Instant::now());
        }
        let is_copy = self.exchanges.open.get(&request).is_some_and(|x| x.caller.is_none());
        let awaiting_caller = match (ended.code, &ended.answer) {
            (Code::Ok | Code::Rejected, Some(Answer::Begun(..))) => {
                self.exchanges.conclude_by_transfer(request)
            }
            (Code::Ok | Code::Rejected, _) => self.exchanges.conclude(request),
            _ => None,
        };
        let answered = concluded
            || awaiting_caller.is_some()
            || (is_copy && matches!(ended.code, Code::Ok | Code::Rejected));
        debug!(self.net.log, "ended"; "request" => request.0, "attempt" => attempt, "code" => ?ended.code,
            "upstream" => ended.target.map_or("", |t| self.upstream_name(t)),
            "ms" => ended.latency.as_secs_f64() * 1e3, "held_up_ms" => ended.local_delay.as_secs_f64() * 1e3);
        let upstream_in_flight = ended.answer.as_ref().and_then(|a| a.head().in_flight);
        let (code, latency, held_up) = (ended.code, ended.latency, ended.local_delay);
        let report = Report::Ended {
            request,
            attempt,
            code,
            latency,
            local_delay: held_up,
            upstream_in_flight,
            answered,
        };
        self.queue_report(request, report);
        if awaiting_caller.is_some() {
            self.drop_unwritten_attempts(request);
        }
        match (awaiting_caller, ended.answer) {
            (Some(caller), Some(Answer::Whole(response))) => {
                self.record_outcome(request, Outcome::Completed);
                let outcome = if code == Code::Ok { "served" } else { "rejected" };
                self.log_request(request, outcome, Some(response.head.status), ended.target, None);
                self.respond_to_caller(caller, FinalResponse::Forwarded(&response));
            }
            (Some(caller), Some(Answer::Begun(upstream, head))) => {
                self.begin_response(caller, request, upstream, &head)
            }
            (None, Some(Answer::Begun(upstream, _))) => self.drop_begun_response(upstream),
            (_, None) | (None, Some(Answer::Whole(_))) => {}
        }
    }

    /// When a request has to have its answer so that it reaches the client in the client's time.
    pub fn answer_due_at(&self, request: RequestId) -> Option<Instant> {
        let expires = self.exchanges.open.get(&request)?.pick_request.expires;
        self.net.clock.instant(expires).checked_sub(2 * self.net.limits.resolution)
    }

    /// Whether the caller of a request awaits a response, of which nothing has begun.
    pub fn is_response_awaited(&self, request: RequestId) -> bool {
        self.exchanges.open.get(&request).is_some_and(|x| !x.concluded && x.caller.is_some())
    }

    /// Counts the outcome of a request.
    fn record_outcome(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(exchange) = self.exchanges.open.get(&request) {
            self.stats.record_outcome(&exchange.class_name, outcome);
        }
    }

    /// Handles the end of a request whose response has passed through.
    pub fn transferred_request_ended(&mut self, request: RequestId, target: Target, end: TransferEnd) {
        let (outcome, counted) = match end {
            TransferEnd::Whole => ("served", Some(Outcome::Completed)),
            TransferEnd::UpstreamFailed(_) => ("failed", Some(Outcome::Failed)),
            TransferEnd::CallerLeft => ("gone", None),
        };
        counted.into_iter().for_each(|counted| self.record_outcome(request, counted));
        self.log_request(request, outcome, None, Some(target), None);
        if end == TransferEnd::CallerLeft {
            self.remember_if_unsafe(request);
        }
        self.exchanges.end_transfer(request);
        self.remove_if_finished(request);
    }

    /// When the next decision module has to run. A module with queued inputs, or whose own timer is due, runs
    /// at the next multiple of the resolution.
    pub fn next_module_run(&self) -> Option<Instant> {
        self.pools.iter().filter_map(|p| self.module_run_due(p.id)).min()
    }

    /// When the decision module of a pool has to run; `None`: nothing is queued, and it has no timer.
    fn module_run_due(&self, pool: PoolId) -> Option<Instant> {
        let pool = self.pools.get(pool)?;
        let due = pool.decisions.next_tick().map(|at| self.net.clock.instant(self.round_up(at)));
        let queued = pool
            .first_queued_at()
            .map(|at| self.net.clock.instant(self.round_up(self.net.clock.unix_time(at))));
        due.into_iter().chain(queued).min()
    }

    /// Rounds a time up to the next multiple of the resolution.
    fn round_up(&self, at: Micros) -> Micros {
        let step = self.net.limits.resolution.as_micros() as i64;
        if step == 0 {
            return at;
        }
        Micros((at.0 + step - 1).div_euclid(step) * step)
    }

    /// Runs each decision module that is due: passes it the queued inputs, then the current time, and carries
    /// out its decisions.
    pub fn run_due_modules(&mut self, at: Instant) {
        for pool in self.pools.ids() {
            if self.module_run_due(pool).is_some_and(|due| due <= at) {
                self.run_module(pool, at);
            }
        }
    }

    /// Runs the decision module of one pool.
    fn run_module(&mut self, id: PoolId, at: Instant) {
        let now = self.net.clock.unix_time(at);
        let Some(pool) = self.pools.get_mut(id) else { return };
        for input in pool.take_queued() {
            let ended = match &input {
                ModuleInput::Report(Report::Ended { request, .. } | Report::ClientLeft(request)) => {
                    Some(*request)
                }
                _ => None,
            };
            let decisions = match input {
                ModuleInput::Pick(pick_request) => {
                    self.pools.get_mut(id).map_or(Vec::new(), |p| p.decisions.pick(now, pick_request))
                }
                ModuleInput::Report(report) => self.apply_report(id, now, report),
            };
            self.apply_decisions(id, decisions);
            if let Some(request) = ended {
                self.remove_if_finished(request);
            }
        }
        // The time comes last, as in the simulator: inputs received by now may have made room for waiting
        // requests.
        let tick = self.pools.get_mut(id).map_or(Vec::new(), |p| p.decisions.tick(now));
        self.apply_decisions(id, tick);
        self.log_list_freshness(id, now);
    }

    /// Removes a request that is concluded and has no attempt in flight.
    fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .exchanges
            .open
            .get(&request)
            .is_some_and(|x| x.concluded && x.in_flight == 0 && !x.is_transferring)
        {
            if let Some(exchange) = self.exchanges.open.remove(&request) {
                self.pool_request_finished(exchange.pool);
            }
        }
    }

    /// Carries out the decisions of a pool's module.
    fn apply_decisions(&mut self, pool: PoolId, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    self.send_request(request, Target { pool, server: upstream }, timeout);
                }
                Decision::Wait(_) => {}
                Decision::Refuse { request, retry_after } => {
                    self.try_next_pool_or_refuse(request, retry_after)
                }
                Decision::Fail(request) => self.conclude_with(request, FinalResponse::Failed),
                Decision::Cancel { request, attempt } => self.cancel_attempt((request, attempt)),
                Decision::Commit { request, attempt } => self.commit_response((request, attempt)),
                Decision::Watch => self.start_watch(pool),
                Decision::Log(text) => info!(self.net.log, "{}", text),
            }
        }
    }

    /// Cancels an attempt.
    fn cancel_attempt(&mut self, attempt: Attempt) {
        if let Some(ended) = self.upstreams.cancel(&self.net, attempt) {
            self.attempt_ended(ended);
        }
    }

    /// Starts an attempt of a request at an upstream, after the pin of its key, if it has one, is recorded.
    fn send_request(&mut self, request: RequestId, to: Target, timeout: Duration) {
        let Some(exchange) = self.exchanges.open.get_mut(&request) else { return };
        let attempt = (request, exchange.attempts);
        exchange.limit_hedge(Instant::now());
        (exchange.attempts, exchange.in_flight) = (exchange.attempts + 1, exchange.in_flight + 1);
        let zero = Duration::ZERO;
        let unsent = |code| AttemptResult {
            attempt,
            target: None,
            code,
            latency: zero,
            local_delay: zero,
            answer: None,
        };
        let Some(message) = exchange.request.clone().filter(|_| !exchange.concluded) else {
            return self.attempt_ended_unpinned(unsent(Code::Moot));
        };
        let (pin, at_most_once) = (exchange.pin, exchange.repeat_within == Some(Duration::ZERO));
        if let Some((key, window)) = pin {
            let now = self.net.clock.unix_time(Instant::now());
            let has_several_pools =
                exchange.route.as_ref().is_some_and(|r| r.route.pools.has_several_pools());
            let pinned = self.pins.record_attempt(now, key, to.pool, now + window);
            if let (Ok(number), Some(exchange)) = (pinned, self.exchanges.open.get_mut(&request)) {
                exchange.pin_number = number;
            }
            if let Err(error) = pinned {
                // Without a pin, a request whose key could go to another pool must not be sent.
                if has_several_pools || error == PinError::OtherPool {
                    return self.attempt_ended_unpinned(unsent(Code::ConnectFailed));
                }
                if let Some(exchange) = self.exchanges.open.get_mut(&request) {
                    exchange.pin = None;
                }
            }
        }
        self.send_attempt(attempt, to, &message, timeout, at_most_once);
    }

    /// Handles the end of an attempt that was not sent and is not recorded in the pins.
    fn attempt_ended_unpinned(&mut self, ended: AttemptResult) {
        let request = ended.attempt.0;
        let pin = self.exchanges.open.get_mut(&request).and_then(|x| x.pin.take());
        self.attempt_ended(ended);
        if let Some(exchange) = self.exchanges.open.get_mut(&request) {
            exchange.pin = pin;
        }
    }

    /// Handles a request that the module of its pool refuses. If the route names further pools, no attempt
    /// can have run (so that the class's repeat rules are kept), and the request has not expired, the next
    /// pool gets it; each pool at most once. Otherwise the request is refused.
    fn try_next_pool_or_refuse(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let now = Instant::now();
        let at = self.net.clock.unix_time(now);
        let Some(exchange) = self.exchanges.open.get_mut(&request).filter(|x| !x.concluded) else { return };
        let may_move =
            exchange.in_flight == 0 && !exchange.may_have_run && exchange.pick_request.expires > at;
        while let Some(next) =
            (!exchange.fallback_pools.is_empty() && may_move).then(|| exchange.fallback_pools.remove(0))
        {
            let serves = self.pools.get(next).is_some_and(|p| p.can_serve());
            let pinned_elsewhere = exchange
                .pin
                .and_then(|(key, _)| self.pins.get(at, key))
                .is_some_and(|(pool, _)| pool != next);
            if !serves || pinned_elsewhere {
                continue;
            }
            let listener_holder = exchange.listener.and_then(|l| self.callers.request_holder(l));
            let pool_holder = self.pools.get(next).map(|p| p.requests);
            let holders = [pool_holder, exchange.route.as_ref().map(|r| r.holder), listener_holder];
            let Ok(reservation) = self.budgets.requests.reserve(&holders) else { continue };
            let Some(mut exchange) = self.exchanges.open.remove(&request) else { return };
            self.pool_request_finished(exchange.pool);
            exchange.reservation = reservation;
            let (number, caller) = (self.exchanges.next_request_id(), exchange.caller);
            exchange.pool = next;
            (exchange.earlier_attempts, exchange.attempts) =
                (exchange.earlier_attempts + exchange.attempts, 0);
            debug!(self.net.log, "a refused request moves to the next pool of its route";
                "request" => number.0, "pool" => self.pool_name(next));
            if let Some(caller) = caller {
                self.callers.set_awaited_request(caller, number);
            }
            return self.submit_to_pool(number, exchange, now);
        }
        self.conclude_with(request, FinalResponse::Refused { retry_after });
    }

    /// Gives a request the final response that its module has decided on, if the request has had none.
    fn conclude_with(&mut self, request: RequestId, response: FinalResponse<'_>) {
        let Some(exchange) = self.exchanges.open.get(&request).filter(|x| !x.concluded) else { return };
        let (is_copy, class) = (exchange.caller.is_none(), exchange.class_name.clone());
        let caller = self.exchanges.conclude(request);
        if !is_copy {
            let reason =
                self.refusal_reason(request).filter(|_| !matches!(response, FinalResponse::Forwarded(_)));
            reason.into_iter().for_each(|r| self.stats.record_refusal(r));
            let counted = match &response {
                FinalResponse::Forwarded(_) => Outcome::Completed,
                FinalResponse::Refused { .. } => Outcome::Rejected,
                FinalResponse::Failed => Outcome::Failed,
            };
            self.stats.record_outcome(&class, counted);
            let (outcome, status) = match &response {
                FinalResponse::Forwarded(upstream) => ("served", upstream.head.status),
                FinalResponse::Refused { .. } => ("refused", 503),
                FinalResponse::Failed => ("failed", 502),
            };
            self.log_request(request, outcome, Some(status), None, reason);
        }
        self.drop_unwritten_attempts(request);
        self.remove_if_finished(request);
        if let Some(caller) = caller {
            self.respond_to_caller(caller, response);
        }
    }

    /// The reason for which a request that gets no response now is refused or fails.
    fn refusal_reason(&self, request: RequestId) -> Option<RefusalReason> {
        let exchange = self.exchanges.open.get(&request)?;
        let now = self.net.clock.unix_time(Instant::now());
        let list_report = self.pools.get(exchange.pool).and_then(|p| p.decisions.list_report(now));
        Some(match list_report {
            _ if exchange.attempts + exchange.earlier_attempts > 0 => RefusalReason::AttemptsFailed,
            Some(report) if report.freshness == ListFreshness::Stale => RefusalReason::StaleList,
            _ => RefusalReason::NoRoom,
        })
    }

    /// Whether a request with this outcome gets a log line.
    fn is_outcome_logged(&self, outcome: &str) -> bool {
        match self.log_requests {
            LogRequests::None => false,
            LogRequests::Failed => outcome != "served",
            LogRequests::All => true,
        }
    }

    /// Logs a request that was not admitted.
    fn log_not_admitted(&self, listener: ListenerId, request: &Request, error: &AdmissionError) {
        let (outcome, status, route) = match error {
            AdmissionError::Rejected(rejection) => ("rejected", rejection.0, None),
            AdmissionError::Refused { route, .. } => ("refused", 503, route.as_ref().map(|r| &r.route)),
        };
        if self.is_outcome_logged(outcome) {
            let class = route.and_then(|r| self.active_config.as_ref().map(|v| v.class(r.class)));
            info!(self.net.log, "request"; "id" => request.id.as_deref().unwrap_or(""),
                "listener" => self.callers.listener_name(listener),
                "route" => route.map_or("", |r| &r.name), "class" => class.unwrap_or(""), "tenant" => "",
                "pool" => "", "upstream" => "", "outcome" => outcome, "status" => status,
                "attempts" => 0, "ms" => 0.0);
        }
    }

    /// Logs the outcome of a request if the settings ask for it.
    fn log_request(
        &self,
        request: RequestId,
        outcome: &str,
        status: Option<u16>,
        upstream: Option<Target>,
        reason: Option<RefusalReason>,
    ) {
        let Some(exchange) = self.exchanges.open.get(&request).filter(|_| self.is_outcome_logged(outcome))
        else {
            return;
        };
        let labels = exchange.labels.as_ref();
        info!(self.net.log, "request"; "id" => &exchange.id,
            "listener" => exchange.listener.map_or("", |l| self.callers.listener_name(l)),
            "route" => exchange.route.as_ref().map_or("", |r| &r.route.name),
            "class" => labels.map_or("", |l| &l.class),
            "tenant" => labels.and_then(|l| l.tenant.as_deref()).unwrap_or(""),
            "pool" => self.pool_name(exchange.pool),
            "upstream" => upstream.map_or("", |t| self.upstream_name(t)),
            "outcome" => outcome, "status" => status.unwrap_or(0),
            "reason" => reason.map_or("", RefusalReason::name),
            "attempts" => exchange.attempts + exchange.earlier_attempts,
            "ms" => exchange.accepted_at.elapsed().as_secs_f64() * 1e3);
    }
}
