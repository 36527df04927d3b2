//! Tests of how long an event may have waited unread in this process.

use super::*;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The delay of an event read `read_after` after a wait ended. The wait began 5 ms after the previous one had
/// ended, was to last 20 ms, and ended after `waited`.
fn local_delay(waited: Duration, read_after: Duration) -> Duration {
    let start = Instant::now();
    let mut rounds = Rounds::new(start);
    let wait_began = start + ms(5);
    rounds.begin_wait(wait_began, Some(wait_began + ms(20)));
    rounds.last_wake.set(wait_began + waited);
    rounds.local_delay(wait_began + waited + read_after)
}

#[test]
fn a_wait_that_ends_in_time_gives_no_delay() {
    assert_eq!(local_delay(ms(10), ms(0)), ms(0));
}

#[test]
fn an_event_read_late_in_a_round_is_delayed_since_the_wait_ended() {
    assert_eq!(local_delay(ms(10), ms(7)), ms(7));
}

#[test]
fn an_event_found_immediately_may_have_arrived_in_the_previous_round() {
    assert_eq!(local_delay(ms(0), ms(2)), ms(7));
}

/// Guards against served times of nothing: the wait for an answer within a millisecond counted as a delay of
/// this process, and the few times that were left made a server that is free pass for slow.
#[test]
fn a_short_wait_is_no_delay_of_this_process() {
    assert_eq!(local_delay(Duration::from_micros(400), ms(0)), ms(5));
}

#[test]
fn a_wait_that_ends_too_late_gives_a_delay_since_its_end_was_due() {
    assert_eq!(local_delay(ms(170), ms(1)), ms(151));
}

#[test]
fn the_sockets_were_last_polled_when_the_previous_wait_began() {
    let start = Instant::now();
    let mut rounds = Rounds::new(start);
    rounds.begin_wait(start + ms(3), None);
    assert_eq!(rounds.last_polled_at(), start);
    rounds.begin_wait(start + ms(9), None);
    assert_eq!(rounds.last_polled_at(), start + ms(3));
    assert_eq!(rounds.local_delay(start + ms(9)), ms(9), "the wait lasted no time");
}
