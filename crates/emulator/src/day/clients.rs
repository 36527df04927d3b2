//! Clients: their arrivals, their requests, and their reactions to answers.

use super::*;

impl Day<'_> {
    pub(super) fn client_arrives(&mut self, now: Micros) {
        if now < self.arrivals_end {
            let wait = self.time_to_next_arrival(now);
            self.events.schedule_after(wait, Event::ClientArrives);
            if self.keep_arrival(now) {
                self.add_client(now);
            }
        }
    }

    /// The time until the next candidate arrival, drawn at the highest rate; `keep_arrival` thins the
    /// candidates out.
    pub(super) fn time_to_next_arrival(&mut self, now: Micros) -> Micros {
        let rate = self.world.clients.rate;
        match &self.world.clients.arrivals {
            Arrivals::Trace { at } => {
                let last = at.last().map_or(Micros(1), |t| t.0.max(Micros(1)));
                if self.trace_index == at.len() {
                    (self.trace_index, self.trace_round_start) = (0, self.trace_round_start + last);
                }
                let next = self.trace_round_start + at[self.trace_index].0;
                self.trace_index += 1;
                (next - now).max(Micros(0))
            }
            other => {
                let highest_rate = match other {
                    Arrivals::Wave { swing, .. } => rate * (1.0 + swing),
                    Arrivals::Bursty { factor, .. } => rate * factor,
                    _ => rate,
                };
                Micros(
                    self.random.arrivals.exponential(1e6 / (highest_rate * self.burst_factor)).round() as i64
                )
            }
        }
    }

    pub(super) fn keep_arrival(&mut self, now: Micros) -> bool {
        match &self.world.clients.arrivals {
            Arrivals::Poisson => true,
            Arrivals::Trace { .. } => true,
            Arrivals::Wave { period, swing } => {
                let phase = now.0 as f64 / period.0 .0 as f64 * std::f64::consts::TAU;
                self.random.arrivals.chance((1.0 + swing * phase.sin()) / (1.0 + swing))
            }
            Arrivals::Bursty { factor, share, last } => {
                while now >= self.burst_until {
                    self.bursting = !self.bursting;
                    let mean = last.0 .0 as f64;
                    let mean = if self.bursting { mean } else { mean * (1.0 - share) / share.max(1e-9) };
                    self.burst_until += Micros(1 + self.random.arrivals.exponential(mean) as i64);
                }
                let calm_rate = (1.0 - factor * share) / (1.0 - share);
                self.bursting || self.random.arrivals.chance(calm_rate / factor)
            }
        }
    }

    pub(super) fn add_client(&mut self, now: Micros) {
        let stream = &mut self.random.clients;
        let class = weighted_index(self.world.classes.iter().map(|c| c.share), stream);
        let tenant = match self.world.tenants.is_empty() {
            true => usize::MAX,
            false => weighted_index(self.world.tenants.iter().map(|t| t.share), stream),
        };
        let key = stream.bits();
        let class_config = &self.world.classes[class];
        let work = class_config.shape.draw(self.world.mean_work(class, 0), &mut self.random.work);
        let calls = if self.world.tiers.len() > 1 {
            round_randomly(class_config.calls, &mut self.random.work)
        } else {
            0
        };
        let counted = now >= self.world.warm_up.0;
        let client =
            Client { class, tenant, first_try_at: now, tries: 0, key, work, calls, counted, settled: false };
        self.clients.push(client);
        if counted {
            let second = (now.0 / 1_000_000) as usize;
            self.seconds[second].worth_asked += class_config.worth;
            for counts in self.totals_of(class, tenant) {
                counts.asked += 1;
                counts.worth_asked += class_config.worth;
            }
        }
        self.start_try(now, (self.clients.len() - 1) as u32);
    }

    pub(super) fn totals_of(
        &mut self,
        class: usize,
        tenant: usize,
    ) -> impl Iterator<Item = &mut OutcomeCounts> {
        let tenant = self.tenant_totals.get_mut(tenant);
        [&mut self.totals, &mut self.class_totals[class]].into_iter().chain(tenant)
    }

    pub(super) fn start_try(&mut self, now: Micros, id: u32) {
        let world = self.world;
        let client_state = &mut self.clients[id as usize];
        client_state.tries += 1;
        let class = &world.classes[client_state.class];
        let stream =
            if client_state.tries == 1 { &mut self.random.clients } else { &mut self.random.retries };
        let patience_share = world.clients.patience.draw(stream);
        let preferred = stream.index(world.tiers[0].balancers);
        let Some(balancer) = self.accepting_balancer(preferred) else {
            return self.retry_or_settle(now, id, None, RequestOutcome::Failed);
        };
        let client_state = &self.clients[id as usize];
        let patience = Micros((class.deadline.0 .0 as f64 * patience_share) as i64);
        // All tries together have the time of the class's deadline.
        let expires = (now + patience).min(client_state.first_try_at + class.deadline.0);
        if expires <= now {
            return self.settle(now, id, RequestOutcome::GivenUp);
        }
        let (class, tenant, key, work, calls, repeat) = (
            client_state.class,
            client_state.tenant,
            client_state.key,
            client_state.work,
            client_state.calls,
            client_state.tries > 1,
        );
        self.client_tries += u64::from(client_state.counted);
        let call = Call {
            tier: 0,
            balancer,
            class,
            tenant,
            caller: Caller::Client(id),
            expires,
            repeat,
            key,
            work,
            calls,
            attempts: Vec::new(),
            in_flight: 0,
            answered: false,
            caller_left: false,
            accepted: false,
        };
        self.start_call(now, call);
    }

    pub(super) fn start_call(&mut self, now: Micros, call: Call) {
        let id = self.next_id();
        let (expires, same_machine) = (call.expires, matches!(call.caller, Caller::NodeRequest(_)));
        self.calls.insert(id, call);
        // A node's own balancer runs on the same machine; a client's message has to cross the network.
        let wait =
            if same_machine { Micros(20) } else { self.world.network.within.draw(&mut self.random.network) };
        self.events.schedule_at(now + wait, Event::CallReachesBalancer(id));
        // The caller waits a little past the deadline that it sent, so that an answer given in time can reach
        // it.
        self.events.schedule_at(expires + ANSWER_GRACE, Event::CallerGivesUp(id));
    }

    pub(super) fn deliver_answer(&mut self, now: Micros, id: u64, answer: FinalAnswer) {
        let Some(call) = self.calls.get(&id) else { return };
        if call.caller_left {
            return;
        }
        match call.caller {
            Caller::Client(client) => {
                let retry_wait = match answer {
                    FinalAnswer::Served => None,
                    FinalAnswer::Refused(wait) => Some(wait),
                    FinalAnswer::Failed => Some(None),
                };
                let outcome = match answer {
                    FinalAnswer::Served => RequestOutcome::Served,
                    FinalAnswer::Refused(_) => RequestOutcome::Refused,
                    FinalAnswer::Failed => RequestOutcome::Failed,
                };
                match retry_wait {
                    Some(wait) => self.retry_or_settle(now, client, wait, outcome),
                    None => self.settle(now, client, outcome),
                }
            }
            Caller::NodeRequest(attempt) => {
                self.next_tier_call_ended(now, attempt, answer == FinalAnswer::Served)
            }
        }
        // The caller has its answer and no longer waits.
        if let Some(call) = self.calls.get_mut(&id) {
            call.caller_left = true;
        }
        self.remove_ended_call(id);
    }

    pub(super) fn retry_or_settle(
        &mut self,
        now: Micros,
        client: u32,
        retry_after: Option<Micros>,
        outcome: RequestOutcome,
    ) {
        let retries = &self.world.clients.retries;
        let client_state = &self.clients[client as usize];
        if client_state.tries > retries.most || client_state.settled {
            return self.settle(now, client, outcome);
        }
        let full_wait = retries.wait.0 .0 as f64 * f64::from(1u32 << (client_state.tries - 1).min(16));
        let wait = Micros((full_wait * (0.5 + 0.5 * self.random.retries.unit())) as i64);
        let wait = retry_after.filter(|_| retries.heed_retry_after).map_or(wait, |t| t + wait);
        if now + wait >= client_state.first_try_at + self.world.classes[client_state.class].deadline.0 {
            return self.settle(now, client, outcome);
        }
        self.events.schedule_after(wait, Event::ClientRetries(client));
    }

    pub(super) fn settle(&mut self, now: Micros, id: u32, outcome: RequestOutcome) {
        let client_state = &mut self.clients[id as usize];
        if std::mem::replace(&mut client_state.settled, true) || !client_state.counted {
            return;
        }
        let (class, tenant, first) = (client_state.class, client_state.tenant, client_state.first_try_at);
        let class_config = &self.world.classes[class];
        let took = now - first;
        let in_time = took <= class_config.aim.0;
        let earned = match outcome {
            RequestOutcome::Served if in_time => class_config.worth,
            RequestOutcome::Served => class_config.worth * class_config.late_worth,
            _ => 0.0,
        };
        if outcome == RequestOutcome::Served {
            self.served_latency.saturating_record(took.0.max(1) as u64);
        }
        self.seconds[(first.0 / 1_000_000) as usize].worth_earned += earned;
        for counts in self.totals_of(class, tenant) {
            counts.worth_earned += earned;
            match outcome {
                RequestOutcome::Served if in_time => counts.in_time += 1,
                RequestOutcome::Served => counts.late += 1,
                RequestOutcome::Refused => counts.refused += 1,
                RequestOutcome::Failed => counts.failed += 1,
                RequestOutcome::GivenUp => counts.given_up += 1,
            }
        }
    }

    pub(super) fn caller_gives_up(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.caller_left) else { return };
        call.caller_left = true;
        let (caller, balancer, accepted) = (call.caller, call.balancer, call.accepted);
        match self.balancers[balancer].process {
            ProcessState::Running => self.checker.client_gave_up(now, id),
            // A stopped process can't answer in time, and its answer after continuing reaches nobody.
            ProcessState::Stopped | ProcessState::Dead => self.checker.client_left(id),
        }
        if accepted {
            let wait = self.answer_delay(balancer, caller);
            self.events.schedule_after(wait, Event::CallerLeaves(id));
        }
        match caller {
            Caller::Client(client) if self.world.clients.retries.after_timeout => {
                self.retry_or_settle(now, client, None, RequestOutcome::GivenUp);
            }
            Caller::Client(client) => self.settle(now, client, RequestOutcome::GivenUp),
            Caller::NodeRequest(attempt) => self.next_tier_call_ended(now, attempt, false),
        }
        self.remove_ended_call(id);
    }

    pub(super) fn answer_delay(&mut self, _balancer: usize, caller: Caller) -> Micros {
        match caller {
            Caller::Client(_) => self.world.network.within.draw(&mut self.random.network),
            Caller::NodeRequest(_) => Micros(20),
        }
    }

    /// Removes a call that has ended on both sides and has no attempt in flight.
    pub(super) fn remove_ended_call(&mut self, id: u64) {
        let ended = |c: &Call| c.caller_left && c.in_flight == 0 && (c.answered || !c.accepted);
        if self.calls.get(&id).is_some_and(ended) {
            self.calls.remove(&id);
        }
    }
}

/// Draws an index with probabilities in proportion to the weights.
fn weighted_index(weights: impl Iterator<Item = f64> + Clone, stream: &mut RandomStream) -> usize {
    let mut at = stream.unit() * weights.clone().sum::<f64>();
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

/// Draws one of the two integers next to the mean, so that their expected value is the mean.
pub(super) fn round_randomly(mean: f64, stream: &mut RandomStream) -> u32 {
    mean.floor() as u32 + u32::from(stream.chance(mean.fract()))
}
