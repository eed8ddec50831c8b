//! Checks the guarantees of the system from outside: from what ran where and from the replies to
//! callers, never from the reducers' own state.

use {
    super::agent::AgentAction,
    base::{AttemptNumber, CheckpointId, ReplicaId, RevisionNumber, TaskId, WorkerId},
    proto::messages::{DispatchId, IdempotencyKey},
    std::collections::{BTreeMap, BTreeSet},
};

/// The observed history of a fleet.
#[derive(Debug, Default)]
pub struct FleetWitness {
    running: BTreeMap<TaskId, (WorkerId, AttemptNumber)>,
    started: BTreeSet<(TaskId, AttemptNumber)>,
    last_started: BTreeMap<TaskId, AttemptNumber>,
    resumed: BTreeMap<CheckpointId, AttemptNumber>,
    finished: BTreeSet<TaskId>,
    accepted: RevisionNumber,
    in_force: BTreeMap<ReplicaId, RevisionNumber>,
    holders: BTreeMap<IdempotencyKey, DispatchId>,
    claimed: BTreeMap<DispatchId, DispatchId>,
    answers: BTreeMap<String, String>,
    pub violations: Vec<String>,
}

impl FleetWitness {
    fn require(&mut self, holds: bool, broken: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(broken());
        }
    }

    /// Checks that no task runs in two places, no attempt starts twice, attempt numbers only rise, and
    /// no finished task runs again. Records which attempt resumed from each checkpoint.
    pub fn record_action(&mut self, worker: &WorkerId, action: &AgentAction) {
        match action {
            AgentAction::Started(assignment) => {
                let (task, attempt) = (assignment.task.clone(), assignment.attempt);
                let other = self.running.insert(task.clone(), (worker.clone(), attempt));
                self.require(other.is_none(), || format!("{task} runs on {worker} and {other:?}"));
                let fresh = self.started.insert((task.clone(), attempt));
                self.require(fresh, || format!("{task}#{attempt} started twice"));
                let last = self.last_started.insert(task.clone(), attempt);
                self.require(last < Some(attempt), || format!("{task}#{attempt} after {last:?}"));
                let ended = self.finished.contains(&task);
                self.require(!ended, || format!("{task} runs again after it finished"));
                if let Some(checkpoint) = &assignment.checkpoint {
                    self.resumed.insert(checkpoint.clone(), attempt);
                }
            }
            AgentAction::Stopped(task, attempt, _) => {
                let held = self.running.get(task) == Some(&(worker.clone(), *attempt));
                if held {
                    self.running.remove(task);
                }
            }
        }
    }

    /// Records that an operator received the status of a finished task.
    pub fn record_reported_end(&mut self, task: TaskId) {
        self.finished.insert(task);
    }

    /// Checks that the revision in force in a replica never goes back, except by a restart.
    pub fn in_force(&mut self, replica: ReplicaId, revision: RevisionNumber, restarted: bool) {
        let before = self.in_force.insert(replica, revision).unwrap_or_default();
        self.require(restarted || before <= revision, || {
            format!("replica {replica} went from revision {before} to {revision}")
        });
    }

    /// Checks that no two operators receive the acceptance of the same revision.
    pub fn accepted(&mut self, revision: RevisionNumber, fresh: bool) {
        let rises = revision > self.accepted;
        self.require(rises || !fresh, || format!("revision {revision} was accepted twice"));
        self.accepted = self.accepted.max(revision);
    }

    /// Checks that a leader answers with a revision no older than the accepted one.
    pub fn read_revision(&mut self, revision: RevisionNumber) {
        let accepted = self.accepted;
        self.require(revision >= accepted, || format!("{revision} was read after {accepted}"));
    }

    /// Records a claim that replaces another one, whose target was fenced. The grant may be lost on
    /// the way, and the claim may be replaced in turn.
    pub fn claimed(&mut self, dispatch: &DispatchId, replaces: Option<&DispatchId>) {
        if let Some(replaces) = replaces {
            self.claimed.insert(dispatch.clone(), replaces.clone());
        }
    }

    /// Checks that nobody else holds the key of a granted claim. The claim may replace the holder's
    /// claim, or one that has replaced it.
    pub fn granted(
        &mut self,
        key: &IdempotencyKey,
        dispatch: &DispatchId,
        replaces: Option<&DispatchId>,
    ) {
        let holder = self.holders.insert(key.clone(), dispatch.clone());
        let free = match &holder {
            None => true,
            Some(holder) if holder == dispatch => true,
            Some(holder) => {
                let earlier = |dispatch: &DispatchId| self.claimed.get(dispatch).cloned();
                std::iter::successors(replaces.cloned(), earlier).any(|fenced| fenced == *holder)
            }
        };
        self.require(free, || format!("{} granted to {dispatch} beside {holder:?}", key.text));
    }

    /// Records that the holder's entry reported its request as not run, so the key may be free from
    /// now on.
    pub fn freed(&mut self, key: &IdempotencyKey) {
        self.holders.remove(key);
    }

    /// Checks that a resent submission gets its first reply.
    pub fn answered(&mut self, submission: &str, answer: &str) {
        let first = self.answers.entry(submission.to_owned()).or_insert(answer.to_owned()).clone();
        self.require(first == answer, || format!("{submission}: first {first}, now {answer}"));
    }
}
