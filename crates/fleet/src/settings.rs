//! TOML text of settings files of agents and entries.
//!
//! Listening addresses have port 0 by default, so the system chooses a free port. The launcher
//! overrides the peer address with one that it has already published.

use std::collections::BTreeMap;

use super::deployment::{EntrySpec, HOST_PREFIX, ServerSpec};

const ANY_PORT: &str = "\"127.0.0.1:0\"";

/// Text of the settings file of a server's agent; `extra_settings` (key and TOML value) override
/// the generated settings.
pub fn agent(
    spec: &ServerSpec,
    backend_address: &str,
    platform_address: &str,
    extra_settings: &BTreeMap<String, String>,
) -> String {
    let name = spec.agent_name();
    let backend = spec.role().map_or("service", |_| "engine");
    let mut keys = common(&name, &spec.region, &spec.zone, platform_address);
    keys.set("server", &spec.id);
    keys.set("backend", backend);
    keys.set("backend_address", backend_address);
    keys.text(extra_settings)
}

/// Text of the settings file of an entry; `extra_settings` (key and TOML value) override the
/// generated settings.
pub fn entry(
    spec: &EntrySpec,
    platform_address: &str,
    wasted_prefill_weight: f64,
    extra_settings: &BTreeMap<String, String>,
) -> String {
    let mut keys = common(&spec.name, &spec.region, &spec.zone, platform_address);
    keys.set_raw("listen_address", ANY_PORT);
    keys.set_raw(
        "wasted_prefill_weight",
        &format!("{wasted_prefill_weight:?}"),
    );
    keys.text(extra_settings)
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

/// Settings: key and TOML value.
#[derive(Default)]
struct Keys(BTreeMap<String, String>);

impl Keys {
    fn set(&mut self, key: &str, value: &str) {
        self.set_raw(key, &format!("\"{value}\""));
    }

    fn set_raw(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_string(), value.to_string());
    }

    fn text(mut self, extra_settings: &BTreeMap<String, String>) -> String {
        self.0.extend(extra_settings.clone());
        let lines = self
            .0
            .iter()
            .map(|(key, value)| format!("{key} = {value}\n"));
        lines.collect()
    }
}
