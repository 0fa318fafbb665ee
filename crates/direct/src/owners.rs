//! Agents that own the counts which all entries share, as this process knows them.

use std::fmt::Display;
use std::net::SocketAddr;

use cuminlead_direct_core::owned_counts::{CountOwner, owner_order};
use cuminlead_direct_core::servers::Server;
use cuminlead_types::UnixMs;
use slog::info;

use crate::app::App;
use crate::engine_resources::agent_address;

/// Most agents that are asked, one after the other while they do not reply.
const OWNERS_ASKED_MAX: usize = 4;

/// Agents beside the engines of a set, in the order in which they are asked as owners of a count.
pub(crate) fn owners_of(
    app: &App,
    owned: &impl Display,
    is_candidate: impl Fn(&Server) -> bool,
) -> Vec<CountOwner> {
    let unix_now = app.clock.now().unix_ms;
    let serving = app.serving.borrow();
    let engines = serving.servers.iter().map(|(_, server)| server);
    let engines = engines.filter(|server| server.record.stage.is_some() && is_candidate(server));
    let engines =
        engines.filter_map(|engine| Some((agent_address(app, engine.record.address)?, engine)));
    let mut ordered = owner_order(unix_now, owned, engines);
    ordered.truncate(OWNERS_ASKED_MAX);
    ordered
}

/// Records that the engine beside an agent is leaving, if the agent says so. The registry may not
/// answer this process meanwhile.
pub(crate) fn record_leaving(app: &App, agent: SocketAddr, leaving_engine: Option<UnixMs>) {
    let Some(started_at_ms) = leaving_engine else {
        return;
    };
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let engine = serving.servers.iter().find(|(_, server)| {
        server.record.stage.is_some()
            && server.record.started_at_ms == started_at_ms
            && agent_address(app, server.record.address) == Some(agent)
    });
    let Some((key, id)) = engine.map(|(key, server)| (key, server.record.id.clone())) else {
        return;
    };
    if serving.servers.record_leaving(now, key) {
        info!(app.log, "engine is leaving by its agent's account"; "server" => %id, "agent" => %agent);
    }
}
