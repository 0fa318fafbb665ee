//! Findings: problems in input, each with its location, collected and reported together.
//!
//! A check that stopped at the first problem would make its user fix a file one line at a time, so
//! every check adds its problems to a [`Findings`] and continues.

use std::fmt;

/// Location in a file or list that a finding is about.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Name of the file, key of the list part, or another name of the input.
    pub file: String,
    /// Line from 1, or 0 when the finding is about the whole file.
    pub line: u32,
    /// Key within the file, or empty when the finding is about no single key.
    pub key: String,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        Ok(())
    }
}

/// One problem in input.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where the problem is.
    pub location: SourceLocation,
    /// Description of the problem for operators.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// All problems of one check; `Display` prints one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn add(&mut self, location: SourceLocation, message: impl Into<String>) {
        self.0.push(Finding {
            location,
            message: message.into(),
        });
    }

    /// Adds all findings of another check.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Findings in the order in which they were added.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Returns `Ok(value)` without findings, else the findings as the error.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
