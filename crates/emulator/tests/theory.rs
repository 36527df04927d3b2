//! Checks the emulator against results of queueing theory and against its own rules.

use garnettally_decisions::facade::{Decision, Micros, PickRequest, Report, RequestId, ServerId};
use garnettally_emulator::day;
use garnettally_emulator::draw::RandomStream;
use garnettally_emulator::events::Events;
use garnettally_emulator::node::{Admission, Node, NodeConfig};
use garnettally_emulator::policy::{Policy, PolicyKind};
use garnettally_emulator::rules::Rule;
use garnettally_emulator::world::{World, WorldError};
use std::time::Duration;

fn node_config(cores: f64, slots: usize) -> NodeConfig {
    NodeConfig { cores, speed: 1.0, slots, queue: usize::MAX, cancel_stops: true, thrash: None }
}

/// Measures the mean time of requests in the node, in units of the mean work, with exponentially distributed
/// work and Poisson arrivals.
fn mean_time(cores: f64, slots: usize, load: f64, requests: u64, seed: u64) -> f64 {
    let (mut arrivals, mut work) =
        (RandomStream::new(seed, "arrivals", 0), RandomStream::new(seed, "work", 0));
    let mut node = Node::new(node_config(cores, slots), Micros(0));
    let mut events: Events<Option<u64>> = Events::default();
    const WORK: f64 = 100_000.0;
    let gap = WORK / (load * cores);
    let mut arrived_at = Vec::new();
    let (mut total, mut served, mut version) = (0.0, 0u64, 0u64);
    events.schedule_at(Micros(0), None);
    while served < requests {
        let Some(event) = events.next_before(Micros(i64::MAX)) else { break };
        let now = events.now();
        match event {
            None => {
                let id = arrived_at.len() as u64;
                arrived_at.push(now);
                assert_ne!(node.submit(now, id, work.exponential(WORK)), Admission::Full);
                events.schedule_after(Micros(arrivals.exponential(gap) as i64), None);
            }
            Some(scheduled) if scheduled != version => continue,
            Some(_) => {
                while let Some(id) = node.pop_finished(now) {
                    // The first tenth of the requests is left out: the node is not in its steady state yet.
                    if id > requests / 10 {
                        total += (now - arrived_at[id as usize]).0 as f64;
                        served += 1;
                    }
                }
            }
        }
        version += 1;
        if let Some(at) = node.next_event() {
            events.schedule_at(at, Some(version));
        }
    }
    total / served as f64 / WORK
}

/// M/M/1 and processor sharing with one core have the mean time 1/(1 - load). With one slot the node is an
/// M/M/1 queue, with unlimited slots it shares the processor.
#[test]
fn one_core_has_the_mean_time_of_m_m_1() {
    for load in [0.3, 0.6, 0.8] {
        let theory = 1.0 / (1.0 - load);
        for slots in [1, usize::MAX] {
            let measured: f64 =
                (1..=4).map(|seed| mean_time(1.0, slots, load, 60_000, seed)).sum::<f64>() / 4.0;
            assert!(
                (measured / theory - 1.0).abs() < 0.06,
                "load {load}, slots {slots}: measured {measured}, theory {theory}"
            );
        }
    }
}

/// The mean time of an M/M/c queue (first come, first served) follows from Erlang's C formula.
#[test]
fn several_cores_have_the_mean_time_of_erlangs_c_formula() {
    for (cores, load) in [(2usize, 0.7), (4, 0.8), (8, 0.5)] {
        let offered_load = load * cores as f64;
        let term = |k: usize| (1..=k).fold(1.0, |t, i| t * offered_load / i as f64);
        let last = term(cores) / (1.0 - load);
        let wait = last / ((0..cores).map(term).sum::<f64>() + last);
        let theory = 1.0 + wait / (cores as f64 * (1.0 - load));
        let measured: f64 =
            (1..=4).map(|seed| mean_time(cores as f64, cores, load, 60_000, seed)).sum::<f64>() / 4.0;
        assert!(
            (measured / theory - 1.0).abs() < 0.05,
            "{cores} cores at {load}: measured {measured}, theory {theory}"
        );
    }
}

