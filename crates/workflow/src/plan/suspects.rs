//! Which tasks may have crashed an executor, and how long runs have outlived their start.
//!
//! Everything that ran on a crashed executor may have crashed it. Most likely is a run that had only
//! just begun: runs which have settled are blamed only if there is no such run, and then from the
//! second crash around them on. The counts are in
//! the log, with the tasks (`RunNumber::crashes`); this table holds what a leader sees for itself.
//! `docs/decisions/crashes.md` has the design.

use {
    super::crash_ledger::CrashLedger,
    crate::{
        job::{JobKey, RunNumber, TaskKey},
        state::{FlowState, TaskPhase},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// The time after which a run that its executor lists at work has settled, while no executor has
/// crashed under its task.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Factor by which each crash under a task prolongs the time until its runs have settled.
const SETTLE_GROWTH: u32 = 2;
/// Crashes beyond which the settle time grows no further.
const SETTLE_GROWTH_LIMIT: u32 = 4;
/// Crashes without another suspect after which settled runs are blamed: one may have any cause.
const BYSTANDER_CRASHES: u32 = 2;
/// Pause before a lasting task starts again after the second crash under it. Doubles with each
/// further one.
const LASTING_PAUSE: Duration = Duration::from_secs(1);
/// Limit of the doublings of that pause.
const LASTING_PAUSE_DOUBLINGS: u32 = 2;
/// Crashes around any other task that have proven nothing and after which it waits for its next
/// trial.
const UNPROVEN_CRASHES: u32 = 5;
/// Pause before that trial. Doubles with each further crash.
const UNPROVEN_PAUSE: Duration = Duration::from_secs(1);
/// Limit of the doublings of that pause.
const UNPROVEN_PAUSE_DOUBLINGS: u32 = 1;

/// The time from a run's placement, or its first report, to the last report that lists it at work.
#[derive(Debug, Clone, Copy)]
struct RunAge {
    run: RunNumber,
    first: Duration,
    last: Duration,
}

/// A suspected task.
#[derive(Debug, Clone, Copy)]
struct SuspectRecord {
    /// When the task was last suspected.
    since: Duration,
    /// The task does not start before this time.
    held_until: Duration,
}

/// The suspected tasks, and the ages of the runs.
#[derive(Debug, Default)]
pub struct SuspectTable {
    ages: HashMap<TaskKey, RunAge>,
    suspects: BTreeMap<TaskKey, SuspectRecord>,
    /// The number of crashes around tasks whose runs had settled, where no run had just begun.
    bystanders: BTreeMap<TaskKey, u32>,
    /// Which executors have crashed where, and under which tasks.
    pub ledger: CrashLedger,
}

impl SuspectTable {
    /// Creates the table of a new leader: it suspects the waiting tasks that the log counts crashes
    /// for.
    pub fn new(state: &FlowState, now: Duration) -> Self {
        let mut table = Self::default();
        for (key, job) in state.active_jobs() {
            let counted = job
                .tasks(key)
                .filter(|(_, task)| task.phase == TaskPhase::Waiting && task.run.suspicions() > 0);
            counted.for_each(|(task, _)| table.suspect(task, now, now));
        }
        table
    }

    /// Notes that a run is placed.
    pub fn note_placed(&mut self, task: TaskKey, run: RunNumber, now: Duration) {
        self.ages.insert(task, RunAge { run, first: now, last: now });
    }

    /// Notes that an executor lists a run at work. A task whose run has settled is no longer
    /// suspected, and cleared of the crashes before.
    pub fn note_at_work(&mut self, task: TaskKey, run: RunNumber, now: Duration) {
        let age = self.ages.entry(task).or_insert(RunAge { run, first: now, last: now });
        if age.run != run {
            *age = RunAge { run, first: now, last: now };
        }
        age.last = now;
        if !self.is_settled(&task, run) {
            return;
        }
        let suspected = self.suspects.remove(&task).is_some();
        // A leader does not suspect the tasks that run when it begins to lead.
        if suspected || run.crashes() > 0 && !self.ledger.is_cleared(&task) {
            self.ledger.clear(task);
        }
    }

    /// Forgets a run that has ended. A task that has completed its work is no longer suspected.
    pub fn forget_run(&mut self, task: &TaskKey, done: bool) {
        self.ages.remove(task);
        if done {
            self.suspects.remove(task);
            self.bystanders.remove(task);
            self.ledger.forget_task(task);
        }
    }

    /// Forgets the tasks of a job that has ended.
    pub fn forget_job(&mut self, job: JobKey) {
        self.suspects.retain(|task, _| task.job != job);
        self.bystanders.retain(|task, _| task.job != job);
        self.ages.retain(|task, _| task.job != job);
        self.ledger.forget_job(job);
    }

    /// Returns whether a run has been at work for so long that its start has crashed nothing.
    pub fn is_settled(&self, task: &TaskKey, run: RunNumber) -> bool {
        let growth = SETTLE_GROWTH.pow(run.suspicions().min(SETTLE_GROWTH_LIMIT));
        let age = self.ages.get(task).filter(|age| age.run == run);
        age.is_some_and(|age| age.last - age.first >= SETTLE_TIME * growth)
    }

    /// Suspects a task, which does not start before `held_until`.
    pub fn suspect(&mut self, task: TaskKey, now: Duration, held_until: Duration) {
        self.suspects.insert(task, SuspectRecord { since: now, held_until });
    }

    /// Ends the wait of a task whose executor had not crashed. The task stays suspected only if it
    /// was before.
    pub fn release(&mut self, task: &TaskKey, now: Duration, before: bool) {
        if !before {
            self.suspects.remove(task);
        } else if let Some(record) = self.suspects.get_mut(task) {
            record.held_until = now;
        }
    }

    /// Returns how long a lasting task waits after a crash under it.
    pub fn lasting_pause(crashes: u32) -> Duration {
        match crashes.checked_sub(2) {
            None => Duration::ZERO,
            Some(doublings) => LASTING_PAUSE * 2_u32.pow(doublings.min(LASTING_PAUSE_DOUBLINGS)),
        }
    }

    /// Returns how long another task waits after a crash around it.
    pub fn unproven_pause(suspicions: u32) -> Duration {
        match suspicions.checked_sub(UNPROVEN_CRASHES) {
            None => Duration::ZERO,
            Some(doublings) => UNPROVEN_PAUSE * 2_u32.pow(doublings.min(UNPROVEN_PAUSE_DOUBLINGS)),
        }
    }

    /// Chooses the tasks to blame for a crash around settled runs only: those that an executor has
    /// crashed around before.
    pub fn blame_settled(&mut self, tasks: &[TaskKey]) -> Vec<TaskKey> {
        let mut blamed = Vec::new();
        for task in tasks {
            let crashes = self.bystanders.entry(*task).or_default();
            *crashes += 1;
            if *crashes >= BYSTANDER_CRASHES {
                blamed.push(*task);
            }
        }
        blamed
    }

    /// Returns whether a task is suspected: it has not settled since an executor crashed under it.
    pub fn is_suspect(&self, task: &TaskKey) -> bool {
        self.suspects.contains_key(task)
    }

    /// Returns whether any task of a job is suspected.
    pub fn has_suspects(&self, job: JobKey) -> bool {
        self.records_of(job).next().is_some()
    }

    /// Returns whether a suspected task of a job has to wait.
    pub fn is_held(&self, job: JobKey, now: Duration) -> bool {
        self.records_of(job).any(|record| now < record.held_until)
    }

    /// Returns since when the tasks of a job have been suspected; `None` if they are not.
    pub fn suspected_since(&self, job: JobKey) -> Option<Duration> {
        self.records_of(job).map(|record| record.since).min()
    }

    fn records_of(&self, job: JobKey) -> impl Iterator<Item = &SuspectRecord> {
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let records = self.suspects.range(first..);
        records.take_while(move |(task, _)| task.job == job).map(|(_, record)| record)
    }
}
