//! Crashes of executors: what counts as one, who is blamed, and when a task is given up.
//!
//! A crash is known by the next executor at the same address, or the next incarnation of the same
//! executor, that an agent reports which was there all the time. The end of a lease, a drain and the
//! loss of a machine with its agent are nobody's fault. `docs/decisions/crashes.md` has the design.

use {
    super::ControlNode,
    crate::{
        event::{FlowEvent, LossReason},
        job::{JobKey, RunNumber, TaskKey, WorkerIncarnation},
        message::EndReport,
        plan::{Placement, SuspectTable},
        state::{EndKind, FlowCommand},
    },
    indexmap::IndexMap,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// The number of executors that have crashed under a task when it is given up. At least one of them
/// must have had no other suspect.
const CRASH_LIMIT: u32 = 2;
/// Time that the runs of an executor that has ended wait for the report of the next one, which
/// tells whether it has crashed.
const VERDICT_TIME: Duration = Duration::from_secs(1);

/// The executor that an agent represented before its present one.
#[derive(Debug)]
pub(super) struct FormerWorker {
    pub(super) worker: WorkerIncarnation,
    pub(super) draining: bool,
}

/// An executor that has ended, and may have crashed.
#[derive(Debug)]
struct LostWorker {
    worker: WorkerIncarnation,
    /// The tasks whose runs had begun and not settled.
    starting: Vec<TaskKey>,
    /// The tasks that had been placed and may have begun.
    unclear: Vec<TaskKey>,
    /// The tasks whose runs had settled.
    settled: Vec<TaskKey>,
}

impl LostWorker {
    fn new(worker: WorkerIncarnation) -> Self {
        Self { worker, starting: Vec::new(), unclear: Vec::new(), settled: Vec::new() }
    }
}

/// What a leader remembers of executors that may have crashed, by address.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    formers: IndexMap<Arc<str>, FormerWorker>,
    lost: IndexMap<Arc<str>, LostWorker>,
}

impl CrashWatch {
    /// Notes the executor that an agent represented before the one that it reports now.
    pub(super) fn note_former(&mut self, address: &Arc<str>, former: FormerWorker) {
        self.formers.insert(address.clone(), former);
    }

    /// Returns whether an agent has reported the next executor that represented this one before,
    /// and that did not drain.
    fn is_witnessed(&self, address: &str, worker: &WorkerIncarnation) -> bool {
        let former = self.formers.get(address);
        former.is_some_and(|former| former.worker == *worker && !former.draining)
    }

    fn lost_mut(&mut self, address: &Arc<str>, worker: &WorkerIncarnation) -> &mut LostWorker {
        let new = || LostWorker::new(worker.clone());
        let lost = self.lost.entry(address.clone()).or_insert_with(new);
        if lost.worker != *worker {
            *lost = new();
        }
        lost
    }
}

