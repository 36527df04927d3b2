//! Compares balancers that share their verdicts on nodes with balancers that do not, in virtual time.

use garnettally_emulator::day::run;
use garnettally_emulator::policy::PolicyKind;
use garnettally_emulator::report::Report;
use garnettally_emulator::world::World;

const SICK_FLEET: &str = include_str!("../../../deploy/worlds/sick-fleet.toml");

/// Returns the mean part of the worth that was not earned, and the mean retry amplification.
fn lost_service_and_retries(text: &str) -> (f64, f64) {
    let world = World::parse(text).unwrap();
    let all: Vec<Report> = (1..=2).map(|seed| run(&world, seed, PolicyKind::Module)).collect();
    assert!(all.iter().all(Report::all_rules_kept), "a rule was broken");
    let mean = |figure: &dyn Fn(&Report) -> f64| all.iter().map(figure).sum::<f64>() / all.len() as f64;
    (1.0 - mean(&|r| r.service), mean(&|r| r.retry_amplification))
}

/// Guards against sharing that saves nothing, also where links lose 30 % of the datagrams and a tenth of the
/// links, one direction each, is cut.
#[test]
fn sharing_saves_two_fifths_of_the_losses_that_hung_nodes_cause() {
    let alone = lost_service_and_retries(SICK_FLEET.split("[fleet]").next().unwrap());
    let shared = lost_service_and_retries(SICK_FLEET);
    let broken = lost_service_and_retries(&format!("{SICK_FLEET}loss = 0.3\ncut = 0.1\n"));
    for (what, with) in [("healthy links", shared), ("broken links", broken)] {
        assert!(with.0 < 0.6 * alone.0 && with.1 < alone.1, "{what}: {with:?}, alone {alone:?}");
    }
}

/// Guards against a fleet whose links are all cut and that does worse than balancers without sharing.
#[test]
fn with_all_links_cut_the_losses_are_those_without_sharing() {
    let alone = lost_service_and_retries(SICK_FLEET.split("[fleet]").next().unwrap());
    let cut = lost_service_and_retries(&format!("{SICK_FLEET}cut = 1.0\n"));
    assert_eq!(cut, alone);
}

/// Faults that kill and restart some balancers and stop others while nodes hang.
const KILLS_AND_STOPS: &str = r#"
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

/// Guards against rules that kills break, requests that are lost without an outcome, and restarted members
/// that have to learn by their own failed attempts what the others already know.
#[test]
fn killed_balancers_keep_the_rules_and_learn_from_the_others_after_a_restart() {
    let text = SICK_FLEET.replace("[fleet]", KILLS_AND_STOPS);
    for with in [text.as_str(), text.split("[fleet]").next().unwrap()] {
        for seed in 1..=2 {
            let r = run(&World::parse(with).unwrap(), seed, PolicyKind::Module);
            assert!(r.all_rules_kept(), "{:?}", r.breaks);
            let outcomes = &r.all;
            assert_eq!(
                outcomes.asked,
                outcomes.in_time + outcomes.late + outcomes.refused + outcomes.failed + outcomes.given_up,
                "each request has one outcome"
            );
            // 7 in 10 balancers are killed with some requests each; 3 in 10 delay theirs for 5 s of 30 s.
            assert!(
                outcomes.failed > 10 && outcomes.given_up > 500,
                "no balancer was killed or stopped: {outcomes:?}"
            );
        }
    }
    let kills = text.replace("stop-balancers", "kill-balancers");
    let (shared, alone) =
        (lost_service_and_retries(&kills), lost_service_and_retries(kills.split("[fleet]").next().unwrap()));
    assert!(shared.0 < alone.0, "{shared:?}, alone {alone:?}");
}

/// Only balancers of the first tier can be killed.
#[test]
fn a_kill_of_balancers_beyond_the_first_tier_is_rejected() {
    let second = "[[tiers]]\nname = \"web\"";
    let text = SICK_FLEET.replace(second, &format!("{second}\nnodes = 3\n[[tiers]]\nname = \"deep\""));
    let text = text.replace("what = \"hang\"", "what = \"kill-balancers\"\ntier = \"deep\"");
    let error = World::parse(&text).unwrap_err().to_string();
    assert!(error.contains("faults[0]") && error.contains("first tier"), "{error}");
}
