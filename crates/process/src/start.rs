//! Runtime and tracing set-up that both processes perform at start.

use std::net::SocketAddr;

use cuminlead_telemetry::Tracing;
use error_stack::{Report, ResultExt};
use tokio::runtime::{Builder, Runtime};

use crate::error::StartError;

/// Worker threads of the runtime that carries messages. Two suffice, since encoding and decoding a
/// message takes microseconds.
const RUNTIME_THREADS: usize = 2;

/// Builds the runtime that carries messages, with at most `blocking_max_count` threads for blocking
/// calls.
pub fn runtime(blocking_max_count: usize) -> Result<Runtime, Report<StartError>> {
    Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .max_blocking_threads(blocking_max_count)
        .enable_all()
        .build()
        .change_context(StartError::Thread)
}

/// Sets up tracing under the name `process`; its exporter runs on `runtime`. No spans are exported
/// without a collector.
pub fn tracing(
    runtime: &Runtime,
    collector: Option<SocketAddr>,
    process: &str,
) -> Result<Tracing, Report<StartError>> {
    let _context = runtime.enter();
    let collector = collector.map(|address| address.to_string());
    Tracing::new(collector.as_deref(), process).change_context(StartError::Tracing)
}
