//! Addresses of a running fleet, and fleets with the engine parameters of a site.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use cuminlead_protocol::EngineRole;
use cuminlead_types::{DurationUs, KvPieces, Slots, TokensPerSecond};
use serde_json::Value;

use cuminlead_fleet::deployment::{Deployment, EntrySpec, ServerSpec};
use cuminlead_fleet::{Fleet, FleetConfig};
use cuminlead_measure::Site;
use cuminlead_stand_ins::client;
use cuminlead_stand_ins::engine::EngineConfig;
use cuminlead_stand_ins::engine::cache::BLOCK_BYTES;

const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes per token according to `Tokens::estimate`.
const BYTES_PER_TOKEN: u64 = 4;

/// Running entry process.
#[derive(Clone, Debug)]
pub struct RunningEntry {
    /// Specification in the deployment.
    pub spec: EntrySpec,
    /// Address of the caller interface, as host and port.
    pub caller_address: String,
    /// Address of the admin interface, as host and port.
    pub admin_address: String,
}

/// Running backend server.
#[derive(Clone, Debug)]
pub struct RunningServer {
    /// Specification in the deployment.
    pub spec: ServerSpec,
    /// Address of the server's own HTTP interface, as host and port.
    pub address: String,
}

/// Running fleet that is put under load.
#[derive(Clone, Debug)]
pub struct Target {
    /// Deployment that the fleet runs.
    pub deployment: Deployment,
    /// Secret API key of the customer that sends the requests.
    pub key: String,
    /// All entries, in the order of the deployment.
    pub entries: Vec<RunningEntry>,
    /// All backend servers, in the order of the deployment.
    pub servers: Vec<RunningServer>,
}

impl Target {
    /// Reads the addresses of a fleet that this process has started.
    pub fn from_fleet(fleet: &Fleet) -> io::Result<Self> {
        let deployment = fleet.config.deployment.clone();
        Self::new(deployment, &fleet.key, |name, key| fleet.address(name, key))
    }

    /// Parses the output of `./dev/demo --keep`. Fails if the key or an address is missing.
    pub fn parse(deployment: Deployment, text: &str) -> io::Result<Self> {
        let key = text.lines().find_map(|line| line.strip_prefix("key="));
        let key = key.ok_or_else(|| io::Error::other("fleet output has no line with key="))?;
        let lines = text.lines().filter(|line| line.starts_with("process="));
        let processes: Vec<BTreeMap<&str, &str>> = lines.map(parse_fields).collect();
        Self::new(deployment, key, |name, key| {
            let mut named = processes.iter().filter(|p| p.get("process") == Some(&name));
            let address = named.next().and_then(|process| process.get(key));
            let missing = || {
                io::Error::other(format!(
                    "fleet output has no {key} address of process {name}"
                ))
            };
            address.map(ToString::to_string).ok_or_else(missing)
        })
    }

    fn new(
        deployment: Deployment,
        key: &str,
        address: impl Fn(&str, &str) -> io::Result<String>,
    ) -> io::Result<Self> {
        let mut target = Self {
            key: key.to_string(),
            entries: Vec::new(),
            servers: Vec::new(),
            deployment,
        };
        for spec in target.deployment.entries.clone() {
            target.entries.push(RunningEntry {
                caller_address: address(&spec.name, "callers")?,
                admin_address: address(&spec.name, "admin")?,
                spec,
            });
        }
        for spec in target.deployment.servers.clone() {
            let address = address(&spec.id, "address")?;
            target.servers.push(RunningServer { spec, address });
        }
        Ok(target)
    }

    /// Servers with a role; `None` selects the plain services.
    pub fn with_role(&self, role: Option<EngineRole>) -> impl Iterator<Item = &RunningServer> {
        let name = role.map(|role| match role {
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        });
        let servers = self.servers.iter();
        servers.filter(move |server| server.spec.role() == name)
    }

    /// Specification of a server in the deployment, by its id.
    pub fn server_spec(&self, id: &str) -> Option<&ServerSpec> {
        let specs = self.deployment.servers.iter();
        specs.into_iter().find(|spec| spec.id == id)
    }

    /// Reads a counter of each engine and returns the sum.
    pub fn sum_engine_count(&self, count: &str) -> io::Result<u64> {
        let mut sum = 0;
        for server in self.servers.iter().filter(|s| s.spec.role().is_some()) {
            let counts = get_json(&server.address, "/control/counts")?;
            let value = counts[count].as_u64();
            sum +=
                value.ok_or_else(|| io::Error::other(format!("engine counters lack {count}")))?;
        }
        Ok(sum)
    }

