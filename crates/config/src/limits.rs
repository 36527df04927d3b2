//! Every size, count and time of the real balancer, filled once at start and handed down.

use crate::file::OperatorConfig;
use crate::platform::Config;
use garnettally_model::{Micros, NOTIFIED_AFTER};
use std::time::Duration;

/// The limits of one process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The module hears of what has come in once in this time.
    pub resolution: Duration,
    /// The longest request or answer head.
    pub max_head_bytes: usize,
    /// The most headers in one.
    pub max_headers: usize,
    /// The longest body of a request.
    pub max_request_body_bytes: usize,
    /// The most that is kept of an incoming request: head, body and the framing between its chunks.
    pub max_request_bytes: usize,
    /// The longest body of an answer.
    pub max_response_body_bytes: usize,
    /// The most that is kept of an answer.
    pub max_response_bytes: usize,
    /// What the answers that are longer than a request may be hold together.
    pub max_long_responses_bytes: usize,
    /// What one read takes from a socket.
    pub read_chunk_bytes: usize,
    /// What the buffers of a connection keep for its next message: idle connections are many.
    pub retained_buffer_bytes: usize,
    /// The longest line between chunks.
    pub max_chunk_line_bytes: usize,
    /// The longest line of discovery.
    pub max_discovery_line_bytes: usize,
    /// Connections that wait to be accepted.
    pub listen_backlog: i32,
    /// Caller connections.
    pub max_caller_connections: usize,
    /// Connections of both sides together.
    pub max_connections: usize,
    /// How long accepting rests when the system has no descriptor left.
    pub accept_pause: Duration,
    /// A caller connection between requests is kept so long.
    pub caller_idle_timeout: Duration,
    /// A caller has so long to send its first request after connecting, and each later one once begun.
    pub caller_request_timeout: Duration,
    /// A caller connection younger than this is not closed to make room: its request is on its way.
    pub caller_min_age_to_evict: Duration,
    /// A connection that has had its last answer is read on for so long, so that the answer arrives.
    pub caller_linger_timeout: Duration,
    /// And so much of it at a time, so that others have their turn.
    pub caller_discard_bytes: usize,
    /// What caller connections may hold of unfinished requests together.
    pub max_callers_buffered_bytes: usize,
    /// And so much one may have read ahead behind a request that waits for its answer: the end of a client that sends
    /// much and goes lies behind its bytes.
    pub max_caller_read_ahead_bytes: usize,
    /// How long opening a connection to an upstream may take.
    pub upstream_connect_timeout: Duration,
    /// An upstream connection between requests is kept so long.
    pub upstream_idle_timeout: Duration,
    /// Upstream connections idle for less are taken to be open still: one that breaks does so by chance.
    pub min_upstream_idle_timeout: Duration,
    /// A reused connection that breaks within this was closed before, unnoticed.
    pub upstream_stale_break_window: Duration,
    /// What that tells of its upstream is believed for so long.
    pub learned_idle_timeout_ttl: Duration,
    /// An upstream connection rests so long before its next request: a second answer, which would pass for that
    /// one's, comes some milliseconds after the first.
    pub upstream_reuse_delay: Duration,
    /// How long opening a connection to discovery may take.
    pub discovery_connect_timeout: Duration,
    /// How long discovery may take to answer a watch.
    pub discovery_response_timeout: Duration,
    /// After so long without a whole list or an empty line, one of which comes every 2 s, a watch is given up.
    pub discovery_idle_timeout: Duration,
    /// How often ages are looked at.
    pub sweep_interval: Duration,
    /// After SIGTERM, connections are kept open between requests for so long.
    pub drain_keepalive: Duration,
    /// And new ones are accepted for so long.
    pub drain_accept_time: Duration,
    /// At the end a new connection is given so long for its first request, and the callers for their own end.
    pub drain_linger: Duration,
    /// What is taken after SIGTERM is answered within so long of it: SIGKILL may follow.
    pub drain_response_time: Duration,
    /// How often a file of nodes is looked at; it is read once it has been the same at two looks.
    pub nodes_poll_interval: Duration,
    /// A configuration file younger than this may still be being written: it is read once it has rested so long,
    pub reload_settle_time: Duration,
    /// and refused if it never does within this.
    pub reload_settle_timeout: Duration,
    /// Log lines that may wait to be written; past them lines are dropped.
    pub log_queue_lines: usize,
    /// Connections to the admin address at once; a newer one closes the oldest. Their descriptors are kept apart
    /// from `connections`.
    pub max_admin_connections: usize,
    /// An admin call is owed its answer within this of connecting (the operators' page: 1 s); then it gets 408.
    pub admin_call_timeout: Duration,
    /// After `PUT /healthcheck/fail`, connections between requests are closed from this on: the front stops
    /// sending new ones 0.2 s after its first no, and asks every 0.1 s.
    pub admin_drain_keepalive: Duration,
}

/// What the limits of a process follow from.
struct LimitInputs {
    descriptors: usize,
    memory_mb: usize,
    resolution: Duration,
    /// After SIGTERM: until when what is taken is answered, and for how long connections are kept between requests.
    drain_response_time: Duration,
    drain_keepalive: Duration,
    upstream_connect_timeout: Duration,
    upstream_idle_timeout: Duration,
    /// For how long after it was told what binds may still be broken.
    drain_grace: Duration,
    /// An admin address is served.
    has_admin_listener: bool,
}

fn time(m: Micros) -> Duration {
    Duration::from_micros(m.0.max(0) as u64)
}

