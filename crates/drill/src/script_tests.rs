//! Tests of drill scripts: errors in a script are reported by the key concerned.

use super::*;

#[test]
fn invalid_scripts_are_refused_with_the_key_concerned() {
    let error = |text: &str| Script::parse(text).err().map(|e| e.to_string()).unwrap_or_default();
    assert_eq!(error("members = 3\ntime = \"1s\""), "");
    for (text, expected) in [
        ("members = 0\ntime = \"1s\"", "members: 0"),
        ("members = 3\ntime = \"soon\"", "time"),
        ("members = 3\ntime = \"1s\"\nloss = 1.5", "loss: 1.5"),
        ("members = 3\ntime = \"1s\"\nlate = [3]", "member 3 does not exist"),
        (
            "members = 3\ntime = \"1s\"\n[[faults]]\nat = \"0s\"\nwhat = \"kill\"",
            "faults[0]: Kill needs members",
        ),
        (
            "members = 3\ntime = \"1s\"\n[[faults]]\nat = \"0s\"\nwhat = \"cut\"\nmembers = [0]",
            "which needs it",
        ),
        (
            "members = 3\ntime = \"1s\"\n[[faults]]\nat = \"2s\"\nwhat = \"heal\"",
            "faults[0].at is after time",
        ),
    ] {
        assert!(error(text).contains(expected), "{text}: {}", error(text));
    }
}
