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
        message::{EndReport, WorkerReport},
        plan::{CrashSuspect, Placement, SuspectTable},
        state::{EndKind, FlowCommand, FlowState, TaskPhase},
    },
    indexmap::IndexMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time that the runs of an executor that has ended wait for the report of the next one, which
/// tells whether it has crashed.
const VERDICT_TIME: Duration = Duration::from_secs(2);
/// Time that a task waits before it is given up by crashes at few addresses. Executors that go down
/// and up by themselves do so again meanwhile. Shorter than the time for which an accepted job may
/// have nothing running.
const DOUBT_TIME: Duration = Duration::from_secs(2);
/// Prefix of the names under which pending verdicts are in the log's table of addresses. No executor
/// has such a name, which is no part of a URL.
const VERDICT_PREFIX: &str = "verdict pending\n";
/// The text of a record whose verdict is known.
const SETTLED_VERDICT: &str = "settled";

/// The executor that an agent represented before its present one.
#[derive(Debug)]
pub(super) struct FormerWorker {
    pub(super) worker: WorkerIncarnation,
    pub(super) draining: bool,
    /// The present one.
    pub(super) successor: WorkerIncarnation,
}

/// An executor that has ended, and may have crashed.
#[derive(Debug)]
struct LostWorker {
    worker: WorkerIncarnation,
    address: Arc<str>,
    /// What was reported from the address next.
    successor: Option<WorkerIncarnation>,
    /// The tasks whose runs had begun and not settled.
    starting: Vec<TaskKey>,
    /// The tasks that had been placed and may have begun.
    unclear: Vec<TaskKey>,
    /// The tasks whose runs had settled.
    settled: Vec<TaskKey>,
}

impl LostWorker {
    fn new(worker: WorkerIncarnation, address: Arc<str>) -> Self {
        let (starting, unclear, settled) = Default::default();
        Self { worker, address, successor: None, starting, unclear, settled }
    }

    /// Reads a record of the log, without the tasks of jobs that have ended; `None` if nothing is
    /// left, or the record is none of a pending verdict. Also returns the tasks that have not been
    /// placed since.
    fn from_record(name: &str, text: &str, state: &FlowState) -> Option<(Self, Vec<TaskKey>)> {
        let address = name.strip_prefix(VERDICT_PREFIX)?;
        let mut lines = text.lines();
        let (started_ms, executor) = (lines.next()?.parse().ok()?, Arc::from(lines.next()?));
        let mut lost = Self::new(WorkerIncarnation { executor, started_ms }, Arc::from(address));
        let mut waiting = Vec::new();
        for list in [&mut lost.starting, &mut lost.unclear] {
            for (task, run) in lines.next()?.split(' ').filter_map(parse_run) {
                let Some(job) = state.job(task.job).filter(|job| job.outcome.is_none()) else {
                    continue;
                };
                list.push(task);
                let record = job.task(&task).filter(|record| record.run == run);
                if record.is_some_and(|record| record.phase == TaskPhase::Waiting) {
                    waiting.push(task);
                }
            }
        }
        (!lost.suspects().is_empty()).then_some((lost, waiting))
    }

    /// Returns the text from which a new leader reads the record. Settled runs are left out: what
    /// they are blamed for depends on crashes that are only in memory.
    fn to_record(&self, state: &FlowState) -> String {
        let run_of = |task: &TaskKey| state.task(task).map_or(RunNumber(0), |record| record.run);
        let list = |tasks: &[TaskKey]| {
            let runs = tasks.iter().map(|task| format!("{task}@{}", run_of(task)));
            runs.collect::<Vec<String>>().join(" ")
        };
        let WorkerIncarnation { executor, started_ms } = &self.worker;
        let (starting, unclear) = (list(&self.starting), list(&self.unclear));
        format!("{started_ms}\n{executor}\n{starting}\n{unclear}\n.")
    }

    /// Returns the tasks whose runs had not settled.
    fn suspects(&self) -> Vec<TaskKey> {
        self.starting.iter().chain(&self.unclear).copied().collect()
    }

    /// Forgets the suspects that have settled elsewhere since: their starts crash nothing.
    fn drop_settled_since(&mut self, suspects: &SuspectTable, state: &FlowState) {
        let settled = |task: &TaskKey| {
            state.task(task).is_some_and(|record| suspects.is_settled(task, record.run))
        };
        self.starting.retain(|task| !settled(task));
        self.unclear.retain(|task| !settled(task));
    }

    fn runs(&self) -> usize {
        self.starting.len() + self.unclear.len() + self.settled.len()
    }
}

