//! Interface through which the router queries membership.

use cuminlead_types::{BackendServerId, TimeUs};

/// Whether backend servers may receive new requests.
pub trait Usability {
    /// Whether the server may receive new requests.
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool;

    /// Whether the server may be chosen while others are usable; if false, it is a fallback server.
    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool;
}
