//! The fleet link in I/O: one UDP socket, the key file, and bounds on what comes and goes (docs/design/fleet.md).
//!
//! [`Link`] drives `garnettally_peers` from an event loop that belongs to somebody else: the loop watches
//! [`Link::socket`], calls [`Link::readable`] and, at [`Link::next_wake`], [`Link::turn`]. No call blocks, and none
//! works on more than a bounded part of what lies there, so that requests are never kept waiting.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bucket;

use bucket::Bucket;
use garnettally_model::Micros;
use garnettally_peers::{
    Counts, Event, Identity, Input, Keys, Output, Peers, Settings, State, DATAGRAM_MOST,
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
    pub bind: SocketAddr,
    /// The keys; without them only loopback addresses are taken.
    pub key_file: Option<PathBuf>,
    /// Bytes a second that are sent at the most.
    pub send_bytes: u64,
    /// Datagrams a second that are looked at at the most; the rest is dropped unread.
    pub receive_datagrams: u64,
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
        source: garnettally_peers::KeyError,
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

/// Datagrams that one call of [`Link::readable`] takes: some hundred microseconds of work.
const READ_AT_ONCE: usize = 32;
/// Bytes that are read of a key file: it holds eight keys at the most, and comments.
const KEY_FILE_MOST: u64 = 64 << 10;
/// Bytes that the kernel may hold for us while the loop is busy.
const SOCKET_BUFFER: usize = 1 << 20;

/// What the link itself dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Datagrams that came beyond the rate.
    pub received: u64,
    /// Datagrams that were to go beyond the rate.
    pub unsent: u64,
    /// Datagrams that the system did not take.
    pub failed: u64,
}

/// A member of the fleet on its socket.
pub struct Link {
    socket: Rc<UdpSocket>,
    peers: Peers,
    key_file: Option<PathBuf>,
    out: Bucket,
    inward: Bucket,
    dropped: Dropped,
    events: Vec<Event>,
    letters: Vec<(u64, Vec<u8>)>,
    buffer: Vec<u8>,
}

/// The time since the machine started, by which all of the fleet's times are measured. It goes on while the machine sleeps and while the process is stopped: what was
/// known before is as old afterwards as it really is.
pub fn boot_time() -> Micros {
    let t = clock_gettime(ClockId::Boottime);
    Micros(t.tv_sec.saturating_mul(1_000_000).saturating_add(t.tv_nsec / 1_000))
}

fn read_keys(path: &PathBuf) -> Result<Keys, LinkError> {
    let mut text = String::new();
    let read = std::fs::File::open(path).and_then(|f| f.take(KEY_FILE_MOST).read_to_string(&mut text));
    read.map_err(|source| LinkError::KeyFile { path: path.clone(), source })?;
    Keys::parse(&text).map_err(|source| LinkError::Keys { path: path.clone(), source })
}

impl Link {
    /// Reads the keys and takes the address.
    pub fn open(mut set: LinkSettings) -> Result<Link, LinkError> {
        let keys = set.key_file.as_ref().map(read_keys).transpose()?;
        let failed = |source| LinkError::Bind { address: set.bind, source };
        let socket = bind(set.bind).map_err(failed)?;
        if set.member.address.port() == 0 {
            set.member.address.set_port(socket.local_addr().map_err(failed)?.port());
        }
        let mut seed = [0; 32];
        SysRng.try_fill_bytes(&mut seed).map_err(|e| LinkError::Random(e.to_string()))?;
        let now = boot_time();
        // A second's worth may go at once: a start, or a zone that goes, is a burst.
        let out = Bucket::new(set.send_bytes, set.send_bytes.max(4 * DATAGRAM_MOST as u64), now);
        let inward = Bucket::new(set.receive_datagrams, set.receive_datagrams.max(64), now);
        Ok(Link {
            socket: Rc::new(socket),
            peers: Peers::new(set.member, keys, seed, now),
            key_file: set.key_file,
            out,
            inward,
            dropped: Dropped::default(),
            events: Vec::new(),
            letters: Vec::new(),
            buffer: vec![0; DATAGRAM_MOST + 1],
        })
    }

