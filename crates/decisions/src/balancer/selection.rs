//! Selection of a server for an attempt, and the send.

use super::*;

const LUCK: f64 = 0.25; // a server's luck lies so far from 1: equals are told apart, speeds not drowned
const NEW_CONN: f64 = 40.0; // calls on its board that a server without an idle connection is charged
const OPEN_LEAST: usize = 2; // once so many have one: boards are left a choice
const CROSSING: f64 = 400.0; // the same for another zone, times what a crossing costs of a request's worth
const LOW_WORTH_ROOM: f64 = 0.5; // part of it for requests worth little

impl Balancer {
    /// The largest weight net of own sends since the last update, among the servers that may be sent to.
    pub(super) fn pick(&mut self, id: RequestId, retry: bool) -> Pick {
        if self.stale {
            self.subset();
        }
        let Some(r) = self.requests.get(&id) else { return Pick::Nobody };
        let two = !self.set.parallel_attempts && r.attempts.iter().any(|a| a.out);
        if two || r.expires <= self.now || r.attempts.len() >= self.set.max_attempts as usize {
            return Pick::Nobody;
        }
        // Rule 3.
        if self.list_is_stale() {
            return Pick::Wait;
        }
        // Rule 6: one at a time for each key, by arrival; then the key rests. The one that has the turn has
        // had its rest. Waiting for it is no crowding.
        if let Some(turn) = r.key.and_then(|k| self.turns.get(&k)) {
            if turn.queue.front() != Some(&id) || (r.attempts.is_empty() && self.now < turn.rest) {
                return Pick::Wait;
            }
        }
        // Rule 2: what may have run, or may run yet, binds later sends.
        let effect = self.set.classes[r.class].effect;
        let mut bound: Option<(DedupScope, &ServerEntry)> = None;
        for a in r.attempts.iter().filter(|a| a.may_have_run) {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => return Pick::Nobody,
                Effect::Keyed { window, .. } if self.now - a.sent >= window => return Pick::Nobody,
                Effect::Keyed { scope: group, .. } => {
                    bound = Some((group, &self.servers[a.server.0 as usize].entry))
                }
            }
        }
        // Room under the limit, less for what is past a tenant's share, repeated by a client, or struck.
        let low = self.set.tier == 0 && (r.over_share || r.repeat);
        let struck = self.fault(r) >= STRUCK;
        let less = |p: &Pool| struck || (low && p.crowd > CROWDED / 2.0);
        let part = |p: &Pool| if less(p) { LOW_WORTH_ROOM } else { 1.0 };
        let room = |p: &Pool| retry || p.out as f64 + self.chance < part(p) * p.limit;
        if !self.pools.is_empty() && !self.pools.iter().any(room) {
            return Pick::Wait;
        }
        let cold = |since: Micros| self.now < since + self.set.ramp_time;
        let (mut best, mut waits) = ([None; 4], false);
        let idle = self.members.iter().filter(|&&i| self.open(&self.servers[i as usize])).count();
        for s in self.members.iter().map(|&i| &self.servers[i as usize]) {
            let same = match bound {
                Some((DedupScope::Zone, n)) => n.zone == s.entry.zone,
                Some((DedupScope::Cell, n)) => n.zone == s.entry.zone && n.cell == s.entry.cell,
                _ => true,
            };
            // Rule 5 binds every attempt.
            if s.entry.state != ListedState::Ready || !same || !allowed(&self.set.classes[r.class], &s.entry)
            {
                continue;
            }
            let rank = match self.eligible(s, r.class) && self.trusted(s) {
                // it turned one away, and may be leaving
                false if s.proven == NEVER && !self.is_watched() => 3,
                false => 2, // panic: nobody healthy, or none that is likely to stay, is left
                true if r.attempts.iter().any(|a| a.server == s.entry.server) => 1,
                true => 0,
            };
            if !room(&self.pools[s.pool])
                || (s.started_at.is_some_and(cold)
                    && s.bucket < (r.price - self.st.cr / self.st.gain).max(0.0))
            {
                waits |= rank < 2;
                continue;
            }
            // Where servers differ, what this call itself would book counts like what is booked already.
            let own = s.own + self.st.dec * self.st.gain * r.price * self.slowness(s) * s.luck;
            // Join an idle connection: its server has answered, and no own call waits there. Boards of
            // own sends tell no more of a server than that. Harm: who errs at once looks idle. A cold one
            // has its bucket, and is free: charged, new servers were met by few or none of all callers.
            let away = if s.entry.zone == self.set.zone { 0.0 } else { CROSSING * self.set.crossing_price };
            let few = idle < OPEN_LEAST || (s.flights.is_empty() && s.started_at.is_some_and(cold));
            let extra = if self.open(s) || (few && !s.shut) { away } else { away + NEW_CONN };
            let net = s.weight - own / self.st.cr - self.st.dec * extra;
            if best[rank].is_none_or(|(w, _): (f64, ServerId)| net > w) {
                best[rank] = Some((net, s.entry.server));
            }
        }
        match best.iter().flatten().next() {
            Some(b) if best[..2].contains(&Some(*b)) || !waits => Pick::To(b.1),
            _ if waits => Pick::Wait,
            _ => Pick::Nobody,
        }
    }

    /// It has answered on a connection that is idle now, as far as this instance knows.
    pub(super) fn open(&self, s: &Server) -> bool {
        s.idle > 0 && self.now - s.idle_since < self.set.idle_close
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let slow = self.slowness(&self.servers[server.0 as usize]);
        let Some(r) = self.requests.get(&id) else { return };
        let overdue = Micros((self.line.at(r.price) * OVERDUE) as i64) + PERIOD;
        let overdue_at = if self.fault(r) >= STRUCK { r.expires } else { now + overdue };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let s = &mut self.servers[server.0 as usize];
        let price = r.price * slow * self.st.gain;
        s.board.queue.push((now, price));
        s.own += price;
        s.bucket -= r.price;
        for m in marks_of(s, r.class) {
            m.trial = m.ejected_until.is_some();
        }
        s.idle = s.idle.saturating_sub(1);
        if !std::mem::replace(&mut s.busy, true) {
            self.busy.push(server.0);
        }
        s.luck = 1.0 - LUCK + 2.0 * LUCK * self.rng.f64();
        let (attempt, class, sent, overdue) = (r.attempts.len() as u32, r.class, now, false);
        let (booked_until, price) = (s.board.tc.max(now.0 as f64) + price, r.price * slow);
        s.flights.push(Flight { id, attempt, class, sent, overdue_at, overdue, booked_until, price });
        r.attempts.push(Attempt { server, sent: now, out: true, may_have_run: true });
        self.pools[s.pool].out += 1;
        self.st.sent_count += 1.0;
        self.st.sent_raw += price;
        self.st.sent_booked += price * self.st.gain;
        actions.push(Action::Send { id, server, timeout: r.expires - now });
    }
}

/// Rule 5: whether a class may go to a server.
pub(super) fn allowed(class: &Class, news: &ServerEntry) -> bool {
    let open = |only: &[u32], to: u32| only.is_empty() || only.contains(&to);
    open(&class.only_kinds, news.kind) && open(&class.only_zones, news.zone)
}
