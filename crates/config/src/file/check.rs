//! From the file as it is written to what the program uses: every check and every default.

use super::fleet::Fleet;
use super::format::{self, File, KeyScope, LogLevel, LogRequests, NodeState, Repeat, Time};
use super::problems::{nearest, Document, KeyPath};
use garnettally_model::*;
use garnettally_routing::budget::Share;
use garnettally_routing::failover::FailoverRules;
use garnettally_routing::pattern::{FieldTest, HostPattern, Matcher, PathPattern, ValueTest};
use garnettally_routing::route::{DeadlineRule, Mirror, PoolChoice, Route, ValueSource};
use garnettally_routing::split::Split;
use garnettally_routing::table::RouteTable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// One version of the operator's file, checked and with its defaults.
pub struct OperatorConfig {
    /// The name of this process.
    pub name: String,
    /// For random numbers, if the file says so.
    pub seed: Option<u64>,
    /// What is logged, and how.
    pub logging: Logging,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that it may use, in MiB.
    pub memory_mb: usize,
    /// Requests in flight.
    pub max_requests: usize,
    /// Keys whose windows are open.
    pub max_pinned_keys: usize,
    /// Where operators call.
    pub admin_address: Option<SocketAddr>,
    /// The link to the other balancers.
    pub fleet: Option<Fleet>,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// The names of the classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// What the module is told of them.
    pub class_settings: Vec<Class>,
    /// The names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The routes, each with its share of the requests in flight.
    pub routes: Vec<(Route, Share)>,
    /// Which request takes which route.
    pub table: RouteTable,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Logging {
    /// As JSON lines, else as text.
    pub json: bool,
    /// The least severe lines that are written.
    pub level: LogLevel,
    /// Which requests get a line.
    pub requests: LogRequests,
    /// Lines that may wait.
    pub queue_lines: usize,
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its share of the connections.
    pub connections: Share,
    /// Its share of the requests in flight.
    pub requests: Share,
    /// Its share of the memory for unfinished requests, in bytes.
    pub memory_bytes: Share,
}

/// Where the nodes of a pool are told.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolNodes {
    /// In the file itself.
    Static(Vec<(Listing, Option<SocketAddr>)>),
    /// In a file of their own.
    File(PathBuf),
    /// By the platform's discovery.
    Discovery(SocketAddr),
}

/// A pool.
#[derive(Clone)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// What its instance of the module is given.
    pub site: Site,
    /// What makes that instance what it is: a pool whose basis has changed is another pool.
    pub identity: PoolIdentity,
    /// Its nodes.
    pub nodes: PoolNodes,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// For how long a connection between requests is kept.
    pub idle_timeout: Duration,
    /// Its share of the requests in flight.
    pub requests: Share,
    /// Its share of the connections.
    pub connections: Share,
    /// Its share of the memory for unfinished answers, in bytes.
    pub memory_bytes: Share,
    /// When it is left in a failover list.
    pub failover: FailoverRules,
    /// How many share its nodes is not written: with a fleet it is the fleet's size.
    pub instances_from_fleet: bool,
}

/// What a pool's instance of the module is made from, as it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolIdentity {
    pool: format::Pool,
    classes: BTreeMap<String, format::Class>,
    tenants: BTreeMap<String, format::Tenant>,
}

/// The most routes, pools, listeners and nodes of one file.
const MOST_ROUTES: usize = 100_000;
const MOST_POOLS: usize = 10_000;
const MOST_LISTENERS: usize = 256;
const MOST_NODES: usize = 100_000;
/// The most connections that a shadow pool has for itself.
const MOST_SHADOW: usize = 1 << 20;
const LONGEST: Duration = Duration::from_secs(24 * 3600);

pub(super) struct Check<'d, 't> {
    doc: &'d mut Document<'t>,
}

impl<'d, 't> Check<'d, 't> {
    pub fn new(doc: &'d mut Document<'t>) -> Check<'d, 't> {
        Check { doc }
    }

    /// Notes a problem.
    pub fn note(&mut self, key: &KeyPath, what: &str, remedy: &str) {
        self.wrong(key, what, remedy);
    }

    fn wrong(&mut self, key: &KeyPath, what: impl Into<String>, remedy: impl Into<String>) {
        self.doc.wrong(key, what, remedy);
    }

