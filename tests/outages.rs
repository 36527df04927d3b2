//! Discovery that is overloaded or unreachable: readiness, requests and descriptors do not depend on its
//! answers, and processes call it at a bounded rate.

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

/// The time within which a process with a known list has to be ready here; the operators' page grants 10 s.
const READY_WITHIN: Duration = Duration::from_secs(3);

/// How the overloaded discovery treats its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overload {
    /// The queue of its listener is full, so that no connection is established.
    NeverAccepts,
    /// It reads calls and never answers them.
    NeverAnswers,
    /// It answers each call with a 503 at once.
    RefusesAtOnce,
    /// It answers each call with a 503 after [`LATE_REFUSAL_DELAY`].
    RefusesLate,
}

const ALL_OVERLOADS: [Overload; 4] =
    [Overload::NeverAccepts, Overload::NeverAnswers, Overload::RefusesAtOnce, Overload::RefusesLate];

/// How long a call waits before it is refused late.
const LATE_REFUSAL_DELAY: Duration = Duration::from_secs(2);

/// An overloaded discovery, which counts the calls that it reads.
struct OverloadedDiscovery {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    /// The listener with a full queue, where no connection is accepted.
    _full_queue: Option<FullQueueUpstream>,
}

impl OverloadedDiscovery {
    fn start(how: Overload) -> OverloadedDiscovery {
        let calls = Arc::new(AtomicUsize::new(0));
        if let Overload::NeverAccepts = how {
            let full = FullQueueUpstream::fill_queue(listen_with_short_queue());
            return OverloadedDiscovery { address: full.address, calls, _full_queue: Some(full) };
        }
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let counted = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let counted = counted.clone();
                thread::spawn(move || handle_calls(stream.unwrap(), how, &counted));
            }
        });
        OverloadedDiscovery { address, calls, _full_queue: None }
    }
}

