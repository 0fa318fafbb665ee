//! Places at which a test can remove a guard, to show that the checks notice it.

use cuminlead_agent_core::{AgentAction, AgentEvent};
use cuminlead_entry_core::Call;
use cuminlead_lists::HostList;
use cuminlead_protocol::EngineCommand;

/// Removes guards; the default removes none.
pub trait GuardHooks: std::fmt::Debug {
    /// Wraps a call.
    fn wrap_call(&self, call: Box<dyn Call>) -> Box<dyn Call> {
        call
    }

    /// Whether a command reaches the engine.
    fn passes_command(&self, _command: &EngineCommand) -> bool {
        true
    }

    /// Whether an event reaches the agent's context.
    fn passes_agent_event(&self, _event: &AgentEvent) -> bool {
        true
    }

    /// Changes what an agent decided.
    fn change_actions(&self, _actions: &mut Vec<AgentAction>) {}

    /// Whether an entry takes a host list into account.
    fn passes_hosts(&self, _hosts: &HostList) -> bool {
        true
    }

    /// Whether a process that is asked to stop does so at once.
    fn stops_at_once(&self) -> bool {
        false
    }

    /// Whether a process puts older lists in force.
    fn takes_older_lists(&self) -> bool {
        false
    }
}

/// Removes no guard.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoGuardHooks;

impl GuardHooks for NoGuardHooks {}
