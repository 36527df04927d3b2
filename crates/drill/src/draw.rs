//! Random faults of processes, links and disks, drawn from the script's seed, one after the other. All of
//! them have ended when the last part of the drill begins.

use crate::script::{Fault, FaultKind, Script};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The share of a drill's time during which faults are injected; at its end all of them are ended.
const FAULT_TIME_SHARE: f64 = 0.6;

struct DrawnFaults {
    not_running: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    full_disks: BTreeSet<usize>,
    faults: Vec<Fault>,
}

impl DrawnFaults {
    fn add(&mut self, at: Duration, what: FaultKind, members: Vec<usize>, to: Vec<usize>) {
        for &member in &members {
            match what {
                FaultKind::Kill | FaultKind::Term => {
                    self.not_running.insert(member);
                    self.stopped.remove(&member);
                    self.full_disks.remove(&member);
                }
                FaultKind::Start => {
                    self.not_running.remove(&member);
                }
                FaultKind::Stop => {
                    self.stopped.insert(member);
                }
                FaultKind::Continue => {
                    self.stopped.remove(&member);
                }
                FaultKind::FillDisk => {
                    self.full_disks.insert(member);
                }
                FaultKind::FreeDisk => {
                    self.full_disks.remove(&member);
                }
                _ => {}
            }
        }
        self.faults.push(Fault { at, what, members, to });
    }

    /// Ends every fault in force: heals the links, and continues, frees or starts the members concerned.
    fn end_all(&mut self, at: Duration) {
        self.add(at, FaultKind::Heal, Vec::new(), Vec::new());
        for (what, members) in [
            (FaultKind::Continue, self.stopped.clone()),
            (FaultKind::FreeDisk, self.full_disks.clone()),
            (FaultKind::Start, self.not_running.clone()),
        ] {
            if !members.is_empty() {
                self.add(at, what, members.into_iter().collect(), Vec::new());
            }
        }
    }
}

/// Draws faults at `count` random times from the script's seed. At some of these times, and after the last,
/// the faults in force are ended instead.
pub(crate) fn draw_faults(script: &Script, count: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(script.seed ^ 0x6472_6177);
    let member_count = script.members;
    let faults_end = script.time.mul_f64(FAULT_TIME_SHARE);
    let mut times: Vec<Duration> = (0..count).map(|_| faults_end.mul_f64(rng.random())).collect();
    times.sort_unstable();
    let mut drawn = DrawnFaults {
        not_running: BTreeSet::new(),
        stopped: BTreeSet::new(),
        full_disks: BTreeSet::new(),
        faults: Vec::new(),
    };
    for at in times {
        let (member, other) = (rng.random_range(0..member_count), rng.random_range(0..member_count));
        let is_running = !drawn.not_running.contains(&member) && !drawn.stopped.contains(&member);
        match rng.random_range(0..10) {
            0 | 1 if is_running => drawn.add(at, FaultKind::Kill, vec![member], Vec::new()),
            2 if is_running => drawn.add(at, FaultKind::Stop, vec![member], Vec::new()),
            3 if is_running => drawn.add(at, FaultKind::Term, vec![member], Vec::new()),
            4 => drawn.add(at, FaultKind::Split, vec![member], Vec::new()),
            5 if member != other => drawn.add(at, FaultKind::Split, vec![member, other], Vec::new()),
            6 if member != other => drawn.add(at, FaultKind::Cut, vec![member], vec![other]),
            7 if is_running && script.duties.is_some() => {
                drawn.add(at, FaultKind::FillDisk, vec![member], Vec::new())
            }
            _ => drawn.end_all(at),
        }
    }
    drawn.end_all(faults_end);
    drawn.faults
}

#[cfg(test)]
#[path = "draw_tests.rs"]
mod tests;
