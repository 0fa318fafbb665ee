//! The signals that ask a process to stop.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Calls `stop` once the process is asked to stop.
pub async fn on_stop(stop: impl FnOnce()) {
    if stop_requested().await.is_ok() {
        stop();
    }
}
