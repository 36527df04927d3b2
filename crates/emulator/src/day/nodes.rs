//! Nodes, and the list that announces their states to balancers.

use super::clients::round_randomly;
use super::*;

impl Day<'_> {
    pub(super) fn attempt_reaches_node(&mut self, now: Micros, id: u64) {
        let Some(attempt_state) = self.attempts.get_mut(&id) else { return };
        if attempt_state.ended {
            // The attempt was cancelled on its way to the node.
            self.attempts.remove(&id);
            return;
        }
        let (node, balancer, call_id, new_connection, segment_work) = (
            attempt_state.node,
            attempt_state.balancer,
            attempt_state.call,
            attempt_state.new_connection,
            attempt_state.segment_work,
        );
        let tier = self.nodes[node].tier;
        let tier_config = &self.world.tiers[tier];
        if self.nodes[node].vanished {
            return; // The node has disappeared and sends nothing back.
        }
        let Some(delay) = self.draw_one_way_delay(balancer, node) else { return };
        if self.nodes[node].stopped
            || (new_connection && self.nodes[node].connections >= tier_config.connections)
        {
            let code = if new_connection { Code::ConnectFailed } else { Code::Reset };
            return self.events.schedule_after(delay, Event::AttemptEndReachesBalancer(id, code));
        }
        let load_on_arrival = self.nodes[node].processor.in_flight();
        if let Some(attempt_state) = self.attempts.get_mut(&id) {
            (attempt_state.arrived, attempt_state.arrived_at, attempt_state.load_on_arrival) =
                (true, now, load_on_arrival);
        }
        let node_state = &mut self.nodes[node];
        node_state.connections += usize::from(new_connection);
        if node_state.draining {
            return self.finish_attempt(now, id, Code::Full);
        }
        let Some(call) = self.calls.get(&call_id) else { return };
        let (key, keyed) = (call.key, self.world.classes[call.class].repeat == Repeat::Keyed);
        let window = self.world.classes[call.class].window.0;
        let work = segment_work + if new_connection { tier_config.handshake.0 .0 as f64 } else { 0.0 };
        let (all, cell) = (call.work, self.nodes[node].cell);
        if self.checker.work_sent(now, node, all, self.nodes[node].processor.capacity()) {
            return self.crash_node(now, node);
        }
        if self.random.errors.chance(self.nodes[node].fast_error_share) {
            return self.finish_attempt(now, id, Code::Error);
        }
        if keyed {
            let seen = self.seen_keys.get(&(tier, cell, key)).is_some_and(|at| now - *at < window);
            if seen {
                // The cell has seen the key: the repeat is dropped, and answered as the first request was.
                return self.finish_attempt(now, id, Code::Ok);
            }
        }
        match self.nodes[node].processor.submit(now, id, work) {
            Admission::Full => self.finish_attempt(now, id, Code::Full),
            _ => {
                if keyed {
                    self.seen_keys.insert((tier, cell, key), now);
                    if self.seen_keys.len() > 1 << 20 {
                        let longest = self.world.classes.iter().map(|c| c.window.0).max().unwrap_or_default();
                        self.seen_keys.retain(|_, at| now - *at < longest);
                    }
                }
                self.reschedule_node(now, node);
            }
        }
    }

    /// Ends an attempt at its node and sends the answer.
    pub(super) fn finish_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(attempt_state) = self.attempts.get_mut(&id) else { return };
        attempt_state.finished = true;
        let (node, balancer, took, load_on_arrival) = (
            attempt_state.node,
            attempt_state.balancer,
            now - attempt_state.arrived_at,
            attempt_state.load_on_arrival,
        );
        if attempt_state.ended {
            self.attempts.remove(&id);
            return;
        }
        if code == Code::Ok {
            let at = node - self.first_node[self.nodes[node].tier];
            let mut true_states = self.true_states[self.nodes[node].tier].borrow_mut();
            true_states[at].record_time(load_on_arrival, took.0 as f64);
        }
        if let Some(delay) = self.draw_one_way_delay(balancer, node) {
            self.events.schedule_at(now + delay, Event::AttemptEndReachesBalancer(id, code));
        }
    }

    /// Handles the requests that are finished at a node, and schedules the node's next event.
    pub(super) fn handle_finished_requests(&mut self, now: Micros, node: usize) {
        while let Some(id) = self.nodes[node].processor.pop_finished(now) {
            let Some(attempt_state) = self.attempts.get_mut(&id) else { continue };
            if attempt_state.segments_left > 0 && !attempt_state.ended {
                attempt_state.segments_left -= 1;
                self.nodes[node].processor.wait_for_next_tier();
                self.call_next_tier(now, id);
                continue;
            }
            let node_state = &self.nodes[node];
            let (errors, spoilt) = (self.world.tiers[node_state.tier].errors, node_state.spoilt_share);
            let fails = self.random.errors.chance(errors) || self.random.errors.chance(spoilt);
            self.finish_attempt(now, id, if fails { Code::Error } else { Code::Ok });
        }
        self.reschedule_node(now, node);
    }

    pub(super) fn reschedule_node(&mut self, now: Micros, node: usize) {
        let node_state = &mut self.nodes[node];
        node_state.event_number += 1;
        let number = node_state.event_number;
        let mut true_states = self.true_states[node_state.tier].borrow_mut();
        let true_state = &mut true_states[node - self.first_node[node_state.tier]];
        (true_state.in_flight, true_state.capacity) = (
            node_state.processor.in_flight(),
            if node_state.vanished || node_state.stopped { 0.0 } else { node_state.processor.capacity() },
        );
        if let Some(at) = node_state.processor.next_event() {
            self.events.schedule_at(at.max(now), Event::NodeProgress(node, number));
        }
    }

    /// Makes the call to the next tier for a request in process at a node.
    pub(super) fn call_next_tier(&mut self, now: Micros, attempt: u64) {
        let Some(attempt_state) = self.attempts.get(&attempt) else { return };
        let (node, parent) = (attempt_state.node, attempt_state.call);
        let Some(parent_call) = self.calls.get(&parent) else {
            return self.next_tier_call_ended(now, attempt, false);
        };
        let (class, tenant, expires) = (parent_call.class, parent_call.tenant, parent_call.expires);
        let tier = self.nodes[node].tier + 1;
        let class_config = &self.world.classes[class];
        let work = class_config.shape.draw(self.world.mean_work(class, tier), &mut self.random.later_tiers);
        let calls = if tier + 1 < self.world.tiers.len() {
            round_randomly(class_config.calls, &mut self.random.later_tiers)
        } else {
            0
        };
        let key = self.random.later_tiers.bits();
        let call = Call {
            tier,
            balancer: self.next_tier_balancer[node],
            class,
            tenant,
            caller: Caller::NodeRequest(attempt),
            expires,
            repeat: false,
            key,
            work,
            calls,
            attempts: Vec::new(),
            in_flight: 0,
            answered: false,
            caller_left: false,
            accepted: false,
        };
        let call_id = self.last_id + 1;
        if let Some(attempt_state) = self.attempts.get_mut(&attempt) {
            attempt_state.awaited_call = Some(call_id);
        }
        self.start_call(now, call);
    }

    /// Handles the end of a call to the next tier: its answer, or the lack of one in time.
    pub(super) fn next_tier_call_ended(&mut self, now: Micros, attempt: u64, served: bool) {
        let Some(attempt_state) = self.attempts.get_mut(&attempt) else { return };
        attempt_state.awaited_call = None;
        let (node, segment_work, ended) =
            (attempt_state.node, attempt_state.segment_work, attempt_state.ended);
        if served && !ended {
            self.nodes[node].processor.resume(now, attempt, segment_work);
        } else {
            self.nodes[node].processor.end_wait_for_next_tier(now);
            self.finish_attempt(now, attempt, Code::Error);
        }
        self.reschedule_node(now, node);
    }

    pub(super) fn cancel_at_node(&mut self, now: Micros, node: usize, id: u64) {
        let stops = self.nodes[node].processor.config().cancel_stops;
        let awaited_call = self.attempts.get(&id).and_then(|a| a.awaited_call);
        if self.nodes[node].processor.cancel(now, id) {
            self.attempts.remove(&id);
        } else if let Some(call) = awaited_call.filter(|_| stops) {
            // The request waits for the next tier, and the call there ends with it.
            self.attempts.remove(&id);
            self.nodes[node].processor.end_wait_for_next_tier(now);
            if let Some(c) = self.calls.get_mut(&call) {
                c.caller_left = true;
                let accepted = c.accepted;
                self.checker.client_left(call);
                if accepted {
                    self.events.schedule_after(Micros(20), Event::CallerLeaves(call));
                }
                self.remove_ended_call(call);
            }
        }
        self.reschedule_node(now, node);
    }

    pub(super) fn update_speed(&mut self, now: Micros, node: usize) {
        let node_state = &mut self.nodes[node];
        let tier_config = &self.world.tiers[node_state.tier];
        let warmth = node_state.cold_since.map_or(1.0, |from| {
            let age = (now - from).0 as f64 / tier_config.warm_after.0 .0.max(1) as f64;
            tier_config.cold_share + (1.0 - tier_config.cold_share) * age.clamp(0.0, 1.0)
        });
        let halted = node_state.hung || node_state.vanished || node_state.stopped || node_state.paused;
        node_state.processor.set_speed_factor(now, if halted { 0.0 } else { warmth / node_state.slowdown });
        self.reschedule_node(now, node);
    }

    pub(super) fn warm_node(&mut self, now: Micros, node: usize) {
        let node_state = &mut self.nodes[node];
        let Some(from) = node_state.cold_since else { return };
        let ramp = self.world.tiers[node_state.tier].warm_after.0;
        if now - from >= ramp {
            node_state.cold_since = None;
            self.checker.node_warmed_up(node);
        } else {
            self.events.schedule_after(Micros((ramp.0 / WARM_UP_STEPS).max(1)), Event::WarmNode(node));
        }
        self.update_speed(now, node);
    }

    pub(super) fn change_pause(&mut self, now: Micros, node: usize, begins: bool) {
        let Some(pauses) = self.world.tiers[self.nodes[node].tier].pauses.clone() else { return };
        self.nodes[node].paused = begins;
        self.update_speed(now, node);
        if now < self.arrivals_end {
            let stream = &mut self.random.pauses;
            let wait = if begins {
                pauses.last.draw(stream)
            } else {
                Micros(stream.exponential(pauses.every.0 .0 as f64) as i64)
            };
            self.events.schedule_after(wait, Event::PauseChanges(node, !begins));
        } else if begins {
            self.events.schedule_after(pauses.last.high.0, Event::PauseChanges(node, false));
        }
    }

    /// Ends all requests at a node and resets its connections.
    pub(super) fn reset_node(&mut self, now: Micros, node: usize) {
        self.nodes[node].processor.remove_all(now);
        let mut on_node: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt_state)| {
                attempt_state.node == node && attempt_state.arrived && !attempt_state.finished
            })
            .map(|(&id, _)| id)
            .collect();
        on_node.sort_unstable();
        for id in on_node {
            let Some(attempt_state) = self.attempts.get(&id) else { continue };
            let (balancer, ended, awaited_call) =
                (attempt_state.balancer, attempt_state.ended, attempt_state.awaited_call);
            if let Some(call) = awaited_call.and_then(|c| self.calls.get_mut(&c)) {
                call.caller_left = true;
            }
            if let Some(call) = awaited_call {
                self.checker.client_left(call);
                self.events.schedule_after(Micros(20), Event::CallerLeaves(call));
                self.remove_ended_call(call);
            }
            if ended {
                self.attempts.remove(&id);
            } else {
                if let Some(attempt_state) = self.attempts.get_mut(&id) {
                    (attempt_state.finished, attempt_state.awaited_call) = (true, None);
                }
                if let Some(delay) = self.draw_one_way_delay(balancer, node) {
                    self.events.schedule_after(delay, Event::AttemptEndReachesBalancer(id, Code::Reset));
                }
            }
        }
        self.nodes[node].connections = 0;
        for b in &mut self.balancers {
            if b.tier == self.nodes[node].tier {
                b.idle.remove(&node);
            }
        }
        self.reschedule_node(now, node);
    }

    pub(super) fn start_node(&mut self, now: Micros, node: usize) {
        let node_state = &mut self.nodes[node];
        let tier_config = &self.world.tiers[node_state.tier];
        (node_state.stopped, node_state.vanished, node_state.draining) = (false, false, false);
        (node_state.started_at, node_state.cold_since) = (Some(now), Some(now));
        self.checker.node_started(node, tier_config.tip_factor, tier_config.tip_window.0);
        self.warm_node(now, node);
        self.announce_node(now, node, ListedState::Ready);
    }

    /// Crashes a node, which then stays stopped.
    pub(super) fn crash_node(&mut self, now: Micros, node: usize) {
        self.nodes[node].stopped = true;
        self.reset_node(now, node);
        self.update_speed(now, node);
        self.announce_node(now, node, ListedState::Removed);
    }

    pub(super) fn stop_node(&mut self, now: Micros, node: usize) {
        if self.nodes[node].draining {
            self.nodes[node].stopped = true;
            self.reset_node(now, node);
            self.update_speed(now, node);
            self.announce_node(now, node, ListedState::Removed);
        }
    }

    /// Notifies all balancers of a tier of a node's state, each after its own delay.
    pub(super) fn announce_node(&mut self, now: Micros, node: usize, state: ListedState) {
        let (tier, since) = (self.nodes[node].tier, self.nodes[node].started_at);
        let delay = self.world.tiers[tier].list.delay;
        for balancer in 0..self.balancers.len() {
            if self.balancers[balancer].tier == tier {
                let wait = delay.draw(&mut self.random.list);
                self.events.schedule_at(now + wait, Event::ListUpdate(balancer, node, state, since));
            }
        }
    }

    pub(super) fn deliver_list_update(
        &mut self,
        now: Micros,
        balancer: usize,
        node: usize,
        state: ListedState,
        since: Option<Micros>,
    ) {
        if let Some(deferred) =
            self.defer_if_not_running(balancer, || Event::ListUpdate(balancer, node, state, since))
        {
            return deferred;
        }
        if self.list_is_stale {
            return self.withheld_updates.push((balancer, node, state, since));
        }
        self.checker.node_state_notified(now, balancer, node, state == ListedState::Ready);
        let listing = Listing { started_at: since, ..self.listing(node, state) };
        let list = HostList { seq: 2, whole: false, hosts: vec![(listing, None)] };
        self.post_to_balancer(now, balancer, PolicyInput::Report(PolicyReport::List(list)));
    }

    pub(super) fn deliver_whole_list(&mut self, now: Micros, balancer: usize) {
        if let Some(deferred) = self.defer_if_not_running(balancer, || Event::WatchAnswered(balancer)) {
            return deferred;
        }
        let tier = self.balancers[balancer].tier;
        let list = self.whole_list(tier);
        for node in self.first_node[tier]..self.first_node[tier] + self.world.tiers[tier].nodes {
            let state = self.listed_state(node);
            if state != ListedState::Ready {
                self.checker.node_state_notified(now, balancer, node, false);
            }
        }
        self.post_to_balancer(now, balancer, PolicyInput::Report(PolicyReport::List(list)));
    }
}
