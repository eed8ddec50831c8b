//! Checks of the system's promises, from what an outside observer sees.

use {
    crate::processes::FleetProcess,
    base::{RequestId, ResourceVector, RevisionNumber, TaskId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    testkit::worker::WorkerRun,
};

/// Time after the start of a drain from which the endpoint must get no new request.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// The operation that a caller requests. Resends of one key are one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    pub text: String,
    pub idempotent: bool,
}

/// The history of a schedule and the violations found in it.
#[derive(Debug, Default)]
pub struct SystemWitness {
    pub violations: Vec<String>,
    pub answered: u32,
    pub not_run: u32,
    pub unknown: u32,
    executed: BTreeMap<RequestId, u32>,
    runs_of: BTreeMap<String, u32>,
    operations: BTreeMap<RequestId, Operation>,
    denied: BTreeSet<RequestId>,
    revisions: BTreeMap<FleetProcess, RevisionNumber>,
    leaving: BTreeMap<u16, Duration>,
    attempts: BTreeMap<TaskId, u32>,
    seen_runs: BTreeMap<(u16, usize), ()>,
}

impl SystemWitness {
    fn check(&mut self, holds: bool, broken: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(broken());
        }
    }

    /// Records a request that a caller has sent.
    pub fn record_request(&mut self, request: RequestId, operation: Operation) {
        self.operations.insert(request, operation);
    }

    /// Records and checks a request that an executor starts.
    pub fn record_execution(&mut self, agent: u16, request: &RequestId, body: &str, now: Duration) {
        let Some(operation) = self.operations.get(request).cloned() else {
            return self.violations.push(format!("{request} runs without a request of a caller"));
        };
        let same = operation.text == body;
        self.check(same, || format!("{request} runs with the body of {body}"));
        let denied = self.denied.contains(request);
        self.check(!denied, || format!("{request} ran after its caller received not-run"));
        *self.executed.entry(request.clone()).or_default() += 1;
        let runs = self.runs_of.entry(operation.text.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        let once = operation.idempotent || runs <= 1;
        self.check(once, || format!("{} ran {runs} times", operation.text));
        if let Some(since) = self.leaving.get(&agent).copied() {
            let late = now > since + DRAIN_GRACE;
            self.check(!late, || format!("{request} ran on agent {agent} after it left"));
        }
    }

    /// Records and checks an answer that a caller has received.
    pub fn record_answer(&mut self, request: &RequestId, body: &str) {
        self.answered += 1;
        let Some(operation) = self.operations.get(request).cloned() else { return };
        let own = operation.text == body;
        self.check(own, || format!("{} got the answer of {body}", operation.text));
        let ran = self.runs_of.contains_key(body);
        self.check(ran, || format!("{} was answered and never ran", operation.text));
    }

    /// Records and checks a refusal, which states that the request did not run.
    pub fn record_not_run(&mut self, request: &RequestId, reason: &str) {
        self.not_run += 1;
        let ran = self.executed.contains_key(request);
        self.check(!ran, || format!("{request} ran and was answered not-run: {reason}"));
        self.denied.insert(request.clone());
    }

    /// Records an outcome that the system reported as unknown.
    pub fn record_unknown(&mut self) {
        self.unknown += 1;
    }

    /// Records and checks the revision in force in a process. Agents and control processes keep
    /// their revision over a restart; entries have no disk.
    pub fn record_revision(&mut self, process: FleetProcess, revision: RevisionNumber) {
        let before = self.revisions.insert(process, revision).unwrap_or_default();
        self.check(before <= revision, || {
            format!("{process} went back from {before} to {revision}")
        });
    }

    /// Forgets the revision of a process that has no disk.
    pub fn forget_revision(&mut self, process: FleetProcess) {
        self.revisions.remove(&process);
    }

    /// Records the start of a drain, or with `None` the start of the agent's next incarnation.
    pub fn record_drain(&mut self, agent: u16, since: Option<Duration>) {
        match since {
            Some(since) => {
                self.leaving.entry(agent).or_insert(since);
            }
            None => {
                self.leaving.remove(&agent);
            }
        }
    }

    /// Checks the number of requests that an executor has in progress.
    pub fn check_slots(&mut self, agent: u16, in_use: usize, slots: usize) {
        self.check(in_use <= slots, || format!("agent {agent} uses {in_use} of {slots} slots"));
    }

    /// Checks the runs on all workers at one moment.
    pub fn check_runs(&mut self, runs: &[(u16, Vec<WorkerRun>, ResourceVector, ResourceVector)]) {
        let mut running: BTreeMap<TaskId, u16> = BTreeMap::new();
        for (agent, history, reserved, capacity) in runs {
            self.check(reserved.fits_in(capacity), || {
                format!("worker {agent} reserves {reserved} of {capacity}")
            });
            for (index, run) in history.iter().enumerate() {
                if self.seen_runs.insert((*agent, index), ()).is_none() {
                    self.record_start(&run.id.task, run.id.attempt.0);
                }
                if run.ended.is_some() {
                    continue;
                }
                let other = running.insert(run.id.task.clone(), *agent);
                self.check(other.is_none(), || {
                    format!("{} runs on worker {agent} and on {other:?}", run.id.task)
                });
            }
        }
    }

    /// Records and checks the start of an attempt. Attempt numbers of a task only rise, so that its
    /// work resumes once.
    fn record_start(&mut self, task: &TaskId, attempt: u32) {
        let before = self.attempts.insert(task.clone(), attempt);
        let rises = before.is_none_or(|before| attempt > before);
        self.check(rises, || format!("{task} began attempt {attempt} after {before:?}"));
    }
}
