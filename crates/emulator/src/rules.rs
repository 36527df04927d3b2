//! The four rules, checked from what happened in the world: nothing here asks a balancer what it believes, and nothing
//! is shared with the module.
//!
//! 1. A balancer gives exactly one final answer to what it has taken, in time.
//! 2. Nothing is repeated beyond what its class allows.
//! 3. Nothing new goes to a node more than half a second after the balancer was told that it drains or is gone.
//! 4. No freshly started node is pushed over by all balancers together.

use garnettally_model::Micros;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::collections::VecDeque;

/// After being told that a node drains or is gone, for so long a send may still be on its way out.
pub const DRAIN_GRACE: Micros = Micros(500_000);
/// An answer may come this much after its time.
pub const ANSWER_GRACE: Micros = Micros(50_000);
/// The most breaks that are told one by one; all are counted.
const MOST_TOLD: usize = 20;

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer to each request taken, in time.
    OneAnswer,
    /// Nothing repeated beyond what its class allows.
    Repeats,
    /// Nothing new to a node that drains or is gone.
    Drained,
    /// No cold node pushed over.
    ColdNode,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    /// Which.
    pub rule: Rule,
    /// When, in microseconds from the start.
    pub at_us: i64,
    /// How.
    pub what: String,
}

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allows {
    /// Any repeat.
    Any,
    /// Repeats in the cell of the first attempt that may have run, within this time of it.
    InCell(Micros),
    /// None once one may have run.
    None,
}

/// What is known of an attempt's running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It may have, or may yet.
    Perhaps,
    /// It never did, and the balancer has been told.
    Never,
}

struct Taken {
    expires: Micros,
    answered: bool,
    left: bool,
    allows: Allows,
    most: u32,
    parallel: bool,
    /// When each attempt was sent, its cell, whether it may have run, and whether it is out.
    attempts: Vec<(Micros, usize, Ran, bool)>,
}

struct Cold {
    tip: f64,
    window: Micros,
    /// Work that was sent to it while it was cold.
    sent: VecDeque<(Micros, f64)>,
    sum: f64,
    fallen: bool,
}

/// Watches a run.
#[derive(Default)]
pub struct Checker {
    taken: FxHashMap<u64, Taken>,
    told: FxHashMap<(usize, usize), Micros>,
    cold: FxHashMap<usize, Cold>,
    breaks: Vec<Break>,
    counts: [u64; 4],
}

impl Checker {
    fn broken(&mut self, rule: Rule, at: Micros, what: String) {
        self.counts[rule as usize] += 1;
        if self.breaks.len() < MOST_TOLD {
            self.breaks.push(Break { rule, at_us: at.0, what });
        }
    }

    /// A balancer has taken a request.
    pub fn taken(&mut self, call: u64, expires: Micros, allows: Allows, most: u32, parallel: bool) {
        let attempts = Vec::new();
        self.taken
            .insert(call, Taken { expires, answered: false, left: false, allows, most, parallel, attempts });
    }

    /// It has given a final answer.
    pub fn answered(&mut self, now: Micros, call: u64) {
        let Some(t) = self.taken.get_mut(&call) else {
            return self.broken(
                Rule::OneAnswer,
                now,
                format!("call {call} was answered, and never taken or twice"),
            );
        };
        let (twice, late) = (t.answered, !t.left && now > t.expires + ANSWER_GRACE);
        t.answered = true;
        if twice {
            self.broken(Rule::OneAnswer, now, format!("call {call} was answered twice"));
        } else if late {
            self.broken(Rule::OneAnswer, now, format!("call {call} was answered after its time"));
        }
        self.forget(call);
    }

    /// Its client has waited for all of the time that it told, and a little longer.
    pub fn gave_up(&mut self, now: Micros, call: u64) {
        let owed = |t: &Taken| !t.answered && !t.left && now >= t.expires + ANSWER_GRACE;
        if self.taken.get(&call).is_some_and(owed) {
            self.broken(Rule::OneAnswer, now, format!("call {call} was not answered in its time"));
        }
        self.left(call);
    }

    /// Its client has gone away, which the balancer may hear of later.
    pub fn left(&mut self, call: u64) {
        if let Some(t) = self.taken.get_mut(&call) {
            t.left = true;
        }
        self.forget(call);
    }

    fn forget(&mut self, call: u64) {
        let over = |t: &Taken| (t.answered || t.left) && t.attempts.iter().all(|a| !a.3);
        // What was answered stays known while attempts are out: another answer would be one too many.
        if self.taken.get(&call).is_some_and(over) {
            self.taken.remove(&call);
        }
    }

