//! Start-up and shutdown of an agent.
//!
//! [`run`] builds the parts of the process, serves the peer and admin addresses and blocks until
//! the control thread has drained the process.

use std::net::TcpListener;
use std::sync::Arc;

use crossbeam::channel::{Sender, unbounded};
use cuminlead_agent_core::{AgentConfig, AgentContext};
use cuminlead_distribution::Identity;
use cuminlead_distribution::limits::CONFIRM_INTERVAL;
use cuminlead_kernel::{Clock, WorkerPool, spawn_control};
use cuminlead_process::admin::AdminLimits;
use cuminlead_process::feed::{Feed, FeedParts, FeedSender};
use cuminlead_process::peer::{PeerClient, PeerRpc};
use cuminlead_process::platform::PlatformClient;
use cuminlead_process::secret::PeerSecret;
use cuminlead_process::{StartError, admin, descriptors, signal, start};
use cuminlead_settings::AgentSettings;
use cuminlead_telemetry::{Metrics, Tracing, log};
use cuminlead_types::{DurationUs, Incarnation};
use cuminlead_wire::MESSAGE_MAX_BYTES;
use cuminlead_wire::proto::agent_server::AgentServer;
use cuminlead_wire::proto::peer_server::PeerServer;
use error_stack::{Report, ResultExt};
use slog::{Logger, info};
use tokio::runtime::Runtime;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::backend::{self, BackendContext, BackendEvent};
use crate::backend_spans::BackendSpans;
use crate::controller::{AgentController, AgentFlags, ControlEvent, ControllerParts};
use crate::rpc::AgentRpc;
use crate::status::{AgentAdmin, AgentMetrics};

/// Blocking threads of the tokio runtime. Few suffice, because calls to the back end run in their
/// own [`WorkerPool`].
const BLOCKING_THREADS_MAX_COUNT: usize = 4;

/// Confirmations of the lists within `key_staleness_ms`.
const CONFIRMATIONS_PER_STALENESS_PERIOD: u64 = 10;

/// Threads for prefill, cancel and inventory calls, in addition to one for each decode slot.
const EXTRA_CALLS_COUNT: usize = 64;

/// Runs an agent until a shutdown signal arrives or its host is published as leaving, and then
/// until no lease or permit is left or `drain_max_ms` has passed.
///
/// If the settings name an adapter, the agent of the direct path runs instead.
pub fn run(settings: &AgentSettings) -> Result<(), Report<StartError>> {
    if let Some(adapter) = settings.adapter() {
        return cuminlead_places::agent::run(settings, adapter.as_str());
    }
    // The port doubles as a lock that admits one agent to its slot on this host. The operating
    // system releases it when the process dies.
    let listener = TcpListener::bind(settings.peer_address())
        .change_context(StartError::Bind)
        .attach("another agent may already run in this slot of the host")?;
    let (log, _log_guard) = log::logger(
        &settings.log_level().to_string(),
        &settings.name().to_string(),
    );
    let runtime = start::runtime(BLOCKING_THREADS_MAX_COUNT)?;
    let tracing = start::tracing(&runtime, *settings.collector_address(), "cuminlead-agent")?;
    let result = serve(settings, listener, &runtime, &log, &tracing);
    tracing.shutdown();
    result
}

fn serve(
    settings: &AgentSettings,
    listener: TcpListener,
    runtime: &Runtime,
    log: &Logger,
    tracing: &Tracing,
) -> Result<(), Report<StartError>> {
    let clock = Clock::start();
    let incarnation = Incarnation(clock.now().unix_ms.0);
    let (control, events) = unbounded();
    let mut metrics = Metrics::new("cuminlead_agent");
    let descriptors_max_count = descriptors::max_count(settings.descriptors_max_count().0);
    let admin_limits = AdminLimits::new(
        &mut metrics,
        settings.admin_connections_max_count().0,
        descriptors_max_count,
    );
    let agent_metrics = AgentMetrics::new(&mut metrics);
    let flags = Arc::new(AgentFlags::default());
    let secret = PeerSecret::new(
        settings
            .peer_secret()
            .as_ref()
            .map(|secret| secret.expose()),
    );
    let sender = feed_sender(&control);
    let feed = build_feed(
        settings,
        runtime,
        Arc::clone(&sender),
        secret.clone(),
        &agent_metrics,
    );
    let source = AgentAdmin {
        server: settings.server().clone(),
        incarnation,
        metrics,
        flags: Arc::clone(&flags),
        view: feed.view(),
    };
    let parts = ControllerParts {
        host: settings.host().clone(),
        server: settings.server().clone(),
        context: AgentContext::new(config(settings, incarnation)),
        feed,
        backend: build_backend(settings, &control)?,
        spans: BackendSpans::new(tracing.clone()),
        metrics: agent_metrics,
        flags,
        drain_max_us: (*settings.drain_max_ms()).into(),
        log: log.clone(),
    };
    let admin_address = admin::serve(*settings.admin_address(), Arc::new(source), admin_limits)?;
    let peer_address = listener.local_addr().change_context(StartError::Bind)?;
    let peer_rpc = PeerRpc::new(sender, secret.clone());
    let rpc = AgentRpc::new(control.clone(), secret, tracing.clone());
    start_rpc(runtime, listener, rpc, peer_rpc)?;
    runtime.spawn(signal::on_stop(move || {
        // Fails only when the control thread has already ended.
        let _ = control.send(ControlEvent::Shutdown);
    }));
    let controller = AgentController::new(parts, clock.now());
    let thread =
        spawn_control("control", clock, controller, events).change_context(StartError::Thread)?;
    println!("listening peer={peer_address} admin={admin_address}");
    info!(log, "agent started"; "server" => %settings.server(), "incarnation" => incarnation.0,
        "peer" => %peer_address, "admin" => %admin_address);
    let ended = thread.join();
    info!(log, "agent stopped"; "server" => %settings.server());
    ended
        .map(drop)
        .map_err(|_| Report::new(StartError::Thread).attach("control thread panicked"))
}

