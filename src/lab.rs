//! The lab's commands: `emulate`, `experiment`, `load` and `drill`. Nothing here is reached from `serve`.

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
    policy: PolicyKind,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

fn policy(name: &str) -> Result<PolicyKind, String> {
    let names = || PolicyKind::ALL.map(PolicyKind::name).join(", ");
    PolicyKind::ALL.into_iter().find(|k| k.name() == name).ok_or_else(|| format!("there are {}", names()))
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
        if report.all_rules_kept() {
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
        // References break rules by their nature (they know no slow start); their breaks stand in the table.
        let broken: u64 = rows.iter().filter(|r| r.policy == PolicyKind::Module).map(|r| r.broken).sum();
        let text = format!(
            "{}\n{} cells; results.csv, results.md and results.html are in {out}\n",
            publish::markdown(&plan, &rows),
            rows.len()
        );
        match broken {
            0 => Ok(text),
            n => Err(format!("the module broke rules {n} times\n{text}")),
        }
    }
}

/// A load on any HTTP/1.1 service.
#[derive(Args)]
pub struct Load {
    /// Where the service answers: http://HOST:PORT/PATH; the path is asked for where there is no mix
    url: String,
    /// A mix of requests, in TOML (docs/load.md)
    #[arg(long)]
    mix: Option<PathBuf>,
    /// Open loop: phases of RATE:TIME or FROM-TO:TIME, requests a second, separated by commas
    #[arg(long, default_value = "100:10s", value_parser = phases)]
    rate: Phases,
    /// Closed loop instead: so many clients that ask again once they are answered
    #[arg(long, value_name = "CLIENTS")]
    closed: Option<usize>,
    /// For how long the closed loop asks
    #[arg(long = "for", default_value = "10s", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// The most connections
    #[arg(long, default_value_t = 1000)]
    connections: usize,
    /// An answer must come within this
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    timeout: Duration,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Clone)]
struct Phases(Vec<Phase>);

fn phases(text: &str) -> Result<Phases, String> {
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
    /// The report; an answer that nobody had asked for, or a schedule that was not kept, is a failure.
    pub fn run(&self) -> Result<String, String> {
        let rest = self.url.strip_prefix("http://").ok_or("the address must begin with http://")?;
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let named = if host.rsplit_once(':').is_some_and(|(_, p)| p.parse::<u16>().is_ok()) {
            host.to_string()
        } else {
            format!("{host}:80")
        };
        let address: SocketAddr = named
            .to_socket_addrs()
            .map_err(|e| format!("{named}: {e}"))?
            .next()
            .ok_or_else(|| format!("{named}: no address"))?;
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
        let live = std::io::stderr().is_terminal();
        let show = |p: &Progress| {
            if live {
                eprint!("\r{:>5.0} s  {:>7} meant  {:>7} ok  {:>6} refused  {:>5} bad  {:>5} out  p50 {:>7.1}  p99 {:>7.1} ms ",
                    p.elapsed.as_secs_f64(), p.meant, p.ok, p.refused, p.bad, p.in_flight, p.p50_ms, p.p99_ms);
            }
            true
        };
        let report = garnettally_load::run::run(plan, show).map_err(|e| format!("{named}: {e}"))?;
        if live {
            eprintln!();
        }
        let text = match self.json {
            true => serde_json::to_string_pretty(&report).map_err(|e| e.to_string())? + "\n",
            false => report.text(),
        };
        match (report.every_request_ended_once(), report.valid) {
            (true, true) => Ok(text),
            (false, _) => Err(format!("not every request got one answer\n{text}")),
            (_, false) => {
                Err(format!("the schedule was not kept, so the figures are not those of this load\n{text}"))
            }
        }
    }
}

/// A drill of a fleet by a script.
#[derive(Args)]
pub struct Drill {
    /// The script
    script: PathBuf,
    /// Keep files, logs, `samples.csv` and `alive.svg` in this folder; else they are gone afterwards
    #[arg(long)]
    out: Option<PathBuf>,
    /// Draw by this seed instead of the script's
    #[arg(long)]
    seed: Option<u64>,
    /// So many members instead of the script's
    #[arg(long)]
    members: Option<usize>,
}

impl Drill {
    /// The table and timeline; a broken invariant is a failure.
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
        let own = std::env::temp_dir().join(format!("garnettally-drill-{}", std::process::id()));
        let folder = self.out.as_ref().unwrap_or(&own);
        let held = garnettally_drill::run(&script, &program, folder).map_err(|e| e.to_string());
        let report = held.and_then(|report| match &self.out {
            Some(out) => report.write_files(out).map(|()| report),
            None => Ok(report),
        });
        if self.out.is_none() {
            let _ = std::fs::remove_dir_all(&own);
        }
        let report = report?;
        if report.passed() {
            Ok(report.text())
        } else {
            Err(format!("an invariant was broken\n{}", report.text()))
        }
    }
}
