//! Routes by host and longest prefix.

mod support;

use cuminlead_direct_core::RouteMatch;
use support::operator_config;
use yare::parameterized;

/// Guards against a request that goes to the service of another route.
#[parameterized(
    longest = { "shop.example", "/a/b/c", "/a/b/" },
    shorter = { "shop.example", "/a/c", "/a/" },
    whole_prefix = { "shop.example", "/a/b/", "/a/b/" },
    part_of_a_segment = { "shop.example", "/a/bb", "/a/" },
    port = { "shop.example:8080", "/a/x", "/a/" },
    case_of_host = { "SHOP.example", "/a/x", "/a/" },
    case_of_path = { "shop.example", "/A/x", "none" },
    other_host = { "other.example", "/a/x", "none" },
    no_slash = { "shop.example", "/a", "none" },
    empty_host = { "", "/a/x", "none" },
)]
fn route_of(authority: &str, path: &str, expected: &str) {
    let operator_config = operator_config(1, &["/a/", "/a/b/", "/z/"]);
    let found = match operator_config.route(authority, path) {
        RouteMatch::Found(route) => route.prefix.clone(),
        RouteMatch::NoRoute => "none".to_string(),
    };
    assert_eq!(found, expected);
}
