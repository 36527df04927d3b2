//! The commands for trials: `emulate`, `experiment`, `load` and `drill`. The `serve` command uses nothing of
//! this file.

use clap::Args;
use garnettally_drill::Script;
use garnettally_emulator::day;
use garnettally_emulator::policy::PolicyKind;
use garnettally_emulator::world::World;
use garnettally_experiment::plan::Plan;
use garnettally_experiment::{publish, run};
use garnettally_load::mix::Mix;
use garnettally_load::run::{Load as LoadPlan, Mode, Progress};
use garnettally_load::schedule::Phase;
use std::io::IsTerminal;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;
use std::time::Duration;

/// Runs a world in virtual time.
#[derive(Args)]
pub struct Emulate {
    /// File that describes the world
    world: PathBuf,
    /// Seed of the random draws: the same seed gives the same course of events
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Policy that chooses the nodes: module (the decision module), or a reference to compare it with
    #[arg(long, default_value = "module", value_parser = parse_policy)]
    policy: PolicyKind,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

fn parse_policy(name: &str) -> Result<PolicyKind, String> {
    let names = || PolicyKind::ALL.map(PolicyKind::name).join(", ");
    PolicyKind::ALL
        .into_iter()
        .find(|k| k.name() == name)
        .ok_or_else(|| format!("the policies are {}", names()))
}

impl Emulate {
    /// Runs the world, and returns the report to print. A broken rule is an error.
    pub fn run(&self) -> Result<String, String> {
        let file = self.world.display();
        let text = std::fs::read_to_string(&self.world).map_err(|e| format!("{file}: {e}"))?;
        let world = World::parse(&text).map_err(|e| format!("{file}: {e}"))?;
        let report = day::run(&world, self.seed, self.policy);
        let text = match self.json {
            true => serde_json::to_string_pretty(&report).map_err(|e| e.to_string())? + "\n",
            false => report.text(),
        };
        if report.all_rules_kept() {
            Ok(text)
        } else {
            Err(format!("a rule was broken\n{text}"))
        }
    }
}

/// Runs the combinations of worlds, settings, policies and seeds that a plan lists.
#[derive(Args)]
pub struct Experiment {
    /// File with the plan
    plan: PathBuf,
    /// Folder for rows and results; a run that was killed continues after the rows it has written there
    #[arg(long)]
    out: PathBuf,
    /// Number of cells that run at the same time. Default: one for each core
    #[arg(long)]
    jobs: Option<usize>,
}

impl Experiment {
    /// Runs the plan, and returns its table and the place of the results. Broken rules of the module are an
    /// error.
    pub fn run(&self) -> Result<String, String> {
        let plan = Plan::load(&self.plan).map_err(|e| e.to_string())?;
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let show_progress = std::io::stderr().is_terminal();
        let out = self.out.display();
        let rows = run::run(&plan, &self.out, self.jobs.unwrap_or(cores), show_progress)
            .map_err(|e| format!("{out}: {e}"))?;
        publish::publish(&plan, &rows, &self.out).map_err(|e| format!("{out}: {e}"))?;
        // Reference policies break rules by design, because they have no slow start. Their broken rules stand
        // in the table, and only those of the decision module are an error.
        let broken: u64 = rows.iter().filter(|r| r.policy == PolicyKind::Module).map(|r| r.broken).sum();
        let text = format!(
            "{}\n{} cells; results.csv, results.md and results.html are in {out}\n",
            publish::markdown(&plan, &rows),
            rows.len()
        );
        match broken {
            0 => Ok(text),
            n => Err(format!("the decision module broke rules {n} times\n{text}")),
        }
    }
}

/// Sends a load to any HTTP/1.1 service.
#[derive(Args)]
pub struct Load {
    /// Address of the service: http://HOST:PORT/PATH; without a mix each request asks for the path
    url: String,
    /// File with a mix of requests, in TOML (docs/load.md)
    #[arg(long)]
    mix: Option<PathBuf>,
    /// Open loop: phases of RATE:TIME or FROM-TO:TIME, separated by commas; rates are in requests per second
    #[arg(long, default_value = "100:10s", value_parser = parse_phases)]
    rate: Phases,
    /// Closed loop instead: this number of clients, each of which sends its next request after an answer
    #[arg(long, value_name = "CLIENTS")]
    closed: Option<usize>,
    /// How long the closed loop runs
    #[arg(long = "for", default_value = "10s", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// Most connections that are open at the same time
    #[arg(long, default_value_t = 1000)]
    connections: usize,
    /// Time within which a request must be answered
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    timeout: Duration,
    /// Seed of the random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Clone)]
struct Phases(Vec<Phase>);

fn parse_phases(text: &str) -> Result<Phases, String> {
    let phase = |part: &str| {
        let (rate, time) = part.split_once(':').ok_or("write a phase as RATE:TIME or FROM-TO:TIME")?;
        let number = |n: &str| {
            n.trim().parse::<f64>().ok().filter(|n| (0.0..1e7).contains(n)).ok_or("a rate is a number from 0")
        };
        let (from, to) = match rate.split_once('-') {
            Some((from, to)) => (number(from)?, number(to)?),
            None => (number(rate)?, number(rate)?),
        };
        let lasts = humantime::parse_duration(time.trim()).map_err(|e| format!("{time:?}: {e}"))?;
        Ok(Phase { from, to, lasts })
    };
    text.split(',').map(phase).collect::<Result<Vec<_>, String>>().map(Phases)
}

impl Load {
    /// Sends the load, and returns the report to print. It is an error when a request did not end in exactly
    /// one way, when an answer came without a request, or when the generator did not keep its schedule.
    pub fn run(&self) -> Result<String, String> {
        let rest = self.url.strip_prefix("http://").ok_or("the address must begin with http://")?;
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let host_and_port = if host.rsplit_once(':').is_some_and(|(_, p)| p.parse::<u16>().is_ok()) {
            host.to_string()
        } else {
            format!("{host}:80")
        };
        let address: SocketAddr = host_and_port
            .to_socket_addrs()
            .map_err(|e| format!("{host_and_port}: {e}"))?
            .next()
            .ok_or_else(|| format!("{host_and_port}: the name has no address"))?;
        let mix = match &self.mix {
            None => Mix::single_get(if path.is_empty() { "/" } else { path }),
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
                Mix::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?
            }
        };
        let mode = match self.closed {
            Some(clients) => Mode::Closed { clients, lasts: self.lasts },
            None => Mode::Open(self.rate.0.clone()),
        };
        let plan = LoadPlan {
            address,
            host: host.into(),
            mix,
            mode,
            connections: self.connections.max(self.closed.unwrap_or(1)),
            backlog: 1_000_000,
            timeout: self.timeout,
            seed: self.seed,
        };
        let is_terminal = std::io::stderr().is_terminal();
        let show_progress = |progress: &Progress| {
            if is_terminal {
                eprint!("\r{:>5.0} s  {:>7} meant  {:>7} ok  {:>6} refused  {:>5} bad  {:>5} out  p50 {:>7.1}  p99 {:>7.1} ms ",
                    progress.elapsed.as_secs_f64(), progress.meant, progress.ok, progress.refused, progress.bad,
                    progress.in_flight, progress.p50_ms, progress.p99_ms);
            }
            true
        };
        let report =
            garnettally_load::run::run(plan, show_progress).map_err(|e| format!("{host_and_port}: {e}"))?;
        if is_terminal {
            eprintln!();
        }
        let text = match self.json {
            true => serde_json::to_string_pretty(&report).map_err(|e| e.to_string())? + "\n",
            false => report.text(),
        };
        match (report.every_request_ended_once(), report.valid) {
            (true, true) => Ok(text),
            (false, _) => Err(format!(
                "not every request ended in exactly one way, or an answer came without a request\n{text}"
            )),
            (_, false) => Err(format!(
                "the generator did not keep its schedule, so the figures are not those of this load\n{text}"
            )),
        }
    }
}

/// Runs a drill of a fleet, as a script describes it.
#[derive(Args)]
pub struct Drill {
    /// File with the drill's script
    script: PathBuf,
    /// Keep files, logs, `samples.csv` and `alive.svg` in this folder; without it they are removed afterwards
    #[arg(long)]
    out: Option<PathBuf>,
    /// Seed of the random draws, instead of the script's
    #[arg(long)]
    seed: Option<u64>,
    /// Number of members, instead of the script's
    #[arg(long)]
    members: Option<usize>,
}

impl Drill {
    /// Runs the drill, and returns its table and timeline. A broken invariant is an error.
    pub fn run(&self) -> Result<String, String> {
        let file = self.script.display();
        let text = std::fs::read_to_string(&self.script).map_err(|e| format!("{file}: {e}"))?;
        let mut script = Script::parse(&text).map_err(|e| format!("{file}: {e}"))?;
        script.seed = self.seed.unwrap_or(script.seed);
        if let Some(n) = self.members {
            script.members = n;
            script.check().map_err(|e| format!("{file}, with {n} members: {e}"))?;
        }
        let program = std::env::current_exe().map_err(|e| format!("this program's path: {e}"))?;
        let temporary_folder = std::env::temp_dir().join(format!("garnettally-drill-{}", std::process::id()));
        let folder = self.out.as_ref().unwrap_or(&temporary_folder);
        let outcome = garnettally_drill::run(&script, &program, folder).map_err(|e| e.to_string());
        let report = outcome.and_then(|report| match &self.out {
            Some(out) => report.write_files(out).map(|()| report),
            None => Ok(report),
        });
        if self.out.is_none() {
            let _ = std::fs::remove_dir_all(&temporary_folder);
        }
        let report = report?;
        if report.passed() {
            Ok(report.text())
        } else {
            Err(format!("an invariant was broken\n{}", report.text()))
        }
    }
}
