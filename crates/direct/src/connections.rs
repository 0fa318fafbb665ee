//! Callers' connections under the budget of the process.
//!
//! The decisions are those of `cuminlead_direct_core::connection_budget`; this module tells each
//! connection's task when to end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use cuminlead_direct_core::connection_budget::{
    Activity, ConnectionBudget, ConnectionId, ConnectionLimits, NoRoom,
};
use cuminlead_kernel::Clock;
use cuminlead_settings::EntrySettings;
use cuminlead_types::{Bytes, DurationUs};
use slog::{Logger, info};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::exchange::BUFFERED_MAX_BYTES;
use crate::status::DirectMetrics;

/// Memory of the process itself. At the design scale an idle one has 19 to 30 MB.
const PROCESS_BYTES: u64 = 24_000_000;
/// Share of the remaining memory for callers' connections and all that they hold, in percent. The
/// rest is for idle connections to servers and the allocator.
const CONNECTIONS_MEMORY_PERCENT: u64 = 80;
/// Least share of the whole memory for connections, in percent.
const CONNECTIONS_MEMORY_MIN_PERCENT: u64 = 25;
/// Largest share of the whole memory for bodies of requests, in percent.
const BODIES_MEMORY_PERCENT: u64 = 40;
/// Largest share of the memory for connections that bodies may use, in percent.
const BODIES_SHARE_PERCENT: u64 = 70;
/// Memory of a connection that holds no message: its task and the first read buffer of hyper.
const CONNECTION_BYTES: Bytes = Bytes(20 * 1024);
/// Memory for a request besides its body and its head: the state of its call, and a connection to a
/// server with its buffers.
const REQUEST_BYTES: u64 = 80 * 1024;
/// Largest buffer of a response while it is read; a buffer that grows doubles.
const RESPONSE_BUFFER_BYTES: u64 = 2 * BUFFERED_MAX_BYTES as u64;
/// Part of the memory of connections for large responses while they are read.
const RESPONSES_DIVISOR: u64 = 8;
/// Interval between searches for callers that are too slow.
const OVERDUE_INTERVAL: Duration = Duration::from_secs(1);

fn memory_bytes(settings: &EntrySettings) -> u64 {
    u64::from(settings.memory_max_mb().0) * 1_000_000
}

/// Memory for callers' connections.
fn connections_memory(settings: &EntrySettings) -> Bytes {
    let memory_bytes = memory_bytes(settings);
    let rest_bytes = memory_bytes.saturating_sub(PROCESS_BYTES);
    let least_bytes = memory_bytes / 100 * CONNECTIONS_MEMORY_MIN_PERCENT;
    Bytes((rest_bytes / 100 * CONNECTIONS_MEMORY_PERCENT).max(least_bytes))
}

fn connection_limits(settings: &EntrySettings, descriptors_max_count: u32) -> ConnectionLimits {
    let memory_max = connections_memory(settings);
    let bodies_max = memory_bytes(settings) / 100 * BODIES_MEMORY_PERCENT;
    let connections_max_count = settings
        .connections_max_count()
        .0
        .min(descriptors_max_count / 5 * 3);
    let count = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
    ConnectionLimits {
        connections_max_count: count(connections_max_count),
        requests_max_count: count(descriptors_max_count / 10 * 3),
        memory_max,
        bodies_max: Bytes(bodies_max.min(memory_max.0 / 100 * BODIES_SHARE_PERCENT)),
        share_max: Bytes(memory_max.0 / 2),
        connection_bytes: CONNECTION_BYTES,
        stalled_after: DurationUs::from_ms(settings.stalled_ms().0),
        rate_grace: DurationUs::from_ms(settings.rate_grace_ms().0),
        min_bytes_per_s: u64::from(settings.min_bytes_per_s().0),
        response_max: DurationUs::from_ms(settings.response_read_max_ms().0),
    }
}

/// Large responses of servers that may be read to their end at the same time.
pub fn large_responses_max_count(settings: &EntrySettings) -> usize {
    let count = connections_memory(settings).0 / RESPONSES_DIVISOR / RESPONSE_BUFFER_BYTES;
    usize::try_from(count).unwrap_or(usize::MAX).max(1)
}

