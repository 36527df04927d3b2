//! Tests of the event queue: the order of events at one instant, and a time that neither goes back nor passes
//! the end.

use super::*;

#[test]
fn a_million_events_at_one_instant_occur_in_the_order_of_scheduling() {
    let mut events = Events::default();
    for i in 0..1_000_000u32 {
        events.schedule_at(Micros(5), i);
    }
    events.schedule_at(Micros(4), u32::MAX);
    assert_eq!(events.next_before(Micros(10)), Some(u32::MAX));
    for i in 0..1_000_000 {
        assert_eq!(events.next_before(Micros(10)), Some(i));
    }
    assert_eq!((events.next_before(Micros(10)), events.now()), (None, Micros(5)));
}

#[test]
fn time_never_goes_back_and_no_event_at_or_after_the_end_occurs() {
    let mut events = Events::default();
    events.schedule_at(Micros(7), 'a');
    assert_eq!(events.next_before(Micros(7)), None);
    assert_eq!(events.next_before(Micros(8)), Some('a'));
    events.schedule_at(Micros(1), 'b');
    assert_eq!((events.next_before(Micros(8)), events.now(), events.pending()), (Some('b'), Micros(7), 0));
}
