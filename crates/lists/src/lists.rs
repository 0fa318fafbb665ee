//! The validated lists and queries on them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{
    AdapterName, BackendServerId, CustomerId, DurationUs, ModelName, PlanName, Priority,
    RequestsPerSecond, Revision, ServiceName, VersionName,
};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Plans and allowances at one revision, validated together.
///
/// The large maps are in `Arc`s, so that the lists of successive revisions share each map until one
/// of its entries changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// Revision of the snapshot that these lists were parsed from.
    pub revision: Revision,
    /// Plans of the `plans` parts.
    pub plans: BTreeMap<PlanName, Plan>,
    /// Customers of the `plans` parts.
    pub customers: Arc<BTreeMap<CustomerId, Customer>>,
    /// Backend servers and their assignments.
    pub servers: Arc<BTreeMap<BackendServerId, Server>>,
    /// Routes of services, longest path prefix first, so that the first match is the most specific.
    pub routes: Vec<ServiceRoute>,
    /// Models and services that each plan may use.
    pub allowances: Arc<BTreeMap<PlanName, Allowance>>,
}

/// Rate limits, latency targets and fair-share weight of a group of customers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Name that customers and allowances refer to.
    pub name: PlanName,
    /// Sustained rate allowed to each customer.
    pub rate: RequestsPerSecond,
    /// Burst allowed above the sustained rate, in requests.
    pub burst_requests: u32,
    /// Target for the time to first token (TTFT).
    pub first_token_us: DurationUs,
    /// Target for the time between output tokens.
    pub between_tokens_us: DurationUs,
    /// Weight of each customer in fair-share scheduling.
    pub weight: u32,
}

/// Customer of the operator, identified by an API key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// Id that requests, logs and metrics refer to.
    pub id: CustomerId,
    /// Plan that applies to the customer.
    pub plan: PlanName,
    /// SHA-256 of the customer's API key; the key itself is not published.
    pub key_sha256: [u8; 32],
}

/// Backend server and its assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Id, unique among all parts.
    pub id: BackendServerId,
    /// Engine or service that the server runs.
    pub assignment: ServerAssignment,
}

/// What the lists assign to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerAssignment {
    /// Model engine for prefill or decode.
    Engine(EngineAssignment),
    /// Plain service, without models.
    Service(ServiceName),
}

/// What the lists assign to a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineAssignment {
    /// Prefill or decode.
    pub role: AssignedRole,
    /// Model versions to load.
    pub models: Vec<ModelVersion>,
    /// Adapters to load; empty when the list leaves them out.
    pub adapters: Vec<AdapterName>,
    /// Whether the engine checks the fencing numbers of engine orders.
    pub fenced: bool,
}

/// Version of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion {
    /// Model, without its version.
    pub model: ModelName,
    /// Version of the weights.
    pub version: VersionName,
}

/// Role that the lists assign to a model engine.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum AssignedRole {
    /// Computes the KV cache of prompts.
    #[default]
    Prefill,
    /// Generates output tokens.
    Decode,
}

/// Calls to a service with the same method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Service that the calls go to.
    pub service: ServiceName,
    /// HTTP method, in capital letters.
    pub method: String,
    /// Path prefix, starting with `/`.
    pub path_prefix: String,
    /// Whether these calls may be retried.
    pub idempotent: bool,
}

/// Models and services that a plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Models, in the order of the list; the first match applies.
    pub models: Vec<ModelAllowance>,
    /// Services, each at most once.
    pub services: Vec<ServiceAllowance>,
}

/// Model version that a plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelAllowance {
    /// Model, without its version.
    pub model: ModelName,
    /// Version of the weights.
    pub version: VersionName,
    /// Adapter, or `None` for the model without one.
    pub adapter: Option<AdapterName>,
    /// Scheduling priority, at most [`PRIORITY_MAX`](crate::PRIORITY_MAX).
    pub priority: Priority,
    /// Backend servers that may serve it, with at least one for each role.
    pub servers: Vec<BackendServerId>,
}

/// Service that a plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceAllowance {
    /// Service that the plan may call.
    pub service: ServiceName,
    /// Backend servers that may serve it, at least one.
    pub servers: Vec<BackendServerId>,
}

