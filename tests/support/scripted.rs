//! A discovery service that a test directs. One [`Service`] for all processes of a run has the list and its
//! versions, and is up, busy or down for all of them; a [`ScriptedDiscovery`] is the link of one process to
//! the service, with faults of its own. A list may show an older version than the current one, and it may be
//! composed long before it is written.

use super::{host_entry, host_list, Message};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long an open watch carries no line before an empty line is written on it.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// How often open watches, and listeners without a call, are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a call waits before a late refusal or a late close.
const LATE_REFUSAL_DELAY: Duration = Duration::from_secs(2);

/// The time between two bytes of an answer that trickles: the whole answer takes longer than any process
/// waits.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// The version number of the list with which the service starts.
const FIRST_VERSION: u32 = 8;

/// How a call of a process is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The whole list is written, and the watch stays open.
    WholeList,
    /// The whole list is written this long after it was composed, and the watch stays open.
    Late(Duration),
    /// The whole list is written this long after it was composed, and nothing follows on the open watch.
    LateThenStalled(Duration),
    /// The head and half of the list are written, then the connection is reset.
    CutByReset,
    /// The head and half of the list are written, then the connection is closed.
    CutByEnd,
    /// The head is written, and nothing follows.
    HeadOnly,
    /// The list is written one byte at a time.
    Trickle,
    /// A whole list is written in which no entry has a state that the protocol knows.
    Unreadable,
    /// The call is refused by a 503 at once.
    BusyAtOnce,
    /// The call is refused by a 503 after it has waited.
    BusyLate,
    /// The connection is reset before the first byte of an answer.
    Reset,
    /// The connection is closed before the first byte of an answer.
    Closed,
    /// The connection is closed before the first byte of an answer, after the call has waited.
    ClosedLate,
    /// The connection stays open, and nothing is written.
    NoAnswer,
    /// The connection is refused, as nobody listens.
    NoConnection,
}

/// The state of the service, which is the same for all processes that call it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// Calls are answered as the link of each process says.
    Up,
    /// The service is overloaded: all calls are answered like this. Open watches continue.
    Busy(CallAnswer),
    /// The service is unreachable: all calls end like this, and changes of hosts are applied when it returns.
    Down(CallAnswer),
}

/// How open watches are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// The watches are closed between two lines.
    Ended,
    /// The watches are reset.
    Reset,
    /// The watches are closed after half of a line that announces a change.
    CutLine,
    /// The watches stay open, and nothing more is written on them.
    Stalled,
}

/// How late the service sends what it has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// The age, at the time when a list is composed, of the version that the list shows.
    pub lists: Duration,
    /// How long after the service has a change it is written on open watches.
    pub changes: Duration,
    /// How a watch is lost at the time when a change would be written on it; with `None` the change is
    /// written.
    pub loss_at_change: Option<WatchLoss>,
}

#[derive(Clone)]
struct Host {
    name: String,
    address: SocketAddr,
    health: &'static str,
}

/// A version of the list.
#[derive(Clone)]
struct Version {
    /// When the service got this version.
    since: Instant,
    number: u32,
    hosts: Vec<Host>,
}

/// A host that drains or was deleted.
#[derive(Clone, Debug)]
pub struct Departure {
    pub name: String,
    /// When the service got the change.
    pub since: Instant,
    /// The first version of the list that shows the change.
    pub version: u32,
}

/// A state of the service and the time at which it begins; it lasts until the next phase.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub from: Instant,
    pub state: ServiceState,
}

struct ServiceInner {
    versions: Vec<Version>,
    departures: Vec<Departure>,
    phases: Vec<Phase>,
    lateness: Lateness,
    /// The changes of the health of hosts that came while the service was down.
    pending_changes: Vec<(String, &'static str)>,
}

impl ServiceInner {
    fn state(&self) -> ServiceState {
        self.phases.last().map_or(ServiceState::Up, |p| p.state)
    }

    /// The newest version that the service has had for at least `age`; the first version if none is as old.
    fn version_before(&self, age: Duration) -> Version {
        let shown = self.versions.iter().rev().find(|v| v.since.elapsed() >= age);
        shown.unwrap_or(&self.versions[0]).clone()
    }

