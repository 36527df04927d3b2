//! Tests in virtual time of cold upstreams that many instances send to: the sum of the requests that an
//! upstream gets from all instances after its start stays, in each window, below the amount that overloads
//! it.

use garnettally_decisions::facade::*;
use garnettally_decisions::Settings;
use garnettally_model::{Class, HostList, Listing, Names, Site};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

const SEEDS: u64 = 24;
const INSTANCES: usize = 25;
const UPSTREAMS: usize = 12;

/// The step in which time advances.
const STEP: Micros = Micros(5_000);
/// The time at which upstreams are removed from the list.
const LEAVE: Micros = Micros(8_000_000);
/// The time at which the removed upstreams return cold, and new upstreams and instances start.
const RETURN: Micros = Micros(10_000_000);
/// The time span of the burst.
const BURST: (Micros, Micros) = (Micros(11_000_000), Micros(17_000_000));
/// The end of a run.
const END: Micros = Micros(18_000_000);
/// The longest time until an instance receives a change of the list.
const MAX_LIST_DELAY_US: i64 = 300_000;

/// The capacity of an upstream at its start, as a share of its warm capacity.
const COLD_SHARE: f64 = 0.3;
/// The time from the start of an upstream until it is warm.
const RAMP: Micros = Micros(7_700_000);
/// The window over which too much work overloads a cold upstream.
const WINDOW: Micros = Micros(2_000_000);
/// The multiple of its present capacity at which a cold upstream is overloaded. Sites state 3; half of that
/// leaves room for other load.
const OVERLOAD_MULTIPLE: f64 = 1.5;
/// The aim and the deadline of all requests.
const DEADLINE: Micros = Micros(1_500_000);

/// The factor by which the burst raises the load.
const BURST_FACTOR: f64 = 1.5;

/// A test case: how the load and the starts of upstreams and instances are distributed.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// The average work of a request. An upstream works on one request at a time.
    mean_work: Micros,
    /// One instance in five gets this many times as many requests as each of the others.
    busy_factor: f64,
    /// The number of upstreams that are removed and return cold.
    returning: usize,
    /// The number of upstreams that start for the first time.
    new: usize,
    /// The number of instances that start at the same time as the cold upstreams.
    new_instances: usize,
    /// The load before the burst, as a share of the capacity of all upstreams.
    load: f64,
    /// Whether requests carry a cost hint.
    hints: bool,
    /// The speed of the cold upstreams, as a share of the others' speed.
    cold_speed: f64,
}

const EVEN: Case = Case {
    mean_work: Micros(40_000),
    busy_factor: 1.0,
    returning: 2,
    new: 1,
    new_instances: 0,
    load: 0.55,
    hints: true,
    cold_speed: 1.0,
};

/// An upstream. It serves one request at a time, in the order of their arrival.
struct Upstream {
    /// The speed, as a share of a usual upstream's speed.
    speed: f64,
    /// The time of its cold start; `None` if it was warm from the beginning.
    started: Option<Micros>,
    /// The time at which it will have served all requests that it has received.
    free_at: Micros,
    /// The arrivals in the present window, each with its time and its work in requests of mean work.
    window: VecDeque<(Micros, f64)>,
    /// The sum of the work in the present window.
    window_sum: f64,
    /// The largest sum of a window so far, as a share of the sum that overloads the upstream.
    peak_load: f64,
    /// All work received while cold, in requests of mean work.
    received: f64,
}

impl Upstream {
    fn new(speed: f64) -> Upstream {
        let window = VecDeque::new();
        Upstream {
            speed,
            started: None,
            free_at: Micros(0),
            window,
            window_sum: 0.0,
            peak_load: 0.0,
            received: 0.0,
        }
    }