    /// KV pieces that are allocated on all engines.
    pub fn held_pieces(&self) -> io::Result<u64> {
        let mut held = 0;
        for server in self.servers.iter().filter(|s| s.spec.role().is_some()) {
            let inventory = get_json(&server.address, "/v1/inventory")?;
            let pieces = |name: &str| {
                let count = inventory[name].as_u64();
                count.ok_or_else(|| io::Error::other(format!("engine inventory lacks {name}")))
            };
            held += pieces("total_pieces")?.saturating_sub(pieces("free_pieces")?);
        }
        Ok(held)
    }

    /// Number of times that each reference took effect, summed over the services.
    pub fn effects(&self) -> io::Result<BTreeMap<String, u64>> {
        let mut effects = BTreeMap::new();
        for server in self.with_role(None) {
            let answer = get_json(&server.address, "/effects")?;
            let counts = answer["effects"].as_object();
            let counts = counts
                .ok_or_else(|| io::Error::other("service response lacks the field effects"))?;
            for (reference, count) in counts {
                let sum: &mut u64 = effects.entry(reference.clone()).or_default();
                *sum += count.as_u64().unwrap_or_default();
            }
        }
        Ok(effects)
    }

    /// Reads a metric of each entry and returns the sum of its integer samples. All metrics whose
    /// names start with `metric` are included.
    pub fn sum_entry_metric(&self, metric: &str) -> io::Result<u64> {
        let mut sum = 0;
        for entry in &self.entries {
            let url = format!("http://{}/metrics", entry.admin_address);
            let answer = client::agent(QUERY_TIMEOUT).get(&url).call();
            let text = answer
                .map_err(io::Error::other)?
                .body_mut()
                .read_to_string();
            let text = text.map_err(io::Error::other)?;
            let samples = text.lines().filter(|line| line.starts_with(metric));
            let values = samples.filter_map(|line| line.rsplit(' ').next());
            sum += values
                .filter_map(|value| value.parse::<u64>().ok())
                .sum::<u64>();
        }
        Ok(sum)
    }
}

fn parse_fields(line: &str) -> BTreeMap<&str, &str> {
    let words = line.split_whitespace();
    words.filter_map(|word| word.split_once('=')).collect()
}

fn get_json(address: &str, path: &str) -> io::Result<Value> {
    let url = format!("http://{address}{path}");
    let answer = client::get(&client::agent(QUERY_TIMEOUT), &url).map_err(io::Error::other)?;
    Ok(answer.body)
}

/// Configuration of a fleet whose stand-in engines have the parameters of a site.
pub fn fleet_config(site: &Site, policy: &str) -> FleetConfig {
    let config = &site.config;
    let mut fleet = FleetConfig::new(site.deployment.clone());
    fleet.first_token_ms = config.first_token_us.as_ms();
    fleet.between_tokens_ms = config.between_tokens_us.as_ms();
    let policy = ("routing_policy".to_string(), format!("\"{policy}\""));
    fleet.entry_settings.extend([policy]);
    // `decode_step_us` of the site is the time of a step with one sequence.
    let step_us = config.decode_step_us.saturating_sub(config.decode_slot_us);
    let cache_bytes = config.cache.get() * BYTES_PER_TOKEN;
    let values = [
        ("--prefill-rate", config.prefill_rate.get()),
        ("--step-us", step_us.get()),
        ("--step-per-sequence-us", config.decode_slot_us.get()),
        ("--batch-max", config.slots.get().into()),
        ("--total-pieces", config.pieces.get().into()),
        ("--cache-blocks", cache_bytes / BLOCK_BYTES as u64),
    ];
    for (name, value) in values {
        let pair = [name.to_string(), value.to_string()];
        fleet.engine_arguments.extend(pair);
    }
    let answers_to_limit = "--answers-to-limit".to_string();
    fleet.engine_arguments.push(answers_to_limit);
    fleet
}

/// Site with the engine parameters of `./dev/demo`.
pub fn demo_site(deployment: Deployment) -> Site {
    let engine = EngineConfig::default();
    let mut site = Site::new(deployment);
    let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let slots = u32::try_from(engine.batch_max).unwrap_or(u32::MAX);
    let step = engine.step + engine.step_per_sequence;
    site.config.prefill_rate = TokensPerSecond(engine.prefill_tokens_per_second);
    site.config.decode_step_us = DurationUs(us(step));
    site.config.decode_slot_us = DurationUs(us(engine.step_per_sequence));
    site.config.slots = Slots(slots);
    site.config.pieces = KvPieces(engine.total_pieces);
    site
}
