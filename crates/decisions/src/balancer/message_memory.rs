//! Admission by memory: whether there is room for a request, for bytes being read, or for a response.

/// A request is taken while it needs no more than this part of the room that is left for requests. So long
/// requests are refused first, and short ones find room until hardly any is left.
const REQUEST_ROOM_PARTS: usize = 16;
/// A response is held while it takes no more than this part of the room that is left for responses. Larger
/// than for requests, as fewer responses than requests are held.
const RESPONSE_ROOM_PARTS: usize = 4;
/// The window of a response that passes through is this part of the room that is left for responses, so that
/// hundreds of them leave room for short ones.
const RESPONSE_WINDOW_PARTS: usize = 64;
/// The smallest and the largest window of a response that passes through. Each response keeps moving by the
/// smallest, whatever the others take.
const MIN_RESPONSE_WINDOW: usize = 4 << 10;
const MAX_RESPONSE_WINDOW: usize = 64 << 10;
/// Bytes behind a request that awaits its response take no more than this part of the memory for requests.
/// They may stay in the socket, so they leave room for requests.
const READ_AHEAD_PARTS: usize = 2;
/// A request is taken only while a response of this length would be read.
const EXPECTED_RESPONSE_BYTES: usize = 4 << 10;

/// The bytes of messages that a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryHeld {
    /// Bytes of requests: received, waiting, and being written to upstreams.
    pub requests: usize,
    /// Bytes of responses: being received, and being written to callers.
    pub responses: usize,
}

/// The most bytes of messages that a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageMemory {
    /// For requests.
    pub requests: usize,
    /// For responses.
    pub responses: usize,
}

impl MessageMemory {
    /// Whether a whole request of this many bytes is taken. One that is not is refused: it was sent nowhere,
    /// so trying again is harmless.
    pub fn admits_request(&self, held: MemoryHeld, bytes: usize) -> bool {
        self.has_request_room(held, bytes) && self.has_response_room(held, EXPECTED_RESPONSE_BYTES)
    }

    /// Whether a connection may hold this many bytes of requests that are not taken yet, the last of which
    /// are counted in `held`.
    pub fn admits_input(&self, held: MemoryHeld, bytes: usize) -> bool {
        self.has_request_room(held, bytes)
    }

    /// Whether this many more bytes are read behind a request that awaits its response.
    pub fn admits_read_ahead(&self, held: MemoryHeld, bytes: usize) -> bool {
        let room = (self.requests / READ_AHEAD_PARTS).saturating_sub(held.requests);
        bytes.saturating_mul(REQUEST_ROOM_PARTS) <= room
    }

    /// Whether a response of which this many bytes are held, and counted in `held`, is held on until it is
    /// whole.
    pub fn admits_response(&self, held: MemoryHeld, bytes: usize) -> bool {
        self.has_response_room(held, bytes)
    }

    /// How many bytes of a response that passes through may wait to be written to its client.
    pub fn response_window(&self, held: MemoryHeld) -> usize {
        let room = self.responses.saturating_sub(held.responses);
        (room / RESPONSE_WINDOW_PARTS).clamp(MIN_RESPONSE_WINDOW, MAX_RESPONSE_WINDOW)
    }

    /// Whether responses take more than their memory, so that one whose client does not read is cut off.
    pub fn is_exceeded_by_responses(&self, held: MemoryHeld) -> bool {
        held.responses > self.responses
    }

    fn has_request_room(&self, held: MemoryHeld, bytes: usize) -> bool {
        bytes.saturating_mul(REQUEST_ROOM_PARTS) <= self.requests.saturating_sub(held.requests)
    }

    fn has_response_room(&self, held: MemoryHeld, bytes: usize) -> bool {
        bytes.saturating_mul(RESPONSE_ROOM_PARTS) <= self.responses.saturating_sub(held.responses)
    }
}
