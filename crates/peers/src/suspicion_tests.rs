//! Tests of which reports that a member is down count, and of when a suspect is pinged.

use super::*;

const WINDOW: Micros = Micros(300);
const PING_INTERVAL: Micros = Micros(100);

fn identity(generation: u64) -> Identity {
    let address = ([127, 0, 0, 1], 1000).into();
    Identity { address, name: "a".into(), zone: String::new(), boot: 7, generation }
}

fn member(incarnation: Incarnation, state: State) -> Member<Identity> {
    Member::new(identity(1), incarnation, state)
}

/// Processes a datagram with this report at this time, after which the member is suspected. Returns the state
/// in which the report counts.
fn receive(suspicions: &mut Suspicions, now: i64, report: Member<Identity>) -> State {
    suspicions.set_now(Micros(now));
    let counted_state = suspicions.assess_report(report).state();
    suspicions.review([member(0, State::Suspect)].iter(), &[], |_| false);
    counted_state
}

fn due(suspicions: &mut Suspicions, now: i64) -> Vec<SuspicionAction> {
    suspicions.set_now(Micros(now));
    suspicions.take_due_actions()
}

fn suspect() -> Suspect {
    Suspect::from_member(&member(0, State::Suspect))
}

#[test]
fn an_unexpected_down_report_is_a_suspicion_that_is_pinged_and_confirmed_after_the_window() {
    let mut suspicions = Suspicions::new(WINDOW, PING_INTERVAL);
    assert_eq!(receive(&mut suspicions, 0, member(0, State::Down)), State::Suspect);
    let ping = || vec![SuspicionAction::Ping { suspect: suspect(), reported_down: true }];
    assert_eq!(due(&mut suspicions, 0), ping());
    assert_eq!(due(&mut suspicions, 99), []);
    assert_eq!(suspicions.next_timeout(), Some(Micros(100)));
    assert_eq!(due(&mut suspicions, 100), ping());
    // The same report changes nothing when it is repeated.
    assert_eq!(receive(&mut suspicions, 150, member(0, State::Down)), State::Suspect);
    assert_eq!(due(&mut suspicions, 150), []);
    assert_eq!(due(&mut suspicions, 300), [SuspicionAction::Confirm(suspect())]);
    assert_eq!((due(&mut suspicions, 300), suspicions.next_timeout()), (vec![], None));
}

#[test]
fn a_down_report_on_a_member_suspected_for_the_window_counts_at_once() {
    let mut suspicions = Suspicions::new(WINDOW, PING_INTERVAL);
    receive(&mut suspicions, 0, member(0, State::Suspect));
    assert_eq!((due(&mut suspicions, 290), suspicions.next_timeout()), (vec![], None));
    assert_eq!(receive(&mut suspicions, 300, member(0, State::Down)), State::Down);
    // A report on another incarnation or generation does not count at once.
    assert_eq!(receive(&mut suspicions, 300, member(1, State::Down)), State::Suspect);
    let renewed = Member::new(identity(2), 0, State::Down);
    assert_eq!(receive(&mut suspicions, 300, renewed), State::Suspect);
}

#[test]
fn an_announced_departure_counts_at_once() {
    let mut suspicions = Suspicions::new(WINDOW, PING_INTERVAL);
    suspicions.set_now(Micros(0));
    assert_eq!(suspicions.assess_report(member(DEPARTED_INCARNATION, State::Down)).state(), State::Down);
    for state in [State::Alive, State::Suspect] {
        assert_eq!(suspicions.assess_report(member(0, state)).state(), state);
    }
}

/// A refutation removes a suspicion, and a later suspicion starts a new window.
#[test]
fn a_refuted_suspicion_is_removed() {
    let mut suspicions = Suspicions::new(WINDOW, PING_INTERVAL);
    receive(&mut suspicions, 0, member(0, State::Down));
    suspicions.set_now(Micros(50));
    suspicions.review([].iter(), &[], |_| true);
    assert_eq!((due(&mut suspicions, 400), suspicions.next_timeout()), (vec![], None));
    // A later suspicion has a window of its own.
    receive(&mut suspicions, 400, member(0, State::Suspect));
    assert_eq!(receive(&mut suspicions, 500, member(0, State::Down)), State::Suspect);
}

#[test]
fn a_member_pings_a_suspect_only_if_its_own_probe_failed_or_it_is_chosen() {
    for (found, chosen, pings) in [(false, false, false), (true, false, true), (false, true, true)] {
        let mut suspicions = Suspicions::new(WINDOW, PING_INTERVAL);
        suspicions.set_now(Micros(0));
        let found: Vec<Suspect> = found.then(suspect).into_iter().collect();
        suspicions.review([member(0, State::Suspect)].iter(), &found, |_| chosen);
        assert_eq!(due(&mut suspicions, 0), [], "gossip is to reach the suspect first");
        assert_eq!(due(&mut suspicions, 100).len(), usize::from(pings));
    }
}

/// While this process was stalled it could not receive an answer.
#[test]
fn a_stall_does_not_count_towards_the_window() {
    let mut suspicions = Suspicions::new(WINDOW, PING_INTERVAL);
    receive(&mut suspicions, 0, member(0, State::Down));
    suspicions.postpone(Micros(5_000));
    assert_eq!(receive(&mut suspicions, 5_200, member(0, State::Down)), State::Suspect);
    assert_eq!(due(&mut suspicions, 5_300), [SuspicionAction::Confirm(suspect())]);
}
