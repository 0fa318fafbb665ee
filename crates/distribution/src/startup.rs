//! Startup of a process, which queries others before it becomes ready.
//!
//! The process first queries the platform, because only the host list names the peers to query. It
//! then queries up to three peers, because the configuration service may be down or stale. The
//! highest revision wins.

use strum::Display;

/// Progress of a starting process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Startup {
    #[default]
    New,
    /// Queries the platform until the host list is known.
    AskingPlatform,
    /// Waits for the replies of peers.
    AskingPeers,
    /// All queries ended; waits for lists if there are none yet.
    Asked,
    /// Accepts requests.
    Ready,
}

impl Startup {
    /// Whether the startup queries are over, so that the process may watch the platform and follow
    /// peers.
    pub(crate) fn has_asked(self) -> bool {
        matches!(self, Self::Asked | Self::Ready)
    }
}
