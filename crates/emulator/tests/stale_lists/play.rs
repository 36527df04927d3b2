//! Plays a schedule: real instances of the decision module, a discovery service and upstreams in virtual time.

use crate::directory::{number_of, CallEnd, Directory};
use crate::schedule::{Departure, LeavingMode, Schedule, WatchLoss, SECOND};
use crate::told::{Ground, Notifications};
use garnettally_decisions::facade::{
    CallFailure, ClassId, Code, Decision, Decisions, ListFreshness, PickRequest, Report, RequestId, ServerId,
};
use garnettally_decisions::{Class, HostList, Micros, Names, Settings, Site};
use garnettally_emulator::draw::Stream;
use garnettally_emulator::events::Events;
use std::collections::BTreeMap;
use std::time::Duration;

/// Lines come on a watch so often, and a watch without a line for so long is given up (`Limits::discovery_silence`
/// for a grace of 0.5 s).
const LINE_EVERY: i64 = 2 * SECOND;
const SILENCE_MOST: Micros = Micros(3_500_000);

const PATIENCE: Micros = Micros(2 * SECOND);
const SERVICE_TIME: f64 = 40e3;
/// How long an upstream takes to turn a request or a connection away.
const TURNED_AWAY: Micros = Micros(1_000);

struct Watch {
    number: u64,
    silent: bool,
}

/// A request that has had no answer.
struct Pending {
    expires: Micros,
    attempts: u32,
}

struct Process {
    decisions: Decisions,
    random: Stream,
    rate: f64,
    /// Its empty lines come at this time of each round.
    line_phase: i64,
    /// Counts its starts: what belongs to an earlier one does not concern it.
    life: u32,
    wake_at: Option<Micros>,
    watch: Option<Watch>,
    /// When its last watch was opened.
    opened: Option<Micros>,
    told: Notifications,
    pending: BTreeMap<u64, Pending>,
    next_request: u64,
}

enum Happening {
    Wake { process: usize, life: u32 },
    Request { process: usize, life: u32 },
    AttemptEnds { process: usize, life: u32, request: u64, attempt: u32, code: Code, latency: Micros },
    CallEnds { process: usize, life: u32, end: CallEnd },
    WatchesLost { part: f64, how: WatchLoss },
    SilenceNoticed { process: usize, life: u32, watch: u64, silent_for: Micros },
    Departure { departure: usize },
    Kill { process: usize },
    Start { process: usize },
    OtherCall,
}

/// A request that went to an upstream after its departure had become binding.
#[derive(Clone, Copy, Debug)]
pub struct Breach {
    pub process: usize,
    pub late_by: Micros,
    pub ground: Ground,
    pub mode: LeavingMode,
    /// Whether the process had a watch that carried lines.
    pub watched: bool,
}

/// What came of a run.
pub struct Course {
    pub breaches: Vec<Breach>,
    pub asked: u64,
    pub served: u64,
    /// When processes had their watches, after the end of the last outage, in order; `None`: not until the end.
    pub watched_after: Vec<Option<Micros>>,
    pub calls: u64,
}

