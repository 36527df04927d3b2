//! The command line: what each command prints, and its exit status.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_garnettally")).args(args).env_remove("GW_CONFIG").output().unwrap()
}

fn out(o: &Output) -> String {
    String::from_utf8(o.stdout.clone()).unwrap()
}

fn err(o: &Output) -> String {
    String::from_utf8(o.stderr.clone()).unwrap()
}

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/edge.example.toml");

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/cli-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_tells_all_or_nothing() {
    let good = run(&["check", EXAMPLE]);
    assert_eq!((good.status.code(), err(&good)), (Some(0), String::new()));
    assert!(
        out(&good).ends_with("good; 2 listeners, 3 classes, 2 tenants, 5 pools, 4 routes\n"),
        "{}",
        out(&good)
    );
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    let spoilt = text
        .replace("aim = \"600ms\"", "aim = \"600\"")
        .replace("pool = \"orders-blue\"", "pool = \"orders-bleu\"");
    let path = file("spoilt.toml", &spoilt);
    let bad = run(&["check", &path]);
    assert_eq!(bad.status.code(), Some(1));
    let told = err(&bad);
    assert!(told.contains("is refused: 2 problems"), "{told}");
    assert!(told.contains(&format!("{path}:29: classes.lookup.aim: \"600\" is no time")), "{told}");
    assert!(
        told.contains("routes[3].pool: no pool is called \"orders-bleu\"; did you mean orders-blue?"),
        "{told}"
    );
    let missing = run(&["check", "/nowhere/file.toml"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(err(&missing).contains("/nowhere/file.toml: No such file"), "{}", err(&missing));
}

#[test]
fn overlapping_routes_are_refused_with_both_names() {
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    let more = "\n[[routes]]\nname = \"order-again\"\nhost = \"API.example.org\"\npath = \"/orders/{number}\"\nmethods = [\"GET\"]\nclass = \"lookup\"\npool = \"orders-blue\"\n";
    let bad = run(&["check", &file("overlap.toml", &(text + more))]);
    assert_eq!(bad.status.code(), Some(1));
    let want = "routes[4]: routes \"order\" and \"order-again\" match the same requests, and neither is more specific";
    assert!(err(&bad).contains(want), "{}", err(&bad));
}

#[test]
fn explain_tells_route_class_tenant_key_and_pool() {
    let told = run(&[
        "explain",
        EXAMPLE,
        "--method",
        "POST",
        "--host",
        "API.example.org:443",
        "--path",
        "/orders",
        "--header",
        "Idempotency-Key: k1",
        "--header",
        "Req-Owner: north",
        "--header",
        "Req-Deadline: 2.5",
    ]);
    assert_eq!(told.status.code(), Some(0), "{}", err(&told));
    let text = out(&told);
    for line in [
        "route     order-create",
        "because   host api.example.org, path /orders, methods POST",
        "class     order-create: keyed, for 10000 ms",
        "tenant    north (from header req-owner)",
        "key       k1 (from header idempotency-key)",
        "deadline  2500 ms (6000 ms without a word of the client's, 6000 ms at the most)",
    ] {
        assert!(text.lines().any(|l| l == line), "{line}\n{text}");
    }
    assert!(text.contains("by its key, of orders-blue 90.0%, orders-green 10.0%"), "{text}");
    // The same key goes to the same pool, in every process.
    let again = run(&[
        "explain",
        EXAMPLE,
        "--method",
        "POST",
        "--host",
        "api.example.org",
        "--path",
        "/orders",
        "--header",
        "Idempotency-Key: k1",
    ]);
    let pool = |text: &str| text.lines().find(|l| l.starts_with("pool")).unwrap().to_string();
    assert_eq!(pool(&text), pool(&out(&again)));
    let none =
        run(&["explain", EXAMPLE, "--method", "DELETE", "--host", "api.example.org", "--path", "/orders/7"]);
    assert_eq!(none.status.code(), Some(1));
    assert!(err(&none).contains("it gets 404; host and path fit order, but not method"), "{}", err(&none));
}

#[test]
fn the_other_commands_print_what_they_say() {
    let schema: serde_json::Value = serde_json::from_slice(&run(&["schema"]).stdout).unwrap();
    assert!(schema["properties"]["routes"].is_object());
    let nodes: serde_json::Value = serde_json::from_slice(&run(&["schema", "--nodes"]).stdout).unwrap();
    assert!(nodes["properties"]["nodes"].is_object());
    assert!(out(&run(&["completions", "bash"])).contains("_garnettally()"));
    assert_eq!(out(&run(&["version"])), format!("garnettally {}\n", env!("CARGO_PKG_VERSION")));
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    for command in ["serve", "check", "explain", "schema", "completions", "version"] {
        assert!(out(&help).contains(&format!("  {command} ")), "{}", out(&help));
    }
}

#[test]
fn wrong_commands_exit_with_2_and_failures_with_1() {
    assert_eq!(run(&["chek"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["explain", EXAMPLE, "--path", "/", "--header", "none"]).status.code(), Some(2));
    let bare = run(&[]);
    assert_eq!(bare.status.code(), Some(1));
    assert!(err(&bare).contains("GW_CONFIG: not set"), "{}", err(&bare));
    let refused = run(&["serve", &file("empty.toml", "")]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(err(&refused).contains("version is missing"), "{}", err(&refused));
}
