//! Tests of forecast run times against known ones.

use {
    base::SeededRandom,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    workflow::{
        job::{
            JobKey, JobSpec, RunNumber, StepKey, StepSpec, TaskDemand, TaskKey, WorkerIncarnation,
        },
        message::WorkerReport,
        plan::{
            CallerEstimates, DurationTable, InterferenceTable, PlacementPlanner, PlanInputs,
            PlanTime, RunOrigin, RunReading, SuspectTable, WorkerTable, WorkerView,
        },
        state::{CommandBatch, FlowCommand, FlowState, Submission},
    },
};

const RUN: RunNumber = RunNumber(1);
const FULL: u64 = 1000;
/// Time from a placement to the beginning of the run.
const START_DELAY: f64 = 0.05;
/// The wall clock long after the workers have started.
const LATER_MS: u64 = 1_000_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn step_of(count: u16, estimate_s: f64) -> StepSpec {
    let demand = TaskDemand { cpu_milli: FULL, memory_mb: 1, accelerators: 0 };
    StepSpec { count, demand, estimate_ms: (estimate_s * 1000.0) as u64, ..StepSpec::default() }
}

fn task_of(job: u64, index: u16) -> TaskKey {
    TaskKey { job: JobKey(job), occurrence: 0, step: 0, index }
}

fn worker() -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from("e1"), started_ms: 0 }
}

fn origin(worker: &WorkerIncarnation, placed: Duration) -> RunOrigin<'_> {
    let placed = Some(placed);
    RunOrigin { placed, worker, rack: Some("r1"), resumed: false, wall_ms: LATER_MS }
}

/// The sums of the absolute errors of logarithms, of the callers' estimates and of the forecasts.
#[derive(Debug, Default, Clone, Copy)]
struct ErrorSums {
    count: f64,
    estimate: f64,
    forecast: f64,
}

impl ErrorSums {
    fn add(&mut self, truth: f64, estimate: f64, forecast: f64) {
        self.count += 1.0;
        self.estimate += (estimate / truth).ln().abs();
        self.forecast += (forecast / truth).ln().abs();
    }
}

/// The errors of a step's length before any task has run, in the first seconds and later, and after
/// a quarter has ended; and of the remaining time of a task that still runs then.
#[derive(Debug, Default)]
struct StageErrors {
    early: ErrorSums,
    early_long: ErrorSums,
    later: ErrorSums,
    quarter: ErrorSums,
    left: ErrorSums,
}

const TYPICAL_S: f64 = 1.2;
const JOBS: u64 = 300;
const ARRIVAL_S: f64 = 0.1;
/// The jobs of the first seconds, of which the short ones end first.
const EARLY_JOBS: u64 = 50;
const TASKS: u16 = 12;
/// The position, by length, of the task whose end makes a quarter of the step.
const QUARTER: usize = 2;

#[derive(Clone, Copy)]
enum Moment {
    Placed,
    Report { position: usize, percent: u8 },
    Done { position: usize },
}

