//! The life of a request: taken from a caller, decided on by the module, tried, and answered once.

use crate::admission::{Admitted, Labels, RouteInForce, Unfit, RETURN_AFTER};
use crate::callers::ListenerId;
use crate::http::{Answer, Bad, Request};
use crate::pools::{Pool, PoolId};
use crate::reasons::RefusalReason;
use crate::reservation::Reservation;
use crate::stats::Outcome;
use crate::upstreams::{Attempt, AttemptResult, Target};
use crate::{ConnId, Proxy};
use garnettally_config::file::format::LogRequests;
use garnettally_decisions::facade::{Code, Decision, ListFreshness, Micros, PickRequest, Report, RequestId};
use rustc_hash::{FxHashMap, FxHashSet};
use slog::{debug, info};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The one answer that every request gets.
pub enum Final<'a> {
    /// An upstream's: served, or turned away for what it is.
    Passed(&'a Answer),
    /// Trying again is harmless.
    Refused { retry_after: Option<Duration> },
    /// Nothing is promised.
    Failed,
}

/// One request that has been taken, in one pool. If it goes on to another pool, it gets a new number there.
struct Exchange {
    /// Who waits for its answer; `None`: nobody, it is a copy.
    caller: Option<ConnId>,
    id: String,
    pool: PoolId,
    /// What the module is asked.
    ask: PickRequest,
    request: Rc<Request>,
    /// Attempts so far, and those of them that are out.
    sends: u32,
    out: u32,
    /// It has had its answer, or its client is gone.
    over: bool,
    /// An attempt has, or may have, run.
    may_have_run: bool,
    /// Once one may have run, for how long after it was sent another may be (unsafe classes: not at all), and when
    /// that ends. `None`: for ever.
    repeat_within: Option<Duration>,
    repeat_by: Option<Instant>,
    /// Where it may go if this pool refuses it and nothing can have run.
    others: Vec<PoolId>,
    pin: Option<(u64, Micros)>,
    pin_number: u64,
    /// Its place in the limits.
    lease: Reservation,
    listener: Option<ListenerId>,
    route: Option<Rc<RouteInForce>>,
    labels: Option<Labels>,
    class_name: Rc<str>,
    taken: Instant,
    /// Attempts in the pools before.
    sends_before: u32,
}

/// What the module is to hear of at its next turn.
pub enum News {
    Asked(PickRequest),
    Known(Report),
}

/// The requests.
#[derive(Default)]
pub struct Exchanges {
    open: FxHashMap<RequestId, Exchange>,
    /// The ids of those that wait for their answer.
    ids: FxHashSet<String>,
    next: u64,
}

impl Exchanges {
    /// Whether a request still waits for its answer.
    pub fn owes(&self) -> bool {
        !self.ids.is_empty()
    }

    /// Requests taken whose answer is still owed.
    pub fn pending(&self) -> usize {
        self.ids.len()
    }

    fn number(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next)
    }

    /// The caller who waits for this request's answer, which is due or needed no more; `None`: nobody does.
    fn conclude(&mut self, number: RequestId) -> Option<ConnId> {
        let x = self.open.get_mut(&number).filter(|x| !x.over)?;
        x.over = true;
        if x.caller.is_some() {
            self.ids.remove(&x.id);
        }
        x.caller
    }
}

impl Proxy {
    /// Whether a request could be served.
    pub fn ready(&self) -> bool {
        let now = self.net.clock.at(Instant::now());
        let is_ready = |p: &Pool| p.was_ready && !p.is_retired && p.is_started(now);
        self.pools.iter().any(is_ready) && !self.shutdown.is_closing() && !self.admin.draining()
    }

