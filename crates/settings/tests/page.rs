//! Checks that `docs/CONFIGURATION.md` lists every value with its built-in value.

use {
    base::{duration_text, ByteSize},
    settings::{FleetDeclaration, PolicySubject},
    std::{fs, path::Path, time::SystemTime},
};

/// Formats a value as the page does: durations in their shortest form, bytes with a unit.
fn as_written(key: &str, value: &str) -> String {
    let value = value.trim_matches('"');
    if let Some(duration) = duration_text::parse(value) {
        return duration_text::format(duration);
    }
    match (key, value.parse()) {
        ("request.body_limit", Ok(bytes)) => ByteSize(bytes).to_string(),
        _ => value.trim_end_matches(".0").to_owned(),
    }
}

#[test]
fn the_page_lists_every_value_with_its_built_in_value() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = fs::read_to_string(path).expect("the page is there");
    let resolved =
        FleetDeclaration::default().policy_for(&PolicySubject::default(), SystemTime::UNIX_EPOCH);
    let missing: Vec<_> = resolved
        .values()
        .into_iter()
        .map(|(key, value)| format!("| `{key}` | {} |", as_written(&key, &value)))
        .filter(|row| !page.contains(row.as_str()))
        .collect();
    assert_eq!(missing, Vec::<String>::new());
}
