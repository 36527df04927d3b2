//! When a response is committed to its client.

mod support;

use garnettally_decisions::facade::{MemoryHeld, MessageMemory, ResponseProgress, TimedOutResponse};
use garnettally_decisions::*;
use support::{one_class_settings, Harness};

const SHORT: ResponseProgress = ResponseProgress {
    stated_length: Some(60 << 10),
    received: 59 << 10,
    flowed_for: Micros(900_000),
    has_room: true,
};
/// The length of a response whose client waits for the first bytes alone.
const LONG: usize = 200 << 10;

#[test]
fn a_short_response_is_held_until_it_is_whole_or_its_client_stops_waiting() {
    assert!(!SHORT.commits());
    assert_eq!(SHORT.at_timeout(), TimedOutResponse::Hold);
    assert_eq!(ResponseProgress { received: 0, ..SHORT }.at_timeout(), TimedOutResponse::Hold);
}

#[test]
fn a_long_response_is_committed_once_it_flows() {
    for stated_length in [Some(LONG), None] {
        let begun =
            ResponseProgress { stated_length, received: 5 << 10, flowed_for: Micros(20_000), ..SHORT };
        assert!(!begun.commits(), "spoilt responses end like this");
        assert!(ResponseProgress { received: 16 << 10, ..begun }.commits());
        assert!(ResponseProgress { flowed_for: Micros(100_000), ..begun }.commits());
    }
}

/// Guards against a long response that is taken for a dead one because its body comes late or in lumps.
#[test]
fn a_response_that_may_be_long_is_committed_at_the_timeout_whatever_its_pace() {
    for stated_length in [Some(LONG), None] {
        for received in [0, 1, 120, 5 << 10, 64 << 10] {
            for flowed_for in [Micros(0), Micros(2_000), Micros(600_000)] {
                let begun = ResponseProgress { stated_length, received, flowed_for, ..SHORT };
                assert_eq!(begun.at_timeout(), TimedOutResponse::Commit, "{begun:?}");
            }
        }
    }
}

#[test]
fn a_response_that_trickles_and_states_no_length_is_not_committed_early() {
    let trickle = ResponseProgress { stated_length: None, received: 120, ..SHORT };
    assert!(!trickle.commits());
}

/// Settings as those of the other tests, in which another attempt may run beside the first.
fn settings(effect: Effect) -> Settings {
    Settings { parallel_attempts: true, resolution: Micros(5_000), ..one_class_settings(effect) }
}

/// The aim is 1 s; two steps before it the request is given up, and two steps before that its started response
/// is committed.
const COMMIT_BY: Micros = Micros(980_000);

/// A balancer with three servers that has sent request 0.
fn sent(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings, 3);
    harness.submit(0, 10_000).expect("a server");
    harness.actions.clear();
    harness
}

impl Harness {
    fn start_response(&mut self, attempt: u32, stated_length: Option<usize>) {
        self.handle(Event::ResponseStarted(ResponseStart { id: RequestId(0), attempt, stated_length }));
    }

    /// The attempts whose responses the present actions commit.
    fn committed(&self) -> Vec<u32> {
        let commits = self.actions.iter().filter_map(|a| match a {
            Action::Commit { id: RequestId(0), attempt } => Some(*attempt),
            _ => None,
        });
        commits.collect()
    }

    fn has_cancelled(&self) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Cancel { .. }))
    }
}

#[test]
fn a_long_response_is_committed_at_its_head_where_no_other_attempt_can_take_its_place() {
    let single = Settings { parallel_attempts: false, ..settings(Effect::Safe) };
    let last = Settings { max_attempts: 1, ..settings(Effect::Safe) };
    for settings in [settings(Effect::Unsafe), single, last] {
        let mut harness = sent(settings);
        harness.start_response(0, Some(LONG));
        assert_eq!(harness.committed(), [0]);
    }
}

#[test]
fn a_response_that_may_be_long_is_committed_before_the_aim() {
    for (effect, stated_length) in [(Effect::Safe, Some(LONG)), (Effect::Safe, None), (Effect::Unsafe, None)]
    {
        let mut harness = sent(settings(effect));
        harness.start_response(0, stated_length);
        assert_eq!(harness.committed(), []);
        assert!(harness.actions.contains(&Action::Timer { at: COMMIT_BY, token: 1 }));
        harness.now = COMMIT_BY - Micros(1_000);
        harness.handle(Event::Timer(1));
        assert_eq!(harness.committed(), []);
        harness.now = COMMIT_BY;
        harness.handle(Event::Timer(1));
        assert_eq!(harness.committed(), [0], "{effect:?}");
        harness.handle(Event::Timer(1));
        assert_eq!(harness.committed(), [0], "it is committed once");
    }
}

#[test]
fn a_short_response_is_never_committed_by_time() {
    let mut harness = sent(settings(Effect::Unsafe));
    harness.start_response(0, Some(1_000));
    harness.advance_periods(9);
    assert_eq!(harness.committed(), []);
}

#[test]
fn another_attempt_runs_beside_one_whose_response_has_started() {
    for stated_length in [Some(1_000), Some(LONG), None] {
        let mut harness = sent(settings(Effect::Safe));
        harness.start_response(0, stated_length);
        harness.advance_periods(2);
        assert!(!harness.has_cancelled(), "{:?}", harness.actions);
        assert_eq!(harness.sent_requests(), [0], "one more");
        // The other one is whole first.
        harness.end_attempt(0, 1, Code::Ok, 10_000, None);
        assert!(harness.actions.contains(&Action::Cancel { id: RequestId(0), attempt: 0 }));
        harness.end_attempt(0, 0, Code::Cancelled, 900_000, None);
        harness.advance_periods(2);
        assert_eq!(harness.committed(), [], "its request has ended");
    }
}

#[test]
fn no_attempt_runs_beside_a_started_response_where_that_is_not_allowed() {
    let single = Settings { parallel_attempts: false, ..settings(Effect::Safe) };
    for settings in [settings(Effect::Unsafe), single] {
        let mut harness = sent(settings);
        harness.start_response(0, Some(1_000));
        harness.advance_periods(4);
        assert!(!harness.has_cancelled(), "{:?}", harness.actions);
        assert!(harness.sent_requests().is_empty());
    }
}

#[test]
fn of_two_responses_that_have_started_the_first_is_committed() {
    let mut harness = sent(settings(Effect::Safe));
    harness.start_response(0, Some(LONG));
    harness.advance_periods(4);
    harness.start_response(1, Some(LONG));
    harness.now = COMMIT_BY;
    harness.handle(Event::Timer(1));
    assert_eq!(harness.committed().first(), Some(&0));
}

#[test]
fn a_request_is_retried_after_its_started_response_broke_off() {
    let mut harness = sent(settings(Effect::Safe));
    harness.start_response(0, Some(LONG));
    harness.end_attempt(0, 0, Code::Reset, 100_000, None);
    assert_eq!(harness.sent_requests(), [0]);
    harness.advance_periods(5);
    assert!(!harness.committed().contains(&0), "it has ended");
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
