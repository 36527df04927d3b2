//! Tests of the ledger of duties: outdated assignments, limits on names and numbers, and epochs that only
//! grow.

use super::*;
use proptest::prelude::*;

fn assign(duty: &str, expected_epoch: Epoch, to: Life) -> Entry {
    Entry::Assign { duty: duty.into(), expected_epoch, to }
}

#[test]
fn an_assignment_with_an_outdated_epoch_changes_nothing_but_uses_up_its_number() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(&assign("a", 0, 7)).map(|c| (c.from, c.to, c.epoch)), Some((0, 7, 1)));
    // Two leaders propose another owner in place of 7: only the first proposal takes effect.
    assert_eq!(ledger.apply(&assign("a", 1, 8)).map(|c| (c.from, c.to, c.epoch)), Some((7, 8, 2)));
    assert_eq!(ledger.apply(&assign("a", 1, 9)), None);
    assert_eq!(ledger.duty("a"), Some(Assignment { owner: 8, epoch: 2 }));
    assert_eq!(
        (ledger.last_change(7), ledger.last_change(8), ledger.last_change(9), ledger.decided_entries()),
        (2, 2, 0, 3)
    );
    assert_eq!(
        ledger.apply(&Entry::Remove { duty: "a".into(), expected_epoch: 2 }).map(|c| c.epoch),
        Some(4)
    );
    // A removed duty may be assigned anew under the same name, and its epoch still grows.
    assert_eq!(ledger.apply(&assign("a", 0, 7)).map(|c| c.epoch), Some(5));
}

#[test]
fn duty_names_and_the_number_of_duties_and_lives_are_limited() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(&assign("", 0, 7)), None);
    assert_eq!(ledger.apply(&assign(&"x".repeat(MAX_DUTY_NAME_BYTES + 1), 0, 7)), None);
    for i in 0..MAX_DUTIES + 10 {
        ledger.apply(&assign(&format!("d{i}"), 0, 7));
    }
    assert_eq!(ledger.duties().count(), MAX_DUTIES);
    // Of 20000 lives that owned a duty in turn only some are remembered. For a forgotten one the ledger
    // reports a later last change than the true one, never an earlier one.
    for life in 100..20_100 {
        let expected_epoch = ledger.duty("d0").unwrap().epoch;
        ledger.apply(&assign("d0", expected_epoch, life));
    }
    assert!(ledger.last_changes.len() <= 2 * MAX_IDLE_LIVES + 1, "{}", ledger.last_changes.len());
    assert!(ledger.last_change(101) > ledger.duty("d1").unwrap().epoch);
}

proptest! {
    /// Epochs only grow for any sequence of entries, and each assignment is replaced at most once.
    #[test]
    fn epochs_only_grow(all in proptest::collection::vec((0u8..4, 0u64..12, 0u64..4, any::<bool>()), 0..60)) {
        let (mut ledger, mut last, mut replaced) = (Ledger::default(), 0, std::collections::BTreeSet::new());
        for (d, expected_epoch, to, forget) in all {
            let duty = format!("d{d}");
            let entry = match forget {
                true => Entry::Remove { duty, expected_epoch },
                false => Entry::Assign { duty, expected_epoch, to },
            };
            if let Some(change) = ledger.apply(&entry) {
                prop_assert!(change.epoch > last && change.epoch == ledger.decided_entries());
                prop_assert!(expected_epoch == 0 || replaced.insert((change.duty, expected_epoch)));
                last = change.epoch;
            }
        }
    }
}
