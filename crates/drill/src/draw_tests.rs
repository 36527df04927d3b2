//! Tests of drawn faults: the same seed draws the same faults, and every process that was ended is started
//! again.

use super::*;

#[test]
fn the_same_seed_draws_the_same_faults_and_all_processes_run_at_the_end() {
    let script = |seed: u64| {
        let text = format!(
            "seed = {seed}\nmembers = 5\ntime = \"10s\"\ndrawn = 30\n[duties]\nvoters = 3\nnames = [\"a\"]\n"
        );
        Script::parse(&text).unwrap()
    };
    let described = |seed| format!("{:?}", draw_faults(&script(seed), 30));
    assert!(described(1) == described(1) && described(1) != described(2));
    let mut kinds = BTreeSet::new();
    for seed in 0..50 {
        let mut not_running = BTreeSet::new();
        for fault in draw_faults(&script(seed), 30) {
            kinds.insert(format!("{:?}", fault.what));
            match fault.what {
                FaultKind::Kill | FaultKind::Term => not_running.extend(fault.members),
                FaultKind::Start => fault.members.iter().for_each(|member| {
                    not_running.remove(member);
                }),
                _ => {}
            }
        }
        assert!(not_running.is_empty(), "seed {seed}: {not_running:?}");
    }
    assert_eq!(kinds.len(), 10, "{kinds:?}");
}
