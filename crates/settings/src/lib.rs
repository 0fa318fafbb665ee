//! TOML settings of both binaries.
//!
//! Each key is described once, in [`entry`] or [`agent`]. From these descriptions the `settings!`
//! macro generates the struct, the table of keys, the parser, the text form and the example file.
//! Settings are read at start and never change, so there are no setters.
//!
//! | module | contents |
//! |---|---|
//! | [`entry`] | settings of the entry process |
//! | [`agent`] | settings of the agent |
//! | [`key`] | description of a key, text of the example files |
//! | [`value`] | types of values, each with its reading and printing |

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
