//! When a response is committed: passed on to the client as it arrives, so that no other attempt can take its
//! place any more.

use garnettally_model::Micros;

/// A response up to this length is held until it is whole, so that one that breaks can be tried again. Of a
/// longer one the client waits for the first bytes alone.
const MAX_HELD_BYTES: usize = 64 << 10;
/// A response without a stated length may be a long one once this much of it has arrived. With less it may be
/// one that trickles without an end.
const MIN_LONG_BYTES: usize = 4 << 10;
/// A long response is committed once this much of it has arrived: spoilt ones rarely bring as much.
const COMMITTED_BYTES: usize = 16 << 10;
/// A long response that arrives slowly is committed if it still arrives this long after its head.
const FLOW_TIME: Micros = Micros(100_000);
/// A response whose last bytes came less than this after its head may have stopped: spoilt ones come at once.
const MIN_FLOW_TIME: Micros = Micros(10_000);
/// A long response is still arriving if its last bytes are no older than this when its attempt is to end.
const MAX_PAUSE: Micros = Micros(500_000);

/// How far a response that is not whole has arrived, of which nothing was passed on yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseProgress {
    /// The length of the body, if the head states it.
    pub stated_length: Option<usize>,
    /// The length of the body so far.
    pub received: usize,
    /// From the arrival of the head to that of the last bytes.
    pub flowed_for: Micros,
    /// How long ago the last bytes arrived.
    pub paused_for: Micros,
    /// Whether there is memory to hold what has arrived.
    pub has_room: bool,
}

impl ResponseProgress {
    /// Whether the response is committed now that bytes of it have arrived.
    pub fn commits(&self) -> bool {
        let flows = self.received >= COMMITTED_BYTES || self.flowed_for >= FLOW_TIME;
        let is_due = !self.has_room || (self.may_be_long() && flows);
        is_due && self.received > 0
    }

    /// Whether the response is committed instead of having its attempt time out or be cancelled.
    pub fn commits_at_end_of_attempt(&self) -> bool {
        let flows = self.flowed_for >= MIN_FLOW_TIME && self.paused_for <= MAX_PAUSE;
        self.may_be_long() && self.received > 0 && flows
    }

    /// Whether the body is longer than what is held, or may be.
    fn may_be_long(&self) -> bool {
        self.stated_length.map_or(self.received >= MIN_LONG_BYTES, |length| length > MAX_HELD_BYTES)
    }
}
