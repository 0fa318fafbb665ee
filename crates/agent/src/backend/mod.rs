//! Drivers of the back end beside the agent.
//!
//! Each kind of backend server is a plug-in: a module that implements [`Backend`] and submits a
//! [`BackendPlugin`]. Calls block on pool threads and report through [`BackendEvents`].

mod engine;
mod engine_wire;
pub mod sequences;
mod service;

use std::fmt;

use cuminlead_kernel::WorkerPool;
use cuminlead_protocol::{EngineCommand, EngineEvent, ServiceCommand, ServiceEvent};

/// Event from the back end.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// From a model engine.
    Engine(EngineEvent),
    /// From a plain service.
    Service(ServiceEvent),
}

/// Where a driver sends its events.
pub type BackendEvents = Box<dyn Fn(BackendEvent) + Send + Sync>;

/// Driver of one kind of backend server.
pub trait Backend: Send + Sync {
    /// Carries out a command to a model engine.
    fn command_engine(&self, command: EngineCommand);

    /// Carries out a command to a plain service under a W3C trace context, or an empty one.
    fn command_service(&self, command: ServiceCommand, traceparent: String);

    /// Whether the agent reads an inventory from this kind.
    fn has_inventory(&self) -> bool;
}

/// What a driver is built from.
pub struct BackendContext {
    /// IP address and port of the back end.
    pub address: String,
    /// Threads for blocking calls.
    pub pool: WorkerPool,
    /// Receiver of events.
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
    /// Makes the driver.
    pub build: fn(BackendContext) -> Box<dyn Backend>,
}

inventory::collect!(BackendPlugin);

/// Driver registered under a name.
pub fn build(name: &str, context: BackendContext) -> Option<Box<dyn Backend>> {
    let plugin = inventory::iter::<BackendPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)?;
    Some((plugin.build)(context))
}