impl Limits {
    /// The limits that follow from the platform's configuration.
    pub fn from_platform(config: &Config) -> Limits {
        // SIGKILL follows SIGTERM no sooner than the longest deadline, taken as 3 s at the most, and 0.7 s.
        let deadlines = config.site.settings.classes.iter().map(|c| time(c.deadline));
        let longest = deadlines.max().unwrap_or_default().min(Duration::from_secs(3));
        let drain_answer = longest + Duration::from_millis(500);
        Limits::from(LimitInputs {
            descriptors: config.max_descriptors,
            memory_mb: config.memory_mb,
            resolution: time(config.site.settings.resolution),
            drain_response_time: drain_answer,
            drain_keepalive: drain_keep(config.site.settings.instances, drain_answer),
            upstream_connect_timeout: config.dial_timeout.map_or(Duration::from_millis(250), time),
            upstream_idle_timeout: time(config.site.settings.idle_close) * 2 / 3,
            drain_grace: config.drain_grace.map_or(Duration::ZERO, time),
            has_admin_listener: config.admin_address.is_some(),
        })
    }

    /// The limits that follow from an operator's file. Nothing there says when SIGKILL follows SIGTERM: as is
    /// common, 30 s are left for the longest request, and callers get 2 s to find another way.
    pub fn from_operator(operator: &OperatorConfig) -> Limits {
        let deadlines = operator.routes.iter().map(|(r, _)| time(r.deadline.ceiling));
        let longest = deadlines.max().unwrap_or_default();
        let drain_answer =
            longest.clamp(Duration::from_secs(3), Duration::from_secs(30)) + Duration::from_millis(500);
        Limits::from(LimitInputs {
            descriptors: operator.max_descriptors,
            memory_mb: operator.memory_mb,
            resolution: Duration::ZERO,
            drain_response_time: drain_answer,
            drain_keepalive: Duration::from_secs(2),
            upstream_connect_timeout: Duration::from_millis(250),
            upstream_idle_timeout: Duration::from_secs(40),
            drain_grace: Duration::from_millis(500),
            has_admin_listener: operator.admin_address.is_some(),
        })
    }

    /// Takes over the times that follow from the settings. Sizes and counts stay: sockets and buffers have them
    /// already.
    pub fn update_times(&mut self, of: &Limits) {
        self.resolution = of.resolution;
        self.upstream_connect_timeout = of.upstream_connect_timeout;
        self.upstream_idle_timeout = of.upstream_idle_timeout;
        self.discovery_idle_timeout = of.discovery_idle_timeout;
        self.drain_keepalive = of.drain_keepalive;
        self.drain_accept_time = of.drain_accept_time;
        self.drain_response_time = of.drain_response_time;
    }

    fn from(basis: LimitInputs) -> Limits {
        let admin_connections = if basis.has_admin_listener { 8 } else { 0 };
        // The admin listener and its connections come off what clients and upstreams may hold.
        let connections = max_connections(basis.descriptors)
            .saturating_sub(admin_connections + usize::from(basis.has_admin_listener));
        Limits {
            resolution: basis.resolution,
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_request_body_bytes: 64 << 10,
            max_request_bytes: 96 << 10,
            max_response_body_bytes: 1 << 20,
            max_response_bytes: (1 << 20) + (64 << 10),
            max_long_responses_bytes: (basis.memory_mb << 20) / 8,
            read_chunk_bytes: 16 << 10,
            retained_buffer_bytes: 4 << 10,
            max_chunk_line_bytes: 4 << 10,
            max_discovery_line_bytes: 4 << 20,
            listen_backlog: 1024,
            max_caller_connections: connections * 5 / 8,
            max_connections: connections,
            accept_pause: Duration::from_millis(20),
            caller_idle_timeout: Duration::from_secs(10),
            caller_request_timeout: Duration::from_secs(2),
            caller_min_age_to_evict: Duration::from_millis(100),
            caller_linger_timeout: Duration::from_secs(2),
            caller_discard_bytes: 256 << 10,
            max_callers_buffered_bytes: (basis.memory_mb << 20) / 8,
            max_caller_read_ahead_bytes: 1 << 20,
            upstream_connect_timeout: basis.upstream_connect_timeout,
            upstream_idle_timeout: basis.upstream_idle_timeout,
            min_upstream_idle_timeout: Duration::from_millis(50),
            upstream_stale_break_window: Duration::from_millis(20),
            learned_idle_timeout_ttl: Duration::from_secs(30),
            upstream_reuse_delay: Duration::from_millis(20),
            discovery_connect_timeout: DISCOVERY_CONNECT,
            discovery_response_timeout: Duration::from_millis(3500),
            discovery_idle_timeout: discovery_silence(basis.drain_grace),
            sweep_interval: Duration::from_millis(250),
            drain_keepalive: basis.drain_keepalive,
            drain_accept_time: basis.drain_keepalive + Duration::from_millis(200),
            drain_linger: Duration::from_millis(250),
            drain_response_time: basis.drain_response_time,
            nodes_poll_interval: Duration::from_millis(250),
            reload_settle_time: Duration::from_millis(50),
            reload_settle_timeout: Duration::from_secs(2),
            log_queue_lines: 1024,
            max_admin_connections: admin_connections,
            admin_call_timeout: Duration::from_millis(900),
            admin_drain_keepalive: Duration::from_secs(1),
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
pub fn max_connections(descriptors: usize) -> usize {
    descriptors - (descriptors / 16).max(24).min(descriptors)
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
