//! The routing state of an entry.
//!
//! The router looks up the pool of a call, lets the policy choose from it, and records the choice
//! in the load estimates, the retry budgets, the prefix table and the traffic counters of the
//! links.

use std::cell::Cell;
use std::sync::Arc;

use cuminlead_lists::{HostList, Lists};
use cuminlead_permits::{KeyId, owner_of};
use cuminlead_protocol::AgentState;
use cuminlead_types::{
    BackendServerId, Bytes, IdempotencyKey, KvPieces, PromptPartId, RegionName, ServiceName,
    TimeUs, Tokens,
};

use crate::config::RoutingConfig;
use crate::crashes::Crashes;
use crate::link::{LinkUse, Links};
use crate::load::Demand;
use crate::policy::{PolicyView, RoutingPolicy, UnknownPolicy, build_policy};
use crate::pools::{ModelPool, Pools, RegionPool};
use crate::prefix::PrefixTable;
use crate::request::{ModelRequirements, NoRoute, Route, RouteKind, RouteRequest};
use crate::servers::{ServerKey, Servers};
use crate::usability::Usability;

/// Demand of one call of a service.
const SERVICE_CALL_DEMAND: Demand = Demand {
    prompt_tokens: Tokens::ZERO,
    slots: 1,
    pieces: KvPieces::ZERO,
};

/// Chooses backend servers for the calls of one entry.
#[derive(Debug)]
pub struct Router {
    config: RoutingConfig,
    policy: Box<dyn RoutingPolicy>,
    lists: Arc<Lists>,
    state: RouterState,
    crashes: Crashes,
    sample_seed: u64,
}

/// State that policies read through [`PolicyView`].
#[derive(Debug)]
struct RouterState {
    servers: Servers,
    pools: Pools,
    prefixes: PrefixTable,
    links: Links,
}

impl Router {
    /// Creates a router without servers; [`Self::apply`] sets them. Fails if no policy is
    /// registered under the name.
    pub fn new(policy_name: &str, config: RoutingConfig) -> Result<Self, UnknownPolicy> {
        let policy = build_policy(policy_name, &config)?;
        let state = RouterState {
            servers: Servers::default(),
            pools: Pools::default(),
            prefixes: PrefixTable::new(config.prefix_retention_us),
            links: Links::new(config.link_rate),
        };
        Ok(Self {
            policy,
            lists: Arc::default(),
            state,
            crashes: Crashes::default(),
            sample_seed: config.initial_sample_seed,
            config,
        })
    }

    /// Whether the policy reserves a decode slot before the prefill starts.
    pub fn reserves_first(&self) -> bool {
        self.policy.reserves_first()
    }

    /// Puts lists and a host list into effect.
    pub fn apply(&mut self, lists: Arc<Lists>, hosts: Arc<HostList>) {
        self.state.servers.apply(&lists, &hosts);
        self.state.pools.apply(&lists, &self.state.servers);
        self.lists = lists;
    }

    /// Chooses servers for a call and records the choice.
    pub fn route(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        request: &RouteRequest,
    ) -> Result<Route, NoRoute> {
        match &request.kind {
            RouteKind::Pair(requirements) => self.route_pair(now, usability, request, requirements),
            RouteKind::Prefill {
                region,
                requirements,
            } => self.route_prefill(now, usability, request, region, requirements),
            RouteKind::Service {
                service,
                key: Some(key),
            } => self.route_owner(now, request, service, key),
            RouteKind::Service { service, key: None } => {
                self.route_service(now, usability, request, service)
            }
        }
    }

    /// Records the agent state that a reply carries. Returns the prompt parts that it puts into
    /// quarantine.
    pub fn record_report(&mut self, now: TimeUs, state: &AgentState) -> Vec<PromptPartId> {
        self.state.servers.observe(now, state, &self.config);
        self.crashes.record(now, state)
    }

    /// Records that an engine generates output for a prompt. Returns the prompt parts whose crashes
    /// no longer count.
    pub fn record_sound(&mut self, now: TimeUs, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        self.crashes.record_sound(now, parts)
    }

    /// Records that a server has ended its part of a call; `is_ok` is false if it failed.
    pub fn record_finished(&mut self, now: TimeUs, server: &BackendServerId, is_ok: bool) {
        let servers = &mut self.state.servers;
        if let Some(record) = servers.key(server).and_then(|key| servers.get_mut(key)) {
            record.load.finish_oldest(now, is_ok);
        }
    }

