//! Applies a new configuration on SIGHUP.
//!
//! On the platform, a changed address of discovery and new settings of classes and times take effect; limits
//! wait for the next start. An operator's file is one version: it is checked completely, its new listeners
//! are bound, and only then does anything change; a file that can't be used changes nothing. Requests that
//! were accepted end in the pools and by the rules that they were accepted under.

use crate::admission::ActiveConfig;
use crate::callers;
use crate::plan::{PoolPlan, ReloadSource};
use crate::pools::PoolId;
use crate::{Limits, Proxy};
use garnettally_config::file::{self, OperatorConfig};
use garnettally_config::platform::Config;
use garnettally_routing::budget::HolderId;
use slog::{error, info, warn};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Which configuration is read again, and the state of a reload that is under way.
pub struct ReloadState {
    /// The configuration that SIGHUP reads.
    source: ReloadSource,
    /// How many versions have been put in force, counted from the start.
    versions: u64,
    /// The platform's settings in force, as [`fingerprint`] returns them; `None` with an operator's file.
    pub platform_settings: Option<String>,
    /// After a change of the platform's settings: the old pool, the new one, and when the old one is retired
    /// at the latest. The old pool serves until the new one is ready.
    replacing: Option<(PoolId, PoolId, Instant)>,
    /// A reload that waits until its file no longer changes: when the file is checked next, and when the
    /// reload is given up.
    pending: Option<(Instant, Instant)>,
}

impl ReloadState {
    pub fn new(source: ReloadSource) -> ReloadState {
        ReloadState { source, versions: 0, pending: None, platform_settings: None, replacing: None }
    }

    /// When a waiting reload checks its file again.
    pub fn next_wake(&self) -> Option<Instant> {
        self.pending.map(|(check_at, _)| check_at)
    }
}

/// The platform's settings as one text, which shows whether a SIGHUP changed anything.
pub fn fingerprint(site: &garnettally_model::Site) -> String {
    format!("{:?} {:?}", site.settings, site.names.classes())
}

/// Distinguishes one state of a file from another: the time of its last change, and its length.
type Stamp = (SystemTime, u64);

/// The stamp of a file; `None` if it can't be read.
fn stamp(path: &str) -> Option<Stamp> {
    let m = std::fs::metadata(path).ok()?;
    Some((m.modified().ok()?, m.len()))
}

/// Whether the file may still be being written: it is empty, or it changed less than `settle_time` ago.
fn may_be_changing((modified, length): Stamp, settle_time: Duration) -> bool {
    // A file that has just been truncated is empty under its old time, for as long as the disk takes (70 ms
    // were observed). A time in the future says nothing about a writer.
    length == 0 || SystemTime::now().duration_since(modified).is_ok_and(|age| age < settle_time)
}

impl Proxy {
    /// Handles SIGHUP. Open connections and requests go on; a file that can't be used changes nothing.
    pub fn reload(&mut self, now: Instant) {
        match self.reload.source {
            ReloadSource::Platform(discovery) => self.reload_platform(discovery),
            ReloadSource::File(_) => {
                let give_up =
                    self.reload.pending.map_or(now + self.net.limits.reload_settle_timeout, |(_, at)| at);
                self.reload.pending = Some((now, give_up));
                self.continue_reload(now);
            }
        }
    }

    fn reload_platform(&mut self, previous_address: Option<SocketAddr>) {
        let config = match Config::from_environment() {
            Ok(config) => config,
            Err(e) => {
                self.stats.record_reload(false);
                return error!(self.net.log, "the new configuration is not used"; "error" => e);
            }
        };
        self.stats.record_reload(true);
        if !self.shutdown.has_begun() {
            self.net.limits.update_times(&Limits::from_platform(&config));
        }
        self.replace_platform_pool(&config);
        info!(
            self.net.log,
            "configuration read again; its settings are in force, its limits apply from the next start on"
        );
        // `GW_DISCOVERY` was set for the file as it was then: an address that has changed in the file is
        // newer, and overrides it.
        if let Some(address) =
            config.discovery_address_in_file.filter(|_| config.discovery_address_in_file != previous_address)
        {
            self.reload.source = ReloadSource::Platform(config.discovery_address_in_file);
            for pool in self.pools.ids() {
                self.change_discovery_address(pool, address);
            }
        }
    }

