//! Trace collector: accepts the OTLP exports of entries and agents.
//!
//! It serves OTLP over gRPC, which the processes export to, and stores the spans in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use opentelemetry_proto::tonic::collector::trace::v1::trace_service_server::{
    TraceService, TraceServiceServer,
};
use opentelemetry_proto::tonic::collector::trace::v1::{
    ExportTraceServiceRequest, ExportTraceServiceResponse,
};
use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::{ResourceSpans, Span};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// Resource attribute with the kind of the exporting process.
const PROCESS_ATTRIBUTE: &str = "service.name";

/// How the collector handles an export.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CollectorMode {
    /// Stores the spans.
    #[default]
    Keep,
    /// Reads the request and never responds.
    Hang,
    /// Responds with status `UNAVAILABLE`, which exporters retry.
    Refuse,
    /// Responds with status `INTERNAL`, which exporters do not retry.
    Fail,
}

/// One exported span.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReceivedSpan {
    /// Kind of the process, such as `cuminlead-entry`.
    pub process: String,
    /// Span name.
    pub name: String,
    /// Trace id in hexadecimal.
    pub trace: String,
    /// Span id in hexadecimal.
    pub id: String,
    /// Id of the parent span in hexadecimal; empty for a root span.
    pub parent: String,
}

/// Running collector; dropping it stops the server.
pub struct Collector {
    address: SocketAddr,
    received: Arc<Mutex<Received>>,
    _runtime: Runtime,
}

#[derive(Debug, Default)]
struct Received {
    requests_count: usize,
    spans: Vec<ReceivedSpan>,
}

struct Service {
    mode: CollectorMode,
    received: Arc<Mutex<Received>>,
}

impl Collector {
    /// Starts a collector on a free loopback port.
    pub fn start(mode: CollectorMode) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let received = Arc::default();
        let service = TraceServiceServer::new(Service {
            mode,
            received: Arc::clone(&received),
        });
        let server = Server::builder().add_service(service);
        runtime.spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        Ok(Self {
            address,
            received,
            _runtime: runtime,
        })
    }

    /// Address for the setting `collector_address`.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of export requests received, in every mode.
    pub fn requests_count(&self) -> usize {
        lock(&self.received).requests_count
    }

    /// Stored spans of a trace, in order of arrival.
    pub fn spans(&self, trace: &str) -> Vec<ReceivedSpan> {
        let received = lock(&self.received);
        let spans = received.spans.iter().filter(|span| span.trace == trace);
        spans.cloned().collect()
    }

    /// Number of stored spans of a trace, keyed by `process name`.
    pub fn counts(&self, trace: &str) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for span in self.spans(trace) {
            *counts
                .entry(format!("{} {}", span.process, span.name))
                .or_default() += 1;
        }
        counts
    }

    /// Trace ids of all stored spans.
    pub fn traces(&self) -> BTreeSet<String> {
        let received = lock(&self.received);
        let traces = received.spans.iter().map(|span| span.trace.clone());
        traces.collect()
    }
}

fn lock(received: &Mutex<Received>) -> MutexGuard<'_, Received> {
    received.lock().unwrap_or_else(PoisonError::into_inner)
}

#[tonic::async_trait]
impl TraceService for Service {
    async fn export(
        &self,
        request: Request<ExportTraceServiceRequest>,
    ) -> Result<Response<ExportTraceServiceResponse>, Status> {
        lock(&self.received).requests_count += 1;
        match self.mode {
            CollectorMode::Keep => {
                let spans = request.into_inner().resource_spans.into_iter();
                let spans = spans.flat_map(received_spans);
                lock(&self.received).spans.extend(spans);
                Ok(Response::new(ExportTraceServiceResponse::default()))
            }
            CollectorMode::Hang => pending().await,
            CollectorMode::Refuse => Err(Status::unavailable("told to refuse")),
            CollectorMode::Fail => Err(Status::internal("told to fail")),
        }
    }
}

fn received_spans(group: ResourceSpans) -> Vec<ReceivedSpan> {
    let process = process_of(group.resource.as_ref());
    let spans = group.scope_spans.into_iter().flat_map(|scope| scope.spans);
    spans.map(|span| received_span(&process, &span)).collect()
}

fn received_span(process: &str, span: &Span) -> ReceivedSpan {
    ReceivedSpan {
        process: process.to_string(),
        name: span.name.clone(),
        trace: hex(&span.trace_id),
        id: hex(&span.span_id),
        parent: hex(&span.parent_span_id),
    }
}

fn process_of(resource: Option<&Resource>) -> String {
    let attributes = resource.map(|resource| resource.attributes.as_slice());
    let mut attributes = attributes.unwrap_or_default().iter();
    let name = attributes.find(|attribute| attribute.key == PROCESS_ATTRIBUTE);
    match name.and_then(|name| name.value.clone()?.value) {
        Some(Value::StringValue(name)) => name,
        _ => String::new(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
