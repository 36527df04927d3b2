//! Runs a schedule with real processes, and records what clients, upstreams and discovery see.

use crate::record::{Arrival, Records, Request, RequestEnd};
use crate::schedule::{
    Event, ProcessSignal, Schedule, UpstreamChange, MEASURED_TIME, PROCESSES, RUN_TIME, UPSTREAMS,
};
use crate::support::scripted::{Departure, Phase, ScriptedDiscovery, Service};
use crate::support::*;
use rustix::process::{kill_process, Pid};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number of clients of each process.
const CLIENTS: usize = 4;

/// How long a client waits between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// SIGKILL follows SIGTERM after the deadline of the requests, at most [`LONGEST_DEADLINE`], and this time.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// The longest deadline that a process waits for after SIGTERM.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);

/// How long after SIGTERM clients still open connections.
const CONNECT_TIME_AFTER_TERM: Duration = Duration::from_millis(400);

/// The limit of descriptors in the configuration of a process.
const SOCKETS: u32 = 96;

/// The number of idle clients: more than a process has room for beside its other descriptors.
const IDLE_CLIENTS: usize = 90;

/// How long a process is paused: 0.15 s at most, with the time that it takes to wake up and send the second
/// signal.
const PAUSE_TIME: Duration = Duration::from_millis(130);

/// How long a process runs between two pauses: without a gap they would be one longer pause.
const TIME_BETWEEN_PAUSES: Duration = Duration::from_millis(200);

/// How long after the deadline of its request an answer may come.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// The client of one in this number of requests leaves before the answer.
const REQUESTS_PER_LEAVE: u32 = 17;

/// The times of one process between its start and its end.
#[derive(Clone, Debug)]
pub struct Lifetime {
    pub started: Instant,
    pub ready: Option<Instant>,
    /// When SIGTERM was sent for the last time.
    pub terminated: Option<Instant>,
    /// When SIGKILL was sent.
    pub killed: Option<Instant>,
}

/// The record of one process and of its link to discovery.
pub struct ProcessRecord {
    /// The lifetimes of the process, the first one first.
    pub lifetimes: Vec<Lifetime>,
    /// The versions of the list that were written completely to the process, and when.
    pub written_versions: Vec<(Instant, u32)>,
    /// The times at which open watches of the process stalled.
    pub stalls: Vec<Instant>,
    /// The largest number of descriptors that the process had open.
    pub max_descriptors: usize,
    /// The path of the log file.
    pub log: String,
}

/// The record of a run.
pub struct RunRecord {
    pub started: Instant,
    pub records: Arc<Records>,
    pub processes: Vec<ProcessRecord>,
    /// The departures that discovery had.
    pub departures: Vec<Departure>,
    /// The states of discovery over time.
    pub phases: Vec<Phase>,
}

/// The current behavior of an upstream.
struct UpstreamState {
    /// The last change; with `None` the upstream serves normally.
    change: Mutex<Option<UpstreamChange>>,
}

/// The state that the threads of a run share.
struct Shared {
    schedule: Schedule,
    records: Arc<Records>,
    /// Whether the run has ended; clients stop then.
    is_over: AtomicBool,
    /// The number for the id of the next request.
    next_id: AtomicU32,
}

/// A balancer process, which is started again after each end.
struct Process {
    number: usize,
    address: SocketAddr,
    /// The path of the configuration file.
    config: String,
    /// The path of the log file.
    log: String,
    discovery: ScriptedDiscovery,
    balancer: Mutex<Option<Balancer>>,
    lifetimes: Mutex<Vec<Lifetime>>,
    /// Whether clients may open connections.
    accepts_clients: AtomicBool,
    /// Locked during a pause and for [`TIME_BETWEEN_PAUSES`] after it.
    pause_lock: Mutex<()>,
}

