//! Teams of callers: their keys, their priorities and the limits on their use.
//!
//! The key of a request alone names its team. Keys are held as digests only, so that none can show
//! up in a log, a metric or a status page. They are looked up in a hash map that is seeded at random
//! in each process, and what is compared are digests, so the time of a look-up tells a caller
//! nothing about other keys. Alternatives: plain keys compared in constant time, which takes time in
//! proportion to the number of keys; and digests with a secret of the process, which would make
//! two decoded configurations with the same keys unequal.
//!
//! Teams are part of one version of the configuration. A key is withdrawn by a version without it,
//! and as the version in force never decreases, it cannot become valid again by an older one.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use cuminlead_types::{TeamName, Tokens};
use sha2::{Digest, Sha256};

use crate::operator_config::{RequestPriority, Route};

/// Digest of a caller's key. Its debug form does not contain the digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key as the caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a usage limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UsageUnit {
    /// Each request counts one.
    #[default]
    Requests,
    /// A request counts its prompt tokens and the most output tokens that it may have.
    Tokens {
        /// Tokens that a request counts which states none.
        unstated: Tokens,
    },
}

/// Limit on what a team may use, over all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageLimit {
    /// What is counted.
    pub unit: UsageUnit,
    /// Units that become available in each second.
    pub rate_units_per_s: u64,
    /// Most units that accumulate while the team uses less.
    pub burst_units: u64,
}

impl UsageLimit {
    /// Units that a request counts which states the given number of tokens.
    pub fn units_of(&self, stated: Option<Tokens>) -> u64 {
        match self.unit {
            UsageUnit::Requests => 1,
            UsageUnit::Tokens { unstated } => stated.unwrap_or(unstated).0,
        }
    }
}

/// Team of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name that backend servers get.
    pub name: TeamName,
    /// Priority of its requests; `None` if that of the route applies.
    pub priority: Option<RequestPriority>,
    /// Limit on its use; `None` if there is none.
    pub limit: Option<UsageLimit>,
}

/// Why a request is not admitted by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// Teams of one version of the configuration, by the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Teams {
    by_key: HashMap<KeyDigest, Arc<Team>>,
    teams_count: usize,
}

impl Teams {
    /// Teams with their keys. A key that two teams have belongs to the first.
    pub fn new(teams: Vec<(Team, Vec<KeyDigest>)>) -> Self {
        let teams_count = teams.len();
        let mut by_key = HashMap::new();
        for (team, keys) in teams {
            let team = Arc::new(team);
            for key in keys {
                by_key.entry(key).or_insert_with(|| Arc::clone(&team));
            }
        }
        Self {
            by_key,
            teams_count,
        }
    }

    /// Number of teams, with or without keys.
    pub fn teams_count(&self) -> usize {
        self.teams_count
    }

    /// Number of different keys.
    pub fn keys_count(&self) -> usize {
        self.by_key.len()
    }

    /// Team of a request's key; `None` for a request without a known key on a route that does not
    /// check keys.
    pub fn identify(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Result<Option<Arc<Team>>, UnknownKey> {
        let team = key.and_then(|key| self.by_key.get(&key)).map(Arc::clone);
        if team.is_none() && route.checks_keys {
            return Err(UnknownKey);
        }
        Ok(team)
    }
}
