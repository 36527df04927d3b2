//! Tests of classes that keep the order of their keys: requests with the same key run one at a time, in the
//! order of their arrival. There is one small test for each failure found.

mod support;

use garnettally_decisions::*;
use support::{one_class_settings, Harness};

/// Settings whose single class keeps the order of requests with the same key, with a pause of 50 ms for a key
/// whose attempt may still run.
fn ordered_settings(effect: Effect) -> Settings {
    let class = Class { keep_order: true, ..one_class_settings(effect).classes[0].clone() };
    Settings { classes: vec![class], key_pause: Micros(50_000), ..one_class_settings(effect) }
}

impl Harness {
    /// Submits a request of class 0 with a key, and returns the server that it was sent to at once.
    fn submit_with_key(&mut self, id: u64, key: u64) -> Option<u32> {
        self.actions.clear();
        let (expires, hint) = (self.now + Micros(2_000_000), Some(Micros(10_000)));
        let (id, class, key) = (RequestId(id), ClassId(0), Some(KeyId(key)));
        self.handle(Event::Request(NewRequest {
            id,
            class,
            tenant: None,
            expires,
            hint,
            repeat: false,
            key,
        }));
        self.first_target()
    }
}

#[test]
fn requests_with_the_same_key_run_one_at_a_time_in_order_of_arrival() {
    let mut harness = Harness::new(ordered_settings(Effect::Safe), 4);
    assert!(harness.submit_with_key(1, 7).is_some());
    // Two more requests with the same key wait. One with another key and one without a key don't.
    assert_eq!((harness.submit_with_key(2, 7), harness.submit_with_key(3, 7)), (None, None));
    assert!(harness.submit_with_key(4, 8).is_some() && harness.submit(5, 10_000).is_some());
    harness.end_attempt(1, 0, Code::Ok, 10_000, None);
    assert_eq!(harness.sent_requests(), [2]);
    // A retry of the second request is sent at once, because it is that request's turn. The third still waits
    // for it.
    harness.end_attempt(2, 0, Code::Error, 1_000, None);
    assert_eq!(harness.sent_requests(), [2]);
    harness.end_attempt(2, 1, Code::Ok, 10_000, None);
    assert_eq!(harness.sent_requests(), [3]);
}

#[test]
fn a_key_is_paused_after_an_attempt_that_may_still_run_even_if_its_client_has_left() {
    let mut harness = Harness::new(ordered_settings(Effect::Unsafe), 4);
    assert!(harness.submit_with_key(1, 7).is_some());
    assert_eq!(harness.submit_with_key(2, 7), None);
    // The client disconnects. Its attempt stays in flight until its outcome is reported, and then the key is
    // paused.
    harness.handle(Event::ClientLeft(RequestId(1)));
    assert_eq!(harness.first_target(), None);
    harness.now += Micros(5_000);
    harness.end_attempt(1, 0, Code::Cancelled, 5_000, None);
    assert_eq!(harness.first_target(), None);
    assert!(
        harness.actions.contains(&Action::Timer { at: Micros(55_000), token: 1 }),
        "{:?}",
        harness.actions
    );
    harness.now += Micros(49_000);
    harness.handle(Event::Timer(1));
    assert_eq!(harness.first_target(), None);
    harness.now += Micros(1_000);
    harness.handle(Event::Timer(1));
    assert_eq!(harness.sent_requests(), [2]);
}

#[test]
fn a_request_whose_turn_cannot_come_in_time_is_refused_at_once() {
    // Response times are 100 ms and the aim is 1 s: of twenty requests with the same key that arrive
    // together, the last are refused.
    let mut harness = Harness::new(ordered_settings(Effect::Safe), 4);
    for id in 0..20 {
        harness.submit_with_key(id, id);
        harness.end_attempt(id, 0, Code::Ok, 100_000, None);
    }
    let is_queued = |id: u64| -> bool {
        harness.submit_with_key(100 + id, 99);
        !harness.actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
    };
    let queued = (0..20).map(is_queued).collect::<Vec<_>>();
    assert!(queued[..5].iter().all(|&q| q) && !queued[19], "{queued:?}");
}

#[test]
fn a_hung_attempt_is_cancelled_when_requests_with_the_same_key_wait_for_it() {
    // The class is unsafe: where no request waits behind it, the attempt runs until its time-out, since it
    // can't be retried.
    for (others_wait, is_cancelled) in [(false, false), (true, true)] {
        let mut harness = Harness::new(ordered_settings(Effect::Unsafe), 4);
        harness.submit_with_key(1, 7);
        if others_wait {
            harness.submit_with_key(2, 7);
        }
        harness.actions.clear();
        harness.advance_periods(2);
        assert_eq!(harness.actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }), is_cancelled);
    }
}
