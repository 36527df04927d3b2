//! Tests of the pins of keys to pools: a store without room, and random histories compared with a plain list
//! of attempts.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A key of the tests.
fn key(number: u64) -> PinKey {
    PinKey::new(0, "class", &number.to_string())
}

#[test]
fn keys_of_different_classes_and_seeds_are_different() {
    let first = PinKey::new(1, "book", "k");
    assert_eq!(first, PinKey::new(1, "book", "k"));
    for other in [PinKey::new(1, "look", "k"), PinKey::new(2, "book", "k"), PinKey::new(1, "book", "l")] {
        assert_ne!(first, other);
    }
    assert_ne!(PinKey::new(1, "ab", "c"), PinKey::new(1, "a", "bc"));
}

#[test]
fn full_pins_accept_no_new_key_but_keep_the_stored_ones() {
    let mut pins = Pins::new(1);
    assert_eq!(pins.record_attempt(Micros(0), key(1), 'a', Micros(10)), Ok(1));
    assert_eq!(pins.record_attempt(Micros(0), key(2), 'a', Micros(10)), Err(PinError::Full));
    assert_eq!(pins.record_attempt(Micros(0), key(1), 'a', Micros(20)), Ok(1));
    assert_eq!(pins.get(Micros(9), key(1)), Some(('a', Micros(10))), "the window is the first attempt's");
    assert_eq!(pins.get(Micros(10), key(1)), None);
    assert_eq!(
        pins.record_attempt(Micros(10), key(2), 'b', Micros(20)),
        Ok(2),
        "a pin whose window has ended is free again"
    );
    pins.attempt_never_ran(key(2), 1);
    assert_eq!(
        pins.get(Micros(11), key(2)).map(|p| p.0),
        Some('b'),
        "the attempt of another pin removes nothing"
    );
    pins.rebind('b', 'c');
    assert_eq!(pins.get(Micros(11), key(2)).map(|p| p.0), Some('c'));
}

/// Guards against two live requests with one key that run in two pools: one moved to the next pool of its list
/// while the other was sent in the first.
#[test]
fn an_attempt_in_another_pool_than_that_of_the_pin_is_refused() {
    let (mut pins, now, until) = (Pins::new(9), Micros(0), Micros(10));
    assert_eq!(pins.record_attempt(now, key(1), 'a', until), Ok(1));
    assert_eq!(pins.record_attempt(now, key(1), 'b', until), Err(PinError::OtherPool));
    pins.attempt_never_ran(key(1), 1);
    assert_eq!(pins.record_attempt(now, key(1), 'b', until), Ok(2), "the only attempt never ran");
}

/// Requests that were taken before a pool was replaced end in the old pool, whose nodes the new one has.
#[test]
fn an_attempt_in_a_replaced_pool_counts_as_one_in_its_successor() {
    let (mut pins, now, until) = (Pins::new(9), Micros(0), Micros(10));
    assert_eq!(pins.record_attempt(now, key(1), 'a', until), Ok(1));
    pins.rebind('a', 'b');
    pins.rebind('b', 'c');
    assert_eq!(pins.record_attempt(now, key(1), 'a', until), Ok(1));
    assert_eq!(pins.record_attempt(now, key(2), 'a', until), Ok(2));
    assert_eq!(pins.get(now, key(2)), Some(('c', until)), "repeats go to the pool that is left");
    assert_eq!(pins.record_attempt(now, key(2), 'x', until), Err(PinError::OtherPool));
}

#[derive(Clone, Debug)]
enum Operation {
    Send(PinKey, u8),
    NeverRan(PinKey),
    AdvanceTime(i64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0u64..6, 0u8..3).prop_map(|(k, p)| Operation::Send(key(k), p)),
        (0u64..6).prop_map(|k| Operation::NeverRan(key(k))),
        (0i64..30).prop_map(Operation::AdvanceTime),
    ]
}

proptest! {
    /// Compares the pins with a plain list of all attempts: a key is pinned to the pool of the first attempt
    /// that may have run.
    #[test]
    fn random_histories_keep_every_key_pinned_to_its_first_pool(
        operations in prop::collection::vec(operation(), 1..300),
    ) {
        const WINDOW: i64 = 50;
        let mut pins = Pins::new(100);
        let mut expected: BTreeMap<PinKey, (u8, Micros, u32)> = BTreeMap::new();
        let mut now = Micros(0);
        for operation in operations {
            match operation {
                Operation::Send(key, pool) => {
                    let result = pins.record_attempt(now, key, pool, now + Micros(WINDOW));
                    expected.retain(|_, p| p.1 > now);
                    let pin = expected.entry(key).or_insert((pool, now + Micros(WINDOW), 0));
                    if pin.0 == pool {
                        prop_assert!(result.is_ok());
                        pin.2 += 1;
                    } else {
                        prop_assert_eq!(result, Err(PinError::OtherPool));
                    }
                }
                Operation::NeverRan(key) => {
                    expected.retain(|_, p| p.1 > now);
                    pins.expire(now);
                    let number = pins.by_key.get(&key).map_or(0, |p| p.number);
                    pins.attempt_never_ran(key, number);
                    if let Some(pin) = expected.get_mut(&key) {
                        pin.2 -= 1;
                        if pin.2 == 0 {
                            expected.remove(&key);
                        }
                    }
                }
                Operation::AdvanceTime(elapsed) => now += Micros(elapsed),
            }
            expected.retain(|_, p| p.1 > now);
            for key in (0..6).map(key) {
                prop_assert_eq!(pins.get(now, key), expected.get(&key).map(|p| (p.0, p.1)));
            }
            prop_assert!(pins.expiries.len() <= 2 * pins.count() + 64 + 1);
        }
    }
}
