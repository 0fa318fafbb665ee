//! The trait of policies, what they see, and their registration.

use std::cell::Cell;
use std::fmt;

use cuminlead_types::{DurationUs, KvPieces, RegionName, TimeUs};

use crate::config::RoutingConfig;
use crate::link::Links;
use crate::pools::{ModelPool, RegionPool, ServicePool};
use crate::prefix::PrefixMemory;
use crate::request::{ModelRequirements, RouteRequest};
use crate::servers::{ServerKey, ServerRecord, Servers};
use crate::usability::Usability;

/// Decode and prefill server in one region.
#[derive(Clone, Copy, Debug)]
pub struct Pair<'a> {
    /// Region of both.
    pub region: &'a RegionPool,
    /// Decode server.
    pub decode: ServerKey,
    /// Prefill server.
    pub prefill: ServerKey,
}

/// Chooses servers for calls.
pub trait RoutingPolicy: fmt::Debug + Send {
    /// Whether a decode place is reserved before the prefill starts.
    fn reserves_first(&self) -> bool {
        true
    }

    /// Chooses a decode and a prefill server in one region.
    fn pair<'a>(
        &mut self,
        view: &View<'_>,
        pool: &'a ModelPool,
        need: &ModelRequirements,
    ) -> Option<Pair<'a>>;

    /// Chooses another prefill server in a region.
    fn prefill(
        &mut self,
        view: &View<'_>,
        pool: &ModelPool,
        region: &RegionPool,
        need: &ModelRequirements,
    ) -> Option<ServerKey>;

    /// Chooses a server of a service.
    fn service(&mut self, view: &View<'_>, pool: &ServicePool) -> Option<ServerKey>;
}

/// Registration of a policy.
pub struct PolicyPlugin {
    /// Name in settings.
    pub name: &'static str,
    /// Makes a policy.
    pub build: fn(&RoutingConfig) -> Box<dyn RoutingPolicy>,
}

inventory::collect!(PolicyPlugin);

/// Name for which no policy is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPolicy {
    /// Name that was asked for.
    pub name: String,
    /// Names that are registered.
    pub known: Vec<&'static str>,
}

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = self.known.join(", ");
        write!(f, "unknown routing policy {:?}; known: {known}", self.name)
    }
}

impl std::error::Error for UnknownPolicy {}

/// Policy of a name.
pub fn build_policy(
    name: &str,
    config: &RoutingConfig,
) -> Result<Box<dyn RoutingPolicy>, UnknownPolicy> {
    let plugins = || inventory::iter::<PolicyPlugin>.into_iter();
    if let Some(plugin) = plugins().find(|plugin| plugin.name == name) {
        return Ok((plugin.build)(config));
    }
    let mut known: Vec<_> = plugins().map(|plugin| plugin.name).collect();
    known.sort_unstable();
    let name = name.to_string();
    Err(UnknownPolicy { name, known })
}

/// Server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Key.
    pub key: ServerKey,
    /// What is known about it.
    pub record: &'a ServerRecord,
    /// Whether it should be chosen only when no other server can be.
    pub is_fallback: bool,
}

/// Cost of a choice; a smaller one is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Servers of the choice that should be chosen only when no other can be.
    pub fallback_count: u32,
    /// Cost as a time.
    pub time_us: DurationUs,
}

/// What a policy sees during one decision.
pub struct View<'a> {
    /// Present time.
    pub now: TimeUs,
    /// Settings.
    pub config: &'a RoutingConfig,
    /// The call.
    pub need: &'a RouteRequest,
    /// Number of the decision, mixed with the seed of the entry.
    pub spread: u64,
    pub(crate) servers: &'a Servers,
    pub(crate) usability: &'a dyn Usability,
    pub(crate) prefixes: &'a PrefixMemory,
    pub(crate) links: &'a Links,
    pub(crate) is_budget_used: Cell<bool>,
}

impl<'a> View<'a> {
    /// What is known about a server, whether or not it may be chosen.
    pub fn record(&self, key: ServerKey) -> Option<&'a ServerRecord> {
        self.servers.get(key)
    }

    /// Server, if it may be chosen for the call.
    pub fn admit(&self, key: ServerKey) -> Option<Candidate<'a>> {
        let record = self.servers.get(key)?;
        let is_live = record.location.as_ref().is_some_and(|l| l.is_live);
        let is_allowed = self.need.allowed.is_empty() || self.need.allowed.contains(&record.id);
        if !is_live || !is_allowed || self.need.excluded.contains(&record.id) {
            return None;
        }
        if !self.usability.is_usable(self.now, &record.id) {
            return None;
        }
        if self.need.is_retry && !record.budget.allows(self.now) {
            self.is_budget_used.set(true);
            return None;
        }
        let is_fallback = !self.usability.is_preferred(self.now, &record.id);
        Some(Candidate {
            key,
            record,
            is_fallback,
        })
    }

    /// Leading prompt blocks that a server has probably cached; `salt` is the hash of the model.
    pub fn cached_blocks(
        &self,
        record: &ServerRecord,
        salt: u64,
        need: &ModelRequirements,
    ) -> usize {
        self.prefixes
            .cached_blocks(self.now, record.salt ^ salt, &need.prefix_hashes)
    }

    /// Time until a server has computed the prompts that wait.
    pub fn prefill_wait(&self, record: &ServerRecord) -> DurationUs {
        let mean = self.servers.mean_load(record.group);
        record.load.prefill_wait(self.now, mean, self.config)
    }

    /// Time until a server has a place for a decode of this size.
    pub fn decode_wait(&self, record: &ServerRecord, pieces: KvPieces) -> DurationUs {
        let mean = self.servers.mean_load(record.group);
        record.load.decode_wait(self.now, pieces, mean, self.config)
    }

    /// Requests that a server has.
    pub fn requests(&self, record: &ServerRecord) -> u64 {
        let mean = self.servers.mean_load(record.group);
        record.load.requests(self.now, mean, self.config)
    }

    /// Regions with the entry's own first.
    pub fn own_first<'p, R>(
        &self,
        regions: &'p [R],
        name: impl Fn(&R) -> &RegionName,
    ) -> impl Iterator<Item = &'p R> {
        let own = regions.iter().position(|r| *name(r) == self.config.region);
        let others = (0..regions.len()).filter(move |index| Some(*index) != own);
        own.into_iter().chain(others).map(|index| &regions[index])
    }
}
