//! The state of one request at an entry.
//!
//! [`ModelCall`] and [`ApplicationCall`] take an event and the present time and return actions. The
//! traffic thread of the request carries the actions out; the fault matrix and the measuring tool
//! drive the same code.

pub mod application;
pub mod call;
mod cause;
pub mod config;
pub mod error;
pub mod model;
mod sends;
mod turn;
pub mod watch;

pub use application::{ApplicationCall, ApplicationRequest};
pub use call::*;
pub use config::CallConfig;
pub use error::{CallOutcome, CallerError, ErrorCode};
pub use model::{ModelCall, ModelRequest};
pub use watch::{Awaited, MonitoredCall, StallReports};
