//! Membership: the servers on the lists, and the subset of them that this instance sends to.

use super::*;

/// The least number of servers in the subset.
const MIN_SUBSET_SERVERS: usize = 12;
/// The subset has as many servers as the instance makes calls within this time, in microseconds, or within
/// half the time after which an idle connection is closed, if that is shorter. So connections stay open, and
/// each server is called again soon.
const SUBSET_TIME_US: f64 = 3e6;
/// Where removals are advisory, they are not believed while more than one in this many ready servers is
/// doubted.
const MAX_DOUBTED_ONE_IN: usize = 6;

impl Balancer {
    /// Returns how many servers the subset should have for each class.
    pub(super) fn subset_size(&self) -> usize {
        let time = SUBSET_TIME_US.min(self.settings.idle_close.0 as f64 / 2.0);
        let calls = self.stats.nr * time / PERIOD.0 as f64;
        let least = if self.stats.periods < 1.0 / PERIOD_WEIGHT {
            2 * MIN_SUBSET_SERVERS
        } else {
            MIN_SUBSET_SERVERS
        };
        least.max(calls as usize)
    }

    /// Chooses the subset of servers that this instance sends to, since a caller that sends to all of them
    /// learns little about each. The instances are spaced evenly on a ring of the ready servers, and each
    /// takes the next servers until every class has enough healthy ones.
    pub(super) fn choose_subset(&mut self) {
        self.subset_is_stale = false;
        let (n, want) = (self.ring.len(), self.subset_size());
        let start = (u64::from(self.settings.instance_index) * n as u64
            / u64::from(self.settings.instances.max(1))) as usize;
        let mut have = vec![0; self.settings.classes.len()];
        self.subset.clear();
        for at in 0..n {
            let i = self.ring[(start + at) % n].1;
            let s = &self.servers[i as usize];
            if s.is_doubted && self.believes_removals {
                continue;
            }
            let mut wanted = false;
            for (class, have) in have.iter_mut().enumerate() {
                if *have < want && is_allowed(&self.settings.classes[class], &s.entry) {
                    wanted = true;
                    let keys = [s.health.first(), s.health.get(class + 1)];
                    *have += usize::from(keys.into_iter().flatten().all(|m| m.ejected_until.is_none()));
                }
            }
            if wanted {
                self.subset.push(i);
            }
            if have.iter().all(|&h| h >= want) {
                break;
            }
        }
    }

    /// Returns how many servers this instance sends to at present.
    pub(crate) fn servers_in_use(&self) -> usize {
        let is_ready = |&&i: &&u32| self.servers[i as usize].entry.state == ListedState::Ready;
        self.subset.iter().filter(is_ready).count()
    }