/// Parses a task and its run in a record.
fn parse_run(text: &str) -> Option<(TaskKey, RunNumber)> {
    let (task, run) = text.split_once('@')?;
    Some((task.parse().ok()?, RunNumber(run.parse().ok()?)))
}

/// Crashes of a task that was running again when they were confirmed. They are recorded when that
/// run ends.
#[derive(Debug, Clone, Copy, Default)]
struct OwedCount {
    crashes: u32,
    unclear: u32,
    /// Whether the task is to be given up.
    given_up: bool,
}

/// A task that is given up unless the addresses of its crashes turn out to be at fault.
#[derive(Debug)]
struct DoubtedTask {
    /// The executor that has crashed last.
    worker: WorkerIncarnation,
    crashes: u32,
    until: Duration,
}

/// What a leader remembers of executors that may have crashed.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    /// By address.
    formers: IndexMap<Arc<str>, FormerWorker>,
    /// By address.
    lost: IndexMap<Arc<str>, LostWorker>,
    owed: BTreeMap<TaskKey, OwedCount>,
    doubted: BTreeMap<TaskKey, DoubtedTask>,
    /// The executors that do not answer their agents, by address.
    silent: IndexMap<Arc<str>, WorkerIncarnation>,
    /// The last executor that has ended while it drained, by address.
    drained: IndexMap<Arc<str>, WorkerIncarnation>,
    /// The last executor whose end was judged, by address. Agents repeat that it has ended.
    judged: IndexMap<Arc<str>, WorkerIncarnation>,
}

impl CrashWatch {
    /// Reads the pending verdicts of earlier leaders, and suspects the tasks that wait for them.
    pub(super) fn new(state: &FlowState, suspects: &mut SuspectTable, now: Duration) -> Self {
        let mut watch = Self::default();
        for (name, text) in state.executor_addresses() {
            let Some((lost, waiting)) = LostWorker::from_record(name, text, state) else {
                continue;
            };
            watch.lost.insert(lost.address.clone(), lost);
            waiting.into_iter().for_each(|task| suspects.suspect(task, now, now + VERDICT_TIME));
        }
        watch
    }

    /// Notes the executor that an agent reports, and the one that it represented before. An agent
    /// that restarts knows nothing of the former one, but the agent before it has told whether that
    /// one still answered: an executor that is lost with its agent goes silent together with it.
    pub(super) fn note_report(
        &mut self,
        address: &Arc<str>,
        report: &WorkerReport,
        former: Option<FormerWorker>,
    ) {
        let present = &report.worker;
        let silent = self.silent.shift_remove(address).filter(|silent| silent != present);
        let silent = silent.map(|worker| {
            let successor = present.clone();
            FormerWorker { worker, draining: false, successor }
        });
        if !report.responsive && report.drain_left_ms.is_none() {
            self.silent.insert(address.clone(), present.clone());
        }
        if let Some(former) = former.or(silent) {
            self.formers.insert(address.clone(), former);
        }
        if let Some(lost) = self.lost.get_mut(address) {
            lost.successor = Some(present.clone());
        }
    }

    /// Notes an executor that has ended while it drained. Its agent may report that before the next
    /// one.
    pub(super) fn note_drained(&mut self, address: Arc<str>, worker: WorkerIncarnation) {
        self.drained.insert(address, worker);
    }

    /// Returns whether an executor has ended while it drained.
    pub(super) fn has_drained(&self, address: &str, worker: &WorkerIncarnation) -> bool {
        self.drained.get(address) == Some(worker)
    }

    /// Returns the executor that followed one which did not drain, if the same agent has
    /// represented both.
    fn successor_of(&self, address: &str, worker: &WorkerIncarnation) -> Option<WorkerIncarnation> {
        let former = self.formers.get(address).filter(|former| former.worker == *worker)?;
        (!former.draining).then(|| former.successor.clone())
    }

    /// Sets what followed a lost executor, unless it is known.
    fn set_successor(&mut self, worker: &WorkerIncarnation, successor: Option<WorkerIncarnation>) {
        if let Some(lost) = self.lost.values_mut().find(|lost| lost.worker == *worker) {
            lost.successor = lost.successor.take().or(successor);
        }
    }

    /// Removes and returns the lost executor whose successor this is.
    fn take_preceding(&mut self, present: &WorkerIncarnation) -> Option<LostWorker> {
        let mut lost = self.lost.iter();
        let found = lost.position(|(_, lost)| lost.successor.as_ref() == Some(present))?;
        self.lost.shift_remove_index(found).map(|(_, lost)| lost)
    }

