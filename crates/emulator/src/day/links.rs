//! The links between the balancers of the fleet, as the network carries their datagrams.

use super::*;

/// The number of datagrams that a socket buffers for a stopped process.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

impl Day<'_> {
    /// Delivers a datagram to a running process, or to the socket buffer of a stopped one unless that is
    /// full.
    pub(super) fn deliver_datagram(&mut self, now: Micros, member: usize, data: Vec<u8>) {
        match self.balancers[member].process {
            ProcessState::Running => {
                if let Some(step) = self.fleet.as_mut().map(|f| f.receive_datagram(now, member, &data)) {
                    self.apply_fleet_step(now, member, step);
                }
            }
            ProcessState::Stopped => {
                let queued = &mut self.balancers[member].queued_events;
                if queued.iter().filter(|e| matches!(e, Event::DatagramArrives(..))).count()
                    < SOCKET_BUFFER_DATAGRAMS
                {
                    queued.push(Event::DatagramArrives(member, data));
                }
            }
            ProcessState::Dead => {}
        }
    }

    pub(super) fn wake_fleet_member(&mut self, now: Micros, member: usize) {
        if self.balancers[member].process != ProcessState::Running {
            return;
        }
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.is_due(now, member)) else { return };
        let (policy, nodes) = (&self.balancers[member].policy, &self.nodes);
        let step =
            fleet.wake(now, member, || policy.local_observations(now), |id| nodes[id.0 as usize].started_at);
        self.apply_fleet_step(now, member, step);
    }

    pub(super) fn apply_fleet_step(&mut self, now: Micros, from: usize, step: Step) {
        let (Some(fleet), Some(link)) = (&self.fleet, &self.world.fleet) else { return };
        for (to, data) in step.sends {
            if to >= self.world.tiers[0].balancers {
                continue;
            }
            let (from_zone, to_zone) = (fleet.zone(from), fleet.zone(to));
            let network = &self.world.network;
            let delay = if from_zone == to_zone { network.within } else { network.between }
                .draw(&mut self.random.links);
            let partitioned = from_zone != to_zone
                && self.partitioned_zone.is_some_and(|zone| zone == from_zone || zone == to_zone);
            // The cut links are the same during the whole run; the two directions of a pair are drawn
            // separately.
            let mut pair_stream = RandomStream::new(from as u64, "cut", to as u64);
            let cut = link.cut > 0.0 && pair_stream.unit() < link.cut;
            if !partitioned && !cut && self.random.links.unit() >= link.loss {
                self.events.schedule_after(delay, Event::DatagramArrives(to, data));
            }
        }
        if let Some(at) = step.wake {
            self.events.schedule_at(at, Event::LinkTimer(from));
        }
        for verdict in step.verdicts {
            self.post_to_balancer(now, from, PolicyInput::Report(PolicyReport::PeerVerdict(verdict)));
        }
    }
}
