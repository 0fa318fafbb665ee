//! Invalid HTTP requests of callers, with separate processes.

use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question, RawRequest};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{ALLOWANCES_KEY, Fleet, FleetConfig, PLANS_KEY, lists};
use serde_json::{Value, json};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// P8: an accepted change is in effect everywhere within this time.
const IN_EFFECT_MAX: Duration = Duration::from_secs(9);
/// Revision of the lists after the two edits that add a second plan.
const REVISION: u64 = 4;
const BODY_MAX_BYTES: usize = 65_536;
/// Number of oversized bodies; most of them would get no response if the entry reset the connection.
const LONG_BODIES_COUNT: usize = 20;
const CHAT: &str = "/v1/chat/completions";

/// Invalid request, with the status and error code of its refusal.
struct BadInput {
    what: &'static str,
    request: RawRequest,
    has_key: bool,
    status: u16,
    code: &'static str,
}

impl BadInput {
    fn new(what: &'static str, request: RawRequest, status: u16, code: &'static str) -> Self {
        Self {
            what,
            request,
            has_key: true,
            status,
            code,
        }
    }
}

/// Starts a fleet whose lists have a second plan; only that plan may use a second model version and
/// a second service.
fn start() -> Fleet {
    let counts = ServerCounts {
        prefills: 1,
        decodes: 1,
        services: 1,
    };
    let mut config = FleetConfig::new(small_deployment(counts));
    let body_max = ("body_max_bytes".to_string(), BODY_MAX_BYTES.to_string());
    config.entry_settings.extend([body_max]);
    let fleet = Fleet::start(config).expect("start");
    let plans = lists::plans(&fleet.config, &fleet.key);
    let plans = format!(
        "{plans}[[plan]]\nname = \"other\"\nrequests_per_second = 1\nburst_requests = 1\n\
         first_token_ms = 2000\nbetween_tokens_ms = 60\nweight = 1\n"
    );
    let allowances = lists::allowances(&fleet.config.deployment);
    let allowances = format!(
        "{allowances}[[server]]\nid = \"other-1\"\nkind = \"service\"\nservice = \"other\"\n\
         [[allowance]]\nplan = \"other\"\n[[allowance.model]]\nmodel = \"repair-notes\"\n\
         version = \"v2\"\npriority = 1\nservers = [\"prefill-1\", \"decode-1\"]\n\
         [[allowance.service]]\nservice = \"other\"\nservers = [\"other-1\"]\n"
    );
    let models = "models = [{ model = \"repair-notes\", version = \"v1\" }";
    let second = format!("{models}, {{ model = \"repair-notes\", version = \"v2\" }}");
    let allowances = allowances.replace(models, &second);
    fleet.publish(PLANS_KEY, &plans).expect("publish");
    fleet.publish(ALLOWANCES_KEY, &allowances).expect("publish");
    fleet
        .wait_for("the edited lists are in effect", IN_EFFECT_MAX, |fleet| {
            Ok(fleet.lists_revision("entry-1")? == REVISION)
        })
        .expect("lists");
    fleet
}

