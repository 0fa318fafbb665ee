//! What can be observed.

use std::fmt;
use std::str::FromStr;

use cuminlead_types::{
    AttemptId, BackendServerId, CustomerId, FencingNumber, HostId, IdempotencyKey, PermitId,
    RequestId, Revision, SequenceNumber, ServiceName,
};
use strum::{Display, EnumString};

use crate::field::{Fields, Optional};

/// Text that is not an observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseObservationError {
    text: String,
}

impl ParseObservationError {
    pub(crate) fn new(text: &str) -> Self {
        let text = text.to_string();
        Self { text }
    }
}

impl fmt::Display for ParseObservationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not an observation", self.text)
    }
}

impl std::error::Error for ParseObservationError {}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// Model call.
    Model,
    /// Application call that may run again.
    Idempotent,
    /// Application call that may run once.
    NonIdempotent,
}

/// What a caller was told by an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestOutcome {
    /// The request did not run and will not.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// The answer ended before it was whole.
    Incomplete,
}

/// Source that says that a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// The published host list.
    Published,
    /// The agent beside the server.
    Agent,
}

/// Name of a KV cache at the server that computed it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheName(pub String);

impl fmt::Display for CacheName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for CacheName {
    type Err = ParseObservationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.contains(char::is_whitespace) {
            return Err(ParseObservationError::new(text));
        }
        Ok(Self(text.to_string()))
    }
}

/// Digest of a whole answer, made by callers and stand-ins in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerDigest(pub u64);

impl fmt::Display for AnswerDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AnswerDigest {
    type Err = ParseObservationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseObservationError::new(text))
    }
}

/// Role, models and adapters of an engine in one word, made by observers in the same way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAssignmentText(String);

impl EngineAssignmentText {
    /// Text of a role and of the names of models and adapters, in any order.
    pub fn new(role: &str, mut names: Vec<String>) -> Self {
        names.sort_unstable();
        names.dedup();
        Self(format!("{role}:{}", names.join(",")))
    }
}

impl fmt::Display for EngineAssignmentText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for EngineAssignmentText {
    type Err = ParseObservationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.contains(':') {
            true => Ok(Self(text.to_string())),
            false => Err(ParseObservationError::new(text)),
        }
    }
}

