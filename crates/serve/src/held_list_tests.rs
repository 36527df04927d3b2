//! Which lists are taken.

use super::*;
use std::time::Duration;

fn list(seq: u64, whole: bool, hosts: &[(&str, ListedState)]) -> HostList {
    let listing = |&(name, state): &(&str, ListedState)| Listing {
        name: name.into(),
        zone: None,
        kind: None,
        cell: 0,
        state,
        units: 1.0,
        started_at: None,
    };
    HostList { seq, whole, hosts: hosts.iter().map(|h| (listing(h), None)).collect() }
}

/// Takes a list that tells what is so now.
fn take(held: &mut HeldList, list: &HostList) -> Taken {
    let now = Instant::now();
    held.take(list, now, now)
}

/// Whether it is held as it is.
fn is_applied(held: &mut HeldList, list: HostList) -> bool {
    take(held, &list) == Taken::Applied(list)
}

fn names(held: &HeldList) -> Vec<String> {
    held.whole().hosts.into_iter().map(|(listing, _)| listing.name).collect()
}

#[test]
fn changes_apply_on_top_of_the_list_held() {
    let mut held =
        HeldList::new(Some(&list(4, true, &[("a", ListedState::Ready), ("b", ListedState::Ready)])));
    assert!(is_applied(
        &mut held,
        list(5, false, &[("a", ListedState::Removed), ("c", ListedState::Draining)])
    ));
    assert_eq!((held.version, names(&held)), (5, vec!["b".to_string(), "c".to_string()]));
    // The same once more changes nothing, and a whole list is all there is.
    assert!(is_applied(&mut held, list(5, false, &[("a", ListedState::Removed)])));
    assert!(is_applied(&mut held, list(9, true, &[("d", ListedState::Ready)])));
    assert_eq!((held.version, names(&held)), (9, vec!["d".to_string()]));
    assert_eq!(held.unchanged(), list(9, false, &[]));
}

/// What an older list leads to: these hosts leave, and no other has changed.
fn left(held: u64, hosts: &[(&str, ListedState)]) -> Taken {
    Taken::Older(list(held, false, hosts))
}

/// Guards against hosts that an older list would bring back, and against one that leaves by it and stays unheard.
#[test]
fn of_an_older_list_only_the_hosts_that_leave_by_it_count() {
    let known = [
        ("a", ListedState::Draining),
        ("b", ListedState::Ready),
        ("c", ListedState::Ready),
        ("d", ListedState::Ready),
    ];
    let mut held = HeldList::new(Some(&list(7, true, &known)));
    assert_eq!(held.ask_from(), 7);
    let older =
        list(6, true, &[("a", ListedState::Ready), ("b", ListedState::Ready), ("c", ListedState::Draining)]);
    assert_eq!(
        take(&mut held, &older),
        left(7, &[("c", ListedState::Draining), ("d", ListedState::Removed)])
    );
    // The next call asks for all there is, which puts right what was late.
    assert_eq!((held.version, held.ask_from(), names(&held).len()), (7, 0, 3));
    assert_eq!(
        take(&mut held, &list(6, false, &[("b", ListedState::Removed), ("e", ListedState::Ready)])),
        left(7, &[("b", ListedState::Removed)])
    );
    assert_eq!(names(&held), ["a", "c"]);
    assert!(is_applied(&mut held, list(8, true, &[("b", ListedState::Ready), ("d", ListedState::Ready)])));
    assert_eq!((held.version, held.ask_from(), names(&held).len()), (8, 8, 2));
}

#[test]
fn a_service_that_counts_anew_is_believed_by_its_third_whole_list() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", ListedState::Ready)])));
    assert_eq!(
        take(&mut held, &list(1, true, &[("b", ListedState::Ready)])),
        left(7, &[("a", ListedState::Removed)])
    );
    assert_eq!(take(&mut held, &list(1, true, &[("b", ListedState::Ready)])), left(7, &[]));
    // Changes alone don't say what there is.
    assert_eq!(take(&mut held, &list(2, false, &[("b", ListedState::Removed)])), left(7, &[]));
    assert!(is_applied(&mut held, list(2, true, &[("b", ListedState::Ready)])));
    assert_eq!((held.version, names(&held)), (2, vec!["b".to_string()]));
}

