//! Reconciliation of a model engine with its assignment in the lists.
//!
//! An agent sends its engine orders that load and unload models and adapters and change the role.
//! Each order carries a fencing number, so an engine can reject orders of an earlier incarnation of
//! the agent.
//!
//! | module | contents |
//! |---|---|
//! | [`config`] | timeouts and delays |
//! | [`reconcile`] | orders that lead from an engine's inventory to its assignment |
//! | [`backoff`] | retry delays of failed orders |
//! | [`orders`] | [`Orders`], the reconciliation state of an agent |

pub mod backoff;
pub mod config;
pub mod orders;
pub mod reconcile;

pub use config::OrdersConfig;
pub use orders::{OrderReport, Orders};
pub use reconcile::ResourcesInUse;
