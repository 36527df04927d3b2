//! Balancers: the input of their policies, and the execution of the policies' decisions.

use super::*;

impl Day<'_> {
    pub(super) fn call_reaches_balancer(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.caller_left {
            self.calls.remove(&id);
            return;
        }
        if self.balancers[call.balancer].process == ProcessState::Dead {
            // The connection is refused at once, and the caller tries another balancer.
            let drawn = call.balancer;
            return match self.accepting_balancer(drawn) {
                Some(other) => self.redirect_call(id, other),
                None => {
                    self.events.schedule_after(Micros(0), Event::AnswerReachesCaller(id, FinalAnswer::Failed))
                }
            };
        }
        call.accepted = true;
        let class = &self.world.classes[call.class];
        let allows = match class.repeat {
            Repeat::Safe => AllowedRepeats::Any,
            Repeat::Keyed => AllowedRepeats::InCell(class.window.0),
            Repeat::Never => AllowedRepeats::None,
        };
        let config = &self.world.balancers;
        self.checker.request_accepted(id, call.expires, allows, config.attempts, config.parallel);
        let request = PickRequest {
            request: RequestId(id),
            class: ClassId(call.class as u32),
            tenant: (call.tenant != usize::MAX).then_some(TenantId(call.tenant as u32)),
            expires: call.expires,
            cost: class.hints.then_some(Micros(call.work as i64)),
            repeat: call.repeat,
            key: Some(KeyId(call.key)),
        };
        let balancer = call.balancer;
        self.post_to_balancer(now, balancer, PolicyInput::Request(request));
    }

    pub(super) fn post_to_balancer(&mut self, now: Micros, balancer: usize, input: PolicyInput) {
        self.balancers[balancer].inbox.push(input);
        self.schedule_consultation(balancer, now);
    }

    /// Schedules a consultation of a balancer's policy for this time, rounded up to the
    /// resolution of its clock, unless an earlier one is scheduled.
    pub(super) fn schedule_consultation(&mut self, balancer: usize, at: Micros) {
        let step = self.world.balancers.resolution.0 .0;
        let at = if step > 0 { Micros((at.0 + step - 1).div_euclid(step) * step) } else { at };
        let state = &mut self.balancers[balancer];
        if state.consult_at.is_none_or(|due| at < due) {
            state.consult_at = Some(at);
            self.events.schedule_at(at, Event::ConsultPolicy(balancer));
        }
    }

    pub(super) fn consult_policy(&mut self, now: Micros, balancer: usize) {
        let state = &self.balancers[balancer];
        if state.process != ProcessState::Running || state.consult_at.is_none_or(|due| due > now) {
            return;
        }
        self.balancers[balancer].consult_at = None;
        for input in std::mem::take(&mut self.balancers[balancer].inbox) {
            self.policy_calls += 1;
            let policy = &mut self.balancers[balancer].policy;
            let (decisions, ended_request) = match input {
                PolicyInput::Request(request) => (policy.pick(now, request), None),
                PolicyInput::Report(report) => {
                    let ended_request = match &report {
                        PolicyReport::Ended { request, .. } | PolicyReport::ClientLeft(request) => {
                            Some(request.0)
                        }
                        _ => None,
                    };
                    (policy.report(now, report), ended_request)
                }
            };
            self.execute_decisions(now, balancer, decisions);
            if let Some(id) = ended_request {
                self.remove_ended_call(id);
            }
        }
        if self.balancers[balancer].policy.next_tick().is_some_and(|t| t <= now) {
            let decisions = self.balancers[balancer].policy.tick(now);
            self.execute_decisions(now, balancer, decisions);
        }
        if let Some(tick) = self.balancers[balancer].policy.next_tick() {
            self.schedule_consultation(balancer, tick.max(now + Micros(1)));
        }
    }

    pub(super) fn execute_decisions(&mut self, now: Micros, balancer: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    let node = self.first_node[self.balancers[balancer].tier] + upstream.0 as usize;
                    self.send_attempt(now, balancer, request.0, node, timeout);
                }
                Decision::Refuse { request, retry_after } => {
                    let wait = retry_after.map(|t| Micros(t.as_micros() as i64));
                    self.record_final_answer(now, request.0, FinalAnswer::Refused(wait));
                }
                Decision::Fail(request) => self.record_final_answer(now, request.0, FinalAnswer::Failed),
                Decision::Cancel { request, attempt } => {
                    let id =
                        self.calls.get(&request.0).and_then(|c| c.attempts.get(attempt as usize)).copied();
                    if let Some(id) = id {
                        self.expire_attempt(now, id, Code::Cancelled);
                    }
                }
                Decision::Watch => {
                    let delay = self.world.tiers[self.balancers[balancer].tier].list.delay;
                    let wait = delay.draw(&mut self.random.list);
                    self.events.schedule_after(wait, Event::WatchAnswered(balancer));
                }
                Decision::Wait(_) | Decision::Commit { .. } | Decision::Log(_) => {}
            }
        }
    }

    /// Records a final answer that the policy has decided, and sends it.
    pub(super) fn record_final_answer(&mut self, now: Micros, id: u64, answer: FinalAnswer) {
        let Some(call) = self.calls.get_mut(&id) else {
            return; // The caller has left, and no attempt is in flight.
        };
        // An earlier answer stands, even if the policy was not notified of it yet; the real program does the
        // same.
        if std::mem::replace(&mut call.answered, true) {
            return;
        }
        let (caller, balancer) = (call.caller, call.balancer);
        if !call.caller_left {
            self.checker.request_answered(now, id);
        }
        let wait = self.answer_delay(balancer, caller);
        self.events.schedule_after(wait, Event::AnswerReachesCaller(id, answer));
        self.remove_ended_call(id);
    }

    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        balancer: usize,
        call_id: u64,
        node: usize,
        timeout: Duration,
    ) {
        let id = self.next_id();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let number = call.attempts.len() as u32;
        call.attempts.push(id);
        if call.caller_left || call.answered {
            // The call has ended: the attempt is never sent, as in the real program.
            let request = RequestId(call_id);
            let (code, latency, answered) = (Code::Moot, Duration::ZERO, call.answered);
            let report = PolicyReport::Ended {
                request,
                attempt: number,
                code,
                latency,
                local_delay: Duration::ZERO,
                upstream_in_flight: None,
                answered,
            };
            return self.post_to_balancer(now, balancer, PolicyInput::Report(report));
        }
        call.in_flight += 1;
        let (calls, work, tier) = (call.calls, call.work, call.tier);
        self.attempts_sent += 1;
        if let (0, Caller::Client(c)) = (tier, call.caller) {
            self.first_tier_attempts += u64::from(self.clients[c as usize].counted);
        }
        let node_state = &self.nodes[node];
        self.checker.attempt_sent(now, call_id, node_state.cell);
        self.checker.node_sent_to(now, balancer, node);
        let keep = self.world.tiers[tier].idle.0;
        let idle = self.balancers[balancer].idle.entry(node).or_default();
        let before = idle.len();
        idle.retain(|since| now - *since < keep);
        let closed = before - idle.len();
        let new_connection = idle.pop().is_none();
        let attempt = Attempt {
            call: call_id,
            number,
            node,
            balancer,
            sent: now,
            new_connection,
            ended: false,
            arrived: false,
            arrived_at: now,
            load_on_arrival: 0,
            segments_left: calls,
            segment_work: work / f64::from(calls + 1),
            awaited_call: None,
            finished: false,
        };
        self.attempts.insert(id, attempt);
        let timeout = Micros(timeout.as_micros().min(i64::MAX as u128 / 4) as i64);
        self.events.schedule_after(timeout, Event::AttemptExpires(id, Code::Timeout));
        let delay = self.draw_one_way_delay(balancer, node);
        let node_state = &mut self.nodes[node];
        node_state.connections = node_state.connections.saturating_sub(closed);
        match delay {
            // The node is cut off or has disappeared: a new connection is never established, an old one
            // gets no answer.
            None if new_connection => self.events.schedule_after(
                self.world.balancers.connect.0,
                Event::AttemptExpires(id, Code::ConnectFailed),
            ),
            None => {}
            Some(_) if self.nodes[node].vanished && new_connection => {
                self.events.schedule_after(
                    self.world.balancers.connect.0,
                    Event::AttemptExpires(id, Code::ConnectFailed),
                );
            }
            Some(delay) => {
                // A new connection needs a round trip before the request can be sent.
                let wait = if new_connection { Micros(delay.0 * 3) } else { delay };
                self.events.schedule_after(wait, Event::AttemptReachesNode(id));
            }
        }
    }

    /// Draws the one-way delay of a message; `None`: a partition drops the message.
    pub(super) fn draw_one_way_delay(&mut self, balancer: usize, node: usize) -> Option<Micros> {
        let (from, to) = (self.balancers[balancer].zone, self.nodes[node].zone);
        let network = &self.world.network;
        let range = if from == to { network.within } else { network.between };
        let time = range.draw(&mut self.random.network);
        (from == to || self.partitioned_zone.is_none_or(|zone| zone != from && zone != to)).then_some(time)
    }

    pub(super) fn attempt_end_arrives(&mut self, now: Micros, id: u64, code: Code) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let Some(deferred) =
            self.defer_if_not_running(attempt.balancer, || Event::AttemptEndReachesBalancer(id, code))
        {
            return deferred;
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let (balancer, node, connect_failed) = (attempt.balancer, attempt.node, code == Code::ConnectFailed);
        if matches!(code, Code::Ok | Code::Error | Code::Full) {
            self.balancers[balancer].idle.entry(node).or_default().push(now);
        } else if !connect_failed {
            let node_state = &mut self.nodes[node];
            node_state.connections = node_state.connections.saturating_sub(1);
        }
        self.end_attempt(now, id, code);
    }

    /// Ends an attempt on the balancer's side (time-out or cancellation): its connection closes.
    pub(super) fn expire_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let Some(deferred) =
            self.defer_if_not_running(attempt.balancer, || Event::AttemptExpires(id, code))
        {
            return deferred;
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.ended || (code == Code::ConnectFailed && attempt.arrived) {
            return;
        }
        attempt.ended = true;
        let (balancer, node, arrived, new_connection) =
            (attempt.balancer, attempt.node, attempt.arrived, attempt.new_connection);
        // A new connection that was never established has not carried the request.
        let code =
            if code == Code::Timeout && new_connection && !arrived { Code::ConnectFailed } else { code };
        if arrived {
            let node_state = &mut self.nodes[node];
            node_state.connections = node_state.connections.saturating_sub(1);
            if let Some(delay) = self.draw_one_way_delay(balancer, node) {
                self.events.schedule_after(delay, Event::CancelReachesNode(node, id));
            }
        }
        self.end_attempt(now, id, code);
        // A node that has received the attempt still refers to it; `ended` tells the node's handlers that it
        // is over.
        if !arrived {
            self.attempts.remove(&id);
        }
    }

    pub(super) fn end_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (call_id, number, node, balancer) =
            (attempt.call, attempt.number, attempt.node, attempt.balancer);
        let (latency, done) = (now - attempt.sent, attempt.finished);
        let never_ran = matches!(code, Code::Full | Code::ConnectFailed | Code::Moot);
        self.checker.attempt_ended(
            call_id,
            number,
            if never_ran { Execution::Never } else { Execution::Possible },
        );
        let reported_load =
            self.reported_load(now, node).filter(|_| matches!(code, Code::Ok | Code::Error | Code::Full));
        if done {
            self.attempts.remove(&id);
        }
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.in_flight -= 1;
        let mut answered = call.answered;
        if code == Code::Ok && !call.answered && !call.caller_left {
            call.answered = true;
            answered = true;
            self.useful_work += call.work;
            let caller = call.caller;
            self.checker.request_answered(now, call_id);
            let wait = self.answer_delay(balancer, caller);
            self.events.schedule_after(wait, Event::AnswerReachesCaller(call_id, FinalAnswer::Served));
        } else if self.calls.get(&call_id).is_some_and(|c| c.caller_left) {
            answered = true;
        }
        let latency = Duration::from_micros(latency.0.max(0) as u64);
        let report = PolicyReport::Ended {
            request: RequestId(call_id),
            attempt: number,
            code,
            latency,
            local_delay: Duration::ZERO,
            upstream_in_flight: reported_load,
            answered,
        };
        self.post_to_balancer(now, balancer, PolicyInput::Report(report));
    }

    pub(super) fn caller_leaves(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.answered {
            return self.remove_ended_call(id);
        }
        // The balancer has no answer left to give.
        call.answered = true;
        let balancer = call.balancer;
        self.post_to_balancer(now, balancer, PolicyInput::Report(PolicyReport::ClientLeft(RequestId(id))));
    }

    /// The load in a node's report at this time; `None` if its tier sends no reports.
    pub(super) fn reported_load(&mut self, now: Micros, node: usize) -> Option<f64> {
        let tier = self.nodes[node].tier;
        let reports = self.world.tiers[tier].reports.as_ref()?;
        let delay = reports.delay.0 + self.added_report_delay;
        let node_state = &mut self.nodes[node];
        // The load is measured at intervals; between two measurements the older value is reported.
        if node_state.load_report.0 < Micros(0) || now - node_state.load_report.0 >= reports.every.0 + delay {
            let noise = 1.0 + reports.noise * (2.0 * self.random.reports.unit() - 1.0);
            node_state.load_report = (now, (node_state.processor.in_flight() as f64 * noise).max(0.0));
        }
        Some(node_state.load_report.1)
    }
}
