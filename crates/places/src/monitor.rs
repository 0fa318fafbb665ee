//! The border by which a platform reads an engine's report.

use cuminlead_direct_core::EngineReport;
use cuminlead_settings::AgentSettings;

/// Reads the report of the engine beside an agent.
pub trait EngineMonitor: Send {
    /// Reads the report; blocks until it is there. The error is a reason for the log.
    fn report(&mut self) -> Result<EngineReport, String>;
}

/// Registration of a platform's monitor.
#[derive(Clone, Copy, Debug)]
pub struct MonitorPlugin {
    /// Name of the adapter in the settings.
    pub name: &'static str,
    /// Builds the monitor.
    pub build: fn(&AgentSettings) -> Box<dyn EngineMonitor>,
}

inventory::collect!(MonitorPlugin);

/// Monitor by the name of its adapter.
pub fn find(name: &str) -> Option<&'static MonitorPlugin> {
    inventory::iter::<MonitorPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
