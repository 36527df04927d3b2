//! Balancers' processes that are killed and start anew, or stand still and go on.

use super::*;

impl Day<'_> {
    /// The balancer that takes a connection meant for this one: itself, or the next whose process is there. One that
    /// stands still takes connections, as its sockets do.
    pub(super) fn listening(&self, drawn: usize) -> Option<usize> {
        let n = self.world.tiers[0].balancers;
        (0..n).map(|i| (drawn + i) % n).find(|&b| self.balancers[b].life != Life::Dead)
    }

    /// A call finds nobody where it was sent, and goes on to another balancer.
    pub(super) fn redirect(&mut self, id: u64, to: usize) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.balancer = to;
            let wait = self.world.network.within.draw(&mut self.draws.links);
            self.events.after(wait, Event::Reach(id));
        }
    }

    /// Whether an event is kept from a balancer that is not running: until it goes on, or for good.
    pub(super) fn held_back(&mut self, balancer: usize, event: impl FnOnce() -> Event) -> Option<()> {
        let b = &mut self.balancers[balancer];
        match b.life {
            Life::Runs => None,
            Life::Stopped => {
                b.held.push(event());
                Some(())
            }
            Life::Dead => Some(()),
        }
    }

    /// Its process is gone from one moment to the next: connections end, and what it had taken is lost.
    pub(super) fn kill_balancer(&mut self, now: Micros, at: usize) {
        let b = &mut self.balancers[at];
        b.life = Life::Dead;
        b.due = None;
        b.inbox.clear();
        b.held.clear();
        let idle = std::mem::take(&mut b.idle);
        for (node, since) in idle {
            let p = &mut self.places[node];
            p.connections = p.connections.saturating_sub(since.len());
        }
        let mut open: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.balancer == at && !a.ended).map(|(&id, _)| id).collect();
        open.sort_unstable();
        for id in open {
            let Some(a) = self.attempts.get_mut(&id) else { continue };
            a.ended = true;
            let (node, arrived) = (a.node, a.arrived);
            if arrived {
                let p = &mut self.places[node];
                p.connections = p.connections.saturating_sub(1);
                if let Some(way) = self.way(at, node) {
                    self.events.after(way, Event::CallOff(node, id));
                }
            } else {
                self.attempts.remove(&id);
            }
        }
        let mut taken: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.balancer == at && c.taken).map(|(&id, _)| id).collect();
        taken.sort_unstable();
        for id in taken {
            let Some(call) = self.calls.get_mut(&id) else { continue };
            let (asker, owed) = (call.asker, !call.left && !call.answered);
            // A dead process answers nothing, and nothing of it is out.
            (call.answered, call.out) = (true, 0);
            call.attempts.clear();
            self.rules.left(id);
            if owed {
                let wait = self.latency_to(at, asker);
                self.events.at(now + wait, Event::Answer(id, Final::Failed));
            }
            self.forget(id);
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.kill(at);
        }
    }

    /// It starts anew: it knows the list, and nothing else.
    pub(super) fn start_balancer(&mut self, now: Micros, at: usize) {
        let (tier, zone) = (self.balancers[at].tier, self.balancers[at].zone);
        self.starts += 1;
        let policy = self.new_policy(at, tier, zone, self.starts, now);
        let known = self.whole_list(tier);
        for node in self.first[tier]..self.first[tier] + self.world.tiers[tier].nodes {
            self.rules.told(now, at, node, true);
            if self.state(node) != ListedState::Ready {
                self.rules.told(now, at, node, false);
            }
        }
        let b = &mut self.balancers[at];
        (b.policy, b.life) = (policy, Life::Runs);
        self.post(now, at, Inbox::News(News::InitialList(known)));
        if let Some(fleet) = &mut self.fleet {
            let due = fleet.start(now, at, self.starts);
            self.events.at(due, Event::Link(at));
        }
    }

    /// It stands still, as under SIGSTOP or on a machine that does.
    pub(super) fn stop_balancer(&mut self, at: usize) {
        if self.balancers[at].life == Life::Runs {
            self.balancers[at].life = Life::Stopped;
        }
    }

    /// It goes on: what has come meanwhile is there at once.
    pub(super) fn continue_balancer(&mut self, now: Micros, at: usize) {
        let b = &mut self.balancers[at];
        if b.life != Life::Stopped {
            return;
        }
        b.life = Life::Runs;
        b.due = None;
        for event in std::mem::take(&mut b.held) {
            self.events.at(now, event);
        }
        self.wake(at, now);
        if self.fleet.is_some() {
            self.events.at(now, Event::Link(at));
        }
    }
}
