//! Published entry of a backend server.

use std::net::SocketAddr;

use cuminlead_types::{AvailabilityZoneName, BackendServerId, ServiceName, Slots, UnixMs};
use strum::{Display, EnumString};

/// Part of a model call that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Computes prompts.
    Prefill,
    /// Generates answers.
    Decode,
}

/// State that a server publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// Published entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Identity of one incarnation; a restarted server mostly has a new one.
    pub id: BackendServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Published state.
    pub state: ServerState,
    /// Stage of an engine; none for plain services.
    pub stage: Option<Stage>,
    /// Start of the incarnation, which tells a restart under the same id; zero when unknown.
    pub started_at_ms: UnixMs,
}
