//! Reads the fields of TOML tables with the location of each value.
//!
//! Derived serde deserializers stop at the first error. This module walks the spanned value tree of
//! the `toml` crate instead, so that one check reports every error of a part.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::str::FromStr;

use cuminlead_types::{Findings, SourceLocation};
use strum::VariantNames;
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};

/// Name of a part and the byte offsets of its lines, for locations in findings.
pub(crate) struct Source<'a> {
    name: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> Source<'a> {
    pub(crate) fn new(name: &'a str, text: &str) -> Self {
        let following = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(following).collect();
        Self { name, line_starts }
    }

    pub(crate) fn location(&self, offset: ByteOffset) -> SourceLocation {
        let line = self.line_starts.partition_point(|start| *start <= offset.0);
        SourceLocation {
            file: self.name.to_string(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            key: String::new(),
        }
    }
}

/// Byte offset of a value in the text of its part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ByteOffset(pub(crate) usize);

/// Value with its offset.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) offset: ByteOffset,
}

/// Findings of one source.
pub(crate) struct Report<'a> {
    source: &'a Source<'a>,
    findings: Findings,
}

impl<'a> Report<'a> {
    pub(crate) fn new(source: &'a Source<'a>) -> Self {
        Self {
            source,
            findings: Findings::new(),
        }
    }

    pub(crate) fn add(&mut self, offset: ByteOffset, key: String, message: impl Into<String>) {
        let location = SourceLocation {
            key,
            ..self.source.location(offset)
        };
        self.findings.add(location, message);
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }
}

/// Parses a document. Syntax errors are reported as findings, and the rest of the text is still
/// read.
pub(crate) fn parse_document<'i>(text: &'i str, report: &mut Report<'_>) -> Spanned<DeTable<'i>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let start = error.span().map_or(0, |span| span.start);
        report.add(ByteOffset(start), String::new(), error.message());
    }
    table
}

/// Fields of one table. [`Fields::finish`] reports the keys that were not read.
pub(crate) struct Fields<'t, 'i> {
    table: &'t DeTable<'i>,
    path: &'static str,
    offset: ByteOffset,
    read_keys: Cell<Vec<&'static str>>,
}

impl<'t, 'i> Fields<'t, 'i> {
    /// `path` is the key of the table in findings.
    pub(crate) fn new(table: &'t DeTable<'i>, path: &'static str, offset: ByteOffset) -> Self {
        Self {
            table,
            path,
            offset,
            read_keys: Cell::default(),
        }
    }

    pub(crate) fn offset(&self) -> ByteOffset {
        self.offset
    }

    /// Key of a field in findings.
    pub(crate) fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn get(&self, name: &'static str) -> Option<&'t Spanned<DeValue<'i>>> {
        let mut read_keys = self.read_keys.take();
        read_keys.push(name);
        self.read_keys.set(read_keys);
        self.table.get(name)
    }

    fn required(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        let found = self.get(name);
        if found.is_none() {
            report.add(self.offset, self.key(name), "missing");
        }
        found
    }

    /// Required string, parsed as `T`.
    pub(crate) fn text<T: FromStr<Err: std::fmt::Display>>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<Located<T>> {
        let value = self.required(name, report)?;
        parse_text(value, &self.key(name), report)
    }

    /// Optional string, parsed as `T`; a missing field is no finding.
    pub(crate) fn optional_text<T: FromStr<Err: std::fmt::Display>>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<Located<T>> {
        let value = self.get(name)?;
        parse_text(value, &self.key(name), report)
    }

    /// Required string that is the name of a variant of `T`.
    pub(crate) fn choice<T: FromStr + VariantNames>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<T> {
        let text = self.text::<String>(name, report)?;
        let choice = text.value.parse().ok();
        if choice.is_none() {
            let names = T::VARIANTS.join(" or ");
            let message = format!("expected {names}, found {:?}", text.value);
            report.add(text.offset, self.key(name), message);
        }
        choice
    }

    /// Required integer within a range.
    pub(crate) fn number(
        &self,
        name: &'static str,
        range: RangeInclusive<u64>,
        report: &mut Report<'_>,
    ) -> Option<u64> {
        let value = self.required(name, report)?;
        let offset = ByteOffset(value.span().start);
        let Some(number) = parse_number(value.get_ref()) else {
            let message = format!("expected an integer, found {}", type_name(value.get_ref()));
            report.add(offset, self.key(name), message);
            return None;
        };
        if !range.contains(&number) {
            let message = format!(
                "{number} is out of range {} to {}",
                range.start(),
                range.end()
            );
            report.add(offset, self.key(name), message);
            return None;
        }
        Some(number)
    }

