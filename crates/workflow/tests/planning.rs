//! Tests of planning at the size of a fleet: what a planner remembers between two passes must not
//! change what it decides.

mod fixtures;

use {
    base::SeededRandom,
    fixtures::fleet_config,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    workflow::{
        job::{JobKey, JobSpec, RunNumber, StepSpec, TaskDemand, TaskKey, WorkerIncarnation},
        message::WorkerReport,
        plan::{
            CallerEstimates, DurationTable, InterferenceTable, Placement, PlacementPlanner,
            PlanInputs, PlanTime, SuspectTable, WorkerTable, WorkerView,
        },
        state::{
            CommandBatch, CommandOutcome, EndKind, FlowCommand, FlowState, Submission, TaskPhase,
        },
    },
};

const WORKERS: usize = 12;
const ROUNDS: u64 = 300;
/// Time between two rounds: several passes lie between two full ones.
const ROUND: Duration = Duration::from_millis(15);

fn incarnation(number: usize, started_ms: u64) -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from(format!("e{number}")), started_ms }
}

fn usable_worker(worker: WorkerIncarnation) -> WorkerView {
    let mut view = WorkerView::new(WorkerReport {
        worker,
        service: "s".to_owned(),
        data_centre: "north".to_owned(),
        capacity: TaskDemand { cpu_milli: 8000, memory_mb: 32_000, accelerators: 0 },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        drain_left_ms: None,
        responsive: true,
    });
    view.listed = true;
    view.lease_until = Duration::MAX;
    view
}

/// A fleet under random submissions, ends and losses, planned by one planner throughout.
struct PlannedFleet {
    random: SeededRandom,
    state: FlowState,
    workers: WorkerTable,
    learned: InterferenceTable,
    suspects: SuspectTable,
    durations: DurationTable,
    planner: PlacementPlanner,
    now: Duration,
    jobs: u64,
}

impl PlannedFleet {
    fn new(seed: u64) -> Self {
        let mut workers = WorkerTable::new();
        for number in 0..WORKERS {
            let worker = incarnation(number, 100);
            workers.insert(worker.executor.clone(), usable_worker(worker));
        }
        let mut fleet = Self {
            random: SeededRandom::new(seed),
            state: FlowState::default(),
            workers,
            learned: InterferenceTable::default(),
            suspects: SuspectTable::default(),
            durations: DurationTable::default(),
            planner: PlacementPlanner::default(),
            now: Duration::ZERO,
            jobs: 0,
        };
        fleet.apply(FlowCommand::Configure(fleet_config(1, 2)));
        fleet
    }

    fn apply(&mut self, command: FlowCommand) -> CommandOutcome {
        let batch = CommandBatch { elapsed_ms: 0, commands: vec![command] };
        self.state.apply(&batch)[0]
    }

    fn inputs(&self) -> PlanInputs<'_> {
        PlanInputs {
            state: &self.state,
            workers: &self.workers,
            learned: &self.learned,
            suspects: &self.suspects,
            durations: &self.durations,
            forecaster: &CallerEstimates,
            time: PlanTime { now: self.now, wall_ms: 0 },
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let steps = (0..1 + self.random.below(2) as u16).map(|step| StepSpec {
            count: 1 + self.random.below(10) as u16,
            demand: TaskDemand {
                cpu_milli: 500 * (1 + self.random.below(8) as u64),
                memory_mb: 100,
                accelerators: 0,
            },
            estimate_ms: 1000,
            depends_on: if step > 0 { vec![step - 1] } else { Vec::new() },
            gang: self.random.below(8) == 0,
            filler: self.random.below(3) == 0,
            per_worker_limit: (self.random.below(4) == 0).then_some(2),
            ..StepSpec::default()
        });
        let steps = steps.collect();
        let spec = JobSpec { payload: String::new(), steps, schedule: None };
        let submission = Submission {
            job: JobKey(self.jobs),
            queue: "q".to_owned(),
            service: "s".to_owned(),
            priority: self.random.below(2) as u32,
            attempt_limit: 100,
            spec: Arc::new(spec),
        };
        self.apply(FlowCommand::Submit(submission));
    }

    fn placed(&self) -> Vec<(TaskKey, RunNumber, WorkerIncarnation)> {
        let of_job = |(key, job): (JobKey, &workflow::state::JobRecord)| {
            let placed = job.placed_tasks(key);
            placed.map(|(task, run, worker)| (task, run, worker.clone())).collect::<Vec<_>>()
        };
        self.state.active_jobs().flat_map(of_job).collect()
    }

    fn end_some(&mut self) {
        for (task, run, worker) in self.placed() {
            if self.random.below(12) > 0 {
                continue;
            }
            let end = if self.random.below(4) == 0 { EndKind::Stopped } else { EndKind::Done };
            let checkpoint = String::new();
            self.apply(FlowCommand::End { task, run, worker, end, checkpoint });
        }
    }

