//! The first tier of an emulated world on loopback sockets, in real time: nodes that speak HTTP/1.1, and the
//! platform's discovery.
//!
//! The nodes are the emulator's own ([`garnettally_emulator::node`]), driven by the wall clock; faults follow
//! the world's timeline. On a machine that is too busy the fleet falls behind. It reports that, since its
//! figures are then not those of the world.
//!
//! It leaves out later tiers (a request's work is that of the first tier), partitions, and clients, for which
//! any load generator can be used.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod discovery;
mod nodes;

use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use garnettally_emulator::draw::RandomStream;
use garnettally_emulator::world::World;
use garnettally_model::Micros;
use nodes::HostedNode;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest delay of a due event in a valid run; beyond it the machine was too busy for the figures to
/// count.
pub const MAX_EVENT_DELAY: Duration = Duration::from_millis(50);
/// The largest number of connections, of nodes and discovery together.
const MAX_CONNECTIONS: usize = 60_000;
/// The longest request that a node reads, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// The state of a fleet at one time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Snapshot {
    /// The time since the fleet's start, in seconds.
    pub at: f64,
    /// The nodes, in the order of their numbers.
    pub nodes: Vec<NodeView>,
    /// The kinds of the faults in force.
    pub faults: Vec<String>,
    /// The number of open connections to nodes.
    pub connections: usize,
    /// The number of watches on discovery.
    pub watches: usize,
    /// New requests that reached a node more than half a second after its draining had been written to every
    /// watch.
    pub sent_to_drained: u64,
    /// The longest delay of a due event so far, in milliseconds.
    pub late_ms: f64,
    /// Whether no event was delayed by more than [`MAX_EVENT_DELAY`].
    pub valid: bool,
}

/// The state of one node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeView {
    /// The node's name.
    pub name: String,
    /// The number of requests that run or wait on the node.
    pub held: usize,
    /// The number of responses that the node has sent.
    pub answered: u64,
    /// `ready`, `draining`, `gone`, `slow`, `hung` or `failing`.
    pub state: &'static str,
}

/// The addresses of a fleet.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The addresses of the nodes, by number.
    pub nodes: Vec<SocketAddr>,
}

/// An event that is due at some time; numbers are those of nodes, except for faults.
enum Event {
    /// A job of the node ends, if the node is still at this version.
    JobEnds(usize, u64),
    /// The fault begins (true) or ends.
    Fault(usize, bool),
    /// The draining node stops, and its connections are closed.
    StopNode(usize),
    /// The node warms up by one more step.
    WarmUp(usize),
    /// The watches get the node's new state.
    Publish(usize, garnettally_model::ListedState),
    /// The watches get an empty line, as a sign that they work.
    PingWatches,
}

