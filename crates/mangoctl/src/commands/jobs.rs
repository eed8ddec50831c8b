//! `job submit`, `list`, `show`, `cancel` and `unpark`.

use {
    super::{submission, wait_until},
    crate::{
        arguments::CommandCall,
        failure::{CommandFailure, FileSnafu},
        fleet_client::FleetClient,
        output::{confirm, show, table, time_of_day},
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
pub(super) fn submit(call: &CommandCall, file: &Path) -> Result<(), CommandFailure> {
    let text = fs::read_to_string(file).context(FileSnafu { path: file })?;
    let checked = settings::check_job_file(file, &text)
        .map_err(|errors| CommandFailure::Invalid { errors })?;
    let job: JobSpec = toml::Value::Table(checked)
        .try_into()
        .map_err(|error: toml::de::Error| CommandFailure::Usage { detail: error.to_string() })?;
    let name = job.id.clone();
    let client = FleetClient::new(call)?;
    let request = SubmitRequest { submission: submission(call), job };
    let reply: SubmitReply = client.submit("/v1/jobs", &request)?;
    match &reply {
        SubmitReply::Accepted { job } => {
            show(call, &reply, |_| format!("job {job} is accepted\n"))?;
        }
        SubmitReply::NameTaken => {
            let detail = format!("another job is named {name}; choose a new name");
            return Err(CommandFailure::Refused { detail });
        }
        SubmitReply::Invalid { reason } => {
            return Err(CommandFailure::Refused { detail: reason.clone() });
        }
    }
    if call.wait {
        let job = wait_ended(call, &client, &name)?;
        if !call.json {
            print!("{}", describe_job(&job));
        }
    }
    Ok(())
}

/// Lists jobs.
pub(super) fn list(call: &CommandCall) -> Result<(), CommandFailure> {
    let jobs: Vec<JobStatus> = FleetClient::new(call)?.get("/v1/jobs")?;
    show(call, &jobs, |jobs| {
        let rows: Vec<Vec<String>> = jobs.iter().map(job_row).collect();
        table(&["job", "team", "class", "priority", "tasks", "phases"], &rows)
    })
}

/// Shows a job.
pub(super) fn show_job(call: &CommandCall, job: &JobId) -> Result<(), CommandFailure> {
    let status: JobStatus = FleetClient::new(call)?.get(&format!("/v1/jobs/{job}"))?;
    show(call, &status, describe_job)
}

/// Stops a job for good.
pub(super) fn cancel(call: &CommandCall, job: &JobId) -> Result<(), CommandFailure> {
    let client = FleetClient::new(call)?;
    let status: JobStatus = client.get(&format!("/v1/jobs/{job}"))?;
    let about = format!(
        "This stops job {job} of team {} for good ({}).",
        status.spec.team,
        phases(&status)
    );
    confirm(call, &about)?;
    let reply: CancelReply = client.delete(&format!("/v1/jobs/{job}"))?;
    match reply {
        CancelReply::Accepted => {}
        CancelReply::AlreadyEnded => {
            let detail = format!("job {job} had ended before");
            return Err(CommandFailure::Refused { detail });
        }
        CancelReply::NoSuchJob => {
            return Err(CommandFailure::Refused { detail: format!("there is no job {job}") });
        }
    }
    show(call, &reply, |_| format!("job {job} is cancelled; running tasks are being stopped\n"))?;
    if call.wait {
        let status = wait_ended(call, &client, job)?;
        if !call.json {
            println!("no task of {job} runs any more: {}", phases(&status));
        }
    }
    Ok(())
}

/// Lets a parked job be tried again.
pub(super) fn unpark(call: &CommandCall, job: &JobId) -> Result<(), CommandFailure> {
    let reply: serde_json::Value =
        FleetClient::new(call)?.post(&format!("/v1/jobs/{job}/unpark"), &())?;
    show(call, &reply, |_| format!("job {job} will be tried again\n"))
}

fn wait_ended(
    call: &CommandCall,
    client: &FleetClient,
    job: &JobId,
) -> Result<JobStatus, CommandFailure> {
    wait_until(call, || {
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
                time_of_day(step.at_ms),
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
