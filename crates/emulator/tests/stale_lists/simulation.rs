//! Runs a schedule with real instances of the decision module, a discovery service and upstreams in virtual
//! time.

use crate::directory::{number_of, CallEnd, Directory};
use crate::notifications::{BindingReason, Notifications};
use crate::schedule::{Departure, LeavingMode, Schedule, WatchLoss, SECOND};
use garnettally_decisions::facade::{
    CallFailure, ClassId, Code, Decision, Decisions, ListFreshness, PickRequest, Report, RequestId, ServerId,
};
use garnettally_decisions::{Class, HostList, Micros, Names, Settings, Site};
use garnettally_emulator::draw::RandomStream;
use garnettally_emulator::events::Events;
use std::collections::BTreeMap;
use std::time::Duration;

/// The interval of lines on a watch, in microseconds.
const LINE_EVERY: i64 = 2 * SECOND;
/// The time without a line after which a process gives up a watch (`Limits::discovery_silence` for a grace of
/// 0.5 s).
const STALL_TIMEOUT: Micros = Micros(3_500_000);

/// The deadline of a request.
const DEADLINE: Micros = Micros(2 * SECOND);
/// The mean time that an upstream takes to serve a request, in microseconds.
const SERVICE_TIME_US: f64 = 40e3;
/// The time that an upstream takes to reject a request or a connection.
const REJECTION_TIME: Micros = Micros(1_000);

struct Watch {
    number: u64,
    stalled: bool,
}

/// A request without an answer.
struct Pending {
    expires: Micros,
    attempts: u32,
}

struct Process {
    decisions: Decisions,
    random: RandomStream,
    rate: f64,
    /// The offset of the process's empty lines within each interval.
    line_phase: i64,
    /// The number of kills. Events of an earlier start are ignored.
    life: u32,
    wake_at: Option<Micros>,
    watch: Option<Watch>,
    /// When the current watch was opened.
    watch_opened_at: Option<Micros>,
    notifications: Notifications,
    pending: BTreeMap<u64, Pending>,
    next_request: u64,
}

enum Event {
    Wake { process: usize, life: u32 },
    Request { process: usize, life: u32 },
    AttemptEnds { process: usize, life: u32, request: u64, attempt: u32, code: Code, latency: Micros },
    CallEnds { process: usize, life: u32, end: CallEnd },
    WatchesLost { part: f64, loss: WatchLoss },
    StallDetected { process: usize, life: u32, watch: u64, stalled_for: Micros },
    Departure { departure: usize },
    Kill { process: usize },
    Start { process: usize },
    OtherCall,
}

/// An attempt that was sent to an upstream after the upstream's departure had become binding.
#[derive(Clone, Copy, Debug)]
pub struct Breach {
    pub process: usize,
    pub late_by: Micros,
    pub reason: BindingReason,
    pub mode: LeavingMode,
    /// Whether the process had a watch that was not stalled.
    pub watched: bool,
}

/// The results of a run.
pub struct RunResult {
    pub breaches: Vec<Breach>,
    pub asked: u64,
    pub served: u64,
    /// The times from the end of the last fault until the processes had their watches, in ascending order;
    /// `None`: a process had none at the end of the run.
    pub watched_after: Vec<Option<Micros>>,
    pub calls: u64,
}

