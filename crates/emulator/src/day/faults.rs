//! The begin and the end of faults.

use super::*;

impl Day<'_> {
    pub(super) fn change_fault(&mut self, now: Micros, fault: usize, begins: bool) {
        let (_, _, nodes, size) = self.faults[fault].clone();
        match &self.world.faults[fault].what {
            FaultKind::Slow(_) => {
                for node in nodes {
                    self.nodes[node].slowdown = if begins { size } else { 1.0 };
                    self.update_speed(now, node);
                }
            }
            FaultKind::Hang => {
                for node in nodes {
                    self.nodes[node].hung = begins;
                    self.update_speed(now, node);
                }
            }
            FaultKind::FastErrors(_) => nodes
                .iter()
                .for_each(|&node| self.nodes[node].fast_error_share = if begins { size } else { 0.0 }),
            FaultKind::Spoilt(_) => {
                nodes.iter().for_each(|&node| self.nodes[node].spoilt_share = if begins { size } else { 0.0 })
            }
            FaultKind::LateReports(_) => {
                self.added_report_delay = Micros(if begins { size as i64 } else { 0 })
            }
            FaultKind::Burst(_) => self.burst_factor = if begins { size } else { 1.0 },
            FaultKind::Vanish => {
                for node in nodes {
                    if begins {
                        self.nodes[node].vanished = true;
                        self.update_speed(now, node);
                        self.announce_node(now, node, ListedState::Removed);
                    } else {
                        // The node returns as a new process: the connections of its former requests are
                        // reset.
                        self.nodes[node].vanished = false;
                        self.reset_node(now, node);
                        self.start_node(now, node);
                    }
                }
            }
            FaultKind::Restart => {
                for node in nodes {
                    if begins {
                        self.nodes[node].draining = true;
                        self.announce_node(now, node, ListedState::Draining);
                        self.events.schedule_after(Micros(1_000_000), Event::StopNode(node));
                    } else {
                        self.start_node(now, node);
                    }
                }
            }
            FaultKind::KillBalancers => {
                for balancer in nodes {
                    if begins {
                        self.kill_balancer(now, balancer);
                    } else {
                        self.start_balancer(now, balancer);
                    }
                }
            }
            FaultKind::StopBalancers => {
                for balancer in nodes {
                    if begins {
                        self.stop_balancer(balancer);
                    } else {
                        self.continue_balancer(now, balancer);
                    }
                }
            }
            FaultKind::Partition => self.partitioned_zone = begins.then_some(size as usize),
            FaultKind::StaleList => {
                self.list_is_stale = begins;
                if !begins {
                    for (balancer, node, state, since) in std::mem::take(&mut self.withheld_updates) {
                        self.events
                            .schedule_after(Micros(0), Event::ListUpdate(balancer, node, state, since));
                    }
                }
            }
            FaultKind::LyingList => {
                for node in nodes {
                    self.announce_node(
                        now,
                        node,
                        if begins { ListedState::Removed } else { ListedState::Ready },
                    );
                }
            }
        }
    }
}
