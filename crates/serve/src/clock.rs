//! The clock: spans go by the monotonic one alone, and the wall clock is read where lists date the starts of nodes by it.

use garnettally_model::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never steps back: the clock that every machine reads, taken at the start and run on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that reads `wall` at this instant.
    pub fn new(start: Instant, wall: SystemTime) -> Clock {
        Clock { start, unix: wall.duration_since(UNIX_EPOCH).unwrap_or_default() }
    }

    /// The time of this instant.
    pub fn at(&self, t: Instant) -> Micros {
        Micros((self.unix + t.saturating_duration_since(self.start)).as_micros() as i64)
    }

    /// How far the wall clock, which reads `wall` now, is ahead of this one: it may have been stepped since the start.
    pub fn wall_ahead(&self, now: Instant, wall: SystemTime) -> Micros {
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Micros(wall.as_micros() as i64) - self.at(now)
    }

    /// The instant of this time.
    pub fn instant(&self, t: Micros) -> Instant {
        let unix = Duration::from_micros(t.0.max(0) as u64);
        self.start + unix.saturating_sub(self.unix)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
