//! The cost board of a server, on which the cost of the calls sent to it is booked in time slots, and the
//! weights that follow from it.

use super::*;

/// The length of a slot.
pub(super) const SLOT: Micros = Micros(50_000);
/// max_slots of the paper: the number of slots of a board. They cover 10 s, as in the paper's example, which
/// is longer than any call is worth waiting for.
const SLOTS: i64 = 200;

impl Board {
    /// Clears the slots before `now`, books the queued calls, and drops the cost that this put into past
    /// slots.
    pub(super) fn book_queue(&mut self, now: Micros) {
        let now_slot = now.0 / SLOT.0;
        if self.queue.is_empty() && self.total <= 1.0 {
            self.first_slot = self.first_slot.max(now_slot);
            return;
        }
        // The ring is allocated here, since a server that nothing is sent to needs none.
        self.slots.resize(SLOTS as usize, 0.0);
        self.clear_slots(self.first_slot, now_slot);
        // The ring covers max_slots from the first queued send on. Cost booked before the present slot is
        // dropped below.
        let queue = std::mem::take(&mut self.queue);
        let first = queue.first().map_or(now_slot, |q| q.0 .0 / SLOT.0);
        for (sent_at, price) in queue {
            self.tc = self.tc.max(sent_at.0 as f64);
            let mut number = self.tc as i64 / SLOT.0;
            self.tc = (self.tc + price).min(((first + SLOTS) * SLOT.0) as f64);
            let mut cost = price;
            while cost > 0.0 && number < first + SLOTS {
                let slot = &mut self.slots[(number % SLOTS) as usize];
                let room = (SLOT.0 as f64 - *slot).max(0.0).min(cost);
                *slot += room;
                self.total += room;
                cost -= room;
                number += 1;
            }
        }
        self.clear_slots(first, now_slot);
    }

    /// Clears the slots from `from` on that lie before the present one.
    fn clear_slots(&mut self, from: i64, now_slot: i64) {
        for number in from.max(now_slot - SLOTS)..now_slot {
            let slot = &mut self.slots[(number % SLOTS) as usize];
            self.total -= *slot;
            *slot = 0.0;
        }
        self.first_slot = self.first_slot.max(now_slot);
    }

    /// Returns the cost booked for the next `periods`; `None`: for all of the board.
    pub(super) fn booked_ahead(&self, periods: Option<i64>) -> f64 {
        match periods {
            None => self.total.max(0.0),
            _ if self.slots.is_empty() => 0.0,
            Some(n) => {
                let last = self.first_slot + n * (PERIOD.0 / SLOT.0);
                (self.first_slot..last).map(|number| self.slots[(number % SLOTS) as usize]).sum()
            }
        }
    }
}

/// Replaces each load L_k by its weight W_k and returns dec, the factor of the compression. The largest
/// weight is 0, and two weights differ by tdiff at most.
pub(super) fn loads_to_weights(loads: &mut [f64], tdiff: f64) -> f64 {
    let min = loads.iter().copied().fold(f64::INFINITY, f64::min);
    let max = loads.iter().copied().fold(0.0, f64::max);
    let dec = if max - min <= tdiff { 1.0 } else { tdiff / (max - min) };
    loads.iter_mut().for_each(|l| *l = (min - *l) * dec);
    dec
}

#[cfg(test)]
#[path = "../../tests/unit/mechanism.rs"]
mod mechanism;