/// An event with its due time and its number; ordered by both.
struct ScheduledEvent(Instant, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The listener that accepted a connection.
#[derive(Clone, Copy, PartialEq)]
enum Endpoint {
    Node(usize),
    Discovery,
}

struct Connection {
    endpoint: Endpoint,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// Received bytes that are not processed yet.
    input: Vec<u8>,
    /// Bytes that the socket has not taken yet.
    output: Vec<u8>,
    /// The job of the node whose response is outstanding on this connection.
    job: Option<u64>,
    /// Whether the connection is a watch on discovery.
    watch: bool,
}

struct Fleet {
    world: World,
    handle: LoopHandle<'static, Fleet>,
    start: Instant,
    nodes: Vec<HostedNode>,
    connections: FxHashMap<u64, Connection>,
    /// By job: its connection, its request's id, and whether it is a HEAD request.
    jobs: FxHashMap<u64, (u64, String, bool)>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The last number given to a connection, a job or an event.
    last_number: u64,
    /// By cell and idempotency key: when the request was accepted.
    idempotency_keys: FxHashMap<(usize, String), Micros>,
    /// For each fault of the world: whether it is in force, its nodes, and its size.
    faults: Vec<(bool, Vec<usize>, f64)>,
    /// Random draws of the requests' work.
    work: RandomStream,
    /// Random draws of failures.
    errors: RandomStream,
    /// Random draws of the delays of discovery's list.
    list_delays: RandomStream,
    /// The sequence number of discovery's list.
    seq: u64,
    /// New requests that reached a node too long after its draining was published.
    sent_to_drained: u64,
    /// The longest delay of a due event so far.
    event_delay: Duration,
    /// The additional age of load reports during a fault `late-reports`.
    report_delay: Micros,
    /// Whether a fault keeps discovery's list as it is.
    list_is_stale: bool,
    /// Changes that are published once the list is no longer stale.
    withheld_changes: Vec<(usize, garnettally_model::ListedState)>,
    read_buffer: Vec<u8>,
    class_names: Vec<String>,
}

/// Opens a listener on a loopback port of its own.
fn listen(handle: &LoopHandle<'static, Fleet>, endpoint: Endpoint) -> io::Result<SocketAddr> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(1024)?;
    let listener = Rc::new(TcpListener::from(socket));
    let address = listener.local_addr()?;
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let added = handle.insert_source(source, move |_, _, fleet: &mut Fleet| {
        // At most 64 connections are accepted at a time, so that other events are not delayed.
        for _ in 0..64 {
            match listener.accept() {
                Ok((stream, _)) => fleet.accept(endpoint, stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        Ok(PostAction::Continue)
    });
    added.map_err(|e| io::Error::other(e.error))?;
    Ok(address)
}

/// Runs a fleet until `show` returns false. `ready` gets the fleet's addresses once; `show` gets its state
/// ten times a second.
pub fn run(
    world: World,
    seed: u64,
    ready: impl FnOnce(&Addresses),
    mut show: impl FnMut(&Snapshot) -> bool,
) -> io::Result<Snapshot> {
    let mut events: EventLoop<'static, Fleet> = EventLoop::try_new().map_err(io::Error::other)?;
    let handle = events.handle();
    let nodes = (0..world.tiers[0].nodes).map(|n| listen(&handle, Endpoint::Node(n)));
    let addresses = Addresses {
        nodes: nodes.collect::<io::Result<_>>()?,
        discovery: listen(&handle, Endpoint::Discovery)?,
    };
    let stream = |purpose| RandomStream::new(seed, purpose, 0);
    let mut fleet = Fleet {
        class_names: world.classes.iter().map(|c| c.name.clone()).collect(),
        handle,
        start: Instant::now(),
        nodes: Vec::new(),
        connections: FxHashMap::default(),
        jobs: FxHashMap::default(),
        events: BinaryHeap::new(),
        last_number: 0,
        idempotency_keys: FxHashMap::default(),
        faults: Vec::new(),
        work: stream("fleet work"),
        errors: stream("fleet errors"),
        list_delays: stream("fleet list"),
        seq: 1,
        sent_to_drained: 0,
        event_delay: Duration::ZERO,
        report_delay: Micros(0),
        list_is_stale: false,
        withheld_changes: Vec::new(),
        read_buffer: vec![0; 64 << 10],
        world,
    };
    fleet.build_nodes(seed, &addresses);
    ready(&addresses);
    let mut next_show = Instant::now();
    loop {
        let now = Instant::now();
        while let Some(Reverse(ScheduledEvent(at, ..))) = fleet.events.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse(ScheduledEvent(at, _, event))) = fleet.events.pop() else { break };
            fleet.event_delay = fleet.event_delay.max(now.saturating_duration_since(at));
            fleet.handle(event);
        }
        if now >= next_show {
            next_show = now + Duration::from_millis(100);
            if !show(&fleet.snapshot()) {
                return Ok(fleet.snapshot());
            }
        }
        let next = fleet.events.peek().map_or(next_show, |Reverse(e)| e.0.min(next_show));
        events
            .dispatch(Some(next.saturating_duration_since(Instant::now())), &mut fleet)
            .map_err(io::Error::other)?;
    }
}

impl Fleet {
    fn now(&self) -> Micros {
        Micros(self.start.elapsed().as_micros() as i64)
    }

    /// Schedules an event.
    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_number += 1;
        let at = self.start + Duration::from_micros(at.0.max(0) as u64);
        self.events.push(Reverse(ScheduledEvent(at, self.last_number, event)));
    }

    /// Accepts a connection, or drops it if its node takes no more.
    fn accept(&mut self, endpoint: Endpoint, stream: TcpStream) {
        let refused = matches!(endpoint, Endpoint::Node(n) if !self.nodes[n].accepts_connections(self.world.tiers[0].connections));
        if refused || self.connections.len() >= MAX_CONNECTIONS {
            return; // dropping the stream resets or closes the connection
        }
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        let stream = Rc::new(stream);
        self.last_number += 1;
        let id = self.last_number;
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(source, move |_, _, fleet: &mut Fleet| {
            fleet.connection_ready(id);
            Ok(PostAction::Continue)
        });
        let Ok(token) = token else { return };
        if let Endpoint::Node(n) = endpoint {
            self.nodes[n].connections += 1;
        }
        let connection = Connection {
            endpoint,
            stream,
            token,
            input: Vec::new(),
            output: Vec::new(),
            job: None,
            watch: false,
        };
        self.connections.insert(id, connection);
    }

    /// Handles an event of a connection: writes its output, and reads.
    fn connection_ready(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let mut ended = !flush(connection);
        loop {
            match (&*connection.stream).read(&mut self.read_buffer) {
                Ok(0) => ended = true,
                Ok(n) => {
                    connection.input.extend_from_slice(&self.read_buffer[..n]);
                    if connection.input.len() <= MAX_REQUEST_BYTES {
                        continue;
                    }
                    ended = true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => ended = true,
            }
            break;
        }
        if ended {
            return self.close(id);
        }
        match connection.endpoint {
            Endpoint::Node(n) => self.node_input(id, n),
            Endpoint::Discovery => self.discovery_input(id),
        }
    }

    /// Closes a connection; the request that its node works on is cancelled.
    fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.handle.remove(connection.token);
        if let Endpoint::Node(n) = connection.endpoint {
            self.nodes[n].connections -= 1;
            if let Some(job) = connection.job {
                self.jobs.remove(&job);
                let now = self.now();
                self.nodes[n].emulated.cancel(now, job);
                self.schedule_next_job_end(n);
            }
        }
    }

    /// Sends bytes on a connection; what the socket does not take at once is queued.
    fn send(&mut self, id: u64, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.output.extend_from_slice(bytes);
        if !flush(connection) {
            self.close(id);
        }
    }

    /// Carries out an event that is due.
    fn handle(&mut self, event: Event) {
        match event {
            Event::JobEnds(n, version) => {
                if self.nodes[n].version == version {
                    self.finish_jobs(n);
                }
            }
            Event::Fault(i, begins) => self.switch_fault(i, begins),
            Event::StopNode(n) => self.stop_node(n),
            Event::WarmUp(n) => self.warm_up(n),
            Event::Publish(n, state) => self.publish(n, state),
            Event::PingWatches => self.ping_watches(),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let nodes = self.nodes.iter().map(|node| node.view()).collect();
        let faults = self.faults.iter().zip(&self.world.faults).filter(|(f, _)| f.0);
        Snapshot {
            at: self.start.elapsed().as_secs_f64(),
            nodes,
            faults: faults.map(|(_, f)| format!("{:?}", f.what)).collect(),
            connections: self.connections.values().filter(|c| c.endpoint != Endpoint::Discovery).count(),
            watches: self.connections.values().filter(|c| c.watch).count(),
            sent_to_drained: self.sent_to_drained,
            late_ms: self.event_delay.as_secs_f64() * 1e3,
            valid: self.event_delay <= MAX_EVENT_DELAY,
        }
    }
}

/// Writes as much of the output as the socket takes; false: the connection is broken.
fn flush(connection: &mut Connection) -> bool {
    let mut written = 0;
    while written < connection.output.len() {
        match (&*connection.stream).write(&connection.output[written..]) {
            Ok(n) if n > 0 => written += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            _ => return false,
        }
    }
    connection.output.drain(..written);
    true
}
