//! Errors of conversions from the wire.

use std::fmt;

use cuminlead_types::ids::ParseIdError;

/// A message from the wire that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// A required field is missing.
    Missing(&'static str),
    /// A field holds a value outside its type.
    Invalid(&'static str),
    /// A field does not hold a valid id.
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

/// Value of a field that must be present.
pub(crate) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, WireError> {
    value.ok_or(WireError::Missing(field))
}
