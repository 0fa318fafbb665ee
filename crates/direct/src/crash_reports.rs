//! Reports of crashed engines to their agents, as evidence against prompt parts.
//!
//! A lost connection is no crash: servers also reset connections, and networks lose them. The agent
//! beside the engine reads the engine's reports and tells whether it has ended. Only then the crash
//! is reported, to the agents of all engines of the service, so that each entry learns from any of
//! them which parts are in quarantine.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminlead_direct_core::ServerKey;
use cuminlead_places::client;
use cuminlead_quarantine::{CrashReport, QuarantineState};
use cuminlead_types::{PromptPartId, ServiceName, UnixMs};
use slog::{Logger, info};
use tokio::time::sleep;

use crate::app::App;
use crate::engine_resources::agent_of;

/// Pauses before an agent is asked whether its engine has ended. It notices this after two failed
/// reports; the first one fails up to 400 ms after the end of an engine that was idle before.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_millis(350),
    Duration::from_millis(600),
];

/// Reports a run whose connection was lost before or soon after the beginning of its output, if its
/// engine has crashed.
pub(crate) fn report_if_crashed(
    app: &Rc<App>,
    service: &ServiceName,
    server: ServerKey,
    parts: &[PromptPartId],
) {
    let suspects = app.serving.borrow().quarantine.suspects(app.now(), parts);
    let Some((agent, record)) = agent_of(app, server) else {
        return;
    };
    if suspects.is_empty() {
        return;
    }
    let report = CrashReport {
        server: record.id,
        request: None,
        parts: suspects,
    };
    let (app, service) = (Rc::clone(app), service.clone());
    tokio::task::spawn_local(async move {
        if has_ended(&app, agent, record.started_at_ms).await {
            report_crash(&app, &service, report).await;
        }
    });
}

async fn has_ended(app: &App, agent: SocketAddr, started_at_ms: UnixMs) -> bool {
    for delay in CHECK_DELAYS {
        sleep(delay).await;
        let connection = app
            .reservation_client
            .borrow_mut()
            .connection(app.now(), agent);
        let Ok(connection) = connection else { continue };
        if client::has_engine_ended(connection, started_at_ms).await == Ok(true) {
            return true;
        }
    }
    false
}

async fn report_crash(app: &Rc<App>, service: &ServiceName, report: CrashReport) {
    info!(app.log, "engine crashed before the output of a request"; "server" => %report.server,
        "suspected_parts" => join(&report.parts));
    let now = app.now();
    let quarantined = app
        .serving
        .borrow_mut()
        .quarantine
        .record_crash(now, &report);
    if let Some(part) = quarantined {
        log_quarantined(&app.log, &part, "crash");
    }
    if !app.serving.borrow_mut().crash_reports.take(now) {
        info!(app.log, "crash not reported: too many reports"; "server" => %report.server);
        return;
    }
    let report = Rc::new(report);
    for agent in agents_of(app, service) {
        let (app, report) = (Rc::clone(app), Rc::clone(&report));
        tokio::task::spawn_local(async move {
            let connection = app
                .reservation_client
                .borrow_mut()
                .connection(app.now(), agent);
            let Ok(connection) = connection else { return };
            if let Ok(state) = client::report_crash(connection, &report).await {
                learn(&app, state);
            }
        });
    }
}

/// Records that an engine generates output for a prompt, and tells the agents if that clears
/// suspected parts.
pub(crate) fn record_sound(app: &Rc<App>, service: &ServiceName, parts: &[PromptPartId]) {
    let now = app.now();
    let cleared = app.serving.borrow_mut().quarantine.record_sound(now, parts);
    if cleared.is_empty() {
        return;
    }
    info!(app.log, "suspected prompt parts cleared"; "parts" => join(&cleared));
    let cleared: Rc<[PromptPartId]> = cleared.into();
    for agent in agents_of(app, service) {
        let (app, cleared) = (Rc::clone(app), Rc::clone(&cleared));
        tokio::task::spawn_local(async move {
            let connection = app
                .reservation_client
                .borrow_mut()
                .connection(app.now(), agent);
            if let Ok(connection) = connection {
                client::report_sound(connection, &cleared).await;
            }
        });
    }
}

/// Adopts what an agent knows about prompt parts.
pub(crate) fn learn(app: &App, state: QuarantineState) {
    let now = app.now();
    let learned = app.serving.borrow_mut().quarantine.learn(now, state);
    for part in learned {
        log_quarantined(&app.log, &part, "agent");
    }
}

fn log_quarantined(log: &Logger, part: &PromptPartId, source: &'static str) {
    info!(log, "prompt part quarantined"; "part" => %part, "source" => source);
}

/// Addresses of the agents beside the engines of a service.
fn agents_of(app: &App, service: &ServiceName) -> HashSet<SocketAddr> {
    let keys: Vec<_> = {
        let serving = app.serving.borrow();
        let servers = serving.servers.of_service(service);
        let engines = servers.filter(|(_, server)| server.record.stage.is_some());
        engines.map(|(key, _)| key).collect()
    };
    let agents = keys.into_iter().filter_map(|key| agent_of(app, key));
    agents.map(|(agent, _)| agent).collect()
}

fn join(parts: &[PromptPartId]) -> String {
    let parts: Vec<_> = parts.iter().map(PromptPartId::as_str).collect();
    parts.join(",")
}
