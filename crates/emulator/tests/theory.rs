//! The emulator against what theory and its own rules say.

use garnettally_decisions::facade::{Decision, Micros, PickRequest, Report as News, RequestId, ServerId};
use garnettally_emulator::day;
use garnettally_emulator::draw::Stream;
use garnettally_emulator::events::Events;
use garnettally_emulator::node::{Brought, Build, Node};
use garnettally_emulator::policy::{Kind, Policy};
use garnettally_emulator::rules::Rule;
use garnettally_emulator::world::{World, WorldError};
use std::time::Duration;

fn build(cores: f64, slots: usize) -> Build {
    Build { cores, speed: 1.0, slots, queue: usize::MAX, cancel_stops: true, thrash: None }
}

/// Mean time in the system of exponential work at Poisson arrivals, in units of the mean work, over many requests.
fn mean_time(cores: f64, slots: usize, load: f64, requests: u64, seed: u64) -> f64 {
    let (mut arrivals, mut work) = (Stream::new(seed, "arrivals", 0), Stream::new(seed, "work", 0));
    let mut node = Node::new(build(cores, slots), Micros(0));
    let mut events: Events<Option<u64>> = Events::default();
    const WORK: f64 = 100_000.0;
    let gap = WORK / (load * cores);
    let mut came = Vec::new();
    let (mut total, mut served, mut version) = (0.0, 0u64, 0u64);
    events.at(Micros(0), None);
    while served < requests {
        let Some(event) = events.next(Micros(i64::MAX)) else { break };
        let now = events.now();
        match event {
            None => {
                let id = came.len() as u64;
                came.push(now);
                assert_ne!(node.bring(now, id, work.exponential(WORK)), Brought::Full);
                events.after(Micros(arrivals.exponential(gap) as i64), None);
            }
            Some(v) if v != version => continue,
            Some(_) => {
                while let Some(id) = node.pop(now) {
                    // The first tenth is the way into the steady state.
                    if id > requests / 10 {
                        total += (now - came[id as usize]).0 as f64;
                        served += 1;
                    }
                }
            }
        }
        version += 1;
        if let Some(at) = node.next() {
            events.at(at, Some(version));
        }
    }
    total / served as f64 / WORK
}

/// M/M/1 and processor sharing with one core have the mean 1/(1 - load); slots decide which of them it is.
#[test]
fn one_core_has_the_mean_times_of_theory() {
    for load in [0.3, 0.6, 0.8] {
        let theory = 1.0 / (1.0 - load);
        for slots in [1, usize::MAX] {
            let seen: f64 = (1..=4).map(|seed| mean_time(1.0, slots, load, 60_000, seed)).sum::<f64>() / 4.0;
            assert!((seen / theory - 1.0).abs() < 0.06, "load {load}, slots {slots}: {seen} for {theory}");
        }
    }
}

/// M/M/c by Erlang's C formula, first come, first served.
#[test]
fn several_cores_have_the_mean_times_of_erlang() {
    for (cores, load) in [(2usize, 0.7), (4, 0.8), (8, 0.5)] {
        let a = load * cores as f64;
        let term = |k: usize| (1..=k).fold(1.0, |t, i| t * a / i as f64);
        let last = term(cores) / (1.0 - load);
        let wait = last / ((0..cores).map(term).sum::<f64>() + last);
        let theory = 1.0 + wait / (cores as f64 * (1.0 - load));
        let seen: f64 =
            (1..=4).map(|seed| mean_time(cores as f64, cores, load, 60_000, seed)).sum::<f64>() / 4.0;
        assert!((seen / theory - 1.0).abs() < 0.05, "{cores} cores at {load}: {seen} for {theory}");
    }
}

#[test]
fn work_is_conserved_whatever_is_called_off() {
    let mut s = Stream::new(5, "conserve", 0);
    let mut node = Node::new(build(2.0, 4), Micros(0));
    let (mut now, mut brought, mut next) = (Micros(0), std::collections::BTreeMap::new(), 0);
    let mut finished = 0.0;
    for _ in 0..5_000 {
        now += Micros(s.exponential(20_000.0) as i64);
        while let Some(at) = node.next().filter(|&at| at <= now) {
            while let Some(id) = node.pop(at) {
                finished += brought.remove(&id).unwrap();
            }
        }
        if s.chance(0.1) && !brought.is_empty() {
            let ids: Vec<u64> = brought.keys().copied().collect();
            let id = ids[s.place(ids.len())];
            assert!(node.cancel(now, id));
            brought.remove(&id);
        } else {
            next += 1;
            let work = s.exponential(30_000.0);
            brought.insert(next, work);
            node.bring(now, next, work);
        }
        assert_eq!(node.held(), brought.len());
    }
    // What was called off had some of its work done; nothing else may be missing or too much.
    assert!(node.work_done() >= finished - 1.0);
    assert!(node.work_done() <= 2.0 * now.0 as f64 + 1.0);
}

