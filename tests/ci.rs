//! Tests of the scripts in .ci that check this project.

use std::io::Write;
use std::process::{Command, Output};

/// Runs `.ci/known-red` with this file of tests known to fail (or none) and this list of all tests.
fn run_known_red(name: &str, file: Option<&str>, tests: &str) -> Output {
    let path = |suffix: &str| format!("{}/known-red-{name}-{suffix}", env!("CARGO_TARGET_TMPDIR"));
    let (red, list) = (path("file"), path("tests"));
    let _ = std::fs::remove_file(&red);
    if let Some(text) = file {
        std::fs::File::create(&red).unwrap().write_all(text.as_bytes()).unwrap();
    }
    std::fs::write(&list, tests).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    Command::new("bash").args([script, &red, &list]).output().unwrap()
}

const ALL_TESTS: &str = "a: test\nb::c: test\nb::cd: test\ntwice: test\ntwice: test\ne: test\nf: test\n";

/// Formats an entry of the form that the script accepts.
fn entry(test: &str, seen: &str) -> String {
    format!("{test}: {seen}: `cargo test --locked -- {test} --exact`: issue 29\n")
}

#[test]
fn tests_known_to_fail_are_skipped_by_their_exact_names() {
    let none = run_known_red("none", None, ALL_TESTS);
    assert!(none.status.success() && none.stdout.is_empty(), "{none:?}");
    let two = run_known_red(
        "two",
        Some(&(entry("a", "it hangs: now and then") + "\n" + &entry("b::c", "why"))),
        ALL_TESTS,
    );
    assert!(two.status.success(), "{two:?}");
    assert_eq!(String::from_utf8_lossy(&two.stdout), "--exact\n--skip\na\n--skip\nb::c\n");
    let skipped = String::from_utf8_lossy(&two.stderr).into_owned();
    assert!(
        skipped.contains("passed over: a: it hangs: now and then: `cargo test") && skipped.contains("b::c"),
        "{skipped}"
    );
}

/// Guards against tests that are skipped without notice, by a long list or by a name that is only part of a
/// test's name or fits several tests. Also guards against entries that nobody can reproduce.
#[test]
fn invalid_lists_of_tests_known_to_fail_are_refused() {
    const FORM: &str = "not \"test: what was seen: `command`: issue N\"";
    let cases = [
        ("seventeen", entry("a", "x").repeat(17), "more than 16 lines"),
        ("unknown", entry("b", "x"), "0 tests have the name b"),
        ("pattern", entry("b::.*", "x"), FORM),
        ("twice", entry("twice", "x"), "2 tests have the name twice"),
        ("causeless", entry("a", ""), FORM),
        ("issueless", "a: x: `cargo test --locked -- a`\n".into(), FORM),
        ("commandless", "a: x: issue 1\n".into(), FORM),
        ("other-command", "a: x: `cargo test --locked -- ab`: issue 1\n".into(), "does not play a"),
        ("no-command", "a: x: `a`: issue 1\n".into(), "does not play a"),
    ];
    for (name, text, why) in cases {
        let out = run_known_red(name, Some(&text), ALL_TESTS);
        assert!(!out.status.success(), "{name}: {out:?}");
        assert!(String::from_utf8_lossy(&out.stderr).contains(why), "{name}: {out:?}");
    }
}

/// Runs `.ci/tests-in-test-files` on a folder with these files.
fn run_tests_in_test_files(name: &str, files: &[(&str, &str)]) -> Output {
    let root = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("test-files-{name}"));
    let _ = std::fs::remove_dir_all(&root);
    std::fs::create_dir_all(&root).unwrap();
    for (file, text) in files {
        let path = root.join(file);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests-in-test-files");
    Command::new("bash").arg(script).arg(&root).output().unwrap()
}

const SOURCE_WITH_TESTS: &str = "proptest! {\n    #[test]\n    fn t() {}\n}\n#[cfg(test)]\nmod tests {}\n";

