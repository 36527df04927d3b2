//! Requests of one key run one at a time, in the order in which they were taken. One small test for each failure found.

mod support;

use garnettally_decisions::*;
use support::{settings, Bench};

fn ordered(effect: Effect) -> Settings {
    let class = Class { keep_order: true, ..settings(effect).classes[0].clone() };
    Settings { classes: vec![class], key_pause: Micros(50_000), ..settings(effect) }
}

impl Bench {
    fn ask_key(&mut self, id: u64, key: u64) -> Option<u32> {
        self.acts.clear();
        let (expires, hint) = (self.now + Micros(2_000_000), Some(Micros(10_000)));
        let (id, class, key) = (RequestId(id), ClassId(0), Some(KeyId(key)));
        self.tell(Event::Request(NewRequest { id, class, tenant: None, expires, hint, repeat: false, key }));
        self.sent()
    }
}

#[test]
fn requests_of_one_key_run_one_at_a_time_as_they_were_taken() {
    let mut t = Bench::new(ordered(Effect::Safe), 4);
    assert!(t.ask_key(1, 7).is_some());
    // Two wait; one of another key and one without a key don't.
    assert_eq!((t.ask_key(2, 7), t.ask_key(3, 7)), (None, None));
    assert!(t.ask_key(4, 8).is_some() && t.ask(5, 10_000).is_some());
    t.end(1, 0, Code::Ok, 10_000, None);
    assert_eq!(t.sends(), [2]);
    // A retry of the one that has the turn needs no wait; the third is still behind it.
    t.end(2, 0, Code::Error, 1_000, None);
    assert_eq!(t.sends(), [2]);
    t.end(2, 1, Code::Ok, 10_000, None);
    assert_eq!(t.sends(), [3]);
}

#[test]
fn a_key_rests_after_an_attempt_that_may_run_still_also_when_its_client_has_left() {
    let mut t = Bench::new(ordered(Effect::Unsafe), 4);
    assert!(t.ask_key(1, 7).is_some());
    assert_eq!(t.ask_key(2, 7), None);
    // The client leaves: the attempt is out until its outcome, and then the key rests.
    t.tell(Event::ClientLeft(RequestId(1)));
    assert_eq!(t.sent(), None);
    t.now += Micros(5_000);
    t.end(1, 0, Code::Cancelled, 5_000, None);
    assert_eq!(t.sent(), None);
    assert!(t.acts.contains(&Action::Timer { at: Micros(55_000), token: 1 }), "{:?}", t.acts);
    t.now += Micros(49_000);
    t.tell(Event::Timer(1));
    assert_eq!(t.sent(), None);
    t.now += Micros(1_000);
    t.tell(Event::Timer(1));
    assert_eq!(t.sends(), [2]);
}

#[test]
fn a_turn_that_cannot_come_in_time_is_refused_at_once() {
    // Served times are 100 ms and the aim 1 s: of twenty of one key, taken at once, the last are refused.
    let mut t = Bench::new(ordered(Effect::Safe), 4);
    for id in 0..20 {
        t.ask_key(id, id);
        t.end(id, 0, Code::Ok, 100_000, None);
    }
    let waits = |id: u64| -> bool {
        t.ask_key(100 + id, 99);
        !t.acts.iter().any(|a| matches!(a, Action::Refuse { .. }))
    };
    let waits = (0..20).map(waits).collect::<Vec<_>>();
    assert!(waits[..5].iter().all(|&w| w) && !waits[19], "{waits:?}");
}

#[test]
fn a_hung_attempt_on_a_key_is_called_off_for_those_behind_it() {
    // Unsafe: alone it is left to its time, since it can't be tried again.
    for (behind, called_off) in [(false, false), (true, true)] {
        let mut t = Bench::new(ordered(Effect::Unsafe), 4);
        t.ask_key(1, 7);
        if behind {
            t.ask_key(2, 7);
        }
        t.acts.clear();
        t.periods(2);
        assert_eq!(t.acts.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }), called_off);
    }
}
