//! State that all requests of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use cuminlead_direct_core::shutdown::ShutdownSchedule;
use cuminlead_direct_core::{RateLimiter, ServerKey, ServingState, UsageView, Work, WorkId};
use cuminlead_kernel::Clock;
use cuminlead_places::ReservationClient;
use cuminlead_telemetry::Tracing;
use cuminlead_types::{DurationUs, EntryId, TimeUs};
use slog::Logger;
use tokio::sync::{Semaphore, watch};

use crate::adapter::ProtocolMapping;
use crate::connections::Connections;
use crate::pool::ConnectionPool;
use crate::slow_servers::SlowServers;
use crate::status::{DirectMetrics, SharedStatus};

/// Phase of a shutdown; phases only advance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No shutdown requested.
    #[default]
    Running,
    /// Not ready. New connections are accepted until the balancer sends no more, and each
    /// connection closes after its next response.
    BalancerDraining,
    /// Idle connections are closed; in-flight requests are finished.
    Closing,
    /// The process itself answers the requests that have no response yet.
    Answering,
}

/// State of the traffic thread.
pub struct App {
    /// Source of the monotonic and the wall-clock time.
    pub clock: Clock,
    /// Operator configuration, servers and retry budgets.
    pub serving: RefCell<ServingState>,
    /// Connections of callers and what they hold.
    pub connections: Rc<Connections>,
    /// Permits to buffer large responses of servers, which are charged to their caller's connection
    /// once they are complete.
    pub large_responses: Semaphore,
    /// Time for which a caller may keep data of its server waiting.
    pub slow_caller_limit: DurationUs,
    /// Idle connections to backend servers.
    pub pool: RefCell<ConnectionPool>,
    /// Connections to the agents that reserve decode slots.
    pub reservation_client: RefCell<ReservationClient>,
    /// Name of this process.
    pub name: EntryId,
    /// Usage of teams under their limits.
    pub usage: RefCell<UsageView>,
    /// Servers that were logged as slow.
    pub(crate) slow_servers: RefCell<SlowServers>,
    /// Permits that this process owns itself, in deployments without agents.
    pub local_limiter: RefCell<RateLimiter>,
    /// Port of these agents; without it, slots are reserved at the engines.
    pub place_port: Option<u16>,
    /// Protocol mapping of the platform.
    pub protocol_mapping: Arc<dyn ProtocolMapping>,
    /// Metrics of this process.
    pub metrics: DirectMetrics,
    /// Tracer for the spans of requests and their steps.
    pub tracing: Tracing,
    /// Logger of this process; not bound to a request.
    pub log: Logger,
    /// Current phase of the shutdown.
    pub stop: watch::Receiver<StopPhase>,
    /// Schedule of the shutdown; `None` until one is requested.
    pub shutdown: Cell<Option<ShutdownSchedule>>,
    /// State that the admin thread reads.
    pub status: Arc<SharedStatus>,
}

impl App {
    /// Current monotonic time.
    pub fn now(&self) -> TimeUs {
        self.clock.monotonic()
    }

    /// Whether responses must close their connection.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() != StopPhase::Running
    }
}

/// Counts a request as in flight at a server until dropped.
pub(crate) struct InFlight {
    app: Rc<App>,
    server: ServerKey,
    work: WorkId,
    sent_at: TimeUs,
    /// Time until the response, or the first event of a stream, has arrived.
    responded_in: Option<DurationUs>,
    is_complete: bool,
}

impl InFlight {
    pub(crate) fn begin(app: &Rc<App>, server: ServerKey, work: Work) -> Self {
        let sent_at = app.now();
        let mut serving = app.serving.borrow_mut();
        serving.begin_request(server);
        Self {
            app: Rc::clone(app),
            server,
            work: serving.begin_work(sent_at, server, work),
            sent_at,
            responded_in: None,
            is_complete: false,
        }
    }

    /// Records the first event of a stream.
    pub(crate) fn record_first_event(&mut self) {
        self.responded_in = Some(self.app.now().since(self.sent_at));
    }

    /// Records that the response is complete and successful, so that its time counts.
    pub(crate) fn record_complete(&mut self) {
        let took = self.app.now().since(self.sent_at);
        self.responded_in.get_or_insert(took);
        self.is_complete = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let took = self.responded_in.filter(|_| self.is_complete);
        let mut serving = self.app.serving.borrow_mut();
        serving.end_request(self.server);
        serving.end_work(self.app.now(), self.server, self.work, took);
    }
}
