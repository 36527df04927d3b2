//! **The** decisions of one balancer; its face (settings, events, actions) is `garnettally_model`.
//!
//! CSLD: every call's estimated cost is booked onto a per-server time board; each period the booked work
//! becomes a compressed weight; a call goes to the largest weight net of this instance's own sends since. The
//! order: constants, board, admit, pick, outcome, period, health, membership. Names are the paper's.

use crate::state::*;
use garnettally_model::*;
use garnettally_subscription::Subscription;
use rustc_hash::FxHashMap;

// The mechanism; times in microseconds, shares and ratios without a unit.
const PERIOD: Micros = Micros(200_000); // P and slot_len, from the design page
const SLOT: Micros = Micros(50_000);
const SLOTS: i64 = 200; // max_slots: 10 s, the paper's example, longer than any call is worth waiting for
const FIRST_PRICE: f64 = 1_000.0; // prices and Cr before anything is known, from the design page
const LOAD_LOW: f64 = 0.25; // load_l and load_m, as shares of the time that all servers have in a period
const LOAD_MID: f64 = 0.5;
const FILL: f64 = 0.8; // part of its time for which a server is booked on average; under 1: boards run dry
const PERIOD_MEAN: f64 = 1.0 / 32.0; // weight of a period in running means: about 6 s
const CALL_MEAN: f64 = 0.05; // weight of a served call in them
const LINE_LEAST: f64 = 5.0; // calls before a slope is believed
const SLOW_BOUND: f64 = 4.0; // bound of slowness: past it health should speak, not price
const LUCK: f64 = 0.25; // a server's luck lies so far from 1: equals are told apart, speeds not drowned
const NEW_CONN: f64 = 40.0; // calls on its board that a server without an idle connection is charged
const OPEN_LEAST: usize = 2; // once so many have one: boards are left a choice
const CROSSING: f64 = 400.0; // the same for another zone, times what a crossing costs of a request's worth
const REPORT_LASTS: f64 = 2e6; // a report fades over this: the queue that it saw has been served by then

// Signals of trouble follow time, so that a caller with one call a second sees them too.
const SIGNAL_TIME: f64 = 3e6; // memory, in time
const SIGNAL_MOST: f64 = 0.5; // most weight of one call

// Health.
const OVERDUE: f64 = 8.0; // multiple of the expected time: 1 in 3,000 of exponential times
const BAD_MEAN: f64 = 0.3; // least weight of one outcome in the outlier score
pub const BAD_EJECT: f64 = 0.4; // the score that ejects, above twice the peers' own
const BAD_WELL: f64 = 0.1; // the score under which a server is well again
const SLOW_FROM: f64 = 4.0; // an answer is bad from this multiple of its expected time: 1 in 50
const SLOW_OVER: f64 = 8.0; // and wholly bad so many multiples later
const EJECT_FIRST: Micros = Micros(1_000_000); // a few times a call; doubled up to what discovery takes
const EJECT_DOUBLINGS: u32 = 4;
const EJECT_SHARE: usize = 3; // panic threshold: one in so many; beyond it the trouble is not theirs alone

const STRUCK: f64 = 0.6; // share of a class or tenant failing beyond its peers past which it fails by itself

// Budgets.
const RETRY_RATIO: f64 = 0.1; // calls paid for again, earned by one request
const RETRY_PERIODS: f64 = 25.0; // saved up over so many periods
const RETRY_LEAST: f64 = 2.0; // and this many at the least
const RETRY_IN_TIME: f64 = 0.75; // the same for a retry: a chance of one in five is worth more than it costs
const RETRY_COST: f64 = 0.2; // least cost of a retry, however quickly the attempt before it failed
const QUOTA_SECONDS: f64 = 5.0; // quota saved up by a tenant: chance must not look like excess
const QUOTA_LEAST: f64 = 2.0; // in requests

// Overload.
const IN_TIME: f64 = 1.5; // in time with this multiple of the expected time left: 4 in 5 exponential ones
const CROWDED: f64 = 0.25; // mean square of time over aim: exponential times, a third of the aim on average
const CROWD_SILENT: f64 = 0.375; // most that an unanswered call adds to it: a few hung servers are no crowd
const CROWD_MOST: f64 = 0.15; // most weight of one call in it: a single late one must not close the limit
const STRETCH: f64 = 2.2; // served over uncrowded time past which it closes: more wait than run
const STRETCH_MEAN: f64 = 1.0 / 64.0; // weight of a call in the present time: its mean is sure to a fifth
const STRETCH_DRIFT: f64 = 1e-3; // of the uncrowded time towards it each period: forgotten in minutes
const LIMIT_FIRST: f64 = 6.0; // the concurrency limit at first, per server
const LIMIT_CHANCE: f64 = 2.0; // and roots of an instance's share of it, as room for chance
const LIMIT_LEAST: f64 = 4.0; // its floor per server: at fewer, those that wait on others would idle
const LIMIT_DOWN: f64 = 0.07; // its step down each period, times the crowding over its bound
const LIMIT_DOWN_MOST: f64 = 0.25;
const LIMIT_UP: f64 = 0.05; // its step up, by what is spare, once this part of it is out
const LIMIT_BINDS: f64 = 0.8;
const HOLD_MOST: f64 = 0.5; // part of its aim that a request may wait here: the rest is for being served
const LOW_WORTH_ROOM: f64 = 0.5; // part of it for requests worth little

// Membership.
const SUBSET_LEAST: usize = 12; // servers sent to; else those called within this or half an idle connection's
const SUBSET_TIME: f64 = 3e6; // life: connections stay open, and each server is heard of again soon
const COLD_PART: f64 = 0.7; // of a peer: peers 1.4 times full, a server half as fast: twice what it can

const PROOF_LASTS: Micros = Micros(5_000_000); // changes go untold for 6 s, less the wait for a connection
const NEVER: Micros = Micros(i64::MIN / 2);

const DOUBT_SHARE: usize = 6; // a list that calls more than one in so many gone is doubted, where it may be

const TICK: u64 = 0; // timer token of the period; a held request's is 1

