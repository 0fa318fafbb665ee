//! Table-driven tests of permits and idempotency keys.

use std::fmt::Debug;
use std::str::FromStr;
use std::sync::Arc;

use cuminlead_lists::{Lists, Server, ServerAssignment};
use cuminlead_permits::{KeyId, Permits, PermitsConfig, RunOutcome, owner_of};
use cuminlead_protocol::{
    AgentFailure, HttpResponse, IssuePermit, PermitOutcome, RefusalReason, ReplyBody, RunCall,
};
use cuminlead_types::{BackendServerId, Bytes, Incarnation, Now, PermitId, TimeUs, UnixMs};
use yare::parameterized;

const START_UNIX_MS: u64 = 1_000_000;
const RETENTION_OVER_MS: u64 = 1_200_000;

fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn now(ms: u64) -> Now {
    Now {
        mono_us: TimeUs(ms * 1_000),
        unix_ms: UnixMs(START_UNIX_MS + ms),
    }
}

fn lists(servers: &[&str]) -> Lists {
    let mut lists = Lists::default();
    for name in servers {
        let id: BackendServerId = parse(name);
        let assignment = ServerAssignment::Service(parse("booking"));
        Arc::make_mut(&mut lists.servers).insert(id.clone(), Server { id, assignment });
    }
    lists
}

fn permits() -> Permits {
    let mut config = PermitsConfig::new(parse("booking-1"), Incarnation(START_UNIX_MS));
    config.retained_max_bytes = Bytes(100);
    config.record_max_count = 3;
    let mut permits = Permits::new(now(0), config);
    permits.apply_lists(now(0), &lists(&["booking-1"]));
    permits
}

fn issue_message(request: u128, key: Option<&str>, issued_at_ms: Option<u64>) -> IssuePermit {
    let mut message = IssuePermit {
        service: parse("booking"),
        key: key.map(parse),
        key_issued_at_ms: issued_at_ms.map(|ms| UnixMs(START_UNIX_MS + ms)),
        ..Default::default()
    };
    message.envelope.id.request.0 = request;
    message
}

fn run_message(request: u128, permit: Option<PermitId>) -> RunCall {
    let service = parse("booking");
    let mut message = RunCall {
        service,
        permit,
        ..Default::default()
    };
    message.envelope.id.request.0 = request;
    message
}

fn issue(permits: &mut Permits, at_ms: u64, request: u128, key: Option<&str>) -> ReplyBody {
    permits.confirm_lists(now(at_ms).mono_us);
    let message = issue_message(request, key, None);
    permits.issue(now(at_ms), &lists(&["booking-1"]), &message)
}

fn issued(reply: ReplyBody) -> PermitId {
    match reply {
        ReplyBody::PermitIssued(issued) => issued.permit,
        other => panic!("no permit: {other}"),
    }
}

fn answered_outcome(bytes: usize) -> RunOutcome {
    let body = vec![b'x'; bytes];
    RunOutcome::Answered(HttpResponse {
        status: 200,
        body,
        ..Default::default()
    })
}

/// Guards against running a call that an earlier incarnation or an earlier owner may have run, and
/// against refusing keys that are certainly new.
#[parameterized(
    young = { 599_000, None, None, true },
    first_lists_may_be_recent = { 700_000, None, None, true },
    old = { RETENTION_OVER_MS, None, None, false },
    young_key_made_after_start = { 10_000, None, Some(5_000), true },
    young_key_made_while_old_owner_may_run = { 700_000, None, Some(604_999), true },
    young_key_made_after_old_owner_is_stale = { 700_000, None, Some(605_000), false },
    implausible_future_key = { 700_000, None, Some(705_001), true },
    changed = { 2 * RETENTION_OVER_MS - 1, Some(RETENTION_OVER_MS), None, true },
    change_is_old = { 2 * RETENTION_OVER_MS, Some(RETENTION_OVER_MS), None, false },
    key_made_while_old_owner_may_run = { RETENTION_OVER_MS + 605_000, Some(RETENTION_OVER_MS), Some(RETENTION_OVER_MS + 604_999), true },
    key_made_after_old_owner_is_stale = { RETENTION_OVER_MS + 605_000, Some(RETENTION_OVER_MS), Some(RETENTION_OVER_MS + 605_000), false },
)]
fn key_without_record(at: u64, change: Option<u64>, issued_at: Option<u64>, is_unknown: bool) {
    let mut permits = permits();
    if let Some(change) = change {
        permits.apply_lists(now(change), &lists(&["booking-1", "booking-2"]));
        permits.apply_lists(now(change), &lists(&["booking-1"]));
    }
    permits.confirm_lists(now(at).mono_us);
    let message = issue_message(1, Some("k"), issued_at);
    let reply = permits.issue(now(at), &lists(&["booking-1"]), &message);
    assert_eq!(reply == ReplyBody::KeyUnknown, is_unknown, "{reply}");
}