impl RunResult {
    pub fn breaking_processes(&self) -> usize {
        let mut all: Vec<usize> = self.breaches.iter().map(|b| b.process).collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// When this part of the processes had their watches; `None`: not until the end of the run.
    pub fn watched(&self, part: f64) -> Option<Micros> {
        let count = (part * self.watched_after.len() as f64).ceil() as usize;
        self.watched_after.get(count.max(1) - 1).copied().flatten()
    }

    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

pub struct Simulation<'a> {
    schedule: &'a Schedule,
    events: Events<Event>,
    directory: Directory,
    processes: Vec<Process>,
    seeds: RandomStream,
    next_watch: u64,
    result: RunResult,
}

/// Runs a schedule to its end.
pub fn run_schedule(schedule: &Schedule) -> RunResult {
    let mut simulation = Simulation::new(schedule);
    while let Some(event) = simulation.events.next_before(schedule.end) {
        simulation.handle_event(event);
    }
    simulation.finish()
}

fn start_module(schedule: &Schedule, process: usize, seed: u64, now: Micros, known: HostList) -> Decisions {
    let class = Class { aim: Micros(SECOND), deadline: DEADLINE, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        instances: schedule.configured_instances,
        instance_index: process as u32 % schedule.configured_instances.max(1),
        watch_on_request: true,
        ..Settings::default()
    };
    let names = Names::new(vec!["look".to_string()], Vec::new(), Vec::new(), Vec::new());
    let mut module = Decisions::new(Site { settings, names }, seed, now);
    module.report(now, Report::InitialList(known));
    module
}

impl<'a> Simulation<'a> {
    fn new(schedule: &'a Schedule) -> Simulation<'a> {
        let result =
            RunResult { breaches: Vec::new(), asked: 0, served: 0, watched_after: Vec::new(), calls: 0 };
        let mut simulation = Simulation {
            schedule,
            events: Events::default(),
            directory: Directory::new(schedule),
            processes: Vec::new(),
            seeds: RandomStream::new(schedule.seed, "processes", 0),
            next_watch: 0,
            result,
        };
        for process in 0..schedule.processes as usize {
            simulation.add_process(process);
        }
        simulation.schedule_faults();
        simulation
    }

    fn add_process(&mut self, process: usize) {
        let known = Directory::known_list(self.schedule, |_| false);
        let (least, most) = self.schedule.request_rate;
        self.processes.push(Process {
            decisions: start_module(self.schedule, process, self.seeds.bits(), Micros(0), known),
            random: RandomStream::new(self.schedule.seed, "process", process as u64),
            rate: least + (most - least) * self.seeds.unit(),
            line_phase: (self.seeds.unit() * LINE_EVERY as f64) as i64,
            life: 0,
            wake_at: None,
            watch: None,
            watch_opened_at: None,
            notifications: Notifications::new(self.schedule.departures.len()),
            pending: BTreeMap::new(),
            next_request: 0,
        });
        self.schedule_wake(process);
        self.schedule_request(process);
    }

    fn schedule_faults(&mut self) {
        let schedule = self.schedule;
        for outage in &schedule.outages {
            self.events.schedule_at(outage.from, Event::WatchesLost { part: 1.0, loss: outage.watches });
        }
        for lost in &schedule.lost_watches {
            self.events.schedule_at(lost.at, Event::WatchesLost { part: lost.part, loss: lost.loss });
        }
        for (departure, d) in schedule.departures.iter().enumerate() {
            self.events.schedule_at(d.at, Event::Departure { departure });
        }
        for restart in &schedule.restarts {
            let process = restart.process;
            self.events.schedule_at(restart.killed, Event::Kill { process });
            self.events.schedule_at(restart.starts, Event::Start { process });
        }
        if let Some(others) = schedule.other_calls {
            self.events.schedule_at(others.from, Event::OtherCall);
        }
    }

    fn now(&self) -> Micros {
        self.events.now()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake { process, life } if self.is_current(process, life) => self.wake(process),
            Event::Request { process, life } if self.is_current(process, life) => self.request(process),
            Event::AttemptEnds { process, life, request, attempt, code, latency }
                if self.is_current(process, life) =>
            {
                self.attempt_ends(process, request, attempt, code, latency);
            }
            Event::CallEnds { process, life, end } if self.is_current(process, life) => {
                self.call_ends(process, end);
            }
            Event::WatchesLost { part, loss } => self.lose_watches(part, loss),
            Event::StallDetected { process, life, watch, stalled_for } if self.is_current(process, life) => {
                self.detect_stall(process, watch, stalled_for);
            }
            Event::Departure { departure } => self.announce_departure(departure),
            Event::Kill { process } => self.kill(process),
            Event::Start { process } => self.start_again(process),
            Event::OtherCall => self.other_call(),
            _ => {}
        }
    }

    fn is_current(&self, process: usize, life: u32) -> bool {
        self.processes[process].life == life
    }

    // ---- requests ----

    fn schedule_request(&mut self, process: usize) {
        let state = &mut self.processes[process];
        let wait = Micros(state.random.exponential(1e6 / state.rate) as i64);
        let life = state.life;
        self.events.schedule_after(wait, Event::Request { process, life });
    }

    fn request(&mut self, process: usize) {
        let now = self.now();
        self.schedule_request(process);
        let state = &mut self.processes[process];
        let report = state.decisions.list_report(now);
        if report.is_some_and(|r| r.freshness == ListFreshness::Unverified && !r.is_started) {
            // The process is not ready, and gets no requests.
            return;
        }
        self.result.asked += 1;
        state.next_request += 1;
        let request = state.next_request;
        let expires = now + DEADLINE;
        state.pending.insert(request, Pending { expires, attempts: 0 });
        let decisions = state.decisions.pick(
            now,
            PickRequest {
                request: RequestId(request),
                class: ClassId(0),
                tenant: None,
                expires,
                cost: None,
                repeat: false,
                key: None,
            },
        );
        self.execute_decisions(process, decisions);
    }

