//! Admission of requests by the usage limits of their teams.
//!
//! The agent that owns a team's usage is charged for each request that is admitted, and asked first
//! when the team is near its limit; see [`cuminlead_direct_core::usage_view`].

use std::net::SocketAddr;
use std::rc::Rc;

use cuminlead_direct_core::rate_limit::owners;
use cuminlead_direct_core::usage_view::CHARGE_INTERVAL;
use cuminlead_direct_core::{Team, UsageCharge, UsageDecision, UsageLimit, UsageReply};
use cuminlead_places::client;
use cuminlead_types::{DurationUs, Revision, TeamName, Tokens};
use slog::info;
use tokio::time::sleep;

use crate::app::App;
use crate::engine_resources::agent_address;

/// Most agents that are asked, one after the other while they do not reply.
const OWNERS_ASKED_MAX: usize = 4;

/// Units that an admitted request uses.
#[derive(Debug)]
pub(crate) struct UsedUnits {
    charge: ChargeContext,
    units: u64,
}

/// What a charge states beside its units.
#[derive(Clone, Debug)]
struct ChargeContext {
    team: TeamName,
    limit: UsageLimit,
    version: Revision,
}

/// Admits a request of a team that has a limit; fails with the time after which the request may come
/// back.
pub(crate) async fn admit(
    app: &Rc<App>,
    team: &Team,
    version: Revision,
    stated_tokens: Option<Tokens>,
    is_late: bool,
) -> Result<Option<UsedUnits>, DurationUs> {
    let Some(limit) = team.limit else {
        return Ok(None);
    };
    let units = limit.units_of(stated_tokens);
    let charge = ChargeContext {
        team: team.name.clone(),
        limit,
        version,
    };
    let decision = app
        .usage
        .borrow_mut()
        .admit(app.now(), &team.name, &limit, units, is_late);
    let admitted = match decision {
        UsageDecision::Admitted { starts_charge } => {
            if starts_charge {
                charge_later(app, charge.clone());
            }
            Ok(())
        }
        UsageDecision::AskOwner => ask(app, &charge, units, is_late).await,
    };
    app.metrics.count_usage(&team.name, units, admitted.is_ok());
    admitted?;
    Ok(Some(UsedUnits { charge, units }))
}

/// Returns the units of a request that did not run.
pub(crate) fn refund(app: &Rc<App>, used: UsedUnits) {
    let UsedUnits { charge, units } = used;
    let starts_charge = app
        .usage
        .borrow_mut()
        .refund(app.now(), &charge.team, units);
    if starts_charge {
        charge_later(app, charge);
    }
}

async fn ask(
    app: &Rc<App>,
    charge: &ChargeContext,
    units: u64,
    is_late: bool,
) -> Result<(), DurationUs> {
    let reply = send_charges(app, charge, units, is_late).await;
    if let Some(reply) = reply {
        return if reply.is_granted {
            Ok(())
        } else {
            Err(reply.retry_after)
        };
    }
    let servers_count = app.serving.borrow().servers.addresses_count();
    let (now, ChargeContext { team, limit, .. }) = (app.now(), charge);
    let mut usage = app.usage.borrow_mut();
    usage.admit_by_share(now, team, limit, units, is_late, servers_count)
}

fn charge_later(app: &Rc<App>, charge: ChargeContext) {
    let app = Rc::clone(app);
    tokio::task::spawn_local(async move {
        sleep(CHARGE_INTERVAL.into()).await;
        send_charges(&app, &charge, 0, false).await;
    });
}

/// Sends the collected charges of a team to the first owner that replies, with a request that waits
/// for the reply if `asked_units` is not 0.
async fn send_charges(
    app: &Rc<App>,
    context: &ChargeContext,
    asked_units: u64,
    is_late: bool,
) -> Option<UsageReply> {
    let (now, team) = (app.now(), &context.team);
    let admitted_units = app.usage.borrow_mut().take_uncharged(now, team);
    if admitted_units == 0 && asked_units == 0 {
        return None;
    }
    let servers_count = app.serving.borrow().servers.addresses_count();
    let known_entries_count = app
        .usage
        .borrow_mut()
        .entries_count(now, team, servers_count);
    for (rank, owner) in owners_of(app, team).into_iter().enumerate() {
        let connection = app
            .reservation_client
            .borrow_mut()
            .connection(app.now(), owner);
        let Ok(connection) = connection else { continue };
        let charge = UsageCharge {
            team: team.clone(),
            entry: app.name.clone(),
            version: context.version,
            limit: context.limit,
            admitted_units,
            asked_units,
            is_late,
            known_entries_count,
            is_substitute: rank > 0,
        };
        app.metrics.usage_charges.inc();
        match client::charge_usage(connection, &charge).await {
            Ok(reply) => {
                let mut usage = app.usage.borrow_mut();
                usage.record_reply(app.now(), team, &reply, rank > 0);
                return Some(reply);
            }
            Err(_) => {
                info!(app.log, "owner of a team's usage does not reply"; "team" => %team,
                    "agent" => %owner);
                app.reservation_client.borrow_mut().pause(app.now(), owner);
            }
        }
    }
    app.metrics.usage_owners_unreachable.inc();
    app.usage.borrow_mut().record_no_reply(app.now(), team);
    None
}

/// Agents that own a team's usage, in the order in which they are asked: the same at all entries that
/// know the same agents.
fn owners_of(app: &App, team: &TeamName) -> Vec<SocketAddr> {
    let serving = app.serving.borrow();
    let engines = serving
        .servers
        .iter()
        .filter(|(_, server)| server.record.stage.is_some());
    let agents = engines.filter_map(|(_, engine)| agent_address(app, engine.record.address));
    let mut ordered = owners(team, agents.collect());
    ordered.truncate(OWNERS_ASKED_MAX);
    ordered
}
