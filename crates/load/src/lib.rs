//! Load on the real processes: the same requests and the same table as [`cuminlead_measure`], and the
//! delay that entry and agent add.
//!
//! | module | holds |
//! |---|---|
//! | [`target`] | addresses of a running fleet, and fleets with the engine parameters of a site |
//! | [`open_loop`] | requests that start at planned times |
//! | [`table`] | row of a run |
//! | [`added`] | the same requests through the processes and directly to the stand-ins |

pub mod added;
pub mod open_loop;
pub mod table;
pub mod target;

pub use added::{AddedDelay, AddedPlan};
pub use open_loop::{LoadPlan, LoadRun, run};
pub use target::Target;
