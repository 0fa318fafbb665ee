//! Forwards a response to the caller while it arrives.
//!
//! Bytes are forwarded unchanged as they arrive. A stream that another server may resume is
//! forwarded in complete events. If a stream can't be finished, the connection is closed, so that
//! the caller does not take the stream for complete.
//!
//! A server that has gone silent may be unreachable, or may have preempted the stream while its
//! memory is full. The stream moves to another server if one has a slot for it; otherwise it stays
//! where it is, since a preempted stream goes on and no other server would continue it.
//!
//! The body of a failure is forwarded as it is and never continued elsewhere. What it says about its
//! server was recorded with its head, so its end adds nothing to that.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminlead_direct_core::{
    Call, CallSpec, EventBoundary, EventScanner, RequestKind, ServerKey, StepOutcome,
};
use cuminlead_quarantine::SOUND_AFTER;
use cuminlead_types::{DurationUs, TimeUs};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};
use slog::info;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until, timeout};

use crate::app::App;
use crate::body::Chunk;
use crate::caller_buffer::{CallerBuffer, CallerConnection, NotTaken};
use crate::crash_reports::{record_sound, report_if_crashed};
use crate::drive::{CallResult, InterruptedStream, drive, log_failure};
use crate::exchange::{CallerExchange, UNRESPONSIVE_AFTER_TARGETS, mark_unresponsive};
use crate::server_response::ArrivingResponse;

/// Content type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Response to a call that is forwarded, from its first chunk on.
pub struct Relay {
    /// State of the traffic thread.
    pub app: Rc<App>,
    /// Connection of the caller.
    pub connection: CallerConnection,
    /// Request of the caller.
    pub exchange: Rc<CallerExchange>,
    /// State of the call.
    pub call: Call,
    /// Name of the route, for metrics.
    pub route: String,
    /// Arrival of the request, for the latency at the end.
    pub arrived_at: TimeUs,
    /// Bytes forwarded so far.
    pub bytes_count: u64,
    /// Server of the current run, and the time of its last chunk.
    pub last_chunk: Option<(ServerKey, TimeUs)>,
    /// Longest time between two chunks so far.
    pub gap_max: DurationUs,
}

/// How a relayed stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    CallerDisconnected,
    CallerTooSlow,
    TimedOut,
    Lost,
}

impl RelayEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::CallerDisconnected => "caller_gone",
            Self::CallerTooSlow => "caller_slow",
            Self::TimedOut => "timed_out",
            Self::Lost => "lost",
        }
    }
}

/// Response whose body is forwarded.
pub enum RelayedResponse {
    /// Output of a run.
    Stream(Box<ArrivingResponse>),
    /// Response of a failed run.
    Failure(Box<ArrivingResponse>),
}

impl RelayedResponse {
    /// Status and headers for the caller.
    pub fn head(&self) -> (StatusCode, HeaderMap) {
        let (Self::Stream(response) | Self::Failure(response)) = self;
        (response.status, response.headers.clone())
    }
}

impl Relay {
    /// Forwards the response in a task of its own; returns the receiver of its chunks.
    pub fn start(self, response: RelayedResponse) -> UnboundedReceiver<Chunk> {
        let (buffer, receiver) = CallerBuffer::new(&self.app);
        tokio::task::spawn_local(self.run(response, buffer));
        receiver
    }

    async fn run(mut self, response: RelayedResponse, mut buffer: CallerBuffer) {
        let chunks = buffer.chunks();
        let deadline = Instant::from_std(self.app.clock.instant(self.exchange.deadline));
        let is_failure = matches!(response, RelayedResponse::Failure(_));
        let end = tokio::select! {
            end = self.forward(response, &mut buffer) => end,
            () = chunks.closed() => RelayEnd::CallerDisconnected,
            () = sleep_until(deadline) => RelayEnd::TimedOut,
        };
        if end == RelayEnd::Complete {
            // Sending fails only if the caller has disconnected.
            let _ = chunks.send(Chunk::End);
        }
        // While data of the server wait for the caller, the server is not the silent one.
        if matches!(end, RelayEnd::CallerDisconnected | RelayEnd::TimedOut) && !buffer.is_blocked {
            self.mark_unresponsive();
        }
        if end == RelayEnd::CallerTooSlow || (end == RelayEnd::TimedOut && buffer.is_blocked) {
            // The connection does not ask for further chunks, so closing the channel does not end
            // it.
            self.connection.close();
        }
        let total = self.app.now().since(self.arrived_at);
        if is_failure {
            info!(self.app.log, "failure of a server forwarded"; "end" => end.name(),
                "request" => &self.exchange.request.id, "bytes" => self.bytes_count);
            return;
        }
        self.app
            .metrics
            .count_stream(&self.route, end.name(), total, self.gap_max);
        info!(self.app.log, "stream ended"; "request" => &self.exchange.request.id,
            "end" => end.name(), "total_ms" => total.as_ms(), "gap_max_ms" => self.gap_max.as_ms(),
            "sends" => self.call.sends_count(), "bytes" => self.bytes_count);
    }

