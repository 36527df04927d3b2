//! The selection of a server for an attempt, and the send.

use super::*;

/// The largest distance of a server's random factor from 1: enough to spread calls over equal servers, and
/// too little to hide differences in speed.
const RANDOM_FACTOR_SPREAD: f64 = 0.25;
/// The cost, in calls booked on its board, that is added for a server without an idle connection.
const NEW_CONNECTION_CALLS: f64 = 40.0;
/// The number of servers with an idle connection from which this cost is added, so that the boards have a
/// choice.
const MIN_OPEN_SERVERS: usize = 2;
/// The cost, in calls, that is added for a server in another zone, multiplied by
/// [`Settings::crossing_price`].
const CROSSING_CALLS: f64 = 400.0;
/// The share of the concurrency limit that requests of little worth may use.
const LOW_WORTH_LIMIT_SHARE: f64 = 0.5;

impl Balancer {
    /// Picks the server with the largest weight, net of this instance's sends since the last update, among
    /// the servers that the request may be sent to.
    pub(super) fn pick(&mut self, id: RequestId, retry: bool) -> PickResult {
        if self.subset_is_stale {
            self.choose_subset();
        }
        let Some(request) = self.requests.get(&id) else { return PickResult::NoServer };
        let would_be_parallel =
            !self.settings.parallel_attempts && request.attempts.iter().any(|attempt| attempt.in_flight);
        if would_be_parallel
            || request.expires <= self.now
            || request.attempts.len() >= self.settings.max_attempts as usize
        {
            return PickResult::NoServer;
        }
        // Rule 3 (nothing is sent to a server that is known to be leaving): nothing at all is sent while the
        // list may lack changes that already have to be obeyed.
        if self.list_is_stale() {
            return PickResult::Wait;
        }
        // Rule 6: requests with the same key run one at a time, in the order of arrival, and the key is
        // paused after one that may still be running. The pause does not apply to retries of the first
        // request in the queue. Waiting for the key does not count as congestion.
        if let Some(queue) = request.key.and_then(|k| self.key_queues.get(&k)) {
            if queue.requests.front() != Some(&id)
                || (request.attempts.is_empty() && self.now < queue.paused_until)
            {
                return PickResult::Wait;
            }
        }
        // Rule 2: an attempt that may have run, or may still run, restricts where later attempts may go.
        let effect = self.settings.classes[request.class].effect;
        let mut bound: Option<(DedupScope, &ServerEntry)> = None;
        for attempt in request.attempts.iter().filter(|attempt| attempt.may_have_run) {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => return PickResult::NoServer,
                Effect::Keyed { window, .. } if self.now - attempt.sent_at >= window => {
                    return PickResult::NoServer
                }
                Effect::Keyed { scope, .. } => {
                    bound = Some((scope, &self.servers[attempt.server.0 as usize].entry))
                }
            }
        }
        // Requests beyond the quota of their tenant, repeats by clients, and requests of a class or tenant
        // that fails on any server get a smaller part of the concurrency limit.
        let is_low = self.settings.tier == 0 && (request.over_quota || request.is_repeat);
        let is_faulty = self.fault_share(request) >= FAULTY_SHARE;
        let is_reduced = |p: &Pool| is_faulty || (is_low && p.congestion > CONGESTED / 2.0);
        let share = |p: &Pool| if is_reduced(p) { LOW_WORTH_LIMIT_SHARE } else { 1.0 };
        let has_room = |p: &Pool| retry || p.calls_in_flight as f64 + self.limit_dither < share(p) * p.limit;
        if !self.pools.is_empty() && !self.pools.iter().any(has_room) {
            return PickResult::Wait;
        }
        let is_cold = |started_at: Micros| self.now < started_at + self.settings.ramp_time;
        let (mut best, mut must_wait) = ([None; 4], false);
        let with_idle_connection =
            self.subset.iter().filter(|&&i| self.has_idle_connection(&self.servers[i as usize])).count();
        for server in self.subset.iter().map(|&i| &self.servers[i as usize]) {
            let is_in_scope = match bound {
                Some((DedupScope::Zone, first)) => first.zone == server.entry.zone,
                Some((DedupScope::Cell, first)) => {
                    first.zone == server.entry.zone && first.cell == server.entry.cell
                }
                _ => true,
            };
            // Rule 5, for retries as well: a class stays within its kinds and zones.
            if server.entry.state != ListedState::Ready
                || !is_in_scope
                || !is_allowed(&self.settings.classes[request.class], &server.entry)
            {
                continue;
            }
            let rank = match self.is_eligible(server, request.class) && self.is_likely_to_stay(server) {
                // The server declined the last call or was unreachable, and may be leaving.
                false if server.confirmed_at == NEVER && !self.is_watched() => 3,
                // A server that is ejected, or may be leaving, is used only in panic: no server is left that
                // is healthy and likely to stay.
                false => 2,
                true if request.attempts.iter().any(|attempt| attempt.server == server.entry.server) => 1,
                true => 0,
            };
            if !has_room(&self.pools[server.pool])
                || (server.started_at.is_some_and(is_cold)
                    && server.cold_bucket < (request.price - self.stats.cr / self.stats.gain).max(0.0))
            {
                must_wait |= rank < 2;
                continue;
            }
            // Where servers differ, the cost that this call would book counts like the cost booked already.
            let sent = server.sent_since_update
                + self.stats.dec
                    * self.stats.gain
                    * request.price
                    * self.slowness(server)
                    * server.random_factor;
            // Servers with an idle connection are preferred: such a server has answered, and no call of this
            // instance waits on that connection. A board of this instance's own sends shows no more than that
            // about a server. Drawback: a server that fails at once looks idle. A cold server is limited by
            // its bucket and is not charged for a new connection: when it was, few callers or none sent
            // anything to new servers.
            let crossing = if server.entry.zone == self.settings.zone {
                0.0
            } else {
                CROSSING_CALLS * self.settings.crossing_price
            };
            let connects_freely = with_idle_connection < MIN_OPEN_SERVERS
                || (server.calls.is_empty() && server.started_at.is_some_and(is_cold));
            let extra = if self.has_idle_connection(server) || (connects_freely && !server.is_unreachable) {
                crossing
            } else {
                crossing + NEW_CONNECTION_CALLS
            };
            let net_weight = server.weight - sent / self.stats.cr - self.stats.dec * extra;
            if best[rank].is_none_or(|(weight, _): (f64, ServerId)| net_weight > weight) {
                best[rank] = Some((net_weight, server.entry.server));
            }
        }
        match best.iter().flatten().next() {
            Some(choice) if best[..2].contains(&Some(*choice)) || !must_wait => PickResult::Server(choice.1),
            _ if must_wait => PickResult::Wait,
            _ => PickResult::NoServer,
        }
    }

    /// Returns whether this instance has an idle connection to the server, as far as it knows.
    pub(super) fn has_idle_connection(&self, server: &Server) -> bool {
        server.idle_connections > 0 && self.now - server.idle_since < self.settings.idle_close
    }

    /// Sends an attempt of the request to the server, and books its cost.
    pub(super) fn send(&mut self, id: RequestId, server_id: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let slowness = self.slowness(&self.servers[server_id.0 as usize]);
        let Some(request) = self.requests.get(&id) else { return };
        let overdue_after =
            Micros((self.time_estimate.served_time(request.price) * OVERDUE_FACTOR) as i64) + PERIOD;
        let overdue_at =
            if self.fault_share(request) >= FAULTY_SHARE { request.expires } else { now + overdue_after };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let server = &mut self.servers[server_id.0 as usize];
        let price = request.price * slowness * self.stats.gain;
        server.board.queue.push((now, price));
        server.sent_since_update += price;
        server.cold_bucket -= request.price;
        for record in health_of(server, request.class) {
            record.probe_in_flight = record.ejected_until.is_some();
        }
        server.idle_connections = server.idle_connections.saturating_sub(1);
        if !std::mem::replace(&mut server.is_busy, true) {
            self.busy_servers.push(server_id.0);
        }
        server.random_factor = 1.0 - RANDOM_FACTOR_SPREAD + 2.0 * RANDOM_FACTOR_SPREAD * self.rng.f64();
        let (attempt, class, sent_at, is_overdue) =
            (request.attempts.len() as u32, request.class, now, false);
        let (booked_until, unscaled_price) =
            (server.board.tc.max(now.0 as f64) + price, request.price * slowness);
        server.calls.push(InFlightCall {
            id,
            attempt,
            class,
            sent_at,
            overdue_at,
            is_overdue,
            booked_until,
            unscaled_price,
        });
        request.attempts.push(Attempt {
            server: server_id,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
            has_response_started: false,
        });
        self.pools[server.pool].calls_in_flight += 1;
        self.stats.sent_count += 1.0;
        self.stats.sent_raw += unscaled_price;
        self.stats.sent_booked += unscaled_price * self.stats.gain;
        actions.push(Action::Send { id, server: server_id, timeout: request.expires - now });
    }
}

/// Rule 5: returns whether a server may serve a class, by its kind and zone.
pub(super) fn is_allowed(class: &Class, entry: &ServerEntry) -> bool {
    let is_among = |only: &[u32], value: u32| only.is_empty() || only.contains(&value);
    is_among(&class.only_kinds, entry.kind) && is_among(&class.only_zones, entry.zone)
}
