//! The thread that follows the registry.
//!
//! It blocks on one watch at a time and hands updates to the traffic thread in the order in which
//! they were published. When the registry is away, the last view stays in force.

use std::thread;

use cuminlead_direct_core::registry::RegistryUpdate;
use cuminlead_direct_core::{Registry, RegistryWatcher};
use cuminlead_kernel::Clock;
use cuminlead_process::StartError;
use error_stack::{Report, ResultExt};
use prometheus_client::metrics::counter::Counter;
use tokio::sync::mpsc::UnboundedSender;

/// Starts the control thread; it ends when the traffic thread has ended.
pub fn spawn(
    clock: Clock,
    registry: Box<dyn Registry>,
    calls: Counter,
    updates: UnboundedSender<Vec<RegistryUpdate>>,
) -> Result<(), Report<StartError>> {
    thread::Builder::new()
        .name("control".to_string())
        .spawn(move || follow(clock, registry, &calls, &updates))
        .map(drop)
        .change_context(StartError::Thread)
}

fn follow(
    clock: Clock,
    mut registry: Box<dyn Registry>,
    calls: &Counter,
    updates: &UnboundedSender<Vec<RegistryUpdate>>,
) {
    let mut follower = RegistryWatcher::new();
    loop {
        let paused = follower.paused_until().since(clock.mono());
        thread::sleep(paused.into());
        calls.inc();
        let answer = registry.query(&follower.query());
        let changes = follower.handle(clock.mono(), answer);
        // An empty list also lets the traffic thread expire what is overdue.
        if updates.send(changes).is_err() {
            return;
        }
    }
}
