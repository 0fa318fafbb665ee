//! Random operations on an agent, and the harness that applies them and checks the agent.

pub(crate) mod harness;
pub(crate) mod operations;
