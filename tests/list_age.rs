//! How old a list may be, and how long doubt may last. Real processes whose discovery is up all the time and tells late,
//! seldom or never; one upstream leaves meanwhile and goes on serving. What it had counts as told 6 s later.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::scene::{ListedUpstreams, Scenario, NOTIFIED_AFTER, UPSTREAM_NAMES};
use support::scripted::{CallAnswer, Lateness, WatchLoss};

/// The process has had its watch for so long when the fault begins, and the fault lasts for so long.
const QUIET: Duration = Duration::from_secs(1);
const FAULT: Duration = Duration::from_secs(13);

/// So long after the end of the fault the process has its list again, and serves; in a large fleet, in which a call is made
/// every 6 s or so, within this.
const RECOVERS_WITHIN: Duration = Duration::from_secs(5);
const LARGE_FLEET_RECOVERS_WITHIN: Duration = Duration::from_secs(9);
const LARGE_FLEET: u32 = 300;

fn recovers_within(instances: u32) -> Duration {
    match instances {
        LARGE_FLEET.. => LARGE_FLEET_RECOVERS_WITHIN,
        _ => RECOVERS_WITHIN,
    }
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A fault of discovery, as one process meets it.
#[derive(Clone, Debug)]
struct Fault {
    title: &'static str,
    instances: u32,
    lateness: Lateness,
    /// How the open watch is lost when the fault begins.
    loss: Option<WatchLoss>,
    /// How calls end, one after the other.
    answers: Vec<CallAnswer>,
    /// The upstream leaves so long after the beginning.
    leaves_after: Duration,
    /// New configurations come one after the other.
    series: Option<Series>,
}

/// New configurations every 0.7 s, each of which moves discovery.
#[derive(Clone, Copy, Debug)]
struct Series {
    /// Lists at each new address are those of so long before.
    behind: Duration,
    changes_settings: bool,
}

const RECONFIGURED_EVERY: Duration = ms(700);

impl Fault {
    /// The watch is reset, and the upstream leaves a second later.
    fn of_calls(title: &'static str, instances: u32, answers: &[CallAnswer]) -> Fault {
        Fault {
            title,
            instances,
            lateness: Lateness::default(),
            loss: Some(WatchLoss::Reset),
            answers: answers.to_vec(),
            leaves_after: ms(1_000),
            series: None,
        }
    }
}

/// What one scene came to.
struct Finding {
    fault: Fault,
    breaks: usize,
    before: f64,
    recovered: f64,
}

fn play(fault: Fault) -> Finding {
    let scene = Scenario::start(ListedUpstreams::start(1), fault.instances, u64::from(fault.instances));
    scene.wait_for_watch();
    thread::sleep(QUIET);
    let begun = Instant::now();
    scene.discovery.service.set_lateness(fault.lateness);
    scene.discovery.answer_calls_in_turn(&fault.answers);
    fault.loss.into_iter().for_each(|how| scene.discovery.lose_watches(how));
    thread::sleep(fault.leaves_after);
    let left = scene.discovery.drain(UPSTREAM_NAMES[0]);
    while begun.elapsed() < FAULT {
        thread::sleep(RECONFIGURED_EVERY);
        if let Some(series) = fault.series {
            let address = scene.discovery.answer_at_another_address(series.behind);
            scene.reconfigure(address, series.changes_settings);
        }
    }
    let breaks = scene.late_arrivals(left + NOTIFIED_AFTER);
    scene.discovery.service.set_lateness(Lateness::default());
    scene.discovery.answer_calls(CallAnswer::WholeList);
    let ended = Instant::now();
    let recovers_within = recovers_within(fault.instances);
    thread::sleep(recovers_within + QUIET);
    let before = scene.served_share(begun - QUIET, begun);
    let recovered = scene.served_share(ended + recovers_within, Instant::now());
    Finding { fault, breaks, before, recovered }
}

/// Plays scenes side by side, prints what each came to, and checks them all.
fn check(faults: Vec<Fault>) {
    const SERVED_LEAST: f64 = 0.95;
    let playing: Vec<_> = faults.into_iter().map(|fault| thread::spawn(move || play(fault))).collect();
    let findings: Vec<Finding> = playing.into_iter().map(|p| p.join().unwrap()).collect();
    for f in &findings {
        println!(
            "{}, {} instances: {} requests too late; served {:.3} before, {:.3} after",
            f.fault.title, f.fault.instances, f.breaks, f.before, f.recovered
        );
    }
    for f in &findings {
        assert_eq!(f.breaks, 0, "{:?}", f.fault);
        assert!(f.recovered >= SERVED_LEAST * f.before, "{:?}: served {:.3}", f.fault, f.recovered);
    }
}

/// The incident of issue 46: lists tell what was so 2.8 s before; 4 s after a change the watch ends in its place; and the
/// answer to the next call takes 3.3 s.
#[test]
fn a_watch_that_ends_in_place_of_a_late_change_keeps_no_list_in_use() {
    let lateness = Lateness { lists: ms(2_800), changes: ms(4_000), loss_at_change: Some(WatchLoss::Ended) };
    let fault = |instances| Fault {
        title: "late lists, watch ended, slow answer",
        instances,
        lateness,
        loss: None,
        answers: vec![CallAnswer::Late(ms(3_300))],
        leaves_after: Duration::ZERO,
        series: None,
    };
    check([1, 9, 9, 30].map(fault).to_vec());
}

/// Guards against an answer that counts as complete up to when it is read: it was made up before the upstream left, is
/// written 2.5 s later, and the watch falls silent behind it.
#[test]
fn an_answer_proves_what_was_so_when_it_was_asked_for() {
    let answers = [CallAnswer::LateThenStalled(ms(2_500))];
    let fault = |instances| Fault::of_calls("slow, and silence behind it", instances, &answers);
    check([1, 9].map(fault).to_vec());
}

/// Guards against doubt without end in a small fleet: discovery is up, and each call of this process fails, or most do.
#[test]
fn calls_that_fail_while_discovery_is_up_keep_no_list_in_use() {
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
    let faults = rows.iter().flat_map(|&(title, answers)| [1, 9].map(|n| Fault::of_calls(title, n, answers)));
    check(faults.collect());
}

/// The same in a large fleet, where calls that are turned away by 503 pass for an outage for a while. A connection that comes up
/// shows that somebody is there: one that ends, or stays, without a byte is no outage of the platform's discovery, which answers
/// 503 (on a rough herd day of the bench, all of 315 failed calls). Seen before the mend: 115 to 173 requests too late in six of the
/// seven scenes.
#[test]
fn calls_that_bring_no_byte_keep_no_list_in_use_in_a_large_fleet() {
    use CallAnswer::{Closed, ClosedLate, Late, NoAnswer, Reset, WholeList};
    let rows: [(&str, &[CallAnswer]); 7] = [
        ("each call closed", &[Closed]),
        ("each call reset", &[Reset]),
        ("each call ended late", &[ClosedLate]),
        ("each call silent", &[NoAnswer]),
        ("each third call whole", &[Closed, Reset, WholeList]),
        ("each fourth call whole", &[Closed, Reset, ClosedLate, WholeList]),
        ("whole, 2 s late, then closed", &[Late(ms(2_000)), Closed, Closed, Closed, Closed]),
    ];
    check(rows.iter().map(|&(title, answers)| Fault::of_calls(title, LARGE_FLEET, answers)).collect());
}

/// What is left of it: calls of this process alone that are turned away by 503 pass for an outage, as the platform's outages look
/// just so to a process.
#[test]
fn calls_that_are_turned_away_keep_no_list_in_use_in_a_large_fleet() {
    use CallAnswer::{BusyAtOnce, BusyLate, WholeList};
    let rows: [(&str, &[CallAnswer]); 3] = [
        ("each call 503 at once", &[BusyAtOnce]),
        ("each call 503 late", &[BusyLate]),
        ("each fourth call whole, others 503", &[BusyLate, BusyLate, BusyLate, WholeList]),
    ];
    check(rows.iter().map(|&(title, answers)| Fault::of_calls(title, LARGE_FLEET, answers)).collect());
}

/// Guards against what new configurations in series renew, put off or bring back.
#[test]
fn new_configurations_in_series_keep_no_list_in_use() {
    let rows = [
        ("closed", &[CallAnswer::Closed][..], Duration::ZERO, false),
        ("closed, new settings", &[CallAnswer::Closed], Duration::ZERO, true),
        (
            "each third whole",
            &[CallAnswer::Closed, CallAnswer::Reset, CallAnswer::WholeList],
            Duration::ZERO,
            false,
        ),
        ("whole, 3 s behind", &[CallAnswer::WholeList], ms(3_000), false),
    ];
    let faults = rows.iter().flat_map(|&(title, answers, behind, changes_settings)| {
        let series = Some(Series { behind, changes_settings });
        [1, 9].map(|n| Fault { series, ..Fault::of_calls(title, n, answers) })
    });
    check(faults.collect());
}

/// Guards against a move of discovery to a service that is behind: it brings back an upstream of which this process was told
/// that it leaves. What was told binds from then on.
#[test]
fn a_move_to_a_service_that_is_behind_brings_nothing_back() {
    const TOLD_WITHIN: Duration = ms(500);
    let play = |instances| {
        let scene = Scenario::start(ListedUpstreams::start(1), instances, 3);
        scene.wait_for_watch();
        thread::sleep(QUIET);
        let left = scene.discovery.drain(UPSTREAM_NAMES[0]);
        thread::sleep(TOLD_WITHIN);
        scene.reconfigure(scene.discovery.answer_at_another_address(ms(4_000)), false);
        thread::sleep(NOTIFIED_AFTER);
        scene.late_arrivals(left + TOLD_WITHIN)
    };
    let playing: Vec<_> = [1, 9].map(|n| thread::spawn(move || play(n))).into();
    let breaks: Vec<usize> = playing.into_iter().map(|p| p.join().unwrap()).collect();
    println!("requests too late at 1 and 9 instances: {breaks:?}");
    assert_eq!(breaks, [0, 0]);
}
