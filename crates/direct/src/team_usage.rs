//! Admission of requests by the usage limits of their teams.
//!
//! The agent that owns a team's usage is charged for each request that is admitted, and asked first
//! when the team is near its limit; see [`cuminlead_direct_core::usage_view`].

use std::rc::Rc;

use cuminlead_direct_core::usage_view::CHARGE_INTERVAL;
use cuminlead_direct_core::{Team, UsageCharge, UsageDecision, UsageLimit, UsageReply};
use cuminlead_places::client::{self, OwnerReply};
use cuminlead_types::{DurationUs, Revision, TeamName, Tokens};
use slog::info;
use tokio::time::sleep;

use crate::app::App;
use crate::owners::{owners_of, record_leaving};

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
    let known_level_units = app
        .usage
        .borrow_mut()
        .known_level_units(now, team, admitted_units);
    let mut is_substitute = false;
    for owner in owners_of(app, team, |_| true) {
        let connection = app
            .reservation_client
            .borrow_mut()
            .connection(app.now(), owner.agent);
        let Ok(connection) = connection else {
            is_substitute = true;
            continue;
        };
        let charge = UsageCharge {
            team: team.clone(),
            entry: app.name.clone(),
            version: context.version,
            limit: context.limit,
            admitted_units,
            asked_units,
            is_late,
            known_entries_count,
            is_substitute,
            known_level_units,
        };
        app.metrics.usage_charges.inc();
        match client::charge_usage(connection, owner.engine_started_at_ms, &charge).await {
            Ok(OwnerReply::Decided(reply)) => {
                let mut usage = app.usage.borrow_mut();
                usage.record_reply(app.now(), team, &reply, is_substitute);
                return Some(reply);
            }
            Ok(OwnerReply::NoOwner { leaving_engine }) => {
                record_leaving(app, owner.agent, leaving_engine);
            }
            Err(error) => {
                info!(app.log, "owner of a team's usage does not reply"; "team" => %team,
                    "agent" => %owner.agent);
                let mut agents = app.reservation_client.borrow_mut();
                agents.record_failure(app.now(), owner.agent, error);
                is_substitute = true;
            }
        }
    }
    app.metrics.usage_owners_unreachable.inc();
    app.usage.borrow_mut().record_no_reply(app.now(), team);
    None
}