#[test]
fn work_of_a_node_is_conserved_when_requests_are_cancelled() {
    let mut stream = RandomStream::new(5, "conserve", 0);
    let mut node = Node::new(node_config(2.0, 4), Micros(0));
    let (mut now, mut pending, mut next) = (Micros(0), std::collections::BTreeMap::new(), 0);
    let mut finished = 0.0;
    for _ in 0..5_000 {
        now += Micros(stream.exponential(20_000.0) as i64);
        while let Some(at) = node.next_event().filter(|&at| at <= now) {
            while let Some(id) = node.pop_finished(at) {
                finished += pending.remove(&id).unwrap();
            }
        }
        if stream.chance(0.1) && !pending.is_empty() {
            let ids: Vec<u64> = pending.keys().copied().collect();
            let id = ids[stream.index(ids.len())];
            assert!(node.cancel(now, id));
            pending.remove(&id);
        } else {
            next += 1;
            let work = stream.exponential(30_000.0);
            pending.insert(next, work);
            node.submit(now, next, work);
        }
        assert_eq!(node.in_flight(), pending.len());
    }
    // Cancelled requests had part of their work done; apart from that the work done has to match.
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
fn one_seed_gives_the_same_report_alone_and_beside_other_runs() {
    let world =
        world("[[faults]]\nat = [\"4s\", \"6s\"]\nfor = \"5s\"\nshare = 0.25\nwhat = { slow = [3, 6] }\n");
    let run = |seed| serde_json::to_string(&day::run(&world, seed, PolicyKind::Module)).unwrap();
    let alone = [run(1), run(2), run(3), run(4)];
    let beside: Vec<String> = std::thread::scope(|s| {
        let threads: Vec<_> = (1..=4).map(|seed| s.spawn(move || run(seed))).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert_eq!(alone.to_vec(), beside);
    assert_ne!(alone[0], alone[1]);
}

/// Every policy gets the same clients: the requests do not depend on the policy that handles them.
#[test]
fn every_policy_gets_the_same_requests_and_keeps_the_rules() {
    let world = world("");
    let reports: Vec<_> = PolicyKind::ALL.iter().map(|&kind| day::run(&world, 7, kind)).collect();
    for r in &reports {
        assert!(r.all_rules_kept(), "{}", r.text());
        assert_eq!(r.all.asked, reports[0].all.asked);
        assert_eq!(r.all.worth_asked, reports[0].all.worth_asked);
        let ends = r.all.in_time + r.all.late + r.all.refused + r.all.failed + r.all.given_up;
        assert_eq!(ends, r.all.asked, "every request has one outcome");
        assert!(r.service > 0.8, "{}", r.text());
    }
}

/// Under the decision module, every kind of fault alone breaks no rule, and the service continues.
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
            let r = day::run(&world(&text), 3, PolicyKind::Module);
            assert!(r.all_rules_kept(), "{fault} for {lasts}\n{}", r.text());
            assert!(r.service > 0.3, "{fault} for {lasts}\n{}", r.text());
        }
    }
}

/// A policy that breaks a rule on purpose.
struct RuleBreakingPolicy {
    inner: Box<dyn Policy>,
    how: &'static str,
    sent: Vec<(RequestId, ServerId)>,
}

