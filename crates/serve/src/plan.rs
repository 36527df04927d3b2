//! What one process is to serve, whoever says so: the platform's configuration or an operator's file.

use crate::upstreams::Terms;
use crate::Limits;
use garnettally_config::file::format::LogRequests;
use garnettally_config::file::{Fleet, Listener, OperatorConfig, Pool, PoolIdentity, PoolNodes};
use garnettally_config::platform::Config;
use garnettally_model::{HostList, Site};
use garnettally_routing::budget::{HolderId, Share};
use garnettally_routing::failover::FailoverRules;
use std::net::SocketAddr;
use std::time::Duration;

/// What one process is to serve.
pub struct Plan {
    /// Its name.
    pub name: String,
    /// For random numbers.
    pub seed: u64,
    /// Sizes, counts and times.
    pub limits: Limits,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// The pools.
    pub pools: Vec<PoolPlan>,
    /// How a request finds its class and pool.
    pub guide: Guide,
    /// Requests in flight.
    pub requests: usize,
    /// Keys whose windows are open.
    pub pins: usize,
    /// Which requests get a log line.
    pub log_requests: LogRequests,
    /// What SIGHUP reads again.
    pub reload: Reload,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    /// The other balancers; `None`: nothing is shared with any, and no socket is opened for it.
    pub fleet: Option<Fleet>,
}

/// How a request finds its class and pool.
pub enum Guide {
    /// As the platform's protocol says: the first part of the path is the class, and there is one pool.
    Platform,
    /// By the routes of the operator's file.
    Routes(Box<OperatorConfig>),
}

/// What SIGHUP reads again.
pub enum Reload {
    /// The platform's configuration, whose `discovery` was this.
    Platform(Option<SocketAddr>),
    /// The operator's file at this path.
    File(String),
}

/// One pool.
pub struct PoolPlan {
    /// Its name.
    pub name: String,
    /// What its instance of the module is given.
    pub site: Site,
    /// What makes that instance what it is.
    pub basis: Option<PoolIdentity>,
    /// Where its nodes are told.
    pub nodes: PoolNodes,
    /// The list as it was last held.
    pub known: Option<HostList>,
    /// How long opening a connection may take.
    pub connect: Duration,
    /// How long one between requests is kept.
    pub keep: Duration,
    /// Its share of the requests in flight.
    pub requests: Share,
    /// Its share of the connections.
    pub connections: Share,
    /// Its share of the memory for unfinished answers, in bytes.
    pub memory: Share,
    /// When it is left in a failover list.
    pub failover: FailoverRules,
    /// Any 2xx or 3xx answer serves a request.
    pub any_success: bool,
    /// Its nodes are shared by as many instances as the fleet has members.
    pub shared_by_fleet: bool,
}

impl Plan {
    /// The platform's one pool, by this configuration.
    pub fn platform_pool(config: &Config, limits: &Limits) -> PoolPlan {
        PoolPlan {
            name: "upstreams".into(),
            site: config.site.clone(),
            basis: None,
            nodes: PoolNodes::Discovery(config.discovery_address),
            known: Some(config.known_hosts.clone()),
            connect: limits.upstream_connect_timeout,
            keep: limits.upstream_idle_timeout,
            requests: Share::default(),
            connections: Share::default(),
            memory: Share::default(),
            failover: FailoverRules::default(),
            any_success: false,
            shared_by_fleet: false,
        }
    }

    /// The platform's: one listener, one pool.
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
            guide: Guide::Platform,
            requests: usize::MAX,
            pins: 0,
            log_requests: if config.debug_logging { LogRequests::All } else { LogRequests::None },
            reload: Reload::Platform(config.discovery_address_in_file),
            admin: config.admin_address,
            // The platform's pages say that balancers share nothing.
            fleet: None,
        }
    }

    /// An operator's, read from this path. A seed that the file does not give is `seed`.
    pub fn operator(path: String, mut operator: OperatorConfig, seed: u64) -> Plan {
        Plan {
            name: operator.name.clone(),
            seed: operator.seed.unwrap_or(seed),
            limits: Limits::from_operator(&operator),
            listeners: std::mem::take(&mut operator.listeners),
            pools: std::mem::take(&mut operator.pools).into_iter().map(PoolPlan::from).collect(),
            requests: operator.max_requests,
            pins: operator.max_pinned_keys,
            log_requests: operator.logging.requests,
            admin: operator.admin_address,
            fleet: operator.fleet.take(),
            guide: Guide::Routes(Box::new(operator)),
            reload: Reload::File(path),
        }
    }
}

impl From<Pool> for PoolPlan {
    fn from(p: Pool) -> PoolPlan {
        PoolPlan {
            name: p.name,
            site: p.site,
            basis: Some(p.identity),
            nodes: p.nodes,
            known: None,
            connect: p.connect_timeout,
            keep: p.idle_timeout,
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
    /// What its connections go by.
    pub(crate) fn terms(&self, holder: HolderId) -> Terms {
        let (connect, keep, memory, any_success) = (self.connect, self.keep, self.memory, self.any_success);
        Terms { connect, keep, holder, memory, any_success }
    }
}
