//! Model calls.
//!
//! A traffic thread runs the call and sends the parts of the response to the connection's task. For
//! a streamed response, the task waits a short time for the first part, so that an early error is
//! returned with its HTTP status. Once the stream has begun, an error is sent as an event. When the
//! caller disconnects, the connection's task drops its end of the channel, which the traffic thread
//! checks periodically.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes as BodyBytes;
use cuminlead_entry_core::{CallerError, ErrorCode, ModelCall, ModelRequest, MonitoredCall};
use cuminlead_lists::ModelGrant;
use cuminlead_process::feed::FeedView;
use cuminlead_protocol::{FinishReason, ModelTarget};
use cuminlead_telemetry::HopSpan;
use cuminlead_types::{Bytes, DurationUs, TimeUs, Tokens};
use slog::info;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::controller::ControlEvent;
use crate::driver::{CallDriver, Output};
use crate::http::completion::{CompletionApi, CompletionFormat, ModelBody, Usage};
use crate::http::handler::{Caller, HttpContext, OpenRequest, denial_error};
use crate::http::response::{self, refusal};

/// Time to wait for the first part or an error before a streamed response begins with status 200.
const FIRST_PART_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a traffic thread checks whether its caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Message from the traffic thread to the connection's task.
enum ResponsePart {
    /// Server-sent events of a streamed response.
    Events(String),
    /// Response that is not streamed.
    Complete(Response),
    Error(CallerError),
}

/// Runs a model call and returns its response.
pub async fn handle(
    context: &HttpContext,
    view: &Arc<FeedView>,
    caller: Caller,
    api: CompletionApi,
    body: &[u8],
    open: OpenRequest,
) -> Result<Response, CallerError> {
    let mut body: ModelBody = serde_json::from_slice(body).map_err(|error| {
        refusal(
            ErrorCode::Malformed,
            format!("the body is not valid: {error}"),
        )
    })?;
    let prompt = body
        .take_prompt(api)
        .map_err(|message| refusal(ErrorCode::Malformed, message))?;
    let grant = select_model(view, &caller, &body)?;
    context.check_rate(&caller.customer, grant.plan).await?;
    let mut span = context
        .driver
        .tracing
        .hop("model_call", &caller.traceparent);
    span.attribute("cuminlead.request", caller.request.to_string());
    let task = ModelCallTask {
        progress: OutputProgress::new(context, &caller, &grant, Tokens::estimate(&prompt)),
        format: CompletionFormat {
            api,
            request: caller.request,
            model: body.model.clone(),
            created_s: context.driver.clock.now().unix_ms.0 / 1_000,
        },
        is_streamed: body.stream,
        text: String::new(),
        span,
    };
    let request = request(context, view, &caller, &grant, &body, prompt, &task);
    let request_id = request.id;
    let call = ModelCall::new(context.calls.clone(), request);
    let call = MonitoredCall::new(request_id, Box::new(call));
    let driver = CallDriver::new(context.driver.clone(), Box::new(call));
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || task.run(driver, &sender));
    respond(context, &caller, body.stream, receiver, open).await
}

fn request(
    context: &HttpContext,
    view: &FeedView,
    caller: &Caller,
    grant: &ModelGrant<'_>,
    body: &ModelBody,
    prompt: String,
    task: &ModelCallTask,
) -> ModelRequest {
    ModelRequest {
        id: caller.request,
        entry: context.entry.clone(),
        customer: caller.customer.clone(),
        target: ModelTarget {
            model: grant.allowance.model.clone(),
            adapter: grant.allowance.adapter.clone(),
            version: grant.allowance.version.clone(),
        },
        priority: grant.allowance.priority,
        servers: grant.allowance.servers.clone(),
        prompt,
        output_max_tokens: body.output_max_tokens(),
        first_token_us: grant.plan.first_token_us,
        lists_revision: view.lists.revision,
        hosts_revision: view.hosts.revision,
        traceparent: task.span.traceparent().to_string(),
    }
}

