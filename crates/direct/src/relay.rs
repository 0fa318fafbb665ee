//! Passes a stream on.
//!
//! Bytes go on as they came, except that a stream which another server may continue goes on in
//! whole events. A stream that cannot be finished ends its connection, never as if it were whole.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminlead_direct_core::{Call, EventScanner, RequestKind, ServerKey, StepOutcome};
use cuminlead_types::{DurationUs, TimeUs};
use http_body_util::BodyExt;
use slog::info;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep_until, timeout};

use crate::app::App;
use crate::body::Part;
use crate::drive::{Driven, drive, log_failure};
use crate::exchange::{CallerExchange, PartialAnswer, SILENCE_GOALS, note_silence};

/// Parts that may wait for a caller that reads slowly.
const PARTS_MAX: usize = 16;

/// Stream of a call, from its first part on.
pub struct Relay {
    /// State of the traffic thread.
    pub app: Rc<App>,
    /// Request.
    pub exchange: Rc<CallerExchange>,
    /// State of the request.
    pub call: Call,
    /// Name of its route.
    pub route: String,
    /// When the request arrived, for the latency at the end.
    pub arrived_at: TimeUs,
    /// Bytes passed on.
    pub bytes_count: u64,
    /// Server of the present run and the time of its last part.
    pub last_part: Option<(ServerKey, TimeUs)>,
    /// Longest pause between two parts.
    pub gap_max: DurationUs,
}

/// How a relayed stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Whole,
    CallerGone,
    TimedOut,
    Lost,
}

impl RelayEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerGone => "caller_gone",
            Self::TimedOut => "timed_out",
            Self::Lost => "lost",
        }
    }
}

impl Relay {
    /// Passes the answer on in a task of its own; returns the parts for the caller.
    pub fn start(self, answer: PartialAnswer) -> Receiver<Part> {
        let (parts, receiver) = channel(PARTS_MAX);
        tokio::task::spawn_local(self.run(answer, parts));
        receiver
    }

    async fn run(mut self, answer: PartialAnswer, parts: Sender<Part>) {
        let deadline = Instant::from_std(self.app.clock.instant(self.exchange.deadline));
        let end = tokio::select! {
            end = self.pass_on(answer, &parts) => end,
            () = parts.closed() => RelayEnd::CallerGone,
            () = sleep_until(deadline) => RelayEnd::TimedOut,
        };
        if end == RelayEnd::Whole {
            // A caller that has left needs no end.
            let _ = parts.send(Part::End).await;
        }
        if matches!(end, RelayEnd::CallerGone | RelayEnd::TimedOut) {
            self.note_silence();
        }
        let total = self.app.now().since(self.arrived_at);
        self.app
            .metrics
            .count_stream(&self.route, end.name(), total, self.gap_max);
        info!(self.app.log, "stream ended"; "request" => &self.exchange.request.id,
            "end" => end.name(), "total_ms" => total.as_ms(), "gap_max_ms" => self.gap_max.as_ms(),
            "sends" => self.call.sends_count(), "bytes" => self.bytes_count);
    }

