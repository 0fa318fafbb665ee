//! Plug-in registry, control thread and shutdown.
//!
//! | module | holds |
//! |---|---|
//! | [`registry`] | the list of all plug-ins linked into a binary |

pub mod registry;

pub use registry::{PluginInfo, PluginPoint, plugins_at};