    /// Counts output bytes received from a server, if it is in another region.
    pub fn count_answer(&mut self, now: TimeUs, server: &BackendServerId, size: Bytes) {
        let servers = &self.state.servers;
        let record = servers.key(server).and_then(|key| servers.get(key));
        let Some(location) = record.and_then(|record| record.location.as_ref()) else {
            return;
        };
        if location.region != self.config.region {
            self.state.links.count_answer(now, &location.region, size);
        }
    }

    /// Bytes sent to and received from other regions.
    pub fn link_use(&self) -> LinkUse {
        self.state.links.total()
    }

    fn route_pair(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        request: &RouteRequest,
        requirements: &ModelRequirements,
    ) -> Result<Route, NoRoute> {
        self.check_quarantine(now, requirements)?;
        let sample_seed = self.next_sample_seed();
        let view = self
            .state
            .view(now, &self.config, usability, request, sample_seed);
        let pools = &self.state.pools;
        let pool = pools
            .model(&self.lists, &request.customer, &requirements.target)
            .ok_or(NoRoute::NoServer)?;
        let pair = self
            .policy
            .choose_pair(&view, pool, requirements)
            .ok_or_else(|| no_route_reason(&view))?;
        let (region, decode, prefill) = (pair.region.region.clone(), pair.decode, pair.prefill);
        let target_hash = pool.target_hash;
        let pieces = (requirements.prompt_tokens + requirements.output_max_tokens).kv_pieces();
        let demand = Demand {
            slots: 1,
            pieces,
            ..Demand::default()
        };
        self.record_decision(now, decode, request, demand);
        self.record_prefill(now, prefill, request, requirements, target_hash);
        self.record_prompt(now, &region, requirements);
        Ok(Route::Pair {
            region,
            decode: self.id(decode)?,
            prefill: self.id(prefill)?,
        })
    }

    fn route_prefill(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        request: &RouteRequest,
        region: &RegionName,
        requirements: &ModelRequirements,
    ) -> Result<Route, NoRoute> {
        self.check_quarantine(now, requirements)?;
        let sample_seed = self.next_sample_seed();
        let view = self
            .state
            .view(now, &self.config, usability, request, sample_seed);
        let pools = &self.state.pools;
        let pool = pools
            .model(&self.lists, &request.customer, &requirements.target)
            .ok_or(NoRoute::NoServer)?;
        let region_pool = find_region(pool, region)?;
        let prefill = self
            .policy
            .choose_prefill(&view, pool, region_pool, requirements)
            .ok_or_else(|| no_route_reason(&view))?;
        let target_hash = pool.target_hash;
        self.record_prefill(now, prefill, request, requirements, target_hash);
        self.record_prompt(now, region, requirements);
        Ok(Route::Prefill(self.id(prefill)?))
    }

    fn check_quarantine(
        &self,
        now: TimeUs,
        requirements: &ModelRequirements,
    ) -> Result<(), NoRoute> {
        if self.crashes.is_quarantined(now, &requirements.prompt_parts) {
            return Err(NoRoute::Quarantined);
        }
        Ok(())
    }

    fn route_service(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        request: &RouteRequest,
        service: &ServiceName,
    ) -> Result<Route, NoRoute> {
        let sample_seed = self.next_sample_seed();
        let view = self
            .state
            .view(now, &self.config, usability, request, sample_seed);
        let pools = &self.state.pools;
        let pool = pools
            .service(&self.lists, &request.customer, service)
            .ok_or(NoRoute::NoServer)?;
        let server = self
            .policy
            .choose_service(&view, pool)
            .ok_or_else(|| no_route_reason(&view))?;
        self.record_decision(now, server, request, SERVICE_CALL_DEMAND);
        Ok(Route::Service(self.id(server)?))
    }

