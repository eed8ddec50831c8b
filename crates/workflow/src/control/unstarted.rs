//! The pending jobs of each queue: those of which no run is known to have begun.
//!
//! A placed task may never start, because its executor is gone. Its job is pending again as soon as
//! the leader knows or has to assume so. The counts are kept for each queue, because callers poll
//! them.

use {
    super::ControlNode,
    crate::{
        job::{JobKey, TaskKey, WorkerIncarnation},
        message::{EndReport, RunReport},
        plan::WorkerTable,
        state::{CommandBatch, EndKind, FlowCommand, FlowState, JobRecord, TaskPhase},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time after its order, or after an agent has listed it as about to start, for which a run on a
/// responsive executor counts as begun. Agents list their runs every 800 ms, so that a run which
/// has begun is listed at work before this time is over.
const START_REPORT_TIMEOUT: Duration = Duration::from_millis(1200);

/// A job of which no run is known to have begun.
#[derive(Debug)]
struct UnstartedJob {
    queue: String,
    /// Whether an earlier leader has placed tasks of the job, so that runs may have begun that this
    /// leader has not heard of. Such a job is pending only while nothing of it is placed.
    inherited: bool,
    counted: bool,
}

/// The jobs of which no run is known to have begun.
#[derive(Debug, Default)]
pub(super) struct UnstartedJobs {
    jobs: BTreeMap<JobKey, UnstartedJob>,
    /// The number of counted jobs of each queue.
    counts: BTreeMap<String, u64>,
    /// The executors on which runs of counted jobs are expected to begin, with the time of the last
    /// order or list.
    expected: BTreeMap<JobKey, BTreeMap<WorkerIncarnation, Duration>>,
}

impl UnstartedJobs {
    /// Collects the jobs for a new leader, which knows of earlier runs only what the log holds.
    pub(super) fn new(state: &FlowState) -> Self {
        let mut unstarted = Self::default();
        let open = state.active_jobs().filter(|(_, job)| job.outcome.is_none());
        for (key, job) in open.filter(|(key, job)| !has_begun(*key, job)) {
            unstarted.add(key, job, job.begun);
        }
        unstarted
    }

    fn add(&mut self, key: JobKey, job: &JobRecord, inherited: bool) {
        let queue = job.queue.clone();
        self.jobs.entry(key).or_insert(UnstartedJob { queue, inherited, counted: false });
        self.refresh(key, job.placed);
    }

    /// Adds or subtracts a job after a change of the number of its placed tasks.
    fn refresh(&mut self, key: JobKey, placed: u32) {
        if placed == 0 {
            self.expected.remove(&key);
        }
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let counted = !job.inherited || placed == 0;
        if counted == std::mem::replace(&mut job.counted, counted) {
            return;
        }
        let count = self.counts.entry(job.queue.clone()).or_default();
        *count = if counted { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Removes a job that has begun or ended.
    pub(super) fn remove(&mut self, key: JobKey) {
        self.expected.remove(&key);
        let Some(job) = self.jobs.remove(&key) else { return };
        if let Some(count) = self.counts.get_mut(&job.queue).filter(|_| job.counted) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.counts.remove(&job.queue);
            }
        }
    }

    /// Notes that a run is ordered, or that an agent lists it as about to start.
    pub(super) fn note_expected(&mut self, key: JobKey, worker: &WorkerIncarnation, now: Duration) {
        if self.jobs.contains_key(&key) {
            self.expected.entry(key).or_default().insert(worker.clone(), now);
        }
    }

    /// Returns the number of pending jobs of a queue. The cost is that of the jobs whose first run
    /// was ordered within the last `START_REPORT_TIMEOUT`.
    fn pending_of(&mut self, queue: &str, workers: &WorkerTable, now: Duration) -> u64 {
        let recent = |at: &Duration| now.saturating_sub(*at) < START_REPORT_TIMEOUT;
        self.expected.retain(|_, runs| {
            runs.retain(|_, at| recent(at));
            !runs.is_empty()
        });
        let answers = |worker: &WorkerIncarnation| {
            let view = workers.get(&worker.executor);
            view.is_some_and(|view| view.incarnation() == worker && view.report.responsive)
        };
        let of_queue =
            |key: &JobKey| self.jobs.get(key).is_some_and(|job| job.counted && job.queue == queue);
        let beginning =
            self.expected.iter().filter(|(key, runs)| of_queue(key) && runs.keys().any(answers));
        let count = self.counts.get(queue).copied().unwrap_or(0);
        count.saturating_sub(beginning.count() as u64)
    }
}

/// Returns whether the log shows that a run of a job has begun.
fn has_begun(key: JobKey, job: &JobRecord) -> bool {
    job.begun
        && job.tasks(key).any(|(_, task)| {
            let left_trace = task.failures > 0 || !task.checkpoint.is_empty();
            task.phase == TaskPhase::Done || left_trace || task.run.crashes() > 0
        })
}

/// Returns whether a list shows a run at work. Agents also list runs that are about to start.
fn is_at_work(report: &RunReport) -> bool {
    report.percent > 0 || report.figure > 0 || !report.checkpoint.is_empty()
}

impl ControlNode {
    pub(super) fn pending_jobs(&mut self, queue: &str) -> Option<u64> {
        let leader = self.leader.as_mut()?;
        Some(leader.unstarted.pending_of(queue, &leader.workers, self.now))
    }

    /// Notes a listed run, which the log places on the worker.
    pub(super) fn note_listed(&mut self, worker: &WorkerIncarnation, report: &RunReport) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        if is_at_work(report) {
            leader.unstarted.remove(report.task.job);
        } else {
            leader.unstarted.note_expected(report.task.job, worker, now);
        }
    }

    /// Notes the ends of runs. A run has begun if its executor has listed the end, or if it ended
    /// with its executor: agents report these only if the start was confirmed.
    pub(super) fn note_begun_runs(&mut self, ends: &[EndReport]) {
        let Some(leader) = &mut self.leader else { return };
        for EndReport { number, task, end, .. } in ends {
            let begun = match end {
                EndKind::Refused => false,
                EndKind::Done | EndKind::Failed | EndKind::Expired => true,
                EndKind::Stopped | EndKind::GangBroken | EndKind::GangIncomplete => *number > 0,
            };
            if begun {
                leader.unstarted.remove(task.job);
            }
        }
    }

    /// Counts the jobs that an applied batch has added, and those of which it has ended runs.
    pub(super) fn count_unstarted(&mut self, batch: &CommandBatch, added: &BTreeSet<JobKey>) {
        let Some(leader) = &mut self.leader else { return };
        for key in added {
            let job = leader.speculative.job(*key).filter(|job| job.outcome.is_none());
            if let Some(job) = job {
                leader.unstarted.add(*key, job, false);
            }
        }
        for command in &batch.commands {
            let FlowCommand::End { task: TaskKey { job: key, .. }, .. } = command else { continue };
            let placed = leader.speculative.job(*key).map_or(0, |job| job.placed);
            leader.unstarted.refresh(*key, placed);
        }
    }

    /// Notes that a run of a job is placed and its order goes out with the commit.
    pub(super) fn note_placed_job(&mut self, key: JobKey, worker: &WorkerIncarnation) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let placed = leader.speculative.job(key).map_or(0, |job| job.placed);
        leader.unstarted.refresh(key, placed);
        leader.unstarted.note_expected(key, worker, now);
    }
}

/// Returns the jobs that commands submit and that a state does not know.
pub(super) fn added_jobs(commands: &[FlowCommand], state: &FlowState) -> BTreeSet<JobKey> {
    let submitted = commands.iter().filter_map(|command| match command {
        FlowCommand::Submit(submission) => Some(submission.job),
        _ => None,
    });
    submitted.filter(|key| state.job(*key).is_none()).collect()
}
