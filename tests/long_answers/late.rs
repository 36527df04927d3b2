//! Answers that have begun and whose bodies come late: an attempt's time does not end them.

use crate::client::{request, Seen, FULL_SPEED};
use crate::support::{config_text, free_address, host_entry, look_request, Balancer, Discovery, SETTINGS};
use crate::upstream::{Answer, Ending, Framing, LongUpstream, FRAMINGS};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The aim of both classes.
const AIM: Duration = Duration::from_millis(600);
/// The client's time for a request.
pub const CLIENT_TIME: Duration = Duration::from_millis(1_500);
/// A balancer may be held up for this long between its clock and its write.
const HELD_UP: Duration = Duration::from_millis(150);
/// The length of an answer that was cut off at the operators (73, evidence 1).
const REPORTED_LENGTH: usize = 147_223;
const LONGEST_BODY: usize = 32 << 20;
/// The longest answer whose last byte is timed.
const LONGEST_TIMED_BODY: usize = 64 << 10;

static NEXT_ID: AtomicU32 = AtomicU32::new(0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Safe,
    Unsafe,
}

const CLASSES: [Class; 2] = [Class::Safe, Class::Unsafe];

/// The program before some upstreams.
struct Play {
    upstreams: Vec<LongUpstream>,
    _discovery: Discovery,
    balancer: Balancer,
}

impl Play {
    /// Starts the program before one upstream that gives every request this answer.
    fn start(answer: Answer) -> Play {
        Play::before(vec![LongUpstream::start(move |_| answer)])
    }

    fn before(upstreams: Vec<LongUpstream>) -> Play {
        let discovery = Discovery::start();
        let address = free_address();
        let hosts: Vec<String> = (upstreams.iter().enumerate())
            .map(|(n, upstream)| host_entry(&format!("s{n}"), upstream.address, 0, "SERVING"))
            .collect();
        let text = config_text(address, discovery.address, 1024, &hosts).replace(SETTINGS, &settings());
        let balancer = Balancer::start_with_config(address, &text, |_| {});
        Play { upstreams, _discovery: discovery, balancer }
    }

    /// Sends a request on a new connection and reads its answer at full speed. `cost`: its work, in
    /// microseconds.
    fn ask(&self, class: Class, cost: u32) -> Seen {
        let text = match class {
            Class::Safe => look_request("1.5").replace("Req-Cost: 2000", &format!("Req-Cost: {cost}")),
            Class::Unsafe => unsafe_request("part", cost),
        };
        request(self.balancer.address, &text, FULL_SPEED).expect("an answer")
    }

    fn attempts(&self) -> usize {
        self.upstreams.iter().map(LongUpstream::attempts).sum()
    }

    fn cut_off(&self) -> usize {
        self.upstreams.iter().map(LongUpstream::cut_off).sum()
    }
}

/// A request of the unsafe class for this part, with a cost in microseconds.
pub fn unsafe_request(part: &str, cost: u32) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /book/{part} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: u{id}\r\nReq-Deadline: 1.5\r\nReq-Cost: {cost}\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// The settings with an aim of 0.6 s for both classes, and the second one unsafe to repeat.
pub fn settings() -> String {
    SETTINGS
        .replace("\"SloUs\":1500000", "\"SloUs\":600000")
        .replace("\"HardLimitUs\":6000000", "\"HardLimitUs\":1500000")
        .replace("\"Semantics\":\"keyed\",\"SloUs\":6000000", "\"Semantics\":\"unsafe\",\"SloUs\":600000")
}

/// Near what the upstreams take until their heads.
const LONG_COST: u32 = 140_000;
/// An attempt at this cost is overdue long before the aim.
const SHORT_COST: u32 = 2_000;

/// An answer of 147,000 bytes a second, whose head comes after 0.14 s and the rest of whose body this much
/// later.
fn late(framing: Framing, length: usize, opening: usize, body_delay: Duration) -> Answer {
    let paced = Answer::whole(framing, length).paced(7_350, Duration::from_millis(50));
    Answer { delay: Duration::from_millis(140), opening, body_delay, ..paced }
}

