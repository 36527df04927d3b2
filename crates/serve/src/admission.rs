//! From a request to the class, tenant, key and pool that it gets: by the platform's protocol, or by the routes of
//! the version in force.

use crate::http::{self, Bad, Request};
use crate::pools::PoolId;
use crate::Proxy;
use garnettally_config::file::format::LogRequests;
use garnettally_config::file::OperatorConfig;
use garnettally_decisions::facade::{ClassId, Effect, KeyId, Micros, TenantId};
use garnettally_model::key_id;
use garnettally_routing::budget::HolderId;
use garnettally_routing::failover;
use garnettally_routing::pattern::RequestView;
use garnettally_routing::route::{PoolChoice, Route};
use garnettally_routing::stable_hash;
use garnettally_routing::table::RouteTable;
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One version of the operator's file, in force.
pub struct Version {
    table: RouteTable,
    routes: Vec<Rc<RouteInForce>>,
    classes: Vec<(String, Effect)>,
    tenants: FxHashMap<String, TenantId>,
}

/// A route, and what its requests are counted in.
pub struct RouteInForce {
    pub route: Route,
    pub holder: HolderId,
    /// The pools of the version, by their places in its file.
    pools: Rc<[PoolId]>,
}

impl Version {
    /// Puts a checked file in force, with the pools that its own stand for.
    pub fn new(
        operator: OperatorConfig,
        pools: Vec<PoolId>,
        mut holder: impl FnMut(&str, garnettally_routing::budget::Share) -> HolderId,
    ) -> Version {
        let pools: Rc<[PoolId]> = pools.into();
        let routes = operator.routes.into_iter().map(|(route, share)| {
            Rc::new(RouteInForce { holder: holder(&route.name, share), route, pools: pools.clone() })
        });
        let tenants = operator.tenants.into_iter().enumerate().map(|(i, name)| (name, TenantId(i as u32)));
        Version {
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

    /// The routes and what they are counted in.
    pub fn holders(&self) -> impl Iterator<Item = (&str, HolderId)> {
        self.routes.iter().map(|r| (r.route.name.as_str(), r.holder))
    }
}

/// What a request that finds no room is told: limits free up within about the time that requests take.
pub const RETURN_AFTER: Duration = Duration::from_secs(1);

/// Why a request can't be taken.
pub enum Unfit {
    /// It is at fault.
    Bad(Bad),
    /// There is no room for it, or nowhere that it may go: trying again is harmless.
    Refused { retry_after: Option<Duration>, route: Option<Rc<RouteInForce>> },
}

/// A request that can be taken, as far as routing tells.
pub struct Admitted {
    pub id: String,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub deadline: Duration,
    pub cost: Option<Duration>,
    pub repeat: bool,
    /// What it concerns, as the module is told.
    pub subject: Option<KeyId>,
    pub pool: PoolId,
    /// Where it may go if nothing of it can have run there, in order.
    pub others: Vec<PoolId>,
    pub route: Option<Rc<RouteInForce>>,
    /// Its key and window, where a repeat must not go to another pool.
    pub pin: Option<(u64, Micros)>,
    /// The pool that gets a copy.
    pub mirror: Option<PoolId>,
    /// The names of class and tenant, for the log.
    pub labels: Option<Labels>,
    /// The class's name, for the figures: open requests keep it across a reload.
    pub class_name: Rc<str>,
    /// For how long after an attempt that may have run another may be sent; `None`: for ever.
    pub repeat_within: Option<Duration>,
}

/// The same, as the class's effect has it.
fn repeat_within(effect: &Effect) -> Option<Duration> {
    match effect {
        Effect::Safe => None,
        Effect::Keyed { window, .. } => Some(Duration::from_micros(window.0.max(0) as u64)),
        Effect::Unsafe => Some(Duration::ZERO),
    }
}

/// Names for the log.
#[derive(Clone)]
pub struct Labels {
    pub class: String,
    pub tenant: Option<String>,
}

impl Proxy {
    /// Finds class and pool of a request.
    pub fn admit(&mut self, request: &mut Request, now: Instant) -> Result<Admitted, Unfit> {
        match &self.version {
            Some(version) => {
                let version = version.clone();
                self.admit_by_route(&version, request, now)
            }
            None => self.admit_by_protocol(request).map_err(Unfit::Bad),
        }
    }

    fn admit_by_protocol(&self, request: &Request) -> Result<Admitted, Bad> {
        let call = http::call(request)?;
        // The newest settings that know the class, served by a pool that is ready; before a new pool has its list,
        // the one of the settings before serves what it knows.
        let knows = |p: &&crate::pools::Pool| !p.is_retired && p.decisions.class(call.class).is_some();
        let newest_ready = self.pools.iter().filter(knows).filter(|p| p.was_ready).last();
        let pool = newest_ready.or_else(|| self.pools.iter().filter(knows).last()).ok_or(Bad(404))?;
        let (class, effect) = pool.decisions.class(call.class).ok_or(Bad(404))?;
        match effect {
            Effect::Safe if !call.read_only => return Err(Bad(405)),
            Effect::Keyed { .. } | Effect::Unsafe if call.read_only => return Err(Bad(405)),
            Effect::Keyed { .. } if !call.keyed => return Err(Bad(400)),
            _ => {}
        }
        Ok(Admitted {
            id: call.id.to_string(),
            class,
            tenant: call.owner.and_then(|t| pool.decisions.tenant(t)),
            deadline: call.deadline,
            cost: call.cost,
            repeat: call.repeat,
            subject: call.subject.map(key_id),
            pool: pool.id,
            others: Vec::new(),
            route: None,
            pin: None,
            mirror: None,
            labels: None,
            class_name: call.class.into(),
            repeat_within: repeat_within(&effect),
        })
    }

    fn admit_by_route(
        &mut self,
        version: &Version,
        request: &mut Request,
        now: Instant,
    ) -> Result<Admitted, Unfit> {
        let at = self.net.clock.at(now);
        let id = match &request.id {
            Some(id) if !id.is_empty() => id.clone(),
            _ => {
                let id = format!("{:016x}", self.net.rng.u64(..));
                request.add_header("Req-Id", &id);
                id
            }
        };
        let request = &*request;
        let subject = RequestView {
            method: &request.method,
            host: &request.host,
            path: request.path(),
            query: request.query(),
            headers: request,
        };
        let found = version.table.find(&subject).ok_or(Unfit::Bad(Bad(404)))?;
        let in_force = version.routes[found.route_index].clone();
        let route = &in_force.route;
        let refused = |retry_after| Unfit::Refused { retry_after, route: Some(in_force.clone()) };
        let (class, effect) = &version.classes[route.class.0 as usize];
        let tenant = route.tenant.as_ref().and_then(|s| s.extract(&subject, &found.params));
        let key_text = route.key.as_ref().and_then(|s| s.extract(&subject, &found.params));
        if matches!(effect, Effect::Keyed { .. }) && key_text.is_none() {
            return Err(Unfit::Bad(Bad(400)));
        }
        let deadline = route.deadline.resolve(&subject, &found.params).map_err(|_| Unfit::Bad(Bad(400)))?;
        let (cost, repeat) = http::hints(request).map_err(Unfit::Bad)?;
        // Keys of one class are one space; what else is hashed is this process's own affair.
        let hashed = |text: &str| stable_hash(self.key_seed ^ u64::from(route.class.0), text.as_bytes());
        let pin = match (effect, &key_text) {
            (Effect::Keyed { window, .. }, Some(text)) => Some((hashed(text), *window)),
            _ => None,
        };
        // Where a key goes must be the same in every process, so that hash has no seed.
        let spread = match &key_text {
            Some(text) => stable_hash(0, text.as_bytes()),
            None => stable_hash(0, id.as_bytes()),
        };
        let place = |place: usize| in_force.pools[place];
        let (mut pool, mut others) = match &route.pools {
            PoolChoice::Single(only) => (place(*only), Vec::new()),
            PoolChoice::Split(split) => {
                let none = refused(None);
                (place(split.choose(spread).ok_or(none)?), Vec::new())
            }
            PoolChoice::Failover(list) => {
                let ids: Vec<PoolId> = list.iter().map(|&p| place(p)).collect();
                let fitness = ids.iter().filter_map(|&id| self.pools.get(id)).map(|p| &p.failover);
                let first = failover::choose_pool(fitness, at, spread).unwrap_or(0);
                let others = ids.iter().enumerate().filter(|(i, _)| *i != first).map(|(_, id)| *id);
                (ids[first], others.collect())
            }
        };
        if let Some((key, _)) = pin {
            match self.pins.get(at, key) {
                Some((bound, until)) => {
                    // Only there a repeat is dropped; if it is gone, the window has to end first.
                    if self.pools.get(bound).is_none_or(|p| p.is_retired) {
                        let wait = Duration::from_micros((until - at).0.max(0) as u64);
                        return Err(refused(Some(wait)));
                    }
                    (pool, others) = (bound, Vec::new());
                }
                None if route.pools.has_several() && self.pins.is_full(at) => {
                    return Err(refused(Some(RETURN_AFTER)));
                }
                None => {}
            }
        }
        // Without a node there is nothing to wait for; the next pool of a list is asked at once.
        let serves = |id: PoolId| self.pools.get(id).is_some_and(|p| p.can_serve());
        while !serves(pool) {
            if others.is_empty() {
                return Err(refused(Some(RETURN_AFTER)));
            }
            pool = others.remove(0);
        }
        let labels = (self.log_requests != LogRequests::None)
            .then(|| Labels { class: class.clone(), tenant: tenant.as_deref().map(str::to_string) });
        Ok(Admitted {
            class: route.class,
            tenant: tenant.and_then(|t| version.tenants.get(&*t).copied()),
            deadline: Duration::from_micros(deadline.0.max(0) as u64),
            cost,
            repeat,
            subject: key_text.as_deref().map(key_id),
            pool,
            others,
            mirror: route
                .mirror
                .as_ref()
                .filter(|m| m.selects(stable_hash(0, id.as_bytes())))
                .map(|m| place(m.pool)),
            id,
            pin,
            class_name: class.as_str().into(),
            repeat_within: repeat_within(effect),
            labels,
            route: Some(in_force.clone()),
        })
    }

    /// Whose shares a request takes part in: its pool's, its route's and its listener's.
    pub fn holders(
        &self,
        pool: PoolId,
        route: Option<&RouteInForce>,
        listener: Option<HolderId>,
    ) -> [Option<HolderId>; 3] {
        [self.pools.get(pool).map(|p| p.requests), route.map(|r| r.holder), listener]
    }
}
