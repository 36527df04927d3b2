//! Tests of the operator's file: which files are accepted, and that all problems of a file are reported
//! together, each with its line, its key and a remedy.

use garnettally_config::file::{parse, parse_nodes, OperatorConfig, Problems};
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../deploy/edge.example.toml");

fn problems_of(text: &str) -> Vec<String> {
    match parse("f.toml", text) {
        Ok(_) => Vec::new(),
        Err(Problems(all)) => all.iter().map(|p| p.to_string()).collect(),
    }
}

fn accepted(text: &str) -> OperatorConfig {
    parse("f.toml", text).unwrap_or_else(|p| panic!("{p}"))
}

const MINIMAL: &str = r#"version = 1
[listeners.a]
address = "127.0.0.1:8080"
[classes.look]
repeat = "safe"
aim = "1s"
deadline = "2s"
[classes.book]
repeat = "keyed"
aim = "1s"
deadline = "2s"
window = "10s"
[pools.p]
nodes = [{ name = "n", address = "127.0.0.1:9000" }]
[[routes]]
name = "all"
path_prefix = "/"
class = "look"
pool = "p"
"#;

#[test]
fn the_example_file_is_accepted_and_gets_defaults() {
    let config = accepted(EXAMPLE);
    assert_eq!((config.listeners.len(), config.pools.len(), config.routes.len()), (2, 5, 4));
    let pool = config.pools.iter().find(|p| p.name == "catalog").unwrap();
    assert_eq!(pool.site.settings.max_attempts, 4);
    assert_eq!(pool.site.settings.resolution.0, 0, "no request waits for a fixed interval");
    let settings = &config.pools.iter().find(|p| p.name == "orders-blue").unwrap().site.settings;
    assert_eq!((settings.max_attempts, settings.retry_after, settings.parallel_attempts), (3, true, true));
}

#[test]
fn all_problems_are_reported_together_with_line_key_and_remedy() {
    let text = MINIMAL
        .replace("address = \"127.0.0.1:8080\"", "adress = \"127.0.0.1:8080\"")
        .replace("repeat = \"safe\"", "repeat = \"sometimes\"")
        .replace("deadline = \"2s\"\nwindow", "deadline = 2\nwindow");
    let reported = problems_of(&text);
    assert_eq!(reported.len(), 4, "{reported:#?}");
    assert!(
        reported.iter().any(|p| p == "f.toml:2: listeners.a: address is missing; add address"),
        "{reported:#?}"
    );
    assert!(
        reported.iter().any(|p| p == "f.toml:3: listeners.a.adress: no such key; did you mean address?"),
        "{reported:#?}"
    );
    assert!(
        reported
            .iter()
            .any(|p| p.starts_with("f.toml:5: classes.look.repeat: \"sometimes\" is not known; use one of")),
        "{reported:#?}"
    );
    assert!(
        reported
            .iter()
            .any(|p| p == "f.toml:11: classes.book.deadline: has the wrong type: 2; it must be string"),
        "{reported:#?}"
    );
}

