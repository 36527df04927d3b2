//! Long answers under drawn answers, paces, signals and crowds, up to the kill. What a client may see follows
//! from what the upstream has written alone.

use crate::client::{request_on, End, Pace, Seen, FULL_SPEED};
use crate::late::{settings, unsafe_request, CLIENT_TIME};
use crate::support::{config_text, free_address, host_entry, look_request, Balancer, Discovery, SETTINGS};
use crate::upstream::{Answer, Ending, LongUpstream, FRAMINGS};
use fastrand::Rng;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 8;
/// How many clients a crowd has.
const CROWD: usize = 60;
/// From the start of the clients to SIGTERM.
const SERVING_TIME: Duration = Duration::from_secs(3);
/// From SIGTERM to SIGKILL: the longest deadline, which counts as 3 s at the most, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// A request that arrives this long after SIGTERM, or earlier, is answered before SIGKILL.
const ANSWERED_IF_BEFORE: Duration = Duration::from_millis(700);
/// How much later than its upstream means to send it a head may arrive.
const HEAD_SLACK: Duration = Duration::from_millis(100);
/// A close between requests may cross the next request, which is then unanswered at once.
const CROSSING_TIME: Duration = Duration::from_millis(50);

/// An answer is chosen by the request: its seed is part of the path.
fn drawn_answer(seed: u64) -> Answer {
    let mut rng = Rng::with_seed(seed);
    let framing = FRAMINGS[rng.usize(..3)];
    let length =
        [rng.usize(70_000..200_000), rng.usize(70_000..2_000_000), rng.usize(1..64_000)][rng.usize(..3)];
    let pieces = rng.usize(1..60);
    let pause = Duration::from_millis(rng.u64(..15));
    let answer = Answer::whole(framing, length).paced(length / pieces + 1, pause);
    match rng.u8(..5) {
        0 => Answer { ending: Ending::Reset, written: rng.usize(..length), ..answer },
        _ => answer,
    }
}

/// What became of one request that broke a rule, in words.
fn fault(seed: u64, seen: &Seen) -> Option<String> {
    let answer = drawn_answer(seed);
    let is_refused = matches!(seen.status, 502 | 503) && seen.end == End::Whole;
    let is_held = match answer.ending {
        Ending::Whole => is_refused || seen.is_whole(answer.length),
        // It broke off before its end: a client must not take it for whole.
        Ending::Reset | Ending::Silence => is_refused || seen.end == End::Cut,
    };
    (!is_held || !seen.is_unchanged && seen.status == 200)
        .then(|| format!("answer {seed}, {answer:?}: {seen:?}"))
}

/// A client that keeps its connection for as long as it stays open.
struct DrawnClient {
    address: SocketAddr,
    seed: u64,
    pace: Pace,
    killed: Arc<AtomicBool>,
    faults: Arc<Mutex<Vec<String>>>,
}

impl DrawnClient {
    /// Sends requests one after the other until the process is killed; returns how many answers came whole.
    fn run(&self) -> usize {
        let mut rng = Rng::with_seed(self.seed);
        let (mut kept, mut whole) = (None, 0);
        while !self.killed.load(Ordering::SeqCst) {
            let is_new = kept.is_none();
            let Some(stream) = kept.take().or_else(|| TcpStream::connect(self.address).ok()) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let seed = rng.u64(1..1 << 40);
            let text = look_request("1.2").replace("/look/part", &format!("/look/{seed}"));
            let version = if rng.u8(..6) == 0 { "HTTP/1.0" } else { "HTTP/1.1" };
            let sent_at = Instant::now();
            let seen = request_on(&stream, &text.replace("HTTP/1.1", version), self.pace);
            if self.killed.load(Ordering::SeqCst) {
                break;
            }
            match seen {
                Some(seen) => {
                    whole += usize::from(seen.is_whole(drawn_answer(seed).length));
                    self.faults.lock().unwrap().extend(fault(seed, &seen));
                    let stays_open = seen.end == End::Whole && !seen.head.contains("connection: close");
                    kept = (stays_open && version == "HTTP/1.1").then_some(stream);
                }
                None if is_new && sent_at.elapsed() > CROSSING_TIME => {
                    self.faults.lock().unwrap().push(format!("answer {seed}: none on a new connection"));
                }
                None => {}
            }
        }
        whole
    }
}

