//! TOML text of plans and allowances, as an operator writes it.
//!
//! Tests publish generated lists, so that they can choose rates and latency targets. The demo
//! publishes the files under `examples/`, which are the lists of the deployments in design 1.4. A
//! test compares the servers and routes of these files with the generated ones.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use super::deployment::{Deployment, ServerSpec};
use super::{CUSTOMER, FleetConfig};

/// Source of the plans and allowances of a fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListsSource {
    /// Generated with the rate and the latency targets in the fleet's configuration.
    #[default]
    Generated,
    /// Example files, in which one customer gets the fleet's API key.
    Examples(Examples),
}

/// Contents of the example files of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Examples {
    /// Text of the plans part.
    pub plans: &'static str,
    /// Text of the allowances part.
    pub allowances: &'static str,
    /// Id of a customer whose plan may use every model and service; it gets the fleet's API key.
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
    /// Example files of a deployment; generated lists if the deployment has none.
    pub fn examples_of(deployment: &Deployment) -> Self {
        match deployment.name {
            "relojeria" => Self::Examples(RELOJERIA),
            "bucaramanga" => Self::Examples(BUCARAMANGA),
            _ => Self::Generated,
        }
    }
}

impl Examples {
    /// Text of the plans part with the customer's key replaced by `key`.
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

/// Text of a plans part with one plan and one customer, [`CUSTOMER`].
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

/// Text of one more customer, to be appended to generated plans.
pub fn customer(id: &str, key: &str) -> String {
    let digest = digest(key);
    format!("[[customer]]\nid = \"{id}\"\nplan = \"{PLAN}\"\nkey_sha256 = \"{digest}\"\n")
}

/// Text of an allowances part in which the generated plan may use every model and service.
pub fn allowances(deployment: &Deployment) -> String {
    let mut text = "schema = 1\n".to_string();
    for spec in &deployment.servers {
        text += &server_text(deployment, spec);
    }
    let engines = server_ids(deployment, |spec| spec.role().is_some());
    let services = server_ids(deployment, |spec| spec.role().is_none());
    if !services.is_empty() {
        text += &routes_text(deployment);
    }
    text += &format!("[[allowance]]\nplan = \"{PLAN}\"\n");
    if !engines.is_empty() {
        let adapter = format!("adapter = \"{}\"\n", deployment.adapter);
        text += &model_text(deployment, "", &engines);
        text += &model_text(deployment, &adapter, &engines);
    }
    if !services.is_empty() {
        let service = deployment.service;
        let servers = toml_list(&services);
        text += &format!("[[allowance.service]]\nservice = \"{service}\"\nservers = {servers}\n");
    }
    text
}

fn server_text(deployment: &Deployment, spec: &ServerSpec) -> String {
    let mut text = format!("[[server]]\nid = \"{}\"\n", spec.id);
    let written = match spec.role() {
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

fn routes_text(deployment: &Deployment) -> String {
    let service = deployment.service;
    let lookups = ["/stock", "/effects"].map(|path| {
        format!(
            "[[route]]\nservice = \"{service}\"\nmethod = \"GET\"\npath_prefix = \"{path}\"\n\
             idempotent = true\n"
        )
    });
    lookups.concat()
}

fn model_text(deployment: &Deployment, adapter: &str, servers: &[String]) -> String {
    let servers = toml_list(servers);
    format!(
        "[[allowance.model]]\nmodel = \"{}\"\nversion = \"{}\"\n{adapter}\
         priority = {PRIORITY}\nservers = {servers}\n",
        deployment.model, deployment.version
    )
}

fn server_ids(deployment: &Deployment, is_selected: fn(&ServerSpec) -> bool) -> Vec<String> {
    let wanted = deployment.servers.iter().filter(|spec| is_selected(spec));
    wanted.map(|spec| spec.id.clone()).collect()
}

fn toml_list(ids: &[String]) -> String {
    let quoted: Vec<String> = ids.iter().map(|id| format!("\"{id}\"")).collect();
    format!("[{}]", quoted.join(", "))
}
