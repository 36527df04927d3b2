//! Tests of messages in parts: any order, missing parts, bounded memory, and arbitrary input bytes.

use super::*;
use proptest::prelude::*;

const ROOM: usize = 1000;

#[test]
fn a_letter_comes_over_in_any_order_and_not_without_all_its_parts() {
    let (mut a, mut b) = (MessageFragments::default(), MessageFragments::default());
    let letter: Vec<u8> = (0..200_000u32).map(|i| i as u8).collect();
    let mut parts = a.cut(&letter, ROOM).unwrap();
    assert!(parts.iter().all(|p| p.len() <= ROOM));
    parts.reverse();
    let last = parts.pop().unwrap();
    for p in parts.iter().chain(&parts) {
        assert_eq!(b.take(Micros(0), 7, p), Ok(None));
    }
    assert_eq!(b.take(Micros(0), 7, &last), Ok(Some(letter.clone())));
    assert!(b.open.is_empty() && b.bytes == 0);
    assert_eq!(a.cut(&vec![0; MAX_MESSAGE_BYTES + 1], ROOM), None);
    // Parts of another sender, or of another letter, are not mixed in.
    let other = a.cut(&letter, ROOM).unwrap();
    assert_eq!(b.take(Micros(0), 7, &other[0]), Ok(None));
    other[1..].iter().for_each(|p| assert_eq!(b.take(Micros(0), 8, p), Ok(None)));
}

/// Guards against senders that begin letters and never end them.
#[test]
fn what_is_never_whole_is_bounded_and_given_up() {
    let mut b = MessageFragments::default();
    for from in 0..200u64 {
        let mut a = MessageFragments::default();
        for _ in 0..20 {
            let parts = a.cut(&vec![1; 900_000], ROOM).unwrap();
            parts[1..].iter().for_each(|p| {
                let _ = b.take(Micros(0), from, p);
            });
        }
    }
    assert!(b.open.len() <= OPEN_MOST && b.bytes <= BYTES_MOST, "{} {}", b.open.len(), b.bytes);
    b.expire(PATIENCE + Micros(1));
    assert!(b.open.is_empty() && b.bytes == 0);
}

proptest! {
    #[test]
    fn any_bytes_are_survived(bodies in proptest::collection::vec((0u64..3, proptest::collection::vec(0u8..4, 0..40)), 0..60)) {
        let mut b = MessageFragments::default();
        for (from, body) in &bodies {
            let _ = b.take(Micros(0), *from, body);
        }
        let held: usize = b.open.values().map(|o| o.bytes).sum();
        prop_assert_eq!(held, b.bytes);
    }
}
