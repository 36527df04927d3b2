//! Admission: whether a request is sent, waits, or is refused, and its one final answer.

use super::*;

pub(super) const MIN_QUOTA_REQUESTS: f64 = 2.0; // in requests
/// In time with this multiple of the expected time left: 4 in 5 exponential ones.
pub(super) const IN_TIME_FACTOR: f64 = 1.5;
const MAX_WAIT_AIM_SHARE: f64 = 0.5; // part of its aim that a request may wait here: the rest is for being served

impl Balancer {
    pub(super) fn admit(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.0 as usize;
        if class >= self.mean_times.len() {
            return actions.push(Action::Fail { id: new.id });
        }
        let over_share = match new.tenant.and_then(|t| self.quota_tokens.get_mut(t.0 as usize)) {
            Some(tokens) => std::mem::replace(tokens, (*tokens - 1.0).max(-1.0)) < 1.0,
            None => false,
        };
        let most = MIN_RETRY_TOKENS.max(RETRY_RATIO * RETRY_SAVED_PERIODS * self.stats.nr);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(most);
        // A repeat given less time than tries are given has met the end of its client's total: that dates
        // the first try, and with it the aim that counts.
        let (left, patience) = (new.expires - self.now, self.longest_tries[class]);
        self.longest_tries[class] = patience.max(left);
        let dated = new.repeat && left + PERIOD < patience;
        let age = if dated { self.settings.classes[class].deadline - left } else { Micros(0) };
        let nobody = self.failure_shares.len() - 1;
        let hint = new.hint.filter(|h| h.0 > 0).map(|h| h.0 as f64);
        let request = Request {
            class,
            tenant_index: new.tenant.map_or(nobody, |t| self.mean_times.len() + t.0 as usize).min(nobody),
            over_quota: over_share,
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

    /// Sends the request, holds it, or ends it. One that has been nowhere waits for a list.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let retry = self.requests.get(&id).is_some_and(|r| !r.attempts.is_empty());
        match self.pick(id, retry) {
            PickResult::Server(server) => return self.send(id, server, actions),
            PickResult::NoServer if retry => return self.refuse_or_fail(id, actions),
            _ if self.requests.get(&id).is_none_or(|r| r.expires <= self.now) => {
                return self.refuse_or_fail(id, actions)
            }
            _ => self.waiting.push(id),
        }
        if let Some(r) = self.requests.get(&id) {
            actions.push(Action::Timer { at: r.expires, token: PERIOD_TIMER + 1 });
        }
    }

    /// An answer worth nothing past the aim is not waited for past it: the request is refused just inside:
    /// its client knows, servers below drop it. Harm: a client may repeat it. Lower tiers go by the caller.
    pub(super) fn give_up_at(&self, r: &Request) -> Micros {
        match self.settings.tier > 0 || self.settings.classes[r.class].late_worth > 0.0 {
            true => r.expires,
            false => self.aim_time(r) - Micros(2 * self.settings.resolution.0),
        }
    }

    /// What a request is worth if sent now: late answers earn less, past the deadline nothing does.
    pub(super) fn value(&self, id: RequestId, r: &Request, in_time: f64) -> f64 {
        let class = &self.settings.classes[r.class];
        // Those that share its key run before it, one at a time; the one that has the turn is on its way.
        let turn = r.key.and_then(|k| self.key_queues.get(&k)?.requests.iter().position(|&q| q == id));
        let expected = in_time * self.time_estimate.served_time(r.price) * turn.unwrap_or(0).max(1) as f64;
        let expected = Micros(expected as i64);
        let share = if r.over_quota { self.settings.over_share_worth } else { 1.0 };
        let per_work = if self.settings.worth_by_work { 1.0 } else { self.stats.cr / r.price.max(1.0) };
        let in_time = match self.now + expected {
            // Below the first tier the caller has work sunk in this: it is given up at its deadline only.
            t if t <= self.aim_time(r) || self.settings.tier > 0 => 1.0,
            t if t <= r.expires => class.late_worth,
            _ => 0.0,
        };
        class.worth * share * per_work * in_time
    }

    pub(super) fn aim_time(&self, r: &Request) -> Micros {
        let class = &self.settings.classes[r.class];
        (r.arrived_at + class.aim + Micros((class.aim_stretch * r.price) as i64)).min(r.expires)
    }

    /// Overload. Sends held requests while there is room, the most worth per work first, then by aim. Refuses
    /// at once what can't be answered in time: its client is free to go. Harm: a wrong estimate.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        let mut waiting: Vec<(f64, Micros, RequestId)> = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            match self
                .requests
                .get(&id)
                .map(|r| (r, self.value(id, r, IN_TIME_FACTOR)))
                .filter(|(r, _)| !r.is_finished)
            {
                Some((r, v)) if r.expires > self.now && v > 0.0 && !self.has_waited_too_long(r) => {
                    waiting.push((v, self.aim_time(r), id))
                }
                Some(_) => self.refuse_or_fail(id, actions),
                None => {}
            }
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, _, id) in waiting {
            match self.pick(id, false) {
                PickResult::Server(server) => self.send(id, server, actions),
                // Nothing may be sent for it any more.
                PickResult::NoServer if self.requests.get(&id).is_some_and(|r| !r.attempts.is_empty()) => {
                    self.refuse_or_fail(id, actions);
                }
                _ => self.waiting.push(id),
            }
        }
    }

    /// Whether a request has waited here for so long that it is told to go: its client's connections are few,
    /// and what has used up its aim in a queue is served late. Lower tiers go by the caller.
    pub(super) fn has_waited_too_long(&self, r: &Request) -> bool {
        let aim = (self.aim_time(r) - r.arrived_at).0 as f64;
        self.settings.tier == 0 && (self.now - r.arrived_at).0 as f64 >= MAX_WAIT_AIM_SHARE * aim
    }

    /// Rule 1 and 2: the one final answer. A refusal says that a repeat does no harm.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.is_finished) else { return };
        let harmless = match self.settings.classes[r.class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => true,
            _ => r.attempts.iter().all(|a| !a.may_have_run),
        };
        // A client told only now that its aim has passed has nothing to gain by a quick repeat.
        let wait = if self.now >= r.expires { self.settings.max_retry_after } else { PERIOD };
        let wait =
            if self.settings.retry_after { wait.min(self.settings.max_retry_after) } else { Micros(0) };
        actions.push(if harmless { Action::Refuse { id, retry_after: wait } } else { Action::Fail { id } });
        self.close_request(id, actions);
    }

    /// The request has had its answer, or its client is gone: nothing goes out for it any more.
    pub(super) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.is_finished = true;
        for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && self.settings.may_cancel) {
            actions.push(Action::Cancel { id, attempt: n as u32 });
        }
        if r.attempts.iter().all(|a| !a.in_flight) {
            self.remove_request(id);
        }
    }

    /// Nothing is out for it any more: the turn passes on.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let key = self.requests.remove(&id).and_then(|r| r.key);
        if let Some(turn) = key.and_then(|k| self.key_queues.get_mut(&k)) {
            turn.requests.retain(|q| *q != id);
        }
    }
}
