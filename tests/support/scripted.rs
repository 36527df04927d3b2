//! A discovery that answers as a test tells it to, and the times of what it wrote: what a process counts as told.

use super::{host, list, Message};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// An empty line comes on each open watch so often.
const EMPTY_LINES_EVERY: Duration = Duration::from_secs(1);

/// A call that waits too long is refused after this.
const REFUSED_LATE: Duration = Duration::from_secs(2);

/// Between two bytes of an answer that trickles: it lasts for longer than any process waits.
const TRICKLE_EVERY: Duration = Duration::from_millis(100);

/// The version of the first list.
const FIRST_VERSION: u32 = 8;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The whole list, then a watch.
    Whole,
    /// The head and half of the list, then a reset.
    CutByReset,
    /// The head and half of the list, then an ordinary end.
    CutByEnd,
    /// The head, and nothing behind it.
    HeadAlone,
    /// The list, a byte at a time.
    Trickle,
    /// A whole list in which no entry has a state that the protocol knows.
    Unreadable,
    /// 503 at once.
    BusyAtOnce,
    /// 503 after the call has waited.
    BusyLate,
    /// A reset before the first byte.
    Reset,
    /// Nothing.
    Silence,
    /// The connection is refused.
    NoConnection,
}

impl CallAnswer {
    /// Those that prove that the service is there, and do not tell the list.
    pub const CUT: [CallAnswer; 5] = [
        CallAnswer::CutByReset,
        CallAnswer::CutByEnd,
        CallAnswer::HeadAlone,
        CallAnswer::Trickle,
        CallAnswer::Unreadable,
    ];

    /// Whether the service shows by it that it can be reached.
    pub fn is_reachable(self) -> bool {
        self == CallAnswer::Whole || CallAnswer::CUT.contains(&self)
    }
}

/// How open watches are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// They end between two lines.
    Ended,
    /// They are reset.
    Reset,
    /// They end behind half a line on the change to come.
    CutLine,
    /// They stay open and carry nothing any more.
    Silent,
}

/// One host of the list.
#[derive(Clone)]
struct Host {
    name: String,
    address: SocketAddr,
    health: &'static str,
}

/// A host that has left.
#[derive(Clone, Debug)]
pub struct Departure {
    pub name: String,
    pub at: Instant,
    /// When the change was written whole on a watch or in an answer.
    pub written: Vec<Instant>,
}

/// From this time on, calls are answered so.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub from: Instant,
    pub answer: CallAnswer,
}

struct State {
    version: u32,
    hosts: Vec<Host>,
    departures: Vec<Departure>,
    phases: Vec<Phase>,
    watches: Vec<TcpStream>,
    /// Open watches that carry nothing any more, and since when.
    silent: Vec<TcpStream>,
    silences: Vec<Instant>,
    calls: Vec<Instant>,
    is_over: bool,
}

impl State {
    fn answer(&self) -> CallAnswer {
        self.phases.last().map_or(CallAnswer::Whole, |p| p.answer)
    }

    fn entry(&self, h: &Host) -> String {
        let health = if self.answer() == CallAnswer::Unreadable { "RESTING" } else { h.health };
        host(&h.name, h.address, 0, health)
    }

    fn whole_list(&self) -> String {
        let entries: Vec<String> = self.hosts.iter().map(|h| self.entry(h)).collect();
        list(self.version, true, &entries) + "\n"
    }

    fn push(&mut self, line: &str) {
        self.watches.retain_mut(|w| write_chunk(w, line).is_ok());
    }

