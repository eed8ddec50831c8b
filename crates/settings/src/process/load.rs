//! Parses and checks settings files.

use {
    super::{DaemonSettings, LogSettings, ProcessSettings},
    crate::{
        check::{CheckError, CheckProblem, SourceLocation},
        schema::{check_document, read_checked, SETTINGS_FILE},
    },
    std::path::Path,
};

const ROLES: [&str; 4] = ["control", "entry", "agent", "stand-in"];

impl DaemonSettings {
    /// Parses and checks the text of a settings file. Reports all errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Vec<CheckError>> {
        let mut table = check_document(file, text, SETTINGS_FILE)?.table;
        let found: Vec<_> = ROLES.into_iter().filter(|role| table.contains_key(*role)).collect();
        let [role] = found[..] else {
            let location = SourceLocation { file: file.to_owned(), line: 1, key: String::new() };
            return Err(vec![CheckError { location, problem: CheckProblem::NotOneRole { found } }]);
        };
        let log = table.remove("log").map(read_checked::<LogSettings>).unwrap_or_default();
        let section = table.remove(role).expect("the role's table was just found");
        let mut tagged = toml::Table::new();
        tagged.insert(role.to_owned(), section);
        table.insert("role".to_owned(), toml::Value::Table(tagged));
        let process = read_checked::<ProcessSettings>(toml::Value::Table(table));
        Ok(Self { process, log })
    }
}
