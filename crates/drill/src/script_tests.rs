//! Tests of drill scripts: errors in a script are reported.

use super::*;

#[test]
fn what_is_wrong_is_told() {
    let told = |text: &str| Script::parse(text).err().map(|e| e.to_string()).unwrap_or_default();
    assert_eq!(told("members = 3\ntime = \"1s\""), "");
    for (text, part) in [
        ("members = 0\ntime = \"1s\"", "members: 0"),
        ("members = 3\ntime = \"soon\"", "time"),
        ("members = 3\ntime = \"1s\"\nloss = 1.5", "loss: 1.5"),
        ("members = 3\ntime = \"1s\"\nlate = [3]", "member 3 is named"),
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
        assert!(told(text).contains(part), "{text}: {}", told(text));
    }
}
