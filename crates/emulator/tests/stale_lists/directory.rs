//! The discovery service: versions of the list, and what becomes of a call.

use crate::schedule::{AnswerForm, FailureMode, Schedule, SECOND};
use garnettally_emulator::registry::{RegistryLimits, RegistryQueue, Verdict};
use garnettally_model::{CallFailure, HostList, ListedState, Listing, Micros};

/// As measured on a service that some hundred processes shared.
pub const LIMITS: RegistryLimits = RegistryLimits {
    lines_per_second: 1_609.0,
    call_lines: 30,
    wait_most: Micros(2 * SECOND),
    backlog_most: Micros(5 * SECOND),
};

/// Lines of an answer, whatever its form: as measured when little has changed.
pub const ANSWER_LINES: u32 = 5;

/// What a call takes of the service's time, in microseconds.
pub const CALL_TIME: f64 = (LIMITS.call_lines + ANSWER_LINES) as f64 / LIMITS.lines_per_second * 1e6;

/// A connection that does not come up is given up after this (`Limits::discovery_connect`).
const CONNECT_TIMEOUT: Micros = Micros(SECOND);

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Answered { at: Micros },
    Failed { at: Micros, failure: CallFailure },
}

pub struct Directory {
    queue: RegistryQueue,
}

/// The name of an upstream, and back.
pub fn name_of(upstream: usize) -> String {
    format!("upstream-{upstream}")
}

pub fn number_of(name: &str) -> usize {
    name.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a name of this bed")
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
                    Verdict::Answered { at } => CallEnd::Answered { at },
                    Verdict::Refused { at } => CallEnd::Failed { at, failure: CallFailure::Busy },
                }
            }
        }
    }

    /// The list of a process that was told of these departures and no others.
    pub fn list_held(schedule: &Schedule, is_told: impl Fn(usize) -> bool) -> HostList {
        let state = |upstream: usize| {
            let departure = schedule.departures.iter().enumerate().find(|(_, d)| d.upstream == upstream);
            departure.filter(|(n, _)| is_told(*n)).map_or(ListedState::Ready, |(_, d)| d.listed)
        };
        let listed = (0..schedule.upstreams).map(|u| entry(u, state(u)));
        HostList {
            seq: 0,
            whole: true,
            hosts: listed.filter(|(l, _)| l.state != ListedState::Removed).collect(),
        }
    }

    /// What is written to a process that was told of what `is_told` says, at this time.
    pub fn answer(schedule: &Schedule, now: Micros, is_told: impl Fn(usize) -> bool) -> HostList {
        let past = schedule.departures.iter().enumerate().filter(|(_, d)| d.at <= now);
        match schedule.answers {
            AnswerForm::Changes => {
                let hosts = past.filter(|(n, _)| !is_told(*n)).map(|(_, d)| entry(d.upstream, d.listed));
                HostList { seq: 0, whole: false, hosts: hosts.collect() }
            }
            AnswerForm::WholeList => {
                let left: Vec<usize> = past.map(|(_, d)| d.upstream).collect();
                let stay = (0..schedule.upstreams).filter(|u| !left.contains(u));
                HostList { seq: 0, whole: true, hosts: stay.map(|u| entry(u, ListedState::Ready)).collect() }
            }
        }
    }

    /// The line on one departure.
    pub fn change(schedule: &Schedule, departure: usize) -> HostList {
        let d = &schedule.departures[departure];
        HostList { seq: 0, whole: false, hosts: vec![entry(d.upstream, d.listed)] }
    }
}
