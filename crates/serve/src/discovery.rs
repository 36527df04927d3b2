//! Watches the discovery service for the list of upstreams. The decision module decides when a call is made;
//! this file makes it, reads the streamed lists and reports failures.

use crate::discovered_hosts::{DiscoveredHosts, ListOutcome};
use crate::http::{self, ChunkDecoder, HttpError};
use crate::pools::PoolId;
use crate::socket_errors::is_local_shortage;
use crate::source::Source;
use crate::{Proxy, ReadStatus, WatchedStream};
use garnettally_config::platform::drain_host_lists;
use garnettally_decisions::facade::{CallFailure, Report};
use garnettally_model::HostList;
use slog::{info, warn};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A call to discovery: the connection on which it streams lists.
struct Watch {
    /// The number of this call, unique in the process.
    number: u64,
    /// When the call was made.
    called_at: Instant,
    socket: WatchedStream,
    /// The request; its first `written` bytes have been written.
    output: Vec<u8>,
    written: usize,
    /// Bytes received that are not decoded yet.
    input: Vec<u8>,
    /// The decoder of the chunked body; `None` until the head of the response is complete.
    chunks: Option<ChunkDecoder>,
    /// Decoded body text of a list that has not arrived completely.
    list_text: Vec<u8>,
    /// When the last list or empty line was received; `None` until the first one, that is, while the watch is
    /// not open.
    last_data_at: Option<Instant>,
    /// The time up to which all changes are known to have been received on this watch. The first line
    /// describes the state at some time after the call, each later line the state when it was written, which
    /// was after this process last polled its sockets and found nothing.
    complete_as_of: Option<Instant>,
    /// The watch is given up at this time. A list or an empty line postpones it; other bytes don't.
    deadline: Instant,
}

/// How a connection to discovery ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Discovery closed the connection after all that it had written.
    Closed,
    /// The connection was reset or failed, so lines that discovery wrote may be lost.
    Broken,
    /// Nothing was received before the deadline.
    TimedOut,
}

impl Watch {
    /// Whether part of a line has been received, but not its end.
    fn is_within_line(&self) -> bool {
        !self.input.is_empty() || !self.list_text.trim_ascii().is_empty()
    }

    /// The failure to report when the connection ended in this way, unless the response itself showed a
    /// fault.
    fn failure(&self, ending: ConnectionEnd) -> CallFailure {
        let is_open = self.last_data_at.is_some();
        let is_answering = self.chunks.is_some() || !self.input.is_empty();
        match ending {
            ConnectionEnd::TimedOut if is_open => CallFailure::WatchSilent,
            ConnectionEnd::Closed | ConnectionEnd::Broken if is_open && self.is_within_line() => {
                CallFailure::WatchCut
            }
            ConnectionEnd::Closed if is_open => CallFailure::WatchEnded,
            ConnectionEnd::Broken if is_open => CallFailure::WatchBroken,
            _ if is_answering => CallFailure::IncompleteAnswer,
            _ if self.written == 0 => CallFailure::NoConnection,
            ConnectionEnd::TimedOut => CallFailure::NoAnswer,
            ConnectionEnd::Closed | ConnectionEnd::Broken => CallFailure::ClosedBeforeAnswer,
        }
    }
}

/// The failure that ended a watch, or a call that did not become one.
#[derive(Clone, Copy)]
struct WatchFailure {
    failure: CallFailure,
    /// The time up to which the watch had delivered all changes; `None` if none is known.
    complete_until: Option<Instant>,
}

impl WatchFailure {
    /// The report to the decision module, with the time since the list was last known to be complete.
    fn report(self, now: Instant) -> Report {
        let incomplete_for =
            self.complete_until.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Report::WatchFailed { incomplete_for, failure: self.failure }
    }
}

/// A response from discovery that can't be used, and the reason for the log.
struct BadResponse {
    failure: CallFailure,
    message: String,
}

impl BadResponse {
    fn unreadable(message: impl Into<String>) -> BadResponse {
        BadResponse { failure: CallFailure::Unreadable, message: message.into() }
    }
}

/// The discovery service of one pool: the watch on it, and the list received so far.
pub struct Discovery {
    address: SocketAddr,
    hosts: DiscoveredHosts,
    watch: Option<Box<Watch>>,
    /// The failure of the last watch or call; `None` before the first one has failed. It is only read while
    /// no call is open.
    last_failure: Option<WatchFailure>,
}

impl Discovery {
    /// Starts from the list that the process already has, if any. No call is made yet.
    pub fn new(address: SocketAddr, known: Option<&HostList>) -> Discovery {
        Discovery { address, hosts: DiscoveredHosts::new(known), watch: None, last_failure: None }
    }