    /// Loses a worker with its runs, or brings a lost one back in its next incarnation.
    fn change_worker(&mut self) {
        let number = self.random.below(WORKERS);
        let executor = incarnation(number, 0).executor;
        let Some(view) = self.workers.shift_remove(&executor) else {
            let worker = incarnation(number, 200 + self.now.as_millis() as u64);
            self.workers.insert(executor.clone(), usable_worker(worker));
            self.planner.touch(&executor);
            return;
        };
        let lost = view.incarnation().clone();
        for (task, run, worker) in self.placed().into_iter().filter(|(_, _, at)| *at == lost) {
            let (end, checkpoint) = (EndKind::Expired, String::new());
            self.apply(FlowCommand::End { task, run, worker, end, checkpoint });
        }
    }

    fn plan(&mut self) {
        let mut planner = std::mem::take(&mut self.planner);
        let placements = planner.plan(self.inputs());
        self.planner = planner;
        for Placement { task, run, worker } in placements {
            let outcome = self.apply(FlowCommand::Place { task, run, worker });
            assert_eq!(outcome, CommandOutcome::Done, "{task}");
        }
    }

    fn play_round(&mut self) {
        self.now += ROUND;
        if self.random.below(4) == 0 {
            self.submit();
        }
        self.end_some();
        if self.random.below(20) == 0 {
            self.change_worker();
        }
        self.plan();
    }

    /// Cancels a job, or sends commands again that have taken effect before.
    fn disturb(&mut self) {
        let placed = self.placed();
        if placed.is_empty() {
            return;
        }
        let (task, run, worker) = placed[self.random.below(placed.len())].clone();
        let (end, checkpoint) = (EndKind::Done, String::new());
        let later = WorkerIncarnation { started_ms: worker.started_ms + 1, ..worker.clone() };
        match self.random.below(4) {
            0 => self.apply(FlowCommand::Cancel { job: task.job }),
            1 => self.apply(FlowCommand::Place { task, run, worker }),
            2 => self.apply(FlowCommand::Adopt { task, run, worker: later }),
            _ => {
                let again = FlowCommand::End { task, run, worker, end, checkpoint };
                self.apply(again.clone());
                self.apply(again)
            }
        };
    }

    /// Checks the counts by which a pass skips jobs with nothing to place.
    fn check_counts(&self, context: &str) {
        for (key, record) in self.state.active_jobs() {
            let tasks = || record.tasks(key).map(|(_, task)| &task.phase);
            let placed = tasks().filter(|phase| matches!(phase, TaskPhase::Placed(_))).count();
            let unfinished = tasks().filter(|phase| **phase != TaskPhase::Done).count();
            let counts = (record.placed as usize, record.unfinished as usize);
            assert_eq!(counts, (placed, unfinished), "{context}: {key}");
        }
    }

    /// Returns what a planner without a memory would place on top.
    fn left_by_planner(&self) -> Vec<Placement> {
        PlacementPlanner::default().plan(self.inputs())
    }

    fn check_index(&self) {
        let mut found = BTreeSet::new();
        for worker in self.state.placed_incarnations() {
            let placed = self.state.placed_tasks(worker);
            found.extend(placed.map(|(task, run)| (task, run, worker.clone())));
        }
        assert_eq!(found, self.placed().into_iter().collect());
    }
}

// A pass between two full ones offers a blocked step only the workers that have changed. If one of
// them were missed, a waiting task would stay where it fits for up to a tenth of a second, or for
// good once the step counts as blocked again.
#[test]
fn no_pass_leaves_a_task_waiting_that_fits() {
    for seed in 0..20 {
        let mut fleet = PlannedFleet::new(seed);
        for round in 0..ROUNDS {
            fleet.play_round();
            let left = fleet.left_by_planner();
            assert!(left.is_empty(), "seed {seed}, round {round}: {left:?}");
        }
        assert!(fleet.jobs > 50 && !fleet.placed().is_empty(), "seed {seed} plays a load");
    }
}

#[test]
fn the_index_of_placements_holds_what_the_jobs_hold() {
    for seed in 100..110 {
        let mut fleet = PlannedFleet::new(seed);
        for _ in 0..ROUNDS {
            fleet.play_round();
            fleet.check_index();
        }
        let restored = FlowState::from_snapshot(&fleet.state.to_snapshot());
        fleet.state = restored.expect("the state's own snapshot");
        fleet.check_index();
    }
}

#[test]
fn a_planner_places_on_no_worker_more_than_it_holds() {
    for seed in 200..210 {
        let mut fleet = PlannedFleet::new(seed);
        for _ in 0..ROUNDS {
            fleet.play_round();
            for worker in fleet.state.placed_incarnations() {
                let counted = fleet.state.placed_tasks(worker).filter_map(|(task, _)| {
                    let spec = fleet.state.job(task.job)?.step_spec(&task)?;
                    (!spec.filler).then_some(spec.demand.cpu_milli)
                });
                assert!(counted.sum::<u64>() <= 8000, "seed {seed}: {worker}");
            }
        }
    }
}

// A pass skips a job whose unfinished tasks are all placed. If the counts drifted, a job could wait
// for good.
#[test]
fn the_counts_of_a_job_are_those_of_its_tasks() {
    for seed in 300..310 {
        let mut fleet = PlannedFleet::new(seed);
        for round in 0..ROUNDS {
            fleet.play_round();
            fleet.disturb();
            fleet.check_counts(&format!("seed {seed}, round {round}"));
            fleet.check_index();
        }
    }
}