    async fn pass_on(&mut self, mut answer: PartialAnswer, parts: &Sender<Part>) -> RelayEnd {
        let is_resumable = self.exchange.kind == RequestKind::Stream { resumable: true };
        let mut scanner = EventScanner::new();
        loop {
            let server = answer.lease.server;
            let gap_max = self.gap_max();
            // The pause before another server continues is a pause for the caller as well.
            let since = self.last_part.map_or(self.app.now(), |(_, at)| at);
            self.last_part = Some((server, since));
            let mut sink = Sink {
                app: &self.app,
                parts,
                bytes_count: &mut self.bytes_count,
                last_part: &mut self.last_part,
                gap_max: &mut self.gap_max,
            };
            let copied = if is_resumable {
                copy_events(&mut answer, &mut sink, &mut scanner, gap_max).await
            } else {
                copy_bytes(&mut answer, &mut sink).await
            };
            let now = self.app.now();
            match copied {
                Ok(()) => {
                    answer.lease.finish();
                    let mut serving = self.app.serving.borrow_mut();
                    self.call.run_answered(now, &mut serving, server);
                    return RelayEnd::Whole;
                }
                Err(StepOutcome::Unreachable) => return RelayEnd::CallerGone,
                Err(outcome) => {
                    // The connection closes first: the lost run must not go on beside the next.
                    drop(answer);
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
                }
            }
            if !is_resumable {
                return RelayEnd::Lost;
            }
            let last_id = scanner.last_id().map(ToString::to_string);
            let driven = drive(
                &self.app,
                &mut self.call,
                &self.exchange,
                last_id.as_deref(),
            )
            .await;
            match driven {
                Driven::Streaming(next) => answer = *next,
                Driven::Answered(_) | Driven::Refused(_) => return RelayEnd::Lost,
            }
        }
    }

    /// Records a server whose silence made the caller leave.
    fn note_silence(&self) {
        let Some((server, last_at)) = self.last_part else {
            return;
        };
        let silence = self.app.now().since(last_at);
        if silence >= DurationUs(self.exchange.latency_target.0.saturating_mul(SILENCE_GOALS)) {
            note_silence(&self.app, server, silence);
        }
    }

    /// Longest pause between parts before another server continues.
    fn gap_max(&self) -> Duration {
        let latency_target = self.call.spec().latency_target;
        Duration::from(DurationUs(latency_target.0.saturating_mul(2)))
    }
}

/// Copies bytes as they come.
async fn copy_bytes(answer: &mut PartialAnswer, sink: &mut Sink<'_>) -> Result<(), StepOutcome> {
    sink.send(std::mem::take(&mut answer.first)).await?;
    while let Some(data) = next_data(answer).await? {
        sink.send(data).await?;
    }
    Ok(())
}

/// Copies whole events.
async fn copy_events(
    answer: &mut PartialAnswer,
    sink: &mut Sink<'_>,
    scanner: &mut EventScanner,
    gap_max: Duration,
) -> Result<(), StepOutcome> {
    // Half an event of an earlier server is made again by this one.
    drop(scanner.rest());
    let mut data = std::mem::take(&mut answer.first);
    loop {
        let whole = scanner.push(&data);
        if !whole.is_empty() {
            sink.send(Bytes::from(whole)).await?;
        }
        let next = timeout(gap_max, next_data(answer)).await;
        match next.unwrap_or(Err(StepOutcome::TimedOut))? {
            Some(next) => data = next,
            None => break,
        }
    }
    if scanner.rest().is_empty() {
        Ok(())
    } else {
        Err(StepOutcome::Lost)
    }
}

async fn next_data(answer: &mut PartialAnswer) -> Result<Option<Bytes>, StepOutcome> {
    while let Some(frame) = answer.rest.frame().await {
        let frame = frame.map_err(|_| StepOutcome::Lost)?;
        if let Ok(data) = frame.into_data()
            && !data.is_empty()
        {
            answer.lease.count_received(data.len());
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Where the parts of an answer go.
struct Sink<'a> {
    app: &'a App,
    parts: &'a Sender<Part>,
    bytes_count: &'a mut u64,
    last_part: &'a mut Option<(ServerKey, TimeUs)>,
    gap_max: &'a mut DurationUs,
}

impl Sink<'_> {
    /// Hands a part to the caller; fails as unreachable when the caller has left.
    async fn send(&mut self, data: Bytes) -> Result<(), StepOutcome> {
        *self.bytes_count += data.len() as u64;
        if let Some((_, last_at)) = self.last_part {
            let now = self.app.now();
            *self.gap_max = now.since(*last_at).max(*self.gap_max);
            *last_at = now;
        }
        let sent = self.parts.send(Part::Data(data)).await;
        sent.map_err(|_| StepOutcome::Unreachable)
    }
}
