//! The board and the weights, with figures worked out by hand. Slots are 50 ms, periods 200 ms.
use super::*;

fn ms(n: i64) -> Micros {
    Micros(n * 1_000)
}

fn slots(b: &Board, from: i64, n: i64) -> Vec<f64> {
    (from..from + n).map(|at| b.slots[(at % SLOTS) as usize] / 1_000.0).collect()
}

#[test]
fn tc_jumps_to_a_later_timestamp_and_spills_past_the_slot() {
    let mut b = Board::default();
    // Sent at 190 ms: TC jumps there; 120 ms of cost start in slot 3 (150 to 200 ms), which takes 50 and is
    // past at 200 ms; slots 4 and 5 take 50 and 20. TC ends at 310 ms.
    b.queue.push((ms(190), 120_000.0));
    b.book_queue(ms(200));
    assert_eq!(b.tc, 310_000.0);
    assert_eq!(slots(&b, 3, 4), [0.0, 50.0, 20.0, 0.0]);
    assert_eq!(b.booked_ahead(None), 70_000.0);
    // The next one finds TC ahead of its timestamp: slot 6 (300 to 350 ms) takes its 30 ms.
    b.queue.push((ms(210), 30_000.0));
    b.book_queue(ms(220));
    assert_eq!(b.tc, 340_000.0);
    assert_eq!(slots(&b, 4, 4), [50.0, 20.0, 30.0, 0.0]);
}

#[test]
fn the_period_just_ended_is_cleared() {
    let mut b = Board::default();
    b.queue.push((ms(0), 500_000.0));
    b.book_queue(ms(200));
    // 500 ms from 0: slots 0 to 9, of which 0 to 3 are past.
    assert_eq!(b.booked_ahead(None), 300_000.0);
    b.book_queue(ms(400));
    assert_eq!(b.booked_ahead(None), 100_000.0);
    assert_eq!(slots(&b, 7, 4), [0.0, 50.0, 50.0, 0.0]);
    b.book_queue(ms(600));
    assert_eq!(b.booked_ahead(None), 0.0);
}

#[test]
fn the_ring_wraps_and_cost_past_its_end_is_dropped() {
    let mut b = Board::default();
    // At 9,800 ms the ring holds slots 196 to 395; 700 ms from 9,800 ms reach into slots 196 to 209.
    b.queue.push((ms(9_800), 700_000.0));
    b.book_queue(ms(9_800));
    assert_eq!(slots(&b, 196, 15), [[50.0; 14].as_slice(), &[0.0]].concat());
    assert_eq!(b.slots[9], 50_000.0); // slot 209
    b.queue.push((ms(9_800), 60_000_000.0));
    b.book_queue(ms(9_800));
    assert_eq!(b.booked_ahead(None), 10_000_000.0);
    assert_eq!(b.tc, 19_800_000.0);
    b.book_queue(ms(20_000));
    assert_eq!(b.booked_ahead(None), 0.0);
}

#[test]
fn one_or_two_next_periods_are_summed() {
    let mut b = Board::default();
    b.queue.push((ms(200), 500_000.0));
    b.book_queue(ms(200));
    assert_eq!(b.booked_ahead(Some(1)), 200_000.0);
    assert_eq!(b.booked_ahead(Some(2)), 400_000.0);
    assert_eq!(b.booked_ahead(None), 500_000.0);
}

#[test]
fn weights_are_compressed_to_tdiff() {
    let w = |loads: &[f64], tdiff| {
        let mut w = loads.to_vec();
        loads_to_weights(&mut w, tdiff);
        w
    };
    // max - min = 4, tdiff = 1: dec = 1/4.
    assert_eq!(w(&[1.0, 3.0, 5.0], 1.0), [0.0, -0.5, -1.0]);
    // Within tdiff nothing is compressed.
    assert_eq!(w(&[1.0, 3.0, 5.0], 4.0), [0.0, -2.0, -4.0]);
    assert_eq!(w(&[2.0, 2.0], 0.0), [0.0, 0.0]);
    assert_eq!(w(&[7.0], 0.5), [0.0]);
    assert!(w(&[], 0.5).is_empty());
}
