//! Outlier ejection: a server that is far worse than its peers gets no calls for a while, except for single
//! probes.

use super::*;

/// A call is overdue after this multiple of its expected time; of exponentially distributed times, 1 in 3,000
/// is longer.
pub(super) const OVERDUE_FACTOR: f64 = 8.0;
/// The least weight of one outcome in the outlier score.
pub(super) const MIN_SCORE_WEIGHT: f64 = 0.3;
/// The outlier score that ejects a server, if it also exceeds twice the mean of its peers by this much.
pub const EJECT_SCORE: f64 = 0.4;
/// The outlier score below which a server counts as recovered.
const WELL_SCORE: f64 = 0.1;
/// An answer counts as slow from this multiple of its expected time on; 1 in 50 takes as long.
const SLOW_FROM_FACTOR: f64 = 4.0;
/// An answer counts as bad in full this many multiples of its expected time later.
const SLOW_OVER_FACTOR: f64 = 8.0;
/// A time-out counts from its expected time on, and as bad in full this many multiples later.
const TIMEOUT_OVER_FACTOR: f64 = 3.0;
/// A delay by less than this share of the aim costs the caller nothing and is no evidence against a server,
/// however fast it usually is: any fully loaded machine causes such delays.
pub(super) const FREE_DELAY_AIM_SHARE: f64 = 0.02;
/// A delay by this share of the aim may count in full; a smaller one never does.
const FULL_DELAY_AIM_SHARE: f64 = 0.1;
/// The length of the first ejection: a few times that of a call. After all doublings it reaches the time that
/// discovery takes to remove a server.
const FIRST_EJECTION: Micros = Micros(1_000_000);
/// The largest number of times that the length of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// The panic threshold: at most one in this many servers is ejected. If more are bad, the fault is not theirs
/// alone.
const MAX_EJECTED_ONE_IN: usize = 3;

/// An attempt that has been in flight for far longer than expected.
struct Overdue {
    id: RequestId,
    attempt: u32,
    class: usize,
    /// The time since the attempt was sent.
    elapsed: Micros,
    /// The time that the attempt was expected to take.
    expected: Micros,
}

impl Balancer {
    /// Returns whether a server may be called for a class: it is ejected neither as a whole nor for the
    /// class, or it is due for a single probe. A request that is safe to repeat makes the probe. If none has
    /// come for as long as the back-off again, any request may, since the server has to be able to come back.
    pub(super) fn is_eligible(&self, server: &Server, class: usize) -> bool {
        let records = [server.health.first(), server.health.get(class + 1)];
        records.into_iter().flatten().all(|record| match record.ejected_until {
            None => true,
            Some(until) => {
                let is_safe = matches!(self.settings.classes[class].effect, Effect::Safe);
                let due = until
                    + if is_safe {
                        Micros(0)
                    } else {
                        back_off_after(self.first_back_off(), record.ejections)
                    };
                self.now >= due
                    && !record.probe_in_flight
                    && server.calls.is_empty()
                    && (record.peer_severity == 0.0 || record.probes_here)
            }
        })
    }

    /// Returns the first back-off. Up to a bound, it is not shorter than the time in which this instance
    /// sends as many calls as its subset has servers, since it calls each server only about that often.
    pub(super) fn first_back_off(&self) -> Micros {
        let round = self.subset.len() as f64 / self.stats.nr.max(0.01) * PERIOD.0 as f64;
        FIRST_EJECTION.max(Micros(round as i64)).min(Micros(FIRST_EJECTION.0 << MAX_EJECTION_DOUBLINGS))
    }

