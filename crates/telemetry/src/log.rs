//! One line of key=value pairs for each event, to standard error.
//!
//! Lines are written by a thread of their own; when it falls behind, lines are dropped and counted
//! rather than delaying traffic. Nothing is logged for each token, and neither secrets nor prompt
//! text are passed to a logger.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Lines that may wait for the writing thread.
const QUEUE_LINES: usize = 4_096;

/// Logger of a process at a named level, `info` when the name is unknown; the guard writes what is
/// left when it is dropped.
pub fn logger(level: &str, process: &str) -> (Logger, AsyncGuard) {
    logger_to(io::stderr(), level, process)
}

/// Logger as [`logger`] that writes elsewhere.
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
