//! Where the upstreams come from: a watch on the discovery service. When to ask is the module's decision.

use crate::held_list::{HeldList, Taken};
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

struct Watch {
    number: u64,
    asked: Instant,
    socket: WatchedStream,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    chunks: Option<ChunkDecoder>,
    /// What has come of a list that is not whole yet.
    text: Vec<u8>,
    /// When a list or an empty line came last; `None`: never yet.
    heard: Option<Instant>,
    /// Up to when all changes have come on it. Its first line tells what was so at some time after the call, later ones what
    /// was so when they were written: after this process last looked and found nothing.
    complete: Option<Instant>,
    /// It is given up then: a new list or an empty line puts that off, bytes alone don't.
    deadline: Instant,
}

/// How a connection to discovery ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Discovery ended it, after all that it had written.
    Closed,
    /// It was reset or broke: lines that were written may not have come.
    Broken,
    /// Nothing came for too long.
    TimedOut,
}

impl Watch {
    /// Whether something has come of a line that is not whole.
    fn is_within_line(&self) -> bool {
        !self.input.is_empty() || !self.text.trim_ascii().is_empty()
    }

    /// What its ending shows, where nothing that came speaks for itself.
    fn failure(&self, ending: Ending) -> CallFailure {
        let is_open = self.heard.is_some();
        let is_answering = self.chunks.is_some() || !self.input.is_empty();
        match ending {
            Ending::TimedOut if is_open => CallFailure::WatchSilent,
            Ending::Closed | Ending::Broken if is_open && self.is_within_line() => CallFailure::WatchCut,
            Ending::Closed if is_open => CallFailure::WatchEnded,
            Ending::Broken if is_open => CallFailure::WatchBroken,
            _ if is_answering => CallFailure::IncompleteAnswer,
            _ if self.written == 0 => CallFailure::NoConnection,
            Ending::TimedOut => CallFailure::NoAnswer,
            Ending::Closed | Ending::Broken => CallFailure::ClosedBeforeAnswer,
        }
    }
}

/// How a watch or a call ended.
#[derive(Clone, Copy)]
struct Ended {
    failure: CallFailure,
    /// Up to when the watch had told of all changes, if it was open.
    complete_until: Option<Instant>,
}

impl Ended {
    fn report(self, now: Instant) -> Report {
        let silent = self.complete_until.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Report::WatchFailed { incomplete_for: silent, failure: self.failure }
    }
}

/// What is wrong with what discovery has sent.
struct BadAnswer {
    failure: CallFailure,
    why: String,
}

impl BadAnswer {
    fn unreadable(why: impl Into<String>) -> BadAnswer {
        BadAnswer { failure: CallFailure::Unreadable, why: why.into() }
    }
}

/// The watch, and the list that it goes on from.
pub struct Discovery {
    address: SocketAddr,
    held: HeldList,
    watch: Option<Box<Watch>>,
    /// How the last watch or call ended, until the next one is made.
    ended: Option<Ended>,
}

impl Discovery {
    pub fn new(address: SocketAddr, known: Option<&HostList>) -> Discovery {
        Discovery { address, held: HeldList::new(known), watch: None, ended: None }
    }

    /// The list as it is held now.
    pub fn held(&self) -> HostList {
        self.held.whole()
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether its watch is the one of this number.
    pub fn watches(&self, number: u64) -> bool {
        self.watch.as_ref().is_some_and(|w| w.number == number)
    }

    /// News that nothing has changed, where an open watch says so.
    pub fn watched(&self) -> Option<HostList> {
        self.watch.as_ref().filter(|w| w.heard.is_some()).map(|_| self.held.unchanged())
    }

    /// How the watch stands, for a module that takes it over; `None`: its call is out, or none was made yet.
    pub fn standing(&self, now: Instant) -> Option<Report> {
        match self.watch {
            Some(_) => self.watched().map(Report::List),
            None => self.ended.map(|ended| ended.report(now)),
        }
    }

    /// When silence ends the watch.
    pub fn deadline(&self) -> Option<Instant> {
        self.watch.as_ref().map(|w| w.deadline)
    }
}

/// An answer that is no 200.
fn bad_status(bad: HttpError) -> BadAnswer {
    const SERVICE_UNAVAILABLE: u16 = 503;
    let failure = match bad.0 {
        SERVICE_UNAVAILABLE => CallFailure::Busy,
        _ => CallFailure::OtherStatus,
    };
    BadAnswer { failure, why: format!("answered {}", bad.0) }
}

impl Proxy {
    fn discovery(&mut self, pool: PoolId) -> Option<&mut Discovery> {
        match &mut self.pools.get_mut(pool)?.source {
            Source::Watch(discovery) => Some(discovery),
            _ => None,
        }
    }

