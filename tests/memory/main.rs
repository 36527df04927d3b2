//! The process stays within `limits.memory_mb` whatever clients and upstreams send, and serves its usual
//! clients meanwhile. Each scene starts the real program with clients of several kinds and watches the memory
//! of the process from outside.

#[path = "../support/mod.rs"]
mod support;

mod clients;
mod scene;
mod upstream;

use clients::{Client, Kind};
use fastrand::Rng;
use scene::{play, Scene};
use std::time::Duration;

/// As many connections as the pages let clients hold for requests, of 1,024 descriptors.
const CROWD: usize = 316;
/// The longest body of a request.
const LONGEST_BODY: usize = 64 << 10;
/// The longest answer in these scenes, but for those that say otherwise.
const LONGEST_ANSWER: usize = 1 << 20;
/// How long a scene goes on in the test suite.
const SCENE_TIME: Duration = Duration::from_secs(4);

fn scene(memory_mb: u64, clients: &[(usize, Kind)]) -> Scene {
    Scene {
        memory_mb,
        clients: clients.to_vec(),
        idle_hosts: 0,
        reloads: false,
        duration: SCENE_TIME,
        seed: 1,
    }
}

/// Guards against whole requests that no limit counts (review/1): 316 of 64 KiB at once took 32 MB.
#[test]
fn whole_requests_at_once_stay_within_the_memory_limit() {
    let crowd = Kind::Sender { body: LONGEST_BODY, at_once: 1, answer: 200, wait_ms: 300 };
    play(&scene(32, &[(CROWD, crowd)])).assert_held();
}

/// Guards against requests that wait behind another on their connection and are not counted.
#[test]
fn requests_in_one_write_stay_within_the_memory_limit() {
    let crowd = Kind::Sender { body: 30 << 10, at_once: 24, answer: 200, wait_ms: 300 };
    let short = Kind::Sender { body: 2 << 10, at_once: 24, answer: 200, wait_ms: 300 };
    play(&scene(48, &[(CROWD / 2, crowd), (CROWD / 2, short)])).assert_held();
}

/// Guards against parts of requests that are each too short to be looked at.
#[test]
fn many_incomplete_requests_stay_within_the_memory_limit() {
    let kinds = [14 << 10, 60 << 10].map(|sent| (CROWD / 2, Kind::Halting { sent }));
    play(&scene(32, &kinds)).assert_held();
}

/// Guards against heads of very many short fields and long requests that stop half way (68, picture c).
#[test]
fn many_fields_and_long_requests_that_stop_stay_within_the_memory_limit() {
    let kinds = [Kind::ManyFields { fields: 3_500 }, Kind::HaltingLong { sent: 300_000 }];
    play(&scene(32, &kinds.map(|kind| (CROWD / 2, kind)))).assert_held();
}

/// Guards against answers that are whole at once, and so are not counted, while their clients do not read.
#[test]
fn answers_that_are_not_read_stay_within_the_memory_limit() {
    let answers = [(60, LONGEST_ANSWER), (120, 200 << 10), (120, 60 << 10)];
    let slow = |answer| Kind::SlowReader { answer, bytes_per_second: 16 << 10 };
    play(&scene(32, &answers.map(|(count, answer)| (count, slow(answer))))).assert_held();
}

/// Guards against bodies of 32 MB on the way to hundreds of clients that read slowly (68, picture c).
#[test]
fn the_longest_answers_that_are_read_slowly_stay_within_the_memory_limit() {
    let slow = Kind::SlowReader { answer: 32 << 20, bytes_per_second: 64 << 10 };
    play(&scene(32, &[(CROWD, slow)])).assert_held();
}

/// Guards against answers to a client that goes on sending and never reads: they have no bound by themselves.
#[test]
fn requests_whose_answers_are_not_read_stay_within_the_memory_limit() {
    play(&scene(32, &[(40, Kind::ReadyFlood), (40, Kind::UnreadAnswers { answer: 4 << 10 })])).assert_held();
}

/// Guards against requests that are kept although their clients have gone.
#[test]
fn requests_of_clients_that_leave_stay_within_the_memory_limit() {
    play(&scene(32, &[(CROWD / 2, Kind::Leaver { body: LONGEST_BODY })])).assert_held();
}

/// Guards against buffers that connections keep between requests: each burst started from a higher level.
#[test]
fn burst_after_burst_stays_within_the_memory_limit() {
    let bursts = Kind::Bursts { body: 40 << 10, answer: 40 << 10 };
    play(&Scene { reloads: true, ..scene(32, &[(CROWD, bursts)]) }).assert_held();
}

/// Guards against lists that take the memory: whole lists of 3,200 hosts are told over and over, beside SIGHUP.
#[test]
fn long_lists_stay_within_the_memory_limit() {
    let crowd = Kind::Sender { body: LONGEST_BODY, at_once: 1, answer: 200, wait_ms: 300 };
    let scene = Scene { idle_hosts: 3_190, reloads: true, ..scene(32, &[(CROWD, crowd)]) };
    play(&scene).assert_held();
}

/// Clients of several kinds, drawn from a seed, at 32 to 192 MB. By hand: MEMORY_SEEDS=50 MEMORY_FROM=100
/// MEMORY_SECONDS=20 cargo test --locked --test memory -- drawn_crowds --nocapture
#[test]
fn drawn_crowds_stay_within_the_memory_limit() {
    let given = |name: &str| std::env::var(name).ok().map(|v| v.parse::<u64>().expect(name));
    let (seeds, from) = (given("MEMORY_SEEDS").unwrap_or(3), given("MEMORY_FROM").unwrap_or(1));
    let duration = given("MEMORY_SECONDS").map_or(SCENE_TIME, Duration::from_secs);
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let result = play(&drawn(seed, duration));
        println!("seed {seed}: {result}");
        if result.faults().is_empty() {
            continue;
        }
        broken.push(seed);
    }
    assert!(broken.is_empty(), "broken seeds: {broken:?}");
}

/// A scene drawn from a seed.
fn drawn(seed: u64, duration: Duration) -> Scene {
    let mut rng = Rng::with_seed(seed);
    let memory_mb = [32, 32, 48, 64, 96, 192][rng.usize(..6)];
    let mut left = CROWD;
    let mut clients = Vec::new();
    while left > 0 {
        let count = rng.usize(1..=left.min(160));
        clients.push((count, Client::draw(&mut rng, LONGEST_BODY, LONGEST_ANSWER)));
        left -= count;
    }
    Scene { memory_mb, clients, idle_hosts: 0, reloads: rng.bool(), duration, seed }
}