#[test]
fn tests_in_test_files_pass() {
    let source = "//! Not #[test].\n\
        fn f() {} // nor #[test], nor proptest! {}\n\
        #[cfg(test)]\nuse f as g;\nmod plain {}\n\
        #[cfg(not(test))]\nmod real {}\n\
        #[cfg(feature = \"test\")]\nmod optional {}\n\
        #[cfg(test)]\n#[path = \"lib_tests.rs\"]\nmod tests;\nmod last {}\n";
    let clean = run_tests_in_test_files(
        "clean",
        &[
            ("src/lib.rs", source),
            ("src/lib_tests.rs", SOURCE_WITH_TESTS),
            ("src/part/tests.rs", SOURCE_WITH_TESTS),
            ("crates/a/tests/unit/a.rs", SOURCE_WITH_TESTS),
            ("benches/b.rs", SOURCE_WITH_TESTS),
            ("target/debug/out.rs", SOURCE_WITH_TESTS),
            ("notes.md", SOURCE_WITH_TESTS),
        ],
    );
    assert!(clean.status.success() && clean.stdout.is_empty() && clean.stderr.is_empty(), "{clean:?}");
}

/// Guards against a check that ignores forms of tests that it does not know, or that passes a folder without
/// any source.
#[test]
fn tests_in_other_files_are_named_by_file_and_line() {
    const ATTRIBUTE: &str = "#[test]";
    const MODULE: &str = "inline test module";
    type Found = &'static [(usize, &'static str)];
    let cases: &[(&str, &str, Found)] = &[
        ("attribute", "fn f() {}\n#[test]\nfn t() {}\n", &[(2, ATTRIBUTE)]),
        ("async", "#[tokio::test(flavor = \"x\")]\nasync fn t() {}\n", &[(1, ATTRIBUTE)]),
        ("same-line", "const U: &str = \"http://u\"; #[test] fn t() {}\n", &[(1, ATTRIBUTE)]),
        ("module", "fn f() {}\n\n#[cfg(test)]\nmod tests {\n}\n", &[(4, MODULE)]),
        ("module-on-a-line", "#[cfg(test)] pub(crate) mod odd {}\n", &[(1, MODULE)]),
        ("module-of-some", "#[cfg(all(test, unix))]\nmod odd {}\n", &[(2, MODULE)]),
        (
            "module-after",
            "#[cfg(test)]\n// Why.\n#[allow(\n    dead_code\n)]\nmod tests {}\n",
            &[(6, MODULE)],
        ),
        ("block", "\nproptest! {}\n", &[(2, "proptest!")]),
        ("block-by-path", "proptest::proptest!(|(x: u8)| {});\n", &[(1, "proptest!")]),
        (
            "all",
            "#[cfg(test)]\nmod tests {\n    proptest! {\n        #[test]\n        fn t() {}\n    }\n}\n",
            &[(2, MODULE), (3, "proptest!"), (4, ATTRIBUTE)],
        ),
    ];
    for (name, text, found) in cases {
        // The names of these files only resemble those of test files.
        for file in ["crates/a/src/x.rs", "src/contests.rs", "my_tests/x.rs"] {
            let out = run_tests_in_test_files(name, &[("src/lib.rs", "fn f() {}\n"), (file, text)]);
            assert!(!out.status.success(), "{name}: {out:?}");
            let expected: String = found
                .iter()
                .map(|(line, what)| format!("{file}:{line}: {what} outside of a test file\n"))
                .collect();
            assert_eq!(String::from_utf8_lossy(&out.stderr), expected, "{name}");
        }
    }
    let none = run_tests_in_test_files("none", &[("tests/a.rs", SOURCE_WITH_TESTS)]);
    assert!(!none.status.success(), "{none:?}");
    assert!(String::from_utf8_lossy(&none.stderr).contains("no Rust sources"), "{none:?}");
}
