//! Admission by memory: long messages are turned away first, and room is kept for short ones.

use garnettally_decisions::facade::{MemoryHeld, MessageMemory};

const KIB: usize = 1 << 10;
const MEMORY: MessageMemory = MessageMemory { requests: 6 << 20, responses: 6 << 20 };

/// Takes requests of this length for as long as they are admitted, and returns what is held then.
fn fill_with_requests(mut held: MemoryHeld, bytes: usize) -> MemoryHeld {
    while MEMORY.admits_request(held, bytes) {
        held.requests += bytes;
    }
    held
}

#[test]
fn requests_of_any_length_stay_within_the_memory_for_requests() {
    for bytes in [1, 300, 4 * KIB, 64 * KIB, 200 * KIB] {
        let held = fill_with_requests(MemoryHeld::default(), bytes);
        assert!(held.requests > 0 && held.requests <= MEMORY.requests, "{bytes}: {held:?}");
    }
    let far_too_long = MEMORY.requests + 1;
    assert!(!MEMORY.admits_request(MemoryHeld::default(), far_too_long));
    assert!(!MEMORY.admits_request(MemoryHeld::default(), usize::MAX));
}

/// Guards against a crowd with long requests that leaves no room for usual clients.
#[test]
fn long_requests_leave_room_for_short_ones() {
    let held = fill_with_requests(MemoryHeld::default(), 64 * KIB);
    let short = fill_with_requests(held, KIB);
    assert!(short.requests - held.requests >= 900 * KIB, "{held:?} {short:?}");
}

#[test]
fn no_request_is_taken_whose_response_could_not_be_read() {
    let held = MemoryHeld { requests: 0, responses: MEMORY.responses };
    assert!(!MEMORY.admits_request(held, 1));
    assert!(!MEMORY.admits_response(held, 1));
}

#[test]
fn long_responses_leave_room_for_short_ones() {
    let mut held = MemoryHeld::default();
    let long = 1 << 20;
    while MEMORY.admits_response(MemoryHeld { responses: held.responses + long, ..held }, long) {
        held.responses += long;
    }
    assert!(held.responses >= long, "the longest response is read: {held:?}");
    assert!(MEMORY.admits_response(held, 64 * KIB), "{held:?}");
}

#[test]
fn bytes_that_are_read_ahead_leave_half_of_the_memory_to_requests() {
    let mut held = MemoryHeld::default();
    while MEMORY.admits_read_ahead(held, 16 * KIB) {
        held.requests += 16 * KIB;
    }
    assert!(held.requests <= MEMORY.requests / 2, "{held:?}");
    assert!(MEMORY.admits_request(held, 64 * KIB));
}
