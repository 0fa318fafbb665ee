//! Text of plans and allowances, as an operator writes it.
//!
//! Tests publish generated lists, whose rates and targets they choose. The demo publishes the files
//! under `examples/`, so that these are the lists of the deployments of design 1.4; a test compares
//! their servers and routes with the generated ones.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use super::deployment::{Deployment, ServerSpec};
use super::{CUSTOMER, FleetConfig};

/// Where the lists of a fleet come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListsSource {
    /// Generated, with the rate and the targets of the fleet's configuration.
    #[default]
    Generated,
    /// Example files, with the fleet's key for one of their customers.
    Examples(Examples),
}

/// Example files of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Examples {
    /// Plans part.
    pub plans: &'static str,
    /// Allowances part.
    pub allowances: &'static str,
    /// Customer with every allowance, who gets the fleet's key.
    pub customer: &'static str,
}

/// Example files of the deployment relojeria.
pub const RELOJERIA: Examples = Examples {
    plans: include_str!("../../../examples/relojeria/plans.toml"),
    allowances: include_str!("../../../examples/relojeria/allowances.toml"),
    customer: "kiosks-norte",
};

/// Example files of the deployment bucaramanga.
pub const BUCARAMANGA: Examples = Examples {
    plans: include_str!("../../../examples/bucaramanga/plans.toml"),
    allowances: include_str!("../../../examples/bucaramanga/allowances.toml"),
    customer: "courts-oriente",
};

impl ListsSource {
    /// Example files of a deployment, or generated lists when it has none.
    pub fn examples_of(deployment: &Deployment) -> Self {
        match deployment.name {
            "relojeria" => Self::Examples(RELOJERIA),
            "bucaramanga" => Self::Examples(BUCARAMANGA),
            _ => Self::Generated,
        }
    }
}

impl Examples {
    /// Plans in which the customer has this key.
    pub fn plans_with(&self, key: &str) -> String {
        let digest_line = format!("key_sha256 = \"{}\"", digest(key));
        let id_line = format!("id = \"{}\"", self.customer);
        let mut is_customer = false;
        let lines = self.plans.lines().map(|line| {
            if line.starts_with("id = ") {
                is_customer = line == id_line;
            }
            match is_customer && line.starts_with("key_sha256 = ") {
                true => format!("{digest_line}\n"),
                false => format!("{line}\n"),
            }
        });
        lines.collect()
    }
}

fn digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

const PLAN: &str = "standard";
const PRIORITY: u8 = 5;

/// Plans part with one plan and one customer.
pub fn plans(config: &FleetConfig, key: &str) -> String {
    let plan = format!(
        "schema = 1\n[[plan]]\nname = \"{PLAN}\"\nrequests_per_second = {rate}\n\
         burst_requests = {rate}\nfirst_token_ms = {first}\nbetween_tokens_ms = {between}\n\
         weight = 1\n",
        rate = config.requests_per_second,
        first = config.first_token_ms,
        between = config.between_tokens_ms,
    );
    plan + &customer(CUSTOMER, key)
}

/// Further customer of a plans part.
pub fn customer(id: &str, key: &str) -> String {
    let digest = digest(key);
    format!("[[customer]]\nid = \"{id}\"\nplan = \"{PLAN}\"\nkey_sha256 = \"{digest}\"\n")
}

/// Allowances part in which the plan may use everything.
pub fn allowances(deployment: &Deployment) -> String {
    let mut text = "schema = 1\n".to_string();
    for place in &deployment.servers {
        text += &server(deployment, place);
    }
    let engines = ids(deployment, |place| place.role().is_some());
    let services = ids(deployment, |place| place.role().is_none());
    if !services.is_empty() {
        text += &routes(deployment);
    }
    text += &format!("[[allowance]]\nplan = \"{PLAN}\"\n");
    if !engines.is_empty() {
        let adapter = format!("adapter = \"{}\"\n", deployment.adapter);
        text += &model(deployment, "", &engines);
        text += &model(deployment, &adapter, &engines);
    }
    if !services.is_empty() {
        let service = deployment.service;
        let servers = list(&services);
        text += &format!("[[allowance.service]]\nservice = \"{service}\"\nservers = {servers}\n");
    }
    text
}

fn server(deployment: &Deployment, place: &ServerSpec) -> String {
    let mut text = format!("[[server]]\nid = \"{}\"\n", place.id);
    let written = match place.role() {
        Some(role) => write!(
            text,
            "kind = \"engine\"\nrole = \"{role}\"\n\
             models = [{{ model = \"{}\", version = \"{}\" }}]\n\
             adapters = [\"{}\"]\nfenced = true\n",
            deployment.model, deployment.version, deployment.adapter
        ),
        None => write!(
            text,
            "kind = \"service\"\nservice = \"{}\"\n",
            deployment.service
        ),
    };
    written.expect("writing to a String does not fail");
    text
}

fn routes(deployment: &Deployment) -> String {
    let service = deployment.service;
    let lookups = ["/stock", "/effects"].map(|path| {
        format!(
            "[[route]]\nservice = \"{service}\"\nmethod = \"GET\"\npath_prefix = \"{path}\"\n\
             idempotent = true\n"
        )
    });
    lookups.concat()
}

fn model(deployment: &Deployment, adapter: &str, servers: &[String]) -> String {
    let servers = list(servers);
    format!(
        "[[allowance.model]]\nmodel = \"{}\"\nversion = \"{}\"\n{adapter}\
         priority = {PRIORITY}\nservers = {servers}\n",
        deployment.model, deployment.version
    )
}

fn ids(deployment: &Deployment, is_wanted: fn(&ServerSpec) -> bool) -> Vec<String> {
    let wanted = deployment.servers.iter().filter(|place| is_wanted(place));
    wanted.map(|place| place.id.clone()).collect()
}

fn list(ids: &[String]) -> String {
    let quoted: Vec<String> = ids.iter().map(|id| format!("\"{id}\"")).collect();
    format!("[{}]", quoted.join(", "))
}
