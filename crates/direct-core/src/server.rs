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
    /// Generates outputs.
    Decode,
}

/// State that a server publishes of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its in-flight requests and accepts no new ones.
    Draining,
}

/// Published entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Identifies one incarnation; a restarted server usually has a new id.
    pub id: BackendServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZoneName,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
    /// State that the server last published; its entry may have been removed since.
    pub state: ServerState,
    /// Stage of an engine; `None` for plain services.
    pub stage: Option<Stage>,
    /// Start of the incarnation, which distinguishes a restart under the same id; zero if unknown.
    pub started_at_ms: UnixMs,
}
