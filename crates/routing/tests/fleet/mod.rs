//! Fleets for tests and benchmarks of routing: 3 regions with 2 availability zones each.
//!
//! The entry is in `region-0`. All engines serve one model and all other servers one service.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::str::FromStr;
use std::sync::Arc;

use cuminlead_lists::{
    Allowance, AssignedRole, Customer, EngineAssignment, HostEntry, HostList, HostState, Lists,
    ModelAllowance, ModelVersion, Plan, ProcessKind, Server, ServerAssignment, ServiceAllowance,
};
use cuminlead_protocol::ModelTarget;
use cuminlead_routing::{
    ModelRequirements, RouteKind, RouteRequest, Router, RoutingConfig, Usability,
};
use cuminlead_types::{BackendServerId, DurationUs, TimeUs, Tokens};

/// Servers that must not be used, and servers that are used only if no other is left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) unusable: BTreeSet<BackendServerId>,
    pub(crate) fallback: BTreeSet<BackendServerId>,
}

impl Usability for Health {
    fn is_usable(&self, _now: TimeUs, server: &BackendServerId) -> bool {
        !self.unusable.contains(server)
    }

    fn is_preferred(&self, _now: TimeUs, server: &BackendServerId) -> bool {
        !self.fallback.contains(server)
    }
}

pub(crate) fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

pub(crate) fn engine(number: usize) -> BackendServerId {
    parse(&format!("engine-{number}"))
}

pub(crate) fn counter(number: usize) -> BackendServerId {
    parse(&format!("counter-{number}"))
}

/// Region of an engine or a server of the service, by its number.
pub(crate) fn region(number: usize) -> String {
    format!("region-{}", number / 2 % 3)
}

/// Lists with engines, whose roles alternate, and with the servers of one service.
pub(crate) fn lists(engines: usize, counters: usize) -> Lists {
    let mut lists = Lists::default();
    let plan: Plan = Plan {
        name: parse("standard"),
        ..Plan::default()
    };
    let customer = Customer {
        id: parse("kiosks"),
        plan: plan.name.clone(),
        ..Customer::default()
    };
    let version = ModelVersion {
        model: parse("notes"),
        version: parse("v1"),
    };
    for number in 0..engines {
        let roles = [AssignedRole::Prefill, AssignedRole::Decode];
        let assignment = EngineAssignment {
            role: roles[number % 2],
            models: vec![version.clone()],
            ..EngineAssignment::default()
        };
        let (id, assignment) = (engine(number), ServerAssignment::Engine(assignment));
        Arc::make_mut(&mut lists.servers).insert(id.clone(), Server { id, assignment });
    }
    for number in 0..counters {
        let (id, assignment) = (counter(number), ServerAssignment::Service(parse("counter")));
        Arc::make_mut(&mut lists.servers).insert(id.clone(), Server { id, assignment });
    }
    let model = ModelAllowance {
        model: version.model,
        version: version.version,
        servers: (0..engines).map(engine).collect(),
        ..ModelAllowance::default()
    };
    let service = ServiceAllowance {
        service: parse("counter"),
        servers: (0..counters).map(counter).collect(),
    };
    let allowance = Allowance {
        models: vec![model],
        services: vec![service],
    };
    Arc::make_mut(&mut lists.allowances).insert(plan.name.clone(), allowance);
    lists.plans.insert(plan.name.clone(), plan);
    Arc::make_mut(&mut lists.customers).insert(customer.id.clone(), customer);
    lists
}

/// Hosts of all servers of the lists.
pub(crate) fn hosts(engines: usize, counters: usize) -> HostList {
    let host = |number: usize, server: BackendServerId| HostEntry {
        host: parse(&format!("host-{server}")),
        region: parse(&region(number)),
        zone: parse(&format!("zone-{}", number / 2 % 6)),
        state: HostState::Live,
        process: ProcessKind::Agent,
        address: String::new(),
        server: Some(server),
    };
    let engines = (0..engines).map(|number| host(number, engine(number)));
    let counters = (0..counters).map(|number| host(number, counter(number)));
    HostList {
        hosts: engines.chain(counters).collect(),
        ..HostList::default()
    }
}

/// Router of an entry in `region-0`.
pub(crate) fn router(policy: &str, lists: Lists, hosts: HostList) -> Router {
    let config = RoutingConfig::new(parse("region-0"), 1);
    let mut router = Router::new(policy, config).expect("known policy");
    router.apply(Arc::new(lists), Arc::new(hosts));
    router
}

pub(crate) fn target() -> ModelTarget {
    ModelTarget {
        model: parse("notes"),
        adapter: None,
        version: parse("v1"),
    }
}

/// Request of a model call with a prompt of 40 blocks. All requests of a conversation have the same
/// prompt.
pub(crate) fn pair_request(conversation: u64) -> RouteRequest {
    let hash = |block: u64| conversation.wrapping_mul(1_000_003).wrapping_add(block);
    route_request(RouteKind::Pair(ModelRequirements {
        target: target(),
        prefix_hashes: (0..40).map(hash).collect(),
        prompt_parts: (0..11)
            .map(|number| parse(&format!("{:016x}", hash(number))))
            .collect(),
        prompt_tokens: Tokens(40 * 256),
        prompt_bytes: 40_960,
        output_max_tokens: Tokens(200),
        due_us: DurationUs::from_ms(2_000),
    }))
}

pub(crate) fn route_request(kind: RouteKind) -> RouteRequest {
    RouteRequest {
        customer: parse("kiosks"),
        kind,
        allowed: Vec::new(),
        excluded: Vec::new(),
        is_retry: false,
    }
}
