//! Servers and entries of the two deployments in design 1.4, with their regions and availability
//! zones.

use std::str::FromStr;

use cuminlead_stand_ins::platform::HostRecord;

/// Prefix of every host name; the name of the process follows it.
pub const HOST_PREFIX: &str = "host-";

/// Backend server with its region and availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Id in the allowances, unique in the deployment.
    pub id: String,
    /// Role of an engine, or service.
    pub kind: ServerKind,
    /// Region that its availability zone belongs to.
    pub region: String,
    /// Availability zone of its host.
    pub zone: String,
}

/// Kind of a backend server: engine of one role, or service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Engine that runs prefill.
    Prefill,
    /// Engine that runs decode.
    Decode,
    /// Server of a plain service, which runs no model.
    Service,
}

/// Entry with its region and availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySpec {
    /// Process name; the host name adds a prefix to it.
    pub name: String,
    /// Region that its availability zone belongs to.
    pub region: String,
    /// Availability zone of its host.
    pub zone: String,
}

/// Servers, entries, models and services of a fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name under which the command line selects it.
    pub name: &'static str,
    /// Model that all engines run.
    pub model: &'static str,
    /// Version of the model.
    pub version: &'static str,
    /// Adapter that all engines load.
    pub adapter: String,
    /// Name of the service that all service servers run.
    pub service: &'static str,
    /// Path of a non-idempotent call below the service's path.
    pub effect_path: &'static str,
    /// Weight of discarded prefill work and of traffic on paid links against goodput, from 0 to 1;
    /// the entries' setting of the same name.
    pub wasted_prefill_weight: f64,
    /// Backend servers, each with an agent.
    pub servers: Vec<ServerSpec>,
    /// Entries, each on a host of its own.
    pub entries: Vec<EntrySpec>,
}

impl ServerSpec {
    /// Role of an engine as settings and flags spell it; `None` for a service.
    pub fn role(&self) -> Option<&'static str> {
        match self.kind {
            ServerKind::Prefill => Some("prefill"),
            ServerKind::Decode => Some("decode"),
            ServerKind::Service => None,
        }
    }

    /// Name of the server's agent.
    pub fn agent_name(&self) -> String {
        format!("agent-{}", self.id)
    }

    /// Host list record of the agent, live at the given peer address.
    pub fn host_record(&self, address: String) -> HostRecord {
        HostRecord {
            host: format!("{HOST_PREFIX}{}", self.agent_name()),
            region: self.region.clone(),
            availability_zone: self.zone.clone(),
            state: "live".to_string(),
            process: "agent".to_string(),
            address,
            server: Some(self.id.clone()),
        }
    }
}

impl EntrySpec {
    /// Host list record of the entry, live at the given peer address.
    pub fn host_record(&self, address: String) -> HostRecord {
        HostRecord {
            host: format!("{HOST_PREFIX}{}", self.name),
            region: self.region.clone(),
            availability_zone: self.zone.clone(),
            state: "live".to_string(),
            process: "entry".to_string(),
            address,
            server: None,
        }
    }
}

/// Name that is not one of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownDeployment(String);

impl std::fmt::Display for UnknownDeployment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "unknown deployment {:?}; expected relojeria or bucaramanga",
            self.0
        )
    }
}

impl std::error::Error for UnknownDeployment {}

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "relojeria" => Ok(relojeria()),
            "bucaramanga" => Ok(bucaramanga()),
            _ => Err(UnknownDeployment(text.to_string())),
        }
    }
}

/// Deployment with 8 engines and 3 counter servers. Goodput has more weight than discarded prefill
/// work and paid traffic.
pub fn relojeria() -> Deployment {
    use ServerKind::{Decode, Prefill};
    let litoral_a = Zone::new("litoral", "litoral-a");
    let litoral_b = Zone::new("litoral", "litoral-b");
    let cuyo_a = Zone::new("cuyo", "cuyo-a");
    let mut servers = litoral_a.servers("notes", 1, &[Prefill, Decode, Prefill]);
    servers.extend(litoral_b.servers("notes", 4, &[Decode, Prefill, Decode]));
    servers.extend(cuyo_a.servers("notes", 7, &[Prefill, Decode]));
    servers.extend(one_service_each(
        "counter",
        &[&litoral_a, &litoral_b, &cuyo_a],
    ));
    Deployment {
        name: "relojeria",
        model: "repair-notes",
        version: "v1",
        adapter: "kiosk".to_string(),
        service: "counter",
        effect_path: "/charges",
        wasted_prefill_weight: 0.2,
        servers,
        entries: vec![litoral_a.entry(1), cuyo_a.entry(2)],
    }
}

/// Deployment with 9 engines and 3 booking servers. Discarded prefill work and paid traffic have
/// more weight than goodput.
pub fn bucaramanga() -> Deployment {
    use ServerKind::{Decode, Prefill};
    let giron = Zone::new("oriente", "giron");
    let piedecuesta = Zone::new("oriente", "piedecuesta");
    let itagui = Zone::new("occidente", "itagui");
    let mut servers = giron.servers("briefs", 1, &[Prefill, Decode, Decode]);
    servers.extend(piedecuesta.servers("briefs", 4, &[Prefill, Decode, Prefill]));
    servers.extend(itagui.servers("briefs", 7, &[Prefill, Decode, Decode]));
    servers.extend(one_service_each(
        "booking",
        &[&giron, &piedecuesta, &itagui],
    ));
    Deployment {
        name: "bucaramanga",
        model: "case-briefs",
        version: "v1",
        adapter: "courts".to_string(),
        service: "booking",
        effect_path: "/bookings",
        wasted_prefill_weight: 0.8,
        servers,
        entries: vec![giron.entry(1), itagui.entry(2)],
    }
}

fn one_service_each(name: &str, zones: &[&Zone]) -> Vec<ServerSpec> {
    let numbered = zones.iter().enumerate();
    let specs = numbered.map(|(index, zone)| zone.servers(name, index + 1, &[ServerKind::Service]));
    specs.flatten().collect()
}

struct Zone {
    region: &'static str,
    name: &'static str,
}

impl Zone {
    fn new(region: &'static str, name: &'static str) -> Self {
        Self { region, name }
    }

    fn servers(&self, name: &str, first: usize, kinds: &[ServerKind]) -> Vec<ServerSpec> {
        let numbered = kinds.iter().enumerate();
        let specs = numbered.map(|(index, kind)| ServerSpec {
            id: format!("{name}-{}", first + index),
            kind: *kind,
            region: self.region.to_string(),
            zone: self.name.to_string(),
        });
        specs.collect()
    }

    fn entry(&self, number: usize) -> EntrySpec {
        EntrySpec {
            name: format!("entry-{number}"),
            region: self.region.to_string(),
            zone: self.name.to_string(),
        }
    }
}
