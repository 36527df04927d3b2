//! Logging to standard error from a separate thread. The event loop puts a line into that thread's queue and
//! goes on. When the queue is full, lines are dropped, and their number is logged.

use garnettally_config::file::format::LogLevel;
use garnettally_config::file::Logging;
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::{Async, OverflowStrategy};
use std::io::LineWriter;

/// Creates a logger with the format, level and queue length that the operator's file sets.
pub fn logger_from_settings(logging: &Logging) -> Logger {
    let level = match logging.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match logging.json {
        // The JSON formatter writes single tokens, between which another writer's output could appear.
        // LineWriter passes on whole lines.
        true => async_logger(
            slog_json::Json::default(LineWriter::new(std::io::stderr())),
            logging.queue_lines,
            level,
        ),
        false => text_logger(logging.queue_lines, level),
    }
}

/// Creates a logger that writes text. Its queue takes `queue_lines` lines.
pub fn text_logger(queue_lines: usize, level: Level) -> Logger {
    async_logger(
        slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stderr())).build(),
        queue_lines,
        level,
    )
}

fn async_logger<D>(drain: D, queue_lines: usize, level: Level) -> Logger
where
    D: Drain<Ok = (), Err: std::fmt::Debug> + Send + 'static,
{
    // A line that can't be written is lost, because there is no other place to report that. The level filter
    // stands before the queue, so that a line below the level costs the event loop only a comparison.
    let queue = Async::new(drain.ignore_res())
        .chan_size(queue_lines)
        .overflow_strategy(OverflowStrategy::DropAndReport);
    Logger::root(LevelFilter::new(queue.build(), level).fuse(), o!())
}
