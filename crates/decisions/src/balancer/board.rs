//! The cost board of a server: the cost of what was sent there, booked in time; and the weights that follow.

use super::*;

pub(super) const SLOT: Micros = Micros(50_000);
const SLOTS: i64 = 200; // max_slots: 10 s, the paper's example, longer than any call is worth waiting for

impl Board {
    /// Clears what lies before `now`, books the queue, and drops what it put into the past.
    pub(super) fn book_queue(&mut self, now: Micros) {
        let here = now.0 / SLOT.0;
        if self.queue.is_empty() && self.total <= 1.0 {
            self.first_slot = self.first_slot.max(here);
            return;
        }
        self.slots.resize(SLOTS as usize, 0.0); // a server never sent to needs no board
        self.clear_slots(self.first_slot, here);
        // The ring holds max_slots from the first send on; what it books before `here` ends up past.
        let queue = std::mem::take(&mut self.queue);
        let first = queue.first().map_or(here, |q| q.0 .0 / SLOT.0);
        for (stamp, price) in queue {
            self.tc = self.tc.max(stamp.0 as f64);
            let mut at = self.tc as i64 / SLOT.0;
            self.tc = (self.tc + price).min(((first + SLOTS) * SLOT.0) as f64);
            let mut cost = price;
            while cost > 0.0 && at < first + SLOTS {
                let slot = &mut self.slots[(at % SLOTS) as usize];
                let room = (SLOT.0 as f64 - *slot).max(0.0).min(cost);
                *slot += room;
                self.total += room;
                cost -= room;
                at += 1;
            }
        }
        self.clear_slots(first, here);
    }

    fn clear_slots(&mut self, from: i64, here: i64) {
        for at in from.max(here - SLOTS)..here {
            let slot = &mut self.slots[(at % SLOTS) as usize];
            self.total -= *slot;
            *slot = 0.0;
        }
        self.first_slot = self.first_slot.max(here);
    }

    /// Cost booked for the next `periods`, or for all.
    pub(super) fn booked_ahead(&self, periods: Option<i64>) -> f64 {
        match periods {
            None => self.total.max(0.0),
            _ if self.slots.is_empty() => 0.0,
            Some(n) => {
                let last = self.first_slot + n * (PERIOD.0 / SLOT.0);
                (self.first_slot..last).map(|at| self.slots[(at % SLOTS) as usize]).sum()
            }
        }
    }
}

/// W_k of each L_k: the largest weight is 0, and tdiff bounds how far apart two weights lie.
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
