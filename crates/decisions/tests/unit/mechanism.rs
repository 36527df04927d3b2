//! Tests of the cost board and of the weights, with expected values calculated by hand. A slot is 50 ms and a
//! period 200 ms.
use super::*;

fn ms(n: i64) -> Micros {
    Micros(n * 1_000)
}

/// The costs of `n` slots from slot `from` on, in milliseconds.
fn slots(board: &Board, from: i64, n: i64) -> Vec<f64> {
    (from..from + n).map(|at| board.slots[(at % SLOTS) as usize] / 1_000.0).collect()
}

#[test]
fn tc_jumps_to_a_later_timestamp_and_cost_overflows_into_later_slots() {
    let mut board = Board::default();
    // A request is sent at 190 ms, and TC jumps to that time. Its cost of 120 ms starts in slot 3 (150 to 200
    // ms), which takes 50 ms and lies in the past at 200 ms. Slots 4 and 5 take 50 and 20 ms. TC ends at 310
    // ms.
    board.queue.push((ms(190), 120_000.0));
    board.book_queue(ms(200));
    assert_eq!(board.tc, 310_000.0);
    assert_eq!(slots(&board, 3, 4), [0.0, 50.0, 20.0, 0.0]);
    assert_eq!(board.booked_ahead(None), 70_000.0);
    // The next request is sent at 210 ms, before TC, so its cost of 30 ms goes into slot 6 (300 to 350 ms).
    board.queue.push((ms(210), 30_000.0));
    board.book_queue(ms(220));
    assert_eq!(board.tc, 340_000.0);
    assert_eq!(slots(&board, 4, 4), [50.0, 20.0, 30.0, 0.0]);
}

#[test]
fn slots_of_past_periods_are_cleared() {
    let mut board = Board::default();
    board.queue.push((ms(0), 500_000.0));
    board.book_queue(ms(200));
    // A cost of 500 ms from time 0 on fills slots 0 to 9, of which slots 0 to 3 are in the past.
    assert_eq!(board.booked_ahead(None), 300_000.0);
    board.book_queue(ms(400));
    assert_eq!(board.booked_ahead(None), 100_000.0);
    assert_eq!(slots(&board, 7, 4), [0.0, 50.0, 50.0, 0.0]);
    board.book_queue(ms(600));
    assert_eq!(board.booked_ahead(None), 0.0);
}

#[test]
fn the_ring_of_slots_wraps_and_cost_past_its_end_is_dropped() {
    let mut board = Board::default();
    // At 9,800 ms the ring covers slots 196 to 395. A cost of 700 ms from 9,800 ms on fills slots 196 to 209.
    board.queue.push((ms(9_800), 700_000.0));
    board.book_queue(ms(9_800));
    assert_eq!(slots(&board, 196, 15), [[50.0; 14].as_slice(), &[0.0]].concat());
    assert_eq!(board.slots[9], 50_000.0); // slot 209
    board.queue.push((ms(9_800), 60_000_000.0));
    board.book_queue(ms(9_800));
    assert_eq!(board.booked_ahead(None), 10_000_000.0);
    assert_eq!(board.tc, 19_800_000.0);
    board.book_queue(ms(20_000));
    assert_eq!(board.booked_ahead(None), 0.0);
}

#[test]
fn cost_is_summed_over_the_requested_number_of_periods() {
    let mut board = Board::default();
    board.queue.push((ms(200), 500_000.0));
    board.book_queue(ms(200));
    assert_eq!(board.booked_ahead(Some(1)), 200_000.0);
    assert_eq!(board.booked_ahead(Some(2)), 400_000.0);
    assert_eq!(board.booked_ahead(None), 500_000.0);
}

#[test]
fn weights_are_compressed_to_a_difference_of_at_most_tdiff() {
    let weights_of = |loads: &[f64], tdiff| {
        let mut values = loads.to_vec();
        loads_to_weights(&mut values, tdiff);
        values
    };
    // With max - min = 4 and tdiff = 1, dec is 1/4.
    assert_eq!(weights_of(&[1.0, 3.0, 5.0], 1.0), [0.0, -0.5, -1.0]);
    // Where the loads differ by no more than tdiff, the weights are not compressed.
    assert_eq!(weights_of(&[1.0, 3.0, 5.0], 4.0), [0.0, -2.0, -4.0]);
    assert_eq!(weights_of(&[2.0, 2.0], 0.0), [0.0, 0.0]);
    assert_eq!(weights_of(&[7.0], 0.5), [0.0]);
    assert!(weights_of(&[], 0.5).is_empty());
}
