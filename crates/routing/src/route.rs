//! What a matched route determines for its request.

use crate::pattern::{Matcher, RequestView};
use crate::split::Split;
use crate::table::PathParams;
use garnettally_model::{ClassId, Micros};
use std::borrow::Cow;

/// Where a value is taken from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueSource {
    /// This fixed text.
    Fixed(String),
    /// The first header of this name.
    Header(String),
    /// The first query parameter of this name.
    Query(String),
    /// The parameter with this index in the path's template.
    Param(usize),
}

impl ValueSource {
    /// The value for a request; an empty value counts as absent.
    pub fn extract<'a>(
        &'a self,
        request: &'a RequestView<'_>,
        params: &PathParams<'a>,
    ) -> Option<Cow<'a, str>> {
        let value = match self {
            ValueSource::Fixed(text) => Some(Cow::Borrowed(text.as_str())),
            ValueSource::Header(name) => request.headers.header(name).map(Cow::Borrowed),
            ValueSource::Query(name) => request.query_value(name),
            ValueSource::Param(index) => params.get(*index).map(Cow::Borrowed),
        };
        value.filter(|v| !v.is_empty())
    }
}

/// How the deadline of a request is determined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadlineRule {
    /// Where the client sends the deadline, in seconds with decimals.
    pub source: Option<ValueSource>,
    /// The deadline if the client sends none.
    pub default: Micros,
    /// The longest deadline, whatever the client sends.
    pub ceiling: Micros,
}

/// The deadline sent by the client is not a number of seconds above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the deadline is not a number of seconds above 0")]
pub struct InvalidDeadline;

impl DeadlineRule {
    /// The time that a request has until its deadline.
    pub fn resolve(
        &self,
        request: &RequestView<'_>,
        params: &PathParams<'_>,
    ) -> Result<Micros, InvalidDeadline> {
        let Some(text) = self.source.as_ref().and_then(|source| source.extract(request, params)) else {
            return Ok(self.default.min(self.ceiling));
        };
        let seconds =
            text.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v > 0.0).ok_or(InvalidDeadline)?;
        let micros = (seconds * 1e6).min(self.ceiling.0 as f64);
        Ok(Micros(micros as i64))
    }
}

/// The pools that a route's requests go to, given by their indices in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolChoice {
    /// All requests go to this pool.
    Single(usize),
    /// Requests are split over several pools by weight; a key always goes to the same pool.
    Split(Split),
    /// Requests go to the first pool of this list that has enough healthy nodes.
    Failover(Vec<usize>),
}

impl PoolChoice {
    /// The indices of all pools of the route.
    pub fn pool_indices(&self) -> Vec<usize> {
        match self {
            PoolChoice::Single(pool) => vec![*pool],
            PoolChoice::Split(split) => split.parts().iter().map(|p| p.target).collect(),
            PoolChoice::Failover(list) => list.clone(),
        }
    }

    /// Whether a repeat of a key could go to another pool than its first attempt did.
    pub fn has_several_pools(&self) -> bool {
        !matches!(self, PoolChoice::Single(_))
    }
}

/// Copies a part of the requests to another pool, whose answers are discarded.
#[derive(Clone, Debug, PartialEq)]
pub struct Mirror {
    /// The index of the pool that receives the copies.
    pub pool: usize,
    /// The part of the requests that are copied, from 0 to 1.
    pub share: f64,
}

impl Mirror {
    /// Whether a request is copied. The decision depends on the number of the request alone, so no state is
    /// needed.
    pub fn selects(&self, number: u64) -> bool {
        crate::unit_interval(crate::stable_hash(2, &number.to_le_bytes())) < self.share
    }
}

/// A route: what it matches, and how the requests that match are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route in the configuration.
    pub name: String,
    /// The requests that the route matches.
    pub matcher: Matcher,
    /// The class of the route's requests.
    pub class: ClassId,
    /// Where a request's tenant is read from.
    pub tenant: Option<ValueSource>,
    /// Where a request's key is read from.
    pub key: Option<ValueSource>,
    /// How the deadline of a request is determined.
    pub deadline: DeadlineRule,
    /// The pools that requests go to.
    pub pools: PoolChoice,
    /// The pool that copies of requests go to, and their part.
    pub mirror: Option<Mirror>,
}

#[cfg(test)]
#[path = "route_tests.rs"]
mod tests;
