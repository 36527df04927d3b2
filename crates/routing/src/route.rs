//! What a matched route says of its request.

use crate::pattern::{Matcher, RequestView};
use crate::split::Split;
use crate::table::PathParams;
use garnettally_model::{ClassId, Micros};
use std::borrow::Cow;

/// Where a value is taken from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueSource {
    /// This text.
    Fixed(String),
    /// The first header of this name.
    Header(String),
    /// The first query parameter of this name.
    Query(String),
    /// The parameter at this place of the path's template.
    Param(usize),
}

impl ValueSource {
    /// The value in a request; empty ones count as absent.
    pub fn extract<'a>(&'a self, s: &'a RequestView<'_>, params: &PathParams<'a>) -> Option<Cow<'a, str>> {
        let value = match self {
            ValueSource::Fixed(text) => Some(Cow::Borrowed(text.as_str())),
            ValueSource::Header(name) => s.headers.header(name).map(Cow::Borrowed),
            ValueSource::Query(name) => s.query_value(name),
            ValueSource::Param(at) => params.get(*at).map(Cow::Borrowed),
        };
        value.filter(|v| !v.is_empty())
    }
}

/// How long a request may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadlineRule {
    /// Where its client says so, in seconds with decimals.
    pub source: Option<ValueSource>,
    /// Without a word of the client's.
    pub default: Micros,
    /// At the most, whatever the client says.
    pub ceiling: Micros,
}

/// A deadline that is no number of seconds above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the deadline is no number of seconds above 0")]
pub struct InvalidDeadline;

impl DeadlineRule {
    /// The time that a request has.
    pub fn resolve(&self, s: &RequestView<'_>, params: &PathParams<'_>) -> Result<Micros, InvalidDeadline> {
        let Some(text) = self.source.as_ref().and_then(|source| source.extract(s, params)) else {
            return Ok(self.default.min(self.ceiling));
        };
        let seconds =
            text.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v > 0.0).ok_or(InvalidDeadline)?;
        let micros = (seconds * 1e6).min(self.ceiling.0 as f64);
        Ok(Micros(micros as i64))
    }
}

/// Which pools a route's requests go to, each by its place in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolChoice {
    /// This one.
    Single(usize),
    /// Several by weight: a key always goes to the same one.
    Split(Split),
    /// The first of them that is fit.
    Failover(Vec<usize>),
}

impl PoolChoice {
    /// All of them.
    pub fn pool_indices(&self) -> Vec<usize> {
        match self {
            PoolChoice::Single(pool) => vec![*pool],
            PoolChoice::Split(split) => split.parts().iter().map(|p| p.target).collect(),
            PoolChoice::Failover(list) => list.clone(),
        }
    }

    /// Whether a repeat of a key could go to another pool than its first attempt.
    pub fn has_several(&self) -> bool {
        !matches!(self, PoolChoice::Single(_))
    }
}

/// A copy of some requests that is sent to another pool, whose answers nobody sees.
#[derive(Clone, Debug, PartialEq)]
pub struct Mirror {
    /// The shadow pool.
    pub pool: usize,
    /// The part of the requests, from 0 to 1.
    pub share: f64,
}

impl Mirror {
    /// Whether a request is copied; decided by its number, so that no state is kept.
    pub fn selects(&self, number: u64) -> bool {
        crate::unit_interval(crate::stable_hash(2, &number.to_le_bytes())) < self.share
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What it matches.
    pub matcher: Matcher,
    /// The class of its requests.
    pub class: ClassId,
    /// Where their tenant is told.
    pub tenant: Option<ValueSource>,
    /// Where their key is told.
    pub key: Option<ValueSource>,
    /// How long they may take.
    pub deadline: DeadlineRule,
    /// Where they go.
    pub pools: PoolChoice,
    /// Where copies of them go.
    pub mirror: Option<Mirror>,
}

#[cfg(test)]
#[path = "route_tests.rs"]
mod tests;
