//! Parses and checks the files of a declaration folder.

use {
    super::{ExceptionDeclaration, ExceptionSelector, FleetDeclaration},
    crate::{
        check::{nearest, CheckError, CheckProblem, SourceLocation},
        schema::{check_document, read_checked, CheckedDocument, DECLARATION_FILE},
    },
    base::RevisionNumber,
    indexmap::IndexMap,
    serde::de::DeserializeOwned,
    std::path::Path,
};

/// The minimum number of words in a reason.
const MIN_REASON_WORDS: usize = 3;

impl FleetDeclaration {
    /// Parses and checks all files of a folder, given as pairs of path and text. Reports all
    /// errors.
    pub fn parse<'a>(
        revision: RevisionNumber,
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, Vec<CheckError>> {
        let mut loader = DeclarationLoader::default();
        loader.fleet.revision = revision;
        for (path, text) in files {
            match check_document(Path::new(path), text, DECLARATION_FILE) {
                Ok(document) => loader.add_document(document),
                Err(errors) => loader.errors.extend(errors),
            }
        }
        if loader.errors.is_empty() {
            loader.check_names();
            loader.check_exceptions();
        }
        loader.errors.sort_by(|left, right| left.location.cmp(&right.location));
        if loader.errors.is_empty() {
            Ok(loader.fleet)
        } else {
            Err(loader.errors)
        }
    }
}

#[derive(Default)]
struct DeclarationLoader {
    fleet: FleetDeclaration,
    /// The location at which each default, service, team and exception is declared.
    locations: IndexMap<String, SourceLocation>,
    errors: Vec<CheckError>,
}

impl DeclarationLoader {
    fn add_document(&mut self, mut document: CheckedDocument) {
        if let Some(toml::Value::Table(defaults)) = document.table.remove("defaults") {
            self.add_defaults(&defaults, &document.locations);
        }
        let services = self.take_section(&mut document, "services");
        self.fleet.services.extend(services);
        let teams = self.take_section(&mut document, "teams");
        self.fleet.teams.extend(teams);
        let exceptions: Vec<ExceptionDeclaration> =
            document.table.remove("exceptions").map(read_checked).unwrap_or_default();
        for (index, exception) in exceptions.into_iter().enumerate() {
            let location = &document.locations[&format!("exceptions.{index}")];
            if self.declare(format!("exceptions.{}", exception.name), location) {
                self.fleet.exceptions.push(exception);
            }
        }
    }

    fn add_defaults(&mut self, table: &toml::Table, locations: &IndexMap<String, SourceLocation>) {
        for key in super::resolve::leaf_keys(table) {
            let path = format!("defaults.{key}");
            let location = locations[&path].clone();
            self.declare(path, &location);
        }
        super::resolve::merge(&mut self.fleet.defaults, table);
    }

    fn take_section<K, V>(
        &mut self,
        document: &mut CheckedDocument,
        section: &str,
    ) -> IndexMap<K, V>
    where
        K: DeserializeOwned + std::hash::Hash + Eq + ToString,
        V: DeserializeOwned,
    {
        let Some(table) = document.table.remove(section) else { return IndexMap::new() };
        let entries: IndexMap<K, V> = read_checked(table);
        for name in entries.keys() {
            let path = format!("{section}.{}", name.to_string());
            let location = document.locations[&path].clone();
            self.declare(path, &location);
        }
        entries
    }

    /// Records where `path` is declared. Reports an error and returns false if `path` is already
    /// declared.
    fn declare(&mut self, path: String, location: &SourceLocation) -> bool {
        if let Some(first) = self.locations.get(&path) {
            let problem = CheckProblem::DeclaredTwice { first: first.clone() };
            self.errors.push(CheckError { location: location.clone(), problem });
            return false;
        }
        self.locations.insert(path, location.clone());
        true
    }

    fn check_names(&mut self) {
        let teams: Vec<String> = self.fleet.teams.keys().map(ToString::to_string).collect();
        let services: Vec<String> = self.fleet.services.keys().map(ToString::to_string).collect();
        let mut unknown = Vec::new();
        for (name, service) in &self.fleet.services {
            unknown.extend(
                undeclared("team", service.team.as_str(), &teams)
                    .map(|problem| (format!("services.{name}"), problem)),
            );
        }
        for exception in &self.fleet.exceptions {
            let path = format!("exceptions.{}", exception.name);
            let selector = &exception.selector;
            let team = selector.team.as_ref().map(|team| team.as_str());
            let service = selector.service.as_ref().map(|service| service.as_str());
            let problems = [
                team.and_then(|team| undeclared("team", team, &teams)),
                service.and_then(|service| undeclared("service", service, &services)),
            ];
            unknown.extend(problems.into_iter().flatten().map(|problem| (path.clone(), problem)));
        }
        for (path, problem) in unknown {
            self.report(&path, problem);
        }
    }

    fn check_exceptions(&mut self) {
        let mut problems = Vec::new();
        for (index, exception) in self.fleet.exceptions.iter().enumerate() {
            let path = format!("exceptions.{}", exception.name);
            if exception.selector == ExceptionSelector::default() {
                problems.push((path.clone(), CheckProblem::EmptySelector));
            }
            if exception.reason.split_whitespace().count() < MIN_REASON_WORDS {
                problems.push((path.clone(), CheckProblem::NoReason));
            }
            for other in &self.fleet.exceptions[..index] {
                let Some(value) = conflicting_key(exception, other) else { continue };
                let location = self.locations[&format!("exceptions.{}", other.name)].clone();
                let other = other.name.clone();
                problems.push((path.clone(), CheckProblem::Conflict { value, other, location }));
            }
        }
        for (path, problem) in problems {
            self.report(&path, problem);
        }
    }

    fn report(&mut self, path: &str, problem: CheckProblem) {
        let location = self.locations[path].clone();
        self.errors.push(CheckError { location, problem });
    }
}

fn undeclared(kind: &'static str, name: &str, declared: &[String]) -> Option<CheckProblem> {
    if declared.iter().any(|other| other == name) {
        return None;
    }
    let nearest = nearest(name, declared.iter().map(String::as_str));
    Some(CheckProblem::UnknownName { kind, name: name.to_owned(), nearest })
}

/// Returns a key that both exceptions set, if some subject matches both and neither exception is
/// more specific.
fn conflicting_key(left: &ExceptionDeclaration, right: &ExceptionDeclaration) -> Option<String> {
    if !left.selector.overlaps(&right.selector) {
        return None;
    }
    let refines = left.selector.refines(&right.selector);
    let refined = right.selector.refines(&left.selector);
    if refines != refined {
        return None;
    }
    let keys = super::resolve::leaf_keys(&left.values);
    let others = super::resolve::leaf_keys(&right.values);
    keys.into_iter().find(|key| others.contains(key))
}