async fn respond(
    context: &HttpContext,
    caller: &Caller,
    is_streamed: bool,
    mut parts: mpsc::UnboundedReceiver<ResponsePart>,
    open: OpenRequest,
) -> Result<Response, CallerError> {
    let task_failed = || refusal(ErrorCode::BackendFailed, "the entry failed");
    if !is_streamed {
        return match parts.recv().await.ok_or_else(task_failed)? {
            ResponsePart::Complete(response) => {
                Ok(response.map(|body| keep_request_open(body, open)))
            }
            ResponsePart::Error(error) => Err(error),
            ResponsePart::Events(_) => Err(task_failed()),
        };
    }
    let first = match tokio::time::timeout(FIRST_PART_TIMEOUT, parts.recv()).await {
        Ok(Some(ResponsePart::Error(error))) => return Err(error),
        Ok(first) => first,
        Err(_) => None,
    };
    let request = caller.request;
    let metrics = context.driver.metrics.clone();
    let rest = UnboundedReceiverStream::new(parts);
    let body = tokio_stream::iter(first).chain(rest).map(move |part| {
        let _ = &open;
        let text = match part {
            ResponsePart::Events(text) => text,
            ResponsePart::Error(error) => {
                metrics.count_error(error.code);
                format!(
                    "event: error\ndata: {}\n\n",
                    response::error_json(request, &error)
                )
            }
            ResponsePart::Complete(_) => String::new(),
        };
        Ok::<_, std::convert::Infallible>(BodyBytes::from(text))
    });
    Ok(response::stream(request, Body::from_stream(body)))
}

/// Keeps a request counted as open until its response body is sent.
pub fn keep_request_open(body: Body, open: OpenRequest) -> Body {
    let chunks = body.into_data_stream().map(move |chunk| {
        let _ = &open;
        chunk
    });
    Body::from_stream(chunks)
}

fn select_model<'a>(
    view: &'a FeedView,
    caller: &Caller,
    body: &ModelBody,
) -> Result<ModelGrant<'a>, CallerError> {
    let malformed =
        |name: &str| refusal(ErrorCode::Malformed, format!("{name} is not a valid name"));
    let model = body.model.parse().map_err(|_| malformed("model"))?;
    let adapter = body.adapter.as_deref().map(str::parse).transpose();
    let adapter = adapter.map_err(|_| malformed("adapter"))?;
    let version = body.version.as_deref().map(str::parse).transpose();
    let version = version.map_err(|_| malformed("version"))?;
    view.lists
        .choose_model(&caller.customer, &model, adapter.as_ref(), version.as_ref())
        .map_err(denial_error)
}

/// Latencies and size of the output of one call.
struct OutputProgress {
    context: HttpContext,
    caller: Caller,
    first_target_us: DurationUs,
    between_target_us: DurationUs,
    started_at_us: TimeUs,
    first_at_us: Option<TimeUs>,
    last_at_us: TimeUs,
    prompt_tokens: Tokens,
    output_tokens: Tokens,
    output_bytes: Bytes,
}

impl OutputProgress {
    fn new(
        context: &HttpContext,
        caller: &Caller,
        grant: &ModelGrant<'_>,
        prompt_tokens: Tokens,
    ) -> Self {
        Self {
            context: context.clone(),
            caller: caller.clone(),
            first_target_us: grant.plan.first_token_us,
            between_target_us: grant.plan.between_tokens_us,
            started_at_us: context.driver.clock.monotonic(),
            first_at_us: None,
            last_at_us: TimeUs::ZERO,
            prompt_tokens,
            output_tokens: Tokens::ZERO,
            output_bytes: Bytes::ZERO,
        }
    }

    fn add(&mut self, text: &str, tokens: Tokens) {
        let now = self.context.driver.clock.monotonic();
        self.first_at_us.get_or_insert(now);
        self.last_at_us = now;
        self.output_tokens += tokens;
        self.output_bytes += Bytes(text.len() as u64);
    }

