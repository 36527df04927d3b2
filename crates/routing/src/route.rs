//! What a matched route says of its request.

use crate::pattern::{Matcher, Subject};
use crate::split::Split;
use crate::table::Params;
use garnettally_model::{ClassId, Micros};
use std::borrow::Cow;

/// Where a value is taken from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This text.
    Value(String),
    /// The first header of this name.
    Header(String),
    /// The first query parameter of this name.
    Query(String),
    /// The parameter at this place of the path's template.
    Param(usize),
}

impl Source {
    /// The value in a request; empty ones count as absent.
    pub fn take<'a>(&'a self, s: &'a Subject<'_>, params: &Params<'a>) -> Option<Cow<'a, str>> {
        let value = match self {
            Source::Value(text) => Some(Cow::Borrowed(text.as_str())),
            Source::Header(name) => s.headers.header(name).map(Cow::Borrowed),
            Source::Query(name) => s.query_value(name),
            Source::Param(at) => params.get(*at).map(Cow::Borrowed),
        };
        value.filter(|v| !v.is_empty())
    }
}

/// How long a request may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadlineRule {
    /// Where its client says so, in seconds with decimals.
    pub source: Option<Source>,
    /// Without a word of the client's.
    pub default: Micros,
    /// At the most, whatever the client says.
    pub ceiling: Micros,
}

/// A deadline that is no number of seconds above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the deadline is no number of seconds above 0")]
pub struct BadDeadline;

impl DeadlineRule {
    /// The time that a request has.
    pub fn time(&self, s: &Subject<'_>, params: &Params<'_>) -> Result<Micros, BadDeadline> {
        let Some(text) = self.source.as_ref().and_then(|source| source.take(s, params)) else {
            return Ok(self.default.min(self.ceiling));
        };
        let seconds =
            text.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v > 0.0).ok_or(BadDeadline)?;
        let micros = (seconds * 1e6).min(self.ceiling.0 as f64);
        Ok(Micros(micros as i64))
    }
}

/// Which pools a route's requests go to, each by its place in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Pools {
    /// This one.
    One(usize),
    /// Several by weight: a key always goes to the same one.
    Split(Split),
    /// The first of them that is fit.
    Failover(Vec<usize>),
}

impl Pools {
    /// All of them.
    pub fn all(&self) -> Vec<usize> {
        match self {
            Pools::One(pool) => vec![*pool],
            Pools::Split(split) => split.parts().iter().map(|p| p.to).collect(),
            Pools::Failover(list) => list.clone(),
        }
    }

    /// Whether a repeat of a key could go to another pool than its first attempt.
    pub fn several(&self) -> bool {
        !matches!(self, Pools::One(_))
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
    pub fn takes(&self, number: u64) -> bool {
        crate::unit(crate::stable_hash(2, &number.to_le_bytes())) < self.share
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
    pub tenant: Option<Source>,
    /// Where their key is told.
    pub key: Option<Source>,
    /// How long they may take.
    pub deadline: DeadlineRule,
    /// Where they go.
    pub pools: Pools,
    /// Where copies of them go.
    pub mirror: Option<Mirror>,
}

#[cfg(test)]
#[path = "route_tests.rs"]
mod tests;