impl Board {
    /// Clears what lies before `now`, books the queue, and drops what it put into the past.
    fn update(&mut self, now: Micros) {
        let here = now.0 / SLOT.0;
        if self.queue.is_empty() && self.total <= 1.0 {
            self.cleared = self.cleared.max(here);
            return;
        }
        self.slots.resize(SLOTS as usize, 0.0); // a server never sent to needs no board
        self.clear(self.cleared, here);
        // The ring holds max_slots from the first send on; what it books before `here` ends up past.
        let queue = std::mem::take(&mut self.queue);
        let first = queue.first().map_or(here, |q| q.0 .0 / SLOT.0);
        for (stamp, price) in queue {
            self.tc = self.tc.max(stamp.0 as f64);
            let mut at = self.tc as i64 / SLOT.0;
            self.tc = (self.tc + price).min(((first + SLOTS) * SLOT.0) as f64);
            let mut cost = price;
            while cost > 0.0 && at < first + SLOTS {
                let slot = &mut self.slots[(at % SLOTS) as usize];
                let room = (SLOT.0 as f64 - *slot).max(0.0).min(cost);
                *slot += room;
                self.total += room;
                cost -= room;
                at += 1;
            }
        }
        self.clear(first, here);
    }

    fn clear(&mut self, from: i64, here: i64) {
        for at in from.max(here - SLOTS)..here {
            let slot = &mut self.slots[(at % SLOTS) as usize];
            self.total -= *slot;
            *slot = 0.0;
        }
        self.cleared = self.cleared.max(here);
    }

    /// Cost booked for the next `periods`, or for all.
    fn ahead(&self, periods: Option<i64>) -> f64 {
        match periods {
            None => self.total.max(0.0),
            _ if self.slots.is_empty() => 0.0,
            Some(n) => {
                let last = self.cleared + n * (PERIOD.0 / SLOT.0);
                (self.cleared..last).map(|at| self.slots[(at % SLOTS) as usize]).sum()
            }
        }
    }
}

/// W_k of each L_k: the largest weight is 0, and tdiff bounds how far apart two weights lie.
fn weights(loads: &mut [f64], tdiff: f64) -> f64 {
    let min = loads.iter().copied().fold(f64::INFINITY, f64::min);
    let max = loads.iter().copied().fold(0.0, f64::max);
    let dec = if max - min <= tdiff { 1.0 } else { tdiff / (max - min) };
    loads.iter_mut().for_each(|l| *l = (min - *l) * dec);
    dec
}

/// The estimate of a served time.
impl Line {
    fn learn(&mut self, price: f64, time: f64) {
        self.n += 1.0;
        let k = CALL_MEAN.max(1.0 / self.n);
        for (m, v) in self.mean.iter_mut().zip([price, time, price * price, price * time]) {
            *m += k * (v - *m);
        }
    }

