//! The outcome of an attempt, and whom it tells of.

use super::*;

impl Balancer {
    pub(super) fn outcome(&mut self, o: Outcome, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&o.id) else { return };
        let Some(a) = r.attempts.get_mut(o.attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !matches!(o.code, Code::Full | Code::ConnectFailed | Code::Moot);
        let (server, class, price) = (a.server, r.class, r.price);
        let unsure = matches!(o.code, Code::Timeout | Code::Reset | Code::Cancelled);
        if let Some(turn) = r.key.filter(|_| unsure).and_then(|k| self.turns.get_mut(&k)) {
            turn.rest = self.now + self.set.key_pause;
            actions.push(Action::Timer { at: turn.rest, token: TICK + 1 });
        }
        // What this process was held up by tells of nobody else.
        let o = Outcome { latency: o.latency - o.local_delay, ..o };
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
        if o.is_final {
            self.over(o.id, actions);
        }
        let idle = self.requests.get(&o.id).filter(|r| r.attempts.iter().all(|a| !a.out));
        match idle.map(|r| r.over) {
            Some(true) => self.forget(o.id),
            Some(false) => self.again(o.id, o.latency.0 as f64 / expected, actions),
            None => {}
        }
    }
}
