//! From the files of a folder to checked declarations.

use {
    super::{ExceptionDeclaration, ExceptionSelector, FleetDeclaration},
    crate::{
        check::{nearest, CheckError, CheckProblem, TextPlace},
        schema::{check_document, read_checked, CheckedDocument, DECLARATION_FILE},
    },
    base::RevisionNumber,
    indexmap::IndexMap,
    serde::de::DeserializeOwned,
    std::path::Path,
};

/// The fewest words that make a reason.
const REASON_WORDS: usize = 3;

impl FleetDeclaration {
    /// Reads and checks all files of a folder, given as path and text. Reports every error.
    pub fn parse<'a>(
        revision: RevisionNumber,
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, Vec<CheckError>> {
        let mut loader = FolderLoader::default();
        loader.fleet.revision = revision;
        for (path, text) in files {
            match check_document(Path::new(path), text, DECLARATION_FILE) {
                Ok(document) => loader.absorb(document),
                Err(errors) => loader.errors.extend(errors),
            }
        }
        if loader.errors.is_empty() {
            loader.check_names();
            loader.check_exceptions();
        }
        loader.errors.sort_by(|left, right| left.place.cmp(&right.place));
        if loader.errors.is_empty() {
            Ok(loader.fleet)
        } else {
            Err(loader.errors)
        }
    }
}

#[derive(Default)]
struct FolderLoader {
    fleet: FleetDeclaration,
    /// Where each default, service, team and exception is declared.
    places: IndexMap<String, TextPlace>,
    errors: Vec<CheckError>,
}

impl FolderLoader {
    fn absorb(&mut self, mut document: CheckedDocument) {
        if let Some(toml::Value::Table(defaults)) = document.table.remove("defaults") {
            self.absorb_defaults(&defaults, &document.places);
        }
        let services = self.named(&mut document, "services");
        self.fleet.services.extend(services);
        let teams = self.named(&mut document, "teams");
        self.fleet.teams.extend(teams);
        let exceptions: Vec<ExceptionDeclaration> =
            document.table.remove("exceptions").map(read_checked).unwrap_or_default();
        for (index, exception) in exceptions.into_iter().enumerate() {
            let place = &document.places[&format!("exceptions.{index}")];
            if self.claim(format!("exceptions.{}", exception.name), place) {
                self.fleet.exceptions.push(exception);
            }
        }
    }

    fn absorb_defaults(&mut self, table: &toml::Table, places: &IndexMap<String, TextPlace>) {
        for key in super::resolve::leaf_keys(table) {
            let path = format!("defaults.{key}");
            let place = places[&path].clone();
            self.claim(path, &place);
        }
        super::resolve::merge(&mut self.fleet.defaults, table);
    }

    fn named<K, V>(&mut self, document: &mut CheckedDocument, section: &str) -> IndexMap<K, V>
    where
        K: DeserializeOwned + std::hash::Hash + Eq + ToString,
        V: DeserializeOwned,
    {
        let Some(table) = document.table.remove(section) else { return IndexMap::new() };
        let entries: IndexMap<K, V> = read_checked(table);
        for name in entries.keys() {
            let path = format!("{section}.{}", name.to_string());
            let place = document.places[&path].clone();
            self.claim(path, &place);
        }
        entries
    }

    /// Notes where something is declared; reports it when that has been done before.
    fn claim(&mut self, path: String, place: &TextPlace) -> bool {
        if let Some(first) = self.places.get(&path) {
            let problem = CheckProblem::DeclaredTwice { first: first.clone() };
            self.errors.push(CheckError { place: place.clone(), problem });
            return false;
        }
        self.places.insert(path, place.clone());
        true
    }

    fn check_names(&mut self) {
        let teams: Vec<String> = self.fleet.teams.keys().map(ToString::to_string).collect();
        let services: Vec<String> = self.fleet.services.keys().map(ToString::to_string).collect();
        let mut unknown = Vec::new();
        for (name, service) in &self.fleet.services {
            unknown.extend(
                missing("team", service.team.as_str(), &teams)
                    .map(|problem| (format!("services.{name}"), problem)),
            );
        }
        for exception in &self.fleet.exceptions {
            let path = format!("exceptions.{}", exception.name);
            let selector = &exception.selector;
            let team = selector.team.as_ref().map(|team| team.as_str());
            let service = selector.service.as_ref().map(|service| service.as_str());
            let problems = [
                team.and_then(|team| missing("team", team, &teams)),
                service.and_then(|service| missing("service", service, &services)),
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
            if exception.reason.split_whitespace().count() < REASON_WORDS {
                problems.push((path.clone(), CheckProblem::NoReason));
            }
            for other in &self.fleet.exceptions[..index] {
                let Some(value) = clash(exception, other) else { continue };
                let place = self.places[&format!("exceptions.{}", other.name)].clone();
                let other = other.name.clone();
                problems.push((path.clone(), CheckProblem::Conflict { value, other, place }));
            }
        }
        for (path, problem) in problems {
            self.report(&path, problem);
        }
    }

    fn report(&mut self, path: &str, problem: CheckProblem) {
        let place = self.places[path].clone();
        self.errors.push(CheckError { place, problem });
    }
}

fn missing(kind: &'static str, name: &str, declared: &[String]) -> Option<CheckProblem> {
    if declared.iter().any(|other| other == name) {
        return None;
    }
    let nearest = nearest(name, declared.iter().map(String::as_str));
    Some(CheckProblem::UnknownName { kind, name: name.to_owned(), nearest })
}

/// A key that both exceptions set for a subject that both can match, when neither is the more
/// specific.
fn clash(left: &ExceptionDeclaration, right: &ExceptionDeclaration) -> Option<String> {
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
