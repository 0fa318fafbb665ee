//! Observations and their text form.
//!
//! Records are stored in the text form, so its names and keys stay as they are.

use std::fmt;
use std::str::FromStr;

use cuminlead_types::{
    AttemptId, BackendServerId, CustomerId, FencingNumber, HostId, IdempotencyKey, PermitId,
    RequestId, Revision, SequenceNumber, ServiceName,
};
use strum::{Display, EnumString};

use crate::field::{Fields, Optional};

/// The text is not an observation: a missing time, an unknown name, or a missing, repeated, unknown
/// or invalid field.
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
        write!(f, "invalid observation {:?}", self.text)
    }
}

impl std::error::Error for ParseObservationError {}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// Model call.
    Model,
    /// Application call that may be executed more than once.
    Idempotent,
    /// Application call that may be executed at most once.
    NonIdempotent,
}

/// Meaning of an error for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestOutcome {
    /// The request was not executed and will not be.
    NotRun,
    /// The call may or may not have been executed.
    Unknown,
    /// The answer ended before it was complete.
    Incomplete,
}

/// Source that reports that a server drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// The published host list.
    Published,
    /// The agent beside the server.
    Agent,
}

/// Name of a KV cache on the server that computed it; not empty and without white space.
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

/// Digest of a complete answer. Callers and stand-ins must compute it in the same way.
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

/// Role, models and adapters of an engine as `role:name,name`. All observers build it with
/// [`Self::new`], so that equal assignments have equal texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAssignmentText(String);

