//! Checks the entries of all parts as a whole: duplicates and references.

use std::collections::BTreeSet;
use std::sync::Arc;

use cuminlead_types::{
    AdapterName, BackendServerId, Findings, ModelName, SourceLocation, VersionName,
};

use crate::lists::{
    Allowance, AssignedRole, EngineAssignment, Lists, ModelAllowance, ServerAssignment,
    ServiceAllowance,
};
use crate::parse::{
    AllowanceEntry, CustomerEntry, Document, DocumentKind, ModelEntry, ServiceEntry, parse,
};
use crate::part::Part;
use crate::reader::{Located, Mark, Source};
use crate::snapshot::Snapshot;

/// Document with the source that its marks refer to.
pub(crate) struct Read<'a> {
    source: Source<'a>,
    pub(crate) document: Document,
}

/// Parses and checks all parts of a snapshot.
pub(crate) fn check_snapshot(snapshot: &Snapshot) -> Result<Lists, Findings> {
    let mut findings = Findings::new();
    let mut read = Vec::new();
    for part in snapshot.parts() {
        read.extend(read_part(part, &mut findings));
        check_part_revision(part, snapshot, &mut findings);
    }
    let mut lists = assemble(Lists::default(), read, &mut findings);
    lists.revision = snapshot.revision();
    findings.into_result(lists)
}

/// Parses and checks the text form of whole lists.
pub(crate) fn check_text(text: &str) -> Result<Lists, Findings> {
    let source = Source::new("lists", text);
    let parsed = parse(DocumentKind::Whole, &source, text);
    let mut findings = parsed.findings;
    let revision = parsed.document.revision;
    let read = vec![Read {
        source,
        document: parsed.document,
    }];
    let mut lists = assemble(Lists::default(), read, &mut findings);
    lists.revision = revision;
    findings.into_result(lists)
}

pub(crate) fn read_part<'a>(part: &'a Part, findings: &mut Findings) -> Option<Read<'a>> {
    let Some(kind) = part.key.kind() else {
        let place = whole_part(part);
        findings.add(place, "unknown part; keys start with plans/ or allowances/");
        return None;
    };
    let source = Source::new(part.key.as_str(), &part.text);
    let parsed = parse(DocumentKind::Part(kind), &source, &part.text);
    findings.extend(parsed.findings);
    Some(Read {
        source,
        document: parsed.document,
    })
}

pub(crate) fn check_part_revision(part: &Part, snapshot: &Snapshot, findings: &mut Findings) {
    if part.revision > snapshot.revision() {
        let message = format!(
            "revision {} is later than revision {} of the snapshot",
            part.revision,
            snapshot.revision()
        );
        findings.add(whole_part(part), message);
    }
}

fn whole_part(part: &Part) -> SourceLocation {
    SourceLocation {
        file: part.key.to_string(),
        line: 0,
        key: String::new(),
    }
}

/// Adds entries to lists and checks the added ones against all; each entry is moved, so that its
/// text is not held twice.
pub(crate) fn assemble(lists: Lists, mut read: Vec<Read<'_>>, findings: &mut Findings) -> Lists {
    let mut digests = BTreeSet::new();
    if read.iter().any(|one| !one.document.customers.is_empty()) {
        digests.extend(lists.customers.values().map(|known| known.key_sha256));
    }
    let mut assembly = Assembly { lists, findings };
    for one in &mut read {
        assembly.add_plans(one);
        assembly.add_servers(one);
    }
    for one in &mut read {
        assembly.add_customers(one, &mut digests);
        assembly.add_routes(one);
        assembly.add_allowances(one);
    }
    assembly.sort_routes();
    assembly.lists
}

struct Assembly<'f> {
    lists: Lists,
    findings: &'f mut Findings,
}

