//! Plug-in registry, control thread, worker pool and clock.
//!
//! | module | holds |
//! |---|---|
//! | [`registry`] | the list of all plug-ins linked into a binary |
//! | [`control`] | the one thread that owns all control state of a process |
//! | [`pool`] | threads for blocking calls |
//! | [`clock`] | the clock that processes pass to decision code |

pub mod clock;
pub mod control;
pub mod pool;
pub mod registry;

pub use clock::Clock;
pub use control::{Controller, spawn_control};
pub use pool::WorkerPool;
pub use registry::{PluginInfo, PluginPoint, plugins_at};
