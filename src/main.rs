//! One balancer: reads what it is told, and serves until it is told to end.
#![forbid(unsafe_code)]

use calloop::signals::{Signal, Signals};
use garnettally_config::platform::Config;
use garnettally_config::Limits;
use garnettally_serve as net;
use slog::{o, Drain, Logger};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("garnettally: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    // The signals are blocked before anything else: from here on none of them ends the process by itself,
    // nor the log's thread, which inherits this.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    let signals = signals.map_err(|e| format!("signals: {e}"))?;
    let config = Config::from_environment()?;
    let limits = Limits::new(&config);
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stderr())).build().fuse();
    let lines = slog_async::Async::new(lines).chan_size(limits.log_lines).build().fuse();
    net::serve(config, limits, Logger::root(lines, o!()), signals)
}