/// The settings of the processes under a schedule.
fn settings_of(schedule: &Schedule) -> String {
    let deadline = schedule.deadline.as_micros();
    let mut text = SETTINGS
        .replace(r#""NInstances":1"#, &format!(r#""NInstances":{}"#, schedule.instances))
        .replace(r#""HardLimitUs":1500000"#, &format!(r#""HardLimitUs":{deadline}"#))
        .replace(r#""HardLimitUs":6000000"#, &format!(r#""HardLimitUs":{deadline}"#))
        .replace(r#""SloUs":1500000"#, &format!(r#""SloUs":{deadline}"#))
        .replace(r#""SloUs":6000000"#, &format!(r#""SloUs":{deadline}"#));
    if schedule.is_unsafe {
        text = text.replace(r#""Semantics":"keyed""#, r#""Semantics":"unsafe""#);
    }
    text
}

/// Starts an upstream that records arrivals and behaves as its state says.
fn start_upstream(number: usize, state: Arc<UpstreamState>, records: Arc<Records>) -> Upstream {
    Upstream::start(move |message| {
        let change = *state.change.lock().unwrap();
        let declined = change == Some(UpstreamChange::DrainsAndDeclines);
        let deadline = message.header("req-deadline").and_then(|d| d.parse().ok());
        let deadline = deadline.map(Duration::from_secs_f64);
        let id = message.header("req-id").unwrap_or_default();
        records.record_arrival(id, Arrival { at: Instant::now(), upstream: number, declined, deadline });
        match change {
            Some(UpstreamChange::DrainsAndDeclines) => error_reply(503, "Srv-Declined: 1\r\n"),
            Some(UpstreamChange::Hangs) => Reply::NoAnswer,
            Some(UpstreamChange::ClosesConnections) => match ok_reply("x") {
                Reply::Send(bytes) => Reply::SendAndClose(bytes),
                other => other,
            },
            _ => ok_reply("x"),
        }
    })
}

/// The name of an upstream in the lists of discovery.
pub fn name_of(upstream: usize) -> String {
    format!("u{upstream}")
}

impl Process {
    /// Writes the configuration of a process and starts the process.
    fn start(number: usize, schedule: &Schedule, hosts: &[(&str, SocketAddr)], service: &Service) -> Process {
        let discovery = ScriptedDiscovery::for_service(service);
        let known: Vec<String> = hosts.iter().map(|(name, at)| host_entry(name, *at, 0, "SERVING")).collect();
        let address = free_address();
        let text = config_text(address, discovery.address, SOCKETS, &known)
            .replace(SETTINGS, &settings_of(schedule))
            .replace("00000000000000a1", &format!("{:016x}", schedule.seed * 16 + number as u64));
        let (config, log) = (write_config_file(&text), write_config_file(""));
        let process = Process {
            number,
            address,
            config,
            log,
            discovery,
            balancer: Mutex::new(None),
            lifetimes: Mutex::new(Vec::new()),
            accepts_clients: AtomicBool::new(false),
            pause_lock: Mutex::new(()),
        };
        process.start_lifetime();
        process
    }

    /// Starts the program and lets clients connect once it is ready.
    fn start_lifetime(&self) {
        let started = Instant::now();
        let log_file = std::fs::File::options().append(true).open(&self.log).unwrap();
        let child = program_command_for_file(&self.config).stderr(log_file).spawn().unwrap();
        let balancer = Balancer { address: self.address, child, config: self.config.clone() };
        *self.balancer.lock().unwrap() = Some(balancer);
        let lifetime = Lifetime { started, ready: None, terminated: None, killed: None };
        self.lifetimes.lock().unwrap().push(lifetime);
        wait_until("readiness", || self.is_ready());
        self.lifetimes.lock().unwrap().last_mut().unwrap().ready = Some(Instant::now());
        self.accepts_clients.store(true, Ordering::SeqCst);
    }

    /// Whether the process answers a readiness request with 200 within 1 s.
    fn is_ready(&self) -> bool {
        let Some(mut client) = Client::connect(self.address) else { return false };
        client.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        client.send(READY_REQUEST);
        client.read_answer().is_some_and(|a| a.status() == 200)
    }

    /// Sends a signal to the process, if it runs.
    fn signal(&self, name: &str) {
        if let Some(balancer) = self.balancer.lock().unwrap().as_ref() {
            balancer.signal(name);
        }
    }

    /// Pauses the process. The signals are sent by system calls, because a program that sends them takes time
    /// to start.
    fn pause(&self) {
        let pid = self.balancer.lock().unwrap().as_ref().map(|b| Pid::from_child(&b.child));
        let Some(pid) = pid else { return };
        let _pause_guard = self.pause_lock.lock().unwrap();
        // Errors are ignored, as the process may have ended by now.
        let _ = kill_process(pid, rustix::process::Signal::STOP);
        thread::sleep(PAUSE_TIME);
        let _ = kill_process(pid, rustix::process::Signal::CONT);
        thread::sleep(TIME_BETWEEN_PAUSES);
    }

    /// Sends SIGTERM, and SIGKILL as early as it may come, and starts the process again. Does nothing after
    /// SIGTERM if the lifetime had got one before.
    fn terminate(&self, schedule: &Schedule) {
        self.signal("TERM");
        let sigterm_sent = Instant::now();
        if self.lifetimes.lock().unwrap().last_mut().unwrap().terminated.replace(sigterm_sent).is_some() {
            return;
        }
        thread::sleep(CONNECT_TIME_AFTER_TERM);
        self.accepts_clients.store(false, Ordering::SeqCst);
        let kill_at = sigterm_sent + schedule.deadline.min(LONGEST_DEADLINE) + KILL_MARGIN;
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        self.lifetimes.lock().unwrap().last_mut().unwrap().killed = Some(Instant::now());
        *self.balancer.lock().unwrap() = None;
        self.discovery.close_watches();
        self.start_lifetime();
    }

    /// The number of descriptors that the process has open.
    fn count_descriptors(&self) -> usize {
        let id = self.balancer.lock().unwrap().as_ref().map(|b| b.child.id());
        let open = id.and_then(|id| std::fs::read_dir(format!("/proc/{id}/fd")).ok());
        open.map_or(0, Iterator::count)
    }
}

/// The text of a request of the safe class, or of the second class.
fn request_text(id: &str, schedule: &Schedule, is_safe: bool) -> String {
    let deadline = schedule.deadline.as_secs_f64();
    let common =
        format!("Host: app.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline: {deadline:.3}\r\n");
    match (is_safe, schedule.is_unsafe) {
        (true, _) => format!("GET /look/part HTTP/1.1\r\n{common}\r\n"),
        (false, true) => format!("POST /book HTTP/1.1\r\n{common}Content-Length: 2\r\n\r\nhi"),
        (false, false) => {
            format!("POST /book HTTP/1.1\r\n{common}Idempotency-Key: k{id}\r\nContent-Length: 2\r\n\r\nhi")
        }
    }
}

/// Runs a client: sends requests on one connection while it stays open, and then opens another one where
/// clients may.
fn run_client(shared: &Shared, process: &Process) {
    let mut open: Option<Client> = None;
    while !shared.is_over.load(Ordering::SeqCst) {
        thread::sleep(REQUEST_INTERVAL);
        if open.is_none() && process.accepts_clients.load(Ordering::SeqCst) {
            open = Client::connect(process.address);
        }
        open = open.take().and_then(|client| send_request(shared, process, client));
    }
}

/// Sends a request, waits for its end and records it; returns the connection if it is still open.
fn send_request(shared: &Shared, process: &Process, mut client: Client) -> Option<Client> {
    let number = shared.next_id.fetch_add(1, Ordering::SeqCst);
    let (id, is_safe) = (format!("q{number}"), !number.is_multiple_of(4));
    let deadline = shared.schedule.deadline;
    let may_be_repeated = is_safe || !shared.schedule.is_unsafe;
    let (process, sent) = (process.number, Instant::now());
    let arrivals = Vec::new();
    shared
        .records
        .record_sent(&id, Request { process, sent, deadline, may_be_repeated, ended: None, arrivals });
    let text = request_text(&id, &shared.schedule, is_safe);
    if std::io::Write::write_all(&mut client.stream, text.as_bytes()).is_err() {
        shared.records.record_end(&id, RequestEnd::Closed);
        return None;
    }
    if number.is_multiple_of(REQUESTS_PER_LEAVE) {
        drop(client);
        shared.records.record_end(&id, RequestEnd::Left);
        return None;
    }
    client.stream.set_read_timeout(Some(deadline + MAX_LATENESS + Duration::from_secs(1))).unwrap();
    match client.read_answer() {
        Some(answer) => {
            shared.records.record_end(&id, RequestEnd::Answered { status: answer.status() });
            let closes = answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
            (!closes).then_some(client)
        }
        None => {
            let has_timed_out = sent.elapsed() > deadline + MAX_LATENESS;
            shared
                .records
                .record_end(&id, if has_timed_out { RequestEnd::NoAnswer } else { RequestEnd::Closed });
            None
        }
    }
}

/// Applies one event; an action that takes time runs in a thread of its own.
fn apply_event(
    event: Event,
    shared: &Arc<Shared>,
    service: &Service,
    processes: &[Arc<Process>],
    states: &[Arc<UpstreamState>],
) {
    match event {
        Event::Service { state } => service.set_state(state),
        Event::Lateness { lateness } => service.set_lateness(lateness),
        Event::Discovery { process, answer, loss } => {
            let discovery = &processes[process].discovery;
            discovery.answer_calls(answer);
            loss.into_iter().for_each(|how| discovery.lose_watches(how));
        }
        Event::Upstream { upstream, change } => {
            *states[upstream].change.lock().unwrap() = Some(change);
            let health = match change {
                UpstreamChange::DrainsAndServes | UpstreamChange::DrainsAndDeclines => Some("DRAINING"),
                UpstreamChange::Removed => Some("DELETED"),
                UpstreamChange::Hangs | UpstreamChange::ClosesConnections => None,
            };
            health.into_iter().for_each(|health| service.set_leaving(&name_of(upstream), health));
        }
        Event::Signal { process, signal } => {
            let (process, shared) = (processes[process].clone(), shared.clone());
            thread::spawn(move || match signal {
                ProcessSignal::Hangup => process.signal("HUP"),
                ProcessSignal::Terminate => process.terminate(&shared.schedule),
                ProcessSignal::Pause => {
                    process.pause();
                }
            });
        }
        Event::IdleClients { process } => {
            let (address, shared) = (processes[process].address, shared.clone());
            thread::spawn(move || {
                let clients: Vec<TcpStream> =
                    (0..IDLE_CLIENTS).filter_map(|_| TcpStream::connect(address).ok()).collect();
                while !shared.is_over.load(Ordering::SeqCst) && !clients.is_empty() {
                    thread::sleep(MEASURED_TIME / 10);
                }
            });
        }
    }
}

/// Runs a schedule to its end.
pub fn run_schedule(schedule: &Schedule) -> RunRecord {
    let records = Arc::new(Records::default());
    let states: Vec<_> =
        (0..UPSTREAMS).map(|_| Arc::new(UpstreamState { change: Mutex::new(None) })).collect();
    let upstreams: Vec<Upstream> =
        states.iter().enumerate().map(|(n, s)| start_upstream(n, s.clone(), records.clone())).collect();
    let shared = Arc::new(Shared {
        schedule: schedule.clone(),
        records: records.clone(),
        is_over: AtomicBool::new(false),
        next_id: AtomicU32::new(1),
    });
    let names: Vec<String> = (0..UPSTREAMS).map(name_of).collect();
    let hosts: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(upstreams.iter().map(|u| u.address)).collect();
    let service = Service::start(&hosts);
    let processes: Vec<Arc<Process>> =
        (0..PROCESSES).map(|n| Arc::new(Process::start(n, schedule, &hosts, &service))).collect();
    let started = Instant::now();
    let clients: Vec<JoinHandle<()>> = processes
        .iter()
        .flat_map(|p| (0..CLIENTS).map(|_| (p.clone(), shared.clone())))
        .map(|(process, shared)| thread::spawn(move || run_client(&shared, &process)))
        .collect();
    let mut max_descriptors = [0; PROCESSES];
    let mut next = 0;
    while started.elapsed() < RUN_TIME {
        while let Some(timed) = schedule.events.get(next).filter(|e| e.at <= started.elapsed()) {
            apply_event(timed.event, &shared, &service, &processes, &states);
            next += 1;
        }
        for (max, process) in max_descriptors.iter_mut().zip(&processes) {
            *max = process.count_descriptors().max(*max);
        }
        if started.elapsed() > crate::schedule::FAULTS_END {
            let hangs = |s: &&Arc<UpstreamState>| *s.change.lock().unwrap() == Some(UpstreamChange::Hangs);
            states.iter().filter(hangs).for_each(|s| *s.change.lock().unwrap() = None);
        }
        thread::sleep(Duration::from_millis(10));
    }
    shared.is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let record = |(process, max_descriptors): (&Arc<Process>, usize)| ProcessRecord {
        lifetimes: process.lifetimes.lock().unwrap().clone(),
        written_versions: process.discovery.written_versions(),
        stalls: process.discovery.stalls(),
        max_descriptors,
        log: process.log.clone(),
    };
    let process_records = processes.iter().zip(max_descriptors).map(record).collect();
    processes.iter().for_each(|p| *p.balancer.lock().unwrap() = None);
    let (departures, phases) = (service.departures(), service.phases());
    RunRecord { started, records, processes: process_records, departures, phases }
}

/// The most descriptors that a process may have open.
pub const MAX_DESCRIPTORS: usize = SOCKETS as usize;

/// The time from the sending of a request within which its answer has to come.
pub fn answer_within(deadline: Duration) -> Duration {
    deadline + MAX_LATENESS
}
