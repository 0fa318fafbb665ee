//! Properties of every policy, and cases of the router.

use std::sync::Arc;

use cuminlead_kernel::{PluginPoint, plugins_at};
use cuminlead_lists::{HostList, HostState};
use cuminlead_protocol::{AgentState, LoadReport};
use cuminlead_routing::{NoRoute, Route, RouteKind, RouteRequest, Router, RoutingConfig};
use cuminlead_types::{
    BackendServerId, Bytes, DurationUs, Incarnation, KvPieces, RegionName, Slots, TimeUs, Tokens,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yare::parameterized;

mod fleet;
use fleet::{Health, counter, engine, hosts, lists, pair_need, parse, region, router};

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

fn set(numbers: &[usize], name: fn(usize) -> BackendServerId) -> Health {
    Health {
        unusable: numbers.iter().map(|number| name(*number)).collect(),
        last_choice: numbers.iter().map(|number| name(number + 1)).collect(),
    }
}

fn numbers(limit: usize) -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(0..limit, 0..limit)
}

fn number(server: &BackendServerId) -> usize {
    let text = server.as_str().rsplit('-').next().unwrap_or_default();
    parse(text)
}

fn key_need(key: &str) -> RouteRequest {
    fleet::need(RouteKind::Service {
        service: parse("counter"),
        key: Some(parse(key)),
    })
}

/// Need of another prefill server after one has failed.
fn prefill_need(
    need: &RouteRequest,
    region: &RegionName,
    failed: &BackendServerId,
) -> RouteRequest {
    let mut again = need.clone();
    again.excluded.push(failed.clone());
    if let RouteKind::Pair(need) = again.kind {
        let region = region.clone();
        again.kind = RouteKind::Prefill { region, need };
    }
    again
}

fn leaving(mut hosts: HostList, server: &BackendServerId) -> HostList {
    let is_its = |host: &&mut cuminlead_lists::HostEntry| host.server.as_ref() == Some(server);
    hosts.hosts.iter_mut().find(is_its).expect("its host").state = HostState::Leaving;
    hosts
}

/// Guards against KV cache that crosses regions, against servers that may not be used, and against
/// a refusal or a stalled server while a better pair exists in some region.
#[test]
fn pairs_of_every_policy() {
    for policy in POLICIES {
        let input = (
            numbers(ENGINES),
            numbers(ENGINES),
            numbers(ENGINES),
            0..9_u64,
        );
        run(1, input, |(unusable, allowed, excluded, conversation)| {
            let mut router = router(policy, lists(ENGINES, 1), hosts(ENGINES, 1));
            let health = set(&unusable, engine);
            let mut need = pair_need(conversation);
            need.allowed = allowed.iter().map(|n| engine(*n)).collect();
            need.excluded = excluded.iter().take(5).map(|n| engine(*n)).collect();
            let may_be = |server: &BackendServerId| {
                let is_allowed = need.allowed.is_empty() || need.allowed.contains(server);
                is_allowed && !need.excluded.contains(server) && !health.unusable.contains(server)
            };
            let has = |place: &str, role: usize, is_good: &dyn Fn(&BackendServerId) -> bool| {
                let engines = (0..ENGINES).filter(|n| region(*n) == place && n % 2 == role);
                engines.map(engine).any(|id| is_good(&id))
            };
            let has_pair = |is_good: &dyn Fn(&BackendServerId) -> bool| {
                let mut places = (0..3).map(|n| region(2 * n));
                places.any(|place| has(&place, 0, is_good) && has(&place, 1, is_good))
            };
            match router.route(TimeUs(0), &health, &need) {
                Ok(Route::Pair {
                    region: place,
                    decode,
                    prefill,
                }) => {
                    prop_assert_eq!(region(number(&decode)), place.to_string());
                    prop_assert_eq!(region(number(&prefill)), place.to_string());
                    prop_assert!(may_be(&decode) && may_be(&prefill));
                    prop_assert_eq!((number(&prefill) % 2, number(&decode) % 2), (0, 1));
                    let again = prefill_need(&need, &place, &prefill);
                    let found = router.route(TimeUs(1), &health, &again);
                    let has_other = (0..ENGINES).step_by(2).map(engine).any(|id| {
                        region(number(&id)) == place.as_str() && may_be(&id) && id != prefill
                    });
                    prop_assert_eq!(found.is_ok(), has_other);
                    if let Ok(Route::Prefill(other)) = found {
                        prop_assert_eq!(region(number(&other)), place.as_str());
                        prop_assert!(may_be(&other) && other != prefill);
                    }
                    let is_good =
                        |id: &BackendServerId| may_be(id) && !health.last_choice.contains(id);
                    if policy == "prefix-cost" && has_pair(&is_good) {
                        prop_assert!(is_good(&decode) && is_good(&prefill));
                    }
                }
                other => {
                    prop_assert_eq!(other, Err(NoRoute::NoServer));
                    prop_assert!(!has_pair(&may_be));
                }
            }
            Ok(())
        });
    }
}