    /// Removes an ended call from its server, and adds its outcome to the outlier scores of the server as a
    /// whole and of the server for the class. The higher the score for the class already is, the less the
    /// outcome counts against the server as a whole. `blame` is the share of the outcome, 0 to 1, that is
    /// attributed to the server. Drawback: a good server may be ejected for a while.
    pub(super) fn record_outcome(
        &mut self,
        server_id: ServerId,
        class: usize,
        expected: f64,
        blame: f64,
        outcome: &Outcome,
    ) {
        let (now, first_back_off) = (self.now, self.first_back_off());
        let server = &mut self.servers[server_id.0 as usize];
        let Some(index) =
            server.calls.iter().position(|c| c.id == outcome.id && c.attempt == outcome.attempt)
        else {
            return;
        };
        let call = server.calls.swap_remove(index);
        self.pools[server.pool].calls_in_flight -= 1;
        server.is_unreachable = outcome.code == Code::ConnectFailed;
        server.has_answered |= matches!(outcome.code, Code::Ok | Code::Error | Code::Full | Code::Rejected);
        server.confirmed_at = match outcome.code {
            Code::Ok | Code::Error => server.confirmed_at.max(call.sent_at),
            Code::Full | Code::ConnectFailed => NEVER,
            _ => server.confirmed_at,
        };
        if !matches!(outcome.code, Code::ConnectFailed | Code::Moot | Code::Reset) {
            (server.idle_connections, server.idle_since) = (server.idle_connections + 1, now);
        }
        if let Some(in_progress) = outcome.load.and_then(|l| l.in_flight) {
            server.reported_load = Some((in_progress, now));
            self.stats.mean_reported_load += CALL_WEIGHT * (in_progress - self.stats.mean_reported_load);
        }
        let bad = match outcome.code {
            // Slow answers are evidence of a slow server as time-outs are, but only from a later time on,
            // since work is heavy-tailed.
            Code::Ok => self.lateness(
                class,
                outcome.latency,
                SLOW_FROM_FACTOR * expected,
                SLOW_OVER_FACTOR * expected,
            ),
            Code::Error | Code::Reset | Code::ConnectFailed => 1.0,
            // An overdue call has already been added to the scores. Any other time-out counts by how late it
            // was.
            Code::Timeout | Code::Cancelled if call.is_overdue => {
                return health_of(server, class)
                    .for_each(|record| record.finish_probe(now, first_back_off, false));
            }
            Code::Timeout => self.lateness(class, outcome.latency, expected, TIMEOUT_OVER_FACTOR * expected),
            _ => 0.0,
        } * blame;
        let server = &mut self.servers[server_id.0 as usize];
        let answered_well = outcome.code == Code::Ok && bad == 0.0;
        // The attempt ended before it could show anything about the server.
        if bad == 0.0 && !matches!(outcome.code, Code::Ok | Code::Error) {
            return health_of(server, class).for_each(|record| record.probe_in_flight = false);
        }
        server.last_ok_at = if answered_well { now } else { server.last_ok_at };
        if bad > 0.0 {
            let (latency, local_delay, expected) =
                (outcome.latency, outcome.local_delay, Micros(expected as i64));
            server.last_bad_outcome =
                Some(BadOutcome { code: Some(outcome.code), latency, local_delay, expected });
        }
        update_scores(server, class, bad, now);
        // A list removed the server, but removals are advisory. If it answers, the list is wrong; if it can't
        // be reached, the list is right.
        if server.is_doubted && answered_well {
            (server.is_doubted, self.subset_is_stale) = (false, true);
        } else if server.is_doubted && outcome.code == Code::ConnectFailed {
            let ejected_until = now + back_off_after(first_back_off, MAX_EJECTION_DOUBLINGS);
            let ejected = HealthRecord {
                outlier_score: 1.0,
                ejected_until: Some(ejected_until),
                ejections: MAX_EJECTION_DOUBLINGS,
                ..HealthRecord::default()
            };
            server.health[0] = HealthRecord { by_own_score: true, ..ejected };
        }
        for record in health_of(server, class) {
            let was_ejected = record.ejected_until.is_some();
            record.finish_probe(now, first_back_off, bad < 0.5);
            self.subset_is_stale |= was_ejected && record.ejected_until.is_none();
        }
    }

    /// Returns how late an answer is, 0 to 1. Lateness starts at `from` microseconds and is full `over`
    /// microseconds later. Both are raised to delays that cost the caller something.
    fn lateness(&self, class: usize, latency: Micros, from: f64, over: f64) -> f64 {
        let aim = self.settings.classes[class].aim.0 as f64;
        let from = from.max(FREE_DELAY_AIM_SHARE * aim);
        let over = over.max((FULL_DELAY_AIM_SHARE - FREE_DELAY_AIM_SHARE) * aim).max(1.0);
        ((latency.0 as f64 - from) / over).clamp(0.0, 1.0)
    }