/// Runs overlapping jobs of one queue whose lengths differ by up to `range` (a logarithm) either
/// way and whose estimates are off by up to a factor of 1.9 either way around `bias`.
fn play(seed: u64, range: f64, bias: f64, errors: &mut StageErrors) {
    let mut random = SeededRandom::new(seed);
    let mut table = DurationTable::default();
    let at = worker();
    let mut uniform = move || random.below(2001) as f64 / 1000.0 - 1.0;
    let mut jobs: Vec<(f64, StepSpec, Vec<f64>)> = Vec::new();
    let mut moments: Vec<(f64, u64, Moment)> = Vec::new();
    for job in 0..JOBS {
        let length = TYPICAL_S * (uniform() * range).exp();
        let spec = step_of(TASKS, length * bias * 1.9_f64.powf(uniform()));
        let placed = job as f64 * ARRIVAL_S;
        moments.push((placed, job, Moment::Placed));
        let tasks = (0..TASKS).map(|_| length * (1.0 + 0.1 * uniform()));
        let mut tasks: Vec<f64> = tasks.collect();
        tasks.sort_by(f64::total_cmp);
        for (position, task) in tasks.iter().enumerate() {
            for part in [0.3 + 0.1 * uniform(), 0.7 + 0.1 * uniform()] {
                let time = placed + START_DELAY + part * task + 0.02 * uniform();
                let percent = (part * 100.0) as u8;
                moments.push((time, job, Moment::Report { position, percent }));
            }
            let end = placed + START_DELAY + task + 0.02 * uniform();
            moments.push((end, job, Moment::Done { position }));
        }
        jobs.push((length, spec, tasks));
    }
    moments.sort_by(|one, other| one.0.total_cmp(&other.0));
    for (time, job, moment) in moments {
        let (length, spec, tasks) = &jobs[job as usize];
        let (now, begun) = (seconds(time), job as f64 * ARRIVAL_S + START_DELAY);
        let estimate = spec.estimate_ms as f64 / 1000.0;
        let key = task_of(job, 0).step_key();
        let forecast = |table: &DurationTable| table.expected(key, "q", spec).length.as_secs_f64();
        match moment {
            Moment::Placed => {
                let sums = if job < EARLY_JOBS { &mut errors.early } else { &mut errors.later };
                sums.add(*length, estimate, forecast(&table));
                if job < EARLY_JOBS && *length > TYPICAL_S * (0.6 * range).exp() {
                    errors.early_long.add(*length, estimate, forecast(&table));
                }
                for index in 0..TASKS {
                    table.watch((&task_of(job, index), RUN), "q", spec, origin(&at, now));
                }
            }
            Moment::Report { position, percent } => {
                let task = task_of(job, position as u16);
                let reading = RunReading { percent, used_milli: FULL, beside_critical: false };
                table.note_report(now, (&task, RUN), spec, reading);
                if position == QUARTER && percent > 50 {
                    let truth = begun + tasks[position] - time;
                    let left = table.left(&task, "q", spec, now).unwrap().as_secs_f64();
                    errors.left.add(truth, estimate * (1.0 - f64::from(percent) / 100.0), left);
                }
            }
            Moment::Done { position } => {
                table.note_done(now, (&task_of(job, position as u16), RUN), "q", spec, &at);
                if position == QUARTER {
                    errors.quarter.add(*length, estimate, forecast(&table));
                }
            }
        }
    }
}

// Estimates off by a factor of up to 1.9 decided what was placed first and what was stopped.
#[rstest]
#[case::equal_lengths(0.1, 1.0)]
#[case::mixed_lengths(0.7, 1.0)]
#[case::very_mixed_lengths(1.5, 1.0)]
#[case::overestimated(0.7, 1.6)]
#[case::underestimated(0.7, 0.6)]
fn forecasts_are_closer_than_the_estimates(#[case] range: f64, #[case] bias: f64) {
    let mut errors = StageErrors::default();
    (1..=20).for_each(|seed| play(seed, range, bias, &mut errors));
    let stages = [
        ("first jobs, not started", errors.early),
        ("the longest fifth of them", errors.early_long),
        ("later jobs, not started", errors.later),
        ("a quarter ended", errors.quarter),
        ("remaining time", errors.left),
    ];
    for (name, sums) in stages {
        let percent = |sum: f64| ((sum / sums.count).exp() - 1.0) * 100.0;
        let (before, after) = (percent(sums.estimate), percent(sums.forecast));
        println!("range {range} bias {bias} {name}: before {before:.1} %, after {after:.1} %");
        assert!(sums.forecast < sums.estimate, "{name}: {sums:?}");
    }
    assert!(errors.quarter.forecast < errors.quarter.estimate / 2.0, "{errors:?}");
}

// Each of these lengthens a run or its report for a reason that says nothing about its step.
#[rstest]
#[case::undisturbed("none")]
#[case::failed_or_stopped("ended")]
#[case::throttled("throttled")]
#[case::not_shown_to_be_unthrottled("unproven")]
#[case::cold("cold")]
#[case::away_from_its_rack("away")]
#[case::resumed("resumed")]
#[case::late_reports("distrusted")]
fn disturbed_runs_are_not_learned_from(#[case] kind: &str) {
    let mut table = DurationTable::default();
    for job in 1..=40 {
        let filler = matches!(kind, "throttled" | "unproven");
        let preferred_rack = (kind == "away").then(|| "r2".to_owned());
        let spec = StepSpec { filler, preferred_rack, ..step_of(1, 1.0) };
        let task = task_of(job, 0);
        let started_ms = if kind == "cold" { LATER_MS + job } else { 0 };
        let at = WorkerIncarnation { started_ms, ..worker() };
        let placed = seconds(job as f64 * 10.0);
        let resumed = kind == "resumed";
        table.watch((&task, RUN), "q", &spec, RunOrigin { resumed, ..origin(&at, placed) });
        if kind == "distrusted" {
            table.distrust_run(&task);
        }
        let reports = if kind == "unproven" { 1 } else { 4 };
        for part in 1..=reports {
            let used_milli = if kind == "throttled" { FULL / 2 } else { FULL };
            let reading = RunReading { percent: part * 20, used_milli, beside_critical: true };
            table.note_report(placed + seconds(f64::from(part)), (&task, RUN), &spec, reading);
        }
        match kind {
            "ended" => table.forget_run(&task, RUN),
            _ => table.note_done(placed + seconds(5.0), (&task, RUN), "q", &spec, &at),
        }
        table.forget_job(JobKey(job), "q", std::slice::from_ref(&spec));
    }
    let key = StepKey { job: JobKey(99), occurrence: 0, step: 0 };
    let forecast = table.expected(key, "q", &step_of(1, 1.0));
    assert_eq!(forecast.length == seconds(1.0), kind != "none", "{forecast:?}");
}

