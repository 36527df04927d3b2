//! While discovery is away: readiness, requests and descriptors do not wait for it, and it is not asked in a hurry.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::late::{listen_with_short_queue, FullQueueUpstream};
use support::*;

/// Within this a process with a list from before is ready here; the operators' page grants 10 s.
const READY_WITHIN: Duration = Duration::from_secs(3);

/// What discovery does with those that call it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Swamped {
    NeverAccepts,
    NeverAnswers,
    RefusesAtOnce,
    RefusesLate,
}

const ALL: [Swamped; 4] =
    [Swamped::NeverAccepts, Swamped::NeverAnswers, Swamped::RefusesAtOnce, Swamped::RefusesLate];

/// How late a call is refused.
const LATE: Duration = Duration::from_secs(2);

/// A discovery that has too many callers, and counts the calls that it reads.
struct SwampedDiscovery {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    /// Its queue, where nothing is accepted.
    _full: Option<FullQueueUpstream>,
}

impl SwampedDiscovery {
    fn start(how: Swamped) -> SwampedDiscovery {
        let calls = Arc::new(AtomicUsize::new(0));
        if let Swamped::NeverAccepts = how {
            let full = FullQueueUpstream::fill_queue(listen_with_short_queue());
            return SwampedDiscovery { address: full.address, calls, _full: Some(full) };
        }
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let counted = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let counted = counted.clone();
                thread::spawn(move || refuse(stream.unwrap(), how, &counted));
            }
        });
        SwampedDiscovery { address, calls, _full: None }
    }
}