impl Course {
    pub fn breaking_processes(&self) -> usize {
        let mut all: Vec<usize> = self.breaches.iter().map(|b| b.process).collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// When this part of the processes had their watches.
    pub fn watched(&self, part: f64) -> Option<Micros> {
        let count = (part * self.watched_after.len() as f64).ceil() as usize;
        self.watched_after.get(count.max(1) - 1).copied().flatten()
    }

    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

pub struct Play<'a> {
    schedule: &'a Schedule,
    events: Events<Happening>,
    directory: Directory,
    processes: Vec<Process>,
    seeds: Stream,
    next_watch: u64,
    course: Course,
}

/// Plays a schedule to its end.
pub fn play(schedule: &Schedule) -> Course {
    let mut play = Play::new(schedule);
    while let Some(happening) = play.events.next(schedule.end) {
        play.take(happening);
    }
    play.finish()
}

fn start_module(schedule: &Schedule, process: usize, seed: u64, now: Micros, known: HostList) -> Decisions {
    let class = Class { aim: Micros(SECOND), deadline: PATIENCE, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        instances: schedule.told_instances,
        instance_index: process as u32 % schedule.told_instances.max(1),
        watch_on_request: true,
        ..Settings::default()
    };
    let names = Names::new(vec!["look".to_string()], Vec::new(), Vec::new(), Vec::new());
    let mut module = Decisions::new(Site { settings, names }, seed, now);
    module.report(now, Report::InitialList(known));
    module
}

impl<'a> Play<'a> {
    fn new(schedule: &'a Schedule) -> Play<'a> {
        let course =
            Course { breaches: Vec::new(), asked: 0, served: 0, watched_after: Vec::new(), calls: 0 };
        let mut play = Play {
            schedule,
            events: Events::default(),
            directory: Directory::new(schedule),
            processes: Vec::new(),
            seeds: Stream::new(schedule.seed, "processes", 0),
            next_watch: 0,
            course,
        };
        for process in 0..schedule.processes as usize {
            play.add_process(process);
        }
        play.schedule_troubles();
        play
    }

    fn add_process(&mut self, process: usize) {
        let known = Directory::list_held(self.schedule, |_| false);
        let (least, most) = self.schedule.request_rate;
        self.processes.push(Process {
            decisions: start_module(self.schedule, process, self.seeds.bits(), Micros(0), known),
            random: Stream::new(self.schedule.seed, "process", process as u64),
            rate: least + (most - least) * self.seeds.unit(),
            line_phase: (self.seeds.unit() * LINE_EVERY as f64) as i64,
            life: 0,
            wake_at: None,
            watch: None,
            opened: None,
            told: Notifications::new(self.schedule.departures.len()),
            pending: BTreeMap::new(),
            next_request: 0,
        });
        self.schedule_wake(process);
        self.schedule_request(process);
    }

    fn schedule_troubles(&mut self) {
        let schedule = self.schedule;
        for outage in &schedule.outages {
            self.events.at(outage.from, Happening::WatchesLost { part: 1.0, how: outage.watches });
        }
        for lost in &schedule.lost_watches {
            self.events.at(lost.at, Happening::WatchesLost { part: lost.part, how: lost.how });
        }
        for (departure, d) in schedule.departures.iter().enumerate() {
            self.events.at(d.at, Happening::Departure { departure });
        }
        for restart in &schedule.restarts {
            let process = restart.process;
            self.events.at(restart.killed, Happening::Kill { process });
            self.events.at(restart.starts, Happening::Start { process });
        }
        if let Some(others) = schedule.other_calls {
            self.events.at(others.from, Happening::OtherCall);
        }
    }

    fn now(&self) -> Micros {
        self.events.now()
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Wake { process, life } if self.lives(process, life) => self.wake(process),
            Happening::Request { process, life } if self.lives(process, life) => self.request(process),
            Happening::AttemptEnds { process, life, request, attempt, code, latency }
                if self.lives(process, life) =>
            {
                self.attempt_ends(process, request, attempt, code, latency);
            }
            Happening::CallEnds { process, life, end } if self.lives(process, life) => {
                self.call_ends(process, end);
            }
            Happening::WatchesLost { part, how } => self.lose_watches(part, how),
            Happening::SilenceNoticed { process, life, watch, silent_for } if self.lives(process, life) => {
                self.notice_silence(process, watch, silent_for);
            }
            Happening::Departure { departure } => self.tell_of(departure),
            Happening::Kill { process } => self.kill(process),
            Happening::Start { process } => self.start_again(process),
            Happening::OtherCall => self.other_call(),
            _ => {}
        }
    }

    fn lives(&self, process: usize, life: u32) -> bool {
        self.processes[process].life == life
    }

    // ---- requests ----

    fn schedule_request(&mut self, process: usize) {
        let p = &mut self.processes[process];
        let wait = Micros(p.random.exponential(1e6 / p.rate) as i64);
        let life = p.life;
        self.events.after(wait, Happening::Request { process, life });
    }