    /// The present capacity, as a share of a usual warm upstream's capacity.
    fn capacity(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return self.speed };
        let age = (now - started).0 as f64 / RAMP.0 as f64;
        self.speed * (COLD_SHARE + (1.0 - COLD_SHARE) * age.clamp(0.0, 1.0))
    }

    /// Queues a request with the given work and returns the time of its answer.
    fn enqueue(&mut self, now: Micros, work: Micros, mean: Micros) -> Micros {
        if self.started.is_some_and(|started| now < started + RAMP) {
            self.count_arrival(now, work.0 as f64 / mean.0 as f64, mean);
        }
        let begins = self.free_at.max(now);
        self.free_at = begins + Micros((work.0 as f64 / self.capacity(begins)) as i64);
        self.free_at
    }

    /// Counts an arrival in the present window and updates the peak load.
    fn count_arrival(&mut self, now: Micros, requests: f64, mean: Micros) {
        self.window.push_back((now, requests));
        (self.window_sum, self.received) = (self.window_sum + requests, self.received + requests);
        while let Some(&(_, old)) = self.window.front().filter(|(at, _)| now - *at > WINDOW) {
            self.window.pop_front();
            self.window_sum -= old;
        }
        let allowed = OVERLOAD_MULTIPLE * self.capacity(now) * WINDOW.0 as f64 / mean.0 as f64;
        let overload = allowed + 2.0 * allowed.sqrt() + 2.0;
        self.peak_load = self.peak_load.max(self.window_sum / overload);
    }
}

/// An attempt in flight.
struct InFlight {
    instance: usize,
    sent: Micros,
    /// The code with which it ends, unless it is cancelled before.
    code: Code,
}

/// The balancer instances and the upstreams of one run.
struct World {
    case: Case,
    rng: fastrand::Rng,
    now: Micros,
    instances: Vec<Option<Decisions>>,
    upstreams: Vec<Upstream>,
    /// The work of each request that has not ended, and the number of attempts sent for it.
    open_requests: HashMap<u64, (Micros, u32)>,
    /// The attempts in flight, by request and attempt number.
    in_flight: HashMap<(u64, u32), InFlight>,
    /// The times at which attempts end, with their request and attempt number.
    attempt_ends: BinaryHeap<Reverse<(Micros, u64, u32)>>,
    /// The lists on their way to the instances, each with the time of its receipt and its instance.
    pending_lists: Vec<(Micros, usize, HostList)>,
    /// The number of the last request, from 1; it is also the number of all requests.
    last_request: u64,
    /// The number of requests that were served.
    served: u64,
}

/// The list entry of upstream `n`.
fn listing(
    n: usize,
    state: ListedState,
    started_at: Option<Micros>,
) -> (Listing, Option<std::net::SocketAddr>) {
    let (zone, kind) = (Some("a".to_string()), Some("std".to_string()));
    (Listing { name: format!("s-{n}"), zone, kind, cell: 0, state, units: 1.0, started_at }, None)
}

/// The settings and names of one instance.
fn site(instance: usize) -> Site {
    let class = Class { aim: DEADLINE, deadline: DEADLINE, ..Class::default() };
    let settings = Settings {
        instances: INSTANCES as u32,
        instance_index: instance as u32,
        resolution: STEP,
        classes: vec![class],
        parallel_attempts: true,
        may_cancel: true,
        cold_share: COLD_SHARE,
        ramp_time: RAMP,
        cold_overload_window: WINDOW,
        ..Settings::default()
    };
    let single = |name: &str| vec![name.to_string()];
    Site { settings, names: Names::new(single("look"), Vec::new(), single("a"), single("std")) }
}

impl World {
    fn new(case: Case, seed: u64) -> World {
        let cold = |n| n < case.returning || n >= UPSTREAMS;
        let speed = |n| if cold(n) { case.cold_speed } else { 1.0 };
        let upstreams = (0..UPSTREAMS + case.new).map(|n| Upstream::new(speed(n))).collect();
        let mut world = World {
            case,
            rng: fastrand::Rng::with_seed(seed),
            now: Micros(0),
            instances: (0..INSTANCES).map(|_| None).collect(),
            upstreams,
            open_requests: HashMap::new(),
            in_flight: HashMap::new(),
            attempt_ends: BinaryHeap::new(),
            pending_lists: Vec::new(),
            last_request: 0,
            served: 0,
        };
        (0..INSTANCES - case.new_instances).for_each(|n| world.start(n, seed));
        world
    }

