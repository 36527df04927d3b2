//! The export duty: its owner sends the counters of all members at intervals to a sink outside the fleet,
//! over HTTP. The epoch is sent with them, so that the sink can refuse an owner that has been replaced. A
//! request is never repeated: the next interval sends newer counters under the next sequence number.

use crate::duties::FleetDuties;
use crate::{Net, Proxy, ReadStatus, WatchedStream};
use garnettally_config::file::Export as ExportConfig;
use garnettally_link::Link;
use rustc_hash::FxHashMap;
use serde_json::{json, Value};
use slog::{info, warn};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// The name of this duty.
pub const DUTY_NAME: &str = "export";
/// The key of the fact in which a member publishes its counters.
const FACT_KEY: &[u8] = b"c";
/// How often a member publishes its counters: other members' counters are up to this old when they are
/// exported.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// A call is given up if the sink has not answered within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most bytes read of an answer.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// A member's counters since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Requests with a successful response.
    pub completed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts that were written completely to an upstream.
    pub attempts: u64,
}

impl MemberCounters {
    /// The counters as big-endian numbers, in the order of the fields.
    fn to_bytes(self) -> Vec<u8> {
        [self.completed, self.rejected, self.failed, self.attempts]
            .iter()
            .flat_map(|n| n.to_be_bytes())
            .collect()
    }

    /// Reads counters from bytes; `None` unless they have exactly the right length.
    fn from_bytes(bytes: &[u8]) -> Option<MemberCounters> {
        let mut numbers = bytes.chunks_exact(8).map(|c| c.try_into().map(u64::from_be_bytes));
        let mut next = || numbers.next()?.ok();
        let counters =
            MemberCounters { completed: next()?, rejected: next()?, failed: next()?, attempts: next()? };
        (bytes.len() == 32).then_some(counters)
    }

    /// The row for one member in the body of the request.
    fn to_json(self, member: &str, life: u64, age_ms: i64) -> Value {
        json!({
            "member": member, "life": format!("{life:016x}"), "age_ms": age_ms, "completed": self.completed,
            "rejected": self.rejected, "failed": self.failed, "attempts": self.attempts,
        })
    }
}

/// A call to the sink.
struct SinkCall {
    /// The number of its connection, unique in the process.
    number: u64,
    socket: WatchedStream,
    /// The request, once the connection is established; its first `written` bytes have been written.
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    deadline: Instant,
}

/// The state of the export in this process.
pub struct Export {
    config: ExportConfig,
    /// When this member publishes its counters next.
    publish_at: Instant,
    /// When the next call is due.
    next_call_at: Instant,
    /// The call that is under way.
    call: Option<SinkCall>,
    /// The epoch and the sequence number of the last request.
    last_sent: (u64, u64),
    /// Calls that the sink accepted.
    pub accepted: u64,
    /// Calls that the sink refused for their epoch.
    pub refused: u64,
    /// Calls that failed otherwise.
    pub failed: u64,
}

impl Export {
    /// The first call is due one interval after the start.
    pub fn new(config: ExportConfig, now: Instant) -> Export {
        let next_call_at = now + config.interval;
        Export {
            config,
            publish_at: now,
            next_call_at,
            call: None,
            last_sent: (0, 0),
            accepted: 0,
            refused: 0,
            failed: 0,
        }
    }

    /// When the next work is due.
    pub fn next_wake(&self) -> Instant {
        let call = self.call.as_ref().map(|c| c.deadline);
        self.publish_at.min(call.unwrap_or(self.next_call_at))
    }

    /// Performs the work that is due: publishes this member's counters to the others, and sends all members'
    /// counters to the sink if this member owns the duty.
    pub fn run_due_work(
        &mut self,
        net: &mut Net,
        link: &mut Link,
        duties: &FleetDuties,
        own: MemberCounters,
        now: Instant,
    ) {
        if self.publish_at <= now {
            self.publish_at = now + PUBLISH_INTERVAL;
            link.publish(FACT_KEY, &own.to_bytes(), Duration::ZERO);
        }
        if self.call.as_ref().is_some_and(|c| c.deadline <= now) {
            self.call_failed(net, "silence");
        }
        if self.call.is_none() && self.next_call_at <= now {
            self.next_call_at = now + self.config.interval;
            if duties.may_act(DUTY_NAME).is_some() {
                self.connect_to_sink(net, now);
            }
        }
    }

