//! Properties that hold for every policy, and single cases of the router.

use std::sync::Arc;

use cuminlead_kernel::{PluginPoint, plugins_at};
use cuminlead_lists::{HostList, HostState};
use cuminlead_protocol::{AgentState, LoadReport, SequenceCrash};
use cuminlead_routing::{NoRoute, Route, RouteKind, RouteRequest, Router, RoutingConfig};
use cuminlead_types::{
    Attempt, AttemptId, BackendServerId, Bytes, DurationUs, Incarnation, KvPieces, PromptPartId,
    RegionName, RequestId, Slots, TimeUs, Tokens,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yare::parameterized;

mod fleet;
use fleet::{Health, counter, engine, hosts, lists, pair_request, parse, region, router};

const ENGINES: usize = 26;
const COUNTERS: usize = 9;
const POLICIES: [&str; 4] = [
    "least-loaded",
    "prefill-first",
    "prefix-cost",
    "round-robin",
];

fn run<S: Strategy>(seed: u8, strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, test)
        .expect("no counterexample");
}

fn health_with_unusable(numbers: &[usize], name: fn(usize) -> BackendServerId) -> Health {
    Health {
        unusable: numbers.iter().map(|number| name(*number)).collect(),
        fallback: numbers.iter().map(|number| name(number + 1)).collect(),
    }
}

fn numbers(limit: usize) -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(0..limit, 0..limit)
}

fn number(server: &BackendServerId) -> usize {
    let text = server.as_str().rsplit('-').next().unwrap_or_default();
    parse(text)
}

fn keyed_request(key: &str) -> RouteRequest {
    fleet::route_request(RouteKind::Service {
        service: parse("counter"),
        key: Some(parse(key)),
    })
}

/// Request for a new prefill server after one has failed.
fn prefill_request(
    request: &RouteRequest,
    region: &RegionName,
    failed: &BackendServerId,
) -> RouteRequest {
    let mut second_request = request.clone();
    second_request.excluded.push(failed.clone());
    if let RouteKind::Pair(requirements) = second_request.kind {
        let region = region.clone();
        second_request.kind = RouteKind::Prefill {
            region,
            requirements,
        };
    }
    second_request
}

fn with_leaving_host(mut hosts: HostList, server: &BackendServerId) -> HostList {
    let runs_server = |host: &&mut cuminlead_lists::HostEntry| host.server.as_ref() == Some(server);
    hosts
        .hosts
        .iter_mut()
        .find(runs_server)
        .expect("host of the server")
        .state = HostState::Leaving;
    hosts
}

