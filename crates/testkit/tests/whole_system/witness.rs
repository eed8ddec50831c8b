//! What an outsider may demand.

use {
    crate::places::Place,
    base::{RequestId, ResourceVector, RevisionNumber, TaskId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    testkit::worker::WorkerRun,
};

/// After an endpoint says that it leaves, it gets no new request once this has passed.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// What a caller asked for. Resends of one key are one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    pub text: String,
    pub idempotent: bool,
}

/// The history, and what is wrong with it.
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
    revisions: BTreeMap<Place, RevisionNumber>,
    leaving: BTreeMap<u16, Duration>,
    attempts: BTreeMap<TaskId, u32>,
    seen_runs: BTreeMap<(u16, usize), ()>,
}

impl SystemWitness {
    fn demand(&mut self, holds: bool, broken: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(broken());
        }
    }

    /// A caller has sent a request.
    pub fn asked(&mut self, request: RequestId, operation: Operation) {
        self.operations.insert(request, operation);
    }

    /// An executor runs a request.
    pub fn executes(&mut self, agent: u16, request: &RequestId, body: &str, now: Duration) {
        let Some(operation) = self.operations.get(request).cloned() else {
            return self.violations.push(format!("{request} runs and nobody asked"));
        };
        let same = operation.text == body;
        self.demand(same, || format!("{request} runs with the body of {body}"));
        let denied = self.denied.contains(request);
        self.demand(!denied, || format!("{request} ran after its caller was told not-run"));
        *self.executed.entry(request.clone()).or_default() += 1;
        let runs = self.runs_of.entry(operation.text.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        let once = operation.idempotent || runs <= 1;
        self.demand(once, || format!("{} ran {runs} times", operation.text));
        if let Some(since) = self.leaving.get(&agent).copied() {
            let late = now > since + LEAVING_GRACE;
            self.demand(!late, || format!("{request} ran on agent {agent} after it left"));
        }
    }

    /// A caller got an answer.
    pub fn told_answer(&mut self, request: &RequestId, body: &str) {
        self.answered += 1;
        let Some(operation) = self.operations.get(request).cloned() else { return };
        let own = operation.text == body;
        self.demand(own, || format!("{} got the answer of {body}", operation.text));
        let ran = self.runs_of.contains_key(body);
        self.demand(ran, || format!("{} was answered and never ran", operation.text));
    }

    /// A caller was told that its request did not run.
    pub fn told_not_run(&mut self, request: &RequestId, reason: &str) {
        self.not_run += 1;
        let ran = self.executed.contains_key(request);
        self.demand(!ran, || format!("{request} ran and was told not-run: {reason}"));
        self.denied.insert(request.clone());
    }

    /// A caller was told that nobody knows.
    pub fn told_unknown(&mut self) {
        self.unknown += 1;
    }

    /// A revision is in force in a process. Restarts of agents and control keep theirs; entries
    /// have no disk.
    pub fn in_force(&mut self, place: Place, revision: RevisionNumber) {
        let before = self.revisions.insert(place, revision).unwrap_or_default();
        self.demand(before <= revision, || {
            format!("{place} went back from {before} to {revision}")
        });
    }

    /// A process without a disk has lost all it knew.
    pub fn forgets(&mut self, place: Place) {
        self.revisions.remove(&place);
    }

    /// An agent began to drain, or its next life began.
    pub fn leaves(&mut self, agent: u16, since: Option<Duration>) {
        match since {
            Some(since) => {
                self.leaving.entry(agent).or_insert(since);
            }
            None => {
                self.leaving.remove(&agent);
            }
        }
    }

    /// An executor has this many requests at once.
    pub fn slots(&mut self, agent: u16, in_use: usize, slots: usize) {
        self.demand(in_use <= slots, || format!("agent {agent} uses {in_use} of {slots} slots"));
    }

    /// What runs on all workers at one moment.
    pub fn runs(&mut self, runs: &[(u16, Vec<WorkerRun>, ResourceVector, ResourceVector)]) {
        let mut running: BTreeMap<TaskId, u16> = BTreeMap::new();
        for (agent, history, held, capacity) in runs {
            self.demand(held.fits_in(capacity), || {
                format!("worker {agent} holds {held} of {capacity}")
            });
            for (index, run) in history.iter().enumerate() {
                if self.seen_runs.insert((*agent, index), ()).is_none() {
                    self.began(&run.id.task, run.id.attempt.0);
                }
                if run.ended.is_some() {
                    continue;
                }
                let other = running.insert(run.id.task.clone(), *agent);
                self.demand(other.is_none(), || {
                    format!("{} runs on worker {agent} and on {other:?}", run.id.task)
                });
            }
        }
    }

    /// An attempt has started. Attempts only rise, so that work resumes once.
    fn began(&mut self, task: &TaskId, attempt: u32) {
        let before = self.attempts.insert(task.clone(), attempt);
        let rises = before.is_none_or(|before| attempt > before);
        self.demand(rises, || format!("{task} began attempt {attempt} after {before:?}"));
    }
}