    /// The whole list as received so far.
    pub fn current_list(&self) -> HostList {
        self.hosts.full_list()
    }

    /// The address of the discovery service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the open call is the one with this number.
    pub fn has_watch(&self, number: u64) -> bool {
        self.watch.as_ref().is_some_and(|w| w.number == number)
    }

    /// A list without changes, which confirms the present list to the module; `None` unless a watch is open.
    pub fn confirmation(&self) -> Option<HostList> {
        self.watch.as_ref().filter(|w| w.last_data_at.is_some()).map(|_| self.hosts.empty_change())
    }

    /// The report that a module gets when it takes this watch over: a confirmation if the watch is open, else
    /// the last failure. `None` while a call has no answer yet, or before the first call.
    pub fn watch_report(&self, now: Instant) -> Option<Report> {
        match self.watch {
            Some(_) => self.confirmation().map(Report::List),
            None => self.last_failure.map(|failed| failed.report(now)),
        }
    }

    /// When the watch is given up if no list or empty line arrives; `None` without a call.
    pub fn deadline(&self) -> Option<Instant> {
        self.watch.as_ref().map(|w| w.deadline)
    }
}

/// The failure for a response whose status is not 200.
fn bad_status(bad: HttpError) -> BadResponse {
    const SERVICE_UNAVAILABLE: u16 = 503;
    let failure = match bad.0 {
        SERVICE_UNAVAILABLE => CallFailure::Busy,
        _ => CallFailure::OtherStatus,
    };
    BadResponse { failure, message: format!("answered {}", bad.0) }
}

impl Proxy {
    /// The discovery service of a pool; `None` if its nodes come from somewhere else.
    fn discovery(&mut self, pool: PoolId) -> Option<&mut Discovery> {
        match &mut self.pools.get_mut(pool)?.source {
            Source::Watch(discovery) => Some(discovery),
            _ => None,
        }
    }

    /// Switches to a discovery service at another address. Each service counts its own versions, so the whole
    /// list is requested, and soon: the new service's list must not wait until the old service disconnects.
    /// The module decides when, as all processes that share the service may switch at the same moment.
    pub fn change_discovery_address(&mut self, pool: PoolId, address: SocketAddr) {
        let Some(old) = self.discovery(pool).map(|d| d.address).filter(|old| *old != address) else { return };
        info!(self.net.log, "discovery has moved to another address"; "from" => %old, "to" => %address);
        self.abandon_watch(pool);
        if let Some(discovery) = self.discovery(pool) {
            discovery.address = address;
            discovery.hosts.change_service();
        }
        for p in self.pools.sharing_source(pool) {
            p.queue_report(Report::DiscoveryMoved, Instant::now());
        }
    }

