//! Where the upstreams come from: a watch on the discovery service. When to ask is the module's decision.

use crate::http::{self, Chunks};
use crate::{Proxy, Reading, Watched};
use garnettally_config::platform::decode_hosts;
use garnettally_decisions::facade::Report;
use slog::{info, warn};
use std::net::SocketAddr;
use std::time::Instant;

struct Watch {
    number: u64,
    socket: Watched,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    chunks: Option<Chunks>,
    /// The line that has not ended yet.
    line: Vec<u8>,
    deadline: Instant,
}

/// The watch and the version that it goes on from.
pub struct Discovery {
    address: SocketAddr,
    version: u64,
    watch: Option<Watch>,
}

impl Discovery {
    pub fn new(address: SocketAddr, version: u64) -> Discovery {
        Discovery { address, version, watch: None }
    }

    /// When silence ends the watch.
    pub fn deadline(&self) -> Option<Instant> {
        self.watch.as_ref().map(|w| w.deadline)
    }
}

impl Proxy {
    /// Goes over to a discovery service at another address. What its versions count is its own affair, so it
    /// is asked for all, and at once: what it has to tell must not wait for the old one to go away.
    pub fn follow_discovery(&mut self, address: SocketAddr) {
        if address != self.discovery.address {
            info!(self.net.log, "discovery has moved"; "from" => %self.discovery.address, "to" => %address);
            self.end_watch();
            (self.discovery.address, self.discovery.version) = (address, 0);
            self.start_watch();
        }
    }

    /// Asks for changes from the version held on, unless a watch is there.
    pub fn start_watch(&mut self) {
        if self.discovery.watch.is_some() {
            return;
        }
        let number = self.net.number();
        let ready = move |proxy: &mut Proxy, r: calloop::Readiness| proxy.discovery_ready(number, r.writable);
        let socket = match crate::connect(self.discovery.address).and_then(|s| self.net.watch(s, ready)) {
            Ok(socket) => socket,
            Err(e) => return self.watch_failed(&e.to_string()),
        };
        let (version, host) = (self.discovery.version, self.discovery.address);
        let output = format!("GET /v1/endpoints?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        self.discovery.watch = Some(Watch {
            number,
            socket,
            output: output.into_bytes(),
            written: 0,
            input: Vec::new(),
            chunks: None,
            line: Vec::new(),
            deadline: Instant::now() + self.net.limits.discovery_connect,
        });
    }

    fn end_watch(&mut self) {
        if let Some(watch) = self.discovery.watch.take() {
            self.net.unwatch(watch.socket);
        }
    }

    fn watch_failed(&mut self, why: &str) {
        warn!(self.net.log, "the watch on discovery failed"; "why" => why);
        self.end_watch();
        self.exchanges.queue(Report::WatchFailed, Instant::now());
    }

    /// Silence: the connection may be dead without saying so.
    pub fn expire_discovery(&mut self, now: Instant) {
        if self.discovery.deadline().is_some_and(|at| at <= now) {
            self.watch_failed("silence");
        }
    }

    fn discovery_ready(&mut self, number: u64, writable: bool) {
        let Some(watch) = self.discovery.watch.as_mut().filter(|w| w.number == number) else { return };
        if watch.written < watch.output.len() && writable {
            watch.deadline = Instant::now() + self.net.limits.discovery_answer;
            if let Err(e) = crate::write(&watch.socket.stream, &watch.output, &mut watch.written) {
                return self.watch_failed(&e.to_string());
            }
        }
        if watch.written == 0 {
            if let Ok(Some(e)) = watch.socket.stream.take_error() {
                self.watch_failed(&e.to_string());
            }
            return;
        }
        loop {
            let Some(watch) = self.discovery.watch.as_mut().filter(|w| w.number == number) else { return };
            let most = self.net.limits.read_bytes.max(self.net.limits.head_bytes);
            let reading = self.net.read(&watch.socket.stream, &mut watch.input, most);
            let more = watch.input.len() > most;
            if let Err(why) = self.discovery_input() {
                return self.watch_failed(&why);
            }
            match reading {
                Reading::Open if more => {}
                Reading::Open => return,
                Reading::Ended => return self.watch_failed("discovery ended it"),
                Reading::Broken => return self.watch_failed("its connection broke"),
            }
        }
    }

    fn discovery_input(&mut self) -> Result<(), String> {
        let Some(watch) = self.discovery.watch.as_mut() else { return Ok(()) };
        let limits = &self.net.limits;
        if watch.chunks.is_none() {
            let head = http::stream_head(&watch.input, limits);
            let Some(n) = head.map_err(|bad| format!("answered {}", bad.0))? else { return Ok(()) };
            watch.input.drain(..n);
            watch.chunks = Some(Chunks::default());
        }
        let Some(chunks) = watch.chunks.as_mut() else { return Ok(()) };
        let used = chunks.read(&watch.input, limits.line_bytes, limits, &mut watch.line);
        let used = used.map_err(|_| "its chunks make no sense".to_string())?;
        watch.input.drain(..used);
        if used > 0 {
            watch.deadline = Instant::now() + limits.discovery_silence;
        }
        let done = chunks.done;
        let mut lists = Vec::new();
        while let Some(end) = watch.line.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = watch.line.drain(..=end).collect();
            if !line.trim_ascii().is_empty() {
                let list = decode_hosts(line.trim_ascii());
                lists.push(list.map_err(|e| format!("a line makes no sense: {e}"))?);
            }
        }
        for list in lists {
            info!(self.net.log, "hosts"; "seq" => list.seq, "whole" => list.whole, "entries" => list.hosts.len());
            self.discovery.version = list.seq;
            self.exchanges.queue(Report::Hosts(list), Instant::now());
        }
        if done {
            return Err("discovery ended it".into());
        }
        Ok(())
    }
}
