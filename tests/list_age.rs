//! How old a list may be, and how long it may be used while it is not confirmed. Discovery is up all the time
//! and sends lists and changes to real processes late, seldom or never; meanwhile one upstream leaves and
//! goes on serving. A process counts as notified of a change 6 s after discovery had it.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::scene::{ListedUpstreams, Scenario, NOTIFIED_AFTER, UPSTREAM_NAMES};
use support::scripted::{CallAnswer, Lateness, WatchLoss};

/// The time between the first watch of the process and the beginning of the fault.
const TIME_BEFORE_FAULT: Duration = Duration::from_secs(1);

/// How long the fault lasts.
const FAULT_TIME: Duration = Duration::from_secs(13);

/// The time after the end of the fault within which the process has its list again and serves.
const RECOVERS_WITHIN: Duration = Duration::from_secs(5);

/// The same time for a large fleet, in which a process calls about every 6 s.
const LARGE_FLEET_RECOVERS_WITHIN: Duration = Duration::from_secs(9);

/// The number of instances from which a fleet is large.
const LARGE_FLEET: u32 = 300;

/// The time to recover in a fleet of this size.
fn recovery_time(instances: u32) -> Duration {
    match instances {
        LARGE_FLEET.. => LARGE_FLEET_RECOVERS_WITHIN,
        _ => RECOVERS_WITHIN,
    }
}

const fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A fault of discovery towards one process.
#[derive(Clone, Debug)]
struct Fault {
    title: &'static str,
    /// The number of instances that the settings of the process state.
    instances: u32,
    lateness: Lateness,
    /// How the open watch is lost when the fault begins.
    loss: Option<WatchLoss>,
    /// How calls are answered, in turn and then from the first again.
    answers: Vec<CallAnswer>,
    /// The time from the beginning of the fault until the upstream leaves.
    leaves_after: Duration,
    /// The new configurations that the process gets during the fault, if any.
    reconfigurations: Option<Reconfigurations>,
}

/// New configurations every 0.7 s, each of which moves discovery to another address.
#[derive(Clone, Copy, Debug)]
struct Reconfigurations {
    /// How much older the lists at each new address are.
    behind: Duration,
    /// Whether each new configuration also changes the settings.
    changes_settings: bool,
}

/// The time between two new configurations.
const RECONFIGURATION_INTERVAL: Duration = millis(700);

impl Fault {
    /// A fault in which the watch is reset, calls are answered like this, and the upstream leaves a second
    /// later.
    fn with_answers(title: &'static str, instances: u32, answers: &[CallAnswer]) -> Fault {
        Fault {
            title,
            instances,
            lateness: Lateness::default(),
            loss: Some(WatchLoss::Reset),
            answers: answers.to_vec(),
            leaves_after: millis(1_000),
            reconfigurations: None,
        }
    }
}

/// The outcome of one scenario.
struct ScenarioOutcome {
    fault: Fault,
    /// The number of requests that reached the upstream that left too late.
    late_arrivals: usize,
    /// The share of requests served before the fault.
    served_before: f64,
    /// The share of requests served after the time to recover.
    served_after: f64,
}

/// Runs a scenario with this fault.
fn run_scenario(fault: Fault) -> ScenarioOutcome {
    let scenario = Scenario::start(ListedUpstreams::start(1), fault.instances, u64::from(fault.instances));
    scenario.wait_for_watch();
    thread::sleep(TIME_BEFORE_FAULT);
    let begun = Instant::now();
    scenario.discovery.service.set_lateness(fault.lateness);
    scenario.discovery.answer_calls_in_turn(&fault.answers);
    fault.loss.into_iter().for_each(|how| scenario.discovery.lose_watches(how));
    thread::sleep(fault.leaves_after);
    let left = scenario.discovery.drain(UPSTREAM_NAMES[0]);
    while begun.elapsed() < FAULT_TIME {
        thread::sleep(RECONFIGURATION_INTERVAL);
        if let Some(r) = fault.reconfigurations {
            let address = scenario.discovery.answer_at_another_address(r.behind);
            scenario.reconfigure(address, r.changes_settings);
        }
    }
    let late_arrivals = scenario.late_arrivals(left + NOTIFIED_AFTER);
    scenario.discovery.service.set_lateness(Lateness::default());
    scenario.discovery.answer_calls(CallAnswer::WholeList);
    let ended = Instant::now();
    let recovery_time = recovery_time(fault.instances);
    thread::sleep(recovery_time + TIME_BEFORE_FAULT);
    let served_before = scenario.served_share(begun - TIME_BEFORE_FAULT, begun);
    let served_after = scenario.served_share(ended + recovery_time, Instant::now());
    ScenarioOutcome { fault, late_arrivals, served_before, served_after }
}

