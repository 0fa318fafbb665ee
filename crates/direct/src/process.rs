//! Start and shutdown.
//!
//! On SIGTERM the process reports itself as not ready at once but still accepts connections,
//! because the balancer needs two health checks a second apart to stop sending. Then idle
//! connections are closed. The process ends with its last request, or shortly before it would be
//! killed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlead_direct_core::placement::ClientLocality;
use cuminlead_direct_core::registry::RegistryUpdate;
use cuminlead_direct_core::serving::{ServingConfig, UpdateEffect};
use cuminlead_direct_core::shutdown::ShutdownSchedule;
use cuminlead_direct_core::{ExpectedCost, FixedCost, PlacementPolicy, ServingState, Teams};
use cuminlead_kernel::Clock;
use cuminlead_places::ReservationClient;
use cuminlead_process::admin::AdminLimits;
use cuminlead_process::signal::Signals;
use cuminlead_process::{StartError, admin, descriptors, start};
use cuminlead_settings::{EntrySettings, PlacementName};
use cuminlead_telemetry::{Metrics, Tracing, log};
use cuminlead_types::{DurationUs, TimeUs};
use error_stack::{Report, ResultExt};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{Semaphore, watch};
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::adapter::{self, Adapter};
use crate::agent_configuration::{self, SharedSilence};
use crate::app::{App, StopPhase};
use crate::connections::{self, Connections};
use crate::control;
use crate::pool::ConnectionPool;
use crate::serve::accept;
use crate::status::{DirectAdmin, DirectMetrics, SharedStatus};

/// One retry is allowed for this many requests, the share that the platform permits.
const REQUESTS_PER_RETRY: u32 = 5;
/// Interval between checks for open connections during shutdown.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the entry until a shutdown is requested and the open requests are answered. Fails if the
/// adapter is unknown, an address can't be bound or a thread can't be started.
pub fn run(settings: &EntrySettings, adapter_name: &str) -> Result<(), Report<StartError>> {
    let (log, _log_guard) = log::logger_to(
        std::io::stdout(),
        &settings.log_level().to_string(),
        settings.name().as_str(),
    );
    let plugin = adapter::find(adapter_name)
        .ok_or_else(|| Report::new(StartError::Plugin).attach(format!("adapter={adapter_name}")))?;
    let adapter = (plugin.build)(settings);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Thread)?;
    let tracing = start::tracing(&runtime, *settings.collector_address(), "cuminlead-entry")?;
    let serving = serve(settings, adapter, &log, &tracing);
    let result = LocalSet::new().block_on(&runtime, serving);
    tracing.shutdown();
    if let Err(error) = &result {
        warn!(log, "entry failed"; "error" => %error);
    }
    result
}