fn bad_inputs(fleet: &Fleet) -> Vec<BadInput> {
    let body = fleet.request_body(&Question::new("of bad input", 2));
    let with_field = |key: &str, value: Value| {
        let mut body = body.clone();
        body[key] = value;
        RawRequest::new(CHAT, body)
    };
    let long = "x".repeat(BODY_MAX_BYTES + 1);
    let charge = |service: &str| {
        let path = format!("/v1/services/{service}/charges");
        RawRequest::new(&path, json!({ "reference": "bad-input" }))
    };
    let mut inputs = vec![
        BadInput::new("no JSON", RawRequest::new(CHAT, "{"), 400, "malformed"),
        BadInput::new("no body", RawRequest::new(CHAT, ""), 400, "malformed"),
        BadInput::new(
            "no messages",
            with_field("messages", Value::Null),
            400,
            "malformed",
        ),
        BadInput::new(
            "wrong type",
            with_field("messages", json!(7)),
            400,
            "malformed",
        ),
        BadInput::new(
            "empty prompt",
            with_field("messages", json!([])),
            400,
            "malformed",
        ),
        BadInput::new("bad name", with_field("model", json!("")), 400, "malformed"),
        BadInput::new(
            "long body",
            RawRequest::new(CHAT, long),
            413,
            "body_too_large",
        ),
        BadInput::new(
            "unknown model",
            with_field("model", json!("none")),
            404,
            "not_found",
        ),
        BadInput::new(
            "other plan's version",
            with_field("version", json!("v2")),
            403,
            "outside_plan",
        ),
        BadInput::new("unknown service", charge("none"), 404, "not_found"),
        BadInput::new("other plan's service", charge("other"), 403, "outside_plan"),
        BadInput::new(
            "unknown address",
            RawRequest::new("/v2/none", "{}"),
            404,
            "not_found",
        ),
    ];
    let mut keyless = BadInput::new("no key", with_field("n", json!(1)), 401, "unauthenticated");
    keyless.has_key = false;
    let wrong = with_field("n", json!(1)).with_header("authorization", "Bearer wrong");
    let mut wrong = BadInput::new("wrong key", wrong, 401, "unauthenticated");
    wrong.has_key = false;
    let mut keyless_charge = BadInput::new("no key", charge("counter"), 401, "unauthenticated");
    keyless_charge.has_key = false;
    let bad_key = charge("counter").with_header("idempotency-issued-at-ms", "soon");
    inputs.push(BadInput::new("bad time", bad_key, 400, "malformed"));
    inputs.extend([keyless, wrong, keyless_charge]);
    inputs
}

/// Guards against invalid input that is accepted, that is refused without code, outcome, message or
/// request id, or that reaches a back end although it is reported as not run.
#[test]
fn bad_input_is_refused_with_a_reason_and_does_not_run() {
    let _guard = FleetGuard::wait();
    let fleet = start();
    let address = fleet.address("entry-1", "callers").expect("address");
    let mut findings = Vec::new();
    for input in bad_inputs(&fleet) {
        let answer = if input.has_key {
            fleet.send("entry-1", &input.request, REQUEST_TIMEOUT)
        } else {
            input.request.send(&address, REQUEST_TIMEOUT)
        };
        let is_expected = answer.as_ref().is_ok_and(|answer| {
            let error = &answer.body["error"];
            answer.status == input.status
                && error["code"] == input.code
                && error["outcome"] == "not_run"
                && error["message"].as_str().is_some_and(|m| !m.is_empty())
                && error["request_id"]
                    .as_str()
                    .is_some_and(|id| !id.is_empty())
        });
        if !is_expected {
            findings.push(format!("{}: {answer:?}", input.what));
        }
    }
    assert!(findings.is_empty(), "{findings:#?}");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 0);
    assert!(fleet.effects().expect("effects").is_empty());
    let question = Question::new("after bad input", 4);
    let received = fleet.ask("entry-1", &question, REQUEST_TIMEOUT);
    question
        .check(&received.expect("response"))
        .expect("complete output");
    fleet.stop().expect("clean exit");
}

/// Guards against a refusal that never reaches the caller because the entry closes the connection
/// while the caller is still sending its body.
#[test]
fn refusal_of_a_long_body_reaches_the_caller() {
    let _guard = FleetGuard::wait();
    let fleet = start();
    let long = RawRequest::new(CHAT, "x".repeat(BODY_MAX_BYTES * 40));
    let address = fleet.address("entry-1", "callers").expect("address");
    for _ in 0..LONG_BODIES_COUNT {
        let answer = fleet
            .send("entry-1", &long, REQUEST_TIMEOUT)
            .expect("response");
        assert_eq!(answer.status, 413, "{answer:?}");
        let answer = long.send(&address, REQUEST_TIMEOUT).expect("response");
        assert_eq!(answer.status, 401, "{answer:?}");
    }
    fleet.stop().expect("clean exit");
}
