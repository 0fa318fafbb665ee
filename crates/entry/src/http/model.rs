//! Model calls.
//!
//! The traffic thread waits a short time for the first part of the answer, so that a refusal comes
//! as an HTTP status. After that a streamed answer begins: while it has no part to send it sends
//! comments, which is how a caller that went away is noticed, and a later error is sent as an event.

use std::collections::VecDeque;
use std::io::{self, Read};
use std::time::{Duration, Instant};

use astra::{Body, Response};
use cuminlead_entry_core::{CallerError, ErrorCode, ModelCall, ModelRequest};
use cuminlead_lists::ModelGrant;
use cuminlead_process::feed::FeedView;
use cuminlead_protocol::{FinishReason, ModelTarget};
use cuminlead_types::{Bytes, DurationUs, TimeUs, Tokens};
use slog::info;

use crate::controller::ControlEvent;
use crate::driver::{CallDriver, Output};
use crate::http::answer::{self, refusal};
use crate::http::chat::{AnswerShape, ModelBody, Shape, Usage};
use crate::http::handler::{Caller, HttpContext, OpenRequest, denied};

/// Wait for a first part before a streamed answer begins.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Interval of comments on a streamed answer without parts.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the next part of an answer that is not streamed; calls end on their own before.
const WHOLE_WAIT: Duration = Duration::from_secs(120);

/// Answers a model call.
pub fn answer(
    context: &HttpContext,
    view: &FeedView,
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
    context.check_rate(&caller.customer, grant.plan)?;
    let mut span = context
        .driver
        .tracing
        .hop("model_call", &caller.traceparent);
    span.attribute("cuminlead.request", caller.request.to_string());
    let prompt_tokens = Tokens::estimate(&prompt);
    let request = ModelRequest {
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
        traceparent: span.traceparent().to_string(),
    };
    let call = ModelCall::new(context.calls.clone(), request);
    let driver = CallDriver::start(context.driver.clone(), Box::new(call));
    let progress = Progress {
        context: context.clone(),
        caller,
        first_target_us: grant.plan.first_token_us,
        between_target_us: grant.plan.between_tokens_us,
        started_at_us: context.driver.clock.mono(),
        first_at_us: None,
        last_at_us: TimeUs::ZERO,
        prompt_tokens,
        output_tokens: Tokens::ZERO,
        output_bytes: Bytes::ZERO,
    };
    let answer_shape = AnswerShape {
        shape,
        request: progress.caller.request,
        model: body.model,
        created_s: context.driver.clock.now().unix_ms.0 / 1_000,
    };
    let stream = AnswerStream {
        driver: Some(driver),
        progress,
        shape: answer_shape,
        pending: VecDeque::new(),
        first: None,
        is_done: false,
        _open: open,
        _span: span,
    };
    if body.stream {
        stream.respond()
    } else {
        stream.respond_whole()
    }
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

    fn fail(&self, error: &CallerError) {
        self.context.driver.metrics.count_error(error.code);
        info!(self.context.log, "request failed"; "request" => %self.caller.request,
            "customer" => %self.caller.customer, "code" => %error.code,
            "outcome" => %error.outcome, "reason" => &error.message);
    }
}

/// Answer of a model call while it is made; dropped by the server when the caller is gone.
struct AnswerStream {
    driver: Option<CallDriver>,
    progress: Progress,
    shape: AnswerShape,
    pending: VecDeque<u8>,
    first: Option<Output>,
    is_done: bool,
    _open: OpenRequest,
    _span: cuminlead_telemetry::HopSpan,
}

impl AnswerStream {
    fn respond(mut self) -> Result<Response, CallerError> {
        self.first = self.next(FIRST_WAIT);
        if let Some(Output::Error(error)) = self.first.take_if(|o| matches!(o, Output::Error(_))) {
            self.is_done = true;
            return Err(error);
        }
        Ok(answer::stream(
            self.progress.caller.request,
            Body::wrap_reader(self),
        ))
    }

    fn respond_whole(mut self) -> Result<Response, CallerError> {
        let mut text = String::new();
        loop {
            match self.next(WHOLE_WAIT) {
                Some(Output::Delivery(delivery)) => {
                    self.progress.add(&delivery.text, delivery.tokens);
                    text.push_str(&delivery.text);
                    if let Some(finish) = delivery.finish {
                        return Ok(self.finish_whole(&text, finish));
                    }
                }
                Some(Output::Error(error)) => {
                    self.is_done = true;
                    return Err(error);
                }
                Some(Output::Response(_)) => {}
                None => return Err(refusal(ErrorCode::TimedOut, "no answer in time")),
            }
        }
    }

    fn finish_whole(&mut self, text: &str, finish: FinishReason) -> Response {
        self.is_done = true;
        let usage = Usage {
            prompt_tokens: self.progress.prompt_tokens,
            output_tokens: self.progress.output_tokens,
        };
        let servers = self.driver.as_ref().map(|driver| driver.servers().to_vec());
        if let Some(driver) = &self.driver {
            self.progress.finish(driver);
        }
        let body = self.shape.whole(text, finish, usage);
        answer::whole(
            self.progress.caller.request,
            &servers.unwrap_or_default(),
            body,
        )
    }

    fn next(&mut self, wait_max: Duration) -> Option<Output> {
        if let Some(first) = self.first.take() {
            return Some(first);
        }
        self.driver.as_mut()?.next_output(wait_max)
    }

    fn fill(&mut self) {
        let asked_at = Instant::now();
        match self.next(COMMENT_INTERVAL) {
            Some(Output::Delivery(delivery)) => {
                self.progress.add(&delivery.text, delivery.tokens);
                self.write_event(&self.shape.chunk(&delivery.text, delivery.finish));
                if delivery.finish.is_some() {
                    self.finish_stream();
                }
            }
            Some(Output::Error(error)) => {
                self.progress.fail(&error);
                let json = answer::error_json(self.progress.caller.request, &error);
                self.pending
                    .extend(format!("event: error\ndata: {json}\n\n").into_bytes());
                self.is_done = true;
            }
            Some(Output::Response(_)) => {}
            None if asked_at.elapsed() >= COMMENT_INTERVAL => self.pending.extend(b": waiting\n\n"),
            None => self.is_done = true,
        }
    }

    fn write_event(&mut self, data: &str) {
        self.pending
            .extend(format!("data: {data}\n\n").into_bytes());
    }

    fn finish_stream(&mut self) {
        if let Some(driver) = &self.driver {
            self.progress.finish(driver);
            let servers = answer::server_names(driver.servers());
            let request = self.progress.caller.request;
            let comment = format!(": servers={servers} request={request}\n\n");
            self.pending.extend(comment.into_bytes());
        }
        self.write_event("[DONE]");
        self.is_done = true;
    }
}

impl Read for AnswerStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.pending.is_empty() {
            if self.is_done {
                return Ok(0);
            }
            self.fill();
        }
        self.pending.read(buffer)
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        let Some(driver) = self.driver.take() else {
            return;
        };
        if !self.is_done {
            info!(self.progress.context.log, "caller gone";
                "request" => %self.progress.caller.request);
        }
        driver.close(!self.is_done);
    }
}
