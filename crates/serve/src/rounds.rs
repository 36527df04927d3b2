//! The rounds of the event loop: when this process last looked at its sockets, and for how long it was kept from it.

use calloop::{EventIterator, EventSource, Poll, PostAction, Readiness, Token, TokenFactory};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A wait that was over within this found what had come before it began.
const AT_ONCE: Duration = Duration::from_millis(1);

/// What is known of the present round, which begins when a wait is over.
pub struct Rounds {
    /// When the wait before the present one began.
    looked: Instant,
    /// When the present round's wait began, and when it was to be over at the latest.
    waits_from: Instant,
    waits_until: Option<Instant>,
    /// When the wait before was over, and the present one.
    woke_before: Instant,
    woke: Rc<Cell<Instant>>,
}

/// Notes when a wait is over, before any event of its round is handled.
pub struct Waker(Rc<Cell<Instant>>);

impl Rounds {
    /// The event loop starts now.
    pub fn new(now: Instant) -> Rounds {
        let woke = Rc::new(Cell::new(now));
        Rounds { looked: now, waits_from: now, waits_until: None, woke_before: now, woke }
    }

    /// What the event loop has to hold for rounds to be known.
    pub fn waker(&self) -> Waker {
        Waker(self.woke.clone())
    }

    /// The event loop waits from now on, until this time at the latest.
    pub fn wait(&mut self, now: Instant, until: Option<Instant>) {
        self.looked = self.waits_from;
        self.woke_before = self.woke.get();
        (self.waits_from, self.waits_until) = (now, until);
    }

    /// When the sockets were last looked at before the present round: what is read in this round came later.
    pub fn looked(&self) -> Instant {
        self.looked
    }

    /// For how long before `now` something that this round found may have been there unread: since the wait was over, or was
    /// to be over, and since the wait before, if this one found it at once. While it waits, a process is not held up, as far
    /// as it can know.
    pub fn held_up(&self, now: Instant) -> Duration {
        let woke = self.woke.get();
        let found_at_once = woke.saturating_duration_since(self.waits_from) < AT_ONCE;
        let since = match found_at_once {
            true => self.woke_before,
            false => self.waits_until.map_or(woke, |until| until.min(woke)),
        };
        now.saturating_duration_since(since)
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
