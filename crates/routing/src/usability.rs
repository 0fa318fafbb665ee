//! Interface through which the router queries membership.

use cuminlead_types::{BackendServerId, TimeUs};

/// Whether a backend server may get new work.
pub trait Usability {
    /// Whether the server may get new work.
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool;

    /// Whether the server may be chosen while another usable one exists.
    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool;
}
