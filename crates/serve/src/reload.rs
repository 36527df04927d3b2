//! A new configuration, on SIGHUP.
//!
//! On the platform, discovery is followed to where the file now says it answers, and what else the file says holds
//! from the next start on. An operator's file is one version: it is checked whole, its new listeners are bound, and
//! only then does anything change; a file that can't be used changes nothing. Requests that were taken end in the
//! pools and by the rules that they were taken under.

use crate::admission::ActiveConfig;
use crate::callers;
use crate::plan::{PoolPlan, Reload};
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

/// What is read again, and what the last version was.
pub struct Reloads {
    from: Reload,
    versions: u64,
    /// The platform's settings in force, as [`fingerprint`] writes them.
    pub settings: Option<String>,
    /// Pools of the settings before and after a change, until the new one is ready, and when it is at the latest.
    retiring: Option<(PoolId, PoolId, Instant)>,
    /// A reload that waits for its file to rest, and when it is given up.
    waits: Option<(Instant, Instant)>,
}

impl Reloads {
    pub fn new(from: Reload) -> Reloads {
        Reloads { from, versions: 0, waits: None, settings: None, retiring: None }
    }

    /// When a waiting reload looks at its file again.
    pub fn next_wake(&self) -> Option<Instant> {
        self.waits.map(|(look, _)| look)
    }
}

/// The platform's settings as one text, to tell a change from a SIGHUP that changes nothing.
pub fn fingerprint(site: &garnettally_model::Site) -> String {
    format!("{:?} {:?}", site.settings, site.names.classes())
}

/// What tells one state of a file from another: when it was written, and its length.
type Stamp = (SystemTime, u64);

/// `None`: it can't be told.
fn stamp(path: &str) -> Option<Stamp> {
    let m = std::fs::metadata(path).ok()?;
    Some((m.modified().ok()?, m.len()))
}

/// Whether a writer may still be at work.
fn at_work((modified, length): Stamp, rest: Duration) -> bool {
    // While a file is cut to nothing it is empty under its old time: for as long as the disk takes (70 ms were seen).
    // A time ahead of the clock tells of no writer.
    length == 0 || SystemTime::now().duration_since(modified).is_ok_and(|age| age < rest)
}

impl Proxy {
    /// SIGHUP has come. Connections and requests go on as they are; with a file that can't be used, all does.
    pub fn reload(&mut self, now: Instant) {
        match self.reload.from {
            Reload::Platform(discovery) => self.reload_platform(discovery),
            Reload::File(_) => {
                let give_up =
                    self.reload.waits.map_or(now + self.net.limits.reload_settle_timeout, |(_, at)| at);
                self.reload.waits = Some((now, give_up));
                self.continue_reload(now);
            }
        }
    }

    fn reload_platform(&mut self, before: Option<SocketAddr>) {
        let config = match Config::from_environment() {
            Ok(config) => config,
            Err(e) => {
                self.stats.record_reload(false);
                return error!(self.net.log, "the new configuration is not used"; "error" => e);
            }
        };
        self.stats.record_reload(true);
        if !self.shutdown.ending() {
            self.net.limits.update_times(&Limits::from_platform(&config));
        }
        self.retune_platform(&config);
        info!(self.net.log, "configuration read again; its settings are in force, limits wait for a restart");
        // `GW_DISCOVERY` was given for the file of that time: a change in the file is the later word.
        if let Some(address) =
            config.discovery_address_in_file.filter(|_| config.discovery_address_in_file != before)
        {
            self.reload.from = Reload::Platform(config.discovery_address_in_file);
            for pool in self.pools.ids() {
                self.follow_discovery(pool, address);
            }
        }
    }

    /// New settings on the platform: a new pool with its own instance of the module takes new requests, and the one
    /// before ends what it has taken by the settings that it was taken under (an open request keeps its class). The new
    /// one takes the watch over with all that it has told: the file's list may be old, and what has been told binds.
    /// Until it is ready, the old one serves the classes that it knows.
    fn retune_platform(&mut self, config: &Config) {
        let print = fingerprint(&config.site);
        if self.reload.settings.as_ref() == Some(&print) {
            return;
        }
        self.finish_retune(true);
        let Some(old) = self.pools.iter().filter(|p| !p.leaving).last() else { return };
        let (old, held) = (old.id, old.source.held());
        let now = Instant::now();
        let mut plan = crate::plan::Plan::platform_pool(config, &self.net.limits);
        plan.known = held.or(plan.known);
        config.site.names.classes().iter().for_each(|c| self.stats.register_class(c));
        self.reload.versions += 1;
        let seed = self.seed.rotate_left(7) ^ self.reload.versions;
        let new = self.add_pool(plan, seed, now);
        self.pools.hand_over_source(old, new, now);
        self.reload.settings = Some(print);
        self.reload.retiring = Some((old, new, now + self.net.limits.reload_settle_timeout));
        info!(self.net.log, "new settings are taken"; "classes" => config.site.settings.classes.len());
    }