    /// It has sent an attempt to a node of a cell.
    pub fn sent(&mut self, now: Micros, call: u64, cell: usize) {
        let Some(t) = self.taken.get_mut(&call) else {
            return self.broken(Rule::Repeats, now, format!("call {call} was sent when it was over"));
        };
        let may_have_run: Vec<_> = t.attempts.iter().filter(|a| a.2 == Ran::Perhaps).copied().collect();
        let n = t.attempts.len() as u32;
        let beside = t.attempts.iter().any(|a| a.3) && !t.parallel;
        t.attempts.push((now, cell, Ran::Perhaps, true));
        let (allows, most) = (t.allows, t.most);
        if n >= most {
            return self.broken(
                Rule::Repeats,
                now,
                format!("call {call} was sent {} times of {most}", n + 1),
            );
        }
        if beside {
            return self.broken(Rule::Repeats, now, format!("call {call} was sent twice at a time"));
        }
        let Some(first) = may_have_run.first() else { return };
        match allows {
            Allows::Any => {}
            Allows::None => self.broken(Rule::Repeats, now, format!("call {call} must not be repeated")),
            Allows::InCell(window) => {
                if first.1 != cell {
                    let what = format!("call {call} was repeated in cell {cell}, first in cell {}", first.1);
                    self.broken(Rule::Repeats, now, what);
                } else if now - first.0 >= window {
                    self.broken(Rule::Repeats, now, format!("call {call} was repeated after its window"));
                }
            }
        }
    }

    /// The balancer has learned how an attempt of a call ended.
    pub fn ended(&mut self, call: u64, number: u32, ran: Ran) {
        if let Some(a) = self.taken.get_mut(&call).and_then(|t| t.attempts.get_mut(number as usize)) {
            (a.2, a.3) = (ran, false);
        }
        self.forget(call);
    }

    /// A balancer has been told that a node takes new requests, or that it does not any more.
    pub fn told(&mut self, now: Micros, balancer: usize, node: usize, takes: bool) {
        if takes {
            self.told.remove(&(balancer, node));
        } else {
            self.told.entry((balancer, node)).or_insert(now);
        }
    }

    /// A balancer has sent something new to a node.
    pub fn sent_to(&mut self, now: Micros, balancer: usize, node: usize) {
        if let Some(&told) = self.told.get(&(balancer, node)) {
            if now - told > DRAIN_GRACE {
                let late = (now - told).0 as f64 / 1e6;
                self.broken(
                    Rule::Drained,
                    now,
                    format!("balancer {balancer} sent to node {node} {late:.3} s after being told"),
                );
            }
        }
    }

    /// A node has started: until it is warm it falls over when it is sent `tip` times what it can do in a window.
    pub fn started(&mut self, node: usize, tip: f64, window: Micros) {
        self.cold.insert(node, Cold { tip, window, sent: VecDeque::new(), sum: 0.0, fallen: false });
    }

    /// It is warm, or gone.
    pub fn warm(&mut self, node: usize) {
        self.cold.remove(&node);
    }

    /// Work has been sent to a node that can do so much in a microsecond. True: it falls over now.
    pub fn work_sent(&mut self, now: Micros, node: usize, work: f64, capacity: f64) -> bool {
        let Some(c) = self.cold.get_mut(&node).filter(|c| !c.fallen) else { return false };
        c.sent.push_back((now, work));
        c.sum += work;
        while let Some(&(_, old)) = c.sent.front().filter(|(at, _)| now - *at > c.window) {
            c.sent.pop_front();
            c.sum -= old;
        }
        // A window has to have passed: one heavy request is no push.
        let span = c.sent.front().map_or(Micros(0), |f| now - f.0);
        let pushed = c.sum > c.tip * capacity * c.window.0 as f64 && span.0 * 2 > c.window.0;
        if pushed {
            c.fallen = true;
            let sum = c.sum / 1e3;
            self.broken(
                Rule::ColdNode,
                now,
                format!("cold node {node} was sent {sum:.0} ms of work in its window"),
            );
        }
        pushed
    }

    /// The run is over: whatever is still owed past its time was lost.
    pub fn finish(&mut self, now: Micros) {
        let lost = |t: &Taken| !t.answered && !t.left && now > t.expires + ANSWER_GRACE;
        let mut late: Vec<u64> = self.taken.iter().filter(|(_, t)| lost(t)).map(|(&id, _)| id).collect();
        late.sort_unstable();
        for call in late {
            self.broken(Rule::OneAnswer, now, format!("call {call} was never answered"));
        }
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> [(Rule, u64); 4] {
        let rules = [Rule::OneAnswer, Rule::Repeats, Rule::Drained, Rule::ColdNode];
        rules.map(|r| (r, self.counts[r as usize]))
    }

    /// The first breaks.
    pub fn breaks(&self) -> &[Break] {
        &self.breaks
    }
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