    /// Opens a connection to the sink.
    fn connect_to_sink(&mut self, net: &mut Net, now: Instant) {
        let number = net.next_connection_id();
        let ready = move |proxy: &mut Proxy, r: calloop::Readiness| proxy.export_ready(number, r.writable);
        match crate::connect(self.config.address).and_then(|s| net.watch(s, ready)) {
            Ok(socket) => {
                let (output, input) = (Vec::new(), Vec::new());
                let deadline = now + RESPONSE_TIMEOUT;
                self.call = Some(SinkCall { number, socket, output, written: 0, input, deadline });
            }
            Err(e) => self.call_failed(net, &e.to_string()),
        }
    }

    /// Closes the connection to the sink.
    fn close_call(&mut self, net: &Net) {
        if let Some(call) = self.call.take() {
            net.unwatch(call.socket);
        }
    }

    /// Counts and logs a failed call, and closes its connection.
    fn call_failed(&mut self, net: &Net, why: &str) {
        self.failed += 1;
        warn!(net.log, "the counters were not delivered to the sink"; "sink" => %self.config.address,
            "why" => why);
        self.close_call(net);
    }

    /// Builds the request with the epoch that is valid now; `None` if this member may no longer act.
    fn build_request(&mut self, link: &Link, duties: &FleetDuties, own: MemberCounters) -> Option<Vec<u8>> {
        let me = link.own_identity();
        let names: FxHashMap<u64, &str> =
            link.other_members().map(|(id, _)| (id.boot, id.name.as_str())).collect();
        let facts = link.facts().filter(|f| f.key == FACT_KEY && f.origin != me.boot);
        let rows = facts.filter_map(|f| {
            let name = names.get(&f.origin).copied().unwrap_or("");
            Some(MemberCounters::from_bytes(f.value)?.to_json(name, f.origin, f.age.0 / 1000))
        });
        let members: Vec<Value> = std::iter::once(own.to_json(&me.name, me.boot, 0)).chain(rows).collect();
        let epoch = duties.may_act(DUTY_NAME)?;
        let sequence = if self.last_sent.0 == epoch { self.last_sent.1 + 1 } else { 1 };
        self.last_sent = (epoch, sequence);
        let life = format!("{:016x}", me.boot);
        let body = json!({
            "duty": DUTY_NAME, "epoch": epoch, "sequence": sequence, "by": me.name, "life": life,
            "members": members,
        });
        let body = body.to_string();
        let (path, host) = (&self.config.path, self.config.address);
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDuty-Epoch: {epoch}\r\n\
             Duty-Sequence: {sequence}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        Some((head + &body).into_bytes())
    }

    /// Handles the call's connection when it has become readable or writable (`event`: its number, and
    /// whether it is writable).
    pub fn on_socket_ready(
        &mut self,
        net: &mut Net,
        link: &Link,
        duties: &FleetDuties,
        own: MemberCounters,
        event: (u64, bool),
    ) {
        let Some(call) = self.call.as_ref().filter(|c| c.number == event.0) else { return };
        if let Ok(Some(e)) = call.socket.stream.take_error() {
            return self.call_failed(net, &e.to_string());
        }
        if call.output.is_empty() {
            if !event.1 {
                return;
            }
            // The connection is established: the lease is checked now, right before the request is sent.
            match self.build_request(link, duties, own) {
                Some(request) => {
                    if let Some(call) = &mut self.call {
                        call.output = request;
                    }
                }
                None => {
                    info!(net.log, "nothing was exported: the duty belongs to another member now");
                    return self.close_call(net);
                }
            }
        }
        let Some(call) = &mut self.call else { return };
        if let Err(e) = crate::write_pending(&call.socket.stream, &call.output, &mut call.written) {
            return self.call_failed(net, &e.to_string());
        }
        let reading = net.read(&call.socket.stream, &mut call.input, MAX_RESPONSE_BYTES);
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut headers);
        match (head.parse(&call.input), reading) {
            (Ok(httparse::Status::Complete(_)), _) => match head.code.unwrap_or(0) {
                200..=299 => {
                    self.accepted += 1;
                    self.close_call(net);
                }
                409 => {
                    self.refused += 1;
                    warn!(net.log, "the sink refused the counters: it has accepted a later epoch";
                        "epoch" => self.last_sent.0);
                    self.close_call(net);
                }
                code => self.call_failed(net, &format!("it answered {code}")),
            },
            (Ok(httparse::Status::Partial), ReadStatus::Open) if call.input.len() <= MAX_RESPONSE_BYTES => {}
            _ => self.call_failed(net, "its answer can't be parsed"),
        }
    }

    /// Appends the export's lines of `/stats`.
    pub fn write_stats(&self, out: &mut String) {
        for (what, n) in [("taken", self.accepted), ("refused", self.refused), ("failed", self.failed)] {
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
