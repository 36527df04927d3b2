//! The nodes: they read requests, have the emulator's nodes do the work, send responses, and get the world's
//! faults.

use crate::{Addresses, Event, Fleet, NodeView};
use garnettally_emulator::draw::RandomStream;
use garnettally_emulator::node::{Admission, Node, NodeConfig, Thrash};
use garnettally_emulator::world::{FaultKind, Repeat};
use garnettally_model::{ListedState, Micros};
use httparse::Status;
use std::net::SocketAddr;

/// The number of steps in which a node that was restarted reaches its full speed.
const WARM_UP_STEPS: i64 = 16;
/// How long after a node's draining was written to every watch new requests may still reach the node.
const DRAIN_GRACE: Micros = Micros(500_000);

/// Above this number of idempotency keys, those whose window has passed for every class are removed.
const MAX_KEYS: usize = 1 << 18;

/// An emulated node on a socket, with the faults that it has.
pub(crate) struct HostedNode {
    pub name: String,
    pub address: SocketAddr,
    /// The index of the node's zone in the world's list.
    pub zone: usize,
    /// The number of the node's cell; all nodes of a cell share their idempotency keys.
    pub cell: usize,
    /// The emulator's node, which does the work.
    pub emulated: Node,
    /// The number of times that the end of the next job was rescheduled; an event of an older version is
    /// void.
    pub version: u64,
    /// The number of the node's open connections.
    pub connections: usize,
    /// When the node was started last, in milliseconds of Unix time; 0: before the run.
    pub since_ms: u64,
    /// When the node's draining, or its removal, was written to every watch; `None` while it is ready.
    pub drain_published: Option<Micros>,
    /// The number of responses that the node has sent.
    answered: u64,
    /// When the node was restarted; `None` once it has warmed up.
    cold_from: Option<Micros>,
    /// The factor by which a fault slows the node down; 1: no fault.
    slowdown: f64,
    /// Whether a fault keeps the node from working.
    hung: bool,
    /// Whether the node is off: it accepts no connections and is not listed.
    stopped: bool,
    /// Whether the node declines new requests, before it stops.
    draining: bool,
    /// The probability that a request gets 500 at once.
    fast_errors: f64,
    /// The probability that a response is malformed.
    malformed: f64,
    /// The load that the node reports: when it was measured, and the number of requests.
    report: (Micros, usize),
}

impl HostedNode {
    /// Whether the node accepts one more connection, of at most `max`.
    pub fn accepts_connections(&self, max: usize) -> bool {
        !self.stopped && self.connections < max
    }

    /// The node's state in discovery's list.
    pub fn listed_state(&self) -> ListedState {
        match (self.stopped, self.draining) {
            (true, _) => ListedState::Removed,
            (_, true) => ListedState::Draining,
            _ => ListedState::Ready,
        }
    }

    pub fn view(&self) -> NodeView {
        let state = match self.listed_state() {
            ListedState::Removed => "gone",
            ListedState::Draining => "draining",
            ListedState::Ready if self.hung => "hung",
            ListedState::Ready if self.fast_errors + self.malformed > 0.0 => "failing",
            ListedState::Ready if self.slowdown > 1.0 => "slow",
            ListedState::Ready => "ready",
        };
        NodeView { name: self.name.clone(), held: self.emulated.in_flight(), answered: self.answered, state }
    }
}

/// The parts of a request that a node uses.
struct NodeRequest {
    /// The length of the request in bytes, with its body.
    length: usize,
    /// The index of the request's class, which the first segment of the path names; else 0.
    class: usize,
    /// The value of the header `Req-Id`, or empty.
    id: String,
    /// The value of the header `Idempotency-Key`.
    key: Option<String>,
    /// The work that the header `Req-Cost` asks for, if it is valid.
    cost: Option<f64>,
    is_head: bool,
}