    /// `None` means that a problem was noted.
    pub fn file(&mut self, f: &File) -> Option<OperatorConfig> {
        let top = KeyPath::default();
        if f.version != 1 {
            self.wrong(
                &top.key("version"),
                format!("version {} is not known", f.version),
                "this program reads 1",
            );
            return None;
        }
        let seed = f.seed.as_ref().map(|s| u64::from_str_radix(s, 16).ok().filter(|_| s.len() == 16));
        if seed == Some(None) {
            self.wrong(&top.key("seed"), "is not 16 hex digits", "write 16 of 0-9 and a-f, or leave it out");
        }
        let limits = top.key("limits");
        let l = &f.limits;
        let descriptors = self.whole(&limits.key("descriptors"), l.descriptors, 1024, 64, 1 << 24);
        let memory_mb = self.whole(&limits.key("memory_mb"), l.memory_mb, 192, 16, 1 << 24);
        let requests = self.whole(&limits.key("requests"), l.requests, 4096, 1, 1 << 24);
        let pins = self.whole(&limits.key("pins"), l.pins, 65_536, 1, 1 << 26);
        let queue = self.whole(&top.key("logging").key("queue"), f.logging.queue, 1024, 16, 1 << 20);
        for (key, n, least, most) in [
            ("listeners", f.listeners.len(), 1, MOST_LISTENERS),
            ("classes", f.classes.len(), 1, 1_000),
            ("pools", f.pools.len(), 1, MOST_POOLS),
            ("routes", f.routes.len(), 1, MOST_ROUTES),
            ("tenants", f.tenants.len(), 0, 100_000),
        ] {
            if n < least {
                self.wrong(&top.key(key), "is empty", format!("name {least} at the least"));
            }
            if n > most {
                self.wrong(&top.key(key), format!("holds {n}"), format!("{most} are the most"));
            }
        }
        let listeners = self.listeners(f);
        let admin = f.admin.as_ref().map(|a| self.address(&top.key("admin").key("address"), &a.address));
        if let Some(l) = listeners.iter().find(|l| Some(l.address) == admin && l.address.port() != 0) {
            let what = format!("listeners.{} has {}, too", l.name, l.address);
            self.wrong(&top.key("admin").key("address"), what, "give each its own");
        }
        let fleet = f.fleet.as_ref().map(|fleet| self.fleet(f, fleet));
        let (classes, facts) = self.classes(f);
        for (name, t) in &f.tenants {
            let key = top.key("tenants").key(name).key("quota");
            self.number(&key, t.quota, f64::INFINITY, 0.0, f64::INFINITY);
        }
        let tenants: Vec<String> = f.tenants.keys().cloned().collect();
        let pools = self.pools(f, &classes, &facts);
        let routes = self.routes(f, &facts);
        self.guarantees(f, descriptors, requests, memory_mb);
        if self.doc.failed() {
            return None;
        }
        let named = routes.iter().map(|(r, _)| (r.name.clone(), r.matcher.clone())).collect();
        let table = match RouteTable::new(named) {
            Ok(table) => table,
            Err(conflicts) => {
                for c in conflicts {
                    let remedy = "change its host, path, methods or tests, or take one of them out";
                    self.wrong(&top.key("routes").index(c.route_index()), c.to_string(), remedy);
                }
                return None;
            }
        };
        Some(OperatorConfig {
            name: f.name.clone().unwrap_or_else(|| "garnettally".into()),
            seed: seed.flatten(),
            logging: Logging {
                json: f.logging.format == format::LogFormat::Json,
                level: f.logging.level,
                requests: f.logging.requests,
                queue_lines: queue,
            },
            max_descriptors: descriptors,
            memory_mb,
            max_requests: requests,
            max_pinned_keys: pins,
            admin_address: admin,
            fleet,
            listeners,
            classes,
            class_settings: facts,
            tenants,
            pools,
            routes,
            table,
        })
    }

    pub(super) fn whole(
        &mut self,
        key: &KeyPath,
        value: Option<usize>,
        default: usize,
        least: usize,
        most: usize,
    ) -> usize {
        let n = value.unwrap_or(default);
        if !(least..=most).contains(&n) {
            self.wrong(key, format!("{n} is out of range"), format!("use {least} to {most}"));
        }
        n
    }

