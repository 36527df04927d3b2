//! The first tier of a world on loopback sockets, in real time: nodes that speak HTTP/1.1, and the platform's discovery.
//!
//! The nodes are the emulator's own ([`garnettally_emulator::node`]), driven by the clock; faults come on the world's
//! timeline. A machine that is too busy makes the fleet late, and a fleet that was late says so: its figures are then
//! not those of the world.
//!
//! What it does not do: later tiers (a request's work is that of the first tier), partitions, and the clients, which are
//! any load generator's.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod discovery;
mod nodes;

use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use garnettally_emulator::draw::RandomStream;
use garnettally_emulator::world::World;
use garnettally_model::Micros;
use nodes::Place;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Later than this with what was due, the machine was too busy for the figures to count.
pub const LATE: Duration = Duration::from_millis(50);
/// The most connections, of nodes and discovery together.
const MOST_CONNECTIONS: usize = 60_000;
/// The longest request that a node reads.
const MOST_REQUEST: usize = 1 << 20;

/// What a fleet is doing.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Snapshot {
    /// Seconds since its start.
    pub at: f64,
    /// Nodes.
    pub nodes: Vec<NodeView>,
    /// Faults that are on, as the world's file calls them.
    pub faults: Vec<String>,
    /// Connections to nodes.
    pub connections: usize,
    /// Watches on discovery.
    pub watches: usize,
    /// New requests that reached a node more than half a second after its draining had been written to every watch.
    pub sent_to_drained: u64,
    /// The longest that the fleet was late with what was due, in milliseconds.
    pub late_ms: f64,
    /// It was never late by more than [`LATE`].
    pub valid: bool,
}

/// One node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeView {
    /// Its name.
    pub name: String,
    /// Requests that it holds.
    pub held: usize,
    /// Requests that it has answered.
    pub answered: u64,
    /// `ready`, `draining`, `gone`, `slow`, `hung` or `failing`.
    pub state: &'static str,
}

/// Where a fleet is to be met.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The nodes.
    pub nodes: Vec<SocketAddr>,
}

enum Due {
    Node(usize, u64),
    Fault(usize, bool),
    Stop(usize),
    Warm(usize),
    Told(usize, garnettally_model::ListedState),
    Ping,
}

struct Entry(Instant, u64, Due);

impl PartialEq for Entry {
    fn eq(&self, o: &Self) -> bool {
        self.1 == o.1
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Entry {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(o.0, o.1))
    }
}

/// What a connection is for.
#[derive(Clone, Copy, PartialEq)]
enum Party {
    Node(usize),
    Discovery,
}

struct Conn {
    party: Party,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    input: Vec<u8>,
    output: Vec<u8>,
    /// It waits for this job of its node.
    job: Option<u64>,
    /// It is a watch.
    watch: bool,
}

struct Fleet {
    world: World,
    handle: LoopHandle<'static, Fleet>,
    start: Instant,
    places: Vec<Place>,
    conns: FxHashMap<u64, Conn>,
    /// The connection of a job, its request's id, and whether it wants no body.
    jobs: FxHashMap<u64, (u64, String, bool)>,
    due: BinaryHeap<Reverse<Entry>>,
    number: u64,
    keys: FxHashMap<(usize, String), Micros>,
    faults: Vec<(bool, Vec<usize>, f64)>,
    work: RandomStream,
    errors: RandomStream,
    list: RandomStream,
    seq: u64,
    drained: u64,
    late: Duration,
    late_reports: Micros,
    stale: bool,
    held_news: Vec<(usize, garnettally_model::ListedState)>,
    scratch: Vec<u8>,
    names: Vec<String>,
}