/// Plays one seed; returns the number of whole answers and the faults.
pub fn play(seed: u64) -> (usize, Vec<String>) {
    let mut rng = Rng::with_seed(seed);
    let hosts: Vec<String> = (0..UPSTREAMS)
        .map(|n| {
            let upstream = LongUpstream::start(|request| {
                let path = request.start_line.split(['/', '?', ' ']).nth(3).unwrap();
                drawn_answer(path.parse().unwrap())
            });
            host_entry(&format!("s{n}"), upstream.address, 0, "SERVING")
        })
        .collect();
    let discovery = Discovery::start();
    let address = free_address();
    let memory = format!("\"memory_mb\":{}", [32, 48, 192][rng.usize(..3)]);
    let text = config_text(address, discovery.address, 1024, &hosts).replace("\"memory_mb\":192", &memory);
    let mut balancer = Balancer::start_with_config(address, &text, |_| {});
    let (killed, faults) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let crowd = if rng.bool() { CROWD } else { 0 };
    let threads: Vec<_> = (0..CLIENTS + crowd)
        .map(|n| {
            let slow = Pace { piece: 16_000, pause: Duration::from_millis(20) };
            let pace = if n >= CLIENTS || rng.u8(..4) == 0 { slow } else { FULL_SPEED };
            let (killed, faults) = (killed.clone(), faults.clone());
            let client = DrawnClient { address, seed: rng.u64(..), pace, killed, faults };
            thread::spawn(move || client.run())
        })
        .collect();
    let serving_until = Instant::now() + SERVING_TIME;
    while Instant::now() < serving_until {
        thread::sleep(Duration::from_millis(rng.u64(50..900)));
        if rng.bool() {
            let worth = format!("\"Worth\":{}.5", rng.u8(1..9));
            std::fs::write(&balancer.config, text.replace("\"Worth\":2.0", &worth)).unwrap();
            balancer.signal("HUP");
        }
    }
    let told_at = Instant::now();
    balancer.signal("TERM");
    for _ in 0..rng.usize(..3) {
        thread::sleep(Duration::from_millis(rng.u64(1..300)));
        balancer.signal(["TERM", "HUP"][rng.usize(..2)]);
    }
    thread::sleep(KILL_AFTER.saturating_sub(told_at.elapsed()));
    killed.store(true, Ordering::SeqCst);
    // The process may have ended by itself.
    let _ = balancer.child.kill();
    let whole = threads.into_iter().map(|t| t.join().unwrap()).sum();
    let faults = std::mem::take(&mut *faults.lock().unwrap());
    (whole, faults)
}

/// An answer of the unsafe class, whose head is in time and whose body may be late in every place.
fn drawn_late_answer(seed: u64) -> Answer {
    let mut rng = Rng::with_seed(seed);
    let framing = FRAMINGS[rng.usize(..3)];
    let length = rng.usize(70_000..300_000);
    let answer = Answer::whole(framing, length).paced(length / 8 + 1, Duration::from_millis(rng.u64(..60)));
    Answer {
        delay: Duration::from_millis(rng.u64(..150)),
        opening: [0, 1, 1_000, 5_000, 20_000][rng.usize(..5)],
        body_delay: Duration::from_millis(rng.u64(..1_500)),
        ..answer
    }
}

/// How far the end of the process has come.
#[derive(Default)]
struct ProcessEnd {
    /// Requests that arrive from now on may be open when SIGKILL comes.
    may_be_open: AtomicBool,
    killed: AtomicBool,
}

/// What became of a client's requests for late answers.
#[derive(Default)]
struct LateAnswers {
    /// The number of answers that came whole.
    whole: usize,
    /// The number of requests that failed before their answer had begun, as the process was about to be killed.
    unbegun: usize,
    /// Those that broke a rule, in words.
    faults: Vec<String>,
}

