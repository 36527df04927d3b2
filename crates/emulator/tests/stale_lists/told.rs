//! When a process counts as told that an upstream leaves, by the operators' pages alone. Nothing here knows what a
//! process believes.

use crate::schedule::{Schedule, SECOND};
use garnettally_model::Micros;

/// Whatever could be asked for counts as told so long after, whether it arrived or not.
const TOLD_AFTER: Micros = Micros(6 * SECOND);

/// What a silent watch misses counts as told so long after it fell silent, whether or not the service could be reached.
const TOLD_AFTER_SILENCE: Micros = Micros(6 * SECOND);

/// `DrainGraceUs` of the settings, and what the page on sockets adds to each limit.
const GRACE: Micros = Micros(500_000 + 50_000);

/// A watch that fell silent, until its process gave it up.
#[derive(Clone, Copy)]
struct SilentWatch {
    from: Micros,
    until: Option<Micros>,
}

/// What one process was told, and what it could have asked for.
pub struct Notifications {
    silent: Vec<SilentWatch>,
    /// By departure: when the service wrote it to the process.
    written: Vec<Option<Micros>>,
}

/// Why a departure was binding when a request went to its upstream all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ground {
    /// It had been written to the process.
    Written,
    /// A watch of the process had been silent for too long.
    Silence,
    /// The service could have been asked for long enough.
    Reachable,
}

impl Notifications {
    pub fn new(departures: usize) -> Notifications {
        Notifications { silent: Vec::new(), written: vec![None; departures] }
    }

    /// The process starts anew; what its last list said is told from its start on.
    pub fn restart(&mut self, now: Micros) {
        self.silent.clear();
        self.written.iter_mut().flatten().for_each(|at| *at = now);
    }

    pub fn watch_fell_silent(&mut self, now: Micros) {
        self.silent.push(SilentWatch { from: now, until: None });
    }

    pub fn watch_given_up(&mut self, now: Micros) {
        self.silent.iter_mut().filter(|s| s.until.is_none()).for_each(|s| s.until = Some(now));
    }

    pub fn wrote(&mut self, departure: usize, now: Micros) {
        self.written[departure].get_or_insert(now);
    }

    pub fn is_written(&self, departure: usize) -> bool {
        self.written[departure].is_some()
    }

    /// From when on a departure binds, the grace included, and why.
    pub fn binds_from(&self, schedule: &Schedule, departure: usize) -> (Micros, Ground) {
        let since = schedule.departures[departure].at;
        // A process that starts later is told no later.
        let reachable = reachable_for(schedule, since, TOLD_AFTER);
        let missed = |s: &&SilentWatch| s.from <= since && s.until.is_none_or(|until| since < until);
        let silence = self.silent.iter().find(missed);
        let silence = silence.map(|s| (s.from + TOLD_AFTER_SILENCE).max(since));
        let grounds = [
            (self.written[departure], Ground::Written),
            (silence, Ground::Silence),
            (Some(reachable), Ground::Reachable),
        ];
        let told = grounds.into_iter().filter_map(|(at, ground)| at.map(|at| (at, ground)));
        let (at, ground) = told.min().unwrap_or((reachable, Ground::Reachable));
        (at + GRACE, ground)
    }
}

/// When the service has been up for so long on end, after this time.
fn reachable_for(schedule: &Schedule, since: Micros, span: Micros) -> Micros {
    let mut from = since;
    for outage in &schedule.outages {
        if outage.from < from + span && from < outage.until {
            from = outage.until;
        }
    }
    from + span
}
