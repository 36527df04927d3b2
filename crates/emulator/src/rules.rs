//! The four rules, checked against the events of the world: the checker does not query the state of a
//! balancer, and shares no code with the decision module.
//!
//! 1. A balancer gives exactly one final answer to each request that it has accepted, in time.
//! 2. No request is repeated beyond what its class allows.
//! 3. No new attempt goes to a node more than half a second after the balancer was notified that the node
//!    drains or was removed.
//! 4. No freshly started node crashes because all balancers together send it too much work.

use garnettally_model::Micros;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::collections::VecDeque;

/// How long after the notification that a node drains or was removed an attempt may still be sent to the
/// node.
pub const DRAIN_GRACE: Micros = Micros(500_000);
/// The tolerated delay of an answer after the deadline of its request.
pub const ANSWER_GRACE: Micros = Micros(50_000);
/// The most violations that are recorded in detail; all are counted.
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// A rule that every balancer has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request gets one final answer, in time.
    OneAnswer,
    /// No request is repeated beyond what its class allows.
    Repeats,
    /// No new attempt goes to a node that drains or was removed.
    Drained,
    /// No cold node crashes because it is sent too much work.
    ColdNode,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The time of the violation, in microseconds from the start of the run.
    pub at_us: i64,
    /// A description of the violation, for people.
    pub what: String,
}

/// The repeats that a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedRepeats {
    /// Any repeat is allowed.
    Any,
    /// Repeats are allowed in the cell of the first attempt that may have run, within this time after it was
    /// sent.
    InCell(Micros),
    /// No repeat is allowed once an attempt may have run.
    None,
}

/// Whether an attempt may have run at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt may have run, or may still run.
    Possible,
    /// The attempt never ran, and the balancer knows it.
    Never,
}

struct AcceptedRequest {
    expires: Micros,
    answered: bool,
    client_left: bool,
    allows: AllowedRepeats,
    max_attempts: u32,
    parallel: bool,
    /// Of each attempt: when it was sent, its cell, whether it may have run, and whether it is in flight.
    attempts: Vec<(Micros, usize, Execution, bool)>,
}

struct ColdNode {
    tip: f64,
    window: Micros,
    /// The work sent to the node within the window, with the time at which it arrived.
    sent: VecDeque<(Micros, f64)>,
    sum: f64,
    crashed: bool,
}

/// Records the events of a run and checks the rules against them.
#[derive(Default)]
pub struct RuleChecker {
    requests: FxHashMap<u64, AcceptedRequest>,
    /// By balancer and node: since when the balancer has known that the node accepts no new requests.
    closed_since: FxHashMap<(usize, usize), Micros>,
    cold: FxHashMap<usize, ColdNode>,
    violations: Vec<Violation>,
    counts: [u64; 4],
}

