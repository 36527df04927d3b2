//! Determines the class, tenant, key and pool of a request: by the platform's protocol, or by the routes of
//! the active version of the operator's file.

use crate::http::{self, HttpError, Request};
use crate::pools::PoolId;
use crate::Proxy;
use garnettally_config::file::format::LogRequests;
use garnettally_config::file::OperatorConfig;
use garnettally_decisions::facade::{ClassId, Effect, KeyId, Micros, TenantId};
use garnettally_model::key_id;
use garnettally_routing::budget::HolderId;
use garnettally_routing::failover;
use garnettally_routing::pattern::RequestView;
use garnettally_routing::pins::PinKey;
use garnettally_routing::route::{PoolChoice, Route};
use garnettally_routing::stable_hash;
use garnettally_routing::table::RouteTable;
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The routing tables of one version of the operator's file.
pub struct ActiveConfig {
    table: RouteTable,
    routes: Vec<Rc<ActiveRoute>>,
    /// The name and effect of each class, by its identifier.
    classes: Vec<(String, Effect)>,
    tenants: FxHashMap<String, TenantId>,
}

/// A route of the active version, and its holder in the request budget.
pub struct ActiveRoute {
    pub route: Route,
    pub holder: HolderId,
    /// All pools of the version, by their index in the file.
    pools: Rc<[PoolId]>,
}

impl ActiveConfig {
    /// Builds the tables of a validated file. `pools`: the running pool for each pool in the file. `holder`
    /// returns the budget holder for a route of this name and share.
    pub fn new(
        operator: OperatorConfig,
        pools: Vec<PoolId>,
        mut holder: impl FnMut(&str, garnettally_routing::budget::Share) -> HolderId,
    ) -> ActiveConfig {
        let pools: Rc<[PoolId]> = pools.into();
        let routes = operator.routes.into_iter().map(|(route, share)| {
            Rc::new(ActiveRoute { holder: holder(&route.name, share), route, pools: pools.clone() })
        });
        let tenants = operator.tenants.into_iter().enumerate().map(|(i, name)| (name, TenantId(i as u32)));
        ActiveConfig {
            table: operator.table,
            routes: routes.collect(),
            classes: operator
                .classes
                .into_iter()
                .zip(operator.class_settings.iter().map(|c| c.effect))
                .collect(),
            tenants: tenants.collect(),
        }
    }

    /// The name of a class.
    pub fn class(&self, id: ClassId) -> &str {
        self.classes.get(id.0 as usize).map_or("", |c| c.0.as_str())
    }

    /// The name of each route, and its holder in the request budget.
    pub fn holders(&self) -> impl Iterator<Item = (&str, HolderId)> {
        self.routes.iter().map(|r| (r.route.name.as_str(), r.holder))
    }
}

/// The wait that a request without room is advised to take: limits become free within about the duration of a
/// request.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The reason for which a request is not admitted.
pub enum AdmissionError {
    /// The request itself is faulty.
    Rejected(HttpError),
    /// The limits have no room for the request, or no pool may get it; trying again is harmless.
    /// `retry_after`: the client's advised wait.
    Refused { retry_after: Option<Duration>, route: Option<Rc<ActiveRoute>> },
}

/// A request that routing admits; the limits are not checked yet.
pub struct Admitted {
    /// The caller's identifier of the request, or a random one.
    pub id: String,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// The time within which the response is due, from the arrival of the request.
    pub deadline: Duration,
    /// The caller's cost hint: the work that it expects the request to take.
    pub cost: Option<Duration>,
    /// Whether the client has sent this request before.
    pub repeat: bool,
    /// The identifier of the request's key, by which the decision module may keep the order of requests.
    pub order_key: Option<KeyId>,
    pub pool: PoolId,
    /// The pools that may get the request after `pool`, in order, if no attempt can have run.
    pub fallback_pools: Vec<PoolId>,
    pub route: Option<Rc<ActiveRoute>>,
    /// The idempotency key and its window, if a repeat must not go to another pool.
    pub pin: Option<(PinKey, Micros)>,
    /// The shadow pool that gets a mirrored copy.
    pub mirror: Option<PoolId>,
    /// The names of class and tenant for the log; `None`: requests are not logged.
    pub labels: Option<Labels>,
    /// The class's name for the metrics; open requests keep it across a reload.
    pub class_name: Rc<str>,
    /// For how long after an attempt that may have run another may be sent: zero for unsafe classes; `None`:
    /// without limit.
    pub repeat_within: Option<Duration>,
}

