//! Every size, count and time of the real balancer, filled once at start and handed down.

use crate::file::Operator;
use crate::platform::Config;
use garnettally_model::{Micros, NOTIFIED_AFTER};
use std::time::Duration;

/// The limits of one process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The module hears of what has come in once in this time.
    pub resolution: Duration,
    /// The longest request or answer head.
    pub head_bytes: usize,
    /// The most headers in one.
    pub headers: usize,
    /// The longest body of a request.
    pub body_bytes: usize,
    /// The most that is kept of an incoming request: head, body and the framing between its chunks.
    pub message_bytes: usize,
    /// The longest body of an answer.
    pub answer_body_bytes: usize,
    /// The most that is kept of an answer.
    pub answer_bytes: usize,
    /// What the answers that are longer than a request may be hold together.
    pub answers_bytes: usize,
    /// What one read takes from a socket.
    pub read_bytes: usize,
    /// What the buffers of a connection keep for its next message: idle connections are many.
    pub kept_bytes: usize,
    /// The longest line between chunks.
    pub chunk_line_bytes: usize,
    /// The longest line of discovery.
    pub line_bytes: usize,
    /// Connections that wait to be accepted.
    pub backlog: i32,
    /// Caller connections.
    pub callers: usize,
    /// Connections of both sides together.
    pub connections: usize,
    /// How long accepting rests when the system has no descriptor left.
    pub accept_rest: Duration,
    /// A caller connection between requests is kept so long.
    pub caller_idle: Duration,
    /// A caller has so long to send its first request after connecting, and each later one once begun.
    pub caller_request: Duration,
    /// A caller connection younger than this is not closed to make room: its request is on its way.
    pub caller_fresh: Duration,
    /// A connection that has had its last answer is read on for so long, so that the answer arrives.
    pub caller_linger: Duration,
    /// And so much of it at a time, so that others have their turn.
    pub caller_discard: usize,
    /// What caller connections may hold of unfinished requests together.
    pub caller_bytes: usize,
    /// And so much one may have read ahead behind a request that waits for its answer: the end of a client that sends
    /// much and goes lies behind its bytes.
    pub caller_ahead_bytes: usize,
    /// How long opening a connection to an upstream may take.
    pub upstream_connect: Duration,
    /// An upstream connection between requests is kept so long.
    pub upstream_idle: Duration,
    /// Upstream connections idle for less are taken to be open still: one that breaks does so by chance.
    pub upstream_idle_least: Duration,
    /// A reused connection that breaks within this was closed before, unnoticed.
    pub upstream_stale: Duration,
    /// What that tells of its upstream is believed for so long.
    pub upstream_idle_memory: Duration,
    /// An upstream connection rests so long before its next request: a second answer, which would pass for that
    /// one's, comes some milliseconds after the first.
    pub upstream_rest: Duration,
    /// How long opening a connection to discovery may take.
    pub discovery_connect: Duration,
    /// How long discovery may take to answer a watch.
    pub discovery_answer: Duration,
    /// After so long without a whole list or an empty line, one of which comes every 2 s, a watch is given up.
    pub discovery_silence: Duration,
    /// How often ages are looked at.
    pub sweep: Duration,
    /// After SIGTERM, connections are kept open between requests for so long.
    pub drain_keep: Duration,
    /// And new ones are accepted for so long.
    pub drain_accept: Duration,
    /// At the end a new connection is given so long for its first request, and the callers for their own end.
    pub drain_linger: Duration,
    /// What is taken after SIGTERM is answered within so long of it: SIGKILL may follow.
    pub drain_answer: Duration,
    /// How often a file of nodes is looked at; it is read once it has been the same at two looks.
    pub nodes_poll: Duration,
    /// A configuration file younger than this may still be being written: it is read once it has rested so long,
    pub reload_rest: Duration,
    /// and refused if it never does within this.
    pub reload_wait: Duration,
    /// Log lines that may wait to be written; past them lines are dropped.
    pub log_lines: usize,
    /// Connections to the admin address at once; a newer one closes the oldest. Their descriptors are kept apart
    /// from `connections`.
    pub admin_connections: usize,
    /// An admin call is owed its answer within this of connecting (the operators' page: 1 s); then it gets 408.
    pub admin_call: Duration,
    /// After `PUT /healthcheck/fail`, connections between requests are closed from this on: the front stops
    /// sending new ones 0.2 s after its first no, and asks every 0.1 s.
    pub drain_idle: Duration,
}

/// What the limits of a process follow from.
struct Basis {
    sockets: usize,
    memory_mb: usize,
    resolution: Duration,
    /// After SIGTERM: until when what is taken is answered, and for how long connections are kept between requests.
    drain_answer: Duration,
    drain_keep: Duration,
    upstream_connect: Duration,
    upstream_idle: Duration,
    /// For how long after it was told what binds may still be broken.
    drain_grace: Duration,
    /// An admin address is served.
    admin: bool,
}

fn time(m: Micros) -> Duration {
    Duration::from_micros(m.0.max(0) as u64)
}

impl Limits {
    /// The limits that follow from the platform's configuration.
    pub fn new(config: &Config) -> Limits {
        // SIGKILL follows SIGTERM no sooner than the longest deadline, taken as 3 s at the most, and 0.7 s.
        let deadlines = config.site.settings.classes.iter().map(|c| time(c.deadline));
        let longest = deadlines.max().unwrap_or_default().min(Duration::from_secs(3));
        let drain_answer = longest + Duration::from_millis(500);
        Limits::from(Basis {
            sockets: config.sockets,
            memory_mb: config.memory_mb,
            resolution: time(config.site.settings.resolution),
            drain_answer,
            drain_keep: drain_keep(config.site.settings.instances, drain_answer),
            upstream_connect: config.dial_timeout.map_or(Duration::from_millis(250), time),
            upstream_idle: time(config.site.settings.idle_close) * 2 / 3,
            drain_grace: config.drain_grace.map_or(Duration::ZERO, time),
            admin: config.admin.is_some(),
        })
    }