/// Reads calls from one connection, and refuses them or not.
fn refuse(mut stream: TcpStream, how: Swamped, calls: &AtomicUsize) {
    let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
    while Message::read(&mut input).is_some() {
        calls.fetch_add(1, Ordering::SeqCst);
        match how {
            Swamped::NeverAccepts | Swamped::NeverAnswers => continue,
            Swamped::RefusesAtOnce => {}
            Swamped::RefusesLate => thread::sleep(LATE),
        }
        if stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// The processor time that a process has used.
fn processor_time(b: &Balancer) -> Duration {
    const TICKS_A_SECOND: u64 = 100;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", b.child.id())).unwrap();
    // After the name in brackets the state comes third; user and system time are 14 and 15.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |n: usize| fields[n - 3].parse::<u64>().unwrap();
    Duration::from_millis((ticks(14) + ticks(15)) * 1000 / TICKS_A_SECOND)
}

/// Guards against restarted processes that wait for a discovery which has too many callers: they are ready, and answer. Guards
/// also against requests by the list of the configuration, which may be of any age, where discovery may be up.
#[test]
fn a_process_that_knows_a_list_is_ready_while_discovery_is_swamped() {
    for how in ALL {
        let up = Upstream::start(|_| ok_reply("x"));
        let discovery = SwampedDiscovery::start(how);
        let address = free_address();
        let text =
            config_text(address, discovery.address, 1024, &[host_entry("s", up.address, 0, "SERVING")]);
        let started = Instant::now();
        let b = Balancer::start_with_config(address, &text, |_| {});
        let ready = started.elapsed();
        assert!(ready < READY_WITHIN, "{how:?}: ready after {ready:?}");
        let end = Instant::now() + LATE + Duration::from_secs(1);
        // Its list may be of any age: only where nobody can reach discovery is it as good as another.
        let may_send = how == Swamped::NeverAccepts;
        let mut answered = 0;
        while Instant::now() < end {
            let answer = b.request(&look_request("1.2"));
            assert_eq!(answer.status(), if may_send { 200 } else { 503 }, "{how:?}");
            assert!(may_send || answer.header("retry-after").is_some(), "{how:?}");
            answered += 1;
            thread::sleep(Duration::from_millis(20));
        }
        println!("{how:?}: ready after {ready:?}, {answered} answered");
        assert_eq!(up.request_count(), if may_send { answered } else { 0 }, "{how:?}");
    }
}

/// Guards against a process that dies, says that it is ready, or asks without pause, where it knows no list.
#[test]
fn a_process_that_knows_no_list_asks_at_a_pace_and_is_not_ready() {
    const WATCHED: Duration = Duration::from_secs(6);
    /// Pauses between calls grow to half a second at the least.
    const MOST_CALLS: usize = 30;
    let watched: Vec<_> = ALL.iter().map(|&how| thread::spawn(move || watch_unready(how, WATCHED))).collect();
    for (how, watched) in ALL.iter().zip(watched) {
        let (calls, used) = watched.join().unwrap();
        println!("{how:?}: {calls} calls, {used:?} of processor time in {WATCHED:?}");
        assert!(calls <= MOST_CALLS, "{how:?}: {calls} calls in {WATCHED:?}");
        assert!(used < WATCHED / 10, "{how:?}: {used:?} of processor time");
    }
}

/// Watches a process that knows no list: how often it has called discovery, and the processor time that it took.
fn watch_unready(how: Swamped, watched: Duration) -> (usize, Duration) {
    let discovery = SwampedDiscovery::start(how);
    let (address, log) = (free_address(), write_config_file(""));
    let text = config_text(address, discovery.address, 1024, &[]);
    let to_log = std::fs::File::options().append(true).open(&log).unwrap();
    let child = program_command(&text).stderr(to_log).spawn().unwrap();
    let mut b = Balancer { address, child, config: String::new() };
    wait_until("the listener", || Client::connect(address).is_some());
    let end = Instant::now() + watched;
    while Instant::now() < end {
        assert_eq!(b.request(READY_REQUEST).status(), 503, "{how:?}");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(b.request(&look_request("0.3")).status(), 503, "{how:?}: whoever waits is answered");
    assert!(b.child.try_wait().unwrap().is_none(), "{how:?}: it has ended");
    // Calls whose connections never come up are told by the log alone.
    let failed = std::fs::read_to_string(&log).unwrap().matches("the watch on discovery failed").count();
    (discovery.calls.load(Ordering::SeqCst).max(failed), processor_time(&b))
}

/// The descriptors of the process under the tests below: what the file says, and what the kernel grants.
const DESCRIPTORS: u32 = 64;

/// Some of them stay free for what is opened in between: a watch, and what is about to close.
const SPARE: usize = 4;

/// A watch that was open is asked for again within this, also after some calls that failed.
const WATCHED_AGAIN: Duration = Duration::from_secs(1);

/// Starts the program with no more descriptors than its configuration says.
fn start_confined(text: &str, address: SocketAddr) -> Balancer {
    let file = write_config_file(text);
    let mut command = Command::new("sh");
    let program = env!("CARGO_BIN_EXE_garnettally");
    command.args(["-c", &format!("ulimit -n {DESCRIPTORS} && exec \"$0\""), program]);
    command.env("GW_CONFIG", &file).stdout(std::process::Stdio::null()).stderr(std::process::Stdio::null());
    let b = Balancer { address, child: command.spawn().unwrap(), config: file };
    wait_until("readiness", || {
        TcpStream::connect(address).is_ok() && b.request(READY_REQUEST).status() == 200
    });
    b
}

/// Connections that say nothing and come again when they are closed, more than there are descriptors.
struct Idle {
    open: Vec<TcpStream>,
    address: SocketAddr,
}

impl Idle {
    fn fill(address: SocketAddr) -> Idle {
        let open = (0..2 * DESCRIPTORS).map(|_| TcpStream::connect(address).unwrap()).collect();
        Idle { open, address }
    }

    /// Connects again in the place of each one that was closed.
    fn come_again(&mut self) {
        for stream in self.open.iter_mut().filter(|s| is_readable(s)) {
            if let Ok(new) = TcpStream::connect(self.address) {
                *stream = new;
            }
        }
    }

    /// Goes on like that for a while, and sends a request on a new connection again and again.
    fn press(&mut self, b: &Balancer, time: Duration) -> Pressed {
        let end = Instant::now() + time;
        let mut pressed = Pressed::default();
        while Instant::now() < end {
            self.come_again();
            let asked = Instant::now();
            let mut client = b.connect();
            // It may be shut unread.
            let answer = client
                .stream
                .write_all(look_request("1.2").as_bytes())
                .ok()
                .and_then(|()| client.read_answer());
            match answer.map(|a| a.status()) {
                Some(200) => pressed.served += 1,
                None => pressed.shut += 1,
                Some(other) => panic!("answered {other}"),
            }
            pressed.slowest = pressed.slowest.max(asked.elapsed());
            pressed.descriptors = pressed.descriptors.max(descriptors(b));
            thread::sleep(Duration::from_millis(30));
        }
        pressed
    }
}

/// What became of new clients among the idle ones.
#[derive(Debug, Default)]
struct Pressed {
    served: usize,
    shut: usize,
    slowest: Duration,
    /// The most that the process had open.
    descriptors: usize,
}

/// How many descriptors a process has open.
fn descriptors(b: &Balancer) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", b.child.id())).unwrap().count()
}

/// Guards against idle clients that take the descriptors which the watch on discovery and the upstreams need, and against
/// a loop that spins for want of them: discovery goes away, idle clients fill what there is, and it returns elsewhere
/// (SIGHUP) with another upstream.
#[test]
fn idle_clients_keep_nobody_from_discovery_or_upstreams() {
    let (before, after) = (Upstream::start(|_| ok_reply("before")), Upstream::start(|_| ok_reply("after")));
    let away = Discovery::start();
    let address = free_address();
    let text =
        config_text(address, away.address, DESCRIPTORS, &[host_entry("b", before.address, 0, "SERVING")]);
    let b = start_confined(&text, address);
    let (_, watch) = away.next_watch();
    let mut idle = Idle::fill(address);
    drop((watch, away)); // what calls from now on is accepted once and closed, then refused
    let (used, pressed) = (processor_time(&b), Duration::from_secs(3));
    let came = idle.press(&b, pressed);
    let used = processor_time(&b) - used;
    println!("{came:?}; {used:?} of processor time in {pressed:?}");
    // Each idle client comes again at once, so that a new one waits for its turn behind them.
    assert!(came.served > 0 && came.shut <= came.served / 10, "{came:?}");
    assert!(came.slowest < Duration::from_secs(1), "{came:?}");
    assert!(came.descriptors + SPARE <= DESCRIPTORS as usize, "{came:?}");
    assert!(used < pressed / 4, "{used:?} of processor time in {pressed:?}");
    // Discovery is back.
    let back = Discovery::start();
    let moved = text.replace(
        &format!("\"discovery\":\"{}\"", discovery_in(&text)),
        &format!("\"discovery\":\"{}\"", back.address),
    );
    for _ in 0..2 {
        idle.come_again();
        std::fs::write(&b.config, &moved).unwrap();
        b.signal("HUP");
    }
    let (_, mut watch) = back.next_watch();
    watch.write_chunk(&(host_list(8, true, &[host_entry("a", after.address, 0, "SERVING")]) + "\n"));
    wait_until("the new list", || {
        idle.come_again();
        b.request(&look_request("1.2")).body == b"after"
    });
    // And a watch that ends while they fill the descriptors is opened anew.
    drop(watch);
    idle.come_again();
    let asked = Instant::now();
    back.next_watch();
    println!("the next watch after {:?}", asked.elapsed());
    assert!(asked.elapsed() < WATCHED_AGAIN, "{:?}", asked.elapsed());
}

/// The address of discovery in a configuration.
fn discovery_in(text: &str) -> &str {
    text.split("\"discovery\":\"").nth(1).and_then(|t| t.split('"').next()).unwrap()
}

/// The same with new settings, in which a second pool is there beside the first for a while: one watch serves both.
#[test]
fn idle_clients_keep_no_second_pool_from_its_watch() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let address = free_address();
    let text =
        config_text(address, discovery.address, DESCRIPTORS, &[host_entry("s", up.address, 0, "SERVING")]);
    let b = start_confined(&text, address);
    let (_, watch) = discovery.next_watch();
    let mut idle = Idle::fill(address);
    std::fs::write(&b.config, text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")).unwrap();
    b.signal("HUP");
    wait_until("the new settings", || {
        idle.come_again();
        b.request(&look_request("1.2").replace("/look/", "/view/")).status() == 200
    });
    drop(watch);
    idle.come_again();
    let asked = Instant::now();
    discovery.next_watch();
    assert!(asked.elapsed() < WATCHED_AGAIN, "{:?}", asked.elapsed());
    assert!(descriptors(&b) + SPARE <= DESCRIPTORS as usize, "{} descriptors", descriptors(&b));
}
