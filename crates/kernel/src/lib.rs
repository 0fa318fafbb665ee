//! Plug-in registry, control thread, worker pool and clock.
//!
//! | module | contents |
//! |---|---|
//! | [`registry`] | list of all plug-ins linked into a binary |
//! | [`control`] | thread that owns all control state of a process |
//! | [`pool`] | thread pool for blocking calls |
//! | [`clock`] | clock from which decision code gets its time arguments |

pub mod clock;
pub mod control;
pub mod pool;
pub mod registry;

pub use clock::Clock;
pub use control::{Controller, spawn_control};
pub use pool::WorkerPool;
pub use registry::{PluginInfo, PluginPoint, plugins_at};