/// The answer comes whole, each byte once, from an attempt that is not cut off; others may run beside it only
/// where the class allows a repeat.
fn assert_whole(answer: Answer, class: Class) {
    let play = Play::start(answer);
    let seen = play.ask(class, LONG_COST);
    assert!(seen.is_whole(answer.length), "{class:?}, {answer:?}: {seen:?}");
    if answer.length > LONGEST_TIMED_BODY {
        assert!(seen.first_byte_after < AIM + HELD_UP, "{class:?}, {answer:?}: {seen:?}");
    }
    let (attempts, cut_off) = (play.attempts(), play.cut_off());
    assert!(cut_off < attempts && (class == Class::Safe || attempts == 1), "{class:?}, {answer:?}");
}

/// Runs the same play in each framing, side by side.
fn in_each_framing(play: impl Fn(Framing) + Sync) {
    thread::scope(|scope| {
        for framing in FRAMINGS {
            let play = &play;
            scope.spawn(move || play(framing));
        }
    });
}

#[test]
fn an_unsafe_answer_whose_body_comes_after_the_aim_is_not_cut_off() {
    in_each_framing(|framing| {
        for delay_ms in [600, 1_200] {
            let answer = late(framing, REPORTED_LENGTH, 0, Duration::from_millis(delay_ms));
            assert_whole(answer, Class::Unsafe);
        }
    });
}

#[test]
fn a_safe_answer_whose_body_comes_after_the_aim_is_not_cut_off() {
    in_each_framing(|framing| {
        for delay_ms in [600, 1_200] {
            let answer = late(framing, REPORTED_LENGTH, 0, Duration::from_millis(delay_ms));
            assert_whole(answer, Class::Safe);
        }
    });
}

#[test]
fn an_answer_that_pauses_after_its_first_bytes_is_not_cut_off() {
    for class in CLASSES {
        in_each_framing(|framing| {
            for opening in [1, 1_000, 5_000, 20_000] {
                let answer = late(framing, REPORTED_LENGTH, opening, Duration::from_millis(600));
                assert_whole(answer, class);
            }
        });
    }
}

#[test]
fn an_answer_of_32_megabytes_whose_body_comes_after_the_aim_is_not_cut_off() {
    for class in CLASSES {
        let fast = Answer::whole(Framing::Length, LONGEST_BODY);
        let delay = Duration::from_millis(140);
        let answer = Answer { delay, body_delay: Duration::from_millis(600), ..fast };
        assert_whole(answer, class);
    }
}

#[test]
fn a_short_answer_that_is_still_written_at_the_aim_is_not_cut_off_before_the_client_s_time() {
    for class in CLASSES {
        in_each_framing(|framing| assert_whole(late(framing, 60_000, 0, Duration::from_millis(200)), class));
    }
}

/// Guards against an early commit at the price of the answer that comes in time from another upstream.
#[test]
fn another_attempt_runs_beside_an_answer_that_has_begun_and_the_first_whole_one_wins() {
    for (framing, length) in
        [(Framing::Length, REPORTED_LENGTH), (Framing::Length, 3_000), (Framing::Chunked, 3_000)]
    {
        let number = std::sync::Arc::new(AtomicUsize::new(0));
        let upstream = || {
            let number = number.clone();
            LongUpstream::start(move |_| match number.fetch_add(1, Ordering::SeqCst) {
                // It states a length that does not fit, or has no end, and falls silent.
                0 => Answer { written: 300, ending: Ending::Silence, ..Answer::whole(framing, length) },
                _ => Answer::whole(framing, length),
            })
        };
        let play = Play::before(vec![upstream(), upstream()]);
        let seen = play.ask(Class::Safe, SHORT_COST);
        assert!(seen.is_whole(length), "{framing:?}, {length}: {seen:?}");
        assert!(seen.ended_after < AIM, "{framing:?}, {length}: {seen:?}");
        assert_eq!(play.attempts(), 2);
    }
}

#[test]
fn an_unsafe_request_is_not_repeated_beside_an_answer_that_has_begun() {
    let answer = Answer { written: 300, ending: Ending::Silence, ..Answer::whole(Framing::Length, 3_000) };
    let play = Play::before(vec![LongUpstream::start(move |_| answer), LongUpstream::start(move |_| answer)]);
    let seen = play.ask(Class::Unsafe, SHORT_COST);
    assert_eq!((seen.status, play.attempts()), (502, 1), "{seen:?}");
    let grace = Duration::from_millis(500);
    assert!(seen.ended_after < CLIENT_TIME + grace, "a final answer in time: {seen:?}");
}
