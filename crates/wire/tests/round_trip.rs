//! Messages are unchanged after conversion to protobuf and back, and invalid messages are rejected.
//!
//! Guards against a field that a conversion drops or swaps in one direction.

#![allow(clippy::unwrap_used, reason = "test data is valid")]

use cuminlead_distribution::{NEVER_CONFIRMED, PartEncoding, Revisions, Update};
use cuminlead_lists::{
    Delta, HostDelta, HostEntry, HostState, Part, PartKey, PartPatch, ProcessKind, TextPatch,
};
use cuminlead_protocol::*;
use cuminlead_types::*;
use cuminlead_wire::peer::pull_request;
use cuminlead_wire::stream::DecodeMessage;
use cuminlead_wire::{WireError, proto};
use yare::parameterized;

fn envelope() -> Envelope {
    Envelope {
        entry: "entry-1".parse().unwrap(),
        id: AttemptId {
            request: RequestId(7 << 90),
            attempt: Attempt(2),
        },
        customer: "kiosks".parse().unwrap(),
        lists_revision: Revision(3),
        hosts_revision: Revision(4),
        traceparent: "00-1-2-01".to_string(),
    }
}

fn target() -> ModelTarget {
    ModelTarget {
        model: "notes".parse().unwrap(),
        adapter: Some("kiosk".parse().unwrap()),
        version: "v1".parse().unwrap(),
    }
}

fn http() -> HttpRequest {
    HttpRequest {
        method: "POST".to_string(),
        path: "/charges?x=1".to_string(),
        content_type: "application/json".to_string(),
        body: vec![1, 2],
    }
}

fn prompt_parts() -> Vec<PromptPartId> {
    vec!["guide".parse().unwrap(), "guide-notes".parse().unwrap()]
}

fn agent_state() -> AgentState {
    AgentState {
        server: "notes-1".parse().unwrap(),
        incarnation: Incarnation(9),
        lists_revision: Revision(1),
        hosts_revision: Revision(2),
        draining: true,
        load: LoadReport {
            free_slots: Slots(1),
            free_pieces: KvPieces(2),
            running_count: 3,
            queued_count: 4,
            pending_prompt_tokens: Tokens(5),
            oldest_stall_us: DurationUs(6),
        },
        crashes: vec![SequenceCrash {
            id: envelope().id,
            age_us: DurationUs(7),
            prompt_parts: prompt_parts(),
        }],
    }
}

fn response() -> HttpResponse {
    HttpResponse {
        status: 201,
        content_type: "text/plain".to_string(),
        body: vec![3],
    }
}

const PERMIT: PermitId = PermitId {
    incarnation: Incarnation(9),
    number: 8,
};

#[parameterized(
    reserve = { AgentRequest::Reserve(Reserve { envelope: envelope(), target: target(),
        priority: Priority(5), prompt_tokens: Tokens(6), prompt_parts: prompt_parts(),
        output_max_tokens: Tokens(7),
        lease_us: DurationUs(8), due_us: DurationUs(9), wait_max_us: DurationUs(10) }) },
    prefill = { AgentRequest::Prefill(Prefill { envelope: envelope(), target: target(),
        priority: Priority(5), prompt: "text".to_string(), prompt_tokens: Tokens(1),
        due_us: DurationUs(2), wait_max_us: DurationUs(3) }) },
    release = { AgentRequest::Release(Release { envelope: envelope() }) },
    issue = { AgentRequest::IssuePermit(IssuePermit { envelope: envelope(),
        service: "counter".parse().unwrap(), key: Some("k".parse().unwrap()),
        key_issued_at_ms: Some(UnixMs(5)) }) },
    run = { AgentRequest::RunCall(RunCall { envelope: envelope(),
        service: "counter".parse().unwrap(), permit: Some(PERMIT), http: http() }) },
    ask = { AgentRequest::QueryPermit(QueryPermit { envelope: envelope(), permit: PERMIT }) },
    state = { AgentRequest::GetState(GetState { envelope: envelope() }) },
    probe = { AgentRequest::GetState(GetState { envelope: Envelope {
        entry: "entry-1".parse().unwrap(), ..Envelope::default() } }) },
)]
fn request_is_unchanged(message: AgentRequest) {
    let wire: proto::CallRequest = message.clone().into();
    assert_eq!(AgentRequest::try_from(wire), Ok(message));
}

