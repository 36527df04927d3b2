//! The lab's commands: `emulate` and `experiment`. Nothing here is reached from `serve`.

use clap::Args;
use garnettally_emulator::day;
use garnettally_emulator::policy::Kind;
use garnettally_emulator::world::World;
use garnettally_experiment::plan::Plan;
use garnettally_experiment::{publish, run};
use std::io::IsTerminal;
use std::path::PathBuf;

/// A run of a world in virtual time.
#[derive(Args)]
pub struct Emulate {
    /// The world's file
    world: PathBuf,
    /// The seed: the same one gives the same course of events
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The policy: module, or a reference to compare it with
    #[arg(long, default_value = "module", value_parser = policy)]
    policy: Kind,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

fn policy(name: &str) -> Result<Kind, String> {
    let names = || Kind::ALL.map(Kind::name).join(", ");
    Kind::ALL.into_iter().find(|k| k.name() == name).ok_or_else(|| format!("there are {}", names()))
}

impl Emulate {
    /// The report; a broken rule is a failure.
    pub fn run(&self) -> Result<String, String> {
        let file = self.world.display();
        let text = std::fs::read_to_string(&self.world).map_err(|e| format!("{file}: {e}"))?;
        let world = World::parse(&text).map_err(|e| format!("{file}: {e}"))?;
        let report = day::run(&world, self.seed, self.policy);
        let text = match self.json {
            true => serde_json::to_string_pretty(&report).map_err(|e| e.to_string())? + "\n",
            false => report.text(),
        };
        if report.lawful() {
            Ok(text)
        } else {
            Err(format!("a rule was broken\n{text}"))
        }
    }
}

/// A plan of worlds, settings, policies and seeds.
#[derive(Args)]
pub struct Experiment {
    /// The plan's file
    plan: PathBuf,
    /// The folder for rows and results; a run that was killed goes on from its rows
    #[arg(long)]
    out: PathBuf,
    /// Cells that run at a time. Default: one a core
    #[arg(long)]
    jobs: Option<usize>,
}

impl Experiment {
    /// Runs it, and says where the results are.
    pub fn run(&self) -> Result<String, String> {
        let plan = Plan::load(&self.plan).map_err(|e| e.to_string())?;
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let show = std::io::stderr().is_terminal();
        let out = self.out.display();
        let rows = run::run(&plan, &self.out, self.jobs.unwrap_or(cores), show)
            .map_err(|e| format!("{out}: {e}"))?;
        publish::publish(&plan, &rows, &self.out).map_err(|e| format!("{out}: {e}"))?;
        let broken: u64 = rows.iter().map(|r| r.broken).sum();
        let text = format!(
            "{}\n{} cells; results.csv, results.md and results.html are in {out}\n",
            publish::markdown(&plan, &rows),
            rows.len()
        );
        match broken {
            0 => Ok(text),
            n => Err(format!("rules were broken {n} times\n{text}")),
        }
    }
}