/// The value of [`Admitted::repeat_within`] for a class's effect.
fn repeat_within(effect: &Effect) -> Option<Duration> {
    match effect {
        Effect::Safe => None,
        Effect::Keyed { window, .. } => Some(Duration::from_micros(window.0.max(0) as u64)),
        Effect::Unsafe => Some(Duration::ZERO),
    }
}

/// The names that a request's log line contains.
#[derive(Clone)]
pub struct Labels {
    pub class: String,
    pub tenant: Option<String>,
}

impl Proxy {
    /// Determines the class, pool and further properties of a request.
    pub fn admit(&mut self, request: &mut Request, now: Instant) -> Result<Admitted, AdmissionError> {
        match &self.active_config {
            Some(config) => {
                let config = config.clone();
                self.admit_by_route(&config, request, now)
            }
            None => self.admit_by_protocol(request).map_err(AdmissionError::Rejected),
        }
    }

    /// Admits a request by the platform's protocol: the path names the class.
    fn admit_by_protocol(&self, request: &Request) -> Result<Admitted, HttpError> {
        let call = http::parse_call(request)?;
        // Among the pools whose settings contain the class, the newest one that is ready serves the request.
        // Until a new pool has its list, the pool of the previous settings serves the classes it has.
        let has_class = |p: &&crate::pools::Pool| !p.is_retired && p.decisions.class(call.class).is_some();
        let newest_ready = self.pools.iter().filter(has_class).filter(|p| p.was_ready).last();
        let pool =
            newest_ready.or_else(|| self.pools.iter().filter(has_class).last()).ok_or(HttpError(404))?;
        let (class, effect) = pool.decisions.class(call.class).ok_or(HttpError(404))?;
        match effect {
            Effect::Safe if !call.read_only => return Err(HttpError(405)),
            Effect::Keyed { .. } | Effect::Unsafe if call.read_only => return Err(HttpError(405)),
            Effect::Keyed { .. } if !call.keyed => return Err(HttpError(400)),
            _ => {}
        }
        Ok(Admitted {
            id: call.id.to_string(),
            class,
            tenant: call.owner.and_then(|t| pool.decisions.tenant(t)),
            deadline: call.deadline,
            cost: call.cost,
            repeat: call.repeat,
            order_key: call.order_key.map(key_id),
            pool: pool.id,
            fallback_pools: Vec::new(),
            route: None,
            pin: None,
            mirror: None,
            labels: None,
            class_name: call.class.into(),
            repeat_within: repeat_within(&effect),
        })
    }

