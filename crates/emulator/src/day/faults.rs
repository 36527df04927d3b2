//! Faults, as they begin and end.

use super::*;

impl Day<'_> {
    pub(super) fn fault(&mut self, now: Micros, i: usize, begins: bool) {
        let (_, _, nodes, size) = self.faults[i].clone();
        match &self.world.faults[i].what {
            What::Slow(_) => {
                for n in nodes {
                    self.places[n].slow = if begins { size } else { 1.0 };
                    self.set_speed(now, n);
                }
            }
            What::Hang => {
                for n in nodes {
                    self.places[n].hung = begins;
                    self.set_speed(now, n);
                }
            }
            What::FastErrors(_) => {
                nodes.iter().for_each(|&n| self.places[n].fast_errors = if begins { size } else { 0.0 })
            }
            What::Spoilt(_) => {
                nodes.iter().for_each(|&n| self.places[n].spoilt = if begins { size } else { 0.0 })
            }
            What::LateReports(_) => self.late_reports = Micros(if begins { size as i64 } else { 0 }),
            What::Burst(_) => self.burst = if begins { size } else { 1.0 },
            What::Vanish => {
                for n in nodes {
                    if begins {
                        self.places[n].vanished = true;
                        self.set_speed(now, n);
                        self.announce(now, n, ListedState::Removed);
                    } else {
                        // It comes back as a new process: what it held is reset.
                        self.places[n].vanished = false;
                        self.drop_all(now, n);
                        self.start_node(now, n);
                    }
                }
            }
            What::Restart => {
                for n in nodes {
                    if begins {
                        self.places[n].draining = true;
                        self.announce(now, n, ListedState::Draining);
                        self.events.after(Micros(1_000_000), Event::Stop(n));
                    } else {
                        self.start_node(now, n);
                    }
                }
            }
            What::KillBalancers => {
                for b in nodes {
                    if begins {
                        self.kill_balancer(now, b);
                    } else {
                        self.start_balancer(now, b);
                    }
                }
            }
            What::StopBalancers => {
                for b in nodes {
                    if begins {
                        self.stop_balancer(b);
                    } else {
                        self.continue_balancer(now, b);
                    }
                }
            }
            What::Partition => self.cut = begins.then_some(size as usize),
            What::StaleList => {
                self.stale = begins;
                if !begins {
                    for (b, node, state, since) in std::mem::take(&mut self.held_news) {
                        self.events.after(Micros(0), Event::Told(b, node, state, since));
                    }
                }
            }
            What::LyingList => {
                for n in nodes {
                    self.announce(now, n, if begins { ListedState::Removed } else { ListedState::Ready });
                }
            }
        }
    }
}
