//! A fake executor with runs, ends and a lease, by the rules on which agents rely.

use {
    super::work::{ExecutorWork, StartOutcome},
    base::SeededRandom,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    workflow::{
        agent::{CallFailure, ExecutorView, StartRefusal, StartVerdict},
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::{EndReport, RunReport},
        state::EndKind,
    },
};

/// The number of runs that an executor holds unless it has shrunk.
pub const CAPACITY: usize = 6;
/// How much longer the runs of a shrinking executor last, so that there is always a shortage.
const LONGER_WORK: u64 = 5;
/// Time after a shrinkage in which a start may still count on the earlier capacity: heartbeats,
/// calls and processes are late.
const GRACE: Duration = Duration::from_millis(1000);

/// The capacities that one incarnation of an executor has had.
struct CapacityHistory {
    /// Whether the capacity changes. Such an executor does not guard it.
    changing: bool,
    /// Each capacity with the time until which it held, except the present one.
    earlier: Vec<(Duration, usize)>,
    present: usize,
}

impl CapacityHistory {
    fn new(changing: bool, present: usize) -> Self {
        Self { changing, earlier: Vec::new(), present }
    }

    fn change(&mut self, now: Duration, capacity: usize) {
        self.earlier.push((now, self.present));
        self.present = capacity;
    }

    /// Returns the number of runs up to which a start is admissible.
    fn admissible(&self, now: Duration) -> usize {
        let recent = self.earlier.iter().filter(|(until, _)| *until + GRACE >= now);
        recent.map(|(_, capacity)| *capacity).max().unwrap_or(0).max(self.present)
    }
}

pub struct FakeExecutor {
    name: Arc<str>,
    born: u64,
    random: SeededRandom,
    capacity: CapacityHistory,
    /// What the runs do, if they differ.
    work: Option<ExecutorWork>,
    deadline_ms: u64,
    fence: u64,
    /// Each task's run, and the time at which its work is complete.
    runs: BTreeMap<TaskKey, (u32, Duration)>,
    ends: Vec<EndReport>,
    last_end: u64,
    /// The lease expired after the ends up to this number, so their tasks may have started
    /// elsewhere.
    expired_up_to: u64,
    /// The highest run of each task that was stopped or has ended.
    highest_ended: BTreeMap<TaskKey, u32>,
}

impl FakeExecutor {
    pub fn new(name: &str, born: u64, seed: u64, changing: bool) -> Self {
        Self {
            name: Arc::from(name),
            born,
            random: SeededRandom::new(seed),
            capacity: CapacityHistory::new(changing, CAPACITY),
            work: None,
            deadline_ms: 0,
            fence: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            expired_up_to: 0,
            highest_ended: BTreeMap::new(),
        }
    }

    /// Starts a new incarnation, which has no state of the previous one and may have another id.
    pub fn restart(&mut self, born: u64, name: Option<&str>) {
        let seed = self.random.next_u64();
        let name = name.map_or_else(|| self.name.clone(), Arc::from);
        let capacity = CapacityHistory::new(self.capacity.changing, self.capacity.present);
        let work = self.work.take().map(ExecutorWork::restarted);
        *self = Self::new(&name, born, seed, capacity.changing);
        self.capacity = capacity;
        self.work = work;
    }

    /// Ends all runs, with nobody there to list their ends.
    pub fn leave(&mut self) {
        self.runs.clear();
        self.work = self.work.take().map(ExecutorWork::restarted);
    }

    /// Gives the executor runs that differ.
    pub fn with_work(mut self, work: ExecutorWork) -> Self {
        self.work = Some(work);
        self
    }

    /// Returns what the runs do, if they differ.
    pub fn mixed_work(&mut self) -> Option<&mut ExecutorWork> {
        self.work.as_mut()
    }

    /// Returns the number of runs that the executor holds.
    pub fn capacity(&self) -> usize {
        self.capacity.present
    }

    pub fn change_capacity(&mut self, now: Duration, capacity: usize) {
        self.capacity.change(now, capacity);
    }

    /// Returns the number of runs, and the number up to which a start is admissible.
    pub fn load(&self, now: Duration) -> (usize, usize) {
        (self.runs.len(), self.capacity.admissible(now))
    }