    /// Applies a list from discovery, complete or as a delta, and renews what depends on the set of servers.
    pub(super) fn apply_list(&mut self, form: ListForm, entries: &[ServerEntry]) {
        if let Some(s) = self.subscription.as_mut().filter(|_| form != ListForm::Cached) {
            s.heard();
        }
        let server_count =
            entries.iter().map(|e| e.server.0 as usize + 1).max().unwrap_or(0).max(self.servers.len());
        let unknown = ServerEntry { state: ListedState::Removed, ..Default::default() };
        self.servers.resize_with(server_count, || Server { entry: unknown, ..Default::default() });
        if form != ListForm::Delta {
            let mut listed = vec![false; server_count];
            entries.iter().for_each(|e| listed[e.server.0 as usize] = true);
            for (s, _) in self.servers.iter_mut().zip(listed).filter(|(_, listed)| !listed) {
                s.unlist(self.settings.removal_is_advisory);
            }
        }
        for e in entries {
            let s = &mut self.servers[e.server.0 as usize];
            if e.state == ListedState::Removed {
                s.unlist(self.settings.removal_is_advisory);
                continue;
            }
            // A restart shows in the server's start time, not in its return to the list. Any other start time
            // counts as a later one, even a smaller one: the server's clock may have been stepped back.
            let restarted = e.started_at.is_some() && e.started_at != s.entry.started_at;
            if restarted || s.time_ratio == 0.0 {
                // The server is new or has restarted, so what was learned about it before no longer holds.
                let old = std::mem::take(s);
                (s.calls, s.is_busy, s.pool) = (old.calls, old.is_busy, old.pool);
                s.board.first_slot = self.now.0 / SLOT.0;
                (s.time_ratio, s.last_ok_at, s.last_ended_at) = (1.0, self.now, self.now);
                s.random_factor = -self.rng.f64().max(1e-9).ln();
                s.cold_bucket = -self.rng.f64() * self.stats.cr / self.stats.gain;
                s.started_at =
                    e.started_at.map(|dated| start_by_own_clock(dated, self.wall_clock_ahead, self.now));
                let warm_at = s.started_at.map_or(self.cold_until, |t| t + self.settings.ramp_time);
                self.cold_until = self.cold_until.max(warm_at);
            }
            s.entry = ServerEntry { started_at: e.started_at.or(s.entry.started_at), ..*e };
            (s.is_doubted, s.confirmed_at) = (false, self.now);
        }
        self.subset_is_stale = true;
        self.ring.clear();
        let ready = self.servers.iter().filter(|s| s.entry.state == ListedState::Ready);
        self.ring.extend(ready.map(|s| (s.entry.ring_key, s.entry.server.0)));
        self.ring.sort_unstable();
        // A list that removes a few servers is believed. One that removes many may be wrong, and the others
        // could not bear the load, so outlier ejection has to find out which servers are gone. Drawback: each
        // caller calls each dead server once.
        let doubted = self.servers.iter().filter(|s| s.is_doubted).count();
        self.believes_removals = doubted * MAX_DOUBTED_ONE_IN <= self.ring.len();
        self.pools.iter_mut().for_each(|p| (p.ready_servers, p.mean_units) = (0.0, 0.0));
        for s in self.servers.iter_mut().filter(|s| s.entry.state == ListedState::Ready) {
            // A server that comes back as another kind stays in the pool in which its calls in flight are
            // counted.
            let known = self.pools.iter().position(|p| p.kind == s.entry.kind);
            if s.calls.is_empty() {
                s.pool = known.unwrap_or(self.pools.len());
            }
            if s.pool == self.pools.len() {
                self.pools.push(Pool { kind: s.entry.kind, ..Pool::default() });
            }
            self.pools[s.pool].ready_servers += 1.0;
            self.pools[s.pool].mean_units += s.entry.units;
        }
        let units = self.pools.iter().map(|p| p.mean_units).sum::<f64>() / self.ring.len().max(1) as f64;
        for p in self.pools.iter_mut().filter(|p| p.ready_servers > 0.0) {
            p.mean_units /= p.ready_servers;
            if p.limit == 0.0 {
                p.time_ratio = if self.settings.weight_by_units && p.mean_units > 0.0 {
                    units / p.mean_units
                } else {
                    1.0
                };
                // The instances share the first limit of all servers; random variation needs some room on
                // top.
                let share = FIRST_LIMIT_PER_SERVER * self.ring.len() as f64
                    / f64::from(self.settings.instances.max(1));
                p.limit =
                    (share + LIMIT_CHANCE_ROOTS * share.sqrt()) * p.ready_servers / self.ring.len() as f64;
            }
        }
    }
}

impl Server {
    /// Handles that a list reports the server as removed or leaves it out. Where removals are advisory, a
    /// ready server stays ready and is marked as doubted, and a draining one keeps draining.
    pub(super) fn unlist(&mut self, removal_is_advisory: bool) {
        match self.entry.state {
            ListedState::Ready if removal_is_advisory => self.is_doubted = true,
            ListedState::Draining if removal_is_advisory => {}
            _ => self.entry.state = ListedState::Removed,
        }
    }
}
