//! Tests of the simulator adapter: its replies to hand-written scripts of messages.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(script: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_garnettally-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // If the adapter rejects the script before its end, writing the rest fails. The test then depends on the
    // exit status only.
    let _ = child.stdin.take().unwrap().write_all(script.as_bytes());
    child.wait_with_output().unwrap()
}

fn boot(balancer: u32) -> String {
    let facts = r#"{"Az":"north","Azs":["north"],"Contract":{"AskWithinUs":10000000,"ColdShare":0.33,"RampTimeUs":8000000,"TipAfterUs":3000000},"Grades":[{"HardLimitUs":2000000,"KeyScope":"all","LateWorth":0.5,"Name":"get","Semantics":"safe","SloUs":800000,"Streaming":false,"WindowUs":0,"Worth":1.0}],"Limits":{"MayCancel":true,"ParallelTries":false,"Probes":false,"RetryAfter":true,"SendCap":3,"MaxRetryAfterUs":1000000},"NInstances":2,"NewSetting":{"x":[1]},"Realms":[],"RegistryMode":"pushed","Tier":0,"WeightKind":"none","WorthBy":"work"}"#;
    format!("{{\"Boot\":{{\"Balancer\":{balancer},\"RandomSeed\":5,\"Facts\":{facts}}}}}\n")
}

fn census(id: u32, server: &str) -> String {
    format!(
        "{{\"Census\":{{\"SetId\":{id},\"Entries\":[{{\"Upstream\":\"{server}\",\"Zone\":\"north\",\"Type\":\"std\",\"Block\":0,\"Health\":1,\"Units\":1,\"OnlineSinceUs\":null}}]}}}}\n"
    )
}

fn announce(balancer: u32, id: u32) -> String {
    format!("{{\"Announce\":{{\"Balancer\":{balancer},\"SetId\":{id},\"SeqNo\":1,\"Form\":3}}}}\n")
}

fn knock(balancer: u32, tid: &str) -> String {
    format!(
        "{{\"Knock\":{{\"Balancer\":{balancer},\"Tid\":\"{tid}\",\"Grade\":\"get\",\"Billing\":null,\"Subject\":null,\"ExpiresUs\":2000000,\"ExpectedUs\":12000,\"Flags\":1}}}}\n"
    )
}

fn finished(tid: &str) -> String {
    format!(
        "{{\"Finished\":{{\"Balancer\":1,\"Tid\":\"{tid}\",\"N\":0,\"Upstream\":\"s.a\",\"StateCode\":1,\"LatencyUs\":18500,\"Terminal\":true,\"Feedback\":{{\"rif\":2,\"new\":1}}}}}}\n"
    )
}

fn frame(at_time_us: u32) -> String {
    format!("{{\"Frame\":{{\"AtTimeUs\":{at_time_us}}}}}\n")
}

const COMMIT: &str = "{\"Commit\":{}}\n";

#[test]
fn four_batches_get_the_expected_replies() {
    let script = [
        frame(1000),
        COMMIT.into(),
        // Two balancers start, and each receives a cached list and a request. The second list replaces the
        // first one under the same number.
        frame(2000),
        boot(1),
        census(0, "s.a"),
        announce(1, 0),
        boot(2),
        census(0, "s.b"),
        announce(2, 0),
        knock(1, "r-1"),
        knock(2, "r-2"),
        COMMIT.into(),
        // An attempt ends. The second balancer stops and starts again in the same batch: it then has no list
        // and queues its request.
        frame(3000),
        finished("r-1"),
        "{\"Retire\":{\"Balancer\":2}}\n".into(),
        boot(2),
        knock(2, "r-3"),
        COMMIT.into(),
        // These messages come too late or name an unknown request: the outcome of an ended request, and a
        // disconnect of a client whose request never came.
        frame(4000),
        finished("r-1"),
        "{\"ClientLeft\":{\"Balancer\":1,\"Tid\":\"r-9\"}}\n".into(),
        COMMIT.into(),
    ]
    .concat();
    let output = run(&script);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    let replies: Vec<&str> = text.split("{\"Eor\":{}}\n").collect();
    assert_eq!(replies.len(), 5);
    assert_eq!(replies[0], "");
    let send = |balancer: u32, tid: &str, upstream: &str| {
        format!("{{\"SubmitTo\":{{\"Balancer\":{balancer},\"Tid\":\"{tid}\",\"Upstream\":\"{upstream}\",\"AllowForUs\":1998000}}}}")
    };
    let sent: Vec<&str> = replies[1].lines().filter(|l| l.contains("SubmitTo")).collect();
    assert_eq!(sent, [send(1, "r-1", "s.a"), send(2, "r-2", "s.b")]);
    assert!(!replies[2].contains("SubmitTo") && !replies[2].contains("Tid"));
    assert_eq!(replies[3], "");
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error_of_one_line() {
    let bad = [
        ("not json\n".to_string(), "line 2"),
        ("{\"Nonsense\":{}}\n".to_string(), "Nonsense"),
        ("{\"Timer\":{\"Balancer\":1}}\n".to_string(), "Token"),
        (knock(7, "r"), "balancer 7 was never booted"),
        (announce(1, 3), "never"),
    ];
    for (line, expected) in bad {
        let output = run(&[frame(1000), line, COMMIT.into()].concat());
        assert!(!output.status.success());
        assert!(output.stdout.is_empty(), "part of a reply was written");
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains("line 2") && error.contains(expected), "{error}");
    }
}

#[test]
fn order_and_drain_settings_are_read_and_may_be_absent_or_null() {
    let knocks = |subject: &str| {
        let knock = |tid: &str| knock(1, tid).replace("\"Subject\":null", &format!("\"Subject\":{subject}"));
        [knock("a"), knock("b")].concat()
    };
    let sends = |boot: String, subject: &str| {
        let census = census(0, "s.a");
        let script = [frame(2000), boot, census, announce(1, 0), knocks(subject), COMMIT.into()].concat();
        let out = run(&script);
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        String::from_utf8(out.stdout).unwrap().matches("SubmitTo").count()
    };
    let boot_with = |keep_order: &str, value: &str| {
        let boot =
            boot(1).replace("\"Name\":\"get\"", &format!("\"KeepOrder\":{keep_order},\"Name\":\"get\""));
        boot.replace(
            "\"TipAfterUs\"",
            &format!("\"KeyRestUs\":{value},\"DrainBindsAlone\":{value},\"TipAfterUs\""),
        )
    };
    let ordered = boot(1).replace("\"Name\":\"get\"", "\"KeepOrder\":true,\"Name\":\"get\"");
    let key = "\"91f03b7c55d20a64\"";
    // Requests with the same key are sent one at a time where the class keeps order, and together without
    // that setting or without a key.
    assert_eq!(sends(ordered.clone(), key), 1);
    assert_eq!(sends(ordered.clone(), "\"no hex\""), 1);
    assert_eq!(sends(ordered, "null"), 2);
    assert_eq!(sends(boot(1), key), 2);
    assert_eq!(sends(boot_with("null", "null"), key), 2);
}
