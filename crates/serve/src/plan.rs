//! The plan of what one process serves, made from the platform's configuration or from an operator's file.

use crate::upstreams::ConnectionSettings;
use crate::Limits;
use garnettally_config::file::format::LogRequests;
use garnettally_config::file::{Fleet, Listener, OperatorConfig, Pool, PoolIdentity, PoolNodes};
use garnettally_config::platform::Config;
use garnettally_model::{HostList, Site};
use garnettally_routing::budget::{HolderId, Share};
use garnettally_routing::failover::FailoverRules;
use std::net::SocketAddr;
use std::time::Duration;

/// Everything that one process needs to start serving.
pub struct Plan {
    /// The name of the process, for the log.
    pub name: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Limits on sizes, counts and times.
    pub limits: Limits,
    /// The addresses that clients connect to.
    pub listeners: Vec<Listener>,
    /// The pools, in the order of the file.
    pub pools: Vec<PoolPlan>,
    /// How the class and the pool of a request are found.
    pub matching: RequestMatching,
    /// The most requests in flight.
    pub max_requests: usize,
    /// The most idempotency keys that are pinned to a pool at a time.
    pub max_pinned_keys: usize,
    /// Which requests are logged.
    pub log_requests: LogRequests,
    /// The configuration that SIGHUP reads again.
    pub reload: ReloadSource,
    /// The address of the admin interface; `None`: it is not served.
    pub admin: Option<SocketAddr>,
    /// The settings of the fleet; `None`: nothing is shared with other balancers, and no socket is opened for
    /// it.
    pub fleet: Option<Fleet>,
}

/// How the class and the pool of a request are found.
pub enum RequestMatching {
    /// The platform's protocol: the first segment of the path is the class, and there is one pool.
    Platform,
    /// The routes of the operator's file.
    Routes(Box<OperatorConfig>),
}

/// The configuration that SIGHUP reads again.
pub enum ReloadSource {
    /// The platform's configuration, with the value of `discovery` in its file when it was last read.
    Platform(Option<SocketAddr>),
    /// The operator's file at this path.
    File(String),
}

/// The settings of one pool.
pub struct PoolPlan {
    /// The pool's name.
    pub name: String,
    /// The settings and names for the pool's instance of the decision module.
    pub site: Site,
    /// The settings whose change needs a new instance of the module; `None` on the platform.
    pub identity: Option<PoolIdentity>,
    /// The source of the pool's nodes.
    pub nodes: PoolNodes,
    /// A list known from before, with which the module starts.
    pub known_list: Option<HostList>,
    /// The time-out for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The pool's share of the requests in flight.
    pub requests: Share,
    /// The pool's share of the connections.
    pub connections: Share,
    /// The pool's share of the memory for incomplete responses, in bytes.
    pub memory: Share,
    /// The rules by which a failover list leaves this pool and returns to it.
    pub failover: FailoverRules,
    /// Whether any 2xx or 3xx response counts as success; otherwise only 200 does.
    pub any_success: bool,
    /// Whether as many instances share the pool's nodes as the fleet has members.
    pub shared_by_fleet: bool,
}

impl Plan {
    /// The one pool of the platform, from this configuration.
    pub fn platform_pool(config: &Config, limits: &Limits) -> PoolPlan {
        PoolPlan {
            name: "upstreams".into(),
            site: config.site.clone(),
            identity: None,
            nodes: PoolNodes::Discovery(config.discovery_address),
            known_list: Some(config.known_hosts.clone()),
            connect_timeout: limits.upstream_connect_timeout,
            idle_timeout: limits.upstream_idle_timeout,
            requests: Share::default(),
            connections: Share::default(),
            memory: Share::default(),
            failover: FailoverRules::default(),
            any_success: false,
            shared_by_fleet: false,
        }
    }

    /// The plan for the platform: one listener and one pool.
    pub fn platform(config: Config) -> Plan {
        let limits = Limits::from_platform(&config);
        let listener = Listener {
            name: "clients".into(),
            address: config.listen_address,
            connections: Share::default(),
            requests: Share::default(),
            memory_bytes: Share::default(),
        };
        let pool = Plan::platform_pool(&config, &limits);
        Plan {
            name: config.name,
            seed: config.seed,
            limits,
            listeners: vec![listener],
            pools: vec![pool],
            matching: RequestMatching::Platform,
            max_requests: usize::MAX,
            max_pinned_keys: 0,
            log_requests: if config.debug_logging { LogRequests::All } else { LogRequests::None },
            reload: ReloadSource::Platform(config.discovery_address_in_file),
            admin: config.admin_address,
            // The platform's documentation says that balancers share nothing.
            fleet: None,
        }
    }

    /// The plan for an operator's file, which was read from this path. `seed` applies if the file gives none.
    pub fn operator(path: String, mut operator: OperatorConfig, seed: u64) -> Plan {
        Plan {
            name: operator.name.clone(),
            seed: operator.seed.unwrap_or(seed),
            limits: Limits::from_operator(&operator),
            listeners: std::mem::take(&mut operator.listeners),
            pools: std::mem::take(&mut operator.pools).into_iter().map(PoolPlan::from).collect(),
            max_requests: operator.max_requests,
            max_pinned_keys: operator.max_pinned_keys,
            log_requests: operator.logging.requests,
            admin: operator.admin_address,
            fleet: operator.fleet.take(),
            matching: RequestMatching::Routes(Box::new(operator)),
            reload: ReloadSource::File(path),
        }
    }
}

impl From<Pool> for PoolPlan {
    fn from(p: Pool) -> PoolPlan {
        PoolPlan {
            name: p.name,
            site: p.site,
            identity: Some(p.identity),
            nodes: p.nodes,
            known_list: None,
            connect_timeout: p.connect_timeout,
            idle_timeout: p.idle_timeout,
            requests: p.requests,
            connections: p.connections,
            memory: p.memory_bytes,
            failover: p.failover,
            any_success: true,
            shared_by_fleet: p.instances_from_fleet,
        }
    }
}

impl PoolPlan {
    /// Returns the settings of the pool's connections, which count against this holder's share.
    pub(crate) fn connection_settings(&self, holder: HolderId) -> ConnectionSettings {
        let (connect_timeout, idle_timeout) = (self.connect_timeout, self.idle_timeout);
        let (memory, any_success) = (self.memory, self.any_success);
        ConnectionSettings { connect_timeout, idle_timeout, holder, memory, any_success }
    }
}