    fn request(&mut self, process: usize) {
        let now = self.now();
        self.schedule_request(process);
        let p = &mut self.processes[process];
        let report = p.decisions.list_report(now);
        if report.is_some_and(|r| r.freshness == ListFreshness::Unverified && !r.is_started) {
            // It is not ready, and gets no requests.
            return;
        }
        self.course.asked += 1;
        p.next_request += 1;
        let request = p.next_request;
        let expires = now + PATIENCE;
        p.pending.insert(request, Pending { expires, attempts: 0 });
        let decisions = p.decisions.pick(
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
        self.follow(process, decisions);
    }

    fn send(&mut self, process: usize, request: u64, to: ServerId, timeout: Duration) {
        let now = self.now();
        let upstream = number_of(self.processes[process].decisions.upstream_name(to));
        let departure = self.schedule.departures.iter().position(|d| d.upstream == upstream && d.at <= now);
        let left = departure.map(|n| (n, self.schedule.departures[n]));
        if let Some((number, departure)) = left {
            self.check(process, number, departure);
        }
        let p = &mut self.processes[process];
        let Some(pending) = p.pending.get_mut(&request) else { panic!("sent after its end: {request}") };
        let attempt = pending.attempts;
        pending.attempts += 1;
        let served = Micros(p.random.exponential(SERVICE_TIME) as i64);
        let (code, latency) = match left.map(|(_, d)| d.mode) {
            None | Some(LeavingMode::GoesOnServing) => (Code::Ok, served),
            Some(LeavingMode::Declines) => (Code::Full, TURNED_AWAY),
            Some(LeavingMode::Unreachable) => (Code::ConnectFailed, TURNED_AWAY),
        };
        let timeout = Micros(timeout.as_micros() as i64);
        let (code, latency) = if latency > timeout { (Code::Timeout, timeout) } else { (code, latency) };
        let life = p.life;
        let ends = Happening::AttemptEnds { process, life, request, attempt, code, latency };
        self.events.after(latency, ends);
    }

    /// Nothing new goes to an upstream once its departure binds.
    fn check(&mut self, process: usize, number: usize, departure: Departure) {
        let now = self.now();
        let p = &self.processes[process];
        let (binds, ground) = p.told.binds_from(self.schedule, number);
        if now > binds {
            let watched = p.watch.as_ref().is_some_and(|w| !w.silent);
            let late_by = now - binds;
            self.course.breaches.push(Breach { process, late_by, ground, mode: departure.mode, watched });
        }
    }

    fn attempt_ends(&mut self, process: usize, request: u64, attempt: u32, code: Code, latency: Micros) {
        let now = self.now();
        let p = &mut self.processes[process];
        let is_first_answer =
            code == Code::Ok && p.pending.remove(&request).is_some_and(|r| now <= r.expires);
        self.course.served += u64::from(is_first_answer);
        let answered = !p.pending.contains_key(&request);
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
            self.follow(process, decisions);
        }
    }

    fn report(&mut self, process: usize, report: Report) {
        let now = self.now();
        let decisions = self.processes[process].decisions.report(now, report);
        self.follow(process, decisions);
    }