fn listen(handle: &LoopHandle<'static, Fleet>, party: Party) -> io::Result<SocketAddr> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(1024)?;
    let listener = Rc::new(TcpListener::from(socket));
    let address = listener.local_addr()?;
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let added = handle.insert_source(source, move |_, _, fleet: &mut Fleet| {
        // At the most so many at a time, so that others have their turn.
        for _ in 0..64 {
            match listener.accept() {
                Ok((stream, _)) => fleet.accept(party, stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        Ok(PostAction::Continue)
    });
    added.map_err(|e| io::Error::other(e.error))?;
    Ok(address)
}

/// Plays a fleet until `show` says no. It is told where the fleet is, once, and ten times a second what it does.
pub fn run(
    world: World,
    seed: u64,
    ready: impl FnOnce(&Addresses),
    mut show: impl FnMut(&Snapshot) -> bool,
) -> io::Result<Snapshot> {
    let mut events: EventLoop<'static, Fleet> = EventLoop::try_new().map_err(io::Error::other)?;
    let handle = events.handle();
    let nodes = (0..world.tiers[0].nodes).map(|n| listen(&handle, Party::Node(n)));
    let addresses =
        Addresses { nodes: nodes.collect::<io::Result<_>>()?, discovery: listen(&handle, Party::Discovery)? };
    let stream = |purpose| RandomStream::new(seed, purpose, 0);
    let mut fleet = Fleet {
        names: world.classes.iter().map(|c| c.name.clone()).collect(),
        handle,
        start: Instant::now(),
        places: Vec::new(),
        conns: FxHashMap::default(),
        jobs: FxHashMap::default(),
        due: BinaryHeap::new(),
        number: 0,
        keys: FxHashMap::default(),
        faults: Vec::new(),
        work: stream("fleet work"),
        errors: stream("fleet errors"),
        list: stream("fleet list"),
        seq: 1,
        drained: 0,
        late: Duration::ZERO,
        late_reports: Micros(0),
        stale: false,
        held_news: Vec::new(),
        scratch: vec![0; 64 << 10],
        world,
    };
    fleet.build(seed, &addresses);
    ready(&addresses);
    let mut tick = Instant::now();
    loop {
        let now = Instant::now();
        while let Some(Reverse(Entry(at, ..))) = fleet.due.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse(Entry(at, _, due))) = fleet.due.pop() else { break };
            fleet.late = fleet.late.max(now.saturating_duration_since(at));
            fleet.happen(due);
        }
        if now >= tick {
            tick = now + Duration::from_millis(100);
            if !show(&fleet.snapshot()) {
                return Ok(fleet.snapshot());
            }
        }
        let next = fleet.due.peek().map_or(tick, |Reverse(e)| e.0.min(tick));
        events
            .dispatch(Some(next.saturating_duration_since(Instant::now())), &mut fleet)
            .map_err(io::Error::other)?;
    }
}

impl Fleet {
    fn now(&self) -> Micros {
        Micros(self.start.elapsed().as_micros() as i64)
    }

    fn ask(&mut self, at: Micros, due: Due) {
        self.number += 1;
        let at = self.start + Duration::from_micros(at.0.max(0) as u64);
        self.due.push(Reverse(Entry(at, self.number, due)));
    }

    fn accept(&mut self, party: Party, stream: TcpStream) {
        let refused = matches!(party, Party::Node(n) if !self.places[n].takes_connections(self.world.tiers[0].connections));
        if refused || self.conns.len() >= MOST_CONNECTIONS {
            return; // dropped: reset or closed at once
        }
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        let stream = Rc::new(stream);
        self.number += 1;
        let id = self.number;
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(source, move |_, _, fleet: &mut Fleet| {
            fleet.ready(id);
            Ok(PostAction::Continue)
        });
        let Ok(token) = token else { return };
        if let Party::Node(n) = party {
            self.places[n].connections += 1;
        }
        let conn =
            Conn { party, stream, token, input: Vec::new(), output: Vec::new(), job: None, watch: false };
        self.conns.insert(id, conn);
    }

    fn ready(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let mut ended = !flush(conn);
        loop {
            match (&*conn.stream).read(&mut self.scratch) {
                Ok(0) => ended = true,
                Ok(n) => {
                    conn.input.extend_from_slice(&self.scratch[..n]);
                    if conn.input.len() <= MOST_REQUEST {
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
        match conn.party {
            Party::Node(n) => self.node_input(id, n),
            Party::Discovery => self.discovery_input(id),
        }
    }

    /// Ends a connection; a request that its node works on is called off.
    fn close(&mut self, id: u64) {
        let Some(conn) = self.conns.remove(&id) else { return };
        self.handle.remove(conn.token);
        if let Party::Node(n) = conn.party {
            self.places[n].connections -= 1;
            if let Some(job) = conn.job {
                self.jobs.remove(&job);
                let now = self.now();
                self.places[n].node.cancel(now, job);
                self.look_after(n);
            }
        }
    }

    fn send(&mut self, id: u64, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.output.extend_from_slice(bytes);
        if !flush(conn) {
            self.close(id);
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Node(n, version) => {
                if self.places[n].version == version {
                    self.work_off(n);
                }
            }
            Due::Fault(i, begins) => self.fault(i, begins),
            Due::Stop(n) => self.stop(n),
            Due::Warm(n) => self.warm(n),
            Due::Told(n, state) => self.told(n, state),
            Due::Ping => self.ping(),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let nodes = self.places.iter().map(|p| p.view()).collect();
        let faults = self.faults.iter().zip(&self.world.faults).filter(|(f, _)| f.0);
        Snapshot {
            at: self.start.elapsed().as_secs_f64(),
            nodes,
            faults: faults.map(|(_, f)| format!("{:?}", f.what)).collect(),
            connections: self.conns.values().filter(|c| c.party != Party::Discovery).count(),
            watches: self.conns.values().filter(|c| c.watch).count(),
            sent_to_drained: self.drained,
            late_ms: self.late.as_secs_f64() * 1e3,
            valid: self.late <= LATE,
        }
    }
}

/// Writes what is to be written; false: the connection is broken.
fn flush(conn: &mut Conn) -> bool {
    let mut at = 0;
    while at < conn.output.len() {
        match (&*conn.stream).write(&conn.output[at..]) {
            Ok(n) if n > 0 => at += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            _ => return false,
        }
    }
    conn.output.drain(..at);
    true
}