    /// Removes what preceded an executor, and returns its address if it had crashed.
    fn take_idle_crash(&mut self, present: &WorkerIncarnation) -> Option<Arc<str>> {
        let mut formers = self.formers.iter();
        let found = formers.position(|(_, former)| former.successor == *present)?;
        let (address, former) = self.formers.shift_remove_index(found)?;
        let before = self.judged.insert(address.clone(), former.worker.clone());
        let first = before.as_ref() != Some(&former.worker);
        let crashed = !former.draining && former.worker.started_ms < present.started_ms;
        (first && crashed).then_some(address)
    }

    /// Takes back that a task is to be given up when its run ends: that run has settled.
    pub(super) fn acquit(&mut self, task: &TaskKey) {
        if let Some(owed) = self.owed.get_mut(task) {
            owed.given_up = false;
        }
    }

    /// Forgets the tasks of a job that has ended.
    pub(super) fn forget_job(&mut self, job: JobKey) {
        self.owed.retain(|task, _| task.job != job);
        self.doubted.retain(|task, _| task.job != job);
    }

    fn lost_mut(&mut self, address: &Arc<str>, worker: &WorkerIncarnation) -> &mut LostWorker {
        let new = || LostWorker::new(worker.clone(), address.clone());
        let lost = self.lost.entry(address.clone()).or_insert_with(new);
        if lost.worker != *worker {
            *lost = new();
        }
        lost
    }
}

impl ControlNode {
    /// Notes the runs that an agent reports to have ended with their executor, before their ends
    /// are recorded. All of them had begun. Nothing more is placed on the executor. Agents repeat
    /// such reports, so that runs whose end is recorded don't count again.
    pub(super) fn note_certain_starts(&mut self, worker: &WorkerIncarnation, ends: &[EndReport]) {
        let ended = ends.iter().filter(|end| {
            let placed = self.placed_incarnation(worker, &end.task, end.run);
            let first = self.is_first_report(&placed, end.task, end.run);
            end.number == 0 && end.end == EndKind::Expired && first
        });
        let runs: Vec<(TaskKey, RunNumber)> = ended.map(|end| (end.task, end.run)).collect();
        let Some(leader) = &mut self.leader else { return };
        if runs.is_empty() || !leader.is_working(worker) {
            return;
        }
        if let Some(view) = leader.workers.get_mut(&worker.executor) {
            view.listed = false;
        }
        self.note_lost(worker, &runs, |lost| &mut lost.starting);
    }

    /// Notes the other runs of an executor that has ended, before their ends are recorded. They may
    /// have begun or not.
    pub(super) fn note_unclear_starts(
        &mut self,
        worker: &WorkerIncarnation,
        reason: LossReason,
        runs: &[Placement],
    ) {
        let Some(leader) = &mut self.leader else { return };
        let address = leader.speculative.executor_address_of(&worker.executor);
        let successor = address.and_then(|address| leader.crashes.successor_of(address, worker));
        let seen = match reason {
            LossReason::LeaseExpired => false,
            LossReason::Ended => leader.is_working(worker),
            LossReason::Replaced | LossReason::NewIncarnation => successor.is_some(),
        };
        let open = runs.iter().filter(|placed| !leader.pending.ends(&placed.task, placed.run));
        let runs: Vec<(TaskKey, RunNumber)> =
            open.map(|placed| (placed.task, placed.run)).collect();
        // Of an executor that has listed no runs to this leader, nobody knows which had settled. Its
        // agent has named those that had just begun.
        let listed = leader.workers.get(&worker.executor).is_some_and(|view| view.ever_listed);
        if !seen || reason == LossReason::Ended && !listed {
            return;
        }
        self.note_lost(worker, &runs, |lost| &mut lost.unclear);
        let Some(leader) = &mut self.leader else { return };
        leader.crashes.set_successor(worker, successor);
    }

    /// Adds runs to the record of a lost executor: the settled ones, and the others to a list.
    fn note_lost(
        &mut self,
        worker: &WorkerIncarnation,
        runs: &[(TaskKey, RunNumber)],
        list: fn(&mut LostWorker) -> &mut Vec<TaskKey>,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let Some(address) = leader.speculative.executor_address_of(&worker.executor).cloned()
        else {
            return;
        };
        // Without runs, a record only tells that the executor was there: an earlier verdict that is
        // still pending stays.
        if !runs.is_empty() || !leader.crashes.lost.contains_key(&address) {
            leader.crashes.lost_mut(&address, worker);
        }
        for (task, run) in runs {
            let lost = leader.crashes.lost_mut(&address, worker);
            if leader.suspects.is_settled(task, *run) {
                lost.settled.push(*task);
                continue;
            }
            list(lost).push(*task);
            let open = leader.speculative.job(task.job).is_some_and(|job| job.outcome.is_none());
            if open {
                leader.suspects.suspect(*task, now, now + VERDICT_TIME);
            }
        }
        let lost = leader.crashes.lost.get(&address).filter(|lost| !lost.suspects().is_empty());
        if let Some(text) = lost.map(|lost| lost.to_record(&leader.speculative)) {
            self.record_verdict(&address, text);
        }
    }

