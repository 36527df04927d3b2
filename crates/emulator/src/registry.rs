//! A registry that many processes share. It processes calls one after another, in the order in which they
//! were made.
//!
//! A call that would wait too long fails at its time-out, but the registry still spends the processing time
//! on it. While the backlog of accepted work is too large, calls are rejected at once and cost nothing. While
//! the registry is down, every call fails at its time-out. So a registry that gets more calls than it can
//! answer in time answers none of them, for as long as the overload lasts.
//!
//! This is a state machine without I/O and without a clock. The outcome of a call is known as soon as the
//! call is made; outages have to be set beforehand.

use garnettally_model::Micros;

const MICROS_PER_SECOND: f64 = 1e6;

/// The capacity and the time-outs of a registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegistryLimits {
    /// Lines that the registry processes in a second; above 0.
    pub lines_per_second: f64,
    /// Lines that each call costs in addition to those of its answer.
    pub call_lines: u32,
    /// The time-out of a call that is not answered earlier.
    pub max_wait: Micros,
    /// Calls are rejected at once while processing the accepted calls would take longer than this.
    pub max_backlog: Micros,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call is answered.
    Answered {
        /// When the answer arrives.
        at: Micros,
    },
    /// The call fails.
    Refused {
        /// When the call fails: the time of the call itself if it was rejected at once.
        at: Micros,
    },
}

/// The counters of a registry since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryFigures {
    /// Calls that were made.
    pub calls: u64,
    /// Calls that are answered in time.
    pub answered: u64,
    /// Calls that were rejected at once because of the backlog.
    pub refused_at_once: u64,
    /// Calls that fail at their time-out.
    pub refused_after_waiting: u64,
    /// Lines processed for the accepted calls, answered or not.
    pub lines_spent: u64,
}

/// The queue of a registry, which determines the outcome of each call.
#[derive(Debug)]
pub struct RegistryQueue {
    limits: RegistryLimits,
    /// When the processing of all calls accepted so far ends.
    busy_until: Micros,
    /// The outages: the begin and the end of each.
    outages: Vec<(Micros, Micros)>,
    figures: RegistryFigures,
}

impl RegistryQueue {
    /// Creates a registry without accepted calls.
    pub fn new(limits: RegistryLimits) -> RegistryQueue {
        let figures = RegistryFigures::default();
        RegistryQueue { limits, busy_until: Micros(0), outages: Vec::new(), figures }
    }

    /// Sets an outage from `from` until just before `until`. Calls whose answers would fall into the outage
    /// fail. During the outage no call is accepted; the backlog of accepted work is still there afterwards.
    pub fn set_down(&mut self, from: Micros, until: Micros) {
        self.outages.push((from, until));
    }

    /// Whether the registry is down at this time.
    pub fn is_down(&self, at: Micros) -> bool {
        self.outages.iter().any(|&(from, until)| (from..until).contains(&at))
    }

    /// The time that the registry needs from `now` on to process the accepted calls.
    pub fn backlog(&self, now: Micros) -> Micros {
        (self.busy_until - now).max(Micros(0))
    }

    /// The counters since the creation of the queue.
    pub fn figures(&self) -> RegistryFigures {
        self.figures
    }

    /// Makes a call whose answer has `answer_lines` lines. Calls have to be made in the order of their times.
    pub fn call(&mut self, now: Micros, answer_lines: u32) -> CallOutcome {
        self.figures.calls += 1;
        if self.is_down(now) {
            return self.refuse_after_wait(now);
        }
        if self.backlog(now) > self.limits.max_backlog {
            self.figures.refused_at_once += 1;
            return CallOutcome::Refused { at: now };
        }
        let done = self.accept(now, answer_lines);
        if done - now > self.limits.max_wait || self.is_down(done) {
            return self.refuse_after_wait(now);
        }
        self.figures.answered += 1;
        CallOutcome::Answered { at: done }
    }

    /// Adds a call to the backlog, and returns when its processing ends.
    fn accept(&mut self, now: Micros, answer_lines: u32) -> Micros {
        let lines = u64::from(self.limits.call_lines) + u64::from(answer_lines);
        self.figures.lines_spent += lines;
        let spent = lines as f64 / self.limits.lines_per_second * MICROS_PER_SECOND;
        self.busy_until = self.busy_until.max(now) + Micros(spent as i64);
        self.busy_until
    }

    fn refuse_after_wait(&mut self, now: Micros) -> CallOutcome {
        self.figures.refused_after_waiting += 1;
        CallOutcome::Refused { at: now + self.limits.max_wait }
    }
}
