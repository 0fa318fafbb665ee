//! Model calls.
//!
//! A traffic thread drives the call and sends the parts of the answer to the connection's task. The
//! task waits a short time for the first part, so that a refusal comes as an HTTP status; after
//! that a streamed answer begins and a later error is sent as an event. A caller that went away is
//! noticed when the connection's task drops its end of the channel.

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
use crate::http::answer::{self, refusal};
use crate::http::chat::{AnswerShape, ModelBody, Shape, Usage};
use crate::http::handler::{Caller, HttpContext, OpenRequest, denied};

/// Wait for a first part before a streamed answer begins.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Interval at which a traffic thread looks whether its caller is still there.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Part of an answer on its way to the connection's task.
enum Part {
    /// Server-sent events.
    Events(String),
    /// Whole answer.
    Whole(Response),
    /// The request ended with an error.
    Error(CallerError),
}

/// Answers a model call.
pub async fn answer(
    context: &HttpContext,
    view: &Arc<FeedView>,
    caller: Caller,
    shape: Shape,
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
        .take_prompt(shape)
        .map_err(|message| refusal(ErrorCode::Malformed, message))?;
    let grant = choose(view, &caller, &body)?;
    context.check_rate(&caller.customer, grant.plan).await?;
    let mut span = context
        .driver
        .tracing
        .hop("model_call", &caller.traceparent);
    span.attribute("cuminlead.request", caller.request.to_string());
    let task = AnswerTask {
        progress: Progress::new(context, &caller, &grant, Tokens::estimate(&prompt)),
        shape: AnswerShape {
            shape,
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
    task: &AnswerTask,
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
    mut parts: mpsc::UnboundedReceiver<Part>,
    open: OpenRequest,
) -> Result<Response, CallerError> {
    let ended = || refusal(ErrorCode::BackendFailed, "the entry failed");
    if !is_streamed {
        return match parts.recv().await.ok_or_else(ended)? {
            Part::Whole(response) => Ok(response.map(|body| hold_open(body, open))),
            Part::Error(error) => Err(error),
            Part::Events(_) => Err(ended()),
        };
    }
    let first = match tokio::time::timeout(FIRST_WAIT, parts.recv()).await {
        Ok(Some(Part::Error(error))) => return Err(error),
        Ok(first) => first,
        Err(_) => None,
    };
    let request = caller.request;
    let metrics = context.driver.metrics.clone();
    let rest = UnboundedReceiverStream::new(parts);
    let body = tokio_stream::iter(first).chain(rest).map(move |part| {
        let _ = &open;
        let text = match part {
            Part::Events(text) => text,
            Part::Error(error) => {
                metrics.count_error(error.code);
                format!(
                    "event: error\ndata: {}\n\n",
                    answer::error_json(request, &error)
                )
            }
            Part::Whole(_) => String::new(),
        };
        Ok::<_, std::convert::Infallible>(BodyBytes::from(text))
    });
    Ok(answer::stream(request, Body::from_stream(body)))
}

/// Keeps a request counted as open until its body was sent.
pub fn hold_open(body: Body, open: OpenRequest) -> Body {
    let chunks = body.into_data_stream().map(move |chunk| {
        let _ = &open;
        chunk
    });
    Body::from_stream(chunks)
}

fn choose<'a>(
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
        .map_err(denied)
}

/// Latencies and size of an answer.
struct Progress {
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

impl Progress {
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
            started_at_us: context.driver.clock.mono(),
            first_at_us: None,
            last_at_us: TimeUs::ZERO,
            prompt_tokens,
            output_tokens: Tokens::ZERO,
            output_bytes: Bytes::ZERO,
        }
    }

    fn add(&mut self, text: &str, tokens: Tokens) {
        let now = self.context.driver.clock.mono();
        self.first_at_us.get_or_insert(now);
        self.last_at_us = now;
        self.output_tokens += tokens;
        self.output_bytes += Bytes(text.len() as u64);
    }

    fn finish(&self, driver: &CallDriver) {
        let first_at_us = self.first_at_us.unwrap_or(self.last_at_us);
        let first_token_us = first_at_us.since(self.started_at_us);
        let gaps = self.output_tokens.0.saturating_sub(1).max(1);
        let between_us = DurationUs(self.last_at_us.since(first_at_us).0 / gaps);
        let is_good =
            first_token_us <= self.first_target_us && between_us <= self.between_target_us;
        self.context
            .driver
            .metrics
            .count_model(first_token_us, between_us, is_good);
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
            "servers" => answer::server_names(driver.servers()),
            "first_token_ms" => first_token_us.as_ms(), "output_tokens" => self.output_tokens.0,
            "within_targets" => is_good);
    }
}

/// Work of the traffic thread of a model call.
struct AnswerTask {
    progress: Progress,
    shape: AnswerShape,
    is_streamed: bool,
    text: String,
    span: HopSpan,
}

impl AnswerTask {
    fn run(mut self, mut driver: CallDriver, parts: &mpsc::UnboundedSender<Part>) {
        driver.start();
        loop {
            let output = driver.next_output(CALLER_CHECK_INTERVAL);
            if parts.is_closed() {
                info!(self.progress.context.log, "caller gone";
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

    /// Sends a part of the answer; whether it was the last one. A caller that is gone is noticed by
    /// the next check.
    fn send(
        &mut self,
        output: Output,
        driver: &CallDriver,
        parts: &mpsc::UnboundedSender<Part>,
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
                    (Part::Whole(self.whole(driver, finish)), true)
                } else {
                    let events = self.events(driver, &delivery.text, delivery.finish);
                    (Part::Events(events), delivery.finish.is_some())
                }
            }
            Output::Error(error) => {
                info!(self.progress.context.log, "request failed";
                    "request" => %self.progress.caller.request, "code" => %error.code,
                    "outcome" => %error.outcome, "reason" => &error.message);
                (Part::Error(error), true)
            }
            Output::Response(_) => return false,
        };
        // A caller that is gone needs no answer.
        let _ = parts.send(part);
        is_last
    }

    fn whole(&self, driver: &CallDriver, finish: FinishReason) -> Response {
        let usage = Usage {
            prompt_tokens: self.progress.prompt_tokens,
            output_tokens: self.progress.output_tokens,
        };
        let body = self.shape.whole(&self.text, finish, usage);
        answer::whole(self.progress.caller.request, driver.servers(), body)
    }

    fn events(&self, driver: &CallDriver, text: &str, finish: Option<FinishReason>) -> String {
        let mut events = format!("data: {}\n\n", self.shape.chunk(text, finish));
        if finish.is_some() {
            let servers = answer::server_names(driver.servers());
            let request = self.progress.caller.request;
            events.push_str(&format!(": servers={servers} request={request}\n\n"));
            events.push_str("data: [DONE]\n\n");
        }
        events
    }
}
