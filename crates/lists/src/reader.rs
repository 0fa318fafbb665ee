//! Reads the fields of TOML tables and keeps the place of each value.
//!
//! Deserializing with serde derives stops at the first problem. This reader walks the spanned
//! value tree of the `toml` library instead, so one check reports every problem of a part.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::str::FromStr;

use cuminlead_types::{Findings, SourceLocation};
use strum::VariantNames;
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};

/// Text of a part with its line starts.
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

    pub(crate) fn place(&self, mark: Mark) -> SourceLocation {
        let line = self.line_starts.partition_point(|start| *start <= mark.0);
        SourceLocation {
            file: self.name.to_string(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            key: String::new(),
        }
    }
}

/// Byte offset of a value in its source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mark(pub(crate) usize);

/// Value and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) mark: Mark,
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

    pub(crate) fn add(&mut self, mark: Mark, key: String, message: impl Into<String>) {
        let place = SourceLocation {
            key,
            ..self.source.place(mark)
        };
        self.findings.add(place, message);
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }
}

/// Parses a document; syntax errors are findings and the rest is still read.
pub(crate) fn parse_document<'i>(text: &'i str, report: &mut Report<'_>) -> Spanned<DeTable<'i>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let start = error.span().map_or(0, |span| span.start);
        report.add(Mark(start), String::new(), error.message());
    }
    table
}

/// Fields of one table; fields never asked for are findings.
pub(crate) struct Fields<'t, 'i> {
    table: &'t DeTable<'i>,
    path: &'static str,
    mark: Mark,
    known: Cell<Vec<&'static str>>,
}

impl<'t, 'i> Fields<'t, 'i> {
    /// Fields of `table`, which stands at `mark` and is called `path` in findings.
    pub(crate) fn new(table: &'t DeTable<'i>, path: &'static str, mark: Mark) -> Self {
        Self {
            table,
            path,
            mark,
            known: Cell::default(),
        }
    }

    pub(crate) fn mark(&self) -> Mark {
        self.mark
    }

    /// Name of a field in findings.
    pub(crate) fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn get(&self, name: &'static str) -> Option<&'t Spanned<DeValue<'i>>> {
        let mut known = self.known.take();
        known.push(name);
        self.known.set(known);
        self.table.get(name)
    }

    fn required(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        let found = self.get(name);
        if found.is_none() {
            report.add(self.mark, self.key(name), "missing");
        }
        found
    }

    /// Text that parses as `T`.
    pub(crate) fn text<T: FromStr<Err: std::fmt::Display>>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<Located<T>> {
        let value = self.required(name, report)?;
        parse_text(value, &self.key(name), report)
    }

    /// Text that parses as `T`, if the field is there.
    pub(crate) fn optional_text<T: FromStr<Err: std::fmt::Display>>(
        &self,
        name: &'static str,
        report: &mut Report<'_>,
    ) -> Option<Located<T>> {
        let value = self.get(name)?;
        parse_text(value, &self.key(name), report)
    }

    /// Text that names a variant of `T`.
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
            report.add(text.mark, self.key(name), message);
        }
        choice
    }

    /// Whole number within a range.
    pub(crate) fn number(
        &self,
        name: &'static str,
        range: RangeInclusive<u64>,
        report: &mut Report<'_>,
    ) -> Option<u64> {
        let value = self.required(name, report)?;
        let mark = Mark(value.span().start);
        let Some(number) = parse_number(value.get_ref()) else {
            let message = format!(
                "expected a whole number, found {}",
                kind_of(value.get_ref())
            );
            report.add(mark, self.key(name), message);
            return None;
        };
        if !range.contains(&number) {
            let message = format!(
                "{number} is out of range {} to {}",
                range.start(),
                range.end()
            );
            report.add(mark, self.key(name), message);
            return None;
        }
        Some(number)
    }

    /// `true` or `false`.
    pub(crate) fn flag(&self, name: &'static str, report: &mut Report<'_>) -> Option<bool> {
        let value = self.required(name, report)?;
        match value.get_ref() {
            DeValue::Boolean(flag) => Some(*flag),
            other => {
                let message = format!("expected true or false, found {}", kind_of(other));
                report.add(Mark(value.span().start), self.key(name), message);
                None
            }
        }
    }

    /// Array of texts that parse as `T`.
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

    /// Array of texts that may be left out when empty.
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

    /// Array of tables, empty when the field is missing.
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

    /// Reports the fields that were never asked for.
    pub(crate) fn finish(self, report: &mut Report<'_>) {
        let known: BTreeSet<&str> = self.known.take().into_iter().collect();
        for name in self.table.keys() {
            let name_text: &str = name.get_ref();
            if known.contains(name_text) {
                continue;
            }
            let mark = Mark(name.span().start);
            report.add(mark, self.key(name_text), unknown_key(name_text, &known));
        }
    }
}

/// Message on an unknown key; names the known key that differs only in its unit.
fn unknown_key(name: &str, known: &BTreeSet<&str>) -> String {
    let stem = name.rsplit_once('_').map_or(name, |(stem, _)| stem);
    let similar = known.iter().find(|candidate| {
        let candidate_stem = candidate.rsplit_once('_').map(|(stem, _)| stem);
        candidate_stem.is_some_and(|candidate| candidate == stem || candidate == name)
    });
    match similar {
        Some(similar) => format!("unknown key; the key with its unit is {similar}"),
        None => "unknown key".to_string(),
    }
}

fn parse_text<T: FromStr<Err: std::fmt::Display>>(
    value: &Spanned<DeValue<'_>>,
    key: &str,
    report: &mut Report<'_>,
) -> Option<Located<T>> {
    let mark = Mark(value.span().start);
    let DeValue::String(text) = value.get_ref() else {
        let message = format!("expected a text, found {}", kind_of(value.get_ref()));
        report.add(mark, key.to_string(), message);
        return None;
    };
    match text.parse() {
        Ok(value) => Some(Located { value, mark }),
        Err(error) => {
            report.add(mark, key.to_string(), error.to_string());
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
            let message = format!("expected an array, found {}", kind_of(other));
            report.add(Mark(value.span().start), key.to_string(), message);
            None
        }
    }
}

fn parse_table<'t, 'i>(
    value: &'t Spanned<DeValue<'i>>,
    path: &'static str,
    report: &mut Report<'_>,
) -> Option<Fields<'t, 'i>> {
    let mark = Mark(value.span().start);
    match value.get_ref() {
        DeValue::Table(table) => Some(Fields::new(table, path, mark)),
        other => {
            let message = format!("expected a table, found {}", kind_of(other));
            report.add(mark, path.to_string(), message);
            None
        }
    }
}

fn kind_of(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a number that does not fit",
        DeValue::Float(_) => "a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}
