//! Decides whether a response of a server is valid and complete.
//!
//! All readers of responses use [`ResponseBody`]. A response with a length or chunks is complete
//! when these say so. One that ends with its connection looks the same to the HTTP library whether
//! the server finished it or broke it off, so two more conditions apply: the request was written in
//! full, and the connection ended without an error.
//!
//! A server that closes its sending direction before it resets the connection hides the reset: the
//! end of the stream is read first, and the reset only shows in the state of the socket later. After
//! a long request the end of the connection is therefore confirmed by [`SETTLE_TIME`] without an
//! error.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use cuminlead_direct_core::StepOutcome;
use cuminlead_process::response_head::{
    BodyEnd, InvalidResponse, SETTLE_TIME, SHORT_REQUEST_BYTES, check,
};
use cuminlead_types::BackendServerId;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::ext::on_informational;
use slog::info;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::adapter::ProtocolMapping;
use crate::app::App;
use crate::shared_stream::SharedStream;
use crate::status::HeldCount;

/// Most informational heads before a response. Servers send one or two.
const INFORMATIONAL_MAX_COUNT: u32 = 16;
/// How much of the last request on a connection has been written, and whether the connection
/// failed.
#[derive(Debug, Default)]
pub struct SendProgress {
    is_body_taken: Cell<bool>,
    is_written: Cell<bool>,
    is_failed: Cell<bool>,
    /// Counts the body of the request as held for the server.
    held: RefCell<Option<HeldCount>>,
}

impl SendProgress {
    fn begin(&self, body: &Bytes) {
        self.is_body_taken.set(body.is_empty());
        self.is_written.set(false);
    }

    /// Records that the HTTP library has bytes to write.
    pub(crate) fn record_write(&self) {
        self.is_written.set(false);
    }

    /// Records that the HTTP library has written all bytes that it has.
    pub(crate) fn record_flush(&self) {
        self.is_written.set(self.is_body_taken.get());
        if self.is_written.get() {
            drop(self.held.borrow_mut().take());
        }
    }

    /// Counts the body of the next request as held until it is written.
    pub(crate) fn hold(&self, held: HeldCount) {
        *self.held.borrow_mut() = Some(held);
    }

    /// Records that reading or writing failed.
    pub(crate) fn record_failure(&self) {
        self.is_failed.set(true);
    }

    /// Whether reading or writing has failed.
    pub(crate) fn is_failed(&self) -> bool {
        self.is_failed.get()
    }
}

/// Body of a request that records when the HTTP library has taken it.
#[derive(Debug)]
pub struct RequestBody {
    bytes: Bytes,
    progress: Rc<SendProgress>,
}

impl RequestBody {
    /// Body of the next request on the connection of `progress`.
    pub(crate) fn new(bytes: Bytes, progress: &Rc<SendProgress>) -> Self {
        progress.begin(&bytes);
        Self {
            bytes,
            progress: Rc::clone(progress),
        }
    }

    /// Bytes of a body that was not sent.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.progress.is_written.set(false);
        self.progress.is_body_taken.set(true);
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Informational heads that precede the response to one request.
#[derive(Debug, Default)]
pub(crate) struct InformationalHeads {
    count: AtomicU32,
    has_foreign: AtomicBool,
    invalid: Notify,
}

impl InformationalHeads {
    /// Has the HTTP library report the informational heads before the response to a request.
    pub(crate) fn observe(
        request: &mut Request<Bytes>,
        request_id: Option<&str>,
        protocol_mapping: &Arc<dyn ProtocolMapping>,
    ) -> Arc<Self> {
        let heads = Arc::new(Self::default());
        let (observed, mapping) = (Arc::clone(&heads), Arc::clone(protocol_mapping));
        let request_id = request_id.map(ToString::to_string);
        on_informational(request, move |head| {
            let head_id = mapping.response_id(head.headers());
            // On a connection of its own, a request without an id takes any head as its own.
            if let (Some(head_id), Some(request_id)) = (head_id, &request_id)
                && head_id != request_id
            {
                observed.has_foreign.store(true, Ordering::Relaxed);
            }
            observed.count.fetch_add(1, Ordering::Relaxed);
            if observed.check().is_err() {
                observed.invalid.notify_one();
            }
        });
        heads
    }

