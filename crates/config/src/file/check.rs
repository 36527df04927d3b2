//! Checks the operator's file and fills in its defaults, which gives the values that the program uses.

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
    /// The name of this process, in logs and in the fleet.
    pub name: String,
    /// The seed of the random numbers; `None` takes one from the system.
    pub seed: Option<u64>,
    /// What is logged, and how.
    pub logging: Logging,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The most requests in flight.
    pub max_requests: usize,
    /// The most idempotency keys that are pinned to a pool while their windows are open.
    pub max_pinned_keys: usize,
    /// The admin address, where operators call; `None` serves none.
    pub admin_address: Option<SocketAddr>,
    /// The link to the other balancers; `None` shares nothing with any.
    pub fleet: Option<Fleet>,
    /// The addresses where clients connect, by the names of the listeners.
    pub listeners: Vec<Listener>,
    /// The names of the classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// The classes' settings for the decision module, in the order of `classes`. Zones and kinds are left
    /// out, as each pool numbers its own.
    pub class_settings: Vec<Class>,
    /// The names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// The pools, by name.
    pub pools: Vec<Pool>,
    /// The routes in the order of the file, each with its share of the requests in flight.
    pub routes: Vec<(Route, Share)>,
    /// Finds the route of a request; its entries are in the order of `routes`.
    pub table: RouteTable,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Logging {
    /// Whether lines are JSON objects; otherwise they are text.
    pub json: bool,
    /// The least severe lines that are written.
    pub level: LogLevel,
    /// Which requests get a line of their own.
    pub requests: LogRequests,
    /// The most lines that wait to be written; further lines are dropped.
    pub queue_lines: usize,
}

/// An address where clients connect, with its shares of the process's capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The listener's key in the file.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The listener's share of the connections.
    pub connections: Share,
    /// The listener's share of the requests in flight.
    pub requests: Share,
    /// The listener's share of the memory for unfinished requests, in bytes.
    pub memory_bytes: Share,
}

/// Where a pool's list of nodes comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolNodes {
    /// The operator's file lists the nodes itself.
    Static(Vec<(Listing, Option<SocketAddr>)>),
    /// Another file lists the nodes; it is read again when it changes.
    File(PathBuf),
    /// The platform's discovery at this address is watched.
    Discovery(SocketAddr),
}

/// Nodes that are balanced by one instance of the decision module.
#[derive(Clone)]
pub struct Pool {
    /// The pool's key in the file.
    pub name: String,
    /// The settings and names that the pool's module instance is started with.
    pub site: Site,
    /// The parts of the file that the module instance depends on. A pool whose identity changes in a reload
    /// is replaced by a new one.
    pub identity: PoolIdentity,
    /// Where the list of nodes comes from.
    pub nodes: PoolNodes,
    /// How long opening a connection to a node may take.
    pub connect_timeout: Duration,
    /// A connection between requests is closed after this time, which is two thirds of the nodes' own
    /// timeout.
    pub idle_timeout: Duration,
    /// The pool's share of the requests in flight.
    pub requests: Share,
    /// The pool's share of the connections.
    pub connections: Share,
    /// The pool's share of the memory for unfinished responses, in bytes.
    pub memory_bytes: Share,
    /// When a failover list leaves this pool, and how it returns.
    pub failover: FailoverRules,
    /// Whether the number of balancers that share the nodes is the fleet's size, as the file has a fleet and
    /// the pool no `instances`.
    pub instances_from_fleet: bool,
}

/// The parts of the file from which a pool's module instance is made, as they are written.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolIdentity {
    pool: format::Pool,
    classes: BTreeMap<String, format::Class>,
    tenants: BTreeMap<String, format::Tenant>,
}

const MAX_ROUTES: usize = 100_000;
const MAX_POOLS: usize = 10_000;
const MAX_LISTENERS: usize = 256;
/// The most nodes of one pool.
const MAX_NODES: usize = 100_000;
/// The most connections that are reserved for a mirror's pool.
const MAX_MIRROR_CONNECTIONS: usize = 1 << 20;
/// The longest time that any key accepts.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Checks one file and collects its problems in the document.
pub(super) struct Checker<'d, 't> {
    document: &'d mut Document<'t>,
}

impl<'d, 't> Checker<'d, 't> {
    pub fn new(document: &'d mut Document<'t>) -> Checker<'d, 't> {
        Checker { document }
    }