impl RuleBreakingPolicy {
    fn break_rule(&mut self, mut decisions: Vec<Decision>) -> Vec<Decision> {
        for d in &decisions {
            if let Decision::Send { request, upstream, .. } = d {
                self.sent.push((*request, *upstream));
            }
        }
        match self.how {
            "drops-decisions" => decisions.retain(|d| {
                !matches!(d, Decision::Refuse { .. } | Decision::Fail(_) | Decision::Send { .. })
            }),
            "duplicates-sends" => {
                let duplicates: Vec<_> =
                    decisions.iter().filter(|d| matches!(d, Decision::Send { .. })).cloned().collect();
                decisions.extend(duplicates);
            }
            // Sends everything to one node, also after the balancer was notified of its removal.
            "always-first-node" => {
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

impl Policy for RuleBreakingPolicy {
    fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision> {
        let decisions = self.inner.pick(now, ask);
        self.break_rule(decisions)
    }
    fn report(&mut self, now: Micros, report: Report) -> Vec<Decision> {
        let decisions = self.inner.report(now, report);
        self.break_rule(decisions)
    }
    fn tick(&mut self, now: Micros) -> Vec<Decision> {
        let decisions = self.inner.tick(now);
        self.break_rule(decisions)
    }
    fn next_tick(&self) -> Option<Micros> {
        self.inner.next_tick()
    }
}

#[test]
fn policies_that_break_rules_are_detected() {
    let restart = "[[faults]]\nat = \"4s\"\nfor = \"3s\"\nshare = 1.0\nwhat = \"restart\"\n";
    let broken = |how, faults: &str| {
        let wrap_policy =
            &mut |inner| Box::new(RuleBreakingPolicy { inner, how, sent: Vec::new() }) as Box<dyn Policy>;
        let r = day::run_with(&world(faults), 1, PolicyKind::Random, wrap_policy);
        let rules: Vec<Rule> = r.broken.iter().filter(|b| b.1 > 0).map(|b| b.0).collect();
        rules
    };
    assert_eq!(broken("unchanged", ""), []);
    assert_eq!(broken("drops-decisions", ""), [Rule::OneAnswer]);
    assert!(broken("duplicates-sends", "").contains(&Rule::Repeats));
    assert!(broken("always-first-node", restart).contains(&Rule::Drained));
    // All requests go to a node that has just started.
    assert!(broken(
        "always-first-node",
        "[[faults]]\nat = \"4s\"\nfor = \"1200ms\"\nshare = 1.0\nwhat = \"vanish\"\n"
    )
    .contains(&Rule::ColdNode));
}

/// A metastable failure: a burst causes an overload that the clients' retries sustain after the burst.
/// Refusing requests in time ends the overload.
#[test]
fn a_retry_storm_persists_without_admission_control_and_ends_with_it() {
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
    let random = day::run(&world, 2, PolicyKind::Random);
    let module = day::run(&world, 2, PolicyKind::Module);
    assert!(random.all_rules_kept() && module.all_rules_kept());
    assert!(module.service > random.service + 0.1, "{}\n{}", module.text(), random.text());
    assert!(random.client_amplification > 1.5 && random.service < 0.5, "{}", random.text());
}

#[test]
fn arrivals_have_the_expected_counts() {
    let count = |arrivals: &str| {
        let text = SMALL
            .replace("lasts = \"20s\"", "lasts = \"200s\"")
            .replace("warm_up = \"2s\"", "warm_up = \"0s\"")
            .replace("rate = 120.0\nretries = { most = 1 }", &format!("rate = 50.0\narrivals = {arrivals}"));
        let world = World::parse(&text).unwrap_or_else(|e| panic!("{e}"));
        day::run(&world, 11, PolicyKind::Random).all.asked as f64
    };
    // 10,000 arrivals are expected; the standard deviation of a Poisson count is 100.
    for arrivals in ["{ kind = \"poisson\" }", "{ kind = \"wave\", period = \"20s\", swing = 0.8 }"] {
        let n = count(arrivals);
        assert!((n - 10_000.0).abs() < 400.0, "{arrivals}: {n}");
    }
    let n = count("{ kind = \"bursty\", factor = 4.0, share = 0.1, last = \"1s\" }");
    assert!((n - 10_000.0).abs() < 2_000.0, "bursts: {n} arrivals, not 10,000 by 2,000");
    assert_eq!(count("{ kind = \"trace\", at = [\"100ms\", \"200ms\", \"250ms\", \"1s\"] }"), 799.0);
}

#[test]
fn invalid_worlds_are_rejected_with_the_key_of_the_error() {
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
