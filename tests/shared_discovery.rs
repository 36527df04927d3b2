//! Many real processes share a discovery that handles their calls one after another. After an outage all of
//! them get their watches again, and each process that is notified of a draining upstream stops sending to
//! it.

mod support;

use garnettally_emulator::registry::{CallOutcome, RegistryFigures, RegistryLimits, RegistryQueue};
use garnettally_model::Micros;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use support::*;

const PROCESSES: usize = 30;

/// The number of instances that the settings of each process state: with 16 ms for the call of each, this
/// number makes a cycle of 6.4 s, while the calls of the processes here take 7.8 s in all. With pauses that
/// grow to 2.5 s whatever the number, the processes would ask for 1.9 times what discovery can handle.
const INSTANCES: usize = 400;

/// With these limits a call takes 0.26 s, and one call of each process 7.8 s.
const LIMITS: RegistryLimits = RegistryLimits {
    lines_per_second: 120.0,
    call_lines: 30,
    max_wait: Micros(2_000_000),
    max_backlog: Micros(5_000_000),
};

/// With these limits a call takes 0.13 s, and one call of each process 3.9 s.
const FASTER_LIMITS: RegistryLimits = RegistryLimits { lines_per_second: 240.0, ..LIMITS };

/// The number of instances that the settings state with the faster limits: after a stall, which is noticed
/// within 3.5 s, the calls are spread over 5.4 s, and some processes call later than when the change that
/// they missed binds them.
const INSTANCES_IN_STALL: usize = 290;

/// The number of lines of an answer: one list, or an empty line.
const ANSWER_LINES: u32 = 1;

/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(6);

/// The time after the return of discovery within which all processes have their watches; over 40 seeds in
/// virtual time 16 s was the longest.
const ALL_WATCHES_WITHIN: Duration = Duration::from_secs(22);

/// The most calls that a process may make in this time, on average over all processes.
const MAX_MEAN_CALLS: u64 = 3;

/// How long after the return of discovery an upstream begins to drain.
const DRAINS_AFTER: Duration = Duration::from_secs(1);

/// `DrainGraceUs` of the settings.
const GRACE: Duration = Duration::from_millis(500);

/// The time that a busy machine may need to read a list and to send a request.
const LAG: Duration = Duration::from_millis(500);

/// A change binds a process this long after the process could have asked for it, notified or not; the grace
/// is added.
const BINDS_AFTER: Duration = Duration::from_secs(6);

/// The time between two empty lines on each watch.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The time that the client of each process waits between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The version of the list in the configuration of the processes.
const KNOWN_VERSION: u32 = 7;

/// The state that discovery has for one process.
#[derive(Default)]
struct Subscriber {
    /// The open watch of the process, if there is one.
    watch: Option<TcpStream>,
    /// When the watch was last opened.
    opened: Option<Instant>,
    /// When the change was first written to the process.
    notified: Option<Instant>,
}

/// The state of the shared discovery.
struct State {
    queue: RegistryQueue,
    started: Instant,
    /// Whether calls go through the queue; until then they are answered at once and are not counted.
    uses_queue: bool,
    /// The delta against the known list, as a line, once there is one.
    change: Option<String>,
    subscribers: Vec<Subscriber>,
    /// Watches that are open and on which nothing more is written.
    stalled: Vec<TcpStream>,
}

impl State {
    /// The time since the start of discovery, as the queue counts it.
    fn since_start(&self, at: Instant) -> Micros {
        Micros(at.duration_since(self.started).as_micros() as i64)
    }

    /// Decides whether and when a call is answered.
    fn decide_call(&mut self, now: Instant) -> CallOutcome {
        let at = self.since_start(now);
        match self.uses_queue {
            true => self.queue.call(at, ANSWER_LINES),
            false => CallOutcome::Answered { at },
        }
    }

    /// Answers a call with the change, or with an empty line if there is none, and keeps the connection as
    /// the watch.
    fn open_watch(&mut self, process: usize, mut stream: TcpStream) {
        let line = self.change.clone().unwrap_or_else(|| "\n".to_string());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if write!(stream, "{head}{:x}\r\n{line}\r\n", line.len()).is_err() {
            return;
        }
        let (now, is_changed) = (Instant::now(), self.change.is_some());
        let subscriber = &mut self.subscribers[process];
        (subscriber.watch, subscriber.opened) = (Some(stream), Some(now));
        subscriber.notified = subscriber.notified.or(is_changed.then_some(now));
    }

