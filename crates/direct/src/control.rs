//! Thread that watches the registry.
//!
//! The thread blocks on one watch at a time and sends updates to the traffic thread in the order in
//! which they were published. While the registry is unreachable, the last known state stays in
//! effect.

use std::thread;

use cuminlead_direct_core::registry::RegistryUpdate;
use cuminlead_direct_core::{Registry, RegistryWatcher};
use cuminlead_kernel::Clock;
use cuminlead_process::StartError;
use error_stack::{Report, ResultExt};
use prometheus_client::metrics::counter::Counter;
use tokio::sync::mpsc::UnboundedSender;

/// Starts the control thread, which ends after the traffic thread.
pub fn spawn(
    clock: Clock,
    registry: Box<dyn Registry>,
    calls: Counter,
    updates: UnboundedSender<Vec<RegistryUpdate>>,
) -> Result<(), Report<StartError>> {
    thread::Builder::new()
        .name("control".to_string())
        .spawn(move || watch_registry(clock, registry, &calls, &updates))
        .map(drop)
        .change_context(StartError::Thread)
}

fn watch_registry(
    clock: Clock,
    mut registry: Box<dyn Registry>,
    calls: &Counter,
    updates: &UnboundedSender<Vec<RegistryUpdate>>,
) {
    let mut watcher = RegistryWatcher::new();
    loop {
        let pause = watcher.paused_until().since(clock.monotonic());
        thread::sleep(pause.into());
        calls.inc();
        let response = registry.query(&watcher.query());
        let changes = watcher.handle(clock.monotonic(), response);
        // An empty list of updates also makes the traffic thread remove expired servers.
        if updates.send(changes).is_err() {
            return;
        }
    }
}
