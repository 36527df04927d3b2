//! Where log lines go: to standard error, by a thread of its own. The event loop hands a line over and goes on; when
//! the thread is behind by a whole queue, lines are dropped, and their number is logged.

use garnettally_config::file::format::LogLevel;
use garnettally_config::file::Logging;
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::{Async, OverflowStrategy};
use std::io::LineWriter;

/// A logger as the operator's file says.
pub fn of(logging: &Logging) -> Logger {
    let level = match logging.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match logging.json {
        // Whole lines at a time: its own writes are of single tokens, which another writer could come between.
        true => {
            logger(slog_json::Json::default(LineWriter::new(std::io::stderr())), logging.queue_lines, level)
        }
        false => text(logging.queue_lines, level),
    }
}

/// A logger that writes text.
pub fn text(queue: usize, level: Level) -> Logger {
    logger(
        slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stderr())).build(),
        queue,
        level,
    )
}

fn logger<D>(lines: D, queue: usize, level: Level) -> Logger
where
    D: Drain<Ok = (), Err: std::fmt::Debug> + Send + 'static,
{
    // A line that can't be written is lost: there is nowhere left to say so. One below the level must not cost
    // the event loop more than a look, so the filter stands before the queue.
    let lines =
        Async::new(lines.ignore_res()).chan_size(queue).overflow_strategy(OverflowStrategy::DropAndReport);
    Logger::root(LevelFilter::new(lines.build(), level).fuse(), o!())
}
