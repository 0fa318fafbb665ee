//! Small deployments for tests: one region, one availability zone, two entries.

use super::deployment::{Deployment, EntrySpec, ServerKind, ServerSpec};

const REGION: &str = "litoral";
const ZONE: &str = "litoral-a";
const ENTRIES_COUNT: usize = 2;

/// Number of backend servers of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Engines `prefill-1`, `prefill-2`, ...
    pub prefills: usize,
    /// Engines `decode-1`, `decode-2`, ...
    pub decodes: usize,
    /// Services `counter-1`, `counter-2`, ...
    pub services: usize,
}

/// Deployment with a few servers and the entries `entry-1` and `entry-2`.
pub fn small(sizes: Sizes) -> Deployment {
    let mut servers = places("prefill", ServerKind::Prefill, sizes.prefills);
    servers.extend(places("decode", ServerKind::Decode, sizes.decodes));
    servers.extend(places("counter", ServerKind::Service, sizes.services));
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

fn places(name: &str, kind: ServerKind, count: usize) -> Vec<ServerSpec> {
    let numbered = (1..=count).map(|number| ServerSpec {
        id: format!("{name}-{number}"),
        kind,
        region: REGION.to_string(),
        zone: ZONE.to_string(),
    });
    numbered.collect()
}

/// Entry of a small deployment.
pub fn entry(number: usize) -> EntrySpec {
    EntrySpec {
        name: format!("entry-{number}"),
        region: REGION.to_string(),
        zone: ZONE.to_string(),
    }
}
