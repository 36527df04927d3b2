//! The table of routes: host, then a trie of path segments, then the few routes that share both.
//!
//! The cost of a match does not grow with the number of routes: hosts and literal segments are looked up by
//! hash, and no more than [`MOST_AT_ONE_PATH`] routes may share a host and a path. Nothing is allocated.

use crate::pattern::*;
use rustc_hash::FxHashMap;

/// The most routes that may share one host pattern and one path pattern.
pub const MOST_AT_ONE_PATH: usize = 64;

/// Why routes can't stand together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// Neither is more specific, and a request can fit both.
    #[error("routes {first:?} and {second:?} match the same requests, and neither is more specific")]
    Ambiguous {
        /// The one that stands first.
        first: String,
        /// The other.
        second: String,
        /// The place of the other.
        at: usize,
    },
    /// Too many routes are told apart by method, headers and query alone.
    #[error("route {name:?} is one too many for its host and path: {MOST_AT_ONE_PATH} at most")]
    Crowded {
        /// The route.
        name: String,
        /// Its place.
        at: usize,
    },
}

impl Conflict {
    /// The place of the route at fault among those that were handed in.
    pub fn at(&self) -> usize {
        match self {
            Conflict::Ambiguous { at, .. } | Conflict::Crowded { at, .. } => *at,
        }
    }
}

/// The values of a template's parameters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Params<'p> {
    values: [&'p str; MOST_PARAMS],
    n: usize,
}

impl<'p> Params<'p> {
    /// The value of the parameter at this place.
    pub fn get(&self, at: usize) -> Option<&'p str> {
        self.values[..self.n].get(at).copied()
    }
}

/// A route that fits, and the values of its path's parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Match<'p> {
    /// Its place among the routes that were handed in.
    pub route: usize,
    /// The parameters, in the order of its pattern.
    pub params: Params<'p>,
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
pub struct Table {
    matchers: Vec<Matcher>,
    nodes: Vec<Node>,
    /// The roots of the tries.
    exact: FxHashMap<String, u32>,
    under: FxHashMap<String, u32>,
    any: u32,
}