/// Returns the request at the start of `input`, or `None` while it is incomplete; `Err`: it is malformed.
fn parse_request(input: &[u8], class_names: &[String]) -> Result<Option<NodeRequest>, ()> {
    let mut space = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut space);
    let n = match head.parse(input) {
        Ok(Status::Complete(n)) => n,
        Ok(Status::Partial) if input.len() < 64 << 10 => return Ok(None),
        _ => return Err(()),
    };
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if header("transfer-encoding").is_some() {
        return Err(());
    }
    let body_length: usize = header("content-length").map_or(Ok(0), str::parse).map_err(|_| ())?;
    if input.len() < n.saturating_add(body_length) {
        return Ok(None);
    }
    let first = head.path.unwrap_or("/").trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
    Ok(Some(NodeRequest {
        length: n + body_length,
        class: class_names.iter().position(|c| c == first).unwrap_or(0),
        id: header("req-id").unwrap_or("").to_string(),
        key: header("idempotency-key").map(str::to_string),
        cost: header("req-cost").and_then(|c| c.parse::<f64>().ok()).filter(|c| (0.0..1e9).contains(c)),
        is_head: head.method == Some("HEAD"),
    }))
}

impl Fleet {
    /// Makes the nodes of the first tier, and schedules the world's faults.
    pub(crate) fn build_nodes(&mut self, seed: u64, addresses: &Addresses) {
        let mut draws = RandomStream::new(seed, "nodes", 0);
        let tier = self.world.tiers[0].clone();
        let zones = self.world.zones.len();
        for (i, &address) in addresses.nodes.iter().enumerate() {
            let thrash = tier.thrash.as_ref().map(|thrash| Thrash {
                above: thrash.above,
                after: thrash.after.0,
                factor: thrash.factor.draw(&mut draws),
                calm: thrash.calm.0,
            });
            let build = NodeConfig {
                cores: tier.cores.draw(&mut draws),
                speed: tier.speed.draw(&mut draws),
                slots: tier.slots,
                queue: tier.queue,
                cancel_stops: tier.cancel_stops,
                thrash,
            };
            self.nodes.push(HostedNode {
                name: format!("{}-{i}", tier.name),
                address,
                zone: i % zones,
                cell: i / zones / tier.cell * zones + i % zones,
                emulated: Node::new(build, Micros(0)),
                version: 0,
                connections: 0,
                since_ms: 0,
                drain_published: None,
                answered: 0,
                cold_from: None,
                slowdown: 1.0,
                hung: false,
                stopped: false,
                draining: false,
                fast_errors: 0.0,
                malformed: 0.0,
                report: (Micros(-1), 0),
            });
        }
        let mut draws = RandomStream::new(seed, "faults", 0);
        for (i, fault) in self.world.faults.clone().iter().enumerate() {
            let at = fault.at.draw(&mut draws);
            let end = at + fault.lasts.draw(&mut draws);
            let count = ((fault.share.draw(&mut draws) * tier.nodes as f64).round() as usize).max(1);
            let nodes = draws.sample_indices(count, tier.nodes);
            let size = match &fault.what {
                FaultKind::Slow(size)
                | FaultKind::Burst(size)
                | FaultKind::FastErrors(size)
                | FaultKind::Spoilt(size) => size.draw(&mut draws),
                FaultKind::LateReports(size) => size.draw(&mut draws).0 as f64,
                _ => 0.0,
            };
            self.faults.push((false, nodes, size));
            // Later tiers are not emulated here, nor are the faults in them.
            if self.world.tier_index(fault) == 0 {
                self.schedule(at, Event::Fault(i, true));
                self.schedule(end, Event::Fault(i, false));
            }
        }
        self.schedule(Micros(2_000_000), Event::PingWatches);
    }

    /// Processes the requests that have come on a node's connection, one at a time.
    pub(crate) fn node_input(&mut self, id: u64, index: usize) {
        while self.process_request(id, index) {}
    }

