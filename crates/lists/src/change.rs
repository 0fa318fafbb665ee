//! Checks a snapshot by what differs from the valid one in force.
//!
//! Only changed parts are parsed, in their new text and, unless all parts of their kind changed, in
//! their old text: the entries of the old text are taken out of the lists in force and those of the
//! new text are added. Keeping the parsed entries of each part instead would hold them a second time
//! beside the lists. Whatever is not valid makes the caller check all parts, so findings and their
//! order never depend on the lists in force.

use std::collections::BTreeSet;
use std::sync::Arc;

use cuminlead_types::Findings;

use crate::check::{assemble, check_part_revision, read_part, serves};
use crate::lists::{AssignedRole, Lists, ModelAllowance, ServerAssignment, ServiceAllowance};
use crate::parse::Document;
use crate::part::{Part, PartKind};
use crate::snapshot::Snapshot;

/// Lists of `next`, when it is valid; `lists` are those of `base`, which is valid.
pub(crate) fn check_change(base: &Snapshot, lists: &Lists, next: &Snapshot) -> Option<Lists> {
    let mut findings = Findings::new();
    for part in next.parts() {
        check_part_revision(part, next, &mut findings);
    }
    let mut changed = lists.clone();
    for kind in [PartKind::Plans, PartKind::Allowances] {
        remove_old(&mut changed, kind, base, next);
    }
    let new = next.parts_not_in(base);
    let new = new
        .filter_map(|part| read_part(part, &mut findings))
        .collect();
    changed = assemble(changed, new, &mut findings);
    changed.revision = next.revision();
    let is_valid = findings.is_empty() && references_hold(&changed, lists);
    is_valid.then_some(changed)
}

/// Takes out the entries of the parts of a kind that `next` does not have in the same text. When
/// that is all of them, as with allowances in one part, the old text is not parsed.
fn remove_old(lists: &mut Lists, kind: PartKind, base: &Snapshot, next: &Snapshot) {
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

/// Takes out the entries of a part; in valid lists no other part has an entry of the same name.
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

/// Whether the entries of unchanged parts still refer to entries that serve them.
fn references_hold(lists: &Lists, before: &Lists) -> bool {
    let mut plans = before.plans.keys();
    let has_lost_plan = plans.any(|name| !lists.plans.contains_key(name));
    let mut servers = before.servers.iter();
    let has_changed_server = !Arc::ptr_eq(&lists.servers, &before.servers)
        && servers.any(|(id, server)| lists.servers.get(id) != Some(server));
    (!has_lost_plan || plans_exist(lists)) && (!has_changed_server || servers_serve(lists))
}

fn plans_exist(lists: &Lists) -> bool {
    let customers = lists.customers.values().map(|customer| &customer.plan);
    let mut plans = customers.chain(lists.allowances.keys());
    plans.all(|plan| lists.plans.contains_key(plan))
}

fn servers_serve(lists: &Lists) -> bool {
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

fn model_is_served(lists: &Lists, wanted: &ModelAllowance) -> bool {
    let mut roles = BTreeSet::new();
    for id in &wanted.servers {
        let adapter = wanted.adapter.as_ref();
        match lists.servers.get(id).map(|server| &server.assignment) {
            Some(ServerAssignment::Engine(assignment))
                if serves(assignment, &wanted.model, &wanted.version, adapter) =>
            {
                roles.insert(assignment.role);
            }
            _ => return false,
        }
    }
    roles.contains(&AssignedRole::Prefill) && roles.contains(&AssignedRole::Decode)
}

fn service_is_served(lists: &Lists, wanted: &ServiceAllowance) -> bool {
    wanted.servers.iter().all(|id| {
        let assignment = lists.servers.get(id).map(|server| &server.assignment);
        matches!(assignment, Some(ServerAssignment::Service(name)) if *name == wanted.service)
    })
}
