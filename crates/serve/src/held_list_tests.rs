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
    assert_eq!((held.version, names(&held)), (5, vec!["b".to_string(), "c".to_string()]));
    // The same once more changes nothing, and a whole list is all there is.
    assert_eq!(held.take(&list(5, false, &[("a", Listed::Gone)])), Taken::Applied);
    assert_eq!(held.take(&list(9, true, &[("d", Listed::Ready)])), Taken::Applied);
    assert_eq!((held.version, names(&held)), (9, vec!["d".to_string()]));
    assert_eq!(held.unchanged(), list(9, false, &[]));
}

/// What an older list leads to: these hosts leave, and no other has changed.
fn left(held: u64, hosts: &[(&str, Listed)]) -> Taken {
    Taken::Older(list(held, false, hosts))
}

/// Guards against hosts that an older list would bring back, and against one that leaves by it and stays unheard.
#[test]
fn of_an_older_list_only_the_hosts_that_leave_by_it_count() {
    let known = [("a", Listed::Draining), ("b", Listed::Ready), ("c", Listed::Ready), ("d", Listed::Ready)];
    let mut held = HeldList::new(Some(&list(7, true, &known)));
    assert_eq!(held.ask_from(), 7);
    let older = list(6, true, &[("a", Listed::Ready), ("b", Listed::Ready), ("c", Listed::Draining)]);
    assert_eq!(held.take(&older), left(7, &[("c", Listed::Draining), ("d", Listed::Gone)]));
    // The next call asks for all there is, which puts right what was late.
    assert_eq!((held.version, held.ask_from(), names(&held).len()), (7, 0, 3));
    assert_eq!(
        held.take(&list(6, false, &[("b", Listed::Gone), ("e", Listed::Ready)])),
        left(7, &[("b", Listed::Gone)])
    );
    assert_eq!(names(&held), ["a", "c"]);
    assert_eq!(held.take(&list(8, true, &[("b", Listed::Ready), ("d", Listed::Ready)])), Taken::Applied);
    assert_eq!((held.version, held.ask_from(), names(&held).len()), (8, 8, 2));
}

#[test]
fn a_service_that_counts_anew_is_believed_by_its_third_whole_list() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", Listed::Ready)])));
    assert_eq!(held.take(&list(1, true, &[("b", Listed::Ready)])), left(7, &[("a", Listed::Gone)]));
    assert_eq!(held.take(&list(1, true, &[("b", Listed::Ready)])), left(7, &[]));
    // Changes alone don't say what there is.
    assert_eq!(held.take(&list(2, false, &[("b", Listed::Gone)])), left(7, &[]));
    assert_eq!(held.take(&list(2, true, &[("b", Listed::Ready)])), Taken::Applied);
    assert_eq!((held.version, names(&held)), (2, vec!["b".to_string()]));
}

#[test]
fn another_service_counts_for_itself() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", Listed::Ready)])));
    held.forget_version();
    assert_eq!(held.take(&list(1, true, &[("b", Listed::Ready)])), Taken::Applied);
}