/// Guards against a pair in two regions, whose KV cache would cross a paid link; against servers
/// that may not be used; and against no route or a fallback server while some region has a better
/// pair.
#[test]
fn pairs_are_valid_under_every_policy() {
    for policy in POLICIES {
        let input = (
            numbers(ENGINES),
            numbers(ENGINES),
            numbers(ENGINES),
            0..9_u64,
        );
        run(1, input, |(unusable, allowed, excluded, conversation)| {
            let mut router = router(policy, lists(ENGINES, 1), hosts(ENGINES, 1));
            let health = health_with_unusable(&unusable, engine);
            let mut request = pair_request(conversation);
            request.allowed = allowed.iter().map(|n| engine(*n)).collect();
            request.excluded = excluded.iter().take(5).map(|n| engine(*n)).collect();
            let is_candidate = |server: &BackendServerId| {
                let is_allowed = request.allowed.is_empty() || request.allowed.contains(server);
                is_allowed
                    && !request.excluded.contains(server)
                    && !health.unusable.contains(server)
            };
            let has_engine =
                |region_name: &str, role: usize, is_suitable: &dyn Fn(&BackendServerId) -> bool| {
                    let engines =
                        (0..ENGINES).filter(|n| region(*n) == region_name && n % 2 == role);
                    engines.map(engine).any(|id| is_suitable(&id))
                };
            let has_pair = |is_suitable: &dyn Fn(&BackendServerId) -> bool| {
                let mut region_names = (0..3).map(|n| region(2 * n));
                region_names.any(|region_name| {
                    has_engine(&region_name, 0, is_suitable)
                        && has_engine(&region_name, 1, is_suitable)
                })
            };
            match router.route(TimeUs(0), &health, &request) {
                Ok(Route::Pair {
                    region: region_name,
                    decode,
                    prefill,
                }) => {
                    prop_assert_eq!(region(number(&decode)), region_name.to_string());
                    prop_assert_eq!(region(number(&prefill)), region_name.to_string());
                    prop_assert!(is_candidate(&decode) && is_candidate(&prefill));
                    prop_assert_eq!((number(&prefill) % 2, number(&decode) % 2), (0, 1));
                    let second_request = prefill_request(&request, &region_name, &prefill);
                    let found = router.route(TimeUs(1), &health, &second_request);
                    let has_other = (0..ENGINES).step_by(2).map(engine).any(|id| {
                        region(number(&id)) == region_name.as_str()
                            && is_candidate(&id)
                            && id != prefill
                    });
                    prop_assert_eq!(found.is_ok(), has_other);
                    if let Ok(Route::Prefill(other)) = found {
                        prop_assert_eq!(region(number(&other)), region_name.as_str());
                        prop_assert!(is_candidate(&other) && other != prefill);
                    }
                    let is_preferred =
                        |id: &BackendServerId| is_candidate(id) && !health.fallback.contains(id);
                    if policy == "prefix-cost" && has_pair(&is_preferred) {
                        prop_assert!(is_preferred(&decode) && is_preferred(&prefill));
                    }
                }
                other => {
                    prop_assert_eq!(other, Err(NoRoute::NoServer));
                    prop_assert!(!has_pair(&is_candidate));
                }
            }
            Ok(())
        });
    }
}

/// Guards against two owners of one key: entries with different health, load and policy must choose
/// the same one.
#[test]
fn entries_agree_on_the_owner_of_a_key() {
    let input = (numbers(COUNTERS), numbers(COUNTERS), 0..500_u32);
    run(2, input, |(one, other, key)| {
        let request = keyed_request(&format!("key-{key}"));
        let mut first = router("prefix-cost", lists(0, COUNTERS), hosts(0, COUNTERS));
        let mut second = router("round-robin", lists(0, COUNTERS), hosts(0, COUNTERS));
        let owner = first.route(TimeUs(0), &health_with_unusable(&one, counter), &request);
        prop_assert!(matches!(owner, Ok(Route::Service(_))));
        prop_assert_eq!(
            &second.route(TimeUs(5), &health_with_unusable(&other, counter), &request),
            &owner
        );
        Ok(())
    });
}

/// Guards against routing a keyed call to another server while the owner of its key is
/// published as leaving or is outside the plan.
#[test]
fn keyed_call_is_refused_without_its_owner() {
    let (request, health) = (keyed_request("k"), Health::default());
    let mut router = router("prefix-cost", lists(0, 3), hosts(0, 3));
    let Ok(Route::Service(owner)) = router.route(TimeUs(0), &health, &request) else {
        panic!("no owner");
    };
    let mut outside = lists(0, 3);
    let allowance = Arc::make_mut(&mut outside.allowances)
        .values_mut()
        .next()
        .unwrap();
    allowance.services[0]
        .servers
        .retain(|server| *server != owner);
    router.apply(Arc::new(outside), Arc::new(hosts(0, 3)));
    assert_eq!(
        router.route(TimeUs(0), &health, &request),
        Err(NoRoute::NoServer)
    );
    router.apply(
        Arc::new(lists(0, 3)),
        Arc::new(with_leaving_host(hosts(0, 3), &owner)),
    );
    assert_eq!(
        router.route(TimeUs(0), &health, &request),
        Err(NoRoute::NoServer)
    );
}

