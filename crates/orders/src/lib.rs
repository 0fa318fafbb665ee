//! Fencing numbers, model and role orders.
//!
//! | module | holds |
//! |---|---|
//! | [`config`] | times |
//! | [`difference`] | the orders that lead from what an engine serves to what is wanted |
//! | [`backoff`] | waiting times after failed orders |
//! | [`orders`] | [`Orders`], the context of an agent |

pub mod backoff;
pub mod config;
pub mod difference;
pub mod orders;

pub use config::OrdersConfig;
pub use difference::Held;
pub use orders::{OrderReport, Orders};
