//! Validation of plans and allowances: parsing and findings.

mod common;

use common::{ALLOWANCES, PLANS, part, snapshot};
use cuminlead_lists::{Lists, Snapshot};
use cuminlead_types::{CustomerId, Findings, ModelName, Revision, ServiceName};
use yare::parameterized;

fn findings(snapshot: &Snapshot) -> Vec<String> {
    let found = snapshot.check().err().unwrap_or_default();
    found.iter().map(ToString::to_string).collect()
}

/// Guards against a parser that rejects the documented format or drops a value.
#[test]
fn documented_format_is_read() {
    let lists = snapshot(3, PLANS, ALLOWANCES).check().expect("valid lists");
    let customer: CustomerId = "kiosks-norte".parse().unwrap();
    let model: ModelName = "repair-notes".parse().unwrap();
    let service: ServiceName = "counter".parse().unwrap();
    let adapter = "kiosk".parse().unwrap();
    let grant = lists
        .check_model(&customer, &model, Some(&adapter), None)
        .expect("grant");
    assert_eq!(lists.revision, Revision(3));
    assert_eq!(grant.plan.first_token_us.as_ms(), 2000);
    assert_eq!(grant.allowance.servers.len(), 2);
    assert!(lists.check_service(&customer, &service).is_ok());
    assert!(lists.is_idempotent(&service, "GET", "/stock/7"));
    assert!(!lists.is_idempotent(&service, "POST", "/stock/7"));
}

/// Guards against an invalid plans part that takes effect, and against a finding with a wrong line
/// or key.
#[parameterized(
    unknown_key = { "weight = 1", "weight = 1\ncolour = 2", "plans/base:9: plan.colour: unknown key" },
    wrong_unit = { "first_token_ms = 2000", "first_token_s = 2", "plans/base:6: plan.first_token_s: unknown key; did you mean first_token_ms?" },
    missing = { "weight = 1\n", "", "plans/base:2: plan.weight: missing" },
    text_for_number = { "weight = 1", "weight = \"1\"", "plans/base:8: plan.weight: expected an integer, found a string" },
    negative = { "weight = 1", "weight = -1", "plans/base:8: plan.weight: expected an integer, found an unsupported integer" },
    out_of_range = { "weight = 1", "weight = 0", "plans/base:8: plan.weight: 0 is out of range 1 to 1000" },
    missing_plan = { "plan = \"notes-standard\"", "plan = \"gone\"", "plans/base:11: customer.plan: no plan gone" },
    short_digest = { "9c481b", "9c48", "plans/base:12: customer.key_sha256: expected 64 hex digits" },
    schema = { "schema = 1", "schema = 2", "plans/base:1: schema: 2 is out of range 1 to 1" },
    wrong_table = { "[[customer]]", "[[server]]", "plans/base:9: server: unknown key" },
    bad_name = { "\"kiosks-norte\"", "\"kiosks norte\"", "plans/base:10: customer.id: \"kiosks norte\" is not a valid CustomerId" },
)]
fn plans_finding(valid: &str, faulty: &str, expected: &str) {
    let found = findings(&snapshot(1, &PLANS.replacen(valid, faulty, 1), ALLOWANCES));
    assert!(
        found.iter().any(|finding| finding == expected),
        "{found:#?}"
    );
}

/// Guards against an invalid allowances part that takes effect, and against a finding with a wrong
/// location.
#[parameterized(
    no_role = { "role = \"prefill\"\n", "", "allowances/base:2: server.role: missing" },
    wrong_role = { "role = \"prefill\"", "role = \"both\"", "allowances/base:5: server.role: expected prefill or decode, found \"both\"" },
    duplicate_server = { "id = \"counter-1\"", "id = \"notes-1\"", "allowances/base:17: server.id: server notes-1 is listed twice" },
    missing_server = { "servers = [\"notes-1\", \"notes-2\"]", "servers = [\"notes-9\"]", "allowances/base:32: allowance.model.servers: no server notes-9" },
    no_servers = { "servers = [\"counter-1\"]", "servers = []", "allowances/base:33: allowance.service.servers: the list of servers is empty" },
    no_prefill = { "servers = [\"notes-1\", ", "servers = [", "allowances/base:27: allowance.model.servers: no prefill server for model repair-notes version v1 with adapter kiosk" },
    no_decode = { ", \"notes-2\"]", "]", "allowances/base:27: allowance.model.servers: no decode server for model repair-notes version v1 with adapter kiosk" },
    other_version = { "version = \"v1\"\nadapter", "version = \"v2\"\nadapter", "allowances/base:32: allowance.model.servers: server notes-1 does not serve model repair-notes version v2 with adapter kiosk" },
    other_service = { "servers = [\"counter-1\"]", "servers = [\"notes-1\"]", "allowances/base:35: allowance.service.servers: server notes-1 is not assigned to service counter" },
    priority = { "priority = 5", "priority = 10", "allowances/base:31: allowance.model.priority: 10 is out of range 0 to 9" },
    missing_plan = { "plan = \"notes-standard\"", "plan = \"gone\"", "allowances/base:26: allowance.plan: no plan gone" },
    method = { "\"GET\"", "\"get\"", "allowances/base:22: route.method: expected an HTTP method in capital letters" },
    service_with_role = { "service = \"counter\"\n[[route]]", "service = \"counter\"\nrole = \"decode\"\n[[route]]", "allowances/base:20: server.role: unknown key" },
)]
fn allowances_finding(valid: &str, faulty: &str, expected: &str) {
    let found = findings(&snapshot(1, PLANS, &ALLOWANCES.replacen(valid, faulty, 1)));
    assert!(
        found.iter().any(|finding| finding == expected),
        "{found:#?}"
    );
}

/// Guards against a check that stops at the first error or ignores other parts.
#[test]
fn findings_of_all_parts_are_collected() {
    let revision = Revision(2);
    let parts = [
        part("plans/a", 1, PLANS),
        part("plans/b", 9, &PLANS.replace("weight = 1", "weight = = 1")),
        part("colours/a", 1, ""),
        part(
            "allowances/a",
            1,
            &ALLOWANCES.replace("priority = 5", "priority = 500"),
        ),
    ];
    let found = findings(&Snapshot::new(revision, parts));
    for start in [
        "plans/b: revision 9",
        "plans/b:8: ",
        "plans/b:10: customer.id: customer kiosks-norte is listed twice",
        "plans/b:10: customer.key_sha256: customer kiosks-norte has the key",
        "colours/a: unknown part",
        "allowances/a:31: ",
    ] {
        assert!(
            found.iter().any(|finding| finding.starts_with(start)),
            "{start}: {found:#?}"
        );
    }
}

/// Guards against a check whose time grows with the square of the number of customers, which would
/// block the control thread at the 4,400 customers of the design scale. Reads no clock: it only
/// checks that all customers are read.
#[test]
fn customers_of_the_design_scale_are_read() {
    let mut plans = PLANS.to_string();
    for number in 1..4_400 {
        plans += &format!(
            "[[customer]]\nid = \"c{number}\"\nplan = \"notes-standard\"\nkey_sha256 = \"{number:064x}\"\n"
        );
    }
    let lists: Result<Lists, Findings> = snapshot(1, &plans, ALLOWANCES).check();
    assert_eq!(lists.expect("valid lists").customers.len(), 4_400);
}
