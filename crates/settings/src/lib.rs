//! TOML settings of both binaries.
//!
//! Each key is described once, in [`entry`] or [`agent`]; the `settings!` macro makes the struct, the
//! table of keys, the check, the text form and the example file from that description. Settings
//! are read at start and never change, so there are no functions that set one.
//!
//! | module | holds |
//! |---|---|
//! | [`entry`] | settings of the entry process |
//! | [`agent`] | settings of the agent |
//! | [`key`] | description of a key, example text |
//! | [`value`] | types of values and how each is read and printed |

pub mod agent;
pub mod entry;
pub mod key;
mod macros;
mod reader;
pub mod value;

pub use agent::AgentSettings;
pub use entry::EntrySettings;
pub use key::*;
pub use value::*;