    /// Makes a new version in which a host has this health; while the service is down, only records the
    /// change.
    fn set_health(&mut self, name: &str, health: &'static str) {
        if matches!(self.state(), ServiceState::Down(_)) {
            return self.pending_changes.push((name.to_string(), health));
        }
        let mut version = self.version_before(Duration::ZERO);
        (version.since, version.number) = (Instant::now(), version.number + 1);
        let Some(h) = version.hosts.iter_mut().find(|h| h.name == name) else { panic!("no host {name}") };
        h.health = health;
        if health != "SERVING" {
            let (since, version) = (version.since, version.number);
            self.departures.push(Departure { name: name.to_string(), since, version });
        }
        self.versions.push(version);
    }
}

/// The discovery service, shared by all processes of a run.
#[derive(Clone)]
pub struct Service(Arc<Mutex<ServiceInner>>);

impl Service {
    /// Starts a service whose first version lists these hosts as serving.
    pub fn start(hosts: &[(&str, SocketAddr)]) -> Service {
        let hosts =
            hosts.iter().map(|&(name, address)| Host { name: name.to_string(), address, health: "SERVING" });
        let (since, hosts) = (Instant::now(), hosts.collect());
        Service(Arc::new(Mutex::new(ServiceInner {
            versions: vec![Version { since, number: FIRST_VERSION, hosts }],
            departures: Vec::new(),
            phases: vec![Phase { from: since, state: ServiceState::Up }],
            lateness: Lateness::default(),
            pending_changes: Vec::new(),
        })))
    }

    fn inner(&self) -> MutexGuard<'_, ServiceInner> {
        self.0.lock().unwrap()
    }

    /// Must not be called under the lock of a link: the thread that updates watches takes both locks, that of
    /// the service first, so that the other order would be a deadlock.
    fn state(&self) -> ServiceState {
        self.inner().state()
    }

    /// Puts the service into this state from now on.
    pub fn set_state(&self, state: ServiceState) {
        let mut inner = self.inner();
        inner.phases.push(Phase { from: Instant::now(), state });
        if !matches!(state, ServiceState::Down(_)) {
            let changes = std::mem::take(&mut inner.pending_changes);
            changes.into_iter().for_each(|(name, health)| inner.set_health(&name, health));
        }
    }

    /// Sets how late the service sends lists and changes from now on.
    pub fn set_lateness(&self, lateness: Lateness) {
        self.inner().lateness = lateness;
    }

    /// Lists a host as `DRAINING` or `DELETED`.
    pub fn set_leaving(&self, name: &str, health: &'static str) {
        self.inner().set_health(name, health);
    }

    /// The hosts that have left, in the order in which the service got the changes.
    pub fn departures(&self) -> Vec<Departure> {
        self.inner().departures.clone()
    }

    /// The states that the service has been in, the first one first.
    pub fn phases(&self) -> Vec<Phase> {
        self.inner().phases.clone()
    }
}

/// An open watch, on which changes are written.
struct OpenWatch {
    stream: TcpStream,
    /// The age of what is written on this watch, on top of the service's lateness.
    behind: Duration,
    /// The last version written on this watch.
    version: u32,
    /// When the last line was written on this watch.
    last_line_at: Instant,
}

/// The state of one process's link to the service.
struct Link {
    /// How calls are answered, in turn and then from the first again.
    answers: Vec<CallAnswer>,
    /// When calls arrived.
    calls: Vec<Instant>,
    watches: Vec<OpenWatch>,
    /// Open watches on which nothing more is written.
    stalled: Vec<TcpStream>,
    /// When each watch stalled.
    stalls: Vec<Instant>,
    /// The versions that were written completely, and when.
    written: Vec<(Instant, u32)>,
}

impl Link {
    /// How the next call is answered if the service is up.
    fn next_answer(&self) -> CallAnswer {
        self.answers[self.calls.len() % self.answers.len()]
    }

    fn lose_watches(&mut self, how: WatchLoss) {
        for watch in std::mem::take(&mut self.watches) {
            self.lose(watch.stream, how);
        }
    }

    /// Loses one watch.
    fn lose(&mut self, mut stream: TcpStream, how: WatchLoss) {
        match how {
            WatchLoss::Ended => {}
            WatchLoss::Reset => reset_on_close(&stream),
            WatchLoss::CutLine => {
                let _ = stream.write_all(b"80\r\n{\"seq\":99,\"whole\":false,\"hosts\":[{\"ho");
            }
            WatchLoss::Stalled => {
                self.stalled.push(stream);
                self.stalls.push(Instant::now());
            }
        }
    }
}

/// The link of one process to the service: an address at which the service answers this process alone.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    pub service: Service,
    link: Arc<Mutex<Link>>,
    is_over: Arc<AtomicBool>,
}

impl ScriptedDiscovery {
    /// A link to a new service that lists these hosts as serving.
    pub fn start(hosts: &[(&str, SocketAddr)]) -> ScriptedDiscovery {
        ScriptedDiscovery::for_service(&Service::start(hosts))
    }

