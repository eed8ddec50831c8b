//! The demonstration of `dev`: a request, a batch job and a configuration change, step by step.

use {
    super::fleet::{DevFleet, SERVICE, WORKERS},
    crate::failure::DaemonFailure,
    base::RevisionNumber,
    proto::{
        messages::{
            operator::{
                ApplyReply, ApplyRequest, FleetStatus, JobStatus, SubmitReply, SubmitRequest,
                TaskPhase,
            },
            DeclarationFile, JobSpec,
        },
        operator_client::OperatorClient,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const CALL_DEADLINE: Duration = Duration::from_secs(5);
const STEP_DEADLINE: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const DECLARATIONS: &str = r#"
[teams.demo]
quota = { cpu = "16", memory = "32GB" }

[services.demo]
team = "demo"
"#;

const BODY_LIMIT_DECLARATIONS: &str = r#"
[defaults.request]
body_limit = "16B"
"#;

const JOB: &str = r#"{
    "id": "report", "team": "demo", "class": "report", "tasks": 2,
    "resources": { "cpu": 1000, "memory": 1000000000 },
    "payload": "run=300ms"
}"#;

/// Runs every step of the demonstration, and fails at the first step without the expected effect.
pub(super) fn run(fleet: &DevFleet) -> Result<(), DaemonFailure> {
    let http = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_DEADLINE))
        .build();
    let demonstration = PathDemonstration {
        client: OperatorClient::new(fleet.operators().to_vec(), CALL_DEADLINE),
        service: format!("http://{}/{SERVICE}", fleet.callers()),
        http: http.into(),
    };
    demonstration.declare()?;
    demonstration.send_request()?;
    demonstration.run_job()?;
    demonstration.change_configuration()
}

struct PathDemonstration {
    client: OperatorClient,
    service: String,
    http: ureq::Agent,
}

impl PathDemonstration {
    fn declare(&self) -> Result<(), DaemonFailure> {
        const STEP: &str = "declare a team and a service";
        let files = vec![declaration_file("demo.toml", DECLARATIONS)];
        self.apply(STEP, "first", RevisionNumber(0), files)?;
        let status = self.wait_for_status(STEP, |status| {
            status.endpoints.len() == WORKERS && is_in_force(status, RevisionNumber(1))
        })?;
        let endpoints = status.endpoints.len();
        println!("1. declared: revision {} with {endpoints} endpoints", status.revision);
        Ok(())
    }

    fn send_request(&self) -> Result<(), DaemonFailure> {
        const STEP: &str = "answer a request";
        let url = format!("{}/quotes?yard=moshi", self.service);
        let (answer, took) = retry(STEP, || {
            let started = Instant::now();
            let sent = self.http.get(&url).call();
            let mut response = sent.map_err(|error| error.to_string())?;
            let body = response.body_mut().read_to_string().map_err(|error| error.to_string())?;
            match response.status().as_u16() {
                200 => Ok((body, started.elapsed())),
                status => Err(format!("status {status}: {body}")),
            }
        })?;
        println!("2. answered: GET {url} in {took:?}: {answer}");
        Ok(())
    }

    fn run_job(&self) -> Result<(), DaemonFailure> {
        const STEP: &str = "finish a batch job";
        let job: JobSpec = serde_json::from_str(JOB).map_err(|error| step_failure(STEP, &error))?;
        let submission = "demo-job".parse().expect("a name");
        let request = SubmitRequest { submission, job };
        let reply: SubmitReply =
            retry(STEP, || self.client.post("/v1/jobs", &request).map_err(|e| e.to_string()))?;
        if !matches!(reply, SubmitReply::Accepted { .. }) {
            return Err(step_failure(STEP, &format!("{reply:?}")));
        }
        let job = retry(STEP, || {
            let job: JobStatus = self.client.get("/v1/jobs/report").map_err(|e| e.to_string())?;
            match job.tasks.iter().all(|task| task.phase == TaskPhase::Finished) {
                true => Ok(job),
                false => Err(format!("{:?}", job.phases)),
            }
        })?;
        println!("3. finished: job {} with {} tasks", job.spec.id, job.tasks.len());
        for step in job.tasks.iter().flat_map(|task| &task.history) {
            let worker = step.worker.as_ref().map_or("-", |worker| worker.as_str());
            println!("     {:?} on {worker}: {}", step.phase, step.reason);
        }
        Ok(())
    }

    fn change_configuration(&self) -> Result<(), DaemonFailure> {
        const STEP: &str = "put a configuration change in force";
        let before = self.post_status(STEP)?;
        let files = vec![
            declaration_file("demo.toml", DECLARATIONS),
            declaration_file("narrowed.toml", BODY_LIMIT_DECLARATIONS),
        ];
        let started = Instant::now();
        let revision = self.apply(STEP, "second", RevisionNumber(1), files)?;
        self.wait_for_status(STEP, |status| is_in_force(status, revision))?;
        let took = started.elapsed();
        let after = self.post_status(STEP)?;
        println!(
            "4. changed: revision {revision} in force on all processes after {took:?}; a body of \
             32 bytes got status {before} before and {after} now"
        );
        match (before, after) {
            (200, 413) => Ok(()),
            _ => Err(step_failure(STEP, &"the change had no effect")),
        }
    }

    fn post_status(&self, step: &'static str) -> Result<u16, DaemonFailure> {
        let sent = self.http.post(format!("{}/quotes", self.service)).send([b'x'; 32].as_slice());
        sent.map(|response| response.status().as_u16()).map_err(|error| step_failure(step, &error))
    }

    fn apply(
        &self,
        step: &'static str,
        submission: &str,
        base: RevisionNumber,
        files: Vec<DeclarationFile>,
    ) -> Result<RevisionNumber, DaemonFailure> {
        let submission = submission.parse().expect("a name");
        let request = ApplyRequest { submission, base, files };
        let reply = retry(step, || {
            self.client.post("/v1/declarations", &request).map_err(|error| error.to_string())
        })?;
        match reply {
            ApplyReply::Accepted { revision } => Ok(revision),
            refused => Err(step_failure(step, &format!("{refused:?}"))),
        }
    }

    fn wait_for_status(
        &self,
        step: &'static str,
        done: impl Fn(&FleetStatus) -> bool,
    ) -> Result<FleetStatus, DaemonFailure> {
        retry(step, || {
            let status: FleetStatus = self.client.get("/v1/status").map_err(|e| e.to_string())?;
            match done(&status) {
                true => Ok(status),
                false => Err(format!(
                    "{} endpoints, processes {:?}",
                    status.endpoints.len(),
                    status.processes
                )),
            }
        })
    }
}

fn is_in_force(status: &FleetStatus, revision: RevisionNumber) -> bool {
    status.processes.iter().all(|process| process.revision >= revision)
}

fn declaration_file(path: &str, text: &str) -> DeclarationFile {
    DeclarationFile { path: path.to_owned(), text: text.to_owned() }
}

/// Retries `attempt` until it succeeds or the deadline of the step has passed.
fn retry<T>(
    step: &'static str,
    mut attempt: impl FnMut() -> Result<T, String>,
) -> Result<T, DaemonFailure> {
    let started = Instant::now();
    loop {
        match attempt() {
            Ok(done) => return Ok(done),
            Err(detail) if started.elapsed() >= STEP_DEADLINE => {
                return Err(step_failure(step, &detail));
            }
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn step_failure(step: &'static str, detail: &dyn ToString) -> DaemonFailure {
    DaemonFailure::Demonstration { step, detail: detail.to_string() }
}
