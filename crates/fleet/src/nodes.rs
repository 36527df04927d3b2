//! The nodes: requests in, work done by the emulator's node, answers out; and what goes wrong with them.

use crate::{Addresses, Due, Fleet, NodeView};
use garnettally_emulator::draw::RandomStream;
use garnettally_emulator::node::{Admission, Node, NodeConfig, Thrash};
use garnettally_emulator::world::{FaultKind, Repeat};
use garnettally_model::{ListedState, Micros};
use httparse::Status;
use std::net::SocketAddr;

const STEPS_TO_WARM: i64 = 16;
/// A send may come so long after a drain was told.
const DRAIN_GRACE: Micros = Micros(500_000);

/// A node and what befalls it.
pub(crate) struct Place {
    pub name: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: usize,
    pub node: Node,
    pub version: u64,
    pub connections: usize,
    pub since_ms: u64,
    /// When its draining was written to every watch.
    pub told_drained: Option<Micros>,
    answered: u64,
    cold_from: Option<Micros>,
    slow: f64,
    hung: bool,
    stopped: bool,
    draining: bool,
    fast_errors: f64,
    spoilt: f64,
    report: (Micros, usize),
}

impl Place {
    pub fn takes_connections(&self, most: usize) -> bool {
        !self.stopped && self.connections < most
    }

    pub fn listed(&self) -> ListedState {
        match (self.stopped, self.draining) {
            (true, _) => ListedState::Removed,
            (_, true) => ListedState::Draining,
            _ => ListedState::Ready,
        }
    }

    pub fn view(&self) -> NodeView {
        let state = match self.listed() {
            ListedState::Removed => "gone",
            ListedState::Draining => "draining",
            ListedState::Ready if self.hung => "hung",
            ListedState::Ready if self.fast_errors + self.spoilt > 0.0 => "failing",
            ListedState::Ready if self.slow > 1.0 => "slow",
            ListedState::Ready => "ready",
        };
        NodeView { name: self.name.clone(), held: self.node.in_flight(), answered: self.answered, state }
    }
}

/// A request, as far as a node looks into it.
struct Asked {
    used: usize,
    class: usize,
    id: String,
    key: Option<String>,
    cost: Option<f64>,
    head: bool,
}

/// The request at the start of `input`: `Err`: it makes no sense; `None`: it is not whole.
fn asked(input: &[u8], names: &[String]) -> Result<Option<Asked>, ()> {
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
    let length: usize = header("content-length").map_or(Ok(0), str::parse).map_err(|_| ())?;
    if input.len() < n.saturating_add(length) {
        return Ok(None);
    }
    let first = head.path.unwrap_or("/").trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
    Ok(Some(Asked {
        used: n + length,
        class: names.iter().position(|c| c == first).unwrap_or(0),
        id: header("req-id").unwrap_or("").to_string(),
        key: header("idempotency-key").map(str::to_string),
        cost: header("req-cost").and_then(|c| c.parse::<f64>().ok()).filter(|c| (0.0..1e9).contains(c)),
        head: head.method == Some("HEAD"),
    }))
}

impl Fleet {
    pub(crate) fn build(&mut self, seed: u64, addresses: &Addresses) {
        let mut s = RandomStream::new(seed, "nodes", 0);
        let tier = self.world.tiers[0].clone();
        let zones = self.world.zones.len();
        for (i, &address) in addresses.nodes.iter().enumerate() {
            let thrash = tier.thrash.as_ref().map(|t| Thrash {
                above: t.above,
                after: t.after.0,
                factor: t.factor.draw(&mut s),
                calm: t.calm.0,
            });
            let build = NodeConfig {
                cores: tier.cores.draw(&mut s),
                speed: tier.speed.draw(&mut s),
                slots: tier.slots,
                queue: tier.queue,
                cancel_stops: tier.cancel_stops,
                thrash,
            };
            self.places.push(Place {
                name: format!("{}-{i}", tier.name),
                address,
                zone: i % zones,
                cell: i / zones / tier.cell * zones + i % zones,
                node: Node::new(build, Micros(0)),
                version: 0,
                connections: 0,
                since_ms: 0,
                told_drained: None,
                answered: 0,
                cold_from: None,
                slow: 1.0,
                hung: false,
                stopped: false,
                draining: false,
                fast_errors: 0.0,
                spoilt: 0.0,
                report: (Micros(-1), 0),
            });
        }
        let mut s = RandomStream::new(seed, "faults", 0);
        for (i, f) in self.world.faults.clone().iter().enumerate() {
            let at = f.at.draw(&mut s);
            let end = at + f.lasts.draw(&mut s);
            let n = ((f.share.draw(&mut s) * tier.nodes as f64).round() as usize).max(1);
            let nodes = s.sample_indices(n, tier.nodes);
            let size = match &f.what {
                FaultKind::Slow(b)
                | FaultKind::Burst(b)
                | FaultKind::FastErrors(b)
                | FaultKind::Spoilt(b) => b.draw(&mut s),
                FaultKind::LateReports(b) => b.draw(&mut s).0 as f64,
                _ => 0.0,
            };
            self.faults.push((false, nodes, size));
            // Later tiers are not played, nor are the faults in them.
            if self.world.tier_index(f) == 0 {
                self.ask(at, Due::Fault(i, true));
                self.ask(end, Due::Fault(i, false));
            }
        }
        self.ask(Micros(2_000_000), Due::Ping);
    }

