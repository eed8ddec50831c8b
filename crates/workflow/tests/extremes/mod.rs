//! Numbers as large as their types allow, from callers, executors and operators. Tests are built
//! with overflow checks, so that arithmetic which overflows ends them.

use {
    crate::{
        fixtures::fleet_config,
        support::{job, ControlHarness, StepBuilder},
    },
    base::{LogIndex, PeerAddress, ReplicaId, TermNumber},
    quorum::{EntryPayload, GroupMember, LogEntry},
    rstest::rstest,
    serde::{de::IgnoredAny, Deserialize},
    std::sync::Arc,
    workflow::{
        control::TASKS_HELD_LIMIT,
        job::{JobSchedule, JobSpec, RunNumber, StepSpec, TaskDemand, WorkerIncarnation},
        message::{CallerAnswer, CallerCall, EndReport, LinkMessage, RunReport, WorkerReport},
        state::{EndKind, FlowState},
    },
};

const MOST: u64 = u64::MAX;

fn incarnation(executor: &str, started_ms: u64) -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from(executor), started_ms }
}

fn connect(harness: &mut ControlHarness, session: u64, report: WorkerReport) {
    let (worker, place) = (report.worker.clone(), report.worker.executor.clone());
    harness.send(session, LinkMessage::Worker { report, place });
    harness.send(session, LinkMessage::Runs { worker, runs: Vec::new() });
}

fn report_of(worker: WorkerIncarnation, resource: u64) -> WorkerReport {
    WorkerReport {
        worker,
        service: "s".to_owned(),
        data_centre: "north".to_owned(),
        capacity: TaskDemand { cpu_milli: resource, memory_mb: resource, accelerators: resource },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        drain_left_ms: None,
        responsive: true,
    }
}

/// Lists all first runs of a job's step, with the largest figures.
fn list_runs(harness: &mut ControlHarness, session: u64, executor: &str, percent: u8) {
    let starts = harness.starts().to_vec();
    let here = starts.iter().filter(|start| start.ends_with(&format!("on {executor}@100")));
    let report = |start: &String| RunReport {
        task: start.split(' ').next().unwrap().parse().unwrap(),
        run: RunNumber(1),
        checkpoint: String::new(),
        percent,
        figure: MOST,
    };
    let runs = here.map(report).collect();
    harness.send(session, LinkMessage::Runs { worker: incarnation(executor, 100), runs });
}

/// Plays jobs of steps with extreme numbers on two workers, and an ordinary one that only a third
/// worker may take.
fn check(spec: JobSpec, resource: u64) {
    let mut harness = ControlHarness::start();
    for (session, executor) in [(1, "e1"), (2, "e2")] {
        connect(&mut harness, session, report_of(incarnation(executor, 100), resource));
    }
    let own =
        WorkerReport { labels: vec!["b".to_owned()], ..report_of(incarnation("e3", 100), 16_000) };
    connect(&mut harness, 3, own);
    harness.submit(0xa, spec.clone());
    harness.submit(0xb, job(&[StepBuilder::tasks(1).required_label("b")]));
    harness.submit(0xc, spec);
    for round in 0..12 {
        for (session, executor) in [(1, "e1"), (2, "e2"), (3, "e3")] {
            list_runs(&mut harness, session, executor, round * 8);
            harness.keep_alive(session, 400);
        }
    }
    harness.report_end(3, "e3@100", 1, "000000000000000b.0.0.0", 1, EndKind::Done);
    for draining in [1, 2] {
        let worker = incarnation(&format!("e{draining}"), 100);
        let report = report_of(worker, resource);
        let report = WorkerReport { drain_left_ms: Some(MOST), ..report };
        let place = report.worker.executor.clone();
        harness.send(draining, LinkMessage::Worker { report, place });
    }
    harness.advance(1000);
    assert_eq!(harness.phase(0xb), "Ended(Succeeded)");
    check_replay(&mut harness);
}