    /// Completes when the heads are invalid.
    pub(crate) async fn wait_until_invalid(&self) -> InvalidResponse {
        self.invalid.notified().await;
        self.check()
            .err()
            .unwrap_or(InvalidResponse::InformationalHeads)
    }

    fn check(&self) -> Result<(), InvalidResponse> {
        if self.has_foreign.load(Ordering::Relaxed) {
            return Err(InvalidResponse::ForeignInformational);
        }
        if self.count.load(Ordering::Relaxed) > INFORMATIONAL_MAX_COUNT {
            return Err(InvalidResponse::InformationalHeads);
        }
        Ok(())
    }
}

/// Body of a response with a valid head.
pub struct ResponseBody {
    rest: Incoming,
    end: BodyEnd,
    stream: SharedStream,
    is_request_long: bool,
    reporter: Reporter,
}

/// Counts and logs the invalid responses of a server.
#[derive(Clone)]
pub(crate) struct Reporter {
    pub(crate) app: Rc<App>,
    pub(crate) server: BackendServerId,
    pub(crate) request: Option<String>,
}

impl Reporter {
    /// Reports an invalid response; returns the outcome of the step.
    pub(crate) fn report(&self, reason: InvalidResponse) -> StepOutcome {
        self.app.metrics.count_invalid_response(reason);
        let name: &'static str = reason.into();
        info!(self.app.log, "server sent an invalid response"; "reason" => name,
            "server" => %self.server, "request" => self.request.as_deref());
        match reason {
            InvalidResponse::UnfinishedRequest | InvalidResponse::ConnectionError => {
                StepOutcome::Lost
            }
            _ => StepOutcome::Malformed,
        }
    }
}

/// Request that a response answers.
#[derive(Debug)]
pub(crate) struct Answered<'a> {
    pub(crate) method: &'a http::Method,
    pub(crate) body_bytes: usize,
    pub(crate) informational: &'a InformationalHeads,
}

impl ResponseBody {
    /// Checks the head of a response. The body fails unless it is complete.
    pub(crate) fn check_head(
        answered: &Answered<'_>,
        response: Response<Incoming>,
        stream: SharedStream,
        reporter: Reporter,
    ) -> Result<Response<Self>, InvalidResponse> {
        answered.informational.check()?;
        let end = check(answered.method, response.status(), response.headers())?;
        let is_request_long = answered.body_bytes > SHORT_REQUEST_BYTES;
        Ok(response.map(|rest| Self {
            rest,
            end,
            stream,
            is_request_long,
            reporter,
        }))
    }

    /// Least size of what was not read yet, as far as it is stated.
    pub fn least_size(&self) -> u64 {
        self.rest.size_hint().lower()
    }

    /// Next bytes of the body; `None` at the end of a complete one. Fails with
    /// [`StepOutcome::Lost`] for a body that is not complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StepOutcome> {
        while let Some(frame) = self.rest.frame().await {
            let frame = frame.map_err(|_| StepOutcome::Lost)?;
            if let Ok(data) = frame.into_data()
                && !data.is_empty()
            {
                return Ok(Some(data));
            }
        }
        match self.confirm_end().await {
            Ok(()) => Ok(None),
            Err(reason) => Err(self.reporter.report(reason)),
        }
    }

    async fn confirm_end(&self) -> Result<(), InvalidResponse> {
        if self.end == BodyEnd::Framing {
            return Ok(());
        }
        let progress = self.stream.progress();
        if !progress.is_written.get() {
            return Err(InvalidResponse::UnfinishedRequest);
        }
        if self.is_request_long {
            sleep(SETTLE_TIME).await;
        }
        if self.stream.has_failed() {
            return Err(InvalidResponse::ConnectionError);
        }
        Ok(())
    }
}