    /// Starts an instance with a full list of the upstreams that are present.
    fn start(&mut self, instance: usize, seed: u64) {
        let decisions = Decisions::new(site(instance), seed * INSTANCES as u64 + instance as u64, self.now);
        self.instances[instance] = Some(decisions);
        let listed = |(n, u): (usize, &Upstream)| listing(n, ListedState::Ready, u.started);
        let hosts = self.upstreams.iter().enumerate().filter(|(n, u)| *n < UPSTREAMS || u.started.is_some());
        let list = HostList { seq: 1, whole: true, hosts: hosts.map(listed).collect() };
        self.report(instance, Report::List(list));
    }

    /// Reports an event to an instance and carries out its decisions.
    fn report(&mut self, instance: usize, report: Report) {
        let now = self.now;
        let decisions = self.instances[instance].as_mut().map_or(Vec::new(), |d| d.report(now, report));
        self.carry_out(instance, decisions);
    }

    /// Sends a change of the list to all instances, each after a random delay.
    fn announce(&mut self, hosts: Vec<(Listing, Option<std::net::SocketAddr>)>) {
        for instance in 0..INSTANCES {
            let at = self.now + Micros(self.rng.i64(0..MAX_LIST_DELAY_US));
            self.pending_lists.push((at, instance, HostList { seq: 2, whole: false, hosts: hosts.clone() }));
        }
    }

