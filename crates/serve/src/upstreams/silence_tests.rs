//! When a body that passes through is ended because its upstream is silent.

use super::silence::is_silence_over;
use garnettally_config::Limits;
use std::time::Duration;

const EXAMPLE_FILE: &str = include_str!("../../../../deploy/example.toml");
const SECOND: Duration = Duration::from_secs(1);

/// Guards against a silent upstream that keeps its client's place for ever, and against one that pauses and is
/// cut off although nobody needs the place.
#[test]
fn a_silent_body_is_ended_when_its_room_is_needed_or_after_the_time_of_the_longest_body() {
    let limits = Limits::from_operator(&garnettally_config::file::parse("example", EXAMPLE_FILE).unwrap());
    let longest = Duration::from_secs((32 << 20) / 64_000);
    for (silent_for, is_room_needed, is_over) in [
        (SECOND * 9, true, false),
        (SECOND * 10, true, true),
        (SECOND * 10, false, false),
        (longest - SECOND, false, false),
        (longest, false, true),
    ] {
        assert_eq!(is_silence_over(silent_for, is_room_needed, &limits), is_over, "{silent_for:?}");
    }
}