    fn finish(&self, driver: &CallDriver) {
        let first_at_us = self.first_at_us.unwrap_or(self.last_at_us);
        let first_token_us = first_at_us.since(self.started_at_us);
        let gaps = self.output_tokens.0.saturating_sub(1).max(1);
        let between_tokens_us = DurationUs(self.last_at_us.since(first_at_us).0 / gaps);
        let is_within_targets =
            first_token_us <= self.first_target_us && between_tokens_us <= self.between_target_us;
        self.context.driver.metrics.count_model_call(
            first_token_us,
            between_tokens_us,
            is_within_targets,
        );
        if let Some(server) = driver.servers().first() {
            let event = ControlEvent::Answered {
                server: server.clone(),
                size: self.output_bytes,
            };
            // The control thread outlives the calls of its process.
            let _ = self.context.driver.control.send(event);
        }
        info!(self.context.log, "request answered"; "request" => %self.caller.request,
            "customer" => %self.caller.customer,
            "servers" => response::server_names(driver.servers()),
            "first_token_ms" => first_token_us.as_ms(), "output_tokens" => self.output_tokens.0,
            "within_targets" => is_within_targets);
    }
}

/// Work that a model call does in its traffic thread.
struct ModelCallTask {
    progress: OutputProgress,
    format: CompletionFormat,
    is_streamed: bool,
    text: String,
    span: HopSpan,
}

impl ModelCallTask {
    fn run(mut self, mut driver: CallDriver, parts: &mpsc::UnboundedSender<ResponsePart>) {
        driver.start();
        loop {
            let output = driver.next_output(CALLER_CHECK_INTERVAL);
            if parts.is_closed() {
                info!(self.progress.context.log, "caller disconnected";
                    "request" => %self.progress.caller.request);
                return driver.close(true);
            }
            if let Some(output) = output
                && self.send(output, &driver, parts)
            {
                return driver.close(false);
            }
        }
    }

    /// Sends a part of the response. Returns whether it was the last one.
    fn send(
        &mut self,
        output: Output,
        driver: &CallDriver,
        parts: &mpsc::UnboundedSender<ResponsePart>,
    ) -> bool {
        let (part, is_last) = match output {
            Output::Delivery(delivery) => {
                self.progress.add(&delivery.text, delivery.tokens);
                if delivery.finish.is_some() {
                    self.progress.finish(driver);
                }
                if !self.is_streamed {
                    self.text.push_str(&delivery.text);
                    let Some(finish) = delivery.finish else {
                        return false;
                    };
                    (ResponsePart::Complete(self.complete(driver, finish)), true)
                } else {
                    let events = self.events(driver, &delivery.text, delivery.finish);
                    (ResponsePart::Events(events), delivery.finish.is_some())
                }
            }
            Output::Error(error) => {
                info!(self.progress.context.log, "request failed";
                    "request" => %self.progress.caller.request, "code" => %error.code,
                    "outcome" => %error.outcome, "reason" => &error.message);
                (ResponsePart::Error(error), true)
            }
            Output::Response(_) => return false,
        };
        // Fails only when the caller has disconnected; `run` checks for that after each output.
        let _ = parts.send(part);
        is_last
    }

    fn complete(&self, driver: &CallDriver, finish: FinishReason) -> Response {
        let usage = Usage {
            prompt_tokens: self.progress.prompt_tokens,
            output_tokens: self.progress.output_tokens,
        };
        let body = self.format.complete(&self.text, finish, usage);
        response::complete(self.progress.caller.request, driver.servers(), body)
    }

    fn events(&self, driver: &CallDriver, text: &str, finish: Option<FinishReason>) -> String {
        let mut events = format!("data: {}\n\n", self.format.chunk(text, finish));
        if finish.is_some() {
            let servers = response::server_names(driver.servers());
            let request = self.progress.caller.request;
            events.push_str(&format!(": servers={servers} request={request}\n\n"));
            events.push_str("data: [DONE]\n\n");
        }
        events
    }
}
