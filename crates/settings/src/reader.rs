//! Reads a settings file key by key and collects findings with their lines.

use cuminlead_types::{Findings, SourceLocation};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::key::{Key, Presence};
use crate::value::Setting;

/// Parsed settings file and the findings about it so far.
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    table: Spanned<DeTable<'a>>,
    findings: Findings,
}

impl<'a> Reader<'a> {
    /// Parses `text`; syntax errors and keys that are not in `keys` become findings.
    pub(crate) fn new(file: &'a str, text: &'a str, keys: &[Key]) -> Self {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut reader = Self {
            file,
            text,
            table,
            findings: Findings::new(),
        };
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            reader.add_at_offset(offset, "", error.message());
        }
        reader.check_unknown(keys);
        reader
    }

    fn check_unknown(&mut self, keys: &[Key]) {
        let mut unknown = Vec::new();
        for name in self.table.get_ref().keys() {
            if keys.iter().all(|key| key.name != name.get_ref()) {
                unknown.push(name.clone());
            }
        }
        for name in unknown {
            self.add_at_offset(name.span().start, name.get_ref(), "unknown key");
        }
    }

    fn add_at_offset(&mut self, offset: usize, key: &str, message: impl Into<String>) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = 1 + before.matches('\n').count();
        let location = SourceLocation {
            file: self.file.to_string(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            key: key.to_string(),
        };
        self.findings.add(location, message);
    }

    /// Adds a finding at the line of a key, or about the file if the key is not set.
    pub(crate) fn add(&mut self, key: &str, message: impl Into<String>) {
        let value = self.table.get_ref().get(key);
        if let Some(offset) = value.map(|value| value.span().start) {
            self.add_at_offset(offset, key, message);
            return;
        }
        let location = SourceLocation {
            file: self.file.to_string(),
            line: 0,
            key: key.to_string(),
        };
        self.findings.add(location, message);
    }

    /// Returns the value of a key or its default; `None` if it is missing or invalid, with a
    /// finding.
    pub(crate) fn read<T: Setting>(&mut self, key: &Key) -> Option<T> {
        let value = self.table.get_ref().get(key.name);
        let read = match value {
            Some(value) => T::read(value.get_ref(), key.range),
            None => match key.presence {
                Presence::Default(text) => T::read(&parse_default(text), key.range),
                Presence::Required(_) | Presence::Optional(_) => return self.read_absent(key),
            },
        };
        match read {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(key.name, error.to_string());
                None
            }
        }
    }

    fn read_absent<T: Setting>(&mut self, key: &Key) -> Option<T> {
        let absent = T::absent();
        if absent.is_none() {
            self.add(key.name, "missing");
        }
        absent
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }
}

/// Parses a default. Text that is not a TOML value becomes an empty string, which all types except
/// `ZoneRegions` reject.
fn parse_default(text: &'static str) -> DeValue<'static> {
    let parsed = DeValue::parse(text).ok();
    parsed.map_or_else(|| DeValue::String("".into()), Spanned::into_inner)
}
