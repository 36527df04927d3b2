//! Times of the rounds of the event loop: when this process last polled its sockets, and for how long data
//! may have waited unread because the process was busy or was not scheduled.

use calloop::{EventIterator, EventSource, Poll, PostAction, Readiness, Token, TokenFactory};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A wait shorter than this found events that had arrived before it began.
const IMMEDIATE_WAIT: Duration = Duration::from_millis(1);

/// Times of the present round, which begins when a wait ends, and of the one before.
pub struct Rounds {
    /// When the previous round's wait began.
    previous_wait_began: Instant,
    /// When the present round's wait began.
    wait_began: Instant,
    /// When the present round's wait was to end at the latest; `None`: only by an event.
    wait_until: Option<Instant>,
    /// When the previous round's wait ended.
    previous_wake: Instant,
    /// When the present round's wait ended; set by the [`Waker`].
    last_wake: Rc<Cell<Instant>>,
    /// The longest time between the end of a wait and the beginning of the next one.
    longest_turn: Duration,
}

/// Records when a wait ends, before any event of its round is handled.
pub struct Waker(Rc<Cell<Instant>>);

impl Rounds {
    /// The state when the event loop starts, at `now`.
    pub fn new(now: Instant) -> Rounds {
        let last_wake = Rc::new(Cell::new(now));
        let longest_turn = Duration::ZERO;
        Rounds {
            previous_wait_began: now,
            wait_began: now,
            wait_until: None,
            previous_wake: now,
            last_wake,
            longest_turn,
        }
    }

    /// The event source to insert into the event loop, which reports the end of each wait.
    pub fn waker(&self) -> Waker {
        Waker(self.last_wake.clone())
    }

    /// Records that the event loop begins to wait at `now`, until `until` at the latest.
    pub fn begin_wait(&mut self, now: Instant, until: Option<Instant>) {
        self.longest_turn = self.longest_turn.max(now.saturating_duration_since(self.last_wake.get()));
        self.previous_wait_began = self.wait_began;
        self.previous_wake = self.last_wake.get();
        (self.wait_began, self.wait_until) = (now, until);
    }

    /// The longest turn of the event loop so far: for so long nothing was read.
    pub fn longest_turn(&self) -> Duration {
        self.longest_turn
    }

    /// When the sockets were last polled before the present round: what is read in this round arrived later.
    pub fn last_polled_at(&self) -> Instant {
        self.previous_wait_began
    }

    /// For how long before `now` an event that this round found may have been waiting unread: since the wait
    /// ended, or should have ended; and during the previous round, if the wait found the event immediately.
    /// While the process waits, it can't know of any delay.
    pub fn local_delay(&self, now: Instant) -> Duration {
        let last_wake = self.last_wake.get();
        let wait_was_due =
            self.wait_until.map_or(last_wake, |until| until.min(last_wake)).max(self.wait_began);
        let in_this_round = now.saturating_duration_since(wait_was_due);
        let found_immediately = last_wake.saturating_duration_since(self.wait_began) < IMMEDIATE_WAIT;
        if !found_immediately {
            return in_this_round;
        }
        in_this_round + self.wait_began.saturating_duration_since(self.previous_wake)
    }
}

impl EventSource for Waker {
    type Event = ();
    type Metadata = ();
    type Ret = ();
    type Error = std::convert::Infallible;

    const NEEDS_EXTRA_LIFECYCLE_EVENTS: bool = true;

    fn process_events<F>(&mut self, _: Readiness, _: Token, _: F) -> Result<PostAction, Self::Error>
    where
        F: FnMut((), &mut ()),
    {
        Ok(PostAction::Continue)
    }

    fn register(&mut self, _: &mut Poll, _: &mut TokenFactory) -> calloop::Result<()> {
        Ok(())
    }

    fn reregister(&mut self, _: &mut Poll, _: &mut TokenFactory) -> calloop::Result<()> {
        Ok(())
    }

    fn unregister(&mut self, _: &mut Poll) -> calloop::Result<()> {
        Ok(())
    }

    fn before_handle_events(&mut self, _: EventIterator<'_>) {
        self.0.set(Instant::now());
    }
}

#[cfg(test)]
#[path = "rounds_tests.rs"]
mod tests;
