//! The table of routes: a look-up by host, then in a trie of path segments, then a search of the few routes
//! that share host and path.
//!
//! The cost of a match does not grow with the number of routes: hosts and literal segments are looked up by
//! hash, and no more than [`MAX_ROUTES_PER_PATH`] routes may share a host and a path. A match allocates
//! nothing.

use crate::pattern::*;
use rustc_hash::FxHashMap;

/// The largest number of routes that may share one host pattern and one path pattern.
pub const MAX_ROUTES_PER_PATH: usize = 64;

/// Why routes can't be used together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteConflict {
    /// A request can match both routes, and neither route is more specific.
    #[error("routes {first:?} and {second:?} match the same requests, and neither is more specific")]
    Ambiguous {
        /// The name of the route that comes first in the configuration.
        first: String,
        /// The name of the other route.
        second: String,
        /// The index of the other route.
        route_index: usize,
    },
    /// Too many routes differ in method, headers and query alone.
    #[error("route {name:?} is one too many for its host and path: {MAX_ROUTES_PER_PATH} at most")]
    TooManyRoutes {
        /// The name of the route that exceeds the limit.
        name: String,
        /// The index of that route.
        route_index: usize,
    },
}

impl RouteConflict {
    /// The index of the route at fault, among the routes that the table was made from.
    pub fn route_index(&self) -> usize {
        match self {
            RouteConflict::Ambiguous { route_index, .. }
            | RouteConflict::TooManyRoutes { route_index, .. } => *route_index,
        }
    }
}

/// The values of a path template's parameters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathParams<'p> {
    values: [&'p str; MAX_PARAMS],
    count: usize,
}

impl<'p> PathParams<'p> {
    /// The value of the parameter with this index in the template.
    pub fn get(&self, index: usize) -> Option<&'p str> {
        self.values[..self.count].get(index).copied()
    }
}

/// A route that matches, and the values of its path's parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'p> {
    /// The index of the route among those that the table was made from.
    pub route_index: usize,
    /// The values of the parameters, in the order of the route's path pattern.
    pub params: PathParams<'p>,
}

/// The children of a node by literal segment. Most nodes have one such child, whose text is compared and not
/// hashed: with many routes the cost of a match is dominated by cache misses.
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
            Literals::One(text, child) => (**text == *segment).then_some(*child),
            Literals::Many(map) => map.get(segment).copied(),
        }
    }

    fn insert(&mut self, segment: Box<str>, child: u32) {
        *self = match std::mem::take(self) {
            Literals::None => Literals::One(segment, child),
            Literals::One(text, other) => {
                Literals::Many([(text, other), (segment, child)].into_iter().collect())
            }
            Literals::Many(mut map) => {
                map.insert(segment, child);
                Literals::Many(map)
            }
        };
    }
}

/// A route whose path pattern ends at a node.
#[derive(Clone, Copy)]
struct RouteEnd {
    route: u32,
    /// Whether the route has no conditions on method, headers or query.
    is_unconditional: bool,
}

#[derive(Default)]
struct Node {
    literals: Literals,
    param: Option<u32>,
    /// Routes whose path ends at this node, and routes whose prefix ends here, the most specific first.
    ends: Vec<RouteEnd>,
    prefixes: Vec<RouteEnd>,
}

/// The routes of one version of the configuration.
pub struct RouteTable {
    matchers: Vec<Matcher>,
    nodes: Vec<Node>,
    /// The root nodes of the tries: by exact host, by domain, and for any host.
    exact_roots: FxHashMap<String, u32>,
    domain_roots: FxHashMap<String, u32>,
    any_root: u32,
}

impl RouteTable {
    /// Builds the table of these routes, or returns all the reasons why they can't be used together.
    pub fn new(routes: Vec<(String, Matcher)>) -> Result<RouteTable, Vec<RouteConflict>> {
        let (names, matchers): (Vec<_>, Vec<_>) = routes.into_iter().unzip();
        let mut table = RouteTable {
            matchers,
            nodes: vec![Node::default()],
            exact_roots: FxHashMap::default(),
            domain_roots: FxHashMap::default(),
            any_root: 0,
        };
        let mut conflicts = Vec::new();
        for route_index in 0..table.matchers.len() {
            let node = table.insert_path(route_index);
            let prefix = table.matchers[route_index].path.is_prefix;
            let list = if prefix { &table.nodes[node].prefixes } else { &table.nodes[node].ends };
            let matcher = &table.matchers[route_index];
            let conflicting = list.iter().find(|other| {
                let other = &table.matchers[other.route as usize];
                other.field_specificity() == matcher.field_specificity() && !other.excludes(matcher)
            });
            if let Some(first) = conflicting {
                let (first, second) = (names[first.route as usize].clone(), names[route_index].clone());
                conflicts.push(RouteConflict::Ambiguous { first, second, route_index });
                continue;
            }
            if list.len() == MAX_ROUTES_PER_PATH {
                conflicts
                    .push(RouteConflict::TooManyRoutes { name: names[route_index].clone(), route_index });
                continue;
            }
            let rank = matcher.field_specificity();
            let position =
                list.iter().position(|o| table.matchers[o.route as usize].field_specificity() < rank);
            let position = position.unwrap_or(list.len());
            let node = &mut table.nodes[node];
            let list = if prefix { &mut node.prefixes } else { &mut node.ends };
            list.insert(
                position,
                RouteEnd { route: route_index as u32, is_unconditional: rank == (false, 0) },
            );
        }
        if conflicts.is_empty() {
            Ok(table)
        } else {
            Err(conflicts)
        }
    }

