//! Hosts of a run, and the lists and the host list that describe them.

use std::fmt::Write;

use cuminlead_lists::{HostEntry, HostState, Part, PartKey, ProcessKind, Snapshot};
use cuminlead_protocol::EngineRole;
use cuminlead_types::{AvailabilityZoneName, BackendServerId, HostId, RegionName, Revision};

use super::config::SimulationConfig;
use super::duty::Duties;
use super::event::NodeId;

/// Customer of all requests.
pub const CUSTOMER: &str = "kiosks";
/// Model of all model calls.
pub const MODEL: &str = "notes";
/// Version of the model.
pub const VERSION: &str = "v1";
/// Plain service.
pub const SERVICE: &str = "counter";

/// Place of a host and what runs on it.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Host.
    pub host: HostId,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: AvailabilityZoneName,
    /// Process and back end.
    pub kind: NodeKind,
}

/// What runs on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// Entry.
    Entry,
    /// Agent beside an engine.
    Engine(EngineRole),
    /// Agent beside a server of the plain service.
    Service,
}

impl NodeSpec {
    /// Backend server beside the agent.
    pub fn server(&self) -> Option<BackendServerId> {
        match self.kind {
            NodeKind::Entry => None,
            _ => Some(id(self.host.as_str())),
        }
    }

    /// Line of the host list.
    pub fn entry(&self, state: HostState) -> HostEntry {
        let process = match self.kind {
            NodeKind::Entry => ProcessKind::Entry,
            _ => ProcessKind::Agent,
        };
        HostEntry {
            host: self.host.clone(),
            region: self.region.clone(),
            zone: self.zone.clone(),
            state,
            process,
            address: format!("{}:1", self.host),
            server: self.server(),
        }
    }
}

/// Value of a name that the layout makes itself.
pub fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names of the layout are valid")
}

/// Places of all hosts.
pub fn places(config: &SimulationConfig) -> Vec<NodeSpec> {
    if !config.places.is_empty() {
        return config.places.clone();
    }
    let mut places = Vec::new();
    for region in 0..config.regions_count {
        let counts = [
            (
                "prefill",
                NodeKind::Engine(EngineRole::Prefill),
                config.prefills_count,
            ),
            (
                "decode",
                NodeKind::Engine(EngineRole::Decode),
                config.decodes_count,
            ),
        ];
        for (name, kind, count) in counts {
            add(&mut places, config, region, name, &kind, count);
        }
    }
    let spread = [
        ("counter", NodeKind::Service, config.services_count),
        ("entry", NodeKind::Entry, config.entries_count),
    ];
    for (name, kind, count) in spread {
        for number in 0..count {
            let region = number % config.regions_count;
            let zone = number / config.regions_count % 2;
            let host = format!("{name}-{number}");
            places.push(place(&host, region, zone, kind.clone()));
        }
    }
    places
}

fn add(
    places: &mut Vec<NodeSpec>,
    config: &SimulationConfig,
    region: usize,
    name: &str,
    kind: &NodeKind,
    count: usize,
) {
    for number in 0..count {
        let host = match config.regions_count {
            1 => format!("{name}-{number}"),
            _ => format!("{name}-r{region}-{number}"),
        };
        places.push(place(&host, region, number % 2, kind.clone()));
    }
}

fn place(host: &str, region: usize, zone: usize, kind: NodeKind) -> NodeSpec {
    NodeSpec {
        host: id(host),
        region: id(&format!("region-{region}")),
        zone: id(&format!("zone-{region}-{zone}")),
        kind,
    }
}

/// Lists at a revision; the burst of the plan tells revisions apart.
pub fn snapshot(
    config: &SimulationConfig,
    places: &[NodeSpec],
    duty_of: impl Fn(NodeId) -> Option<Duties>,
    revision: Revision,
) -> Snapshot {
    let duties: Vec<Option<Duties>> = (0..places.len()).map(NodeId).map(duty_of).collect();
    let parts = [
        part("plans/base", revision, plans(config, revision)),
        part(
            "allowances/base",
            revision,
            allowances(config, places, &duties),
        ),
    ];
    Snapshot::new(revision, parts)
}

fn part(key: &str, revision: Revision, text: String) -> Part {
    Part {
        key: PartKey::new(key),
        revision,
        text,
    }
}

fn plans(config: &SimulationConfig, revision: Revision) -> String {
    format!(
        "schema = 1\n[[plan]]\nname = \"standard\"\nrequests_per_second = 10000\n\
         burst_requests = {burst}\nfirst_token_ms = {first}\nbetween_tokens_ms = {between}\n\
         weight = 1\n[[customer]]\nid = \"{CUSTOMER}\"\nplan = \"standard\"\n\
         key_sha256 = \"{key:064x}\"\n",
        burst = 10_000 + revision.get(),
        first = config.first_token_us.as_ms(),
        between = config.between_tokens_us.as_ms(),
        key = 1,
    )
}

fn allowances(config: &SimulationConfig, places: &[NodeSpec], duties: &[Option<Duties>]) -> String {
    let mut text = "schema = 1\n".to_string();
    for (place, duties) in places.iter().zip(duties) {
        text += &server(config, place, duties.as_ref());
    }
    let mut allowed = places.to_vec();
    let mut duties = duties.iter();
    allowed.retain(|_| {
        duties
            .next()
            .is_some_and(|d| d.as_ref().is_none_or(|d| d.is_allowed))
    });
    text += &format!(
        "[[route]]\nservice = \"{SERVICE}\"\nmethod = \"GET\"\npath_prefix = \"/stock\"\n\
         idempotent = true\n[[allowance]]\nplan = \"standard\"\n\
         [[allowance.model]]\nmodel = \"{MODEL}\"\nversion = \"{VERSION}\"\npriority = 5\n\
         servers = {engines}\n[[allowance.service]]\nservice = \"{SERVICE}\"\n\
         servers = {services}\n",
        engines = quoted(&allowed, |kind| matches!(kind, NodeKind::Engine(_))),
        services = quoted(places, |kind| *kind == NodeKind::Service),
    );
    text
}

fn server(config: &SimulationConfig, place: &NodeSpec, duties: Option<&Duties>) -> String {
    let mut text = String::new();
    let written = match &place.kind {
        NodeKind::Entry => Ok(()),
        NodeKind::Engine(_) => {
            let duties = duties.expect("an engine has duties");
            write!(
                text,
                "[[server]]\nid = \"{}\"\nkind = \"engine\"\nrole = \"{}\"\n\
                 models = [{}]\nadapters = [{}]\nfenced = {}\n",
                place.host,
                duties.role,
                duties.models_toml(),
                duties.adapters_toml(),
                config.is_fenced,
            )
        }
        NodeKind::Service => write!(
            text,
            "[[server]]\nid = \"{}\"\nkind = \"service\"\nservice = \"{SERVICE}\"\n",
            place.host,
        ),
    };
    written.expect("writing to a String does not fail");
    text
}

fn quoted(places: &[NodeSpec], is_wanted: fn(&NodeKind) -> bool) -> String {
    let wanted = places.iter().filter(|place| is_wanted(&place.kind));
    let quoted: Vec<String> = wanted.map(|place| format!("\"{}\"", place.host)).collect();
    format!("[{}]", quoted.join(", "))
}
