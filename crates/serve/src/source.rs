//! Where the nodes of a pool are told: the seam that a registry joins at.
//!
//! A source hands whole lists or changes to its pool's queue, and nothing else; when the module wants a watch, it
//! starts one if it is of that kind. A list that can't be read changes nothing: the one before it stays in force.

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

/// A source of nodes.
pub enum Source {
    /// The configuration itself; what it says is told when it is read.
    Static,
    /// A file that is looked at again and again.
    File(NodesFile),
    /// The platform's discovery.
    Watch(Discovery),
}

/// A file of nodes, and what it looked like.
pub struct NodesFile {
    pub path: PathBuf,
    /// As it was when it was last read, well or not.
    read: Option<Stamp>,
    /// As it was at the last look.
    seen: Option<Stamp>,
    next_look: Instant,
    missing: bool,
}

/// What tells a file from its next version. A file that is replaced in place within the clock's grain, at the same
/// length, looks the same; one that is renamed into place does not.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stamp {
    length: u64,
    modified: SystemTime,
    inode: u64,
}

impl Stamp {
    fn of(path: &std::path::Path) -> Option<Stamp> {
        use std::os::unix::fs::MetadataExt;
        let meta = std::fs::metadata(path).ok()?;
        Some(Stamp { length: meta.len(), modified: meta.modified().ok()?, inode: meta.ino() })
    }
}

impl Source {
    /// The source that a configuration names, and the list that it tells by itself.
    pub fn new(nodes: &PoolNodes, now: Instant) -> (Source, Option<HostList>) {
        match nodes {
            PoolNodes::Static(hosts) => (Source::Static, Some(whole(hosts.clone()))),
            PoolNodes::File(path) => {
                let path = path.clone();
                let file = NodesFile { path, read: None, seen: None, next_look: now, missing: false };
                (Source::File(file), None)
            }
            PoolNodes::Discovery(address) => (Source::Watch(Discovery::new(*address, None)), None),
        }
    }

    /// The list as its watch holds it.
    pub fn held(&self) -> Option<HostList> {
        match self {
            Source::Watch(discovery) => Some(discovery.held()),
            _ => None,
        }
    }

    /// How its watch stands, for a module that takes it over.
    pub fn standing(&self, now: Instant) -> Option<Report> {
        match self {
            Source::Watch(discovery) => discovery.standing(now),
            _ => None,
        }
    }

    /// When it has something to do without being told.
    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            Source::Static => None,
            Source::File(file) => Some(file.next_look),
            Source::Watch(discovery) => discovery.deadline(),
        }
    }
}

/// The whole list of these.
pub fn whole(hosts: Vec<(Listing, Option<SocketAddr>)>) -> HostList {
    HostList { seq: 0, whole: true, hosts }
}

impl Proxy {
    /// Does what the sources of all pools have to do by now.
    pub fn tend_sources(&mut self, now: Instant) {
        let due = |s: &Source| s.next_wake().is_some_and(|at| at <= now);
        let pools: Vec<PoolId> = self.pools.iter().filter(|p| due(&p.source)).map(|p| p.id).collect();
        for pool in pools {
            match self.pools.get(pool).map(|p| &p.source) {
                Some(Source::Watch(_)) => self.expire_discovery(pool, now),
                Some(Source::File(_)) => self.look_at_nodes(pool, now),
                _ => {}
            }
        }
    }

    /// Reads a pool's file of nodes if it has changed and then rested.
    fn look_at_nodes(&mut self, pool: PoolId, now: Instant) {
        let poll = self.net.limits.nodes_poll_interval;
        let log = self.net.log.clone();
        let Some(p) = self.pools.get_mut(pool) else { return };
        let name = p.name.clone();
        let Source::File(file) = &mut p.source else { return };
        // At the start there is no list yet, and nothing to lose by reading at once.
        let first = file.read.is_none() && file.seen.is_none();
        file.next_look = now + poll;
        let stamp = Stamp::of(&file.path);
        let rested = stamp == file.seen || first;
        file.seen = stamp;
        if stamp.is_none() {
            if !std::mem::replace(&mut file.missing, true) {
                warn!(log, "the file of nodes is not there: the list before it stays"; "pool" => &name,
                    "file" => %file.path.display());
            }
            return;
        }
        file.missing = false;
        if !rested || stamp == file.read {
            return;
        }
        file.read = stamp;
        match load_nodes(&file.path.to_string_lossy()) {
            Ok(hosts) => {
                info!(log, "nodes read"; "pool" => &name, "nodes" => hosts.len());
                p.queue(Report::List(whole(hosts)), now);
            }
            Err(problems) => {
                warn!(log, "the file of nodes is refused: the list before it stays"; "pool" => &name,
                    "problems" => %problems);
            }
        }
    }
}
