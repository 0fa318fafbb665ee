//! The checked lists in force and the questions asked of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{
    AdapterName, BackendServerId, CustomerId, DurationUs, ModelName, PlanName, Priority,
    RequestsPerSecond, Revision, ServiceName, VersionName,
};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Plans and allowances at one revision, checked as a whole.
///
/// The large maps are shared by the lists of successive revisions as long as none of their entries
/// changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Plans by name.
    pub plans: BTreeMap<PlanName, Plan>,
    /// Customers by id.
    pub customers: Arc<BTreeMap<CustomerId, Customer>>,
    /// Backend servers and what they are wanted to serve.
    pub servers: Arc<BTreeMap<BackendServerId, Server>>,
    /// Routes of services, longest prefix first.
    pub routes: Vec<ServiceRoute>,
    /// What each plan may use.
    pub allowances: Arc<BTreeMap<PlanName, Allowance>>,
}

/// Plan of customers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Name.
    pub name: PlanName,
    /// Sustained rate of each customer.
    pub rate: RequestsPerSecond,
    /// Requests above the sustained rate that may come at once.
    pub burst_requests: u32,
    /// Target for the time to first token.
    pub first_token_us: DurationUs,
    /// Target for the time between tokens.
    pub between_tokens_us: DurationUs,
    /// Weight in the fair share among customers.
    pub weight: u32,
}

/// Customer of the operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// Id.
    pub id: CustomerId,
    /// Plan.
    pub plan: PlanName,
    /// SHA-256 of the customer's key.
    pub key_sha256: [u8; 32],
}

/// Backend server and what it is wanted to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Id.
    pub id: BackendServerId,
    /// What the server is wanted to do.
    pub assignment: ServerAssignment,
}

/// What a backend server is wanted to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerAssignment {
    /// Model engine.
    Engine(EngineAssignment),
    /// Plain service.
    Service(ServiceName),
}

/// What a model engine is wanted to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineAssignment {
    /// Role.
    pub role: AssignedRole,
    /// Models and versions.
    pub models: Vec<ModelVersion>,
    /// Adapters.
    pub adapters: Vec<AdapterName>,
    /// Whether the engine checks fencing numbers.
    pub fenced: bool,
}

/// Version of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
}

/// Role that a model engine is wanted in.
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
    /// Computes prompts.
    #[default]
    Prefill,
    /// Generates answers.
    Decode,
}

/// Calls of a service that share a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Whether these calls may be repeated.
    pub idempotent: bool,
}

/// What a plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Models.
    pub models: Vec<ModelAllowance>,
    /// Services.
    pub services: Vec<ServiceAllowance>,
}

/// A model that a plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelAllowance {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Adapter.
    pub adapter: Option<AdapterName>,
    /// Priority.
    pub priority: Priority,
    /// Backend servers.
    pub servers: Vec<BackendServerId>,
}

/// A service that a plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceAllowance {
    /// Service.
    pub service: ServiceName,
    /// Backend servers.
    pub servers: Vec<BackendServerId>,
}

/// Why a plan does not permit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No such customer.
    UnknownCustomer,
    /// No plan may use this model.
    UnknownModel,
    /// No plan may use this service.
    UnknownService,
    /// The customer's plan may not use the model, adapter or version.
    ModelOutsidePlan,
    /// The customer's plan may not use the service.
    ServiceOutsidePlan,
}

/// What a customer's plan gives for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelGrant<'a> {
    /// Plan with its targets.
    pub plan: &'a Plan,
    /// Allowed model, version, adapter, priority and servers.
    pub allowance: &'a ModelAllowance,
}

/// What a customer's plan gives for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceGrant<'a> {
    /// Plan with its rate.
    pub plan: &'a Plan,
    /// Allowed servers.
    pub allowance: &'a ServiceAllowance,
}

impl Lists {
    /// What the customer's plan gives for a model; the first allowance that matches.
    pub fn check_model(
        &self,
        customer: &CustomerId,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: Option<&VersionName>,
    ) -> Result<ModelGrant<'_>, Denial> {
        let plan = self.plan_of(customer)?;
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

    /// What the customer's plan gives for a model when the caller leaves adapter or version to the
    /// plan; the first allowance that agrees with what the caller named.
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
        let plan = self.plan_of(customer)?;
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

    /// What the customer's plan gives for a service.
    pub fn check_service(
        &self,
        customer: &CustomerId,
        service: &ServiceName,
    ) -> Result<ServiceGrant<'_>, Denial> {
        let plan = self.plan_of(customer)?;
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

    /// Servers that the list names for a service, in order of id.
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

    /// Whether a call may be repeated; calls without a matching route may not.
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

    fn plan_of(&self, customer: &CustomerId) -> Result<&Plan, Denial> {
        self.customers
            .get(customer)
            .and_then(|customer| self.plans.get(&customer.plan))
            .ok_or(Denial::UnknownCustomer)
    }
}
