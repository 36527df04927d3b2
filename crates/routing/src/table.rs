//! The table of routes: host, then a trie of path segments, then the few routes that share both.
//!
//! The cost of a match does not grow with the number of routes: hosts and literal segments are looked up by
//! hash, and no more than [`MAX_ROUTES_PER_PATH`] routes may share a host and a path. Nothing is allocated.

use crate::pattern::*;
use rustc_hash::FxHashMap;

/// The most routes that may share one host pattern and one path pattern.
pub const MAX_ROUTES_PER_PATH: usize = 64;

/// Why routes can't stand together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteConflict {
    /// Neither is more specific, and a request can fit both.
    #[error("routes {first:?} and {second:?} match the same requests, and neither is more specific")]
    Ambiguous {
        /// The one that stands first.
        first: String,
        /// The other.
        second: String,
        /// The place of the other.
        route_index: usize,
    },
    /// Too many routes are told apart by method, headers and query alone.
    #[error("route {name:?} is one too many for its host and path: {MAX_ROUTES_PER_PATH} at most")]
    TooManyRoutes {
        /// The route.
        name: String,
        /// Its place.
        route_index: usize,
    },
}

impl RouteConflict {
    /// The place of the route at fault among those that were handed in.
    pub fn route_index(&self) -> usize {
        match self {
            RouteConflict::Ambiguous { route_index, .. }
            | RouteConflict::TooManyRoutes { route_index, .. } => *route_index,
        }
    }
}

/// The values of a template's parameters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathParams<'p> {
    values: [&'p str; MAX_PARAMS],
    n: usize,
}

impl<'p> PathParams<'p> {
    /// The value of the parameter at this place.
    pub fn get(&self, index: usize) -> Option<&'p str> {
        self.values[..self.n].get(index).copied()
    }
}

/// A route that fits, and the values of its path's parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'p> {
    /// Its place among the routes that were handed in.
    pub route_index: usize,
    /// The parameters, in the order of its pattern.
    pub params: PathParams<'p>,
}

/// What a literal segment leads to. Most nodes have one, which is compared and not hashed: with many routes the
/// cost of a match is that of memory that is not in the cache.
#[derive(Default)]
enum Literals {
    #[default]
    None,
    One(Box<str>, u32),
    Many(FxHashMap<Box<str>, u32>),
}

impl Literals {
    fn get(&self, segment: &str) -> Option<u32> {
        match self {
            Literals::None => None,
            Literals::One(text, to) => (**text == *segment).then_some(*to),
            Literals::Many(map) => map.get(segment).copied(),
        }
    }

    fn insert(&mut self, segment: Box<str>, to: u32) {
        *self = match std::mem::take(self) {
            Literals::None => Literals::One(segment, to),
            Literals::One(text, other) => {
                Literals::Many([(text, other), (segment, to)].into_iter().collect())
            }
            Literals::Many(mut map) => {
                map.insert(segment, to);
                Literals::Many(map)
            }
        };
    }
}

/// A route that a path leads to.
#[derive(Clone, Copy)]
struct End {
    route: u32,
    /// It tests nothing else.
    plain: bool,
}

#[derive(Default)]
struct Node {
    literals: Literals,
    param: Option<u32>,
    /// Routes whose path ends here, and those that it is a prefix of, the most specific first.
    ends: Vec<End>,
    prefixes: Vec<End>,
}

/// The routes of one version.
pub struct RouteTable {
    matchers: Vec<Matcher>,
    nodes: Vec<Node>,
    /// The roots of the tries.
    exact: FxHashMap<String, u32>,
    under: FxHashMap<String, u32>,
    any: u32,
}

impl RouteTable {
    /// The table of these routes, or all the reasons why they can't stand together.
    pub fn new(routes: Vec<(String, Matcher)>) -> Result<RouteTable, Vec<RouteConflict>> {
        let (names, matchers): (Vec<_>, Vec<_>) = routes.into_iter().unzip();
        let mut t = RouteTable {
            matchers,
            nodes: vec![Node::default()],
            exact: FxHashMap::default(),
            under: FxHashMap::default(),
            any: 0,
        };
        let mut conflicts = Vec::new();
        for at in 0..t.matchers.len() {
            let node = t.place(at);
            let prefix = t.matchers[at].path.is_prefix;
            let list = if prefix { &t.nodes[node].prefixes } else { &t.nodes[node].ends };
            let this = &t.matchers[at];
            let clash = list.iter().find(|other| {
                let other = &t.matchers[other.route as usize];
                other.field_specificity() == this.field_specificity() && !other.excludes(this)
            });
            if let Some(first) = clash {
                let (first, second) = (names[first.route as usize].clone(), names[at].clone());
                conflicts.push(RouteConflict::Ambiguous { first, second, route_index: at });
                continue;
            }
            if list.len() == MAX_ROUTES_PER_PATH {
                conflicts.push(RouteConflict::TooManyRoutes { name: names[at].clone(), route_index: at });
                continue;
            }
            let rank = this.field_specificity();
            let place = list.iter().position(|o| t.matchers[o.route as usize].field_specificity() < rank);
            let place = place.unwrap_or(list.len());
            let node = &mut t.nodes[node];
            let list = if prefix { &mut node.prefixes } else { &mut node.ends };
            list.insert(place, End { route: at as u32, plain: rank == (false, 0) });
        }
        if conflicts.is_empty() {
            Ok(t)
        } else {
            Err(conflicts)
        }
    }

