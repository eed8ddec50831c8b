//! What an outsider may demand: judged from what ran where and what callers were told, never from
//! the reducers' own state.

use {
    super::agent::AgentAction,
    base::{AttemptNumber, CheckpointId, ReplicaId, RevisionNumber, TaskId, WorkerId},
    proto::messages::{DispatchId, IdempotencyKey},
    std::collections::{BTreeMap, BTreeSet},
};

/// The history of a fleet.
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
    fn demand(&mut self, holds: bool, broken: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(broken());
        }
    }

    /// Nothing runs in two places, no attempt starts twice, attempts only rise, and a checkpoint is
    /// resumed from once.
    pub fn acted(&mut self, worker: &WorkerId, action: &AgentAction) {
        match action {
            AgentAction::Started(assignment) => {
                let (task, attempt) = (assignment.task.clone(), assignment.attempt);
                let other = self.running.insert(task.clone(), (worker.clone(), attempt));
                self.demand(other.is_none(), || format!("{task} runs on {worker} and {other:?}"));
                let fresh = self.started.insert((task.clone(), attempt));
                self.demand(fresh, || format!("{task}#{attempt} started twice"));
                let last = self.last_started.insert(task.clone(), attempt);
                self.demand(last < Some(attempt), || format!("{task}#{attempt} after {last:?}"));
                let ended = self.finished.contains(&task);
                self.demand(!ended, || format!("{task} runs again after it finished"));
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

    /// An operator was told that a task finished.
    pub fn told_finished(&mut self, task: TaskId) {
        self.finished.insert(task);
    }

    /// A revision is in force in a replica; it never goes back.
    pub fn in_force(&mut self, replica: ReplicaId, revision: RevisionNumber, restarted: bool) {
        let before = self.in_force.insert(replica, revision).unwrap_or_default();
        self.demand(restarted || before <= revision, || {
            format!("replica {replica} went from revision {before} to {revision}")
        });
    }

    /// An operator was told that a revision is accepted; no two are told the same one.
    pub fn accepted(&mut self, revision: RevisionNumber, fresh: bool) {
        let rises = revision > self.accepted;
        self.demand(rises || !fresh, || format!("revision {revision} was accepted twice"));
        self.accepted = self.accepted.max(revision);
    }

    /// A leader answered with the revision that it believes to be accepted.
    pub fn read_revision(&mut self, revision: RevisionNumber) {
        let accepted = self.accepted;
        self.demand(revision >= accepted, || format!("{revision} was read after {accepted}"));
    }

    /// A claim is sent that replaces another one, whose target was fenced. Its grant may get lost on
    /// the way, and be replaced in turn.
    pub fn claimed(&mut self, dispatch: &DispatchId, replaces: Option<&DispatchId>) {
        if let Some(replaces) = replaces {
            self.claimed.insert(dispatch.clone(), replaces.clone());
        }
    }

    /// A claim was granted: nobody else may hold the key. It may replace the holder's claim, or one
    /// that has replaced it.
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
        self.demand(free, || format!("{} granted to {dispatch} beside {holder:?}", key.text));
    }

    /// The holder's entry says that its request did not run: from now on the key may be free.
    pub fn freed(&mut self, key: &IdempotencyKey) {
        self.holders.remove(key);
    }

    /// A submission was answered; a resend gets the first answer.
    pub fn answered(&mut self, submission: &str, answer: &str) {
        let first = self.answers.entry(submission.to_owned()).or_insert(answer.to_owned()).clone();
        self.demand(first == answer, || format!("{submission}: first {first}, now {answer}"));
    }
}