impl Assembly<'_> {
    fn add(&mut self, source: &Source<'_>, mark: Mark, key: &str, message: String) {
        let place = SourceLocation {
            key: key.to_string(),
            ..source.place(mark)
        };
        self.findings.add(place, message);
    }

    fn add_plans(&mut self, read: &mut Read<'_>) {
        for plan in std::mem::take(&mut read.document.plans) {
            let name = plan.value.name.clone();
            if self.lists.plans.contains_key(&name) {
                let message = format!("plan {name} is listed twice");
                self.add(&read.source, plan.mark, "plan.name", message);
            }
            self.lists.plans.insert(name, plan.value);
        }
    }

    fn add_servers(&mut self, read: &mut Read<'_>) {
        for server in std::mem::take(&mut read.document.servers) {
            let id = server.value.id.clone();
            if self.lists.servers.contains_key(&id) {
                let message = format!("server {id} is listed twice");
                self.add(&read.source, server.mark, "server.id", message);
            }
            Arc::make_mut(&mut self.lists.servers).insert(id, server.value);
        }
    }

    fn add_customers(&mut self, read: &mut Read<'_>, digests: &mut BTreeSet<[u8; 32]>) {
        for entry in std::mem::take(&mut read.document.customers) {
            self.check_customer(&read.source, &entry, digests);
            let id = entry.customer.id.clone();
            Arc::make_mut(&mut self.lists.customers).insert(id, entry.customer);
        }
    }

    fn check_customer(
        &mut self,
        source: &Source<'_>,
        entry: &CustomerEntry,
        digests: &mut BTreeSet<[u8; 32]>,
    ) {
        let customer = &entry.customer;
        if self.lists.customers.contains_key(&customer.id) {
            let message = format!("customer {} is listed twice", customer.id);
            self.add(source, entry.mark, "customer.id", message);
        }
        if !self.lists.plans.contains_key(&customer.plan) {
            let message = format!("no plan {}", customer.plan);
            self.add(source, entry.plan_mark, "customer.plan", message);
        }
        if !digests.insert(customer.key_sha256) {
            let message = format!("customer {} has the key of another customer", customer.id);
            self.add(source, entry.mark, "customer.key_sha256", message);
        }
    }

    fn add_routes(&mut self, read: &mut Read<'_>) {
        for route in std::mem::take(&mut read.document.routes) {
            let service = &route.value.service;
            if self.lists.servers_of_service(service).next().is_none() {
                let message = format!("no server of service {service}");
                self.add(&read.source, route.mark, "route.service", message);
            }
            let is_listed = self.lists.routes.iter().any(|other| {
                other.service == *service
                    && other.method == route.value.method
                    && other.path_prefix == route.value.path_prefix
            });
            if is_listed {
                let message = "route is listed twice".to_string();
                self.add(&read.source, route.mark, "route", message);
            }
            self.lists.routes.push(route.value);
        }
    }

    fn sort_routes(&mut self) {
        self.lists.routes.sort_by(|a, b| {
            let by_length = b.path_prefix.len().cmp(&a.path_prefix.len());
            by_length
                .then_with(|| a.service.cmp(&b.service))
                .then_with(|| a.path_prefix.cmp(&b.path_prefix))
                .then_with(|| a.method.cmp(&b.method))
        });
    }

    fn add_allowances(&mut self, read: &mut Read<'_>) {
        for entry in std::mem::take(&mut read.document.allowances) {
            self.check_allowance_plan(&read.source, &entry);
            let allowance = self.check_allowance(&read.source, &entry);
            Arc::make_mut(&mut self.lists.allowances).insert(entry.plan.value, allowance);
        }
    }

    fn check_allowance_plan(&mut self, source: &Source<'_>, entry: &AllowanceEntry) {
        let plan = &entry.plan.value;
        if !self.lists.plans.contains_key(plan) {
            let message = format!("no plan {plan}");
            self.add(source, entry.plan.mark, "allowance.plan", message);
        }
        if self.lists.allowances.contains_key(plan) {
            let message = format!("plan {plan} has another allowance");
            self.add(source, entry.plan.mark, "allowance.plan", message);
        }
    }

    fn check_allowance(&mut self, source: &Source<'_>, entry: &AllowanceEntry) -> Allowance {
        let mut allowance = Allowance::default();
        for model in &entry.models {
            self.check_model(source, model);
            let model_allowance = model_allowance(model);
            if has_model(&allowance, &model_allowance) {
                let message = format!("model {} is listed twice", model.model);
                self.add(source, model.mark, "allowance.model", message);
            }
            allowance.models.push(model_allowance);
        }
        for service in &entry.services {
            self.check_service(source, service);
            if allowance
                .services
                .iter()
                .any(|s| s.service == service.service)
            {
                let message = format!("service {} is listed twice", service.service);
                self.add(source, service.mark, "allowance.service", message);
            }
            allowance.services.push(service_allowance(service));
        }
        allowance
    }

    fn check_model(&mut self, source: &Source<'_>, entry: &ModelEntry) {
        const KEY: &str = "allowance.model.servers";
        self.check_server_set(source, entry.mark, KEY, &entry.servers);
        let mut roles = BTreeSet::new();
        for server in &entry.servers {
            let Some(known) = self.lists.servers.get(&server.value) else {
                continue;
            };
            match &known.assignment {
                ServerAssignment::Engine(assignment)
                    if serves(
                        assignment,
                        &entry.model,
                        &entry.version,
                        entry.adapter.as_ref(),
                    ) =>
                {
                    roles.insert(assignment.role);
                }
                _ => {
                    let message =
                        format!("server {} does not serve {}", server.value, target(entry));
                    self.add(source, server.mark, KEY, message);
                }
            }
        }
        for role in [AssignedRole::Prefill, AssignedRole::Decode] {
            if !roles.contains(&role) {
                let message = format!("no {role} server for {}", target(entry));
                self.add(source, entry.mark, KEY, message);
            }
        }
    }

    fn check_service(&mut self, source: &Source<'_>, entry: &ServiceEntry) {
        const KEY: &str = "allowance.service.servers";
        self.check_server_set(source, entry.mark, KEY, &entry.servers);
        for server in &entry.servers {
            let assignment = self
                .lists
                .servers
                .get(&server.value)
                .map(|known| &known.assignment);
            let is_wrong = assignment.is_some_and(
                |assignment| !matches!(assignment, ServerAssignment::Service(name) if *name == entry.service),
            );
            if is_wrong {
                let message = format!(
                    "server {} is not of service {}",
                    server.value, entry.service
                );
                self.add(source, server.mark, KEY, message);
            }
        }
    }

    fn check_server_set(
        &mut self,
        source: &Source<'_>,
        mark: Mark,
        key: &str,
        servers: &[Located<BackendServerId>],
    ) {
        if servers.is_empty() {
            self.add(source, mark, key, "no servers".to_string());
        }
        let mut seen = BTreeSet::new();
        for server in servers {
            if !self.lists.servers.contains_key(&server.value) {
                let message = format!("no server {}", server.value);
                self.add(source, server.mark, key, message);
            }
            if !seen.insert(&server.value) {
                let message = format!("server {} is listed twice", server.value);
                self.add(source, server.mark, key, message);
            }
        }
    }
}

