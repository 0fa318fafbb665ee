//! Hooks with which a test disables a guard, to show that the checks notice its absence.

use cuminlead_agent_core::{AgentAction, AgentEvent};
use cuminlead_entry_core::Call;
use cuminlead_lists::HostList;
use cuminlead_protocol::EngineCommand;

/// Disables guards of the decision code; the default implementation disables none.
pub trait GuardHooks: std::fmt::Debug {
    /// Wraps a call that an entry is about to drive.
    fn wrap_call(&self, call: Box<dyn Call>) -> Box<dyn Call> {
        call
    }

    /// Whether a command of an agent reaches its engine.
    fn passes_command(&self, _command: &EngineCommand) -> bool {
        true
    }

    /// Whether an event reaches the agent's context.
    fn passes_agent_event(&self, _event: &AgentEvent) -> bool {
        true
    }

    /// Modifies the actions that an agent returned before they are carried out.
    fn change_actions(&self, _actions: &mut Vec<AgentAction>) {}

    /// Whether an entry applies a host list.
    fn passes_hosts(&self, _hosts: &HostList) -> bool {
        true
    }

    /// Whether a process that is asked to shut down stops without draining.
    fn stops_immediately(&self) -> bool {
        false
    }

    /// Whether a process puts lists in effect that are older than its own.
    fn accepts_older_lists(&self) -> bool {
        false
    }
}

/// Disables no guard.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoGuardHooks;

impl GuardHooks for NoGuardHooks {}