/// Checks that no content of the log or of a snapshot ends a process that reads it.
fn check_replay(harness: &mut ControlHarness) {
    let snapshot = harness.state().to_snapshot();
    assert_eq!(FlowState::from_snapshot(&snapshot).unwrap().to_snapshot(), snapshot);
    harness.restart_leader();
    assert!(harness.accepted() > 0 && harness.halts() == 0);
}

fn step(change: fn(&mut StepSpec)) -> StepSpec {
    let demand = TaskDemand { cpu_milli: 500, memory_mb: 64, accelerators: 0 };
    let required_label = Some("a".to_owned());
    let mut spec =
        StepSpec { count: 3, demand, estimate_ms: 1000, required_label, ..StepSpec::default() };
    change(&mut spec);
    spec
}

fn most(spec: &mut StepSpec) {
    spec.demand = TaskDemand { cpu_milli: MOST, memory_mb: MOST, accelerators: MOST };
    spec.estimate_ms = MOST;
    spec.latency_target_ms = Some(MOST);
    spec.per_worker_limit = Some(u32::MAX);
    spec.disruption_budget = Some(u32::MAX);
}

#[rstest]
#[case::estimate(|spec: &mut StepSpec| spec.estimate_ms = MOST)]
#[case::estimate_of_a_gang(|spec: &mut StepSpec| { spec.estimate_ms = MOST; spec.gang = true; })]
#[case::estimate_of_a_gang_that_waits(|spec: &mut StepSpec| { spec.demand.cpu_milli = 4000; spec.count = 6; spec.gang = true; spec.estimate_ms = MOST; })]
#[case::estimate_of_wide_steps_that_wait(|spec: &mut StepSpec| { spec.demand.cpu_milli = 9000; spec.count = 60; spec.estimate_ms = MOST; })]
#[case::estimate_of_best_effort_that_waits(|spec: &mut StepSpec| { spec.demand.cpu_milli = 9000; spec.count = 60; spec.estimate_ms = MOST; spec.filler = true; })]
#[case::estimate_with_checkpoints(|spec: &mut StepSpec| { spec.estimate_ms = MOST; spec.checkpointing = true; })]
#[case::processors(|spec: &mut StepSpec| spec.demand.cpu_milli = MOST)]
#[case::processors_of_best_effort(|spec: &mut StepSpec| { spec.demand.cpu_milli = MOST; spec.filler = true; })]
#[case::memory_of_best_effort(|spec: &mut StepSpec| { spec.demand.memory_mb = MOST; spec.filler = true; })]
#[case::memory(|spec: &mut StepSpec| spec.demand.memory_mb = MOST)]
#[case::accelerators(|spec: &mut StepSpec| spec.demand.accelerators = MOST)]
#[case::processors_of_lasting(|spec: &mut StepSpec| { spec.demand.cpu_milli = MOST; spec.lasting = true; })]
#[case::target(|spec: &mut StepSpec| { spec.latency_target_ms = Some(MOST); spec.lasting = true; })]
#[case::everything(most)]
#[case::everything_of_best_effort(|spec: &mut StepSpec| { most(spec); spec.filler = true; })]
#[case::everything_that_lasts(|spec: &mut StepSpec| { most(spec); spec.lasting = true; })]
#[case::everything_of_a_gang(|spec: &mut StepSpec| { most(spec); spec.gang = true; spec.same_rack = true; })]
#[case::nothing_on_one_rack(|spec: &mut StepSpec| { spec.demand = TaskDemand::default(); spec.same_rack = true; })]
#[case::nothing(|spec: &mut StepSpec| { spec.demand = TaskDemand::default(); spec.estimate_ms = 0; })]
fn a_job_with_the_largest_numbers_does_not_harm_another(
    #[case] change: fn(&mut StepSpec),
    #[values(16_000, u32::MAX as u64, MOST)] resource: u64,
) {
    let after = StepSpec { depends_on: vec![0], ..step(change) };
    let spec =
        JobSpec { payload: "work".to_owned(), steps: vec![step(change), after], schedule: None };
    check(spec, resource);
}

