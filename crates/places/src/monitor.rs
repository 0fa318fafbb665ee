//! Interfaces by which a platform reads an engine's report and sends it orders.

use cuminlead_direct_core::{ConfigurationSource, EngineReport, Registry, Stage};
use cuminlead_settings::{AgentName, AgentSettings};
use cuminlead_types::BackendServerId;
use strum::Display;

/// Reads the report of the engine beside an agent.
pub trait EngineMonitor: Send {
    /// Reads the current report; blocks until it has arrived. The error is a reason for the log.
    fn report(&mut self) -> Result<EngineReport, String>;
}

/// Order to an engine to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Incarnation of the engine that the order is meant for.
    pub server: BackendServerId,
    /// Stage to change to.
    pub stage: Stage,
    /// Agent that sends the order.
    pub holder: AgentName,
    /// Fencing number; increases with each order to the engine.
    pub fencing_number: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// The order is being carried out, or the engine already has the stage.
    Accepted,
    /// The engine is carrying out another order.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine is another incarnation, or does not support the order.
    Refused,
}

/// Sends orders to the engine beside an agent.
pub trait EngineOrders: Send {
    /// Sends an order; blocks until the engine responds. The error is a reason for the log; the
    /// engine may have accepted the order nevertheless.
    fn change_stage(&mut self, order: &StageOrder) -> Result<OrderOutcome, String>;
}

/// Platform interfaces for one agent.
pub struct AgentPlatform {
    /// Reads the engine's reports.
    pub monitor: Box<dyn EngineMonitor>,
    /// Sends orders to the engine.
    pub orders: Box<dyn EngineOrders>,
    /// Source of the published engines.
    pub registry: Box<dyn Registry>,
    /// Source of the configuration for entries that the registry does not answer.
    pub configuration: Box<dyn ConfigurationSource>,
}

/// Registration of a platform for agents.
#[derive(Clone, Copy, Debug)]
pub struct MonitorPlugin {
    /// Name by which the settings select the adapter.
    pub name: &'static str,
    /// Builds the interfaces from the settings of the agent.
    pub build: fn(&AgentSettings) -> AgentPlatform,
}

inventory::collect!(MonitorPlugin);

/// Finds a registered platform by the name of its adapter.
pub fn find(name: &str) -> Option<&'static MonitorPlugin> {
    inventory::iter::<MonitorPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