    /// Takes the request that a node's connection has brought, one at a time.
    pub(crate) fn node_input(&mut self, id: u64, n: usize) {
        while self.take_one(id, n) {}
    }

    /// True: it was answered at once, and another may wait behind it.
    fn take_one(&mut self, id: u64, n: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        if conn.job.is_some() || conn.input.is_empty() {
            return false;
        }
        let a = match asked(&conn.input, &self.names) {
            Ok(Some(a)) => a,
            Ok(None) => return false,
            Err(()) => {
                self.close(id);
                return false;
            }
        };
        conn.input.drain(..a.used);
        let now = self.now();
        self.number += 1;
        let job = self.number;
        if self.places[n].told_drained.is_some_and(|told| now - told > DRAIN_GRACE) {
            self.drained += 1;
        }
        let class = &self.world.classes[a.class];
        let p = &mut self.places[n];
        if p.draining || p.stopped {
            self.reply(id, n, 503, "Srv-Declined: 1\r\n", &a.id, a.head);
            return true;
        }
        if self.errors.chance(p.fast_errors) {
            self.reply(id, n, 500, "", &a.id, a.head);
            return true;
        }
        let keyed = class.repeat == Repeat::Keyed;
        if let Some(key) = a.key.clone().filter(|_| keyed) {
            let cell = p.cell;
            if self.keys.get(&(cell, key.clone())).is_some_and(|at| now - *at < class.window.0) {
                self.reply(id, n, 200, "", &a.id, a.head);
                return true;
            }
            self.keys.insert((cell, key), now);
            if self.keys.len() > 1 << 18 {
                let longest = self.world.classes.iter().map(|c| c.window.0).max().unwrap_or_default();
                self.keys.retain(|_, at| now - *at < longest);
            }
        }
        let mean = self.world.mean_work(a.class, 0);
        let work = a.cost.unwrap_or_else(|| self.world.classes[a.class].shape.draw(mean, &mut self.work));
        match self.places[n].node.submit(now, job, work) {
            Admission::Full => {
                self.reply(id, n, 503, "Srv-Declined: 1\r\n", &a.id, a.head);
                true
            }
            _ => {
                self.jobs.insert(job, (id, a.id, a.head));
                if let Some(conn) = self.conns.get_mut(&id) {
                    conn.job = Some(job);
                }
                self.look_after(n);
                false
            }
        }
    }

    fn reply(&mut self, id: u64, n: usize, status: u16, more: &str, request: &str, bare: bool) {
        let now = self.now();
        let report = match &self.world.tiers[0].reports {
            None => String::new(),
            Some(r) => {
                let p = &mut self.places[n];
                if p.report.0 < Micros(0) || now - p.report.0 >= r.every.0 + r.delay.0 + self.late_reports {
                    p.report = (now, p.node.in_flight());
                }
                format!("Srv-Load: TEXT inflight={}\r\n", p.report.1)
            }
        };
        let body = if bare { String::new() } else { format!("{} {request}\n", self.places[n].name) };
        self.places[n].answered += 1;
        let answer =
            format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{report}{more}\r\n{body}", body.len());
        self.send(id, answer.as_bytes());
    }

