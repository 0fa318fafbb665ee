//! `Router`: the routing context of an entry.
//!
//! Looks up the pool of a call, lets the policy choose, and accounts for the choice: load estimate,
//! retry budget, prefix memory and volume of paid links.

use std::cell::Cell;
use std::sync::Arc;

use cuminlead_lists::{HostList, Lists};
use cuminlead_permits::{KeyId, owner_of};
use cuminlead_protocol::AgentState;
use cuminlead_types::{
    BackendServerId, Bytes, IdempotencyKey, KvPieces, RegionName, ServiceName, TimeUs, Tokens,
};

use crate::config::RoutingConfig;
use crate::link::{LinkUse, Links};
use crate::load::Demand;
use crate::policy::{RoutingPolicy, UnknownPolicy, View, build_policy};
use crate::pools::{ModelPool, Pools, RegionPool};
use crate::prefix::PrefixMemory;
use crate::request::{ModelRequirements, NoRoute, Route, RouteKind, RouteRequest};
use crate::servers::{ServerKey, Servers};
use crate::usability::Usability;

/// Demand of a call of a service.
const ONE_SLOT: Demand = Demand {
    prompt_tokens: Tokens::ZERO,
    slots: 1,
    pieces: KvPieces::ZERO,
};

/// Routing context of an entry.
#[derive(Debug)]
pub struct Router {
    config: RoutingConfig,
    policy: Box<dyn RoutingPolicy>,
    lists: Arc<Lists>,
    state: State,
    decisions: u64,
}

/// State that a policy sees.
#[derive(Debug)]
struct State {
    servers: Servers,
    pools: Pools,
    prefixes: PrefixMemory,
    links: Links,
}

impl Router {
    /// Router without servers, with the policy of a name.
    pub fn new(policy_name: &str, config: RoutingConfig) -> Result<Self, UnknownPolicy> {
        let policy = build_policy(policy_name, &config)?;
        let state = State {
            servers: Servers::default(),
            pools: Pools::default(),
            prefixes: PrefixMemory::new(config.prefix_hold_us),
            links: Links::new(config.link_rate),
        };
        Ok(Self {
            policy,
            lists: Arc::default(),
            state,
            decisions: config.spread_seed,
            config,
        })
    }

    /// Whether a decode place is reserved before the prefill starts.
    pub fn reserves_first(&self) -> bool {
        self.policy.reserves_first()
    }

    /// Takes lists and hosts into force.
    pub fn apply(&mut self, lists: Arc<Lists>, hosts: Arc<HostList>) {
        self.state.servers.apply(&lists, &hosts);
        self.state.pools.apply(&lists, &self.state.servers);
        self.lists = lists;
    }

    /// Chooses servers for a call.
    pub fn route(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        need: &RouteRequest,
    ) -> Result<Route, NoRoute> {
        match &need.kind {
            RouteKind::Pair(model) => self.route_pair(now, usability, need, model),
            RouteKind::Prefill {
                region,
                need: model,
            } => self.route_prefill(now, usability, need, region, model),
            RouteKind::Service {
                service,
                key: Some(key),
            } => self.route_owner(now, need, service, key),
            RouteKind::Service { service, key: None } => {
                self.route_service(now, usability, need, service)
            }
        }
    }

    /// Takes the state that an agent's reply carries.
    pub fn observe(&mut self, now: TimeUs, state: &AgentState) {
        self.state.servers.observe(now, state, &self.config);
    }

    /// Notes that a server has ended its part of a call.
    pub fn finished(&mut self, now: TimeUs, server: &BackendServerId, is_ok: bool) {
        let servers = &mut self.state.servers;
        if let Some(record) = servers.key(server).and_then(|key| servers.get_mut(key)) {
            record.load.finish_one(now, is_ok);
        }
    }

    /// Counts bytes of an answer that came from a server.
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

    /// Bytes that went to or came from other regions.
    pub fn link_use(&self) -> LinkUse {
        self.state.links.total()
    }

    fn route_pair(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        need: &RouteRequest,
        model: &ModelRequirements,
    ) -> Result<Route, NoRoute> {
        let spread = self.next_decision();
        let view = self.state.view(now, &self.config, usability, need, spread);
        let pools = &self.state.pools;
        let pool = pools
            .model(&self.lists, &need.customer, &model.target)
            .ok_or(NoRoute::NoServer)?;
        let pair = self
            .policy
            .pair(&view, pool, model)
            .ok_or_else(|| reason(&view))?;
        let (region, decode, prefill) = (pair.region.region.clone(), pair.decode, pair.prefill);
        let salt = pool.target_hash;
        let pieces = (model.prompt_tokens + model.output_max_tokens).kv_pieces();
        let demand = Demand {
            slots: 1,
            pieces,
            ..Demand::default()
        };
        self.account(now, decode, need, demand);
        self.account_prefill(now, prefill, need, model, salt);
        self.account_prompt(now, &region, model);
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
        need: &RouteRequest,
        region: &RegionName,
        model: &ModelRequirements,
    ) -> Result<Route, NoRoute> {
        let spread = self.next_decision();
        let view = self.state.view(now, &self.config, usability, need, spread);
        let pools = &self.state.pools;
        let pool = pools
            .model(&self.lists, &need.customer, &model.target)
            .ok_or(NoRoute::NoServer)?;
        let region_pool = region_of(pool, region)?;
        let prefill = self
            .policy
            .prefill(&view, pool, region_pool, model)
            .ok_or_else(|| reason(&view))?;
        let salt = pool.target_hash;
        self.account_prefill(now, prefill, need, model, salt);
        self.account_prompt(now, region, model);
        Ok(Route::Prefill(self.id(prefill)?))
    }