/// Each case replaces one part of an accepted file by an invalid one, and gives the start of the expected
/// problem.
#[test]
fn invalid_values_are_reported_by_key() {
    accepted(MINIMAL);
    let cases = [
        ("version = 1", "version = 2", "f.toml:1: version: version 2 is not known; this program reads 1"),
        (
            "aim = \"1s\"\ndeadline = \"2s\"\n[classes.book]",
            "aim = \"3s\"\ndeadline = \"2s\"\n[classes.book]",
            "f.toml:7: classes.look.deadline: is shorter than aim; raise deadline or lower aim",
        ),
        (
            "window = \"10s\"\n",
            "",
            "f.toml:8: classes.book: window is missing; say for how long the nodes drop repeats of a key",
        ),
        ("\"10s\"", "\"10 apples\"", "f.toml:12: classes.book.window: \"10 apples\" is no time"),
        (
            "127.0.0.1:9000",
            "localhost:9000",
            "f.toml:14: pools.p.nodes[0].address: \"localhost:9000\" is not an address with a port",
        ),
        (
            "nodes = [",
            "nodes_file = \"x\"\nnodes = [",
            "f.toml:13: pools.p: it needs exactly one of nodes, nodes_file and discovery",
        ),
        (
            "path_prefix = \"/\"",
            "path_prefix = \"x\"",
            "f.toml:17: routes[0].path_prefix: \"x\" is not a path",
        ),
        (
            "path_prefix = \"/\"",
            "path_prefix = \"/\"\npath = \"/\"",
            "f.toml:15: routes[0]: it needs exactly one of path and path_prefix",
        ),
        (
            "class = \"look\"",
            "class = \"lok\"",
            "f.toml:18: routes[0].class: no class is called \"lok\"; did you mean look?",
        ),
        (
            "class = \"look\"",
            "class = \"book\"",
            "f.toml:15: routes[0]: key is missing: class \"book\" is keyed or ordered",
        ),
        (
            "pool = \"p\"",
            "pool = \"q\"",
            "f.toml:19: routes[0].pool: no pool is called \"q\"; did you mean p?",
        ),
        ("pool = \"p\"", "split = { p = 0.0 }", "f.toml:19: routes[0].split: no pool has a weight above 0"),
        (
            "pool = \"p\"",
            "failover = [\"p\", \"p\"]",
            "f.toml:19: routes[0].failover[1]: pool \"p\" stands twice",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\nmirror = { pool = \"p\", share = 0.5 }",
            "f.toml:20: routes[0].mirror.pool: pool \"p\" also serves requests",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\nmethods = [\"get\"]",
            "f.toml:20: routes[0].methods[0]: \"get\" can't be used",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\ntenant = { param = \"id\" }",
            "f.toml:20: routes[0].tenant.param: the path has no parameter \"id\"",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\nheaders = [{ name = \"x\" }]",
            "f.toml:20: routes[0].headers[0]: it needs exactly one of equals, starts_with and present",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\ndeadline = { default = \"3s\" }",
            "f.toml:20: routes[0].deadline.default: is longer than the ceiling",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\nrequests = { min = 5000 }",
            "f.toml:1: limits.requests: listeners, pools and routes are guaranteed 5000 requests of 4096",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\n[[routes]]\nname = \"all\"\npath_prefix = \"/x\"\nclass = \"look\"\npool = \"p\"",
            "f.toml:21: routes[1].name: \"all\" is the name of routes[0], too",
        ),
        (
            "pool = \"p\"",
            "pool = \"p\"\n[[routes]]\nname = \"more\"\npath_prefix = \"/\"\nclass = \"look\"\npool = \"p\"",
            "f.toml:20: routes[1]: routes \"all\" and \"more\" match the same requests",
        ),
        (
            "address = \"127.0.0.1:8080\"",
            "address = \"127.0.0.1:8080\"\nconnections = { min = 5, max = 4 }",
            "f.toml:4: listeners.a.connections: min 5 is above max 4",
        ),
        ("version = 1", "version = 1\nversion = 1", "f.toml:2: not TOML: duplicate key"),
        ("version = 1", "version = 1\nnonsense", "f.toml:2: not TOML:"),
        ("version = 1", "version = 1\nseed = \"xyz\"", "f.toml:2: seed: is not 16 hex digits"),
    ];
    for (from, to, want) in cases {
        assert!(MINIMAL.contains(from), "{from}");
        let reported = problems_of(&MINIMAL.replacen(from, to, 1));
        assert!(
            reported.iter().any(|p| p.starts_with(want)),
            "{to}\nexpected {want}\nreported {reported:#?}"
        );
    }
}

#[test]
fn cut_empty_or_ambiguous_lists_of_nodes_are_refused() {
    let good = "[[nodes]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n[[nodes]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\nstate = \"draining\"\n";
    assert_eq!(parse_nodes("n", good).unwrap().len(), 2);
    let refusal = |text: &str| parse_nodes("n", text).unwrap_err().to_string();
    assert_eq!(refusal("nodes = []"), "n:1: nodes: lists no node; write one [[nodes]] for each");
    assert_eq!(refusal(""), "n:1: nodes is missing; add nodes");
    assert!(refusal(&good.replace("\"b\"", "\"a\"")).starts_with("n:5: nodes[1].name: \"a\" stands twice"));
    // A list that is cut inside an entry is refused. One that is cut between two entries looks like a
    // complete file, which is why a file is read only once it has stopped changing.
    for cut in good.find("name = \"b\"").unwrap()..good.find("state").unwrap() - 2 {
        assert!(parse_nodes("n", &good[..cut]).is_err(), "{}", &good[..cut]);
    }
}

/// The operators' page documents each key of the format, and no other keys.
#[test]
fn the_operators_page_documents_exactly_the_keys_of_the_schema() {
    let page = include_str!("../../../docs/configuration.md");
    let schema = garnettally_config::file::schema();
    let mut keys = std::collections::BTreeSet::new();
    let mut add_keys = |section: &str, object: &serde_json::Value| {
        for name in object["properties"].as_object().into_iter().flatten() {
            keys.insert(format!("{section}.{}", name.0));
        }
    };
    add_keys("File", &schema);
    add_keys("NodesFile", &garnettally_config::file::nodes_schema());
    for (name, object) in schema["$defs"].as_object().unwrap() {
        add_keys(name, object);
    }
    let mut documented = std::collections::BTreeSet::new();
    let mut section = String::new();
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            section = title.rsplit_once('(').map_or("", |(_, t)| t.trim_end_matches(')')).to_string();
        }
        let row = line.strip_prefix("| `").and_then(|rest| rest.split_once('`'));
        if let Some((key, _)) = row.filter(|_| !section.is_empty()) {
            documented.insert(format!("{section}.{key}"));
        }
    }
    let missing: Vec<_> = keys.difference(&documented).collect();
    let unknown: Vec<_> = documented.difference(&keys).collect();
    assert!(
        missing.is_empty() && unknown.is_empty(),
        "not documented: {missing:?}; documented but unknown: {unknown:?}"
    );
    assert!(keys.len() > 60);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// A file that is cut or damaged at any place is accepted or refused, without a panic.
    #[test]
    fn damaged_files_are_accepted_or_refused_without_a_panic(
        position in 0..EXAMPLE.len(),
        inserted in "\\PC{0,8}",
        cut in any::<bool>(),
    ) {
        let position = (0..=position).rev().find(|&i| EXAMPLE.is_char_boundary(i)).unwrap_or(0);
        let rest = if cut { "" } else { &EXAMPLE[position..] };
        if let Err(Problems(all)) = parse("f.toml", &format!("{}{inserted}{rest}", &EXAMPLE[..position])) {
            prop_assert!(!all.is_empty());
            prop_assert!(all.iter().all(|p| !p.message.is_empty()));
        }
    }
}

fn with_fleet(keys: &str) -> String {
    format!("{MINIMAL}[fleet]\naddress = \"127.0.0.1:7400\"\nname = \"a\"\n{keys}\n")
}

#[test]
fn a_fleet_gets_defaults_and_is_absent_without_its_table() {
    assert!(accepted(MINIMAL).fleet.is_none());
    let fleet = accepted(&with_fleet("seeds = [\"127.0.0.1:7401\"]")).fleet.unwrap();
    assert_eq!((fleet.advertise, fleet.seeds.len(), fleet.ask_peers), (fleet.address, 1, 3));
    assert_eq!((fleet.suspicion_timeout.as_secs(), fleet.max_age.as_secs(), fleet.size_floor), (3, 20, 1));
}

/// A problem of two contradictory keys names both.
#[test]
fn problems_of_contradictory_keys_name_both() {
    for (keys, named) in [
        ("suspicion = \"500ms\"", ["fleet.suspicion", "fleet.probe_period"]),
        ("forget_after = \"4s\"", ["fleet.forget_after", "fleet.suspicion"]),
        ("max_age = \"1s\"", ["fleet.max_age", "fleet.ask_every"]),
        ("size_floor = 9\nmembers = 8", ["fleet.size_floor", "fleet.members"]),
        ("seeds = [\"192.0.2.7:7400\"]", ["fleet.seeds", "fleet.key_file"]),
        ("advertise = \"192.0.2.7:7400\"", ["fleet.advertise", "fleet.key_file"]),
    ] {
        let reported = problems_of(&with_fleet(keys));
        assert!(reported.iter().any(|p| named.iter().all(|k| p.contains(k))), "{keys}: {reported:#?}");
    }
    let reported = problems_of(&with_fleet("").replace("127.0.0.1:7400", "0.0.0.0:7400"));
    assert!(
        reported.iter().any(|p| p.contains("fleet.advertise") && p.contains("fleet.address")),
        "{reported:#?}"
    );
    let reported = problems_of(&with_fleet("").replace("name = \"a\"\n", ""));
    assert!(reported.iter().any(|p| p.contains("fleet.name and name")), "{reported:#?}");
    let reported = problems_of(&format!("{MINIMAL}[admin]\naddress = \"127.0.0.1:8080\"\n"));
    assert!(
        reported.iter().any(|p| p.contains("admin.address") && p.contains("listeners.a")),
        "{reported:#?}"
    );
}
