//! The signals of an operator.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens to SIGTERM, SIGINT and SIGHUP. Without a listener SIGHUP ends a process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Starts to listen; must be called inside the runtime.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until the process is asked to stop; calls `on_hang_up` each time that it is told of
    /// changed settings.
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

/// Calls `stop` once the process is asked to stop.
pub async fn on_stop(stop: impl FnOnce()) {
    if let Ok(signals) = Signals::new() {
        signals.wait_for_stop(|| {}).await;
        stop();
    }
}
