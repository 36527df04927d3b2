//! The outcome of an attempt, and whom it tells of.

use super::*;

impl Balancer {
    pub(super) fn handle_outcome(&mut self, o: Outcome, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&o.id) else { return };
        let Some(a) = r.attempts.get_mut(o.attempt as usize).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.may_have_run = !matches!(o.code, Code::Full | Code::ConnectFailed | Code::Moot);
        let (server, class, price) = (a.server, r.class, r.price);
        let unsure = matches!(o.code, Code::Timeout | Code::Reset | Code::Cancelled);
        if let Some(turn) = r.key.filter(|_| unsure).and_then(|k| self.key_queues.get_mut(&k)) {
            turn.paused_until = self.now + self.settings.key_pause;
            actions.push(Action::Timer { at: turn.paused_until, token: PERIOD_TIMER + 1 });
        }
        // What this process was held up by tells of nobody else.
        let o = Outcome { latency: o.latency - o.local_delay, ..o };
        let expected = self.time_estimate.served_time(price).max(1.0);
        let sides = [class, r.tenant_index];
        let fault = self.requests.get(&o.id).map_or(0.0, |r| self.fault_share(r));
        self.record_fault(sides, expected, &o);
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
        let idle = self.requests.get(&o.id).filter(|r| r.attempts.iter().all(|a| !a.in_flight));
        match idle.map(|r| r.is_finished) {
            Some(true) => self.remove_request(o.id),
            Some(false) => self.retry(o.id, o.latency.0 as f64 / expected, actions),
            None => {}
        }
    }
}