    /// Keeps a pending verdict in the log, in the entry that ends the runs, so that it survives the
    /// leader. The table of addresses holds it, since every build reads and keeps that.
    fn record_verdict(&mut self, address: &str, text: String) {
        let executor = Arc::from(format!("{VERDICT_PREFIX}{address}"));
        let place = Arc::from(text);
        self.propose(FlowCommand::RecordAddress { executor, place }, Vec::new());
    }

    /// Counts the end of an earlier executor at an address as a crash, now that the next one has
    /// listed its runs. An executor that answers again had not crashed.
    pub(super) fn confirm_crash(&mut self, present: &WorkerIncarnation) {
        let Some(leader) = &mut self.leader else { return };
        let idle = leader.crashes.take_idle_crash(present);
        let Some(lost) = leader.crashes.take_preceding(present) else {
            // Nothing ran there, so that the crash speaks against the address.
            if let Some(address) = idle {
                leader.suspects.ledger.note_crash(&address, Vec::new(), self.now);
            }
            return;
        };
        if !lost.suspects().is_empty() {
            // Only one record can have this text, so that settled records do not accumulate.
            self.record_verdict(&lost.address, SETTLED_VERDICT.to_owned());
        }
        let Some(leader) = &mut self.leader else { return };
        if lost.worker.started_ms < present.started_ms {
            self.count_crash(lost);
            return;
        }
        let now = self.now;
        for task in lost.suspects() {
            let before =
                leader.speculative.task(&task).is_some_and(|task| task.run.suspicions() > 0);
            leader.suspects.release(&task, now, before);
        }
    }

