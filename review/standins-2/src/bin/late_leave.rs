//! A member of a fleet is drained and taken back while its datagrams arrive late, and owns a duty then.

use review_standins_2::fleet::{self, Addresses, Watchers, NAMES, OTHER};
use review_standins_2::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 8;
/// How late the datagrams of the drained member are while its link is slow, and for a short time.
const SLOW_MS: u64 = 150;
const LATE_MS: u64 = 560;

/// Starts a relay in front of a member. Only the datagrams that `from` sends are delayed; none is lost,
/// repeated or changed.
fn start_relay(member: SocketAddr, from: SocketAddr, delay_ms: Arc<AtomicU64>) -> Result<SocketAddr, String> {
    let (socket, address) = fleet::udp_socket()?;
    socket.set_read_timeout(Some(Duration::from_millis(1))).map_err(|e| e.to_string())?;
    thread::spawn(move || {
        let (mut buffer, mut number) = ([0; 2048], 0u64);
        let mut waiting: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>> = BinaryHeap::new();
        loop {
            if let Ok((n, source)) = socket.recv_from(&mut buffer) {
                let late = if source == from { delay_ms.load(Ordering::SeqCst) } else { 0 };
                number += 1;
                let due = Instant::now() + Duration::from_millis(late);
                waiting.push(Reverse((due, number, buffer[..n].to_vec())));
            }
            while waiting.peek().is_some_and(|w| w.0 .0 <= Instant::now()) {
                if let Some(Reverse((_, _, bytes))) = waiting.pop() {
                    let _ = socket.send_to(&bytes, member);
                }
            }
        }
    });
    Ok(address)
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let delay_ms = Arc::new(AtomicU64::new(0));
        let mut links = Vec::new();
        for _ in NAMES {
            links.push(fleet::udp_socket()?);
        }
        let drained_link = links[OTHER].1;
        let mut all = Vec::new();
        for (_, link) in &links {
            let (listen, admin) = (free_address()?, free_address()?);
            let advertise = start_relay(*link, drained_link, delay_ms.clone())?;
            all.push(Addresses { listen, admin, link: *link, advertise });
        }
        drop(links);
        let members = fleet::start(case, &all, "1s")?;
        let watchers = Watchers::start(&record, &all);
        let (drained, name) = (all[OTHER].admin, NAMES[OTHER]);
        for round in 1..=ROUNDS {
            record.note(format!("round {round}"));
            if fleet::acting_epoch(drained)?.is_none() {
                fleet::put(&record, NAMES[0], all[0].admin, &format!("/duties/nightly-report/{name}"))?;
            }
            fleet::wait_until_acting(name, drained)?;
            let relay_is = |late: u64| {
                if case.trouble {
                    delay_ms.store(late, Ordering::SeqCst);
                    record.note(format!("relay: what {name} sends is {late} ms late"));
                }
            };
            relay_is(SLOW_MS);
            thread::sleep(Duration::from_millis(1000));
            fleet::wait_until_acting(name, drained)?;
            relay_is(LATE_MS);
            fleet::put(&record, name, drained, "/healthcheck/fail")?;
            thread::sleep(Duration::from_millis(150));
            relay_is(SLOW_MS);
            fleet::put(&record, name, drained, "/healthcheck/ok")?;
            thread::sleep(Duration::from_millis(2500));
            relay_is(0);
            thread::sleep(Duration::from_millis(1500));
        }
        let held = watchers.check();
        drop(members);
        held
    })
}
