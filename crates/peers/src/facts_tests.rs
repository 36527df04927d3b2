//! Tests of facts shared between members: ages, versions, paging, bounds, and arbitrary input bytes.

use super::*;
use proptest::prelude::*;

const AGE: Micros = Micros(10_000_000);

fn values(f: &Facts, now: i64) -> Vec<(u64, Vec<u8>, i64)> {
    f.iter(Micros(now)).map(|f| (f.origin, f.value.to_vec(), f.age.0)).collect()
}

#[test]
fn a_fact_ages_on_its_way_and_ends() {
    let (mut a, mut b) = (Facts::new(1, AGE, 10), Facts::new(2, AGE, 10));
    assert!(a.publish(Micros(0), b"k", b"bad", Micros(500_000)));
    // Sent 1 s later to one whose clock reads something else, and whose question was 300 ms under way and back.
    let page = a.page(Micros(1_000_000), 0, 1000);
    assert_eq!(b.take_page(Micros(77_300_000), Micros(77_000_000), &page.bytes), Some(0));
    assert_eq!(values(&b, 77_300_000), [(1, b"bad".to_vec(), 1_800_000)]);
    assert_eq!(values(&b, 85_499_999).len(), 1);
    assert_eq!(values(&b, 85_500_000), []);
    b.expire(Micros(85_500_000));
    assert!(b.len() == 0 && b.by_seq.is_empty() && b.count.is_empty());
}

#[test]
fn the_newer_version_wins_in_any_order_and_pages_tell_only_what_is_new() {
    let (mut a, mut b) = (Facts::new(1, AGE, 10), Facts::new(2, AGE, 10));
    a.publish(Micros(0), b"k", b"bad", Micros(0));
    let old = a.page(Micros(0), 0, 1000);
    a.publish(Micros(10), b"k", b"", Micros(0));
    let new = a.page(Micros(10), old.cursor, 1000);
    for bytes in [&new.bytes, &old.bytes, &new.bytes] {
        b.take_page(Micros(20), Micros(20), bytes);
    }
    assert_eq!(values(&b, 20)[0].1, b"");
    assert_eq!(a.page(Micros(20), new.cursor, 1000).bytes, b"");
}

/// Guards against a value that ended here and, elsewhere, looks young again because its key was said anew.
#[test]
fn a_key_said_again_after_its_end_is_a_later_version() {
    let (mut a, mut b) = (Facts::new(1, AGE, 10), Facts::new(2, AGE, 10));
    a.publish(Micros(0), b"k", b"old", Micros(0));
    b.take_page(Micros(0), Micros(0), &a.page(Micros(0), 0, 1000).bytes);
    a.expire(AGE);
    a.publish(AGE, b"k", b"new", Micros(0));
    b.take_page(AGE, AGE, &a.page(AGE, 0, 1000).bytes);
    assert_eq!(values(&b, AGE.0), [(1, b"new".to_vec(), 0)]);
}

/// 2,000 at once when a zone goes: none is lost for want of room in one datagram.
#[test]
fn many_facts_come_over_in_pages() {
    let (mut a, mut b) = (Facts::new(1, AGE, 10_000), Facts::new(2, AGE, 10_000));
    for i in 0..2_000u32 {
        assert!(a.publish(Micros(0), &i.to_be_bytes(), b"unreachable", Micros(0)));
    }
    let (mut cursor, mut pages) = (0, 0);
    loop {
        let page = a.page(Micros(0), cursor, crate::seal::MAX_BODY_BYTES - 17);
        b.take_page(Micros(0), Micros(0), &page.bytes);
        (cursor, pages) = (page.cursor, pages + 1);
        if !page.more {
            break;
        }
    }
    assert_eq!(b.len(), 2_000);
    assert!(pages <= 70, "{pages}");
}

/// A member that floods its peers takes a quarter of the room and leaves the rest.
#[test]
fn one_member_does_not_crowd_out_the_others() {
    let (mut liar, mut good, mut b) =
        (Facts::new(1, AGE, 1000), Facts::new(3, AGE, 40), Facts::new(2, AGE, 40));
    for i in 0..200u32 {
        liar.publish(Micros(0), &i.to_be_bytes(), b"x", Micros(0));
    }
    good.publish(Micros(0), b"k", b"x", Micros(0));
    let over = b.take_page(Micros(0), Micros(0), &liar.page(Micros(0), 0, 1 << 16).bytes);
    assert_eq!(over, Some(190));
    assert_eq!(b.take_page(Micros(0), Micros(0), &good.page(Micros(0), 0, 1000).bytes), Some(0));
    assert_eq!(b.len(), 11);
}

/// Hands a fact on from member to member, each answer some time under way, and gives the age that the last one
/// sees and the true one. A mutant takes an answer for as young as it says it is.
fn handed_on(holds: &[(i64, i64)], mutant: bool) -> Option<(i64, i64)> {
    let mut from = Facts::new(1, AGE, 10);
    from.publish(Micros(0), b"k", b"x", Micros(0));
    let mut now = 0;
    for (i, &(hold, transit)) in holds.iter().enumerate() {
        now += hold;
        let page = from.page(Micros(now), 0, 1000);
        let asked = now;
        now += transit;
        let mut to = Facts::new(2 + i as u64, AGE, 10);
        to.take_page(Micros(now), Micros(if mutant { now } else { asked }), &page.bytes);
        from = to;
    }
    let age = from.iter(Micros(now)).next()?.age.0;
    Some((age, now))
}

/// **The** invariant: no age is smaller than the true one.
fn not_too_young((seen, truth): (i64, i64)) -> bool {
    seen >= truth
}

/// The check above has to be able to fail.
#[test]
fn a_mutant_that_forgets_the_time_under_way_is_caught() {
    let holds = [(100_000, 3_000_000), (0, 2_000_000)];
    assert!(not_too_young(handed_on(&holds, false).unwrap()));
    assert!(!not_too_young(handed_on(&holds, true).unwrap()));
}

proptest! {
    #[test]
    fn no_age_is_ever_too_small(holds in proptest::collection::vec((0i64..2_000_000, 0i64..2_000_000), 1..8)) {
        if let Some(ages) = handed_on(&holds, false) {
            prop_assert!(not_too_young(ages), "{ages:?}");
        }
    }

    /// Whatever comes is taken or refused; nothing panics, and bounds hold.
    #[test]
    fn any_bytes_are_survived(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut b = Facts::new(2, AGE, 4);
        b.take_page(Micros(5), Micros(3), &bytes);
        prop_assert!(b.len() <= 4);
    }
}