/// Sends unsafe requests one after the other on a connection that is kept while it stays open, until the
/// kill; returns what became of them.
fn ask_for_late_answers(address: SocketAddr, seed: u64, end: &ProcessEnd) -> LateAnswers {
    let mut rng = Rng::with_seed(seed);
    let (mut kept, mut seen_by_client) = (None, LateAnswers::default());
    while !end.killed.load(Ordering::SeqCst) {
        let Some(stream) = kept.take().or_else(|| TcpStream::connect(address).ok()) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let seed = rng.u64(1..1 << 40);
        let answer = drawn_late_answer(seed);
        let (sent_at, may_be_open) = (Instant::now(), end.may_be_open.load(Ordering::SeqCst));
        let Some(seen) = request_on(&stream, &unsafe_request(&seed.to_string(), 100_000), FULL_SPEED) else {
            let is_allowed = may_be_open || sent_at.elapsed() < CROSSING_TIME;
            seen_by_client.faults.extend((!is_allowed).then(|| format!("answer {seed}, {answer:?}: none")));
            continue;
        };
        let is_whole = seen.is_whole(answer.length);
        if may_be_open && end.killed.load(Ordering::SeqCst) {
            break;
        }
        seen_by_client.whole += usize::from(is_whole);
        let is_late = seen.first_byte_after > CLIENT_TIME;
        seen_by_client.faults.extend(is_late.then(|| format!("answer {seed}, {answer:?}: late, {seen:?}")));
        // One that was sent nowhere is refused.
        let had_begun = sent_at.elapsed() > answer.delay + HEAD_SLACK;
        if may_be_open && seen.status == 502 && !had_begun {
            seen_by_client.unbegun += 1;
        } else if !is_whole && seen.status != 503 {
            seen_by_client.faults.push(format!("answer {seed}, {answer:?}: {seen:?}"));
        }
        let stays_open = seen.end == End::Whole && !seen.head.contains("connection: close");
        kept = stays_open.then_some(stream);
    }
    seen_by_client
}

/// Plays late answers of the unsafe class with reloads, up to the time of SIGKILL after SIGTERM; returns the
/// number of whole answers and the faults.
pub fn play_late(seed: u64) -> (usize, Vec<String>) {
    let mut rng = Rng::with_seed(seed);
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|_| {
            LongUpstream::start(|request| {
                let path = request.start_line.split(['/', '?', ' ']).nth(3).unwrap();
                drawn_late_answer(path.parse().unwrap())
            })
        })
        .collect();
    let hosts: Vec<String> = (upstreams.iter().enumerate())
        .map(|(n, upstream)| host_entry(&format!("s{n}"), upstream.address, 0, "SERVING"))
        .collect();
    let discovery = Discovery::start();
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &hosts).replace(SETTINGS, &settings());
    let mut balancer = Balancer::start_with_config(address, &text, |_| {});
    let end = Arc::new(ProcessEnd::default());
    let crowd = if rng.bool() { CROWD } else { 0 };
    let threads: Vec<_> = (0..CLIENTS + crowd)
        .map(|_| {
            let (seed, end) = (rng.u64(..), end.clone());
            thread::spawn(move || ask_for_late_answers(address, seed, &end))
        })
        .collect();
    let serving_until = Instant::now() + SERVING_TIME;
    while Instant::now() < serving_until {
        thread::sleep(Duration::from_millis(rng.u64(50..900)));
        let worth = format!("\"Worth\":{}.5", rng.u8(1..9));
        std::fs::write(&balancer.config, text.replace("\"Worth\":2.0", &worth)).unwrap();
        balancer.signal("HUP");
    }
    let told_at = Instant::now();
    balancer.signal("TERM");
    for _ in 0..rng.usize(..3) {
        thread::sleep(Duration::from_millis(rng.u64(1..300)));
        balancer.signal(["TERM", "HUP"][rng.usize(..2)]);
    }
    thread::sleep(ANSWERED_IF_BEFORE.saturating_sub(told_at.elapsed()));
    end.may_be_open.store(true, Ordering::SeqCst);
    thread::sleep(KILL_AFTER.saturating_sub(told_at.elapsed()));
    let cut_off: usize = upstreams.iter().map(LongUpstream::cut_off).sum();
    end.killed.store(true, Ordering::SeqCst);
    // The process may have ended by itself.
    let _ = balancer.child.kill();
    let mut total = LateAnswers::default();
    for thread in threads {
        let seen = thread.join().unwrap();
        total.whole += seen.whole;
        total.unbegun += seen.unbegun;
        total.faults.extend(seen.faults);
    }
    let is_broken = cut_off > total.unbegun;
    total.faults.extend(is_broken.then(|| format!("{cut_off} cut off, {} not begun", total.unbegun)));
    (total.whole, total.faults)
}
