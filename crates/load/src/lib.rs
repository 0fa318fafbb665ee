//! Load tests of the real processes: the requests and the table of [`cuminlead_measure`], and the
//! delay that entry and agent add to a request.
//!
//! | module | contents |
//! |---|---|
//! | [`target`] | addresses of a running fleet, and fleets with the engine parameters of a site |
//! | [`open_loop`] | open-loop load: requests that start at planned times |
//! | [`table`] | table row of a run |
//! | [`added_delay`] | the same requests through the processes and directly to the stand-ins |

pub mod added_delay;
pub mod open_loop;
pub mod table;
pub mod target;

pub use added_delay::{AddedDelay, AddedPlan};
pub use open_loop::{LoadPlan, LoadRun, run};
pub use target::Target;