    pub(crate) fn work_off(&mut self, n: usize) {
        let now = self.now();
        while let Some(job) = self.places[n].node.pop_finished(now) {
            let Some((id, request, bare)) = self.jobs.remove(&job) else { continue };
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.job = None;
            }
            if self.errors.chance(self.places[n].spoilt) {
                self.send(id, b"\x01\x02 this is no answer\r\n\r\n");
                continue;
            }
            let status = if self.errors.chance(self.world.tiers[0].errors) { 500 } else { 200 };
            self.reply(id, n, status, "", &request, bare);
            // The next request may have come meanwhile.
            self.node_input(id, n);
        }
        self.look_after(n);
    }

    pub(crate) fn look_after(&mut self, n: usize) {
        let p = &mut self.places[n];
        p.version += 1;
        let version = p.version;
        if let Some(at) = p.node.next_event() {
            self.ask(at, Due::Node(n, version));
        }
    }

    fn set_speed(&mut self, n: usize) {
        let now = self.now();
        let t = &self.world.tiers[0];
        let p = &mut self.places[n];
        let warmth = p.cold_from.map_or(1.0, |from| {
            let age = (now - from).0 as f64 / t.warm_after.0 .0.max(1) as f64;
            t.cold_share + (1.0 - t.cold_share) * age.clamp(0.0, 1.0)
        });
        p.node.set_speed_factor(now, if p.hung || p.stopped { 0.0 } else { warmth / p.slow });
        self.look_after(n);
    }

    pub(crate) fn warm(&mut self, n: usize) {
        let now = self.now();
        let ramp = self.world.tiers[0].warm_after.0;
        let p = &mut self.places[n];
        let Some(from) = p.cold_from else { return };
        if now - from >= ramp {
            p.cold_from = None;
        } else {
            self.ask(now + Micros((ramp.0 / STEPS_TO_WARM).max(1)), Due::Warm(n));
        }
        self.set_speed(n);
    }

    pub(crate) fn stop(&mut self, n: usize) {
        if !self.places[n].draining {
            return;
        }
        self.places[n].stopped = true;
        let now = self.now();
        self.places[n].node.remove_all(now);
        let mine: Vec<u64> =
            self.conns.iter().filter(|(_, c)| c.party == crate::Party::Node(n)).map(|(&id, _)| id).collect();
        mine.into_iter().for_each(|id| self.close(id));
        self.set_speed(n);
        self.announce(n, ListedState::Removed);
    }

    fn start_node(&mut self, n: usize) {
        let now = self.now();
        let p = &mut self.places[n];
        (p.stopped, p.draining, p.cold_from, p.told_drained) = (false, false, Some(now), None);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        p.since_ms = unix.as_millis() as u64;
        self.warm(n);
        self.announce(n, ListedState::Ready);
    }

    pub(crate) fn fault(&mut self, i: usize, begins: bool) {
        self.faults[i].0 = begins;
        let (_, nodes, size) = self.faults[i].clone();
        match self.world.faults[i].what.clone() {
            FaultKind::Slow(_) => {
                for n in nodes {
                    self.places[n].slow = if begins { size } else { 1.0 };
                    self.set_speed(n);
                }
            }
            FaultKind::Hang => {
                for n in nodes {
                    self.places[n].hung = begins;
                    self.set_speed(n);
                }
            }
            FaultKind::FastErrors(_) => {
                nodes.iter().for_each(|&n| self.places[n].fast_errors = if begins { size } else { 0.0 })
            }
            FaultKind::Spoilt(_) => {
                nodes.iter().for_each(|&n| self.places[n].spoilt = if begins { size } else { 0.0 })
            }
            FaultKind::LateReports(_) => self.late_reports = Micros(if begins { size as i64 } else { 0 }),
            // On sockets of one machine a node can't go silent without its kernel's answering: it hangs instead.
            FaultKind::Vanish | FaultKind::Restart => {
                for n in nodes {
                    if begins {
                        self.places[n].draining = true;
                        self.announce(n, ListedState::Draining);
                        let at = self.now() + Micros(1_000_000);
                        self.ask(at, Due::Stop(n));
                    } else {
                        self.start_node(n);
                    }
                }
            }
            FaultKind::StaleList => {
                self.stale = begins;
                if !begins {
                    for (n, state) in std::mem::take(&mut self.held_news) {
                        self.told(n, state);
                    }
                }
            }
            FaultKind::LyingList => {
                for n in nodes {
                    self.announce(n, if begins { ListedState::Removed } else { ListedState::Ready });
                }
            }
            // The balancers are processes of their own here: the drill has them die and stand still.
            FaultKind::Burst(_)
            | FaultKind::Partition
            | FaultKind::KillBalancers
            | FaultKind::StopBalancers => {}
        }
    }
}
