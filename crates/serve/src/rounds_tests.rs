//! Tests of how long this process was kept from its sockets.

use super::*;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A round whose wait began after the wait before was over for 5 ms, was to last 20 ms, and was over after `waited`.
fn held_up(waited: Duration, read_after: Duration) -> Duration {
    let start = Instant::now();
    let mut rounds = Rounds::new(start);
    let waits_from = start + ms(5);
    rounds.wait(waits_from, Some(waits_from + ms(20)));
    rounds.woke.set(waits_from + waited);
    rounds.held_up(waits_from + waited + read_after)
}

#[test]
fn a_wait_in_time_holds_nothing_up() {
    assert_eq!(held_up(ms(10), ms(0)), ms(0));
}

#[test]
fn what_is_read_late_in_a_round_was_held_up_since_its_wait() {
    assert_eq!(held_up(ms(10), ms(7)), ms(7));
}

#[test]
fn what_is_found_at_once_may_have_come_in_the_round_before() {
    assert_eq!(held_up(ms(0), ms(2)), ms(7));
}

#[test]
fn a_wait_that_is_over_too_late_held_up_since_its_end_was_due() {
    assert_eq!(held_up(ms(170), ms(1)), ms(151));
}

#[test]
fn the_last_look_is_the_wait_before() {
    let start = Instant::now();
    let mut rounds = Rounds::new(start);
    rounds.wait(start + ms(3), None);
    assert_eq!(rounds.looked(), start);
    rounds.wait(start + ms(9), None);
    assert_eq!(rounds.looked(), start + ms(3));
    assert_eq!(rounds.held_up(start + ms(9)), ms(9), "nothing was waited for");
}
