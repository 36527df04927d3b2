//! Tests of the ledger of duties: late assignments, bounds on names and numbers, and epochs that only grow.

use super::*;
use proptest::prelude::*;

fn assign(duty: &str, since: Epoch, to: Life) -> Entry {
    Entry::Assign { duty: duty.into(), since, to }
}

#[test]
fn an_assignment_that_came_too_late_changes_nothing_and_uses_its_number_up() {
    let mut l = Ledger::default();
    assert_eq!(l.apply(&assign("a", 0, 7)).map(|c| (c.from, c.to, c.at)), Some((0, 7, 1)));
    // Two leaders meant to take it from 7: the first one has it.
    assert_eq!(l.apply(&assign("a", 1, 8)).map(|c| (c.from, c.to, c.at)), Some((7, 8, 2)));
    assert_eq!(l.apply(&assign("a", 1, 9)), None);
    assert_eq!(l.duty("a"), Some(Owned { owner: 8, epoch: 2 }));
    assert_eq!((l.changed(7), l.changed(8), l.changed(9), l.decided()), (2, 2, 0, 3));
    assert_eq!(l.apply(&Entry::Forget { duty: "a".into(), since: 2 }).map(|c| c.at), Some(4));
    // Under the same name it is a new one, and its epoch is higher all the same.
    assert_eq!(l.apply(&assign("a", 0, 7)).map(|c| c.at), Some(5));
}

#[test]
fn names_and_numbers_of_duties_are_bounded() {
    let mut l = Ledger::default();
    assert_eq!(l.apply(&assign("", 0, 7)), None);
    assert_eq!(l.apply(&assign(&"x".repeat(DUTY_MOST + 1), 0, 7)), None);
    for i in 0..DUTIES_MOST + 10 {
        l.apply(&assign(&format!("d{i}"), 0, 7));
    }
    assert_eq!(l.duties().count(), DUTIES_MOST);
    // Ten thousand lives that came and went are not all remembered, and none is told less than has happened.
    for life in 100..20_100 {
        let since = l.duty("d0").unwrap().epoch;
        l.apply(&assign("d0", since, life));
    }
    assert!(l.changed.len() <= 2 * CHANGED_MOST + 1, "{}", l.changed.len());
    assert!(l.changed(101) > l.duty("d1").unwrap().epoch);
}

proptest! {
    /// Whatever is decided, epochs only grow, and nothing is decided twice about the same assignment.
    #[test]
    fn epochs_only_grow(all in proptest::collection::vec((0u8..4, 0u64..12, 0u64..4, any::<bool>()), 0..60)) {
        let (mut ledger, mut last, mut replaced) = (Ledger::default(), 0, std::collections::BTreeSet::new());
        for (d, since, to, forget) in all {
            let duty = format!("d{d}");
            let entry = if forget { Entry::Forget { duty, since } } else { Entry::Assign { duty, since, to } };
            if let Some(change) = ledger.apply(&entry) {
                prop_assert!(change.at > last && change.at == ledger.decided());
                prop_assert!(since == 0 || replaced.insert((change.duty, since)));
                last = change.at;
            }
        }
    }
}
