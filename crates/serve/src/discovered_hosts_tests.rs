//! Tests of which lists are applied, and of the departures that an older list or another service reports.

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

/// Receives a list that describes the present state.
fn receive_now(discovered: &mut DiscoveredHosts, list: &HostList) -> ListOutcome {
    let now = Instant::now();
    discovered.receive_list(list, now, now)
}

/// Whether the list is applied without a change.
fn is_applied(discovered: &mut DiscoveredHosts, list: HostList) -> bool {
    receive_now(discovered, &list) == ListOutcome::Applied(list)
}

fn names(discovered: &DiscoveredHosts) -> Vec<String> {
    discovered.full_list().hosts.into_iter().map(|(listing, _)| listing.name).collect()
}

#[test]
fn changes_apply_to_the_stored_list_and_a_whole_list_replaces_it() {
    let mut discovered =
        DiscoveredHosts::new(Some(&list(4, true, &[("a", ListedState::Ready), ("b", ListedState::Ready)])));
    assert!(is_applied(
        &mut discovered,
        list(5, false, &[("a", ListedState::Removed), ("c", ListedState::Draining)])
    ));
    assert_eq!((discovered.version, names(&discovered)), (5, vec!["b".to_string(), "c".to_string()]));
    // The same change again has no effect, and a whole list replaces all hosts.
    assert!(is_applied(&mut discovered, list(5, false, &[("a", ListedState::Removed)])));
    assert!(is_applied(&mut discovered, list(9, true, &[("d", ListedState::Ready)])));
    assert_eq!((discovered.version, names(&discovered)), (9, vec!["d".to_string()]));
    assert_eq!(discovered.empty_change(), list(9, false, &[]));
}

/// The outcome of an older list: the version stays at `version`, these hosts leave, and no other host
/// changes.
fn departures_only(version: u64, hosts: &[(&str, ListedState)]) -> ListOutcome {
    ListOutcome::Older(list(version, false, hosts))
}

/// Guards against an older list that brings back hosts, and against a departure in an older list that is
/// ignored.
#[test]
fn an_older_list_only_removes_hosts() {
    let known = [
        ("a", ListedState::Draining),
        ("b", ListedState::Ready),
        ("c", ListedState::Ready),
        ("d", ListedState::Ready),
    ];
    let mut discovered = DiscoveredHosts::new(Some(&list(7, true, &known)));
    assert_eq!(discovered.next_request_version(), 7);
    let older =
        list(6, true, &[("a", ListedState::Ready), ("b", ListedState::Ready), ("c", ListedState::Draining)]);
    assert_eq!(
        receive_now(&mut discovered, &older),
        departures_only(7, &[("c", ListedState::Draining), ("d", ListedState::Removed)])
    );
    // The next call requests the whole list, which corrects what the late list had wrong.
    assert_eq!((discovered.version, discovered.next_request_version(), names(&discovered).len()), (7, 0, 3));
    assert_eq!(
        receive_now(
            &mut discovered,
            &list(6, false, &[("b", ListedState::Removed), ("e", ListedState::Ready)])
        ),
        departures_only(7, &[("b", ListedState::Removed)])
    );
    assert_eq!(names(&discovered), ["a", "c"]);
    assert!(is_applied(
        &mut discovered,
        list(8, true, &[("b", ListedState::Ready), ("d", ListedState::Ready)])
    ));
    assert_eq!((discovered.version, discovered.next_request_version(), names(&discovered).len()), (8, 8, 2));
}

#[test]
fn the_third_older_list_in_a_row_is_applied_if_it_is_whole() {
    let mut discovered = DiscoveredHosts::new(Some(&list(7, true, &[("a", ListedState::Ready)])));
    assert_eq!(
        receive_now(&mut discovered, &list(1, true, &[("b", ListedState::Ready)])),
        departures_only(7, &[("a", ListedState::Removed)])
    );
    assert_eq!(
        receive_now(&mut discovered, &list(1, true, &[("b", ListedState::Ready)])),
        departures_only(7, &[])
    );
    // Changes alone don't give the whole list.
    assert_eq!(
        receive_now(&mut discovered, &list(2, false, &[("b", ListedState::Removed)])),
        departures_only(7, &[])
    );
    assert!(is_applied(&mut discovered, list(2, true, &[("b", ListedState::Ready)])));
    assert_eq!((discovered.version, names(&discovered)), (2, vec!["b".to_string()]));
}