    /// A link to this service.
    pub fn for_service(service: &Service) -> ScriptedDiscovery {
        let link = Link {
            answers: vec![CallAnswer::WholeList],
            calls: Vec::new(),
            watches: Vec::new(),
            stalled: Vec::new(),
            stalls: Vec::new(),
            written: Vec::new(),
        };
        let listener = listen(super::free_address());
        let address = listener.local_addr().unwrap();
        let discovery = ScriptedDiscovery {
            address,
            service: service.clone(),
            link: Arc::new(Mutex::new(link)),
            is_over: Arc::default(),
        };
        discovery.serve(listener, Duration::ZERO);
        let (service, link, is_over) = (service.clone(), discovery.link.clone(), discovery.is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(POLL_INTERVAL);
                update_watches(&service.inner(), &mut link.lock().unwrap());
            }
        });
        discovery
    }

    /// Answers calls on a listener in a thread of its own.
    fn serve(&self, listener: TcpListener, behind: Duration) {
        let (service, link, is_over) = (self.service.clone(), self.link.clone(), self.is_over.clone());
        thread::spawn(move || accept_calls(listener, &service, &link, &is_over, behind));
    }

    /// Opens another address at which the service answers, with lists that are older by `behind`.
    pub fn answer_at_another_address(&self, behind: Duration) -> SocketAddr {
        let listener = listen(super::free_address());
        let address = listener.local_addr().unwrap();
        self.serve(listener, behind);
        address
    }

    fn link(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap()
    }

    /// Sets how calls of this process are answered from now on.
    pub fn answer_calls(&self, answer: CallAnswer) {
        self.answer_calls_in_turn(&[answer]);
    }

    /// Sets how calls of this process are answered from now on: in turn, and then from the first again.
    pub fn answer_calls_in_turn(&self, answers: &[CallAnswer]) {
        let mut link = self.link();
        link.answers = answers.to_vec();
        // The next call gets the first of these answers.
        let calls = link.calls.len();
        link.answers.rotate_right(calls % answers.len());
    }

    /// Lists a host as draining; returns the time just before.
    pub fn drain(&self, name: &str) -> Instant {
        let at = Instant::now();
        self.service.set_leaving(name, "DRAINING");
        at
    }

    /// Loses the open watches of this process.
    pub fn lose_watches(&self, how: WatchLoss) {
        self.link().lose_watches(how);
    }

    /// Closes all watches, as the process has been killed.
    pub fn close_watches(&self) {
        let mut link = self.link();
        link.watches.clear();
        link.stalled.clear();
    }

    /// The times at which calls arrived, the first one first.
    pub fn calls(&self) -> Vec<Instant> {
        self.link().calls.clone()
    }

    /// The versions that were written completely, and when.
    pub fn written_versions(&self) -> Vec<(Instant, u32)> {
        self.link().written.clone()
    }

    /// The times at which open watches stalled.
    pub fn stalls(&self) -> Vec<Instant> {
        self.link().stalls.clone()
    }

    pub fn has_watch(&self) -> bool {
        !self.link().watches.is_empty()
    }
}

impl Drop for ScriptedDiscovery {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// Writes on each watch what has changed, or an empty line when one is due; a watch may be lost instead of a
/// change.
fn update_watches(service: &ServiceInner, link: &mut Link) {
    if let ServiceState::Down(_) = service.state() {
        return link.lose_watches(WatchLoss::Reset);
    }
    for mut watch in std::mem::take(&mut link.watches) {
        let shown = service.version_before(service.lateness.changes + watch.behind);
        let is_written = if watch.version < shown.number {
            if let Some(how) = service.lateness.loss_at_change {
                link.lose(watch.stream, how);
                continue;
            }
            let before = service.versions.iter().find(|v| v.number == watch.version);
            let changed = shown.hosts.iter().filter(|h| {
                let old = before.and_then(|v| v.hosts.iter().find(|old| old.name == h.name));
                old.is_none_or(|old| old.health != h.health)
            });
            let entries: Vec<String> = changed.map(|h| entry_of(h, false)).collect();
            watch.version = shown.number;
            link.written.push((Instant::now(), shown.number));
            write_chunk(&mut watch.stream, &(host_list(shown.number, false, &entries) + "\n"))
        } else if watch.last_line_at.elapsed() >= EMPTY_LINE_INTERVAL {
            write_chunk(&mut watch.stream, "\n")
        } else {
            link.watches.push(watch);
            continue;
        };
        watch.last_line_at = Instant::now();
        if is_written.is_ok() {
            link.watches.push(watch);
        }
    }
}

/// The entry of a host, or one with an unknown state.
fn entry_of(h: &Host, is_unreadable: bool) -> String {
    host_entry(&h.name, h.address, 0, if is_unreadable { "RESTING" } else { h.health })
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Has the connection reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(128).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.into()
}

/// Accepts calls until the link is dropped; while connections are to be refused, no listener is open.
fn accept_calls(
    listener: TcpListener,
    service: &Service,
    link: &Arc<Mutex<Link>>,
    is_over: &AtomicBool,
    behind: Duration,
) {
    let address = listener.local_addr().unwrap();
    let mut listener = Some(listener);
    while !is_over.load(Ordering::SeqCst) {
        let state = service.state();
        let is_refusing = next_answer(state, &link.lock().unwrap()) == CallAnswer::NoConnection;
        match (&listener, is_refusing) {
            (Some(_), true) => listener = None,
            (None, false) => listener = Some(listen(address)),
            (None, true) => thread::sleep(POLL_INTERVAL),
            (Some(l), false) => match l.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let (service, link) = (service.clone(), link.clone());
                    thread::spawn(move || handle_call(stream, &service, &link, behind));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(POLL_INTERVAL),
                Err(_) => {}
            },
        }
    }
}