    fn follow(&mut self, process: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    self.send(process, request.0, upstream, timeout);
                }
                Decision::Refuse { request, .. } | Decision::Fail(request) => {
                    self.processes[process].pending.remove(&request.0);
                }
                Decision::Watch => self.ask(process),
                Decision::Wait(_) | Decision::Cancel { .. } | Decision::Log(_) => {}
            }
        }
        self.schedule_wake(process);
    }

    fn schedule_wake(&mut self, process: usize) {
        let now = self.now();
        let p = &mut self.processes[process];
        let next = p.decisions.next_tick().map(|at| at.max(now));
        if next != p.wake_at {
            p.wake_at = next;
            let life = p.life;
            next.into_iter().for_each(|at| self.events.at(at, Happening::Wake { process, life }));
        }
    }

    // ---- discovery ----

    fn ask(&mut self, process: usize) {
        if self.processes[process].watch.is_some() {
            let unchanged = HostList { seq: 0, whole: false, hosts: Vec::new() };
            return self.report(process, Report::List(unchanged));
        }
        self.course.calls += 1;
        let end = self.directory.call(self.schedule, self.now());
        let (CallEnd::Answered { at } | CallEnd::Failed { at, .. }) = end;
        let life = self.processes[process].life;
        self.events.at(at, Happening::CallEnds { process, life, end });
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
        let p = &mut self.processes[process];
        p.watch = Some(Watch { number: self.next_watch, silent: false });
        p.opened = Some(now);
        let list = Directory::answer(schedule, now, |departure| p.told.is_written(departure));
        for (departure, _) in schedule.departures.iter().enumerate().filter(|(_, d)| d.at <= now) {
            p.told.wrote(departure, now);
        }
        self.report(process, Report::List(list));
    }

    fn tell_of(&mut self, departure: usize) {
        let now = self.now();
        for process in 0..self.processes.len() {
            let p = &mut self.processes[process];
            if p.watch.as_ref().is_some_and(|w| !w.silent) {
                p.told.wrote(departure, now);
                self.report(process, Report::List(Directory::change(self.schedule, departure)));
            }
        }
    }

    fn lose_watches(&mut self, part: f64, how: WatchLoss) {
        for process in 0..self.processes.len() {
            if self.seeds.chance(part) && self.processes[process].watch.is_some() {
                match how {
                    WatchLoss::Ended => self.end_watch(process, Micros(0), CallFailure::WatchBroken),
                    WatchLoss::Silent => self.silence_watch(process),
                }
            }
        }
    }

    fn end_watch(&mut self, process: usize, silent: Micros, failure: CallFailure) {
        let now = self.now();
        let p = &mut self.processes[process];
        (p.watch, p.opened) = (None, None);
        p.told.watch_given_up(now);
        let silent = Duration::from_micros(silent.0 as u64);
        self.report(process, Report::WatchFailed { incomplete_for: silent, failure });
    }

    fn silence_watch(&mut self, process: usize) {
        let now = self.now();
        let p = &mut self.processes[process];
        let Some(watch) = p.watch.as_mut().filter(|w| !w.silent) else { return };
        watch.silent = true;
        p.told.watch_fell_silent(now);
        let since_line = (now.0 - p.line_phase).rem_euclid(LINE_EVERY);
        let (life, watch) = (p.life, watch.number);
        let at = now + Micros(SILENCE_MOST.0 - since_line);
        self.events.at(at, Happening::SilenceNoticed { process, life, watch, silent_for: SILENCE_MOST });
    }

    fn notice_silence(&mut self, process: usize, watch: u64, silent_for: Micros) {
        if self.processes[process].watch.as_ref().is_some_and(|w| w.number == watch) {
            self.end_watch(process, silent_for, CallFailure::WatchSilent);
        }
    }

    fn kill(&mut self, process: usize) {
        let now = self.now();
        let p = &mut self.processes[process];
        p.life += 1;
        (p.wake_at, p.watch, p.opened) = (None, None, None);
        p.told.watch_given_up(now);
        // Requests of a killed process are for its clients to repeat.
        self.course.asked -= p.pending.len() as u64;
        p.pending.clear();
    }

    /// Starts a killed process with the list that it held.
    fn start_again(&mut self, process: usize) {
        let (now, seed) = (self.now(), self.seeds.bits());
        let p = &mut self.processes[process];
        let known = Directory::list_held(self.schedule, |departure| p.told.is_written(departure));
        p.decisions = start_module(self.schedule, process, seed, now, known);
        p.told.restart(now);
        self.schedule_wake(process);
        self.schedule_request(process);
    }

    fn other_call(&mut self) {
        let (now, schedule) = (self.now(), self.schedule);
        let Some(others) = schedule.other_calls.filter(|o| now < o.until) else { return };
        self.directory.call(schedule, now);
        let wait = Micros(self.seeds.exponential(1e6 / others.per_second) as i64);
        self.events.after(wait, Happening::OtherCall);
    }

    fn finish(mut self) -> Course {
        let lost = self.schedule.lost_watches.iter().map(|l| l.at);
        let over = self.schedule.outages.iter().map(|o| o.until).chain(lost).max().unwrap_or_default();
        let times = self.processes.iter().map(|p| p.opened.map(|at| (at - over).max(Micros(0))));
        let mut times: Vec<Option<Micros>> = times.collect();
        times.sort_by_key(|t| t.map_or(i64::MAX, |t| t.0));
        self.course.watched_after = times;
        self.course
    }
}