impl ControlNode {
    /// Notes the runs that an agent reports to have ended with their executor, before their ends
    /// are recorded. All of them had begun.
    pub(super) fn note_ended_runs(&mut self, worker: &WorkerIncarnation, ends: &[EndReport]) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        if leader.is_draining(worker) {
            return;
        }
        let Some(address) = leader.speculative.executor_address_of(&worker.executor).cloned()
        else {
            return;
        };
        let ended = ends.iter().filter(|end| end.number == 0 && end.end == EndKind::Expired);
        for EndReport { task, run, .. } in ended {
            let lost = leader.crashes.lost_mut(&address, worker);
            if leader.suspects.is_settled(task, *run) {
                lost.settled.push(*task);
            } else {
                lost.starting.push(*task);
                leader.suspects.suspect(*task, now, now + VERDICT_TIME);
            }
        }
    }

    /// Notes the other runs of an executor that has ended, before their ends are recorded. They may
    /// have begun or not.
    pub(super) fn note_lost_runs(
        &mut self,
        worker: &WorkerIncarnation,
        reason: LossReason,
        runs: &[Placement],
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let Some(address) = leader.speculative.executor_address_of(&worker.executor).cloned()
        else {
            return;
        };
        let seen = match reason {
            LossReason::LeaseExpired => false,
            LossReason::Ended => !leader.is_draining(worker),
            LossReason::Replaced | LossReason::NewIncarnation => {
                leader.crashes.is_witnessed(&address, worker)
            }
        };
        if !seen {
            return;
        }
        for Placement { task, run, .. } in runs {
            let lost = leader.crashes.lost_mut(&address, worker);
            if lost.starting.contains(task) || lost.settled.contains(task) {
                continue;
            }
            if leader.suspects.is_settled(task, *run) {
                lost.settled.push(*task);
            } else {
                lost.unclear.push(*task);
                leader.suspects.suspect(*task, now, now + VERDICT_TIME);
            }
        }
    }

    /// Counts the end of an earlier executor at an address as a crash, now that the next one has
    /// listed its runs. An executor that answers again had not crashed.
    pub(super) fn confirm_crash(&mut self, present: &WorkerIncarnation) {
        let Some(leader) = &mut self.leader else { return };
        let address = leader.speculative.executor_address_of(&present.executor);
        let Some(lost) = address.and_then(|address| leader.crashes.lost.shift_remove(address))
        else {
            return;
        };
        if lost.worker.started_ms < present.started_ms {
            self.count_crash(lost);
        }
    }

    /// Counts a crash for the tasks that are blamed, and gives up one of them if it is certain.
    fn count_crash(&mut self, lost: LostWorker) {
        let Some(leader) = &mut self.leader else { return };
        let LostWorker { worker, starting, unclear, settled } = lost;
        let runs = starting.len() + unclear.len() + settled.len();
        let suspects: Vec<TaskKey> = if starting.is_empty() && unclear.is_empty() {
            leader.suspects.blame_settled(settled)
        } else {
            starting.iter().chain(&unclear).copied().collect()
        };
        let jobs: BTreeSet<JobKey> = suspects.iter().map(|task| task.job).collect();
        let one_job = jobs.len() == 1;
        // Beside others, only a run that has begun for certain counts.
        let counted: Vec<TaskKey> = if one_job || starting.is_empty() && unclear.is_empty() {
            suspects.clone()
        } else {
            starting
        };
        self.record(FlowEvent::ExecutorCrashed { worker: worker.clone(), runs, suspects, one_job });
        let counted: Vec<(TaskKey, RunNumber)> = counted
            .into_iter()
            .filter_map(|task| Some((task, self.count_crash_of(&worker, task, one_job)?)))
            .collect();
        let worst = counted.into_iter().max_by_key(|(_, run)| run.crashes());
        if let Some((task, run)) = worst {
            if run.proven_crashes() > 0 && run.crashes() >= CRASH_LIMIT && one_job {
                self.give_up(&worker, task, run);
            }
        }
    }

    /// Counts a crash for a task, in the log. Returns the run number that holds the counts; `None`
    /// if the task is unknown.
    fn count_crash_of(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        proven: bool,
    ) -> Option<RunNumber> {
        let now = self.now;
        let leader = self.leader.as_mut()?;
        let job = leader.speculative.job(task.job)?;
        let lasting = job.step_spec(&task)?.lasting;
        let run = job.task(&task)?.run;
        let run = if proven { run.after_proven_crash() } else { run.after_crash() };
        let pause =
            if lasting { SuspectTable::lasting_pause(run.crashes()) } else { Duration::ZERO };
        leader.suspects.suspect(task, now, now + pause);
        self.use_up_run(worker, task, run, EndKind::Expired);
        Some(run)
    }

    /// Fails a job by using up the attempts of one of its tasks. Lasting tasks have no limit of
    /// attempts: they only wait longer after each crash.
    fn give_up(&mut self, worker: &WorkerIncarnation, task: TaskKey, mut run: RunNumber) {
        let Some(job) = self.leader.as_ref().and_then(|leader| leader.speculative.job(task.job))
        else {
            return;
        };
        let (Some(spec), Some(record)) = (job.step_spec(&task), job.task(&task)) else { return };
        if spec.lasting || job.outcome.is_some() {
            return;
        }
        let left = job.attempt_limit.saturating_sub(record.failures);
        let crashes = run.crashes();
        self.record(FlowEvent::TaskGivenUp { task, crashes, worker: worker.clone() });
        for _ in 0..left {
            run = run.next();
            self.use_up_run(worker, task, run, EndKind::Failed);
        }
    }

    /// Records a run that never starts: it is placed and ended in one entry of the log, so that no
    /// order for it goes out.
    fn use_up_run(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
        end: EndKind,
    ) {
        let worker = worker.clone();
        self.propose(FlowCommand::Place { task, run, worker: worker.clone() }, Vec::new());
        let checkpoint = String::new();
        self.propose(FlowCommand::End { task, run, worker, end, checkpoint }, Vec::new());
    }
}
