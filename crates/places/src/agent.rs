//! Start and shutdown of the agent.
//!
//! The control thread reads the engine's reports and the traffic thread replies to entries. Both
//! share the reservation table, which each of them locks for one decision at a time. The agent has
//! no state that must outlive it, so it ends at once when a shutdown is requested.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use cuminlead_direct_core::stages::PrefillShare;
use cuminlead_direct_core::{MemoryUse, RegistryWatcher, ReservationTable};
use cuminlead_kernel::Clock;
use cuminlead_process::StartError;
use cuminlead_process::admin::{self, AdminLimits, AdminSource};
use cuminlead_process::descriptors;
use cuminlead_process::signal::Signals;
use cuminlead_settings::AgentSettings;
use cuminlead_telemetry::metrics::{Counters, Gauges};
use cuminlead_telemetry::{Label, Metrics, log};
use cuminlead_wire::proto::places_server::PlacesServer;
use error_stack::{Report, ResultExt};
use prometheus_client::metrics::gauge::Gauge;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tonic::transport::Server;

use crate::configuration::ConfigurationReader;
use crate::incoming::BoundedIncoming;
use crate::monitor::{self, AgentPlatform, EngineMonitor};
use crate::rpc::{ReservationRpc, SharedReservationTable};
use crate::stage_control::StageControl;