/// Guards against a policy that is missing from the registry, and against accepting a misspelt
/// name.
#[test]
fn policies_are_registered() {
    let listed: Vec<_> = plugins_at(PluginPoint::RoutingPolicy)
        .iter()
        .map(|info| info.name)
        .collect();
    assert_eq!(listed, POLICIES);
    let config = RoutingConfig::new(parse("region-0"), 1);
    let error = Router::new("prefix-costs", config).expect_err("unknown policy");
    assert_eq!(error.known, POLICIES);
    let reserves = POLICIES.map(|policy| router(policy, lists(2, 1), hosts(2, 1)).reserves_first());
    assert_eq!(reserves, [true, false, true, true]);
}

/// Guards against more retries than the budget allows, and against first attempts that are refused
/// because the budget is exhausted.
#[test]
fn retries_draw_from_the_budget() {
    let mut router = router("prefix-cost", lists(2, 1), hosts(2, 1));
    let (mut request, health) = (pair_request(1), Health::default());
    request.is_retry = true;
    let mut retry = |at| router.route(TimeUs(at), &health, &request).err();
    assert_eq!(
        [0, 1, 2, 3].map(&mut retry),
        [None, None, None, Some(NoRoute::RetryBudget)]
    );
    assert_eq!(retry(11_000_000), None);
    let mut first = pair_request(1);
    first.is_retry = false;
    assert!(router.route(TimeUs(11_000_001), &health, &first).is_ok());
}

fn prefill_of(router: &mut Router, at: u64, conversation: u64) -> BackendServerId {
    match router.route(TimeUs(at), &Health::default(), &pair_request(conversation)) {
        Ok(Route::Pair { prefill, .. }) => prefill,
        other => panic!("no pair: {other:?}"),
    }
}

fn report(router: &mut Router, at: u64, server: &BackendServerId, incarnation: u64, pending: u64) {
    let load = LoadReport {
        pending_prompt_tokens: Tokens(pending),
        ..LoadReport::default()
    };
    let state = AgentState {
        server: server.clone(),
        incarnation: Incarnation(incarnation),
        load,
        ..AgentState::default()
    };
    router.record_report(TimeUs(at), &state);
}

/// Guards against recomputed prefixes (a conversation that leaves the server with its prefix cache
/// without need), and against a cached prefix that outweighs a long queue or a restart of the
/// engine.
#[parameterized(
    short_queue = { 1, 4_000, true },
    long_queue = { 1, 100_000, false },
    restarted = { 2, 4_000, false },
)]
fn conversation_stays_at_its_prefix_cache(incarnation: u64, pending: u64, stays: bool) {
    let mut router = router("prefix-cost", lists(240, 1), hosts(240, 1));
    for number in 0..240 {
        report(&mut router, 0, &engine(number), 1, 0);
    }
    let first = prefill_of(&mut router, 0, 7);
    report(&mut router, 1_000_000, &first, incarnation, pending);
    let second = prefill_of(&mut router, 1_000_001, 7);
    assert_eq!(first == second, stays);
}

/// Guards against sending all requests between two load reports to the same server.
#[test]
fn decisions_between_reports_use_many_servers() {
    let mut router = router("prefix-cost", lists(240, 1), hosts(240, 1));
    let chosen: std::collections::BTreeSet<_> =
        (0..60).map(|n| prefill_of(&mut router, n, n)).collect();
    assert!(chosen.len() >= 20, "{} of 40 servers", chosen.len());
}

/// Numbers of the decode engines in the entry's region, in a fleet of 24 engines.
const OWN_DECODES: [usize; 4] = [1, 7, 13, 19];

/// Decode server that the router chooses for a call.
fn decode_of(router: &mut Router, at: u64, health: &Health) -> BackendServerId {
    match router.route(TimeUs(at), health, &pair_request(at)) {
        Ok(Route::Pair { decode, .. }) => decode,
        other => panic!("no pair: {other:?}"),
    }
}