/// Guards against two owners of one key: neither health nor load nor policy may move a key.
#[test]
fn owners_agree() {
    let input = (numbers(COUNTERS), numbers(COUNTERS), 0..500_u32);
    run(2, input, |(one, other, key)| {
        let need = key_need(&format!("key-{key}"));
        let mut first = router("prefix-cost", lists(0, COUNTERS), hosts(0, COUNTERS));
        let mut second = router("round-robin", lists(0, COUNTERS), hosts(0, COUNTERS));
        let owner = first.route(TimeUs(0), &set(&one, counter), &need);
        prop_assert!(matches!(owner, Ok(Route::Service(_))));
        prop_assert_eq!(
            &second.route(TimeUs(5), &set(&other, counter), &need),
            &owner
        );
        Ok(())
    });
}

/// Guards against a keyed call that moves to another server while its owner leaves or is outside
/// the plan.
#[test]
fn owner_is_not_replaced() {
    let (need, health) = (key_need("k"), Health::default());
    let mut router = router("prefix-cost", lists(0, 3), hosts(0, 3));
    let Ok(Route::Service(owner)) = router.route(TimeUs(0), &health, &need) else {
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
        router.route(TimeUs(0), &health, &need),
        Err(NoRoute::NoServer)
    );
    router.apply(
        Arc::new(lists(0, 3)),
        Arc::new(leaving(hosts(0, 3), &owner)),
    );
    assert_eq!(
        router.route(TimeUs(0), &health, &need),
        Err(NoRoute::NoServer)
    );
}

/// Guards against a policy that is not listed, and against a misspelt one that is accepted.
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

/// Guards against retries that go beyond the budget, and against requests that a used-up budget
/// holds back.
#[test]
fn retries_draw_from_the_budget() {
    let mut router = router("prefix-cost", lists(2, 1), hosts(2, 1));
    let (mut need, health) = (pair_need(1), Health::default());
    need.is_retry = true;
    let mut retry = |at| router.route(TimeUs(at), &health, &need).err();
    assert_eq!(
        [0, 1, 2, 3].map(&mut retry),
        [None, None, None, Some(NoRoute::RetryBudget)]
    );
    assert_eq!(retry(11_000_000), None);
    let mut first = pair_need(1);
    first.is_retry = false;
    assert!(router.route(TimeUs(11_000_001), &health, &first).is_ok());
}

fn prefill_of(router: &mut Router, at: u64, conversation: u64) -> BackendServerId {
    match router.route(TimeUs(at), &Health::default(), &pair_need(conversation)) {
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
    router.observe(TimeUs(at), &state);
}

/// Guards against recomputed prefixes (a conversation that leaves the server of its cache without
/// need) and against a cached prefix that outweighs any queue or a restart of its engine.
#[parameterized(
    short_queue = { 1, 4_000, true },
    long_queue = { 1, 100_000, false },
    restarted = { 2, 4_000, false },
)]
fn conversation_stays(incarnation: u64, pending: u64, stays: bool) {
    let mut router = router("prefix-cost", lists(240, 1), hosts(240, 1));
    for number in 0..240 {
        report(&mut router, 0, &engine(number), 1, 0);
    }
    let first = prefill_of(&mut router, 0, 7);
    report(&mut router, 1_000_000, &first, incarnation, pending);
    let second = prefill_of(&mut router, 1_000_001, 7);
    assert_eq!(first == second, stays);
}

