//! The walk that checks a document against the rules.

use {
    super::{
        values::{check_name, check_value},
        KeyRule, ValueKind,
    },
    crate::check::{nearest, CheckError, CheckProblem, SourceLocation},
    indexmap::IndexMap,
    std::{ops::Range, path::Path},
    toml_edit::{Document, Item, Key, TableLike, Value},
};

/// A document of the right shape, in canonical form: sizes are integers in their base unit.
#[derive(Debug, Default)]
pub(crate) struct CheckedDocument {
    /// The values.
    pub(crate) table: toml::Table,
    /// The location of each dotted key. Items of lists are numbered from 0.
    pub(crate) locations: IndexMap<String, SourceLocation>,
}

/// Checks `text` against `rules`, the keys of its top-level table. Reports all errors.
pub(crate) fn check_document(
    file: &Path,
    text: &str,
    rules: &'static [KeyRule],
) -> Result<CheckedDocument, Vec<CheckError>> {
    let mut walk = DocumentWalk { file, text, locations: IndexMap::new(), errors: Vec::new() };
    let document = match Document::parse(text) {
        Ok(document) => document,
        Err(error) => {
            let detail = error.message().to_owned();
            walk.report(error.span(), "", CheckProblem::Syntax { detail });
            return Err(walk.errors);
        }
    };
    let table = walk.table(document.as_table(), None, "", rules);
    if walk.errors.is_empty() {
        Ok(CheckedDocument { table, locations: walk.locations })
    } else {
        Err(walk.errors)
    }
}

struct DocumentWalk<'a> {
    file: &'a Path,
    text: &'a str,
    locations: IndexMap<String, SourceLocation>,
    errors: Vec<CheckError>,
}

impl DocumentWalk<'_> {
    fn location(&self, span: Option<Range<usize>>, key: &str) -> SourceLocation {
        let offset = span.map_or(0, |span| span.start).min(self.text.len());
        let line = 1 + self.text.as_bytes()[..offset].iter().filter(|b| **b == b'\n').count();
        SourceLocation { file: self.file.to_owned(), line, key: key.to_owned() }
    }

    fn report(&mut self, span: Option<Range<usize>>, key: &str, problem: CheckProblem) {
        let location = self.location(span, key);
        self.errors.push(CheckError { location, problem });
    }

    fn table(
        &mut self,
        table: &dyn TableLike,
        span: Option<Range<usize>>,
        path: &str,
        rules: &'static [KeyRule],
    ) -> toml::Table {
        let mut checked = toml::Table::new();
        for (name, item) in table.iter() {
            let span = key_span(table, name);
            let path = join(path, name);
            let Some(rule) = rules.iter().find(|rule| rule.key == name) else {
                let allowed: Vec<_> = rules.iter().map(|rule| rule.key).collect();
                let nearest = nearest(name, allowed.iter().copied());
                self.report(span, &path, CheckProblem::UnknownKey { nearest, allowed });
                continue;
            };
            if let Some(value) = self.item(item, span, &path, rule.kind) {
                checked.insert(name.to_owned(), value);
            }
        }
        for rule in rules {
            if let (Some(expected), false) = (rule.required, table.contains_key(rule.key)) {
                let problem = CheckProblem::MissingKey { key: rule.key, expected };
                self.report(span.clone(), path, problem);
            }
        }
        checked
    }

    fn item(
        &mut self,
        item: &Item,
        span: Option<Range<usize>>,
        path: &str,
        kind: ValueKind,
    ) -> Option<toml::Value> {
        self.locations.insert(path.to_owned(), self.location(span.clone(), path));
        match kind {
            ValueKind::Table(rules) => match item.as_table_like() {
                Some(table) => Some(toml::Value::Table(self.table(table, span, path, rules))),
                None => self.mismatch(item, span, path, "a table".to_owned()),
            },
            ValueKind::ByName(rules) => match item.as_table_like() {
                Some(table) => Some(toml::Value::Table(self.by_name(table, path, rules))),
                None => self.mismatch(item, span, path, "a table".to_owned()),
            },
            ValueKind::List(inner) => self.list(item, span, path, *inner),
            _ => match item.as_value().map(|value| check_value(kind, value)) {
                Some(Ok(value)) => Some(value),
                Some(Err(mismatch)) => self.mismatch(item, span, path, mismatch.expected),
                None => self.mismatch(item, span, path, "a single value".to_owned()),
            },
        }
    }

    fn by_name(
        &mut self,
        table: &dyn TableLike,
        path: &str,
        rules: &'static [KeyRule],
    ) -> toml::Table {
        let mut checked = toml::Table::new();
        for (name, item) in table.iter() {
            let span = key_span(table, name);
            let path = join(path, name);
            if let Err(error) = check_name(name) {
                let expected = format!("a name ({error})");
                let problem = CheckProblem::BadValue { expected, found: format!("{name:?}") };
                self.report(span, &path, problem);
                continue;
            }
            if let Some(value) = self.item(item, span, &path, ValueKind::Table(rules)) {
                checked.insert(name.to_owned(), value);
            }
        }
        checked
    }

    fn list(
        &mut self,
        item: &Item,
        span: Option<Range<usize>>,
        path: &str,
        kind: ValueKind,
    ) -> Option<toml::Value> {
        let items: Vec<Item> = match item {
            Item::ArrayOfTables(tables) => tables.iter().cloned().map(Item::Table).collect(),
            Item::Value(Value::Array(values)) => values.iter().cloned().map(Item::Value).collect(),
            _ => return self.mismatch(item, span, path, "a list".to_owned()),
        };
        let mut checked = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let span = item.span().or(span.clone());
            let path = join(path, &index.to_string());
            checked.extend(self.item(item, span, &path, kind));
        }
        Some(toml::Value::Array(checked))
    }

    fn mismatch(
        &mut self,
        item: &Item,
        span: Option<Range<usize>>,
        path: &str,
        expected: String,
    ) -> Option<toml::Value> {
        let found = match item.as_value() {
            Some(value) => value.clone().decorated("", "").to_string(),
            None => format!("a {}", item.type_name()),
        };
        self.report(span, path, CheckProblem::BadValue { expected, found });
        None
    }
}

fn key_span(table: &dyn TableLike, name: &str) -> Option<Range<usize>> {
    table.get_key_value(name).and_then(|(key, item): (&Key, &Item)| key.span().or(item.span()))
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
