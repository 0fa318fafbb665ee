//! Deterministic simulation of a fleet that runs the decision code of the real processes.
//!
//! One event queue on virtual time drives entries (router, membership, calls) and agents
//! ([`cuminlead_agent_core::AgentContext`]) as the processes do. Small fakes stand at their
//! interfaces: model engines, plain services, the configuration service, and the connections
//! between hosts. The same seed and settings give the same run, so a failure can be repeated. Every
//! observation is appended to a [`cuminlead_verifier::Record`]. The fault matrix and the load
//! measurement use the simulation.
//!
//! | module | contents |
//! |---|---|
//! | [`config`] | settings of a simulation |
//! | [`layout`] | hosts, lists and host list |
//! | [`queue`] | event queue |
//! | [`event`] | events, and packets on connections |
//! | [`network`] | connections, cut network paths and unresponsive connections |
//! | [`engine`] | fake model engine |
//! | [`assignment`] | desired assignments of engines, and their changes |
//! | `cache` | prefix cache of the engine |
//! | [`service`] | fake plain service |
//! | [`platform`] | fake configuration service and host list |
//! | [`agent`] | agents |
//! | [`entry`] | entries and their calls |
//! | [`timed_fault`] | faults that are injected at a fixed time |
//! | [`counters`] | counters for measurements |
//! | [`exchange`] | messages that wait for a reply, and open streams |
//! | [`caller`] | requests, and the responses that their callers receive |
//! | [`injection`] | injection points, and the plan of faults for a request |
//! | [`fault`] | faults and their ends |
//! | [`fault_case`] | cases of the fault matrix |
//! | [`guard_hooks`] | hooks with which a test disables a guard |
//! | [`lifecycle`] | start, crash, shutdown and pause of processes and backend servers |
//! | [`simulation`] | [`Simulation`], which owns all state |

pub mod agent;
pub mod assignment;
mod cache;
pub mod caller;
pub mod config;
pub mod counters;
pub mod engine;
pub mod entry;
pub mod event;
pub mod exchange;
pub mod fault;
pub mod fault_case;
pub mod guard_hooks;
pub mod injection;
pub mod layout;
pub mod lifecycle;
pub mod network;
pub mod platform;
pub mod queue;
pub mod service;
pub mod simulation;
pub mod timed_fault;

pub use caller::{CallerResult, Ending, PathKind, RequestSpec};
pub use config::SimulationConfig;
pub use counters::Counters;
pub use event::NodeId;
pub use fault::Fault;
pub use fault_case::{CaseReport, FaultCase};
pub use guard_hooks::GuardHooks;
pub use injection::{Injection, InjectionPlan, InjectionPoint};
pub use simulation::Simulation;
pub use timed_fault::TimedFault;
