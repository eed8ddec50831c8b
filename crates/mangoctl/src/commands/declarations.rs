//! `check`, `diff` and `apply`.

use {
    super::{submission, wait_until},
    crate::{
        arguments::CommandCall,
        failure::CommandFailure,
        fleet_client::FleetClient,
        folder::{check_files, read_folder},
        output::{confirm, show},
    },
    base::RevisionNumber,
    proto::messages::{
        operator::{ApplyReply, ApplyRequest, FleetStatus},
        DeclarationBundle,
    },
    serde::Serialize,
    settings::declaration::RuleChange,
    std::path::Path,
};

/// The outcome of `check`, for programs.
#[derive(Serialize)]
struct CheckedFolder {
    files: usize,
    services: usize,
    teams: usize,
    exceptions: usize,
}

/// What `diff` found.
#[derive(Serialize)]
struct FolderChanges {
    base: RevisionNumber,
    changes: Vec<RuleChange>,
}

/// Reports every error in a folder.
pub(super) fn check(call: &CommandCall, folder: &Path) -> Result<(), CommandFailure> {
    let files = read_folder(folder)?;
    let fleet = check_files(&files)?;
    let checked = CheckedFolder {
        files: files.len(),
        services: fleet.services.len(),
        teams: fleet.teams.len(),
        exceptions: fleet.exceptions.len(),
    };
    show(call, &checked, |checked| {
        format!(
            "no errors: {} files, {} services, {} teams, {} exceptions\n",
            checked.files, checked.services, checked.teams, checked.exceptions
        )
    })
}

/// Shows what applying a folder would change.
pub(super) fn diff(call: &CommandCall, folder: &Path) -> Result<(), CommandFailure> {
    let fleet = check_files(&read_folder(folder)?)?;
    let changes = changes(&FleetClient::new(call)?, &fleet)?;
    show(call, &changes, describe)
}

/// Puts a folder in force.
pub(super) fn apply(call: &CommandCall, folder: &Path) -> Result<(), CommandFailure> {
    let files = read_folder(folder)?;
    let fleet = check_files(&files)?;
    let client = FleetClient::new(call)?;
    let found = changes(&client, &fleet)?;
    let base = call.base.unwrap_or(found.base);
    if !call.json {
        print!("{}", describe(&found));
    }
    confirm(call, &format!("This replaces revision {base} on the whole fleet."))?;
    let request = ApplyRequest { submission: submission(call), base, files };
    let reply: ApplyReply = client.submit("/v1/declarations", &request)?;
    let revision = match &reply {
        ApplyReply::Accepted { revision } => *revision,
        ApplyReply::Conflict { current } => {
            let detail = format!(
                "revision {current} was accepted first; look at it (mangoctl diff) and apply again"
            );
            return Err(CommandFailure::Refused { detail });
        }
        ApplyReply::Invalid { errors } => {
            return Err(CommandFailure::RefusedInvalid { errors: errors.clone() });
        }
        ApplyReply::SubmissionReused => {
            let detail = "the submission id was used for another change".to_owned();
            return Err(CommandFailure::Refused { detail });
        }
    };
    show(call, &reply, |_| format!("accepted as revision {revision}\n"))?;
    if call.wait {
        let processes = wait_in_force(call, &client, revision)?;
        if !call.json {
            println!("in force on all {processes} processes");
        }
    }
    Ok(())
}

fn wait_in_force(
    call: &CommandCall,
    client: &FleetClient,
    revision: RevisionNumber,
) -> Result<usize, CommandFailure> {
    wait_until(call, || {
        let status: FleetStatus = client.get("/v1/status")?;
        let behind: Vec<_> = status
            .processes
            .iter()
            .filter(|process| process.revision < revision)
            .map(|process| format!("{} has {}", process.name, process.revision))
            .collect();
        if behind.is_empty() {
            return Ok(Ok(status.processes.len()));
        }
        Ok(Err(format!("revision {revision} is not in force yet: {}", behind.join(", "))))
    })
}

fn changes(
    client: &FleetClient,
    fleet: &settings::FleetDeclaration,
) -> Result<FolderChanges, CommandFailure> {
    let bundle: DeclarationBundle = client.get("/v1/declarations")?;
    let before = check_files(&bundle.files)?;
    Ok(FolderChanges { base: bundle.revision, changes: fleet.changes_since(&before) })
}

fn describe(found: &FolderChanges) -> String {
    if found.changes.is_empty() {
        return format!("no change from revision {}\n", found.base);
    }
    let lines: Vec<String> = found.changes.iter().map(|change| format!("{change}\n")).collect();
    format!("changes from revision {}:\n{}", found.base, lines.concat())
}
