//! The process clock. Durations are measured with the monotonic clock alone; the wall clock is read where
//! lists date the starts of nodes by it.

use garnettally_model::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never steps back: the wall clock is read once at the start, and from there the monotonic
/// clock advances it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The Unix time that the wall clock read at `start`.
    unix_at_start: Duration,
}

impl Clock {
    /// A clock that reads `wall` at this instant.
    pub fn new(start: Instant, wall: SystemTime) -> Clock {
        Clock { start, unix_at_start: wall.duration_since(UNIX_EPOCH).unwrap_or_default() }
    }

    /// Converts an instant to Unix time in microseconds; an instant before the start becomes the start.
    pub fn unix_time(&self, instant: Instant) -> Micros {
        Micros((self.unix_at_start + instant.saturating_duration_since(self.start)).as_micros() as i64)
    }

    /// How far the wall clock, which reads `wall` at `now`, is ahead of this clock (negative: behind). The
    /// wall clock may have been stepped since the start.
    pub fn wall_clock_offset(&self, now: Instant, wall: SystemTime) -> Micros {
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Micros(wall.as_micros() as i64) - self.unix_time(now)
    }

    /// Converts a Unix time to an instant; a time before the start becomes the start.
    pub fn instant(&self, time: Micros) -> Instant {
        let unix = Duration::from_micros(time.0.max(0) as u64);
        self.start + unix.saturating_sub(self.unix_at_start)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