// A step whose tasks never end would keep the lengths of all later steps from being counted.
#[test]
fn a_step_that_does_not_end_holds_the_others_back_for_a_while_only() {
    let (mut table, spec) = (DurationTable::default(), step_of(1, 1.0));
    table.watch((&task_of(1, 0), RUN), "q", &spec, origin(&worker(), seconds(0.0)));
    for job in 2..=40 {
        let (task, placed) = (task_of(job, 0), seconds(job as f64 * 0.1));
        table.watch((&task, RUN), "q", &spec, origin(&worker(), placed));
        table.note_done(placed + seconds(3.0), (&task, RUN), "q", &spec, &worker());
    }
    let unknown = step_of(1, 0.0);
    let forecast = table.expected(task_of(99, 0).step_key(), "q", &unknown);
    assert!((2.5..3.5).contains(&forecast.length.as_secs_f64()), "{forecast:?}");
}

// A caller of many tasks, or of ever new queues, must not fill the leader's memory.
#[test]
fn the_table_is_bounded() {
    let (mut table, spec) = (DurationTable::default(), step_of(1, 1.0));
    for job in 0..40_000 {
        let (task, queue) = (task_of(job, 0), format!("q{}", job % 1000));
        table.watch((&task, RUN), &queue, &spec, origin(&worker(), seconds(0.0)));
        if job < 1000 {
            table.note_done(seconds(2.0), (&task, RUN), &queue, &spec, &worker());
        }
    }
    assert!(!table.is_watched(&task_of(39_999, 0), RUN));
    assert!(table.take_summaries().len() <= 256);
}

// The one free core went to the job that its caller estimates shorter, although the jobs of that
// queue last longer.
#[rstest]
#[case::nothing_observed(0, 1)]
#[case::observed(20, 2)]
fn the_job_with_less_work_by_its_queue_comes_first(#[case] observed: u64, #[case] first: u64) {
    let queues = [("slow", 0.8, 1.6), ("fast", 1.0, 0.4)];
    let (mut table, mut state) = (DurationTable::default(), FlowState::default());
    for (job, (queue, estimate, length)) in (1..).zip(queues) {
        let spec = step_of(1, estimate);
        for number in 0..observed {
            let (task, placed) = (task_of(100 * job + number, 0), seconds(number as f64));
            table.watch((&task, RUN), queue, &spec, origin(&worker(), placed));
            let end = placed + seconds(length);
            table.note_done(end, (&task, RUN), queue, &spec, &worker());
        }
        let spec = Arc::new(JobSpec { steps: vec![spec], ..JobSpec::default() });
        let (job, queue, service) = (JobKey(job), queue.to_owned(), "s".to_owned());
        let (priority, attempt_limit) = (0, 1);
        let submission = Submission { job, queue, service, priority, attempt_limit, spec };
        let commands = vec![FlowCommand::Submit(submission)];
        state.apply(&CommandBatch { elapsed_ms: 0, commands });
    }
    let mut view = WorkerView::new(WorkerReport {
        worker: worker(),
        service: "s".to_owned(),
        data_centre: "north".to_owned(),
        capacity: step_of(1, 1.0).demand,
        labels: Vec::new(),
        drain_left_ms: None,
        responsive: true,
    });
    (view.listed, view.lease_until) = (true, Duration::MAX);
    let workers = WorkerTable::from([(worker().executor, view)]);
    let placements = PlacementPlanner::default().plan(PlanInputs {
        state: &state,
        workers: &workers,
        learned: &InterferenceTable::default(),
        suspects: &SuspectTable::default(),
        durations: &table,
        forecaster: &CallerEstimates,
        time: PlanTime { now: seconds(1.0), wall_ms: LATER_MS },
    });
    let placed: Vec<u64> = placements.iter().map(|placement| placement.task.job.0).collect();
    assert_eq!(placed, [first]);
}
