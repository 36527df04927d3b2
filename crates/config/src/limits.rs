//! Every size, count and time of a balancer process, computed once at start and handed to the parts using it.

use crate::file::OperatorConfig;
use crate::platform::Config;
use garnettally_model::{Micros, CHANGE_ASSUMED_KNOWN_AFTER};
use std::time::Duration;

/// The longest body of a response.
const MAX_RESPONSE_BODY_BYTES: usize = 32 << 20;
/// The slowest pace at which bodies are to be expected, in bytes a second.
const MIN_BODY_BYTES_PER_SECOND: u64 = 64_000;
/// How long the longest body takes at the slowest pace.
const LONGEST_TRANSFER: Duration =
    Duration::from_secs(MAX_RESPONSE_BODY_BYTES as u64 / MIN_BODY_BYTES_PER_SECOND);

/// The limits of one process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The shortest time between two consultations of the decision module; zero for none.
    pub resolution: Duration,
    /// The longest request or response head.
    pub max_head_bytes: usize,
    /// The most headers in a request or response.
    pub max_headers: usize,
    /// The longest body of a request.
    pub max_request_body_bytes: usize,
    /// The most bytes buffered of an incoming request: head, body and the framing between its chunks.
    pub max_request_bytes: usize,
    /// The longest body of a response.
    pub max_response_body_bytes: usize,
    /// The longest body of a response that is read although nobody is given it, to keep its connection.
    pub max_discarded_response_bytes: usize,
    /// The most bytes held of all responses together that are not whole; more pass through.
    pub max_held_responses_bytes: usize,
    /// The work of one body that passes through in one turn of the event loop, in units of 4 KiB.
    pub transfer_quantum_units: usize,
    /// A body that passes through is cut off after this time in which its client read nothing, or in which its
    /// upstream sent nothing if its room is needed.
    pub max_transfer_pause: Duration,
    /// A body that passes through is cut off after this time in which its upstream sent nothing.
    pub max_upstream_silence: Duration,
    /// The most bytes that one read takes from a socket.
    pub read_chunk_bytes: usize,
    /// The capacity that a connection's buffers retain between messages. Small, as idle connections are many.
    pub retained_buffer_bytes: usize,
    /// The longest line between the chunks of a chunked body.
    pub max_chunk_line_bytes: usize,
    /// The longest line in a response of discovery.
    pub max_discovery_line_bytes: usize,
    /// Connections that the kernel queues until they are accepted.
    pub listen_backlog: i32,
    /// The most caller connections.
    pub max_caller_connections: usize,
    /// The most connections to callers and upstreams together.
    pub max_connections: usize,
    /// How long accepting pauses when the process has no file descriptor left.
    pub accept_pause: Duration,
    /// A caller connection between requests is closed after this time.
    pub caller_idle_timeout: Duration,
    /// The time a caller has to send its first request after connecting, and each later one once begun.
    pub caller_request_timeout: Duration,
    /// A caller connection that was opened less than this ago and has sent no request yet is not closed to
    /// make room, as its first request is probably on its way.
    pub caller_min_age_to_evict: Duration,
    /// After its last response a connection is still read from for this time: closing it over unread bytes
    /// would send a reset, which can destroy the response before the caller reads it.
    pub caller_linger_timeout: Duration,
    /// The most bytes that a lingering connection discards in one turn, so that other connections get theirs.
    pub caller_discard_bytes: usize,
    /// The work of a caller's connection in one turn of the event loop, in units: a request, or 4 KiB of input.
    pub quantum_units: usize,
    /// The work of all callers' connections in one turn of the event loop, in the same units.
    pub turn_units: usize,
    /// The most connections that a listener accepts in one turn of the event loop.
    pub accepts_per_turn: usize,
    /// The most bytes of unfinished requests that all caller connections together may buffer.
    pub max_callers_buffered_bytes: usize,
    /// The most bytes that requests may take: those being received, and those that are not finished.
    pub max_requests_memory_bytes: usize,
    /// The most bytes that responses may take: those being received, and those being written to callers.
    pub max_responses_memory_bytes: usize,
    /// The bytes that are read of a request before its length is known. What a connection holds behind a
    /// whole request is at most this.
    pub request_head_read_bytes: usize,
    /// A caller's next request is not processed while more than this waits to be written to the caller.
    pub max_caller_backlog_bytes: usize,
    /// The longest body that is copied behind a request's head, so that one write suffices for both.
    pub max_copied_body_bytes: usize,
    /// The most bytes that one connection reads ahead while a request waits for its response. A client that
    /// sends much and disconnects is only noticed once the bytes before its end of stream have been read.
    pub max_caller_read_ahead_bytes: usize,
    /// How long opening a connection to an upstream may take.
    pub upstream_connect_timeout: Duration,
    /// An upstream connection between requests is closed after this time.
    pub upstream_idle_timeout: Duration,
    /// The lower bound of an idle timeout learned from an upstream. A connection that breaks after less idle
    /// time is taken to have broken by chance.
    pub min_upstream_idle_timeout: Duration,
    /// A reused connection that breaks within this time of its request is taken to have been closed by the
    /// upstream before, unnoticed.
    pub upstream_stale_break_window: Duration,
    /// How long an idle timeout learned from such a break is used for the upstream.
    pub learned_idle_timeout_ttl: Duration,
    /// How long an upstream connection stays unused after a response. A surplus second response, which would
    /// be taken for the response to the next request, arrives some milliseconds after the first.
    pub upstream_reuse_delay: Duration,
    /// How long opening a connection to discovery may take.
    pub discovery_connect_timeout: Duration,
    /// How long discovery may take to respond to a watch.
    pub discovery_response_timeout: Duration,
    /// A watch is abandoned after this time without a whole list or an empty line; discovery sends an empty
    /// line every 2 s.
    pub discovery_idle_timeout: Duration,
    /// How often the ages of connections and other timed entries are checked.
    pub sweep_interval: Duration,
    /// How long after SIGTERM connections are kept open between requests.
    pub drain_keepalive: Duration,
    /// How long after SIGTERM new connections are accepted.
    pub drain_accept_time: Duration,
    /// At the end of a shutdown, the time that a new connection has to send its first request, and that
    /// callers have to close their side.
    pub drain_linger: Duration,
    /// A request accepted after SIGTERM is answered within this time of the signal, as SIGKILL may follow.
    pub drain_response_time: Duration,
    /// How often a file of nodes is checked for changes. It is read once two consecutive checks found it
    /// unchanged.
    pub nodes_poll_interval: Duration,
    /// A configuration file modified less than this time ago may still be being written, and is not read yet.
    pub reload_settle_time: Duration,
    /// A reload is refused if the file is still being modified after this time.
    pub reload_settle_timeout: Duration,
    /// The most log lines that wait to be written; further lines are dropped.
    pub log_queue_lines: usize,
    /// The most concurrent connections to the admin address; a newer one closes the oldest. Their descriptors
    /// are not counted in `max_connections`.
    pub max_admin_connections: usize,
    /// An admin call is answered within this time of connecting, or else with status 408. The operators' page
    /// promises 1 s.
    pub admin_call_timeout: Duration,
    /// How long after `PUT /healthcheck/fail` connections between requests are kept open. The front checks
    /// health every 0.1 s, and stops sending new connections 0.2 s after the first failed check.
    pub admin_drain_keepalive: Duration,
}

