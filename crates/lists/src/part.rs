//! Parts: the published values that plans and allowances consist of.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use cuminlead_types::Revision;
use strum::{Display, EnumString, IntoStaticStr};

/// Key of a part at the configuration service, such as `plans/base`.
///
/// Any text is a key; whether it names a kind of part is a matter of checking, so that an unknown
/// key becomes a finding and not a failure to read the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey(String);

impl PartKey {
    /// Key with this text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Kind of the part, or `None` when the key names no part of the lists.
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

/// Kind of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PartKind {
    /// Plans and customers.
    Plans,
    /// Servers, routes and allowances.
    Allowances,
}

/// One published value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Key.
    pub key: PartKey,
    /// Revision at which the value was last changed.
    pub revision: Revision,
    /// TOML text.
    pub text: String,
}