#[test]
fn another_service_counts_for_itself() {
    let mut held = HeldList::new(Some(&list(7, true, &[("a", ListedState::Ready)])));
    held.change_service();
    assert!(is_applied(&mut held, list(1, true, &[("b", ListedState::Ready)])));
}

/// Guards against a move of discovery that brings back a host which had left: the next service may be behind.
#[test]
fn a_host_that_left_by_one_service_stays_so_until_another_has_to_know() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let both = [("a", ListedState::Ready), ("b", ListedState::Ready)];
    let a_left = [("a", ListedState::Draining), ("b", ListedState::Ready)];
    let whole = |seq, hosts: &[(&str, ListedState)]| list(seq, true, hosts);
    for told in [whole(8, &a_left), whole(8, &a_left[1..])] {
        let mut held = HeldList::new(Some(&whole(7, &both)));
        assert_eq!(held.take(&told, start, start), Taken::Applied(told.clone()));
        held.change_service();
        // Behind, whatever it counts; and asked again.
        for seq in [3, 9, 10] {
            let taken = held.take(&whole(seq, &both), at(1), at(4));
            assert_eq!(taken, Taken::Applied(whole(seq, &a_left)), "{seq}");
            assert_eq!(held.release(at(5)), None);
        }
        // Asked before it had to know, and still listed after that.
        let released = list(10, false, &[("a", ListedState::Ready)]);
        assert_eq!(held.release(at(6)), Some(released));
        assert_eq!(held.whole(), whole(10, &both));
        assert_eq!(held.release(at(7)), None);
    }
    // Another life is another matter, and so is what the service itself tells later.
    let mut held = HeldList::new(Some(&whole(7, &both)));
    assert_eq!(held.take(&whole(8, &a_left), start, start), Taken::Applied(whole(8, &a_left)));
    assert_eq!(held.take(&whole(9, &both), start, at(1)), Taken::Applied(whole(9, &both)));
    assert_eq!(held.take(&whole(10, &a_left), at(1), at(1)), Taken::Applied(whole(10, &a_left)));
    held.change_service();
    let mut reborn = whole(3, &both);
    reborn.hosts[0].0.started_at = Some(Micros(5));
    assert_eq!(held.take(&reborn, at(1), at(1)), Taken::Applied(reborn.clone()));
}

/// Guards against a departure that outlives the return of its host: a host drains, and the same service lists it as serving
/// again before 6 s have passed. Then discovery moves, and the next service lists it too: nobody says that it has left, and
/// holding it back would cost a good host. Seen by reading: a departure was forgotten by its age alone.
#[test]
fn a_host_that_came_back_by_the_service_that_told_its_leave_is_not_held_back_after_a_move() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let both = [("a", ListedState::Ready), ("b", ListedState::Ready)];
    let a_left = [("a", ListedState::Draining), ("b", ListedState::Ready)];
    let a_back = [("a", ListedState::Ready)];
    for (left, back) in [
        (list(8, true, &a_left), list(9, true, &both)),
        (list(8, true, &a_left[1..]), list(9, true, &both)),
        (list(8, false, &a_left[..1]), list(9, false, &a_back)),
    ] {
        let mut held = HeldList::new(Some(&list(7, true, &both)));
        assert_eq!(held.take(&left, start, start), Taken::Applied(left.clone()));
        assert_eq!(held.take(&back, at(1), at(1)), Taken::Applied(back.clone()));
        held.change_service();
        let next = list(3, true, &both);
        assert_eq!(held.take(&next, at(2), at(2)), Taken::Applied(next.clone()));
    }
}