    fn note_written(&mut self) {
        let now = Instant::now();
        self.departures.iter_mut().for_each(|d| d.written.push(now));
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A discovery for one process.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl ScriptedDiscovery {
    /// One that lists these as serving.
    pub fn start(hosts: &[(&str, SocketAddr)]) -> ScriptedDiscovery {
        let hosts =
            hosts.iter().map(|&(name, address)| Host { name: name.to_string(), address, health: "SERVING" });
        let state = State {
            version: FIRST_VERSION,
            hosts: hosts.collect(),
            departures: Vec::new(),
            phases: vec![Phase { from: Instant::now(), answer: CallAnswer::Whole }],
            watches: Vec::new(),
            silent: Vec::new(),
            silences: Vec::new(),
            calls: Vec::new(),
            is_over: false,
        };
        let listener = listen(super::free_address());
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(state));
        let (accepts, pushes) = (state.clone(), state.clone());
        thread::spawn(move || accept_calls(listener, &accepts));
        thread::spawn(move || loop {
            thread::sleep(EMPTY_LINES_EVERY);
            let mut state = pushes.lock().unwrap();
            if state.is_over {
                return;
            }
            state.push("\n");
        });
        ScriptedDiscovery { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Calls are answered so from now on.
    pub fn answer_calls(&self, answer: CallAnswer) {
        self.state().phases.push(Phase { from: Instant::now(), answer });
    }

    /// Has a host drain; open watches tell of it.
    pub fn drain(&self, name: &str) -> Instant {
        self.leave(name, "DRAINING")
    }

    /// Has a host leave in this state; open watches tell of it.
    pub fn leave(&self, name: &str, health: &'static str) -> Instant {
        let mut state = self.state();
        let at = Instant::now();
        state.version += 1;
        let version = state.version;
        let Some(h) = state.hosts.iter_mut().find(|h| h.name == name) else { panic!("no host {name}") };
        h.health = health;
        let entry = host(&h.name, h.address, 0, health);
        state.departures.push(Departure { name: name.to_string(), at, written: Vec::new() });
        if !state.watches.is_empty() {
            state.push(&(list(version, false, &[entry]) + "\n"));
            if let Some(departure) = state.departures.last_mut() {
                departure.written.push(Instant::now());
            }
        }
        at
    }

    /// Has a host serve again.
    pub fn return_host(&self, name: &str) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let Some(h) = state.hosts.iter_mut().find(|h| h.name == name) else { panic!("no host {name}") };
        h.health = "SERVING";
        let entry = host(&h.name, h.address, 0, "SERVING");
        state.push(&(list(version, false, &[entry]) + "\n"));
    }

    /// Loses the open watches.
    pub fn lose_watches(&self, how: WatchLoss) {
        let mut state = self.state();
        let watches = std::mem::take(&mut state.watches);
        for mut watch in watches {
            match how {
                WatchLoss::Ended => drop(watch),
                WatchLoss::Reset => reset(&watch),
                WatchLoss::CutLine => {
                    let _ = watch.write_all(b"80\r\n{\"seq\":99,\"whole\":false,\"hosts\":[{\"ho");
                }
                WatchLoss::Silent => state.silent.push(watch),
            }
        }
        if how == WatchLoss::Silent {
            state.silences.push(Instant::now());
        }
    }

    /// The process has been killed: its watches are no more.
    pub fn process_killed(&self) {
        let mut state = self.state();
        state.watches.clear();
        state.silent.clear();
    }

    /// When calls came, the first ones first.
    pub fn calls(&self) -> Vec<Instant> {
        self.state().calls.clone()
    }

    pub fn departures(&self) -> Vec<Departure> {
        self.state().departures.clone()
    }

    pub fn phases(&self) -> Vec<Phase> {
        self.state().phases.clone()
    }

    /// When open watches fell silent.
    pub fn silences(&self) -> Vec<Instant> {
        self.state().silences.clone()
    }

    pub fn has_watch(&self) -> bool {
        !self.state().watches.is_empty()
    }
}

impl Drop for ScriptedDiscovery {
    fn drop(&mut self) {
        self.state().is_over = true;
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(128).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.into()
}

/// Takes calls until the discovery is dropped; while connections are refused, nobody listens.
fn accept_calls(listener: TcpListener, state: &Arc<Mutex<State>>) {
    const LOOK_EVERY: Duration = Duration::from_millis(5);
    let address = listener.local_addr().unwrap();
    let mut listener = Some(listener);
    loop {
        let (is_refusing, is_over) = {
            let state = state.lock().unwrap();
            (state.answer() == CallAnswer::NoConnection, state.is_over)
        };
        if is_over {
            return;
        }
        match (&listener, is_refusing) {
            (Some(_), true) => listener = None,
            (None, false) => listener = Some(listen(address)),
            (None, true) => thread::sleep(LOOK_EVERY),
            (Some(l), false) => match l.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let state = state.clone();
                    thread::spawn(move || take_call(stream, &state));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(LOOK_EVERY),
                Err(_) => {}
            },
        }
    }
}

/// Reads a call and answers it; errors mean that the caller has gone.
fn take_call(mut stream: TcpStream, state: &Mutex<State>) {
    if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
        return;
    }
    let (answer, list) = {
        let mut state = state.lock().unwrap();
        state.calls.push(Instant::now());
        (state.answer(), state.whole_list())
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let half = format!("{head}{:x}\r\n{}", list.len(), &list[..list.len() / 2]);
    let busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    let written = match answer {
        CallAnswer::Whole => return open_watch(stream, head, state),
        CallAnswer::CutByReset => {
            let written = stream.write_all(half.as_bytes());
            // The caller reads what has come before it finds the reset.
            thread::sleep(Duration::from_millis(50));
            reset(&stream);
            written
        }
        CallAnswer::CutByEnd => stream.write_all(half.as_bytes()),
        CallAnswer::HeadAlone => stream.write_all(head.as_bytes()).map(|()| wait_for_end(&mut stream)),
        CallAnswer::Trickle => return trickle(&mut stream, head, &list),
        CallAnswer::Unreadable => stream
            .write_all(format!("{head}{:x}\r\n{list}\r\n", list.len()).as_bytes())
            .map(|()| wait_for_end(&mut stream)),
        CallAnswer::BusyAtOnce => stream.write_all(busy.as_bytes()),
        CallAnswer::BusyLate => {
            thread::sleep(REFUSED_LATE);
            stream.write_all(busy.as_bytes())
        }
        CallAnswer::Reset | CallAnswer::NoConnection => {
            reset(&stream);
            Ok(())
        }
        CallAnswer::Silence => {
            wait_for_end(&mut stream);
            Ok(())
        }
    };
    drop(written);
}

fn open_watch(mut stream: TcpStream, head: &str, state: &Mutex<State>) {
    // Under the lock, so that no change comes between the list and the watch.
    let mut state = state.lock().unwrap();
    let list = state.whole_list();
    if stream.write_all(head.as_bytes()).and_then(|()| write_chunk(&mut stream, &list)).is_ok() {
        state.note_written();
        state.watches.push(stream);
    }
}

fn trickle(stream: &mut TcpStream, head: &str, list: &str) {
    let text = format!("{head}{:x}\r\n{list}\r\n", list.len());
    for byte in text.as_bytes() {
        if stream.write_all(&[*byte]).is_err() {
            return;
        }
        thread::sleep(TRICKLE_EVERY);
    }
}

fn wait_for_end(stream: &mut TcpStream) {
    let _ = stream.set_read_timeout(Some(super::PATIENCE));
    let _ = std::io::copy(stream, &mut std::io::sink());
}
