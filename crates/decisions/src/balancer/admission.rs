//! Admission: whether a request is sent, waits or is refused, and its single final answer.

use super::*;

/// The number of requests that a tenant can always save up, however small its quota is.
pub(super) const MIN_QUOTA_REQUESTS: f64 = 2.0;
/// A request is expected to be in time if at least this multiple of its expected time is left: of
/// exponentially distributed times, 4 in 5 are shorter.
pub(super) const IN_TIME_FACTOR: f64 = 1.5;
/// The share of its aim that a request may wait here; the rest is left for serving it.
const MAX_WAIT_AIM_SHARE: f64 = 0.5;

impl Balancer {
    /// Takes in a new request and decides on it.
    pub(super) fn admit(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.0 as usize;
        if class >= self.mean_times.len() {
            return actions.push(Action::Fail { id: new.id });
        }
        let over_quota = match new.tenant.and_then(|t| self.quota_tokens.get_mut(t.0 as usize)) {
            Some(tokens) => std::mem::replace(tokens, (*tokens - 1.0).max(-1.0)) < 1.0,
            None => false,
        };
        let max_tokens = MIN_RETRY_TOKENS.max(RETRY_RATIO * RETRY_SAVED_PERIODS * self.stats.nr);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(max_tokens);
        // If a repeat is given less time than a try is usually given, its time-out is cut short by the end of
        // the client's total time. This tells when the first try was sent, from which the aim counts.
        let (left, longest_try) = (new.expires - self.now, self.longest_tries[class]);
        self.longest_tries[class] = longest_try.max(left);
        let is_cut_short = new.repeat && left + PERIOD < longest_try;
        let age = if is_cut_short { self.settings.classes[class].deadline - left } else { Micros(0) };
        let no_tenant = self.failure_shares.len() - 1;
        let hint = new.hint.filter(|h| h.0 > 0).map(|h| h.0 as f64);
        let request = Request {
            class,
            tenant_index: new
                .tenant
                .map_or(no_tenant, |t| self.mean_times.len() + t.0 as usize)
                .min(no_tenant),
            over_quota,
            is_repeat: new.repeat,
            arrived_at: self.now - age.max(Micros(0)),
            expires: new.expires,
            price: hint.or(self.mean_times[class]).unwrap_or(FIRST_PRICE_US),
            attempts: Vec::new(),
            is_finished: false,
            key: new.key.filter(|_| self.settings.classes[class].keep_order),
        };
        if let Some(key) = request.key {
            self.key_queues.entry(key).or_default().requests.push_back(new.id);
        }
        let expires = self.give_up_at(&request);
        self.requests.insert(new.id, Request { expires, ..request });
        self.dispatch(new.id, actions);
    }