    /// Admits a request by the routes of the operator's file.
    fn admit_by_route(
        &mut self,
        config: &ActiveConfig,
        request: &mut Request,
        now: Instant,
    ) -> Result<Admitted, AdmissionError> {
        let at = self.net.clock.unix_time(now);
        let id = match &request.id {
            Some(id) if !id.is_empty() => id.clone(),
            _ => {
                let id = format!("{:016x}", self.net.rng.u64(..));
                request.add_header("Req-Id", &id);
                id
            }
        };
        let request = &*request;
        let view = RequestView {
            method: &request.method,
            host: &request.host,
            path: request.path(),
            query: request.query(),
            headers: request,
        };
        let matched = config.table.find(&view).ok_or(AdmissionError::Rejected(HttpError(404)))?;
        let active_route = config.routes[matched.route_index].clone();
        let route = &active_route.route;
        let refused =
            |retry_after| AdmissionError::Refused { retry_after, route: Some(active_route.clone()) };
        let (class, effect) = &config.classes[route.class.0 as usize];
        let tenant = route.tenant.as_ref().and_then(|s| s.extract(&view, &matched.params));
        let key_text = route.key.as_ref().and_then(|s| s.extract(&view, &matched.params));
        if matches!(effect, Effect::Keyed { .. }) && key_text.is_none() {
            return Err(AdmissionError::Rejected(HttpError(400)));
        }
        let deadline = route
            .deadline
            .resolve(&view, &matched.params)
            .map_err(|_| AdmissionError::Rejected(HttpError(400)))?;
        let (cost, repeat) = http::parse_hints(request).map_err(AdmissionError::Rejected)?;
        let pin = match (effect, &key_text) {
            (Effect::Keyed { window, .. }, Some(text)) => {
                Some((PinKey::new(self.key_seed, class, text), *window))
            }
            _ => None,
        };
        // Every process has to choose the same pool for a key, so this hash has no seed.
        let pool_hash = match &key_text {
            Some(text) => stable_hash(0, text.as_bytes()),
            None => stable_hash(0, id.as_bytes()),
        };
        let pool_id = |index: usize| active_route.pools[index];
        let (mut pool, mut fallback_pools) = match &route.pools {
            PoolChoice::Single(only) => (pool_id(*only), Vec::new()),
            PoolChoice::Split(split) => {
                let refusal = refused(None);
                (pool_id(split.choose(pool_hash).ok_or(refusal)?), Vec::new())
            }
            PoolChoice::Failover(list) => {
                let ids: Vec<PoolId> = list.iter().map(|&p| pool_id(p)).collect();
                let fitness = ids.iter().filter_map(|&id| self.pools.get(id)).map(|p| &p.failover);
                let first = failover::choose_pool(fitness, at, pool_hash).unwrap_or(0);
                let fallbacks = ids.iter().enumerate().filter(|(i, _)| *i != first).map(|(_, id)| *id);
                (ids[first], fallbacks.collect())
            }
        };
        if let Some((key, _)) = pin {
            match self.pins.get(at, key) {
                Some((pinned, until)) => {
                    // Only the pinned pool recognizes a repeat. If that pool was removed, the request has to
                    // wait until the window ends.
                    if self.pools.get(pinned).is_none_or(|p| p.is_retired) {
                        let wait = Duration::from_micros((until - at).0.max(0) as u64);
                        return Err(refused(Some(wait)));
                    }
                    (pool, fallback_pools) = (pinned, Vec::new());
                }
                None if route.pools.has_several_pools() && self.pins.is_full(at) => {
                    return Err(refused(Some(RETRY_AFTER)));
                }
                None => {}
            }
        }
        // A pool without nodes can't serve the request; the next pool of the list is chosen at once.
        let serves = |id: PoolId| self.pools.get(id).is_some_and(|p| p.can_serve());
        while !serves(pool) {
            if fallback_pools.is_empty() {
                return Err(refused(Some(RETRY_AFTER)));
            }
            pool = fallback_pools.remove(0);
        }
        let labels = (self.log_requests != LogRequests::None)
            .then(|| Labels { class: class.clone(), tenant: tenant.as_deref().map(str::to_string) });
        Ok(Admitted {
            class: route.class,
            tenant: tenant.and_then(|t| config.tenants.get(&*t).copied()),
            deadline: Duration::from_micros(deadline.0.max(0) as u64),
            cost,
            repeat,
            order_key: key_text.as_deref().map(key_id),
            pool,
            fallback_pools,
            mirror: route
                .mirror
                .as_ref()
                .filter(|m| m.selects(stable_hash(0, id.as_bytes())))
                .map(|m| pool_id(m.pool)),
            id,
            pin,
            class_name: class.as_str().into(),
            repeat_within: repeat_within(effect),
            labels,
            route: Some(active_route.clone()),
        })
    }

    /// The holders in the request budget that a request is counted in: its pool, its route and its listener.
    pub fn holders(
        &self,
        pool: PoolId,
        route: Option<&ActiveRoute>,
        listener: Option<HolderId>,
    ) -> [Option<HolderId>; 3] {
        [self.pools.get(pool).map(|p| p.requests), route.map(|r| r.holder), listener]
    }
}
