//! State machines of one request at an entry process.
//!
//! [`ModelCall`] and [`ApplicationCall`] take an event and the current time and return actions.
//! They do no I/O and read no clock. In an entry process the traffic thread of the request executes
//! the actions; the fault matrix and the measuring tool drive the same code in simulated time.

pub mod application;
pub mod call;
mod cause;
pub mod config;
pub mod error;
pub mod model;
mod outstanding;
pub mod stall;
mod turn;

pub use application::{ApplicationCall, ApplicationRequest};
pub use call::*;
pub use config::CallConfig;
pub use error::{CallOutcome, CallerError, ErrorCode};
pub use model::{ModelCall, ModelRequest};
pub use stall::{MonitoredCall, PendingStep, StallReports};
