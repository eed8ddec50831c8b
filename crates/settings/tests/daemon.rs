//! Settings files and the errors that the check reports for them.

use {rstest::rstest, settings::DaemonSettings, std::path::Path};

const COMMON: &str = r#"
cluster = "umoja"
name = "p"
region = "north-east"
data_centre = "arusha"
internal = "127.0.0.1:7100"
operator = "127.0.0.1:7101"
control_peers = ["127.0.0.1:7100"]
"#;

fn check(text: &str, expected: &str) {
    let found = match DaemonSettings::parse(Path::new("p.toml"), text) {
        Ok(settings) => settings.process.role.name().to_owned(),
        Err(errors) => errors.iter().map(|e| format!("{e}\n")).collect::<String>(),
    };
    assert_eq!(found.trim_end(), expected);
}

#[rstest]
#[case::entry("[entry]\ncallers = \"127.0.0.1:7102\"", "entry")]
#[case::control("[control]\nreplica = 1\ndata_folder = \"data\"", "control")]
#[case::agent(
    "[agent]\nworker = \"w\"\nrack = \"r\"\nplatform = \"127.0.0.1:1\"\n\
     announce = \"127.0.0.1:2\"\ncapacity = { cpu = 16, memory = \"60GB\" }",
    "agent"
)]
#[case::none("", "p.toml:1: expected one table of [control], [entry], [agent] or [stand-in]")]
#[case::two(
    "[entry]\ncallers = \"127.0.0.1:1\"\n[control]\nreplica = 1\ndata_folder = \"d\"",
    "p.toml:1: expected one role, found tables for control and entry"
)]
#[case::host_name(
    "[entry]\ncallers = \"localhost:80\"",
    "p.toml:10: entry.callers: expected an IP address and a port such as \"10.0.0.1:7100\", found \
     \"localhost:80\""
)]
fn a_file_yields_its_role_or_an_error_with_line_and_key(
    #[case] role: &str,
    #[case] expected: &str,
) {
    check(&format!("{COMMON}{role}"), expected);
}

#[test]
fn a_missing_key_is_reported_with_its_purpose() {
    let expected = "p.toml:1: \"name\" is missing: the name of this process";
    check(
        &format!("{}[entry]\ncallers = \"127.0.0.1:1\"", COMMON.replace("name = \"p\"\n", "")),
        expected,
    );
}