/// Open connections of callers.
pub struct Connections {
    budget: RefCell<ConnectionBudget>,
    closing: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    clock: Clock,
    metrics: DirectMetrics,
    pipelined_max_count: u32,
    log: Logger,
    /// Connections closed since the last log line about them.
    closed_count: Cell<u64>,
}

impl Connections {
    /// No connections yet; their bounds are derived from the settings and the descriptors that the
    /// process may open.
    pub fn new(
        settings: &EntrySettings,
        descriptors_max_count: u32,
        clock: Clock,
        metrics: DirectMetrics,
        log: Logger,
    ) -> Rc<Self> {
        let limits = connection_limits(settings, descriptors_max_count);
        Rc::new(Self {
            budget: RefCell::new(ConnectionBudget::new(limits)),
            closing: RefCell::default(),
            clock,
            metrics,
            pipelined_max_count: settings.pipelined_max_count().0,
            log,
            closed_count: Cell::new(0),
        })
    }

    /// Adds a connection; closes others for it if necessary.
    pub fn open(self: &Rc<Self>) -> Result<Rc<ConnectionLease>, NoRoom> {
        let mut closed = Vec::new();
        let opened = self
            .budget
            .borrow_mut()
            .open(self.clock.monotonic(), &mut closed);
        self.end(&closed, "room");
        let id = opened?;
        let closing = Rc::new(Notify::new());
        self.closing.borrow_mut().insert(id, Rc::clone(&closing));
        Ok(Rc::new(ConnectionLease {
            connections: Rc::clone(self),
            id,
            closing,
            is_response_done: Cell::new(true),
            pipelined_count: Cell::new(0),
        }))
    }

    /// Closes connections of callers that are too slow, for as long as the process runs.
    pub async fn close_overdue(self: Rc<Self>) {
        loop {
            sleep(OVERDUE_INTERVAL).await;
            let overdue = self
                .budget
                .borrow_mut()
                .remove_overdue(self.clock.monotonic());
            self.end(&overdue, "slow");
            let used = self.budget.borrow().used();
            self.metrics.set_connection_memory(used);
            let closed_count = self.closed_count.take();
            if closed_count > 0 {
                info!(self.log, "connections of callers closed to make room or because they are slow";
                    "count" => closed_count, "memory_used_bytes" => used.0);
            }
        }
    }

    /// Memory that bodies use.
    pub fn used_by_bodies(&self) -> Bytes {
        self.budget.borrow().used_by_bodies()
    }

    fn end(&self, closed: &[ConnectionId], cause: &'static str) {
        let closed_count = self.closed_count.get() + closed.len() as u64;
        self.closed_count.set(closed_count);
        for id in closed {
            if let Some(closing) = self.closing.borrow_mut().remove(id) {
                closing.notify_one();
            }
            self.metrics.count_connection_closed(cause);
        }
    }
}

/// A connection's part of the budget; returned when dropped.
pub struct ConnectionLease {
    connections: Rc<Connections>,
    id: ConnectionId,
    closing: Rc<Notify>,
    /// Whether hyper has taken the whole response.
    is_response_done: Cell<bool>,
    /// Requests that arrived before the response to the one before was ready.
    pipelined_count: Cell<u32>,
}

impl fmt::Debug for ConnectionLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionLease")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.connections.budget.borrow_mut().close(self.id);
        self.connections.closing.borrow_mut().remove(&self.id);
    }
}

impl ConnectionLease {
    /// Completes when the connection must be closed.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Records that the head of a request begins. Without room for it, the connection is closed.
    pub fn begin_head(&self, head_max: Bytes) {
        // The head of a pipelined request is part of what the response before it was charged.
        if self.activity() != Some(Activity::Idle) {
            return;
        }
        self.set_activity(Activity::ReceivingHead);
        if self.set_buffers(Bytes(2 * head_max.0)).is_err() {
            self.connections.end(&[self.id], "room");
        }
    }

