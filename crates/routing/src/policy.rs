//! The policy trait, the view of the router that a policy gets, and policy registration.

use std::cell::Cell;
use std::fmt;

use cuminlead_types::{DurationUs, KvPieces, RegionName, TimeUs};

use crate::config::RoutingConfig;
use crate::link::Links;
use crate::pools::{ModelPool, RegionPool, ServicePool};
use crate::prefix::PrefixTable;
use crate::request::{ModelRequirements, RouteRequest};
use crate::servers::{ServerKey, ServerRecord, Servers};
use crate::usability::Usability;

/// Decode and prefill server in one region.
#[derive(Clone, Copy, Debug)]
pub struct Pair<'a> {
    /// Pool of the region of both servers.
    pub region: &'a RegionPool,
    /// Engine that generates the output.
    pub decode: ServerKey,
    /// Engine that computes the prompt.
    pub prefill: ServerKey,
}

/// Chooses servers for calls. A method returns `None` if no server may be chosen.
pub trait RoutingPolicy: fmt::Debug + Send {
    /// Whether a decode slot is reserved before the prefill starts.
    fn reserves_first(&self) -> bool {
        true
    }

    /// Chooses a decode and a prefill server in one region.
    fn choose_pair<'a>(
        &mut self,
        view: &PolicyView<'_>,
        pool: &'a ModelPool,
        requirements: &ModelRequirements,
    ) -> Option<Pair<'a>>;

    /// Chooses a new prefill server in the region of the reserved decode slot.
    fn choose_prefill(
        &mut self,
        view: &PolicyView<'_>,
        pool: &ModelPool,
        region: &RegionPool,
        requirements: &ModelRequirements,
    ) -> Option<ServerKey>;

    /// Chooses a server of a service.
    fn choose_service(&mut self, view: &PolicyView<'_>, pool: &ServicePool) -> Option<ServerKey>;
}

/// Registration of a policy.
pub struct PolicyPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Creates the policy.
    pub build: fn(&RoutingConfig) -> Box<dyn RoutingPolicy>,
}

inventory::collect!(PolicyPlugin);

/// Error: no policy is registered under the requested name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPolicy {
    /// Name that is not registered.
    pub name: String,
    /// Names of all registered policies, in alphabetical order.
    pub known: Vec<&'static str>,
}

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = self.known.join(", ");
        write!(f, "unknown routing policy {:?}; known: {known}", self.name)
    }
}

impl std::error::Error for UnknownPolicy {}

/// Creates the policy with the given name.
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

/// Server that may be chosen for a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Key of the server.
    pub key: ServerKey,
    /// Record of the server.
    pub record: &'a ServerRecord,
    /// Whether the server should be chosen only if no preferred server is left.
    pub is_fallback: bool,
}

/// Cost of a choice; the lowest is best. Fewer fallback servers outweigh any time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Number of fallback servers in the choice.
    pub fallback_count: u32,
    /// Cost expressed as a time.
    pub time_us: DurationUs,
}

/// View of the router that a policy gets for one decision.
pub struct PolicyView<'a> {
    /// Time of the decision.
    pub now: TimeUs,
    /// Settings of the router.
    pub config: &'a RoutingConfig,
    /// Constraints of the decision.
    pub request: &'a RouteRequest,
    /// Seed for sampling servers; differs between decisions and between entries.
    pub sample_seed: u64,
    pub(crate) servers: &'a Servers,
    pub(crate) usability: &'a dyn Usability,
    pub(crate) prefixes: &'a PrefixTable,
    pub(crate) links: &'a Links,
    pub(crate) is_budget_exhausted: Cell<bool>,
}

impl<'a> PolicyView<'a> {
    /// Record of a server, whether or not it may be chosen.
    pub fn record(&self, key: ServerKey) -> Option<&'a ServerRecord> {
        self.servers.get(key)
    }

    /// Returns the server as a candidate if it may be chosen for the call.
    pub fn admit(&self, key: ServerKey) -> Option<Candidate<'a>> {
        let record = self.servers.get(key)?;
        let is_live = record.location.as_ref().is_some_and(|l| l.is_live);
        let is_allowed =
            self.request.allowed.is_empty() || self.request.allowed.contains(&record.id);
        if !is_live || !is_allowed || self.request.excluded.contains(&record.id) {
            return None;
        }
        if !self.usability.is_usable(self.now, &record.id) {
            return None;
        }
        if self.request.is_retry && !record.budget.allows(self.now) {
            self.is_budget_exhausted.set(true);
            return None;
        }
        let is_fallback = !self.usability.is_preferred(self.now, &record.id);
        Some(Candidate {
            key,
            record,
            is_fallback,
        })
    }

    /// Number of leading prompt blocks that a server has probably cached; `target_hash` is
    /// [`ModelPool::target_hash`].
    pub fn cached_blocks(
        &self,
        record: &ServerRecord,
        target_hash: u64,
        requirements: &ModelRequirements,
    ) -> usize {
        self.prefixes.cached_blocks(
            self.now,
            record.salt ^ target_hash,
            &requirements.prefix_hashes,
        )
    }

    /// Estimated time until a server has computed all queued prompts.
    pub fn prefill_wait(&self, record: &ServerRecord) -> DurationUs {
        let mean = self.servers.mean_load(record.group);
        record.load.prefill_wait(self.now, mean, self.config)
    }

    /// Estimated time until a server has a decode slot and KV memory for a request of this size,
    /// plus the cost of the requests in its batch.
    pub fn decode_wait(&self, record: &ServerRecord, pieces: KvPieces) -> DurationUs {
        let mean = self.servers.mean_load(record.group);
        record.load.decode_wait(self.now, pieces, mean, self.config)
    }

    /// Estimated number of running and queued requests of a server.
    pub fn request_count(&self, record: &ServerRecord) -> u64 {
        let mean = self.servers.mean_load(record.group);
        record.load.request_count(self.now, mean, self.config)
    }

    /// Iterates over regions, starting with the entry's own.
    pub fn own_region_first<'p, R>(
        &self,
        regions: &'p [R],
        name: impl Fn(&R) -> &RegionName,
    ) -> impl Iterator<Item = &'p R> {
        let own = regions.iter().position(|r| *name(r) == self.config.region);
        let others = (0..regions.len()).filter(move |index| Some(*index) != own);
        own.into_iter().chain(others).map(|index| &regions[index])
    }
}