/// Guards against decisions between two reports that all go to the same server.
#[test]
fn own_decisions_count() {
    let mut router = router("prefix-cost", lists(240, 1), hosts(240, 1));
    let chosen: std::collections::BTreeSet<_> =
        (0..60).map(|n| prefill_of(&mut router, n, n)).collect();
    assert!(chosen.len() >= 20, "{} of 40 servers", chosen.len());
}

/// Engines that decode in the entry's region, when there are 24 engines.
const OWN_DECODES: [usize; 4] = [1, 7, 13, 19];

/// Decode server of a call.
fn decode_of(router: &mut Router, at: u64, health: &Health) -> BackendServerId {
    match router.route(TimeUs(at), health, &pair_need(at)) {
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
    router.observe(TimeUs(at), &state);
}

/// Guards against a server without a recent report that never gets work while the load is low, and
/// against one that is taken for idle while every other one is nearly full.
#[parameterized(
    low_load = { 3, 2, true },
    others_like_this_one = { 18, 17, true },
    others_busier = { 8, 18, false },
)]
fn server_without_report(running: u32, others_running: u32, gets_work: bool) {
    const LONG_AGO_US: u64 = 60_000_000;
    let mut router = router("prefix-cost", lists(24, 1), hosts_in_one_zone(24));
    let [known, silent, others @ ..] = OWN_DECODES;
    report_running(&mut router, 0, silent, 0);
    for at in (0..1_000).map(|number| LONG_AGO_US + number) {
        for other in others {
            report_running(&mut router, at, other, others_running);
        }
        report_running(&mut router, at, known, running);
    }
    let health = Health {
        unusable: others.into_iter().map(engine).collect(),
        ..Health::default()
    };
    let now = LONG_AGO_US + 1_000;
    let chosen = [now, now + 1].map(|at| decode_of(&mut router, at, &health));
    assert_eq!(chosen.contains(&engine(silent)), gets_work, "{chosen:?}");
}

/// Guards against the load of an earlier process that keeps work from its successor.
#[test]
fn replaced_server_starts_without_load() {
    let mut hosts = hosts_in_one_zone(24);
    let mut router = router("prefix-cost", lists(24, 1), hosts.clone());
    let [replaced, others @ ..] = OWN_DECODES;
    report_running(&mut router, 0, replaced, 18);
    let server = Some(engine(replaced));
    let mut its = hosts.hosts.iter_mut().filter(|host| host.server == server);
    its.next().expect("its host").host = parse("successor");
    router.apply(Arc::new(lists(24, 1)), Arc::new(hosts));
    for at in 1..1_000 {
        others
            .iter()
            .for_each(|other| report_running(&mut router, at, *other, 6));
    }
    let chosen = [1_000; 4].map(|at| decode_of(&mut router, at, &Health::default()));
    assert!(chosen.contains(&engine(replaced)), "{chosen:?}");
}

/// Guards against leaving the entry's region without need, and against paid volume that is not
/// counted.
#[parameterized(
    in_time = { 2_000, "region-0", 0 },
    late_everywhere = { 1, "region-0", 0 },
)]
fn own_region_first(due_ms: u64, expected: &str, paid: u64) {
    let mut router = router("prefix-cost", lists(24, 1), hosts(24, 1));
    let mut need = pair_need(1);
    if let RouteKind::Pair(model) = &mut need.kind {
        model.due_us = DurationUs::from_ms(due_ms);
    }
    let route = router.route(TimeUs(0), &Health::default(), &need);
    assert!(matches!(route, Ok(Route::Pair { region, .. }) if region.as_str() == expected));
    assert_eq!(router.link_use().prompt_bytes, Bytes(paid));
}

/// Guards against a busy link that keeps attracting prompts, and against uncounted volume.
#[test]
fn remote_region_pays() {
    let mut router = router("prefix-cost", lists(12, 1), hosts(12, 1));
    let own = (0..12).filter(|n| region(*n) == "region-0");
    let health = set(&own.clone().collect::<Vec<_>>(), engine);
    let health = Health {
        unusable: health.unusable,
        ..Health::default()
    };
    let mut regions = Vec::new();
    for at in 0..2 {
        match router.route(TimeUs(at), &health, &pair_need(at)) {
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
