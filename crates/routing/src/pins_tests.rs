//! Tests of the pins of keys to pools: a full memory, and random histories against a plain list of attempts.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn a_full_memory_takes_no_new_key_but_knows_the_old_ones() {
    let mut pins = Pins::new(1);
    assert_eq!(pins.record_attempt(Micros(0), 1, 'a', Micros(10)), Ok(1));
    assert_eq!(pins.record_attempt(Micros(0), 2, 'a', Micros(10)), Err(PinsFull));
    assert_eq!(pins.record_attempt(Micros(0), 1, 'a', Micros(20)), Ok(1));
    assert_eq!(pins.get(Micros(9), 1), Some(('a', Micros(10))), "the window is the first attempt's");
    assert_eq!(pins.get(Micros(10), 1), None);
    assert_eq!(pins.record_attempt(Micros(10), 2, 'b', Micros(20)), Ok(2), "an ended window makes room");
    pins.attempt_never_ran(2, 1);
    assert_eq!(pins.get(Micros(11), 2).map(|p| p.0), Some('b'), "another pin's attempt gives up nothing");
    pins.rebind('b', 'c');
    assert_eq!(pins.get(Micros(11), 2).map(|p| p.0), Some('c'));
}

#[derive(Clone, Debug)]
enum Op {
    Send(u64, u8),
    NeverRan(u64),
    Pass(i64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0u64..6, 0u8..3).prop_map(|(k, p)| Op::Send(k, p)),
        (0u64..6).prop_map(Op::NeverRan),
        (0i64..30).prop_map(Op::Pass),
    ]
}

proptest! {
    /// Against a plain list of all attempts: a key is bound to the pool of the first that may have run.
    #[test]
    fn random_histories_keep_every_key_where_it_was(ops in prop::collection::vec(op(), 1..300)) {
        const WINDOW: i64 = 50;
        let mut pins = Pins::new(100);
        let mut plain: BTreeMap<u64, (u8, Micros, u32)> = BTreeMap::new();
        let mut now = Micros(0);
        for op in ops {
            match op {
                Op::Send(key, pool) => {
                    let to = pins.get(now, key).map_or(pool, |p| p.0);
                    prop_assert!(pins.record_attempt(now, key, to, now + Micros(WINDOW)).is_ok());
                    plain.retain(|_, p| p.1 > now);
                    let p = plain.entry(key).or_insert((pool, now + Micros(WINDOW), 0));
                    p.2 += 1;
                    prop_assert_eq!(to, p.0);
                }
                Op::NeverRan(key) => {
                    plain.retain(|_, p| p.1 > now);
                    pins.expire(now);
                    let number = pins.by_key.get(&key).map_or(0, |p| p.number);
                    pins.attempt_never_ran(key, number);
                    if let Some(p) = plain.get_mut(&key) {
                        p.2 -= 1;
                        if p.2 == 0 {
                            plain.remove(&key);
                        }
                    }
                }
                Op::Pass(t) => now += Micros(t),
            }
            plain.retain(|_, p| p.1 > now);
            for key in 0..6 {
                prop_assert_eq!(pins.get(now, key), plain.get(&key).map(|p| (p.0, p.1)));
            }
            prop_assert!(pins.ends.len() <= 2 * pins.count() + 64 + 1);
        }
    }
}