    fn at(&self, price: f64) -> f64 {
        let [p, t, square, product] = self.mean;
        let ratio = if self.n < 1.0 { 1.0 } else { t / p.max(1.0) };
        if self.n < LINE_LEAST {
            return ratio * price;
        }
        let slope = (product - p * t) / (square - p * p).max(1.0);
        t + slope.clamp(0.3 * ratio, ratio) * (price - p)
    }
}

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
    requests: FxHashMap<RequestId, Request>,
    held: Vec<RequestId>,
    turns: FxHashMap<KeyId, Turn>,
    means: Vec<Option<f64>>, // Running mean of served time by class: the price without a hint
    patience: Vec<Micros>,   // The longest that a client's try has been given, by class
    sides: Vec<Side>,        // Classes, then tenants, then those of no tenant
    line: Line,
    quota: Vec<f64>,
    next_period: Micros,
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
            subscription: Subscription::of(&settings, rng.u64(..), now),
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
            Event::Unwatched { since, failure } => self.unwatched(since, failure),
            Event::DiscoveryMoved => self.subscription.iter_mut().for_each(|s| s.moved(self.now)),
            Event::Request(new) => self.admit(new, actions),
            Event::Outcome(outcome) => self.outcome(outcome, actions),
            Event::Gone(id) => self.over(id, actions),
            Event::Hearsay(heard) => self.hear(heard, actions),
            Event::Timer(_) => {}
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

    // ---- admit ----

    fn admit(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
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
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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
    fn give_up(&self, r: &Request) -> Micros {
        match self.set.tier > 0 || self.set.classes[r.class].late_worth > 0.0 {
            true => r.expires,
            false => self.aim_at(r) - Micros(2 * self.set.resolution.0),
        }
    }

    /// What a request is worth if sent now: late answers earn less, past the deadline nothing does.
    fn value(&self, id: RequestId, r: &Request, in_time: f64) -> f64 {
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

    fn aim_at(&self, r: &Request) -> Micros {
        let class = &self.set.classes[r.class];
        (r.came + class.aim + Micros((class.aim_stretch * r.price) as i64)).min(r.expires)
    }

    /// Overload. Sends held requests while there is room, the most worth per work first, then by aim. Refuses
    /// at once what can't be answered in time: its client is free to go. Harm: a wrong estimate.
    fn drain_held(&mut self, actions: &mut Vec<Action>) {
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
    fn held_for_long(&self, r: &Request) -> bool {
        let aim = (self.aim_at(r) - r.came).0 as f64;
        self.set.tier == 0 && (self.now - r.came).0 as f64 >= HOLD_MOST * aim
    }

    /// Rule 1 and 2: the one final answer. A refusal says that a repeat does no harm.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.over) else { return };
        let harmless = match self.set.classes[r.class].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            _ => r.attempts.iter().all(|a| !a.may_have_run),
        };
        // A client told only now that its aim has passed has nothing to gain by a quick repeat.
        let wait = if self.now >= r.expires { self.set.max_retry_after } else { PERIOD };
        let wait = if self.set.retry_after { wait.min(self.set.max_retry_after) } else { Micros(0) };
        actions.push(if harmless { Action::Refuse { id, retry_after: wait } } else { Action::Fail { id } });
        self.over(id, actions);
    }

    /// The request has had its answer, or its client is gone: nothing goes out for it any more.
    fn over(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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
    fn forget(&mut self, id: RequestId) {
        let key = self.requests.remove(&id).and_then(|r| r.key);
        if let Some(turn) = key.and_then(|k| self.turns.get_mut(&k)) {
            turn.queue.retain(|q| *q != id);
        }
    }

    // ---- pick ----

    /// The largest weight net of own sends since the last update, among the servers that may be sent to.
    fn pick(&mut self, id: RequestId, retry: bool) -> Pick {
        if self.stale {
            self.subset();
        }
        let Some(r) = self.requests.get(&id) else { return Pick::Nobody };
        let two = !self.set.parallel_tries && r.attempts.iter().any(|a| a.out);
        if two || r.expires <= self.now || r.attempts.len() >= self.set.max_attempts as usize {
            return Pick::Nobody;
        }
        // Rule 3.
        if self.list_is_stale() {
            return Pick::Wait;
        }
        // Rule 6: one at a time for each key, by arrival; then the key rests. The one that has the turn has
        // had its rest. Waiting for it is no crowding.
        if let Some(turn) = r.key.and_then(|k| self.turns.get(&k)) {
            if turn.queue.front() != Some(&id) || (r.attempts.is_empty() && self.now < turn.rest) {
                return Pick::Wait;
            }
        }
        // Rule 2: what may have run, or may run yet, binds later sends.
        let effect = self.set.classes[r.class].effect;
        let mut bound: Option<(Group, &ServerNews)> = None;
        for a in r.attempts.iter().filter(|a| a.may_have_run) {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => return Pick::Nobody,
                Effect::Keyed { window, .. } if self.now - a.sent >= window => return Pick::Nobody,
                Effect::Keyed { group, .. } => bound = Some((group, &self.servers[a.server.0 as usize].news)),
            }
        }
        // Room under the limit, less for what is past a tenant's share, repeated by a client, or struck.
        let low = self.set.tier == 0 && (r.over_share || r.repeat);
        let struck = self.fault(r) >= STRUCK;
        let less = |p: &Pool| struck || (low && p.crowd > CROWDED / 2.0);
        let part = |p: &Pool| if less(p) { LOW_WORTH_ROOM } else { 1.0 };
        let room = |p: &Pool| retry || p.out as f64 + self.chance < part(p) * p.limit;
        if !self.pools.is_empty() && !self.pools.iter().any(room) {
            return Pick::Wait;
        }
        let cold = |since: Micros| self.now < since + self.set.ramp_time;
        let (mut best, mut waits) = ([None; 4], false);
        let idle = self.members.iter().filter(|&&i| self.open(&self.servers[i as usize])).count();
        for s in self.members.iter().map(|&i| &self.servers[i as usize]) {
            let same = match bound {
                Some((Group::Zone, n)) => n.zone == s.news.zone,
                Some((Group::Cell, n)) => n.zone == s.news.zone && n.cell == s.news.cell,
                _ => true,
            };
            // Rule 5 binds every attempt.
            if s.news.state != Listed::Ready || !same || !allowed(&self.set.classes[r.class], &s.news) {
                continue;
            }
            let rank = match self.eligible(s, r.class) && self.trusted(s) {
                false if s.proven == NEVER && !self.is_watched() => 3, // it turned one away, and may be leaving
                false => 2, // panic: nobody healthy, or none that is likely to stay, is left
                true if r.attempts.iter().any(|a| a.server == s.news.server) => 1,
                true => 0,
            };
            if !room(&self.pools[s.pool])
                || (s.news.since.is_some_and(cold)
                    && s.bucket < (r.price - self.st.cr / self.st.gain).max(0.0))
            {
                waits |= rank < 2;
                continue;
            }
            // Where servers differ, what this call itself would book counts like what is booked already.
            let own = s.own + self.st.dec * self.st.gain * r.price * self.slowness(s) * s.luck;
            // Join an idle connection: its server has answered, and no own call waits there. Boards of
            // own sends tell no more of a server than that. Harm: who errs at once looks idle. A cold one
            // has its bucket, and is free: charged, new servers were met by few or none of all callers.
            let away = if s.news.zone == self.set.zone { 0.0 } else { CROSSING * self.set.crossing_price };
            let few = idle < OPEN_LEAST || (s.flights.is_empty() && s.news.since.is_some_and(cold));
            let extra = if self.open(s) || (few && !s.shut) { away } else { away + NEW_CONN };
            let net = s.weight - own / self.st.cr - self.st.dec * extra;
            if best[rank].is_none_or(|(w, _): (f64, ServerId)| net > w) {
                best[rank] = Some((net, s.news.server));
            }
        }
        match best.iter().flatten().next() {
            Some(b) if best[..2].contains(&Some(*b)) || !waits => Pick::To(b.1),
            _ if waits => Pick::Wait,
            _ => Pick::Nobody,
        }
    }

    /// It has answered on a connection that is idle now, as far as this instance knows.
    fn open(&self, s: &Server) -> bool {
        s.idle > 0 && self.now - s.idle_since < self.set.idle_close
    }

    fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let slow = self.slowness(&self.servers[server.0 as usize]);
        let Some(r) = self.requests.get(&id) else { return };
        let overdue = Micros((self.line.at(r.price) * OVERDUE) as i64) + PERIOD;
        let overdue_at = if self.fault(r) >= STRUCK { r.expires } else { now + overdue };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let s = &mut self.servers[server.0 as usize];
        let price = r.price * slow * self.st.gain;
        s.board.queue.push((now, price));
        s.own += price;
        s.bucket -= r.price;
        for m in marks_of(s, r.class) {
            m.trial = m.ejected_until.is_some();
        }
        s.idle = s.idle.saturating_sub(1);
        if !std::mem::replace(&mut s.busy, true) {
            self.busy.push(server.0);
        }
        s.luck = 1.0 - LUCK + 2.0 * LUCK * self.rng.f64();
        let (attempt, class, sent, overdue) = (r.attempts.len() as u32, r.class, now, false);
        let (booked_until, price) = (s.board.tc.max(now.0 as f64) + price, r.price * slow);
        s.flights.push(Flight { id, attempt, class, sent, overdue_at, overdue, booked_until, price });
        r.attempts.push(Attempt { server, sent: now, out: true, may_have_run: true });
        self.pools[s.pool].out += 1;
        self.st.sent_count += 1.0;
        self.st.sent_raw += price;
        self.st.sent_booked += price * self.st.gain;
        actions.push(Action::Send { id, server, timeout: r.expires - now });
    }

    // ---- outcome ----

    fn outcome(&mut self, o: Outcome, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&o.id) else { return };
        let Some(a) = r.attempts.get_mut(o.attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !matches!(o.code, Code::Full | Code::ConnectFailed | Code::Moot);
        let (server, class, price) = (a.server, r.class, r.price);
        let unsure = matches!(o.code, Code::Timeout | Code::Reset | Code::Cancelled);
        if let Some(turn) = r.key.filter(|_| unsure).and_then(|k| self.turns.get_mut(&k)) {
            turn.rest = self.now + self.set.key_rest;
            actions.push(Action::Timer { at: turn.rest, token: TICK + 1 });
        }
        let expected = self.line.at(price).max(1.0);
        let sides = [class, r.tenant];
        let fault = self.requests.get(&o.id).map_or(0.0, |r| self.fault(r));
        self.blame(sides, expected, &o);
        if fault < STRUCK {
            self.crowding(server, class, &o);
            if o.code == Code::Ok {
                self.learn(server, class, price, expected, o.latency.0 as f64);
            }
        }
        self.judge(server, class, expected, 1.0 - fault, &o);
        if o.terminal {
            self.over(o.id, actions);
        }
        let idle = self.requests.get(&o.id).filter(|r| r.attempts.iter().all(|a| !a.out));
        match idle.map(|r| r.over) {
            Some(true) => self.forget(o.id),
            Some(false) => self.again(o.id, o.latency.0 as f64 / expected, actions),
            None => {}
        }
    }

    /// Retries are for what can still make it, under a budget of work done twice, so that they can't feed an
    /// overload. What failed at once has cost little, and is cheap to try again.
    fn again(&mut self, id: RequestId, spent: f64, actions: &mut Vec<Action>) {
        let cost = spent.clamp(RETRY_COST, 1.0);
        let hopeful = |r: &Request| self.value(id, r, RETRY_IN_TIME) > 0.0 && self.fault(r) < STRUCK;
        let hopeful = self.requests.get(&id).is_some_and(hopeful);
        if !hopeful || self.retry_tokens < cost {
            return self.finish(id, actions);
        }
        self.retry_tokens -= cost;
        self.place(id, actions);
    }

    /// How far a request's class or tenant fails or drags beyond its peers, wherever it goes: so much of it
    /// is not its server's. Past STRUCK it moves no mean, no limit, is not tried again, gets half the room.
    /// Guards against bad input and slow back ends. Harm: a class that most servers fail is borne.
    fn fault(&self, r: &Request) -> f64 {
        self.sides[r.class].excess.max(self.sides[r.tenant].excess)
    }

    fn blame(&mut self, sides: [usize; 2], expected: f64, o: &Outcome) {
        let late = (o.latency.0 as f64 - expected) / self.set.classes[sides[0]].aim.0.max(1) as f64;
        let bad = match o.code {
            Code::Error => 1.0,
            Code::Ok | Code::Timeout | Code::Cancelled => late.clamp(0.0, 1.0),
            _ => return,
        };
        for side in sides {
            let side = &mut self.sides[side];
            side.bad += Self::signal_weight(self.now - side.at).min(BAD_MEAN) * (bad - side.bad);
            side.at = self.now;
        }
        let (classes, tenants) = self.sides.split_at_mut(self.set.classes.len());
        for peers in [classes, tenants] {
            let sum: f64 = peers.iter().map(|s| s.bad).sum();
            let others = peers.iter().filter(|s| s.at > Micros(0)).count() as f64 - 1.0;
            let excess = |bad: f64| if others > 0.0 { bad - 2.0 * (sum - bad) / others } else { 0.0 };
            peers.iter_mut().for_each(|s| s.excess = excess(s.bad).max(0.0));
        }
    }

    /// Weight of a new value in the means that tell of trouble: by the time since the last one.
    fn signal_weight(since: Micros) -> f64 {
        (1.0 - (-(since.0 as f64) / SIGNAL_TIME).exp()).clamp(CALL_MEAN, SIGNAL_MOST)
    }

    /// Crowding: time over aim, squared. What ended unanswered or was turned away is no silence.
    fn crowding(&mut self, server: ServerId, class: usize, o: &Outcome) {
        let pool = &mut self.pools[self.servers[server.0 as usize].pool];
        // Lateness counts by what it costs: less where a late answer still earns something.
        let of = &self.set.classes[class];
        let part = (o.latency.0 as f64 / of.aim.0.max(1) as f64).powi(2) * (1.0 - of.late_worth).max(0.0);
        let part = match o.code {
            Code::Ok => part,
            Code::Timeout | Code::Cancelled if part > pool.crowd => part.min(CROWD_SILENT),
            Code::Full => 1.0,
            _ => return,
        };
        let k = Self::signal_weight(self.now - pool.crowd_at).min(CROWD_MOST);
        pool.crowd_at = self.now;
        pool.crowd += k * (part.min(2.0) - pool.crowd);
    }

    /// Served times: the class mean, the line over price, and the slowness of server and kind.
    fn learn(&mut self, server: ServerId, class: usize, price: f64, expected: f64, time: f64) {
        let mean = self.means[class].get_or_insert(time);
        *mean += CALL_MEAN * (time - *mean);
        self.line.learn(price, time.min(SLOW_BOUND * expected.max(price)));
        let s = &mut self.servers[server.0 as usize];
        let pool = &mut self.pools[s.pool];
        let ratio = (time / expected).min(2.0 * SLOW_BOUND);
        s.ratio += 2.0 * CALL_MEAN * (ratio / pool.ratio.max(0.01) - s.ratio);
        pool.ratio += CALL_MEAN * (ratio - pool.ratio);
        // Heavy-tailed: logarithms. The root of the price: a part of the time grows with it, a part does not.
        pool.logs += 1.0;
        let log = time.max(1.0).ln() - 0.5 * price.max(1.0).ln();
        pool.log += STRETCH_MEAN.max(1.0 / pool.logs) * (log - pool.log);
        if pool.logs * STRETCH_MEAN >= 1.0 {
            pool.base = Some(pool.base.map_or(pool.log, |b| b.min(pool.log)));
        }
    }

    // ---- period ----

    /// Every P: drain each Q_k onto its board, renew L_k and W_k, and look after everything that ages. Only
    /// the servers booked or in flight have changed; the others have L_k = 0.
    fn period(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let ended = ((now - self.next_period).0 / PERIOD.0 + 1) as f64;
        self.next_period += Micros(ended as i64 * PERIOD.0);
        self.chance = self.rng.f64();
        let n = self.members.len().max(1) as f64;
        self.statistics(n, ended);
        // L_k, from one, two or all next periods as Cp passes load_l, load_m.
        let horizon = match self.st.cp / (n * PERIOD.0 as f64) {
            part if part < LOAD_LOW => Some(1),
            part if part < LOAD_MID => Some(2),
            _ => None,
        };
        let mut loads = Vec::with_capacity(self.busy.len() + 1);
        for i in std::mem::take(&mut self.busy) {
            let s = &mut self.servers[i as usize];
            s.board.update(now);
            s.own = 0.0;
            // Unfinished work stays booked: what is out past its booked time counts in full again.
            let late = s.flights.iter().filter(|f| f.booked_until <= now.0 as f64);
            let carried = self.st.gain * late.map(|f| f.price).sum::<f64>();
            s.busy = s.board.total > 1.0 || !s.flights.is_empty();
            s.weight = 0.0;
            if s.busy {
                self.busy.push(i);
                loads.push((s.board.ahead(horizon) + carried) / self.st.cr);
            }
        }
        if self.busy.len() < self.members.len() {
            loads.push(0.0);
        }
        self.st.dec = weights(&mut loads, self.st.nr / n);
        for (&i, w) in self.busy.iter().zip(&loads) {
            self.servers[i as usize].weight = *w;
        }
        self.overdue(actions);
        if now < self.cold_until {
            self.slow_start(ended);
        }
        self.eject(actions);
        self.scale_limit();
        self.adapt_limit();
        self.turns.retain(|_, t| !t.queue.is_empty() || t.rest > now);
        for (tokens, quota) in self.quota.iter_mut().zip(&self.set.tenant_quota) {
            let rate = quota / f64::from(self.set.instances.max(1));
            let earned = rate * ended * PERIOD.0 as f64 / 1e6;
            *tokens = (*tokens + earned).min(QUOTA_LEAST + QUOTA_SECONDS * rate);
        }
        let enough = self.members.len() + self.members.len() / 4;
        self.stale |= self.subset_size() > enough && self.members.len() < self.ring.len();
    }

    /// Nr, Cp and Cr. One of many callers books too little of each server's time for boards to tell. So
    /// prices are scaled until servers are booked for FILL of it: a board is this caller's share.
    fn statistics(&mut self, n: f64, ended: f64) {
        let st = &mut self.st;
        st.periods += ended;
        let mean = |old: &mut f64, new: &mut f64, k: f64| {
            *old = (*old + k * (std::mem::take(new) - *old)) * (1.0 - k).powf(ended - 1.0);
        };
        let k = PERIOD_MEAN.max(1.0 / st.periods);
        mean(&mut st.nr, &mut st.sent_count, k);
        mean(&mut st.raw, &mut st.sent_raw, k);
        mean(&mut st.cp, &mut st.sent_booked, (4.0 * PERIOD_MEAN).max(1.0 / st.periods));
        if self.st.raw > 0.0 && self.st.nr > 0.0 {
            self.st.gain = FILL * n * PERIOD.0 as f64 / self.st.raw;
            self.st.cr = self.st.gain * self.st.raw / self.st.nr;
        }
    }

    /// Unequal servers: each one's served times against its peers', its units where they tell a size, and
    /// what it reports to hold. Bounded, since a wrong price should cost balance, not a server.
    fn slowness(&self, s: &Server) -> f64 {
        let pool = &self.pools[s.pool];
        let tell_size = self.set.units_tell_size && s.news.units > 0.0;
        let size = if tell_size { pool.ratio * pool.units / s.news.units } else { pool.ratio };
        let crowd = s.held.map_or(1.0, |(h, at)| {
            let fresh = (1.0 - (self.now - at).0 as f64 / REPORT_LASTS).max(0.0);
            1.0 + fresh * ((1.0 + h) / (1.0 + self.st.held) - 1.0)
        });
        (size * (s.ratio * crowd).sqrt()).clamp(1.0 / SLOW_BOUND, SLOW_BOUND)
    }

    /// The limit is that of the servers at hand and follows what they carry, cold and ejected ones less or
    /// nothing. Where it stayed, callers of half the servers sent each twice what it was found to bear.
    fn scale_limit(&mut self) {
        let before: Vec<f64> = self.pools.iter_mut().map(|p| std::mem::take(&mut p.carry)).collect();
        for s in self.ring.iter().map(|&(_, i)| &self.servers[i as usize]) {
            if s.marks.first().is_none_or(|m| m.ejected_until.is_none()) {
                self.pools[s.pool].carry += s.news.since.map_or(1.0, |t| self.warmth(t));
            }
        }
        for (p, before) in self.pools.iter_mut().zip(before) {
            if p.carry == 0.0 {
                p.carry = before; // none is left to send to, and what comes back is no growth
            } else if before > 0.0 {
                p.limit *= p.carry / before;
            }
        }
    }

    /// The part of its capacity that a server is sure to have that started at this time.
    fn warmth(&self, since: Micros) -> f64 {
        let age = (self.now - since).0 as f64 / self.set.ramp_time.0.max(1) as f64;
        self.set.cold_share + (1.0 - self.set.cold_share) * age.clamp(0.0, 1.0)
    }

    /// Overload: the concurrency limit shrinks while served times take too much of the aim, and grows when it
    /// binds though they don't. Guards against crowding, which shows in time over the aim, or, where that is
    /// far off, over the uncrowded time: servers may tire of a queue that calls have time for.
    fn adapt_limit(&mut self) {
        for p in &mut self.pools {
            let stretch = p.base.map_or(0.0, |base| (p.log - base) / STRETCH.ln());
            p.base = p.base.map(|base| base + STRETCH_DRIFT * (p.log - base));
            let crowd = p.crowd.max(CROWDED * stretch);
            if crowd > CROWDED {
                let least = LIMIT_LEAST * p.ready / f64::from(self.set.instances.max(1));
                let down = (LIMIT_DOWN * crowd / CROWDED).min(LIMIT_DOWN_MOST);
                p.limit = (p.limit * (1.0 - down)).max(least);
            } else if p.out as f64 + self.chance >= LIMIT_BINDS * p.limit {
                let spare = 1.0 - crowd / CROWDED;
                p.limit = (p.limit * (1.0 + LIMIT_UP * spare)).min(1e6);
            }
        }
    }

    // ---- health ----

    /// Not ejected, as a whole or for the class; or due for a single trial, by what is safe to repeat, or,
    /// where none such has come for as long again, by anything: it must come back too.
    fn eligible(&self, s: &Server, class: usize) -> bool {
        let keys = [s.marks.first(), s.marks.get(class + 1)];
        keys.into_iter().flatten().all(|m| match m.ejected_until {
            None => true,
            Some(until) => {
                let safe = matches!(self.set.classes[class].effect, Effect::Safe);
                let due = until + if safe { Micros(0) } else { doubled(self.back_off(), m.strikes) };
                self.now >= due && !m.trial && s.flights.is_empty() && (m.heard == 0.0 || m.tries)
            }
        })
    }

    /// The first back-off: never shorter than it takes to come round to the same server again.
    fn back_off(&self) -> Micros {
        let round = self.members.len() as f64 / self.st.nr.max(0.01) * PERIOD.0 as f64;
        EJECT_FIRST.max(Micros(round as i64)).min(Micros(EJECT_FIRST.0 << EJECT_DOUBLINGS))
    }

    /// One outcome's part in the outlier scores: of the server, and of the server for the class. What the
    /// class's own score tells already speaks less against the server. Harm: a good one may rest.
    fn judge(&mut self, server: ServerId, class: usize, expected: f64, part: f64, o: &Outcome) {
        let (now, first) = (self.now, self.back_off());
        let s = &mut self.servers[server.0 as usize];
        let Some(i) = s.flights.iter().position(|f| f.id == o.id && f.attempt == o.attempt) else { return };
        let flight = s.flights.swap_remove(i);
        self.pools[s.pool].out -= 1;
        s.shut = o.code == Code::ConnectFailed;
        s.proven = match o.code {
            Code::Ok | Code::Error => s.proven.max(flight.sent),
            Code::Full | Code::ConnectFailed => NEVER,
            _ => s.proven,
        };
        if !matches!(o.code, Code::ConnectFailed | Code::Moot | Code::Reset) {
            (s.idle, s.idle_since) = (s.idle + 1, now);
        }
        if let Some(held) = o.load.and_then(|l| l.held) {
            s.held = Some((held, now));
            self.st.held += CALL_MEAN * (held - self.st.held);
        }
        let bad = match o.code {
            // Slow answers tell of a slow server as time-outs do, from further off: work is heavy-tailed.
            Code::Ok => ((o.latency.0 as f64 / expected - SLOW_FROM) / SLOW_OVER).clamp(0.0, 1.0),
            Code::Error | Code::Reset | Code::ConnectFailed => 1.0,
            // One that was overdue has told; another tells as much as it was late when its time was up.
            Code::Timeout | Code::Cancelled if flight.overdue => {
                return marks_of(s, class).for_each(|m| m.tried(now, first, false));
            }
            Code::Timeout => ((o.latency.0 as f64 / expected - 1.0) / 3.0).clamp(0.0, 1.0),
            _ => return marks_of(s, class).for_each(|m| m.trial = false),
        } * part;
        s.last_ok = if bad == 0.0 { now } else { s.last_ok };
        score(s, class, bad, now);
        // Called gone, it answers: the list is wrong. Or nobody is there.
        if s.doubted && bad == 0.0 {
            (s.doubted, self.stale) = (false, true);
        } else if s.doubted && o.code == Code::ConnectFailed {
            let out = now + doubled(first, EJECT_DOUBLINGS);
            let struck =
                Mark { bad: 1.0, ejected_until: Some(out), strikes: EJECT_DOUBLINGS, ..Mark::default() };
            s.marks[0] = Mark { own: true, ..struck };
        }
        for m in marks_of(s, class) {
            let was = m.ejected_until.is_some();
            m.tried(now, first, bad < 0.5);
            self.stale |= was && m.ejected_until.is_none();
        }
    }

    /// An attempt far past its expected time speaks against its server, if nothing was answered since it
    /// went out: a hung server shows in nothing else. Where rule 2 and the budget let it, it is called off.
    /// Harm: a heavy call ejects a good server for a while. One that still answers is left alone.
    fn overdue(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut silent = Vec::new();
        for &i in &self.busy {
            let s = &mut self.servers[i as usize];
            let mut told = Vec::new();
            for f in s.flights.iter_mut().filter(|f| !f.overdue && f.overdue_at <= now) {
                f.overdue = true;
                told.extend((s.last_ok <= f.sent).then_some((f.id, f.attempt, f.class)));
            }
            told.iter().for_each(|&(_, _, class)| score(s, class, 1.0, now));
            silent.extend(told);
        }
        for (id, attempt, _) in silent {
            let Some(r) = self.requests.get(&id).filter(|r| !r.over && self.set.may_cancel) else { continue };
            let again = !matches!(self.set.classes[r.class].effect, Effect::Unsafe)
                && r.attempts.len() < self.set.max_attempts as usize;
            // A hung attempt must not cost those that wait for its key their time.
            let behind = r.key.and_then(|k| self.turns.get(&k)).is_some_and(|t| t.queue.len() > 1);
            if behind || (again && self.retry_tokens >= 1.0 && self.value(id, r, IN_TIME) > 0.0) {
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Ejects servers far worse than their peers, the worst first, up to a capped share. Relative, since the
    /// callers of a failing lower tier all err together, and nobody is to be ejected for that.
    fn eject(&mut self, actions: &mut Vec<Action>) {
        let members = self.members.iter().map(|&i| &self.servers[i as usize]);
        let (mut n, mut ejected, mut sum, mut hot) = (0, 0, Vec::new(), Vec::new());
        for s in members.filter(|s| s.news.state == Listed::Ready) {
            n += 1;
            sum.resize(sum.len().max(s.marks.len()), 0.0);
            ejected += usize::from(s.marks.iter().any(|m| m.ejected_until.is_some()));
            for (key, m) in s.marks.iter().enumerate() {
                // Own fresh experience goes before hearsay.
                let bad = if m.heard_at > s.last_ok { m.bad.max(m.heard) } else { m.bad };
                sum[key] += bad;
                if m.ejected_until.is_none() && bad >= BAD_EJECT {
                    hot.push((bad, s.news.server.0 as usize, key, doubled(self.back_off(), m.strikes)));
                }
            }
        }
        hot.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        for (bad, server, key, wait) in hot {
            let peers = (sum[key] - bad) / (n - 1).max(1) as f64;
            // One out for a class already takes no more of the share: among few it would stay.
            let more = self.servers[server].marks.iter().all(|m| m.ejected_until.is_none());
            let full = more && ejected >= (n / EJECT_SHARE).max(1);
            if n < 2 || full || bad < BAD_EJECT + 2.0 * peers {
                continue;
            }
            let m = &mut self.servers[server].marks[key];
            (m.ejected_until, m.strikes) = (Some(self.now + wait), m.strikes + 1);
            m.own = m.bad >= BAD_EJECT;
            ejected += usize::from(more);
            self.stale = true;
            if m.strikes == 1 {
                let what = if key == 0 { String::new() } else { format!(" for class {}", key - 1) };
                actions.push(Action::Log(format!("server {server} ejected{what}, outlier score {bad:.2}")));
            }
        }
    }

    /// What others found counts like an own score, under the same cap. A few of those that found it try the
    /// server for all; with their word that it is well, or when it grows old, it is back without a trial.
    fn hear(&mut self, h: Hearsay, actions: &mut Vec<Action>) {
        let key = h.class.map_or(0, |c| c.0 as usize + 1);
        let Some(s) = self.servers.get_mut(h.server.0 as usize) else { return };
        s.marks.resize(s.marks.len().max(key + 1), Mark::default());
        let m = &mut s.marks[key];
        if h.bad == 0.0 && m.heard > 0.0 && !m.tries {
            (m.bad, m.ejected_until, m.trial) = (0.0, None, false);
            self.stale = true;
        }
        (m.heard, m.heard_at, m.tries) = (h.bad, h.at, h.tries);
        self.eject(actions);
    }

    /// So many instances share the servers from now on, and this is which of them this one is.
    pub fn share(&mut self, instances: u32, me: u32) {
        (self.set.instances, self.set.me, self.stale) = (instances, me, true);
        self.subscription.iter_mut().for_each(|s| s.set_instances(instances));
    }

    /// Another instance has asked for the watch until now, and this one does from here on. What it was told, and when,
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

    // ---- membership ----

    /// How many servers this instance sends to.
    fn subset_size(&self) -> usize {
        let time = SUBSET_TIME.min(self.set.idle_close.0 as f64 / 2.0);
        let calls = self.st.nr * time / PERIOD.0 as f64;
        let least = if self.st.periods < 1.0 / PERIOD_MEAN { 2 * SUBSET_LEAST } else { SUBSET_LEAST };
        least.max(calls as usize)
    }

    /// Subsetting: a caller that sends everywhere hears of each server rarely. Callers stand evenly spaced on
    /// a ring of ready servers and take the next ones until each class has enough healthy ones.
    fn subset(&mut self) {
        self.stale = false;
        let (n, want) = (self.ring.len(), self.subset_size());
        let start = (u64::from(self.set.me) * n as u64 / u64::from(self.set.instances.max(1))) as usize;
        let mut have = vec![0; self.set.classes.len()];
        self.members.clear();
        for at in 0..n {
            let i = self.ring[(start + at) % n].1;
            let s = &self.servers[i as usize];
            if s.doubted && self.list_believed {
                continue;
            }
            let mut wanted = false;
            for (class, have) in have.iter_mut().enumerate() {
                if *have < want && allowed(&self.set.classes[class], &s.news) {
                    wanted = true;
                    let keys = [s.marks.first(), s.marks.get(class + 1)];
                    *have += usize::from(keys.into_iter().flatten().all(|m| m.ejected_until.is_none()));
                }
            }
            if wanted {
                self.members.push(i);
            }
            if have.iter().all(|&h| h >= want) {
                break;
            }
        }
    }

    /// The watch is lost, or could not be had; up to `since` it would have told of every change.
    fn unwatched(&mut self, since: Micros, failure: CallFailure) {
        if self.subscription.as_mut().is_some_and(|s| s.failed(self.now, since, failure)) {
            self.servers.iter_mut().for_each(|s| s.proven = s.proven.max(since));
        }
    }

    /// Whether it is likely to stay. While nothing tells of changes, what took a call of late is, and what
    /// turned one away is not. Harm: fewer servers for as long as discovery is out of reach.
    fn trusted(&self, s: &Server) -> bool {
        self.is_watched() || self.now - s.proven < PROOF_LASTS
    }

    /// Whether discovery tells of changes as they come.
    fn is_watched(&self) -> bool {
        self.subscription.as_ref().is_none_or(|s| s.is_open())
    }

    /// Whether the list may lack changes that bind already: then nothing goes out. A server that leaves may
    /// well go on answering. Harm: requests wait, and are refused, until the watch is back.
    fn list_is_stale(&self) -> bool {
        self.subscription.as_ref().is_some_and(|s| s.is_stale(self.now))
    }

    fn news(&mut self, form: Form, entries: &[ServerNews]) {
        if let Some(s) = self.subscription.as_mut().filter(|_| form != Form::Cached) {
            s.heard();
        }
        let most = entries.iter().map(|e| e.server.0 as usize + 1).max().unwrap_or(0).max(self.servers.len());
        let unknown = ServerNews { state: Listed::Gone, ..Default::default() };
        self.servers.resize_with(most, || Server { news: unknown, ..Default::default() });
        if form != Form::Delta {
            let mut listed = vec![false; most];
            entries.iter().for_each(|e| listed[e.server.0 as usize] = true);
            for (s, _) in self.servers.iter_mut().zip(listed).filter(|(_, listed)| !listed) {
                s.unlist(self.set.drain_binds_alone);
            }
        }
        for e in entries {
            let s = &mut self.servers[e.server.0 as usize];
            if e.state == Listed::Gone {
                s.unlist(self.set.drain_binds_alone);
                continue;
            }
            // By its own start, not by its return to the list.
            let restarted = e.since > s.news.since;
            self.cold_until =
                e.since.map_or(self.cold_until, |t| self.cold_until.max(t + self.set.ramp_time));
            if restarted || s.ratio == 0.0 {
                // New, or started anew: whatever was learned of its last life is void.
                let old = std::mem::take(s);
                (s.flights, s.busy, s.pool) = (old.flights, old.busy, old.pool);
                s.board.cleared = self.now.0 / SLOT.0;
                (s.ratio, s.last_ok, s.last_end) = (1.0, self.now, self.now);
                s.luck = -self.rng.f64().max(1e-9).ln();
                s.bucket = -self.rng.f64() * self.st.cr / self.st.gain;
            }
            s.news = ServerNews { since: e.since.max(s.news.since), ..*e };
            (s.doubted, s.proven) = (false, self.now);
        }
        self.stale = true;
        self.ring.clear();
        let ready = self.servers.iter().filter(|s| s.news.state == Listed::Ready);
        self.ring.extend(ready.map(|s| (s.news.key, s.news.server.0)));
        self.ring.sort_unstable();
        // A list that takes a few servers away is believed. One that takes many may be wrong, and those left
        // can't bear their load: health tells who is gone. Harm: each caller calls each dead one once.
        let doubted = self.servers.iter().filter(|s| s.doubted).count();
        self.list_believed = doubted * DOUBT_SHARE <= self.ring.len();
        self.pools.iter_mut().for_each(|p| (p.ready, p.units) = (0.0, 0.0));
        for s in self.servers.iter_mut().filter(|s| s.news.state == Listed::Ready) {
            // One that comes back as another kind keeps the pool that its calls are counted in.
            let known = self.pools.iter().position(|p| p.kind == s.news.kind);
            if s.flights.is_empty() {
                s.pool = known.unwrap_or(self.pools.len());
            }
            if s.pool == self.pools.len() {
                self.pools.push(Pool { kind: s.news.kind, ..Pool::default() });
            }
            self.pools[s.pool].ready += 1.0;
            self.pools[s.pool].units += s.news.units;
        }
        let units = self.pools.iter().map(|p| p.units).sum::<f64>() / self.ring.len().max(1) as f64;
        for p in self.pools.iter_mut().filter(|p| p.ready > 0.0) {
            p.units /= p.ready;
            if p.limit == 0.0 {
                p.ratio = if self.set.units_tell_size && p.units > 0.0 { units / p.units } else { 1.0 };
                // So many calls a server, shared by the instances, and room for chance.
                let all = LIMIT_FIRST * self.ring.len() as f64 / f64::from(self.set.instances.max(1));
                p.limit = (all + LIMIT_CHANCE * all.sqrt()) * p.ready / self.ring.len() as f64;
            }
        }
    }

    /// Slow start. A cold server gets the ramp's fraction of most of what a warm peer gets here, by a bucket
    /// that starts in debt by chance: all together keep the budget. How much of a core a price is worth is
    /// not known, so no core bounds it: where that did, new servers idled while the old ones drowned.
    fn slow_start(&mut self, ended: f64) {
        let rate = COLD_PART * self.st.raw / self.members.len().max(1) as f64;
        let unit = self.st.cr / self.st.gain;
        let window = self.set.tip_after.0 as f64 / PERIOD.0 as f64;
        for at in 0..self.members.len() {
            let i = self.members[at] as usize;
            let Some(since) = self.servers[i].news.since else { continue };
            let fill = self.warmth(since) * rate;
            let s = &mut self.servers[i];
            s.bucket = (s.bucket + fill * ended).min((fill * window).max(unit));
        }
    }
}

impl Server {
    /// Called gone, or left out. Where only draining binds that is a hint: what was ready stays so, in doubt.
    fn unlist(&mut self, drain_binds_alone: bool) {
        match self.news.state {
            Listed::Ready if drain_binds_alone => self.doubted = true,
            Listed::Draining if drain_binds_alone => {}
            _ => self.news.state = Listed::Gone,
        }
    }
}

/// Rule 5: whether a class may go to a server.
fn allowed(class: &Class, news: &ServerNews) -> bool {
    let open = |only: &[u32], to: u32| only.is_empty() || only.contains(&to);
    open(&class.only_kinds, news.kind) && open(&class.only_zones, news.zone)
}

/// Back-off by strikes.
fn doubled(first: Micros, strikes: u32) -> Micros {
    Micros((first.0 << strikes.min(EJECT_DOUBLINGS)).min(EJECT_FIRST.0 << EJECT_DOUBLINGS))
}

/// The marks that a call of the class speaks to.
fn marks_of(s: &mut Server, class: usize) -> impl Iterator<Item = &mut Mark> {
    s.marks.iter_mut().enumerate().filter(move |(key, _)| *key == 0 || *key == class + 1).map(|(_, m)| m)
}

/// Books an outcome on the outlier scores. The rarer a server's outcomes, the more each one says.
fn score(s: &mut Server, class: usize, bad: f64, now: Micros) {
    if s.marks.is_empty() && bad == 0.0 {
        s.last_end = now;
        return;
    }
    if s.marks.len() < class + 2 {
        s.marks.resize(class + 2, Mark::default());
    }
    let k = Balancer::signal_weight(now - s.last_end).max(BAD_MEAN);
    s.last_end = now;
    let known = if bad > 0.0 { s.marks[class + 1].bad } else { 0.0 };
    for (key, part) in [(0, 1.0 - known), (class + 1, 1.0)] {
        let m = &mut s.marks[key];
        m.bad += k * part * (bad - m.bad);
        if m.bad < BAD_WELL && m.ejected_until.is_none() && bad == 0.0 {
            m.strikes = m.strikes.saturating_sub(1);
        }
    }
}

impl Mark {
    /// How a trial went: one success halves the score, and a server well again is let back in.
    fn tried(&mut self, now: Micros, first: Micros, well: bool) {
        self.trial = false;
        let Some(until) = self.ejected_until else { return };
        if well {
            self.bad *= 0.5;
            if self.bad < BAD_WELL {
                self.ejected_until = None;
            }
        } else if until <= now {
            self.ejected_until = Some(now + doubled(first, self.strikes));
            self.strikes += 1;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/mechanism.rs"]
mod mechanism;