/// Whether an engine is wanted to serve a model, version and adapter.
pub(crate) fn serves(
    assignment: &EngineAssignment,
    model: &ModelName,
    version: &VersionName,
    adapter: Option<&AdapterName>,
) -> bool {
    let has_model = assignment
        .models
        .iter()
        .any(|known| known.model == *model && known.version == *version);
    has_model && adapter.is_none_or(|adapter| assignment.adapters.contains(adapter))
}

fn target(entry: &ModelEntry) -> String {
    let adapter = entry
        .adapter
        .as_ref()
        .map(|adapter| format!(" with adapter {adapter}"));
    format!(
        "model {} version {}{}",
        entry.model,
        entry.version,
        adapter.unwrap_or_default()
    )
}

fn has_model(allowance: &Allowance, model: &ModelAllowance) -> bool {
    allowance.models.iter().any(|other| {
        other.model == model.model
            && other.version == model.version
            && other.adapter == model.adapter
    })
}

fn model_allowance(entry: &ModelEntry) -> ModelAllowance {
    ModelAllowance {
        model: entry.model.clone(),
        version: entry.version.clone(),
        adapter: entry.adapter.clone(),
        priority: entry.priority,
        servers: entry.servers.iter().map(|s| s.value.clone()).collect(),
    }
}

fn service_allowance(entry: &ServiceEntry) -> ServiceAllowance {
    ServiceAllowance {
        service: entry.service.clone(),
        servers: entry.servers.iter().map(|s| s.value.clone()).collect(),
    }
}