/// The values from which the limits of a process are computed.
struct LimitInputs {
    descriptors: usize,
    memory_mb: usize,
    resolution: Duration,
    /// How long after SIGTERM accepted requests are answered.
    drain_response_time: Duration,
    /// How long after SIGTERM connections are kept open between requests.
    drain_keepalive: Duration,
    upstream_connect_timeout: Duration,
    upstream_idle_timeout: Duration,
    /// How long the process may still send to a draining upstream after it was notified of the drain.
    drain_grace: Duration,
    /// Whether the process serves an admin address.
    has_admin_listener: bool,
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0.max(0) as u64)
}

impl Limits {
    /// Computes the limits from the platform's configuration.
    pub fn from_platform(config: &Config) -> Limits {
        // SIGKILL follows SIGTERM no sooner than the longest deadline, counted up to 3 s, plus 0.7 s later.
        let deadlines = config.site.settings.classes.iter().map(|class| duration(class.deadline));
        let longest = deadlines.max().unwrap_or_default().min(Duration::from_secs(3));
        let drain_response_time = longest + Duration::from_millis(500);
        Limits::from(LimitInputs {
            descriptors: config.max_descriptors,
            memory_mb: config.memory_mb,
            resolution: duration(config.site.settings.resolution),
            drain_response_time,
            drain_keepalive: drain_keepalive(config.site.settings.instances, drain_response_time),
            upstream_connect_timeout: config.dial_timeout.map_or(Duration::from_millis(250), duration),
            upstream_idle_timeout: duration(config.site.settings.idle_close) * 2 / 3,
            drain_grace: config.drain_grace.map_or(Duration::ZERO, duration),
            has_admin_listener: config.admin_address.is_some(),
        })
    }

    /// Computes the limits from an operator's file. The file does not say when SIGKILL follows SIGTERM: as is
    /// common, the longest request has 30 s left. Callers have 2 s to move to another balancer.
    pub fn from_operator(operator: &OperatorConfig) -> Limits {
        let deadlines = operator.routes.iter().map(|(route, _)| duration(route.deadline.ceiling));
        let longest = deadlines.max().unwrap_or_default();
        let drain_response_time =
            longest.clamp(Duration::from_secs(3), Duration::from_secs(30)) + Duration::from_millis(500);
        Limits::from(LimitInputs {
            descriptors: operator.max_descriptors,
            memory_mb: operator.memory_mb,
            resolution: Duration::ZERO,
            drain_response_time,
            drain_keepalive: Duration::from_secs(2),
            upstream_connect_timeout: Duration::from_millis(250),
            upstream_idle_timeout: Duration::from_secs(40),
            drain_grace: Duration::from_millis(500),
            has_admin_listener: operator.admin_address.is_some(),
        })
    }

