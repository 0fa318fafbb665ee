//! Permits for requests to servers that have named a limit.
//!
//! The agent that owns a server's permits is asked before each request, or once for several
//! requests if the limit is high. A reservation of a decode slot includes a permit, so runs with
//! one need no other.

use std::net::SocketAddr;
use std::rc::Rc;

use cuminlead_direct_core::rate_limit::{batch_count, owners};
use cuminlead_direct_core::{PermitReply, ServerKey, StepOutcome};
use cuminlead_places::{ReservationError, client};
use cuminlead_types::{BackendServerId, DurationUs, MillirequestsPerSecond};
use slog::debug;

use crate::app::App;
use crate::engine_resources::agent_address;

/// Most agents that are asked, one after the other while they do not reply.
const OWNERS_ASKED_MAX: usize = 4;
/// Pause of a server whose permits no agent can be asked for.
const NO_OWNER_PAUSE: DurationUs = DurationUs::from_ms(500);

/// Limit that a server has named, with its id; `None` if it has named none.
pub(crate) fn limit_of(
    app: &App,
    server: ServerKey,
) -> Option<(BackendServerId, MillirequestsPerSecond)> {
    let serving = app.serving.borrow();
    let server = serving.servers.get(server)?;
    Some((server.record.id.clone(), server.limit?.rate))
}

/// Keeps a server from being chosen until its limit permits a request.
pub(crate) fn hold_back(app: &App, server: ServerKey, pause: DurationUs) {
    let now = app.now();
    if let Some(server) = app.serving.borrow_mut().servers.get_mut(server) {
        server.hold_back(now, pause);
        debug!(app.log, "server has reached its limit"; "server" => %server.record.id,
            "pause_ms" => pause.as_ms());
    }
}

/// Acquires a permit for one request. Fails with [`StepOutcome::Limited`] if the server's limit
/// permits none now; the server is then held back.
pub(crate) async fn acquire(app: &Rc<App>, server: ServerKey) -> Result<(), StepOutcome> {
    let Some((id, rate)) = limit_of(app, server) else {
        return Ok(());
    };
    if take_unused(app, server) {
        return Ok(());
    }
    let reply = match ask_owner(app, server, &id, rate).await {
        Ok(reply) => reply,
        Err(_) if app.place_port.is_some() => PermitReply {
            granted_count: 0,
            retry_after: NO_OWNER_PAUSE,
        },
        Err(_) => take_local(app, &id, rate),
    };
    if reply.granted_count == 0 {
        hold_back(app, server, reply.retry_after);
        return Err(StepOutcome::Limited);
    }
    let now = app.now();
    if let Some(server) = app.serving.borrow_mut().servers.get_mut(server) {
        server.permits.add(now, reply.granted_count - 1);
    }
    Ok(())
}

fn take_unused(app: &App, server: ServerKey) -> bool {
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let server = serving.servers.get_mut(server);
    server.is_some_and(|server| server.permits.take(now))
}

async fn ask_owner(
    app: &Rc<App>,
    server: ServerKey,
    id: &BackendServerId,
    rate: MillirequestsPerSecond,
) -> Result<PermitReply, ReservationError> {
    let mut error = ReservationError::NoReply;
    for owner in owners_of(app, server, id) {
        let connection = app
            .reservation_client
            .borrow_mut()
            .connection(app.now(), owner);
        let connection = match connection {
            Ok(connection) => connection,
            Err(paused) => {
                error = paused;
                continue;
            }
        };
        match client::take_permits(connection, id, rate, batch_count(rate)).await {
            Ok(reply) => return Ok(reply),
            Err(no_reply) => {
                app.reservation_client.borrow_mut().pause(app.now(), owner);
                error = no_reply;
            }
        }
    }
    Err(error)
}

/// Agents that own the permits of a server, in the order in which they are asked: the agent beside
/// an engine first, then agents of its region.
fn owners_of(app: &App, server: ServerKey, id: &BackendServerId) -> Vec<SocketAddr> {
    let serving = app.serving.borrow();
    let Some(owned) = serving.servers.get(server) else {
        return Vec::new();
    };
    let mut ordered = Vec::new();
    let is_engine = owned.record.stage.is_some();
    let own_agent = is_engine
        .then(|| agent_address(app, owned.record.address))
        .flatten();
    ordered.extend(own_agent);
    let engines = serving
        .servers
        .iter()
        .map(|(_, engine)| engine)
        .filter(|engine| engine.record.stage.is_some() && engine.region == owned.region);
    let agents = engines.filter_map(|engine| agent_address(app, engine.record.address));
    let others = owners(id, agents.collect());
    ordered.extend(others.into_iter().filter(|agent| own_agent != Some(*agent)));
    ordered.truncate(OWNERS_ASKED_MAX);
    ordered
}

/// Takes a permit from this process's own share of a limit, in deployments without agents. There
/// are fewer processes than backend servers, so a share for each server bounds what all of them
/// take.
fn take_local(app: &App, id: &BackendServerId, rate: MillirequestsPerSecond) -> PermitReply {
    let servers_count = app.serving.borrow().servers.addresses_count().max(1) as u64;
    let share = MillirequestsPerSecond(rate.0 / servers_count);
    let now = app.now();
    app.local_limiter.borrow_mut().take(now, id, share, 1)
}