fn hosts_in_one_zone(engines: usize) -> HostList {
    let mut hosts = hosts(engines, 1);
    for host in &mut hosts.hosts {
        host.zone = parse("zone-0");
    }
    hosts
}

fn report_running(router: &mut Router, at: u64, number: usize, running: u32) {
    let load = LoadReport {
        free_slots: Slots(20_u32.saturating_sub(running)),
        free_pieces: KvPieces(80),
        running_count: running,
        ..LoadReport::default()
    };
    let state = AgentState {
        server: engine(number),
        incarnation: Incarnation(1),
        load,
        ..AgentState::default()
    };
    router.record_report(TimeUs(at), &state);
}

/// Guards against never choosing a server with a stale load report while the load is low, and
/// against estimating such a server as idle while all others are nearly full.
#[parameterized(
    low_load = { 3, 2, true },
    others_like_this_one = { 18, 17, true },
    others_busier = { 8, 18, false },
)]
fn server_without_report(running: u32, others_running: u32, is_chosen: bool) {
    const REPORTS_START_US: u64 = 60_000_000;
    let mut router = router("prefix-cost", lists(24, 1), hosts_in_one_zone(24));
    let [reported, unreported, others @ ..] = OWN_DECODES;
    report_running(&mut router, 0, unreported, 0);
    for at in (0..1_000).map(|number| REPORTS_START_US + number) {
        for other in others {
            report_running(&mut router, at, other, others_running);
        }
        report_running(&mut router, at, reported, running);
    }
    let health = Health {
        unusable: others.into_iter().map(engine).collect(),
        ..Health::default()
    };
    let now = REPORTS_START_US + 1_000;
    let chosen = [now, now + 1].map(|at| decode_of(&mut router, at, &health));
    assert_eq!(
        chosen.contains(&engine(unreported)),
        is_chosen,
        "{chosen:?}"
    );
}

/// Guards against estimating a replaced server by the load that its predecessor on another host
/// reported, which would keep requests away from it.
#[test]
fn replaced_server_starts_without_load() {
    let mut hosts = hosts_in_one_zone(24);
    let mut router = router("prefix-cost", lists(24, 1), hosts.clone());
    let [replaced, others @ ..] = OWN_DECODES;
    report_running(&mut router, 0, replaced, 18);
    let server = Some(engine(replaced));
    let mut server_hosts = hosts.hosts.iter_mut().filter(|host| host.server == server);
    server_hosts.next().expect("host of the server").host = parse("successor");
    router.apply(Arc::new(lists(24, 1)), Arc::new(hosts));
    for at in 1..1_000 {
        others
            .iter()
            .for_each(|other| report_running(&mut router, at, *other, 6));
    }
    let chosen = [1_000; 4].map(|at| decode_of(&mut router, at, &Health::default()));
    assert!(chosen.contains(&engine(replaced)), "{chosen:?}");
}

/// Guards against leaving the entry's region without need, and against wrong counts of the bytes on
/// paid links.
#[parameterized(
    in_time = { 2_000, "region-0", 0 },
    late_everywhere = { 1, "region-0", 0 },
)]
fn own_region_is_preferred(due_ms: u64, expected: &str, paid_bytes: u64) {
    let mut router = router("prefix-cost", lists(24, 1), hosts(24, 1));
    let mut request = pair_request(1);
    if let RouteKind::Pair(requirements) = &mut request.kind {
        requirements.due_us = DurationUs::from_ms(due_ms);
    }
    let route = router.route(TimeUs(0), &Health::default(), &request);
    assert!(matches!(route, Ok(Route::Pair { region, .. }) if region.as_str() == expected));
    assert_eq!(router.link_use().prompt_bytes, Bytes(paid_bytes));
}

