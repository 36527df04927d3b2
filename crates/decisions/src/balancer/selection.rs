//! Selection of a server for an attempt, and the send.

use super::*;

const RANDOM_FACTOR_SPREAD: f64 = 0.25; // a server's luck lies so far from 1: equals are told apart, speeds not drowned
const NEW_CONNECTION_CALLS: f64 = 40.0; // calls on its board that a server without an idle connection is charged
const MIN_OPEN_SERVERS: usize = 2; // once so many have one: boards are left a choice
const CROSSING_CALLS: f64 = 400.0; // the same for another zone, times what a crossing costs of a request's worth
const LOW_WORTH_LIMIT_SHARE: f64 = 0.5; // part of it for requests worth little

impl Balancer {
    /// The largest weight net of own sends since the last update, among the servers that may be sent to.
    pub(super) fn pick(&mut self, id: RequestId, retry: bool) -> PickResult {
        if self.subset_is_stale {
            self.choose_subset();
        }
        let Some(r) = self.requests.get(&id) else { return PickResult::NoServer };
        let two = !self.settings.parallel_attempts && r.attempts.iter().any(|a| a.in_flight);
        if two || r.expires <= self.now || r.attempts.len() >= self.settings.max_attempts as usize {
            return PickResult::NoServer;
        }
        // Rule 3.
        if self.list_is_stale() {
            return PickResult::Wait;
        }
        // Rule 6: one at a time for each key, by arrival; then the key rests. The one that has the turn has
        // had its rest. Waiting for it is no crowding.
        if let Some(turn) = r.key.and_then(|k| self.key_queues.get(&k)) {
            if turn.requests.front() != Some(&id) || (r.attempts.is_empty() && self.now < turn.paused_until) {
                return PickResult::Wait;
            }
        }
        // Rule 2: what may have run, or may run yet, binds later sends.
        let effect = self.settings.classes[r.class].effect;
        let mut bound: Option<(DedupScope, &ServerEntry)> = None;
        for a in r.attempts.iter().filter(|a| a.may_have_run) {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => return PickResult::NoServer,
                Effect::Keyed { window, .. } if self.now - a.sent_at >= window => {
                    return PickResult::NoServer
                }
                Effect::Keyed { scope: group, .. } => {
                    bound = Some((group, &self.servers[a.server.0 as usize].entry))
                }
            }
        }
        // Room under the limit, less for what is past a tenant's share, repeated by a client, or struck.
        let low = self.settings.tier == 0 && (r.over_quota || r.is_repeat);
        let struck = self.fault_share(r) >= FAULTY_SHARE;
        let less = |p: &Pool| struck || (low && p.congestion > CONGESTED / 2.0);
        let part = |p: &Pool| if less(p) { LOW_WORTH_LIMIT_SHARE } else { 1.0 };
        let room = |p: &Pool| retry || p.calls_in_flight as f64 + self.limit_dither < part(p) * p.limit;
        if !self.pools.is_empty() && !self.pools.iter().any(room) {
            return PickResult::Wait;
        }
        let cold = |since: Micros| self.now < since + self.settings.ramp_time;
        let (mut best, mut waits) = ([None; 4], false);
        let idle =
            self.subset.iter().filter(|&&i| self.has_idle_connection(&self.servers[i as usize])).count();
        for s in self.subset.iter().map(|&i| &self.servers[i as usize]) {
            let same = match bound {
                Some((DedupScope::Zone, n)) => n.zone == s.entry.zone,
                Some((DedupScope::Cell, n)) => n.zone == s.entry.zone && n.cell == s.entry.cell,
                _ => true,
            };
            // Rule 5 binds every attempt.
            if s.entry.state != ListedState::Ready
                || !same
                || !is_allowed(&self.settings.classes[r.class], &s.entry)
            {
                continue;
            }
            let rank = match self.is_eligible(s, r.class) && self.is_likely_to_stay(s) {
                // it turned one away, and may be leaving
                false if s.confirmed_at == NEVER && !self.is_watched() => 3,
                false => 2, // panic: nobody healthy, or none that is likely to stay, is left
                true if r.attempts.iter().any(|a| a.server == s.entry.server) => 1,
                true => 0,
            };
            if !room(&self.pools[s.pool])
                || (s.started_at.is_some_and(cold)
                    && s.cold_bucket < (r.price - self.stats.cr / self.stats.gain).max(0.0))
            {
                waits |= rank < 2;
                continue;
            }
            // Where servers differ, what this call itself would book counts like what is booked already.
            let own = s.sent_since_update
                + self.stats.dec * self.stats.gain * r.price * self.slowness(s) * s.random_factor;
            // Join an idle connection: its server has answered, and no own call waits there. Boards of
            // own sends tell no more of a server than that. Harm: who errs at once looks idle. A cold one
            // has its bucket, and is free: charged, new servers were met by few or none of all callers.
            let away = if s.entry.zone == self.settings.zone {
                0.0
            } else {
                CROSSING_CALLS * self.settings.crossing_price
            };
            let few = idle < MIN_OPEN_SERVERS || (s.calls.is_empty() && s.started_at.is_some_and(cold));
            let extra = if self.has_idle_connection(s) || (few && !s.is_unreachable) {
                away
            } else {
                away + NEW_CONNECTION_CALLS
            };
            let net = s.weight - own / self.stats.cr - self.stats.dec * extra;
            if best[rank].is_none_or(|(w, _): (f64, ServerId)| net > w) {
                best[rank] = Some((net, s.entry.server));
            }
        }
        match best.iter().flatten().next() {
            Some(b) if best[..2].contains(&Some(*b)) || !waits => PickResult::Server(b.1),
            _ if waits => PickResult::Wait,
            _ => PickResult::NoServer,
        }
    }

    /// It has answered on a connection that is idle now, as far as this instance knows.
    pub(super) fn has_idle_connection(&self, s: &Server) -> bool {
        s.idle_connections > 0 && self.now - s.idle_since < self.settings.idle_close
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let slow = self.slowness(&self.servers[server.0 as usize]);
        let Some(r) = self.requests.get(&id) else { return };
        let overdue = Micros((self.time_estimate.served_time(r.price) * OVERDUE_FACTOR) as i64) + PERIOD;
        let overdue_at = if self.fault_share(r) >= FAULTY_SHARE { r.expires } else { now + overdue };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let s = &mut self.servers[server.0 as usize];
        let price = r.price * slow * self.stats.gain;
        s.board.queue.push((now, price));
        s.sent_since_update += price;
        s.cold_bucket -= r.price;
        for m in health_of(s, r.class) {
            m.probe_in_flight = m.ejected_until.is_some();
        }
        s.idle_connections = s.idle_connections.saturating_sub(1);
        if !std::mem::replace(&mut s.is_busy, true) {
            self.busy_servers.push(server.0);
        }
        s.random_factor = 1.0 - RANDOM_FACTOR_SPREAD + 2.0 * RANDOM_FACTOR_SPREAD * self.rng.f64();
        let (attempt, class, sent, overdue) = (r.attempts.len() as u32, r.class, now, false);
        let (booked_until, price) = (s.board.tc.max(now.0 as f64) + price, r.price * slow);
        s.calls.push(InFlightCall {
            id,
            attempt,
            class,
            sent_at: sent,
            overdue_at,
            is_overdue: overdue,
            booked_until,
            unscaled_price: price,
        });
        r.attempts.push(Attempt { server, sent_at: now, in_flight: true, may_have_run: true });
        self.pools[s.pool].calls_in_flight += 1;
        self.stats.sent_count += 1.0;
        self.stats.sent_raw += price;
        self.stats.sent_booked += price * self.stats.gain;
        actions.push(Action::Send { id, server, timeout: r.expires - now });
    }
}

/// Rule 5: whether a class may go to a server.
pub(super) fn is_allowed(class: &Class, news: &ServerEntry) -> bool {
    let open = |only: &[u32], to: u32| only.is_empty() || only.contains(&to);
    open(&class.only_kinds, news.kind) && open(&class.only_zones, news.zone)
}
