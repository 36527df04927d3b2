//! Tests of the statistics registry: counts by class of outcome, and bounded, single-line names.

use super::*;

fn value(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.split(':').next() == Some(name))?;
    line.split(':').nth(1)?.split('|').next()?.parse().ok()
}

#[test]
fn outcomes_are_counted_by_class_and_known_classes_read_zero() {
    let mut s = Stats::default();
    s.know_class("look");
    s.know_class("book");
    for _ in 0..3 {
        s.ended("look", Outcome::Completed);
    }
    s.ended("book", Outcome::Rejected);
    s.ended("book", Outcome::Failed);
    s.attempt_written();
    s.reloaded(true);
    s.reloaded(false);
    s.reloaded(false);
    s.refused(RefusalReason::StaleList);
    s.refused(RefusalReason::StaleList);
    s.discovery_asked();
    s.discovery_failed();
    let text = s.render(Gauges { pending: 4, members: 9, members_unavailable: 2, lists_stale: 1 });
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
}

/// Guards against a registry that callers grow without bound, and lines that a name could split.
#[test]
fn names_are_bounded_and_kept_to_one_line() {
    /// Lines that are no class's.
    const OTHER_LINES: usize = 12;
    let mut s = Stats::default();
    s.ended("a.b:c|d\ne", Outcome::Failed);
    for n in 0..10_000 {
        s.ended(&format!("c{n}"), Outcome::Completed);
    }
    let text = s.render(Gauges::default());
    assert_eq!(value(&text, "edge_gw.downstream_requests.a_b_c_d_e.failed"), Some(1));
    assert!(text.lines().count() <= MOST_CLASSES * 3 + 3 + OTHER_LINES, "{}", text.lines().count());
    assert!(value(&text, "edge_gw.downstream_requests.other.completed").unwrap() > 9_000);
    assert!(text.lines().all(|l| l.matches(':').count() == 1 && l.matches('|').count() == 1), "{text}");
}
