//! Links between processes: a relay before each, that loses, delays, repeats, reorders and cuts, by direction.

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

/// What all links do, and which are cut.
#[derive(Default)]
pub struct Faults {
    pub loss: f64,
    pub twice: f64,
    pub delay: Duration,
    /// From whom to whom nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Whose datagrams bear another version, both ways.
    pub other_version: BTreeSet<usize>,
}

/// Where a datagram has its version (docs/design/fleet.md).
const VERSION_AT: usize = 1;

type Late = Reverse<(Instant, u64, usize, Vec<u8>)>;

struct Shared {
    faults: Mutex<Faults>,
    late: Mutex<BinaryHeap<Late>>,
    woken: Condvar,
    end: AtomicBool,
    passed: AtomicU64,
    bytes: AtomicU64,
}

/// The relays of a drill; they end with it.
pub struct Relays {
    shared: Arc<Shared>,
    /// Where peers reach each member.
    pub addresses: Vec<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
}

/// Datagrams that may be under way.
const LATE_MOST: usize = 100_000;

impl Relays {
    /// One before each of these addresses.
    pub fn start(members: &[SocketAddr], seed: u64, faults: Faults) -> io::Result<Relays> {
        let shared = Arc::new(Shared {
            faults: Mutex::new(faults),
            late: Mutex::default(),
            woken: Condvar::new(),
            end: AtomicBool::new(false),
            passed: AtomicU64::new(0),
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
            threads.push(thread::spawn(move || relay(&socket, &shared, &members, to, rng)));
        }
        let (waker, members) = (shared.clone(), members.to_vec());
        threads.push(thread::spawn(move || deliver(&waker, &sockets, &members)));
        Ok(Relays { shared, addresses, threads })
    }

    /// Changes what the links do.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        if let Ok(mut faults) = self.shared.faults.lock() {
            change(&mut faults);
        }
    }

    /// Datagrams and bytes that came to the relays so far.
    pub fn traffic(&self) -> (u64, u64) {
        (self.shared.passed.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::SeqCst);
        self.shared.woken.notify_all();
        self.threads.drain(..).for_each(|t| {
            let _ = t.join();
        });
    }
}

fn relay(socket: &UdpSocket, shared: &Shared, members: &[SocketAddr], to: usize, mut rng: ChaCha8Rng) {
    let mut buffer = [0; 2048];
    let mut count = 0;
    while !shared.end.load(Ordering::SeqCst) {
        let Ok((n, source)) = socket.recv_from(&mut buffer) else { continue };
        let Some(from) = members.iter().position(|m| *m == source) else { continue };
        shared.passed.fetch_add(1, Ordering::Relaxed);
        shared.bytes.fetch_add(n as u64, Ordering::Relaxed);
        let (copies, most, other) = {
            let Ok(f) = shared.faults.lock() else { return };
            if f.cut.contains(&(from, to)) || rng.random_bool(f.loss) {
                continue;
            }
            let other = f.other_version.contains(&from) != f.other_version.contains(&to);
            (1 + usize::from(rng.random_bool(f.twice)), f.delay, other)
        };
        if other && n > VERSION_AT {
            buffer[VERSION_AT] = buffer[VERSION_AT].wrapping_add(1);
        }
        for _ in 0..copies {
            if most.is_zero() {
                let _ = socket.send_to(&buffer[..n], members[to]);
                continue;
            }
            let at = Instant::now() + most.mul_f64(rng.random());
            count += 1;
            if let Ok(mut late) = shared.late.lock() {
                if late.len() < LATE_MOST {
                    late.push(Reverse((at, count, to, buffer[..n].to_vec())));
                }
            }
            shared.woken.notify_one();
        }
    }
}

/// Delivers what was delayed, each in its time.
fn deliver(shared: &Shared, sockets: &[UdpSocket], members: &[SocketAddr]) {
    let Ok(mut late) = shared.late.lock() else { return };
    while !shared.end.load(Ordering::SeqCst) {
        let now = Instant::now();
        while late.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            if let Some(Reverse((_, _, to, data))) = late.pop() {
                let _ = sockets[to].send_to(&data, members[to]);
            }
        }
        let wait = late
            .peek()
            .map_or(Duration::from_millis(50), |Reverse((at, ..))| at.saturating_duration_since(now));
        match shared.woken.wait_timeout(late, wait.min(Duration::from_millis(50))) {
            Ok((held, _)) => late = held,
            Err(_) => return,
        }
    }
}
