//! Configuration through an agent, for an entry that the registry does not answer.
//!
//! The registry may refuse this process, or not answer it, while it serves others. Agents are then
//! asked for a newer version of the configuration; servers are not read this way. See
//! [`cuminlead_direct_core::registry_silence`] for when.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlead_direct_core::rate_limit::owners;
use cuminlead_direct_core::{OperatorConfig, RegistrySilence, RegistryUpdate};
use cuminlead_places::{ReservationClient, client};
use cuminlead_types::Revision;
use slog::{info, warn};
use tokio::time::sleep;

use crate::app::App;
use crate::engine_resources::agent_address;
use crate::process::apply_changes;

/// Interval between checks whether the registry is silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Most agents that are asked in one round, one after the other while they do not reply.
const AGENTS_ASKED_MAX: usize = 3;

/// Time for which the registry has not answered, shared by the control and the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct SharedSilence(Arc<Mutex<RegistrySilence>>);

impl SharedSilence {
    /// Locks the state for one access.
    pub fn lock(&self) -> MutexGuard<'_, RegistrySilence> {
        // The state is consistent after each call, including one that panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks agents for the configuration while the registry is silent. Ends at once in a deployment
/// without agents.
pub(crate) async fn ask_while_silent(
    app: Rc<App>,
    silence: SharedSilence,
    decode: fn(&[u8]) -> Result<OperatorConfig, String>,
) {
    if app.place_port.is_none() {
        return;
    }
    let mut rounds_count = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        let asks = silence.lock().asks_agents(app.now());
        if asks {
            ask_agents(&app, rounds_count, decode).await;
            rounds_count += 1;
        }
    }
}

/// Asks agents until one replies, and applies what it passes on if that is newer.
async fn ask_agents(
    app: &Rc<App>,
    round: usize,
    decode: fn(&[u8]) -> Result<OperatorConfig, String>,
) {
    // An agent that does not reply here may still reserve slots, so these connections are separate.
    let mut connections = ReservationClient::default();
    for agent in agents_of(app, round) {
        let Ok(connection) = connections.connection(app.now(), agent) else {
            continue;
        };
        app.metrics.agent_configuration_queries.inc();
        let known_version = active_version(app);
        let Ok(published) = client::read_configuration(connection, known_version).await else {
            info!(app.log, "agent does not pass on the configuration"; "agent" => %agent);
            continue;
        };
        let Some(bytes) = published else { return };
        match decode(&bytes) {
            // The registry may have answered meanwhile.
            Ok(operator_config) if operator_config.version() > active_version(app) => {
                app.metrics.agent_configurations.inc();
                info!(app.log, "configuration came through an agent"; "agent" => %agent,
                    "config_version" => operator_config.version().0,
                    "known_version" => known_version.0);
                let update = RegistryUpdate::OperatorConfig(Arc::new(operator_config));
                apply_changes(app, vec![update]);
            }
            Ok(_) => {}
            Err(reason) => {
                warn!(app.log, "configuration from an agent left out"; "agent" => %agent,
                    "reason" => reason);
                continue;
            }
        }
        return;
    }
}

fn active_version(app: &App) -> Revision {
    let active = app.serving.borrow().active_version();
    active.map_or(Revision(0), |active| active.version)
}

/// Agents in the order in which a round asks them. Entries begin at different agents, and each round
/// at another one, because an agent may be cut off from the registry too.
fn agents_of(app: &App, round: usize) -> Vec<SocketAddr> {
    let serving = app.serving.borrow();
    let engines = serving
        .servers
        .iter()
        .filter(|(_, server)| server.record.stage.is_some());
    let agents = engines.filter_map(|(_, engine)| agent_address(app, engine.record.address));
    let mut ordered = owners(&app.name, agents.collect());
    if !ordered.is_empty() {
        let first = round % ordered.len();
        ordered.rotate_left(first);
    }
    ordered.truncate(AGENTS_ASKED_MAX);
    ordered
}