    /// Takes a request, or says why it can't be taken.
    pub fn take_request(
        &mut self,
        caller: ConnId,
        listener: ListenerId,
        mut request: Request,
    ) -> Result<RequestId, Unfit> {
        let now = Instant::now();
        match self.place(listener, &mut request, now) {
            Ok((a, lease)) => Ok(self.enter(a, lease, caller, listener, request, now)),
            Err(unfit) => {
                if let Unfit::Refused { route: Some(r), .. } = &unfit {
                    if let Some(class) = self.version.as_ref().map(|v| v.class(r.route.class).to_string()) {
                        self.stats.ended(&class, Outcome::Rejected);
                    }
                }
                self.log_unfit(listener, &request, &unfit);
                Err(unfit)
            }
        }
    }

    /// Where a request goes, and its place in the limits.
    fn place(
        &mut self,
        listener: ListenerId,
        request: &mut Request,
        now: Instant,
    ) -> Result<(Admitted, Reservation), Unfit> {
        let a = self.admit(request, now)?;
        if self.exchanges.ids.contains(&a.id) {
            return Err(Unfit::Bad(Bad(400)));
        }
        let holders = self.holders(a.pool, a.route.as_deref(), self.callers.request_holder(listener));
        match self.budgets.requests.reserve(&holders) {
            Ok(lease) => Ok((a, lease)),
            Err(_) => Err(Unfit::Refused { retry_after: Some(RETURN_AFTER), route: a.route }),
        }
    }

    fn enter(
        &mut self,
        a: Admitted,
        lease: Reservation,
        caller: ConnId,
        listener: ListenerId,
        request: Request,
        now: Instant,
    ) -> RequestId {
        self.exchanges.ids.insert(a.id.clone());
        let request = Rc::new(request);
        if let Some(shadow) = a.mirror {
            self.mirror(shadow, &a, &request, now);
        }
        self.begin(a, Some(caller), Some(listener), request, lease, now)
    }

    fn begin(
        &mut self,
        a: Admitted,
        caller: Option<ConnId>,
        listener: Option<ListenerId>,
        request: Rc<Request>,
        lease: Reservation,
        now: Instant,
    ) -> RequestId {
        let micros = |d: Duration| Micros(d.as_micros() as i64);
        let expires = self.net.clock.at(now) + micros(a.deadline);
        let number = self.exchanges.number();
        let ask = PickRequest {
            request: number,
            class: a.class,
            tenant: a.tenant,
            expires: self.shutdown.respond_by().map_or(expires, |by| expires.min(self.net.clock.at(by))),
            cost: a.cost.map(micros).filter(|c| c.0 > 0),
            repeat: a.repeat,
            key: a.subject,
        };
        let exchange = Exchange {
            caller,
            id: a.id,
            pool: a.pool,
            ask,
            request,
            sends: 0,
            out: 0,
            over: false,
            may_have_run: false,
            repeat_within: a.repeat_within,
            repeat_by: None,
            others: a.others,
            pin: a.pin,
            pin_number: 0,
            lease,
            listener,
            route: a.route,
            labels: a.labels,
            class_name: a.class_name,
            taken: now,
            sends_before: 0,
        };
        self.enter_pool(number, exchange, now);
        number
    }

    /// Has a pool's module asked about a request.
    fn enter_pool(&mut self, number: RequestId, mut exchange: Exchange, now: Instant) {
        exchange.ask.request = number;
        if let Some(pool) = self.pools.get_mut(exchange.pool) {
            pool.unfinished_requests += 1;
            pool.queue_input(News::Asked(exchange.ask), now);
        }
        self.exchanges.open.insert(number, exchange);
    }

    /// Sends a copy to a shadow pool, if there is room: it takes no part in the limits of what it copies.
    fn mirror(&mut self, shadow: PoolId, a: &Admitted, request: &Rc<Request>, now: Instant) {
        let Some(pool) = self.pools.get(shadow) else { return };
        let Ok(lease) = self.budgets.copies.reserve(&[Some(pool.copies)]) else { return };
        let copy = Admitted {
            id: a.id.clone(),
            class: a.class,
            tenant: a.tenant,
            deadline: a.deadline,
            cost: a.cost,
            repeat: a.repeat,
            subject: a.subject,
            pool: shadow,
            others: Vec::new(),
            route: None,
            pin: None,
            mirror: None,
            labels: None,
            class_name: a.class_name.clone(),
            repeat_within: a.repeat_within,
        };
        self.begin(copy, None, None, request.clone(), lease, now);
    }

