//! Upstreams that fall silent while their answers pass through: a pause can't be told from the end, so such an
//! answer is cut off only when its place is needed.

use crate::client::{request, End, Seen, FULL_SPEED};
use crate::support::{
    config_text, free_address, host_entry, look_request, settings_with, wait_until, Balancer, Discovery,
    SETTINGS,
};
use crate::upstream::{Answer, Ending, Framing, LongUpstream};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// How long an upstream is silent at least before its answer gives way to others.
const MIN_SILENCE: Duration = Duration::from_secs(10);
/// Within this time after that it gives way.
const SWEEP_TIME: Duration = Duration::from_secs(2);
const SOCKETS: u32 = 64;
/// Each takes two connections, and 24 sockets are kept for other uses.
const SILENT_CLIENTS: u32 = (SOCKETS - 24) / 2;

/// Answers requests for `/look/silent` with a long body that stops, and others with a short one.
fn start_upstream(body_delay: Duration, ending: Ending) -> LongUpstream {
    LongUpstream::start(move |request| {
        let whole = Answer::whole(Framing::Chunked, 150_000);
        match request.start_line.contains("/silent") {
            true if ending == Ending::Whole => Answer { opening: 20_000, body_delay, ..whole },
            true => Answer { written: 20_000, ending, ..whole },
            false => Answer::whole(Framing::Length, 100),
        }
    })
}

struct Play {
    upstream: LongUpstream,
    _discovery: Discovery,
    balancer: Balancer,
}

impl Play {
    fn start(upstream: LongUpstream, sockets: u32, settings: &str) -> Play {
        let discovery = Discovery::start();
        let address = free_address();
        let hosts = [host_entry("s0", upstream.address, 0, "SERVING")];
        let text = config_text(address, discovery.address, sockets, &hosts).replace(SETTINGS, settings);
        let balancer = Balancer::start_with_config(address, &text, |_| {});
        Play { upstream, _discovery: discovery, balancer }
    }
}

fn ask(address: SocketAddr, path: &str) -> Option<Seen> {
    request(address, &look_request("1.2").replace("/look/part", path), FULL_SPEED)
}

#[test]
fn an_answer_that_pauses_for_12_seconds_is_not_cut_off() {
    let pause = MIN_SILENCE + SWEEP_TIME;
    let play = Play::start(start_upstream(pause, Ending::Whole), 1024, SETTINGS);
    let seen = ask(play.balancer.address, "/look/silent").expect("an answer");
    assert!(seen.is_whole(150_000) && seen.ended_after >= pause, "{seen:?}");
}

/// Guards against silent upstreams that take all connections for as long as they like.
#[test]
fn answers_whose_upstreams_are_silent_give_their_places_to_others_after_10_seconds() {
    let play = Play::start(start_upstream(Duration::ZERO, Ending::Silence), SOCKETS, SETTINGS);
    let address = play.balancer.address;
    let begin = Instant::now();
    let silent: Vec<_> = (0..SILENT_CLIENTS)
        .map(|_| {
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || loop {
                // One that is refused asks again.
                match ask(address, "/look/silent") {
                    Some(seen) if seen.status == 503 => thread::sleep(Duration::from_millis(20)),
                    seen => return seen,
                }
            })
        })
        .collect();
    wait_until("silent answers on all connections", || {
        play.upstream.connections() >= SILENT_CLIENTS as usize
    });
    // The others are refused at first, and ask again.
    while ask(address, "/look/short").is_none_or(|seen| seen.status != 200) {
        assert!(begin.elapsed() < MIN_SILENCE + SWEEP_TIME, "no silent answer gave way");
        thread::sleep(Duration::from_millis(100));
    }
    let waited = begin.elapsed();
    assert!((MIN_SILENCE..MIN_SILENCE + SWEEP_TIME).contains(&waited), "{waited:?}");
    drop(play);
    let seen: Vec<Seen> = silent.into_iter().filter_map(|thread| thread.join().unwrap()).collect();
    assert!(seen.iter().all(|seen| seen.end == End::Cut), "{seen:?}");
}

#[test]
fn the_process_ends_beside_a_silent_answer_which_looks_cut() {
    let settings = settings_with(&[
        ("\"HardLimitUs\":6000000", "\"HardLimitUs\":1500000"),
        ("\"SloUs\":6000000", "\"SloUs\":1500000"),
    ]);
    let mut play = Play::start(start_upstream(Duration::ZERO, Ending::Silence), 1024, &settings);
    let address = play.balancer.address;
    let client = thread::spawn(move || ask(address, "/look/silent").expect("an answer"));
    thread::sleep(Duration::from_millis(500));
    play.balancer.signal("TERM");
    let seen = client.join().unwrap();
    assert_eq!((seen.status, seen.end), (200, End::Cut), "{seen:?}");
    assert!(seen.ended_after >= MIN_SILENCE && seen.ended_after < MIN_SILENCE + SWEEP_TIME, "{seen:?}");
    assert!(play.balancer.wait_for_exit().success());
}
