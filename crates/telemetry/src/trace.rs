//! A span for each hop, with W3C trace context.
//!
//! A thread of the OpenTelemetry library exports spans to a collector in batches. When the
//! collector is unreachable, the batch queue drops spans and traffic does not wait. Without a
//! collector address no spans are created, and the caller's trace context is forwarded unchanged.

use std::collections::HashMap;
use std::time::Duration;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{
    Span as _, SpanKind, TraceContextExt, Tracer as _, TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{ExporterBuildError, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, Span};

const TRACEPARENT: &str = "traceparent";
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest `traceparent` that is accepted from a caller; the W3C format has 55 characters.
const TRACEPARENT_MAX_BYTES: usize = 128;

/// Creates and exports spans; creates none without a collector.
#[derive(Clone, Debug, Default)]
pub struct Tracing {
    provider: Option<SdkTracerProvider>,
}

impl Tracing {
    /// Sets up tracing for the process `process`, with the IP address and port of a collector if
    /// there is one. Must be called inside the tokio runtime that runs the exporter's connection.
    pub fn new(collector: Option<&str>, process: &str) -> Result<Self, ExporterBuildError> {
        let Some(address) = collector else {
            return Ok(Self::default());
        };
        let exporter = SpanExporter::builder()
            .with_tonic()
            .with_endpoint(format!("http://{address}"))
            .with_timeout(EXPORT_TIMEOUT)
            .build()?;
        let resource = Resource::builder()
            .with_service_name(process.to_string())
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource)
            .build();
        Ok(Self {
            provider: Some(provider),
        })
    }

    /// Starts the span of a hop as a child of `traceparent`. A malformed `traceparent` counts as
    /// absent.
    pub fn hop(&self, name: &'static str, traceparent: &str) -> HopSpan {
        let Some(provider) = &self.provider else {
            return HopSpan {
                span: None,
                traceparent: validated(traceparent),
            };
        };
        let tracer: SdkTracer = provider.tracer("cuminlead");
        let parent = extract(traceparent);
        let span = tracer
            .span_builder(name)
            .with_kind(SpanKind::Internal)
            .start_with_context(&tracer, &parent);
        let traceparent = inject(&span);
        HopSpan {
            span: Some(span),
            traceparent,
        }
    }

    /// Exports the remaining spans; waits at most 2 s for the collector.
    pub fn shutdown(&self) {
        if let Some(provider) = &self.provider {
            // The process exits in any case; spans that cannot be exported are lost.
            let _ = provider.shutdown_with_timeout(EXPORT_TIMEOUT);
        }
    }
}

fn validated(traceparent: &str) -> String {
    let is_valid = traceparent.len() <= TRACEPARENT_MAX_BYTES
        && traceparent
            .bytes()
            .all(|byte| byte.is_ascii_hexdigit() || byte == b'-');
    if is_valid {
        traceparent.to_string()
    } else {
        String::new()
    }
}

fn extract(traceparent: &str) -> Context {
    let carrier = HashMap::from([(TRACEPARENT.to_string(), validated(traceparent))]);
    TraceContextPropagator::new().extract(&carrier)
}

fn inject(span: &Span) -> String {
    let context = Context::new().with_remote_span_context(span.span_context().clone());
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&context, &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}

/// Span of one hop; it ends when this is dropped.
#[derive(Debug)]
pub struct HopSpan {
    span: Option<Span>,
    traceparent: String,
}

impl HopSpan {
    /// Trace context for the next hop, as a W3C `traceparent`; empty when there is none.
    pub fn traceparent(&self) -> &str {
        &self.traceparent
    }

    /// Adds an attribute to the span; does nothing without a collector.
    pub fn attribute(&mut self, name: &'static str, value: impl Into<String>) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(name, value.into()));
        }
    }
}
