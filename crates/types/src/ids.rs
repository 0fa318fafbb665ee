//! Ids of customers, hosts, backend servers, models and requests, and the numbers of attempts,
//! incarnations, revisions and chunks.

use std::fmt;
use std::str::FromStr;

use crate::macros::{name_type, number_type};

/// Longest name that is accepted, in bytes.
pub const NAME_MAX_BYTES: usize = 128;

/// Error for text that is not a valid id or number; names the type and quotes the text, cut off
/// after [`NAME_MAX_BYTES`] characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseIdError {
    type_name: &'static str,
    text: String,
}

impl ParseIdError {
    pub(crate) fn new(type_name: &'static str, text: &str) -> Self {
        let text = text.chars().take(NAME_MAX_BYTES).collect();
        Self { type_name, text }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.type_name)
    }
}

impl std::error::Error for ParseIdError {}

pub(crate) fn check_name(type_name: &'static str, text: &str) -> Result<(), ParseIdError> {
    let is_valid = !text.is_empty()
        && text.len() <= NAME_MAX_BYTES
        && text.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if is_valid {
        Ok(())
    } else {
        Err(ParseIdError::new(type_name, text))
    }
}

name_type!(
    /// Id of a customer of the operator.
    CustomerId
);
name_type!(
    /// Name of a plan; a customer has one.
    PlanName
);
name_type!(
    /// Id of a backend server, which is a model engine or a plain service process.
    BackendServerId
);
name_type!(
    /// Id of a host that runs a process of the system.
    HostId
);
name_type!(
    /// Name of an availability zone.
    AvailabilityZoneName
);
name_type!(
    /// Name of a region, which has one or more availability zones.
    RegionName
);
name_type!(
    /// Name of a model that engines serve.
    ModelName
);
name_type!(
    /// Name of an adapter that is loaded on top of a model.
    AdapterName
);
name_type!(
    /// Id of a part that prompts have in common, such as a system prompt or a document.
    PromptPartId
);
name_type!(
    /// Version of a model's weights.
    VersionName
);
name_type!(
    /// Name of a team, to which the keys of callers belong.
    TeamName
);
name_type!(
    /// Name of a plain service.
    ServiceName
);
name_type!(
    /// Id of an entry process.
    EntryId
);
name_type!(
    /// Idempotency key that a caller sends with a service call.
    IdempotencyKey
);

number_type!(
    /// Number of an attempt to serve a request, from 1.
    Attempt(u32)
);
number_type!(
    /// Incarnation of an agent (one start of its process): time of the start in Unix milliseconds.
    Incarnation(u64)
);
number_type!(
    /// Revision of the lists or of the host list, as numbered by the platform.
    Revision(u64)
);
number_type!(
    /// Era of the platform's registry. A newer one begins when the registry is restored from an older
    /// copy; revisions of two eras cannot be compared.
    Era(u64)
);
number_type!(
    /// Position of a chunk in the output of a request, from 0.
    SequenceNumber(u64)
);
number_type!(
    /// Priority of a request; a larger number is served first.
    Priority(u8)
);

impl SequenceNumber {
    /// Next position.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Attempt {
    /// First attempt of a request.
    pub const FIRST: Self = Self(1);

    /// Next attempt.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Id of a caller's request, unique across all entries. Its text form has 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("RequestId", text);
        if text.len() != 32 {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| error())
    }
}

/// Id of one attempt of a request. An agent allocates resources to attempts, not to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (request, attempt) = text
            .split_once('/')
            .ok_or_else(|| ParseIdError::new("AttemptId", text))?;
        Ok(Self {
            request: request.parse()?,
            attempt: attempt.parse()?,
        })
    }
}

/// Id of a single-use permit for a non-idempotent call, valid for one incarnation of one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// Incarnation of the agent that issued the permit.
    pub incarnation: Incarnation,
    /// Number of the permit within the incarnation.
    pub number: u64,
}

impl fmt::Display for PermitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.number)
    }
}

impl FromStr for PermitId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("PermitId", text);
        let (incarnation, number) = text.split_once('.').ok_or_else(error)?;
        let number = number.parse().map_err(|_| error())?;
        Ok(Self {
            incarnation: incarnation.parse()?,
            number,
        })
    }
}

/// Fencing number of an engine order. An engine that checks it rejects an order with a smaller
/// number than the largest one that it has accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingNumber {
    /// Incarnation of the agent that issued the order.
    pub incarnation: Incarnation,
    /// Number of the order within the incarnation.
    pub order: u64,
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.order)
    }
}

impl FromStr for FencingNumber {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("FencingNumber", text);
        let (incarnation, order) = text.split_once('.').ok_or_else(error)?;
        let order = order.parse().map_err(|_| error())?;
        Ok(Self {
            incarnation: incarnation.parse()?,
            order,
        })
    }
}