async fn serve(
    settings: &EntrySettings,
    adapter: Adapter,
    log: &Logger,
    tracing: &Tracing,
) -> Result<(), Report<StartError>> {
    let clock = Clock::start();
    let mut metrics = Metrics::new("cuminlead_entry");
    let descriptors_max_count = descriptors::max_count(settings.descriptors_max_count().0);
    let admin_limits = AdminLimits::new(
        &mut metrics,
        settings.admin_connections_max_count().0,
        descriptors_max_count,
    );
    let direct_metrics = DirectMetrics::new(&mut metrics);
    let status = Arc::new(SharedStatus::default());
    let signals = Signals::new().change_context(StartError::Thread)?;
    let listener = TcpListener::bind(*settings.listen_address())
        .await
        .change_context(StartError::Bind)
        .attach_with(|| format!("address={}", settings.listen_address()))?;
    let source = DirectAdmin {
        name: settings.name().clone(),
        metrics,
        status: Arc::clone(&status),
    };
    let admin_address = admin::serve(*settings.admin_address(), Arc::new(source), admin_limits)?;
    let (updates_sender, updates) = unbounded_channel();
    let calls = direct_metrics.registry_calls.clone();
    let silence = SharedSilence::default();
    control::spawn(
        clock,
        adapter.registry,
        calls,
        updates_sender,
        silence.clone(),
    )?;
    let (stop_sender, stop) = watch::channel(StopPhase::Running);
    let connections = Connections::new(
        settings,
        descriptors_max_count,
        clock,
        direct_metrics.clone(),
        log.clone(),
    );
    tokio::task::spawn_local(Rc::clone(&connections).close_overdue());
    let app = Rc::new(App {
        clock,
        serving: RefCell::new(serving_state(settings)),
        connections: Rc::clone(&connections),
        large_responses: Semaphore::new(connections::large_responses_max_count(settings)),
        slow_caller_limit: DurationUs::from_ms(settings.slow_caller_ms().0),
        pool: RefCell::new(ConnectionPool::default()),
        reservation_client: RefCell::new(ReservationClient::default()),
        name: settings.name().clone(),
        usage: RefCell::default(),
        slow_servers: RefCell::default(),
        local_limiter: RefCell::default(),
        place_port: settings
            .place_port()
            .and_then(|port| u16::try_from(port.0).ok()),
        protocol_mapping: adapter.protocol_mapping,
        metrics: direct_metrics,
        tracing: tracing.clone(),
        log: log.clone(),
        stop,
        shutdown: Cell::new(None),
        status: Arc::clone(&status),
    });
    tokio::task::spawn_local(apply_updates(Rc::clone(&app), updates));
    let decode = adapter.decode_configuration;
    tokio::task::spawn_local(agent_configuration::ask_while_silent(
        Rc::clone(&app),
        silence,
        decode,
    ));
    let callers_address = listener.local_addr().change_context(StartError::Bind)?;
    tokio::task::spawn_local(accept(Rc::clone(&app), listener));
    info!(log, "entry started"; "callers" => %callers_address, "admin" => %admin_address,
        "placement" => %settings.placement());
    // Addresses and locations are fixed for an incarnation, so changed settings take effect at the
    // next start.
    signals
        .wait_for_stop(|| {
            info!(
                log,
                "SIGHUP received; changed settings take effect at the next start"
            )
        })
        .await;
    status.is_stopping.store(true, Ordering::Relaxed);
    stop_gracefully(settings, &app, &stop_sender).await;
    Ok(())
}

fn serving_state(settings: &EntrySettings) -> ServingState {
    let config = serving_config(settings);
    let placement: Box<dyn PlacementPolicy> = match settings.placement() {
        PlacementName::Fixed => Box::new(FixedCost),
        PlacementName::Expected => Box::new(ExpectedCost::new(config.locality.clone())),
    };
    ServingState::with_placement(config, placement)
}

fn serving_config(settings: &EntrySettings) -> ServingConfig {
    let locality = ClientLocality {
        availability_zone: settings.availability_zone().clone(),
        region: settings.region().clone(),
    };
    let mut regions: HashMap<_, _> = settings.zone_regions().iter().cloned().collect();
    regions.insert(locality.availability_zone.clone(), locality.region.clone());
    ServingConfig {
        locality,
        regions,
        requests_per_retry: REQUESTS_PER_RETRY,
        retries_extra_count: settings.retries_extra_count().0,
        seed: rand::random(),
    }
}

/// Applies the updates that the control thread sends.
async fn apply_updates(app: Rc<App>, mut updates: UnboundedReceiver<Vec<RegistryUpdate>>) {
    while let Some(changes) = updates.recv().await {
        apply_changes(&app, changes);
    }
}

/// Applies changes of the registry's contents, which may be none, and updates what depends on them.
pub(crate) fn apply_changes(app: &App, changes: Vec<RegistryUpdate>) {
    let now = app.now();
    let status = &app.status;
    let mut serving = app.serving.borrow_mut();
    for update in changes {
        if !serving.is_outdated(&update) {
            log_update(app, &update);
            let effect = serving.apply(now, update);
            log_effect(app, &effect);
        }
    }
    serving.servers.expire(now);
    let mut pool = app.pool.borrow_mut();
    pool.evict(now, |key| serving.servers.get(key).is_some());
    let version = serving
        .operator_config()
        .map_or(0, |operator_config| operator_config.version().0);
    status.config_version.store(version, Ordering::Relaxed);
    app.metrics.update_gauges(now, &mut serving);
    let learned = serving.learned_servers(now);
    app.metrics.update_learned(&learned);
    app.slow_servers.borrow_mut().update(&app.log, &learned);
    let servers_count = u32::try_from(serving.servers.addresses_count()).unwrap_or(u32::MAX);
    status.servers_count.store(servers_count, Ordering::Relaxed);
    status
        .is_synced
        .store(serving.is_ready(), Ordering::Relaxed);
}