/// Guards against choosing a region whose link still has a backlog, and against bytes on paid links
/// that are not counted.
#[test]
fn prompts_avoid_a_busy_link() {
    let mut router = router("prefix-cost", lists(12, 1), hosts(12, 1));
    let own = (0..12).filter(|n| region(*n) == "region-0");
    let health = health_with_unusable(&own.clone().collect::<Vec<_>>(), engine);
    let health = Health {
        unusable: health.unusable,
        ..Health::default()
    };
    let mut regions = Vec::new();
    for at in 0..2 {
        match router.route(TimeUs(at), &health, &pair_request(at)) {
            Ok(Route::Pair { region, decode, .. }) => {
                regions.push(region);
                router.count_answer(TimeUs(at), &decode, Bytes(100));
            }
            other => panic!("no pair: {other:?}"),
        }
    }
    assert_ne!(
        regions[0], regions[1],
        "the second prompt avoids the busy link"
    );
    let used = router.link_use();
    assert_eq!(
        (used.prompt_bytes, used.answer_bytes),
        (Bytes(81_920), Bytes(200))
    );
}

/// Prompt parts of a call with this conversation, shortest first.
fn parts_of(conversation: u64) -> Vec<PromptPartId> {
    match pair_request(conversation).kind {
        RouteKind::Pair(requirements) => requirements.prompt_parts,
        kind => panic!("no model call: {kind:?}"),
    }
}

/// State of an agent whose engine crashed on a sequence of this conversation.
fn crashed_state(number: usize, conversation: u64, age_ms: u64) -> AgentState {
    let crash = SequenceCrash {
        id: AttemptId {
            request: RequestId(number as u128),
            attempt: Attempt::FIRST,
        },
        age_us: DurationUs::from_ms(age_ms),
        prompt_parts: parts_of(conversation),
    };
    AgentState {
        server: engine(number),
        incarnation: Incarnation(1),
        crashes: vec![crash],
        ..AgentState::default()
    }
}

struct CrashCase {
    name: &'static str,
    /// Engines whose agents state a crash, and the time since it in ms.
    crashes: &'static [(usize, u64)],
    /// Whether output was generated for the prompt in the end.
    is_sound: bool,
    is_quarantined: bool,
}

const CRASH_CASES: &[CrashCase] = &[
    CrashCase {
        name: "one crash, stated in each reply",
        crashes: &[(1, 0), (1, 0), (1, 0), (1, 0)],
        is_sound: false,
        is_quarantined: false,
    },
    CrashCase {
        name: "crashes of three engines that are learned at once",
        crashes: &[(1, 5_000), (7, 3_000), (13, 1_000)],
        is_sound: false,
        is_quarantined: true,
    },
    CrashCase {
        name: "three engines that crashed together",
        crashes: &[(1, 1_000), (7, 950), (13, 900)],
        is_sound: false,
        is_quarantined: false,
    },
    CrashCase {
        name: "output after the crashes",
        crashes: &[(1, 5_000), (7, 3_000), (13, 1_000)],
        is_sound: true,
        is_quarantined: false,
    },
];

/// Guards against an entry that learns of crashes from several agents and still sends the prompt to
/// further engines, and against refusing prompts that are not to blame.
#[test]
fn prompt_that_crashed_several_engines_is_not_routed() {
    const NOW: TimeUs = TimeUs(60_000_000);
    for case in CRASH_CASES {
        let mut router = router("prefix-cost", lists(24, 1), hosts(24, 1));
        for (number, age_ms) in case.crashes {
            router.record_report(NOW, &crashed_state(*number, 5, *age_ms));
        }
        if case.is_sound {
            router.record_sound(NOW, &parts_of(5));
        }
        let health = Health::default();
        let result = router.route(NOW, &health, &pair_request(5));
        let is_quarantined = result == Err(NoRoute::Quarantined);
        assert_eq!(is_quarantined, case.is_quarantined, "{}", case.name);
        let other = router.route(NOW, &health, &pair_request(6));
        assert!(other.is_ok(), "{}: another prompt", case.name);
    }
}