impl RuleChecker {
    fn record_violation(&mut self, rule: Rule, at: Micros, what: String) {
        self.counts[rule as usize] += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(Violation { rule, at_us: at.0, what });
        }
    }

    /// Records that a balancer has accepted a request, of which it may make up to `max_attempts` attempts.
    pub fn request_accepted(
        &mut self,
        call: u64,
        expires: Micros,
        allows: AllowedRepeats,
        max_attempts: u32,
        parallel: bool,
    ) {
        let attempts = Vec::new();
        self.requests.insert(
            call,
            AcceptedRequest {
                expires,
                answered: false,
                client_left: false,
                allows,
                max_attempts,
                parallel,
                attempts,
            },
        );
    }

    /// Records that a balancer has given a final answer to a request.
    pub fn request_answered(&mut self, now: Micros, call: u64) {
        let Some(request) = self.requests.get_mut(&call) else {
            return self.record_violation(
                Rule::OneAnswer,
                now,
                format!(
                    "call {call} was answered, though it was not open: \
                     it was never accepted, or was answered before"
                ),
            );
        };
        let (twice, late) = (request.answered, !request.client_left && now > request.expires + ANSWER_GRACE);
        request.answered = true;
        if twice {
            self.record_violation(Rule::OneAnswer, now, format!("call {call} was answered twice"));
        } else if late {
            self.record_violation(
                Rule::OneAnswer,
                now,
                format!("call {call} was answered after its deadline"),
            );
        }
        self.remove_ended(call);
    }

    /// Records that the client has given up: the deadline that it sent and the tolerance have passed.
    pub fn client_gave_up(&mut self, now: Micros, call: u64) {
        let unanswered = |request: &AcceptedRequest| {
            !request.answered && !request.client_left && now >= request.expires + ANSWER_GRACE
        };
        if self.requests.get(&call).is_some_and(unanswered) {
            self.record_violation(
                Rule::OneAnswer,
                now,
                format!("call {call} was not answered by its deadline"),
            );
        }
        self.client_left(call);
    }

    /// Records that the client has disconnected; the balancer may be notified later.
    pub fn client_left(&mut self, call: u64) {
        if let Some(request) = self.requests.get_mut(&call) {
            request.client_left = true;
        }
        self.remove_ended(call);
    }

    fn remove_ended(&mut self, call: u64) {
        let ended = |request: &AcceptedRequest| {
            (request.answered || request.client_left) && request.attempts.iter().all(|a| !a.3)
        };
        // An answered request stays recorded while attempts are in flight, to detect a second answer.
        if self.requests.get(&call).is_some_and(ended) {
            self.requests.remove(&call);
        }
    }

    /// Records that the balancer has sent an attempt to a node of a cell.
    pub fn attempt_sent(&mut self, now: Micros, call: u64, cell: usize) {
        let Some(request) = self.requests.get_mut(&call) else {
            return self.record_violation(Rule::Repeats, now, format!("call {call} was sent after its end"));
        };
        let may_have_run: Vec<_> =
            request.attempts.iter().filter(|a| a.2 == Execution::Possible).copied().collect();
        let earlier_attempts = request.attempts.len() as u32;
        let in_parallel = request.attempts.iter().any(|a| a.3) && !request.parallel;
        request.attempts.push((now, cell, Execution::Possible, true));
        let (allows, max_attempts) = (request.allows, request.max_attempts);
        if earlier_attempts >= max_attempts {
            return self.record_violation(
                Rule::Repeats,
                now,
                format!("call {call} was sent {} times; {max_attempts} are allowed", earlier_attempts + 1),
            );
        }
        if in_parallel {
            return self.record_violation(
                Rule::Repeats,
                now,
                format!("call {call} was sent while another attempt was in flight"),
            );
        }
        let Some(first) = may_have_run.first() else { return };
        match allows {
            AllowedRepeats::Any => {}
            AllowedRepeats::None => {
                self.record_violation(Rule::Repeats, now, format!("call {call} must not be repeated"))
            }
            AllowedRepeats::InCell(window) => {
                if first.1 != cell {
                    let what = format!("call {call} was repeated in cell {cell}, first in cell {}", first.1);
                    self.record_violation(Rule::Repeats, now, what);
                } else if now - first.0 >= window {
                    self.record_violation(
                        Rule::Repeats,
                        now,
                        format!("call {call} was repeated after its window"),
                    );
                }
            }
        }
    }

    /// Records that the balancer has been notified of the end of an attempt.
    pub fn attempt_ended(&mut self, call: u64, number: u32, ran: Execution) {
        if let Some(a) = self.requests.get_mut(&call).and_then(|t| t.attempts.get_mut(number as usize)) {
            (a.2, a.3) = (ran, false);
        }
        self.remove_ended(call);
    }

    /// Records that a balancer was notified whether a node accepts new requests.
    pub fn node_state_notified(&mut self, now: Micros, balancer: usize, node: usize, accepts_requests: bool) {
        if accepts_requests {
            self.closed_since.remove(&(balancer, node));
        } else {
            self.closed_since.entry((balancer, node)).or_insert(now);
        }
    }

    /// Records that a balancer has sent a new attempt to a node.
    pub fn node_sent_to(&mut self, now: Micros, balancer: usize, node: usize) {
        if let Some(&since) = self.closed_since.get(&(balancer, node)) {
            if now - since > DRAIN_GRACE {
                let late = (now - since).0 as f64 / 1e6;
                self.record_violation(
                    Rule::Drained,
                    now,
                    format!(
                        "balancer {balancer} sent to node {node} {late:.3} s after it was notified \
                         that the node drains or was removed"
                    ),
                );
            }
        }
    }

    /// Records that a node has started: until it is warm it crashes when, within a window, it is sent more
    /// than `tip` times the work that it can do.
    pub fn node_started(&mut self, node: usize, tip: f64, window: Micros) {
        self.cold.insert(node, ColdNode { tip, window, sent: VecDeque::new(), sum: 0.0, crashed: false });
    }

    /// Records that a node is no longer cold.
    pub fn node_warmed_up(&mut self, node: usize) {
        self.cold.remove(&node);
    }

    /// Records that work has been sent to a node that can do `capacity` of it in a microsecond. Returns
    /// whether the node crashes now.
    pub fn work_sent(&mut self, now: Micros, node: usize, work: f64, capacity: f64) -> bool {
        let Some(cold_node) = self.cold.get_mut(&node).filter(|c| !c.crashed) else { return false };
        cold_node.sent.push_back((now, work));
        cold_node.sum += work;
        while let Some(&(_, old)) = cold_node.sent.front().filter(|(at, _)| now - *at > cold_node.window) {
            cold_node.sent.pop_front();
            cold_node.sum -= old;
        }
        // At least half a window has to be covered: a single heavy request does not crash a node.
        let span = cold_node.sent.front().map_or(Micros(0), |f| now - f.0);
        let overloaded = cold_node.sum > cold_node.tip * capacity * cold_node.window.0 as f64
            && span.0 * 2 > cold_node.window.0;
        if overloaded {
            cold_node.crashed = true;
            let sum = cold_node.sum / 1e3;
            self.record_violation(
                Rule::ColdNode,
                now,
                format!("cold node {node} was sent {sum:.0} ms of work within its window"),
            );
        }
        overloaded
    }

    /// Ends the run: a request that has no answer although its deadline has passed counts as lost.
    pub fn finish(&mut self, now: Micros) {
        let lost = |request: &AcceptedRequest| {
            !request.answered && !request.client_left && now > request.expires + ANSWER_GRACE
        };
        let mut late: Vec<u64> = self.requests.iter().filter(|(_, t)| lost(t)).map(|(&id, _)| id).collect();
        late.sort_unstable();
        for call in late {
            self.record_violation(Rule::OneAnswer, now, format!("call {call} was never answered"));
        }
    }

    /// The number of violations of each rule.
    pub fn counts(&self) -> [(Rule, u64); 4] {
        let rules = [Rule::OneAnswer, Rule::Repeats, Rule::Drained, Rule::ColdNode];
        rules.map(|r| (r, self.counts[r as usize]))
    }

    /// The first violations, in detail.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
