//! `job submit`, `list`, `show`, `cancel` and `unpark`.

use {
    super::{submission, wait_until},
    crate::{
        arguments::CommandInvocation,
        error::{CommandError, FileSnafu},
        fleet_client::FleetClient,
        output::{confirm, format_time_of_day, show, table},
    },
    base::JobId,
    proto::messages::{
        operator::{CancelReply, JobStatus, SubmitReply, SubmitRequest, TaskPhase, TaskStatus},
        JobSpec,
    },
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Submits the job of a file.
pub(super) fn submit(invocation: &CommandInvocation, file: &Path) -> Result<(), CommandError> {
    let text = fs::read_to_string(file).context(FileSnafu { path: file })?;
    let checked =
        settings::check_job_file(file, &text).map_err(|errors| CommandError::Invalid { errors })?;
    let job: JobSpec = toml::Value::Table(checked)
        .try_into()
        .map_err(|error: toml::de::Error| CommandError::Usage { detail: error.to_string() })?;
    let name = job.id.clone();
    let client = FleetClient::new(invocation)?;
    let request = SubmitRequest { submission: submission(invocation), job };
    let reply: SubmitReply = client.submit("/v1/jobs", &request)?;
    match &reply {
        SubmitReply::Accepted { job } => {
            show(invocation, &reply, |_| format!("job {job} is accepted\n"))?;
        }
        SubmitReply::NameTaken => {
            let detail = format!("another job is named {name}; choose a new name");
            return Err(CommandError::Refused { detail });
        }
        SubmitReply::Invalid { reason } => {
            return Err(CommandError::Refused { detail: reason.clone() });
        }
    }
    if invocation.wait {
        let job = wait_until_ended(invocation, &client, &name)?;
        if !invocation.json {
            print!("{}", describe_job(&job));
        }
    }
    Ok(())
}

/// Lists jobs.
pub(super) fn list(invocation: &CommandInvocation) -> Result<(), CommandError> {
    let jobs: Vec<JobStatus> = FleetClient::new(invocation)?.get("/v1/jobs")?;
    show(invocation, &jobs, |jobs| {
        let rows: Vec<Vec<String>> = jobs.iter().map(job_row).collect();
        table(&["job", "team", "class", "priority", "tasks", "phases"], &rows)
    })
}

/// Shows a job with its tasks and their history.
pub(super) fn show_job(invocation: &CommandInvocation, job: &JobId) -> Result<(), CommandError> {
    let status: JobStatus = FleetClient::new(invocation)?.get(&format!("/v1/jobs/{job}"))?;
    show(invocation, &status, describe_job)
}

/// Cancels a job, after confirmation.
pub(super) fn cancel(invocation: &CommandInvocation, job: &JobId) -> Result<(), CommandError> {
    let client = FleetClient::new(invocation)?;
    let status: JobStatus = client.get(&format!("/v1/jobs/{job}"))?;
    let consequence = format!(
        "This cancels job {job} of team {} permanently ({}).",
        status.spec.team,
        phases(&status)
    );
    confirm(invocation, &consequence)?;
    let reply: CancelReply = client.delete(&format!("/v1/jobs/{job}"))?;
    match reply {
        CancelReply::Accepted => {}
        CancelReply::AlreadyEnded => {
            let detail = format!("job {job} has already ended");
            return Err(CommandError::Refused { detail });
        }
        CancelReply::NoSuchJob => {
            return Err(CommandError::Refused { detail: format!("there is no job {job}") });
        }
    }
    show(invocation, &reply, |_| {
        format!("job {job} is cancelled; running tasks are being stopped\n")
    })?;
    if invocation.wait {
        let status = wait_until_ended(invocation, &client, job)?;
        if !invocation.json {
            println!("no task of {job} is running: {}", phases(&status));
        }
    }
    Ok(())
}

/// Makes a parked job eligible for placement again.
pub(super) fn unpark(invocation: &CommandInvocation, job: &JobId) -> Result<(), CommandError> {
    let reply: serde_json::Value =
        FleetClient::new(invocation)?.post(&format!("/v1/jobs/{job}/unpark"), &())?;
    show(invocation, &reply, |_| format!("job {job} may be placed again\n"))
}

fn wait_until_ended(
    invocation: &CommandInvocation,
    client: &FleetClient,
    job: &JobId,
) -> Result<JobStatus, CommandError> {
    wait_until(invocation, || {
        let status: JobStatus = client.get(&format!("/v1/jobs/{job}"))?;
        let ended = status.phases.iter().all(|(phase, count)| *count == 0 || has_ended(*phase));
        if ended {
            return Ok(Ok(status));
        }
        Ok(Err(format!("job {job}: {}", phases(&status))))
    })
}

fn has_ended(phase: TaskPhase) -> bool {
    match phase {
        TaskPhase::Finished | TaskPhase::Failed | TaskPhase::Cancelled | TaskPhase::Parked => true,
        TaskPhase::Pending
        | TaskPhase::Placed
        | TaskPhase::Running
        | TaskPhase::Stopping
        | TaskPhase::Evicted => false,
    }
}

fn phases(status: &JobStatus) -> String {
    let parts: Vec<_> = status
        .phases
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(phase, count)| format!("{count} {}", phase_name(*phase)))
        .collect();
    parts.join(", ")
}

fn phase_name(phase: TaskPhase) -> String {
    format!("{phase:?}").to_lowercase()
}

fn job_row(job: &JobStatus) -> Vec<String> {
    vec![
        job.spec.id.to_string(),
        job.spec.team.to_string(),
        job.spec.class.to_string(),
        job.spec.priority.to_string(),
        job.spec.tasks.to_string(),
        phases(job),
    ]
}

fn describe_job(job: &JobStatus) -> String {
    let spec = &job.spec;
    let mut text = format!(
        "job {} of team {}, class {}, {}: {}\n",
        spec.id,
        spec.team,
        spec.class,
        spec.priority,
        phases(job)
    );
    let rows: Vec<Vec<String>> = job.tasks.iter().map(task_row).collect();
    text += &table(&["task", "phase", "attempt", "worker", "reserved"], &rows);
    for task in &job.tasks {
        text += &format!("history of {}:\n", task.task);
        for step in &task.history {
            let worker =
                step.worker.as_ref().map_or(String::new(), |worker| format!(" on {worker}"));
            text += &format!(
                "  {} {} (attempt {}){worker}: {}\n",
                format_time_of_day(step.at_ms),
                phase_name(step.phase),
                step.attempt,
                step.reason
            );
        }
    }
    text
}

fn task_row(task: &TaskStatus) -> Vec<String> {
    vec![
        task.task.to_string(),
        phase_name(task.phase),
        task.attempt.to_string(),
        task.worker.as_ref().map_or("-".to_owned(), ToString::to_string),
        task.reserved.to_string(),
    ]
}
