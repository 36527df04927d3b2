//! Tests of the table of routes: precedence, refused patterns, and look-ups compared with a search of all
//! routes.

use super::*;
use proptest::prelude::*;

fn request<'a>(method: &'a str, host: &'a str, path: &'a str, query: &'a str) -> RequestView<'a> {
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
fn the_most_specific_matching_route_wins() {
    let table = table(&[
        matcher("*", "/", true, &[]),
        matcher("*", "/orders/{id}", false, &[]),
        matcher("*", "/orders/new", false, &["POST"]),
        matcher("*.example.org", "/orders", true, &[]),
        matcher("a.example.org", "/orders/{id}/lines/{line}", false, &[]),
    ])
    .unwrap_or_else(|_| panic!());
    let route = |m, h, p| table.find(&request(m, h, p, "")).map(|m| m.route_index);
    assert_eq!(route("GET", "x", "/"), Some(0));
    assert_eq!(
        route("GET", "x", "/orders/new"),
        Some(1),
        "a literal whose route does not match falls back to the parameter"
    );
    assert_eq!(route("POST", "x", "/orders/new"), Some(2));
    assert_eq!(route("POST", "x", "/orders/new/"), Some(0), "a path with one more slash is a different path");
    assert_eq!(route("GET", "B.Example.org:80", "/orders/7"), Some(3));
    assert_eq!(route("GET", "example.org", "/orders/7"), Some(1), "a domain is not under itself");
    assert_eq!(route("GET", "a.example.org", "/ordersx"), Some(0), "a prefix covers whole segments only");
    assert_eq!(route("GET", "a.example.org", "/orders/%2E./x"), None);
    let found = table.find(&request("GET", "a.example.org", "/orders/7/lines/b", "")).unwrap();
    assert_eq!((found.route_index, found.params.get(0), found.params.get(1)), (4, Some("7"), Some("b")));
    assert_eq!(found.params.get(2), None);
}

#[test]
fn ambiguous_routes_are_refused_with_both_names() {
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
fn patterns_that_can_never_match_are_refused() {
    let error = |text: &str| PathPattern::parse(text, false).unwrap_err();
    assert_eq!(error("a"), PatternError::MissingLeadingSlash("a".into()));
    assert_eq!(error("/a/{x}/{x}"), PatternError::DuplicateParam("x".into()));
    assert_eq!(error("/a/x{y}"), PatternError::MisplacedBraces("x{y}".into()));
    assert_eq!(error("/a/../b"), PatternError::Unmatchable("/a/../b".into()));
    assert_eq!(error("/a?b"), PatternError::Unmatchable("/a?b".into()));
    assert_eq!(
        error("/{a}/{b}/{c}/{d}/{e}/{f}/{g}/{h}/{i}"),
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

    /// Compares the table with a search that tries every route and takes the most specific one that matches.
    #[test]
    fn the_table_finds_the_same_route_as_trying_every_route(
        all in prop::collection::vec(any_matcher(), 1..12),
        requests in prop::collection::vec((
            prop::sample::select(vec!["GET", "POST", "DELETE"]),
            prop::sample::select(vec!["h.org", "x.H.org:81", "y.org", "other", "org", ".org", ""]),
            prop::collection::vec(prop::sample::select(vec!["a", "b", "c", ""]), 0..5),
            prop::sample::select(vec!["", "q=1", "q=12&q=0", "z=1", "q"]),
        ), 20),
    ) {
        // Routes that conflict with an earlier one are left out, as the operator would have to do.
        let mut kept: Vec<Matcher> = Vec::new();
        for m in all {
            kept.push(m);
            if table(&kept).is_err() {
                kept.pop();
            }
        }
        let table = table(&kept).unwrap_or_else(|_| unreachable!());
        for (method, host, path, query) in requests {
            let path = format!("/{}", path.join("/"));
            let view = request(method, host, &path, query);
            let lower = host.to_lowercase();
            let name = lower.split(':').next().unwrap();
            let is_match =
                |m: &Matcher| m.host.matches(name) && m.path.matches(&path) && m.matches_fields(&view);
            let expected = (0..kept.len()).filter(|&i| is_match(&kept[i]));
            let expected = expected.max_by(|&i, &j| kept[i].compare_specificity(&kept[j]));
            let found = table.find(&view);
            prop_assert_eq!(found.map(|f| f.route_index), expected, "{} {} {}", host, path, query);
        }
    }

    /// No text makes the parsing of a pattern or a look-up panic.
    #[test]
    fn arbitrary_text_causes_no_panic(text in "\\PC{0,40}", host in "\\PC{0,300}") {
        let _ = (HostPattern::parse(&text), PathPattern::parse(&text, true));
        let table = table(&[matcher("*", "/", true, &[])]).unwrap_or_else(|_| unreachable!());
        let _ = table.find(&request(&text, &host, &text, &text));
    }
}