/// Guards against two owners of a key within the retention period: calls are refused under stale
/// lists and for keys of another owner.
#[parameterized(
    never_confirmed = { None, &["booking-1"], RefusalReason::ListsUnconfirmed },
    confirmed_too_long_ago = { Some(RETENTION_OVER_MS - 600_000), &["booking-1"], RefusalReason::ListsUnconfirmed },
    other_owner = { Some(RETENTION_OVER_MS), &["booking-1", "booking-2"], RefusalReason::NotOwner },
    not_listed = { Some(RETENTION_OVER_MS), &["booking-2"], RefusalReason::NotServed },
)]
fn keyed_refusal(confirmed_ms: Option<u64>, servers: &[&str], expected: RefusalReason) {
    let mut permits = permits();
    let lists = lists(servers);
    if let Some(at) = confirmed_ms {
        permits.confirm_lists(now(at).mono_us);
    }
    let names: Vec<_> = (0..64).map(|n| format!("key-{n}")).collect();
    let key = names.iter().find(|name| {
        let (customer, service, key) = (Default::default(), parse("booking"), parse(name));
        let owner = owner_of(
            &KeyId {
                customer,
                service,
                key,
            },
            lists.servers.keys(),
        );
        owner == lists.servers.keys().last()
    });
    let message = issue_message(1, key.map(String::as_str), None);
    let reply = permits.issue(now(RETENTION_OVER_MS), &lists, &message);
    assert_eq!(reply, ReplyBody::Failed(AgentFailure::Refused(expected)));
}

/// Guards against starting a call under a permit that is not valid for exactly this call.
#[parameterized(
    valid = { 1_999, 1, true, 0, None },
    missing = { 0, 1, false, 0, Some(RefusalReason::PermitMissing) },
    expired = { 2_000, 1, true, 0, Some(RefusalReason::PermitInvalid) },
    other_request = { 0, 2, true, 0, Some(RefusalReason::PermitInvalid) },
    other_incarnation = { 0, 1, true, 1, Some(RefusalReason::PermitInvalid) },
)]
fn permit_start(
    after_ms: u64,
    request: u128,
    given: bool,
    skew: u64,
    refusal: Option<RefusalReason>,
) {
    let mut permits = permits();
    let mut permit = issued(issue(&mut permits, 0, 1, None));
    permit.incarnation.0 += skew;
    let message = run_message(request, given.then_some(permit));
    assert_eq!(
        permits.start(now(after_ms).mono_us, &message).err(),
        refusal
    );
    let again = permits.start(now(after_ms).mono_us, &message);
    assert!(again.is_err(), "a permit starts at most once");
}

/// Guards against a key that stays blocked by a call that did not run, and a key that becomes free
/// after a call that may have run.
#[parameterized(
    answered = { answered_outcome(5) },
    not_sent = { RunOutcome::NotSent },
    lost = { RunOutcome::Lost },
)]
fn key_after_run(outcome: RunOutcome) {
    let mut permits = permits();
    let at = now(RETENTION_OVER_MS).mono_us;
    let permit = issued(issue(&mut permits, RETENTION_OVER_MS, 1, Some("k")));
    permits.start(at, &run_message(1, Some(permit))).unwrap();
    assert_eq!(
        issue(&mut permits, RETENTION_OVER_MS, 2, Some("k")),
        ReplyBody::KeyRunning
    );
    let ended = permits.finish(at, permit, &outcome);
    assert_eq!(permits.query(at, permit), ReplyBody::PermitOutcome(ended));
    let reply = issue(&mut permits, RETENTION_OVER_MS, 2, Some("k"));
    match outcome {
        RunOutcome::Answered(http) => assert_eq!(reply, ReplyBody::KeyReplayed(http)),
        RunOutcome::NotSent => assert_ne!(issued(reply), permit),
        RunOutcome::Lost => assert_eq!(reply, ReplyBody::KeyUnknown),
    }
}

/// Guards against unbounded memory for records and responses, and against reporting a call whose
/// record was evicted as voided.
#[test]
fn limits_are_enforced() {
    let mut permits = permits();
    let issued_permits = [1, 2, 3].map(|request| issued(issue(&mut permits, 0, request, None)));
    for (request, permit) in (1..).zip(issued_permits) {
        permits
            .start(TimeUs(0), &run_message(request, Some(permit)))
            .unwrap();
    }
    let full = ReplyBody::Failed(AgentFailure::Refused(RefusalReason::QueueFull));
    assert_eq!(
        issue(&mut permits, 0, 4, None),
        full,
        "running calls are not forgotten"
    );
    for permit in issued_permits {
        permits.finish(TimeUs(0), permit, &answered_outcome(50));
    }
    assert!(permits.retained_bytes() <= 100);
    let unknown = ReplyBody::PermitOutcome(PermitOutcome::Unknown);
    assert_eq!(permits.query(TimeUs(0), issued_permits[0]), unknown);
    issued(issue(&mut permits, 0, 5, None));
    assert_eq!(permits.query(TimeUs(0), issued_permits[0]), unknown);
}