const SMALL: &str = r#"version = 1
name = "small"
lasts = "20s"
warm_up = "2s"
zones = ["a", "b"]
[clients]
rate = 120.0
retries = { most = 1 }
[[tiers]]
name = "front"
nodes = 8
balancers = 2
[[tiers]]
name = "back"
nodes = 8
[[classes]]
name = "look"
share = 2
aim = "500ms"
deadline = "1s"
work = ["30ms", "15ms"]
calls = 1.2
[[classes]]
name = "book"
repeat = "keyed"
aim = "1s"
deadline = "2s"
work = ["40ms", "20ms"]
calls = 0.5
[[classes]]
name = "pay"
share = 0.5
repeat = "never"
aim = "1s"
deadline = "2s"
work = ["20ms"]
[[tenants]]
name = "t"
"#;

fn world(more: &str) -> World {
    World::parse(&format!("{SMALL}{more}")).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn one_seed_gives_one_day_beside_others_too() {
    let world =
        world("[[faults]]\nat = [\"4s\", \"6s\"]\nfor = \"5s\"\nshare = 0.25\nwhat = { slow = [3, 6] }\n");
    let run = |seed| serde_json::to_string(&day::run(&world, seed, Kind::Module)).unwrap();
    let alone = [run(1), run(2), run(3), run(4)];
    let beside: Vec<String> = std::thread::scope(|s| {
        let threads: Vec<_> = (1..=4).map(|seed| s.spawn(move || run(seed))).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert_eq!(alone.to_vec(), beside);
    assert_ne!(alone[0], alone[1]);
}

/// Policies meet the same clients: what is asked does not depend on who answers.
#[test]
fn every_policy_meets_the_same_clients_and_keeps_the_rules() {
    let world = world("");
    let reports: Vec<_> = Kind::ALL.iter().map(|&kind| day::run(&world, 7, kind)).collect();
    for r in &reports {
        assert!(r.lawful(), "{}", r.text());
        assert_eq!(r.all.asked, reports[0].all.asked);
        assert_eq!(r.all.worth_asked, reports[0].all.worth_asked);
        let ends = r.all.in_time + r.all.late + r.all.refused + r.all.failed + r.all.given_up;
        assert_eq!(ends, r.all.asked, "every request ends once");
        assert!(r.service > 0.8, "{}", r.text());
    }
}

/// Every kind of fault, alone, under the module: rules are kept, and the day goes on.
#[test]
fn no_fault_breaks_a_rule() {
    let faults = [
        "{ slow = [4, 8] }",
        "\"hang\"",
        "{ fast-errors = 0.6 }",
        "{ spoilt = 0.4 }",
        "{ late-reports = \"2s\" }",
        "{ burst = 2.5 }",
        "\"vanish\"",
        "\"restart\"",
        "\"partition\"",
        "\"stale-list\"",
        "\"lying-list\"",
    ];
    for fault in faults {
        for lasts in ["6s", "60s"] {
            let text = format!("[[faults]]\nat = \"5s\"\nfor = \"{lasts}\"\nshare = 0.25\nwhat = {fault}\n");
            let r = day::run(&world(&text), 3, Kind::Module);
            assert!(r.lawful(), "{fault} for {lasts}\n{}", r.text());
            assert!(r.service > 0.3, "{fault} for {lasts}\n{}", r.text());
        }
    }
}

/// A policy that breaks a rule on purpose.
struct Mutant {
    inner: Box<dyn Policy>,
    how: &'static str,
    sent: Vec<(RequestId, ServerId)>,
}

impl Mutant {
    fn change(&mut self, mut decisions: Vec<Decision>) -> Vec<Decision> {
        for d in &decisions {
            if let Decision::Send { request, upstream, .. } = d {
                self.sent.push((*request, *upstream));
            }
        }
        match self.how {
            "forgets" => decisions.retain(|d| {
                !matches!(d, Decision::Refuse { .. } | Decision::Fail(_) | Decision::Send { .. })
            }),
            "doubles" => {
                let twice: Vec<_> =
                    decisions.iter().filter(|d| matches!(d, Decision::Send { .. })).cloned().collect();
                decisions.extend(twice);
            }
            // One node for everything, also once it is told to be gone.
            "sticks" => {
                for d in &mut decisions {
                    if let Decision::Send { upstream, .. } = d {
                        *upstream = ServerId(0);
                    }
                }
            }
            _ => {}
        }
        decisions
    }
}

impl Policy for Mutant {
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision> {
        let decisions = self.inner.pick(now, ask);
        self.change(decisions)
    }
    fn report(&mut self, now: Micros, report: News) -> Vec<Decision> {
        let decisions = self.inner.report(now, report);
        self.change(decisions)
    }
    fn tick(&mut self, now: Micros) -> Vec<Decision> {
        let decisions = self.inner.tick(now);
        self.change(decisions)
    }
    fn next_tick(&self) -> Option<Micros> {
        self.inner.next_tick()
    }
}

#[test]
fn mutants_of_a_policy_are_caught_in_the_world() {
    let restart = "[[faults]]\nat = \"4s\"\nfor = \"3s\"\nshare = 1.0\nwhat = \"restart\"\n";
    let broken = |how, faults: &str| {
        let shape = &mut |inner| Box::new(Mutant { inner, how, sent: Vec::new() }) as Box<dyn Policy>;
        let r = day::run_with(&world(faults), 1, Kind::Random, shape);
        let rules: Vec<Rule> = r.broken.iter().filter(|b| b.1 > 0).map(|b| b.0).collect();
        rules
    };
    assert_eq!(broken("keeps", ""), []);
    assert_eq!(broken("forgets", ""), [Rule::OneAnswer]);
    assert!(broken("doubles", "").contains(&Rule::Repeats));
    assert!(broken("sticks", restart).contains(&Rule::Drained));
    // All traffic onto a node that has just started.
    assert!(broken("sticks", "[[faults]]\nat = \"4s\"\nfor = \"1200ms\"\nshare = 1.0\nwhat = \"vanish\"\n")
        .contains(&Rule::ColdNode));
}

/// A metastable failure: a burst tips clients' retries into an overload that outlives it; refusing in time ends it.
#[test]
fn a_retry_storm_outlives_its_cause_without_admission_and_not_with_it() {
    let retries = "retries = { most = 5, wait = \"50ms\", heed_retry_after = false }";
    let text = SMALL
        .replace("lasts = \"20s\"", "lasts = \"40s\"")
        .replace("rate = 120.0\nretries = { most = 1 }", &format!("rate = 400.0\npatience = 0.3\n{retries}"))
        .replace(
            "nodes = 8\nbalancers = 2",
            "nodes = 8\nbalancers = 2\nslots = 64\nqueue = 1000\ncancel_stops = false",
        )
        + "[[faults]]\nat = \"8s\"\nfor = \"4s\"\nwhat = { burst = 4.0 }\n";
    let world = World::parse(&text).unwrap_or_else(|e| panic!("{e}"));
    let random = day::run(&world, 2, Kind::Random);
    let module = day::run(&world, 2, Kind::Module);
    assert!(random.lawful() && module.lawful());
    assert!(module.service > random.service + 0.1, "{}\n{}", module.text(), random.text());
    assert!(random.client_amplification > 1.5 && random.service < 0.5, "{}", random.text());
}

#[test]
fn arrivals_have_their_moments() {
    let count = |arrivals: &str| {
        let text = SMALL
            .replace("lasts = \"20s\"", "lasts = \"200s\"")
            .replace("warm_up = \"2s\"", "warm_up = \"0s\"")
            .replace("rate = 120.0\nretries = { most = 1 }", &format!("rate = 50.0\narrivals = {arrivals}"));
        let world = World::parse(&text).unwrap_or_else(|e| panic!("{e}"));
        day::run(&world, 11, Kind::Random).all.asked as f64
    };
    // 10,000 are expected; a Poisson count varies by 100.
    for arrivals in ["{ kind = \"poisson\" }", "{ kind = \"wave\", period = \"20s\", swing = 0.8 }"] {
        let n = count(arrivals);
        assert!((n - 10_000.0).abs() < 400.0, "{arrivals}: {n}");
    }
    let n = count("{ kind = \"bursty\", factor = 4.0, share = 0.1, last = \"1s\" }");
    assert!((n - 10_000.0).abs() < 2_000.0, "bursts vary by themselves: {n}");
    assert_eq!(count("{ kind = \"trace\", at = [\"100ms\", \"200ms\", \"250ms\", \"1s\"] }"), 799.0);
}

#[test]
fn worlds_that_make_no_sense_are_refused_by_key() {
    let refused = |from: &str, to: &str| match World::parse(&SMALL.replacen(from, to, 1)) {
        Ok(_) => String::new(),
        Err(WorldError::Read(e)) => e,
        Err(e) => e.to_string(),
    };
    assert_eq!(refused("version = 1", "version = 3"), "version: this program reads 1");
    assert!(refused("rate = 120.0", "rate = 0").starts_with("clients.rate: must be above 0"));
    assert!(refused("nodes = 8", "nodes = 0").starts_with("tiers[0].nodes"));
    assert!(refused("aim = \"500ms\"", "aim = \"2s\"").starts_with("classes[0].deadline"));
    assert!(refused("lasts = \"20s\"", "lasts = \"20\"").contains("is no time"));
    assert!(refused("nodes = 8", "nodes = 8\nspeed = [2, 1]").contains("the least first"));
    assert!(refused("nodes = 8", "nodes = 8\nwheels = 4").contains("unknown field `wheels`"));
    let fault = "[[faults]]\nat = \"1s\"\nfor = \"1s\"\ntier = \"middle\"\nwhat = \"hang\"\n";
    assert!(World::parse(&format!("{SMALL}{fault}"))
        .unwrap_err()
        .to_string()
        .contains("there are front, back"));
    let _ = Duration::ZERO;
}
