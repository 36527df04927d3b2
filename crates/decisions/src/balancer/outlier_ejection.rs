//! Outlier ejection: servers far worse than their peers get nothing for a while, but for a trial.

use super::*;

pub(super) const OVERDUE_FACTOR: f64 = 8.0; // multiple of the expected time: 1 in 3,000 of exponential times
pub(super) const MIN_SCORE_WEIGHT: f64 = 0.3; // least weight of one outcome in the outlier score
pub const EJECT_SCORE: f64 = 0.4; // the score that ejects, above twice the peers' own
const WELL_SCORE: f64 = 0.1; // the score under which a server is well again
const SLOW_FROM_FACTOR: f64 = 4.0; // an answer is bad from this multiple of its expected time: 1 in 50
const SLOW_OVER_FACTOR: f64 = 8.0; // and wholly bad so many multiples later
const TIMEOUT_OVER_FACTOR: f64 = 3.0; // the same of a time-out, which is bad from once its expected time on
/// A delay by less than this part of the aim costs the caller nothing, and proves nothing of a server,
/// however fast it is as a rule: any machine that is full does that.
pub(super) const FREE_DELAY_AIM_SHARE: f64 = 0.02;
const FULL_DELAY_AIM_SHARE: f64 = 0.1; // and by this part it counts in full
const FIRST_EJECTION: Micros = Micros(1_000_000); // a few times a call; doubled up to what discovery takes
const MAX_EJECTION_DOUBLINGS: u32 = 4;
const MAX_EJECTED_ONE_IN: usize = 3; // panic threshold: one in so many; beyond it the trouble is not theirs alone

/// An attempt that is out for far longer than expected.
struct Overdue {
    id: RequestId,
    attempt: u32,
    class: usize,
    out: Micros,
    expected: Micros,
}

impl Balancer {
    /// Not ejected, as a whole or for the class; or due for a single trial, by what is safe to repeat, or,
    /// where none such has come for as long again, by anything: it must come back too.
    pub(super) fn is_eligible(&self, s: &Server, class: usize) -> bool {
        let keys = [s.health.first(), s.health.get(class + 1)];
        keys.into_iter().flatten().all(|m| match m.ejected_until {
            None => true,
            Some(until) => {
                let safe = matches!(self.settings.classes[class].effect, Effect::Safe);
                let due =
                    until + if safe { Micros(0) } else { back_off_after(self.first_back_off(), m.ejections) };
                self.now >= due
                    && !m.probe_in_flight
                    && s.calls.is_empty()
                    && (m.peer_severity == 0.0 || m.probes_here)
            }
        })
    }

    /// The first back-off: never shorter than it takes to come round to the same server again.
    pub(super) fn first_back_off(&self) -> Micros {
        let round = self.subset.len() as f64 / self.stats.nr.max(0.01) * PERIOD.0 as f64;
        FIRST_EJECTION.max(Micros(round as i64)).min(Micros(FIRST_EJECTION.0 << MAX_EJECTION_DOUBLINGS))
    }

    /// One outcome's part in the outlier scores: of the server, and of the server for the class. What the
    /// class's own score tells already speaks less against the server. Harm: a good one may rest.
    pub(super) fn record_outcome(
        &mut self,
        server: ServerId,
        class: usize,
        expected: f64,
        part: f64,
        o: &Outcome,
    ) {
        let (now, first) = (self.now, self.first_back_off());
        let s = &mut self.servers[server.0 as usize];
        let Some(i) = s.calls.iter().position(|f| f.id == o.id && f.attempt == o.attempt) else { return };
        let flight = s.calls.swap_remove(i);
        self.pools[s.pool].calls_in_flight -= 1;
        s.is_unreachable = o.code == Code::ConnectFailed;
        s.has_answered |= matches!(o.code, Code::Ok | Code::Error | Code::Full | Code::Rejected);
        s.confirmed_at = match o.code {
            Code::Ok | Code::Error => s.confirmed_at.max(flight.sent_at),
            Code::Full | Code::ConnectFailed => NEVER,
            _ => s.confirmed_at,
        };
        if !matches!(o.code, Code::ConnectFailed | Code::Moot | Code::Reset) {
            (s.idle_connections, s.idle_since) = (s.idle_connections + 1, now);
        }
        if let Some(held) = o.load.and_then(|l| l.in_flight) {
            s.reported_load = Some((held, now));
            self.stats.mean_reported_load += CALL_WEIGHT * (held - self.stats.mean_reported_load);
        }
        let bad = match o.code {
            // Slow answers tell of a slow server as time-outs do, from further off: work is heavy-tailed.
            Code::Ok => {
                self.lateness(class, o.latency, SLOW_FROM_FACTOR * expected, SLOW_OVER_FACTOR * expected)
            }
            Code::Error | Code::Reset | Code::ConnectFailed => 1.0,
            // One that was overdue has told; another tells as much as it was late when its time was up.
            Code::Timeout | Code::Cancelled if flight.is_overdue => {
                return health_of(s, class).for_each(|m| m.finish_probe(now, first, false));
            }
            Code::Timeout => self.lateness(class, o.latency, expected, TIMEOUT_OVER_FACTOR * expected),
            _ => 0.0,
        } * part;
        let s = &mut self.servers[server.0 as usize];
        let answered_well = o.code == Code::Ok && bad == 0.0;
        // Its time was up, or it was given up, before it could tell anything.
        if bad == 0.0 && !matches!(o.code, Code::Ok | Code::Error) {
            return health_of(s, class).for_each(|m| m.probe_in_flight = false);
        }
        s.last_ok_at = if answered_well { now } else { s.last_ok_at };
        if bad > 0.0 {
            let (latency, held_up, expected) = (o.latency, o.local_delay, Micros(expected as i64));
            s.last_bad_outcome =
                Some(BadOutcome { code: Some(o.code), latency, local_delay: held_up, expected });
        }
        update_scores(s, class, bad, now);
        // Called gone, it answers: the list is wrong. Or nobody is there.
        if s.is_doubted && answered_well {
            (s.is_doubted, self.subset_is_stale) = (false, true);
        } else if s.is_doubted && o.code == Code::ConnectFailed {
            let out = now + back_off_after(first, MAX_EJECTION_DOUBLINGS);
            let struck = HealthRecord {
                outlier_score: 1.0,
                ejected_until: Some(out),
                ejections: MAX_EJECTION_DOUBLINGS,
                ..HealthRecord::default()
            };
            s.health[0] = HealthRecord { by_own_score: true, ..struck };
        }
        for m in health_of(s, class) {
            let was = m.ejected_until.is_some();
            m.finish_probe(now, first, bad < 0.5);
            self.subset_is_stale |= was && m.ejected_until.is_none();
        }
    }