/// Interval between reports of a busy engine, and between attempts at one that does not respond. A
/// full batch grows by about 1,500 tokens in this time, which fit into the share of memory that the
/// forecast leaves free.
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports of an idle engine.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Longest message of an entry. The longest is a report of a crash, with up to 16 ids of prompt
/// parts.
const MESSAGE_MAX_BYTES: usize = 8 * 1024;
/// Concurrent calls of one entry. Together with the other bounds, 400 connections hold at most
/// 0.35 MB each, 140 MB of the 192 MB of an agent's host.
const STREAMS_MAX_COUNT: u32 = 32;
/// Bytes that an entry may send before they are read; the smallest initial window of HTTP/2.
const WINDOW_BYTES: u32 = 65_535;
/// Longest headers of a call.
const HEADERS_MAX_BYTES: u32 = 4 * 1024;
/// Longest time of a call, its message included. Entries wait 0.2 s for a reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the agent until a shutdown is requested. Fails if the adapter is unknown, an address can't
/// be bound or a thread can't be started.
pub fn run(settings: &AgentSettings, adapter_name: &str) -> Result<(), Report<StartError>> {
    let (log, _log_guard) = log::logger_to(
        std::io::stdout(),
        &settings.log_level().to_string(),
        settings.name().as_str(),
    );
    let plugin = monitor::find(adapter_name)
        .ok_or_else(|| Report::new(StartError::Plugin).attach(format!("adapter={adapter_name}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Thread)?;
    let platform = (plugin.build)(settings);
    runtime.block_on(serve(settings, platform, &log))
}

async fn serve(
    settings: &AgentSettings,
    platform: AgentPlatform,
    log: &Logger,
) -> Result<(), Report<StartError>> {
    let clock = Clock::start();
    let signals = Signals::new().change_context(StartError::Thread)?;
    let mut metrics = Metrics::new("cuminlead_agent");
    let descriptors_max_count = descriptors::max_count(settings.descriptors_max_count().0);
    let admin_limits = AdminLimits::new(
        &mut metrics,
        settings.admin_connections_max_count().0,
        descriptors_max_count,
    );
    let reports = metrics.counters("place_reports", "Reports of the engine by result");
    let memory = MemoryGauges::new(&mut metrics);
    let configuration_reads = metrics.counters(
        "place_configuration_reads",
        "Reads of the configuration for entries by result",
    );
    let era_changes = metrics.counter(
        "place_registry_era_changes",
        "Restores of the registry from an older copy",
    );
    let connections_closed = metrics.counter(
        "place_connections_closed",
        "Connections of entries closed for newer ones",
    );
    let reservations = SharedReservationTable::new(ReservationTable::new());
    let is_reporting = Arc::new(AtomicBool::new(false));
    let address = *settings.peer_address();
    let listener = TcpListener::bind(address)
        .await
        .change_context(StartError::Bind)
        .attach_with(|| format!("address={address}"))?;
    let source = AgentAdmin {
        metrics,
        is_reporting: Arc::clone(&is_reporting),
    };
    admin::serve(*settings.admin_address(), Arc::new(source), admin_limits)?;
    let reader = ReportReader {
        clock,
        monitor: platform.monitor,
        reservations: reservations.clone(),
        is_reporting,
        reports,
        memory,
        log: log.clone(),
    };
    thread::Builder::new()
        .name("control".to_string())
        .spawn(move || reader.run())
        .change_context(StartError::Thread)?;
    if let Some(percent) = settings.prefill_share_percent() {
        let control = StageControl {
            clock,
            registry: platform.registry,
            orders: platform.orders,
            holder: settings.name().clone(),
            engine_address: *settings.backend_address(),
            reservations: reservations.clone(),
            zone_regions: settings.zone_regions().clone(),
            share: PrefillShare { percent: percent.0 },
            log: log.clone(),
            era_changes,
            watcher: RegistryWatcher::for_stale_listings(),
            engines: BTreeMap::new(),
        };
        thread::Builder::new()
            .name("stages".to_string())
            .spawn(move || control.run())
            .change_context(StartError::Thread)?;
    }
    let configuration = ConfigurationReader::spawn(
        clock,
        platform.configuration,
        configuration_reads,
        log.clone(),
    )?;
    let rpc = ReservationRpc::new(reservations, configuration, clock, log.clone());
    let service = PlacesServer::new(rpc).max_decoding_message_size(MESSAGE_MAX_BYTES);
    let entries_max_count = settings.entry_connections_max_count().0;
    let entries_max_count = entries_max_count.min(descriptors_max_count / 5 * 3);
    let incoming = BoundedIncoming::new(
        listener,
        usize::try_from(entries_max_count).unwrap_or(usize::MAX),
        connections_closed,
    );
    info!(log, "agent started"; "address" => %address, "engine" => %settings.backend_address());
    let serving = Server::builder()
        .max_concurrent_streams(STREAMS_MAX_COUNT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .http2_max_header_list_size(HEADERS_MAX_BYTES)
        .timeout(CALL_TIMEOUT)
        .add_service(service)
        .serve_with_incoming(incoming);
    tokio::select! {
        served = serving => served.change_context(StartError::Thread)?,
        () = signals.wait_for_stop(|| {
            info!(log, "SIGHUP received; changed settings take effect at the next start")
        }) => {}
    }
    info!(log, "agent stopped"; "address" => %address);
    Ok(())
}

/// Reads the engine's reports into the reservation table.
struct ReportReader {
    clock: Clock,
    monitor: Box<dyn EngineMonitor>,
    reservations: SharedReservationTable,
    is_reporting: Arc<AtomicBool>,
    reports: Counters,
    memory: MemoryGauges,
    log: Logger,
}

/// Gauges of the engine's KV memory and decode slots.
#[derive(Clone, Debug)]
struct MemoryGauges {
    tokens: Gauges,
    slots: Gauge,
    waiting: Gauge,
}

impl MemoryGauges {
    fn new(metrics: &mut Metrics) -> Self {
        let gauges = Self {
            tokens: metrics.gauges(
                "place_tokens",
                "Memory of the engine: in all, in use as reported, and highest use by forecast",
            ),
            slots: metrics.gauge("places_held", "Decode places that are held or in use"),
            waiting: metrics.gauge(
                "places_waiting",
                "Requests of teams that were refused for lack of room",
            ),
        };
        gauges.update(MemoryUse::default());
        gauges
    }

    fn update(&self, usage: MemoryUse) {
        let tokens = [
            ("total", usage.total_tokens),
            ("used", usage.used_tokens),
            ("forecast", usage.forecast_tokens),
        ];
        for (kind, tokens) in tokens {
            let value = i64::try_from(tokens.0).unwrap_or(i64::MAX);
            let label = Label::new("kind", kind);
            self.tokens.get_or_create(&label).set(value);
        }
        let held_count = i64::try_from(usage.held_count).unwrap_or(i64::MAX);
        self.slots.set(held_count);
        let waiting_count = i64::try_from(usage.waiting_count).unwrap_or(i64::MAX);
        self.waiting.set(waiting_count);
    }
}

impl ReportReader {
    fn run(mut self) {
        loop {
            let queried_at = self.clock.monotonic();
            let report = self.monitor.report();
            self.count(&report);
            let preempted = match report {
                Ok(report) => self.reservations.lock().apply_report(queried_at, report),
                Err(_) => {
                    self.reservations.lock().report_failed();
                    Vec::new()
                }
            };
            for request in preempted {
                info!(self.log, "request preempted by the engine"; "request" => request);
            }
            let (is_busy, usage) = {
                let reservations = self.reservations.lock();
                let is_busy = reservations.is_busy() || reservations.is_unavailable();
                (is_busy, reservations.memory_use())
            };
            self.memory.update(usage);
            thread::sleep(if is_busy {
                BUSY_REPORT_INTERVAL
            } else {
                IDLE_REPORT_INTERVAL
            });
        }
    }

    fn count<T>(&self, report: &Result<T, String>) {
        let result = if report.is_ok() { "read" } else { "failed" };
        self.reports
            .get_or_create(&Label::new("result", result))
            .inc();
        let was_reporting = self.is_reporting.swap(report.is_ok(), Ordering::Relaxed);
        match report {
            Ok(_) if !was_reporting => info!(self.log, "engine reports available"),
            Err(reason) if was_reporting => {
                warn!(self.log, "reading the engine's report failed"; "reason" => reason)
            }
            _ => {}
        }
    }
}

/// Data source of the admin address.
struct AgentAdmin {
    metrics: Metrics,
    is_reporting: Arc<AtomicBool>,
}

impl AdminSource for AgentAdmin {
    fn metrics(&self) -> String {
        self.metrics.encode().unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        self.is_reporting.load(Ordering::Relaxed)
    }

    fn status(&self) -> String {
        serde_json::json!({ "ready": self.is_ready() }).to_string()
    }
}