    /// Writes a line on all watches and drops those that cannot be written to.
    fn write_to_all(&mut self, line: &str) {
        for subscriber in &mut self.subscribers {
            let written = |w: &mut TcpStream| write!(w, "{:x}\r\n{line}\r\n", line.len()).is_ok();
            subscriber.watch = subscriber.watch.take().and_then(|mut w| written(&mut w).then_some(w));
        }
    }

    /// Writes this change on all watches and answers later calls with it.
    fn set_change(&mut self, line: String) {
        self.write_to_all(&line);
        let now = Instant::now();
        for subscriber in self.subscribers.iter_mut().filter(|s| s.watch.is_some()) {
            subscriber.notified = Some(now);
        }
        self.change = Some(line);
    }

    /// Stalls all watches and queues calls from now on.
    fn stall_watches(&mut self) {
        self.uses_queue = true;
        let watches: Vec<TcpStream> = self.subscribers.iter_mut().filter_map(|s| s.watch.take()).collect();
        self.stalled.extend(watches);
    }

    /// Begins an outage of this length: all watches are reset, and calls are queued from now on.
    fn start_outage(&mut self, time: Duration) {
        let now = self.since_start(Instant::now());
        self.queue.set_down(now, now + Micros(time.as_micros() as i64));
        self.uses_queue = true;
        for watch in self.subscribers.iter_mut().filter_map(|s| s.watch.take()) {
            SockRef::from(&watch).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }

    fn count_open_watches(&self) -> usize {
        self.subscribers.iter().filter(|s| s.watch.is_some()).count()
    }
}

/// A discovery with an address for each process and one queue for the calls of all.
struct SharedDiscovery {
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl SharedDiscovery {
    fn start(processes: usize, limits: RegistryLimits) -> SharedDiscovery {
        let subscribers = (0..processes).map(|_| Subscriber::default()).collect();
        let queue = RegistryQueue::new(limits);
        let state = State {
            queue,
            started: Instant::now(),
            uses_queue: false,
            change: None,
            subscribers,
            stalled: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let addresses = (0..processes).map(|process| accept_calls(process, state.clone())).collect();
        let pushed = state.clone();
        thread::spawn(move || loop {
            thread::sleep(EMPTY_LINE_INTERVAL);
            pushed.lock().unwrap().write_to_all("\n");
        });
        SharedDiscovery { addresses, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits until all watches are open or this time has passed; returns the number of open watches.
    fn wait_for_watches(&self, time: Duration) -> usize {
        let end = Instant::now() + time;
        loop {
            let open = self.state().count_open_watches();
            if open == self.addresses.len() || Instant::now() > end {
                return open;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Accepts the calls of one process; returns the address for them.
fn accept_calls(process: usize, state: Arc<Mutex<State>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let state = state.clone();
            thread::spawn(move || handle_call(process, stream.unwrap(), &state));
        }
    });
    address
}

/// Reads a call, waits for its turn in the queue, and answers it.
fn handle_call(process: usize, mut stream: TcpStream, state: &Mutex<State>) {
    if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
        return;
    }
    let (outcome, started) = {
        let mut state = state.lock().unwrap();
        (state.decide_call(Instant::now()), state.started)
    };
    let (CallOutcome::Answered { at } | CallOutcome::Refused { at }) = outcome;
    let due = started + Duration::from_micros(at.0 as u64);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    match outcome {
        CallOutcome::Answered { .. } => state.lock().unwrap().open_watch(process, stream),
        // The caller may have closed the connection.
        CallOutcome::Refused { .. } => {
            drop(stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
        }
    }
}

/// The state of the upstream that drains. It serves until the grace is over, and then declines requests or
/// goes on serving.
#[derive(Clone, Default)]
struct DrainingUpstream {
    /// Whether the upstream serves also after the grace.
    goes_on_serving: bool,
    /// When the upstream began to drain.
    since: Arc<Mutex<Option<Instant>>>,
    /// The process that sent each request to this upstream, and when the request arrived.
    arrivals: Arc<Mutex<Vec<(usize, Instant)>>>,
}

impl DrainingUpstream {
    fn start_upstream(&self) -> Upstream {
        let draining = self.clone();
        Upstream::start(move |message| draining.reply(message))
    }

    fn reply(&self, message: &Message) -> Reply {
        self.arrivals.lock().unwrap().push((sender_of(message), Instant::now()));
        let since = *self.since.lock().unwrap();
        match since.is_some_and(|since| since.elapsed() > GRACE) && !self.goes_on_serving {
            true => error_reply(503, "Srv-Declined: 1\r\n"),
            false => ok_reply("x"),
        }
    }

    /// Checks that no process sends to this upstream for longer than the grace after it was notified or could
    /// have been.
    fn assert_left_in_time(&self, notified: &[Option<Instant>]) {
        let arrivals = self.arrivals.lock().unwrap().clone();
        let drains = self.since.lock().unwrap().expect("the upstream drains");
        let (mut after_notified, mut after_drain, mut late) = (Duration::ZERO, Duration::ZERO, 0);
        for &(process, at) in &arrivals {
            let notified = notified[process].expect("all processes were notified");
            after_notified = after_notified.max(at.saturating_duration_since(notified));
            after_drain = after_drain.max(at.saturating_duration_since(drains));
            late += usize::from(at > drains + GRACE);
        }
        println!(
            "of {} requests to the upstream that drains, {late} come after the grace; the last {after_drain:?} \
             after it drains, and {after_notified:?} after its sender is notified",
            arrivals.len()
        );
        assert!(!arrivals.is_empty(), "no request was ever sent to the draining upstream");
        assert!(after_notified <= GRACE + LAG, "a process sends {after_notified:?} after it was notified");
        assert!(after_drain <= BINDS_AFTER + GRACE + LAG, "a process sends {after_drain:?} after the drain");
    }
}

/// The number of the process in the path, which [`request_of`] has written there.
fn sender_of(message: &Message) -> usize {
    let number = message.start_line.split("/look/p").nth(1).and_then(|rest| rest.split('?').next());
    number.expect("a path with a number").parse().unwrap()
}

/// A request whose path names the process that it is sent through.
fn request_of(process: usize) -> String {
    look_request("1.2").replace("/look/part?", &format!("/look/p{process}?"))
}

/// Starts one process for each address of discovery and waits until all are ready.
fn start_processes(discovery: &SharedDiscovery, instances: usize, known: &[String]) -> Vec<Balancer> {
    let start = |(me, discovery_address): (usize, &SocketAddr)| {
        let address = free_address();
        let numbers = format!(r#""Me":{me},"NInstances":{instances}"#);
        let text = config_text(address, *discovery_address, 1024, known)
            .replace(r#""Me":0,"NInstances":1"#, &numbers);
        let text = text.replace("00000000000000a1", &format!("{:016x}", 0xa1 + me));
        let config = write_config_file(&text);
        Balancer { address, child: program_command_for_file(&config).spawn().unwrap(), config }
    };
    let all: Vec<Balancer> = discovery.addresses.iter().enumerate().map(start).collect();
    for balancer in &all {
        wait_until("readiness", || {
            TcpStream::connect(balancer.address).is_ok() && balancer.request(READY_REQUEST).status() == 200
        });
    }
    all
}

/// Sends requests to a process until `stop` is set; returns the numbers of requests served and sent.
fn send_requests(process: usize, address: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<(usize, usize)> {
    thread::spawn(move || {
        let (mut served, mut sent, mut client) = (0, 0, Client::connect(address));
        while !stop.load(Ordering::SeqCst) {
            let answer = client.as_mut().and_then(|c| {
                c.send(&request_of(process));
                c.read_answer()
            });
            sent += 1;
            served += usize::from(answer.as_ref().is_some_and(|a| a.status() == 200));
            if answer.is_none() {
                client = Client::connect(address);
            }
            thread::sleep(REQUEST_INTERVAL);
        }
        (served, sent)
    })
}

/// Prints how long after the return of discovery the processes opened their watches, and the figures of the
/// queue.
fn print_recovery(state: &State, returned: Instant, before: RegistryFigures) {
    let open = state.subscribers.iter().filter(|s| s.watch.is_some());
    let mut times: Vec<Duration> = open.filter_map(|s| Some(s.opened? - returned)).collect();
    times.sort_unstable();
    let time_to = |tenths: usize| times.get((PROCESSES * tenths).div_ceil(10) - 1);
    let now = state.queue.figures();
    println!(
        "{} of {PROCESSES} have a watch; half after {:?}, nine in ten after {:?}, all after {:?}; since the return \
         {} calls, {} refused at once, {} late, {} lines of {}",
        times.len(),
        time_to(5),
        time_to(9),
        time_to(10),
        now.calls - before.calls,
        now.refused_at_once - before.refused_at_once,
        now.refused_after_waiting - before.refused_after_waiting,
        now.lines_spent - before.lines_spent,
        PROCESSES as u32 * (LIMITS.call_lines + ANSWER_LINES),
    );
}

/// Processes with clients, and three upstreams, the first of which drains when the test says so.
struct Scenario {
    discovery: SharedDiscovery,
    draining: DrainingUpstream,
    draining_upstream: Upstream,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<(usize, usize)>>,
    _processes: Vec<Balancer>,
    _serving: [Upstream; 2],
}

impl Scenario {
    fn start(limits: RegistryLimits, instances: usize, draining: DrainingUpstream) -> Scenario {
        let draining_upstream = draining.start_upstream();
        let stay = [Upstream::start(|_| ok_reply("x")), Upstream::start(|_| ok_reply("x"))];
        let serving = |name: &str, up: &Upstream| host_entry(name, up.address, 0, "SERVING");
        let known = [serving("d", &draining_upstream), serving("s0", &stay[0]), serving("s1", &stay[1])];
        let discovery = SharedDiscovery::start(PROCESSES, limits);
        let processes = start_processes(&discovery, instances, &known);
        let stop = Arc::new(AtomicBool::new(false));
        let send = |(n, balancer): (usize, &Balancer)| send_requests(n, balancer.address, stop.clone());
        let clients = processes.iter().enumerate().map(send).collect();
        assert_eq!(discovery.wait_for_watches(WAIT_TIMEOUT), PROCESSES, "open watches before the fault");
        Scenario {
            discovery,
            draining,
            draining_upstream,
            stop,
            clients,
            _processes: processes,
            _serving: stay,
        }
    }

    /// Has the first upstream drain from now on, and discovery list it as draining.
    fn drain(&self) {
        let entries = [host_entry("d", self.draining_upstream.address, 0, "DRAINING")];
        *self.draining.since.lock().unwrap() = Some(Instant::now());
        self.discovery.state().set_change(host_list(KNOWN_VERSION + 1, false, &entries) + "\n");
    }

    /// Stops the clients, and checks that all processes left the draining upstream in time.
    fn finish(self) {
        thread::sleep(GRACE + LAG);
        self.stop.store(true, Ordering::SeqCst);
        let served: Vec<_> = self.clients.into_iter().map(|c| c.join().unwrap()).collect();
        let sum = |count: fn(&(usize, usize)) -> usize| served.iter().map(count).sum::<usize>();
        println!("{} of {} served", sum(|s| s.0), sum(|s| s.1));
        let notified: Vec<_> = self.discovery.state().subscribers.iter().map(|s| s.notified).collect();
        self.draining.assert_left_in_time(&notified);
    }
}

/// Guards against processes that, after an outage, make so many calls that time out that no call is answered
/// in time.
#[test]
fn after_an_outage_all_processes_get_their_watches_and_leave_a_draining_upstream() {
    let scenario = Scenario::start(LIMITS, INSTANCES, DrainingUpstream::default());
    let discovery = &scenario.discovery;
    discovery.state().start_outage(OUTAGE);
    thread::sleep(OUTAGE);
    let (returned, before) = (Instant::now(), discovery.state().queue.figures());
    thread::sleep(DRAINS_AFTER);
    scenario.drain();
    let open = discovery.wait_for_watches(ALL_WATCHES_WITHIN - DRAINS_AFTER);
    print_recovery(&discovery.state(), returned, before);
    assert_eq!(open, PROCESSES, "open watches {ALL_WATCHES_WITHIN:?} after the return");
    let calls = discovery.state().queue.figures().calls - before.calls;
    assert!(calls <= MAX_MEAN_CALLS * PROCESSES as u64, "{calls} calls after the return");
    scenario.finish();
}

/// Guards against processes that notice too late that their watches have stalled, and keep sending to an
/// upstream that goes on serving while it drains.
#[test]
fn after_all_watches_stall_no_request_goes_to_an_upstream_that_drains_and_serves() {
    let scenario = Scenario::start(
        FASTER_LIMITS,
        INSTANCES_IN_STALL,
        DrainingUpstream { goes_on_serving: true, ..DrainingUpstream::default() },
    );
    scenario.discovery.state().stall_watches();
    scenario.drain();
    let open = scenario.discovery.wait_for_watches(ALL_WATCHES_WITHIN);
    assert_eq!(open, PROCESSES, "open watches {ALL_WATCHES_WITHIN:?} after the stall");
    scenario.finish();
}
