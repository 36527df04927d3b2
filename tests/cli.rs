//! Tests of the command line: the output and the exit status of each command.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_garnettally")).args(args).env_remove("GW_CONFIG").output().unwrap()
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/edge.example.toml");

fn temporary_file(name: &str, text: &str) -> String {
    let path = format!("{}/cli-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_reports_all_problems_or_that_the_file_is_good() {
    let good = run(&["check", EXAMPLE]);
    assert_eq!((good.status.code(), stderr_text(&good)), (Some(0), String::new()));
    assert!(
        stdout_text(&good).ends_with("good; 2 listeners, 3 classes, 2 tenants, 5 pools, 4 routes\n"),
        "{}",
        stdout_text(&good)
    );
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    let faulty = text
        .replace("aim = \"600ms\"", "aim = \"600\"")
        .replace("pool = \"orders-blue\"", "pool = \"orders-bleu\"");
    let path = temporary_file("spoilt.toml", &faulty);
    let bad = run(&["check", &path]);
    assert_eq!(bad.status.code(), Some(1));
    let error_text = stderr_text(&bad);
    assert!(error_text.contains("is refused: 2 problems"), "{error_text}");
    assert!(
        error_text.contains(&format!("{path}:29: classes.lookup.aim: \"600\" is no time")),
        "{error_text}"
    );
    assert!(
        error_text.contains("routes[3].pool: no pool is called \"orders-bleu\"; did you mean orders-blue?"),
        "{error_text}"
    );
    let missing = run(&["check", "/nowhere/file.toml"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(stderr_text(&missing).contains("/nowhere/file.toml: No such file"), "{}", stderr_text(&missing));
}

#[test]
fn overlapping_routes_are_refused_with_both_names() {
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    let more = "\n[[routes]]\nname = \"order-again\"\nhost = \"API.example.org\"\npath = \"/orders/{number}\"\nmethods = [\"GET\"]\nclass = \"lookup\"\npool = \"orders-blue\"\n";
    let bad = run(&["check", &temporary_file("overlap.toml", &(text + more))]);
    assert_eq!(bad.status.code(), Some(1));
    let expected = "routes[4]: routes \"order\" and \"order-again\" match the same requests, and neither is more specific";
    assert!(stderr_text(&bad).contains(expected), "{}", stderr_text(&bad));
}

#[test]
fn explain_shows_route_class_tenant_key_and_pool() {
    let output = run(&[
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
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    let text = stdout_text(&output);
    for line in [
        "route     order-create",
        "because   host api.example.org, path /orders, methods POST",
        "class     order-create: keyed, for 10000 ms",
        "tenant    north (from header req-owner)",
        "key       k1 (from header idempotency-key)",
        "deadline  2500 ms (6000 ms when the client sends none, 6000 ms at the most)",
    ] {
        assert!(text.lines().any(|l| l == line), "{line}\n{text}");
    }
    assert!(text.contains("by its key, of orders-blue 90.0%, orders-green 10.0%"), "{text}");
    // The same key selects the same pool in every process.
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
    assert_eq!(pool(&text), pool(&stdout_text(&again)));
    let none =
        run(&["explain", EXAMPLE, "--method", "DELETE", "--host", "api.example.org", "--path", "/orders/7"]);
    assert_eq!(none.status.code(), Some(1));
    assert!(
        stderr_text(&none).contains("it gets 404; host and path fit order, but not method"),
        "{}",
        stderr_text(&none)
    );
}

#[test]
fn schema_completions_version_and_help_are_printed() {
    let schema: serde_json::Value = serde_json::from_slice(&run(&["schema"]).stdout).unwrap();
    assert!(schema["properties"]["routes"].is_object());
    let nodes: serde_json::Value = serde_json::from_slice(&run(&["schema", "--nodes"]).stdout).unwrap();
    assert!(nodes["properties"]["nodes"].is_object());
    assert!(stdout_text(&run(&["completions", "bash"])).contains("_garnettally()"));
    assert_eq!(stdout_text(&run(&["version"])), format!("garnettally {}\n", env!("CARGO_PKG_VERSION")));
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    for command in ["serve", "check", "explain", "schema", "completions", "version"] {
        assert!(stdout_text(&help).contains(&format!("  {command} ")), "{}", stdout_text(&help));
    }
}

#[test]
fn wrong_commands_exit_with_2_and_failures_with_1() {
    assert_eq!(run(&["chek"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["explain", EXAMPLE, "--path", "/", "--header", "none"]).status.code(), Some(2));
    let without_command = run(&[]);
    assert_eq!(without_command.status.code(), Some(1));
    assert!(
        stderr_text(&without_command).contains("GW_CONFIG: not set"),
        "{}",
        stderr_text(&without_command)
    );
    let refused = run(&["serve", &temporary_file("empty.toml", "")]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(stderr_text(&refused).contains("version is missing"), "{}", stderr_text(&refused));
}
