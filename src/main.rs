//! garnettally: a load balancer for services that call services. This file is the command line and the wiring.
#![forbid(unsafe_code)]

mod demo;
mod duties;
mod explain;
mod lab;
mod logging;
mod members;

use calloop::signals::{Signal, Signals};
use clap::{CommandFactory, Parser, Subcommand};
use garnettally_config::file;
use garnettally_config::platform::Config;
use garnettally_serve::plan::Plan;
use std::io::Write;
use std::process::ExitCode;

/// A load balancer for services that call services.
///
/// Without a command it serves what GW_CONFIG names, as the platform starts it.
#[derive(Parser)]
#[command(name = "garnettally", version, after_help = EXITS)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

const EXITS: &str =
    "Exit status: 0 done; 1 it failed, or the file or request was refused; 2 the command was wrong.";

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT; SIGHUP reads the file again
    Serve {
        /// The operator's file; without it GW_CONFIG names the platform's configuration
        file: Option<String>,
    },
    /// Check an operator's file, and tell everything that is wrong with it at once
    Check {
        /// The operator's file
        file: String,
    },
    /// Tell which route, class, tenant, key and pools a request gets, and why
    Explain(explain::Request),
    /// Print the JSON Schema of the operator's file
    Schema {
        /// That of a file of nodes instead
        #[arg(long)]
        nodes: bool,
    },
    /// Print a script that completes commands in a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Run a world in virtual time, under the decision module or a reference, and check the rules
    Emulate(lab::Emulate),
    /// Cross worlds, settings, policies and seeds, and write tables and charts
    Experiment(lab::Experiment),
    /// Start a small fleet, the balancer and clients on loopback, and show what happens
    Demo(demo::Demo),
    /// Play a small world in virtual time and on sockets, and compare
    Agree(demo::Agree),
    /// Play the first tier of a world on loopback sockets: nodes and discovery
    Fleet(demo::Fleet),
    /// Put a load on any HTTP/1.1 service, and check that each request gets one answer
    Load(lab::Load),
    Members(members::Members),
    Duties(duties::Duties),
    /// Hold a drill: several processes, a relay on every link between them, faults by a script, checks from outside
    Drill(lab::Drill),
    /// Print name and version
    Version,
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("garnettally: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), String> {
    match cli.command {
        None | Some(Command::Serve { file: None }) => serve_platform(),
        Some(Command::Serve { file: Some(file) }) => serve_file(file),
        Some(Command::Check { file }) => {
            let o = file::load(&file).map_err(|problems| refused(&file, &problems))?;
            print(&format!(
                "{file}: good; {} listeners, {} classes, {} tenants, {} pools, {} routes\n",
                o.listeners.len(),
                o.classes.len(),
                o.tenants.len(),
                o.pools.len(),
                o.routes.len()
            ))
        }
        Some(Command::Explain(request)) => print(&request.explain()?),
        Some(Command::Schema { nodes }) => {
            let schema = if nodes { file::nodes_schema() } else { file::schema() };
            print(&format!("{schema:#}\n"))
        }
        Some(Command::Completions { shell }) => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "garnettally", &mut script);
            print(&String::from_utf8_lossy(&script))
        }
        Some(Command::Emulate(emulate)) => print(&emulate.run()?),
        Some(Command::Experiment(experiment)) => print(&experiment.run()?),
        Some(Command::Demo(demo)) => print(&demo.run()?),
        Some(Command::Agree(agree)) => print(&agree.run()?),
        Some(Command::Fleet(fleet)) => print(&fleet.run()?),
        Some(Command::Load(load)) => print(&load.run()?),
        Some(Command::Members(members)) => print(&members.run()?),
        Some(Command::Duties(duties)) => print(&duties.run()?),
        Some(Command::Drill(drill)) => print(&drill.run()?),
        Some(Command::Version) => print(concat!("garnettally ", env!("CARGO_PKG_VERSION"), "\n")),
    }
}

/// Every problem on a line of its own, as it is told by [`file::load`].
fn refused(file: &str, problems: &file::Problems) -> String {
    let n = problems.0.len();
    format!("{file} is refused: {n} problem{}\n{problems}", if n == 1 { "" } else { "s" })
}

/// Writes to standard output; a reader that has gone away is no failure.
fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(format!("standard output: {e}")),
        _ => Ok(()),
    }
}

/// The signals are blocked before anything else: from here on none of them ends the process by itself, nor the
/// log's thread, which inherits this. SIGXFSZ is among them: a log that has come to a limit on its size costs lines,
/// not the process.
fn signals() -> Result<Signals, String> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ])
        .map_err(|e| format!("signals: {e}"))
}

fn serve_platform() -> Result<(), String> {
    let signals = signals()?;
    let config = Config::from_environment()?;
    let level = if config.debug_logging { slog::Level::Debug } else { slog::Level::Info };
    let plan = Plan::platform(config);
    let log = logging::text(plan.limits.log_queue_lines, level);
    garnettally_serve::serve(plan, log, signals)
}

fn serve_file(path: String) -> Result<(), String> {
    let signals = signals()?;
    let operator = file::load(&path).map_err(|problems| refused(&path, &problems))?;
    let log = logging::of(&operator.logging);
    let plan = Plan::operator(path, operator, fastrand::u64(..));
    garnettally_serve::serve(plan, log, signals)
}