    /// Takes over the times of `newer` that depend on the settings, after a reload. Sizes and counts stay as
    /// they are, because open sockets and buffers already use them.
    pub fn update_times(&mut self, newer: &Limits) {
        self.resolution = newer.resolution;
        self.upstream_connect_timeout = newer.upstream_connect_timeout;
        self.upstream_idle_timeout = newer.upstream_idle_timeout;
        self.discovery_idle_timeout = newer.discovery_idle_timeout;
        self.drain_keepalive = newer.drain_keepalive;
        self.drain_accept_time = newer.drain_accept_time;
        self.drain_response_time = newer.drain_response_time;
    }

    fn from(inputs: LimitInputs) -> Limits {
        let admin_connections = if inputs.has_admin_listener { 8 } else { 0 };
        // The descriptors of the admin listener and its connections are subtracted from those of clients and
        // upstreams.
        let connections = max_connections(inputs.descriptors)
            .saturating_sub(admin_connections + usize::from(inputs.has_admin_listener));
        Limits {
            resolution: inputs.resolution,
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_request_body_bytes: 64 << 10,
            max_request_bytes: 96 << 10,
            max_response_body_bytes: MAX_RESPONSE_BODY_BYTES,
            max_discarded_response_bytes: 64 << 10,
            max_held_responses_bytes: (inputs.memory_mb << 20) / 8,
            transfer_quantum_units: 16,
            max_transfer_pause: Duration::from_secs(10),
            max_upstream_silence: LONGEST_TRANSFER,
            read_chunk_bytes: 16 << 10,
            retained_buffer_bytes: 1 << 10,
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
            caller_discard_bytes: 64 << 10,
            quantum_units: 8,
            turn_units: 256,
            accepts_per_turn: 16,
            max_callers_buffered_bytes: (inputs.memory_mb << 20) / 8,
            max_requests_memory_bytes: (inputs.memory_mb << 20) / MEMORY_PARTS,
            max_responses_memory_bytes: (inputs.memory_mb << 20) / MEMORY_PARTS,
            request_head_read_bytes: 4 << 10,
            max_caller_backlog_bytes: 16 << 10,
            max_copied_body_bytes: 4 << 10,
            max_caller_read_ahead_bytes: 1 << 20,
            upstream_connect_timeout: inputs.upstream_connect_timeout,
            upstream_idle_timeout: inputs.upstream_idle_timeout,
            min_upstream_idle_timeout: Duration::from_millis(50),
            upstream_stale_break_window: Duration::from_millis(20),
            learned_idle_timeout_ttl: Duration::from_secs(30),
            upstream_reuse_delay: Duration::from_millis(20),
            discovery_connect_timeout: DISCOVERY_CONNECT_TIMEOUT,
            discovery_response_timeout: Duration::from_millis(3500),
            discovery_idle_timeout: discovery_idle_timeout(inputs.drain_grace),
            sweep_interval: Duration::from_millis(250),
            drain_keepalive: inputs.drain_keepalive,
            drain_accept_time: inputs.drain_keepalive + Duration::from_millis(200),
            drain_linger: Duration::from_millis(250),
            drain_response_time: inputs.drain_response_time,
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

/// Requests, and responses, may each take this part of the memory of the process. The rest is for the program
/// itself, its lists, single messages that are being copied, and what the allocator can't use.
const MEMORY_PARTS: usize = 5;

/// How long opening a connection to discovery may take.
const DISCOVERY_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Computes after how long without data a watch is abandoned. Changes that a stalled watch misses are treated
/// as known [`CHANGE_ASSUMED_KNOWN_AFTER`] after its last data, and are binding once the grace period is
/// over. Until then there has to be time for a new call, for a call before it whose connection is never
/// established, for the module's pauses before both (at most 0.5 s each), and 1 s for the response.
fn discovery_idle_timeout(grace: Duration) -> Duration {
    const PAUSES_AND_RESPONSE: Duration = Duration::from_secs(2);
    let left = CHANGE_ASSUMED_KNOWN_AFTER + grace - PAUSES_AND_RESPONSE - DISCOVERY_CONNECT_TIMEOUT;
    // The lower bound tolerates an empty line that arrives a little late.
    left.clamp(Duration::from_millis(2500), Duration::from_millis(4500))
}

/// Computes how long connections are kept open between requests after SIGTERM. Where there are several
/// balancers, clients move to another one, and more of their requests are served the sooner they do. Clients
/// of a single balancer have nothing but their open connections: it keeps these for as long as a response can
/// still arrive in time.
fn drain_keepalive(instances: u32, response_time: Duration) -> Duration {
    if instances > 1 {
        response_time.mul_f64(0.6)
    } else {
        response_time.saturating_sub(Duration::from_millis(400)).max(response_time.mul_f64(0.6))
    }
}

/// Computes how many connections a process with this many file descriptors may have. The rest is reserved for
/// listeners, the event loop, signals, discovery, the standard streams and sockets that are about to close.
pub fn max_connections(descriptors: usize) -> usize {
    descriptors - (descriptors / 16).max(24).min(descriptors)
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
