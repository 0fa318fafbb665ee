//! Validates the entries of all parts together: duplicates and references between entries.

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
use crate::snapshot::Snapshot;
use crate::toml_reader::{ByteOffset, Located, Source};

/// Parsed part with the source that its offsets refer to.
pub(crate) struct ParsedSource<'a> {
    source: Source<'a>,
    pub(crate) document: Document,
}

/// Parses and checks all parts of a snapshot.
pub(crate) fn check_snapshot(snapshot: &Snapshot) -> Result<Lists, Findings> {
    let mut findings = Findings::new();
    let mut sources = Vec::new();
    for part in snapshot.parts() {
        sources.extend(read_part(part, &mut findings));
        check_part_revision(part, snapshot, &mut findings);
    }
    let mut lists = assemble(Lists::default(), sources, &mut findings);
    lists.revision = snapshot.revision();
    findings.into_result(lists)
}

/// Parses and checks the text form of lists, one document with all entries.
pub(crate) fn check_text(text: &str) -> Result<Lists, Findings> {
    let source = Source::new("lists", text);
    let parsed = parse(DocumentKind::Full, &source, text);
    let mut findings = parsed.findings;
    let revision = parsed.document.revision;
    let sources = vec![ParsedSource {
        source,
        document: parsed.document,
    }];
    let mut lists = assemble(Lists::default(), sources, &mut findings);
    lists.revision = revision;
    findings.into_result(lists)
}

pub(crate) fn read_part<'a>(part: &'a Part, findings: &mut Findings) -> Option<ParsedSource<'a>> {
    let Some(kind) = part.key.kind() else {
        let location = part_location(part);
        findings.add(
            location,
            "unknown part; keys must start with plans/ or allowances/",
        );
        return None;
    };
    let source = Source::new(part.key.as_str(), &part.text);
    let parsed = parse(DocumentKind::Part(kind), &source, &part.text);
    findings.extend(parsed.findings);
    Some(ParsedSource {
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
        findings.add(part_location(part), message);
    }
}

fn part_location(part: &Part) -> SourceLocation {
    SourceLocation {
        file: part.key.to_string(),
        line: 0,
        key: String::new(),
    }
}

/// Adds parsed entries to lists and checks each against all entries. Entries are moved, so that
/// their strings are not in memory twice.
pub(crate) fn assemble(
    lists: Lists,
    mut sources: Vec<ParsedSource<'_>>,
    findings: &mut Findings,
) -> Lists {
    let mut digests = BTreeSet::new();
    if sources
        .iter()
        .any(|parsed| !parsed.document.customers.is_empty())
    {
        digests.extend(lists.customers.values().map(|known| known.key_sha256));
    }
    let mut assembly = Assembly { lists, findings };
    for parsed in &mut sources {
        assembly.add_plans(parsed);
        assembly.add_servers(parsed);
    }
    for parsed in &mut sources {
        assembly.add_customers(parsed, &mut digests);
        assembly.add_routes(parsed);
        assembly.add_allowances(parsed);
    }
    assembly.sort_routes();
    assembly.lists
}

struct Assembly<'f> {
    lists: Lists,
    findings: &'f mut Findings,
}

