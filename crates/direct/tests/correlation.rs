//! Which response belongs to a request.

use cuminlead_direct::correlation::is_response_to;

struct Case {
    name: &'static str,
    request_id: Option<&'static str>,
    response_id: Option<&'static str>,
    is_first_on_connection: bool,
    is_accepted: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "own id",
        request_id: Some("q1"),
        response_id: Some("q1"),
        is_first_on_connection: false,
        is_accepted: true,
    },
    Case {
        name: "id of another request",
        request_id: Some("q1"),
        response_id: Some("q0"),
        is_first_on_connection: false,
        is_accepted: false,
    },
    Case {
        name: "id of another request on a new connection",
        request_id: Some("q1"),
        response_id: Some("q0"),
        is_first_on_connection: true,
        is_accepted: false,
    },
    Case {
        name: "no id on a connection that has carried another request",
        request_id: Some("q1"),
        response_id: None,
        is_first_on_connection: false,
        is_accepted: false,
    },
    Case {
        name: "no id on a new connection",
        request_id: Some("q1"),
        response_id: None,
        is_first_on_connection: true,
        is_accepted: true,
    },
    Case {
        name: "request without an id on a new connection",
        request_id: None,
        response_id: None,
        is_first_on_connection: true,
        is_accepted: true,
    },
    Case {
        name: "request without an id on a connection that has carried another one",
        request_id: None,
        response_id: None,
        is_first_on_connection: false,
        is_accepted: false,
    },
    Case {
        name: "request without an id, response to another request",
        request_id: None,
        response_id: Some("q0"),
        is_first_on_connection: false,
        is_accepted: false,
    },
];

/// Guards against a late second response that is taken as the response to the next request.
#[test]
fn response_is_accepted_only_for_its_own_request() {
    for case in CASES {
        let is_first = case.is_first_on_connection;
        let is_accepted = is_response_to(case.request_id, case.response_id, is_first);
        assert_eq!(is_accepted, case.is_accepted, "{}", case.name);
    }
}
