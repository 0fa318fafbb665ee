//! Load on the real processes: the same requests and the same table as [`crate::measure`].
//!
//! | module | holds |
//! |---|---|
//! | [`target`] | addresses of a running fleet, and fleets with the engine parameters of a site |
//! | [`open_loop`] | requests that start at planned times |
//! | [`table`] | row of a run |

pub mod open_loop;
pub mod table;
pub mod target;

pub use open_loop::{LoadPlan, LoadRun, run};
pub use target::Target;