    fn add_node(&mut self) -> u32 {
        self.nodes.push(Node::default());
        (self.nodes.len() - 1) as u32
    }

    /// Returns the node at which a route's path ends, and adds the nodes that are missing on the way.
    fn insert_path(&mut self, route_index: usize) -> usize {
        let host = self.matchers[route_index].host.clone();
        let root = match &host {
            HostPattern::Any => Some(self.any_root),
            HostPattern::Exact(name) => self.exact_roots.get(name).copied(),
            HostPattern::Subdomains(domain) => self.domain_roots.get(domain).copied(),
        };
        let mut node_index = root.unwrap_or_else(|| {
            let root = self.add_node();
            match host {
                HostPattern::Any => {}
                HostPattern::Exact(name) => drop(self.exact_roots.insert(name, root)),
                HostPattern::Subdomains(domain) => drop(self.domain_roots.insert(domain, root)),
            }
            root
        });
        for segment in self.matchers[route_index].path.segments.clone() {
            let node = &self.nodes[node_index as usize];
            let next = match &segment {
                Segment::Literal(text) => node.literals.get(text),
                Segment::Param(_) => node.param,
            };
            node_index = next.unwrap_or_else(|| {
                let next = self.add_node();
                let node = &mut self.nodes[node_index as usize];
                match segment {
                    Segment::Literal(text) => node.literals.insert(text, next),
                    Segment::Param(_) => node.param = Some(next),
                }
                next
            });
        }
        node_index as usize
    }

    /// Finds the most specific route that matches a request, if any does. A path with a `.` or `..` segment
    /// matches no route.
    pub fn find<'p>(&self, request: &RequestView<'p>) -> Option<RouteMatch<'p>> {
        let rest = first_segment(request.path)?;
        if has_dot_segment(request.path) {
            return None;
        }
        let mut lower = [0; 255];
        let host = lower_host(request.host, &mut lower);
        let mut params = PathParams::default();
        let mut search = |root: u32| {
            params.count = 0;
            self.walk(root, rest, 0, request, &mut params)
                .map(|route_index| RouteMatch { route_index, params })
        };
        if let Some(found) = host.and_then(|h| self.exact_roots.get(h)).and_then(|&root| search(root)) {
            return Some(found);
        }
        let mut domain = host.filter(|_| !self.domain_roots.is_empty()).unwrap_or("");
        while let Some((label, rest)) = domain.split_once('.') {
            domain = rest;
            let root = self.domain_roots.get(rest).filter(|_| !label.is_empty());
            if let Some(found) = root.and_then(|&root| search(root)) {
                return Some(found);
            }
        }
        search(self.any_root)
    }

    fn walk<'p>(
        &self,
        node: u32,
        rest: Option<&'p str>,
        depth: usize,
        request: &RequestView<'p>,
        params: &mut PathParams<'p>,
    ) -> Option<usize> {
        let node = &self.nodes[node as usize];
        let first_match = |list: &[RouteEnd]| {
            let is_match =
                |e: &&RouteEnd| e.is_unconditional || self.matchers[e.route as usize].matches_fields(request);
            list.iter().find(is_match).map(|e| e.route as usize)
        };
        match rest {
            None => {
                if let Some(found) = first_match(&node.ends) {
                    return Some(found);
                }
            }
            Some(text) if depth < MAX_SEGMENTS => {
                let (part, tail) = next_segment(text);
                if let Some(next) = node.literals.get(part) {
                    if let Some(found) = self.walk(next, tail, depth + 1, request, params) {
                        return Some(found);
                    }
                }
                if let Some(next) = node.param.filter(|_| !part.is_empty()) {
                    let count = params.count;
                    params.values[count] = part;
                    params.count = count + 1;
                    if let Some(found) = self.walk(next, tail, depth + 1, request, params) {
                        return Some(found);
                    }
                    params.count = count;
                }
            }
            Some(_) => {}
        }
        first_match(&node.prefixes)
    }
}

/// Returns a request's host without its port and in lower case, or `None` if the host is longer than any host
/// pattern.
fn lower_host<'b>(host: &str, buf: &'b mut [u8; 255]) -> Option<&'b str> {
    let name = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    let lower = buf.get_mut(..name.len())?;
    lower.copy_from_slice(name.as_bytes());
    lower.make_ascii_lowercase();
    std::str::from_utf8(lower).ok()
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
