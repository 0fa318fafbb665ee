//! An agent with its lists, for the tests.
#![allow(dead_code)]

use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentConfig, AgentContext, AgentEvent, CallRef};
use cuminlead_lists::{
    Allowance, Customer, EngineDuty, Lists, ModelAllowance, ModelVersion, Plan, Server, ServerDuty,
    ServiceAllowance, ServiceRoute, WantedRole,
};
use cuminlead_protocol::{
    AgentReply, AgentRequest, EngineEvent, EngineInventory, EngineRole, Envelope, HttpRequest,
    IssuePermit, LoadedModel, ModelTarget, Prefill, RefusalReason, ReplyBody, Reserve, RunCall,
};
use cuminlead_types::{
    Attempt, AttemptId, DurationUs, Incarnation, KvPieces, Now, PermitId, RequestId, Revision,
    TimeUs, Tokens, UnixMs,
};

pub(crate) const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Parses a name.
pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse();
    parsed.unwrap_or_else(|_| panic!("{text} is not valid"))
}

pub(crate) fn at(ms: u64) -> Now {
    Now {
        mono_us: TimeUs(ms * 1_000),
        unix_ms: UnixMs(START_UNIX_MS + ms),
    }
}

/// Lists with a prefill engine, a decode engine and a service; `other` is outside the plan.
pub(crate) fn lists(revision: u64) -> Lists {
    let customer = Customer {
        id: name("kiosks"),
        plan: name("standard"),
        ..Customer::default()
    };
    let counter = ServiceAllowance {
        service: name("counter"),
        servers: vec![name("counter-1")],
    };
    let allowance = |models: &[&str]| Allowance {
        models: models.iter().map(|model| allowed(model)).collect(),
        services: vec![counter.clone()],
    };
    let allowances = [
        (name("standard"), allowance(&["notes", "unwanted", "new"])),
        (name("premium"), allowance(&["other"])),
    ];
    let servers = [
        ("prefill-1", engine(WantedRole::Prefill)),
        ("decode-1", engine(WantedRole::Decode)),
        ("decode-2", engine(WantedRole::Decode)),
        ("counter-1", ServerDuty::Service(name("counter"))),
        ("counter-2", ServerDuty::Service(name("counter"))),
    ];
    let server = |(id, duty)| (name(id), Server { id: name(id), duty });
    Lists {
        revision: Revision(revision),
        customers: [(customer.id.clone(), customer)].into(),
        allowances: allowances.into(),
        plans: [(
            name("standard"),
            Plan {
                name: name("standard"),
                ..Plan::default()
            },
        )]
        .into(),
        servers: servers.map(server).into(),
        routes: vec![ServiceRoute {
            service: name("counter"),
            method: "GET".to_string(),
            path_prefix: "/stock".to_string(),
            idempotent: true,
        }],
    }
}

fn engine(role: WantedRole) -> ServerDuty {
    let version = |model| ModelVersion {
        model: name(model),
        version: name("v1"),
    };
    ServerDuty::Engine(EngineDuty {
        role,
        models: ["notes", "other"].map(version).to_vec(),
        ..EngineDuty::default()
    })
}

fn allowed(model: &str) -> ModelAllowance {
    ModelAllowance {
        model: name(model),
        version: name("v1"),
        servers: vec![name("prefill-1"), name("decode-1")],
        ..ModelAllowance::default()
    }
}

pub(crate) fn inventory(role: EngineRole, models: &[&str]) -> AgentEvent {
    let loaded = |model| LoadedModel {
        model: name(model),
        version: name("v1"),
    };
    AgentEvent::Engine(EngineEvent::Inventory(EngineInventory {
        total_pieces: KvPieces(100),
        role,
        models: models.iter().map(|model| loaded(model)).collect(),
        ..EngineInventory::default()
    }))
}

/// An agent and the time of its last event.
pub(crate) struct Agent {
    pub(crate) context: AgentContext,
    calls: u64,
}

impl Agent {
    /// Agent without lists.
    pub(crate) fn starting(server: &str) -> Self {
        let config = AgentConfig::new(name(server), Incarnation(START_UNIX_MS));
        Self {
            context: AgentContext::new(config),
            calls: 0,
        }
    }

    /// Agent of an engine that has lists and inventory.
    pub(crate) fn of_engine(server: &str, role: EngineRole) -> Self {
        let mut agent = Self::of_service(server);
        agent.handle(0, inventory(role, &["notes", "other"]));
        agent
    }

    /// Agent that has lists.
    pub(crate) fn of_service(server: &str) -> Self {
        let mut agent = Self::starting(server);
        agent.handle(0, AgentEvent::Lists(Arc::new(lists(5))));
        agent
    }

    pub(crate) fn handle(&mut self, ms: u64, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.context.handle(at(ms), event, &mut actions);
        actions
    }

    pub(crate) fn send(&mut self, ms: u64, request: AgentRequest) -> Vec<AgentAction> {
        self.calls += 1;
        let call = CallRef(self.calls);
        self.handle(ms, AgentEvent::Request { call, request })
    }

    /// Sends a message and returns its reply, which must come at once.
    pub(crate) fn ask(&mut self, ms: u64, request: AgentRequest) -> AgentReply {
        let actions = self.send(ms, request);
        let reply = replies(&actions).into_iter().next();
        reply.expect("answered at once")
    }
}

pub(crate) fn replies(actions: &[AgentAction]) -> Vec<AgentReply> {
    let replies = actions.iter().filter_map(|action| match action {
        AgentAction::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    });
    replies.collect()
}

pub(crate) fn refused(reason: RefusalReason) -> ReplyBody {
    ReplyBody::Failed(cuminlead_protocol::AgentFailure::Refused(reason))
}

pub(crate) fn envelope(number: u128, customer: &str) -> Envelope {
    Envelope {
        id: AttemptId {
            request: RequestId(number),
            attempt: Attempt::FIRST,
        },
        customer: name(customer),
        ..Envelope::default()
    }
}

fn target(model: &str) -> ModelTarget {
    ModelTarget {
        model: name(model),
        version: name("v1"),
        adapter: None,
    }
}

pub(crate) fn reserve(number: u128, customer: &str, model: &str) -> AgentRequest {
    AgentRequest::Reserve(Reserve {
        envelope: envelope(number, customer),
        target: target(model),
        prompt_tokens: Tokens(1_000),
        output_max_tokens: Tokens(100),
        lease_us: DurationUs::from_ms(20_000),
        due_us: DurationUs::from_ms(10_000),
        wait_max_us: DurationUs::from_ms(5_000),
        ..Reserve::default()
    })
}

pub(crate) fn prefill(number: u128, customer: &str, model: &str) -> AgentRequest {
    AgentRequest::Prefill(Prefill {
        envelope: envelope(number, customer),
        target: target(model),
        prompt_tokens: Tokens(1_000),
        due_us: DurationUs::from_ms(10_000),
        ..Prefill::default()
    })
}

pub(crate) fn issue(number: u128, customer: &str) -> AgentRequest {
    AgentRequest::IssuePermit(IssuePermit {
        envelope: envelope(number, customer),
        service: name("counter"),
        ..IssuePermit::default()
    })
}

pub(crate) fn run(number: u128, permit: Option<PermitId>, method: &str) -> AgentRequest {
    AgentRequest::RunCall(RunCall {
        envelope: envelope(number, "kiosks"),
        service: name("counter"),
        permit,
        http: HttpRequest {
            method: method.to_string(),
            path: "/stock/7".to_string(),
            ..HttpRequest::default()
        },
    })
}
