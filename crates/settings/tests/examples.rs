//! Checks that the files of both example fleets have no errors and describe fleets of the expected
//! sizes.

use {
    base::RevisionNumber,
    rstest::rstest,
    settings::{DaemonSettings, FleetDeclaration, RoleSettings},
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
    },
};

fn files(example: &str, folder: &str) -> Vec<(PathBuf, String)> {
    let root =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(example).join(folder);
    let mut files: Vec<_> = fs::read_dir(&root)
        .expect("the example has this folder")
        .map(|item| item.expect("the folder can be listed").path())
        .map(|path| (path.clone(), fs::read_to_string(path).expect("the file can be read")))
        .collect();
    files.sort();
    files
}

/// Describes the processes by role, the data centres, the racks, the workers in the fullest rack
/// and the total number of slots.
fn describe(example: &str) -> String {
    let mut roles: BTreeMap<&str, usize> = BTreeMap::new();
    let mut racks: BTreeMap<String, usize> = BTreeMap::new();
    let mut centres = std::collections::BTreeSet::new();
    let mut slots = 0;
    for (path, text) in files(example, "settings") {
        let settings = DaemonSettings::parse(&path, &text).unwrap_or_else(|e| panic!("{e:?}"));
        *roles.entry(settings.process.role.name()).or_default() += 1;
        centres.insert(settings.process.data_centre.to_string());
        match settings.process.role {
            RoleSettings::Agent(agent) => *racks.entry(agent.rack.to_string()).or_default() += 1,
            RoleSettings::StandIn(stand_in) => slots += stand_in.slots.0,
            RoleSettings::Control(_) | RoleSettings::Entry(_) => {}
        }
    }
    let fullest = racks.values().max().copied().unwrap_or_default();
    format!(
        "{roles:?}, {} data centres, {} racks of at most {fullest}, {slots} slots",
        centres.len(),
        racks.len()
    )
}

#[rstest]
#[case("umoja", r#"{"agent": 11, "control": 3, "entry": 2, "stand-in": 11}, 4 data centres, 4 racks of at most 3, 88 slots"#)]
#[case("postal-exchange", r#"{"agent": 11, "control": 3, "entry": 2, "stand-in": 11}, 3 data centres, 5 racks of at most 3, 88 slots"#)]
fn settings_describe_fleets_of_the_expected_sizes(#[case] example: &str, #[case] expected: &str) {
    assert_eq!(describe(example), expected);
}

#[rstest]
#[case("umoja", 1, 2, 1)]
#[case("postal-exchange", 1, 2, 1)]
fn declarations_have_no_errors(
    #[case] example: &str,
    #[case] services: usize,
    #[case] teams: usize,
    #[case] exceptions: usize,
) {
    let files = files(example, "declarations");
    let texts = files.iter().map(|(path, text)| (path.to_str().unwrap_or("?"), text.as_str()));
    let fleet =
        FleetDeclaration::parse(RevisionNumber(1), texts).unwrap_or_else(|e| panic!("{e:?}"));
    assert_eq!(
        (fleet.services.len(), fleet.teams.len(), fleet.exceptions.len()),
        (services, teams, exceptions)
    );
}

#[rstest]
#[case("umoja")]
#[case("postal-exchange")]
fn jobs_have_no_errors(#[case] example: &str) {
    for (path, text) in files(example, "jobs") {
        settings::check_job_file(&path, &text).unwrap_or_else(|e| panic!("{e:?}"));
    }
}