    /// Counts a request that arrived before the response to the one before was ready; true if the
    /// connection must end with its response.
    pub fn count_pipelined(&self) -> bool {
        let count = self.pipelined_count.get() + 1;
        self.pipelined_count.set(count);
        let is_last = count >= self.connections.pipelined_max_count;
        if is_last {
            self.connections
                .metrics
                .count_connection_closed("pipelined");
        }
        is_last
    }

    /// Records that a request's head is complete and its body is being read.
    pub fn begin_body(&self) {
        self.is_response_done.set(false);
        self.set_activity(Activity::ReceivingBody);
    }

    /// Records that a request is complete. Fails if too many are served.
    pub fn begin_serving(&self, head_max: Bytes) -> Result<(), NoRoom> {
        self.set_buffers(Bytes(2 * head_max.0 + REQUEST_BYTES))?;
        let now = self.connections.clock.monotonic();
        let mut budget = self.connections.budget.borrow_mut();
        budget.set_activity(now, self.id, Activity::Serving)
    }

    /// Records that a response of this size, as far as it is known, is ready.
    pub fn begin_response(&self, size: Bytes, head_max: Bytes) {
        self.set_activity(Activity::Sending);
        if self.set_buffers(Bytes(size.0 + head_max.0)).is_err() {
            self.connections.end(&[self.id], "room");
        }
    }

    /// Records that hyper has taken the whole response.
    pub fn end_response(&self) {
        self.is_response_done.set(true);
    }

    /// Charges a body of this size.
    pub fn set_body(&self, size: Bytes) -> Result<(), NoRoom> {
        let mut closed = Vec::new();
        let now = self.connections.clock.monotonic();
        let set = self
            .connections
            .budget
            .borrow_mut()
            .set_body(now, self.id, size, &mut closed);
        self.connections.end(&closed, "room");
        set
    }

    /// Records bytes from or to the caller.
    pub fn record_progress(&self, moved: Bytes) {
        let now = self.connections.clock.monotonic();
        let mut budget = self.connections.budget.borrow_mut();
        budget.record_progress(now, self.id, moved);
    }

    /// Records that the caller must read before more can be sent.
    pub fn block_sending(&self) {
        if self.activity() == Some(Activity::Serving) {
            self.set_activity(Activity::Sending);
        }
    }

    /// Records that everything written so far is sent.
    pub fn sent(&self) {
        let is_sending = self.activity() == Some(Activity::Sending);
        if !self.is_response_done.get() {
            if is_sending {
                // The rest of the response comes from a server.
                self.set_activity(Activity::Serving);
            }
            return;
        }
        // A stream that its caller reads in time counts as being served to its end.
        if !is_sending && self.activity() != Some(Activity::Serving) {
            return;
        }
        self.set_activity(Activity::Idle);
        // Releasing memory doesn't fail.
        let _ = self.set_buffers(Bytes(0));
    }

    fn activity(&self) -> Option<Activity> {
        self.connections.budget.borrow().activity(self.id)
    }

    fn set_activity(&self, activity: Activity) {
        let now = self.connections.clock.monotonic();
        let mut budget = self.connections.budget.borrow_mut();
        // Only the admission of a new request can fail.
        let _ = budget.set_activity(now, self.id, activity);
    }

    fn set_buffers(&self, size: Bytes) -> Result<(), NoRoom> {
        let mut closed = Vec::new();
        let now = self.connections.clock.monotonic();
        let set = self
            .connections
            .budget
            .borrow_mut()
            .set_buffers(now, self.id, size, &mut closed);
        self.connections.end(&closed, "room");
        set
    }
}

/// Memory of a connection's part of the budget that a body uses; free again when dropped.
#[derive(Debug)]
pub struct BodyLease(Rc<ConnectionLease>);

impl BodyLease {
    /// Lease of no memory yet.
    pub fn new(connection: Rc<ConnectionLease>) -> Self {
        Self(connection)
    }

    /// Changes the size of the lease.
    pub fn resize(&self, size: Bytes) -> Result<(), NoRoom> {
        self.0.set_body(size)
    }

    /// Records that bytes of the body arrived.
    pub fn record_progress(&self, received: Bytes) {
        self.0.record_progress(received);
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        // Releasing memory doesn't fail; a connection that was closed holds none.
        let _ = self.0.set_body(Bytes(0));
    }
}
