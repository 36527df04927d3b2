//! Tests of the metrics registry: counts by class and outcome, and bounded, single-line names.

use super::*;

fn value(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.split(':').next() == Some(name))?;
    line.split(':').nth(1)?.split('|').next()?.parse().ok()
}

#[test]
fn outcomes_are_counted_by_class_and_registered_classes_read_zero() {
    let mut stats = Stats::default();
    stats.register_class("look");
    stats.register_class("book");
    for _ in 0..3 {
        stats.record_outcome("look", Outcome::Completed);
    }
    stats.record_outcome("book", Outcome::Rejected);
    stats.record_outcome("book", Outcome::Failed);
    stats.record_attempt_written();
    stats.record_reload(true);
    stats.record_reload(false);
    stats.record_reload(false);
    stats.record_refusal(RefusalReason::StaleList);
    stats.record_refusal(RefusalReason::StaleList);
    stats.record_discovery_call();
    stats.record_discovery_failure();
    let memory = MemoryMeter::default();
    let mut charge = memory.charge(MemoryUse::Requests);
    charge.set(700);
    let gauges = Gauges {
        pending: 4,
        members: 9,
        members_unavailable: 2,
        lists_stale: 1,
        connections_ready: 5,
        longest_turn: Duration::from_millis(3),
    };
    let text = stats.render(gauges, &memory);
    assert_eq!(value(&text, "edge_gw.connections_ready"), Some(5));
    assert_eq!(value(&text, "edge_gw.longest_turn_us"), Some(3000));
    assert_eq!(value(&text, "edge_gw.downstream_requests.look.completed"), Some(3));
    assert_eq!(value(&text, "edge_gw.downstream_requests.look.failed"), Some(0));
    assert_eq!(value(&text, "edge_gw.downstream_requests.book.rejected"), Some(1));
    assert_eq!(value(&text, "edge_gw.downstream_requests.book.failed"), Some(1));
    assert_eq!(value(&text, "edge_gw.upstream_requests"), Some(1));
    assert_eq!(value(&text, "edge_gw.pending"), Some(4));
    assert_eq!(value(&text, "edge_gw.members_unavailable"), Some(2));
    assert_eq!(value(&text, "edge_gw.config_reload_errors"), Some(2));
    assert_eq!(value(&text, "edge_gw.refused_for.stale_list"), Some(2));
    assert_eq!(value(&text, "edge_gw.refused_for.no_room"), Some(0));
    assert_eq!(value(&text, "edge_gw.discovery_calls"), Some(1));
    assert_eq!(value(&text, "edge_gw.discovery_failures"), Some(1));
    assert_eq!(value(&text, "edge_gw.lists_stale"), Some(1));
    assert_eq!(value(&text, "edge_gw.memory_bytes.requests"), Some(700));
    assert_eq!(value(&text, "edge_gw.memory_bytes.caller_input"), Some(0));
}

/// Guards against a registry that callers grow without bound, and against names that split a line.
#[test]
fn class_names_are_bounded_in_number_and_never_split_a_line() {
    /// The number of lines that belong to no class.
    const OTHER_LINES: usize = 21;
    let mut stats = Stats::default();
    stats.record_outcome("a.b:c|d\ne", Outcome::Failed);
    for n in 0..10_000 {
        stats.record_outcome(&format!("c{n}"), Outcome::Completed);
    }
    let text = stats.render(Gauges::default(), &MemoryMeter::default());
    assert_eq!(value(&text, "edge_gw.downstream_requests.a_b_c_d_e.failed"), Some(1));
    assert!(text.lines().count() <= MAX_CLASSES * 3 + 3 + OTHER_LINES, "{}", text.lines().count());
    assert!(value(&text, "edge_gw.downstream_requests.other.completed").unwrap() > 9_000);
    assert!(text.lines().all(|l| l.matches(':').count() == 1 && l.matches('|').count() == 1), "{text}");
}