/// Runs scenarios at the same time, prints the outcome of each, and checks them all.
fn check(faults: Vec<Fault>) {
    /// The least share served after the fault, relative to the share served before.
    const MIN_SERVED_RATIO: f64 = 0.95;
    let running: Vec<_> =
        faults.into_iter().map(|fault| thread::spawn(move || run_scenario(fault))).collect();
    let outcomes: Vec<ScenarioOutcome> = running.into_iter().map(|p| p.join().unwrap()).collect();
    for o in &outcomes {
        println!(
            "{}, {} instances: {} requests too late; served {:.3} before, {:.3} after",
            o.fault.title, o.fault.instances, o.late_arrivals, o.served_before, o.served_after
        );
    }
    for o in &outcomes {
        assert_eq!(o.late_arrivals, 0, "{:?}", o.fault);
        assert!(
            o.served_after >= MIN_SERVED_RATIO * o.served_before,
            "{:?}: served {:.3}",
            o.fault,
            o.served_after
        );
    }
}

/// Guards against the incident of issue 46: lists show the state of 2.8 s before; 4 s after a change the
/// watch ends instead of carrying the change; and the answer to the next call takes 3.3 s.
#[test]
fn a_watch_that_ends_instead_of_a_late_change_does_not_extend_the_use_of_a_list() {
    let lateness =
        Lateness { lists: millis(2_800), changes: millis(4_000), loss_at_change: Some(WatchLoss::Ended) };
    let fault = |instances| Fault {
        title: "late lists, watch ended, slow answer",
        instances,
        lateness,
        loss: None,
        answers: vec![CallAnswer::Late(millis(3_300))],
        leaves_after: Duration::ZERO,
        reconfigurations: None,
    };
    check([1, 9, 9, 30].map(fault).to_vec());
}

/// Guards against an answer that counts as complete up to the time when it is read: the list was composed
/// before the upstream left, is written 2.5 s later, and the watch stalls after it.
#[test]
fn an_answer_confirms_the_state_at_the_time_of_its_call() {
    let answers = [CallAnswer::LateThenStalled(millis(2_500))];
    let fault = |instances| Fault::with_answers("slow, watch stalled after it", instances, &answers);
    check([1, 9].map(fault).to_vec());
}

/// Guards against a list that stays in use unconfirmed without end in a small fleet: discovery is up, and all
/// or most calls of this process fail.
#[test]
fn failed_calls_while_discovery_is_up_do_not_extend_the_use_of_a_list() {
    use CallAnswer::{BusyLate, Closed, ClosedLate, CutByEnd, Reset, WholeList};
    let rows: [(&str, &[CallAnswer]); 7] = [
        ("each fourth call whole", &[Closed, Reset, ClosedLate, WholeList]),
        ("each call closed", &[Closed]),
        ("each call reset", &[Reset]),
        ("each call ended late", &[ClosedLate]),
        ("closed, reset and ended late in turn", &[Closed, Reset, ClosedLate]),
        ("half a list and no byte in turn", &[CutByEnd, Closed]),
        ("503 late", &[BusyLate]),
    ];
    let faults =
        rows.iter().flat_map(|&(title, answers)| [1, 9].map(|n| Fault::with_answers(title, n, answers)));
    check(faults.collect());
}

