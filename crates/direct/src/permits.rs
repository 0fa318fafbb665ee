//! Permits for requests to servers that have named a limit.
//!
//! The agent that owns a server's permits is asked before each request, or once for several
//! requests if the limit is high. A reservation of a decode slot includes a permit, so runs with
//! one need no other.

use std::rc::Rc;

use cuminlead_direct_core::owned_counts::CountOwner;
use cuminlead_direct_core::rate_limit::batch_count;
use cuminlead_direct_core::{PermitReply, ServerKey, StepOutcome};
use cuminlead_places::ReservationError;
use cuminlead_places::client::{self, OwnerReply};
use cuminlead_types::{BackendServerId, DurationUs, MillirequestsPerSecond};
use slog::debug;

use crate::app::App;
use crate::engine_resources::agent_address;
use crate::owners::{owners_of, record_leaving};

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
    for owner in permit_owners(app, server, id) {
        let connection = app
            .reservation_client
            .borrow_mut()
            .connection(app.now(), owner.agent);
        let connection = match connection {
            Ok(connection) => connection,
            Err(paused) => {
                error = paused;
                continue;
            }
        };
        let started_at_ms = owner.engine_started_at_ms;
        let count = batch_count(rate);
        match client::take_permits(connection, started_at_ms, id, rate, count).await {
            Ok(OwnerReply::Decided(reply)) => return Ok(reply),
            Ok(OwnerReply::NoOwner { leaving_engine }) => {
                record_leaving(app, owner.agent, leaving_engine);
            }
            Err(no_reply) => {
                let mut agents = app.reservation_client.borrow_mut();
                agents.record_failure(app.now(), owner.agent, no_reply);
                error = no_reply;
            }
        }
    }
    Err(error)
}

/// Agents that own the permits of a server, in the order in which they are asked: the agent beside
/// an engine first, then agents of its region.
fn permit_owners(app: &App, server: ServerKey, id: &BackendServerId) -> Vec<CountOwner> {
    let (own_agent, region) = {
        let serving = app.serving.borrow();
        let Some(owned) = serving.servers.get(server) else {
            return Vec::new();
        };
        let is_engine = owned.record.stage.is_some();
        let own_agent = is_engine
            .then(|| agent_address(app, owned.record.address))
            .flatten();
        let own_agent = own_agent.map(|agent| CountOwner {
            agent,
            engine_started_at_ms: owned.record.started_at_ms,
        });
        (own_agent, owned.region.clone())
    };
    let mut ordered = owners_of(app, id, |engine| engine.region == region);
    if let Some(own_agent) = own_agent {
        ordered.retain(|owner| owner.agent != own_agent.agent);
        ordered.insert(0, own_agent);
    }
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