    fn add(&mut self) -> u32 {
        self.nodes.push(Node::default());
        (self.nodes.len() - 1) as u32
    }

    /// The node at which a route's path ends.
    fn place(&mut self, route_index: usize) -> usize {
        let host = self.matchers[route_index].host.clone();
        let root = match &host {
            HostPattern::Any => Some(self.any),
            HostPattern::Exact(name) => self.exact.get(name).copied(),
            HostPattern::Subdomains(domain) => self.under.get(domain).copied(),
        };
        let mut here = root.unwrap_or_else(|| {
            let root = self.add();
            match host {
                HostPattern::Any => {}
                HostPattern::Exact(name) => drop(self.exact.insert(name, root)),
                HostPattern::Subdomains(domain) => drop(self.under.insert(domain, root)),
            }
            root
        });
        for segment in self.matchers[route_index].path.segments.clone() {
            let node = &self.nodes[here as usize];
            let next = match &segment {
                Segment::Literal(text) => node.literals.get(text),
                Segment::Param(_) => node.param,
            };
            here = next.unwrap_or_else(|| {
                let next = self.add();
                let node = &mut self.nodes[here as usize];
                match segment {
                    Segment::Literal(text) => node.literals.insert(text, next),
                    Segment::Param(_) => node.param = Some(next),
                }
                next
            });
        }
        here as usize
    }

    /// The most specific route that fits, if any does. A path with a `.` or `..` segment fits none.
    pub fn find<'p>(&self, s: &RequestView<'p>) -> Option<RouteMatch<'p>> {
        let rest = first_segment(s.path)?;
        if has_dot_segment(s.path) {
            return None;
        }
        let mut lower = [0; 255];
        let host = lower_host(s.host, &mut lower);
        let mut params = PathParams::default();
        let mut search = |root: u32| {
            params.n = 0;
            self.walk(root, rest, 0, s, &mut params).map(|route_index| RouteMatch { route_index, params })
        };
        if let Some(found) = host.and_then(|h| self.exact.get(h)).and_then(|&root| search(root)) {
            return Some(found);
        }
        let mut domain = host.filter(|_| !self.under.is_empty()).unwrap_or("");
        while let Some((label, rest)) = domain.split_once('.') {
            domain = rest;
            let root = self.under.get(rest).filter(|_| !label.is_empty());
            if let Some(found) = root.and_then(|&root| search(root)) {
                return Some(found);
            }
        }
        search(self.any)
    }

    fn walk<'p>(
        &self,
        node: u32,
        rest: Option<&'p str>,
        depth: usize,
        s: &RequestView<'p>,
        params: &mut PathParams<'p>,
    ) -> Option<usize> {
        let node = &self.nodes[node as usize];
        let fits = |list: &[End]| {
            let fit = |e: &&End| e.plain || self.matchers[e.route as usize].matches_fields(s);
            list.iter().find(fit).map(|e| e.route as usize)
        };
        match rest {
            None => {
                if let Some(found) = fits(&node.ends) {
                    return Some(found);
                }
            }
            Some(text) if depth < MAX_SEGMENTS => {
                let (part, tail) = next_segment(text);
                if let Some(next) = node.literals.get(part) {
                    if let Some(found) = self.walk(next, tail, depth + 1, s, params) {
                        return Some(found);
                    }
                }
                if let Some(next) = node.param.filter(|_| !part.is_empty()) {
                    let n = params.n;
                    params.values[n] = part;
                    params.n = n + 1;
                    if let Some(found) = self.walk(next, tail, depth + 1, s, params) {
                        return Some(found);
                    }
                    params.n = n;
                }
            }
            Some(_) => {}
        }
        fits(&node.prefixes)
    }
}

/// A request's host without its port and in lower case; `None`: it is no host that a pattern could name.
fn lower_host<'b>(host: &str, buf: &'b mut [u8; 255]) -> Option<&'b str> {
    let name = match host.rfind(':') {
        Some(at) if !host[at..].contains(']') => &host[..at],
        _ => host,
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    let to = buf.get_mut(..name.len())?;
    to.copy_from_slice(name.as_bytes());
    to.make_ascii_lowercase();
    std::str::from_utf8(to).ok()
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
