//! Which word of a death counts, and when a suspect is asked.

use super::*;

const WINDOW: Micros = Micros(300);
const ASK_EVERY: Micros = Micros(100);

fn identity(generation: u64) -> Identity {
    let address = ([127, 0, 0, 1], 1000).into();
    Identity { address, name: "a".into(), zone: String::new(), boot: 7, generation }
}

fn member(incarnation: Incarnation, state: State) -> Member<Identity> {
    Member::new(identity(1), incarnation, state)
}

/// Lets one datagram with this word come at this time, after which the member is held as suspected.
fn hear(s: &mut Suspicions, now: i64, word: Member<Identity>) -> State {
    s.set_now(Micros(now));
    let counts = s.admit(word).state();
    s.review([member(0, State::Suspect)].iter(), &[], |_| false);
    counts
}

fn due(s: &mut Suspicions, now: i64) -> Vec<Step> {
    s.set_now(Micros(now));
    s.due()
}

fn suspect() -> Suspect {
    Suspect::of(&member(0, State::Suspect))
}

#[test]
fn a_death_out_of_the_blue_is_a_suspicion_that_is_asked_about_and_confirmed_after_the_window() {
    let mut s = Suspicions::new(WINDOW, ASK_EVERY);
    assert_eq!(hear(&mut s, 0, member(0, State::Down)), State::Suspect);
    let ask = || vec![Step::Ask { suspect: suspect(), reported_down: true }];
    assert_eq!(due(&mut s, 0), ask());
    assert_eq!(due(&mut s, 99), []);
    assert_eq!(s.next_timeout(), Some(Micros(100)));
    assert_eq!(due(&mut s, 100), ask());
    // Said again it is no news.
    assert_eq!(hear(&mut s, 150, member(0, State::Down)), State::Suspect);
    assert_eq!(due(&mut s, 150), []);
    assert_eq!(due(&mut s, 300), [Step::Confirm(suspect())]);
    assert_eq!((due(&mut s, 300), s.next_timeout()), (vec![], None));
}

#[test]
fn the_death_of_one_that_was_suspected_for_the_window_counts_at_once() {
    let mut s = Suspicions::new(WINDOW, ASK_EVERY);
    hear(&mut s, 0, member(0, State::Suspect));
    assert_eq!((due(&mut s, 290), s.next_timeout()), (vec![], None));
    assert_eq!(hear(&mut s, 300, member(0, State::Down)), State::Down);
    // That of another incarnation or generation does not.
    assert_eq!(hear(&mut s, 300, member(1, State::Down)), State::Suspect);
    let renewed = Member::new(identity(2), 0, State::Down);
    assert_eq!(hear(&mut s, 300, renewed), State::Suspect);
}

#[test]
fn who_leaves_is_believed() {
    let mut s = Suspicions::new(WINDOW, ASK_EVERY);
    s.set_now(Micros(0));
    assert_eq!(s.admit(member(LEFT, State::Down)).state(), State::Down);
    for state in [State::Alive, State::Suspect] {
        assert_eq!(s.admit(member(0, state)).state(), state);
    }
}

/// A refutation ends a suspicion, and a verdict on what was refuted opens none.
#[test]
fn a_refuted_suspicion_is_gone() {
    let mut s = Suspicions::new(WINDOW, ASK_EVERY);
    hear(&mut s, 0, member(0, State::Down));
    s.set_now(Micros(50));
    s.review([].iter(), &[], |_| true);
    assert_eq!((due(&mut s, 400), s.next_timeout()), (vec![], None));
    // A later one has a window of its own.
    hear(&mut s, 400, member(0, State::Suspect));
    assert_eq!(hear(&mut s, 500, member(0, State::Down)), State::Suspect);
}

#[test]
fn whose_probe_failed_or_who_is_chosen_asks_and_who_merely_heard_does_not() {
    for (found, chosen, asks) in [(false, false, false), (true, false, true), (false, true, true)] {
        let mut s = Suspicions::new(WINDOW, ASK_EVERY);
        s.set_now(Micros(0));
        let found: Vec<Suspect> = found.then(suspect).into_iter().collect();
        s.review([member(0, State::Suspect)].iter(), &found, |_| chosen);
        assert_eq!(due(&mut s, 0), [], "gossip tells it first");
        assert_eq!(due(&mut s, 100).len(), usize::from(asks));
    }
}

/// While this process stood still no answer could be heard.
#[test]
fn a_standstill_is_no_part_of_the_window() {
    let mut s = Suspicions::new(WINDOW, ASK_EVERY);
    hear(&mut s, 0, member(0, State::Down));
    s.shift(Micros(5_000));
    assert_eq!(hear(&mut s, 5_200, member(0, State::Down)), State::Suspect);
    assert_eq!(due(&mut s, 5_300), [Step::Confirm(suspect())]);
}