    /// The socket, for the event loop to watch for reading, by level.
    pub fn socket(&self) -> Rc<UdpSocket> {
        self.socket.clone()
    }

    /// Takes some of what has come.
    pub fn readable(&mut self) {
        let now = boot_time();
        for _ in 0..READ_AT_ONCE {
            let n = match self.socket.recv_from(&mut self.buffer) {
                Ok((n, _)) => n,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                // A peer that is gone may show as an error here; the next call reads on.
                Err(_) => break,
            };
            if self.inward.take(now, 1) {
                // What is dropped is counted there.
                let _ = self.peers.handle(now, Input::Datagram(&self.buffer[..n]));
            } else {
                self.dropped.received += 1;
            }
        }
        self.flush(now);
    }

    /// Does what is due.
    pub fn turn(&mut self) {
        let now = boot_time();
        if self.peers.next_timeout() <= now {
            let _ = self.peers.handle(now, Input::Wake);
            self.flush(now);
        }
    }

    /// When [`Link::turn`] is due.
    pub fn next_wake(&self) -> Instant {
        let left = self.peers.next_timeout() - boot_time();
        Instant::now() + Duration::from_micros(left.0.max(0) as u64)
    }

    /// Tells peers that this process ends.
    pub fn leave(&mut self) {
        let now = boot_time();
        let _ = self.peers.handle(now, Input::Leave);
        self.flush(now);
    }

    /// What has happened since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Letters that have come since the last call, with the lives of who wrote them.
    pub fn take_letters(&mut self) -> Vec<(u64, Vec<u8>)> {
        std::mem::take(&mut self.letters)
    }

    /// Sends a letter to a member, by its life. `false`: no such member is known.
    pub fn send_letter(&mut self, life: u64, letter: &[u8]) -> bool {
        let sent = self.peers.send_letter(life, letter);
        self.flush(boot_time());
        sent
    }

    /// Reads the key file again; on an error the keys before stay in force.
    pub fn reread_keys(&mut self) -> Result<(), LinkError> {
        if let Some(path) = &self.key_file {
            self.peers.rekey(read_keys(path)?);
        }
        Ok(())
    }

    /// Tells all members something that is so old already; an empty value takes it back. `false`: there is no room.
    pub fn publish(&mut self, key: &[u8], value: &[u8], age: Duration) -> bool {
        let age = Micros(age.as_micros().min(i64::MAX as u128) as i64);
        self.peers.publish(boot_time(), key, value, age)
    }

    /// What all members say, none older than the bound.
    pub fn facts(&self) -> impl Iterator<Item = garnettally_peers::Fact<'_>> {
        self.peers.facts(boot_time())
    }

    /// Grows with each fact that is new here.
    pub fn facts_version(&self) -> u64 {
        self.peers.facts_version()
    }

    /// How many facts are held.
    pub fn facts_held(&self) -> usize {
        self.peers.facts_held()
    }

    /// This member.
    pub fn me(&self) -> &Identity {
        self.peers.me()
    }

    /// The others, dead ones included for a time.
    pub fn others(&self) -> impl Iterator<Item = (&Identity, State)> {
        self.peers.others()
    }

    /// Members taken to be alive, this one included.
    pub fn alive(&self) -> u32 {
        self.peers.alive()
    }

    /// How large the fleet is taken to be.
    pub fn size(&self) -> u32 {
        self.peers.size(boot_time())
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.peers.counts()
    }

    /// What the link itself dropped.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    fn flush(&mut self, now: Micros) {
        while let Some(output) = self.peers.poll() {
            match output {
                Output::Event(e) => self.events.push(e),
                Output::Letter(from, letter) => self.letters.push((from, letter)),
                Output::Send(to, data) => {
                    if !self.out.take(now, data.len() as u64) {
                        self.dropped.unsent += 1;
                    } else if self.socket.send_to(&data, to).is_err() {
                        // Nobody there, or no room in the kernel: links lose datagrams, and nothing here waits.
                        self.dropped.failed += 1;
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