    /// The client has closed its connection.
    pub fn client_gone(&mut self, request: RequestId) {
        if self.exchanges.conclude(request).is_some() {
            self.log_request(request, "gone", None, None, None);
            self.drop_unwritten(request);
            self.queue_for(request, Report::ClientLeft(request));
        }
    }

    /// A request is over: what waits for its connection, or is not written whole, goes out for nobody. The module
    /// calls it off only where the settings allow that, and that is about what is out.
    fn drop_unwritten(&mut self, request: RequestId) {
        let sends = self.exchanges.open.get(&request).filter(|x| x.out > 0).map_or(0, |x| x.sends);
        for attempt in 0..sends {
            if let Some(ended) = self.upstreams.cancel_unwritten(&self.net, (request, attempt)) {
                self.attempt_ended(ended);
            }
        }
    }

    /// Asks the kernel whether the client of a request has closed its connection, and ends the request if it has. After a
    /// long turn, the close may lie behind other events that the loop has still to hand out.
    pub fn end_if_client_left(&mut self, request: RequestId) -> bool {
        let waiting = self.exchanges.open.get(&request).filter(|x| !x.over);
        let Some(caller) = waiting.and_then(|x| x.caller) else { return false };
        self.end_if_hung_up(caller)
    }

    /// Whether an attempt may be written now: somebody waits for its answer, there is time, and the time in which its
    /// class lets it be repeated has not ended.
    pub fn may_write(&self, attempt: Attempt) -> bool {
        let now = Instant::now();
        let open = self.exchanges.open.get(&attempt.0).filter(|x| !x.over);
        open.is_some_and(|x| x.ask.expires > self.net.clock.at(now) && x.repeat_by.is_none_or(|by| now < by))
    }

    /// An upstream takes nothing new any more: what has not begun there goes elsewhere.
    pub fn leave_upstream(&mut self, target: Target) {
        for attempt in self.upstreams.unwritten_attempts(target) {
            if let Some(ended) = self.upstreams.cancel_unwritten(&self.net, attempt) {
                self.attempt_ended(ended);
            }
        }
    }

    fn queue_for(&mut self, request: RequestId, report: Report) {
        let pool = self.exchanges.open.get(&request).map(|x| x.pool);
        if let Some(pool) = pool.and_then(|id| self.pools.get_mut(id)) {
            pool.queue_report(report, Instant::now());
        }
    }

    /// An attempt has ended: the first one served is the answer, at once, and so is the word that the request
    /// itself is at fault. The rest is for the module.
    pub fn attempt_ended(&mut self, ended: AttemptResult) {
        let (request, attempt) = ended.attempt;
        let Some(x) = self.exchanges.open.get_mut(&request) else { return };
        x.out -= 1;
        let never_ran = matches!(ended.code, Code::Full | Code::ConnectFailed | Code::Moot);
        x.may_have_run |= !never_ran;
        if let Some(within) = x.repeat_within.filter(|_| !never_ran) {
            let by = Instant::now() + within;
            let by = by.checked_sub(ended.latency).unwrap_or(by);
            x.repeat_by = Some(x.repeat_by.map_or(by, |before| before.min(by)));
        }
        let over = x.over;
        if let Some((key, _)) = x.pin.filter(|_| never_ran) {
            self.pins.attempt_never_ran(key, x.pin_number);
        }
        if let Some(target) = ended.target {
            self.record_attempt_result(target, ended.code, Instant::now());
        }
        let copy = self.exchanges.open.get(&request).is_some_and(|x| x.caller.is_none());
        let passed = match ended.code {
            Code::Ok | Code::Rejected => self.exchanges.conclude(request),
            _ => None,
        };
        let answered = over || passed.is_some() || (copy && matches!(ended.code, Code::Ok | Code::Rejected));
        debug!(self.net.log, "ended"; "request" => request.0, "attempt" => attempt, "code" => ?ended.code,
            "upstream" => ended.target.map_or("", |t| self.upstream_name(t)),
            "ms" => ended.latency.as_secs_f64() * 1e3, "held_up_ms" => ended.local_delay.as_secs_f64() * 1e3);
        let held = ended.answer.as_ref().and_then(|a| a.held);
        let (code, latency, held_up) = (ended.code, ended.latency, ended.local_delay);
        let report = Report::Ended {
            request,
            attempt,
            code,
            latency,
            local_delay: held_up,
            upstream_in_flight: held,
            answered,
        };
        self.queue_for(request, report);
        if passed.is_some() {
            self.drop_unwritten(request);
        }
        if let (Some(caller), Some(answer)) = (passed, ended.answer) {
            if let Some(x) = self.exchanges.open.get(&request) {
                self.stats.ended(&x.class_name, Outcome::Completed);
            }
            let outcome = if code == Code::Ok { "served" } else { "rejected" };
            self.log_request(request, outcome, Some(answer.status), ended.target, None);
            self.answer_caller(caller, Final::Passed(&answer));
        }
    }

