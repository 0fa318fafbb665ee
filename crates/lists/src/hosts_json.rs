//! JSON form of the host list and its deltas.
//!
//! Unknown fields are ignored, because the platform may add fields at any time, and refusing the
//! list would keep a draining host in use. All known fields are checked.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use cuminlead_types::{Findings, HostId, Revision, SourceLocation};
use serde_json::{Map, Value, json};
use strum::VariantNames;

use crate::host_store::HostDelta;
use crate::hosts::{HostEntry, HostList, HostState, ProcessKind};

/// File name of the host list in findings.
const FILE: &str = "hosts";

impl FromStr for HostList {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut findings = Findings::new();
        let document = read_document(text, &mut findings);
        let list = document.and_then(|document| read_list(&document, &mut findings));
        findings.into_result(list.unwrap_or_default())
    }
}

/// A full delta has the JSON form of a host list; other deltas also have `since` and `removed`.
impl FromStr for HostDelta {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut findings = Findings::new();
        let document = read_document(text, &mut findings);
        let delta = document.and_then(|document| read_delta(&document, &mut findings));
        findings.into_result(delta.unwrap_or_default())
    }
}

impl fmt::Display for HostDelta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{{\"revision\":{},", self.revision)?;
        if !self.is_full {
            let removed: Vec<&str> = self.removed.iter().map(HostId::as_str).collect();
            write!(f, "\"since\":{},", self.from_revision)?;
            write!(f, "\"removed\":{},", json!(removed))?;
        }
        write_hosts(f, &self.hosts)
    }
}

impl fmt::Display for HostList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{{\"revision\":{},", self.revision)?;
        write_hosts(f, &self.hosts)
    }
}

fn write_hosts(f: &mut fmt::Formatter<'_>, hosts: &[HostEntry]) -> fmt::Result {
    write!(f, "\"hosts\":[")?;
    for (index, entry) in hosts.iter().enumerate() {
        let separator = if index == 0 { "\n" } else { ",\n" };
        write!(f, "{separator}{}", entry_json(entry))?;
    }
    writeln!(f, "\n]}}")
}

fn read_document(text: &str, findings: &mut Findings) -> Option<Value> {
    match serde_json::from_str(text) {
        Ok(document) => Some(document),
        Err(error) => {
            findings.add(syntax_location(&error), error.to_string());
            None
        }
    }
}

fn read_delta(document: &Value, findings: &mut Findings) -> Option<HostDelta> {
    let list = read_list(document, findings)?;
    let since = document.get("since");
    if since.is_some_and(|since| !since.is_u64()) {
        add(findings, "since".to_string(), "expected an integer");
    }
    let removed = document.get("removed").and_then(Value::as_array);
    let mut hosts = Vec::new();
    for item in removed.into_iter().flatten() {
        match item.as_str().and_then(|text| text.parse().ok()) {
            Some(host) => hosts.push(host),
            None => add(findings, "removed".to_string(), "expected host names"),
        }
    }
    Some(HostDelta {
        from_revision: Revision(since.and_then(Value::as_u64).unwrap_or(0)),
        revision: list.revision,
        is_full: since.is_none(),
        hosts: list.hosts,
        removed: hosts,
    })
}

fn entry_json(entry: &HostEntry) -> Value {
    let mut object = json!({
        "host": entry.host.as_str(),
        "region": entry.region.as_str(),
        "availability_zone": entry.zone.as_str(),
        "state": entry.state.to_string(),
        "process": entry.process.to_string(),
        "address": entry.address,
    });
    if let Some(server) = &entry.server {
        object["server"] = json!(server.as_str());
    }
    object
}

fn syntax_location(error: &serde_json::Error) -> SourceLocation {
    SourceLocation {
        file: FILE.to_string(),
        line: u32::try_from(error.line()).unwrap_or(u32::MAX),
        key: String::new(),
    }
}

