//! Parses one part into entries with their offsets. `check` validates references between entries.

use cuminlead_types::{
    AdapterName, BackendServerId, CustomerId, DurationUs, Findings, ModelName, PlanName, Priority,
    RequestsPerSecond, Revision, ServiceName, VersionName,
};
use strum::{EnumString, VariantNames};

use crate::lists::{
    AssignedRole, Customer, EngineAssignment, ModelVersion, Plan, Server, ServerAssignment,
    ServiceRoute,
};
use crate::part::PartKind;
use crate::toml_reader::{ByteOffset, Fields, Located, Report, Source, parse_document};

/// Version of the format of parts, in the required field `schema`.
pub const SCHEMA: u64 = 1;
/// Highest priority of an allowance; ten levels leave room between any two levels in use.
pub const PRIORITY_MAX: u64 = 9;
/// Highest rate and burst of one customer, above the total load of the design scale.
const REQUESTS_MAX: u64 = 1_000_000;
/// Longest latency target; equals the longest time that one request may take.
const TARGET_MAX_MS: u64 = 100_000;
/// Largest fair-share weight of a plan.
const WEIGHT_MAX: u64 = 1_000;
/// Length of a SHA-256 digest.
const KEY_BYTES: usize = 32;

/// Which entries a document may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentKind {
    /// One published part.
    Part(PartKind),
    /// Text form of lists: all entries and the revision.
    Full,
}

impl DocumentKind {
    fn includes(self, kind: PartKind) -> bool {
        self == Self::Full || self == Self::Part(kind)
    }
}

/// Entries of one document that were parsed without findings.
#[derive(Default)]
pub(crate) struct Document {
    pub(crate) revision: Revision,
    pub(crate) plans: Vec<Located<Plan>>,
    pub(crate) customers: Vec<CustomerEntry>,
    pub(crate) servers: Vec<Located<Server>>,
    pub(crate) routes: Vec<Located<ServiceRoute>>,
    pub(crate) allowances: Vec<AllowanceEntry>,
}

pub(crate) struct CustomerEntry {
    pub(crate) customer: Customer,
    pub(crate) offset: ByteOffset,
    pub(crate) plan_offset: ByteOffset,
}

pub(crate) struct AllowanceEntry {
    pub(crate) plan: Located<PlanName>,
    pub(crate) models: Vec<ModelEntry>,
    pub(crate) services: Vec<ServiceEntry>,
}

pub(crate) struct ModelEntry {
    pub(crate) offset: ByteOffset,
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) priority: Priority,
    pub(crate) servers: Vec<Located<BackendServerId>>,
}

pub(crate) struct ServiceEntry {
    pub(crate) offset: ByteOffset,
    pub(crate) service: ServiceName,
    pub(crate) servers: Vec<Located<BackendServerId>>,
}

/// Parses a document; entries that have findings are omitted.
pub(crate) fn parse(kind: DocumentKind, source: &Source<'_>, text: &str) -> Parsed {
    let mut report = Report::new(source);
    let tree = parse_document(text, &mut report);
    let fields = Fields::new(tree.get_ref(), "", ByteOffset(0));
    let mut document = Document::default();
    fields.number("schema", SCHEMA..=SCHEMA, &mut report);
    if kind == DocumentKind::Full {
        let revision = fields.number("revision", 0..=u64::MAX, &mut report);
        document.revision = Revision(revision.unwrap_or(0));
    }
    if kind.includes(PartKind::Plans) {
        document.plans = read_all(&fields, "plan", "plan", read_plan, &mut report);
        document.customers = read_all(&fields, "customer", "customer", read_customer, &mut report);
    }
    if kind.includes(PartKind::Allowances) {
        document.servers = read_all(&fields, "server", "server", read_server, &mut report);
        document.routes = read_all(&fields, "route", "route", read_route, &mut report);
        document.allowances = read_all(
            &fields,
            "allowance",
            "allowance",
            read_allowance,
            &mut report,
        );
    }
    fields.finish(&mut report);
    Parsed {
        document,
        findings: report.into_findings(),
    }
}

/// Result of parsing one document.
pub(crate) struct Parsed {
    pub(crate) document: Document,
    pub(crate) findings: Findings,
}

fn read_all<T>(
    fields: &Fields<'_, '_>,
    name: &'static str,
    path: &'static str,
    read: fn(&Fields<'_, '_>, &mut Report<'_>) -> Option<T>,
    report: &mut Report<'_>,
) -> Vec<T> {
    let mut entries = Vec::new();
    for table in fields.tables(name, path, report) {
        entries.extend(read(&table, report));
        table.finish(report);
    }
    entries
}

fn read_plan(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<Located<Plan>> {
    let name = fields.text("name", report);
    let rate = read_u32(fields, "requests_per_second", 1..=REQUESTS_MAX, report);
    let burst = read_u32(fields, "burst_requests", 0..=REQUESTS_MAX, report);
    let first_token_ms = fields.number("first_token_ms", 1..=TARGET_MAX_MS, report);
    let between_tokens_ms = fields.number("between_tokens_ms", 1..=TARGET_MAX_MS, report);
    let weight = read_u32(fields, "weight", 1..=WEIGHT_MAX, report);
    let name: Located<PlanName> = name?;
    let plan = Plan {
        name: name.value,
        rate: RequestsPerSecond(rate?),
        burst_requests: burst?,
        first_token_us: DurationUs::from_ms(first_token_ms?),
        between_tokens_us: DurationUs::from_ms(between_tokens_ms?),
        weight: weight?,
    };
    Some(Located {
        value: plan,
        offset: name.offset,
    })
}

fn read_u32(
    fields: &Fields<'_, '_>,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    report: &mut Report<'_>,
) -> Option<u32> {
    let number = fields.number(name, range, report)?;
    u32::try_from(number).ok()
}

fn read_customer(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<CustomerEntry> {
    let id = fields.text::<CustomerId>("id", report);
    let plan = fields.text::<PlanName>("plan", report);
    let key = fields.text::<KeyDigest>("key_sha256", report);
    let id = id?;
    let plan = plan?;
    let customer = Customer {
        id: id.value,
        plan: plan.value,
        key_sha256: key?.value.0,
    };
    Some(CustomerEntry {
        customer,
        offset: id.offset,
        plan_offset: plan.offset,
    })
}

/// SHA-256 digest, written as 64 hex digits of either case.
struct KeyDigest([u8; KEY_BYTES]);

/// The text is not a SHA-256 digest in hex.
#[derive(Debug)]
struct KeyDigestError;

impl std::fmt::Display for KeyDigestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "expected {} hex digits", 2 * KEY_BYTES)
    }
}

