//! What all requests of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use cuminlead_direct_core::shutdown::ShutdownSchedule;
use cuminlead_direct_core::{ServerKey, ServingState};
use cuminlead_kernel::Clock;
use cuminlead_places::ReservationClient;
use cuminlead_telemetry::Tracing;
use cuminlead_types::TimeUs;
use slog::Logger;
use tokio::sync::watch;

use crate::adapter::Dialect;
use crate::pool::Pool;
use crate::status::{DirectMetrics, SharedStatus};

/// Phase of a process that was asked to stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Not asked to stop.
    #[default]
    Running,
    /// Not ready; connections are taken until the balancer has turned away, and close after their
    /// next answer.
    BalancerDraining,
    /// Idle connections are closed; requests under way are finished.
    Closing,
    /// Requests without an answer are answered by the process itself.
    Answering,
}

/// State of the traffic thread.
pub struct App {
    /// Source of the present time.
    pub clock: Clock,
    /// Catalogue, servers and budgets.
    pub serving: RefCell<ServingState>,
    /// Kept connections.
    pub pool: RefCell<Pool>,
    /// Connections to the agents that give out decode places.
    pub places: RefCell<ReservationClient>,
    /// Port of these agents.
    pub place_port: Option<u16>,
    /// Headers of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Metrics.
    pub metrics: DirectMetrics,
    /// Spans of hops.
    pub tracing: Tracing,
    /// Logger.
    pub log: Logger,
    /// Phase of the shutdown.
    pub stop: watch::Receiver<StopPhase>,
    /// Times of the shutdown, once it was asked for.
    pub stopping: Cell<Option<ShutdownSchedule>>,
    /// What other threads may read.
    pub status: Arc<SharedStatus>,
}

impl App {
    /// Present monotonic time.
    pub fn now(&self) -> TimeUs {
        self.clock.mono()
    }

    /// Whether answers must close their connection.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() != StopPhase::Running
    }
}

/// Counts a request as under way at a server until it is dropped.
pub(crate) struct InFlight {
    app: Rc<App>,
    server: ServerKey,
}

impl InFlight {
    pub(crate) fn begin(app: &Rc<App>, server: ServerKey) -> Self {
        app.serving.borrow_mut().begin(server);
        Self {
            app: Rc::clone(app),
            server,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.serving.borrow_mut().end(self.server);
    }
}