    fn send(&mut self, process: usize, request: u64, to: ServerId, timeout: Duration) {
        let now = self.now();
        let upstream = number_of(self.processes[process].decisions.upstream_name(to));
        let departure = self.schedule.departures.iter().position(|d| d.upstream == upstream && d.at <= now);
        let departed = departure.map(|n| (n, self.schedule.departures[n]));
        if let Some((number, departure)) = departed {
            self.check_departure(process, number, departure);
        }
        let state = &mut self.processes[process];
        let Some(pending) = state.pending.get_mut(&request) else {
            panic!("request {request} was sent after its end")
        };
        let attempt = pending.attempts;
        pending.attempts += 1;
        let served = Micros(state.random.exponential(SERVICE_TIME_US) as i64);
        let (code, latency) = match departed.map(|(_, d)| d.mode) {
            None | Some(LeavingMode::GoesOnServing) => (Code::Ok, served),
            Some(LeavingMode::Declines) => (Code::Full, REJECTION_TIME),
            Some(LeavingMode::Unreachable) => (Code::ConnectFailed, REJECTION_TIME),
        };
        let timeout = Micros(timeout.as_micros() as i64);
        let (code, latency) = if latency > timeout { (Code::Timeout, timeout) } else { (code, latency) };
        let life = state.life;
        let ends = Event::AttemptEnds { process, life, request, attempt, code, latency };
        self.events.schedule_after(latency, ends);
    }

    /// Records a breach if the departure of the upstream to which an attempt is sent is binding.
    fn check_departure(&mut self, process: usize, number: usize, departure: Departure) {
        let now = self.now();
        let state = &self.processes[process];
        let (binding_from, reason) = state.notifications.binds_from(self.schedule, number);
        if now > binding_from {
            let watched = state.watch.as_ref().is_some_and(|w| !w.stalled);
            let late_by = now - binding_from;
            self.result.breaches.push(Breach { process, late_by, reason, mode: departure.mode, watched });
        }
    }

    fn attempt_ends(&mut self, process: usize, request: u64, attempt: u32, code: Code, latency: Micros) {
        let now = self.now();
        let state = &mut self.processes[process];
        let is_first_answer =
            code == Code::Ok && state.pending.remove(&request).is_some_and(|r| now <= r.expires);
        self.result.served += u64::from(is_first_answer);
        let answered = !state.pending.contains_key(&request);
        let latency = Duration::from_micros(latency.0 as u64);
        let request = RequestId(request);
        let report = Report::Ended {
            request,
            attempt,
            code,
            latency,
            local_delay: Duration::ZERO,
            upstream_in_flight: None,
            answered,
        };
        self.report(process, report);
    }

    // ---- the module ----

    fn wake(&mut self, process: usize) {
        let now = self.now();
        if self.processes[process].wake_at == Some(now) {
            self.processes[process].wake_at = None;
            let decisions = self.processes[process].decisions.tick(now);
            self.execute_decisions(process, decisions);
        }
    }

    fn report(&mut self, process: usize, report: Report) {
        let now = self.now();
        let decisions = self.processes[process].decisions.report(now, report);
        self.execute_decisions(process, decisions);
    }

