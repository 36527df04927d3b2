//! Tests of the table of routes: precedence, refused patterns, and look-ups against a plain search.

use super::*;
use proptest::prelude::*;

fn subject<'a>(method: &'a str, host: &'a str, path: &'a str, query: &'a str) -> RequestView<'a> {
    const NONE: &[(String, String)] = &[];
    struct None;
    impl Headers for None {
        fn header(&self, name: &str) -> Option<&str> {
            NONE.header(name)
        }
    }
    RequestView { method, host, path, query, headers: &None }
}

fn matcher(host: &str, path: &str, prefix: bool, methods: &[&str]) -> Matcher {
    Matcher {
        host: HostPattern::parse(host).unwrap(),
        path: PathPattern::parse(path, prefix).unwrap(),
        methods: methods.iter().map(|m| m.to_string()).collect(),
        ..Matcher::default()
    }
}

fn table(routes: &[Matcher]) -> Result<RouteTable, Vec<RouteConflict>> {
    RouteTable::new(routes.iter().enumerate().map(|(i, m)| (format!("r{i}"), m.clone())).collect())
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
    let route = |m, h, p| t.find(&subject(m, h, p, "")).map(|m| m.route_index);
    assert_eq!(route("GET", "x", "/"), Some(0));
    assert_eq!(route("GET", "x", "/orders/new"), Some(1), "a literal that does not fit falls back");
    assert_eq!(route("POST", "x", "/orders/new"), Some(2));
    assert_eq!(route("POST", "x", "/orders/new/"), Some(0), "a slash more is another path");
    assert_eq!(route("GET", "B.Example.org:80", "/orders/7"), Some(3));
    assert_eq!(route("GET", "example.org", "/orders/7"), Some(1), "a domain is not under itself");
    assert_eq!(route("GET", "a.example.org", "/ordersx"), Some(0), "prefixes are of whole segments");
    assert_eq!(route("GET", "a.example.org", "/orders/%2E./x"), None);
    let found = t.find(&subject("GET", "a.example.org", "/orders/7/lines/b", "")).unwrap();
    assert_eq!((found.route_index, found.params.get(0), found.params.get(1)), (4, Some("7"), Some("b")));
    assert_eq!(found.params.get(2), None);
}

#[test]
fn what_is_ambiguous_is_refused_with_both_names() {
    let conflict = |routes: &[Matcher]| table(routes).err().unwrap_or_default();
    let a = matcher("*", "/a/{x}", false, &["GET", "POST"]);
    let b = matcher("*", "/a/{y}", false, &["POST"]);
    let ambiguous = RouteConflict::Ambiguous { first: "r0".into(), second: "r1".into(), route_index: 1 };
    assert_eq!(conflict(&[a.clone(), b.clone()]), [ambiguous]);
    assert_eq!(conflict(&[a.clone(), matcher("*", "/a/{x}", false, &["PUT"])]), []);
    let header = |value: &str| {
        let test = FieldTest { name: "x".into(), test: ValueTest::Equals(value.into()) };
        Matcher { headers: vec![test], ..a.clone() }
    };
    assert_eq!(conflict(&[header("1"), header("2"), a.clone()]), []);
    assert_eq!(conflict(&[header("1"), header("1")]).len(), 1);
    let many: Vec<_> = (0..=MAX_ROUTES_PER_PATH).map(|i| header(&i.to_string())).collect();
    assert!(matches!(
        &conflict(&many)[..],
        [RouteConflict::TooManyRoutes { route_index: MAX_ROUTES_PER_PATH, .. }]
    ));
}

#[test]
fn patterns_that_can_never_fit_are_refused() {
    let bad = |text: &str| PathPattern::parse(text, false).unwrap_err();
    assert_eq!(bad("a"), PatternError::MissingLeadingSlash("a".into()));
    assert_eq!(bad("/a/{x}/{x}"), PatternError::DuplicateParam("x".into()));
    assert_eq!(bad("/a/x{y}"), PatternError::MisplacedBraces("x{y}".into()));
    assert_eq!(bad("/a/../b"), PatternError::Unmatchable("/a/../b".into()));
    assert_eq!(bad("/a?b"), PatternError::Unmatchable("/a?b".into()));
    assert_eq!(
        bad("/{a}/{b}/{c}/{d}/{e}/{f}/{g}/{h}/{i}"),
        PatternError::TooManyParams("/{a}/{b}/{c}/{d}/{e}/{f}/{g}/{h}/{i}".into())
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
        ValueTest::Present,
        ValueTest::Absent,
        ValueTest::Equals("1".into()),
        ValueTest::StartsWith("1".into()),
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
            let fits = |m: &Matcher| m.host.matches(name) && m.path.matches(&path) && m.matches_fields(&s);
            let plain = (0..kept.len()).filter(|&i| fits(&kept[i]));
            let plain = plain.max_by(|&i, &j| kept[i].compare_specificity(&kept[j]));
            let found = t.find(&s);
            prop_assert_eq!(found.map(|f| f.route_index), plain, "{} {} {}", host, path, query);
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
