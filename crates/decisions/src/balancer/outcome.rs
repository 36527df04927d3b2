//! The outcome of an attempt: what it shows about the server, the class and the tenant, and what follows for
//! the request.

use super::*;

impl Balancer {
    /// Records the outcome of an attempt, and ends or retries its request.
    pub(super) fn handle_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let Some(attempt) =
            request.attempts.get_mut(outcome.attempt as usize).filter(|attempt| attempt.in_flight)
        else {
            return;
        };
        attempt.in_flight = false;
        attempt.may_have_run = !matches!(outcome.code, Code::Full | Code::ConnectFailed | Code::Moot);
        let (server_id, class, price) = (attempt.server, request.class, request.price);
        let may_still_run = matches!(outcome.code, Code::Timeout | Code::Reset | Code::Cancelled);
        if let Some(queue) = request.key.filter(|_| may_still_run).and_then(|k| self.key_queues.get_mut(&k)) {
            queue.paused_until = self.now + self.settings.key_pause;
            actions.push(Action::Timer { at: queue.paused_until, token: PERIOD_TIMER + 1 });
        }
        // A delay in this process says nothing about the server, the class or the tenant.
        let outcome = Outcome { latency: outcome.latency - outcome.local_delay, ..outcome };
        let expected = self.time_estimate.served_time(price).max(1.0);
        let indices = [class, request.tenant_index];
        let fault = self.requests.get(&outcome.id).map_or(0.0, |request| self.fault_share(request));
        self.record_fault(indices, expected, &outcome);
        if fault < FAULTY_SHARE {
            self.record_congestion(server_id, class, &outcome);
            if outcome.code == Code::Ok {
                self.learn_served_time(server_id, class, price, expected, outcome.latency.0 as f64);
            }
        }
        self.record_outcome(server_id, class, expected, 1.0 - fault, &outcome);
        if outcome.is_final {
            self.close_request(outcome.id, actions);
        }
        let without_attempts = self
            .requests
            .get(&outcome.id)
            .filter(|request| request.attempts.iter().all(|attempt| !attempt.in_flight));
        match without_attempts.map(|request| request.is_finished) {
            Some(true) => self.remove_request(outcome.id),
            Some(false) => self.retry(outcome.id, outcome.latency.0 as f64 / expected, actions),
            None => {}
        }
    }
}