    /// Applies new settings on the platform. A new pool with its own instance of the module gets the new
    /// requests; the old pool ends its requests by the settings that they were accepted under (an open
    /// request keeps its class). The new pool takes over the watch with all that it has received: the list in
    /// the file may be old, and what discovery has reported binds this process. Until the new pool is ready,
    /// the old one serves the classes that it knows.
    fn replace_platform_pool(&mut self, config: &Config) {
        let new_settings = fingerprint(&config.site);
        if self.reload.platform_settings.as_ref() == Some(&new_settings) {
            return;
        }
        self.finish_replacement(true);
        let Some(old) = self.pools.iter().filter(|p| !p.is_retired).last() else { return };
        let (old, discovered) = (old.id, old.source.current_list());
        let now = Instant::now();
        let mut plan = crate::plan::Plan::platform_pool(config, &self.net.limits);
        plan.known_list = discovered.or(plan.known_list);
        config.site.names.classes().iter().for_each(|c| self.stats.register_class(c));
        self.reload.versions += 1;
        let seed = self.seed.rotate_left(7) ^ self.reload.versions;
        let new = self.add_pool(plan, seed, now);
        self.pools.hand_over_source(old, new, now);
        self.reload.platform_settings = Some(new_settings);
        self.reload.replacing = Some((old, new, now + self.net.limits.reload_settle_timeout));
        info!(self.net.log, "new settings are taken"; "classes" => config.site.settings.classes.len());
    }

    /// Retires the pool with the old settings once the new one is ready or its time is up; `immediately`
    /// retires it at once.
    pub fn finish_replacement(&mut self, immediately: bool) {
        let Some((old, new, by)) = self.reload.replacing else { return };
        let ready = self.pools.get(new).is_some_and(|p| p.was_ready);
        if ready || immediately || Instant::now() >= by {
            self.reload.replacing = None;
            self.retire_pool(old);
            self.pins.rebind(old, new);
            info!(self.net.log, "new settings are in force"; "ready" => ready);
        }
    }

    /// Reads the operator's file once it has stopped changing: it may still be being written, and half a file
    /// can look complete.
    pub fn continue_reload(&mut self, now: Instant) {
        let Some((_, give_up)) = self.reload.pending.filter(|(check_at, _)| *check_at <= now) else { return };
        let ReloadSource::File(path) = &self.reload.source else { return };
        let path = path.clone();
        let settle_time = self.net.limits.reload_settle_time;
        let before = stamp(&path);
        let loaded = match before {
            Some(stamp) if may_be_changing(stamp, settle_time) => None,
            _ => {
                // The text is used only if the file has not changed while it was read. It is checked after that:
                // where files are replaced in quick succession, the next one may come before the check ends.
                let text = file::read(&path);
                (stamp(&path) == before).then(|| text.and_then(|text| file::parse(&path, &text)))
            }
        };
        let Some(loaded) = loaded else {
            if now < give_up {
                self.reload.pending = Some((now + settle_time, give_up));
                return;
            }
            self.reload.pending = None;
            self.stats.record_reload(false);
            let what = match before {
                Some((_, 0)) => "the new version is refused: its file is empty",
                _ => "the new version is refused: its file does not stop changing",
            };
            return error!(self.net.log, "{}", what; "file" => path);
        };
        self.reload.pending = None;
        let refused = match loaded {
            Ok(operator) => self.apply(operator, now).err(),
            Err(problems) => Some(problems.to_string()),
        };
        self.stats.record_reload(refused.is_none());
        if let Some(problems) = refused {
            error!(self.net.log, "the new version is refused, and the one before it stays in force";
                "version" => self.reload.versions, "file" => path, "problems" => problems);
        }
    }

