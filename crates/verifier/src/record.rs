//! Record of observations, printed and parsed as one line for each.

use std::fmt;
use std::str::FromStr;

use cuminlead_types::{Findings, SourceLocation, TimeUs};

use crate::observation::{Observation, ParseObservationError};

/// Observation with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    /// Time on the common clock of the record.
    pub at: TimeUs,
    /// What was observed; it states no time itself.
    pub what: Observation,
}

impl fmt::Display for Observed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.at, self.what)
    }
}

impl FromStr for Observed {
    type Err = ParseObservationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseObservationError::new(text);
        let (at, what) = text.split_once(' ').ok_or_else(error)?;
        Ok(Self {
            at: at.parse().map_err(|_| error())?,
            what: what.parse()?,
        })
    }
}

/// Append-only list of observations, in the order in which they were appended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    observations: Vec<Observed>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an observation.
    pub fn push(&mut self, at: TimeUs, what: Observation) {
        self.observations.push(Observed { at, what });
    }

    /// Observations in the order in which they were appended.
    pub fn iter(&self) -> std::slice::Iter<'_, Observed> {
        self.observations.iter()
    }

    /// Number of observations.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether the record has no observations.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for observed in &self.observations {
            writeln!(f, "{observed}")?;
        }
        Ok(())
    }
}

impl FromStr for Record {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut record = Self::new();
        let mut findings = Findings::new();
        for (index, line) in text.lines().enumerate() {
            match line.parse() {
                Ok(observed) => record.observations.push(observed),
                Err(error) => findings.add(location_of_line(index), error.to_string()),
            }
        }
        findings.into_result(record)
    }
}

/// Line of an observation in the text form, counted from 1.
pub(crate) fn location_of_line(index: usize) -> SourceLocation {
    SourceLocation {
        file: "record".to_string(),
        line: u32::try_from(index + 1).unwrap_or(u32::MAX),
        key: String::new(),
    }
}