fn add(findings: &mut Findings, key: String, message: impl Into<String>) {
    let file = FILE.to_string();
    findings.add(SourceLocation { file, line: 0, key }, message);
}

fn read_list(document: &Value, findings: &mut Findings) -> Option<HostList> {
    let revision = document.get("revision").and_then(Value::as_u64);
    if revision.is_none() {
        add(findings, "revision".to_string(), "expected an integer");
    }
    let Some(items) = document.get("hosts").and_then(Value::as_array) else {
        add(findings, "hosts".to_string(), "expected an array");
        return None;
    };
    let mut hosts = Vec::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        hosts.extend(read_entry(index, item, findings));
    }
    check_duplicates(&hosts, findings);
    Some(HostList {
        revision: Revision(revision?),
        hosts,
    })
}

fn read_entry(index: usize, item: &Value, findings: &mut Findings) -> Option<HostEntry> {
    let path = format!("hosts[{index}]");
    let Some(object) = item.as_object() else {
        add(findings, path, "expected an object");
        return None;
    };
    let mut fields = Fields {
        object,
        path,
        findings,
    };
    let host = fields.required("host");
    let region = fields.required("region");
    let zone = fields.required("availability_zone");
    let state = fields.choice::<HostState>("state");
    let process = fields.choice::<ProcessKind>("process");
    let address = fields.required::<SocketAddr>("address");
    let server = fields.optional("server");
    fields.check_server(process, server.is_some());
    Some(HostEntry {
        host: host?,
        region: region?,
        zone: zone?,
        state: state?,
        process: process?,
        address: address?.to_string(),
        server,
    })
}

/// Reads the fields of one host; `path` is the key of the host in findings.
struct Fields<'a> {
    object: &'a Map<String, Value>,
    path: String,
    findings: &'a mut Findings,
}

impl Fields<'_> {
    fn add(&mut self, name: &str, message: impl Into<String>) {
        add(self.findings, format!("{}.{name}", self.path), message);
    }

    fn required<T: FromStr<Err: fmt::Display>>(&mut self, name: &str) -> Option<T> {
        if self.object.get(name).is_none_or(Value::is_null) {
            self.add(name, "missing");
            return None;
        }
        self.optional(name)
    }

    fn optional<T: FromStr<Err: fmt::Display>>(&mut self, name: &str) -> Option<T> {
        let value = self.object.get(name).filter(|value| !value.is_null())?;
        let Some(text) = value.as_str() else {
            self.add(name, "expected a string");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(name, error.to_string());
                None
            }
        }
    }

    fn choice<T: FromStr + VariantNames>(&mut self, name: &str) -> Option<T> {
        let text: String = self.required(name)?;
        let choice = text.parse().ok();
        if choice.is_none() {
            let names = T::VARIANTS.join(" or ");
            self.add(name, format!("expected {names}, found {text:?}"));
        }
        choice
    }

    fn check_server(&mut self, process: Option<ProcessKind>, has_server: bool) {
        match process {
            Some(ProcessKind::Agent) if !has_server => self.add("server", "missing"),
            Some(ProcessKind::Entry) if has_server => {
                self.add("server", "an entry has no backend server");
            }
            _ => {}
        }
    }
}

/// Checks that host names are unique and that each server has at most one live host. A server may
/// be listed for a leaving host and for its replacement.
fn check_duplicates(hosts: &[HostEntry], findings: &mut Findings) {
    let mut names = BTreeSet::new();
    let mut servers = BTreeSet::new();
    for entry in hosts {
        if !names.insert(&entry.host) {
            let message = format!("host {} is listed twice", entry.host);
            add(findings, "hosts".to_string(), message);
        }
        let Some(server) = &entry.server else {
            continue;
        };
        if entry.state == HostState::Live && !servers.insert(server) {
            let message = format!("server {server} is listed for two live hosts");
            add(findings, "hosts".to_string(), message);
        }
    }
}