    /// When a module is to be asked next: once in the resolution, if there is anything to tell it.
    pub fn next_consultation(&self) -> Option<Instant> {
        self.pools.iter().filter_map(|p| self.consultation(p.id)).min()
    }

    fn consultation(&self, pool: PoolId) -> Option<Instant> {
        let pool = self.pools.get(pool)?;
        let due = pool.decisions.next_tick().map(|at| self.net.clock.instant(self.round_up(at)));
        let news =
            pool.first_queued_at().map(|at| self.net.clock.instant(self.round_up(self.net.clock.at(at))));
        due.into_iter().chain(news).min()
    }

    fn round_up(&self, at: Micros) -> Micros {
        let step = self.net.limits.resolution.as_micros() as i64;
        if step == 0 {
            return at;
        }
        Micros((at.0 + step - 1).div_euclid(step) * step)
    }

    /// Tells each module what has come in, then lets time pass there, and does what it decides.
    pub fn consult(&mut self, at: Instant) {
        for pool in self.pools.ids() {
            if self.consultation(pool).is_some_and(|due| due <= at) {
                self.consult_pool(pool, at);
            }
        }
    }

    fn consult_pool(&mut self, id: PoolId, at: Instant) {
        let now = self.net.clock.at(at);
        let Some(pool) = self.pools.get_mut(id) else { return };
        for news in pool.take_queued() {
            let ended = match &news {
                News::Known(Report::Ended { request, .. } | Report::ClientLeft(request)) => Some(*request),
                _ => None,
            };
            let decisions = match news {
                News::Asked(ask) => self.pools.get_mut(id).map_or(Vec::new(), |p| p.decisions.pick(now, ask)),
                News::Known(report) => self.apply_report(id, now, report),
            };
            self.carry_out(id, decisions);
            if let Some(request) = ended {
                self.forget(request);
            }
        }
        // Time last, as in the simulator: what came in by now may have made room for what waits.
        let tick = self.pools.get_mut(id).map_or(Vec::new(), |p| p.decisions.tick(now));
        self.carry_out(id, tick);
        self.log_list_freshness(id, now);
    }

    fn forget(&mut self, request: RequestId) {
        if self.exchanges.open.get(&request).is_some_and(|x| x.over && x.out == 0) {
            if let Some(x) = self.exchanges.open.remove(&request) {
                self.pool_request_finished(x.pool);
            }
        }
    }