impl std::str::FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * KEY_BYTES {
            return Err(KeyDigestError);
        }
        let mut digest = [0; KEY_BYTES];
        for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = 16 * hex_value(pair[0])? + hex_value(pair[1])?;
        }
        Ok(Self(digest))
    }
}

fn hex_value(digit: u8) -> Result<u8, KeyDigestError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        b'A'..=b'F' => Ok(digit - b'A' + 10),
        _ => Err(KeyDigestError),
    }
}

/// Field `kind` of a server entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ServerKind {
    Engine,
    Service,
}

fn read_server(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<Located<Server>> {
    let id = fields.text::<BackendServerId>("id", report);
    let kind = fields.choice::<ServerKind>("kind", report);
    let assignment = match kind? {
        ServerKind::Engine => read_engine(fields, report).map(ServerAssignment::Engine),
        ServerKind::Service => {
            let service = fields.text("service", report);
            service.map(|service| ServerAssignment::Service(service.value))
        }
    };
    let id = id?;
    Some(Located {
        offset: id.offset,
        value: Server {
            id: id.value,
            assignment: assignment?,
        },
    })
}

fn read_engine(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<EngineAssignment> {
    let role = fields.choice::<AssignedRole>("role", report);
    let mut models = read_all(
        fields,
        "models",
        "server.models",
        read_model_version,
        report,
    );
    // Frees the spare capacity, since the lists retain thousands of engines with one or two models
    // each.
    models.shrink_to_fit();
    let adapters = fields.optional_texts::<AdapterName>("adapters", report);
    let fenced = fields.flag("fenced", report);
    Some(EngineAssignment {
        role: role?,
        models,
        adapters: adapters.into_iter().map(|adapter| adapter.value).collect(),
        fenced: fenced?,
    })
}

fn read_model_version(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<ModelVersion> {
    let model = fields.text("model", report);
    let version = fields.text("version", report);
    Some(ModelVersion {
        model: model?.value,
        version: version?.value,
    })
}

fn read_route(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<Located<ServiceRoute>> {
    let service = fields.text::<ServiceName>("service", report);
    let method = fields.text::<String>("method", report);
    let path_prefix = fields.text::<String>("path_prefix", report);
    let idempotent = fields.flag("idempotent", report);
    let method = method.filter(|method| check_method(method, report));
    let path_prefix = path_prefix.filter(|prefix| check_path_prefix(prefix, report));
    let service = service?;
    let route = ServiceRoute {
        service: service.value,
        method: method?.value,
        path_prefix: path_prefix?.value,
        idempotent: idempotent?,
    };
    Some(Located {
        value: route,
        offset: service.offset,
    })
}

fn check_method(method: &Located<String>, report: &mut Report<'_>) -> bool {
    let is_valid = !method.value.is_empty() && method.value.chars().all(|c| c.is_ascii_uppercase());
    if !is_valid {
        let message = "expected an HTTP method in capital letters";
        report.add(method.offset, "route.method".to_string(), message);
    }
    is_valid
}

fn check_path_prefix(prefix: &Located<String>, report: &mut Report<'_>) -> bool {
    let is_valid = prefix.value.starts_with('/');
    if !is_valid {
        let message = "expected a path that starts with /";
        report.add(prefix.offset, "route.path_prefix".to_string(), message);
    }
    is_valid
}

fn read_allowance(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<AllowanceEntry> {
    let plan = fields.text("plan", report);
    let models = read_all(fields, "model", "allowance.model", read_model, report);
    let services = read_all(fields, "service", "allowance.service", read_service, report);
    Some(AllowanceEntry {
        plan: plan?,
        models,
        services,
    })
}

fn read_model(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<ModelEntry> {
    let model = fields.text("model", report);
    let version = fields.text("version", report);
    let adapter = fields.optional_text("adapter", report);
    let priority = fields.number("priority", 0..=PRIORITY_MAX, report);
    let servers = fields.texts("servers", report);
    Some(ModelEntry {
        offset: fields.offset(),
        model: model?.value,
        version: version?.value,
        adapter: adapter.map(|adapter| adapter.value),
        priority: Priority(u8::try_from(priority?).ok()?),
        servers,
    })
}

fn read_service(fields: &Fields<'_, '_>, report: &mut Report<'_>) -> Option<ServiceEntry> {
    let service = fields.text("service", report);
    let servers = fields.texts("servers", report);
    Some(ServiceEntry {
        offset: fields.offset(),
        service: service?.value,
        servers,
    })
}
