//! Steps that both processes take when they start.

use std::net::SocketAddr;

use cuminlead_telemetry::Tracing;
use error_stack::{Report, ResultExt};
use tokio::runtime::{Builder, Runtime};

use crate::error::StartError;

/// Threads of the runtime that carries messages; conversions take microseconds.
const RUNTIME_THREADS: usize = 2;

/// Runtime that carries messages, with at most `blocking_max_count` threads for blocking work.
pub fn runtime(blocking_max_count: usize) -> Result<Runtime, Report<StartError>> {
    Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .max_blocking_threads(blocking_max_count)
        .enable_all()
        .build()
        .change_context(StartError::Thread)
}

/// Spans of a process; its exporter lives in the runtime.
pub fn tracing(
    runtime: &Runtime,
    collector: Option<SocketAddr>,
    process: &str,
) -> Result<Tracing, Report<StartError>> {
    let _context = runtime.enter();
    let collector = collector.map(|address| address.to_string());
    Tracing::new(collector.as_deref(), process).change_context(StartError::Tracing)
}
