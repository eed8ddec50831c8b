//! `check`, `diff` and `apply`.

use {
    super::{submission, wait_until},
    crate::{
        arguments::CommandInvocation,
        error::CommandError,
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

/// The result of `check`, also printed as JSON.
#[derive(Serialize)]
struct CheckedFolder {
    files: usize,
    services: usize,
    teams: usize,
    exceptions: usize,
}

/// The result of `diff`, also printed as JSON.
#[derive(Serialize)]
struct DeclarationChanges {
    base: RevisionNumber,
    changes: Vec<RuleChange>,
}

/// Checks a folder and reports every error in it.
pub(super) fn check(invocation: &CommandInvocation, folder: &Path) -> Result<(), CommandError> {
    let files = read_folder(folder)?;
    let fleet = check_files(&files)?;
    let checked = CheckedFolder {
        files: files.len(),
        services: fleet.services.len(),
        teams: fleet.teams.len(),
        exceptions: fleet.exceptions.len(),
    };
    show(invocation, &checked, |checked| {
        format!(
            "no errors: {} files, {} services, {} teams, {} exceptions\n",
            checked.files, checked.services, checked.teams, checked.exceptions
        )
    })
}

/// Shows what applying a folder would change.
pub(super) fn diff(invocation: &CommandInvocation, folder: &Path) -> Result<(), CommandError> {
    let fleet = check_files(&read_folder(folder)?)?;
    let changes = find_changes(&FleetClient::new(invocation)?, &fleet)?;
    show(invocation, &changes, describe)
}

/// Applies a folder to the fleet, after confirmation.
pub(super) fn apply(invocation: &CommandInvocation, folder: &Path) -> Result<(), CommandError> {
    let files = read_folder(folder)?;
    let fleet = check_files(&files)?;
    let client = FleetClient::new(invocation)?;
    let changes = find_changes(&client, &fleet)?;
    let base = invocation.base.unwrap_or(changes.base);
    if !invocation.json {
        print!("{}", describe(&changes));
    }
    confirm(invocation, &format!("This replaces revision {base} on the whole fleet."))?;
    let request = ApplyRequest { submission: submission(invocation), base, files };
    let reply: ApplyReply = client.submit("/v1/declarations", &request)?;
    let revision = match &reply {
        ApplyReply::Accepted { revision } => *revision,
        ApplyReply::Conflict { current } => {
            let detail = format!(
                "revision {current} was accepted first; review it with mangoctl diff and apply again"
            );
            return Err(CommandError::Refused { detail });
        }
        ApplyReply::Invalid { errors } => {
            return Err(CommandError::RejectedByControl { errors: errors.clone() });
        }
        ApplyReply::SubmissionReused => {
            let detail = "the submission id was used for another change".to_owned();
            return Err(CommandError::Refused { detail });
        }
    };
    show(invocation, &reply, |_| format!("accepted as revision {revision}\n"))?;
    if invocation.wait {
        let processes = wait_until_in_force(invocation, &client, revision)?;
        if !invocation.json {
            println!("in force on all {processes} processes");
        }
    }
    Ok(())
}

fn wait_until_in_force(
    invocation: &CommandInvocation,
    client: &FleetClient,
    revision: RevisionNumber,
) -> Result<usize, CommandError> {
    wait_until(invocation, || {
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

fn find_changes(
    client: &FleetClient,
    fleet: &settings::FleetDeclaration,
) -> Result<DeclarationChanges, CommandError> {
    let bundle: DeclarationBundle = client.get("/v1/declarations")?;
    let before = check_files(&bundle.files)?;
    Ok(DeclarationChanges { base: bundle.revision, changes: fleet.changes_since(&before) })
}

fn describe(changes: &DeclarationChanges) -> String {
    if changes.changes.is_empty() {
        return format!("no change from revision {}\n", changes.base);
    }
    let lines: Vec<String> = changes.changes.iter().map(|change| format!("{change}\n")).collect();
    format!("changes from revision {}:\n{}", changes.base, lines.concat())
}