    /// Adds a problem at `key` to those of the file.
    pub fn report_str(&mut self, key: &KeyPath, what: &str, remedy: &str) {
        self.report(key, what, remedy);
    }

    fn report(&mut self, key: &KeyPath, what: impl Into<String>, remedy: impl Into<String>) {
        self.document.report(key, what, remedy);
    }

    /// Checks a whole file. `None` means that a problem was reported.
    pub fn operator_config(&mut self, file: &File) -> Option<OperatorConfig> {
        let top = KeyPath::default();
        if file.version != 1 {
            self.report(
                &top.key("version"),
                format!("version {} is not known", file.version),
                "this program reads 1",
            );
            return None;
        }
        let seed = file.seed.as_ref().map(|s| u64::from_str_radix(s, 16).ok().filter(|_| s.len() == 16));
        if seed == Some(None) {
            self.report(&top.key("seed"), "is not 16 hex digits", "write 16 of 0-9 and a-f, or leave it out");
        }
        let limits = top.key("limits");
        let process = &file.limits;
        let descriptors = self.integer(&limits.key("descriptors"), process.descriptors, 1024, 64, 1 << 24);
        let memory_mb = self.integer(&limits.key("memory_mb"), process.memory_mb, 192, 16, 1 << 24);
        let requests = self.integer(&limits.key("requests"), process.requests, 4096, 1, 1 << 24);
        let pins = self.integer(&limits.key("pins"), process.pins, 65_536, 1, 1 << 26);
        let queue = self.integer(&top.key("logging").key("queue"), file.logging.queue, 1024, 16, 1 << 20);
        for (key, count, least, most) in [
            ("listeners", file.listeners.len(), 1, MAX_LISTENERS),
            ("classes", file.classes.len(), 1, 1_000),
            ("pools", file.pools.len(), 1, MAX_POOLS),
            ("routes", file.routes.len(), 1, MAX_ROUTES),
            ("tenants", file.tenants.len(), 0, 100_000),
        ] {
            if count < least {
                self.report(&top.key(key), "is empty", format!("name {least} at the least"));
            }
            if count > most {
                self.report(&top.key(key), format!("holds {count}"), format!("{most} are the most"));
            }
        }
        let listeners = self.listeners(file);
        let admin = file.admin.as_ref().map(|a| self.address(&top.key("admin").key("address"), &a.address));
        if let Some(listener) =
            listeners.iter().find(|listener| Some(listener.address) == admin && listener.address.port() != 0)
        {
            let what = format!("is the address of listeners.{}, too: {}", listener.name, listener.address);
            self.report(&top.key("admin").key("address"), what, "give each its own");
        }
        let fleet = file.fleet.as_ref().map(|fleet| self.fleet(file, fleet));
        let (classes, class_settings) = self.classes(file);
        for (name, tenant) in &file.tenants {
            let key = top.key("tenants").key(name).key("quota");
            self.number(&key, tenant.quota, f64::INFINITY, 0.0, f64::INFINITY);
        }
        let tenants: Vec<String> = file.tenants.keys().cloned().collect();
        let pools = self.pools(file, &classes, &class_settings);
        let routes = self.routes(file, &class_settings);
        self.check_guarantees(file, descriptors, requests, memory_mb);
        if self.document.has_problems() {
            return None;
        }
        let matchers = routes.iter().map(|(r, _)| (r.name.clone(), r.matcher.clone())).collect();
        let table = match RouteTable::new(matchers) {
            Ok(table) => table,
            Err(conflicts) => {
                for conflict in conflicts {
                    let remedy = "change its host, path, methods or tests, or take one of them out";
                    self.report(
                        &top.key("routes").index(conflict.route_index()),
                        conflict.to_string(),
                        remedy,
                    );
                }
                return None;
            }
        };
        Some(OperatorConfig {
            name: file.name.clone().unwrap_or_else(|| "garnettally".into()),
            seed: seed.flatten(),
            logging: Logging {
                json: file.logging.format == format::LogFormat::Json,
                level: file.logging.level,
                requests: file.logging.requests,
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
            class_settings,
            tenants,
            pools,
            routes,
            table,
        })
    }

    /// A whole number, or its default; a problem is reported if it is out of range.
    pub(super) fn integer(
        &mut self,
        key: &KeyPath,
        value: Option<usize>,
        default: usize,
        least: usize,
        most: usize,
    ) -> usize {
        let number = value.unwrap_or(default);
        if !(least..=most).contains(&number) {
            self.report(key, format!("{number} is out of range"), format!("use {least} to {most}"));
        }
        number
    }

    fn number(&mut self, key: &KeyPath, value: Option<f64>, default: f64, least: f64, most: f64) -> f64 {
        let number = value.unwrap_or(default);
        if !(least..=most).contains(&number) {
            self.report(key, format!("{number} is out of range"), format!("use {least} to {most}"));
        }
        number
    }

    /// A length of time, or its default; one that can't be used is reported as a problem.
    pub(super) fn duration(
        &mut self,
        key: &KeyPath,
        value: Option<&Time>,
        default: Duration,
        least: Duration,
    ) -> Duration {
        let Some(Time(text)) = value else { return default };
        match humantime::parse_duration(text) {
            Ok(time) if (least..=MAX_DURATION).contains(&time) => time,
            Ok(_) => {
                let least = humantime::format_duration(least);
                self.report(key, format!("{text:?} is out of range"), format!("use {least} to 24h"));
                default
            }
            Err(e) => {
                self.report(
                    key,
                    format!("{text:?} is no time: {e}"),
                    "write a number and a unit, such as \"250ms\"",
                );
                default
            }
        }
    }

    /// An address with a port; any other text is reported as a problem.
    pub(super) fn address(&mut self, key: &KeyPath, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            let remedy = "write it as 192.0.2.7:8080 or [2001:db8::7]:8080; names are not looked up";
            self.report(key, format!("{text:?} is not an address with a port"), remedy);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn share(&mut self, key: &KeyPath, share: &format::Share) -> Share {
        let (min, max) = (share.min.unwrap_or(0), share.max.unwrap_or(usize::MAX));
        if min > max {
            self.report(key, format!("min {min} is above max {max}"), "raise max or lower min");
        }
        if max == 0 {
            self.report(&key.key("max"), "0 lets nothing through", "use 1 or more, or leave it out");
        }
        Share { min, max }
    }

    /// Turns a share in KiB into one in bytes.
    fn memory_share(&mut self, key: &KeyPath, share: &format::Share) -> Share {
        let Share { min, max } = self.share(key, share);
        Share { min: min.saturating_mul(1024), max: max.saturating_mul(1024) }
    }

    fn listeners(&mut self, file: &File) -> Vec<Listener> {
        let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        let mut all = Vec::new();
        for (name, listener) in &file.listeners {
            let key = KeyPath::default().key("listeners").key(name);
            let address = self.address(&key.key("address"), &listener.address);
            if let Some(other) = seen.insert(address, name).filter(|_| address.port() != 0) {
                self.report(
                    &key.key("address"),
                    format!("listener {other:?} has it, too"),
                    "give each its own",
                );
            }
            let connections = self.share(&key.key("connections"), &listener.connections);
            let requests = self.share(&key.key("requests"), &listener.requests);
            let memory = self.memory_share(&key.key("memory_kb"), &listener.memory_kb);
            all.push(Listener { name: name.clone(), address, connections, requests, memory_bytes: memory });
        }
        all
    }

    fn classes(&mut self, file: &File) -> (Vec<String>, Vec<Class>) {
        // Each pool numbers its zones and kinds itself, so they are left out here.
        let (mut names, mut settings) = (Vec::new(), Vec::new());
        for (name, class) in &file.classes {
            let key = KeyPath::default().key("classes").key(name);
            let ms = Duration::from_millis(1);
            let aim = self.duration(&key.key("aim"), Some(&class.aim), ms, ms);
            let deadline = self.duration(&key.key("deadline"), Some(&class.deadline), ms, ms);
            if deadline < aim {
                self.report(&key.key("deadline"), "is shorter than aim", "raise deadline or lower aim");
            }
            let window = self.duration(&key.key("window"), class.window.as_ref(), Duration::ZERO, ms);
            match class.repeat {
                Repeat::Keyed if class.window.is_none() => {
                    self.report(
                        &key,
                        "window is missing",
                        "say for how long the nodes drop repeats of a key",
                    );
                }
                Repeat::Safe | Repeat::Never if class.window.is_some() || class.key_scope.is_some() => {
                    let what = "window and key_scope are for repeat = \"keyed\" alone";
                    self.report(&key, what, "take them out, or make the class \"keyed\"");
                }
                _ => {}
            }
            let group = match class.key_scope.unwrap_or(KeyScope::Cell) {
                KeyScope::Cell => DedupScope::Cell,
                KeyScope::Zone => DedupScope::Zone,
                KeyScope::All => DedupScope::All,
            };
            settings.push(Class {
                aim: micros(aim),
                deadline: micros(deadline),
                effect: match class.repeat {
                    Repeat::Safe => Effect::Safe,
                    Repeat::Keyed => Effect::Keyed { scope: group, window: micros(window) },
                    Repeat::Never => Effect::Unsafe,
                },
                worth: self.number(&key.key("worth"), class.worth, 1.0, f64::MIN_POSITIVE, 1e9),
                late_worth: self.number(&key.key("late_worth"), class.late_worth, 0.0, 0.0, 1.0),
                keep_order: class.ordered,
                ..Class::default()
            });
            names.push(name.clone());
        }
        (names, settings)
    }

    fn pools(&mut self, file: &File, names: &[String], class_settings: &[Class]) -> Vec<Pool> {
        let mut all = Vec::new();
        for (name, pool) in &file.pools {
            let key = KeyPath::default().key("pools").key(name);
            let nodes = match (&pool.nodes, &pool.nodes_file, &pool.discovery) {
                (Some(nodes), None, None) => PoolNodes::Static(self.nodes(&key.key("nodes"), nodes)),
                (None, Some(path), None) if !path.is_empty() => PoolNodes::File(PathBuf::from(path)),
                (None, None, Some(text)) => PoolNodes::Discovery(self.address(&key.key("discovery"), text)),
                _ => {
                    let what = "it needs exactly one of nodes, nodes_file and discovery";
                    self.report(&key, what, "say in one way where its nodes are");
                    PoolNodes::Static(Vec::new())
                }
            };
            let rules = self.failover_rules(&key.key("failover"), &pool.failover);
            let memory = self.memory_share(&key.key("memory_kb"), &pool.memory_kb);
            let requests = self.share(&key.key("requests"), &pool.requests);
            let mut connections = self.share(&key.key("connections"), &pool.connections);
            if file.routes.iter().any(|r| r.mirror.as_ref().is_some_and(|m| m.pool == *name)) {
                // The connections of a mirror's pool are reserved for it, as copies must not use up shared
                // ones.
                connections.min = connections.max.min(MAX_MIRROR_CONNECTIONS);
            }
            let second = Duration::from_secs(1);
            let ms = Duration::from_millis(1);
            let idle =
                self.duration(&key.key("idle_timeout"), pool.idle_timeout.as_ref(), 60 * second, 10 * ms);
            let connect =
                self.duration(&key.key("connect_timeout"), pool.connect_timeout.as_ref(), 250 * ms, ms);
            let site = self.site(&key, file, pool, names, class_settings, idle);
            // Keys that a running module instance can follow are no part of the pool's identity.
            let identity_keys = format::Pool {
                nodes: None,
                nodes_file: None,
                discovery: pool.discovery.as_ref().map(|_| String::new()),
                requests: format::Share::default(),
                connections: format::Share::default(),
                memory_kb: format::Share::default(),
                failover: format::Failover::default(),
                connect_timeout: None,
                ..pool.clone()
            };
            all.push(Pool {
                name: name.clone(),
                site,
                identity: PoolIdentity {
                    pool: identity_keys,
                    classes: file.classes.clone(),
                    tenants: file.tenants.clone(),
                },
                nodes,
                connect_timeout: connect,
                idle_timeout: idle * 2 / 3,
                requests,
                connections,
                memory_bytes: memory,
                failover: rules,
                instances_from_fleet: file.fleet.is_some() && pool.instances.is_none(),
            });
        }
        all
    }

    fn site(
        &mut self,
        key: &KeyPath,
        file: &File,
        pool: &format::Pool,
        names: &[String],
        class_settings: &[Class],
        idle: Duration,
    ) -> Site {
        let defaults = Settings::default();
        let (mut zones, mut kinds) = (Vec::new(), Vec::new());
        let zone = dense_index(&mut zones, pool.zone.as_deref().unwrap_or(""));
        let mut classes = class_settings.to_vec();
        for (class, class_in_file) in classes.iter_mut().zip(file.classes.values()) {
            class.only_zones = class_in_file.zones.iter().map(|z| dense_index(&mut zones, z)).collect();
            class.only_kinds = class_in_file.kinds.iter().map(|k| dense_index(&mut kinds, k)).collect();
        }
        let instances = pool.instances.unwrap_or(1);
        let instance = pool.instance.unwrap_or(0);
        if instances == 0 || instance >= instances {
            self.report(
                &key.key("instances"),
                "must be above instance, which counts from 0",
                "correct either",
            );
        }
        let attempts = self.integer(&key.key("attempts"), pool.attempts.map(|n| n as usize), 3, 1, 16) as u32;
        let (zero, ms) = (Duration::ZERO, Duration::from_millis(1));
        let two_seconds = Duration::from_secs(2);
        let retry_after =
            self.duration(&key.key("retry_after_max"), pool.retry_after_max.as_ref(), two_seconds, zero);
        let warm_after = Duration::from_micros(defaults.ramp_time.0 as u64);
        let warm_after = self.duration(&key.key("warm_after"), pool.warm_after.as_ref(), warm_after, ms);
        let tenant_quota = file.tenants.values().map(|t| t.quota.unwrap_or(f64::INFINITY)).collect();
        let settings = Settings {
            instances: instances.max(1),
            instance_index: instance,
            resolution: Micros(0),
            idle_close: micros(idle),
            crossing_price: self.number(&key.key("crossing_price"), pool.crossing_price, 0.0, 0.0, 1.0),
            zone,
            classes,
            tenant_quota,
            over_share_worth: self.number(&key.key("over_quota_worth"), pool.over_quota_worth, 1.0, 0.0, 1.0),
            watch_on_request: pool.discovery.is_some(),
            weight_by_units: pool.weighted.unwrap_or(false),
            parallel_attempts: pool.hedging.unwrap_or(true),
            may_cancel: pool.cancel.unwrap_or(true),
            max_attempts: attempts,
            retry_after: !retry_after.is_zero(),
            max_retry_after: micros(retry_after),
            cold_share: self.number(&key.key("cold_share"), pool.cold_share, defaults.cold_share, 0.01, 1.0),
            ramp_time: micros(warm_after),
            ..defaults
        };
        let tenants = file.tenants.keys().cloned().collect();
        Site { settings, names: Names::new(names.to_vec(), tenants, zones, kinds) }
    }

    /// The nodes of a list, each with the address to connect to.
    pub fn nodes(&mut self, key: &KeyPath, nodes: &[format::Node]) -> Vec<(Listing, Option<SocketAddr>)> {
        if nodes.len() > MAX_NODES {
            self.report(key, format!("holds {}", nodes.len()), format!("{MAX_NODES} are the most"));
            return Vec::new();
        }
        let mut seen = BTreeSet::new();
        let mut listings = Vec::with_capacity(nodes.len());
        for (i, node) in nodes.iter().enumerate() {
            let key = key.index(i);
            if node.name.is_empty() || !seen.insert(&node.name) {
                let what = if node.name.is_empty() { "is empty" } else { "stands twice" };
                self.report(
                    &key.key("name"),
                    format!("{:?} {what}", node.name),
                    "give each node a name of its own",
                );
            }
            let address = self.address(&key.key("address"), &node.address);
            let listing = Listing {
                name: node.name.clone(),
                zone: node.zone.clone(),
                kind: node.kind.clone(),
                cell: node.cell.unwrap_or(0),
                state: match node.state.unwrap_or(NodeState::Ready) {
                    NodeState::Ready => ListedState::Ready,
                    NodeState::Draining => ListedState::Draining,
                },
                units: self.number(&key.key("weight"), node.weight, 1.0, 1e-6, 1e6),
                started_at: None,
            };
            listings.push((listing, Some(address)));
        }
        listings
    }

    fn failover_rules(&mut self, key: &KeyPath, spec: &format::Failover) -> FailoverRules {
        let defaults = FailoverRules::default();
        let to_duration = |m: Micros| Duration::from_micros(m.0 as u64);
        let (zero, ms) = (Duration::ZERO, Duration::from_millis(1));
        let rules = FailoverRules {
            leave_below: self.number(
                &key.key("leave_below"),
                spec.leave_below,
                defaults.leave_below,
                0.0,
                1.0,
            ),
            return_above: self.number(
                &key.key("return_above"),
                spec.return_above,
                defaults.return_above,
                0.0,
                1.0,
            ),
            hold_down: micros(self.duration(
                &key.key("hold"),
                spec.hold.as_ref(),
                to_duration(defaults.hold_down),
                ms,
            )),
            max_hold_down: micros(self.duration(
                &key.key("hold_max"),
                spec.hold_max.as_ref(),
                to_duration(defaults.max_hold_down),
                ms,
            )),
            return_ramp: micros(self.duration(
                &key.key("return_over"),
                spec.return_over.as_ref(),
                to_duration(defaults.return_ramp),
                zero,
            )),
        };
        if rules.return_above < rules.leave_below {
            let what = "is below leave_below: the pool would flap";
            self.report(&key.key("return_above"), what, "raise it to leave_below or above");
        }
        if rules.max_hold_down < rules.hold_down {
            self.report(&key.key("hold_max"), "is shorter than hold", "raise it");
        }
        rules
    }

    fn routes(&mut self, file: &File, class_settings: &[Class]) -> Vec<(Route, Share)> {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        let mut routes = Vec::with_capacity(file.routes.len());
        for (i, spec) in file.routes.iter().enumerate() {
            let key = KeyPath::default().key("routes").index(i);
            if let Some(other) = seen.insert(&spec.name, i) {
                self.report(
                    &key.key("name"),
                    format!("{:?} is the name of routes[{other}], too", spec.name),
                    "rename one",
                );
            }
            if spec.name.is_empty() {
                self.report(&key.key("name"), "is empty", "give it a name");
            }
            let Some(matcher) = self.matcher(&key, spec) else { continue };
            let class = file.classes.keys().position(|c| *c == spec.class);
            if class.is_none() {
                let remedy = nearest(&spec.class, file.classes.keys());
                self.report(&key.key("class"), format!("no class is called {:?}", spec.class), remedy);
            }
            let settings = class.map(|index| &class_settings[index]);
            let params: Vec<&str> = matcher.path.params().collect();
            let mut source = |name: &str, s: &Option<format::Source>| {
                s.as_ref().and_then(|s| self.source(&key.key(name), s, &params))
            };
            let (tenant, request_key) = (source("tenant", &spec.tenant), source("key", &spec.key));
            let effect = settings.map(|c| c.effect);
            let needs_key =
                matches!(effect, Some(Effect::Keyed { .. })) || settings.is_some_and(|c| c.keep_order);
            if needs_key && spec.key.is_none() {
                let what = format!("key is missing: class {:?} is keyed or ordered", spec.class);
                self.report(
                    &key,
                    what,
                    "say where requests carry it: key = { header = \"Idempotency-Key\" }",
                );
            }
            let deadline = self.deadline(&key.key("deadline"), &spec.deadline, settings, &params);
            let pools = self.route_pools(&key, file, spec);
            let mirror = spec.mirror.as_ref().and_then(|m| self.mirror(&key.key("mirror"), file, m, effect));
            let share = self.share(&key.key("requests"), &spec.requests);
            let (Some(class), Some(pools)) = (class, pools) else { continue };
            let route = Route {
                name: spec.name.clone(),
                matcher,
                class: ClassId(class as u32),
                tenant,
                key: request_key,
                deadline,
                pools,
                mirror,
            };
            routes.push((route, share));
        }
        routes
    }

    fn matcher(&mut self, key: &KeyPath, spec: &format::Route) -> Option<Matcher> {
        let host = match HostPattern::parse(spec.host.as_deref().unwrap_or("*")) {
            Ok(host) => Some(host),
            Err(error) => {
                self.report(&key.key("host"), error.to_string(), "");
                None
            }
        };
        let path = match (&spec.path, &spec.path_prefix) {
            (Some(path), None) => Some(("path", path, false)),
            (None, Some(path)) => Some(("path_prefix", path, true)),
            _ => {
                self.report(
                    key,
                    "it needs exactly one of path and path_prefix",
                    "path_prefix = \"/\" matches all",
                );
                None
            }
        };
        let path = path.and_then(|(name, text, prefix)| match PathPattern::parse(text, prefix) {
            Ok(path) => Some(path),
            Err(error) => {
                self.report(&key.key(name), error.to_string(), "");
                None
            }
        });
        for (i, method) in spec.methods.iter().enumerate() {
            let valid = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
            if !valid || method == "CONNECT" || spec.methods[..i].contains(method) {
                let remedy = "write each once and in capitals; CONNECT is not served";
                self.report(&key.key("methods").index(i), format!("{method:?} can't be used"), remedy);
            }
        }
        let headers = self.field_tests(&key.key("headers"), &spec.headers, true);
        let query = self.field_tests(&key.key("query"), &spec.query, false);
        Some(Matcher { host: host?, path: path?, methods: spec.methods.clone(), headers, query })
    }

    fn field_tests(
        &mut self,
        key: &KeyPath,
        tests: &[format::FieldTest],
        lowercase_names: bool,
    ) -> Vec<FieldTest> {
        if tests.len() > 16 {
            self.report(key, format!("holds {} tests", tests.len()), "16 are the most");
        }
        let mut field_tests = Vec::new();
        for (i, spec) in tests.iter().enumerate() {
            let test = match (&spec.equals, &spec.starts_with, spec.present) {
                (Some(v), None, None) => ValueTest::Equals(v.clone()),
                (None, Some(v), None) => ValueTest::StartsWith(v.clone()),
                (None, None, Some(true)) => ValueTest::Present,
                (None, None, Some(false)) => ValueTest::Absent,
                _ => {
                    let what = "it needs exactly one of equals, starts_with and present";
                    self.report(&key.index(i), what, "keep one of them");
                    continue;
                }
            };
            if spec.name.is_empty() {
                self.report(&key.index(i).key("name"), "is empty", "name the field");
            }
            let name = if lowercase_names { spec.name.to_ascii_lowercase() } else { spec.name.clone() };
            field_tests.push(FieldTest { name, test });
        }
        field_tests
    }

    fn source(&mut self, key: &KeyPath, spec: &format::Source, params: &[&str]) -> Option<ValueSource> {
        let source = match (&spec.header, &spec.query, &spec.param, &spec.value) {
            (Some(name), None, None, None) => ValueSource::Header(name.to_ascii_lowercase()),
            (None, Some(name), None, None) => ValueSource::Query(name.clone()),
            (None, None, None, Some(value)) => ValueSource::Fixed(value.clone()),
            (None, None, Some(name), None) => match params.iter().position(|p| p == name) {
                Some(index) => ValueSource::Param(index),
                None => {
                    let remedy = format!("its parameters: {}", params.join(", "));
                    self.report(&key.key("param"), format!("the path has no parameter {name:?}"), remedy);
                    return None;
                }
            },
            _ => {
                self.report(
                    key,
                    "it needs exactly one of header, query, param and value",
                    "keep one of them",
                );
                return None;
            }
        };
        Some(source)
    }

    fn deadline(
        &mut self,
        key: &KeyPath,
        spec: &format::Deadline,
        class: Option<&Class>,
        params: &[&str],
    ) -> DeadlineRule {
        let class_deadline = Duration::from_micros(class.map_or(1_000_000, |c| c.deadline.0) as u64);
        let ms = Duration::from_millis(1);
        let ceiling = self.duration(&key.key("ceiling"), spec.ceiling.as_ref(), class_deadline, ms);
        let default =
            self.duration(&key.key("default"), spec.default.as_ref(), class_deadline.min(ceiling), ms);
        if default > ceiling {
            self.report(&key.key("default"), "is longer than the ceiling", "lower it, or raise ceiling");
        }
        let source = match &spec.from {
            Some(from) => self.source(&key.key("from"), from, params),
            None => Some(ValueSource::Header("req-deadline".into())),
        };
        DeadlineRule { source, default: micros(default), ceiling: micros(ceiling) }
    }

    fn pool_index(&mut self, key: &KeyPath, file: &File, name: &str) -> Option<usize> {
        let index = file.pools.keys().position(|p| p == name);
        if index.is_none() {
            self.report(key, format!("no pool is called {name:?}"), nearest(name, file.pools.keys()));
        }
        index
    }

    fn route_pools(&mut self, key: &KeyPath, file: &File, spec: &format::Route) -> Option<PoolChoice> {
        match (&spec.pool, &spec.split, &spec.failover) {
            (Some(pool), None, None) => self.pool_index(&key.key("pool"), file, pool).map(PoolChoice::Single),
            (None, Some(split), None) => {
                let key = key.key("split");
                let mut parts = Vec::new();
                for (name, &weight) in split {
                    let index = self.pool_index(&key.key(name), file, name);
                    self.number(&key.key(name), Some(weight), 0.0, 0.0, 1e9);
                    parts.extend(index.map(|index| (index, name.as_str(), weight)));
                }
                if !split.values().any(|&w| w > 0.0) {
                    self.report(&key, "no pool has a weight above 0", "give one a weight");
                }
                Some(PoolChoice::Split(Split::new(parts)))
            }
            (None, None, Some(list)) => {
                let key = key.key("failover");
                if list.is_empty() {
                    self.report(&key, "is empty", "name one pool at the least");
                }
                let mut indices = Vec::new();
                for (i, name) in list.iter().enumerate() {
                    if list[..i].contains(name) {
                        self.report(&key.index(i), format!("pool {name:?} stands twice"), "take one out");
                    }
                    indices.extend(self.pool_index(&key.index(i), file, name));
                }
                Some(PoolChoice::Failover(indices))
            }
            _ => {
                self.report(key, "it needs exactly one of pool, split and failover", "keep one of them");
                None
            }
        }
    }

    fn mirror(
        &mut self,
        key: &KeyPath,
        file: &File,
        spec: &format::Mirror,
        effect: Option<Effect>,
    ) -> Option<Mirror> {
        if !matches!(effect, Some(Effect::Safe) | None) {
            self.report(key, "only requests that are safe to repeat can be mirrored", "take it out");
        }
        let share = self.number(&key.key("share"), Some(spec.share), 0.0, 0.0, 1.0);
        let pool = self.pool_index(&key.key("pool"), file, &spec.pool)?;
        let pool_spec = file.pools.get(&spec.pool)?;
        if pool_spec.requests.max.is_none() || pool_spec.connections.max.is_none() {
            let what = format!("pool {:?} has no requests.max or no connections.max", spec.pool);
            self.report(&key.key("pool"), what, "bound both: copies must not take what requests need");
        }
        let used = file.routes.iter().any(|r| {
            let names = r.pool.iter().chain(r.failover.iter().flatten());
            names.chain(r.split.iter().flat_map(|s| s.keys())).any(|p| *p == spec.pool)
        });
        if used {
            let what = format!("pool {:?} also serves requests", spec.pool);
            self.report(&key.key("pool"), what, "mirror to a pool that no route sends requests to");
        }
        Some(Mirror { pool, share })
    }

    /// Checks that the guaranteed minimums of listeners, pools and routes together fit into the process's
    /// limits.
    fn check_guarantees(&mut self, file: &File, descriptors: usize, requests: usize, memory_mb: usize) {
        let min = |s: &format::Share| s.min.unwrap_or(0);
        let is_mirror_pool =
            |name: &str| file.routes.iter().any(|r| r.mirror.as_ref().is_some_and(|m| m.pool == name));
        let listeners = file.listeners.values();
        let of_requests = listeners.clone().map(|l| min(&l.requests)).sum::<usize>()
            + file.pools.values().map(|p| min(&p.requests)).sum::<usize>()
            + file.routes.iter().map(|r| min(&r.requests)).sum::<usize>();
        let limits = KeyPath::default().key("limits");
        if of_requests > requests {
            let what =
                format!("listeners, pools and routes are guaranteed {of_requests} requests of {requests}");
            self.report(&limits.key("requests"), what, "raise it, or lower some min");
        }
        let available = crate::limits::max_connections(descriptors);
        let buffer_kb = memory_mb * 1024 / 8;
        let of_listeners: usize = listeners.clone().map(|l| min(&l.memory_kb)).sum();
        let of_pools: usize = file.pools.values().map(|p| min(&p.memory_kb)).sum();
        if of_listeners.max(of_pools) > buffer_kb {
            let most_kb = of_listeners.max(of_pools);
            let what = format!(
                "listeners, or pools, are guaranteed {most_kb} KiB, and an eighth of \
                 limits.memory_mb is {buffer_kb} KiB"
            );
            self.report(&limits.key("memory_mb"), what, "raise it, or lower some memory_kb.min");
        }
        let of_connections =
            listeners.map(|l| min(&l.connections)).sum::<usize>()
                + file
                    .pools
                    .iter()
                    .map(|(name, p)| {
                        if is_mirror_pool(name) {
                            p.connections.max.unwrap_or(0)
                        } else {
                            min(&p.connections)
                        }
                    })
                    .sum::<usize>();
        if of_connections > available {
            let what = format!(
                "listeners and pools are guaranteed {of_connections} connections, and {descriptors} \
                 descriptors leave room for {available}"
            );
            self.report(&limits.key("descriptors"), what, "raise it, or lower some min");
        }
    }
}

fn micros(d: Duration) -> Micros {
    Micros(d.as_micros() as i64)
}
