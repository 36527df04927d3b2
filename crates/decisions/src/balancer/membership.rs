//! Membership: the servers that lists name, and the subset of them that this instance sends to.

use super::*;

const SUBSET_LEAST: usize = 12; // servers sent to; else those called within this or half an idle connection's
const SUBSET_TIME: f64 = 3e6; // life: connections stay open, and each server is heard of again soon
const DOUBT_SHARE: usize = 6; // a list that calls more than one in so many gone is doubted, where it may be

impl Balancer {
    /// How many servers this instance sends to.
    pub(super) fn subset_size(&self) -> usize {
        let time = SUBSET_TIME.min(self.set.idle_close.0 as f64 / 2.0);
        let calls = self.st.nr * time / PERIOD.0 as f64;
        let least = if self.st.periods < 1.0 / PERIOD_MEAN { 2 * SUBSET_LEAST } else { SUBSET_LEAST };
        least.max(calls as usize)
    }

    /// Subsetting: a caller that sends everywhere hears of each server rarely. Callers stand evenly spaced on
    /// a ring of ready servers and take the next ones until each class has enough healthy ones.
    pub(super) fn subset(&mut self) {
        self.stale = false;
        let (n, want) = (self.ring.len(), self.subset_size());
        let start =
            (u64::from(self.set.instance_index) * n as u64 / u64::from(self.set.instances.max(1))) as usize;
        let mut have = vec![0; self.set.classes.len()];
        self.members.clear();
        for at in 0..n {
            let i = self.ring[(start + at) % n].1;
            let s = &self.servers[i as usize];
            if s.doubted && self.list_believed {
                continue;
            }
            let mut wanted = false;
            for (class, have) in have.iter_mut().enumerate() {
                if *have < want && allowed(&self.set.classes[class], &s.entry) {
                    wanted = true;
                    let keys = [s.health.first(), s.health.get(class + 1)];
                    *have += usize::from(keys.into_iter().flatten().all(|m| m.ejected_until.is_none()));
                }
            }
            if wanted {
                self.members.push(i);
            }
            if have.iter().all(|&h| h >= want) {
                break;
            }
        }
    }

    /// How many servers this instance sends to now.
    pub(crate) fn sends_to(&self) -> usize {
        let is_ready = |&&i: &&u32| self.servers[i as usize].entry.state == ListedState::Ready;
        self.members.iter().filter(is_ready).count()
    }

    pub(super) fn news(&mut self, form: ListForm, entries: &[ServerEntry]) {
        if let Some(s) = self.subscription.as_mut().filter(|_| form != ListForm::Cached) {
            s.update_received();
        }
        let most = entries.iter().map(|e| e.server.0 as usize + 1).max().unwrap_or(0).max(self.servers.len());
        let unknown = ServerEntry { state: ListedState::Removed, ..Default::default() };
        self.servers.resize_with(most, || Server { entry: unknown, ..Default::default() });
        if form != ListForm::Delta {
            let mut listed = vec![false; most];
            entries.iter().for_each(|e| listed[e.server.0 as usize] = true);
            for (s, _) in self.servers.iter_mut().zip(listed).filter(|(_, listed)| !listed) {
                s.unlist(self.set.removal_is_advisory);
            }
        }
        for e in entries {
            let s = &mut self.servers[e.server.0 as usize];
            if e.state == ListedState::Removed {
                s.unlist(self.set.removal_is_advisory);
                continue;
            }
            // By its own start, not by its return to the list. Any other start is a later one: its clock may
            // have been stepped back.
            let restarted = e.started_at.is_some() && e.started_at != s.entry.started_at;
            if restarted || s.ratio == 0.0 {
                // New, or started anew: whatever was learned of its last life is void.
                let old = std::mem::take(s);
                (s.flights, s.busy, s.pool) = (old.flights, old.busy, old.pool);
                s.board.cleared = self.now.0 / SLOT.0;
                (s.ratio, s.last_ok, s.last_end) = (1.0, self.now, self.now);
                s.luck = -self.rng.f64().max(1e-9).ln();
                s.bucket = -self.rng.f64() * self.st.cr / self.st.gain;
                s.started_at = e.started_at.map(|dated| start_by_own_clock(dated, self.wall_ahead, self.now));
                let warm_at = s.started_at.map_or(self.cold_until, |t| t + self.set.ramp_time);
                self.cold_until = self.cold_until.max(warm_at);
            }
            s.entry = ServerEntry { started_at: e.started_at.or(s.entry.started_at), ..*e };
            (s.doubted, s.proven) = (false, self.now);
        }
        self.stale = true;
        self.ring.clear();
        let ready = self.servers.iter().filter(|s| s.entry.state == ListedState::Ready);
        self.ring.extend(ready.map(|s| (s.entry.ring_key, s.entry.server.0)));
        self.ring.sort_unstable();
        // A list that takes a few servers away is believed. One that takes many may be wrong, and those left
        // can't bear their load: health tells who is gone. Harm: each caller calls each dead one once.
        let doubted = self.servers.iter().filter(|s| s.doubted).count();
        self.list_believed = doubted * DOUBT_SHARE <= self.ring.len();
        self.pools.iter_mut().for_each(|p| (p.ready, p.units) = (0.0, 0.0));
        for s in self.servers.iter_mut().filter(|s| s.entry.state == ListedState::Ready) {
            // One that comes back as another kind keeps the pool that its calls are counted in.
            let known = self.pools.iter().position(|p| p.kind == s.entry.kind);
            if s.flights.is_empty() {
                s.pool = known.unwrap_or(self.pools.len());
            }
            if s.pool == self.pools.len() {
                self.pools.push(Pool { kind: s.entry.kind, ..Pool::default() });
            }
            self.pools[s.pool].ready += 1.0;
            self.pools[s.pool].units += s.entry.units;
        }
        let units = self.pools.iter().map(|p| p.units).sum::<f64>() / self.ring.len().max(1) as f64;
        for p in self.pools.iter_mut().filter(|p| p.ready > 0.0) {
            p.units /= p.ready;
            if p.limit == 0.0 {
                p.ratio = if self.set.weight_by_units && p.units > 0.0 { units / p.units } else { 1.0 };
                // So many calls a server, shared by the instances, and room for chance.
                let all = LIMIT_FIRST * self.ring.len() as f64 / f64::from(self.set.instances.max(1));
                p.limit = (all + LIMIT_CHANCE * all.sqrt()) * p.ready / self.ring.len() as f64;
            }
        }
    }
}

impl Server {
    /// Called gone, or left out. Where only draining binds that is a hint: what was ready stays so, in doubt.
    pub(super) fn unlist(&mut self, drain_binds_alone: bool) {
        match self.entry.state {
            ListedState::Ready if drain_binds_alone => self.doubted = true,
            ListedState::Draining if drain_binds_alone => {}
            _ => self.entry.state = ListedState::Removed,
        }
    }
}
