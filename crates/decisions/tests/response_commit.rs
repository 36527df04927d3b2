//! When a response is committed to its client.

use garnettally_decisions::facade::{MemoryHeld, MessageMemory, Micros, ResponseProgress};

const SHORT: ResponseProgress = ResponseProgress {
    stated_length: Some(60 << 10),
    received: 59 << 10,
    flowed_for: Micros(900_000),
    paused_for: Micros(0),
    has_room: true,
};

#[test]
fn a_short_response_is_held_until_it_is_whole() {
    assert!(!SHORT.commits());
    assert!(!SHORT.commits_at_end_of_attempt());
}

#[test]
fn a_long_response_is_committed_once_it_flows() {
    for stated_length in [Some(200 << 10), None] {
        let begun =
            ResponseProgress { stated_length, received: 5 << 10, flowed_for: Micros(20_000), ..SHORT };
        assert!(!begun.commits(), "spoilt responses end like this");
        assert!(ResponseProgress { received: 16 << 10, ..begun }.commits());
        assert!(ResponseProgress { flowed_for: Micros(100_000), ..begun }.commits());
        assert!(begun.commits_at_end_of_attempt(), "its upstream still writes it");
    }
}

/// Guards against responses that trickle without an end: their clients get an answer in time.
#[test]
fn a_response_that_trickles_and_states_no_length_is_not_committed() {
    let trickle = ResponseProgress { stated_length: None, received: 120, ..SHORT };
    assert!(!trickle.commits() && !trickle.commits_at_end_of_attempt());
}

#[test]
fn a_long_response_that_has_stopped_is_not_committed_at_the_timeout() {
    let stopped = ResponseProgress { stated_length: None, paused_for: Micros(600_000), ..SHORT };
    assert!(!stopped.commits_at_end_of_attempt());
    let came_at_once = ResponseProgress { flowed_for: Micros(2_000), paused_for: Micros(50_000), ..stopped };
    assert!(!came_at_once.commits_at_end_of_attempt(), "spoilt responses end like this");
    assert!(!ResponseProgress { received: 0, paused_for: Micros(0), ..stopped }.commits_at_end_of_attempt());
}

#[test]
fn a_response_without_room_is_committed_instead_of_being_held() {
    assert!(ResponseProgress { has_room: false, ..SHORT }.commits());
    assert!(!ResponseProgress { has_room: false, received: 0, ..SHORT }.commits());
}

/// Guards against memory that grows with the number of bodies that pass through.
#[test]
fn windows_shrink_so_that_all_of_them_stay_within_the_memory() {
    let memory = MessageMemory { requests: 6 << 20, responses: 6 << 20 };
    for bodies in [1, 10, 200, 600] {
        let mut held = vec![0; bodies];
        for _ in 0..40 {
            for at in 0..bodies {
                let others: usize = held.iter().sum::<usize>() - held[at];
                let responses = MemoryHeld { requests: 0, responses: others + held[at] };
                held[at] = held[at].max(memory.response_window(responses));
            }
        }
        let total: usize = held.iter().sum();
        assert!(total <= memory.responses + bodies * (4 << 10), "{bodies} bodies hold {total} bytes");
        assert!(held.iter().all(|&bytes| bytes >= 4 << 10), "each of {bodies} bodies moves");
    }
}
