//! What the project's own checks go by.

use std::io::Write;
use std::process::{Command, Output};

/// What `.ci/known-red` makes of this file, where these tests are there.
fn known_red(name: &str, file: Option<&str>, tests: &str) -> Output {
    let path = |what: &str| format!("{}/known-red-{name}-{what}", env!("CARGO_TARGET_TMPDIR"));
    let (red, list) = (path("file"), path("tests"));
    let _ = std::fs::remove_file(&red);
    if let Some(text) = file {
        std::fs::File::create(&red).unwrap().write_all(text.as_bytes()).unwrap();
    }
    std::fs::write(&list, tests).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    Command::new("bash").args([script, &red, &list]).output().unwrap()
}

const TESTS: &str = "a: test\nb::c: test\nb::cd: test\ntwice: test\ntwice: test\ne: test\nf: test\n";

#[test]
fn tests_known_to_fail_are_passed_over_by_their_exact_names() {
    let none = known_red("none", None, TESTS);
    assert!(none.status.success() && none.stdout.is_empty(), "{none:?}");
    let two = known_red("two", Some("a: it hangs: now and then: issue 7\n\nb::c: why: issue 29"), TESTS);
    assert!(two.status.success(), "{two:?}");
    assert_eq!(String::from_utf8_lossy(&two.stdout), "--exact\n--skip\na\n--skip\nb::c\n");
    let told = String::from_utf8_lossy(&two.stderr).into_owned();
    assert!(
        told.contains("passed over: a: it hangs: now and then: issue 7") && told.contains("b::c"),
        "{told}"
    );
}

/// Guards against tests that go missing unseen: more than three, a name that is part of one or of several.
#[test]
fn other_lists_of_tests_known_to_fail_are_refused() {
    let cases = [
        ("four", "a: x: issue 1\nb::c: x: issue 1\ne: x: issue 1\nf: x: issue 1\n", "more than three"),
        ("unknown", "b: x: issue 1\n", "0 tests have the name b"),
        ("pattern", "b::.*: x: issue 1\n", "not `test: cause: issue N`"),
        ("twice", "twice: x: issue 1\n", "2 tests have the name twice"),
        ("causeless", "a: : issue 1\n", "not `test: cause: issue N`"),
        ("issueless", "a: x\n", "not `test: cause: issue N`"),
    ];
    for (name, text, why) in cases {
        let out = known_red(name, Some(text), TESTS);
        assert!(!out.status.success(), "{name}: {out:?}");
        assert!(String::from_utf8_lossy(&out.stderr).contains(why), "{name}: {out:?}");
    }
}
