//! Faults that are drawn by a seed: of processes, links and disks, one after the other, and all of them ended in the last
//! part of the drill.

use crate::script::{Fault, Script, What};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The part of a drill's time in which faults come; then all is well again.
const FAULTS_FOR: f64 = 0.6;

struct Drawing {
    gone: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    full: BTreeSet<usize>,
    faults: Vec<Fault>,
}

impl Drawing {
    fn fault(&mut self, at: Duration, what: What, members: Vec<usize>, to: Vec<usize>) {
        for &m in &members {
            match what {
                What::Kill | What::Term => {
                    self.gone.insert(m);
                    self.stopped.remove(&m);
                    self.full.remove(&m);
                }
                What::Start => {
                    self.gone.remove(&m);
                }
                What::Stop => {
                    self.stopped.insert(m);
                }
                What::Continue => {
                    self.stopped.remove(&m);
                }
                What::FillDisk => {
                    self.full.insert(m);
                }
                What::FreeDisk => {
                    self.full.remove(&m);
                }
                _ => {}
            }
        }
        self.faults.push(Fault { at, what, members, to });
    }

    /// All that was done is undone.
    fn undo(&mut self, at: Duration) {
        self.fault(at, What::Heal, Vec::new(), Vec::new());
        for (what, members) in [
            (What::Continue, self.stopped.clone()),
            (What::FreeDisk, self.full.clone()),
            (What::Start, self.gone.clone()),
        ] {
            if !members.is_empty() {
                self.fault(at, what, members.into_iter().collect(), Vec::new());
            }
        }
    }
}

/// So many faults for a script, by its seed.
pub(crate) fn faults(script: &Script, count: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(script.seed ^ 0x6472_6177);
    let n = script.members;
    let until = script.time.mul_f64(FAULTS_FOR);
    let mut times: Vec<Duration> = (0..count).map(|_| until.mul_f64(rng.random())).collect();
    times.sort_unstable();
    let mut d = Drawing {
        gone: BTreeSet::new(),
        stopped: BTreeSet::new(),
        full: BTreeSet::new(),
        faults: Vec::new(),
    };
    for at in times {
        let (one, other) = (rng.random_range(0..n), rng.random_range(0..n));
        let runs = !d.gone.contains(&one) && !d.stopped.contains(&one);
        match rng.random_range(0..10) {
            0 | 1 if runs => d.fault(at, What::Kill, vec![one], Vec::new()),
            2 if runs => d.fault(at, What::Stop, vec![one], Vec::new()),
            3 if runs => d.fault(at, What::Term, vec![one], Vec::new()),
            4 => d.fault(at, What::Split, vec![one], Vec::new()),
            5 if one != other => d.fault(at, What::Split, vec![one, other], Vec::new()),
            6 if one != other => d.fault(at, What::Cut, vec![one], vec![other]),
            7 if runs && script.duties.is_some() => d.fault(at, What::FillDisk, vec![one], Vec::new()),
            _ => d.undo(at),
        }
    }
    d.undo(until);
    d.faults
}

#[cfg(test)]
#[path = "draw_tests.rs"]
mod tests;
