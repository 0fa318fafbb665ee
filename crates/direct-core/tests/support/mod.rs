//! Fixtures for the tests of the direct path.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod reference;
pub(crate) mod scenario;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cuminlead_direct_core::operator_config::EngineSpec;
use cuminlead_direct_core::placement::ClientLocality;
use cuminlead_direct_core::serving::ServingConfig;
use cuminlead_direct_core::{
    CallSpec, CallerLimits, FixedCost, ModelRequirements, OperatorConfig, PlacementPolicy,
    RegistryUpdate, RequestKind, RequestPriority, Route, RouteId, ServerKey, ServerRecord,
    ServerState, ServiceSpec, ServingState, Stage, WeightedService,
};
use cuminlead_types::{DurationUs, Revision, Slots, TimeUs, Tokens, UnixMs};

pub(crate) const PLAIN: &str = "counter";
pub(crate) const ENGINES: &str = "notes";

pub(crate) fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

/// Address derived from the id, so that servers have different ones.
fn address_of(id: &str) -> SocketAddr {
    let port = id.bytes().fold(9_000_u16, |port, byte| {
        port.wrapping_mul(31).wrapping_add(u16::from(byte))
    });
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn record(id: &str, service: &str, zone: &str, stage: Option<Stage>) -> ServerRecord {
    ServerRecord {
        id: id.parse().expect("a valid fixture"),
        service: service.parse().expect("a valid fixture"),
        address: address_of(id),
        availability_zone: zone.parse().expect("a valid fixture"),
        slots: Slots(6),
        state: ServerState::Ready,
        stage,
        started_at_ms: UnixMs(1),
    }
}

/// Serving state in zone `a1` of region `a`, whose other zones are `a2` and `a3`; zone `b1` is in
/// region `b`.
pub(crate) fn serving() -> ServingState {
    let locality = ClientLocality {
        availability_zone: "a1".parse().expect("a valid fixture"),
        region: "a".parse().expect("a valid fixture"),
    };
    serving_with(locality, 7, Box::new(FixedCost))
}

/// Serving state of a process at the given locality.
pub(crate) fn serving_with(
    locality: ClientLocality,
    seed: u64,
    policy: Box<dyn PlacementPolicy>,
) -> ServingState {
    let zones = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b")];
    let regions: HashMap<_, _> = zones
        .iter()
        .map(|(zone, region)| {
            (
                zone.parse().expect("a valid fixture"),
                region.parse().expect("a valid fixture"),
            )
        })
        .collect();
    let config = ServingConfig {
        locality,
        regions,
        requests_per_retry: 6,
        retries_extra_count: 54,
        seed,
    };
    let mut serving = ServingState::with_placement(config, policy);
    serving.apply(
        ms(0),
        RegistryUpdate::OperatorConfig(Arc::new(operator_config(1, &["/x/"]))),
    );
    serving.apply(ms(0), RegistryUpdate::Synced(Revision(1)));
    serving
}

/// Publishes servers given as `id service zone stage`, with `-` as the stage of plain services.
pub(crate) fn publish(serving: &mut ServingState, servers: &[&str]) {
    for text in servers {
        let parts: Vec<_> = text.split(' ').collect();
        let stage = parts[3].parse().ok();
        let record = record(parts[0], parts[1], parts[2], stage);
        serving.apply(ms(0), RegistryUpdate::Server(record));
    }
}

pub(crate) fn key(serving: &ServingState, id: &str) -> ServerKey {
    serving
        .servers
        .key_of(&id.parse().expect("a valid fixture"))
        .expect("a valid fixture")
}

pub(crate) fn id(serving: &ServingState, key: ServerKey) -> String {
    serving
        .servers
        .get(key)
        .expect("a valid fixture")
        .record
        .id
        .to_string()
}

pub(crate) fn operator_config(version: u64, prefixes: &[&str]) -> OperatorConfig {
    let route = |prefix: &&str| Route {
        name: format!("route{prefix}"),
        host: "shop.example".to_string(),
        prefix: (*prefix).to_string(),
        kind: RequestKind::Idempotent,
        services: vec![WeightedService {
            service: PLAIN.parse().expect("a valid fixture"),
            weight: 1,
        }],
        timeout: DurationUs::from_ms(800),
        latency_target: DurationUs::from_ms(250),
        attempts_max_count: 2,
        priority: RequestPriority::default(),
        checks_keys: true,
    };
    let service = |name: &str, engine| ServiceSpec {
        name: name.parse().expect("a valid fixture"),
        engine,
    };
    OperatorConfig::new(
        Revision(version),
        prefixes.iter().map(route).collect(),
        vec![
            service(PLAIN, None),
            service(ENGINES, Some(EngineSpec::default())),
        ],
        CallerLimits::default(),
    )
}

pub(crate) fn plain_spec(kind: RequestKind, attempts_max_count: u32) -> CallSpec {
    CallSpec {
        service: PLAIN.parse().expect("a valid fixture"),
        route: RouteId::default(),
        kind,
        model: None,
        prompt_parts: Vec::new(),
        attempts_max_count,
        latency_target: DurationUs::from_ms(250),
        arrived_at: ms(0),
        deadline: ms(800),
        is_caller_retry: false,
        spreads_retries: false,
    }
}

pub(crate) fn model_spec(kind: RequestKind, attempts_max_count: u32) -> CallSpec {
    CallSpec {
        service: ENGINES.parse().expect("a valid fixture"),
        route: RouteId::default(),
        kind,
        model: Some(ModelRequirements {
            prompt_tokens: Tokens(5_000),
            answer_tokens: Some(Tokens(4_800)),
            reservation_max: Some(DurationUs::from_ms(2_000)),
            cache_ttl: Some(DurationUs::from_ms(500)),
        }),
        prompt_parts: Vec::new(),
        attempts_max_count,
        latency_target: DurationUs::from_ms(900),
        arrived_at: ms(0),
        deadline: ms(14_000),
        is_caller_retry: false,
        spreads_retries: false,
    }
}
