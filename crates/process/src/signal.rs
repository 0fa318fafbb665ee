//! Signals that stop a process (SIGTERM, SIGINT) or announce changed settings (SIGHUP).

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listener for SIGTERM, SIGINT and SIGHUP. Without a listener, SIGHUP would end the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the listeners; must be called inside the tokio runtime.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; calls `on_hang_up` for each SIGHUP in the meantime.
    pub async fn wait_for_stop(mut self, mut on_hang_up: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => on_hang_up(),
            }
        }
    }
}

/// Calls `stop` on the first SIGTERM or SIGINT; returns at once if no listener can be installed.
pub async fn on_stop(stop: impl FnOnce()) {
    if let Ok(signals) = Signals::new() {
        signals.wait_for_stop(|| {}).await;
        stop();
    }
}
