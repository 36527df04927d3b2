//! Tests of drawn faults: the same seed draws the same script, and every fault ends.

use super::*;

#[test]
fn a_seed_draws_the_same_and_all_faults_end() {
    let script = |seed: u64| {
        let text = format!(
            "seed = {seed}\nmembers = 5\ntime = \"10s\"\ndrawn = 30\n[duties]\nvoters = 3\nnames = [\"a\"]\n"
        );
        Script::parse(&text).unwrap()
    };
    let told = |seed| format!("{:?}", faults(&script(seed), 30));
    assert!(told(1) == told(1) && told(1) != told(2));
    let mut met = BTreeSet::new();
    for seed in 0..50 {
        let mut gone = BTreeSet::new();
        for f in faults(&script(seed), 30) {
            met.insert(format!("{:?}", f.what));
            match f.what {
                What::Kill | What::Term => gone.extend(f.members),
                What::Start => f.members.iter().for_each(|m| {
                    gone.remove(m);
                }),
                _ => {}
            }
        }
        assert!(gone.is_empty(), "seed {seed}: {gone:?}");
    }
    assert_eq!(met.len(), 10, "{met:?}");
}
