//! A duty: the figures of all members, told at intervals to a sink outside over HTTP, by whoever owns it. The epoch goes
//! with them, so that the sink can refuse an owner that came late. What was sent once is never sent again: the next
//! interval has newer figures under the next number.

use crate::duties::FleetDuties;
use crate::{Net, Proxy, ReadStatus, WatchedStream};
use garnettally_config::file::Export as Plan;
use garnettally_link::Link;
use rustc_hash::FxHashMap;
use serde_json::{json, Value};
use slog::{info, warn};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// The name of this duty.
pub const DUTY: &str = "export";
/// The key of the fact in which a member tells its figures.
const KEY: &[u8] = b"c";
/// A member tells its figures this often: they are that much older than what is sent.
const TELL: Duration = Duration::from_secs(1);
/// A sink answers within this, or the call is given up.
const PATIENCE: Duration = Duration::from_secs(2);
/// What is read of an answer.
const ANSWER_MOST: usize = 16 << 10;

/// A member's counters, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub attempts: u64,
}

impl Figures {
    fn to_bytes(self) -> Vec<u8> {
        [self.completed, self.rejected, self.failed, self.attempts]
            .iter()
            .flat_map(|n| n.to_be_bytes())
            .collect()
    }

    fn of_bytes(bytes: &[u8]) -> Option<Figures> {
        let mut numbers = bytes.chunks_exact(8).map(|c| c.try_into().map(u64::from_be_bytes));
        let mut next = || numbers.next()?.ok();
        let figures = Figures { completed: next()?, rejected: next()?, failed: next()?, attempts: next()? };
        (bytes.len() == 32).then_some(figures)
    }

    fn json(self, member: &str, life: u64, age_ms: i64) -> Value {
        json!({
            "member": member, "life": format!("{life:016x}"), "age_ms": age_ms, "completed": self.completed,
            "rejected": self.rejected, "failed": self.failed, "attempts": self.attempts,
        })
    }
}

struct Call {
    number: u64,
    socket: WatchedStream,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    deadline: Instant,
}

/// The figures' way out.
pub struct Export {
    plan: Plan,
    tell_at: Instant,
    next: Instant,
    call: Option<Call>,
    /// The epoch under which something was sent last, and how much was.
    sent: (u64, u64),
    /// Calls that the sink took, refused for their epoch, and that failed.
    pub taken: u64,
    pub refused: u64,
    pub failed: u64,
}

impl Export {
    pub fn new(plan: Plan, now: Instant) -> Export {
        let next = now + plan.interval;
        Export { plan, tell_at: now, next, call: None, sent: (0, 0), taken: 0, refused: 0, failed: 0 }
    }

    pub fn next_wake(&self) -> Instant {
        let call = self.call.as_ref().map(|c| c.deadline);
        self.tell_at.min(call.unwrap_or(self.next))
    }

    /// What is due: this member's own figures to the others, and all members' to the sink.
    pub fn turn(&mut self, net: &mut Net, link: &mut Link, duties: &FleetDuties, own: Figures, now: Instant) {
        if self.tell_at <= now {
            self.tell_at = now + TELL;
            link.publish(KEY, &own.to_bytes(), Duration::ZERO);
        }
        if self.call.as_ref().is_some_and(|c| c.deadline <= now) {
            self.fail(net, "silence");
        }
        if self.call.is_none() && self.next <= now {
            self.next = now + self.plan.interval;
            if duties.may_act(DUTY).is_some() {
                self.begin(net, now);
            }
        }
    }

    fn begin(&mut self, net: &mut Net, now: Instant) {
        let number = net.next_connection_id();
        let ready = move |proxy: &mut Proxy, r: calloop::Readiness| proxy.export_ready(number, r.writable);
        match crate::connect(self.plan.address).and_then(|s| net.watch(s, ready)) {
            Ok(socket) => {
                let (output, input) = (Vec::new(), Vec::new());
                let deadline = now + PATIENCE;
                self.call = Some(Call { number, socket, output, written: 0, input, deadline });
            }
            Err(e) => self.fail(net, &e.to_string()),
        }
    }

