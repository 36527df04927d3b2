//! Answers over 64 KiB pass through as they come: nothing cuts them off that the upstream still gives, however
//! long they take, and one that breaks half way looks cut to its client. Each play starts the real program.

#[path = "../support/mod.rs"]
mod support;

mod client;
mod drawn;
mod late;
mod silence;
mod upstream;

use client::{request, request_on, End, Pace, Seen, FULL_SPEED};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::{
    config_text, free_address, host_entry, host_list, look_request, wait_until, Balancer, Discovery, SETTINGS,
};
use upstream::{Answer, Ending, Framing, LongUpstream, FRAMINGS};

/// The length of the answer that was cut off at the operators (68, evidence 2).
const REPORTED_LENGTH: usize = 213_394;
/// The longest body that passes through.
const LONGEST_BODY: usize = 32 << 20;
/// The aim of the class, in the settings of these plays.
const AIM: Duration = Duration::from_millis(600);
/// The client's time for a request, in seconds.
const CLIENT_TIME: &str = "1.2";

/// The program with one upstream.
struct Play {
    upstream: LongUpstream,
    discovery: Discovery,
    balancer: Balancer,
}

impl Play {
    /// Starts the program before an upstream that gives every request this answer.
    fn start(answer: Answer) -> Play {
        Play::start_with(192, move |_| answer)
    }

    fn start_with(
        memory_mb: usize,
        choose: impl Fn(&support::Message) -> Answer + Send + Sync + 'static,
    ) -> Play {
        let upstream = LongUpstream::start(choose);
        let discovery = Discovery::start();
        let address = free_address();
        let known = [host_entry("s0", upstream.address, 0, "SERVING")];
        let settings = SETTINGS.replace("\"SloUs\":1500000", "\"SloUs\":600000");
        let text = config_text(address, discovery.address, 1024, &known)
            .replace(SETTINGS, &settings)
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
        let balancer = Balancer::start_with_config(address, &text, |_| {});
        Play { upstream, discovery, balancer }
    }

    /// Sends a request on a new connection and reads its answer at full speed.
    fn ask(&self) -> Seen {
        request(self.balancer.address, &long_request(), FULL_SPEED).expect("an answer")
    }
}

/// 80,000 bytes a second, as at the operators.
fn steady(framing: Framing) -> Answer {
    let answer = Answer::whole(framing, REPORTED_LENGTH).paced(8_000, Duration::from_millis(100));
    Answer { delay: Duration::from_millis(240), ..answer }
}

/// A request of the safe class, with a cost that is near what these upstreams take.
fn long_request() -> String {
    look_request(CLIENT_TIME).replace("Req-Cost: 2000", "Req-Cost: 240000")
}

#[test]
fn an_answer_that_an_upstream_still_writes_is_not_cut_off() {
    for framing in FRAMINGS {
        let play = Play::start(steady(framing));
        let seen = play.ask();
        assert!(seen.is_whole(REPORTED_LENGTH), "{framing:?}: {seen:?}");
        assert!(seen.first_byte_after < AIM, "{framing:?}: {seen:?}");
        assert!(seen.ended_after > Duration::from_secs(2), "the upstream takes longer: {seen:?}");
        assert!(seen.head.contains("x-long: yes"), "{seen:?}");
        assert_eq!((play.upstream.attempts(), play.upstream.cut_off()), (1, 0), "{framing:?}");
    }
}

#[test]
fn an_answer_in_lumps_is_not_cut_off() {
    for framing in FRAMINGS {
        let answer = Answer::whole(framing, 171_311).paced(40_000, Duration::from_millis(500));
        let seen = Play::start(answer).ask();
        assert!(seen.is_whole(171_311), "{framing:?}: {seen:?}");
    }
}

#[test]
fn an_answer_of_30_megabytes_passes_through() {
    for framing in FRAMINGS {
        let play = Play::start(Answer::whole(framing, 30_000_000));
        let seen = play.ask();
        assert!(seen.is_whole(30_000_000), "{framing:?}: {seen:?}");
    }
}

#[test]
fn an_answer_in_small_pieces_passes_through() {
    for framing in FRAMINGS {
        let answer = Answer::whole(framing, 100_000).paced(1, Duration::ZERO);
        let seen = Play::start(answer).ask();
        assert!(seen.is_whole(100_000), "{framing:?}: {seen:?}");
    }
}

#[test]
fn a_client_that_reads_64_kilobytes_a_second_gets_the_whole_answer() {
    // Long enough for the buffers of both kernels not to hold it.
    let length = 1_200_000;
    let play = Play::start(Answer::whole(Framing::Chunked, length));
    let stream = connect_with_small_window(&play);
    let pace = Pace { piece: 8_000, pause: Duration::from_millis(50) };
    let seen = request_on(&stream, &long_request(), pace).unwrap();
    assert!(seen.is_whole(length), "{seen:?}");
    assert!(seen.ended_after > Duration::from_secs(5), "it reads slowly: {seen:?}");
}