/// Why a plan does not permit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// The customer is not in the lists.
    UnknownCustomer,
    /// No plan has an allowance for the model.
    UnknownModel,
    /// No plan has an allowance for the service.
    UnknownService,
    /// The customer's plan has no allowance for the model, adapter or version; some plan has one
    /// for the model.
    ModelOutsidePlan,
    /// The customer's plan has no allowance for the service; another plan has one.
    ServiceOutsidePlan,
}

/// Plan and allowance under which a customer may use a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelGrant<'a> {
    /// The customer's plan, with its rate and latency targets.
    pub plan: &'a Plan,
    /// Allowance that matched, with version, adapter, priority and servers.
    pub allowance: &'a ModelAllowance,
}

/// Plan and allowance under which a customer may use a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceGrant<'a> {
    /// The customer's plan, with its rate.
    pub plan: &'a Plan,
    /// Allowance that matched, with its servers.
    pub allowance: &'a ServiceAllowance,
}

impl Lists {
    /// First allowance of the customer's plan for the model with exactly this adapter; any version
    /// matches if `version` is `None`.
    pub fn check_model(
        &self,
        customer: &CustomerId,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: Option<&VersionName>,
    ) -> Result<ModelGrant<'_>, Denial> {
        let plan = self.customer_plan(customer)?;
        let matching = self.allowances.get(&plan.name).and_then(|allowance| {
            allowance.models.iter().find(|entry| {
                entry.model == *model
                    && entry.adapter.as_ref() == adapter
                    && version.is_none_or(|version| entry.version == *version)
            })
        });
        if let Some(allowance) = matching {
            return Ok(ModelGrant { plan, allowance });
        }
        let is_known = self
            .allowances
            .values()
            .flat_map(|a| &a.models)
            .any(|entry| entry.model == *model);
        Err(if is_known {
            Denial::ModelOutsidePlan
        } else {
            Denial::UnknownModel
        })
    }

    /// Like [`Self::check_model`], but without an adapter from the caller the plan chooses it: the
    /// first allowance for the model and version applies, whatever its adapter.
    pub fn choose_model(
        &self,
        customer: &CustomerId,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: Option<&VersionName>,
    ) -> Result<ModelGrant<'_>, Denial> {
        if adapter.is_some() {
            return self.check_model(customer, model, adapter, version);
        }
        let plan = self.customer_plan(customer)?;
        let allowed = self
            .allowances
            .get(&plan.name)
            .map_or(&[][..], |a| &a.models);
        let matching = allowed.iter().find(|entry| {
            entry.model == *model && version.is_none_or(|version| entry.version == *version)
        });
        match matching {
            Some(allowance) => Ok(ModelGrant { plan, allowance }),
            None => self.check_model(customer, model, None, version),
        }
    }

    /// Allowance of the customer's plan for a service.
    pub fn check_service(
        &self,
        customer: &CustomerId,
        service: &ServiceName,
    ) -> Result<ServiceGrant<'_>, Denial> {
        let plan = self.customer_plan(customer)?;
        let matching = self
            .allowances
            .get(&plan.name)
            .and_then(|allowance| allowance.services.iter().find(|e| e.service == *service));
        if let Some(allowance) = matching {
            return Ok(ServiceGrant { plan, allowance });
        }
        let is_known = self
            .allowances
            .values()
            .flat_map(|a| &a.services)
            .any(|entry| entry.service == *service);
        Err(if is_known {
            Denial::ServiceOutsidePlan
        } else {
            Denial::UnknownService
        })
    }

    /// Servers assigned to a service, in order of id.
    pub fn servers_of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a BackendServerId> {
        self.servers
            .values()
            .filter_map(move |server| match &server.assignment {
                ServerAssignment::Service(name) if name == service => Some(&server.id),
                _ => None,
            })
    }

    /// Whether a call may be retried; calls without a matching route may not. The method is
    /// compared without case.
    pub fn is_idempotent(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .find(|route| {
                route.service == *service
                    && route.method.eq_ignore_ascii_case(method)
                    && path.starts_with(&route.path_prefix)
            })
            .is_some_and(|route| route.idempotent)
    }

    fn customer_plan(&self, customer: &CustomerId) -> Result<&Plan, Denial> {
        self.customers
            .get(customer)
            .and_then(|customer| self.plans.get(&customer.plan))
            .ok_or(Denial::UnknownCustomer)
    }
}
