//! One scene: the program with its clients, and what was seen of its memory and of its usual clients.

use crate::clients::{Client, Counts, Kind};
use crate::support::{
    config_text, free_address, host_entry, host_list, Balancer, Client as Connection, Discovery,
};
use crate::upstream;
use std::collections::BTreeMap;
use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the files of the program and its libraries take of the limit. Files count as memory on the platform;
/// those of a debug build are larger, so that they are left out of the measured value.
const PROGRAM_FILES_KB: u64 = 8 << 10;
const UPSTREAMS: usize = 10;
const USUAL_CLIENTS: usize = 24;
/// How long the usual clients are alone at first.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Later than the version that the configuration holds.
const FIRST_TOLD_VERSION: u32 = 8;
/// How often a whole list is told.
const LIST_INTERVAL: Duration = Duration::from_millis(50);
/// How often the memory is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// After how many looks the process is asked what it uses its memory for.
const REPORT_TURNS: usize = 10;
/// After how many looks the process is sent SIGHUP, in scenes with reloads.
const RELOAD_TURNS: usize = 60;
/// The part of the usual clients' requests that has to be served while the others send.
const MIN_USUAL_SERVED: f64 = 0.5;

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    pub memory_mb: u64,
    /// How many clients there are of each kind, besides the usual ones.
    pub clients: Vec<(usize, Kind)>,
    /// How many hosts are listed that take no requests. With any, discovery tells whole lists over and over.
    pub idle_hosts: usize,
    /// Whether the process is sent SIGHUP several times a second.
    pub reloads: bool,
    pub duration: Duration,
    pub seed: u64,
}

/// What was seen.
pub struct Observed {
    scene: Scene,
    /// The most memory without files, in kB.
    peak_kb: u64,
    /// The same with files.
    peak_with_files_kb: u64,
    /// The most that the process reported for each use of its memory, in kB.
    peak_by_use_kb: BTreeMap<String, u64>,
    usual: Arc<Counts>,
    others: Arc<Counts>,
    has_ended: bool,
}

impl Observed {
    /// What broke the rule, in words; empty if it held.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.has_ended {
            faults.push("the process has ended".to_string());
        }
        let limit_kb = (self.scene.memory_mb << 10) - PROGRAM_FILES_KB;
        if self.peak_kb > limit_kb {
            faults.push(format!("{} kB without files, {limit_kb} kB are left for them", self.peak_kb));
        }
        for (who, counts) in [("usual", &self.usual), ("other", &self.others)] {
            let (unanswered, late) = (counts.unanswered(), counts.late());
            if unanswered + late > 0 {
                faults.push(format!("{who} requests: {unanswered} without an answer, {late} late"));
            }
        }
        if self.usual.served_share() < MIN_USUAL_SERVED {
            faults.push("too few usual requests were served".to_string());
        }
        faults
    }

    /// Panics if the rule was broken.
    pub fn assert_held(&self) {
        println!("{self}");
        assert!(self.faults().is_empty(), "{:?}", self.faults());
    }
}

impl fmt::Display for Observed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} MB, peak {} kB without files, {} kB with them, by use {:?}; usual: {}; others: {}; faults: {:?}; {:?}",
            self.scene.memory_mb,
            self.peak_kb,
            self.peak_with_files_kb,
            self.peak_by_use_kb,
            self.usual,
            self.others,
            self.faults(),
            self.scene.clients
        )
    }
}

/// The memory of a process without the content of files, and with it, in kB; `None` once the process has
/// ended.
fn memory_kb(pid: u32) -> Option<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    Some((value("RssAnon")? + value("RssShmem")?, value("VmRSS")?))
}

