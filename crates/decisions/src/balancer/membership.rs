//! Membership: the servers on the lists, and the subset of them that this instance sends to.

use super::*;

/// The least number of servers in the subset.
const MIN_SUBSET_SERVERS: usize = 12;
/// The subset has as many servers as the instance makes calls within this time, in microseconds, or within
/// half the time after which an idle connection is closed, if that is shorter. So connections stay open, and
/// each server is called again soon.
const SUBSET_TIME_US: f64 = 3e6;
/// Where removals are advisory, they are not believed while more than one in this many ready servers is
/// doubted, that is, removed by a list and without a good answer since.
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
        let (ring_size, wanted_size) = (self.ring.len(), self.subset_size());
        let start = (u64::from(self.settings.instance_index) * ring_size as u64
            / u64::from(self.settings.instances.max(1))) as usize;
        let mut healthy = vec![0; self.settings.classes.len()];
        self.subset.clear();
        for offset in 0..ring_size {
            let index = self.ring[(start + offset) % ring_size].1;
            let server = &self.servers[index as usize];
            if server.is_doubted && self.believes_removals {
                continue;
            }
            let mut is_wanted = false;
            for (class, count) in healthy.iter_mut().enumerate() {
                if *count < wanted_size && is_allowed(&self.settings.classes[class], &server.entry) {
                    is_wanted = true;
                    let records = [server.health.first(), server.health.get(class + 1)];
                    *count += usize::from(
                        records.into_iter().flatten().all(|record| record.ejected_until.is_none()),
                    );
                }
            }
            if is_wanted {
                self.subset.push(index);
            }
            if healthy.iter().all(|&count| count >= wanted_size) {
                break;
            }
        }
    }

    /// Returns how many servers this instance sends to at present.
    pub(crate) fn servers_in_use(&self) -> usize {
        let is_ready = |&&index: &&u32| self.servers[index as usize].entry.state == ListedState::Ready;
        self.subset.iter().filter(is_ready).count()
    }

    /// Applies a list from discovery, complete or as a delta, and renews what depends on the set of servers.
    pub(super) fn apply_list(&mut self, form: ListForm, entries: &[ServerEntry]) {
        if let Some(subscription) = self.subscription.as_mut().filter(|_| form != ListForm::Cached) {
            subscription.update_received();
        }
        let server_count = entries
            .iter()
            .map(|entry| entry.server.0 as usize + 1)
            .max()
            .unwrap_or(0)
            .max(self.servers.len());
        let unknown = ServerEntry { state: ListedState::Removed, ..Default::default() };
        self.servers.resize_with(server_count, || Server { entry: unknown, ..Default::default() });
        if form != ListForm::Delta {
            let mut listed = vec![false; server_count];
            entries.iter().for_each(|entry| listed[entry.server.0 as usize] = true);
            for (server, _) in self.servers.iter_mut().zip(listed).filter(|(_, listed)| !listed) {
                server.unlist(self.settings.removal_is_advisory);
            }
        }
        for entry in entries {
            let server = &mut self.servers[entry.server.0 as usize];
            if entry.state == ListedState::Removed {
                server.unlist(self.settings.removal_is_advisory);
                continue;
            }
            // A restart shows in the server's start time, not in its return to the list. Any other start time
            // counts as a later one, even a smaller one: the server's clock may have been stepped back.
            let restarted = entry.started_at.is_some() && entry.started_at != server.entry.started_at;
            if restarted || server.time_ratio == 0.0 {
                // The server is new or has restarted, so what was learned about it before no longer holds.
                let old = std::mem::take(server);
                (server.calls, server.is_busy, server.pool) = (old.calls, old.is_busy, old.pool);
                server.board.first_slot = self.now.0 / SLOT.0;
                (server.time_ratio, server.last_ok_at, server.last_ended_at) = (1.0, self.now, self.now);
                server.random_factor = -self.rng.f64().max(1e-9).ln();
                server.cold_bucket = -self.rng.f64() * self.stats.cr / self.stats.gain;
                server.started_at =
                    entry.started_at.map(|dated| start_by_own_clock(dated, self.wall_clock_ahead, self.now));
                let warm_at = server.started_at.map_or(self.cold_until, |t| t + self.settings.ramp_time);
                self.cold_until = self.cold_until.max(warm_at);
            }
            server.entry = ServerEntry { started_at: entry.started_at.or(server.entry.started_at), ..*entry };
            (server.is_doubted, server.confirmed_at) = (false, self.now);
        }
        self.subset_is_stale = true;
        self.ring.clear();
        let ready = self.servers.iter().filter(|server| server.entry.state == ListedState::Ready);
        self.ring.extend(ready.map(|server| (server.entry.ring_key, server.entry.server.0)));
        self.ring.sort_unstable();
        // A list that removes a few servers is believed. One that removes many may be wrong, and the others
        // could not bear the load, so outlier ejection has to find out which servers have left. Drawback:
        // each caller calls each dead server once.
        let doubted = self.servers.iter().filter(|server| server.is_doubted).count();
        self.believes_removals = doubted * MAX_DOUBTED_ONE_IN <= self.ring.len();
        self.pools.iter_mut().for_each(|pool| (pool.ready_servers, pool.mean_units) = (0.0, 0.0));
        for server in self.servers.iter_mut().filter(|server| server.entry.state == ListedState::Ready) {
            // A server that comes back as another kind stays in the pool in which its calls in flight are
            // counted.
            let known = self.pools.iter().position(|pool| pool.kind == server.entry.kind);
            if server.calls.is_empty() {
                server.pool = known.unwrap_or(self.pools.len());
            }
            if server.pool == self.pools.len() {
                self.pools.push(Pool { kind: server.entry.kind, ..Pool::default() });
            }
            self.pools[server.pool].ready_servers += 1.0;
            self.pools[server.pool].mean_units += server.entry.units;
        }
        let units =
            self.pools.iter().map(|pool| pool.mean_units).sum::<f64>() / self.ring.len().max(1) as f64;
        for pool in self.pools.iter_mut().filter(|pool| pool.ready_servers > 0.0) {
            pool.mean_units /= pool.ready_servers;
            if pool.limit == 0.0 {
                pool.time_ratio = if self.settings.weight_by_units && pool.mean_units > 0.0 {
                    units / pool.mean_units
                } else {
                    1.0
                };
                // The instances share the first limit of all servers; random variation needs some room on
                // top.
                let share = FIRST_LIMIT_PER_SERVER * self.ring.len() as f64
                    / f64::from(self.settings.instances.max(1));
                pool.limit =
                    (share + LIMIT_CHANCE_ROOTS * share.sqrt()) * pool.ready_servers / self.ring.len() as f64;
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
