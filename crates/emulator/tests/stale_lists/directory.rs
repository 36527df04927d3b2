//! The discovery service: the versions of the list, and the outcomes of calls.

use crate::schedule::{AnswerForm, FailureMode, Schedule, SECOND};
use garnettally_emulator::registry::{CallOutcome, RegistryLimits, RegistryQueue};
use garnettally_model::{CallFailure, HostList, ListedState, Listing, Micros};

/// The limits as measured on a service that some hundred processes shared.
pub const LIMITS: RegistryLimits = RegistryLimits {
    lines_per_second: 1_609.0,
    call_lines: 30,
    max_wait: Micros(2 * SECOND),
    max_backlog: Micros(5 * SECOND),
};

/// The lines of an answer of either form, as measured when little has changed.
pub const ANSWER_LINES: u32 = 5;

/// The processing time of a call at the service, in microseconds.
pub const CALL_TIME_US: f64 = (LIMITS.call_lines + ANSWER_LINES) as f64 / LIMITS.lines_per_second * 1e6;

/// The time-out for opening a connection (`Limits::discovery_connect`).
const CONNECT_TIMEOUT: Micros = Micros(SECOND);

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Answered { at: Micros },
    Failed { at: Micros, failure: CallFailure },
}

pub struct Directory {
    queue: RegistryQueue,
}

/// The name of an upstream; [`number_of`] is the inverse.
pub fn name_of(upstream: usize) -> String {
    format!("upstream-{upstream}")
}

pub fn number_of(name: &str) -> usize {
    name.rsplit('-').next().and_then(|n| n.parse().ok()).expect("names of upstreams end in their number")
}

fn entry(upstream: usize, state: ListedState) -> (Listing, Option<std::net::SocketAddr>) {
    let name = name_of(upstream);
    let listing = Listing { name, zone: None, kind: None, cell: 0, state, units: 1.0, started_at: None };
    (listing, None)
}

impl Directory {
    pub fn new(schedule: &Schedule) -> Directory {
        let mut queue = RegistryQueue::new(LIMITS);
        schedule.outages.iter().for_each(|o| queue.set_down(o.from, o.until));
        Directory { queue }
    }

    pub fn call(&mut self, schedule: &Schedule, now: Micros) -> CallEnd {
        match schedule.outage_at(now).map(|o| o.failure) {
            Some(FailureMode::RefusesAtOnce) => CallEnd::Failed { at: now, failure: CallFailure::Busy },
            Some(FailureMode::NoConnection) => {
                CallEnd::Failed { at: now, failure: CallFailure::NoConnection }
            }
            Some(FailureMode::Unreachable) => {
                CallEnd::Failed { at: now + CONNECT_TIMEOUT, failure: CallFailure::NoConnection }
            }
            Some(FailureMode::RefusesLate) | None => {
                match self.queue.call(now, schedule.answer_lines_at(now)) {
                    CallOutcome::Answered { at } => CallEnd::Answered { at },
                    CallOutcome::Refused { at } => CallEnd::Failed { at, failure: CallFailure::Busy },
                }
            }
        }
    }

    /// The list of a process that was notified of the departures for which `was_notified` is true, and of no
    /// others.
    pub fn known_list(schedule: &Schedule, was_notified: impl Fn(usize) -> bool) -> HostList {
        let state = |upstream: usize| {
            let departure = schedule.departures.iter().enumerate().find(|(_, d)| d.upstream == upstream);
            departure.filter(|(n, _)| was_notified(*n)).map_or(ListedState::Ready, |(_, d)| d.listed)
        };
        let listed = (0..schedule.upstreams).map(|u| entry(u, state(u)));
        HostList {
            seq: 0,
            whole: true,
            hosts: listed.filter(|(l, _)| l.state != ListedState::Removed).collect(),
        }
    }

    /// The answer at this time to a process that was notified of the departures for which `was_notified` is
    /// true.
    pub fn answer(schedule: &Schedule, now: Micros, was_notified: impl Fn(usize) -> bool) -> HostList {
        let past = schedule.departures.iter().enumerate().filter(|(_, d)| d.at <= now);
        match schedule.answers {
            AnswerForm::Changes => {
                let hosts = past.filter(|(n, _)| !was_notified(*n)).map(|(_, d)| entry(d.upstream, d.listed));
                HostList { seq: 0, whole: false, hosts: hosts.collect() }
            }
            AnswerForm::WholeList => {
                let departed: Vec<usize> = past.map(|(_, d)| d.upstream).collect();
                let remaining = (0..schedule.upstreams).filter(|u| !departed.contains(u));
                HostList {
                    seq: 0,
                    whole: true,
                    hosts: remaining.map(|u| entry(u, ListedState::Ready)).collect(),
                }
            }
        }
    }

    /// The line that a watch carries on a departure.
    pub fn change(schedule: &Schedule, departure: usize) -> HostList {
        let departure = &schedule.departures[departure];
        HostList { seq: 0, whole: false, hosts: vec![entry(departure.upstream, departure.listed)] }
    }
}
