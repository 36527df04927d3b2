//! Admission: whether a request is sent, waits, or is refused, and its one final answer.

use super::*;

pub(super) const QUOTA_LEAST: f64 = 2.0; // in requests
/// In time with this multiple of the expected time left: 4 in 5 exponential ones.
pub(super) const IN_TIME: f64 = 1.5;
const HOLD_MOST: f64 = 0.5; // part of its aim that a request may wait here: the rest is for being served

impl Balancer {
    pub(super) fn admit(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.0 as usize;
        if class >= self.means.len() {
            return actions.push(Action::Fail { id: new.id });
        }
        let over_share = match new.tenant.and_then(|t| self.quota.get_mut(t.0 as usize)) {
            Some(tokens) => std::mem::replace(tokens, (*tokens - 1.0).max(-1.0)) < 1.0,
            None => false,
        };
        let most = RETRY_LEAST.max(RETRY_RATIO * RETRY_PERIODS * self.st.nr);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(most);
        // A repeat given less time than tries are given has met the end of its client's total: that dates
        // the first try, and with it the aim that counts.
        let (left, patience) = (new.expires - self.now, self.patience[class]);
        self.patience[class] = patience.max(left);
        let dated = new.repeat && left + PERIOD < patience;
        let age = if dated { self.set.classes[class].deadline - left } else { Micros(0) };
        let nobody = self.sides.len() - 1;
        let hint = new.hint.filter(|h| h.0 > 0).map(|h| h.0 as f64);
        let request = Request {
            class,
            tenant: new.tenant.map_or(nobody, |t| self.means.len() + t.0 as usize).min(nobody),
            over_share,
            repeat: new.repeat,
            came: self.now - age.max(Micros(0)),
            expires: new.expires,
            price: hint.or(self.means[class]).unwrap_or(FIRST_PRICE),
            attempts: Vec::new(),
            over: false,
            key: new.key.filter(|_| self.set.classes[class].keep_order),
        };
        if let Some(key) = request.key {
            self.turns.entry(key).or_default().queue.push_back(new.id);
        }
        let expires = self.give_up(&request);
        self.requests.insert(new.id, Request { expires, ..request });
        self.place(new.id, actions);
    }

    /// Sends the request, holds it, or ends it. One that has been nowhere waits for a list.
    pub(super) fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let retry = self.requests.get(&id).is_some_and(|r| !r.attempts.is_empty());
        match self.pick(id, retry) {
            Pick::To(server) => return self.send(id, server, actions),
            Pick::Nobody if retry => return self.finish(id, actions),
            _ if self.requests.get(&id).is_none_or(|r| r.expires <= self.now) => {
                return self.finish(id, actions)
            }
            _ => self.held.push(id),
        }
        if let Some(r) = self.requests.get(&id) {
            actions.push(Action::Timer { at: r.expires, token: TICK + 1 });
        }
    }

    /// An answer worth nothing past the aim is not waited for past it: the request is refused just inside:
    /// its client knows, servers below drop it. Harm: a client may repeat it. Lower tiers go by the caller.
    pub(super) fn give_up(&self, r: &Request) -> Micros {
        match self.set.tier > 0 || self.set.classes[r.class].late_worth > 0.0 {
            true => r.expires,
            false => self.aim_at(r) - Micros(2 * self.set.resolution.0),
        }
    }

    /// What a request is worth if sent now: late answers earn less, past the deadline nothing does.
    pub(super) fn value(&self, id: RequestId, r: &Request, in_time: f64) -> f64 {
        let class = &self.set.classes[r.class];
        // Those that share its key run before it, one at a time; the one that has the turn is on its way.
        let turn = r.key.and_then(|k| self.turns.get(&k)?.queue.iter().position(|&q| q == id));
        let expected = in_time * self.line.at(r.price) * turn.unwrap_or(0).max(1) as f64;
        let expected = Micros(expected as i64);
        let share = if r.over_share { self.set.over_share_worth } else { 1.0 };
        let per_work = if self.set.worth_by_work { 1.0 } else { self.st.cr / r.price.max(1.0) };
        let in_time = match self.now + expected {
            // Below the first tier the caller has work sunk in this: it is given up at its deadline only.
            t if t <= self.aim_at(r) || self.set.tier > 0 => 1.0,
            t if t <= r.expires => class.late_worth,
            _ => 0.0,
        };
        class.worth * share * per_work * in_time
    }

    pub(super) fn aim_at(&self, r: &Request) -> Micros {
        let class = &self.set.classes[r.class];
        (r.came + class.aim + Micros((class.aim_stretch * r.price) as i64)).min(r.expires)
    }

    /// Overload. Sends held requests while there is room, the most worth per work first, then by aim. Refuses
    /// at once what can't be answered in time: its client is free to go. Harm: a wrong estimate.
    pub(super) fn drain_held(&mut self, actions: &mut Vec<Action>) {
        let mut waiting: Vec<(f64, Micros, RequestId)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            match self.requests.get(&id).map(|r| (r, self.value(id, r, IN_TIME))).filter(|(r, _)| !r.over) {
                Some((r, v)) if r.expires > self.now && v > 0.0 && !self.held_for_long(r) => {
                    waiting.push((v, self.aim_at(r), id))
                }
                Some(_) => self.finish(id, actions),
                None => {}
            }
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, _, id) in waiting {
            match self.pick(id, false) {
                Pick::To(server) => self.send(id, server, actions),
                // Nothing may be sent for it any more.
                Pick::Nobody if self.requests.get(&id).is_some_and(|r| !r.attempts.is_empty()) => {
                    self.finish(id, actions);
                }
                _ => self.held.push(id),
            }
        }
    }

    /// Whether a request has waited here for so long that it is told to go: its client's connections are few,
    /// and what has used up its aim in a queue is served late. Lower tiers go by the caller.
    pub(super) fn held_for_long(&self, r: &Request) -> bool {
        let aim = (self.aim_at(r) - r.came).0 as f64;
        self.set.tier == 0 && (self.now - r.came).0 as f64 >= HOLD_MOST * aim
    }

    /// Rule 1 and 2: the one final answer. A refusal says that a repeat does no harm.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.over) else { return };
        let harmless = match self.set.classes[r.class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => true,
            _ => r.attempts.iter().all(|a| !a.may_have_run),
        };
        // A client told only now that its aim has passed has nothing to gain by a quick repeat.
        let wait = if self.now >= r.expires { self.set.max_retry_after } else { PERIOD };
        let wait = if self.set.retry_after { wait.min(self.set.max_retry_after) } else { Micros(0) };
        actions.push(if harmless { Action::Refuse { id, retry_after: wait } } else { Action::Fail { id } });
        self.over(id, actions);
    }

    /// The request has had its answer, or its client is gone: nothing goes out for it any more.
    pub(super) fn over(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.over = true;
        for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out && self.set.may_cancel) {
            actions.push(Action::Cancel { id, attempt: n as u32 });
        }
        if r.attempts.iter().all(|a| !a.out) {
            self.forget(id);
        }
    }

    /// Nothing is out for it any more: the turn passes on.
    pub(super) fn forget(&mut self, id: RequestId) {
        let key = self.requests.remove(&id).and_then(|r| r.key);
        if let Some(turn) = key.and_then(|k| self.turns.get_mut(&k)) {
            turn.queue.retain(|q| *q != id);
        }
    }
}
