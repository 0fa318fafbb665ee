//! Fencing numbers, model and role orders.
//!
//! | module | holds |
//! |---|---|
//! | [`config`] | times |
//! | [`reconcile`] | the orders that lead from what an engine serves to what is wanted |
//! | [`backoff`] | waiting times after failed orders |
//! | [`orders`] | [`Orders`], the context of an agent |

pub mod backoff;
pub mod config;
pub mod orders;
pub mod reconcile;

pub use config::OrdersConfig;
pub use orders::{OrderReport, Orders};
pub use reconcile::ResourcesInUse;