    /// Asks discovery for changes since the version received last. If a watch is open already, its list is
    /// confirmed to the module instead.
    pub fn start_watch(&mut self, pool: PoolId) {
        let number = self.net.next_connection_id();
        if let Some(unchanged) = self.discovery(pool).and_then(|d| d.confirmation()) {
            return self.queue_list(pool, unchanged);
        }
        let Some((address, version)) = self
            .discovery(pool)
            .filter(|d| d.watch.is_none())
            .map(|d| (d.address, d.hosts.next_request_version()))
        else {
            return;
        };
        let ready = move |proxy: &mut Proxy, r: calloop::Readiness| {
            // Another pool may have taken over the watch.
            if let Some(pool) = proxy.pools.pool_with_watch(number) {
                proxy.discovery_ready(pool, number, r.writable);
            }
        };
        let socket = match crate::connect(address).and_then(|s| self.net.watch(s, ready)) {
            Ok(socket) => socket,
            Err(e) => {
                let local = is_local_shortage(&e);
                let failure = if local { CallFailure::NoSocket } else { CallFailure::NoConnection };
                return self.watch_failed(
                    pool,
                    WatchFailure { failure, complete_until: None },
                    &e.to_string(),
                );
            }
        };
        let output =
            format!("GET /v1/endpoints?stream=1&index={version} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let deadline = Instant::now() + self.net.limits.discovery_connect_timeout;
        info!(self.net.log, "discovery is asked"; "seq" => version, "call" => number);
        self.stats.record_discovery_call();
        if let Some(discovery) = self.discovery(pool) {
            discovery.watch = Some(Box::new(Watch {
                number,
                called_at: Instant::now(),
                socket,
                output: output.into_bytes(),
                written: 0,
                input: Vec::new(),
                chunks: None,
                list_text: Vec::new(),
                last_data_at: None,
                complete_as_of: None,
                deadline,
            }));
        }
    }

    /// Closes a pool's connection to discovery, if there is one.
    pub fn close_watch(&mut self, pool: PoolId) {
        if let Some(watch) = self.discovery(pool).and_then(|d| d.watch.take()) {
            self.net.unwatch(watch.socket);
        }
    }

    /// Reports that the connection to discovery has ended, with the failure that this means.
    fn discovery_connection_ended(&mut self, pool: PoolId, ending: ConnectionEnd, why: &str) {
        let Some(watch) = self.discovery(pool).and_then(|d| d.watch.as_ref()) else { return };
        let failed = WatchFailure { failure: watch.failure(ending), complete_until: watch.complete_as_of };
        self.watch_failed(pool, failed, why);
    }

    /// Reports a response from discovery that can't be used, and closes the connection.
    fn discovery_response_failed(&mut self, pool: PoolId, bad: BadResponse) {
        let watch = self.discovery(pool).and_then(|d| d.watch.as_ref());
        let complete_until = watch.and_then(|w| w.complete_as_of);
        self.watch_failed(pool, WatchFailure { failure: bad.failure, complete_until }, &bad.message);
    }

    /// Closes a watch that is no longer wanted. If it was open, the module gets a failure report, as changes
    /// may have been missed.
    fn abandon_watch(&mut self, pool: PoolId) {
        let watch = self.discovery(pool).and_then(|d| d.watch.as_ref());
        if watch.is_some_and(|w| w.last_data_at.is_some()) {
            self.discovery_connection_ended(pool, ConnectionEnd::Broken, "discovery has moved");
        }
        self.close_watch(pool);
    }

    /// Logs and counts the failure of a watch or call, closes it, and queues the failure for the modules that
    /// use it.
    fn watch_failed(&mut self, pool: PoolId, failed: WatchFailure, why: &str) {
        let watch = self.discovery(pool).and_then(|d| d.watch.as_ref());
        let call = watch.map(|w| w.number);
        let lasted = watch.map_or(0, |w| w.called_at.elapsed().as_millis());
        let was_open = watch.is_some_and(|w| w.last_data_at.is_some());
        let now = Instant::now();
        let incomplete_for =
            failed.complete_until.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        warn!(self.net.log, "the watch on discovery failed"; "why" => why, "call" => call,
            "after_ms" => lasted,
            "was_open" => was_open, "silent_ms" => incomplete_for.as_millis(), "failure" => ?failed.failure);
        self.stats.record_discovery_failure();
        self.close_watch(pool);
        if let Some(discovery) = self.discovery(pool) {
            discovery.last_failure = Some(failed);
        }
        for p in self.pools.sharing_source(pool) {
            p.queue_report(failed.report(now), now);
        }
    }

    /// Reports to the modules that the head of a response has been received.
    fn discovery_response_started(&mut self, pool: PoolId) {
        for p in self.pools.sharing_source(pool) {
            p.queue_report(Report::DiscoveryAnswerStarted, Instant::now());
        }
    }

    /// Queues a list for a pool and for all pools that share its source.
    fn queue_list(&mut self, pool: PoolId, list: HostList) {
        for p in self.pools.sharing_source(pool) {
            p.queue_report(Report::List(list.clone()), Instant::now());
        }
    }

    /// Ends a watch whose deadline has passed: a connection may be dead without any error on it.
    pub fn expire_watch(&mut self, pool: PoolId, now: Instant) {
        let Some(watch) = self.discovery(pool).and_then(|d| d.watch.as_ref()) else { return };
        if watch.deadline <= now {
            self.discovery_connection_ended(pool, ConnectionEnd::TimedOut, "silence");
        }
    }

    /// Writes the request and reads the response when the socket of this call is readable or writable.
    fn discovery_ready(&mut self, pool: PoolId, number: u64, writable: bool) {
        let answer_by = Instant::now() + self.net.limits.discovery_response_timeout;
        let is_this_call = |d: &&mut Discovery| d.has_watch(number);
        let Some(watch) = self.discovery(pool).filter(&is_this_call).and_then(|d| d.watch.as_mut()) else {
            return;
        };
        if watch.written < watch.output.len() && writable {
            watch.deadline = answer_by;
            if let Err(e) = crate::write_pending(&watch.socket.stream, &watch.output, &mut watch.written) {
                return self.discovery_connection_ended(pool, ConnectionEnd::Broken, &e.to_string());
            }
        }
        if watch.written == 0 {
            if let Ok(Some(e)) = watch.socket.stream.take_error() {
                self.discovery_connection_ended(pool, ConnectionEnd::Broken, &e.to_string());
            }
            return;
        }
        loop {
            let max_bytes = self.net.limits.read_chunk_bytes.max(self.net.limits.max_head_bytes);
            // The input buffer is moved out while bytes are read into it, as pools and scratch buffer both
            // belong to `self`.
            let Some(watch) = self.discovery(pool).filter(&is_this_call).and_then(|d| d.watch.as_mut())
            else {
                return;
            };
            let (stream, mut input) = (watch.socket.stream.clone(), std::mem::take(&mut watch.input));
            let reading = self.net.read(&stream, &mut input, max_bytes);
            let has_more = input.len() > max_bytes;
            if let Some(watch) = self.discovery(pool).and_then(|d| d.watch.as_mut()) {
                watch.input = input;
            }
            if let Err(bad) = self.process_discovery_input(pool) {
                return self.discovery_response_failed(pool, bad);
            }
            match reading {
                ReadStatus::Open if has_more => {}
                ReadStatus::Open => return,
                ReadStatus::Ended => {
                    return self.discovery_connection_ended(
                        pool,
                        ConnectionEnd::Closed,
                        "discovery closed the connection",
                    )
                }
                ReadStatus::Broken => {
                    return self.discovery_connection_ended(
                        pool,
                        ConnectionEnd::Broken,
                        "its connection broke",
                    )
                }
            }
        }
    }

    /// Decodes the bytes received, and applies and queues the lists that are complete.
    fn process_discovery_input(&mut self, pool: PoolId) -> Result<(), BadResponse> {
        let (limits, log, last_polled) =
            (self.net.limits.clone(), self.net.log.clone(), self.net.rounds.last_polled_at());
        let Some(discovery) = self.discovery(pool) else { return Ok(()) };
        let Some(watch) = discovery.watch.as_mut() else { return Ok(()) };
        if watch.chunks.is_none() {
            let head = http::parse_stream_head(&watch.input, &limits);
            let Some(n) = head.map_err(bad_status)? else { return Ok(()) };
            watch.input.drain(..n);
            watch.chunks = Some(ChunkDecoder::default());
            self.discovery_response_started(pool);
        }
        let Some(discovery) = self.discovery(pool) else { return Ok(()) };
        let Some(watch) = discovery.watch.as_mut() else { return Ok(()) };
        let Some(chunks) = watch.chunks.as_mut() else { return Ok(()) };
        let before = watch.list_text.len();
        let used =
            chunks.decode(&watch.input, limits.max_discovery_line_bytes, &limits, &mut watch.list_text);
        let used =
            used.map_err(|_| BadResponse::unreadable("the chunked encoding of its answer is malformed"))?;
        watch.input.drain(..used);
        let is_finished = chunks.done;
        let (mut lists, mut result) = (Vec::new(), Ok(()));
        // An empty line between lists means that nothing has changed.
        let mut has_data = watch.list_text.contains(&b'\n') && watch.list_text.trim_ascii().is_empty();
        // A list ends with a brace, so text without a new one can't complete a list; text that does not begin
        // with a brace is no list at all, and is parsed to report that.
        let may_be_list = watch.list_text.trim_ascii_start().first().is_none_or(|&b| b == b'{');
        if watch.list_text[before..].contains(&b'}') || !may_be_list || has_data {
            (lists, result) = drain_host_lists(&mut watch.list_text);
            has_data |= !lists.is_empty();
        }
        let mut is_first_data = false;
        let now = Instant::now();
        let as_of = if watch.last_data_at.is_none() { watch.called_at } else { last_polled };
        if has_data {
            is_first_data = watch.last_data_at.replace(now).is_none();
            watch.deadline = now + limits.discovery_idle_timeout;
        }
        let received = lists.len();
        let mut older = false;
        lists = lists
            .into_iter()
            .filter_map(|list| match discovery.hosts.receive_list(&list, as_of, now) {
                ListOutcome::Applied(list) => Some(list),
                ListOutcome::Older(departures) => {
                    older = true;
                    Some(departures).filter(|d| !d.hosts.is_empty())
                }
            })
            .collect();
        if has_data && !older {
            watch.complete_as_of = Some(as_of);
        }
        if has_data {
            lists.extend(discovery.hosts.release_withheld(now));
        }
        if is_first_data && received == 0 {
            // An empty line is an answer, too: the watch is open, and nothing has changed.
            lists.push(discovery.hosts.empty_change());
        }
        let call = (watch.number, watch.called_at.elapsed().as_millis());
        for list in lists {
            info!(log, "a list of hosts was received from discovery"; "seq" => list.seq,
                "whole" => list.whole, "entries" => list.hosts.len(),
                "call" => call.0, "after_ms" => call.1);
            self.queue_list(pool, list);
        }
        result.map_err(|e| BadResponse::unreadable(format!("a list can't be parsed: {e}")))?;
        if older {
            return Err(BadResponse::unreadable(
                "a list is older than the present one, which stays in force except for hosts that leave",
            ));
        }
        if is_finished {
            self.discovery_connection_ended(pool, ConnectionEnd::Closed, "discovery closed the connection");
        }
        Ok(())
    }
}
