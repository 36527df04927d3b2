//! The fleet link in I/O: one UDP socket, the key file, and bounds on what comes and goes (docs/design/fleet.md).
//!
//! [`Link`] drives `garnettally_peers` from an event loop that belongs to somebody else: the loop watches
//! [`Link::socket`], calls [`Link::on_readable`] and, at [`Link::next_wake`], [`Link::run_due_timers`]. No call blocks, and none
//! works on more than a bounded part of what lies there, so that requests are never kept waiting.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bucket;

use bucket::TokenBucket;
use garnettally_model::Micros;
use garnettally_peers::{
    Counters, Event, Identity, Input, Keys, MemberState, Output, Peers, Settings, MAX_DATAGRAM_BYTES,
};
use rand::rngs::SysRng;
use rand::TryRng;
use rustix::time::{clock_gettime, ClockId};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// What the operator's file says of the link.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// The member, and its times and bounds; with port 0 in its address the system's choice is told to peers.
    pub member: Settings,
    /// Where datagrams are taken.
    pub bind_address: SocketAddr,
    /// The keys; without them only loopback addresses are taken.
    pub key_file: Option<PathBuf>,
    /// Bytes a second that are sent at the most.
    pub max_send_bytes_per_s: u64,
    /// Datagrams a second that are looked at at the most; the rest is dropped unread.
    pub max_receive_datagrams_per_s: u64,
}

/// Why there is no link, or no new key.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The key file can't be read.
    #[error("fleet.key_file {path}: {source}")]
    KeyFile {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The key file holds something else.
    #[error("fleet.key_file {path}: {source}")]
    Keys {
        /// Its path.
        path: PathBuf,
        /// What is wrong.
        source: garnettally_peers::KeyFileError,
    },
    /// The socket can't be had.
    #[error("fleet.address {address}: {source}")]
    Bind {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The system has no random numbers.
    #[error("no random numbers: {0}")]
    Random(String),
}

/// Datagrams that one call of [`Link::on_readable`] takes: some hundred microseconds of work.
const READ_AT_ONCE: usize = 32;
/// Bytes that are read of a key file: it holds eight keys at the most, and comments.
const MAX_KEY_FILE_BYTES: u64 = 64 << 10;
/// Bytes that the kernel may hold for us while the loop is busy.
const SOCKET_BUFFER: usize = 1 << 20;

/// What the link itself dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// Datagrams that came beyond the rate.
    pub over_receive_rate: u64,
    /// Datagrams that were to go beyond the rate.
    pub over_send_rate: u64,
    /// Datagrams that the system did not take.
    pub send_failed: u64,
}

/// A member of the fleet on its socket.
pub struct Link {
    socket: Rc<UdpSocket>,
    peers: Peers,
    key_file: Option<PathBuf>,
    out: TokenBucket,
    inward: TokenBucket,
    dropped: DropCounters,
    events: Vec<Event>,
    letters: Vec<(u64, Vec<u8>)>,
    buffer: Vec<u8>,
}

/// The time since the machine started, by which all of the fleet's times are measured. It goes on while the machine sleeps and while the process is stopped: what was
/// known before is as old afterwards as it really is.
pub fn time_since_boot() -> Micros {
    let t = clock_gettime(ClockId::Boottime);
    Micros(t.tv_sec.saturating_mul(1_000_000).saturating_add(t.tv_nsec / 1_000))
}

fn read_keys(path: &PathBuf) -> Result<Keys, LinkError> {
    let mut text = String::new();
    let read = std::fs::File::open(path).and_then(|f| f.take(MAX_KEY_FILE_BYTES).read_to_string(&mut text));
    read.map_err(|source| LinkError::KeyFile { path: path.clone(), source })?;
    Keys::parse(&text).map_err(|source| LinkError::Keys { path: path.clone(), source })
}

impl Link {
    /// Reads the keys and takes the address.
    pub fn open(mut set: LinkSettings) -> Result<Link, LinkError> {
        let keys = set.key_file.as_ref().map(read_keys).transpose()?;
        let failed = |source| LinkError::Bind { address: set.bind_address, source };
        let socket = bind(set.bind_address).map_err(failed)?;
        if set.member.address.port() == 0 {
            set.member.address.set_port(socket.local_addr().map_err(failed)?.port());
        }
        let mut seed = [0; 32];
        SysRng.try_fill_bytes(&mut seed).map_err(|e| LinkError::Random(e.to_string()))?;
        let now = time_since_boot();
        // A second's worth may go at once: a start, or a zone that goes, is a burst.
        let out = TokenBucket::new(
            set.max_send_bytes_per_s,
            set.max_send_bytes_per_s.max(4 * MAX_DATAGRAM_BYTES as u64),
            now,
        );
        let inward =
            TokenBucket::new(set.max_receive_datagrams_per_s, set.max_receive_datagrams_per_s.max(64), now);
        Ok(Link {
            socket: Rc::new(socket),
            peers: Peers::new(set.member, keys, seed, now),
            key_file: set.key_file,
            out,
            inward,
            dropped: DropCounters::default(),
            events: Vec::new(),
            letters: Vec::new(),
            buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
        })
    }

