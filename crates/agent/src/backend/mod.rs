//! Drivers of the back end beside the agent.
//!
//! Each kind of backend server is a plug-in: a module that implements [`Backend`] and registers a
//! [`BackendPlugin`]. HTTP calls block on pool threads and report their results through
//! [`BackendEvents`].

mod engine;
mod engine_wire;
pub mod sequence_commands;
mod service;

use std::fmt;

use cuminlead_kernel::WorkerPool;
use cuminlead_protocol::{EngineCommand, EngineEvent, ServiceCommand, ServiceEvent};

/// Event from the back end.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// Result of a command to a model engine.
    Engine(EngineEvent),
    /// Result of a command to a plain service.
    Service(ServiceEvent),
}

/// Callback that receives the events of a driver, on any thread.
pub type BackendEvents = Box<dyn Fn(BackendEvent) + Send + Sync>;

/// Driver of one kind of backend server. Commands return at once; results come as events.
pub trait Backend: Send + Sync {
    /// Executes a command to a model engine. Drivers of plain services ignore it.
    fn command_engine(&self, command: EngineCommand);

    /// Executes a command to a plain service and sends it the W3C trace context, unless that is
    /// empty. Drivers of model engines ignore it.
    fn command_service(&self, command: ServiceCommand, traceparent: String);

    /// Whether this kind of backend server has an inventory of sequences and models.
    fn has_inventory(&self) -> bool;
}

/// Dependencies of a driver.
pub struct BackendContext {
    /// IP address and port of the back end.
    pub address: String,
    /// Threads for blocking calls.
    pub pool: WorkerPool,
    /// Callback for events.
    pub events: BackendEvents,
}

impl fmt::Debug for BackendContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BackendContext")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Registration of one kind of backend server.
#[derive(Debug)]
pub struct BackendPlugin {
    /// Value of the setting `backend`.
    pub name: &'static str,
    /// Creates the driver.
    pub build: fn(BackendContext) -> Box<dyn Backend>,
}

inventory::collect!(BackendPlugin);

/// Creates the driver registered under `name`; `None` if there is none.
pub fn build(name: &str, context: BackendContext) -> Option<Box<dyn Backend>> {
    let plugin = inventory::iter::<BackendPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)?;
    Some((plugin.build)(context))
}
