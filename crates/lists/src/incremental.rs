//! Incremental check of a snapshot against the active one, which is valid.
//!
//! Only changed parts are parsed: their new text and, unless all parts of their kind changed, also
//! their old text. The entries of the old text are removed from the active lists and those of the
//! new text are added. Old texts are parsed again because caching the parsed entries of each part
//! would hold every entry in memory twice. If anything is invalid, the caller checks all parts, so
//! the findings and their order do not depend on the active lists.

use std::collections::BTreeSet;
use std::sync::Arc;

use cuminlead_types::Findings;

use crate::check::{assemble, check_part_revision, read_part, serves};
use crate::lists::{AssignedRole, Lists, ModelAllowance, ServerAssignment, ServiceAllowance};
use crate::parse::Document;
use crate::part::{Part, PartKind};
use crate::snapshot::Snapshot;

/// Lists of `next`, or `None` if it is invalid; `lists` are those of `base`, which is valid.
pub(crate) fn check_incremental(base: &Snapshot, lists: &Lists, next: &Snapshot) -> Option<Lists> {
    let mut findings = Findings::new();
    for part in next.parts() {
        check_part_revision(part, next, &mut findings);
    }
    let mut changed = lists.clone();
    for kind in [PartKind::Plans, PartKind::Allowances] {
        remove_replaced_parts(&mut changed, kind, base, next);
    }
    let new = next.parts_not_in(base);
    let new = new
        .filter_map(|part| read_part(part, &mut findings))
        .collect();
    changed = assemble(changed, new, &mut findings);
    changed.revision = next.revision();
    let is_valid = findings.is_empty() && references_are_valid(&changed, lists);
    is_valid.then_some(changed)
}

/// Removes the entries of the parts of one kind that `next` lacks or has with another text. If
/// these are all parts of the kind, for example when all allowances are in one part, the old text
/// is not parsed.
fn remove_replaced_parts(lists: &mut Lists, kind: PartKind, base: &Snapshot, next: &Snapshot) {
    let is_of_kind = |part: &&Part| part.key.kind() == Some(kind);
    let old: Vec<&Part> = base.parts_not_in(next).filter(is_of_kind).collect();
    if old.len() == base.parts().filter(is_of_kind).count() {
        return clear_entries(lists, kind);
    }
    for part in old {
        let read = read_part(part, &mut Findings::new());
        read.iter()
            .for_each(|read| remove_entries(lists, &read.document));
    }
}

fn clear_entries(lists: &mut Lists, kind: PartKind) {
    match kind {
        PartKind::Plans => {
            lists.plans.clear();
            lists.customers = Arc::default();
        }
        PartKind::Allowances => {
            lists.servers = Arc::default();
            lists.routes.clear();
            lists.allowances = Arc::default();
        }
    }
}

/// Removes the entries of one part by name; names are unique among the parts of valid lists.
fn remove_entries(lists: &mut Lists, document: &Document) {
    for plan in &document.plans {
        lists.plans.remove(&plan.value.name);
    }
    for entry in &document.customers {
        Arc::make_mut(&mut lists.customers).remove(&entry.customer.id);
    }
    for server in &document.servers {
        Arc::make_mut(&mut lists.servers).remove(&server.value.id);
    }
    for route in &document.routes {
        lists.routes.retain(|known| *known != route.value);
    }
    for entry in &document.allowances {
        Arc::make_mut(&mut lists.allowances).remove(&entry.plan.value);
    }
}

/// Whether the references from unchanged parts are still valid: plans exist, and servers still
/// serve the model or service.
fn references_are_valid(lists: &Lists, before: &Lists) -> bool {
    let mut plans = before.plans.keys();
    let has_removed_plan = plans.any(|name| !lists.plans.contains_key(name));
    let mut servers = before.servers.iter();
    let has_changed_server = !Arc::ptr_eq(&lists.servers, &before.servers)
        && servers.any(|(id, server)| lists.servers.get(id) != Some(server));
    (!has_removed_plan || plan_references_are_valid(lists))
        && (!has_changed_server || server_references_are_valid(lists))
}

fn plan_references_are_valid(lists: &Lists) -> bool {
    let customers = lists.customers.values().map(|customer| &customer.plan);
    let mut plans = customers.chain(lists.allowances.keys());
    plans.all(|plan| lists.plans.contains_key(plan))
}

fn server_references_are_valid(lists: &Lists) -> bool {
    let mut routes = lists.routes.iter();
    let mut allowances = lists.allowances.values();
    routes.all(|route| lists.servers_of_service(&route.service).next().is_some())
        && allowances.all(|allowance| {
            let mut models = allowance.models.iter();
            let mut services = allowance.services.iter();
            models.all(|model| model_is_served(lists, model))
                && services.all(|service| service_is_served(lists, service))
        })
}

fn model_is_served(lists: &Lists, allowance: &ModelAllowance) -> bool {
    let mut roles = BTreeSet::new();
    for id in &allowance.servers {
        let adapter = allowance.adapter.as_ref();
        match lists.servers.get(id).map(|server| &server.assignment) {
            Some(ServerAssignment::Engine(assignment))
                if serves(assignment, &allowance.model, &allowance.version, adapter) =>
            {
                roles.insert(assignment.role);
            }
            _ => return false,
        }
    }
    roles.contains(&AssignedRole::Prefill) && roles.contains(&AssignedRole::Decode)
}

fn service_is_served(lists: &Lists, allowance: &ServiceAllowance) -> bool {
    allowance.servers.iter().all(|id| {
        let assignment = lists.servers.get(id).map(|server| &server.assignment);
        matches!(assignment, Some(ServerAssignment::Service(name)) if *name == allowance.service)
    })
}