// The state of a job is allocated for all its tasks when it is accepted.
#[rstest]
#[case::occurrences(1, u32::MAX)]
#[case::occurrences_of_nothing(0, u32::MAX)]
#[case::tasks(u16::MAX, 1)]
#[case::both(u16::MAX, u32::MAX)]
fn a_job_with_too_many_tasks_is_refused_before_anything_is_allocated(
    #[case] count: u16,
    #[case] occurrences: u32,
) {
    let mut harness = ControlHarness::start();
    let (first_ms, every_ms) = (MOST, MOST);
    let schedule = Some(JobSchedule { count: occurrences, first_ms, every_ms });
    harness.submit(0xa, JobSpec { schedule, ..job(&[StepBuilder::tasks(count)]) });
    assert!(matches!(harness.answers(), [CallerAnswer::Invalid(_)]), "{:?}", harness.answers());
}

#[rstest]
#[case::stretch(f64::MAX, MOST)]
#[case::negative_stretch(f64::MIN, MOST)]
#[case::nothing(0.0, 0)]
fn a_queue_with_the_largest_numbers_serves_its_jobs(
    #[case] stretch: f64,
    #[case] latency_allowance_ms: u64,
) {
    let mut harness = ControlHarness::start();
    let mut config = fleet_config(u64::MAX, u32::MAX);
    config.queues[0].stretch = stretch;
    config.queues[0].latency_allowance_ms = latency_allowance_ms;
    config.queues[0].timeout_ms = MOST;
    config.queues[0].priority = u32::MAX;
    harness.apply_config(config);
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(40).estimate(MOST)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.keep_alive(1, 6000);
    harness.submit(0xc, job(&[StepBuilder::tasks(1).estimate(MOST)]));
    assert_eq!(harness.accepted(), 3);
    check_replay(&mut harness);
}

#[test]
fn reports_of_unknown_runs_with_the_largest_numbers_are_harmless() {
    let mut harness = ControlHarness::start();
    connect(&mut harness, 1, report_of(incarnation("e1", MOST), MOST));
    let (task, run) =
        ("ffffffffffffffff.4294967295.65535.65535".parse().unwrap(), RunNumber(u32::MAX));
    let worker = incarnation("e1", MOST);
    let (checkpoint, percent, figure) = (String::new(), u8::MAX, MOST);
    let runs = vec![RunReport { task, run, checkpoint: checkpoint.clone(), percent, figure }];
    harness.send(1, LinkMessage::Runs { worker: worker.clone(), runs });
    let (number, end) = (MOST, EndKind::Done);
    let ends = vec![EndReport { number, task, run, end, checkpoint }];
    harness.send(1, LinkMessage::Ends { worker: worker.clone(), ends });
    harness.send(1, LinkMessage::Ping { sequence: MOST });
    harness.send(1, LinkMessage::WorkerEnded { worker });
    harness.connect_worker(2, "e2", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts(), ["000000000000000a.0.0.0 run 1 on e2@100"]);
}

// No stream carries an entry above the limit of a frame, so that nothing more was committed.
#[test]
fn jobs_that_arrive_together_fit_into_the_entries_of_the_log() {
    let mut harness = ControlHarness::start();
    let jobs = (0..40).map(|key| {
        let large = JobSpec { payload: "x".repeat(1000 * 1000), ..job(&[StepBuilder::tasks(1)]) };
        (key, large)
    });
    harness.submit_together(jobs.collect());
    assert_eq!(harness.accepted(), 40);
    let largest = harness.largest_entry();
    assert!(largest <= 4 * 1024 * 1024, "{largest} bytes");
}

// The log's table of addresses also holds records of pending verdicts, which a new leader reads.
#[rstest]
#[case::empty("")]
#[case::address("10.0.0.9:99999")]
#[case::numbers("99999999999999999999\ne1\n000000000000000a.0.0.0@99999999999\n\n.")]
#[case::run_beyond_the_job("100\ne1\n000000000000000a.99999.0.0@1 000000000000000a.0.9.9@1\n\n.")]
#[case::nested("[[[[[[[[")]
#[case::cut("100\ne1")]
fn an_odd_record_in_the_table_of_addresses_is_ignored(#[case] text: &str) {
    let mut harness = ControlHarness::start();
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let report = report_of(incarnation("verdict pending\na9", 100), 16_000);
    harness.send(9, LinkMessage::Worker { report, place: Arc::from(text) });
    check_replay(&mut harness);
    harness.connect_worker(1, "e1", 100);
    assert_eq!(harness.starts(), ["000000000000000a.0.0.0 run 1 on e1@100"]);
}