    /// Counts attempts that are far past their expected time as bad outcomes of their servers, if the server
    /// has answered nothing since the attempt was sent: a server that hangs shows in nothing else, and one
    /// that still answers is not affected. Such an attempt is cancelled if its request may be sent again
    /// (rule 2: one with effects only where that is safe) and the retry budget allows it. This runs on timer
    /// events only, once per period: by then every outcome that had arrived has been handled, one after the
    /// other. Drawback: a call with much work ejects a good server for a while.
    pub(super) fn check_overdue(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.overdue_check_due) {
            return;
        }
        let now = self.now;
        let mut unanswered = Vec::new();
        for &index in &self.busy_servers {
            let server = &mut self.servers[index as usize];
            let last_ok_at = server.last_ok_at;
            let due = server.calls.iter_mut().filter(|c| !c.is_overdue && c.overdue_at <= now);
            let mut unanswered_here: Vec<Overdue> = Vec::new();
            for call in due {
                call.is_overdue = true;
                let expected =
                    Micros((call.overdue_at - call.sent_at - PERIOD).0.max(0) / OVERDUE_FACTOR as i64);
                let overdue = Overdue {
                    id: call.id,
                    attempt: call.attempt,
                    class: call.class,
                    elapsed: now - call.sent_at,
                    expected,
                };
                unanswered_here.extend((last_ok_at <= call.sent_at).then_some(overdue));
            }
            for overdue in &unanswered_here {
                update_scores(server, overdue.class, 1.0, now);
                let (latency, expected) = (overdue.elapsed, overdue.expected);
                server.last_bad_outcome =
                    Some(BadOutcome { code: None, latency, local_delay: Micros(0), expected });
            }
            unanswered.extend(unanswered_here);
        }
        if !unanswered.is_empty() {
            self.eject(actions);
        }
        for Overdue { id, attempt, .. } in unanswered {
            let Some(request) =
                self.requests.get(&id).filter(|request| !request.is_finished && self.settings.may_cancel)
            else {
                continue;
            };
            let may_retry = !matches!(self.settings.classes[request.class].effect, Effect::Unsafe)
                && request.attempts.len() < self.settings.max_attempts as usize;
            // An attempt that hangs must not use up the time of the requests that wait for its key.
            let others_wait =
                request.key.and_then(|k| self.key_queues.get(&k)).is_some_and(|q| q.requests.len() > 1);
            let is_retry_worthwhile =
                may_retry && self.retry_tokens >= 1.0 && self.value(id, request, IN_TIME_FACTOR) > 0.0;
            if request.attempts[attempt as usize].has_response_started {
                if is_retry_worthwhile {
                    self.hedge(id, actions);
                }
            } else if others_wait || is_retry_worthwhile {
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Ejects servers that are far worse than their peers, the worst first, up to the panic threshold. The
    /// comparison is relative because all servers that call a failing lower tier return errors together, and
    /// none of them should be ejected for that.
    pub(super) fn eject(&mut self, actions: &mut Vec<Action>) {
        let subset = self.subset.iter().map(|&index| &self.servers[index as usize]);
        let (mut ready, mut ejected, mut sums, mut candidates) = (0, 0, Vec::new(), Vec::new());
        for server in subset.filter(|server| server.entry.state == ListedState::Ready) {
            ready += 1;
            sums.resize(sums.len().max(server.health.len()), 0.0);
            ejected += usize::from(server.health.iter().any(|record| record.ejected_until.is_some()));
            for (key, record) in server.health.iter().enumerate() {
                // A good answer to this instance outweighs an older verdict of others.
                let bad = if record.peer_found_at > server.last_ok_at {
                    record.outlier_score.max(record.peer_severity)
                } else {
                    record.outlier_score
                };
                sums[key] += bad;
                if record.ejected_until.is_none() && bad >= EJECT_SCORE {
                    candidates.push((
                        bad,
                        server.entry.server.0 as usize,
                        key,
                        back_off_after(self.first_back_off(), record.ejections),
                    ));
                }
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        for (bad, index, key, back_off) in candidates {
            let mean_of_peers = (sums[key] - bad) / (ready - 1).max(1) as f64;
            // A server that is already ejected for a class does not count again; otherwise, among few
            // servers, it could never be ejected as a whole.
            let is_newly_ejected =
                self.servers[index].health.iter().all(|record| record.ejected_until.is_none());
            let is_at_threshold = is_newly_ejected && ejected >= (ready / MAX_EJECTED_ONE_IN).max(1);
            if ready < 2 || is_at_threshold || bad < EJECT_SCORE + 2.0 * mean_of_peers {
                continue;
            }
            let last_bad_outcome = self.servers[index].last_bad_outcome;
            let record = &mut self.servers[index].health[key];
            (record.ejected_until, record.ejections) = (Some(self.now + back_off), record.ejections + 1);
            record.by_own_score = record.outlier_score >= EJECT_SCORE;
            ejected += usize::from(is_newly_ejected);
            self.subset_is_stale = true;
            if record.ejections == 1 {
                let what = if key == 0 { String::new() } else { format!(" for class {}", key - 1) };
                let last = match last_bad_outcome.filter(|_| record.by_own_score) {
                    Some(outcome) => format!(": {outcome}"),
                    None => ", by the verdict of other instances".to_string(),
                };
                let text = format!("server {index} ejected{what}, outlier score {bad:.2}{last}");
                actions.push(Action::Log(text));
            }
        }
    }

    /// Applies a verdict of other instances, which counts like this instance's own score and under the same
    /// panic threshold. A few of the instances that found the fault probe the server on behalf of all. Once
    /// these report it as recovered, or the verdict is too old, the other instances use the server again
    /// without a probe.
    pub(super) fn apply_peer_verdict(&mut self, verdict: PeerVerdict, actions: &mut Vec<Action>) {
        let key = verdict.class.map_or(0, |c| c.0 as usize + 1);
        let Some(server) = self.servers.get_mut(verdict.server.0 as usize) else { return };
        server.health.resize(server.health.len().max(key + 1), HealthRecord::default());
        let record = &mut server.health[key];
        if verdict.severity == 0.0 && record.peer_severity > 0.0 && !record.probes_here {
            (record.outlier_score, record.ejected_until, record.probe_in_flight) = (0.0, None, false);
            self.subset_is_stale = true;
        }
        (record.peer_severity, record.peer_found_at, record.probes_here) =
            (verdict.severity, verdict.found_at, verdict.probes_here);
        self.eject(actions);
    }
}

/// Returns the back-off after this number of earlier ejections: each doubles the first back-off, up to a
/// bound.
fn back_off_after(first: Micros, ejections: u32) -> Micros {
    Micros((first.0 << ejections.min(MAX_EJECTION_DOUBLINGS)).min(FIRST_EJECTION.0 << MAX_EJECTION_DOUBLINGS))
}

/// Returns the health records that a call of the class affects: that of the server as a whole, and that for
/// the class.
pub(super) fn health_of(server: &mut Server, class: usize) -> impl Iterator<Item = &mut HealthRecord> {
    server
        .health
        .iter_mut()
        .enumerate()
        .filter(move |(key, _)| *key == 0 || *key == class + 1)
        .map(|(_, record)| record)
}

/// Adds an outcome, 0 (good) to 1 (bad), to the outlier scores. The rarer the outcomes of a server are, the
/// more each one weighs.
fn update_scores(server: &mut Server, class: usize, bad: f64, now: Micros) {
    if server.health.is_empty() && bad == 0.0 {
        server.last_ended_at = now;
        return;
    }
    if server.health.len() < class + 2 {
        server.health.resize(class + 2, HealthRecord::default());
    }
    let weight = Balancer::signal_weight(now - server.last_ended_at).max(MIN_SCORE_WEIGHT);
    server.last_ended_at = now;
    let class_score = if bad > 0.0 { server.health[class + 1].outlier_score } else { 0.0 };
    for (key, share) in [(0, 1.0 - class_score), (class + 1, 1.0)] {
        let record = &mut server.health[key];
        record.outlier_score += weight * share * (bad - record.outlier_score);
        if record.outlier_score < WELL_SCORE && record.ejected_until.is_none() && bad == 0.0 {
            record.ejections = record.ejections.saturating_sub(1);
        }
    }
}

impl HealthRecord {
    /// Records how a probe ended. A success halves the score, and a server whose score is low enough is used
    /// again. A failure extends the ejection.
    pub(super) fn finish_probe(&mut self, now: Micros, first_back_off: Micros, succeeded: bool) {
        self.probe_in_flight = false;
        let Some(until) = self.ejected_until else { return };
        if succeeded {
            self.outlier_score *= 0.5;
            if self.outlier_score < WELL_SCORE {
                self.ejected_until = None;
            }
        } else if until <= now {
            self.ejected_until = Some(now + back_off_after(first_back_off, self.ejections));
            self.ejections += 1;
        }
    }
}