    fn number(&mut self, key: &KeyPath, value: Option<f64>, default: f64, least: f64, most: f64) -> f64 {
        let n = value.unwrap_or(default);
        if !(least..=most).contains(&n) {
            self.wrong(key, format!("{n} is out of range"), format!("use {least} to {most}"));
        }
        n
    }

    pub(super) fn time(
        &mut self,
        key: &KeyPath,
        value: Option<&Time>,
        default: Duration,
        least: Duration,
    ) -> Duration {
        let Some(Time(text)) = value else { return default };
        match humantime::parse_duration(text) {
            Ok(time) if (least..=LONGEST).contains(&time) => time,
            Ok(_) => {
                let least = humantime::format_duration(least);
                self.wrong(key, format!("{text:?} is out of range"), format!("use {least} to 24h"));
                default
            }
            Err(e) => {
                self.wrong(
                    key,
                    format!("{text:?} is no time: {e}"),
                    "write a number and a unit, such as \"250ms\"",
                );
                default
            }
        }
    }

    pub(super) fn address(&mut self, key: &KeyPath, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            let remedy = "write it as 192.0.2.7:8080 or [2001:db8::7]:8080; names are not looked up";
            self.wrong(key, format!("{text:?} is not an address with a port"), remedy);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn share(&mut self, key: &KeyPath, share: &format::Share) -> Share {
        let (min, max) = (share.min.unwrap_or(0), share.max.unwrap_or(usize::MAX));
        if min > max {
            self.wrong(key, format!("min {min} is above max {max}"), "raise max or lower min");
        }
        if max == 0 {
            self.wrong(&key.key("max"), "0 lets nothing through", "use 1 or more, or leave it out");
        }
        Share { min, max }
    }

    fn memory(&mut self, key: &KeyPath, share: &format::Share) -> Share {
        let Share { min, max } = self.share(key, share);
        Share { min: min.saturating_mul(1024), max: max.saturating_mul(1024) }
    }

    fn listeners(&mut self, f: &File) -> Vec<Listener> {
        let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        let mut all = Vec::new();
        for (name, l) in &f.listeners {
            let key = KeyPath::default().key("listeners").key(name);
            let address = self.address(&key.key("address"), &l.address);
            if let Some(other) = seen.insert(address, name).filter(|_| address.port() != 0) {
                self.wrong(
                    &key.key("address"),
                    format!("listener {other:?} has it, too"),
                    "give each its own",
                );
            }
            let connections = self.share(&key.key("connections"), &l.connections);
            let requests = self.share(&key.key("requests"), &l.requests);
            let memory = self.memory(&key.key("memory_kb"), &l.memory_kb);
            all.push(Listener { name: name.clone(), address, connections, requests, memory_bytes: memory });
        }
        all
    }

    fn classes(&mut self, f: &File) -> (Vec<String>, Vec<Class>) {
        // Zones and kinds are numbered by each pool; here their names are only checked.
        let (mut names, mut facts) = (Vec::new(), Vec::new());
        for (name, c) in &f.classes {
            let key = KeyPath::default().key("classes").key(name);
            let ms = Duration::from_millis(1);
            let aim = self.time(&key.key("aim"), Some(&c.aim), ms, ms);
            let deadline = self.time(&key.key("deadline"), Some(&c.deadline), ms, ms);
            if deadline < aim {
                self.wrong(&key.key("deadline"), "is shorter than aim", "raise deadline or lower aim");
            }
            let window = self.time(&key.key("window"), c.window.as_ref(), Duration::ZERO, ms);
            match c.repeat {
                Repeat::Keyed if c.window.is_none() => {
                    self.wrong(&key, "window is missing", "say for how long the nodes drop repeats of a key");
                }
                Repeat::Safe | Repeat::Never if c.window.is_some() || c.key_scope.is_some() => {
                    let what = "window and key_scope are for repeat = \"keyed\" alone";
                    self.wrong(&key, what, "take them out, or make the class \"keyed\"");
                }
                _ => {}
            }
            let group = match c.key_scope.unwrap_or(KeyScope::Cell) {
                KeyScope::Cell => DedupScope::Cell,
                KeyScope::Zone => DedupScope::Zone,
                KeyScope::All => DedupScope::All,
            };
            facts.push(Class {
                aim: micros(aim),
                deadline: micros(deadline),
                effect: match c.repeat {
                    Repeat::Safe => Effect::Safe,
                    Repeat::Keyed => Effect::Keyed { scope: group, window: micros(window) },
                    Repeat::Never => Effect::Unsafe,
                },
                worth: self.number(&key.key("worth"), c.worth, 1.0, f64::MIN_POSITIVE, 1e9),
                late_worth: self.number(&key.key("late_worth"), c.late_worth, 0.0, 0.0, 1.0),
                keep_order: c.ordered,
                ..Class::default()
            });
            names.push(name.clone());
        }
        (names, facts)
    }

    fn pools(&mut self, f: &File, names: &[String], facts: &[Class]) -> Vec<Pool> {
        let mut all = Vec::new();
        for (name, p) in &f.pools {
            let key = KeyPath::default().key("pools").key(name);
            let nodes = match (&p.nodes, &p.nodes_file, &p.discovery) {
                (Some(nodes), None, None) => PoolNodes::Static(self.nodes(&key.key("nodes"), nodes)),
                (None, Some(file), None) if !file.is_empty() => PoolNodes::File(PathBuf::from(file)),
                (None, None, Some(text)) => PoolNodes::Discovery(self.address(&key.key("discovery"), text)),
                _ => {
                    let what = "it needs exactly one of nodes, nodes_file and discovery";
                    self.wrong(&key, what, "say in one way where its nodes are");
                    PoolNodes::Static(Vec::new())
                }
            };
            let rules = self.rules(&key.key("failover"), &p.failover);
            let memory = self.memory(&key.key("memory_kb"), &p.memory_kb);
            let requests = self.share(&key.key("requests"), &p.requests);
            let mut connections = self.share(&key.key("connections"), &p.connections);
            if f.routes.iter().any(|r| r.mirror.as_ref().is_some_and(|m| m.pool == *name)) {
                // A shadow pool has its connections for itself: it must not take from what is shared.
                connections.min = connections.max.min(MOST_SHADOW);
            }
            let second = Duration::from_secs(1);
            let ms = Duration::from_millis(1);
            let idle = self.time(&key.key("idle_timeout"), p.idle_timeout.as_ref(), 60 * second, 10 * ms);
            let connect = self.time(&key.key("connect_timeout"), p.connect_timeout.as_ref(), 250 * ms, ms);
            let site = self.site(&key, f, p, names, facts, idle);
            // What an instance of the module can follow while it runs is no part of its basis.
            let plain = format::Pool {
                nodes: None,
                nodes_file: None,
                discovery: p.discovery.as_ref().map(|_| String::new()),
                requests: format::Share::default(),
                connections: format::Share::default(),
                memory_kb: format::Share::default(),
                failover: format::Failover::default(),
                connect_timeout: None,
                ..p.clone()
            };
            all.push(Pool {
                name: name.clone(),
                site,
                identity: PoolIdentity {
                    pool: plain,
                    classes: f.classes.clone(),
                    tenants: f.tenants.clone(),
                },
                nodes,
                connect_timeout: connect,
                idle_timeout: idle * 2 / 3,
                requests,
                connections,
                memory_bytes: memory,
                failover: rules,
                instances_from_fleet: f.fleet.is_some() && p.instances.is_none(),
            });
        }
        all
    }

    fn site(
        &mut self,
        key: &KeyPath,
        f: &File,
        p: &format::Pool,
        names: &[String],
        facts: &[Class],
        idle: Duration,
    ) -> Site {
        let base = Settings::default();
        let (mut zones, mut kinds) = (Vec::new(), Vec::new());
        let zone = dense_index(&mut zones, p.zone.as_deref().unwrap_or(""));
        let mut classes = facts.to_vec();
        for (class, raw) in classes.iter_mut().zip(f.classes.values()) {
            class.only_zones = raw.zones.iter().map(|z| dense_index(&mut zones, z)).collect();
            class.only_kinds = raw.kinds.iter().map(|k| dense_index(&mut kinds, k)).collect();
        }
        let instances = p.instances.unwrap_or(1);
        let me = p.instance.unwrap_or(0);
        if instances == 0 || me >= instances {
            self.wrong(
                &key.key("instances"),
                "must be above instance, which counts from 0",
                "correct either",
            );
        }
        let attempts = self.whole(&key.key("attempts"), p.attempts.map(|n| n as usize), 3, 1, 16) as u32;
        let (zero, ms) = (Duration::ZERO, Duration::from_millis(1));
        let two = Duration::from_secs(2);
        let retry_after = self.time(&key.key("retry_after_max"), p.retry_after_max.as_ref(), two, zero);
        let warm = Duration::from_micros(base.ramp_time.0 as u64);
        let warm = self.time(&key.key("warm_after"), p.warm_after.as_ref(), warm, ms);
        let tenant_quota = f.tenants.values().map(|t| t.quota.unwrap_or(f64::INFINITY)).collect();
        let settings = Settings {
            instances: instances.max(1),
            instance_index: me,
            resolution: Micros(0),
            idle_close: micros(idle),
            crossing_price: self.number(&key.key("crossing_price"), p.crossing_price, 0.0, 0.0, 1.0),
            zone,
            classes,
            tenant_quota,
            over_share_worth: self.number(&key.key("over_quota_worth"), p.over_quota_worth, 1.0, 0.0, 1.0),
            watch_on_request: p.discovery.is_some(),
            weight_by_units: p.weighted.unwrap_or(false),
            parallel_attempts: p.hedging.unwrap_or(true),
            may_cancel: p.cancel.unwrap_or(true),
            max_attempts: attempts,
            retry_after: !retry_after.is_zero(),
            max_retry_after: micros(retry_after),
            cold_share: self.number(&key.key("cold_share"), p.cold_share, base.cold_share, 0.01, 1.0),
            ramp_time: micros(warm),
            ..base
        };
        let tenants = f.tenants.keys().cloned().collect();
        Site { settings, names: Names::new(names.to_vec(), tenants, zones, kinds) }
    }

    pub fn nodes(&mut self, key: &KeyPath, nodes: &[format::Node]) -> Vec<(Listing, Option<SocketAddr>)> {
        if nodes.len() > MOST_NODES {
            self.wrong(key, format!("holds {}", nodes.len()), format!("{MOST_NODES} are the most"));
            return Vec::new();
        }
        let mut seen = BTreeSet::new();
        let mut all = Vec::with_capacity(nodes.len());
        for (i, n) in nodes.iter().enumerate() {
            let key = key.index(i);
            if n.name.is_empty() || !seen.insert(&n.name) {
                let what = if n.name.is_empty() { "is empty" } else { "stands twice" };
                self.wrong(
                    &key.key("name"),
                    format!("{:?} {what}", n.name),
                    "give each node a name of its own",
                );
            }
            let address = self.address(&key.key("address"), &n.address);
            let listing = Listing {
                name: n.name.clone(),
                zone: n.zone.clone(),
                kind: n.kind.clone(),
                cell: n.cell.unwrap_or(0),
                state: match n.state.unwrap_or(NodeState::Ready) {
                    NodeState::Ready => ListedState::Ready,
                    NodeState::Draining => ListedState::Draining,
                },
                units: self.number(&key.key("weight"), n.weight, 1.0, 1e-6, 1e6),
                started_at: None,
            };
            all.push((listing, Some(address)));
        }
        all
    }

    fn rules(&mut self, key: &KeyPath, f: &format::Failover) -> FailoverRules {
        let base = FailoverRules::default();
        let std = |m: Micros| Duration::from_micros(m.0 as u64);
        let (zero, ms) = (Duration::ZERO, Duration::from_millis(1));
        let rules = FailoverRules {
            leave_below: self.number(&key.key("leave_below"), f.leave_below, base.leave_below, 0.0, 1.0),
            return_above: self.number(&key.key("return_above"), f.return_above, base.return_above, 0.0, 1.0),
            hold_down: micros(self.time(&key.key("hold"), f.hold.as_ref(), std(base.hold_down), ms)),
            max_hold_down: micros(self.time(
                &key.key("hold_max"),
                f.hold_max.as_ref(),
                std(base.max_hold_down),
                ms,
            )),
            return_ramp: micros(self.time(
                &key.key("return_over"),
                f.return_over.as_ref(),
                std(base.return_ramp),
                zero,
            )),
        };
        if rules.return_above < rules.leave_below {
            let what = "is below leave_below: the pool would flap";
            self.wrong(&key.key("return_above"), what, "raise it to leave_below or above");
        }
        if rules.max_hold_down < rules.hold_down {
            self.wrong(&key.key("hold_max"), "is shorter than hold", "raise it");
        }
        rules
    }

    fn routes(&mut self, f: &File, facts: &[Class]) -> Vec<(Route, Share)> {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        let mut all = Vec::with_capacity(f.routes.len());
        for (i, r) in f.routes.iter().enumerate() {
            let key = KeyPath::default().key("routes").index(i);
            if let Some(other) = seen.insert(&r.name, i) {
                self.wrong(
                    &key.key("name"),
                    format!("{:?} is the name of routes[{other}], too", r.name),
                    "rename one",
                );
            }
            if r.name.is_empty() {
                self.wrong(&key.key("name"), "is empty", "give it a name");
            }
            let Some(matcher) = self.matcher(&key, r) else { continue };
            let class = f.classes.keys().position(|c| *c == r.class);
            if class.is_none() {
                let remedy = nearest(&r.class, f.classes.keys());
                self.wrong(&key.key("class"), format!("no class is called {:?}", r.class), remedy);
            }
            let fact = class.map(|at| &facts[at]);
            let params: Vec<&str> = matcher.path.params().collect();
            let mut source = |name: &str, s: &Option<format::Source>| {
                s.as_ref().and_then(|s| self.source(&key.key(name), s, &params))
            };
            let (tenant, request_key) = (source("tenant", &r.tenant), source("key", &r.key));
            let effect = fact.map(|c| c.effect);
            let needs_key =
                matches!(effect, Some(Effect::Keyed { .. })) || fact.is_some_and(|c| c.keep_order);
            if needs_key && r.key.is_none() {
                let what = format!("key is missing: class {:?} is keyed or ordered", r.class);
                self.wrong(&key, what, "say where it is told: key = { header = \"Idempotency-Key\" }");
            }
            let deadline = self.deadline(&key.key("deadline"), &r.deadline, fact, &params);
            let pools = self.route_pools(&key, f, r);
            let mirror = r.mirror.as_ref().and_then(|m| self.mirror(&key.key("mirror"), f, m, effect));
            let share = self.share(&key.key("requests"), &r.requests);
            let (Some(class), Some(pools)) = (class, pools) else { continue };
            let route = Route {
                name: r.name.clone(),
                matcher,
                class: ClassId(class as u32),
                tenant,
                key: request_key,
                deadline,
                pools,
                mirror,
            };
            all.push((route, share));
        }
        all
    }

    fn matcher(&mut self, key: &KeyPath, r: &format::Route) -> Option<Matcher> {
        let host = match HostPattern::parse(r.host.as_deref().unwrap_or("*")) {
            Ok(host) => Some(host),
            Err(e) => {
                self.wrong(&key.key("host"), e.to_string(), "");
                None
            }
        };
        let path = match (&r.path, &r.path_prefix) {
            (Some(path), None) => Some(("path", path, false)),
            (None, Some(path)) => Some(("path_prefix", path, true)),
            _ => {
                self.wrong(
                    key,
                    "it needs exactly one of path and path_prefix",
                    "path_prefix = \"/\" matches all",
                );
                None
            }
        };
        let path = path.and_then(|(name, text, prefix)| match PathPattern::parse(text, prefix) {
            Ok(path) => Some(path),
            Err(e) => {
                self.wrong(&key.key(name), e.to_string(), "");
                None
            }
        });
        for (i, m) in r.methods.iter().enumerate() {
            let plain = !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
            if !plain || m == "CONNECT" || r.methods[..i].contains(m) {
                let remedy = "write each once and in capitals; CONNECT is not served";
                self.wrong(&key.key("methods").index(i), format!("{m:?} can't be used"), remedy);
            }
        }
        let headers = self.tests(&key.key("headers"), &r.headers, true);
        let query = self.tests(&key.key("query"), &r.query, false);
        Some(Matcher { host: host?, path: path?, methods: r.methods.clone(), headers, query })
    }

    fn tests(&mut self, key: &KeyPath, tests: &[format::FieldTest], lower: bool) -> Vec<FieldTest> {
        if tests.len() > 16 {
            self.wrong(key, format!("holds {} tests", tests.len()), "16 are the most");
        }
        let mut all = Vec::new();
        for (i, t) in tests.iter().enumerate() {
            let test = match (&t.equals, &t.starts_with, t.present) {
                (Some(v), None, None) => ValueTest::Equals(v.clone()),
                (None, Some(v), None) => ValueTest::StartsWith(v.clone()),
                (None, None, Some(true)) => ValueTest::Present,
                (None, None, Some(false)) => ValueTest::Absent,
                _ => {
                    let what = "it needs exactly one of equals, starts_with and present";
                    self.wrong(&key.index(i), what, "keep one of them");
                    continue;
                }
            };
            if t.name.is_empty() {
                self.wrong(&key.index(i).key("name"), "is empty", "name the field");
            }
            let name = if lower { t.name.to_ascii_lowercase() } else { t.name.clone() };
            all.push(FieldTest { name, test });
        }
        all
    }

    fn source(&mut self, key: &KeyPath, s: &format::Source, params: &[&str]) -> Option<ValueSource> {
        let source = match (&s.header, &s.query, &s.param, &s.value) {
            (Some(v), None, None, None) => ValueSource::Header(v.to_ascii_lowercase()),
            (None, Some(v), None, None) => ValueSource::Query(v.clone()),
            (None, None, None, Some(v)) => ValueSource::Fixed(v.clone()),
            (None, None, Some(v), None) => match params.iter().position(|p| p == v) {
                Some(at) => ValueSource::Param(at),
                None => {
                    let remedy = format!("its parameters: {}", params.join(", "));
                    self.wrong(&key.key("param"), format!("the path has no parameter {v:?}"), remedy);
                    return None;
                }
            },
            _ => {
                self.wrong(key, "it needs exactly one of header, query, param and value", "keep one of them");
                return None;
            }
        };
        Some(source)
    }

    fn deadline(
        &mut self,
        key: &KeyPath,
        d: &format::Deadline,
        class: Option<&Class>,
        params: &[&str],
    ) -> DeadlineRule {
        let of_class = Duration::from_micros(class.map_or(1_000_000, |c| c.deadline.0) as u64);
        let ms = Duration::from_millis(1);
        let ceiling = self.time(&key.key("ceiling"), d.ceiling.as_ref(), of_class, ms);
        let default = self.time(&key.key("default"), d.default.as_ref(), of_class.min(ceiling), ms);
        if default > ceiling {
            self.wrong(&key.key("default"), "is longer than the ceiling", "lower it, or raise ceiling");
        }
        let source = match &d.from {
            Some(from) => self.source(&key.key("from"), from, params),
            None => Some(ValueSource::Header("req-deadline".into())),
        };
        DeadlineRule { source, default: micros(default), ceiling: micros(ceiling) }
    }

    fn pool_at(&mut self, key: &KeyPath, f: &File, name: &str) -> Option<usize> {
        let at = f.pools.keys().position(|p| p == name);
        if at.is_none() {
            self.wrong(key, format!("no pool is called {name:?}"), nearest(name, f.pools.keys()));
        }
        at
    }

    fn route_pools(&mut self, key: &KeyPath, f: &File, r: &format::Route) -> Option<PoolChoice> {
        match (&r.pool, &r.split, &r.failover) {
            (Some(pool), None, None) => self.pool_at(&key.key("pool"), f, pool).map(PoolChoice::Single),
            (None, Some(split), None) => {
                let key = key.key("split");
                let mut parts = Vec::new();
                for (name, &weight) in split {
                    let to = self.pool_at(&key.key(name), f, name);
                    self.number(&key.key(name), Some(weight), 0.0, 0.0, 1e9);
                    parts.extend(to.map(|to| (to, name.as_str(), weight)));
                }
                if !split.values().any(|&w| w > 0.0) {
                    self.wrong(&key, "no pool has a weight above 0", "give one a weight");
                }
                Some(PoolChoice::Split(Split::new(parts)))
            }
            (None, None, Some(list)) => {
                let key = key.key("failover");
                if list.is_empty() {
                    self.wrong(&key, "is empty", "name one pool at the least");
                }
                let mut places = Vec::new();
                for (i, name) in list.iter().enumerate() {
                    if list[..i].contains(name) {
                        self.wrong(&key.index(i), format!("pool {name:?} stands twice"), "take one out");
                    }
                    places.extend(self.pool_at(&key.index(i), f, name));
                }
                Some(PoolChoice::Failover(places))
            }
            _ => {
                self.wrong(key, "it needs exactly one of pool, split and failover", "keep one of them");
                None
            }
        }
    }

    fn mirror(
        &mut self,
        key: &KeyPath,
        f: &File,
        m: &format::Mirror,
        effect: Option<Effect>,
    ) -> Option<Mirror> {
        if !matches!(effect, Some(Effect::Safe) | None) {
            self.wrong(key, "only requests that are safe to repeat can be mirrored", "take it out");
        }
        let share = self.number(&key.key("share"), Some(m.share), 0.0, 0.0, 1.0);
        let pool = self.pool_at(&key.key("pool"), f, &m.pool)?;
        let spec = f.pools.get(&m.pool)?;
        if spec.requests.max.is_none() || spec.connections.max.is_none() {
            let what = format!("pool {:?} has no requests.max or no connections.max", m.pool);
            self.wrong(&key.key("pool"), what, "bound both: copies must not take what requests need");
        }
        let used = f.routes.iter().any(|r| {
            let names = r.pool.iter().chain(r.failover.iter().flatten());
            names.chain(r.split.iter().flat_map(|s| s.keys())).any(|p| *p == m.pool)
        });
        if used {
            let what = format!("pool {:?} also serves requests", m.pool);
            self.wrong(&key.key("pool"), what, "mirror to a pool that no route sends requests to");
        }
        Some(Mirror { pool, share })
    }

    /// What is guaranteed must be there.
    fn guarantees(&mut self, f: &File, descriptors: usize, requests: usize, memory_mb: usize) {
        let min = |s: &format::Share| s.min.unwrap_or(0);
        let shadow = |name: &str| f.routes.iter().any(|r| r.mirror.as_ref().is_some_and(|m| m.pool == name));
        let listeners = f.listeners.values();
        let of_requests = listeners.clone().map(|l| min(&l.requests)).sum::<usize>()
            + f.pools.values().map(|p| min(&p.requests)).sum::<usize>()
            + f.routes.iter().map(|r| min(&r.requests)).sum::<usize>();
        let limits = KeyPath::default().key("limits");
        if of_requests > requests {
            let what =
                format!("listeners, pools and routes are guaranteed {of_requests} requests of {requests}");
            self.wrong(&limits.key("requests"), what, "raise it, or lower some min");
        }
        let room = crate::limits::max_connections(descriptors);
        let kb = memory_mb * 1024 / 8;
        let of_listeners: usize = listeners.clone().map(|l| min(&l.memory_kb)).sum();
        let of_pools: usize = f.pools.values().map(|p| min(&p.memory_kb)).sum();
        if of_listeners.max(of_pools) > kb {
            let most = of_listeners.max(of_pools);
            let what = format!("listeners, or pools, are guaranteed {most} KiB, and an eighth of it is {kb}");
            self.wrong(&limits.key("memory_mb"), what, "raise it, or lower some memory_kb.min");
        }
        let of_connections = listeners.map(|l| min(&l.connections)).sum::<usize>()
            + f.pools
                .iter()
                .map(
                    |(name, p)| {
                        if shadow(name) {
                            p.connections.max.unwrap_or(0)
                        } else {
                            min(&p.connections)
                        }
                    },
                )
                .sum::<usize>();
        if of_connections > room {
            let what = format!(
                "listeners and pools are guaranteed {of_connections} connections, and {descriptors} descriptors leave room for {room}"
            );
            self.wrong(&limits.key("descriptors"), what, "raise it, or lower some min");
        }
    }
}

fn micros(d: Duration) -> Micros {
    Micros(d.as_micros() as i64)
}
