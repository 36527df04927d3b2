//! Long answers under drawn answers, paces, signals and crowds, up to the kill. What a client may see follows
//! from what the upstream has written alone.

use crate::client::{request_on, End, Pace, Seen, FULL_SPEED};
use crate::support::{config_text, free_address, host_entry, look_request, Balancer, Discovery};
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