    fn execute_decisions(&mut self, process: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    self.send(process, request.0, upstream, timeout);
                }
                Decision::Refuse { request, .. } | Decision::Fail(request) => {
                    self.processes[process].pending.remove(&request.0);
                }
                Decision::Watch => self.call_discovery(process),
                Decision::Wait(_) | Decision::Cancel { .. } | Decision::Commit { .. } | Decision::Log(_) => {}
            }
        }
        self.schedule_wake(process);
    }

    fn schedule_wake(&mut self, process: usize) {
        let now = self.now();
        let state = &mut self.processes[process];
        let next = state.decisions.next_tick().map(|at| at.max(now));
        if next != state.wake_at {
            state.wake_at = next;
            let life = state.life;
            next.into_iter().for_each(|at| self.events.schedule_at(at, Event::Wake { process, life }));
        }
    }

    // ---- discovery ----

    fn call_discovery(&mut self, process: usize) {
        if self.processes[process].watch.is_some() {
            let unchanged = HostList { seq: 0, whole: false, hosts: Vec::new() };
            return self.report(process, Report::List(unchanged));
        }
        self.result.calls += 1;
        let end = self.directory.call(self.schedule, self.now());
        let (CallEnd::Answered { at } | CallEnd::Failed { at, .. }) = end;
        let life = self.processes[process].life;
        self.events.schedule_at(at, Event::CallEnds { process, life, end });
    }

    fn call_ends(&mut self, process: usize, end: CallEnd) {
        match end {
            CallEnd::Answered { .. } => self.open_watch(process),
            CallEnd::Failed { failure, .. } => {
                self.report(process, Report::WatchFailed { incomplete_for: Duration::ZERO, failure });
            }
        }
    }

    fn open_watch(&mut self, process: usize) {
        let (now, schedule) = (self.now(), self.schedule);
        self.next_watch += 1;
        let state = &mut self.processes[process];
        state.watch = Some(Watch { number: self.next_watch, stalled: false });
        state.watch_opened_at = Some(now);
        let list = Directory::answer(schedule, now, |departure| state.notifications.is_written(departure));
        for (departure, _) in schedule.departures.iter().enumerate().filter(|(_, d)| d.at <= now) {
            state.notifications.record_written(departure, now);
        }
        self.report(process, Report::List(list));
    }

    fn announce_departure(&mut self, departure: usize) {
        let now = self.now();
        for process in 0..self.processes.len() {
            let state = &mut self.processes[process];
            if state.watch.as_ref().is_some_and(|w| !w.stalled) {
                state.notifications.record_written(departure, now);
                self.report(process, Report::List(Directory::change(self.schedule, departure)));
            }
        }
    }

    fn lose_watches(&mut self, part: f64, loss: WatchLoss) {
        for process in 0..self.processes.len() {
            if self.seeds.chance(part) && self.processes[process].watch.is_some() {
                match loss {
                    WatchLoss::Ended => self.end_watch(process, Micros(0), CallFailure::WatchBroken),
                    WatchLoss::Stalled => self.stall_watch(process),
                }
            }
        }
    }

    fn end_watch(&mut self, process: usize, stalled_for: Micros, failure: CallFailure) {
        let now = self.now();
        let state = &mut self.processes[process];
        (state.watch, state.watch_opened_at) = (None, None);
        state.notifications.watch_given_up(now);
        let stalled_for = Duration::from_micros(stalled_for.0 as u64);
        self.report(process, Report::WatchFailed { incomplete_for: stalled_for, failure });
    }

    fn stall_watch(&mut self, process: usize) {
        let now = self.now();
        let state = &mut self.processes[process];
        let Some(watch) = state.watch.as_mut().filter(|w| !w.stalled) else { return };
        watch.stalled = true;
        state.notifications.watch_stalled(now);
        let since_line = (now.0 - state.line_phase).rem_euclid(LINE_EVERY);
        let (life, watch) = (state.life, watch.number);
        let at = now + Micros(STALL_TIMEOUT.0 - since_line);
        self.events
            .schedule_at(at, Event::StallDetected { process, life, watch, stalled_for: STALL_TIMEOUT });
    }

    fn detect_stall(&mut self, process: usize, watch: u64, stalled_for: Micros) {
        if self.processes[process].watch.as_ref().is_some_and(|w| w.number == watch) {
            self.end_watch(process, stalled_for, CallFailure::WatchSilent);
        }
    }

    fn kill(&mut self, process: usize) {
        let now = self.now();
        let state = &mut self.processes[process];
        state.life += 1;
        (state.wake_at, state.watch, state.watch_opened_at) = (None, None, None);
        state.notifications.watch_given_up(now);
        // Requests of a killed process are left out of the results: its clients have to repeat them.
        self.result.asked -= state.pending.len() as u64;
        state.pending.clear();
    }

    /// Starts a killed process with the list that it had before.
    fn start_again(&mut self, process: usize) {
        let (now, seed) = (self.now(), self.seeds.bits());
        let state = &mut self.processes[process];
        let known =
            Directory::known_list(self.schedule, |departure| state.notifications.is_written(departure));
        state.decisions = start_module(self.schedule, process, seed, now, known);
        state.notifications.restart(now);
        self.schedule_wake(process);
        self.schedule_request(process);
    }

    fn other_call(&mut self) {
        let (now, schedule) = (self.now(), self.schedule);
        let Some(others) = schedule.other_calls.filter(|o| now < o.until) else { return };
        self.directory.call(schedule, now);
        let wait = Micros(self.seeds.exponential(1e6 / others.per_second) as i64);
        self.events.schedule_after(wait, Event::OtherCall);
    }

    fn finish(mut self) -> RunResult {
        let lost = self.schedule.lost_watches.iter().map(|l| l.at);
        let faults_end = self.schedule.outages.iter().map(|o| o.until).chain(lost).max().unwrap_or_default();
        let times =
            self.processes.iter().map(|p| p.watch_opened_at.map(|at| (at - faults_end).max(Micros(0))));
        let mut times: Vec<Option<Micros>> = times.collect();
        times.sort_by_key(|t| t.map_or(i64::MAX, |t| t.0));
        self.result.watched_after = times;
        self.result
    }
}
