//! Servers for each plan and model or service, by region and role.
//!
//! Pools are computed when lists or hosts change, so that a decision looks at a few servers only.
//! Plans that allow the same servers share a pool, and a pool whose servers stay the same is kept.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlead_lists::{
    AssignedRole, EngineAssignment, Lists, ModelAllowance, ModelVersion, ServerAssignment,
    ServiceAllowance,
};
use cuminlead_protocol::ModelTarget;
use cuminlead_types::{BackendServerId, CustomerId, PlanName, RegionName, ServiceName};
use slotmap::Key;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::ring::Ring;
use crate::servers::{Location, ServerKey, Servers};

/// Engines of one region that serve a model.
#[derive(Clone, Debug, Default)]
pub struct RegionPool {
    /// Region.
    pub region: RegionName,
    /// Engines that compute prompts.
    pub prefill: Ring,
    /// Engines that generate answers.
    pub decode: Vec<ServerKey>,
}

/// Engines that serve a model to some plans.
#[derive(Clone, Debug, Default)]
pub struct ModelPool {
    /// Hash of model, adapter and version.
    pub target_hash: u64,
    /// Engines by region.
    pub regions: Vec<RegionPool>,
}

/// Servers of one region that run a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRegion {
    /// Region.
    pub region: RegionName,
    /// Servers.
    pub servers: Vec<ServerKey>,
}

/// Servers that run a service for a plan.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    /// Servers by region.
    pub regions: Vec<ServiceRegion>,
}

#[derive(Clone, Copy, Debug)]
struct Member<'a> {
    key: ServerKey,
    id: &'a BackendServerId,
    location: &'a Location,
    role: AssignedRole,
}

/// All pools of the lists in force.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    models: HashMap<PlanName, HashMap<ModelTarget, Arc<ModelPool>>>,
    services: HashMap<PlanName, HashMap<ServiceName, ServicePool>>,
    owners: HashMap<ServiceName, Vec<BackendServerId>>,
    by_content: HashMap<u128, Arc<ModelPool>>,
}

impl Pools {
    /// Computes the pools of lists; `servers` has taken the same lists before.
    pub fn apply(&mut self, lists: &Lists, servers: &Servers) {
        let old = std::mem::take(&mut self.by_content);
        self.models.clear();
        self.services.clear();
        self.apply_owners(lists);
        for (plan, allowance) in lists.allowances.iter() {
            let models = self.models.entry(plan.clone()).or_default();
            for entry in &allowance.models {
                let target = target_of(entry);
                let members = members(lists, servers, entry);
                let content = content_hash(&target, &members);
                let pool = self.by_content.entry(content).or_insert_with(|| {
                    let known = old.get(&content).cloned();
                    known.unwrap_or_else(|| Arc::new(model_pool(&target, &members)))
                });
                models.entry(target).or_insert_with(|| pool.clone());
            }
            let services = self.services.entry(plan.clone()).or_default();
            for entry in &allowance.services {
                let pool = || service_pool(lists, servers, entry);
                services.entry(entry.service.clone()).or_insert_with(pool);
            }
        }
    }

    /// Pool of a model for a customer.
    pub fn model(
        &self,
        lists: &Lists,
        customer: &CustomerId,
        target: &ModelTarget,
    ) -> Option<&ModelPool> {
        let plan = &lists.customers.get(customer)?.plan;
        self.models.get(plan)?.get(target).map(Arc::as_ref)
    }

    /// Pool of a service for a customer.
    pub fn service(
        &self,
        lists: &Lists,
        customer: &CustomerId,
        service: &ServiceName,
    ) -> Option<&ServicePool> {
        let plan = &lists.customers.get(customer)?.plan;
        self.services.get(plan)?.get(service)
    }

    /// Servers that the lists name for a service, among which the owners of keys are chosen.
    pub fn owners(&self, service: &ServiceName) -> &[BackendServerId] {
        self.owners.get(service).map_or(&[], Vec::as_slice)
    }

