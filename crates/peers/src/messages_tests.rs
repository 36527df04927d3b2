//! Tests of splitting and reassembling messages: any order, missing parts, bounded memory, and arbitrary
//! input bytes.

use super::*;
use proptest::prelude::*;

const ROOM: usize = 1000;

#[test]
fn a_message_is_reassembled_from_parts_in_any_order_and_only_from_all_of_them() {
    let (mut sender, mut receiver) = (MessageFragments::default(), MessageFragments::default());
    let message: Vec<u8> = (0..200_000u32).map(|i| i as u8).collect();
    let mut parts = sender.split(&message, ROOM).unwrap();
    assert!(parts.iter().all(|p| p.len() <= ROOM));
    parts.reverse();
    let last = parts.pop().unwrap();
    for p in parts.iter().chain(&parts) {
        assert_eq!(receiver.accept_part(Micros(0), 7, p), Ok(None));
    }
    assert_eq!(receiver.accept_part(Micros(0), 7, &last), Ok(Some(message.clone())));
    assert!(receiver.incomplete.is_empty() && receiver.bytes == 0);
    assert_eq!(sender.split(&vec![0; MAX_MESSAGE_BYTES + 1], ROOM), None);
    // Parts of another sender, or of another message, are not mixed in.
    let other = sender.split(&message, ROOM).unwrap();
    assert_eq!(receiver.accept_part(Micros(0), 7, &other[0]), Ok(None));
    other[1..].iter().for_each(|p| assert_eq!(receiver.accept_part(Micros(0), 8, p), Ok(None)));
}

/// Guards against unbounded memory for senders that begin messages and never complete them.
#[test]
fn memory_for_incomplete_messages_is_bounded_and_they_expire() {
    let mut receiver = MessageFragments::default();
    for from in 0..200u64 {
        let mut sender = MessageFragments::default();
        for _ in 0..20 {
            let parts = sender.split(&vec![1; 900_000], ROOM).unwrap();
            parts[1..].iter().for_each(|p| {
                let _ = receiver.accept_part(Micros(0), from, p);
            });
        }
    }
    assert!(
        receiver.incomplete.len() <= MAX_INCOMPLETE && receiver.bytes <= MAX_INCOMPLETE_BYTES,
        "{} {}",
        receiver.incomplete.len(),
        receiver.bytes
    );
    receiver.expire(PART_TIMEOUT + Micros(1));
    assert!(receiver.incomplete.is_empty() && receiver.bytes == 0);
}

proptest! {
    #[test]
    fn arbitrary_parts_neither_panic_nor_corrupt_the_byte_count(
        bodies in proptest::collection::vec((0u64..3, proptest::collection::vec(0u8..4, 0..40)), 0..60)
    ) {
        let mut receiver = MessageFragments::default();
        for (from, body) in &bodies {
            let _ = receiver.accept_part(Micros(0), *from, body);
        }
        let stored_bytes: usize = receiver.incomplete.values().map(|message| message.bytes).sum();
        prop_assert_eq!(stored_bytes, receiver.bytes);
    }
}