    pub fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { executor: self.name.clone(), started_ms: self.born }
    }

    /// Checks that a call is for this incarnation and bears a current fencing token. Connections
    /// end with an incarnation, so no call reaches the next one, which answers in its own name.
    pub fn admit(&mut self, worker: &WorkerIncarnation, fence: u64) -> Result<(), CallFailure> {
        if *worker != self.incarnation() {
            return Err(CallFailure::OtherIncarnation);
        }
        if fence < self.fence {
            return Err(CallFailure::Fenced);
        }
        self.fence = fence;
        Ok(())
    }

    pub fn running(&self) -> impl Iterator<Item = (TaskKey, u32)> + '_ {
        self.runs.iter().map(|(task, (run, _))| (*task, *run))
    }

    fn end(&mut self, task: TaskKey, end: EndKind) {
        let Some((run, _)) = self.runs.remove(&task) else { return };
        self.last_end += 1;
        let highest_ended = self.highest_ended.entry(task).or_default();
        *highest_ended = (*highest_ended).max(run);
        let checkpoint = match &mut self.work {
            Some(work) => work.remove(&task),
            None => format!("{task} at {run}"),
        };
        let number = self.last_end;
        self.ends.push(EndReport { number, task, run: RunNumber(run), end, checkpoint });
    }

    /// Ends runs whose work is complete, and all runs when the lease has expired.
    pub fn work(&mut self, now: Duration) {
        let expired = now.as_millis() as u64 >= self.deadline_ms;
        if expired {
            self.expired_up_to = self.last_end;
        }
        let tasks: Vec<(TaskKey, Duration)> =
            self.runs.iter().map(|(task, (_, until))| (*task, *until)).collect();
        let finished = self.work.as_mut().map(|work| work.advance(now)).unwrap_or_default();
        for (task, until) in tasks {
            if expired {
                self.end(task, EndKind::Expired);
            } else if let Some(end) = finished.get(&task) {
                self.end(task, *end);
            } else if until <= now {
                let failed = self.random.chance(0.1);
                self.end(task, if failed { EndKind::Failed } else { EndKind::Done });
            }
        }
    }

    /// Discards recorded ends. Returns the tasks among them that were done under a lease that has
    /// not expired since.
    pub fn forget(&mut self, acknowledged: u64) -> Vec<TaskKey> {
        let (forgotten, kept) =
            std::mem::take(&mut self.ends).into_iter().partition(|end| end.number <= acknowledged);
        self.ends = kept;
        let forgotten: Vec<EndReport> = forgotten;
        let under_lease = |end: &EndReport| end.number > self.expired_up_to;
        let done = forgotten.into_iter().filter(|end| end.end == EndKind::Done && under_lease(end));
        done.map(|end| end.task).collect()
    }

    pub fn poll(&mut self, now: Duration, deadline_ms: Option<u64>) -> ExecutorView {
        self.deadline_ms = self.deadline_ms.max(deadline_ms.unwrap_or(0));
        let row = |(task, (run, _)): (&TaskKey, &(u32, Duration))| RunReport {
            task: *task,
            run: RunNumber(*run),
            checkpoint: format!("{task} at {run}"),
            percent: 50,
            figure: 0,
        };
        ExecutorView {
            started_ms: self.born,
            clock_ms: now.as_millis() as u64,
            running: match &self.work {
                Some(work) => work.reports(),
                None => self.runs.iter().map(row).collect(),
            },
            finished: self.ends.clone(),
            more_finished: false,
            unreadable: Vec::new(),
        }
    }

    pub fn start(
        &mut self,
        now: Duration,
        task: TaskKey,
        run: u32,
        deadline_ms: u64,
        checkpoint: &str,
    ) -> StartVerdict {
        if self.runs.get(&task).is_some_and(|(current, _)| *current == run) {
            return StartVerdict::Started;
        }
        if self.highest_ended.get(&task).is_some_and(|highest_ended| run <= *highest_ended) {
            return StartVerdict::Old;
        }
        if deadline_ms <= now.as_millis() as u64 {
            return StartVerdict::Refused(StartRefusal::Late);
        }
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
        if let Some(work) = &mut self.work {
            return match work.start(now, task, run, checkpoint) {
                StartOutcome::Began => {
                    self.runs.insert(task, (run, Duration::MAX));
                    StartVerdict::Started
                }
                StartOutcome::Refused(refusal) => StartVerdict::Refused(refusal),
            };
        }
        if !self.capacity.changing && self.runs.len() >= CAPACITY {
            return StartVerdict::Refused(StartRefusal::NoCapacity);
        }
        let longer = if self.capacity.changing { LONGER_WORK } else { 1 };
        let work = Duration::from_millis(200 + self.random.below(400) as u64 * longer);
        self.runs.insert(task, (run, now + work));
        StartVerdict::Started
    }

    pub fn stop(&mut self, task: TaskKey, run: u32) {
        if self.runs.get(&task).is_some_and(|(current, _)| *current == run) {
            self.end(task, EndKind::Stopped);
        }
        let highest_ended = self.highest_ended.entry(task).or_default();
        *highest_ended = (*highest_ended).max(run);
    }
}
