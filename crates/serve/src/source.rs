//! Sources of a pool's nodes. A new kind of registry is added here.
//!
//! A source only queues whole lists or changes for its pool; when the module requests a watch, a source of
//! that kind starts one. A list that can't be read changes nothing: the one before it stays in force.

use crate::discovery::Discovery;
use crate::pools::PoolId;
use crate::Proxy;
use garnettally_config::file::{load_nodes, PoolNodes};
use garnettally_decisions::facade::Report;
use garnettally_model::{HostList, Listing};
use slog::{info, warn};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Instant, SystemTime};

/// Where the list of a pool's nodes comes from.
pub enum Source {
    /// The configuration itself, whose list is queued when the configuration is read.
    Static,
    /// A file that is checked for changes at intervals.
    File(NodesFile),
    /// A watch on the platform's discovery service.
    Watch(Discovery),
}

/// A file of nodes, and its metadata at earlier checks.
pub struct NodesFile {
    pub path: PathBuf,
    /// The stamp of the version that was read last, whether or not it was valid; `None` before the first.
    last_read: Option<Stamp>,
    /// The stamp at the last check; `None` if there was no file, or before the first check.
    last_seen: Option<Stamp>,
    /// When the file is checked next.
    next_check: Instant,
    /// Whether the file was missing at the last check, which has then been logged.
    is_missing: bool,
}

/// Metadata that distinguishes a file from its next version. A file that is overwritten in place within the
/// resolution of its time stamp and at the same length looks unchanged; one that is renamed into place does
/// not.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stamp {
    length: u64,
    modified: SystemTime,
    inode: u64,
}

impl Stamp {
    /// Reads the stamp of a file; `None` if the file or its time can't be read.
    fn read(path: &std::path::Path) -> Option<Stamp> {
        use std::os::unix::fs::MetadataExt;
        let meta = std::fs::metadata(path).ok()?;
        Some(Stamp { length: meta.len(), modified: meta.modified().ok()?, inode: meta.ino() })
    }
}

impl Source {
    /// The source that a configuration names, with its first list if the configuration contains it.
    pub fn new(nodes: &PoolNodes, now: Instant) -> (Source, Option<HostList>) {
        match nodes {
            PoolNodes::Static(hosts) => (Source::Static, Some(whole_list(hosts.clone()))),
            PoolNodes::File(path) => {
                let path = path.clone();
                let file =
                    NodesFile { path, last_read: None, last_seen: None, next_check: now, is_missing: false };
                (Source::File(file), None)
            }
            PoolNodes::Discovery(address) => (Source::Watch(Discovery::new(*address, None)), None),
        }
    }

    /// The whole list as received from discovery; `None` for other sources.
    pub fn current_list(&self) -> Option<HostList> {
        match self {
            Source::Watch(discovery) => Some(discovery.current_list()),
            _ => None,
        }
    }

    /// The present state of the watch, as a report for a module that takes it over.
    pub fn watch_report(&self, now: Instant) -> Option<Report> {
        match self {
            Source::Watch(discovery) => discovery.watch_report(now),
            _ => None,
        }
    }

    /// When the source has work that no event triggers.
    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            Source::Static => None,
            Source::File(file) => Some(file.next_check),
            Source::Watch(discovery) => discovery.deadline(),
        }
    }
}

/// A whole list of these hosts, without a version.
pub fn whole_list(hosts: Vec<(Listing, Option<SocketAddr>)>) -> HostList {
    HostList { seq: 0, whole: true, hosts }
}

impl Proxy {
    /// Performs the work of all pools' sources that is due.
    pub fn run_due_sources(&mut self, now: Instant) {
        let due = |s: &Source| s.next_wake().is_some_and(|at| at <= now);
        let pools: Vec<PoolId> = self.pools.iter().filter(|p| due(&p.source)).map(|p| p.id).collect();
        for pool in pools {
            match self.pools.get(pool).map(|p| &p.source) {
                Some(Source::Watch(_)) => self.expire_watch(pool, now),
                Some(Source::File(_)) => self.check_nodes_file(pool, now),
                _ => {}
            }
        }
    }

    /// Reads a pool's file of nodes if it has changed, and then stayed the same from one check to the next.
    fn check_nodes_file(&mut self, pool: PoolId, now: Instant) {
        let poll = self.net.limits.nodes_poll_interval;
        let log = self.net.log.clone();
        let Some(p) = self.pools.get_mut(pool) else { return };
        let name = p.name.clone();
        let Source::File(file) = &mut p.source else { return };
        // At the start there is no list that a file read too early could replace.
        let is_first_check = file.last_read.is_none() && file.last_seen.is_none();
        file.next_check = now + poll;
        let stamp = Stamp::read(&file.path);
        let is_settled = stamp == file.last_seen || is_first_check;
        file.last_seen = stamp;
        if stamp.is_none() {
            if !std::mem::replace(&mut file.is_missing, true) {
                warn!(log, "the file of nodes is not there: the list before it stays"; "pool" => &name,
                    "file" => %file.path.display());
            }
            return;
        }
        file.is_missing = false;
        if !is_settled || stamp == file.last_read {
            return;
        }
        file.last_read = stamp;
        match load_nodes(&file.path.to_string_lossy()) {
            Ok(hosts) => {
                info!(log, "nodes read"; "pool" => &name, "nodes" => hosts.len());
                p.queue_report(Report::List(whole_list(hosts)), now);
            }
            Err(problems) => {
                warn!(log, "the file of nodes is refused: the list before it stays"; "pool" => &name,
                    "problems" => %problems);
            }
        }
    }
}
