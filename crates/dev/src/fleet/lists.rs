//! Text of plans and allowances.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use super::deployment::{Deployment, ServerPlace};
use super::{CUSTOMER, FleetConfig};

const PLAN: &str = "standard";
const PRIORITY: u8 = 5;

/// Plans part with one plan and one customer.
pub(super) fn plans(config: &FleetConfig, key: &str) -> String {
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
pub(super) fn allowances(deployment: &Deployment) -> String {
    let mut text = "schema = 1\n".to_string();
    for place in &deployment.servers {
        text += &server(deployment, place);
    }
    text += &routes(deployment);
    text += &format!("[[allowance]]\nplan = \"{PLAN}\"\n");
    let engines = ids(deployment, |place| place.role().is_some());
    text += &model(deployment, "", &engines);
    let adapter = format!("adapter = \"{}\"\n", deployment.adapter);
    text += &model(deployment, &adapter, &engines);
    let services = ids(deployment, |place| place.role().is_none());
    let service = deployment.service;
    text += &format!("[[allowance.service]]\nservice = \"{service}\"\nservers = {services}\n");
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

fn model(deployment: &Deployment, adapter: &str, servers: &str) -> String {
    format!(
        "[[allowance.model]]\nmodel = \"{}\"\nversion = \"{}\"\n{adapter}\
         priority = {PRIORITY}\nservers = {servers}\n",
        deployment.model, deployment.version
    )
}

fn ids(deployment: &Deployment, is_wanted: fn(&ServerPlace) -> bool) -> String {
    let wanted = deployment.servers.iter().filter(|place| is_wanted(place));
    let quoted: Vec<String> = wanted.map(|place| format!("\"{}\"", place.id)).collect();
    format!("[{}]", quoted.join(", "))
}
