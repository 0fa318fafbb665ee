//! `AgentContext`: owns all decision state of one agent.

use cuminlead_types::{Now, TimeUs};

use crate::action::AgentAction;
use crate::config::AgentConfig;
use crate::event::AgentEvent;

/// All decision state of one agent.
#[derive(Debug)]
pub struct AgentContext {
    config: AgentConfig,
}

impl AgentContext {
    /// Context of a starting agent; refuses work until lists and inventory have arrived.
    pub fn new(config: AgentConfig) -> Self {
        Self { config }
    }

    /// Limits that the context was built with.
    pub fn config(&self) -> &AgentConfig {
        &self.config
    }

    /// Decides on an event and appends the resulting actions.
    pub fn handle(&mut self, _now: Now, _event: AgentEvent, _actions: &mut Vec<AgentAction>) {}

    /// Time at which a `Tick` is needed at the latest.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        None
    }
}
