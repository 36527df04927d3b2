//! Processes of balancers that are killed and start anew, or are stopped and continue.

use super::*;

impl Day<'_> {
    /// The balancer that accepts a connection meant for this one: the balancer itself, or the next one
    /// whose process is not dead. A stopped balancer accepts connections, because the kernel does so on its
    /// listening socket.
    pub(super) fn accepting_balancer(&self, preferred: usize) -> Option<usize> {
        let count = self.world.tiers[0].balancers;
        (0..count).map(|i| (preferred + i) % count).find(|&b| self.balancers[b].process != ProcessState::Dead)
    }

    /// Sends a call whose balancer is dead on to another balancer.
    pub(super) fn redirect_call(&mut self, id: u64, to: usize) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.balancer = to;
            let wait = self.world.network.within.draw(&mut self.random.links);
            self.events.schedule_after(wait, Event::CallReachesBalancer(id));
        }
    }

    /// Intercepts an event for a balancer that is not running: it is queued until a stopped
    /// process continues, and dropped if the process is dead. Returns `None` if the balancer runs and has to
    /// handle the event itself.
    pub(super) fn defer_if_not_running(
        &mut self,
        balancer: usize,
        event: impl FnOnce() -> Event,
    ) -> Option<()> {
        let state = &mut self.balancers[balancer];
        match state.process {
            ProcessState::Running => None,
            ProcessState::Stopped => {
                state.queued_events.push(event());
                Some(())
            }
            ProcessState::Dead => Some(()),
        }
    }

    /// Kills a balancer's process at once: its connections end, and the requests that it had accepted
    /// are lost.
    pub(super) fn kill_balancer(&mut self, now: Micros, balancer: usize) {
        let state = &mut self.balancers[balancer];
        state.process = ProcessState::Dead;
        state.consult_at = None;
        state.inbox.clear();
        state.queued_events.clear();
        let idle = std::mem::take(&mut state.idle);
        for (node, since) in idle {
            let node_state = &mut self.nodes[node];
            node_state.connections = node_state.connections.saturating_sub(since.len());
        }
        let mut open: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.balancer == balancer && !attempt.ended)
            .map(|(&id, _)| id)
            .collect();
        open.sort_unstable();
        for id in open {
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            attempt.ended = true;
            let (node, arrived) = (attempt.node, attempt.arrived);
            if arrived {
                let node_state = &mut self.nodes[node];
                node_state.connections = node_state.connections.saturating_sub(1);
                if let Some(delay) = self.draw_one_way_delay(balancer, node) {
                    self.events.schedule_after(delay, Event::CancelReachesNode(node, id));
                }
            } else {
                self.attempts.remove(&id);
            }
        }
        let mut accepted: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.balancer == balancer && c.accepted)
            .map(|(&id, _)| id)
            .collect();
        accepted.sort_unstable();
        for id in accepted {
            let Some(call) = self.calls.get_mut(&id) else { continue };
            let (caller, unanswered) = (call.caller, !call.caller_left && !call.answered);
            // A dead process gives no answer and has no attempt in flight.
            (call.answered, call.in_flight) = (true, 0);
            call.attempts.clear();
            self.checker.client_left(id);
            if unanswered {
                let wait = self.answer_delay(balancer, caller);
                self.events.schedule_at(now + wait, Event::AnswerReachesCaller(id, FinalAnswer::Failed));
            }
            self.remove_ended_call(id);
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.kill(balancer);
        }
    }

    /// Starts a balancer's process anew, with the node list as its only state.
    pub(super) fn start_balancer(&mut self, now: Micros, balancer: usize) {
        let (tier, zone) = (self.balancers[balancer].tier, self.balancers[balancer].zone);
        self.restarts += 1;
        let policy = self.new_policy(balancer, tier, zone, self.restarts, now);
        let known = self.whole_list(tier);
        for node in self.first_node[tier]..self.first_node[tier] + self.world.tiers[tier].nodes {
            self.checker.node_state_notified(now, balancer, node, true);
            if self.listed_state(node) != ListedState::Ready {
                self.checker.node_state_notified(now, balancer, node, false);
            }
        }
        let state = &mut self.balancers[balancer];
        (state.policy, state.process) = (policy, ProcessState::Running);
        self.post_to_balancer(now, balancer, PolicyInput::Report(PolicyReport::InitialList(known)));
        if let Some(fleet) = &mut self.fleet {
            let due = fleet.start(now, balancer, self.restarts);
            self.events.schedule_at(due, Event::LinkTimer(balancer));
        }
    }

    /// Stops a balancer's process, as SIGSTOP or a halted machine does.
    pub(super) fn stop_balancer(&mut self, balancer: usize) {
        if self.balancers[balancer].process == ProcessState::Running {
            self.balancers[balancer].process = ProcessState::Stopped;
        }
    }

    /// Continues a stopped process: the events queued meanwhile occur at once.
    pub(super) fn continue_balancer(&mut self, now: Micros, balancer: usize) {
        let state = &mut self.balancers[balancer];
        if state.process != ProcessState::Stopped {
            return;
        }
        state.process = ProcessState::Running;
        state.consult_at = None;
        for event in std::mem::take(&mut state.queued_events) {
            self.events.schedule_at(now, event);
        }
        self.schedule_consultation(balancer, now);
        if self.fleet.is_some() {
            self.events.schedule_at(now, Event::LinkTimer(balancer));
        }
    }
}