    async fn forward(&mut self, response: RelayedResponse, buffer: &mut CallerBuffer) -> RelayEnd {
        match response {
            RelayedResponse::Stream(response) => self.forward_stream(*response, buffer).await,
            RelayedResponse::Failure(response) => self.forward_failure(*response, buffer).await,
        }
    }

    async fn forward_failure(
        &mut self,
        mut response: ArrivingResponse,
        buffer: &mut CallerBuffer,
    ) -> RelayEnd {
        let mut sink = Sink {
            app: &self.app,
            spec: self.call.spec(),
            output: None,
            buffer,
            is_too_slow: false,
            bytes_count: &mut self.bytes_count,
            last_chunk: &mut self.last_chunk,
            gap_max: &mut self.gap_max,
        };
        match copy_bytes(&mut response, &mut sink).await {
            Ok(()) => {
                response.lease.finish();
                RelayEnd::Complete
            }
            Err(StepOutcome::Unreachable) if sink.is_too_slow => RelayEnd::CallerTooSlow,
            Err(StepOutcome::Unreachable) => RelayEnd::CallerDisconnected,
            Err(_) => {
                let (spec, server) = (self.call.spec(), response.lease.server);
                report_if_crashed(&self.app, &spec.service, server, &spec.prompt_parts);
                RelayEnd::Lost
            }
        }
    }

    async fn forward_stream(
        &mut self,
        mut response: ArrivingResponse,
        buffer: &mut CallerBuffer,
    ) -> RelayEnd {
        let is_resumable = self.exchange.kind == RequestKind::Stream { resumable: true };
        let mut scanner = EventScanner::new();
        let mut chunk_timeout = Some(self.chunk_timeout());
        loop {
            let server = response.lease.server;
            // The time until another server resumes counts as a gap, since the caller waits for it.
            let since = self.last_chunk.map_or(self.app.now(), |(_, at)| at);
            self.last_chunk = Some((server, since));
            let mut output = OutputProgress {
                began_at: self.app.now(),
                is_sound: false,
            };
            let mut sink = Sink {
                app: &self.app,
                spec: self.call.spec(),
                output: Some(&mut output),
                buffer,
                is_too_slow: false,
                bytes_count: &mut self.bytes_count,
                last_chunk: &mut self.last_chunk,
                gap_max: &mut self.gap_max,
            };
            let copied = if is_resumable {
                copy_events(&mut response, &mut sink, &mut scanner, chunk_timeout).await
            } else {
                copy_bytes(&mut response, &mut sink).await
            };
            let is_too_slow = sink.is_too_slow;
            let now = self.app.now();
            let mut silent_response;
            match copied {
                Ok(()) => {
                    response.lease.record_complete();
                    response.lease.finish();
                    if !output.is_sound {
                        let spec = self.call.spec();
                        record_sound(&self.app, &spec.service, &spec.prompt_parts);
                    }
                    let mut serving = self.app.serving.borrow_mut();
                    self.call.run_answered(now, &mut serving, server);
                    return RelayEnd::Complete;
                }
                Err(StepOutcome::Unreachable) if is_too_slow => return RelayEnd::CallerTooSlow,
                Err(StepOutcome::Unreachable) => return RelayEnd::CallerDisconnected,
                Err(outcome) => {
                    // The response of a silent server is kept for now. Any other connection is
                    // closed first, so that the lost run does not continue beside the next one.
                    silent_response = (outcome == StepOutcome::TimedOut).then_some(response);
                    let mut serving = self.app.serving.borrow_mut();
                    log_failure(
                        &self.app,
                        &self.exchange,
                        &serving,
                        server,
                        "stream",
                        outcome,
                    );
                    self.call.run_failed(now, &mut serving, server, outcome);
                    drop(serving);
                    if outcome == StepOutcome::Lost && !output.is_sound {
                        let spec = self.call.spec();
                        report_if_crashed(&self.app, &spec.service, server, &spec.prompt_parts);
                    }
                }
            }
            if !is_resumable {
                return RelayEnd::Lost;
            }
            if !scanner.may_resume() {
                // The caller has a part of an event, which only its own server completes.
                let Some(silent) = silent_response else {
                    return RelayEnd::Lost;
                };
                chunk_timeout = None;
                response = silent;
                continue;
            }
            let last_id = scanner.last_id().map(ToString::to_string);
            let interrupted = InterruptedStream {
                last_event_id: last_id.as_deref(),
                silent_response: &mut silent_response,
            };
            let result = drive(&self.app, &mut self.call, &self.exchange, Some(interrupted)).await;
            response = match (result, silent_response) {
                (CallResult::Streaming(next), _) => {
                    // The next server generates a partial event again.
                    drop(scanner.take_rest());
                    *next
                }
                (
                    CallResult::Answered(_) | CallResult::Failed(_) | CallResult::Refused(_),
                    Some(silent),
                ) => {
                    info!(self.app.log, "no server to move a silent stream to";
                        "request" => &self.exchange.request.id);
                    chunk_timeout = None;
                    silent
                }
                (
                    CallResult::Answered(_) | CallResult::Failed(_) | CallResult::Refused(_),
                    None,
                ) => return RelayEnd::Lost,
            };
        }
    }

