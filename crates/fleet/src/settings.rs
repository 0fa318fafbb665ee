//! Text of settings files. All listening addresses have port 0: the system chooses.

use std::collections::BTreeMap;

use super::deployment::{EntrySpec, HOST_PREFIX, ServerSpec};

const ANY_PORT: &str = "\"127.0.0.1:0\"";

/// Settings of the agent beside a server.
pub fn agent(
    place: &ServerSpec,
    backend_address: &str,
    platform_address: &str,
    further: &BTreeMap<String, String>,
) -> String {
    let name = place.agent_name();
    let backend = place.role().map_or("service", |_| "engine");
    let mut keys = common(&name, &place.region, &place.zone, platform_address);
    keys.set("server", &place.id);
    keys.set("backend", backend);
    keys.set("backend_address", backend_address);
    keys.text(further)
}

/// Settings of an entry.
pub fn entry(
    place: &EntrySpec,
    platform_address: &str,
    wasted_prefill_weight: f64,
    further: &BTreeMap<String, String>,
) -> String {
    let mut keys = common(&place.name, &place.region, &place.zone, platform_address);
    keys.set_raw("listen_address", ANY_PORT);
    keys.set_raw(
        "wasted_prefill_weight",
        &format!("{wasted_prefill_weight:?}"),
    );
    keys.text(further)
}

fn common(name: &str, region: &str, zone: &str, platform_address: &str) -> Keys {
    let mut keys = Keys::default();
    keys.set("name", name);
    keys.set("host", &format!("{HOST_PREFIX}{name}"));
    keys.set("region", region);
    keys.set("availability_zone", zone);
    keys.set("platform_address", platform_address);
    keys.set_raw("peer_address", ANY_PORT);
    keys.set_raw("admin_address", ANY_PORT);
    keys
}

/// Keys and their TOML values.
#[derive(Default)]
struct Keys(BTreeMap<String, String>);

impl Keys {
    fn set(&mut self, key: &str, value: &str) {
        self.set_raw(key, &format!("\"{value}\""));
    }

    fn set_raw(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_string(), value.to_string());
    }

    fn text(mut self, further: &BTreeMap<String, String>) -> String {
        self.0.extend(further.clone());
        let lines = self
            .0
            .iter()
            .map(|(key, value)| format!("{key} = {value}\n"));
        lines.collect()
    }
}
