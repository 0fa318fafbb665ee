//! Parts: the published TOML documents that plans and allowances consist of.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use cuminlead_types::Revision;
use strum::{Display, EnumString, IntoStaticStr};

/// Key of a part at the configuration service, such as `plans/base`.
///
/// Any text is accepted as a key. The check of the snapshot reports a key of unknown kind as a
/// finding, so that it does not prevent the snapshot from being read.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey(String);

impl PartKey {
    /// Makes a key without checking its kind.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The key as published.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Kind from the prefix before `/`; `None` if that is no [`PartKind`] or nothing follows it.
    pub fn kind(&self) -> Option<PartKind> {
        let (kind, name) = self.0.split_once('/')?;
        if name.is_empty() {
            return None;
        }
        kind.parse().ok()
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PartKey {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::new(text))
    }
}

/// Kind of a part, the prefix of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PartKind {
    /// Plans and customers.
    Plans,
    /// Servers, routes and allowances.
    Allowances,
}

/// One published document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Key under which it is published.
    pub key: PartKey,
    /// Revision of its last change.
    pub revision: Revision,
    /// TOML document.
    pub text: String,
}