/// A connection whose receive buffer holds little.
fn connect_with_small_window(play: &Play) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(8 << 10).unwrap();
    socket.connect(&play.balancer.address.into()).unwrap();
    socket.into()
}

#[test]
fn connections_on_both_sides_carry_the_next_request_after_a_long_answer() {
    for framing in [Framing::Length, Framing::Chunked] {
        let play = Play::start(Answer::whole(framing, REPORTED_LENGTH));
        let stream = TcpStream::connect(play.balancer.address).unwrap();
        for _ in 0..3 {
            let seen = request_on(&stream, &long_request(), FULL_SPEED).expect("an answer");
            assert!(seen.is_whole(REPORTED_LENGTH), "{framing:?}: {seen:?}");
            thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(play.upstream.connections(), 1, "{framing:?}");
    }
}

#[test]
fn a_client_of_http_1_0_gets_a_long_answer_without_chunks() {
    for framing in FRAMINGS {
        let play = Play::start(Answer::whole(framing, REPORTED_LENGTH));
        let asked = long_request().replace("HTTP/1.1", "HTTP/1.0");
        let seen = request(play.balancer.address, &asked, FULL_SPEED).expect("an answer");
        assert!(seen.is_whole(REPORTED_LENGTH), "{framing:?}: {seen:?}");
        assert!(!seen.head.contains("chunked"), "{seen:?}");
    }
}

#[test]
fn a_long_answer_that_breaks_off_looks_cut_to_its_client() {
    for framing in FRAMINGS {
        for version in ["HTTP/1.0", "HTTP/1.1"] {
            let answer = Answer::whole(framing, 500_000).paced(8_000, Duration::from_millis(5));
            let play = Play::start(Answer { written: 150_000, ending: Ending::Reset, ..answer });
            let asked = long_request().replace("HTTP/1.1", version);
            let seen = request(play.balancer.address, &asked, FULL_SPEED).expect("a head");
            assert_eq!((seen.status, seen.end), (200, End::Cut), "{framing:?} {version}: {seen:?}");
            assert!(seen.is_unchanged && seen.body_bytes > 0, "{seen:?}");
            assert_eq!(play.upstream.attempts(), 1, "an answer that has begun is not asked for again");
        }
    }
}

#[test]
fn a_long_answer_that_stops_before_it_flows_is_tried_again() {
    let first = AtomicBool::new(true);
    let whole = Answer::whole(Framing::Length, REPORTED_LENGTH);
    let stops = Answer { written: 300, ending: Ending::Silence, ..whole };
    let choose = move |_: &_| if first.swap(false, Ordering::SeqCst) { stops } else { whole };
    let play = Play::start_with(192, choose);
    // By its cost the first attempt is overdue long before the aim.
    let seen = request(play.balancer.address, &look_request(CLIENT_TIME), FULL_SPEED).expect("an answer");
    assert!(seen.is_whole(REPORTED_LENGTH), "{seen:?}");
}

#[test]
fn an_answer_beyond_the_longest_is_never_served() {
    let play = Play::start(Answer { length: 3_000_000_000, ..Answer::whole(Framing::Length, 100_000) });
    let seen = play.ask();
    assert!(matches!(seen.status, 502 | 503), "{seen:?}");
    for framing in [Framing::Chunked, Framing::UntilClose] {
        let play = Play::start(Answer::whole(framing, LONGEST_BODY + 1));
        let seen = play.ask();
        assert_eq!((seen.status, seen.end), (200, End::Cut), "{framing:?}: {seen:?}");
    }
    let seen = Play::start(Answer::whole(Framing::Chunked, LONGEST_BODY)).ask();
    assert!(seen.is_whole(LONGEST_BODY), "{seen:?}");
}

#[test]
fn the_upstream_s_connection_ends_when_the_client_of_a_long_answer_leaves() {
    let play = Play::start(steady(Framing::Chunked));
    let mut client = play.balancer.connect();
    client.send(&long_request());
    client.read_head().unwrap();
    drop(client);
    wait_until("the end of the upstream's connection", || play.upstream.cut_off() == 1);
    assert_eq!(play.upstream.attempts(), 1);
}

/// Runs `disturb` while an answer passes through, and returns the answer.
fn disturbed(play: &mut Play, disturb: impl FnOnce(&mut Play)) -> Seen {
    let address = play.balancer.address;
    let client = thread::spawn(move || request(address, &long_request(), FULL_SPEED).expect("an answer"));
    thread::sleep(Duration::from_millis(900));
    disturb(play);
    client.join().unwrap()
}

#[test]
fn a_long_answer_is_not_cut_off_by_sigterm() {
    for framing in FRAMINGS {
        let mut play = Play::start(steady(framing));
        let seen = disturbed(&mut play, |play| play.balancer.signal("TERM"));
        assert!(seen.is_whole(REPORTED_LENGTH), "{framing:?}: {seen:?}");
        assert!(play.balancer.wait_for_exit().success());
    }
}

#[test]
fn a_long_answer_is_not_cut_off_by_a_reload() {
    let mut play = Play::start(steady(Framing::Chunked));
    let seen = disturbed(&mut play, |play| {
        let text = std::fs::read_to_string(&play.balancer.config).unwrap();
        std::fs::write(&play.balancer.config, text.replace("\"Worth\":2.0", "\"Worth\":3.0")).unwrap();
        play.balancer.signal("HUP");
    });
    assert!(seen.is_whole(REPORTED_LENGTH), "{seen:?}");
}

#[test]
fn a_long_answer_of_an_upstream_that_drains_or_leaves_is_not_cut_off() {
    for health in ["DRAINING", "DELETED"] {
        let mut play = Play::start(steady(Framing::Length));
        let (_, mut watch) = play.discovery.next_watch();
        let seen = disturbed(&mut play, |play| {
            let host = host_entry("s0", play.upstream.address, 0, health);
            watch.write_chunk(&format!("{}\n", host_list(8, false, &[host])));
        });
        assert!(seen.is_whole(REPORTED_LENGTH), "{health}: {seen:?}");
    }
}

/// Guards against memory that grows with the bodies: 200 of 32 MB are on the way at once.
#[test]
fn two_hundred_long_answers_that_are_read_slowly_stay_within_the_memory() {
    const CLIENTS: usize = 200;
    const MEMORY_MB: usize = 32;
    const PLAY_TIME: Duration = Duration::from_secs(6);
    /// The clients come one after the other: the concurrency limit knows no service time at first.
    const ARRIVAL_INTERVAL: Duration = Duration::from_millis(10);
    let play = Play::start_with(MEMORY_MB, |_| Answer::whole(Framing::Chunked, LONGEST_BODY));
    let address = play.balancer.address;
    let read_bytes = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let read_bytes = read_bytes.clone();
            thread::sleep(ARRIVAL_INTERVAL);
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.write_all(long_request().as_bytes()).unwrap();
                let begin = Instant::now();
                let mut piece = [0; 3_200];
                let mut client_bytes = 0;
                while begin.elapsed() < PLAY_TIME {
                    let count = stream.read(&mut piece).unwrap_or(0);
                    thread::sleep(Duration::from_millis(50));
                    // One that is refused asks again: it was told that this is harmless.
                    if client_bytes == 0 && piece.starts_with(b"HTTP/1.1 503") {
                        stream.write_all(long_request().as_bytes()).unwrap();
                        continue;
                    }
                    client_bytes += count;
                }
                read_bytes.fetch_add(client_bytes, Ordering::SeqCst);
                client_bytes
            })
        })
        .collect();
    let (begin, mut peak_kb) = (Instant::now(), 0);
    while begin.elapsed() < PLAY_TIME {
        peak_kb = peak_kb.max(anonymous_kb(play.balancer.child.id()));
        thread::sleep(Duration::from_millis(10));
    }
    let by_client: Vec<usize> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    let (least, total) = (by_client.iter().min().unwrap(), read_bytes.load(Ordering::SeqCst));
    println!("peak {peak_kb} kB, {total} bytes read, the least {least}");
    assert!(peak_kb < (MEMORY_MB as u64) << 10, "{peak_kb} kB");
    assert!(*least > 64 << 10, "each body moves: {by_client:?}");
}

/// The memory of a process without files, in kB.
fn anonymous_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).unwrap_or("0");
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Plays the seeds that the environment gives (LONG_SEEDS of them, from LONG_FROM on), else four.
fn play_seeds(play: impl Fn(u64) -> (usize, Vec<String>)) {
    let given = |name: &str| std::env::var(name).ok().map(|v| v.parse::<u64>().expect(name));
    let (seeds, from) = (given("LONG_SEEDS").unwrap_or(4), given("LONG_FROM").unwrap_or(1));
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let (whole, faults) = play(seed);
        println!("seed {seed}: {whole} whole, faults {faults:?}");
        assert!(whole > 0, "seed {seed}");
        broken.extend((!faults.is_empty()).then_some(seed));
    }
    assert!(broken.is_empty(), "broken seeds: {broken:?}");
}

/// By hand: LONG_SEEDS=50 LONG_FROM=100 cargo test --release --locked --test long_answers -- drawn_ --nocapture
#[test]
fn drawn_long_answers_are_whole_or_look_cut_up_to_the_kill() {
    play_seeds(drawn::play);
}

#[test]
fn drawn_late_bodies_of_unsafe_requests_are_not_cut_off_up_to_the_kill() {
    play_seeds(drawn::play_late);
}