    /// Routes to the owner of a key. The owner depends on the lists alone, because entries with
    /// different views of the servers' state must agree on it.
    fn route_owner(
        &mut self,
        now: TimeUs,
        request: &RouteRequest,
        service: &ServiceName,
        key: &IdempotencyKey,
    ) -> Result<Route, NoRoute> {
        let key = KeyId {
            customer: request.customer.clone(),
            service: service.clone(),
            key: key.clone(),
        };
        let owner = owner_of(&key, self.state.pools.owners(service)).ok_or(NoRoute::NoServer)?;
        let server = self.state.servers.key(owner).ok_or(NoRoute::NoServer)?;
        if !self.is_owner_allowed(request, service, owner) || !self.is_live(server) {
            return Err(NoRoute::NoServer);
        }
        let owner = owner.clone();
        let record = self.state.servers.get(server);
        if request.is_retry && !record.is_some_and(|record| record.budget.allows(now)) {
            return Err(NoRoute::RetryBudget);
        }
        self.record_decision(now, server, request, SERVICE_CALL_DEMAND);
        Ok(Route::Service(owner))
    }

    fn is_owner_allowed(
        &self,
        request: &RouteRequest,
        service: &ServiceName,
        owner: &BackendServerId,
    ) -> bool {
        let grant = self.lists.check_service(&request.customer, service);
        let is_in_plan = grant.is_ok_and(|grant| grant.allowance.servers.contains(owner));
        is_in_plan && (request.allowed.is_empty() || request.allowed.contains(owner))
    }

    fn is_live(&self, server: ServerKey) -> bool {
        let record = self.state.servers.get(server);
        let location = record.and_then(|record| record.location.as_ref());
        location.is_some_and(|location| location.is_live)
    }

    fn next_sample_seed(&mut self) -> u64 {
        self.sample_seed = self.sample_seed.wrapping_add(1);
        self.sample_seed
    }

    fn id(&self, server: ServerKey) -> Result<BackendServerId, NoRoute> {
        let record = self.state.servers.get(server);
        record
            .map(|record| record.id.clone())
            .ok_or(NoRoute::NoServer)
    }

    fn record_decision(
        &mut self,
        now: TimeUs,
        server: ServerKey,
        request: &RouteRequest,
        demand: Demand,
    ) {
        let Some(record) = self.state.servers.get_mut(server) else {
            return;
        };
        record.load.add_decision(now, demand, &self.config);
        if request.is_retry {
            record.budget.try_retry(now);
        } else {
            record.budget.count_request(now);
        }
    }

    fn record_prefill(
        &mut self,
        now: TimeUs,
        server: ServerKey,
        request: &RouteRequest,
        requirements: &ModelRequirements,
        target_hash: u64,
    ) {
        let Some(record) = self.state.servers.get(server) else {
            return;
        };
        let salt = record.salt ^ target_hash;
        let prefixes = &mut self.state.prefixes;
        let blocks = prefixes.cached_blocks(now, salt, &requirements.prefix_hashes) as u64;
        prefixes.record(now, salt, &requirements.prefix_hashes);
        let cached = blocks * self.config.block_tokens.get();
        let mut demand = Demand::default();
        demand.prompt_tokens.0 = requirements.prompt_tokens.get().saturating_sub(cached);
        self.record_decision(now, server, request, demand);
    }

    fn record_prompt(
        &mut self,
        now: TimeUs,
        region: &RegionName,
        requirements: &ModelRequirements,
    ) {
        if *region != self.config.region {
            let size = Bytes(requirements.prompt_bytes);
            self.state.links.count_prompt(now, region, size);
        }
    }
}

impl RouterState {
    fn view<'a>(
        &'a self,
        now: TimeUs,
        config: &'a RoutingConfig,
        usability: &'a dyn Usability,
        request: &'a RouteRequest,
        sample_seed: u64,
    ) -> PolicyView<'a> {
        PolicyView {
            now,
            config,
            request,
            sample_seed,
            servers: &self.servers,
            usability,
            prefixes: &self.prefixes,
            links: &self.links,
            is_budget_exhausted: Cell::new(false),
        }
    }
}

fn no_route_reason(view: &PolicyView<'_>) -> NoRoute {
    if view.is_budget_exhausted.get() {
        NoRoute::RetryBudget
    } else {
        NoRoute::NoServer
    }
}

fn find_region<'a>(pool: &'a ModelPool, name: &RegionName) -> Result<&'a RegionPool, NoRoute> {
    pool.regions
        .iter()
        .find(|region| region.region == *name)
        .ok_or(NoRoute::NoServer)
}
