//! Clients: when they come, what they ask for, and what they do with an answer.

use super::*;

impl Day<'_> {
    pub(super) fn client(&mut self, now: Micros) {
        if now < self.end {
            let wait = self.next_arrival(now);
            self.events.after(wait, Event::Client);
            if self.comes(now) {
                self.new_client(now);
            }
        }
    }

    /// When the next client may come: at the largest rate, which `comes` thins out.
    pub(super) fn next_arrival(&mut self, now: Micros) -> Micros {
        let rate = self.world.clients.rate;
        match &self.world.clients.arrivals {
            Arrivals::Trace { at } => {
                let last = at.last().map_or(Micros(1), |t| t.0.max(Micros(1)));
                if self.trace_at == at.len() {
                    (self.trace_at, self.trace_round) = (0, self.trace_round + last);
                }
                let next = self.trace_round + at[self.trace_at].0;
                self.trace_at += 1;
                (next - now).max(Micros(0))
            }
            other => {
                let most = match other {
                    Arrivals::Wave { swing, .. } => rate * (1.0 + swing),
                    Arrivals::Bursty { factor, .. } => rate * factor,
                    _ => rate,
                };
                Micros(self.draws.arrivals.exponential(1e6 / (most * self.burst)).round() as i64)
            }
        }
    }

    pub(super) fn comes(&mut self, now: Micros) -> bool {
        match &self.world.clients.arrivals {
            Arrivals::Poisson => true,
            Arrivals::Trace { .. } => true,
            Arrivals::Wave { period, swing } => {
                let phase = now.0 as f64 / period.0 .0 as f64 * std::f64::consts::TAU;
                self.draws.arrivals.chance((1.0 + swing * phase.sin()) / (1.0 + swing))
            }
            Arrivals::Bursty { factor, share, last } => {
                while now >= self.burst_until {
                    self.bursting = !self.bursting;
                    let mean = last.0 .0 as f64;
                    let mean = if self.bursting { mean } else { mean * (1.0 - share) / share.max(1e-9) };
                    self.burst_until += Micros(1 + self.draws.arrivals.exponential(mean) as i64);
                }
                let calm = (1.0 - factor * share) / (1.0 - share);
                self.bursting || self.draws.arrivals.chance(calm / factor)
            }
        }
    }

    pub(super) fn new_client(&mut self, now: Micros) {
        let s = &mut self.draws.clients;
        let class = weighted(self.world.classes.iter().map(|c| c.share), s);
        let tenant = match self.world.tenants.is_empty() {
            true => usize::MAX,
            false => weighted(self.world.tenants.iter().map(|t| t.share), s),
        };
        let key = s.bits();
        let c = &self.world.classes[class];
        let work = c.shape.draw(self.world.work(class, 0), &mut self.draws.work);
        let calls = if self.world.tiers.len() > 1 { around(c.calls, &mut self.draws.work) } else { 0 };
        let counts = now >= self.world.warm_up.0;
        let client = Client { class, tenant, first: now, tries: 0, key, work, calls, counts, over: false };
        self.clients.push(client);
        if counts {
            let second = (now.0 / 1_000_000) as usize;
            self.seconds[second].asked += c.worth;
            for part in self.parts_of(class, tenant) {
                part.asked += 1;
                part.worth_asked += c.worth;
            }
        }
        self.try_client(now, (self.clients.len() - 1) as u32);
    }

    pub(super) fn parts_of(&mut self, class: usize, tenant: usize) -> impl Iterator<Item = &mut Part> {
        let tenant = self.tenants.get_mut(tenant);
        [&mut self.all, &mut self.parts[class]].into_iter().chain(tenant)
    }

    pub(super) fn try_client(&mut self, now: Micros, id: u32) {
        let world = self.world;
        let c = &mut self.clients[id as usize];
        c.tries += 1;
        let class = &world.classes[c.class];
        let s = if c.tries == 1 { &mut self.draws.clients } else { &mut self.draws.retries };
        let part = world.clients.patience.draw(s);
        let drawn = s.place(world.tiers[0].balancers);
        let Some(balancer) = self.listening(drawn) else {
            return self.perhaps_again(now, id, None, Outcome::Failed);
        };
        let c = &self.clients[id as usize];
        let patience = Micros((class.deadline.0 .0 as f64 * part) as i64);
        // All tries together get the class's time.
        let expires = (now + patience).min(c.first + class.deadline.0);
        if expires <= now {
            return self.settle(now, id, Outcome::GivenUp);
        }
        let (class, tenant, key, work, calls, repeat) =
            (c.class, c.tenant, c.key, c.work, c.calls, c.tries > 1);
        self.tries += u64::from(c.counts);
        let call = Call {
            tier: 0,
            balancer,
            class,
            tenant,
            asker: Asker::Client(id),
            expires,
            repeat,
            key,
            work,
            calls,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            left: false,
            taken: false,
        };
        self.place_call(now, call);
    }

    pub(super) fn place_call(&mut self, now: Micros, call: Call) {
        let id = self.number();
        let (expires, local) = (call.expires, matches!(call.asker, Asker::Job(_)));
        self.calls.insert(id, call);
        // A node's own balancer runs beside it; clients are a message away.
        let wait = if local { Micros(20) } else { self.world.network.within.draw(&mut self.draws.network) };
        self.events.at(now + wait, Event::Reach(id));
        // Who asked waits a little past the time that it told: an answer that comes in time must reach it.
        self.events.at(expires + ANSWER_GRACE, Event::GiveUp(id));
    }

    pub(super) fn answer(&mut self, now: Micros, id: u64, last: Final) {
        let Some(call) = self.calls.get(&id) else { return };
        if call.left {
            return;
        }
        match call.asker {
            Asker::Client(client) => {
                let again = match last {
                    Final::Served => None,
                    Final::Refused(wait) => Some(wait),
                    Final::Failed => Some(None),
                };
                let outcome = match last {
                    Final::Served => Outcome::Served,
                    Final::Refused(_) => Outcome::Refused,
                    Final::Failed => Outcome::Failed,
                };
                match again {
                    Some(wait) => self.perhaps_again(now, client, wait, outcome),
                    None => self.settle(now, client, outcome),
                }
            }
            Asker::Job(attempt) => self.called(now, attempt, last == Final::Served),
        }
        // Who asked has its answer and asks no more.
        if let Some(call) = self.calls.get_mut(&id) {
            call.left = true;
        }
        self.forget(id);
    }

    pub(super) fn perhaps_again(&mut self, now: Micros, client: u32, told: Option<Micros>, outcome: Outcome) {
        let r = &self.world.clients.retries;
        let c = &self.clients[client as usize];
        if c.tries > r.most || c.over {
            return self.settle(now, client, outcome);
        }
        let whole = r.wait.0 .0 as f64 * f64::from(1u32 << (c.tries - 1).min(16));
        let wait = Micros((whole * (0.5 + 0.5 * self.draws.retries.unit())) as i64);
        let wait = told.filter(|_| r.heed_retry_after).map_or(wait, |t| t + wait);
        if now + wait >= c.first + self.world.classes[c.class].deadline.0 {
            return self.settle(now, client, outcome);
        }
        self.events.after(wait, Event::Again(client));
    }

    pub(super) fn settle(&mut self, now: Micros, id: u32, outcome: Outcome) {
        let c = &mut self.clients[id as usize];
        if std::mem::replace(&mut c.over, true) || !c.counts {
            return;
        }
        let (class, tenant, first) = (c.class, c.tenant, c.first);
        let facts = &self.world.classes[class];
        let took = now - first;
        let in_time = took <= facts.aim.0;
        let earned = match outcome {
            Outcome::Served if in_time => facts.worth,
            Outcome::Served => facts.worth * facts.late_worth,
            _ => 0.0,
        };
        if outcome == Outcome::Served {
            self.served.saturating_record(took.0.max(1) as u64);
        }
        self.seconds[(first.0 / 1_000_000) as usize].earned += earned;
        for part in self.parts_of(class, tenant) {
            part.worth_earned += earned;
            match outcome {
                Outcome::Served if in_time => part.in_time += 1,
                Outcome::Served => part.late += 1,
                Outcome::Refused => part.refused += 1,
                Outcome::Failed => part.failed += 1,
                Outcome::GivenUp => part.given_up += 1,
            }
        }
    }

    pub(super) fn give_up(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.left) else { return };
        call.left = true;
        let (asker, balancer, taken) = (call.asker, call.balancer, call.taken);
        match self.balancers[balancer].life {
            Life::Runs => self.rules.gave_up(now, id),
            // No process can answer while it stands still, and what it answers on waking comes to nobody.
            Life::Stopped | Life::Dead => self.rules.left(id),
        }
        if taken {
            let wait = self.latency_to(balancer, asker);
            self.events.after(wait, Event::Gone(id));
        }
        match asker {
            Asker::Client(client) if self.world.clients.retries.after_timeout => {
                self.perhaps_again(now, client, None, Outcome::GivenUp);
            }
            Asker::Client(client) => self.settle(now, client, Outcome::GivenUp),
            Asker::Job(attempt) => self.called(now, attempt, false),
        }
        self.forget(id);
    }

    pub(super) fn latency_to(&mut self, _balancer: usize, asker: Asker) -> Micros {
        match asker {
            Asker::Client(_) => self.world.network.within.draw(&mut self.draws.network),
            Asker::Job(_) => Micros(20),
        }
    }

    /// Forgets a call that nobody asks about any more.
    pub(super) fn forget(&mut self, id: u64) {
        let over = |c: &Call| c.left && c.out == 0 && (c.answered || !c.taken);
        if self.calls.get(&id).is_some_and(over) {
            self.calls.remove(&id);
        }
    }
}

/// A place by weight.
fn weighted(weights: impl Iterator<Item = f64> + Clone, s: &mut Stream) -> usize {
    let mut at = s.unit() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate().filter(|(_, w)| *w > 0.0) {
        last = i;
        at -= w;
        if at < 0.0 {
            break;
        }
    }
    last
}

/// A whole number with this mean: one of the two next to it.
pub(super) fn around(mean: f64, s: &mut Stream) -> u32 {
    mean.floor() as u32 + u32::from(s.chance(mean.fract()))
}
