//! garnettally is a load balancer for services that call services. This file defines its command line and
//! starts the command that was given.
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
/// Without a command it serves the configuration that GW_CONFIG names, as the platform starts it.
#[derive(Parser)]
#[command(name = "garnettally", version, after_help = EXIT_STATUS_HELP)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

const EXIT_STATUS_HELP: &str =
    "Exit status: 0 the command succeeded; 1 it failed, or the file or request was refused; 2 the command line was wrong.";

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT; SIGHUP reads the file again
    Serve {
        /// Path of the operator's file; without it GW_CONFIG names the platform's configuration
        file: Option<String>,
    },
    /// Check an operator's file, and report all its problems at once
    Check {
        /// Path of the operator's file
        file: String,
    },
    /// Show which route, class, tenant, key and pools a request gets, and why
    Explain(explain::Request),
    /// Print the JSON Schema of the operator's file
    Schema {
        /// Print the schema of a file of nodes instead
        #[arg(long)]
        nodes: bool,
    },
    /// Print a script that completes commands in a shell
    Completions {
        /// Shell to print the script for
        shell: clap_complete::Shell,
    },
    /// Run a world in virtual time, under the decision module or a reference policy, and check the rules
    Emulate(lab::Emulate),
    /// Run each combination of worlds, settings, policies and seeds, and write tables and charts
    Experiment(lab::Experiment),
    /// Start a small fleet, the balancer and clients on loopback, and show what happens
    Demo(demo::Demo),
    /// Run a small world in virtual time and on sockets, and compare the service
    Agree(demo::Agree),
    /// Run the nodes of a world's first tier, and discovery, on loopback sockets
    Fleet(demo::Fleet),
    /// Send a load to any HTTP/1.1 service, and check that each request gets one answer
    Load(lab::Load),
    Members(members::Members),
    Duties(duties::Duties),
    /// Run a drill: several processes, a relay on every link between them, scripted faults, checks from
    /// outside
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
            let operator = file::load(&file).map_err(|problems| refusal_message(&file, &problems))?;
            print(&format!(
                "{file}: good; {} listeners, {} classes, {} tenants, {} pools, {} routes\n",
                operator.listeners.len(),
                operator.classes.len(),
                operator.tenants.len(),
                operator.pools.len(),
                operator.routes.len()
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

/// Formats the problems that [`file::load`] found, one on each line.
fn refusal_message(file: &str, problems: &file::Problems) -> String {
    let n = problems.0.len();
    format!("{file} is refused: {n} problem{}\n{problems}", if n == 1 { "" } else { "s" })
}

/// Writes to standard output. A reader that has closed its end is no error.
fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(format!("standard output: {e}")),
        _ => Ok(()),
    }
}

/// Blocks the signals that the event loop handles, before any thread starts: threads, such as the log's,
/// inherit the block, so no such signal ends the process by its default action. SIGXFSZ is blocked so that a
/// log that reaches a limit on its size loses lines and does not end the process.
fn block_signals() -> Result<Signals, String> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ])
        .map_err(|e| format!("signals can't be blocked: {e}"))
}

fn serve_platform() -> Result<(), String> {
    let signals = block_signals()?;
    let config = Config::from_environment()?;
    let level = if config.debug_logging { slog::Level::Debug } else { slog::Level::Info };
    let plan = Plan::platform(config);
    let log = logging::text_logger(plan.limits.log_queue_lines, level);
    garnettally_serve::serve(plan, log, signals)
}

fn serve_file(path: String) -> Result<(), String> {
    let signals = block_signals()?;
    let operator = file::load(&path).map_err(|problems| refusal_message(&path, &problems))?;
    let log = logging::logger_from_settings(&operator.logging);
    let plan = Plan::operator(path, operator, fastrand::u64(..));
    garnettally_serve::serve(plan, log, signals)
}