impl Table {
    /// The table of these routes, or all the reasons why they can't stand together.
    pub fn new(routes: Vec<(String, Matcher)>) -> Result<Table, Vec<Conflict>> {
        let (names, matchers): (Vec<_>, Vec<_>) = routes.into_iter().unzip();
        let mut t = Table {
            matchers,
            nodes: vec![Node::default()],
            exact: FxHashMap::default(),
            under: FxHashMap::default(),
            any: 0,
        };
        let mut conflicts = Vec::new();
        for at in 0..t.matchers.len() {
            let node = t.place(at);
            let prefix = t.matchers[at].path.prefix;
            let list = if prefix { &t.nodes[node].prefixes } else { &t.nodes[node].ends };
            let this = &t.matchers[at];
            let clash = list.iter().find(|other| {
                let other = &t.matchers[other.route as usize];
                other.field_rank() == this.field_rank() && !other.excludes(this)
            });
            if let Some(first) = clash {
                let (first, second) = (names[first.route as usize].clone(), names[at].clone());
                conflicts.push(Conflict::Ambiguous { first, second, at });
                continue;
            }
            if list.len() == MOST_AT_ONE_PATH {
                conflicts.push(Conflict::Crowded { name: names[at].clone(), at });
                continue;
            }
            let rank = this.field_rank();
            let place = list.iter().position(|o| t.matchers[o.route as usize].field_rank() < rank);
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
    fn place(&mut self, at: usize) -> usize {
        let host = self.matchers[at].host.clone();
        let root = match &host {
            HostPattern::Any => Some(self.any),
            HostPattern::Exact(name) => self.exact.get(name).copied(),
            HostPattern::Under(domain) => self.under.get(domain).copied(),
        };
        let mut here = root.unwrap_or_else(|| {
            let root = self.add();
            match host {
                HostPattern::Any => {}
                HostPattern::Exact(name) => drop(self.exact.insert(name, root)),
                HostPattern::Under(domain) => drop(self.under.insert(domain, root)),
            }
            root
        });
        for segment in self.matchers[at].path.segments.clone() {
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
    pub fn find<'p>(&self, s: &Subject<'p>) -> Option<Match<'p>> {
        let rest = first_segment(s.path)?;
        if has_dot_segment(s.path) {
            return None;
        }
        let mut lower = [0; 255];
        let host = lower_host(s.host, &mut lower);
        let mut params = Params::default();
        let mut search = |root: u32| {
            params.n = 0;
            self.walk(root, rest, 0, s, &mut params).map(|route| Match { route, params })
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
        s: &Subject<'p>,
        params: &mut Params<'p>,
    ) -> Option<usize> {
        let node = &self.nodes[node as usize];
        let fits = |list: &[End]| {
            let fit = |e: &&End| e.plain || self.matchers[e.route as usize].fields_fit(s);
            list.iter().find(fit).map(|e| e.route as usize)
        };
        match rest {
            None => {
                if let Some(found) = fits(&node.ends) {
                    return Some(found);
                }
            }
            Some(text) if depth < MOST_SEGMENTS => {
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn subject<'a>(method: &'a str, host: &'a str, path: &'a str, query: &'a str) -> Subject<'a> {
        const NONE: &[(String, String)] = &[];
        struct None;
        impl Headers for None {
            fn header(&self, name: &str) -> Option<&str> {
                NONE.header(name)
            }
        }
        Subject { method, host, path, query, headers: &None }
    }

    fn matcher(host: &str, path: &str, prefix: bool, methods: &[&str]) -> Matcher {
        Matcher {
            host: HostPattern::parse(host).unwrap(),
            path: PathPattern::parse(path, prefix).unwrap(),
            methods: methods.iter().map(|m| m.to_string()).collect(),
            ..Matcher::default()
        }
    }

    fn table(routes: &[Matcher]) -> Result<Table, Vec<Conflict>> {
        Table::new(routes.iter().enumerate().map(|(i, m)| (format!("r{i}"), m.clone())).collect())
    }

    #[test]
    fn the_most_specific_route_wins() {
        let t = table(&[
            matcher("*", "/", true, &[]),
            matcher("*", "/orders/{id}", false, &[]),
            matcher("*", "/orders/new", false, &["POST"]),
            matcher("*.example.org", "/orders", true, &[]),
            matcher("a.example.org", "/orders/{id}/lines/{line}", false, &[]),
        ])
        .unwrap_or_else(|_| panic!());
        let route = |m, h, p| t.find(&subject(m, h, p, "")).map(|m| m.route);
        assert_eq!(route("GET", "x", "/"), Some(0));
        assert_eq!(route("GET", "x", "/orders/new"), Some(1), "a literal that does not fit falls back");
        assert_eq!(route("POST", "x", "/orders/new"), Some(2));
        assert_eq!(route("POST", "x", "/orders/new/"), Some(0), "a slash more is another path");
        assert_eq!(route("GET", "B.Example.org:80", "/orders/7"), Some(3));
        assert_eq!(route("GET", "example.org", "/orders/7"), Some(1), "a domain is not under itself");
        assert_eq!(route("GET", "a.example.org", "/ordersx"), Some(0), "prefixes are of whole segments");
        assert_eq!(route("GET", "a.example.org", "/orders/%2E./x"), None);
        let found = t.find(&subject("GET", "a.example.org", "/orders/7/lines/b", "")).unwrap();
        assert_eq!((found.route, found.params.get(0), found.params.get(1)), (4, Some("7"), Some("b")));
        assert_eq!(found.params.get(2), None);
    }

    #[test]
    fn what_is_ambiguous_is_refused_with_both_names() {
        let conflict = |routes: &[Matcher]| table(routes).err().unwrap_or_default();
        let a = matcher("*", "/a/{x}", false, &["GET", "POST"]);
        let b = matcher("*", "/a/{y}", false, &["POST"]);
        let ambiguous = Conflict::Ambiguous { first: "r0".into(), second: "r1".into(), at: 1 };
        assert_eq!(conflict(&[a.clone(), b.clone()]), [ambiguous]);
        assert_eq!(conflict(&[a.clone(), matcher("*", "/a/{x}", false, &["PUT"])]), []);
        let header = |value: &str| {
            let test = FieldTest { name: "x".into(), test: Test::Equals(value.into()) };
            Matcher { headers: vec![test], ..a.clone() }
        };
        assert_eq!(conflict(&[header("1"), header("2"), a.clone()]), []);
        assert_eq!(conflict(&[header("1"), header("1")]).len(), 1);
        let many: Vec<_> = (0..=MOST_AT_ONE_PATH).map(|i| header(&i.to_string())).collect();
        assert!(matches!(&conflict(&many)[..], [Conflict::Crowded { at: MOST_AT_ONE_PATH, .. }]));
    }

    #[test]
    fn patterns_that_can_never_fit_are_refused() {
        let bad = |text: &str| PathPattern::parse(text, false).unwrap_err();
        assert_eq!(bad("a"), PatternError::NoSlash("a".into()));
        assert_eq!(bad("/a/{x}/{x}"), PatternError::Twice("x".into()));
        assert_eq!(bad("/a/x{y}"), PatternError::Braces("x{y}".into()));
        assert_eq!(bad("/a/../b"), PatternError::Never("/a/../b".into()));
        assert_eq!(bad("/a?b"), PatternError::Never("/a?b".into()));
        assert_eq!(
            bad("/{a}/{b}/{c}/{d}/{e}/{f}/{g}/{h}/{i}"),
            PatternError::Params("/{a}/{b}/{c}/{d}/{e}/{f}/{g}/{h}/{i}".into())
        );
        assert!(HostPattern::parse("a..b").is_err() && HostPattern::parse("").is_err());
    }

    fn segment() -> impl Strategy<Value = &'static str> {
        prop::sample::select(vec!["a", "b", "{x}"])
    }

    fn any_matcher() -> impl Strategy<Value = Matcher> {
        let host = prop::sample::select(vec!["*", "h.org", "*.org", "*.h.org"]);
        let path = prop::collection::vec(segment(), 0..4);
        let methods = prop::sample::subsequence(vec!["GET", "POST", "PUT"], 0..=2);
        let field = prop::sample::select(vec![
            Test::Present,
            Test::Absent,
            Test::Equals("1".into()),
            Test::StartsWith("1".into()),
        ]);
        (host, path, any::<bool>(), methods, prop::option::of(field)).prop_map(|(h, p, prefix, m, q)| {
            let mut n = 0;
            let parts = p.iter().map(|s| match *s {
                "{x}" => {
                    n += 1;
                    format!("/{{x{n}}}")
                }
                literal => format!("/{literal}"),
            });
            let path: String = parts.collect();
            let mut made = matcher(h, if path.is_empty() { "/" } else { &path }, prefix, &m);
            made.query.extend(q.map(|test| FieldTest { name: "q".into(), test }));
            made
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

        /// Against the plain way: every route is tried, and the greatest of those that fit wins.
        #[test]
        fn the_trie_finds_what_trying_every_route_finds(
            all in prop::collection::vec(any_matcher(), 1..12),
            requests in prop::collection::vec((
                prop::sample::select(vec!["GET", "POST", "DELETE"]),
                prop::sample::select(vec!["h.org", "x.H.org:81", "y.org", "other", "org", ".org", ""]),
                prop::collection::vec(prop::sample::select(vec!["a", "b", "c", ""]), 0..5),
                prop::sample::select(vec!["", "q=1", "q=12&q=0", "z=1", "q"]),
            ), 20),
        ) {
            // Those that clash with one before them are left out, as the operator would have to.
            let mut kept: Vec<Matcher> = Vec::new();
            for m in all {
                kept.push(m);
                if table(&kept).is_err() {
                    kept.pop();
                }
            }
            let t = table(&kept).unwrap_or_else(|_| unreachable!());
            for (method, host, path, query) in requests {
                let path = format!("/{}", path.join("/"));
                let s = subject(method, host, &path, query);
                let lower = host.to_lowercase();
                let name = lower.split(':').next().unwrap();
                let fits = |m: &Matcher| m.host.fits(name) && m.path.fits(&path) && m.fields_fit(&s);
                let plain = (0..kept.len()).filter(|&i| fits(&kept[i]));
                let plain = plain.max_by(|&i, &j| kept[i].compare(&kept[j]));
                let found = t.find(&s);
                prop_assert_eq!(found.map(|f| f.route), plain, "{} {} {}", host, path, query);
            }
        }

        /// No input makes a pattern or a look-up panic.
        #[test]
        fn odd_text_does_no_harm(text in "\\PC{0,40}", host in "\\PC{0,300}") {
            let _ = (HostPattern::parse(&text), PathPattern::parse(&text, true));
            let t = table(&[matcher("*", "/", true, &[])]).unwrap_or_else(|_| unreachable!());
            let _ = t.find(&subject(&text, &host, &text, &text));
        }
    }
}
