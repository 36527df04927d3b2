//! Which lists are taken.

use super::*;

fn list(seq: u64, whole: bool, hosts: &[(&str, Listed)]) -> HostList {
    let listing = |&(name, state): &(&str, Listed)| Listing {
        name: name.into(),
        zone: None,
        kind: None,
        cell: 0,
        state,
        units: 1.0,
        since: None,
    };
    HostList { seq, whole, hosts: hosts.iter().map(|h| (listing(h), None)).collect() }
}

fn names(held: &HeldList) -> Vec<String> {
    held.whole().hosts.into_iter().map(|(listing, _)| listing.name).collect()
}

#[test]
fn changes_apply_on_top_of_the_list_held() {
    let mut held = HeldList::new(Some(&list(4, true, &[("a", Listed::Ready), ("b", Listed::Ready)])));
    assert_eq!(held.take(&list(5, false, &[("a", Listed::Gone), ("c", Listed::Draining)])), Taken::Applied);
    assert_eq!((held.version(), names(&held)), (5, vec!["b".to_string(), "c".to_string()]));
    // The same once more changes nothing, and a whole list is all there is.
    assert_eq!(held.take(&list(5, false, &[("a", Listed::Gone)])), Taken::Applied);
    assert_eq!(held.take(&list(9, true, &[("d", Listed::Ready)])), Taken::Applied);
    assert_eq!((held.version(), names(&held)), (9, vec!["d".to_string()]));
    assert_eq!(held.unchanged(), list(9, false, &[]));
}

#[test]
fn an_older_list_changes_nothing() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", Listed::Draining)])));
    assert_eq!(held.take(&list(6, true, &[("a", Listed::Ready)])), Taken::Older);
    assert_eq!(held.take(&list(6, false, &[("a", Listed::Gone)])), Taken::Older);
    assert_eq!((held.version(), names(&held)), (7, vec!["a".to_string()]));
}

#[test]
fn a_service_that_counts_anew_is_believed_by_its_third_whole_list() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", Listed::Ready)])));
    for _ in 0..2 {
        assert_eq!(held.take(&list(1, true, &[("b", Listed::Ready)])), Taken::Older);
    }
    // Changes alone don't say what there is.
    assert_eq!(held.take(&list(2, false, &[("b", Listed::Gone)])), Taken::Older);
    assert_eq!(held.take(&list(2, true, &[("b", Listed::Ready)])), Taken::Applied);
    assert_eq!((held.version(), names(&held)), (2, vec!["b".to_string()]));
}

#[test]
fn another_service_counts_for_itself() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", Listed::Ready)])));
    held.forget_version();
    assert_eq!(held.take(&list(1, true, &[("b", Listed::Ready)])), Taken::Applied);
}
