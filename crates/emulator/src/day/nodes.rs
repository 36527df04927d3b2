//! Nodes, and the list that tells of them.

use super::clients::around;
use super::*;

impl Day<'_> {
    pub(super) fn arrive(&mut self, now: Micros, id: u64) {
        let Some(a) = self.attempts.get_mut(&id) else { return };
        if a.ended {
            // Called off on its way.
            self.attempts.remove(&id);
            return;
        }
        let (node, balancer, call_id, fresh, segment) = (a.node, a.balancer, a.call, a.fresh, a.segment);
        let tier = self.places[node].tier;
        let t = &self.world.tiers[tier];
        if self.places[node].vanished {
            return; // silence
        }
        let Some(way) = self.way(balancer, node) else { return };
        if self.places[node].stopped || (fresh && self.places[node].connections >= t.connections) {
            let code = if fresh { Code::ConnectFailed } else { Code::Reset };
            return self.events.after(way, Event::Back(id, code));
        }
        let held = self.places[node].node.held();
        if let Some(a) = self.attempts.get_mut(&id) {
            (a.arrived, a.came, a.came_at) = (true, now, held);
        }
        let p = &mut self.places[node];
        p.connections += usize::from(fresh);
        if p.draining {
            return self.finish_attempt(now, id, Code::Full);
        }
        let Some(call) = self.calls.get(&call_id) else { return };
        let (key, keyed) = (call.key, self.world.classes[call.class].repeat == Repeat::Keyed);
        let window = self.world.classes[call.class].window.0;
        let work = segment + if fresh { t.handshake.0 .0 as f64 } else { 0.0 };
        let (all, cell) = (call.work, self.places[node].cell);
        if self.rules.work_sent(now, node, all, self.places[node].node.capacity()) {
            return self.fall_over(now, node);
        }
        if self.draws.errors.chance(self.places[node].fast_errors) {
            return self.finish_attempt(now, id, Code::Error);
        }
        if keyed {
            let seen = self.keys.get(&(tier, cell, key)).is_some_and(|at| now - *at < window);
            if seen {
                // Its cell has it: the repeat is dropped, and answered for what the first one did.
                return self.finish_attempt(now, id, Code::Ok);
            }
        }
        match self.places[node].node.bring(now, id, work) {
            Brought::Full => self.finish_attempt(now, id, Code::Full),
            _ => {
                if keyed {
                    self.keys.insert((tier, cell, key), now);
                    if self.keys.len() > 1 << 20 {
                        let longest = self.world.classes.iter().map(|c| c.window.0).max().unwrap_or_default();
                        self.keys.retain(|_, at| now - *at < longest);
                    }
                }
                self.look_after(now, node);
            }
        }
    }

    /// Sends a node's answer.
    pub(super) fn finish_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get_mut(&id) else { return };
        a.done = true;
        let (node, balancer, took, came_at) = (a.node, a.balancer, now - a.came, a.came_at);
        if a.ended {
            self.attempts.remove(&id);
            return;
        }
        if code == Code::Ok {
            let at = node - self.first[self.places[node].tier];
            let mut truths = self.truths[self.places[node].tier].borrow_mut();
            truths[at].served(came_at, took.0 as f64);
        }
        if let Some(way) = self.way(balancer, node) {
            self.events.at(now + way, Event::Back(id, code));
        }
    }

    /// Ends what is done at a node, and asks for the next event there.
    pub(super) fn work_off(&mut self, now: Micros, node: usize) {
        while let Some(id) = self.places[node].node.pop(now) {
            let Some(a) = self.attempts.get_mut(&id) else { continue };
            if a.segments_left > 0 && !a.ended {
                a.segments_left -= 1;
                self.places[node].node.go_away();
                self.call_below(now, id);
                continue;
            }
            let p = &self.places[node];
            let (errors, spoilt) = (self.world.tiers[p.tier].errors, p.spoilt);
            let bad = self.draws.errors.chance(errors) || self.draws.errors.chance(spoilt);
            self.finish_attempt(now, id, if bad { Code::Error } else { Code::Ok });
        }
        self.look_after(now, node);
    }

    pub(super) fn look_after(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        p.number += 1;
        let number = p.number;
        let mut truths = self.truths[p.tier].borrow_mut();
        let truth = &mut truths[node - self.first[p.tier]];
        (truth.held, truth.capacity) =
            (p.node.held(), if p.vanished || p.stopped { 0.0 } else { p.node.capacity() });
        if let Some(at) = p.node.next() {
            self.events.at(at.max(now), Event::Done(node, number));
        }
    }

    /// A request that a node holds calls the next tier.
    pub(super) fn call_below(&mut self, now: Micros, attempt: u64) {
        let Some(a) = self.attempts.get(&attempt) else { return };
        let (node, parent) = (a.node, a.call);
        let Some(up) = self.calls.get(&parent) else {
            return self.called(now, attempt, false);
        };
        let (class, tenant, expires) = (up.class, up.tenant, up.expires);
        let tier = self.places[node].tier + 1;
        let facts = &self.world.classes[class];
        let work = facts.shape.draw(self.world.work(class, tier), &mut self.draws.below);
        let calls =
            if tier + 1 < self.world.tiers.len() { around(facts.calls, &mut self.draws.below) } else { 0 };
        let key = self.draws.below.bits();
        let call = Call {
            tier,
            balancer: self.below[node],
            class,
            tenant,
            asker: Asker::Job(attempt),
            expires,
            repeat: false,
            key,
            work,
            calls,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            left: false,
            taken: false,
        };
        let next = self.next + 1;
        if let Some(a) = self.attempts.get_mut(&attempt) {
            a.waits = Some(next);
        }
        self.place_call(now, call);
    }

    /// The next tier has answered a node's request, or has not in time.
    pub(super) fn called(&mut self, now: Micros, attempt: u64, served: bool) {
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        a.waits = None;
        let (node, segment, ended) = (a.node, a.segment, a.ended);
        if served && !ended {
            self.places[node].node.come_back(now, attempt, segment);
        } else {
            self.places[node].node.end_away(now);
            self.finish_attempt(now, attempt, Code::Error);
        }
        self.look_after(now, node);
    }

    pub(super) fn call_off(&mut self, now: Micros, node: usize, id: u64) {
        let stops = self.places[node].node.build().cancel_stops;
        let waits = self.attempts.get(&id).and_then(|a| a.waits);
        if self.places[node].node.cancel(now, id) {
            self.attempts.remove(&id);
        } else if let Some(call) = waits.filter(|_| stops) {
            // It waits for another tier, whose call ends with it.
            self.attempts.remove(&id);
            self.places[node].node.end_away(now);
            if let Some(c) = self.calls.get_mut(&call) {
                c.left = true;
                let taken = c.taken;
                self.rules.left(call);
                if taken {
                    self.events.after(Micros(20), Event::Gone(call));
                }
                self.forget(call);
            }
        }
        self.look_after(now, node);
    }

    pub(super) fn set_speed(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        let t = &self.world.tiers[p.tier];
        let warmth = p.cold_from.map_or(1.0, |from| {
            let age = (now - from).0 as f64 / t.warm_after.0 .0.max(1) as f64;
            t.cold_share + (1.0 - t.cold_share) * age.clamp(0.0, 1.0)
        });
        let still = p.hung || p.vanished || p.stopped || p.paused;
        p.node.set_factor(now, if still { 0.0 } else { warmth / p.slow });
        self.look_after(now, node);
    }

    pub(super) fn warm(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        let Some(from) = p.cold_from else { return };
        let ramp = self.world.tiers[p.tier].warm_after.0;
        if now - from >= ramp {
            p.cold_from = None;
            self.rules.warm(node);
        } else {
            self.events.after(Micros((ramp.0 / STEPS_TO_WARM).max(1)), Event::Warm(node));
        }
        self.set_speed(now, node);
    }

    pub(super) fn pause(&mut self, now: Micros, node: usize, begins: bool) {
        let Some(p) = self.world.tiers[self.places[node].tier].pauses.clone() else { return };
        self.places[node].paused = begins;
        self.set_speed(now, node);
        if now < self.end {
            let s = &mut self.draws.pauses;
            let wait =
                if begins { p.last.draw(s) } else { Micros(s.exponential(p.every.0 .0 as f64) as i64) };
            self.events.after(wait, Event::Pause(node, !begins));
        } else if begins {
            self.events.after(p.last.high.0, Event::Pause(node, false));
        }
    }

    /// Ends everything that a node holds: its connections are reset.
    pub(super) fn drop_all(&mut self, now: Micros, node: usize) {
        self.places[node].node.clear(now);
        let mut held: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.node == node && a.arrived && !a.done)
            .map(|(&id, _)| id)
            .collect();
        held.sort_unstable();
        for id in held {
            let Some(a) = self.attempts.get(&id) else { continue };
            let (balancer, ended, waits) = (a.balancer, a.ended, a.waits);
            if let Some(call) = waits.and_then(|c| self.calls.get_mut(&c)) {
                call.left = true;
            }
            if let Some(call) = waits {
                self.rules.left(call);
                self.events.after(Micros(20), Event::Gone(call));
                self.forget(call);
            }
            if ended {
                self.attempts.remove(&id);
            } else {
                if let Some(a) = self.attempts.get_mut(&id) {
                    (a.done, a.waits) = (true, None);
                }
                if let Some(way) = self.way(balancer, node) {
                    self.events.after(way, Event::Back(id, Code::Reset));
                }
            }
        }
        self.places[node].connections = 0;
        for b in &mut self.balancers {
            if b.tier == self.places[node].tier {
                b.idle.remove(&node);
            }
        }
        self.look_after(now, node);
    }

    pub(super) fn start_node(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        let t = &self.world.tiers[p.tier];
        (p.stopped, p.vanished, p.draining) = (false, false, false);
        (p.since, p.cold_from) = (Some(now), Some(now));
        self.rules.started(node, t.tip_factor, t.tip_window.0);
        self.warm(now, node);
        self.announce(now, node, ListedState::Ready);
    }

    /// It falls over, and stays down.
    pub(super) fn fall_over(&mut self, now: Micros, node: usize) {
        self.places[node].stopped = true;
        self.drop_all(now, node);
        self.set_speed(now, node);
        self.announce(now, node, ListedState::Removed);
    }

    pub(super) fn stop(&mut self, now: Micros, node: usize) {
        if self.places[node].draining {
            self.places[node].stopped = true;
            self.drop_all(now, node);
            self.set_speed(now, node);
            self.announce(now, node, ListedState::Removed);
        }
    }

    /// Has all balancers of a tier told of a node, each in its time.
    pub(super) fn announce(&mut self, now: Micros, node: usize, state: ListedState) {
        let (tier, since) = (self.places[node].tier, self.places[node].since);
        let delay = self.world.tiers[tier].list.delay;
        for b in 0..self.balancers.len() {
            if self.balancers[b].tier == tier {
                let wait = delay.draw(&mut self.draws.list);
                self.events.at(now + wait, Event::Told(b, node, state, since));
            }
        }
    }

    pub(super) fn tell(
        &mut self,
        now: Micros,
        b: usize,
        node: usize,
        state: ListedState,
        since: Option<Micros>,
    ) {
        if let Some(held) = self.held_back(b, || Event::Told(b, node, state, since)) {
            return held;
        }
        if self.stale {
            return self.held_news.push((b, node, state, since));
        }
        self.rules.told(now, b, node, state == ListedState::Ready);
        let listing = Listing { started_at: since, ..self.listing(node, state) };
        let list = HostList { seq: 2, whole: false, hosts: vec![(listing, None)] };
        self.post(now, b, Inbox::News(News::List(list)));
    }

    pub(super) fn watched(&mut self, now: Micros, b: usize) {
        if let Some(held) = self.held_back(b, || Event::Watched(b)) {
            return held;
        }
        let tier = self.balancers[b].tier;
        let list = self.whole_list(tier);
        for node in self.first[tier]..self.first[tier] + self.world.tiers[tier].nodes {
            let state = self.state(node);
            if state != ListedState::Ready {
                self.rules.told(now, b, node, false);
            }
        }
        self.post(now, b, Inbox::News(News::List(list)));
    }
}
