//! Start and stop of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::{Sender, unbounded};
use cuminlead_entry_core::CallConfig;
use cuminlead_kernel::{Clock, spawn_control};
use cuminlead_process::cli::ProcessSettings;
use cuminlead_process::feed::Feed;
use cuminlead_process::platform::Platform;
use cuminlead_process::secret::PeerSecret;
use cuminlead_process::{StartError, admin, signal};
use cuminlead_routing::{Router, RoutingConfig};
use cuminlead_settings::EntrySettings;
use cuminlead_telemetry::{Metrics, Tracing, log};
use cuminlead_types::Findings;
use error_stack::{Report, ResultExt};
use rand::Rng;
use slog::{Logger, info};
use tokio::runtime::Runtime;

use crate::clients::Clients;
use crate::controller::{ControlEvent, ControllerParts, EntryController, EntryFlags};
use crate::driver::DriverContext;
use crate::http::handler::HttpContext;
use crate::status::{EntryAdmin, EntryMetrics};

/// Threads of the runtime that carries messages.
const RUNTIME_THREADS: usize = 2;

/// Settings of an entry on the command line.
#[derive(Debug)]
pub struct CheckedSettings(pub EntrySettings);

impl std::fmt::Display for CheckedSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl ProcessSettings for CheckedSettings {
    fn parse_file(file: &str, text: &str) -> Result<Self, Findings> {
        EntrySettings::parse(file, text).map(Self)
    }
}

/// Runs an entry until it is asked to stop and its requests are answered.
pub fn run(settings: &CheckedSettings) -> Result<(), Report<StartError>> {
    let settings = &settings.0;
    let (log, _log_guard) =
        log::logger(&settings.log_level().to_string(), settings.name().as_str());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()
        .change_context(StartError::Thread)?;
    let tracing = {
        let _context = runtime.enter();
        let collector = settings
            .collector_address()
            .map(|address| address.to_string());
        Tracing::new(collector.as_deref(), "cuminlead-entry").change_context(StartError::Tracing)?
    };
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
    let entry_metrics = EntryMetrics::new(&mut metrics);
    let flags = Arc::new(EntryFlags::default());
    let secret = PeerSecret::new(
        settings
            .peer_secret()
            .as_ref()
            .map(|secret| secret.expose()),
    );
    let clients = Arc::new(Clients::new(secret));
    let feed = build_feed(settings, &control, &entry_metrics);
    let view = feed.view();
    let driver = DriverContext {
        clock,
        control: control.clone(),
        runtime: runtime.handle().clone(),
        clients: Arc::clone(&clients),
        metrics: entry_metrics.clone(),
        tracing: tracing.clone(),
    };
    let http = HttpContext {
        entry: settings.name().clone(),
        driver,
        view: Arc::clone(&view),
        flags: Arc::clone(&flags),
        calls: call_config(settings),
        body_max: *settings.body_max_bytes(),
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
        router: build_router(settings)?,
        feed,
        clients,
        metrics: entry_metrics,
        flags,
        drain_delay_us: (*settings.drain_delay_ms()).into(),
        drain_max_us: (*settings.drain_max_ms()).into(),
        log: log.clone(),
    };
    let admin_address = admin::serve(*settings.admin_address(), Arc::new(source))?;
    let callers_address = serve_callers(settings, http)?;
    runtime.spawn(forward_stop(control));
    let thread = spawn_control("control", clock, EntryController::new(parts), events)
        .change_context(StartError::Thread)?;
    let peer_address = settings.peer_address();
    println!("listening peer={peer_address} admin={admin_address} callers={callers_address}");
    info!(log, "entry started"; "callers" => %callers_address, "admin" => %admin_address);
    let ended = thread.join();
    info!(log, "entry stopped"; "host" => %settings.host());
    ended
        .map(drop)
        .map_err(|_| Report::new(StartError::Thread).attach("the control thread failed"))
}

fn serve_callers(
    settings: &EntrySettings,
    http: HttpContext,
) -> Result<SocketAddr, Report<StartError>> {
    let workers = settings.workers_max_count().0 as usize;
    let server = admin::bind(*settings.listen_address())?
        .http1_only()
        .max_workers(workers);
    let bound = server.local_addr().change_context(StartError::Bind)?;
    thread::Builder::new()
        .name("callers".to_string())
        .spawn(move || server.serve(move |request, info| http.serve(request, info)))
        .change_context(StartError::Thread)?;
    Ok(bound)
}

fn build_feed(
    settings: &EntrySettings,
    control: &Sender<ControlEvent>,
    metrics: &EntryMetrics,
) -> Feed {
    let platform = Platform::new(&settings.platform_address().to_string());
    let control = control.clone();
    let sender = move |event| {
        // Nothing is left to report to when the control thread has ended.
        let _ = control.send(ControlEvent::Feed(event));
    };
    Feed::new(platform, Arc::new(sender), metrics.common.clone())
}

fn build_router(settings: &EntrySettings) -> Result<Router, Report<StartError>> {
    let percent = (settings.wasted_prefill_weight().get() * 100.0).round();
    let config = RoutingConfig {
        // The setting is between 0 and 1.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        waste_weight_percent: percent as u64,
        link_rate: *settings.link_bits_per_second(),
        ..RoutingConfig::new(settings.region().clone(), rand::rng().next_u64())
    };
    Router::new(settings.routing_policy().as_str(), config).change_context(StartError::Plugin)
}

fn call_config(settings: &EntrySettings) -> CallConfig {
    CallConfig {
        request_max_us: (*settings.request_max_ms()).into(),
        attempts_max_count: settings.attempts_max_count().0,
        silence_us: (*settings.silence_ms()).into(),
        message_timeout_us: (*settings.message_timeout_ms()).into(),
        wait_max_us: (*settings.wait_max_ms()).into(),
        ..CallConfig::default()
    }
}

async fn forward_stop(control: Sender<ControlEvent>) {
    if signal::stop_requested().await.is_ok() {
        // Nothing is left to stop when the control thread has ended.
        let _ = control.send(ControlEvent::Stop);
    }
}