// Streams refuse messages that nest deeper than 64 levels.
#[test]
fn messages_nest_far_less_than_streams_admit() {
    let spec = JobSpec { steps: vec![StepSpec { depends_on: vec![0], ..step(most) }], ..job(&[]) };
    let (host, path, call) = (String::new(), String::new(), CallerCall::Submit(spec));
    let submission = LinkMessage::Call { sequence: MOST, host, path, call };
    let address = PeerAddress("10.0.0.9:8080".parse().unwrap());
    let member = GroupMember { replica: ReplicaId(MOST), address, voter: true };
    let payload = EntryPayload::Members { members: vec![member], retired: Vec::new() };
    let entry = LogEntry { index: LogIndex(1), term: TermNumber(1), payload };
    for bytes in [rmp_serde::to_vec(&submission).unwrap(), rmp_serde::to_vec(&entry).unwrap()] {
        let mut body = rmp_serde::Deserializer::from_read_ref(&bytes);
        body.set_max_depth(12);
        IgnoredAny::deserialize(&mut body).unwrap();
    }
}

// The executor refused every lower run of the task after the stop.
#[test]
fn a_listed_run_that_was_never_ordered_is_not_stopped() {
    let mut harness = ControlHarness::start();
    connect(&mut harness, 1, report_of(incarnation("e1", 100), 16_000));
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let task = "000000000000000a.0.0.0";
    for _ in 0..3 {
        harness.report_runs(1, "e1@100", &[(task, 1), (task, u32::MAX)]);
        harness.keep_alive(1, 600);
    }
    assert!(harness.stops().is_empty(), "{:?}", harness.stops());
    assert_eq!(harness.starts().len(), 1);
    harness.report_runs(1, "e1@100", &[(task, 1), ("000000000000000f.0.0.0", 1)]);
    assert_eq!(harness.stops(), ["000000000000000f.0.0.0 run 1"], "its job is unknown");
}

// Review 3, case 12: accepted jobs with many occurrences took the memory of every leader.
#[test]
fn jobs_with_many_occurrences_leave_space_for_others() {
    let mut harness = ControlHarness::start();
    let mut hourly = job(&[StepBuilder::tasks(8)]);
    let due_ms = 1_000_000_000;
    hourly.schedule = Some(JobSchedule { count: 2160, first_ms: due_ms, every_ms: 3_600_000 });
    let answers: Vec<CallerAnswer> =
        (0..60).map(|key| harness.submit_to("/q/", key, hourly.clone())).collect();
    let accepted = answers.iter().filter(|answer| **answer == CallerAnswer::Accepted).count();
    assert!((10..60).contains(&accepted), "{accepted} of 60 are accepted");
    assert!(matches!(answers.last(), Some(CallerAnswer::Overloaded { .. })));
    assert_eq!(harness.state().task_count(), accepted as u64 * 17_280);
    assert_eq!(harness.submit_to("/q/", 0, hourly.clone()), CallerAnswer::Accepted, "a repeat");
    for key in 100..200 {
        let small = job(&[StepBuilder::tasks(100)]);
        assert_eq!(harness.submit_to("/q/", key, small), CallerAnswer::Accepted);
    }
    harness.compact_log();
    harness.restart_leader();
    assert!(harness.state().task_count() < TASKS_HELD_LIMIT);
    assert!(matches!(
        harness.submit_to("/q/", 60, hourly.clone()),
        CallerAnswer::Overloaded { .. }
    ));
    (0..3).for_each(|key| harness.cancel(key));
    harness.advance(61_000);
    harness.configure(2);
    assert_eq!(harness.submit_to("/q/", 60, hourly), CallerAnswer::Accepted);
}