/// Defines the observations with the text form `name key=value key=value`.
macro_rules! observations {
    ($(
        $(#[$doc:meta])*
        $variant:ident = $name:literal { $($(#[$field_doc:meta])* $field:ident: $type:ty,)* }
    )*) => {
        /// One observation.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Observation {
            $($(#[$doc])* $variant { $($(#[$field_doc])* $field: $type,)* },)*
        }

        impl fmt::Display for Observation {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self {
                    $(Self::$variant { $($field),* } => {
                        f.write_str($name)?;
                        $(write!(f, " {}={}", stringify!($field), $field)?;)*
                        Ok(())
                    })*
                }
            }
        }

        impl FromStr for Observation {
            type Err = ParseObservationError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let mut fields = Fields::of(text)?;
                let observation = match fields.name {
                    $($name => Self::$variant { $($field: fields.take(stringify!($field))?),* },)*
                    _ => return Err(fields.error()),
                };
                fields.end()?;
                Ok(observation)
            }
        }
    };
}

observations! {
    /// An entry accepted a request of a caller.
    RequestAccepted = "request_accepted" {
        /// Request.
        request: RequestId,
        /// Host of the entry.
        process: HostId,
        /// Kind.
        kind: RequestKind,
        /// Customer.
        customer: CustomerId,
        /// Service, for an application call.
        service: Optional<ServiceName>,
        /// Caller's key.
        key: Optional<IdempotencyKey>,
        /// Digest of the right answer, where the observer knows it.
        answer: Optional<AnswerDigest>,
    }
    /// A caller received part of an answer.
    ChunkDelivered = "chunk_delivered" {
        /// Request.
        request: RequestId,
        /// Position.
        sequence: SequenceNumber,
    }
    /// A caller received the end of a whole answer.
    AnswerEnded = "answer_ended" {
        /// Request.
        request: RequestId,
        /// Digest of what the caller received.
        answer: Optional<AnswerDigest>,
    }
    /// A caller received an error.
    RequestFailed = "request_failed" {
        /// Request.
        request: RequestId,
        /// What the caller was told.
        outcome: RequestOutcome,
    }
    /// A caller went away on its own.
    CallerDisconnected = "caller_gone" {
        /// Request.
        request: RequestId,
    }
    /// A caller's connection ended without an ending of the answer.
    CallerCutOff = "caller_cut_off" {
        /// Request.
        request: RequestId,
    }
    /// An engine took memory for an attempt.
    SequenceStarted = "sequence_started" {
        /// Engine.
        server: BackendServerId,
        /// Attempt.
        id: AttemptId,
    }
    /// An engine freed the memory of an attempt.
    SequenceFreed = "sequence_freed" {
        /// Engine.
        server: BackendServerId,
        /// Attempt.
        id: AttemptId,
    }
    /// An engine restarted and holds nothing.
    EngineRestarted = "engine_restarted" {
        /// Engine.
        server: BackendServerId,
    }
    /// An engine carried out an order.
    OrderCarriedOut = "order_carried_out" {
        /// Engine.
        server: BackendServerId,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Whether the engine checks fencing numbers.
        is_checked: bool,
    }
    /// An order ended a sequence that the agent beside the engine still read.
    SequenceCutOff = "sequence_cut_off" {
        /// Engine.
        server: BackendServerId,
        /// Attempt.
        id: AttemptId,
        /// Fencing number of the order.
        fencing: FencingNumber,
    }
    /// The newest lists want an engine to serve this.
    DutyPublished = "duty_published" {
        /// Engine.
        server: BackendServerId,
        /// What it should serve.
        duty: EngineAssignmentText,
    }
    /// An engine began to serve this.
    DutyServed = "duty_served" {
        /// Engine.
        server: BackendServerId,
        /// What it serves.
        duty: EngineAssignmentText,
    }
    /// An agent received a cancel or a release of an attempt.
    CancelReceived = "cancel_received" {
        /// Backend server of the agent.
        server: BackendServerId,
        /// Attempt.
        id: AttemptId,
    }
    /// A service ran a call.
    ServiceRan = "service_ran" {
        /// Service process.
        server: BackendServerId,
        /// Request.
        request: RequestId,
    }
    /// The route of a request bounds the servers on which it may run.
    AttemptsBounded = "attempts_bounded" {
        /// Request.
        request: RequestId,
        /// Most servers.
        attempts_max_count: u32,
    }
    /// A place for the answer to a request was held at a decode server.
    SlotReserved = "place_held" {
        /// Decode server.
        server: BackendServerId,
        /// Request.
        request: RequestId,
    }
    /// A held place was used or given back.
    SlotReleased = "place_released" {
        /// Decode server.
        server: BackendServerId,
        /// Request.
        request: RequestId,
    }
    /// A prefill server was asked to compute a prompt.
    PrefillSent = "prefill_sent" {
        /// Prefill server.
        server: BackendServerId,
        /// Request.
        request: RequestId,
    }
    /// A decode server was asked for an answer.
    DecodeSent = "decode_sent" {
        /// Decode server.
        server: BackendServerId,
        /// Request.
        request: RequestId,
        /// Cache that it was to take.
        cache: Optional<CacheName>,
    }
    /// A KV cache was taken from the server that computed it, or is gone there.
    CacheConsumed = "cache_consumed" {
        /// Request.
        request: RequestId,
        /// Cache.
        cache: CacheName,
    }
    /// An agent started a call under a permit.
    PermitStarted = "permit_started" {
        /// Backend server of the agent.
        server: BackendServerId,
        /// Permit.
        permit: PermitId,
        /// Request.
        request: RequestId,
    }
    /// A source says that a server leaves.
    LeavingReported = "leaving_reported" {
        /// Server.
        server: BackendServerId,
        /// Source.
        source: LeavingSource,
    }
    /// A server is back with a new incarnation and published live.
    ServerReturned = "server_returned" {
        /// Server.
        server: BackendServerId,
    }
    /// An agent accepted new work: a decode place, a prefill, a permit or an idempotent call.
    WorkAccepted = "work_accepted" {
        /// Backend server of the agent.
        server: BackendServerId,
        /// Attempt.
        id: AttemptId,
    }
    /// The configuration service accepted a valid change.
    ListsPublished = "lists_published" {
        /// Revision of the change.
        revision: Revision,
    }
    /// A process put lists in force.
    ListsInForce = "lists_in_force" {
        /// Host of the process.
        process: HostId,
        /// Revision.
        revision: Revision,
    }
    /// A process started.
    ProcessStarted = "process_started" {
        /// Host.
        process: HostId,
    }
    /// A process was shut down gracefully and has exited.
    ProcessStopped = "process_stopped" {
        /// Host.
        process: HostId,
        /// Requests, leases and permits that it still held.
        open_count: u32,
    }
    /// A process was ended at once.
    ProcessKilled = "process_killed" {
        /// Host.
        process: HostId,
    }
    /// A process lost every path to newer lists, or was paused.
    IsolationBegan = "isolation_began" {
        /// Host.
        process: HostId,
    }
    /// A process runs and has a path to newer lists again.
    IsolationEnded = "isolation_ended" {
        /// Host.
        process: HostId,
    }
}