    /// Goes over to a discovery service at another address. What its versions count is its own affair, so it
    /// is asked for all, and soon: what it has to tell must not wait for the old one to go away. The module says when,
    /// as all processes that share it may go over in one moment.
    pub fn follow_discovery(&mut self, pool: PoolId, address: SocketAddr) {
        let Some(old) = self.discovery(pool).map(|d| d.address).filter(|old| *old != address) else { return };
        info!(self.net.log, "discovery has moved"; "from" => %old, "to" => %address);
        self.leave_watch(pool);
        if let Some(discovery) = self.discovery(pool) {
            discovery.address = address;
            discovery.held.change_service();
        }
        for p in self.pools.told_by(pool) {
            p.queue(Report::DiscoveryMoved, Instant::now());
        }
    }

    /// Asks for changes from the version held on, unless a watch is there; then that one is told of.
    pub fn start_watch(&mut self, pool: PoolId) {
        let number = self.net.next_connection_id();
        if let Some(unchanged) = self.discovery(pool).and_then(|d| d.watched()) {
            return self.tell_of_hosts(pool, unchanged);
        }
        let Some((address, version)) =
            self.discovery(pool).filter(|d| d.watch.is_none()).map(|d| (d.address, d.held.ask_from()))
        else {
            return;
        };
        let ready = move |proxy: &mut Proxy, r: calloop::Readiness| {
            // Another pool may have taken the watch over.
            if let Some(pool) = proxy.pools.watching(number) {
                proxy.discovery_ready(pool, number, r.writable);
            }
        };
        let socket = match crate::connect(address).and_then(|s| self.net.watch(s, ready)) {
            Ok(socket) => socket,
            Err(e) => {
                let local = is_local_shortage(&e);
                let failure = if local { CallFailure::NoSocket } else { CallFailure::NoConnection };
                return self.watch_ended(pool, Ended { failure, complete_until: None }, &e.to_string());
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
                asked: Instant::now(),
                socket,
                output: output.into_bytes(),
                written: 0,
                input: Vec::new(),
                chunks: None,
                text: Vec::new(),
                heard: None,
                complete: None,
                deadline,
            }));
        }
    }

    /// Ends a pool's watch, if there is one.
    pub fn end_watch(&mut self, pool: PoolId) {
        if let Some(watch) = self.discovery(pool).and_then(|d| d.watch.take()) {
            self.net.unwatch(watch.socket);
        }
    }

    /// The connection to discovery has ended.
    fn connection_ended(&mut self, pool: PoolId, ending: Ending, why: &str) {
        let Some(watch) = self.discovery(pool).and_then(|d| d.watch.as_ref()) else { return };
        let ended = Ended { failure: watch.failure(ending), complete_until: watch.complete };
        self.watch_ended(pool, ended, why);
    }

    /// Discovery has sent what can't be used.
    fn answer_failed(&mut self, pool: PoolId, bad: BadAnswer) {
        let watch = self.discovery(pool).and_then(|d| d.watch.as_ref());
        let complete_until = watch.and_then(|w| w.complete);
        self.watch_ended(pool, Ended { failure: bad.failure, complete_until }, &bad.why);
    }

    /// Ends a watch that is not wanted any more; what it may have missed, the module hears.
    fn leave_watch(&mut self, pool: PoolId) {
        let watch = self.discovery(pool).and_then(|d| d.watch.as_ref());
        if watch.is_some_and(|w| w.heard.is_some()) {
            self.connection_ended(pool, Ending::Broken, "discovery has moved");
        }
        self.end_watch(pool);
    }

    fn watch_ended(&mut self, pool: PoolId, ended: Ended, why: &str) {
        let watch = self.discovery(pool).and_then(|d| d.watch.as_ref());
        let call = watch.map(|w| w.number);
        let lasted = watch.map_or(0, |w| w.asked.elapsed().as_millis());
        let was_open = watch.is_some_and(|w| w.heard.is_some());
        let now = Instant::now();
        let silent = ended.complete_until.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        warn!(self.net.log, "the watch on discovery failed"; "why" => why, "call" => call, "after_ms" => lasted,
            "was_open" => was_open, "silent_ms" => silent.as_millis(), "failure" => ?ended.failure);
        self.stats.record_discovery_failure();
        self.end_watch(pool);
        if let Some(discovery) = self.discovery(pool) {
            discovery.ended = Some(ended);
        }
        for p in self.pools.told_by(pool) {
            p.queue(ended.report(now), now);
        }
    }

    /// The head of an answer has come.
    fn discovery_answers(&mut self, pool: PoolId) {
        for p in self.pools.told_by(pool) {
            p.queue(Report::DiscoveryAnswerStarted, Instant::now());
        }
    }

    /// Has a pool, and those that hear with it, told of a list.
    fn tell_of_hosts(&mut self, pool: PoolId, list: HostList) {
        for p in self.pools.told_by(pool) {
            p.queue(Report::List(list.clone()), Instant::now());
        }
    }

    /// Silence: the connection may be dead without saying so.
    pub fn expire_discovery(&mut self, pool: PoolId, now: Instant) {
        let Some(watch) = self.discovery(pool).and_then(|d| d.watch.as_ref()) else { return };
        if watch.deadline <= now {
            self.connection_ended(pool, Ending::TimedOut, "silence");
        }
    }

    fn discovery_ready(&mut self, pool: PoolId, number: u64, writable: bool) {
        let answer_by = Instant::now() + self.net.limits.discovery_response_timeout;
        let mine = |d: &&mut Discovery| d.watches(number);
        let Some(watch) = self.discovery(pool).filter(&mine).and_then(|d| d.watch.as_mut()) else { return };
        if watch.written < watch.output.len() && writable {
            watch.deadline = answer_by;
            if let Err(e) = crate::write_pending(&watch.socket.stream, &watch.output, &mut watch.written) {
                return self.connection_ended(pool, Ending::Broken, &e.to_string());
            }
        }
        if watch.written == 0 {
            if let Ok(Some(e)) = watch.socket.stream.take_error() {
                self.connection_ended(pool, Ending::Broken, &e.to_string());
            }
            return;
        }
        loop {
            let most = self.net.limits.read_chunk_bytes.max(self.net.limits.max_head_bytes);
            // The input is taken out while it is read into: the pools and the scratch space are both of the proxy.
            let Some(watch) = self.discovery(pool).filter(&mine).and_then(|d| d.watch.as_mut()) else {
                return;
            };
            let (stream, mut input) = (watch.socket.stream.clone(), std::mem::take(&mut watch.input));
            let reading = self.net.read(&stream, &mut input, most);
            let more = input.len() > most;
            if let Some(watch) = self.discovery(pool).and_then(|d| d.watch.as_mut()) {
                watch.input = input;
            }
            if let Err(bad) = self.discovery_input(pool) {
                return self.answer_failed(pool, bad);
            }
            match reading {
                ReadStatus::Open if more => {}
                ReadStatus::Open => return,
                ReadStatus::Ended => {
                    return self.connection_ended(pool, Ending::Closed, "discovery ended it")
                }
                ReadStatus::Broken => {
                    return self.connection_ended(pool, Ending::Broken, "its connection broke")
                }
            }
        }
    }

    fn discovery_input(&mut self, pool: PoolId) -> Result<(), BadAnswer> {
        let (limits, log, looked) = (self.net.limits.clone(), self.net.log.clone(), self.net.rounds.looked());
        let Some(discovery) = self.discovery(pool) else { return Ok(()) };
        let Some(watch) = discovery.watch.as_mut() else { return Ok(()) };
        if watch.chunks.is_none() {
            let head = http::parse_stream_head(&watch.input, &limits);
            let Some(n) = head.map_err(bad_status)? else { return Ok(()) };
            watch.input.drain(..n);
            watch.chunks = Some(ChunkDecoder::default());
            self.discovery_answers(pool);
        }
        let Some(discovery) = self.discovery(pool) else { return Ok(()) };
        let Some(watch) = discovery.watch.as_mut() else { return Ok(()) };
        let Some(chunks) = watch.chunks.as_mut() else { return Ok(()) };
        let before = watch.text.len();
        let used = chunks.decode(&watch.input, limits.max_discovery_line_bytes, &limits, &mut watch.text);
        let used = used.map_err(|_| BadAnswer::unreadable("its chunks make no sense"))?;
        watch.input.drain(..used);
        let done = chunks.done;
        let (mut lists, mut result) = (Vec::new(), Ok(()));
        // An empty line between lists says that nothing has changed.
        let mut alive = watch.text.contains(&b'\n') && watch.text.trim_ascii().is_empty();
        // A list ends with a brace: what has brought none of them is not whole yet, unless it is no list at all.
        let opens = watch.text.trim_ascii_start().first().is_none_or(|&b| b == b'{');
        if watch.text[before..].contains(&b'}') || !opens || alive {
            (lists, result) = drain_host_lists(&mut watch.text);
            alive |= !lists.is_empty();
        }
        let mut first = false;
        let now = Instant::now();
        let as_of = if watch.heard.is_none() { watch.asked } else { looked };
        if alive {
            first = watch.heard.replace(now).is_none();
            watch.deadline = now + limits.discovery_idle_timeout;
        }
        let told = lists.len();
        let mut older = false;
        lists = lists
            .into_iter()
            .filter_map(|list| match discovery.held.take(&list, as_of, now) {
                Taken::Applied(list) => Some(list),
                Taken::Older(departures) => {
                    older = true;
                    Some(departures).filter(|d| !d.hosts.is_empty())
                }
            })
            .collect();
        if alive && !older {
            watch.complete = Some(as_of);
        }
        if alive {
            lists.extend(discovery.held.release(now));
        }
        if first && told == 0 {
            // An empty line is an answer, too: the watch is open, and nothing has changed.
            lists.push(discovery.held.unchanged());
        }
        let call = (watch.number, watch.asked.elapsed().as_millis());
        for list in lists {
            info!(log, "hosts"; "seq" => list.seq, "whole" => list.whole, "entries" => list.hosts.len(),
                "call" => call.0, "after_ms" => call.1);
            self.tell_of_hosts(pool, list);
        }
        result.map_err(|e| BadAnswer::unreadable(format!("a list makes no sense: {e}")))?;
        if older {
            return Err(BadAnswer::unreadable(
                "a list is older than the one held, which stays in force but for hosts that leave",
            ));
        }
        if done {
            self.connection_ended(pool, Ending::Closed, "discovery ended it");
        }
        Ok(())
    }
}