impl Assembly<'_> {
    fn add(&mut self, source: &Source<'_>, offset: ByteOffset, key: &str, message: String) {
        let location = SourceLocation {
            key: key.to_string(),
            ..source.location(offset)
        };
        self.findings.add(location, message);
    }

    fn add_plans(&mut self, parsed: &mut ParsedSource<'_>) {
        for plan in std::mem::take(&mut parsed.document.plans) {
            let name = plan.value.name.clone();
            if self.lists.plans.contains_key(&name) {
                let message = format!("plan {name} is listed twice");
                self.add(&parsed.source, plan.offset, "plan.name", message);
            }
            self.lists.plans.insert(name, plan.value);
        }
    }

    fn add_servers(&mut self, parsed: &mut ParsedSource<'_>) {
        for server in std::mem::take(&mut parsed.document.servers) {
            let id = server.value.id.clone();
            if self.lists.servers.contains_key(&id) {
                let message = format!("server {id} is listed twice");
                self.add(&parsed.source, server.offset, "server.id", message);
            }
            Arc::make_mut(&mut self.lists.servers).insert(id, server.value);
        }
    }

    fn add_customers(&mut self, parsed: &mut ParsedSource<'_>, digests: &mut BTreeSet<[u8; 32]>) {
        for entry in std::mem::take(&mut parsed.document.customers) {
            self.check_customer(&parsed.source, &entry, digests);
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
            self.add(source, entry.offset, "customer.id", message);
        }
        if !self.lists.plans.contains_key(&customer.plan) {
            let message = format!("no plan {}", customer.plan);
            self.add(source, entry.plan_offset, "customer.plan", message);
        }
        if !digests.insert(customer.key_sha256) {
            let message = format!("customer {} has the key of another customer", customer.id);
            self.add(source, entry.offset, "customer.key_sha256", message);
        }
    }

    fn add_routes(&mut self, parsed: &mut ParsedSource<'_>) {
        for route in std::mem::take(&mut parsed.document.routes) {
            let service = &route.value.service;
            if self.lists.servers_of_service(service).next().is_none() {
                let message = format!("no server of service {service}");
                self.add(&parsed.source, route.offset, "route.service", message);
            }
            let is_listed = self.lists.routes.iter().any(|other| {
                other.service == *service
                    && other.method == route.value.method
                    && other.path_prefix == route.value.path_prefix
            });
            if is_listed {
                let message = "route is listed twice".to_string();
                self.add(&parsed.source, route.offset, "route", message);
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

    fn add_allowances(&mut self, parsed: &mut ParsedSource<'_>) {
        for entry in std::mem::take(&mut parsed.document.allowances) {
            self.check_allowance_plan(&parsed.source, &entry);
            let allowance = self.check_allowance(&parsed.source, &entry);
            Arc::make_mut(&mut self.lists.allowances).insert(entry.plan.value, allowance);
        }
    }

    fn check_allowance_plan(&mut self, source: &Source<'_>, entry: &AllowanceEntry) {
        let plan = &entry.plan.value;
        if !self.lists.plans.contains_key(plan) {
            let message = format!("no plan {plan}");
            self.add(source, entry.plan.offset, "allowance.plan", message);
        }
        if self.lists.allowances.contains_key(plan) {
            let message = format!("plan {plan} already has an allowance");
            self.add(source, entry.plan.offset, "allowance.plan", message);
        }
    }

    fn check_allowance(&mut self, source: &Source<'_>, entry: &AllowanceEntry) -> Allowance {
        let mut allowance = Allowance::default();
        for model in &entry.models {
            self.check_model(source, model);
            let model_allowance = model_allowance(model);
            if has_model(&allowance, &model_allowance) {
                let message = format!("model {} is listed twice", model.model);
                self.add(source, model.offset, "allowance.model", message);
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
                self.add(source, service.offset, "allowance.service", message);
            }
            allowance.services.push(service_allowance(service));
        }
        allowance
    }

    fn check_model(&mut self, source: &Source<'_>, entry: &ModelEntry) {
        const KEY: &str = "allowance.model.servers";
        self.check_server_set(source, entry.offset, KEY, &entry.servers);
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
                    let message = format!(
                        "server {} does not serve {}",
                        server.value,
                        describe_model(entry)
                    );
                    self.add(source, server.offset, KEY, message);
                }
            }
        }
        for role in [AssignedRole::Prefill, AssignedRole::Decode] {
            if !roles.contains(&role) {
                let message = format!("no {role} server for {}", describe_model(entry));
                self.add(source, entry.offset, KEY, message);
            }
        }
    }

    fn check_service(&mut self, source: &Source<'_>, entry: &ServiceEntry) {
        const KEY: &str = "allowance.service.servers";
        self.check_server_set(source, entry.offset, KEY, &entry.servers);
        for server in &entry.servers {
            let assignment = self
                .lists
                .servers
                .get(&server.value)
                .map(|known| &known.assignment);
            let is_mismatch = assignment.is_some_and(
                |assignment| !matches!(assignment, ServerAssignment::Service(name) if *name == entry.service),
            );
            if is_mismatch {
                let message = format!(
                    "server {} is not assigned to service {}",
                    server.value, entry.service
                );
                self.add(source, server.offset, KEY, message);
            }
        }
    }

    fn check_server_set(
        &mut self,
        source: &Source<'_>,
        offset: ByteOffset,
        key: &str,
        servers: &[Located<BackendServerId>],
    ) {
        if servers.is_empty() {
            self.add(
                source,
                offset,
                key,
                "the list of servers is empty".to_string(),
            );
        }
        let mut seen = BTreeSet::new();
        for server in servers {
            if !self.lists.servers.contains_key(&server.value) {
                let message = format!("no server {}", server.value);
                self.add(source, server.offset, key, message);
            }
            if !seen.insert(&server.value) {
                let message = format!("server {} is listed twice", server.value);
                self.add(source, server.offset, key, message);
            }
        }
    }
}

/// Whether an assignment includes a model version and, if given, an adapter.
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

fn describe_model(entry: &ModelEntry) -> String {
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
