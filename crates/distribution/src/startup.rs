//! What a fresh process asks before it is ready.
//!
//! It asks the platform first, because only the host list tells it whom else to ask; then up to
//! three peers, because the configuration service may be down or stale. The highest revision wins.

use strum::Display;

/// Progress of a fresh process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Startup {
    /// Not started.
    #[default]
    New,
    /// Asks the platform.
    AskingPlatform,
    /// Asks peers.
    AskingPeers,
    /// Asked everyone; waits for lists if it has none.
    Asked,
    /// May accept work.
    Ready,
}

impl Startup {
    /// Whether the process takes part in reading and following.
    pub(crate) fn has_asked(self) -> bool {
        matches!(self, Self::Asked | Self::Ready)
    }
}
