//! The platform's list of live and leaving hosts.

use cuminlead_types::{AvailabilityZoneName, BackendServerId, HostId, RegionName, Revision};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Published list of hosts at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Revision of the list.
    pub revision: Revision,
    /// Hosts in the published order.
    pub hosts: Vec<HostEntry>,
}

/// One host and the process of the system on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Host.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: AvailabilityZoneName,
    /// Whether the host is live or leaving.
    pub state: HostState,
    /// Process of the system on the host.
    pub process: ProcessKind,
    /// IP address and port of that process for other processes of the system.
    pub address: String,
    /// Backend server beside an agent.
    pub server: Option<BackendServerId>,
}

/// Published state of a host.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// In use.
    #[default]
    Live,
    /// About to be removed.
    Leaving,
}

/// Kind of process of the system.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum ProcessKind {
    /// Entry process.
    #[default]
    Entry,
    /// Agent beside a backend server.
    Agent,
}
