//! The I/O of the fleet link: one UDP socket, the key file, and bounds on the rates at which datagrams are
//! sent and received (docs/design/fleet.md).
//!
//! [`Link`] drives `garnettally_peers` from the caller's event loop: the loop watches [`Link::socket`], calls
//! [`Link::on_readable`] and, at [`Link::next_wake`], [`Link::run_due_timers`]. No call blocks, and each call
//! reads only a bounded number of the queued datagrams, so that requests are not delayed.
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

/// The settings of the link, taken from the operator's file.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// The settings of this member. If the port of its address is 0, peers are given the port that the system
    /// chose.
    pub member: Settings,
    /// The local address on which datagrams are received.
    pub bind_address: SocketAddr,
    /// The path of the key file. Without it, only loopback addresses are accepted as peers.
    pub key_file: Option<PathBuf>,
    /// The most bytes sent per second; datagrams beyond this rate are dropped.
    pub max_send_bytes_per_s: u64,
    /// The most datagrams processed per second; datagrams beyond this rate are dropped without being parsed.
    pub max_receive_datagrams_per_s: u64,
}

/// The reasons why the link can't be opened or its keys can't be reloaded.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The key file can't be opened or read.
    #[error("fleet.key_file {path}: {source}")]
    KeyFile {
        /// The path of the key file.
        path: PathBuf,
        /// The error from the file system.
        source: io::Error,
    },
    /// The key file was read, and its content is malformed.
    #[error("fleet.key_file {path}: {source}")]
    Keys {
        /// The path of the key file.
        path: PathBuf,
        /// The problem found in its content.
        source: garnettally_peers::KeyFileError,
    },
    /// The socket can't be created or bound.
    #[error("fleet.address {address}: {source}")]
    Bind {
        /// The local address that was to be bound.
        address: SocketAddr,
        /// The error from the system.
        source: io::Error,
    },
    /// The system's random number generator failed.
    #[error("the system's random number generator failed, so the fleet link has no seed: {0}")]
    Random(String),
}

/// The most datagrams that one call of [`Link::on_readable`] reads: a few hundred microseconds of work.
const MAX_DATAGRAMS_PER_READ: usize = 32;
/// The number of bytes read from a key file, which contains at most eight keys and comments.
const MAX_KEY_FILE_BYTES: u64 = 64 << 10;
/// The size requested for the socket's receive buffer, in which datagrams wait while the event loop is busy.
const SOCKET_BUFFER_BYTES: usize = 1 << 20;

/// Datagrams that the link itself dropped, counted since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// Received datagrams dropped because they exceeded the receive rate.
    pub over_receive_rate: u64,
    /// Outgoing datagrams dropped because they exceeded the send rate.
    pub over_send_rate: u64,
    /// Outgoing datagrams for which the system returned an error.
    pub send_failed: u64,
}

/// This process's membership of the fleet, connected to a UDP socket.
pub struct Link {
    socket: Rc<UdpSocket>,
    peers: Peers,
    key_file: Option<PathBuf>,
    send_bucket: TokenBucket,
    receive_bucket: TokenBucket,
    dropped: DropCounters,
    events: Vec<Event>,
    messages: Vec<(u64, Vec<u8>)>,
    buffer: Vec<u8>,
}

/// The time since the machine started, by which the fleet measures all of its times. This clock also advances
/// while the machine is suspended and while the process is stopped, so that after such a pause the age of
/// stored information is still its true age.
pub fn time_since_boot() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    Micros(time.tv_sec.saturating_mul(1_000_000).saturating_add(time.tv_nsec / 1_000))
}

fn read_keys(path: &PathBuf) -> Result<Keys, LinkError> {
    let mut text = String::new();
    let result = std::fs::File::open(path).and_then(|f| f.take(MAX_KEY_FILE_BYTES).read_to_string(&mut text));
    result.map_err(|source| LinkError::KeyFile { path: path.clone(), source })?;
    Keys::parse(&text).map_err(|source| LinkError::Keys { path: path.clone(), source })
}

impl Link {
    /// Reads the key file and binds the socket.
    pub fn open(mut settings: LinkSettings) -> Result<Link, LinkError> {
        let keys = settings.key_file.as_ref().map(read_keys).transpose()?;
        let failed = |source| LinkError::Bind { address: settings.bind_address, source };
        let socket = bind(settings.bind_address).map_err(failed)?;
        if settings.member.address.port() == 0 {
            settings.member.address.set_port(socket.local_addr().map_err(failed)?.port());
        }
        let mut seed = [0; 32];
        SysRng.try_fill_bytes(&mut seed).map_err(|e| LinkError::Random(e.to_string()))?;
        let now = time_since_boot();
        // The burst is one second's worth, because a start and the loss of a zone cause many datagrams at
        // once.
        let send_bucket = TokenBucket::new(
            settings.max_send_bytes_per_s,
            settings.max_send_bytes_per_s.max(4 * MAX_DATAGRAM_BYTES as u64),
            now,
        );
        let receive_bucket = TokenBucket::new(
            settings.max_receive_datagrams_per_s,
            settings.max_receive_datagrams_per_s.max(64),
            now,
        );
        Ok(Link {
            socket: Rc::new(socket),
            peers: Peers::new(settings.member, keys, seed, now),
            key_file: settings.key_file,
            send_bucket,
            receive_bucket,
            dropped: DropCounters::default(),
            events: Vec::new(),
            messages: Vec::new(),
            buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
        })
    }

