//! Links between processes: a relay in front of each member loses, delays, duplicates and reorders datagrams,
//! and cuts links by direction.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The faults that all links have, and the links that are cut.
#[derive(Default)]
pub struct LinkFaults {
    /// The probability that a datagram is lost, from 0 to below 1.
    pub loss: f64,
    /// The probability that a datagram is delivered twice, from 0 to below 1.
    pub duplication: f64,
    /// The largest delay of a datagram; the delay of each is random, from 0 up to this.
    pub delay: Duration,
    /// Pairs of sending and receiving member between which no datagram passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Members of which all datagrams, in both directions, get another protocol version.
    pub other_version: BTreeSet<usize>,
}

/// The offset of the protocol version in a datagram (docs/design/fleet.md).
const VERSION_OFFSET: usize = 1;

/// A delayed datagram, the earliest first: its due time, its number, the receiving member and its bytes.
type DelayedDatagram = Reverse<(Instant, u64, usize, Vec<u8>)>;

struct Shared {
    faults: Mutex<LinkFaults>,
    delayed: Mutex<BinaryHeap<DelayedDatagram>>,
    wake_up: Condvar,
    stopping: AtomicBool,
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

/// The relays of a drill; their threads end when this value is dropped.
pub struct Relays {
    shared: Arc<Shared>,
    /// For each member, the relay's address at which its peers reach it.
    pub addresses: Vec<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
}

/// The largest number of delayed datagrams that wait at once; any beyond are dropped.
const MAX_DELAYED: usize = 100_000;

impl Relays {
    /// Starts a relay in front of each of these members' addresses.
    pub fn start(members: &[SocketAddr], seed: u64, faults: LinkFaults) -> io::Result<Relays> {
        let shared = Arc::new(Shared {
            faults: Mutex::new(faults),
            delayed: Mutex::default(),
            wake_up: Condvar::new(),
            stopping: AtomicBool::new(false),
            datagrams: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let (mut addresses, mut threads, mut sockets) = (Vec::new(), Vec::new(), Vec::new());
        for _ in members {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(50)))?;
            addresses.push(socket.local_addr()?);
            sockets.push(socket);
        }
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, shared, members) = (socket.try_clone()?, shared.clone(), members.to_vec());
            let rng = ChaCha8Rng::seed_from_u64(seed ^ to as u64);
            threads.push(thread::spawn(move || relay_datagrams(&socket, &shared, &members, to, rng)));
        }
        let (for_delivery, members) = (shared.clone(), members.to_vec());
        threads.push(thread::spawn(move || deliver_delayed(&for_delivery, &sockets, &members)));
        Ok(Relays { shared, addresses, threads })
    }

    /// Changes the faults of the links.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        if let Ok(mut faults) = self.shared.faults.lock() {
            change(&mut faults);
        }
    }

    /// The datagrams and the bytes that the relays have received so far.
    pub fn traffic(&self) -> (u64, u64) {
        (self.shared.datagrams.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.shared.wake_up.notify_all();
        self.threads.drain(..).for_each(|t| {
            let _ = t.join();
        });
    }
}

fn relay_datagrams(
    socket: &UdpSocket,
    shared: &Shared,
    members: &[SocketAddr],
    to: usize,
    mut rng: ChaCha8Rng,
) {
    let mut buffer = [0; 2048];
    let mut number = 0;
    while !shared.stopping.load(Ordering::SeqCst) {
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let Some(from) = members.iter().position(|m| *m == source) else { continue };
        shared.datagrams.fetch_add(1, Ordering::Relaxed);
        shared.bytes.fetch_add(length as u64, Ordering::Relaxed);
        let (copies, max_delay, changes_version) = {
            let Ok(faults) = shared.faults.lock() else { return };
            if faults.cut.contains(&(from, to)) || rng.random_bool(faults.loss) {
                continue;
            }
            let changes_version = faults.other_version.contains(&from) != faults.other_version.contains(&to);
            (1 + usize::from(rng.random_bool(faults.duplication)), faults.delay, changes_version)
        };
        if changes_version && length > VERSION_OFFSET {
            buffer[VERSION_OFFSET] = buffer[VERSION_OFFSET].wrapping_add(1);
        }
        for _ in 0..copies {
            if max_delay.is_zero() {
                let _ = socket.send_to(&buffer[..length], members[to]);
                continue;
            }
            let due = Instant::now() + max_delay.mul_f64(rng.random());
            number += 1;
            if let Ok(mut delayed) = shared.delayed.lock() {
                if delayed.len() < MAX_DELAYED {
                    delayed.push(Reverse((due, number, to, buffer[..length].to_vec())));
                }
            }
            shared.wake_up.notify_one();
        }
    }
}

/// Delivers each delayed datagram when it is due.
fn deliver_delayed(shared: &Shared, sockets: &[UdpSocket], members: &[SocketAddr]) {
    let Ok(mut delayed) = shared.delayed.lock() else { return };
    while !shared.stopping.load(Ordering::SeqCst) {
        let now = Instant::now();
        while delayed.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            if let Some(Reverse((_, _, to, data))) = delayed.pop() {
                let _ = sockets[to].send_to(&data, members[to]);
            }
        }
        let wait = delayed
            .peek()
            .map_or(Duration::from_millis(50), |Reverse((due, ..))| due.saturating_duration_since(now));
        match shared.wake_up.wait_timeout(delayed, wait.min(Duration::from_millis(50))) {
            Ok((relocked, _)) => delayed = relocked,
            Err(_) => return,
        }
    }
}