    /// Sends the request, makes it wait, or answers it finally. A request that has not been sent yet waits,
    /// even while no server may take it: a list may bring one.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let retry = self.requests.get(&id).is_some_and(|request| !request.attempts.is_empty());
        match self.pick(id, retry) {
            PickResult::Server(server) => return self.send(id, server, actions),
            PickResult::NoServer if retry => return self.refuse_or_fail(id, actions),
            _ if self.requests.get(&id).is_none_or(|request| request.expires <= self.now) => {
                return self.refuse_or_fail(id, actions)
            }
            _ => self.waiting.push(id),
        }
        if let Some(request) = self.requests.get(&id) {
            actions.push(Action::Timer { at: request.expires, token: PERIOD_TIMER + 1 });
        }
    }

    /// Returns the time at which a request is given up. Where an answer after the aim is worth nothing, the
    /// request is refused just before its aim, so that the client knows and the servers below drop it.
    /// Drawback: the client may repeat it. Instances of lower tiers wait for as long as their caller does.
    pub(super) fn give_up_at(&self, request: &Request) -> Micros {
        match self.settings.tier > 0 || self.settings.classes[request.class].late_worth > 0.0 {
            true => request.expires,
            false => self.answer_by(request),
        }
    }

    /// Returns the latest time at which an answer can be decided on so that it is given within the aim; once
    /// the request is admitted, before it is given up.
    pub(super) fn answer_by(&self, request: &Request) -> Micros {
        self.aim_time(request) - Micros(2 * self.settings.resolution.0)
    }

    /// Returns what a request is worth if it is sent now and takes this multiple of its expected time. Late
    /// answers earn less, and answers after the deadline nothing.
    pub(super) fn value(&self, id: RequestId, request: &Request, time_factor: f64) -> f64 {
        let class = &self.settings.classes[request.class];
        // The requests before it in its key's queue run first, one at a time; the first of them is already on
        // its way.
        let position =
            request.key.and_then(|k| self.key_queues.get(&k)?.requests.iter().position(|&q| q == id));
        let expected =
            time_factor * self.time_estimate.served_time(request.price) * position.unwrap_or(0).max(1) as f64;
        let expected = Micros(expected as i64);
        let share = if request.over_quota { self.settings.over_share_worth } else { 1.0 };
        let per_work = if self.settings.worth_by_work { 1.0 } else { self.stats.cr / request.price.max(1.0) };
        let time_share = match self.now + expected {
            // Below the first tier, the caller has already spent work on the request, so it is given up only
            // at its deadline.
            t if t <= self.aim_time(request) || self.settings.tier > 0 => 1.0,
            t if t <= request.expires => class.late_worth,
            _ => 0.0,
        };
        class.worth * share * per_work * time_share
    }

    /// Returns the time until which an answer earns the full worth.
    pub(super) fn aim_time(&self, request: &Request) -> Micros {
        let class = &self.settings.classes[request.class];
        (request.arrived_at + class.aim + Micros((class.aim_stretch * request.price) as i64))
            .min(request.expires)
    }

    /// Sends waiting requests while the concurrency limit has room: those with the most worth per work first,
    /// then those whose aim ends first. Under overload this refuses at once the requests that can't be
    /// answered in time, so that their clients need not wait. Drawback: the estimate may be wrong.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        let mut waiting: Vec<(f64, Micros, RequestId)> = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            match self
                .requests
                .get(&id)
                .map(|request| (request, self.value(id, request, IN_TIME_FACTOR)))
                .filter(|(request, _)| !request.is_finished)
            {
                Some((request, value))
                    if request.expires > self.now && value > 0.0 && !self.has_waited_too_long(request) =>
                {
                    waiting.push((value, self.aim_time(request), id))
                }
                Some(_) => self.refuse_or_fail(id, actions),
                None => {}
            }
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, _, id) in waiting {
            match self.pick(id, false) {
                PickResult::Server(server) => self.send(id, server, actions),
                // The request has been sent before, and no further attempt of it is allowed.
                PickResult::NoServer
                    if self.requests.get(&id).is_some_and(|request| !request.attempts.is_empty()) =>
                {
                    self.refuse_or_fail(id, actions);
                }
                _ => self.waiting.push(id),
            }
        }
    }

    /// Returns whether a request has waited here for so long that it is refused: its client has few
    /// connections, and a request that has used up its aim in a queue is served late. Instances of lower
    /// tiers wait for as long as their caller does.
    pub(super) fn has_waited_too_long(&self, request: &Request) -> bool {
        let aim = (self.aim_time(request) - request.arrived_at).0 as f64;
        self.settings.tier == 0 && (self.now - request.arrived_at).0 as f64 >= MAX_WAIT_AIM_SHARE * aim
    }

    /// Gives the request its final answer, unless it has one: a request gets only one (rule 1). A refusal
    /// states that a repeat is harmless; where that is not certain, the request fails instead (rule 2: a
    /// request with effects is repeated only where that is safe).
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_finished) else { return };
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => true,
            _ => request.attempts.iter().all(|a| !a.may_have_run),
        };
        // A client that is answered only when its request has expired gains nothing by a quick repeat.
        let wait = if self.now >= request.expires { self.settings.max_retry_after } else { PERIOD };
        let wait =
            if self.settings.retry_after { wait.min(self.settings.max_retry_after) } else { Micros(0) };
        actions.push(if harmless { Action::Refuse { id, retry_after: wait } } else { Action::Fail { id } });
        self.close_request(id, actions);
    }

    /// Ends a request that has its final answer, or whose client has disconnected: no further attempt is
    /// sent, and those in flight are cancelled where that is allowed.
    pub(super) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_finished = true;
        for (number, _) in
            request.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && self.settings.may_cancel)
        {
            actions.push(Action::Cancel { id, attempt: number as u32 });
        }
        if request.attempts.iter().all(|a| !a.in_flight) {
            self.remove_request(id);
        }
    }

    /// Removes a finished request that has no attempt in flight, so that the next request with its key may be
    /// sent.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let key = self.requests.remove(&id).and_then(|request| request.key);
        if let Some(queue) = key.and_then(|k| self.key_queues.get_mut(&k)) {
            queue.requests.retain(|q| *q != id);
        }
    }
}
