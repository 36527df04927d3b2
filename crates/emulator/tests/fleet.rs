//! Balancers that share what they find out, in virtual time, against the same that do not.

use garnettally_emulator::day::run;
use garnettally_emulator::policy::Kind;
use garnettally_emulator::report::Report;
use garnettally_emulator::world::World;

const SICK: &str = include_str!("../../../deploy/worlds/sick-fleet.toml");

fn lost(text: &str) -> (f64, f64) {
    let world = World::parse(text).unwrap();
    let all: Vec<Report> = (1..=2).map(|seed| run(&world, seed, Kind::Module)).collect();
    assert!(all.iter().all(Report::lawful), "a rule was broken");
    let mean = |of: &dyn Fn(&Report) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    (1.0 - mean(&|r| r.service), mean(&|r| r.retry_amplification))
}

/// Guards against sharing that saves nothing, also where links lose a third and a tenth of them is cut one way.
#[test]
fn what_is_shared_halves_what_hung_nodes_cost() {
    let alone = lost(SICK.split("[fleet]").next().unwrap());
    let shared = lost(SICK);
    let broken = lost(&format!("{SICK}loss = 0.3\ncut = 0.1\n"));
    for (what, with) in [("healthy links", shared), ("broken links", broken)] {
        assert!(with.0 < 0.6 * alone.0 && with.1 < alone.1, "{what}: {with:?}, alone {alone:?}");
    }
}

/// Guards against links that are all gone and make it worse than no sharing at all.
#[test]
fn with_all_links_cut_it_is_as_without_them() {
    let alone = lost(SICK.split("[fleet]").next().unwrap());
    let cut = lost(&format!("{SICK}cut = 1.0\n"));
    assert_eq!(cut, alone);
}

/// Balancers that are killed and start anew, and others that stand still, while nodes hang.
const DEATHS: &str = r#"
[[faults]]
at = "10s"
for = "3s"
what = "kill-balancers"
share = 0.7

[[faults]]
at = "17s"
for = "5s"
what = "stop-balancers"
share = 0.3

[fleet]"#;

/// Guards against rules that deaths break, requests that get lost without a word, and members that start anew and
/// have to pay for themselves for what the others know.
#[test]
fn balancers_that_die_and_come_back_keep_the_rules_and_learn_from_the_others() {
    let text = SICK.replace("[fleet]", DEATHS);
    for with in [text.as_str(), text.split("[fleet]").next().unwrap()] {
        for seed in 1..=2 {
            let r = run(&World::parse(with).unwrap(), seed, Kind::Module);
            assert!(r.lawful(), "{:?}", r.breaks);
            let a = &r.all;
            assert_eq!(
                a.asked,
                a.in_time + a.late + a.refused + a.failed + a.given_up,
                "each has one outcome"
            );
            // 7 in 10 die with some requests each; 3 in 10 keep theirs waiting for 5 s of 30.
            assert!(a.failed > 10 && a.given_up > 500, "nobody died or stood still: {a:?}");
        }
    }
    let kills = text.replace("stop-balancers", "kill-balancers");
    let (shared, alone) = (lost(&kills), lost(kills.split("[fleet]").next().unwrap()));
    assert!(shared.0 < alone.0, "{shared:?}, alone {alone:?}");
}

/// Only balancers of the first tier can die.
#[test]
fn a_death_elsewhere_is_refused_by_name() {
    let second = "[[tiers]]\nname = \"web\"";
    let text = SICK.replace(second, &format!("{second}\nnodes = 3\n[[tiers]]\nname = \"deep\""));
    let text = text.replace("what = \"hang\"", "what = \"kill-balancers\"\ntier = \"deep\"");
    let told = World::parse(&text).unwrap_err().to_string();
    assert!(told.contains("faults[0]") && told.contains("first tier"), "{told}");
}
