//! Errors of conversions from protobuf messages.

use std::fmt;

use cuminlead_types::ids::ParseIdError;

/// Why a received message is invalid. The texts are sent back to the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// A required field is missing; names the field.
    Missing(&'static str),
    /// The value of a field is outside the range of its type; names the field.
    Invalid(&'static str),
    /// A field contains a malformed id.
    Id(ParseIdError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(field) => write!(f, "field {field} is missing"),
            Self::Invalid(field) => write!(f, "field {field} is not valid"),
            Self::Id(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for WireError {}

impl From<ParseIdError> for WireError {
    fn from(error: ParseIdError) -> Self {
        Self::Id(error)
    }
}

/// Returns the value of a required field.
pub(crate) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, WireError> {
    value.ok_or(WireError::Missing(field))
}
