//! Small deployments for tests: two entries and a few servers in one availability zone.

use super::deployment::{Deployment, EntrySpec, ServerKind, ServerSpec};

const REGION: &str = "litoral";
const ZONE: &str = "litoral-a";
const ENTRIES_COUNT: usize = 2;

/// Number of backend servers of each kind; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Number of prefill engines; their ids are `prefill-1`, `prefill-2` and so on.
    pub prefills: usize,
    /// Number of decode engines; their ids are `decode-1`, `decode-2` and so on.
    pub decodes: usize,
    /// Number of services; their ids are `counter-1`, `counter-2` and so on.
    pub services: usize,
}

/// Deployment with the given servers and the entries `entry-1` and `entry-2`.
pub fn small_deployment(counts: ServerCounts) -> Deployment {
    let mut servers = server_specs("prefill", ServerKind::Prefill, counts.prefills);
    servers.extend(server_specs("decode", ServerKind::Decode, counts.decodes));
    servers.extend(server_specs(
        "counter",
        ServerKind::Service,
        counts.services,
    ));
    Deployment {
        name: "small",
        model: "repair-notes",
        version: "v1",
        adapter: "kiosk".to_string(),
        service: "counter",
        effect_path: "/charges",
        wasted_prefill_weight: 0.5,
        servers,
        entries: (1..=ENTRIES_COUNT).map(entry).collect(),
    }
}

fn server_specs(name: &str, kind: ServerKind, count: usize) -> Vec<ServerSpec> {
    let numbered = (1..=count).map(|number| ServerSpec {
        id: format!("{name}-{number}"),
        kind,
        region: REGION.to_string(),
        zone: ZONE.to_string(),
    });
    numbered.collect()
}

/// Specification of the entry `entry-{number}` of a small deployment.
pub fn entry(number: usize) -> EntrySpec {
    EntrySpec {
        name: format!("entry-{number}"),
        region: REGION.to_string(),
        zone: ZONE.to_string(),
    }
}