fn log_update(app: &App, update: &RegistryUpdate) {
    let log = &app.log;
    match update {
        RegistryUpdate::OperatorConfig(operator_config) => {
            let teams = operator_config.teams();
            info!(log, "configuration applied"; "config_version" => operator_config.version().0,
                "routes" => operator_config.routes().len(), "requires_keys" => teams.is_some(),
                "teams" => teams.map(Teams::teams_count), "keys" => teams.map(Teams::keys_count));
        }
        RegistryUpdate::Server(record) => {
            info!(log, "server published"; "server" => %record.id,
            "service" => %record.service, "address" => %record.address, "state" => %record.state,
            "stage" => record.stage.map(|stage| stage.to_string()),
            "started_at_ms" => record.started_at_ms.0)
        }
        RegistryUpdate::ServerRemoved(id) => info!(log, "server removed"; "server" => %id),
        RegistryUpdate::Unusable { key, reason } => {
            app.metrics.unusable_entries.inc();
            warn!(log, "registry entry left out"; "key" => key, "reason" => reason);
        }
        RegistryUpdate::Synced(revision) => {
            info!(log, "registry listing complete"; "revision" => revision.0)
        }
        RegistryUpdate::Lost(error) => {
            warn!(log, "registry unreachable; last known state stays in effect"; "error" => %error)
        }
        RegistryUpdate::Regained => info!(log, "registry reachable again"),
        RegistryUpdate::EraChanged { from, to } => {
            app.metrics.era_changes.inc();
            warn!(log, "registry era changed; it was restored from an older copy";
                "from" => from.map(|era| era.0), "to" => to.map(|era| era.0));
        }
        RegistryUpdate::HeldBack(id) => {
            app.metrics.held_back_entries.inc();
            info!(log, "server not used until it is published again"; "server" => %id);
        }
        RegistryUpdate::EraRecovered => info!(log, "registry recovered in its new era"),
    }
}

fn log_effect(app: &App, effect: &UpdateEffect) {
    let log = &app.log;
    if let Some(server) = &effect.unconfigured {
        app.metrics.unconfigured_entries.inc();
        info!(log, "server not used; the configuration does not name its service"; "server" => %server);
    }
    for server in &effect.displaced {
        info!(log, "server gets no requests; a later one is published at its address"; "server" => %server);
    }
}

/// Waits until all callers' connections are closed, but no later than `latest`.
async fn wait_for_callers(app: &App, latest: TimeUs) {
    while app.status.connections_count.load(Ordering::Relaxed) > 0 {
        let rest = Duration::from(latest.since(app.now()));
        if rest.is_zero() {
            return;
        }
        sleep(rest.min(STOP_POLL_INTERVAL)).await;
    }
}

async fn stop_gracefully(settings: &EntrySettings, app: &Rc<App>, stop: &watch::Sender<StopPhase>) {
    let now = app.now();
    let schedule = ShutdownSchedule {
        balancer_drained_at: now + DurationUs::from_ms(settings.drain_delay_ms().0),
        ends_at: now + DurationUs::from_ms(settings.drain_max_ms().0),
    };
    app.shutdown.set(Some(schedule));
    info!(app.log, "entry stopping"; "connections" => app.status.connections_count.load(Ordering::Relaxed));
    // The receivers live as long as the state of the traffic thread.
    let _ = stop.send(StopPhase::BalancerDraining);
    sleep(schedule.balancer_drained_at.since(app.now()).into()).await;
    let _ = stop.send(StopPhase::Closing);
    wait_for_callers(app, schedule.responds_at()).await;
    let _ = stop.send(StopPhase::Answering);
    wait_for_callers(app, schedule.ends_at).await;
    info!(app.log, "entry stopped"; "connections" => app.status.connections_count.load(Ordering::Relaxed));
}
