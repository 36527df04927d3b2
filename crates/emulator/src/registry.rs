//! A registry that many processes share: it handles calls one after another, in the order in which they were made.
//!
//! A call that would wait too long fails when its time is up, but the registry spends its time on it all the same.
//! While too much accepted work is left, calls are turned away at once and cost nothing. While the registry is down,
//! every call fails when its time is up. So a registry that is asked for more than it can answer in time answers
//! nobody, for as long as it is asked that much.
//!
//! A state machine without I/O and without a clock. What becomes of a call is certain when it is made; outages are
//! told before.

use garnettally_model::Micros;

const MICROS_A_SECOND: f64 = 1e6;

/// What a registry can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegistryLimits {
    /// Lines that it handles in a second; above 0.
    pub lines_per_second: f64,
    /// Lines that a call costs besides those of its answer.
    pub call_lines: u32,
    /// A call that is not answered within this fails then.
    pub wait_most: Micros,
    /// Calls are turned away while it would take longer than this to do what was accepted.
    pub backlog_most: Micros,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is answered.
    Answered {
        /// At this time.
        at: Micros,
    },
    /// It fails.
    Refused {
        /// At this time: that of the call, if it was turned away at once.
        at: Micros,
    },
}

/// What a registry has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryFigures {
    /// Calls made.
    pub calls: u64,
    /// Those of them that are answered.
    pub answered: u64,
    /// Those that were turned away at once.
    pub refused_at_once: u64,
    /// Those that fail when their time is up.
    pub refused_after_waiting: u64,
    /// Lines of the calls that were accepted, answered or not.
    pub lines_spent: u64,
}

/// The queue of a registry.
#[derive(Debug)]
pub struct RegistryQueue {
    limits: RegistryLimits,
    /// When all that was accepted so far is done.
    busy_until: Micros,
    /// From when until when it is down.
    outages: Vec<(Micros, Micros)>,
    figures: RegistryFigures,
}

impl RegistryQueue {
    /// A registry with nothing to do.
    pub fn new(limits: RegistryLimits) -> RegistryQueue {
        let figures = RegistryFigures::default();
        RegistryQueue { limits, busy_until: Micros(0), outages: Vec::new(), figures }
    }

    /// It is down from the first time until just before the second. Calls that would be answered meanwhile fail; it
    /// accepts none, and comes back with the work that it had accepted before.
    pub fn set_down(&mut self, from: Micros, until: Micros) {
        self.outages.push((from, until));
    }

    /// Whether it is down at this time.
    pub fn is_down(&self, at: Micros) -> bool {
        self.outages.iter().any(|&(from, until)| (from..until).contains(&at))
    }

    /// Time that it takes to do what was accepted.
    pub fn backlog(&self, now: Micros) -> Micros {
        (self.busy_until - now).max(Micros(0))
    }

    /// What it has done so far.
    pub fn figures(&self) -> RegistryFigures {
        self.figures
    }

    /// A call whose answer has so many lines; calls are made in the order of their times.
    pub fn call(&mut self, now: Micros, answer_lines: u32) -> Verdict {
        self.figures.calls += 1;
        if self.is_down(now) {
            return self.refuse_after_waiting(now);
        }
        if self.backlog(now) > self.limits.backlog_most {
            self.figures.refused_at_once += 1;
            return Verdict::Refused { at: now };
        }
        let done = self.accept(now, answer_lines);
        if done - now > self.limits.wait_most || self.is_down(done) {
            return self.refuse_after_waiting(now);
        }
        self.figures.answered += 1;
        Verdict::Answered { at: done }
    }

    /// Queues a call, and returns when it is done.
    fn accept(&mut self, now: Micros, answer_lines: u32) -> Micros {
        let lines = u64::from(self.limits.call_lines) + u64::from(answer_lines);
        self.figures.lines_spent += lines;
        let spent = lines as f64 / self.limits.lines_per_second * MICROS_A_SECOND;
        self.busy_until = self.busy_until.max(now) + Micros(spent as i64);
        self.busy_until
    }

    fn refuse_after_waiting(&mut self, now: Micros) -> Verdict {
        self.figures.refused_after_waiting += 1;
        Verdict::Refused { at: now + self.limits.wait_most }
    }
}