impl EngineAssignmentText {
    /// Text for a role and the names of models and adapters, given in any order.
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

/// Defines [`Observation`] with the text form `name key=value key=value`.
macro_rules! observations {
    ($(
        $(#[$doc:meta])*
        $variant:ident = $name:literal { $($(#[$field_doc:meta])* $field:ident: $type:ty,)* }
    )*) => {
        /// Event that a stand-in, a caller or a process under test observed.
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
                let mut fields = Fields::parse(text)?;
                let observation = match fields.name {
                    $($name => Self::$variant { $($field: fields.take(stringify!($field))?),* },)*
                    _ => return Err(fields.error()),
                };
                fields.expect_empty()?;
                Ok(observation)
            }
        }
    };
}

observations! {
    /// An entry accepted a request.
    RequestAccepted = "request_accepted" {
        /// Id under which all later observations refer to it.
        request: RequestId,
        /// Host of the entry.
        process: HostId,
        /// Kind of the call.
        kind: RequestKind,
        /// Customer that sent the request.
        customer: CustomerId,
        /// Service; absent for a model call.
        service: Optional<ServiceName>,
        /// Idempotency key; absent if the caller sent none.
        key: Optional<IdempotencyKey>,
        /// Digest of the expected answer; absent if the observer does not know it.
        answer: Optional<AnswerDigest>,
    }
    /// A caller received a chunk of an answer.
    ChunkDelivered = "chunk_delivered" {
        /// Request that the answer belongs to.
        request: RequestId,
        /// Position in the answer, from 0.
        sequence: SequenceNumber,
    }
    /// A caller received the end of a complete answer.
    AnswerEnded = "answer_ended" {
        /// Request that the answer belongs to.
        request: RequestId,
        /// Digest of the received answer; absent if the observer computes none.
        answer: Optional<AnswerDigest>,
    }
    /// A caller received an error.
    RequestFailed = "request_failed" {
        /// Request that the error ends.
        request: RequestId,
        /// Outcome that the error reports.
        outcome: RequestOutcome,
    }
    /// A caller disconnected by itself.
    CallerDisconnected = "caller_gone" {
        /// Request that the caller abandoned.
        request: RequestId,
    }
    /// A caller's connection was closed without the end of the answer or an error.
    CallerCutOff = "caller_cut_off" {
        /// Request that the connection carried.
        request: RequestId,
    }
    /// An engine allocated memory for an attempt.
    SequenceStarted = "sequence_started" {
        /// Engine that holds the memory.
        server: BackendServerId,
        /// Attempt that the memory is allocated for.
        id: AttemptId,
    }
    /// An engine freed the memory of an attempt.
    SequenceFreed = "sequence_freed" {
        /// Engine that held the memory.
        server: BackendServerId,
        /// Attempt that the memory was allocated for.
        id: AttemptId,
    }
    /// An engine restarted; all of its memory is free.
    EngineRestarted = "engine_restarted" {
        /// Engine whose memory was freed.
        server: BackendServerId,
    }
    /// An engine executed an order.
    OrderCarriedOut = "order_carried_out" {
        /// Engine that received the order.
        server: BackendServerId,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Whether the engine checks fencing numbers.
        is_checked: bool,
    }
    /// An order ended a sequence whose output the agent beside the engine still read.
    SequenceCutOff = "sequence_cut_off" {
        /// Engine that ran the sequence.
        server: BackendServerId,
        /// Attempt that the sequence belonged to.
        id: AttemptId,
        /// Fencing number of the order.
        fencing: FencingNumber,
    }
    /// The newest lists assign a role, models and adapters to an engine.
    DutyPublished = "duty_published" {
        /// Engine that the lists name.
        server: BackendServerId,
        /// Assigned role, models and adapters.
        duty: EngineAssignmentText,
    }
    /// An engine began to serve a role, models and adapters.
    DutyServed = "duty_served" {
        /// Engine that changed what it serves.
        server: BackendServerId,
        /// Role, models and adapters that it serves.
        duty: EngineAssignmentText,
    }
    /// An agent received a cancel or release of an attempt.
    CancelReceived = "cancel_received" {
        /// Backend server of the agent.
        server: BackendServerId,
        /// Attempt to cancel or release.
        id: AttemptId,
    }
    /// A service executed a call.
    ServiceRan = "service_ran" {
        /// Process of the service that executed the call.
        server: BackendServerId,
        /// Request that the call belongs to.
        request: RequestId,
    }
    /// The route of a request limits the number of servers on which it may be executed.
    AttemptsBounded = "attempts_bounded" {
        /// Request that the limit applies to.
        request: RequestId,
        /// Highest number of servers.
        attempts_max_count: u32,
    }
    /// A decode slot was reserved for a request.
    SlotReserved = "place_held" {
        /// Engine whose slot is reserved.
        server: BackendServerId,
        /// Request that the slot is reserved for.
        request: RequestId,
    }
    /// A reserved slot was used or released.
    SlotReleased = "place_released" {
        /// Engine whose slot was reserved.
        server: BackendServerId,
        /// Request that the slot was reserved for.
        request: RequestId,
    }
    /// A prefill request was sent.
    PrefillSent = "prefill_sent" {
        /// Engine that is to compute the prompt.
        server: BackendServerId,
        /// Request whose prompt is computed.
        request: RequestId,
    }
    /// A decode request was sent.
    DecodeSent = "decode_sent" {
        /// Engine that generates the output.
        server: BackendServerId,
        /// Request whose output is generated.
        request: RequestId,
        /// KV cache offered for import; absent without one.
        cache: Optional<CacheName>,
    }
    /// A KV cache was fetched from the server that computed it, or no longer exists there.
    CacheConsumed = "cache_consumed" {
        /// Request that the cache was computed for.
        request: RequestId,
        /// Cache that cannot be fetched again.
        cache: CacheName,
    }
    /// An agent started a call under a permit.
    PermitStarted = "permit_started" {
        /// Backend server of the agent.
        server: BackendServerId,
        /// Permit that the call uses up.
        permit: PermitId,
        /// Request that the call belongs to.
        request: RequestId,
    }
    /// A source reported that a server drains.
    LeavingReported = "leaving_reported" {
        /// Server that the report is about.
        server: BackendServerId,
        /// Source of the report.
        source: LeavingSource,
    }
    /// A server returned with a new incarnation and is published as live.
    ServerReturned = "server_returned" {
        /// Server that is live again.
        server: BackendServerId,
    }
    /// An agent accepted new work: a decode slot, a prefill, a permit or an idempotent call.
    WorkAccepted = "work_accepted" {
        /// Backend server of the agent.
        server: BackendServerId,
        /// Attempt that the work belongs to.
        id: AttemptId,
    }
    /// The configuration service accepted a valid change.
    ListsPublished = "lists_published" {
        /// Revision of the change.
        revision: Revision,
    }
    /// A process put lists in effect.
    ListsInForce = "lists_in_force" {
        /// Host of the process.
        process: HostId,
        /// Revision of these lists.
        revision: Revision,
    }
    /// A process started.
    ProcessStarted = "process_started" {
        /// Host that the process runs on.
        process: HostId,
    }
    /// A process was shut down gracefully and has exited.
    ProcessStopped = "process_stopped" {
        /// Host that the process ran on.
        process: HostId,
        /// Requests, leases and permits still open at exit.
        open_count: u32,
    }
    /// A process was killed without a graceful shutdown.
    ProcessKilled = "process_killed" {
        /// Host that the process ran on.
        process: HostId,
    }
    /// A process lost every network path to newer lists, or was paused.
    IsolationBegan = "isolation_began" {
        /// Host of the isolated process.
        process: HostId,
    }
    /// A process runs and has a network path to newer lists again.
    IsolationEnded = "isolation_ended" {
        /// Host that the process runs on.
        process: HostId,
    }
}