    /// Required boolean.
    pub(crate) fn flag(&self, name: &'static str, report: &mut Report<'_>) -> Option<bool> {
        let value = self.required(name, report)?;
        match value.get_ref() {
            DeValue::Boolean(flag) => Some(*flag),
            other => {
                let message = format!("expected true or false, found {}", type_name(other));
                report.add(ByteOffset(value.span().start), self.key(name), message);
                None
            }
        }
    }

    /// Required array of strings, each parsed as `T`.
    pub(crate) fn texts<T: FromStr<Err: std::fmt::Display>>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Vec<Located<T>> {
        let Some(value) = self.required(name, report) else {
            return Vec::new();
        };
        let key = self.key(name);
        let Some(items) = parse_array(value, &key, report) else {
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| parse_text(item, &key, report))
            .collect()
    }

    /// Optional array of strings, empty when the field is missing.
    pub(crate) fn optional_texts<T: FromStr<Err: std::fmt::Display>>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Vec<Located<T>> {
        if self.table.contains_key(name) {
            return self.texts(name, report);
        }
        self.get(name);
        Vec::new()
    }

    /// Optional array of tables, empty when the field is missing.
    pub(crate) fn tables(
        &self,
        name: &'static str,
        path: &'static str,
        report: &mut Report<'_>,
    ) -> Vec<Fields<'t, 'i>> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Some(items) = parse_array(value, path, report) else {
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| parse_table(item, path, report))
            .collect()
    }

    /// Reports the keys that were not read as unknown.
    pub(crate) fn finish(self, report: &mut Report<'_>) {
        let read_keys: BTreeSet<&str> = self.read_keys.take().into_iter().collect();
        for name in self.table.keys() {
            let name_text: &str = name.get_ref();
            if read_keys.contains(name_text) {
                continue;
            }
            let offset = ByteOffset(name.span().start);
            report.add(
                offset,
                self.key(name_text),
                unknown_key(name_text, &read_keys),
            );
        }
    }
}

/// Message about an unknown key; suggests the known key that differs only in its unit suffix.
fn unknown_key(name: &str, read_keys: &BTreeSet<&str>) -> String {
    let stem = name.rsplit_once('_').map_or(name, |(stem, _)| stem);
    let similar = read_keys.iter().find(|candidate| {
        let candidate_stem = candidate.rsplit_once('_').map(|(stem, _)| stem);
        candidate_stem.is_some_and(|candidate| candidate == stem || candidate == name)
    });
    match similar {
        Some(similar) => format!("unknown key; did you mean {similar}?"),
        None => "unknown key".to_string(),
    }
}

fn parse_text<T: FromStr<Err: std::fmt::Display>>(
    value: &Spanned<DeValue<'_>>,
    key: &str,
    report: &mut Report<'_>,
) -> Option<Located<T>> {
    let offset = ByteOffset(value.span().start);
    let DeValue::String(text) = value.get_ref() else {
        let message = format!("expected a string, found {}", type_name(value.get_ref()));
        report.add(offset, key.to_string(), message);
        return None;
    };
    match text.parse() {
        Ok(value) => Some(Located { value, offset }),
        Err(error) => {
            report.add(offset, key.to_string(), error.to_string());
            None
        }
    }
}

fn parse_number(value: &DeValue<'_>) -> Option<u64> {
    match value {
        DeValue::Integer(number) => u64::from_str_radix(number.as_str(), number.radix()).ok(),
        _ => None,
    }
}

fn parse_array<'t, 'i>(
    value: &'t Spanned<DeValue<'i>>,
    key: &str,
    report: &mut Report<'_>,
) -> Option<&'t DeArray<'i>> {
    match value.get_ref() {
        DeValue::Array(items) => Some(items),
        other => {
            let message = format!("expected an array, found {}", type_name(other));
            report.add(ByteOffset(value.span().start), key.to_string(), message);
            None
        }
    }
}

fn parse_table<'t, 'i>(
    value: &'t Spanned<DeValue<'i>>,
    path: &'static str,
    report: &mut Report<'_>,
) -> Option<Fields<'t, 'i>> {
    let offset = ByteOffset(value.span().start);
    match value.get_ref() {
        DeValue::Table(table) => Some(Fields::new(table, path, offset)),
        other => {
            let message = format!("expected a table, found {}", type_name(other));
            report.add(offset, path.to_string(), message);
            None
        }
    }
}

fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an unsupported integer",
        DeValue::Float(_) => "a float",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}