    /// Leaves the pool of the settings before, once the new one is ready or has had its time.
    pub fn finish_retune(&mut self, now_anyway: bool) {
        let Some((old, new, by)) = self.reload.retiring else { return };
        let ready = self.pools.get(new).is_some_and(|p| p.ready);
        if ready || now_anyway || Instant::now() >= by {
            self.reload.retiring = None;
            self.leave_pool(old);
            self.pins.rebind(old, new);
            info!(self.net.log, "new settings are in force"; "ready" => ready);
        }
    }

    /// Reads the operator's file once it has rested: a writer may still be at work, and half a file can look whole.
    pub fn continue_reload(&mut self, now: Instant) {
        let Some((_, give_up)) = self.reload.waits.filter(|(look, _)| *look <= now) else { return };
        let Reload::File(path) = &self.reload.from else { return };
        let path = path.clone();
        let rest = self.net.limits.reload_settle_time;
        let before = stamp(&path);
        let loaded = match before {
            Some(stamp) if at_work(stamp, rest) => None,
            // What was read counts only if the file is still what it was.
            _ => Some(file::load(&path)).filter(|_| stamp(&path) == before),
        };
        let Some(loaded) = loaded else {
            if now < give_up {
                self.reload.waits = Some((now + rest, give_up));
                return;
            }
            self.reload.waits = None;
            self.stats.record_reload(false);
            let what = match before {
                Some((_, 0)) => "the new version is refused: its file is empty",
                _ => "the new version is refused: its file does not stop changing",
            };
            return error!(self.net.log, "{}", what; "file" => path);
        };
        self.reload.waits = None;
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

    /// Puts a checked version in force, whole; or changes nothing and says why.
    fn apply(&mut self, mut operator: OperatorConfig, now: Instant) -> Result<(), String> {
        // What may fail comes first.
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
            let old = self.pools.named(&plan.name);
            let same = old.and_then(|id| self.pools.get(id)).is_some_and(|p| p.basis == plan.basis);
            match old {
                Some(id) if same => {
                    self.change_pool(id, plan, now);
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
                        // The same nodes still drop the repeats of open keys: they go to the successor.
                        if self.pools.get(old).is_some_and(|p| p.nodes.as_ref() == Some(&nodes)) {
                            self.pins.rebind(old, id);
                        }
                        self.leave_pool(old);
                    }
                    ids.push(id);
                }
            }
        }
        let gone: Vec<PoolId> =
            self.pools.iter().filter(|p| !p.leaving && !ids.contains(&p.id)).map(|p| p.id).collect();
        let removed: Vec<String> = gone.iter().map(|&id| self.pool_name(id).to_string()).collect();
        gone.into_iter().for_each(|id| self.leave_pool(id));
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
                            error!(self.net.log, "a new listener can't be served"; "listener" => name, "error" => %e)
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
            warn!(self.net.log, "[fleet] is new; that holds from the next start on");
        }
        self.put_in_force(operator, ids);
        info!(self.net.log, "the new version is in force"; "version" => self.reload.versions,
            "pools_added" => added.join(","), "pools_replaced" => replaced.join(","),
            "pools_removed" => removed.join(","), "pools_kept" => kept);
        Ok(())
    }

    /// Makes the routes of a version those that requests are matched by.
    pub fn put_in_force(&mut self, operator: OperatorConfig, pools: Vec<PoolId>) {
        self.reload.versions += 1;
        // A route that stays, by its name, goes on in what it is counted in.
        let before = self.active_config.take();
        let mut held: BTreeMap<String, HolderId> = BTreeMap::new();
        for (name, holder) in before.iter().flat_map(|v| v.holders()) {
            held.insert(name.to_string(), holder);
        }
        let requests = self.budgets.requests.clone();
        let version = ActiveConfig::new(operator, pools, |name, share| match held.remove(name) {
            Some(holder) => {
                requests.change(holder, share);
                holder
            }
            None => requests.join(share),
        });
        held.into_values().for_each(|holder| self.budgets.requests.leave(holder));
        self.active_config = Some(Rc::new(version));
    }
}