    fn route_service(
        &mut self,
        now: TimeUs,
        usability: &dyn Usability,
        need: &RouteRequest,
        service: &ServiceName,
    ) -> Result<Route, NoRoute> {
        let spread = self.next_decision();
        let view = self.state.view(now, &self.config, usability, need, spread);
        let pools = &self.state.pools;
        let pool = pools
            .service(&self.lists, &need.customer, service)
            .ok_or(NoRoute::NoServer)?;
        let server = self
            .policy
            .service(&view, pool)
            .ok_or_else(|| reason(&view))?;
        self.account(now, server, need, ONE_SLOT);
        Ok(Route::Service(self.id(server)?))
    }

    /// Owner of a key by the lists alone, because entries with different views must agree on it.
    fn route_owner(
        &mut self,
        now: TimeUs,
        need: &RouteRequest,
        service: &ServiceName,
        key: &IdempotencyKey,
    ) -> Result<Route, NoRoute> {
        let key = KeyId {
            customer: need.customer.clone(),
            service: service.clone(),
            key: key.clone(),
        };
        let owner = owner_of(&key, self.state.pools.owners(service)).ok_or(NoRoute::NoServer)?;
        let server = self.state.servers.key(owner).ok_or(NoRoute::NoServer)?;
        if !self.is_owner_allowed(need, service, owner) || !self.is_live(server) {
            return Err(NoRoute::NoServer);
        }
        let owner = owner.clone();
        let record = self.state.servers.get(server);
        if need.is_retry && !record.is_some_and(|record| record.budget.allows(now)) {
            return Err(NoRoute::RetryBudget);
        }
        self.account(now, server, need, ONE_SLOT);
        Ok(Route::Service(owner))
    }

    fn is_owner_allowed(
        &self,
        need: &RouteRequest,
        service: &ServiceName,
        owner: &BackendServerId,
    ) -> bool {
        let grant = self.lists.check_service(&need.customer, service);
        let is_in_plan = grant.is_ok_and(|grant| grant.allowance.servers.contains(owner));
        is_in_plan && (need.allowed.is_empty() || need.allowed.contains(owner))
    }

    fn is_live(&self, server: ServerKey) -> bool {
        let record = self.state.servers.get(server);
        let location = record.and_then(|record| record.location.as_ref());
        location.is_some_and(|location| location.is_live)
    }

    fn next_decision(&mut self) -> u64 {
        self.decisions = self.decisions.wrapping_add(1);
        self.decisions
    }

    fn id(&self, server: ServerKey) -> Result<BackendServerId, NoRoute> {
        let record = self.state.servers.get(server);
        record
            .map(|record| record.id.clone())
            .ok_or(NoRoute::NoServer)
    }

    fn account(&mut self, now: TimeUs, server: ServerKey, need: &RouteRequest, demand: Demand) {
        let Some(record) = self.state.servers.get_mut(server) else {
            return;
        };
        record.load.decide(now, demand, &self.config);
        if need.is_retry {
            record.budget.try_retry(now);
        } else {
            record.budget.count_request(now);
        }
    }

    fn account_prefill(
        &mut self,
        now: TimeUs,
        server: ServerKey,
        need: &RouteRequest,
        model: &ModelRequirements,
        target_hash: u64,
    ) {
        let Some(record) = self.state.servers.get(server) else {
            return;
        };
        let salt = record.salt ^ target_hash;
        let prefixes = &mut self.state.prefixes;
        let blocks = prefixes.cached_blocks(now, salt, &model.prefix_hashes) as u64;
        prefixes.note(now, salt, &model.prefix_hashes);
        let cached = blocks * self.config.block_tokens.get();
        let mut demand = Demand::default();
        demand.prompt_tokens.0 = model.prompt_tokens.get().saturating_sub(cached);
        self.account(now, server, need, demand);
    }

    fn account_prompt(&mut self, now: TimeUs, region: &RegionName, model: &ModelRequirements) {
        if *region != self.config.region {
            let size = Bytes(model.prompt_bytes);
            self.state.links.count_prompt(now, region, size);
        }
    }
}

impl State {
    fn view<'a>(
        &'a self,
        now: TimeUs,
        config: &'a RoutingConfig,
        usability: &'a dyn Usability,
        need: &'a RouteRequest,
        spread: u64,
    ) -> View<'a> {
        View {
            now,
            config,
            need,
            spread,
            servers: &self.servers,
            usability,
            prefixes: &self.prefixes,
            links: &self.links,
            is_budget_used: Cell::new(false),
        }
    }
}

fn reason(view: &View<'_>) -> NoRoute {
    if view.is_budget_used.get() {
        NoRoute::RetryBudget
    } else {
        NoRoute::NoServer
    }
}

fn region_of<'a>(pool: &'a ModelPool, name: &RegionName) -> Result<&'a RegionPool, NoRoute> {
    pool.regions
        .iter()
        .find(|region| region.region == *name)
        .ok_or(NoRoute::NoServer)
}
