//! Hosts of a simulation, and the lists and the host list that describe them.

use std::fmt::Write;

use cuminlead_lists::{HostEntry, HostState, Part, PartKey, ProcessKind, Snapshot};
use cuminlead_protocol::EngineRole;
use cuminlead_types::{AvailabilityZoneName, BackendServerId, HostId, RegionName, Revision};

use super::assignment::DesiredAssignment;
use super::config::SimulationConfig;
use super::event::NodeId;

/// Customer that all requests belong to.
pub const CUSTOMER: &str = "kiosks";
/// Model that all model calls ask for.
pub const MODEL: &str = "notes";
/// Version of [`MODEL`] that all engines serve at the start.
pub const VERSION: &str = "v1";
/// Plain service that all application calls go to.
pub const SERVICE: &str = "counter";

/// Location of a host and what runs on it.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Name of the host, which is also the id of its entry or backend server.
    pub host: HostId,
    /// Region that the host is in.
    pub region: RegionName,
    /// Availability zone that the host is in.
    pub zone: AvailabilityZoneName,
    /// Process on the host, and the backend server beside it.
    pub kind: NodeKind,
}

/// What runs on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// Entry process without a backend server.
    Entry,
    /// Agent beside an engine that starts with this role.
    Engine(EngineRole),
    /// Agent beside a server of the plain service.
    Service,
}

impl NodeSpec {
    /// Id of the backend server beside the agent; none for an entry.
    pub fn server(&self) -> Option<BackendServerId> {
        match self.kind {
            NodeKind::Entry => None,
            _ => Some(id(self.host.as_str())),
        }
    }

    /// Entry of the host list that describes this host.
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

/// Parses an identifier that the layout itself generates.
///
/// # Panics
///
/// When the text is not a valid identifier.
pub fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names of the layout are valid")
}

/// All hosts: those of the settings, or those that follow from their counts.
pub fn node_specs(config: &SimulationConfig) -> Vec<NodeSpec> {
    if !config.places.is_empty() {
        return config.places.clone();
    }
    let mut node_specs = Vec::new();
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
            add(&mut node_specs, config, region, name, &kind, count);
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
            node_specs.push(node_spec(&host, region, zone, kind.clone()));
        }
    }
    node_specs
}

fn add(
    node_specs: &mut Vec<NodeSpec>,
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
        node_specs.push(node_spec(&host, region, number % 2, kind.clone()));
    }
}

fn node_spec(host: &str, region: usize, zone: usize, kind: NodeKind) -> NodeSpec {
    NodeSpec {
        host: id(host),
        region: id(&format!("region-{region}")),
        zone: id(&format!("zone-{region}-{zone}")),
        kind,
    }
}

/// Snapshot of the lists at a revision. The burst size of the plan contains the revision, so that
/// no two revisions have equal lists.
pub fn snapshot(
    config: &SimulationConfig,
    node_specs: &[NodeSpec],
    assignment_of: impl Fn(NodeId) -> Option<DesiredAssignment>,
    revision: Revision,
) -> Snapshot {
    let assignments: Vec<Option<DesiredAssignment>> = (0..node_specs.len())
        .map(NodeId)
        .map(assignment_of)
        .collect();
    let parts = [
        part("plans/base", revision, plans(config, revision)),
        part(
            "allowances/base",
            revision,
            allowances(config, node_specs, &assignments),
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

fn allowances(
    config: &SimulationConfig,
    node_specs: &[NodeSpec],
    assignments: &[Option<DesiredAssignment>],
) -> String {
    let mut text = "schema = 1\n".to_string();
    for (node_spec, assignment) in node_specs.iter().zip(assignments) {
        text += &server(config, node_spec, assignment.as_ref());
    }
    let mut allowed = node_specs.to_vec();
    let mut assignments = assignments.iter();
    allowed.retain(|_| {
        assignments
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
        services = quoted(node_specs, |kind| *kind == NodeKind::Service),
    );
    text
}

fn server(
    config: &SimulationConfig,
    node_spec: &NodeSpec,
    assignment: Option<&DesiredAssignment>,
) -> String {
    let mut text = String::new();
    let written = match &node_spec.kind {
        NodeKind::Entry => Ok(()),
        NodeKind::Engine(_) => {
            let assignment = assignment.expect("every engine of the layout has an assignment");
            write!(
                text,
                "[[server]]\nid = \"{}\"\nkind = \"engine\"\nrole = \"{}\"\n\
                 models = [{}]\nadapters = [{}]\nfenced = {}\n",
                node_spec.host,
                assignment.role,
                assignment.models_toml(),
                assignment.adapters_toml(),
                config.is_fenced,
            )
        }
        NodeKind::Service => write!(
            text,
            "[[server]]\nid = \"{}\"\nkind = \"service\"\nservice = \"{SERVICE}\"\n",
            node_spec.host,
        ),
    };
    written.expect("writing to a String does not fail");
    text
}

fn quoted(node_specs: &[NodeSpec], is_selected: fn(&NodeKind) -> bool) -> String {
    let selected = node_specs
        .iter()
        .filter(|node_spec| is_selected(&node_spec.kind));
    let quoted: Vec<String> = selected
        .map(|node_spec| format!("\"{}\"", node_spec.host))
        .collect();
    format!("[{}]", quoted.join(", "))
}