#[test]
fn after_a_change_of_service_a_lower_version_is_applied() {
    let mut discovered = DiscoveredHosts::new(Some(&list(7, true, &[("a", ListedState::Ready)])));
    discovered.change_service();
    assert!(is_applied(&mut discovered, list(1, true, &[("b", ListedState::Ready)])));
}

/// Guards against a move of discovery that brings back a departed host, because the next service may be
/// behind.
#[test]
fn a_host_departed_at_one_service_stays_draining_until_the_next_must_know_of_it() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let both = [("a", ListedState::Ready), ("b", ListedState::Ready)];
    let a_left = [("a", ListedState::Draining), ("b", ListedState::Ready)];
    let whole = |seq, hosts: &[(&str, ListedState)]| list(seq, true, hosts);
    for departure in [whole(8, &a_left), whole(8, &a_left[1..])] {
        let mut discovered = DiscoveredHosts::new(Some(&whole(7, &both)));
        assert_eq!(
            discovered.receive_list(&departure, start, start),
            ListOutcome::Applied(departure.clone())
        );
        discovered.change_service();
        // The service is behind, whatever its version numbers are, also on a second call.
        for seq in [3, 9, 10] {
            let outcome = discovered.receive_list(&whole(seq, &both), at(1), at(4));
            assert_eq!(outcome, ListOutcome::Applied(whole(seq, &a_left)), "{seq}");
            assert_eq!(discovered.release_withheld(at(5)), None);
        }
        // The call was made before the service had to know of the departure, but it still lists the host
        // after that time.
        let released = list(10, false, &[("a", ListedState::Ready)]);
        assert_eq!(discovered.release_withheld(at(6)), Some(released));
        assert_eq!(discovered.full_list(), whole(10, &both));
        assert_eq!(discovered.release_withheld(at(7)), None);
    }
    // A new process under the same name is not withheld, and neither is a host that the reporting service
    // itself lists again later.
    let mut discovered = DiscoveredHosts::new(Some(&whole(7, &both)));
    assert_eq!(
        discovered.receive_list(&whole(8, &a_left), start, start),
        ListOutcome::Applied(whole(8, &a_left))
    );
    assert_eq!(
        discovered.receive_list(&whole(9, &both), start, at(1)),
        ListOutcome::Applied(whole(9, &both))
    );
    assert_eq!(
        discovered.receive_list(&whole(10, &a_left), at(1), at(1)),
        ListOutcome::Applied(whole(10, &a_left))
    );
    discovered.change_service();
    let mut reborn = whole(3, &both);
    reborn.hosts[0].0.started_at = Some(Micros(5));
    assert_eq!(discovered.receive_list(&reborn, at(1), at(1)), ListOutcome::Applied(reborn.clone()));
}

/// Guards against a departure that is remembered after its host has returned: a host drains, and the same
/// service lists it as ready again before 6 s have passed. Then discovery moves, and the next service lists
/// the host too: no service reports it as departed, and withholding it would cost a good host. Departures
/// were once forgotten by age alone.
#[test]
fn a_host_listed_again_by_the_reporting_service_is_not_withheld_after_a_move() {
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
        let mut discovered = DiscoveredHosts::new(Some(&list(7, true, &both)));
        assert_eq!(discovered.receive_list(&left, start, start), ListOutcome::Applied(left.clone()));
        assert_eq!(discovered.receive_list(&back, at(1), at(1)), ListOutcome::Applied(back.clone()));
        discovered.change_service();
        let next = list(3, true, &both);
        assert_eq!(discovered.receive_list(&next, at(2), at(2)), ListOutcome::Applied(next.clone()));
    }
}
