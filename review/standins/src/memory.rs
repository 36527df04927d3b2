//! Clients that send hundreds of requests at once, each with a body of the greatest length that is allowed, and
//! more as soon as they are turned away. The balancer has to stay within its limit on memory: over it, the
//! platform kills the balancer.

use crate::scene::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The least of "32 to 192 MB". `MEMORY_MB` in the environment gives it another amount.
const USUAL_MEMORY_MB: u64 = 32;
/// Within "256 to 1,024".
const SOCKETS: u32 = 1024;
/// The connections of the clients that send at once. With those of the usual clients they are less than a
/// third of the descriptors.
const CROWD: usize = 316;
/// How many requests each of them sends at once: one, as clients send one at a time on a connection. `AT_ONCE`
/// in the environment sets another number.
const AT_ONCE: usize = 1;
/// The longest body that is allowed.
const LONGEST_BODY: usize = 64 << 10;
/// How long the crowd goes on.
const CROWD_TIME: Duration = Duration::from_secs(10);
/// The usual clients; together they send about 60 requests a second.
const USUAL_CLIENTS: usize = 24;
/// The length of a usual body, as in the example of the protocol page.
const USUAL_BODY: usize = 212;
const NODES: usize = 10;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    unanswered: AtomicUsize,
}

impl Counts {
    fn add(&self, answer: Option<&Message>) {
        let counter = match answer.map(Message::status) {
            Some(200) => &self.served,
            Some(429 | 503) => &self.refused,
            Some(_) => &self.failed,
            None => &self.unanswered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn text(&self) -> String {
        let get = |c: &AtomicUsize| c.load(Ordering::Relaxed);
        format!(
            "{} sent, {} served, {} refused, {} failed, {} without an answer",
            get(&self.sent),
            get(&self.served),
            get(&self.refused),
            get(&self.failed),
            get(&self.unanswered)
        )
    }
}

/// What the process holds: all of it, and the part of it that is no file, in kB.
fn memory_of(pid: u32) -> Option<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    Some((value("VmRSS")?, value("RssAnon")? + value("RssShmem")?))
}

/// One client: it sends `at_once` requests in one write, waits for their answers, and goes on until `stop`.
/// `next` makes a request; `pause` is the time between the answers and the next write, which is left out after
/// a request was turned away.
struct Sender {
    address: SocketAddr,
    record: Record,
    counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    at_once: usize,
    pause: Duration,
}

impl Sender {
    fn run(&self, mut next: impl FnMut() -> (String, Vec<u8>)) {
        let (mut connection, mut turned_away) = (None, false);
        while !self.stop.load(Ordering::Relaxed) {
            if !turned_away {
                thread::sleep(self.pause);
            }
            let Some(mut client) = connection.take().or_else(|| Client::connect(self.address).ok()) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let requests: Vec<_> = (0..self.at_once).map(|_| next()).collect();
            let bytes: Vec<u8> = requests.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
            for (id, bytes) in &requests {
                self.counts.sent.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("sent {id}, {} bytes", bytes.len()));
            }
            let mut ends = client.send(&bytes).is_err();
            turned_away = false;
            for (id, _) in &requests {
                let answer = if ends { None } else { client.answer() };
                self.counts.add(answer.as_ref());
                let status = answer.as_ref().map_or(0, Message::status);
                self.record.line(&format!("answered {id}: {status}"));
                turned_away |= matches!(status, 429 | 503);
                ends = answer.as_ref().is_none_or(|a| a.header("connection") == Some("close"));
            }
            connection = Some(client).filter(|_| !ends);
        }
    }
}

pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let given = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let memory_mb = given("MEMORY_MB").unwrap_or(USUAL_MEMORY_MB);
    let at_once = given("AT_ONCE").map_or(AT_ONCE, |n| n as usize);
    let upstreams = (0..NODES)
        .map(|i| Upstream::start(format!("s-{i:02}"), record, |r| service_time(r.class())))
        .collect::<Result<Vec<_>, _>>()?;
    let list = whole_list(&upstreams, 5);
    let discovery = start_discovery(list.clone())?;
    let limits = (memory_mb, SOCKETS);
    let balancer = Balancer::start(root, record, limits, discovery, &list, &settings(2))?;
    memory_of(balancer.pid).ok_or(Failure::new("the memory of the process can't be read"))?;
    let stop = Arc::new(AtomicBool::new(false));
    let (usual, crowd) = (Arc::new(Counts::default()), Arc::new(Counts::default()));
    let mut threads = Vec::new();
    let sender = |counts: &Arc<Counts>, at_once: usize, pause: u64| Sender {
        address: balancer.address,
        record: record.clone(),
        counts: counts.clone(),
        stop: stop.clone(),
        at_once,
        pause: Duration::from_millis(pause),
    };
    for n in 0..USUAL_CLIENTS {
        let sender = sender(&usual, 1, 40);
        threads.push(spawn(move || {
            const CLASSES: [(&str, f64); 4] =
                [("part-lookup", 1.2), ("unit-history", 2.4), ("order-create", 4.8), ("rental-book", 4.8)];
            const TENANTS: [&str; 4] = ["abay-core", "awash-air", "tana-pneumatic", "rift-compressor"];
            let mut turn = n;
            sender.run(|| {
                turn += 1;
                let (class, deadline) = CLASSES[turn % 4];
                request(class, TENANTS[turn / 4 % 4], deadline, USUAL_BODY)
            });
        }));
    }
    // The usual load alone, then the crowd.
    let mut peak = (0, 0);
    let mut over = None;
    let begin = Instant::now() + Duration::from_secs(3);
    let end = begin + CROWD_TIME;
    let mut crowd_came = false;
    while Instant::now() < end {
        if with_trouble && !crowd_came && Instant::now() >= begin {
            crowd_came = true;
            record.line(&format!("memory under the usual load: {} kB, {} kB without files", peak.0, peak.1));
            for _ in 0..CROWD {
                let sender = sender(&crowd, at_once, 20);
                threads.push(spawn(move || {
                    sender.run(|| request("rental-book", "abay-core", 4.8, LONGEST_BODY));
                }));
            }
        }
        let Some((all, without_files)) = memory_of(balancer.pid) else {
            return Ok(Verdict::Broken("the balancer's process has ended by itself".into()));
        };
        if all > peak.0 + 1024 || without_files > peak.1 + 1024 {
            record.line(&format!("memory: {all} kB, {without_files} kB without files"));
        }
        peak = (peak.0.max(all), peak.1.max(without_files));
        // Files count as memory on the platform; this check leaves them out, and so is the milder one.
        if without_files > memory_mb << 10 {
            over = Some((all, without_files));
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("memory at the peak: {} kB, {} kB without files", peak.0, peak.1));
    if let Some((all, without_files)) = over {
        record.line("over the limit: the platform kills the balancer");
        balancer.kill();
        stop.store(true, Ordering::Relaxed);
        threads.into_iter().for_each(|t| drop(t.join()));
        record.line(&format!("usual clients: {}", usual.text()));
        record.line(&format!("crowd: {}", crowd.text()));
        return Ok(Verdict::Broken(format!(
            "the balancer held {all} kB, {without_files} kB without files, with a limit of {} kB, and was killed; \
             usual clients: {}",
            memory_mb << 10,
            usual.text()
        )));
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));
    record.line(&format!("usual clients: {}", usual.text()));
    record.line(&format!("crowd: {}", crowd.text()));
    Ok(Verdict::Held(format!(
        "at most {} kB, {} kB without files, with a limit of {} kB; usual clients: {}",
        peak.0,
        peak.1,
        memory_mb << 10,
        usual.text()
    )))
}