#[parameterized(
    reserved = { ReplyBody::Reserved(Reserved { expires_in_us: DurationUs(1) }) },
    prefilled = { ReplyBody::Prefilled(Prefilled { kv: KvHandle { address: "127.0.0.1:1".to_string(),
        handle: "h".to_string() }, prompt_tokens: Tokens(1), cached_tokens: Tokens(2),
        retained_for_us: DurationUs(3) }) },
    released = { ReplyBody::Released },
    issued = { ReplyBody::PermitIssued(PermitIssued { permit: PERMIT, expires_in_us: DurationUs(1) }) },
    replayed = { ReplyBody::KeyReplayed(response()) },
    key_running = { ReplyBody::KeyRunning },
    key_unknown = { ReplyBody::KeyUnknown },
    done = { ReplyBody::CallDone(response()) },
    voided = { ReplyBody::PermitOutcome(PermitOutcome::Voided) },
    running = { ReplyBody::PermitOutcome(PermitOutcome::Running) },
    permit_done = { ReplyBody::PermitOutcome(PermitOutcome::Done(response())) },
    unknown = { ReplyBody::PermitOutcome(PermitOutcome::Unknown) },
    state = { ReplyBody::State },
    refused = { ReplyBody::Failed(AgentFailure::Refused(RefusalReason::NotOwner)) },
    engine = { ReplyBody::Failed(AgentFailure::EngineFailed) },
    transfer = { ReplyBody::Failed(AgentFailure::TransferFailed) },
    cancelled = { ReplyBody::Failed(AgentFailure::Cancelled) },
    outcome = { ReplyBody::Failed(AgentFailure::OutcomeUnknown) },
    service = { ReplyBody::Failed(AgentFailure::ServiceFailed) },
)]
fn reply_is_unchanged(body: ReplyBody) {
    let reply = AgentReply {
        state: agent_state(),
        body,
    };
    let wire: proto::CallReply = reply.clone().into();
    assert_eq!(AgentReply::try_from(wire), Ok(reply));
}

#[parameterized(
    start = { DecodeMode::Start(DecodeStart { kv: KvHandle::default(), first_sequence: SequenceNumber(4),
        output_max_tokens: Tokens(5) }) },
    resume = { DecodeMode::Resume(DecodeResume { incarnation: Incarnation(1), next_sequence: SequenceNumber(2) }) },
)]
fn open_is_unchanged(mode: DecodeMode) {
    let open = DecodeOpen {
        envelope: envelope(),
        mode,
    };
    let wire: proto::DecodeRequest = open.clone().into();
    assert_eq!(DecodeMessage::try_from(wire), Ok(DecodeMessage::Open(open)));
}

#[parameterized(
    imported = { DecodeEvent::Imported(agent_state()) },
    heartbeat = { DecodeEvent::Heartbeat(agent_state()) },
    failed = { DecodeEvent::Failed { state: agent_state(), failure: AgentFailure::EngineFailed } },
    chunk = { DecodeEvent::Chunk(Chunk { id: envelope().id, incarnation: Incarnation(1),
        sequence: SequenceNumber(2), text: "t".to_string(), tokens: Tokens(1),
        finish: Some(FinishReason::Length) }) },
)]
fn event_is_unchanged(event: DecodeEvent) {
    let wire: proto::DecodeReply = event.clone().into();
    assert_eq!(DecodeEvent::try_from(wire), Ok(event));
}

#[parameterized(
    empty = { proto::CallRequest::default(), WireError::Missing("envelope") },
    short_request_id = { proto::CallRequest { envelope: Some(proto::Envelope { request: vec![1],
        ..Default::default() }), body: None }, WireError::Invalid("request") },
    no_body = { proto::CallRequest { envelope: Some(envelope().into()), body: None },
        WireError::Missing("body") },
)]
fn invalid_request_is_rejected(wire: proto::CallRequest, error: WireError) {
    assert_eq!(AgentRequest::try_from(wire), Err(error));
}

/// Guards against an update that loses or changes a part, patch, host or age.
#[test]
fn peer_update_is_unchanged() {
    let update = Update {
        lists: Delta {
            from_revision: Revision(1),
            revision: Revision(2),
            is_full: false,
            parts: vec![Part {
                key: PartKey::new("plans/base"),
                revision: Revision(2),
                text: "schema = 1".to_string(),
            }],
            removed: vec![PartKey::new("plans/old")],
        },
        patches: vec![PartPatch {
            key: PartKey::new("plans/patched"),
            revision: Revision(2),
            change: TextPatch::between("schema = 1", "schema = 2"),
        }],
        hosts: HostDelta {
            from_revision: Revision(3),
            revision: Revision(4),
            is_full: true,
            hosts: vec![HostEntry {
                host: "host-1".parse().unwrap(),
                region: "litoral".parse().unwrap(),
                zone: "litoral-a".parse().unwrap(),
                state: HostState::Leaving,
                process: ProcessKind::Agent,
                address: "127.0.0.1:1".to_string(),
                server: Some("notes-1".parse().unwrap()),
            }],
            removed: vec!["host-2".parse().unwrap()],
        },
        confirmed_age: DurationUs(5),
        hosts_confirmed_age: DurationUs(6),
    };
    let wire = proto::PeerUpdate::from(&update);
    assert_eq!(Update::try_from(wire), Ok(update));
}

/// Guards against patches sent to a process of an earlier version, which ignores them and would
/// miss the changed parts, and against a wrong age of its host list, which it does not send.
#[test]
fn fields_missing_in_earlier_versions_have_defaults() {
    let request = proto::PullRequest::default();
    assert_eq!(PartEncoding::from(&request), PartEncoding::Full);
    let request = pull_request("host-1", Revisions::default(), PartEncoding::Patch);
    assert_eq!(PartEncoding::from(&request), PartEncoding::Patch);
    let wire = proto::PeerUpdate {
        lists: Some(proto::ListDelta::default()),
        hosts: Some(proto::HostDelta::default()),
        ..proto::PeerUpdate::default()
    };
    let update = Update::try_from(wire).expect("update");
    assert_eq!(update.hosts_confirmed_age, NEVER_CONFIRMED);
}
