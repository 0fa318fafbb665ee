//! Text form of validated lists: one TOML document that parses back to equal lists.

use std::fmt;
use std::str::FromStr;

use cuminlead_types::Findings;

use crate::check::check_text;
use crate::lists::{
    Allowance, Customer, EngineAssignment, Lists, ModelAllowance, Plan, Server, ServerAssignment,
    ServiceAllowance, ServiceRoute,
};
use crate::parse::SCHEMA;

impl FromStr for Lists {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check_text(text)
    }
}

impl fmt::Display for Lists {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "schema = {SCHEMA}")?;
        writeln!(f, "revision = {}", self.revision)?;
        for plan in self.plans.values() {
            write_plan(f, plan)?;
        }
        for customer in self.customers.values() {
            write_customer(f, customer)?;
        }
        for server in self.servers.values() {
            write_server(f, server)?;
        }
        for route in &self.routes {
            write_route(f, route)?;
        }
        for (plan, allowance) in self.allowances.iter() {
            writeln!(f, "\n[[allowance]]")?;
            writeln!(f, "plan = {}", quoted(plan))?;
            write_allowance(f, allowance)?;
        }
        Ok(())
    }
}

fn write_plan(f: &mut fmt::Formatter<'_>, plan: &Plan) -> fmt::Result {
    writeln!(f, "\n[[plan]]")?;
    writeln!(f, "name = {}", quoted(&plan.name))?;
    writeln!(f, "requests_per_second = {}", plan.rate)?;
    writeln!(f, "burst_requests = {}", plan.burst_requests)?;
    writeln!(f, "first_token_ms = {}", plan.first_token_us.as_ms())?;
    writeln!(f, "between_tokens_ms = {}", plan.between_tokens_us.as_ms())?;
    writeln!(f, "weight = {}", plan.weight)
}

fn write_customer(f: &mut fmt::Formatter<'_>, customer: &Customer) -> fmt::Result {
    writeln!(f, "\n[[customer]]")?;
    writeln!(f, "id = {}", quoted(&customer.id))?;
    writeln!(f, "plan = {}", quoted(&customer.plan))?;
    write!(f, "key_sha256 = \"")?;
    for byte in customer.key_sha256 {
        write!(f, "{byte:02x}")?;
    }
    writeln!(f, "\"")
}

fn write_server(f: &mut fmt::Formatter<'_>, server: &Server) -> fmt::Result {
    writeln!(f, "\n[[server]]")?;
    writeln!(f, "id = {}", quoted(&server.id))?;
    match &server.assignment {
        ServerAssignment::Engine(assignment) => write_engine(f, assignment),
        ServerAssignment::Service(service) => {
            writeln!(f, "kind = \"service\"")?;
            writeln!(f, "service = {}", quoted(service))
        }
    }
}

fn write_engine(f: &mut fmt::Formatter<'_>, assignment: &EngineAssignment) -> fmt::Result {
    let models = assignment.models.iter().map(|known| {
        let model = quoted(&known.model);
        let version = quoted(&known.version);
        format!("{{ model = {model}, version = {version} }}")
    });
    writeln!(f, "kind = \"engine\"")?;
    writeln!(f, "role = \"{}\"", assignment.role)?;
    writeln!(f, "models = [{}]", joined(models))?;
    writeln!(
        f,
        "adapters = [{}]",
        joined(assignment.adapters.iter().map(quoted))
    )?;
    writeln!(f, "fenced = {}", assignment.fenced)
}

fn write_route(f: &mut fmt::Formatter<'_>, route: &ServiceRoute) -> fmt::Result {
    writeln!(f, "\n[[route]]")?;
    writeln!(f, "service = {}", quoted(&route.service))?;
    writeln!(f, "method = {}", quoted(&route.method))?;
    writeln!(f, "path_prefix = {}", quoted(&route.path_prefix))?;
    writeln!(f, "idempotent = {}", route.idempotent)
}

fn write_allowance(f: &mut fmt::Formatter<'_>, allowance: &Allowance) -> fmt::Result {
    for model in &allowance.models {
        write_model(f, model)?;
    }
    for service in &allowance.services {
        write_service(f, service)?;
    }
    Ok(())
}

fn write_model(f: &mut fmt::Formatter<'_>, entry: &ModelAllowance) -> fmt::Result {
    writeln!(f, "[[allowance.model]]")?;
    writeln!(f, "model = {}", quoted(&entry.model))?;
    writeln!(f, "version = {}", quoted(&entry.version))?;
    if let Some(adapter) = &entry.adapter {
        writeln!(f, "adapter = {}", quoted(adapter))?;
    }
    writeln!(f, "priority = {}", entry.priority)?;
    writeln!(
        f,
        "servers = [{}]",
        joined(entry.servers.iter().map(quoted))
    )
}

fn write_service(f: &mut fmt::Formatter<'_>, entry: &ServiceAllowance) -> fmt::Result {
    writeln!(f, "[[allowance.service]]")?;
    writeln!(f, "service = {}", quoted(&entry.service))?;
    writeln!(
        f,
        "servers = [{}]",
        joined(entry.servers.iter().map(quoted))
    )
}

fn quoted(text: &impl ToString) -> String {
    toml::Value::String(text.to_string()).to_string()
}

fn joined(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(", ")
}
