//! Start-up and shutdown of an entry.
//!
//! [`run`] builds the parts of the process, opens its three addresses (admin, peers, callers) and
//! blocks until the control thread has drained the process.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::serve::ListenerExt;
use crossbeam::channel::{Sender, unbounded};
use cuminlead_distribution::Identity;
use cuminlead_distribution::limits::CONFIRM_INTERVAL;
use cuminlead_entry_core::CallConfig;
use cuminlead_kernel::{Clock, spawn_control};
use cuminlead_process::admin::AdminLimits;
use cuminlead_process::feed::{Feed, FeedParts, FeedSender};
use cuminlead_process::peer::{PeerClient, PeerRpc};
use cuminlead_process::platform::PlatformClient;
use cuminlead_process::secret::PeerSecret;
use cuminlead_process::{StartError, admin, descriptors, signal, start};
use cuminlead_routing::{Router, RoutingConfig};
use cuminlead_settings::EntrySettings;
use cuminlead_telemetry::{Metrics, Tracing, log};
use cuminlead_wire::proto::peer_server::PeerServer;
use error_stack::{Report, ResultExt};
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::connections::AgentConnections;
use crate::controller::{ControlEvent, ControllerParts, EntryController, EntryFlags};
use crate::driver::{DriverContext, probe};
use crate::http::handler::HttpContext;
use crate::status::{EntryAdmin, EntryMetrics};

/// Runs an entry until a shutdown signal arrives and its open requests are answered or
/// `drain_max_ms` has passed.
///
/// If the settings name an adapter, the direct path runs instead, which sends requests to the
/// backend servers itself.
pub fn run(settings: &EntrySettings) -> Result<(), Report<StartError>> {
    if let Some(adapter) = settings.adapter() {
        return cuminlead_direct::process::run(settings, adapter.as_str());
    }
    let (log, _log_guard) =
        log::logger(&settings.log_level().to_string(), settings.name().as_str());
    let runtime = start::runtime(settings.workers_max_count().0 as usize)?;
    let tracing = start::tracing(&runtime, *settings.collector_address(), "cuminlead-entry")?;
    let result = serve(settings, &runtime, &log, &tracing);
    tracing.shutdown();
    result
}

fn serve(
    settings: &EntrySettings,
    runtime: &Runtime,
    log: &Logger,
    tracing: &Tracing,
) -> Result<(), Report<StartError>> {
    let clock = Clock::start();
    let (control, events) = unbounded();
    let mut metrics = Metrics::new("cuminlead_entry");
    let descriptors_max_count = descriptors::max_count(settings.descriptors_max_count().0);
    let admin_limits = AdminLimits::new(
        &mut metrics,
        settings.admin_connections_max_count().0,
        descriptors_max_count,
    );
    let entry_metrics = EntryMetrics::new(&mut metrics);
    let flags = Arc::new(EntryFlags::default());
    let secret = PeerSecret::new(
        settings
            .peer_secret()
            .as_ref()
            .map(|secret| secret.expose()),
    );
    let connections = Arc::new(AgentConnections::new(secret.clone()));
    let sender = feed_sender(&control);
    let feed = build_feed(
        settings,
        runtime,
        Arc::clone(&sender),
        secret.clone(),
        &entry_metrics,
    );
    let view = feed.view();
    let driver = DriverContext {
        clock,
        control: control.clone(),
        runtime: runtime.handle().clone(),
        connections: Arc::clone(&connections),
        metrics: entry_metrics.clone(),
        tracing: tracing.clone(),
    };
    let router = build_router(settings)?;
    let probe_context = driver.clone();
    let entry_id = settings.name().clone();
    let http = HttpContext {
        entry: entry_id.clone(),
        driver,
        view: Arc::clone(&view),
        flags: Arc::clone(&flags),
        calls: CallConfig {
            prefill_first: !router.reserves_first(),
            ..call_config(settings)
        },
        body_max: *settings.body_max_bytes(),
        open_max_count: settings.workers_max_count().0.into(),
        log: log.clone(),
    };
    let source = EntryAdmin {
        name: settings.name().clone(),
        metrics,
        flags: Arc::clone(&flags),
        view,
    };
    let parts = ControllerParts {
        host: settings.host().clone(),
        router,
        feed,
        connections,
        probe: Box::new(move |server, revisions| {
            probe(&probe_context, &entry_id, server, revisions)
        }),
        metrics: entry_metrics,
        flags,
        drain_delay_us: (*settings.drain_delay_ms()).into(),
        drain_max_us: (*settings.drain_max_ms()).into(),
        log: log.clone(),
    };
    let admin_address = admin::serve(*settings.admin_address(), Arc::new(source), admin_limits)?;
    let peer_address = serve_peers(settings, runtime, PeerRpc::new(sender, secret))?;
    let callers_address = serve_callers(settings, runtime, http)?;
    runtime.spawn(signal::on_stop(move || {
        // Fails only when the control thread has already ended.
        let _ = control.send(ControlEvent::Shutdown);
    }));
    let thread = spawn_control(
        "control",
        clock,
        EntryController::new(parts, clock.now()),
        events,
    )
    .change_context(StartError::Thread)?;
    println!("listening peer={peer_address} admin={admin_address} callers={callers_address}");
    info!(log, "entry started"; "callers" => %callers_address, "admin" => %admin_address);
    let ended = thread.join();
    info!(log, "entry stopped"; "host" => %settings.host());
    ended
        .map(drop)
        .map_err(|_| Report::new(StartError::Thread).attach("control thread panicked"))
}