    fn carry_out(&mut self, pool: PoolId, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    self.send(request, Target { pool, server: upstream }, timeout);
                }
                Decision::Wait(_) => {}
                Decision::Refuse { request, retry_after } => self.refused(request, retry_after),
                Decision::Fail(request) => self.finish(request, Final::Failed),
                Decision::Cancel { request, attempt } => {
                    if let Some(ended) = self.upstreams.cancel(&self.net, (request, attempt)) {
                        self.attempt_ended(ended);
                    }
                }
                Decision::Watch => self.start_watch(pool),
                Decision::Log(text) => info!(self.net.log, "{}", text),
            }
        }
    }

    fn send(&mut self, request: RequestId, to: Target, timeout: Duration) {
        let Some(x) = self.exchanges.open.get_mut(&request) else { return };
        let attempt = (request, x.sends);
        (x.sends, x.out) = (x.sends + 1, x.out + 1);
        let zero = Duration::ZERO;
        let unsent = |code| AttemptResult {
            attempt,
            target: None,
            code,
            latency: zero,
            local_delay: zero,
            answer: None,
        };
        if x.over {
            return self.attempt_ended_unpinned(unsent(Code::Moot));
        }
        let (asked, pin, once) = (x.request.clone(), x.pin, x.repeat_within == Some(Duration::ZERO));
        if let Some((key, window)) = pin {
            let now = self.net.clock.at(Instant::now());
            let several = x.route.as_ref().is_some_and(|r| r.route.pools.has_several());
            let pinned = self.pins.record_attempt(now, key, to.pool, now + window);
            if let (Ok(number), Some(x)) = (pinned, self.exchanges.open.get_mut(&request)) {
                x.pin_number = number;
            }
            if pinned.is_err() {
                // No place to remember it by: where the key could go elsewhere it must not be sent.
                if several {
                    return self.attempt_ended_unpinned(unsent(Code::ConnectFailed));
                }
                if let Some(x) = self.exchanges.open.get_mut(&request) {
                    x.pin = None;
                }
            }
        }
        self.send_attempt(attempt, to, &asked, timeout, once);
    }

    /// An attempt that the pins know nothing of has ended unsent.
    fn attempt_ended_unpinned(&mut self, ended: AttemptResult) {
        let request = ended.attempt.0;
        let pin = self.exchanges.open.get_mut(&request).and_then(|x| x.pin.take());
        self.attempt_ended(ended);
        if let Some(x) = self.exchanges.open.get_mut(&request) {
            x.pin = pin;
        }
    }

    /// The module of one pool refuses a request. Where its route names other pools, its class's rules are kept, as
    /// nothing can have run, and there is time, the next one is asked; each pool once.
    fn refused(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let now = Instant::now();
        let at = self.net.clock.at(now);
        let Some(x) = self.exchanges.open.get_mut(&request).filter(|x| !x.over) else { return };
        let free = x.out == 0 && !x.may_have_run && x.ask.expires > at;
        while let Some(next) = (!x.others.is_empty() && free).then(|| x.others.remove(0)) {
            let serves = self.pools.get(next).is_some_and(|p| p.can_serve());
            let bound =
                x.pin.and_then(|(key, _)| self.pins.get(at, key)).is_some_and(|(pool, _)| pool != next);
            if !serves || bound {
                continue;
            }
            let of_listener = x.listener.and_then(|l| self.callers.request_holder(l));
            let of_pool = self.pools.get(next).map(|p| p.requests);
            let holders = [of_pool, x.route.as_ref().map(|r| r.holder), of_listener];
            let Ok(lease) = self.budgets.requests.reserve(&holders) else { continue };
            let Some(mut x) = self.exchanges.open.remove(&request) else { return };
            self.pool_request_finished(x.pool);
            x.lease = lease;
            let (number, caller) = (self.exchanges.number(), x.caller);
            x.pool = next;
            (x.sends_before, x.sends) = (x.sends_before + x.sends, 0);
            debug!(self.net.log, "the next pool is asked"; "request" => number.0, "pool" => self.pool_name(next));
            if let Some(caller) = caller {
                self.callers.waits_for(caller, number);
            }
            return self.enter_pool(number, x, now);
        }
        self.finish(request, Final::Refused { retry_after });
    }

    /// The module's final answer, if the request has had none.
    fn finish(&mut self, request: RequestId, answer: Final<'_>) {
        let Some(x) = self.exchanges.open.get(&request).filter(|x| !x.over) else { return };
        let (copy, class) = (x.caller.is_none(), x.class_name.clone());
        let caller = self.exchanges.conclude(request);
        if !copy {
            let reason = self.refusal_reason(request).filter(|_| !matches!(answer, Final::Passed(_)));
            reason.into_iter().for_each(|r| self.stats.refused(r));
            let counted = match &answer {
                Final::Passed(_) => Outcome::Completed,
                Final::Refused { .. } => Outcome::Rejected,
                Final::Failed => Outcome::Failed,
            };
            self.stats.ended(&class, counted);
            let (outcome, status) = match &answer {
                Final::Passed(a) => ("served", a.status),
                Final::Refused { .. } => ("refused", 503),
                Final::Failed => ("failed", 502),
            };
            self.log_request(request, outcome, Some(status), None, reason);
        }
        self.drop_unwritten(request);
        self.forget(request);
        if let Some(caller) = caller {
            self.answer_caller(caller, answer);
        }
    }

    /// Why a request is refused or failed now.
    fn refusal_reason(&self, request: RequestId) -> Option<RefusalReason> {
        let x = self.exchanges.open.get(&request)?;
        let now = self.net.clock.at(Instant::now());
        let standing = self.pools.get(x.pool).and_then(|p| p.decisions.list_standing(now));
        Some(match standing {
            _ if x.sends + x.sends_before > 0 => RefusalReason::AttemptsFailed,
            Some(s) if s.freshness == ListFreshness::Stale => RefusalReason::StaleList,
            _ => RefusalReason::NoRoom,
        })
    }

    fn wants_line(&self, outcome: &str) -> bool {
        match self.log_requests {
            LogRequests::None => false,
            LogRequests::Failed => outcome != "served",
            LogRequests::All => true,
        }
    }

    /// Writes the line of a request that could not be taken.
    fn log_unfit(&self, listener: ListenerId, request: &Request, unfit: &Unfit) {
        let (outcome, status, route) = match unfit {
            Unfit::Bad(bad) => ("rejected", bad.0, None),
            Unfit::Refused { route, .. } => ("refused", 503, route.as_ref().map(|r| &r.route)),
        };
        if self.wants_line(outcome) {
            let class = route.and_then(|r| self.version.as_ref().map(|v| v.class(r.class)));
            info!(self.net.log, "request"; "id" => request.id.as_deref().unwrap_or(""),
                "listener" => self.callers.listener_name(listener),
                "route" => route.map_or("", |r| &r.name), "class" => class.unwrap_or(""), "tenant" => "",
                "pool" => "", "upstream" => "", "outcome" => outcome, "status" => status,
                "attempts" => 0, "ms" => 0.0);
        }
    }

    /// Writes a request's line, if it is to get one.
    fn log_request(
        &self,
        request: RequestId,
        outcome: &str,
        status: Option<u16>,
        upstream: Option<Target>,
        reason: Option<RefusalReason>,
    ) {
        let Some(x) = self.exchanges.open.get(&request).filter(|_| self.wants_line(outcome)) else { return };
        let labels = x.labels.as_ref();
        info!(self.net.log, "request"; "id" => &x.id,
            "listener" => x.listener.map_or("", |l| self.callers.listener_name(l)),
            "route" => x.route.as_ref().map_or("", |r| &r.route.name),
            "class" => labels.map_or("", |l| &l.class),
            "tenant" => labels.and_then(|l| l.tenant.as_deref()).unwrap_or(""),
            "pool" => self.pool_name(x.pool),
            "upstream" => upstream.map_or("", |t| self.upstream_name(t)),
            "outcome" => outcome, "status" => status.unwrap_or(0),
            "reason" => reason.map_or("", RefusalReason::name),
            "attempts" => x.sends + x.sends_before,
            "ms" => x.taken.elapsed().as_secs_f64() * 1e3);
    }
}
