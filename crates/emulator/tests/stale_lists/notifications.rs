//! Computes when a process counts as notified that an upstream leaves, by the operators' pages alone. The
//! state of the process is not used.

use crate::schedule::{Schedule, SECOND};
use garnettally_model::Micros;

/// A process counts as notified of a change once the service could have been called for this long, whether
/// the change arrived or not.
const NOTIFIED_AFTER: Micros = Micros(6 * SECOND);

/// A process counts as notified of the changes that a stalled watch misses this long after the watch stalled,
/// whether or not the service could be reached.
const NOTIFIED_AFTER_STALL: Micros = Micros(6 * SECOND);

/// `DrainGraceUs` of the settings (500 ms), and the 50 ms that the page on sockets adds to each limit.
const GRACE: Micros = Micros(500_000 + 50_000);

/// The time from which a watch carried no data until its process gave it up.
#[derive(Clone, Copy)]
struct StalledWatch {
    from: Micros,
    until: Option<Micros>,
}

/// The notifications that one process received, and those for which it could have called the service.
pub struct Notifications {
    stalled: Vec<StalledWatch>,
    /// By departure: when the service wrote the change to the process.
    written: Vec<Option<Micros>>,
}

/// The reason why a departure was binding when a request was sent to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BindingReason {
    /// The service had written the departure to the process.
    Written,
    /// A watch of the process had carried no data for too long.
    StalledWatch,
    /// The service could have been called for long enough.
    Reachable,
}

impl Notifications {
    pub fn new(departures: usize) -> Notifications {
        Notifications { stalled: Vec::new(), written: vec![None; departures] }
    }

    /// Records a restart: the process counts as notified of the changes in its last list from the restart on.
    pub fn restart(&mut self, now: Micros) {
        self.stalled.clear();
        self.written.iter_mut().flatten().for_each(|at| *at = now);
    }

    pub fn watch_stalled(&mut self, now: Micros) {
        self.stalled.push(StalledWatch { from: now, until: None });
    }

    pub fn watch_given_up(&mut self, now: Micros) {
        self.stalled.iter_mut().filter(|s| s.until.is_none()).for_each(|s| s.until = Some(now));
    }

    pub fn record_written(&mut self, departure: usize, now: Micros) {
        self.written[departure].get_or_insert(now);
    }

    pub fn is_written(&self, departure: usize) -> bool {
        self.written[departure].is_some()
    }

    /// The time from which a departure is binding, including the grace, and the reason.
    pub fn binds_from(&self, schedule: &Schedule, departure: usize) -> (Micros, BindingReason) {
        let since = schedule.departures[departure].at;
        // A later start of the process does not postpone this.
        let reachable = reachable_for(schedule, since, NOTIFIED_AFTER);
        let missed = |s: &&StalledWatch| s.from <= since && s.until.is_none_or(|until| since < until);
        let stall = self.stalled.iter().find(missed);
        let stall = stall.map(|s| (s.from + NOTIFIED_AFTER_STALL).max(since));
        let candidates = [
            (self.written[departure], BindingReason::Written),
            (stall, BindingReason::StalledWatch),
            (Some(reachable), BindingReason::Reachable),
        ];
        let times = candidates.into_iter().filter_map(|(at, reason)| at.map(|at| (at, reason)));
        let (at, reason) = times.min().unwrap_or((reachable, BindingReason::Reachable));
        (at + GRACE, reason)
    }
}

/// The first time after `since` at which the service has been up for `span` without interruption.
fn reachable_for(schedule: &Schedule, since: Micros, span: Micros) -> Micros {
    let mut from = since;
    for outage in &schedule.outages {
        if outage.from < from + span && from < outage.until {
            from = outage.until;
        }
    }
    from + span
}
