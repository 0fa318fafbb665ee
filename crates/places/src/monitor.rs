//! The borders by which a platform reads an engine's report and gives it orders.

use cuminlead_direct_core::{EngineReport, Registry, Stage};
use cuminlead_settings::{AgentName, AgentSettings};
use cuminlead_types::BackendServerId;
use strum::Display;

/// Reads the report of the engine beside an agent.
pub trait EngineMonitor: Send {
    /// Reads the report; blocks until it is there. The error is a reason for the log.
    fn report(&mut self) -> Result<EngineReport, String>;
}

/// Order to an engine to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Incarnation that is meant.
    pub server: BackendServerId,
    /// Stage.
    pub stage: Stage,
    /// Agent that gives the order.
    pub holder: AgentName,
    /// Number that grows with each order to the engine.
    pub fencing_number: u64,
}

/// Engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// It is being carried out, or holds already.
    Accepted,
    /// Another order is being carried out.
    Busy,
    /// A higher fencing number has been seen.
    Fenced,
    /// The engine is another incarnation, or knows no such order.
    Refused,
}

/// Gives orders to the engine beside an agent.
pub trait EngineOrders: Send {
    /// Gives an order; blocks until it is answered. The error is a reason for the log; the order
    /// may have been accepted then.
    fn change_stage(&mut self, order: &StageOrder) -> Result<OrderOutcome, String>;
}

/// What a platform gives to an agent.
pub struct AgentPlatform {
    /// Reads reports.
    pub monitor: Box<dyn EngineMonitor>,
    /// Gives orders.
    pub orders: Box<dyn EngineOrders>,
    /// Where engines are published.
    pub registry: Box<dyn Registry>,
}

/// Registration of a platform for agents.
#[derive(Clone, Copy, Debug)]
pub struct MonitorPlugin {
    /// Name of the adapter in the settings.
    pub name: &'static str,
    /// Builds what the agent needs.
    pub build: fn(&AgentSettings) -> AgentPlatform,
}

inventory::collect!(MonitorPlugin);

/// Platform by the name of its adapter.
pub fn find(name: &str) -> Option<&'static MonitorPlugin> {
    inventory::iter::<MonitorPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
