//! Responses of servers to runs, and the connections that they arrive on.
//!
//! Whether a run has failed is known from the head of its response. It is part of the type from there
//! on, so that neither the size of a failure nor the framing of its body can make it pass for output.
//! Alternatives: a flag beside the bytes, which each place that forwards them has to ask for; and
//! buffering failures of any size, which would not bound the memory of the process.

use std::rc::Rc;

use bytes::Bytes;
use cuminlead_direct_core::ServerKey;
use cuminlead_direct_core::placement::Distance;
use cuminlead_types::DurationUs;
use http::{HeaderMap, StatusCode};

use crate::app::{App, InFlight};
use crate::connection::Connection;
use crate::response_validity::ResponseBody;
use crate::status::Direction;

/// Response of a server to a run.
pub enum ServerResponse {
    /// The run succeeded, and the response has arrived in full.
    Buffered(BufferedResponse),
    /// The run succeeded, and its output is still arriving.
    Streaming(Box<ArrivingResponse>),
    /// The run failed.
    Failed(FailureResponse),
}

/// Response of a failed run. It is forwarded as the whole response to a request, or not at all.
pub enum FailureResponse {
    /// Response that has arrived in full.
    Buffered(BufferedResponse),
    /// Response that is too large to be buffered.
    Arriving(Box<ArrivingResponse>),
}

/// Complete response in memory.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status that the server sent.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body as the server sent it.
    pub body: Bytes,
}

/// Response of which only the start has arrived.
pub struct ArrivingResponse {
    /// Status that the server sent.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Bytes that have arrived.
    pub first: Bytes,
    /// Body after `first`, read from the connection.
    pub rest: ResponseBody,
    /// Connection that the body arrives on.
    pub lease: ServerLease,
}

/// Connection that is in use by a request, which counts as in flight at the server. Dropping the
/// lease cancels the request.
pub struct ServerLease {
    pub(crate) app: Rc<App>,
    /// Server at the other end of the connection.
    pub server: ServerKey,
    connection: Option<Connection>,
    pub(crate) idle_max: DurationUs,
    distance: Distance,
    in_flight: InFlight,
}

impl ServerLease {
    /// Lease of a connection that is not reused before `idle_max` is set.
    pub(crate) fn new(
        app: &Rc<App>,
        server: ServerKey,
        connection: Connection,
        distance: Distance,
        in_flight: InFlight,
    ) -> Self {
        Self {
            app: Rc::clone(app),
            server,
            connection: Some(connection),
            idle_max: DurationUs::ZERO,
            distance,
            in_flight,
        }
    }

    /// Counts bytes of the response.
    pub(crate) fn count_received(&self, bytes_count: usize) {
        let bytes_count = u64::try_from(bytes_count).unwrap_or(u64::MAX);
        self.app
            .metrics
            .count_bytes(Direction::Received, self.distance, bytes_count);
    }

    /// Records the first output of a stream.
    pub(crate) fn record_first_event(&mut self) {
        self.in_flight.record_first_event();
    }

    /// Records that the response is complete and successful, so that its time counts in the
    /// placement of further requests.
    pub(crate) fn record_complete(&mut self) {
        self.in_flight.record_complete();
    }

    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            let mut pool = self.app.pool.borrow_mut();
            pool.put(self.app.now(), self.server, connection, self.idle_max);
        }
    }
}
