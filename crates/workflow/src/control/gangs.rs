//! Ends of gangs. A run of a gang is one attempt, whichever of its members end as failed, and over as
//! soon as one of them has ended.
//!
//! The log counts an attempt for each end that it records as failed, so that the leader records only
//! the first one of a run. It marks that run as counted in the run number of the member, by a run
//! that is placed and ended in the same entry. `docs/decisions/gangs.md` says why.

use {
    super::{leader::LeaderState, ControlNode},
    crate::{
        job::{RunNumber, TaskKey, WorkerIncarnation},
        state::{EndKind, TaskPhase},
    },
};

impl LeaderState {
    /// Returns whether another member's end has counted this run of a gang as failed.
    pub(super) fn is_failure_counted(&self, task: &TaskKey, run: RunNumber) -> bool {
        let Some(job) = self.speculative.job(task.job) else { return false };
        if !job.step_spec(task).is_some_and(|spec| spec.gang) {
            return false;
        }
        let marked = job
            .step_record(task)
            .is_some_and(|step| step.tasks.iter().any(|member| member.run.counts_failure_of(run)));
        marked || self.pending.failed_runs.contains(&(task.step_key(), run))
    }

    /// Returns whether a member of a placed task's gang has ended the present run. The rest of the run
    /// is of no use: its members would wait for the one that is missing.
    pub(super) fn is_gang_broken(&self, task: &TaskKey) -> bool {
        let Some(job) = self.speculative.job(task.job) else { return false };
        let gang = job.step_spec(task).is_some_and(|spec| spec.gang);
        let step = job.step_record(task).filter(|_| gang);
        step.is_some_and(|step| {
            step.tasks.iter().any(|member| !matches!(member.phase, TaskPhase::Placed(_)))
        })
    }

    /// Returns whether another member of a task's gang is placed as this run, and not about to end.
    fn has_placed_member(&self, task: &TaskKey, run: RunNumber) -> bool {
        let Some(job) = self.speculative.job(task.job) else { return false };
        let gang = job.step_spec(task).is_some_and(|spec| spec.gang);
        let Some(step) = job.step_record(task).filter(|_| gang) else { return false };
        (0..).zip(&step.tasks).any(|(index, member)| {
            let key = TaskKey { index, ..*task };
            let placed = matches!(member.phase, TaskPhase::Placed(_)) && member.run == run;
            placed && key != *task && !self.pending.ends(&key, run)
        })
    }
}

impl ControlNode {
    /// Returns the end to record in the log for one that an agent has reported.
    pub(super) fn end_to_record(&self, task: &TaskKey, run: RunNumber, end: EndKind) -> EndKind {
        let counted =
            self.leader.as_ref().is_some_and(|leader| leader.is_failure_counted(task, run));
        if end == EndKind::Failed && counted {
            return EndKind::GangBroken;
        }
        end
    }

    /// Notes that the proposed end of a run counts it as failed. Marks the run of a gang in the log
    /// while other members may still end as failed.
    pub(super) fn note_failed_run(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
    ) {
        let Some(leader) = &mut self.leader else { return };
        leader.pending.failed_runs.insert((task.step_key(), run));
        if leader.has_placed_member(&task, run) {
            self.use_up_run(worker, task, run.after_counted_failure(), EndKind::Expired);
        }
    }
}