/// How the next call is answered: the state of the service takes precedence over the answers of the link.
fn next_answer(state: ServiceState, link: &Link) -> CallAnswer {
    match state {
        ServiceState::Up => link.next_answer(),
        ServiceState::Busy(answer) | ServiceState::Down(answer) => answer,
    }
}

/// Reads a call and answers it. Write errors are ignored: they mean that the caller has closed the
/// connection.
fn handle_call(mut stream: TcpStream, service: &Service, link: &Mutex<Link>, behind: Duration) {
    if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
        return;
    }
    let state = service.state();
    let answer = {
        let mut link = link.lock().unwrap();
        let answer = next_answer(state, &link);
        link.calls.push(Instant::now());
        answer
    };
    let shown = {
        let service = service.inner();
        service.version_before(service.lateness.lists + behind)
    };
    let entries: Vec<String> =
        shown.hosts.iter().map(|h| entry_of(h, answer == CallAnswer::Unreadable)).collect();
    let list = host_list(shown.number, true, &entries) + "\n";
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let half = format!("{head}{:x}\r\n{}", list.len(), &list[..list.len() / 2]);
    let busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    let open_watch = |mut stream: TcpStream| {
        let mut link = link.lock().unwrap();
        if stream.write_all(head.as_bytes()).and_then(|()| write_chunk(&mut stream, &list)).is_ok() {
            link.written.push((Instant::now(), shown.number));
            let (version, last_line_at) = (shown.number, Instant::now());
            link.watches.push(OpenWatch { stream, behind, version, last_line_at });
        }
    };
    let written = match answer {
        CallAnswer::WholeList => return open_watch(stream),
        CallAnswer::Late(wait) => {
            thread::sleep(wait);
            return open_watch(stream);
        }
        CallAnswer::LateThenStalled(wait) => {
            thread::sleep(wait);
            open_watch(stream);
            return link.lock().unwrap().lose_watches(WatchLoss::Stalled);
        }
        CallAnswer::CutByReset => {
            let written = stream.write_all(half.as_bytes());
            // Gives the caller time to read these bytes before it gets the reset.
            thread::sleep(Duration::from_millis(50));
            reset_on_close(&stream);
            written
        }
        CallAnswer::CutByEnd => stream.write_all(half.as_bytes()),
        CallAnswer::HeadOnly => stream.write_all(head.as_bytes()).map(|()| wait_for_end(&mut stream)),
        CallAnswer::Trickle => return trickle(&mut stream, head, &list),
        CallAnswer::Unreadable => stream
            .write_all(format!("{head}{:x}\r\n{list}\r\n", list.len()).as_bytes())
            .map(|()| wait_for_end(&mut stream)),
        CallAnswer::BusyAtOnce => stream.write_all(busy.as_bytes()),
        CallAnswer::BusyLate => {
            thread::sleep(LATE_REFUSAL_DELAY);
            stream.write_all(busy.as_bytes())
        }
        CallAnswer::Reset | CallAnswer::NoConnection => {
            reset_on_close(&stream);
            Ok(())
        }
        CallAnswer::Closed => Ok(()),
        CallAnswer::ClosedLate => {
            thread::sleep(LATE_REFUSAL_DELAY);
            Ok(())
        }
        CallAnswer::NoAnswer => {
            wait_for_end(&mut stream);
            Ok(())
        }
    };
    drop(written);
}

/// Writes an answer one byte at a time, until the caller closes the connection.
fn trickle(stream: &mut TcpStream, head: &str, list: &str) {
    let text = format!("{head}{:x}\r\n{list}\r\n", list.len());
    for byte in text.as_bytes() {
        if stream.write_all(&[*byte]).is_err() {
            return;
        }
        thread::sleep(TRICKLE_INTERVAL);
    }
}

/// Waits until the caller closes the connection.
fn wait_for_end(stream: &mut TcpStream) {
    let _ = stream.set_read_timeout(Some(super::WAIT_TIMEOUT));
    let _ = std::io::copy(stream, &mut std::io::sink());
}
