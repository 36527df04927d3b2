//! Clients that send much at once and go. No attempt may begin more than 0.1 s after its client has closed the
//! connection, though some answers are spoilt and have to be asked for again.

use crate::scene::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What such a client tries to send at most, behind its first request.
const MUCH: usize = 8 << 20;
/// It goes this long after its first byte, whether or not all has left its machine by then.
const GOES_AFTER: Duration = Duration::from_millis(60);
/// The clients come one after another at this pace.
const CLIENTS: usize = 160;
const PAUSE: Duration = Duration::from_millis(100);
const CLASS: &str = "order-create";
/// The last moment, after the close, at which an attempt may begin: 0.1 s, and the 50 ms by which every time
/// limit on sockets is longer.
const LATEST: f64 = 0.15;
/// The share of spoilt answers, in a hundred.
const SPOILT_OF_HUNDRED: u64 = 6;
/// Usual clients; together they send some 60 requests a second.
const USUAL_CLIENTS: usize = 14;
const NODES: usize = 10;

/// A fixed sequence of numbers that look random.
fn drawn(n: u64) -> u64 {
    let mut x = n.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(0x1234_5678);
    x ^= x >> 29;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ x >> 32
}

pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let answers = Arc::new(AtomicU64::new(0));
    let mut upstreams = Vec::new();
    for i in 0..NODES {
        let (answers, record_of_node) = (answers.clone(), record.clone());
        upstreams.push(Upstream::start_with(format!("s-{i:02}"), record, move |request, stream| {
            thread::sleep(service_time(request.class()));
            let id = request.id();
            if drawn(answers.fetch_add(1, Ordering::Relaxed)) % 100 < SPOILT_OF_HUNDRED {
                record_of_node.line(&format!("spoilt answer to {id}"));
                let _ = stream.write_all(b"\x16\x03\x01 this can't be read\r\n\r\n");
                return true; // the connection stays open and is of no further use
            }
            let body = format!("the answer to {id}");
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
        })?);
    }
    let list = whole_list(&upstreams, 5);
    let discovery = start_discovery(list.clone())?;
    let balancer = Balancer::start(root, record, (48, 1024), discovery, &list, &settings(2))?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut usual = Vec::new();
    for _ in 0..USUAL_CLIENTS {
        let (record, stop, address) = (record.clone(), stop.clone(), balancer.address);
        usual.push(spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let (id, bytes) = request("part-lookup", "awash-air", 1.2, 0);
                record.line(&format!("sent {id} by a usual client"));
                let answer = Client::connect(address).ok().and_then(|mut client| {
                    client.send(&bytes).ok()?;
                    client.answer()
                });
                record.line(&format!("answered {id}: {}", answer.map_or(0, |a| a.status())));
                thread::sleep(Duration::from_millis(80));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let mut closed: BTreeMap<String, f64> = BTreeMap::new();
    for _ in 0..CLIENTS {
        let (id, mut bytes) = request(CLASS, "tana-pneumatic", 4.8, 212);
        let mut ids = vec![id.clone()];
        while with_trouble && bytes.len() < MUCH {
            let (id, more) = request("part-lookup", "tana-pneumatic", 1.2, 0);
            bytes.extend(more);
            ids.push(id);
        }
        let client = Client::connect(balancer.address)?;
        let goes_at = Instant::now() + GOES_AFTER;
        let sent = client.send_until(&bytes, goes_at);
        thread::sleep(goes_at.saturating_duration_since(Instant::now()));
        drop(client);
        let now = record.now();
        record.line(&format!("sent {id} and more, {sent} bytes in all, and closed the connection"));
        closed.extend(ids.into_iter().map(|id| (id, now)));
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    usual.into_iter().for_each(|t| drop(t.join()));
    let mut late = Vec::new();
    for upstream in &upstreams {
        let arrivals = upstream.arrivals.lock().map(|a| a.clone()).unwrap_or_default();
        for arrival in arrivals {
            let Some(closed_at) = closed.get(&arrival.id) else { continue };
            let after = arrival.at - closed_at;
            if after > LATEST {
                late.push((after, format!("{} at {}", arrival.id, upstream.name)));
            }
        }
    }
    late.sort_by(|a, b| b.0.total_cmp(&a.0));
    late.iter()
        .for_each(|(after, what)| record.line(&format!("attempt {after:.3} s after the close: {what}")));
    Ok(match late.first() {
        None => Verdict::Held(format!("{CLIENTS} clients went, and no attempt began later than {LATEST} s after")),
        Some((worst, _)) => Verdict::Broken(format!(
            "{CLIENTS} clients went, and {} attempts began later than {LATEST} s after, the last {worst:.3} s after",
            late.len()
        )),
    })
}