    /// Processes the next request of a connection. Returns true if it was answered at once, so that another
    /// may follow.
    fn process_request(&mut self, id: u64, index: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.job.is_some() || connection.input.is_empty() {
            return false;
        }
        let request = match parse_request(&connection.input, &self.class_names) {
            Ok(Some(request)) => request,
            Ok(None) => return false,
            Err(()) => {
                self.close(id);
                return false;
            }
        };
        connection.input.drain(..request.length);
        let now = self.now();
        self.last_number += 1;
        let job = self.last_number;
        if self.nodes[index].drain_published.is_some_and(|published| now - published > DRAIN_GRACE) {
            self.sent_to_drained += 1;
        }
        let class = &self.world.classes[request.class];
        let node = &mut self.nodes[index];
        if node.draining || node.stopped {
            self.respond(id, index, 503, "Srv-Declined: 1\r\n", &request.id, request.is_head);
            return true;
        }
        if self.errors.chance(node.fast_errors) {
            self.respond(id, index, 500, "", &request.id, request.is_head);
            return true;
        }
        let keyed = class.repeat == Repeat::Keyed;
        if let Some(key) = request.key.clone().filter(|_| keyed) {
            let cell = node.cell;
            if self.idempotency_keys.get(&(cell, key.clone())).is_some_and(|at| now - *at < class.window.0) {
                self.respond(id, index, 200, "", &request.id, request.is_head);
                return true;
            }
            self.idempotency_keys.insert((cell, key), now);
            if self.idempotency_keys.len() > MAX_KEYS {
                let longest = self.world.classes.iter().map(|c| c.window.0).max().unwrap_or_default();
                self.idempotency_keys.retain(|_, at| now - *at < longest);
            }
        }
        let mean = self.world.mean_work(request.class, 0);
        let work = request
            .cost
            .unwrap_or_else(|| self.world.classes[request.class].shape.draw(mean, &mut self.work));
        match self.nodes[index].emulated.submit(now, job, work) {
            Admission::Full => {
                self.respond(id, index, 503, "Srv-Declined: 1\r\n", &request.id, request.is_head);
                true
            }
            _ => {
                self.jobs.insert(job, (id, request.id, request.is_head));
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.job = Some(job);
                }
                self.schedule_next_job_end(index);
                false
            }
        }
    }

    /// Sends the response of node `index`: `more` are further header lines, `request` is the request's id.
    fn respond(&mut self, id: u64, index: usize, status: u16, more: &str, request: &str, is_head: bool) {
        let now = self.now();
        let report = match &self.world.tiers[0].reports {
            None => String::new(),
            Some(reports) => {
                let node = &mut self.nodes[index];
                if node.report.0 < Micros(0)
                    || now - node.report.0 >= reports.every.0 + reports.delay.0 + self.report_delay
                {
                    node.report = (now, node.emulated.in_flight());
                }
                format!("Srv-Load: TEXT inflight={}\r\n", node.report.1)
            }
        };
        let body = if is_head { String::new() } else { format!("{} {request}\n", self.nodes[index].name) };
        self.nodes[index].answered += 1;
        let response =
            format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{report}{more}\r\n{body}", body.len());
        self.send(id, response.as_bytes());
    }

    /// Sends the responses of the jobs that a node has finished by now.
    pub(crate) fn finish_jobs(&mut self, index: usize) {
        let now = self.now();
        while let Some(job) = self.nodes[index].emulated.pop_finished(now) {
            let Some((id, request, is_head)) = self.jobs.remove(&job) else { continue };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.job = None;
            }
            if self.errors.chance(self.nodes[index].malformed) {
                self.send(id, b"\x01\x02 this is no answer\r\n\r\n");
                continue;
            }
            let status = if self.errors.chance(self.world.tiers[0].errors) { 500 } else { 200 };
            self.respond(id, index, status, "", &request, is_head);
            // The connection's next request may have come meanwhile.
            self.node_input(id, index);
        }
        self.schedule_next_job_end(index);
    }

    /// Schedules the event at which the next job of a node ends; earlier ones for the node become void.
    pub(crate) fn schedule_next_job_end(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.version += 1;
        let version = node.version;
        if let Some(at) = node.emulated.next_event() {
            self.schedule(at, Event::JobEnds(index, version));
        }
    }

    /// Sets a node's speed by its warm-up and its faults.
    fn update_speed(&mut self, index: usize) {
        let now = self.now();
        let tier = &self.world.tiers[0];
        let node = &mut self.nodes[index];
        let warmth = node.cold_from.map_or(1.0, |from| {
            let age = (now - from).0 as f64 / tier.warm_after.0 .0.max(1) as f64;
            tier.cold_share + (1.0 - tier.cold_share) * age.clamp(0.0, 1.0)
        });
        node.emulated
            .set_speed_factor(now, if node.hung || node.stopped { 0.0 } else { warmth / node.slowdown });
        self.schedule_next_job_end(index);
    }

    /// Takes one step of a node's warm-up, and schedules the next.
    pub(crate) fn warm_up(&mut self, index: usize) {
        let now = self.now();
        let ramp = self.world.tiers[0].warm_after.0;
        let node = &mut self.nodes[index];
        let Some(from) = node.cold_from else { return };
        if now - from >= ramp {
            node.cold_from = None;
        } else {
            self.schedule(now + Micros((ramp.0 / WARM_UP_STEPS).max(1)), Event::WarmUp(index));
        }
        self.update_speed(index);
    }

    /// Stops a draining node: its connections end, and it leaves discovery's list.
    pub(crate) fn stop_node(&mut self, index: usize) {
        if !self.nodes[index].draining {
            return;
        }
        self.nodes[index].stopped = true;
        let now = self.now();
        self.nodes[index].emulated.remove_all(now);
        let connections: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.endpoint == crate::Endpoint::Node(index))
            .map(|(&id, _)| id)
            .collect();
        connections.into_iter().for_each(|id| self.close(id));
        self.update_speed(index);
        self.schedule_publication(index, ListedState::Removed);
    }

    /// Starts a stopped or draining node again, cold.
    fn start_node(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.nodes[index];
        (node.stopped, node.draining, node.cold_from, node.drain_published) = (false, false, Some(now), None);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        node.since_ms = unix.as_millis() as u64;
        self.warm_up(index);
        self.schedule_publication(index, ListedState::Ready);
    }

    /// Begins or ends a fault of the world.
    pub(crate) fn switch_fault(&mut self, fault: usize, begins: bool) {
        self.faults[fault].0 = begins;
        let (_, nodes, size) = self.faults[fault].clone();
        match self.world.faults[fault].what.clone() {
            FaultKind::Slow(_) => {
                for n in nodes {
                    self.nodes[n].slowdown = if begins { size } else { 1.0 };
                    self.update_speed(n);
                }
            }
            FaultKind::Hang => {
                for n in nodes {
                    self.nodes[n].hung = begins;
                    self.update_speed(n);
                }
            }
            FaultKind::FastErrors(_) => {
                nodes.iter().for_each(|&n| self.nodes[n].fast_errors = if begins { size } else { 0.0 })
            }
            FaultKind::Spoilt(_) => {
                nodes.iter().for_each(|&n| self.nodes[n].malformed = if begins { size } else { 0.0 })
            }
            FaultKind::LateReports(_) => self.report_delay = Micros(if begins { size as i64 } else { 0 }),
            // The kernel of this machine answers for sockets of a node that vanishes, so that a node can't
            // disappear without a trace; it drains and stops instead.
            FaultKind::Vanish | FaultKind::Restart => {
                for n in nodes {
                    if begins {
                        self.nodes[n].draining = true;
                        self.schedule_publication(n, ListedState::Draining);
                        let at = self.now() + Micros(1_000_000);
                        self.schedule(at, Event::StopNode(n));
                    } else {
                        self.start_node(n);
                    }
                }
            }
            FaultKind::StaleList => {
                self.list_is_stale = begins;
                if !begins {
                    for (n, state) in std::mem::take(&mut self.withheld_changes) {
                        self.publish(n, state);
                    }
                }
            }
            FaultKind::LyingList => {
                for n in nodes {
                    self.schedule_publication(
                        n,
                        if begins { ListedState::Removed } else { ListedState::Ready },
                    );
                }
            }
            // Balancers are processes of their own here; killing and stopping them is the drill's task.
            FaultKind::Burst(_)
            | FaultKind::Partition
            | FaultKind::KillBalancers
            | FaultKind::StopBalancers => {}
        }
    }
}