/// Guards against a list that stays in use unconfirmed in a large fleet, where calls refused by 503 count as
/// an outage for a while. A connection that is established shows that discovery is up: one that ends, or
/// stays open, without a byte is no outage of the platform's discovery, which answers 503 then (on a rough
/// herd day of the bench, to all of 315 failed calls). Before the fix, 115 to 173 requests came too late in
/// six of the seven scenarios.
#[test]
fn calls_without_a_byte_of_answer_do_not_extend_the_use_of_a_list_in_a_large_fleet() {
    use CallAnswer::{Closed, ClosedLate, Late, NoAnswer, Reset, WholeList};
    let rows: [(&str, &[CallAnswer]); 7] = [
        ("each call closed", &[Closed]),
        ("each call reset", &[Reset]),
        ("each call ended late", &[ClosedLate]),
        ("each call without an answer", &[NoAnswer]),
        ("each third call whole", &[Closed, Reset, WholeList]),
        ("each fourth call whole", &[Closed, Reset, ClosedLate, WholeList]),
        ("whole, 2 s late, then closed", &[Late(millis(2_000)), Closed, Closed, Closed, Closed]),
    ];
    check(rows.iter().map(|&(title, answers)| Fault::with_answers(title, LARGE_FLEET, answers)).collect());
}

/// Shows in which case a list stays in use unconfirmed in a large fleet: calls of this process alone that are
/// refused by 503 count as an outage, because the platform's outages look the same to a process.
#[test]
fn calls_that_are_turned_away_keep_no_list_in_use_in_a_large_fleet() {
    use CallAnswer::{BusyAtOnce, BusyLate, WholeList};
    let rows: [(&str, &[CallAnswer]); 3] = [
        ("each call 503 at once", &[BusyAtOnce]),
        ("each call 503 late", &[BusyLate]),
        ("each fourth call whole, others 503", &[BusyLate, BusyLate, BusyLate, WholeList]),
    ];
    check(rows.iter().map(|&(title, answers)| Fault::with_answers(title, LARGE_FLEET, answers)).collect());
}

/// Guards against new configurations in quick succession that extend the use of a list, delay a change, or
/// restore an upstream that has left.
#[test]
fn repeated_reconfigurations_do_not_extend_the_use_of_a_list() {
    let rows = [
        ("closed", &[CallAnswer::Closed][..], Duration::ZERO, false),
        ("closed, new settings", &[CallAnswer::Closed], Duration::ZERO, true),
        (
            "each third whole",
            &[CallAnswer::Closed, CallAnswer::Reset, CallAnswer::WholeList],
            Duration::ZERO,
            false,
        ),
        ("whole, 3 s behind", &[CallAnswer::WholeList], millis(3_000), false),
    ];
    let faults = rows.iter().flat_map(|&(title, answers, behind, changes_settings)| {
        let reconfigurations = Some(Reconfigurations { behind, changes_settings });
        [1, 9].map(|n| Fault { reconfigurations, ..Fault::with_answers(title, n, answers) })
    });
    check(faults.collect());
}

/// Guards against a move to a discovery address with older lists that restores an upstream of whose departure
/// this process was notified. A departure binds from the notification on.
#[test]
fn a_move_to_an_address_with_older_lists_restores_no_upstream() {
    const NOTIFIED_WITHIN: Duration = millis(500);
    let run = |instances| {
        let scenario = Scenario::start(ListedUpstreams::start(1), instances, 3);
        scenario.wait_for_watch();
        thread::sleep(TIME_BEFORE_FAULT);
        let left = scenario.discovery.drain(UPSTREAM_NAMES[0]);
        thread::sleep(NOTIFIED_WITHIN);
        scenario.reconfigure(scenario.discovery.answer_at_another_address(millis(4_000)), false);
        thread::sleep(NOTIFIED_AFTER);
        scenario.late_arrivals(left + NOTIFIED_WITHIN)
    };
    let running: Vec<_> = [1, 9].map(|n| thread::spawn(move || run(n))).into();
    let late_arrivals: Vec<usize> = running.into_iter().map(|p| p.join().unwrap()).collect();
    println!("requests too late at 1 and 9 instances: {late_arrivals:?}");
    assert_eq!(late_arrivals, [0, 0]);
}