    fn apply_owners(&mut self, lists: &Lists) {
        self.owners.clear();
        for server in lists.servers.values() {
            if let ServerAssignment::Service(service) = &server.assignment {
                let servers = self.owners.entry(service.clone()).or_default();
                servers.push(server.id.clone());
            }
        }
    }
}

fn target_of(entry: &ModelAllowance) -> ModelTarget {
    ModelTarget {
        model: entry.model.clone(),
        adapter: entry.adapter.clone(),
        version: entry.version.clone(),
    }
}

/// Engines with a place that the allowance names and that are wanted to serve its model.
fn members<'a>(lists: &'a Lists, servers: &'a Servers, entry: &ModelAllowance) -> Vec<Member<'a>> {
    let member = |id| {
        let server = lists.servers.get(id)?;
        let ServerAssignment::Engine(assignment) = &server.assignment else {
            return None;
        };
        let key = servers.key(id)?;
        let location = servers.get(key)?.location.as_ref()?;
        serves(assignment, entry).then_some(Member {
            key,
            id: &server.id,
            location,
            role: assignment.role,
        })
    };
    let mut found: Vec<_> = entry.servers.iter().filter_map(member).collect();
    found.sort_unstable_by_key(|member| member.id);
    found.dedup_by_key(|member| member.key);
    found
}

fn serves(assignment: &EngineAssignment, entry: &ModelAllowance) -> bool {
    let wanted =
        |loaded: &ModelVersion| loaded.model == entry.model && loaded.version == entry.version;
    let has_adapter = entry
        .adapter
        .as_ref()
        .is_none_or(|adapter| assignment.adapters.contains(adapter));
    has_adapter && assignment.models.iter().any(wanted)
}

fn content_hash(target: &ModelTarget, members: &[Member<'_>]) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&target_hash(target).to_le_bytes());
    for member in members {
        hasher.update(&member.key.data().as_ffi().to_le_bytes());
        hasher.update(&[u8::from(member.role == AssignedRole::Decode)]);
        hasher.update(member.location.region.as_str().as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest128()
}

fn target_hash(target: &ModelTarget) -> u64 {
    let adapter = target
        .adapter
        .as_ref()
        .map_or("", |adapter| adapter.as_str());
    let names = [target.model.as_str(), adapter, target.version.as_str()];
    xxh3_64(names.join("\0").as_bytes())
}

fn model_pool(target: &ModelTarget, members: &[Member<'_>]) -> ModelPool {
    let mut pool = ModelPool {
        target_hash: target_hash(target),
        regions: Vec::new(),
    };
    for member in members {
        let region = region_of(&mut pool.regions, &member.location.region);
        match member.role {
            AssignedRole::Prefill => region.prefill.add(member.key, member.id),
            AssignedRole::Decode => region.decode.push(member.key),
        }
    }
    for region in &mut pool.regions {
        region.prefill.finish();
    }
    pool
}

fn region_of<'a>(regions: &'a mut Vec<RegionPool>, name: &RegionName) -> &'a mut RegionPool {
    let found = regions.iter().position(|region| region.region == *name);
    let index = found.unwrap_or_else(|| {
        regions.push(RegionPool {
            region: name.clone(),
            ..RegionPool::default()
        });
        regions.len() - 1
    });
    &mut regions[index]
}

fn service_pool(lists: &Lists, servers: &Servers, entry: &ServiceAllowance) -> ServicePool {
    let mut pool = ServicePool::default();
    for id in lists.servers_of_service(&entry.service) {
        let place = servers.key(id).and_then(|key| {
            let location = servers.get(key)?.location.as_ref()?;
            Some((key, location))
        });
        let Some((key, location)) = place.filter(|_| entry.servers.contains(id)) else {
            continue;
        };
        let same = |other: &&mut ServiceRegion| other.region == location.region;
        if let Some(region) = pool.regions.iter_mut().find(same) {
            region.servers.push(key);
            continue;
        }
        pool.regions.push(ServiceRegion {
            region: location.region.clone(),
            servers: vec![key],
        });
    }
    pool
}