    /// The limits that follow from an operator's file. Nothing there says when SIGKILL follows SIGTERM: as is
    /// common, 30 s are left for the longest request, and callers get 2 s to find another way.
    pub fn of_operator(operator: &Operator) -> Limits {
        let deadlines = operator.routes.iter().map(|(r, _)| time(r.deadline.ceiling));
        let longest = deadlines.max().unwrap_or_default();
        let drain_answer =
            longest.clamp(Duration::from_secs(3), Duration::from_secs(30)) + Duration::from_millis(500);
        Limits::from(Basis {
            sockets: operator.descriptors,
            memory_mb: operator.memory_mb,
            resolution: Duration::ZERO,
            drain_answer,
            drain_keep: Duration::from_secs(2),
            upstream_connect: Duration::from_millis(250),
            upstream_idle: Duration::from_secs(40),
            drain_grace: Duration::from_millis(500),
            admin: operator.admin.is_some(),
        })
    }

    /// Takes over the times that follow from the settings. Sizes and counts stay: sockets and buffers have them
    /// already.
    pub fn take_times(&mut self, of: &Limits) {
        self.resolution = of.resolution;
        self.upstream_connect = of.upstream_connect;
        self.upstream_idle = of.upstream_idle;
        self.discovery_silence = of.discovery_silence;
        self.drain_keep = of.drain_keep;
        self.drain_accept = of.drain_accept;
        self.drain_answer = of.drain_answer;
    }

    fn from(basis: Basis) -> Limits {
        let admin_connections = if basis.admin { 8 } else { 0 };
        // The admin listener and its connections come off what clients and upstreams may hold.
        let connections =
            connections(basis.sockets).saturating_sub(admin_connections + usize::from(basis.admin));
        Limits {
            resolution: basis.resolution,
            head_bytes: 16 << 10,
            headers: 64,
            body_bytes: 64 << 10,
            message_bytes: 96 << 10,
            answer_body_bytes: 1 << 20,
            answer_bytes: (1 << 20) + (64 << 10),
            answers_bytes: (basis.memory_mb << 20) / 8,
            read_bytes: 16 << 10,
            kept_bytes: 4 << 10,
            chunk_line_bytes: 4 << 10,
            line_bytes: 4 << 20,
            backlog: 1024,
            callers: connections * 5 / 8,
            connections,
            accept_rest: Duration::from_millis(20),
            caller_idle: Duration::from_secs(10),
            caller_request: Duration::from_secs(2),
            caller_fresh: Duration::from_millis(100),
            caller_linger: Duration::from_secs(2),
            caller_discard: 256 << 10,
            caller_bytes: (basis.memory_mb << 20) / 8,
            caller_ahead_bytes: 1 << 20,
            upstream_connect: basis.upstream_connect,
            upstream_idle: basis.upstream_idle,
            upstream_idle_least: Duration::from_millis(50),
            upstream_stale: Duration::from_millis(20),
            upstream_idle_memory: Duration::from_secs(30),
            upstream_rest: Duration::from_millis(20),
            discovery_connect: DISCOVERY_CONNECT,
            discovery_answer: Duration::from_millis(3500),
            discovery_silence: discovery_silence(basis.drain_grace),
            sweep: Duration::from_millis(250),
            drain_keep: basis.drain_keep,
            drain_accept: basis.drain_keep + Duration::from_millis(200),
            drain_linger: Duration::from_millis(250),
            drain_answer: basis.drain_answer,
            nodes_poll: Duration::from_millis(250),
            reload_rest: Duration::from_millis(50),
            reload_wait: Duration::from_secs(2),
            log_lines: 1024,
            admin_connections,
            admin_call: Duration::from_millis(900),
            drain_idle: Duration::from_secs(1),
        }
    }
}

const DISCOVERY_CONNECT: Duration = Duration::from_secs(1);

/// When silence ends a watch. What a silent watch misses counts as told [`NOTIFIED_AFTER`] since it fell silent, and binds once the
/// grace is over. By then there has to be time for a new call, for one whose connection never comes up before it,
/// the module's pauses before both (0.5 s each at the most), and for 1 s until the answer.
fn discovery_silence(grace: Duration) -> Duration {
    const PAUSES_AND_ANSWER: Duration = Duration::from_secs(2);
    let left = NOTIFIED_AFTER + grace - PAUSES_AND_ANSWER - DISCOVERY_CONNECT;
    // Never so soon that an empty line which is a little late passes for silence.
    left.clamp(Duration::from_millis(2500), Duration::from_millis(4500))
}

/// How long connections are kept between requests after SIGTERM. Clients of several balancers find another one, and
/// the sooner they do, the more of their requests are served. To those of the only one nothing is left but the
/// connections that they have: it keeps them for as long as an answer still comes in time.
fn drain_keep(instances: u32, answer: Duration) -> Duration {
    if instances > 1 {
        answer.mul_f64(0.6)
    } else {
        answer.saturating_sub(Duration::from_millis(400)).max(answer.mul_f64(0.6))
    }
}

/// The connections that so many descriptors leave room for: the rest is for listeners, loop, signals, discovery,
/// standard streams and what is about to close.
pub fn connections(descriptors: usize) -> usize {
    descriptors - (descriptors / 16).max(24).min(descriptors)
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