    /// The socket, which the event loop has to watch for readability, level-triggered.
    pub fn socket(&self) -> Rc<UdpSocket> {
        self.socket.clone()
    }

    /// Reads and processes a bounded number of the received datagrams.
    pub fn on_readable(&mut self) {
        let now = time_since_boot();
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let length = match self.socket.recv_from(&mut self.buffer) {
                Ok((length, _)) => length,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                // An earlier send to a peer that no longer listens may be reported as an error here; the next
                // call continues to read.
                Err(_) => break,
            };
            if self.receive_bucket.try_take(now, 1) {
                // A rejected datagram is counted by `Peers`.
                let _ = self.peers.handle(now, Input::Datagram(&self.buffer[..length]));
            } else {
                self.dropped.over_receive_rate += 1;
            }
        }
        self.flush(now);
    }

    /// Runs the protocol's timers if any of them is due.
    pub fn run_due_timers(&mut self) {
        let now = time_since_boot();
        if self.peers.next_timeout() <= now {
            let _ = self.peers.handle(now, Input::Wake);
            self.flush(now);
        }
    }

    /// The time at which [`Link::run_due_timers`] has to be called next.
    pub fn next_wake(&self) -> Instant {
        let remaining = self.peers.next_timeout() - time_since_boot();
        Instant::now() + Duration::from_micros(remaining.0.max(0) as u64)
    }

    /// Notifies peers that this process ends.
    pub fn leave(&mut self) {
        let now = time_since_boot();
        let _ = self.peers.handle(now, Input::Leave);
        self.flush(now);
    }

    /// Removes and returns the membership events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Removes and returns the messages received since the last call, each with the life of its sender.
    pub fn take_messages(&mut self) -> Vec<(u64, Vec<u8>)> {
        std::mem::take(&mut self.messages)
    }

    /// Sends a message to the member with this life. Returns `false` if no such member is known or the
    /// message is too long.
    pub fn send_message(&mut self, life: u64, message: &[u8]) -> bool {
        let sent = self.peers.send_message(life, message);
        self.flush(time_since_boot());
        sent
    }

    /// Reads the key file again. On an error the previous keys stay in force.
    pub fn reload_keys(&mut self) -> Result<(), LinkError> {
        if let Some(path) = &self.key_file {
            self.peers.replace_keys(read_keys(path)?);
        }
        Ok(())
    }

    /// Publishes a fact to all members; `age` is the time since it was established. An empty value withdraws
    /// the fact. Returns `false` if there is no room for it.
    pub fn publish(&mut self, key: &[u8], value: &[u8], age: Duration) -> bool {
        let age = Micros(age.as_micros().min(i64::MAX as u128) as i64);
        self.peers.publish(time_since_boot(), key, value, age)
    }

    /// The facts published by all members, except those older than the bound on their age.
    pub fn facts(&self) -> impl Iterator<Item = garnettally_peers::Fact<'_>> {
        self.peers.facts(time_since_boot())
    }

    /// A counter that increases with each fact that is stored or updated here.
    pub fn facts_version(&self) -> u64 {
        self.peers.facts_version()
    }

    /// The number of facts stored here.
    pub fn fact_count(&self) -> usize {
        self.peers.fact_count()
    }

    /// The identity of this member.
    pub fn own_identity(&self) -> &Identity {
        self.peers.own_identity()
    }

    /// The other members and their states. Dead members are included until they are forgotten.
    pub fn other_members(&self) -> impl Iterator<Item = (&Identity, MemberState)> {
        self.peers.other_members()
    }

    /// The number of members believed to be alive, this one included.
    pub fn alive_count(&self) -> u32 {
        self.peers.alive_count()
    }

    /// The assumed size of the fleet, in members; see [`Peers::fleet_size`].
    pub fn fleet_size(&self) -> u32 {
        self.peers.fleet_size(time_since_boot())
    }

    /// The protocol's counters since the start.
    pub fn counters(&self) -> Counters {
        self.peers.counters()
    }

    /// The datagrams that the link itself dropped since it was opened.
    pub fn dropped(&self) -> DropCounters {
        self.dropped
    }

    fn flush(&mut self, now: Micros) {
        while let Some(output) = self.peers.poll() {
            match output {
                Output::Event(event) => self.events.push(event),
                Output::Message(from, message) => self.messages.push((from, message)),
                Output::Send(to, data) => {
                    if !self.send_bucket.try_take(now, data.len() as u64) {
                        self.dropped.over_send_rate += 1;
                    } else if self.socket.send_to(&data, to).is_err() {
                        // Nobody listens at the address, or the kernel's buffer is full. The protocol
                        // tolerates lost datagrams, so the send is not retried.
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
    // The system may grant a smaller buffer: more datagrams are then lost, which the protocol tolerates.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
