//! Placement: decides which waiting task starts on which worker.
//!
//! One pass serves the tasks of every open step, a step whose dependencies are done, ordered by
//! priority, by what the job can still reach and by the work it has left. A placement keeps its
//! reservation until the end of its run is proposed. A start that uses the freed capacity is sent
//! only when the log holds that end, so that the same capacity never serves two runs.

mod interference;
mod reservations;
mod score;
mod urgency;
mod worker;

pub use {
    interference::{BestEffortShare, ImageName, InterferenceTable, LearnedPair},
    worker::{WorkerTable, WorkerView},
};

use {
    self::{
        reservations::ReservationTable,
        score::{best_worker, StepRequest},
        urgency::{prospect_of, remaining_work, JobProspect},
    },
    crate::{
        job::{JobKey, QueueRule, RunNumber, TaskKey, WorkerIncarnation},
        state::{FlowState, JobRecord, StepRecord, TaskPhase},
    },
    std::time::Duration,
};

/// A decision to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The task to start.
    pub task: TaskKey,
    /// The number of the run to start.
    pub run: RunNumber,
    /// The worker, in its current incarnation, that runs the task.
    pub worker: WorkerIncarnation,
}

/// The time at which a pass takes place.
#[derive(Debug, Clone, Copy)]
pub struct PlanTime {
    /// The leader's clock.
    pub now: Duration,
    /// Milliseconds since the Unix epoch, for jobs with a schedule.
    pub wall_ms: u64,
}

/// Age of a job in milliseconds from which, with nothing placed, its best-effort tasks may start
/// beside latency-critical tasks whose targets they put at risk. Throttling then protects the
/// targets.
const STARVATION_MS: u64 = 1500;
/// Reserved share of a service's processors below which a job may count as starving. Above it,
/// other tasks occupy the capacity that the job waits for.
const STARVATION_LOAD: f64 = 0.6;

/// The inputs and reservations of one pass.
struct PlanPass<'a> {
    state: &'a FlowState,
    workers: &'a WorkerTable,
    learned: &'a InterferenceTable,
    time: PlanTime,
    reservations: &'a mut ReservationTable,
}

/// The waiting tasks of one step.
struct OpenStep<'a> {
    job: JobKey,
    record: &'a JobRecord,
    occurrence: u32,
    step: u16,
    prospect: JobProspect,
    /// The configured rule of the job's queue, if the queue is configured.
    rule: Option<&'a QueueRule>,
}

impl OpenStep<'_> {
    fn tasks(&self) -> &StepRecord {
        &self.record.occurrences[self.occurrence as usize].steps[usize::from(self.step)]
    }

    fn key(&self, index: usize) -> TaskKey {
        let (job, occurrence, step) = (self.job, self.occurrence, self.step);
        TaskKey { job, occurrence, step, index: index as u16 }
    }

    fn waiting(&self) -> impl Iterator<Item = usize> + '_ {
        let tasks = self.tasks().tasks.iter().enumerate();
        tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting).map(|(index, _)| index)
    }
}

/// Chooses a worker with enough free capacity for every waiting task that may start now.
pub fn plan(
    state: &FlowState,
    workers: &WorkerTable,
    learned: &InterferenceTable,
    time: PlanTime,
) -> Vec<Placement> {
    let mut steps = open_steps(state, time);
    if steps.is_empty() {
        return Vec::new();
    }
    steps.sort_by_cached_key(|step| {
        (
            step.record.priority,
            step.prospect,
            remaining_work(step.record, step.occurrence),
            step.job,
        )
    });
    let mut reservations = ReservationTable::new(state, workers);
    let mut pass = PlanPass { state, workers, learned, time, reservations: &mut reservations };
    let mut placements = Vec::new();
    for step in &steps {
        place_step(step, &mut pass, &mut placements);
    }
    placements
}

fn open_steps(state: &FlowState, time: PlanTime) -> Vec<OpenStep<'_>> {
    let mut open = Vec::new();
    for (job, record) in state.active_jobs() {
        if record.outcome.is_some() || record.unfinished == record.placed {
            continue;
        }
        let rule = state.config().and_then(|config| config.queue(&record.queue));
        for (occurrence, steps) in record.occurrences.iter().enumerate() {
            let due = record.spec.due_ms(occurrence as u32);
            if due.is_some_and(|due| due > time.wall_ms) {
                continue;
            }
            let age_ms = match due {
                Some(due) => time.wall_ms.saturating_sub(due),
                None => state.clock_ms().saturating_sub(record.accepted_ms),
            };
            let prospect = prospect_of(record, steps, rule, age_ms);
            for (step, spec) in record.spec.steps.iter().enumerate() {
                let tasks = &steps.steps[step];
                if !tasks.is_done() && steps.is_open(spec) {
                    let (occurrence, step) = (occurrence as u32, step as u16);
                    open.push(OpenStep { job, record, occurrence, step, prospect, rule });
                }
            }
        }
    }
    open
}

fn place_step(step: &OpenStep<'_>, pass: &mut PlanPass<'_>, placements: &mut Vec<Placement>) {
    let spec = &step.record.spec.steps[usize::from(step.step)];
    let service = step.rule.map_or(step.record.service.as_str(), |rule| rule.service.as_str());
    let rack = pass.reservations.rack_for(step.tasks(), spec, service, pass.workers, pass.time.now);
    let waited = pass.state.clock_ms().saturating_sub(step.record.accepted_ms);
    let idle = || pass.reservations.load_of(service, pass.workers, pass.time.now) < STARVATION_LOAD;
    let starving = step.record.placed == 0 && waited > STARVATION_MS && idle();
    let request = StepRequest { spec, service, rack: rack.as_deref(), starving };
    if spec.gang {
        place_gang(step, &request, pass, placements);
        return;
    }
    for index in step.waiting() {
        let key = step.key(index);
        let Some(worker) = best_worker(&key, &request, pass) else {
            // All tasks of a step have the same demand: if one does not fit, none does.
            return;
        };
        let run = RunNumber(step.tasks().tasks[index].run.0 + 1);
        pass.reservations.reserve(&worker, &key, spec);
        placements.push(Placement { task: key, run, worker });
    }
}

/// Starts all members of a gang together under one run number, or none of them.
fn place_gang(
    step: &OpenStep<'_>,
    request: &StepRequest<'_>,
    pass: &mut PlanPass<'_>,
    placements: &mut Vec<Placement>,
) {
    let tasks = &step.tasks().tasks;
    if step.waiting().count() != tasks.len() {
        return;
    }
    let run = RunNumber(tasks.iter().map(|task| task.run.0).max().unwrap_or(0) + 1);
    let mut members = Vec::new();
    for index in 0..tasks.len() {
        let key = step.key(index);
        let Some(worker) = best_worker(&key, request, pass) else {
            for Placement { task, worker, .. } in &members {
                pass.reservations.release(worker, task, request.spec);
            }
            return;
        };
        pass.reservations.reserve(&worker, &key, request.spec);
        members.push(Placement { task: key, run, worker });
    }
    placements.extend(members);
}
