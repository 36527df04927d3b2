//! The balancers among themselves: their links, as the network carries them.

use super::*;

/// Datagrams that a socket's buffer holds for a process that stands still.
const SOCKET_HOLDS: usize = 200;

impl Day<'_> {
    /// A datagram has come: to a process that is there, or into its socket's buffer, as much as that holds.
    pub(super) fn datagram(&mut self, now: Micros, member: usize, data: Vec<u8>) {
        match self.balancers[member].life {
            Life::Runs => {
                if let Some(step) = self.fleet.as_mut().map(|f| f.datagram(now, member, &data)) {
                    self.stepped(now, member, step);
                }
            }
            Life::Stopped => {
                let held = &mut self.balancers[member].held;
                if held.iter().filter(|e| matches!(e, Event::Datagram(..))).count() < SOCKET_HOLDS {
                    held.push(Event::Datagram(member, data));
                }
            }
            Life::Dead => {}
        }
    }

    pub(super) fn link(&mut self, now: Micros, member: usize) {
        if self.balancers[member].life != Life::Runs {
            return;
        }
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.is_due(now, member)) else { return };
        let (policy, places) = (&self.balancers[member].policy, &self.places);
        let step = fleet.wake(now, member, || policy.findings(now), |id| places[id.0 as usize].since);
        self.stepped(now, member, step);
    }

    pub(super) fn stepped(&mut self, now: Micros, from: usize, step: Step) {
        let (Some(fleet), Some(link)) = (&self.fleet, &self.world.fleet) else { return };
        for (to, data) in step.sends {
            if to >= self.world.tiers[0].balancers {
                continue;
            }
            let (a, b) = (fleet.zone(from), fleet.zone(to));
            let n = &self.world.network;
            let way = if a == b { n.within } else { n.between }.draw(&mut self.draws.links);
            let split = a != b && self.cut.is_some_and(|zone| zone == a || zone == b);
            // Which links are cut is the same all day, and not the same in both directions.
            let mut pair = Stream::new(from as u64, "cut", to as u64);
            let cut = link.cut > 0.0 && pair.unit() < link.cut;
            if !split && !cut && self.draws.links.unit() >= link.loss {
                self.events.after(way, Event::Datagram(to, data));
            }
        }
        if let Some(at) = step.wake {
            self.events.at(at, Event::Link(from));
        }
        for heard in step.heard {
            self.post(now, from, Inbox::News(News::PeerVerdict(heard)));
        }
    }
}
