//! Tests of the commands `demo`, `emulate`, `experiment` and `load`, which run this program with an emulated
//! fleet.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_garnettally")).args(args).env_remove("GW_CONFIG").output().unwrap()
}

fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

fn temporary_file(name: &str, text: &str) -> String {
    let path = format!("{}/lab-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

/// A small world in which all faults that an emulated fleet on sockets supports occur within four seconds.
const WORLD: &str = r#"version = 1
name = "small"
lasts = "6s"
zones = ["a", "b"]
[clients]
rate = 60.0
[[tiers]]
name = "web"
nodes = 6
[tiers.reports]
[[classes]]
name = "look"
share = 2
aim = "1s"
deadline = "3s"
work = ["10ms"]
[[classes]]
name = "book"
repeat = "keyed"
aim = "1s"
deadline = "3s"
work = ["10ms"]
[[faults]]
at = "500ms"
for = "1s"
share = 0.3
what = { slow = 4 }
[[faults]]
at = "1s"
for = "1s"
share = 0.2
what = { fast-errors = 0.5 }
[[faults]]
at = "1500ms"
for = "1s"
share = 0.2
what = { spoilt = 0.5 }
[[faults]]
at = "2s"
for = "2s"
share = 0.2
what = "restart"
"#;

#[test]
fn the_demo_serves_through_its_faults_and_gives_each_request_one_answer() {
    let output = run(&["demo", "--world", &temporary_file("world.toml", WORLD), "--for", "6s"]);
    assert!(output.status.success(), "{}", output_text(&output));
    let report = output_text(&output);
    let all = report.lines().find(|l| l.trim_start().starts_with("all")).unwrap();
    let number = |name: &str| -> f64 {
        let rest = all.split_once(&format!(" {name} ")).unwrap().1;
        rest.split_whitespace().next().unwrap().parse().unwrap()
    };
    assert!(number("meant") > 200.0, "{report}");
    assert!(number("ok") > 0.95 * number("meant"), "{report}");
}

#[test]
fn emulate_and_experiment_give_equal_results_and_an_experiment_resumes_from_its_rows() {
    let world = temporary_file("emulate.toml", &WORLD.replace("rate = 60.0", "rate = 40.0"));
    let first = run(&["emulate", &world, "--seed", "3", "--json"]);
    assert!(first.status.success(), "{}", output_text(&first));
    assert_eq!(first.stdout, run(&["emulate", &world, "--seed", "3", "--json"]).stdout);
    assert!(!run(&["emulate", &world, "--policy", "fortune"]).status.success());
    let plan = temporary_file("plan.toml", &format!("version = 1\nname = \"p\"\nworlds = [{world:?}]\nseeds = 3\npolicies = [\"module\", \"random\"]\n"));
    let folder = |name: &str| format!("{}/lab-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let (one, four) = (folder("one"), folder("four"));
    assert!(run(&["experiment", &plan, "--out", &one, "--jobs", "1"]).status.success());
    assert!(run(&["experiment", &plan, "--out", &four, "--jobs", "4"]).status.success());
    let read = |dir: &str, name: &str| std::fs::read(format!("{dir}/{name}")).unwrap();
    for name in ["results.csv", "results.md", "results.html"] {
        assert_eq!(read(&one, name), read(&four, name), "{name} differs between one core and four");
    }
    // As after a kill during the fourth row: complete rows count, and the other cells run again.
    let rows = String::from_utf8(read(&one, "rows.jsonl")).unwrap();
    let complete: Vec<&str> = rows.lines().collect();
    std::fs::write(
        format!("{one}/rows.jsonl"),
        format!("{}\n{}", complete[..3].join("\n"), &complete[3][..20]),
    )
    .unwrap();
    assert!(run(&["experiment", &plan, "--out", &one, "--jobs", "2"]).status.success());
    assert_eq!(read(&one, "results.csv"), read(&four, "results.csv"));
    assert_eq!(String::from_utf8(read(&one, "rows.jsonl")).unwrap().lines().count(), 6);
    assert!(String::from_utf8(read(&one, "results.html")).unwrap().contains("<svg"));
}

#[test]
fn load_counts_unanswered_requests_as_broken_and_refuses_invalid_arguments() {
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let output =
        run(&["load", &format!("http://{unused_address}/"), "--rate", "50:200ms,50-0:100ms", "--json"]);
    assert!(output.status.success(), "{}", output_text(&output));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["all"]["broken"], report["all"]["meant"]);
    assert_eq!(run(&["load", "http://127.0.0.1:1/", "--rate", "fast"]).status.code(), Some(2));
    assert_eq!(run(&["load", "ftp://127.0.0.1/"]).status.code(), Some(1));
}
