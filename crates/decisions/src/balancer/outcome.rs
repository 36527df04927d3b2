//! The outcome of an attempt: what it shows about the server, the class and the tenant, and what follows for
//! the request.

use super::*;

impl Balancer {
    /// Records the outcome of an attempt, and ends or retries its request.
    pub(super) fn handle_outcome(&mut self, o: Outcome, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&o.id) else { return };
        let Some(a) = r.attempts.get_mut(o.attempt as usize).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.may_have_run = !matches!(o.code, Code::Full | Code::ConnectFailed | Code::Moot);
        let (server, class, price) = (a.server, r.class, r.price);
        let may_still_run = matches!(o.code, Code::Timeout | Code::Reset | Code::Cancelled);
        if let Some(queue) = r.key.filter(|_| may_still_run).and_then(|k| self.key_queues.get_mut(&k)) {
            queue.paused_until = self.now + self.settings.key_pause;
            actions.push(Action::Timer { at: queue.paused_until, token: PERIOD_TIMER + 1 });
        }
        // A delay in this process says nothing about the server, the class or the tenant.
        let o = Outcome { latency: o.latency - o.local_delay, ..o };
        let expected = self.time_estimate.served_time(price).max(1.0);
        let indices = [class, r.tenant_index];
        let fault = self.requests.get(&o.id).map_or(0.0, |r| self.fault_share(r));
        self.record_fault(indices, expected, &o);
        if fault < FAULTY_SHARE {
            self.record_congestion(server, class, &o);
            if o.code == Code::Ok {
                self.learn_served_time(server, class, price, expected, o.latency.0 as f64);
            }
        }
        self.record_outcome(server, class, expected, 1.0 - fault, &o);
        if o.is_final {
            self.close_request(o.id, actions);
        }
        let without_attempts = self.requests.get(&o.id).filter(|r| r.attempts.iter().all(|a| !a.in_flight));
        match without_attempts.map(|r| r.is_finished) {
            Some(true) => self.remove_request(o.id),
            Some(false) => self.retry(o.id, o.latency.0 as f64 / expected, actions),
            None => {}
        }
    }
}
