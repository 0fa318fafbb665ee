//! Agent with lists and an inventory, and messages to it.
#![allow(dead_code)]

use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentConfig, AgentContext, AgentEvent, CallRef};
use cuminlead_lists::Lists;
use cuminlead_protocol::{
    AgentReply, AgentRequest, EngineCommand, EngineEvent, EngineInventory, EngineOrder, EngineRole,
    Envelope, HttpRequest, IssuePermit, LoadedModel, ModelTarget, Prefill, RefusalReason,
    ReplyBody, Reserve, RunCall,
};
use cuminlead_types::{
    Attempt, AttemptId, DurationUs, FencingNumber, Incarnation, KvPieces, Now, PermitId, RequestId,
    Revision, TimeUs, Tokens, UnixMs,
};

pub(crate) const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Parses an identifier or lists; panics if the text is invalid.
pub(crate) fn parse<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse();
    parsed.unwrap_or_else(|_| panic!("{text} is not valid"))
}

pub(crate) fn at(ms: u64) -> Now {
    Now {
        mono_us: TimeUs(ms * 1_000),
        unix_ms: UnixMs(START_UNIX_MS + ms),
    }
}

/// Lists of the sample, with allowances of two more models that are not assigned to any engine.
pub(crate) fn lists(revision: u64) -> Lists {
    let mut lists: Lists = parse(include_str!("../samples/lists.toml"));
    lists.revision = Revision(revision);
    let allowance = Arc::make_mut(&mut lists.allowances).get_mut(&parse("standard"));
    let models = &mut allowance.expect("listed").models;
    for model in ["unwanted", "new"] {
        let mut other = models[0].clone();
        other.model = parse(model);
        models.push(other);
    }
    lists
}

pub(crate) fn inventory(role: EngineRole, models: &[&str]) -> AgentEvent {
    let loaded = |model| LoadedModel {
        model: parse(model),
        version: parse("v1"),
    };
    AgentEvent::Engine(EngineEvent::Inventory(EngineInventory {
        total_pieces: KvPieces(100),
        role,
        models: models.iter().map(|model| loaded(model)).collect(),
        ..EngineInventory::default()
    }))
}

/// Agent under test; numbers the messages sent to it.
pub(crate) struct Agent {
    pub(crate) context: AgentContext,
    calls: u64,
}

impl Agent {
    /// Agent without lists and inventory.
    pub(crate) fn starting(server: &str) -> Self {
        let config = AgentConfig::new(parse(server), Incarnation(START_UNIX_MS));
        Self {
            context: AgentContext::new(config),
            calls: 0,
        }
    }

    /// Agent of an engine, with lists and an inventory.
    pub(crate) fn for_engine(server: &str, role: EngineRole) -> Self {
        let mut agent = Self::for_service(server);
        agent.start_engine(0, inventory(role, &["notes", "other"]));
        agent
    }

    /// Delivers the first inventory, then the answer to the order that announces the fencing
    /// number.
    pub(crate) fn start_engine(&mut self, ms: u64, inventory: AgentEvent) {
        let actions = self.handle(ms, inventory);
        let (fencing, _) = engine_order(&actions).expect("order that announces the fencing number");
        self.handle(ms, AgentEvent::Engine(EngineEvent::OrderDone { fencing }));
    }

    /// Agent with lists and without an inventory, which a service does not need.
    pub(crate) fn for_service(server: &str) -> Self {
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

    /// Sends a message and returns its reply; panics if it is not answered immediately.
    pub(crate) fn request(&mut self, ms: u64, request: AgentRequest) -> AgentReply {
        let actions = self.send(ms, request);
        let reply = replies(&actions).into_iter().next();
        reply.expect("message was not answered immediately")
    }
}

/// First engine order among the actions.
pub(crate) fn engine_order(actions: &[AgentAction]) -> Option<(FencingNumber, EngineOrder)> {
    actions.iter().find_map(|action| match action {
        AgentAction::Engine(EngineCommand::Order { fencing, order }) => {
            Some((*fencing, order.clone()))
        }
        _ => None,
    })
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
        customer: parse(customer),
        ..Envelope::default()
    }
}

fn target(model: &str) -> ModelTarget {
    ModelTarget {
        model: parse(model),
        version: parse("v1"),
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

pub(crate) fn issue_permit(number: u128, customer: &str) -> AgentRequest {
    AgentRequest::IssuePermit(IssuePermit {
        envelope: envelope(number, customer),
        service: parse("counter"),
        ..IssuePermit::default()
    })
}

pub(crate) fn run_call(number: u128, permit: Option<PermitId>, method: &str) -> AgentRequest {
    AgentRequest::RunCall(RunCall {
        envelope: envelope(number, "kiosks"),
        service: parse("counter"),
        permit,
        http: HttpRequest {
            method: method.to_string(),
            path: "/stock/7".to_string(),
            ..HttpRequest::default()
        },
    })
}
