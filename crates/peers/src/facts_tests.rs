//! Tests of facts shared between members: ages, versions, paging, bounds, and arbitrary input bytes.

use super::*;
use proptest::prelude::*;

const MAX_AGE: Micros = Micros(10_000_000);

fn values(facts: &Facts, now: i64) -> Vec<(u64, Vec<u8>, i64)> {
    facts.iter(Micros(now)).map(|fact| (fact.origin, fact.value.to_vec(), fact.age.0)).collect()
}

#[test]
fn a_fact_ages_in_transit_and_expires() {
    let (mut sender, mut receiver) = (Facts::new(1, MAX_AGE, 10), Facts::new(2, MAX_AGE, 10));
    assert!(sender.publish(Micros(0), b"k", b"bad", Micros(500_000)));
    // The page is sent 1 s later to a member whose clock differs, and 300 ms pass between its request and the
    // answer.
    let page = sender.page(Micros(1_000_000), 0, 1000);
    assert_eq!(receiver.apply_page(Micros(77_300_000), Micros(77_000_000), &page.bytes), Some(0));
    assert_eq!(values(&receiver, 77_300_000), [(1, b"bad".to_vec(), 1_800_000)]);
    assert_eq!(values(&receiver, 85_499_999).len(), 1);
    assert_eq!(values(&receiver, 85_500_000), []);
    receiver.expire(Micros(85_500_000));
    assert!(receiver.len() == 0 && receiver.by_seq.is_empty() && receiver.count_by_origin.is_empty());
}

#[test]
fn the_newer_version_wins_in_any_order_and_pages_contain_only_changes() {
    let (mut sender, mut receiver) = (Facts::new(1, MAX_AGE, 10), Facts::new(2, MAX_AGE, 10));
    sender.publish(Micros(0), b"k", b"bad", Micros(0));
    let old = sender.page(Micros(0), 0, 1000);
    sender.publish(Micros(10), b"k", b"", Micros(0));
    let new = sender.page(Micros(10), old.cursor, 1000);
    for bytes in [&new.bytes, &old.bytes, &new.bytes] {
        receiver.apply_page(Micros(20), Micros(20), bytes);
    }
    assert_eq!(values(&receiver, 20)[0].1, b"");
    assert_eq!(sender.page(Micros(20), new.cursor, 1000).bytes, b"");
}

/// Guards against a value that has expired here and looks recent again elsewhere because its key was
/// published again.
#[test]
fn a_key_published_again_after_expiry_has_a_later_version() {
    let (mut sender, mut receiver) = (Facts::new(1, MAX_AGE, 10), Facts::new(2, MAX_AGE, 10));
    sender.publish(Micros(0), b"k", b"old", Micros(0));
    receiver.apply_page(Micros(0), Micros(0), &sender.page(Micros(0), 0, 1000).bytes);
    sender.expire(MAX_AGE);
    sender.publish(MAX_AGE, b"k", b"new", Micros(0));
    receiver.apply_page(MAX_AGE, MAX_AGE, &sender.page(MAX_AGE, 0, 1000).bytes);
    assert_eq!(values(&receiver, MAX_AGE.0), [(1, b"new".to_vec(), 0)]);
}

/// When a zone fails, 2,000 facts may be published at once; none is lost because it does not fit into one
/// datagram.
#[test]
fn many_facts_are_transferred_in_pages() {
    let (mut sender, mut receiver) = (Facts::new(1, MAX_AGE, 10_000), Facts::new(2, MAX_AGE, 10_000));
    for i in 0..2_000u32 {
        assert!(sender.publish(Micros(0), &i.to_be_bytes(), b"unreachable", Micros(0)));
    }
    let (mut cursor, mut pages) = (0, 0);
    loop {
        let page = sender.page(Micros(0), cursor, crate::seal::MAX_BODY_BYTES - 17);
        receiver.apply_page(Micros(0), Micros(0), &page.bytes);
        (cursor, pages) = (page.cursor, pages + 1);
        if !page.more {
            break;
        }
    }
    assert_eq!(receiver.len(), 2_000);
    assert!(pages <= 70, "{pages}");
}

/// A member that floods its peers with facts occupies at most a quarter of the room.
#[test]
fn one_member_does_not_displace_the_facts_of_others() {
    let (mut flooding, mut regular, mut receiver) =
        (Facts::new(1, MAX_AGE, 1000), Facts::new(3, MAX_AGE, 40), Facts::new(2, MAX_AGE, 40));
    for i in 0..200u32 {
        flooding.publish(Micros(0), &i.to_be_bytes(), b"x", Micros(0));
    }
    regular.publish(Micros(0), b"k", b"x", Micros(0));
    let rejected = receiver.apply_page(Micros(0), Micros(0), &flooding.page(Micros(0), 0, 1 << 16).bytes);
    assert_eq!(rejected, Some(190));
    assert_eq!(receiver.apply_page(Micros(0), Micros(0), &regular.page(Micros(0), 0, 1000).bytes), Some(0));
    assert_eq!(receiver.len(), 11);
}

/// Passes a fact from member to member, with a delay before each request and one between request and answer,
/// and returns the age that the last member computes and the true age. The mutant ignores the time in
/// transit.
fn pass_along(delays: &[(i64, i64)], mutant: bool) -> Option<(i64, i64)> {
    let mut from = Facts::new(1, MAX_AGE, 10);
    from.publish(Micros(0), b"k", b"x", Micros(0));
    let mut now = 0;
    for (i, &(wait, transit)) in delays.iter().enumerate() {
        now += wait;
        let page = from.page(Micros(now), 0, 1000);
        let requested_at = now;
        now += transit;
        let mut to = Facts::new(2 + i as u64, MAX_AGE, 10);
        to.apply_page(Micros(now), Micros(if mutant { now } else { requested_at }), &page.bytes);
        from = to;
    }
    let age = from.iter(Micros(now)).next()?.age.0;
    Some((age, now))
}

/// The central invariant of facts: no computed age is smaller than the true one.
fn age_is_not_too_small((computed, true_age): (i64, i64)) -> bool {
    computed >= true_age
}

/// Shows that the check of the invariant above can fail.
#[test]
fn a_mutant_that_ignores_the_time_in_transit_violates_the_invariant() {
    let delays = [(100_000, 3_000_000), (0, 2_000_000)];
    assert!(age_is_not_too_small(pass_along(&delays, false).unwrap()));
    assert!(!age_is_not_too_small(pass_along(&delays, true).unwrap()));
}

proptest! {
    #[test]
    fn no_age_is_smaller_than_the_true_age(
        delays in proptest::collection::vec((0i64..2_000_000, 0i64..2_000_000), 1..8)
    ) {
        if let Some(ages) = pass_along(&delays, false) {
            prop_assert!(age_is_not_too_small(ages), "{ages:?}");
        }
    }

    /// Arbitrary input bytes are either stored or refused without a panic, and the bounds hold.
    #[test]
    fn arbitrary_pages_neither_panic_nor_exceed_bounds(
        bytes in proptest::collection::vec(any::<u8>(), 0..400)
    ) {
        let mut receiver = Facts::new(2, MAX_AGE, 4);
        receiver.apply_page(Micros(5), Micros(3), &bytes);
        prop_assert!(receiver.len() <= 4);
    }
}