    /// The socket, for the event loop to watch for reading, by level.
    pub fn socket(&self) -> Rc<UdpSocket> {
        self.socket.clone()
    }

    /// Takes some of what has come.
    pub fn on_readable(&mut self) {
        let now = time_since_boot();
        for _ in 0..READ_AT_ONCE {
            let n = match self.socket.recv_from(&mut self.buffer) {
                Ok((n, _)) => n,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                // A peer that is gone may show as an error here; the next call reads on.
                Err(_) => break,
            };
            if self.inward.try_take(now, 1) {
                // What is dropped is counted there.
                let _ = self.peers.handle(now, Input::Datagram(&self.buffer[..n]));
            } else {
                self.dropped.over_receive_rate += 1;
            }
        }
        self.flush(now);
    }

    /// Does what is due.
    pub fn run_due_timers(&mut self) {
        let now = time_since_boot();
        if self.peers.next_timeout() <= now {
            let _ = self.peers.handle(now, Input::Wake);
            self.flush(now);
        }
    }

    /// When [`Link::run_due_timers`] is due.
    pub fn next_wake(&self) -> Instant {
        let left = self.peers.next_timeout() - time_since_boot();
        Instant::now() + Duration::from_micros(left.0.max(0) as u64)
    }

    /// Tells peers that this process ends.
    pub fn leave(&mut self) {
        let now = time_since_boot();
        let _ = self.peers.handle(now, Input::Leave);
        self.flush(now);
    }

    /// What has happened since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Letters that have come since the last call, with the lives of who wrote them.
    pub fn take_messages(&mut self) -> Vec<(u64, Vec<u8>)> {
        std::mem::take(&mut self.letters)
    }

    /// Sends a letter to a member, by its life. `false`: no such member is known.
    pub fn send_message(&mut self, life: u64, letter: &[u8]) -> bool {
        let sent = self.peers.send_message(life, letter);
        self.flush(time_since_boot());
        sent
    }

    /// Reads the key file again; on an error the keys before stay in force.
    pub fn reload_keys(&mut self) -> Result<(), LinkError> {
        if let Some(path) = &self.key_file {
            self.peers.replace_keys(read_keys(path)?);
        }
        Ok(())
    }

    /// Tells all members something that is so old already; an empty value takes it back. `false`: there is no room.
    pub fn publish(&mut self, key: &[u8], value: &[u8], age: Duration) -> bool {
        let age = Micros(age.as_micros().min(i64::MAX as u128) as i64);
        self.peers.publish(time_since_boot(), key, value, age)
    }

    /// What all members say, none older than the bound.
    pub fn facts(&self) -> impl Iterator<Item = garnettally_peers::Fact<'_>> {
        self.peers.facts(time_since_boot())
    }

    /// Grows with each fact that is new here.
    pub fn facts_version(&self) -> u64 {
        self.peers.facts_version()
    }

    /// How many facts are held.
    pub fn fact_count(&self) -> usize {
        self.peers.fact_count()
    }

    /// This member.
    pub fn own_identity(&self) -> &Identity {
        self.peers.own_identity()
    }

    /// The others, dead ones included for a time.
    pub fn other_members(&self) -> impl Iterator<Item = (&Identity, MemberState)> {
        self.peers.other_members()
    }

    /// Members taken to be alive, this one included.
    pub fn alive_count(&self) -> u32 {
        self.peers.alive_count()
    }

    /// How large the fleet is taken to be.
    pub fn fleet_size(&self) -> u32 {
        self.peers.fleet_size(time_since_boot())
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.peers.counters()
    }

    /// What the link itself dropped.
    pub fn dropped(&self) -> DropCounters {
        self.dropped
    }

    fn flush(&mut self, now: Micros) {
        while let Some(output) = self.peers.poll() {
            match output {
                Output::Event(e) => self.events.push(e),
                Output::Message(from, letter) => self.letters.push((from, letter)),
                Output::Send(to, data) => {
                    if !self.out.try_take(now, data.len() as u64) {
                        self.dropped.over_send_rate += 1;
                    } else if self.socket.send_to(&data, to).is_err() {
                        // Nobody there, or no room in the kernel: links lose datagrams, and nothing here waits.
                        self.dropped.send_failed += 1;
                    }
                }
            }
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // As much as the system allows; less is slower, not wrong.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
