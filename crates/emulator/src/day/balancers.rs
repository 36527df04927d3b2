//! Balancers: what their policies are asked, and what is done about the answers.

use super::*;

impl Day<'_> {
    pub(super) fn reach(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.left {
            self.calls.remove(&id);
            return;
        }
        if self.balancers[call.balancer].life == Life::Dead {
            // Refused at once: whoever asks goes on to another.
            let drawn = call.balancer;
            return match self.listening(drawn) {
                Some(other) => self.redirect(id, other),
                None => self.events.after(Micros(0), Event::Answer(id, Final::Failed)),
            };
        }
        call.taken = true;
        let class = &self.world.classes[call.class];
        let allows = match class.repeat {
            Repeat::Safe => Allows::Any,
            Repeat::Keyed => Allows::InCell(class.window.0),
            Repeat::Never => Allows::None,
        };
        let b = &self.world.balancers;
        self.rules.taken(id, call.expires, allows, b.attempts, b.parallel);
        let ask = PickRequest {
            request: RequestId(id),
            class: ClassId(call.class as u32),
            tenant: (call.tenant != usize::MAX).then_some(TenantId(call.tenant as u32)),
            expires: call.expires,
            cost: class.hints.then_some(Micros(call.work as i64)),
            repeat: call.repeat,
            key: Some(KeyId(call.key)),
        };
        let balancer = call.balancer;
        self.post(now, balancer, Inbox::Ask(ask));
    }

    pub(super) fn post(&mut self, now: Micros, balancer: usize, news: Inbox) {
        self.balancers[balancer].inbox.push(news);
        self.wake(balancer, now);
    }

    /// Has a balancer consulted at this time or before, on its grid.
    pub(super) fn wake(&mut self, balancer: usize, at: Micros) {
        let step = self.world.balancers.resolution.0 .0;
        let at = if step > 0 { Micros((at.0 + step - 1).div_euclid(step) * step) } else { at };
        let b = &mut self.balancers[balancer];
        if b.due.is_none_or(|due| at < due) {
            b.due = Some(at);
            self.events.at(at, Event::Consult(balancer));
        }
    }

    pub(super) fn consult(&mut self, now: Micros, at: usize) {
        let b = &self.balancers[at];
        if b.life != Life::Runs || b.due.is_none_or(|due| due > now) {
            return;
        }
        self.balancers[at].due = None;
        for news in std::mem::take(&mut self.balancers[at].inbox) {
            self.decisions += 1;
            let policy = &mut self.balancers[at].policy;
            let (decisions, over) = match news {
                Inbox::Ask(ask) => (policy.pick(now, ask), None),
                Inbox::News(report) => {
                    let over = match &report {
                        News::Ended { request, .. } | News::ClientLeft(request) => Some(request.0),
                        _ => None,
                    };
                    (policy.report(now, report), over)
                }
            };
            self.carry_out(now, at, decisions);
            if let Some(id) = over {
                self.forget(id);
            }
        }
        if self.balancers[at].policy.next_tick().is_some_and(|t| t <= now) {
            let decisions = self.balancers[at].policy.tick(now);
            self.carry_out(now, at, decisions);
        }
        if let Some(tick) = self.balancers[at].policy.next_tick() {
            self.wake(at, tick.max(now + Micros(1)));
        }
    }

    pub(super) fn carry_out(&mut self, now: Micros, balancer: usize, decisions: Vec<Decision>) {
        for d in decisions {
            match d {
                Decision::Send { request, upstream, timeout } => {
                    let node = self.first[self.balancers[balancer].tier] + upstream.0 as usize;
                    self.send(now, balancer, request.0, node, timeout);
                }
                Decision::Refuse { request, retry_after } => {
                    let wait = retry_after.map(|t| Micros(t.as_micros() as i64));
                    self.decide(now, request.0, Final::Refused(wait));
                }
                Decision::Fail(request) => self.decide(now, request.0, Final::Failed),
                Decision::Cancel { request, attempt } => {
                    let id =
                        self.calls.get(&request.0).and_then(|c| c.attempts.get(attempt as usize)).copied();
                    if let Some(id) = id {
                        self.expire(now, id, Code::Cancelled);
                    }
                }
                Decision::Watch => {
                    let delay = self.world.tiers[self.balancers[balancer].tier].list.delay;
                    let wait = delay.draw(&mut self.draws.list);
                    self.events.after(wait, Event::Watched(balancer));
                }
                Decision::Wait(_) | Decision::Log(_) => {}
            }
        }
    }

    /// A final answer of the policy's.
    pub(super) fn decide(&mut self, now: Micros, id: u64, last: Final) {
        let Some(call) = self.calls.get_mut(&id) else {
            return; // Who asked has gone, and nothing was out.
        };
        // What was answered by then is over, whatever the policy had not heard of yet: so the program has it.
        if std::mem::replace(&mut call.answered, true) {
            return;
        }
        let (asker, balancer) = (call.asker, call.balancer);
        if !call.left {
            self.rules.answered(now, id);
        }
        let wait = self.latency_to(balancer, asker);
        self.events.after(wait, Event::Answer(id, last));
        self.forget(id);
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        balancer: usize,
        call_id: u64,
        node: usize,
        timeout: Duration,
    ) {
        let id = self.number();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let number = call.attempts.len() as u32;
        call.attempts.push(id);
        if call.left || call.answered {
            // It is over: never sent, as the real program does.
            let request = RequestId(call_id);
            let (code, latency, answered) = (Code::Moot, Duration::ZERO, call.answered);
            let report = News::Ended {
                request,
                attempt: number,
                code,
                latency,
                local_delay: Duration::ZERO,
                upstream_in_flight: None,
                answered,
            };
            return self.post(now, balancer, Inbox::News(report));
        }
        call.out += 1;
        let (calls, work, tier) = (call.calls, call.work, call.tier);
        self.sends += 1;
        if let (0, Asker::Client(c)) = (tier, call.asker) {
            self.first_sends += u64::from(self.clients[c as usize].counts);
        }
        let p = &self.places[node];
        self.rules.sent(now, call_id, p.cell);
        self.rules.sent_to(now, balancer, node);
        let keep = self.world.tiers[tier].idle.0;
        let idle = self.balancers[balancer].idle.entry(node).or_default();
        let before = idle.len();
        idle.retain(|since| now - *since < keep);
        let closed = before - idle.len();
        let fresh = idle.pop().is_none();
        let attempt = Attempt {
            call: call_id,
            number,
            node,
            balancer,
            sent: now,
            fresh,
            ended: false,
            arrived: false,
            came: now,
            came_at: 0,
            segments_left: calls,
            segment: work / f64::from(calls + 1),
            waits: None,
            done: false,
        };
        self.attempts.insert(id, attempt);
        let timeout = Micros(timeout.as_micros().min(i64::MAX as u128 / 4) as i64);
        self.events.after(timeout, Event::Expire(id, Code::Timeout));
        let way = self.way(balancer, node);
        let p = &mut self.places[node];
        p.connections = p.connections.saturating_sub(closed);
        match way {
            // Cut off, or gone without a word: a new connection never comes up, an old one stays silent.
            None if fresh => {
                self.events.after(self.world.balancers.connect.0, Event::Expire(id, Code::ConnectFailed))
            }
            None => {}
            Some(_) if self.places[node].vanished && fresh => {
                self.events.after(self.world.balancers.connect.0, Event::Expire(id, Code::ConnectFailed));
            }
            Some(way) => {
                // A new connection takes a round trip before the request.
                let wait = if fresh { Micros(way.0 * 3) } else { way };
                self.events.after(wait, Event::Arrive(id));
            }
        }
    }

    /// How long a message takes; `None`: it does not come through.
    pub(super) fn way(&mut self, balancer: usize, node: usize) -> Option<Micros> {
        let (a, b) = (self.balancers[balancer].zone, self.places[node].zone);
        let n = &self.world.network;
        let between = if a == b { n.within } else { n.between };
        let time = between.draw(&mut self.draws.network);
        (a == b || self.cut.is_none_or(|zone| zone != a && zone != b)).then_some(time)
    }

    pub(super) fn back(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get(&id) else { return };
        if let Some(held) = self.held_back(a.balancer, || Event::Back(id, code)) {
            return held;
        }
        let Some(a) = self.attempts.get_mut(&id) else { return };
        if std::mem::replace(&mut a.ended, true) {
            return;
        }
        let (balancer, node, fresh_refused) = (a.balancer, a.node, code == Code::ConnectFailed);
        if matches!(code, Code::Ok | Code::Error | Code::Full) {
            self.balancers[balancer].idle.entry(node).or_default().push(now);
        } else if !fresh_refused {
            let p = &mut self.places[node];
            p.connections = p.connections.saturating_sub(1);
        }
        self.end_attempt(now, id, code);
    }

    /// The balancer gives an attempt up: its connection closes.
    pub(super) fn expire(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get(&id) else { return };
        if let Some(held) = self.held_back(a.balancer, || Event::Expire(id, code)) {
            return held;
        }
        let Some(a) = self.attempts.get_mut(&id) else { return };
        if a.ended || (code == Code::ConnectFailed && a.arrived) {
            return;
        }
        a.ended = true;
        let (balancer, node, arrived, fresh) = (a.balancer, a.node, a.arrived, a.fresh);
        // A new connection that never came up carried nothing.
        let code = if code == Code::Timeout && fresh && !arrived { Code::ConnectFailed } else { code };
        if arrived {
            let p = &mut self.places[node];
            p.connections = p.connections.saturating_sub(1);
            if let Some(way) = self.way(balancer, node) {
                self.events.after(way, Event::CallOff(node, id));
            }
        }
        self.end_attempt(now, id, code);
        // The node may still hold it; what it holds is told apart by `ended`.
        if !arrived {
            self.attempts.remove(&id);
        }
    }

    pub(super) fn end_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get(&id) else { return };
        let (call_id, number, node, balancer) = (a.call, a.number, a.node, a.balancer);
        let (latency, done) = (now - a.sent, a.done);
        let never = matches!(code, Code::Full | Code::ConnectFailed | Code::Moot);
        self.rules.ended(call_id, number, if never { Ran::Never } else { Ran::Perhaps });
        let held = self.reported(now, node).filter(|_| matches!(code, Code::Ok | Code::Error | Code::Full));
        if done {
            self.attempts.remove(&id);
        }
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.out -= 1;
        let mut answered = call.answered;
        if code == Code::Ok && !call.answered && !call.left {
            call.answered = true;
            answered = true;
            self.useful += call.work;
            let asker = call.asker;
            self.rules.answered(now, call_id);
            let wait = self.latency_to(balancer, asker);
            self.events.after(wait, Event::Answer(call_id, Final::Served));
        } else if self.calls.get(&call_id).is_some_and(|c| c.left) {
            answered = true;
        }
        let latency = Duration::from_micros(latency.0.max(0) as u64);
        let report = News::Ended {
            request: RequestId(call_id),
            attempt: number,
            code,
            latency,
            local_delay: Duration::ZERO,
            upstream_in_flight: held,
            answered,
        };
        self.post(now, balancer, Inbox::News(report));
    }

    pub(super) fn gone(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.answered {
            return self.forget(id);
        }
        // The balancer owes nothing any more.
        call.answered = true;
        let balancer = call.balancer;
        self.post(now, balancer, Inbox::News(News::ClientLeft(RequestId(id))));
    }

    /// The load that a node's report tells now.
    pub(super) fn reported(&mut self, now: Micros, node: usize) -> Option<f64> {
        let tier = self.places[node].tier;
        let r = self.world.tiers[tier].reports.as_ref()?;
        let delay = r.delay.0 + self.late_reports;
        let p = &mut self.places[node];
        // Taken anew in steps, and told late: between two steps the older one holds.
        if p.report.0 < Micros(0) || now - p.report.0 >= r.every.0 + delay {
            let noise = 1.0 + r.noise * (2.0 * self.draws.reports.unit() - 1.0);
            p.report = (now, (p.node.held() as f64 * noise).max(0.0));
        }
        Some(p.report.1)
    }
}