fn feed_sender(control: &Sender<ControlEvent>) -> FeedSender {
    let control = control.clone();
    Arc::new(move |event| {
        // Fails only when the control thread has already ended.
        let _ = control.send(ControlEvent::Feed(event));
    })
}

fn build_feed(
    settings: &AgentSettings,
    runtime: &Runtime,
    sender: FeedSender,
    secret: PeerSecret,
    metrics: &AgentMetrics,
) -> Feed {
    Feed::new(FeedParts {
        identity: Identity {
            host: settings.host().clone(),
            region: settings.region().clone(),
            zone: settings.availability_zone().clone(),
        },
        seed: rand::random(),
        confirm_interval_us: confirm_interval(settings),
        platform: PlatformClient::new(&settings.platform_address().to_string()),
        peers: PeerClient::new(settings.host().to_string(), secret),
        runtime: runtime.handle().clone(),
        sender,
        metrics: metrics.common.clone(),
    })
}

/// Interval at which the lists are confirmed as newest. Several confirmations fit into
/// `key_staleness_ms`, the staleness from which keyed calls are refused.
fn confirm_interval(settings: &AgentSettings) -> DurationUs {
    let staleness_us = DurationUs::from(*settings.key_staleness_ms());
    CONFIRM_INTERVAL.min(DurationUs(
        staleness_us.get() / CONFIRMATIONS_PER_STALENESS_PERIOD,
    ))
}

fn build_backend(
    settings: &AgentSettings,
    control: &Sender<ControlEvent>,
) -> Result<Box<dyn backend::Backend>, Report<StartError>> {
    let control = control.clone();
    let events = move |event| {
        let event = match event {
            BackendEvent::Engine(event) => ControlEvent::Engine(event),
            BackendEvent::Service(event) => ControlEvent::Service(event),
        };
        // Fails only when the control thread has already ended.
        let _ = control.send(event);
    };
    let calls_max_count = settings.slots_count().0 as usize + EXTRA_CALLS_COUNT;
    let context = BackendContext {
        address: settings.backend_address().to_string(),
        pool: WorkerPool::new("backend", calls_max_count),
        events: Box::new(events),
    };
    let name = settings.backend().to_string();
    backend::build(&name, context)
        .ok_or_else(|| Report::new(StartError::Plugin).attach(format!("backend={name}")))
}

fn start_rpc(
    runtime: &Runtime,
    listener: TcpListener,
    rpc: AgentRpc,
    peer_rpc: PeerRpc,
) -> Result<(), Report<StartError>> {
    listener
        .set_nonblocking(true)
        .change_context(StartError::Bind)?;
    let _context = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener).change_context(StartError::Bind)?;
    let service = AgentServer::new(rpc)
        .max_decoding_message_size(MESSAGE_MAX_BYTES)
        .max_encoding_message_size(MESSAGE_MAX_BYTES);
    let server = Server::builder()
        .add_service(service)
        .add_service(PeerServer::new(peer_rpc));
    // The builder's `tcp_nodelay` has no effect on a listener that is already bound.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    runtime.spawn(server.serve_with_incoming(incoming));
    Ok(())
}

fn config(settings: &AgentSettings, incarnation: Incarnation) -> AgentConfig {
    let defaults = AgentConfig::new(settings.server().clone(), incarnation);
    AgentConfig {
        slots: *settings.slots_count(),
        pieces: *settings.kv_pieces_count(),
        queue_max_count: settings.queue_max_count().0,
        queue_max_bytes: *settings.queue_max_bytes(),
        lease_max_us: (*settings.lease_max_ms()).into(),
        orphan_timeout_us: (*settings.orphan_ms()).into(),
        kv_retention_us: (*settings.kv_hold_ms()).into(),
        output_retention_us: (*settings.answer_hold_ms()).into(),
        import_timeout_us: (*settings.import_timeout_ms()).into(),
        permit_ttl_us: (*settings.permit_ttl_ms()).into(),
        key_retention_us: (*settings.key_retention_ms()).into(),
        key_staleness_us: (*settings.key_staleness_ms()).into(),
        prefill_rate: *settings.prefill_tokens_per_second(),
        ..defaults
    }
}
