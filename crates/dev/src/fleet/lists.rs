//! Text of plans and allowances, as an operator writes it.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use super::deployment::{Deployment, ServerPlace};
use super::{CUSTOMER, FleetConfig};

const PLAN: &str = "standard";
const PRIORITY: u8 = 5;

/// Plans part with one plan and one customer.
pub fn plans(config: &FleetConfig, key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!(
        "schema = 1\n[[plan]]\nname = \"{PLAN}\"\nrequests_per_second = {rate}\n\
         burst_requests = {rate}\nfirst_token_ms = {first}\nbetween_tokens_ms = {between}\n\
         weight = 1\n[[customer]]\nid = \"{CUSTOMER}\"\nplan = \"{PLAN}\"\n\
         key_sha256 = \"{digest}\"\n",
        rate = config.requests_per_second,
        first = config.first_token_ms,
        between = config.between_tokens_ms,
    )
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

fn server(deployment: &Deployment, place: &ServerPlace) -> String {
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

fn ids(deployment: &Deployment, is_wanted: fn(&ServerPlace) -> bool) -> Vec<String> {
    let wanted = deployment.servers.iter().filter(|place| is_wanted(place));
    wanted.map(|place| place.id.clone()).collect()
}

fn list(ids: &[String]) -> String {
    let quoted: Vec<String> = ids.iter().map(|id| format!("\"{id}\"")).collect();
    format!("[{}]", quoted.join(", "))
}
