//! Log lines of key=value pairs on standard error, one for each event.
//!
//! A dedicated thread writes the lines. When it falls behind, lines are dropped and counted so that
//! logging does not delay traffic. Callers log nothing per token, and pass neither secrets nor
//! prompt text to a logger.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Lines queued for the writing thread.
const QUEUE_LINES: usize = 4_096;

/// Logger of the process `process` to standard error. `level` names the least severe level that is
/// written; an unknown name means `info`. The guard flushes queued lines when it is dropped.
pub fn logger(level: &str, process: &str) -> (Logger, AsyncGuard) {
    logger_to(io::stderr(), level, process)
}

/// Same as [`logger`], but writes to `output`.
pub fn logger_to(
    output: impl io::Write + Send + 'static,
    level: &str,
    process: &str,
) -> (Logger, AsyncGuard) {
    let lines = Logfmt::new(output)
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build();
    let (queue, guard) = slog_async::Async::new(lines.ignore_res())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let level = level.parse().unwrap_or(Level::Info);
    let filtered = queue.filter_level(level).ignore_res();
    let logger = Logger::root(filtered, o!("process" => process.to_string()));
    (logger, guard)
}
