//! Thread that watches the registry.
//!
//! The thread blocks on one watch at a time and sends updates to the traffic thread in the order in
//! which they were published. While the registry is unreachable, the last known state stays in
//! effect.

use std::thread;

use cuminlead_direct_core::registry::RegistryUpdate;
use cuminlead_direct_core::{Query, Registry, RegistryError, RegistryWatcher};
use cuminlead_kernel::Clock;
use cuminlead_process::StartError;
use cuminlead_types::DurationUs;
use error_stack::{Report, ResultExt};
use prometheus_client::metrics::counter::Counter;
use tokio::sync::mpsc::UnboundedSender;

use crate::agent_configuration::SharedSilence;

/// Starts the control thread, which ends after the traffic thread.
pub fn spawn(
    clock: Clock,
    registry: Box<dyn Registry>,
    calls: Counter,
    updates: UnboundedSender<Vec<RegistryUpdate>>,
    silence: SharedSilence,
) -> Result<(), Report<StartError>> {
    thread::Builder::new()
        .name("control".to_string())
        .spawn(move || watch_registry(clock, registry, &calls, &updates, &silence))
        .map(drop)
        .change_context(StartError::Thread)
}

fn watch_registry(
    clock: Clock,
    mut registry: Box<dyn Registry>,
    calls: &Counter,
    updates: &UnboundedSender<Vec<RegistryUpdate>>,
    silence: &SharedSilence,
) {
    let mut watcher = RegistryWatcher::new();
    loop {
        let pause = watcher.paused_until().since(clock.monotonic());
        thread::sleep(pause.into());
        calls.inc();
        let query = watcher.query();
        let wait = match &query {
            Query::Watch { wait, .. } => *wait,
            Query::List { .. } => DurationUs::ZERO,
        };
        silence.lock().record_query(clock.monotonic(), wait);
        let response = registry.query(&query);
        let now = clock.monotonic();
        let is_answered = match &response {
            Ok(page) => page.era >= watcher.era(),
            Err(error) => *error == RegistryError::HistoryGone,
        };
        silence.lock().record_result(now, is_answered);
        let changes = watcher.handle(now, response);
        // An empty list of updates also makes the traffic thread remove expired servers.
        if updates.send(changes).is_err() {
            return;
        }
    }
}
