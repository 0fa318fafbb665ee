//! Parser of the text form `name key=value key=value`.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use crate::observation::ParseObservationError;

/// Optional field. `None` prints as an empty value; no id prints as one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Optional<T>(pub Option<T>);

impl<T: fmt::Display> fmt::Display for Optional<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => Ok(()),
        }
    }
}

impl<T: FromStr> FromStr for Optional<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Ok(Self(None));
        }
        text.parse().map(|value| Self(Some(value)))
    }
}

/// Name and fields of one line.
pub(crate) struct Fields<'a> {
    pub(crate) name: &'a str,
    text: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn parse(text: &'a str) -> Result<Self, ParseObservationError> {
        let error = || ParseObservationError::new(text);
        let mut words = text.split_whitespace();
        let name = words.next().ok_or_else(error)?;
        let mut values = BTreeMap::new();
        for word in words {
            let (key, value) = word.split_once('=').ok_or_else(error)?;
            if values.insert(key, value).is_some() {
                return Err(error());
            }
        }
        Ok(Self { name, text, values })
    }

    /// Removes and parses a field; what remains after the last field is unknown.
    pub(crate) fn take<T: FromStr>(&mut self, key: &str) -> Result<T, ParseObservationError> {
        let value = self.values.remove(key).ok_or_else(|| self.error())?;
        value.parse().map_err(|_| self.error())
    }

    /// Fails when unknown fields remain.
    pub(crate) fn expect_empty(&self) -> Result<(), ParseObservationError> {
        if self.values.is_empty() {
            Ok(())
        } else {
            Err(self.error())
        }
    }

    pub(crate) fn error(&self) -> ParseObservationError {
        ParseObservationError::new(self.text)
    }
}
