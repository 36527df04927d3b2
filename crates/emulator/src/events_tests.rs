//! Tests of the event queue: order at one instant, and time that neither steps back nor passes the end.

use super::*;

#[test]
fn a_million_events_at_one_instant_come_in_their_order() {
    let mut events = Events::default();
    for i in 0..1_000_000u32 {
        events.at(Micros(5), i);
    }
    events.at(Micros(4), u32::MAX);
    assert_eq!(events.next(Micros(10)), Some(u32::MAX));
    for i in 0..1_000_000 {
        assert_eq!(events.next(Micros(10)), Some(i));
    }
    assert_eq!((events.next(Micros(10)), events.now()), (None, Micros(5)));
}

#[test]
fn time_does_not_step_back_and_the_end_is_not_passed() {
    let mut events = Events::default();
    events.at(Micros(7), 'a');
    assert_eq!(events.next(Micros(7)), None);
    assert_eq!(events.next(Micros(8)), Some('a'));
    events.at(Micros(1), 'b');
    assert_eq!((events.next(Micros(8)), events.now(), events.waiting()), (Some('b'), Micros(7), 0));
}