/// The memory that the process reports for each use on its admin address, in bytes.
fn reported_memory(admin: SocketAddr) -> Option<Vec<(String, u64)>> {
    let mut connection = Connection::connect(admin)?;
    connection.send("GET /stats HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut text = String::new();
    connection.stream.read_to_string(&mut text).ok()?;
    let entry = |line: &str| {
        let (name, value) = line.strip_prefix("edge_gw.memory_bytes.")?.split_once(':')?;
        Some((name.to_string(), value.trim_end_matches("|g").parse().ok()?))
    };
    Some(text.lines().filter_map(entry).collect())
}

/// Tells whole lists on each watch, every 50 ms, until `stop`.
fn tell_lists(discovery: Discovery, hosts: Vec<String>, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut watches = Vec::new();
        let mut version = FIRST_TOLD_VERSION;
        while !stop.load(Ordering::Relaxed) {
            watches.extend(discovery.watches.try_iter());
            let line = format!("{}\n", host_list(version, true, &hosts));
            watches.iter_mut().for_each(|(_, watch)| watch.write_chunk_if_open(&line));
            version += 1;
            thread::sleep(LIST_INTERVAL);
        }
    })
}

/// Scenes are played one at a time: side by side each would get too little of the processor.
static STAGE: Mutex<()> = Mutex::new(());

/// Plays a scene.
pub fn play(scene: &Scene) -> Observed {
    let _stage = STAGE.lock().unwrap_or_else(|e| e.into_inner());
    let names: Vec<String> = (0..UPSTREAMS).map(|n| format!("s{n}")).collect();
    let mut hosts: Vec<String> =
        names.iter().map(|name| host_entry(name, upstream::start(), 0, "SERVING")).collect();
    let idle = (0..scene.idle_hosts).map(|n| host_entry(&format!("idle-{n}"), free_address(), 0, "DRAINING"));
    hosts.extend(idle);
    let discovery = Discovery::start();
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &hosts)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", scene.memory_mb));
    let admin = free_address();
    let balancer = Balancer::start_with_config(address, &text, |command| {
        command.env("GW_ADMIN_ADDR", admin.to_string());
    });
    let (usual, others): (Arc<Counts>, Arc<Counts>) = Default::default();
    let stop = Arc::new(AtomicBool::new(false));
    let start = |kind: Kind, counts: &Arc<Counts>, number: usize| {
        let client = Client {
            address,
            kind,
            counts: counts.clone(),
            stop: stop.clone(),
            seed: scene.seed + number as u64,
        };
        thread::Builder::new().stack_size(256 << 10).spawn(move || client.run()).unwrap()
    };
    let mut threads: Vec<_> = (0..USUAL_CLIENTS).map(|n| start(Kind::Usual, &usual, n)).collect();
    if scene.idle_hosts > 0 {
        threads.push(tell_lists(discovery, hosts, stop.clone()));
    }
    let begin = Instant::now();
    let mut peak_by_use_kb = BTreeMap::new();
    let (mut peak_kb, mut peak_with_files_kb, mut has_ended, mut have_come, mut turn) =
        (0, 0, false, false, 0);
    while begin.elapsed() < QUIET_TIME + scene.duration {
        if !have_come && begin.elapsed() >= QUIET_TIME {
            have_come = true;
            let kinds = scene.clients.iter().flat_map(|&(count, kind)| std::iter::repeat_n(kind, count));
            threads.extend(kinds.enumerate().map(|(n, kind)| start(kind, &others, USUAL_CLIENTS + n)));
        }
        match memory_kb(balancer.child.id()) {
            Some((without_files, with_files)) => {
                peak_kb = peak_kb.max(without_files);
                peak_with_files_kb = peak_with_files_kb.max(with_files);
            }
            None => has_ended = true,
        }
        turn += 1;
        if turn % REPORT_TURNS == 0 {
            for (name, bytes) in reported_memory(admin).unwrap_or_default() {
                let peak = peak_by_use_kb.entry(name).or_insert(0);
                *peak = bytes.div_ceil(1024).max(*peak);
            }
        }
        if scene.reloads && turn % RELOAD_TURNS == 0 {
            balancer.signal("HUP");
        }
        thread::sleep(LOOK_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    Observed { scene: scene.clone(), peak_kb, peak_with_files_kb, peak_by_use_kb, usual, others, has_ended }
}