    /// Carries out the decisions of an instance.
    fn carry_out(&mut self, instance: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    self.send(instance, request.0, upstream, timeout)
                }
                Decision::Cancel { request, attempt } => {
                    self.end_attempt(request.0, attempt, Code::Cancelled)
                }
                Decision::Refuse { request, .. } | Decision::Fail(request) => {
                    self.open_requests.remove(&request.0);
                }
                Decision::Wait(_) | Decision::Commit { .. } | Decision::Watch | Decision::Log(_) => {}
            }
        }
    }

    /// Sends an attempt to an upstream.
    fn send(&mut self, instance: usize, request: u64, target: ServerId, timeout: Duration) {
        let Some((work, attempts)) = self.open_requests.get_mut(&request) else { return };
        let (work, attempt) = (*work, *attempts);
        *attempts += 1;
        // Instances number the upstreams in the order in which their lists name them, so the upstream is
        // identified by its name.
        let name = self.instances[instance].as_ref().map_or("", |d| d.upstream_name(target));
        let index: usize = name.trim_start_matches("s-").parse().unwrap();
        let answered = self.upstreams[index].enqueue(self.now, work, self.case.mean_work);
        let times_out_at = self.now + Micros(timeout.as_micros() as i64);
        let code = if answered <= times_out_at { Code::Ok } else { Code::Timeout };
        self.in_flight.insert((request, attempt), InFlight { instance, sent: self.now, code });
        self.attempt_ends.push(Reverse((answered.min(times_out_at), request, attempt)));
    }

    /// Ends an attempt and reports it to its instance.
    fn end_attempt(&mut self, request: u64, attempt: u32, code: Code) {
        let Some(ended) = self.in_flight.remove(&(request, attempt)) else { return };
        let answered = code == Code::Ok && self.open_requests.remove(&request).is_some();
        self.served += u64::from(answered);
        let latency = Duration::from_micros((self.now - ended.sent).0 as u64);
        let request = RequestId(request);
        self.report(
            ended.instance,
            Report::Ended {
                request,
                attempt,
                code,
                latency,
                local_delay: Duration::ZERO,
                upstream_in_flight: None,
                answered,
            },
        );
    }

    /// The present rate of requests of an instance, in requests a second.
    fn rate(&self, instance: usize) -> f64 {
        let weight = |n: usize| if n.is_multiple_of(5) { self.case.busy_factor } else { 1.0 };
        let all: f64 = (0..INSTANCES).map(weight).sum();
        let capacity = UPSTREAMS as f64 * 1e6 / self.case.mean_work.0 as f64;
        let factor = if (BURST.0..BURST.1).contains(&self.now) { BURST_FACTOR } else { 1.0 };
        capacity * self.case.load * factor * weight(instance) / all
    }

    /// Submits a request with exponentially distributed work to an instance.
    fn submit(&mut self, instance: usize) {
        let mean = self.case.mean_work.0 as f64;
        let work = Micros((-mean * self.rng.f64().max(1e-9).ln()).max(1_000.0) as i64);
        self.last_request += 1;
        self.open_requests.insert(self.last_request, (work, 0));
        let request = PickRequest {
            request: RequestId(self.last_request),
            class: ClassId(0),
            tenant: None,
            expires: self.now + DEADLINE,
            cost: self.case.hints.then_some(work),
            repeat: false,
            key: None,
        };
        let now = self.now;
        let decisions = self.instances[instance].as_mut().map_or(Vec::new(), |d| d.pick(now, request));
        self.carry_out(instance, decisions);
    }

    /// Handles what is due, lets the instances receive requests and timers, and advances the time by one
    /// step.
    fn step(&mut self) {
        while let Some(&Reverse((at, request, attempt))) = self.attempt_ends.peek() {
            if at > self.now {
                break;
            }
            self.attempt_ends.pop();
            let code = self.in_flight.get(&(request, attempt)).map(|o| o.code);
            code.into_iter().for_each(|code| self.end_attempt(request, attempt, code));
        }
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.pending_lists).into_iter().partition(|(at, ..)| *at <= now);
        self.pending_lists = later;
        let due: Vec<(Micros, usize, HostList)> = due;
        due.into_iter().for_each(|(_, n, list)| self.report(n, Report::List(list)));
        for instance in 0..INSTANCES {
            if self.instances[instance].is_none() {
                continue;
            }
            // An instance gets at most one request in a step, since steps are short.
            if self.rng.f64() < self.rate(instance) * STEP.0 as f64 / 1e6 {
                self.submit(instance);
            }
            let tick = self.instances[instance].as_mut().map_or(Vec::new(), |d| d.tick(now));
            self.carry_out(instance, tick);
        }
        self.now += STEP;
    }

    /// Runs the case to its end.
    fn run(mut self, seed: u64) -> Outcome {
        while self.now < END {
            if self.now == LEAVE {
                self.announce(
                    (0..self.case.returning).map(|n| listing(n, ListedState::Removed, None)).collect(),
                );
            }
            if self.now == RETURN {
                let started = Some(self.now);
                let cold = (0..self.case.returning).chain(UPSTREAMS..UPSTREAMS + self.case.new);
                let cold: Vec<usize> = cold.collect();
                cold.iter().for_each(|&n| self.upstreams[n].started = started);
                self.announce(cold.iter().map(|&n| listing(n, ListedState::Ready, started)).collect());
                (INSTANCES - self.case.new_instances..INSTANCES).for_each(|n| self.start(n, seed));
            }
            self.step();
        }
        let cold = || self.upstreams.iter().filter(|u| u.started.is_some());
        Outcome {
            peak_load: cold().map(|u| u.peak_load).fold(0.0, f64::max),
            least_received: cold().map(|u| u.received).fold(f64::MAX, f64::min),
            served_share: self.served as f64 / self.last_request as f64,
        }
    }
}

/// The result of one run.
struct Outcome {
    /// The largest sum of a window at a cold upstream, as a share of the sum that overloads it.
    peak_load: f64,
    /// The work that the least used cold upstream received, in requests of mean work.
    least_received: f64,
    /// The share of all requests that were served.
    served_share: f64,
}