    fn end(&mut self, net: &Net) {
        if let Some(call) = self.call.take() {
            net.unwatch(call.socket);
        }
    }

    fn fail(&mut self, net: &Net, why: &str) {
        self.failed += 1;
        warn!(net.log, "the sink was not told"; "sink" => %self.plan.address, "why" => why);
        self.end(net);
    }

    /// The request, with the epoch that holds right now; `None`: this member may not act any more.
    fn request(&mut self, link: &Link, duties: &FleetDuties, own: Figures) -> Option<Vec<u8>> {
        let me = link.own_identity();
        let names: FxHashMap<u64, &str> =
            link.other_members().map(|(id, _)| (id.boot, id.name.as_str())).collect();
        let facts = link.facts().filter(|f| f.key == KEY && f.origin != me.boot);
        let rows = facts.filter_map(|f| {
            let name = names.get(&f.origin).copied().unwrap_or("");
            Some(Figures::of_bytes(f.value)?.json(name, f.origin, f.age.0 / 1000))
        });
        let members: Vec<Value> = std::iter::once(own.json(&me.name, me.boot, 0)).chain(rows).collect();
        let epoch = duties.may_act(DUTY)?;
        let sequence = if self.sent.0 == epoch { self.sent.1 + 1 } else { 1 };
        self.sent = (epoch, sequence);
        let life = format!("{:016x}", me.boot);
        let body = json!({
            "duty": DUTY, "epoch": epoch, "sequence": sequence, "by": me.name, "life": life, "members": members,
        });
        let body = body.to_string();
        let (path, host) = (&self.plan.path, self.plan.address);
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDuty-Epoch: {epoch}\r\n\
             Duty-Sequence: {sequence}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        Some((head + &body).into_bytes())
    }

    /// Its connection has become readable or writable.
    pub fn ready(
        &mut self,
        net: &mut Net,
        link: &Link,
        duties: &FleetDuties,
        own: Figures,
        event: (u64, bool),
    ) {
        let Some(call) = self.call.as_ref().filter(|c| c.number == event.0) else { return };
        if let Ok(Some(e)) = call.socket.stream.take_error() {
            return self.fail(net, &e.to_string());
        }
        if call.output.is_empty() {
            if !event.1 {
                return;
            }
            // The connection is up: the lease is read now, right before the effect.
            match self.request(link, duties, own) {
                Some(request) => {
                    if let Some(call) = &mut self.call {
                        call.output = request;
                    }
                }
                None => {
                    info!(net.log, "the sink is another member's to tell now");
                    return self.end(net);
                }
            }
        }
        let Some(call) = &mut self.call else { return };
        if let Err(e) = crate::write_pending(&call.socket.stream, &call.output, &mut call.written) {
            return self.fail(net, &e.to_string());
        }
        let reading = net.read(&call.socket.stream, &mut call.input, ANSWER_MOST);
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut headers);
        match (head.parse(&call.input), reading) {
            (Ok(httparse::Status::Complete(_)), _) => match head.code.unwrap_or(0) {
                200..=299 => {
                    self.taken += 1;
                    self.end(net);
                }
                409 => {
                    self.refused += 1;
                    warn!(net.log, "the sink has met a later owner"; "epoch" => self.sent.0);
                    self.end(net);
                }
                code => self.fail(net, &format!("it answered {code}")),
            },
            (Ok(httparse::Status::Partial), ReadStatus::Open) if call.input.len() <= ANSWER_MOST => {}
            _ => self.fail(net, "its answer makes no sense"),
        }
    }

    /// Its lines of `/stats`.
    pub fn stats(&self, out: &mut String) {
        for (what, n) in [("taken", self.taken), ("refused", self.refused), ("failed", self.failed)] {
            let _ = writeln!(out, "edge_gw.duties.export.{what}:{n}|c");
        }
    }
}

impl Proxy {
    fn export_ready(&mut self, number: u64, writable: bool) {
        let own = self.stats.totals();
        if let Some(fleet) = &mut self.fleet {
            fleet.export_ready(&mut self.net, own, (number, writable));
        }
    }
}