    /// Marks the server as unresponsive if the caller disconnected or the deadline passed after a
    /// long time without a chunk.
    fn mark_unresponsive(&self) {
        let Some((server, last_at)) = self.last_chunk else {
            return;
        };
        let silence = self.app.now().since(last_at);
        if silence
            >= DurationUs(
                self.exchange
                    .latency_target
                    .0
                    .saturating_mul(UNRESPONSIVE_AFTER_TARGETS),
            )
        {
            mark_unresponsive(&self.app, server, silence);
        }
    }

    /// Time without a chunk after which another server resumes the stream.
    fn chunk_timeout(&self) -> Duration {
        let latency_target = self.call.spec().latency_target;
        Duration::from(DurationUs(latency_target.0.saturating_mul(2)))
    }
}

/// Forwards bytes as they arrive. A stream of events that ends inside an event was broken off: if
/// the end of the connection delimits it, nothing else tells.
async fn copy_bytes(
    response: &mut ArrivingResponse,
    sink: &mut Sink<'_>,
) -> Result<(), StepOutcome> {
    let content_type = response.headers.get(CONTENT_TYPE);
    let has_events = content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
    let mut boundary = EventBoundary::default();
    let mut next = Some(std::mem::take(&mut response.first));
    while let Some(data) = next {
        boundary.push(&data);
        sink.send(data).await?;
        next = next_data(response, sink).await?;
    }
    if has_events && !boundary.is_at_boundary() {
        return Err(StepOutcome::Lost);
    }
    Ok(())
}

/// Forwards complete events. Fails with [`StepOutcome::TimedOut`] after `chunk_timeout` without a
/// chunk.
async fn copy_events(
    response: &mut ArrivingResponse,
    sink: &mut Sink<'_>,
    scanner: &mut EventScanner,
    chunk_timeout: Option<Duration>,
) -> Result<(), StepOutcome> {
    let mut data = std::mem::take(&mut response.first);
    loop {
        let events = scanner.push(&data);
        if !events.is_empty() {
            sink.send(Bytes::from(events)).await?;
        }
        let next = match chunk_timeout {
            Some(chunk_timeout) => timeout(chunk_timeout, next_data(response, sink))
                .await
                .unwrap_or(Err(StepOutcome::TimedOut)),
            None => next_data(response, sink).await,
        };
        match next? {
            Some(next) => data = next,
            None => break,
        }
    }
    if scanner.is_at_boundary() {
        Ok(())
    } else {
        Err(StepOutcome::Lost)
    }
}

async fn next_data(
    response: &mut ArrivingResponse,
    sink: &mut Sink<'_>,
) -> Result<Option<Bytes>, StepOutcome> {
    let asked_at = sink.app.now();
    let next = response.rest.next().await?;
    sink.buffer
        .waited_for_server(sink.app.now().since(asked_at));
    if let Some(data) = &next {
        response.lease.count_received(data.len());
    }
    Ok(next)
}

/// Progress of the output of one run.
#[derive(Clone, Copy, Debug)]
struct OutputProgress {
    began_at: TimeUs,
    /// Whether the engine has generated output for [`SOUND_AFTER`].
    is_sound: bool,
}

/// Destination of the chunks of a response.
struct Sink<'a> {
    app: &'a Rc<App>,
    spec: &'a CallSpec,
    /// `None` for a body that is no output.
    output: Option<&'a mut OutputProgress>,
    buffer: &'a mut CallerBuffer,
    is_too_slow: bool,
    bytes_count: &'a mut u64,
    last_chunk: &'a mut Option<(ServerKey, TimeUs)>,
    gap_max: &'a mut DurationUs,
}

impl Sink<'_> {
    /// Sends a chunk to the caller; returns [`StepOutcome::Unreachable`] if the caller has
    /// disconnected or reads too slowly.
    async fn send(&mut self, data: Bytes) -> Result<(), StepOutcome> {
        *self.bytes_count += data.len() as u64;
        let now = self.app.now();
        if let Some(output) = &mut self.output
            && !output.is_sound
            && now.since(output.began_at) >= SOUND_AFTER
        {
            output.is_sound = true;
            record_sound(self.app, &self.spec.service, &self.spec.prompt_parts);
        }
        if let Some((_, last_at)) = self.last_chunk {
            *self.gap_max = now.since(*last_at).max(*self.gap_max);
            *last_at = now;
        }
        let sent = self.buffer.send(data).await;
        sent.map_err(|not_taken| {
            self.is_too_slow = not_taken == NotTaken::TooSlow;
            StepOutcome::Unreachable
        })
    }
}