    /// Puts a checked version in force completely, or changes nothing and returns the reason.
    fn apply(&mut self, mut operator: OperatorConfig, now: Instant) -> Result<(), String> {
        // Steps that may fail come first.
        let mut bound: BTreeMap<String, TcpListener> = BTreeMap::new();
        let listening: Vec<_> = self
            .callers
            .open_listeners()
            .map(|(id, name, address)| (id, name.to_string(), address))
            .collect();
        for l in &operator.listeners {
            if !listening.iter().any(|(_, name, address)| *name == l.name && *address == l.address) {
                let socket = callers::bind(&self.net, l.address, true).map_err(|e| {
                    format!("listeners.{}.address: can't listen on {}: {e}", l.name, l.address)
                })?;
                bound.insert(l.name.clone(), socket);
            }
        }
        self.budgets.requests.resize(operator.max_requests);
        self.pins.set_capacity(operator.max_pinned_keys);
        self.log_requests = operator.logging.requests;
        let (mut added, mut kept, mut replaced) = (Vec::new(), 0, Vec::new());
        let mut ids = Vec::new();
        for pool in std::mem::take(&mut operator.pools) {
            let plan = PoolPlan::from(pool);
            let old = self.pools.active_pool(&plan.name);
            let keeps_instance =
                old.and_then(|id| self.pools.get(id)).is_some_and(|p| p.identity == plan.identity);
            match old {
                Some(id) if keeps_instance => {
                    self.update_pool(id, plan, now);
                    kept += 1;
                    ids.push(id);
                }
                _ => {
                    let names = if old.is_some() { &mut replaced } else { &mut added };
                    names.push(plan.name.clone());
                    let seed = self.seed;
                    let nodes = plan.nodes.clone();
                    let id = self.add_pool(plan, seed, now);
                    if let Some(old) = old {
                        // The same nodes still recognise and drop repeats of pinned keys, so these are bound
                        // to the new pool.
                        if self.pools.get(old).is_some_and(|p| p.nodes.as_ref() == Some(&nodes)) {
                            self.pins.rebind(old, id);
                        }
                        self.retire_pool(old);
                    }
                    ids.push(id);
                }
            }
        }
        let unnamed: Vec<PoolId> =
            self.pools.iter().filter(|p| !p.is_retired && !ids.contains(&p.id)).map(|p| p.id).collect();
        let removed: Vec<String> = unnamed.iter().map(|&id| self.pool_name(id).to_string()).collect();
        unnamed.into_iter().for_each(|id| self.retire_pool(id));
        let wanted: Vec<_> = operator.listeners.iter().map(|l| (l.name.clone(), l.address)).collect();
        for l in std::mem::take(&mut operator.listeners) {
            let old = listening.iter().find(|(_, name, address)| *name == l.name && *address == l.address);
            match (old, bound.remove(&l.name)) {
                (Some((id, ..)), _) => self.callers.set_shares(&self.budgets, *id, &l),
                (None, Some(socket)) => {
                    let (name, address) = (l.name.clone(), l.address);
                    match self.callers.add_listener(&self.net, &self.budgets, l, socket) {
                        Ok(()) => info!(self.net.log, "listening"; "listener" => name, "address" => %address),
                        Err(e) => {
                            error!(self.net.log, "a new listener can't be served";
                                "listener" => name, "error" => %e)
                        }
                    }
                }
                (None, None) => {}
            }
        }
        for (id, name, address) in &listening {
            if !wanted.contains(&(name.clone(), *address)) {
                info!(self.net.log, "the listener ends"; "listener" => name, "address" => %address);
                self.retire_listener(*id);
            }
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.reload(&self.net, operator.fleet.as_ref());
        } else if operator.fleet.is_some() {
            warn!(self.net.log, "[fleet] is new in the configuration; it applies from the next start on");
        }
        self.activate_version(operator, ids);
        info!(self.net.log, "the new version is in force"; "version" => self.reload.versions,
            "pools_added" => added.join(","), "pools_replaced" => replaced.join(","),
            "pools_removed" => removed.join(","), "pools_kept" => kept);
        Ok(())
    }

    /// Makes the routes of this version the ones that requests are matched by.
    pub fn activate_version(&mut self, operator: OperatorConfig, pools: Vec<PoolId>) {
        self.reload.versions += 1;
        // A route whose name stays keeps its holder, and with it the count of its requests in flight.
        let before = self.active_config.take();
        let mut previous_holders: BTreeMap<String, HolderId> = BTreeMap::new();
        for (name, holder) in before.iter().flat_map(|v| v.holders()) {
            previous_holders.insert(name.to_string(), holder);
        }
        let requests = self.budgets.requests.clone();
        let version = ActiveConfig::new(operator, pools, |name, share| match previous_holders.remove(name) {
            Some(holder) => {
                requests.set_share(holder, share);
                holder
            }
            None => requests.add_holder(share),
        });
        previous_holders.into_values().for_each(|holder| self.budgets.requests.remove_holder(holder));
        self.active_config = Some(Rc::new(version));
    }
}