fn serve_callers(
    settings: &EntrySettings,
    runtime: &Runtime,
    http: HttpContext,
) -> Result<SocketAddr, Report<StartError>> {
    let listener = bind(runtime, *settings.listen_address())?;
    let bound = listener.local_addr().change_context(StartError::Bind)?;
    let serve = move |request| http.clone().serve(request);
    let router = axum::Router::new().fallback(serve);
    runtime.spawn(axum::serve(listener.tap_io(set_nodelay), router).into_future());
    Ok(bound)
}

fn bind(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let bound = runtime.block_on(TcpListener::bind(address));
    bound
        .change_context(StartError::Bind)
        .attach_with(|| format!("address={address}"))
}

/// Disables Nagle's algorithm, so that each streamed part is sent at once. A socket that rejects
/// the option only delays parts.
fn set_nodelay(stream: &mut TcpStream) {
    let _ = stream.set_nodelay(true);
}

fn feed_sender(control: &Sender<ControlEvent>) -> FeedSender {
    let control = control.clone();
    Arc::new(move |event| {
        // Fails only when the control thread has already ended.
        let _ = control.send(ControlEvent::Feed(event));
    })
}

fn build_feed(
    settings: &EntrySettings,
    runtime: &Runtime,
    sender: FeedSender,
    secret: PeerSecret,
    metrics: &EntryMetrics,
) -> Feed {
    Feed::new(FeedParts {
        identity: Identity {
            host: settings.host().clone(),
            region: settings.region().clone(),
            zone: settings.availability_zone().clone(),
        },
        seed: rand::random(),
        confirm_interval_us: CONFIRM_INTERVAL,
        platform: PlatformClient::new(&settings.platform_address().to_string()),
        peers: PeerClient::new(settings.host().to_string(), secret),
        runtime: runtime.handle().clone(),
        sender,
        metrics: metrics.common.clone(),
    })
}

/// Serves lists and hosts to other processes of the fleet; returns the bound address.
fn serve_peers(
    settings: &EntrySettings,
    runtime: &Runtime,
    rpc: PeerRpc,
) -> Result<SocketAddr, Report<StartError>> {
    let listener = bind(runtime, *settings.peer_address())?;
    let bound = listener.local_addr().change_context(StartError::Bind)?;
    let server = Server::builder().add_service(PeerServer::new(rpc));
    // The builder's `tcp_nodelay` has no effect on a listener that is already bound.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    runtime.spawn(server.serve_with_incoming(incoming));
    Ok(bound)
}

fn build_router(settings: &EntrySettings) -> Result<Router, Report<StartError>> {
    let percent = (settings.wasted_prefill_weight().get() * 100.0).round();
    let config = RoutingConfig {
        // The cast is exact: the setting is between 0 and 1, so the value is between 0 and 100.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        waste_weight_percent: percent as u64,
        link_rate: *settings.link_bits_per_second(),
        ..RoutingConfig::new(settings.region().clone(), rand::random())
    };
    Router::new(settings.routing_policy().as_str(), config).change_context(StartError::Plugin)
}

fn call_config(settings: &EntrySettings) -> CallConfig {
    CallConfig {
        request_max_us: (*settings.request_max_ms()).into(),
        attempts_max_count: settings.attempts_max_count().0,
        unresponsive_timeout_us: (*settings.silence_ms()).into(),
        message_timeout_us: (*settings.message_timeout_ms()).into(),
        queue_wait_max_us: (*settings.wait_max_ms()).into(),
        ..CallConfig::default()
    }
}
