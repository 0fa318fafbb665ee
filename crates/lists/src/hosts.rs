//! The platform's list of live and leaving hosts.

use cuminlead_types::{AvailabilityZoneName, BackendServerId, HostId, RegionName, Revision};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Host list at one revision, as published by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Revision at the platform, independent of that of the lists.
    pub revision: Revision,
    /// Hosts in the published order.
    pub hosts: Vec<HostEntry>,
}

/// One host and the entry or agent process on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Id, unique in the list.
    pub host: HostId,
    /// Region that the host is in.
    pub region: RegionName,
    /// Availability zone that the host is in.
    pub zone: AvailabilityZoneName,
    /// Live or leaving.
    pub state: HostState,
    /// Process that runs on the host.
    pub process: ProcessKind,
    /// IP address and port at which other processes reach it.
    pub address: String,
    /// Backend server beside the agent; absent for an entry.
    pub server: Option<BackendServerId>,
}

/// Published state of a host.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// Available for new requests.
    #[default]
    Live,
    /// Draining: the platform will remove the host.
    Leaving,
}

/// Kind of process on a host.
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