    /// Counts a crash for the tasks that are blamed, and gives up those that are proven to crash
    /// executors.
    fn count_crash(&mut self, mut lost: LostWorker) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let runs = lost.runs();
        lost.drop_settled_since(&leader.suspects, &leader.speculative);
        let suspects = match lost.suspects() {
            suspects if suspects.is_empty() => leader.suspects.blame_settled(&lost.settled),
            suspects => suspects,
        };
        let jobs: BTreeSet<JobKey> = suspects.iter().map(|task| task.job).collect();
        let one_job = jobs.len() == 1;
        // A start that may not have begun proves something only if its job was on trial.
        let tried = |task: &TaskKey| {
            leader.speculative.task(task).is_some_and(|task| task.run.suspicions() > 0)
        };
        let is_certain = |task: &TaskKey| {
            lost.starting.contains(task) || one_job && lost.unclear.contains(task) && tried(task)
        };
        let suspect = |task: &TaskKey| CrashSuspect { task: *task, certain: is_certain(task) };
        let blamed: Vec<CrashSuspect> = suspects.iter().map(suspect).collect();
        let earlier = |task: &TaskKey| leader.speculative.task(task).map(|task| task.run.crashes());
        for task in &suspects {
            leader.suspects.ledger.note_earlier(*task, earlier(task).unwrap_or(0));
        }
        // The log counts only crashes that prove something to the next leader.
        let unreliable = leader.suspects.ledger.is_unreliable(&lost.address, now);
        leader.suspects.ledger.note_crash(&lost.address, blamed.clone(), now);
        let worker = lost.worker;
        self.record(FlowEvent::ExecutorCrashed { worker: worker.clone(), runs, suspects, one_job });
        let mut counted = Vec::new();
        for CrashSuspect { task, certain } in blamed {
            let mut count = OwedCount::default();
            *if certain && !unreliable { &mut count.crashes } else { &mut count.unclear } = 1;
            let crashes = self.count_crash_of(&worker, task, count);
            counted.extend(crashes.filter(|_| certain).map(|crashes| (crashes, task)));
        }
        // The crashes of a task that is given up hardly speak against the others.
        counted.sort_unstable_by_key(|(crashes, _)| std::cmp::Reverse(*crashes));
        for (crashes, task) in counted {
            let leader = self.leader.as_ref();
            let Some(ledger) = leader.map(|leader| &leader.suspects.ledger) else { return };
            match (ledger.is_proven(&task, now), ledger.is_doubtful(&task)) {
                (true, true) => self.doubt(&worker, task, crashes),
                (true, false) => self.give_up(&worker, task, crashes),
                (false, _) => {}
            }
        }
    }

    /// Keeps a task from starting until its crashes are known to be its own. Lasting tasks are never
    /// given up.
    fn doubt(&mut self, worker: &WorkerIncarnation, task: TaskKey, crashes: u32) {
        let until = self.now + DOUBT_TIME;
        let Some(leader) = &mut self.leader else { return };
        let spec = leader.speculative.job(task.job).and_then(|job| job.step_spec(&task));
        if spec.is_none_or(|spec| spec.lasting) {
            return;
        }
        leader.suspects.suspect(task, self.now, until);
        let worker = worker.clone();
        leader.crashes.doubted.insert(task, DoubtedTask { worker, crashes, until });
    }

    /// Gives up the doubted tasks whose crashes nothing has explained meanwhile.
    pub(super) fn settle_doubts(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let due: Vec<TaskKey> = leader
            .crashes
            .doubted
            .iter()
            .filter(|(_, doubted)| doubted.until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let Some(leader) = &mut self.leader else { return };
            let proven = leader.suspects.ledger.is_proven(&task, now);
            if let Some(doubted) = leader.crashes.doubted.remove(&task).filter(|_| proven) {
                self.give_up(&doubted.worker, task, doubted.crashes);
            }
        }
    }

    /// Counts a crash for a task. Returns how many executors have crashed under it; `None` if the
    /// task is unknown.
    fn count_crash_of(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        count: OwedCount,
    ) -> Option<u32> {
        let now = self.now;
        let leader = self.leader.as_mut()?;
        let job = leader.speculative.job(task.job)?;
        let lasting = job.step_spec(&task)?.lasting;
        let run = job.task(&task)?.run;
        let owed = leader.crashes.owed.entry(task).or_default();
        owed.crashes += count.crashes;
        owed.unclear += count.unclear;
        let crashes = run.crashes() + owed.crashes;
        let suspicions = run.suspicions() + owed.crashes + owed.unclear;
        let pause = if lasting {
            SuspectTable::lasting_pause(crashes)
        } else {
            SuspectTable::unproven_pause(suspicions)
        };
        leader.suspects.suspect(task, now, now + pause);
        self.record_owed(worker, task);
        Some(crashes)
    }

    /// Fails a job because of one of its tasks. Lasting tasks have no limit of attempts: they only
    /// wait longer after each crash.
    fn give_up(&mut self, worker: &WorkerIncarnation, task: TaskKey, crashes: u32) {
        let Some(leader) = &mut self.leader else { return };
        let Some(job) = leader.speculative.job(task.job) else { return };
        let lasting = job.step_spec(&task).is_none_or(|spec| spec.lasting);
        if lasting || job.outcome.is_some() {
            return;
        }
        leader.suspects.ledger.convict(&task);
        leader.crashes.owed.entry(task).or_default().given_up = true;
        self.record(FlowEvent::TaskGivenUp { task, crashes, worker: worker.clone() });
        self.record_owed(worker, task);
    }

    /// Records the crashes of a task in the log, in its run number, unless it runs again. A task
    /// that is given up also uses up the attempts that it has left, so that its job fails.
    pub(super) fn record_owed(&mut self, worker: &WorkerIncarnation, task: TaskKey) {
        let Some(leader) = &mut self.leader else { return };
        let Some(owed) = leader.crashes.owed.get(&task).copied() else { return };
        let job = leader.speculative.job(task.job);
        let Some((job, record)) = job.and_then(|job| Some((job, job.task(&task)?))) else { return };
        let ending = leader.pending.ends(&task, record.run);
        if matches!(record.phase, TaskPhase::Placed(_)) && !ending {
            return;
        }
        let (attempts, failures) = (job.attempt_limit, record.failures);
        let mut run = leader.pending.last_run(&task).unwrap_or(record.run);
        leader.crashes.owed.remove(&task);
        if owed.crashes + owed.unclear > 0 {
            (0..owed.crashes).for_each(|_| run = run.after_crash());
            (0..owed.unclear).for_each(|_| run = run.after_unclear_crash());
            self.use_up_run(worker, task, run, EndKind::Expired);
        }
        if owed.given_up {
            for _ in failures..attempts {
                run = run.next();
                self.use_up_run(worker, task, run, EndKind::Failed);
            }
        }
    }

    /// Records a run that never starts: it is placed and ended in one entry of the log, so that no
    /// order for it goes out.
    pub(super) fn use_up_run(
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