/// Runs a case with many seeds and checks that no run overloads a cold upstream or leaves one without
/// requests.
fn check_cold_upstreams(name: &str, case: Case) {
    let (mut peak, mut peak_sum, mut least, mut served) = (0.0f64, 0.0, f64::MAX, 0.0);
    let mut overloaded = Vec::new();
    for seed in 0..SEEDS {
        let outcome = World::new(case, seed).run(seed);
        peak = peak.max(outcome.peak_load);
        (peak_sum, served) = (peak_sum + outcome.peak_load, served + outcome.served_share);
        least = least.min(outcome.least_received);
        if outcome.peak_load > 1.0 {
            overloaded.push((seed, outcome.peak_load));
        }
    }
    let seeds = SEEDS as f64;
    println!(
        "{name}: peak load of a cold upstream {peak:.2} of the overload bound, {:.2} on average; at least \
         {least:.0} requests for each cold upstream; {:.3} of all requests served",
        peak_sum / seeds,
        served / seeds
    );
    assert!(
        overloaded.is_empty(),
        "{name}: a cold upstream was overloaded; (seed, share of the bound): {overloaded:?}"
    );
    assert!(least > 0.0, "{name}: a cold upstream got no requests");
}

#[test]
fn cold_upstreams_are_not_overloaded_by_many_equal_instances() {
    check_cold_upstreams("even", EVEN);
}

#[test]
fn cold_upstreams_are_not_overloaded_by_unevenly_loaded_instances() {
    check_cold_upstreams("uneven", Case { busy_factor: 5.0, ..EVEN });
}

/// Each instance gets one or two requests a second, and a few requests in a window overload an upstream.
#[test]
fn cold_upstreams_are_not_overloaded_by_few_heavy_requests() {
    let heavy = Case { mean_work: Micros(200_000), ..EVEN };
    check_cold_upstreams("heavy", heavy);
    check_cold_upstreams("heavy and uneven", Case { busy_factor: 5.0, ..heavy });
}

/// Some instances have no measurements of their own yet when the upstreams start.
#[test]
fn cold_upstreams_are_not_overloaded_by_instances_that_start_with_them() {
    let new_instances = Case { new_instances: 10, ..EVEN };
    check_cold_upstreams("new instances", new_instances);
    check_cold_upstreams(
        "new instances, heavy and uneven",
        Case { mean_work: Micros(200_000), busy_factor: 5.0, ..new_instances },
    );
}

/// Half of the upstreams return at once.
#[test]
fn cold_upstreams_are_not_overloaded_when_half_of_all_are_cold() {
    let half = Case { returning: UPSTREAMS / 2, new: 0, ..EVEN };
    check_cold_upstreams("half", half);
    check_cold_upstreams("half and uneven", Case { busy_factor: 5.0, ..half });
}

/// The load exceeds the capacity of all upstreams, even before the burst.
#[test]
fn cold_upstreams_get_no_more_than_they_can_bear_under_general_overload() {
    let overload = Case { load: 1.1, ..EVEN };
    check_cold_upstreams("overload", overload);
    check_cold_upstreams(
        "overload, uneven, half cold",
        Case { busy_factor: 5.0, returning: UPSTREAMS / 2, new: 0, ..overload },
    );
}

/// Requests carry no cost hint.
#[test]
fn cold_upstreams_are_not_overloaded_by_requests_of_unknown_work() {
    let unknown = Case { hints: false, ..EVEN };
    check_cold_upstreams("unknown work", unknown);
    check_cold_upstreams(
        "unknown work, heavy and uneven",
        Case { mean_work: Micros(200_000), busy_factor: 5.0, ..unknown },
    );
}

/// The cold upstreams are slower machines than the others, and the list does not state it.
#[test]
fn slow_cold_upstreams_are_not_overloaded() {
    check_cold_upstreams("slow", Case { cold_speed: 0.6, ..EVEN });
    check_cold_upstreams(
        "slow, uneven, overload",
        Case { cold_speed: 0.6, busy_factor: 5.0, load: 0.9, ..EVEN },
    );
}