/// Reads calls from one connection, and refuses or ignores them.
fn handle_calls(mut stream: TcpStream, how: Overload, calls: &AtomicUsize) {
    let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
    while Message::read(&mut input).is_some() {
        calls.fetch_add(1, Ordering::SeqCst);
        match how {
            Overload::NeverAccepts | Overload::NeverAnswers => continue,
            Overload::RefusesAtOnce => {}
            Overload::RefusesLate => thread::sleep(LATE_REFUSAL_DELAY),
        }
        if stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// The processor time that a process has used since its start.
fn processor_time(balancer: &Balancer) -> Duration {
    const TICKS_A_SECOND: u64 = 100;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", balancer.child.id())).unwrap();
    // The first field after the name in parentheses is field 3; fields 14 and 15 are user and system time.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |n: usize| fields[n - 3].parse::<u64>().unwrap();
    Duration::from_millis((ticks(14) + ticks(15)) * 1000 / TICKS_A_SECOND)
}

/// Guards against restarted processes that wait for an overloaded discovery: they have to be ready and to
/// answer. Guards also against requests sent by the list of the configuration, which may be of any age, where
/// discovery may be up.
#[test]
fn a_process_with_a_known_list_is_ready_while_discovery_is_overloaded() {
    for how in ALL_OVERLOADS {
        let up = Upstream::start(|_| ok_reply("x"));
        let discovery = OverloadedDiscovery::start(how);
        let address = free_address();
        let text =
            config_text(address, discovery.address, 1024, &[host_entry("s", up.address, 0, "SERVING")]);
        let started = Instant::now();
        let balancer = Balancer::start_with_config(address, &text, |_| {});
        let ready = started.elapsed();
        assert!(ready < READY_WITHIN, "{how:?}: ready after {ready:?}");
        let end = Instant::now() + LATE_REFUSAL_DELAY + Duration::from_secs(1);
        // The list may be of any age. It may be used only where nobody can reach discovery, as no newer one
        // can be had.
        let may_send = how == Overload::NeverAccepts;
        let mut answered = 0;
        while Instant::now() < end {
            let answer = balancer.request(&look_request("1.2"));
            assert_eq!(answer.status(), if may_send { 200 } else { 503 }, "{how:?}");
            assert!(may_send || answer.header("retry-after").is_some(), "{how:?}");
            answered += 1;
            thread::sleep(Duration::from_millis(20));
        }
        println!("{how:?}: ready after {ready:?}, {answered} answered");
        assert_eq!(up.request_count(), if may_send { answered } else { 0 }, "{how:?}");
    }
}

/// Guards against a process without a known list that exits, reports that it is ready, or calls discovery
/// without pause.
#[test]
fn a_process_without_a_list_is_not_ready_and_calls_discovery_at_a_bounded_rate() {
    const OBSERVED: Duration = Duration::from_secs(6);
    /// The pauses between calls grow to at least half a second.
    const MOST_CALLS: usize = 30;
    let observed: Vec<_> = ALL_OVERLOADS
        .iter()
        .map(|&how| thread::spawn(move || observe_unready_process(how, OBSERVED)))
        .collect();
    for (how, observed) in ALL_OVERLOADS.iter().zip(observed) {
        let (calls, used) = observed.join().unwrap();
        println!("{how:?}: {calls} calls, {used:?} of processor time in {OBSERVED:?}");
        assert!(calls <= MOST_CALLS, "{how:?}: {calls} calls in {OBSERVED:?}");
        assert!(used < OBSERVED / 10, "{how:?}: {used:?} of processor time");
    }
}

/// Observes a process without a known list; returns the number of its calls to discovery and its processor
/// time.
fn observe_unready_process(how: Overload, time: Duration) -> (usize, Duration) {
    let discovery = OverloadedDiscovery::start(how);
    let (address, log) = (free_address(), write_config_file(""));
    let text = config_text(address, discovery.address, 1024, &[]);
    let to_log = std::fs::File::options().append(true).open(&log).unwrap();
    let child = program_command(&text).stderr(to_log).spawn().unwrap();
    let mut balancer = Balancer { address, child, config: String::new() };
    wait_until("the listener", || Client::connect(address).is_some());
    let end = Instant::now() + time;
    while Instant::now() < end {
        assert_eq!(balancer.request(READY_REQUEST).status(), 503, "{how:?}");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(balancer.request(&look_request("0.3")).status(), 503, "{how:?}: a waiting client is answered");
    assert!(balancer.child.try_wait().unwrap().is_none(), "{how:?}: the process has ended");
    // Calls whose connections are never established are visible only in the log.
    let failed = std::fs::read_to_string(&log).unwrap().matches("the watch on discovery failed").count();
    (discovery.calls.load(Ordering::SeqCst).max(failed), processor_time(&balancer))
}

/// The limit of descriptors of the process in the tests below, both in its configuration and in the kernel.
const DESCRIPTORS: u32 = 64;

/// The number of descriptors that stay free for a watch that is opened and for connections that are about to
/// close.
const SPARE_DESCRIPTORS: usize = 4;

/// The time within which a lost watch is asked for again, also after some failed calls.
const REOPENED_WITHIN: Duration = Duration::from_secs(1);

/// Starts the program under a limit of the kernel to the descriptors that its configuration states.
fn start_with_descriptor_limit(text: &str, address: SocketAddr) -> Balancer {
    let file = write_config_file(text);
    let mut command = Command::new("sh");
    let program = env!("CARGO_BIN_EXE_garnettally");
    command.args(["-c", &format!("ulimit -n {DESCRIPTORS} && exec \"$0\""), program]);
    command.env("GW_CONFIG", &file).stdout(std::process::Stdio::null()).stderr(std::process::Stdio::null());
    let balancer = Balancer { address, child: command.spawn().unwrap(), config: file };
    wait_until("readiness", || {
        TcpStream::connect(address).is_ok() && balancer.request(READY_REQUEST).status() == 200
    });
    balancer
}

/// Idle connections, more than there are descriptors, which are opened again when they are closed.
struct IdleClients {
    open: Vec<TcpStream>,
    address: SocketAddr,
}

impl IdleClients {
    fn connect_all(address: SocketAddr) -> IdleClients {
        let open = (0..2 * DESCRIPTORS).map(|_| TcpStream::connect(address).unwrap()).collect();
        IdleClients { open, address }
    }

    /// Replaces each connection that was closed by a new one.
    fn reconnect_closed(&mut self) {
        for stream in self.open.iter_mut().filter(|s| is_readable(s)) {
            if let Ok(new) = TcpStream::connect(self.address) {
                *stream = new;
            }
        }
    }

    /// Keeps reconnecting for this time, and meanwhile sends one request after the other, each on a new
    /// connection.
    fn measure_new_clients(&mut self, balancer: &Balancer, time: Duration) -> NewClients {
        let end = Instant::now() + time;
        let mut seen = NewClients::default();
        while Instant::now() < end {
            self.reconnect_closed();
            let started = Instant::now();
            let mut client = balancer.connect();
            // The connection may be closed before the request is read.
            let answer = client
                .stream
                .write_all(look_request("1.2").as_bytes())
                .ok()
                .and_then(|()| client.read_answer());
            match answer.map(|a| a.status()) {
                Some(200) => seen.served += 1,
                None => seen.closed += 1,
                Some(other) => panic!("answered {other}"),
            }
            seen.slowest = seen.slowest.max(started.elapsed());
            seen.descriptors = seen.descriptors.max(open_descriptors(balancer));
            thread::sleep(Duration::from_millis(30));
        }
        seen
    }
}

/// The outcomes of new clients that compete with idle ones.
#[derive(Debug, Default)]
struct NewClients {
    /// The number of requests answered with 200.
    served: usize,
    /// The number of connections closed without an answer.
    closed: usize,
    /// The longest time from the connect to the answer or the close.
    slowest: Duration,
    /// The largest number of descriptors that the process had open.
    descriptors: usize,
}

/// The number of descriptors that a process has open.
fn open_descriptors(balancer: &Balancer) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", balancer.child.id())).unwrap().count()
}

/// Guards against idle clients that take the descriptors which the watch on discovery and the upstreams need,
/// and against an event loop that spins for lack of descriptors: discovery goes away, idle clients take the
/// free descriptors, and discovery returns at another address (SIGHUP) with another upstream.
#[test]
fn idle_clients_do_not_block_discovery_or_upstreams() {
    let (before, after) = (Upstream::start(|_| ok_reply("before")), Upstream::start(|_| ok_reply("after")));
    let first = Discovery::start();
    let address = free_address();
    let text =
        config_text(address, first.address, DESCRIPTORS, &[host_entry("b", before.address, 0, "SERVING")]);
    let balancer = start_with_descriptor_limit(&text, address);
    let (_, watch) = first.next_watch();
    let mut idle = IdleClients::connect_all(address);
    drop((watch, first)); // from now on one call is accepted and closed, and later ones are refused
    let (used_before, time) = (processor_time(&balancer), Duration::from_secs(3));
    let seen = idle.measure_new_clients(&balancer, time);
    let used = processor_time(&balancer) - used_before;
    println!("{seen:?}; {used:?} of processor time in {time:?}");
    // Each idle client reconnects at once, so that a new client waits in the queue behind them.
    assert!(seen.served > 0 && seen.closed <= seen.served / 10, "{seen:?}");
    assert!(seen.slowest < Duration::from_secs(1), "{seen:?}");
    assert!(seen.descriptors + SPARE_DESCRIPTORS <= DESCRIPTORS as usize, "{seen:?}");
    assert!(used < time / 4, "{used:?} of processor time in {time:?}");
    // Discovery returns at another address.
    let returned = Discovery::start();
    let moved = text.replace(
        &format!("\"discovery\":\"{}\"", discovery_address_in(&text)),
        &format!("\"discovery\":\"{}\"", returned.address),
    );
    for _ in 0..2 {
        idle.reconnect_closed();
        std::fs::write(&balancer.config, &moved).unwrap();
        balancer.signal("HUP");
    }
    let (_, mut watch) = returned.next_watch();
    watch.write_chunk(&(host_list(8, true, &[host_entry("a", after.address, 0, "SERVING")]) + "\n"));
    wait_until("the new list", || {
        idle.reconnect_closed();
        balancer.request(&look_request("1.2")).body == b"after"
    });
    // A watch that ends while idle clients take the descriptors is opened again.
    drop(watch);
    idle.reconnect_closed();
    let started = Instant::now();
    returned.next_watch();
    println!("the next watch after {:?}", started.elapsed());
    assert!(started.elapsed() < REOPENED_WITHIN, "{:?}", started.elapsed());
}

/// The address of discovery in a configuration.
fn discovery_address_in(text: &str) -> &str {
    text.split("\"discovery\":\"").nth(1).and_then(|t| t.split('"').next()).unwrap()
}

/// Guards against idle clients that take the descriptors for the watch after a reload, when a second pool
/// exists beside the first for a while: one watch serves both pools.
#[test]
fn idle_clients_do_not_block_the_watch_of_a_second_pool() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let address = free_address();
    let text =
        config_text(address, discovery.address, DESCRIPTORS, &[host_entry("s", up.address, 0, "SERVING")]);
    let balancer = start_with_descriptor_limit(&text, address);
    let (_, watch) = discovery.next_watch();
    let mut idle = IdleClients::connect_all(address);
    std::fs::write(&balancer.config, text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")).unwrap();
    balancer.signal("HUP");
    wait_until("the new settings", || {
        idle.reconnect_closed();
        balancer.request(&look_request("1.2").replace("/look/", "/view/")).status() == 200
    });
    drop(watch);
    idle.reconnect_closed();
    let started = Instant::now();
    discovery.next_watch();
    assert!(started.elapsed() < REOPENED_WITHIN, "{:?}", started.elapsed());
    assert!(
        open_descriptors(&balancer) + SPARE_DESCRIPTORS <= DESCRIPTORS as usize,
        "{} descriptors",
        open_descriptors(&balancer)
    );
}