    /// How far an answer is late, 0 to 1: from so many microseconds on, in full so many later. Neither is
    /// less than what a delay costs the caller.
    fn lateness(&self, class: usize, latency: Micros, from: f64, over: f64) -> f64 {
        let aim = self.settings.classes[class].aim.0 as f64;
        let from = from.max(FREE_DELAY_AIM_SHARE * aim);
        let over = over.max((FULL_DELAY_AIM_SHARE - FREE_DELAY_AIM_SHARE) * aim).max(1.0);
        ((latency.0 as f64 - from) / over).clamp(0.0, 1.0)
    }

    /// An attempt far past its expected time speaks against its server, if nothing was answered since it
    /// went out: a hung server shows in nothing else. Where rule 2 and the budget let it, it is called off.
    /// Harm: a heavy call ejects a good server for a while. One that still answers is left alone. Only when
    /// time alone passes: all that had come by then has been told, one after the other.
    pub(super) fn check_overdue(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.overdue_check_due) {
            return;
        }
        let now = self.now;
        let mut silent = Vec::new();
        for &i in &self.busy_servers {
            let s = &mut self.servers[i as usize];
            let last_ok = s.last_ok_at;
            let due = s.calls.iter_mut().filter(|f| !f.is_overdue && f.overdue_at <= now);
            let mut told: Vec<Overdue> = Vec::new();
            for f in due {
                f.is_overdue = true;
                let expected = Micros((f.overdue_at - f.sent_at - PERIOD).0.max(0) / OVERDUE_FACTOR as i64);
                let overdue =
                    Overdue { id: f.id, attempt: f.attempt, class: f.class, out: now - f.sent_at, expected };
                told.extend((last_ok <= f.sent_at).then_some(overdue));
            }
            for overdue in &told {
                update_scores(s, overdue.class, 1.0, now);
                let (latency, expected) = (overdue.out, overdue.expected);
                s.last_bad_outcome =
                    Some(BadOutcome { code: None, latency, local_delay: Micros(0), expected });
            }
            silent.extend(told);
        }
        if !silent.is_empty() {
            self.eject(actions);
        }
        for Overdue { id, attempt, .. } in silent {
            let Some(r) = self.requests.get(&id).filter(|r| !r.is_finished && self.settings.may_cancel)
            else {
                continue;
            };
            let again = !matches!(self.settings.classes[r.class].effect, Effect::Unsafe)
                && r.attempts.len() < self.settings.max_attempts as usize;
            // A hung attempt must not cost those that wait for its key their time.
            let behind = r.key.and_then(|k| self.key_queues.get(&k)).is_some_and(|t| t.requests.len() > 1);
            if behind || (again && self.retry_tokens >= 1.0 && self.value(id, r, IN_TIME_FACTOR) > 0.0) {
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Ejects servers far worse than their peers, the worst first, up to a capped share. Relative, since the
    /// callers of a failing lower tier all err together, and nobody is to be ejected for that.
    pub(super) fn eject(&mut self, actions: &mut Vec<Action>) {
        let members = self.subset.iter().map(|&i| &self.servers[i as usize]);
        let (mut n, mut ejected, mut sum, mut hot) = (0, 0, Vec::new(), Vec::new());
        for s in members.filter(|s| s.entry.state == ListedState::Ready) {
            n += 1;
            sum.resize(sum.len().max(s.health.len()), 0.0);
            ejected += usize::from(s.health.iter().any(|m| m.ejected_until.is_some()));
            for (key, m) in s.health.iter().enumerate() {
                // Own fresh experience goes before hearsay.
                let bad = if m.peer_found_at > s.last_ok_at {
                    m.outlier_score.max(m.peer_severity)
                } else {
                    m.outlier_score
                };
                sum[key] += bad;
                if m.ejected_until.is_none() && bad >= EJECT_SCORE {
                    hot.push((
                        bad,
                        s.entry.server.0 as usize,
                        key,
                        back_off_after(self.first_back_off(), m.ejections),
                    ));
                }
            }
        }
        hot.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        for (bad, server, key, wait) in hot {
            let peers = (sum[key] - bad) / (n - 1).max(1) as f64;
            // One out for a class already takes no more of the share: among few it would stay.
            let more = self.servers[server].health.iter().all(|m| m.ejected_until.is_none());
            let full = more && ejected >= (n / MAX_EJECTED_ONE_IN).max(1);
            if n < 2 || full || bad < EJECT_SCORE + 2.0 * peers {
                continue;
            }
            let last_bad = self.servers[server].last_bad_outcome;
            let m = &mut self.servers[server].health[key];
            (m.ejected_until, m.ejections) = (Some(self.now + wait), m.ejections + 1);
            m.by_own_score = m.outlier_score >= EJECT_SCORE;
            ejected += usize::from(more);
            self.subset_is_stale = true;
            if m.ejections == 1 {
                let what = if key == 0 { String::new() } else { format!(" for class {}", key - 1) };
                let last = match last_bad.filter(|_| m.by_own_score) {
                    Some(last) => format!(": {last}"),
                    None => ", by others' word".to_string(),
                };
                let text = format!("server {server} ejected{what}, outlier score {bad:.2}{last}");
                actions.push(Action::Log(text));
            }
        }
    }

    /// What others found counts like an own score, under the same cap. A few of those that found it try the
    /// server for all; with their word that it is well, or when it grows old, it is back without a trial.
    pub(super) fn apply_peer_verdict(&mut self, h: PeerVerdict, actions: &mut Vec<Action>) {
        let key = h.class.map_or(0, |c| c.0 as usize + 1);
        let Some(s) = self.servers.get_mut(h.server.0 as usize) else { return };
        s.health.resize(s.health.len().max(key + 1), HealthRecord::default());
        let m = &mut s.health[key];
        if h.severity == 0.0 && m.peer_severity > 0.0 && !m.probes_here {
            (m.outlier_score, m.ejected_until, m.probe_in_flight) = (0.0, None, false);
            self.subset_is_stale = true;
        }
        (m.peer_severity, m.peer_found_at, m.probes_here) = (h.severity, h.found_at, h.probes_here);
        self.eject(actions);
    }
}

/// Back-off by strikes.
fn back_off_after(first: Micros, strikes: u32) -> Micros {
    Micros((first.0 << strikes.min(MAX_EJECTION_DOUBLINGS)).min(FIRST_EJECTION.0 << MAX_EJECTION_DOUBLINGS))
}

/// The marks that a call of the class speaks to.
pub(super) fn health_of(s: &mut Server, class: usize) -> impl Iterator<Item = &mut HealthRecord> {
    s.health.iter_mut().enumerate().filter(move |(key, _)| *key == 0 || *key == class + 1).map(|(_, m)| m)
}

/// Books an outcome on the outlier scores. The rarer a server's outcomes, the more each one says.
fn update_scores(s: &mut Server, class: usize, bad: f64, now: Micros) {
    if s.health.is_empty() && bad == 0.0 {
        s.last_ended_at = now;
        return;
    }
    if s.health.len() < class + 2 {
        s.health.resize(class + 2, HealthRecord::default());
    }
    let k = Balancer::signal_weight(now - s.last_ended_at).max(MIN_SCORE_WEIGHT);
    s.last_ended_at = now;
    let known = if bad > 0.0 { s.health[class + 1].outlier_score } else { 0.0 };
    for (key, part) in [(0, 1.0 - known), (class + 1, 1.0)] {
        let m = &mut s.health[key];
        m.outlier_score += k * part * (bad - m.outlier_score);
        if m.outlier_score < WELL_SCORE && m.ejected_until.is_none() && bad == 0.0 {
            m.ejections = m.ejections.saturating_sub(1);
        }
    }
}

impl HealthRecord {
    /// How a trial went: one success halves the score, and a server well again is let back in.
    pub(super) fn finish_probe(&mut self, now: Micros, first: Micros, well: bool) {
        self.probe_in_flight = false;
        let Some(until) = self.ejected_until else { return };
        if well {
            self.outlier_score *= 0.5;
            if self.outlier_score < WELL_SCORE {
                self.ejected_until = None;
            }
        } else if until <= now {
            self.ejected_until = Some(now + back_off_after(first, self.ejections));
            self.ejections += 1;
        }
    }
}
