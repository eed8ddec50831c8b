//! Tests of cordoned data centres, by the paths on which a run could start there.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    rstest::rstest,
    workflow::{
        control::{CordonFigures, OperatorAnswer},
        state::{CommandBatch, CommandOutcome, EndKind, FlowCommand, FlowState, CORDON_LIMIT},
    },
};

const FIRST: &str = "000000000000000a.0.0.0";
const SECOND: &str = "000000000000000b.0.0.0";

/// Creates a leader with worker `e1` in `north`, one task of which is ordered to start there.
fn start_ordered() -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts(), [format!("{FIRST} run 1 on e1@100")]);
    harness
}

// Placement, with the special paths of gangs, lasting and best-effort tasks.
#[rstest]
#[case::task(StepBuilder::tasks(2))]
#[case::gang(StepBuilder::tasks(2).gang())]
#[case::lasting(StepBuilder::tasks(2).lasting())]
#[case::best_effort_until_it_starves(StepBuilder::tasks(2).best_effort())]
fn nothing_is_placed_in_a_cordoned_data_centre(#[case] step: StepBuilder) {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    assert_eq!(harness.cordon("north"), Some(&OperatorAnswer::Accepted));
    harness.submit(0xa, job(&[step]));
    harness.keep_alive(1, 4000);
    harness.connect_worker(2, "e2", 100);
    assert!(harness.starts().is_empty(), "all data centres are cordoned: {:?}", harness.starts());
    harness.connect_worker_in(3, "e3", "south");
    assert!(harness.starts().iter().all(|start| start.ends_with("on e3@100")));
    assert_eq!(harness.starts().len(), 2);
}

#[test]
fn a_lifted_cordon_lets_waiting_tasks_start() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.cordon("north");
    harness.cordon("south");
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.lift_cordon("south");
    assert!(harness.starts().is_empty());
    harness.lift_cordon("north");
    assert_eq!(harness.starts().len(), 1);
}

// An entry with placements that was committed after the cordon had sent its starts.
#[test]
fn a_start_that_waits_for_its_entry_is_withdrawn() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker_in(2, "e2", "south");
    harness.report_draining(2, "e2", 100);
    harness.pause_syncs(true);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.cordon("north");
    harness.connect_worker_in(3, "e3", "south");
    harness.pause_syncs(false);
    assert_eq!(harness.starts(), [format!("{FIRST} run 2 on e3@100")]);
}

// A lost start, or one for an agent that has reconnected, was ordered again.
#[rstest]
#[case::lost(false)]
#[case::reconnected(true)]
fn an_unlisted_start_is_withdrawn_instead_of_repeated(#[case] reconnected: bool) {
    let mut harness = start_ordered();
    harness.cordon("north");
    if reconnected {
        harness.close(1);
        harness.connect_worker(1, "e1", 100);
    } else {
        harness.advance(1300);
        harness.report_runs(1, "e1@100", &[]);
    }
    assert_eq!(harness.starts().len(), 1, "{:?}", harness.starts());
    assert_eq!(harness.stops(), [format!("{FIRST} run 1")]);
    harness.connect_worker_in(2, "e2", "south");
    harness.report_end(1, "e1@100", 0, FIRST, 1, EndKind::Stopped);
    assert_eq!(harness.starts()[1..], [format!("{FIRST} run 2 on e2@100")]);
}

// A start that the executor has not answered, and that its agent keeps repeating.
#[test]
fn a_start_that_the_agent_repeats_is_stopped_and_a_run_at_work_goes_on() {
    let mut harness = start_ordered();
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.cordon("north");
    harness.report_progress(1, "e1@100", &[(FIRST, 50), (SECOND, 0)]);
    harness.report_progress(1, "e1@100", &[(FIRST, 0), (SECOND, 0)]);
    harness.advance(1900);
    assert!(harness.stops().is_empty(), "agents have 2 s to confirm starts");
    harness.advance(200);
    assert_eq!(harness.stops(), [format!("{SECOND} run 1")]);
    harness.advance(600);
    harness.report_progress(1, "e1@100", &[(FIRST, 0), (SECOND, 0)]);
    assert_eq!(harness.stops()[1..], [format!("{SECOND} run 1")], "the stop is repeated");
}

// A new leader knows no start orders, and the agents may repeat those of the earlier one.
#[test]
fn a_new_leader_keeps_the_cordon_and_stops_unconfirmed_starts() {
    let mut harness = start_ordered();
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.cordon("north");
    harness.restart_leader();
    harness.report_capacity(1, "e1", 100, (16, 64_000));
    assert_eq!(harness.starts().len(), 2, "nothing is ordered before the agent lists its runs");
    harness.report_progress(1, "e1@100", &[(FIRST, 50), (SECOND, 0)]);
    harness.report_progress(1, "e1@100", &[(FIRST, 0), (SECOND, 0)]);
    harness.advance(1600);
    assert_eq!(harness.stops(), [format!("{SECOND} run 1")]);
    assert_eq!(harness.cordon("north"), Some(&OperatorAnswer::Accepted), "a repeated request");
}

// The executor itself is late: its next incarnation begins a run that was ordered for the earlier one.
#[test]
fn a_run_that_the_next_incarnation_has_begun_late_goes_on() {
    let mut harness = start_ordered();
    harness.cordon("north");
    harness.announce_incarnation(1, "e1", 200);
    harness.report_runs(1, "e1@200", &[(FIRST, 1)]);
    harness.keep_alive(1, 2400);
    harness.report_runs(1, "e1@200", &[(FIRST, 1)]);
    assert!(harness.stops().is_empty(), "{:?}", harness.stops());
    harness.report_end(1, "e1@200", 1, FIRST, 1, EndKind::Done);
    assert_eq!(harness.phase(0xa), "Ended(Succeeded)");
}

// An executor of a cordoned data centre that joins, begins anew, or has moved there.
#[test]
fn a_worker_that_reports_a_cordoned_data_centre_gets_nothing() {
    let mut harness = ControlHarness::start();
    harness.cordon("north");
    harness.connect_worker_in(1, "e1", "south");
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker(2, "e2", 100);
    harness.connect_worker(2, "e2", 200);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert!(harness.starts().is_empty(), "{:?}", harness.starts());
}

// Relief moved a run to a worker that may start nothing.
#[test]
fn relief_moves_no_run_into_a_cordoned_data_centre() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).memory(20_000).lasting()]));
    harness.connect_worker_in(2, "e2", "south");
    harness.cordon("south");
    harness.report_capacity(1, "e1", 100, (16, 15_000));
    let relieve = |harness: &mut ControlHarness| {
        for _ in 0..20 {
            harness.keep_alive(1, 200);
            harness.keep_alive(2, 200);
            harness.report_runs(1, "e1@100", &[(FIRST, 1)]);
        }
    };
    relieve(&mut harness);
    assert!(harness.stops().is_empty());
    harness.lift_cordon("south");
    relieve(&mut harness);
    assert!(!harness.stops().is_empty(), "the run can go on there");
}

#[test]
fn a_task_of_a_draining_executor_starts_outside_the_cordon() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).lasting()]));
    harness.cordon("north");
    harness.connect_worker(2, "e2", 100);
    harness.connect_worker_in(3, "e3", "south");
    harness.report_draining(1, "e1", 100);
    assert_eq!(harness.stops(), [format!("{FIRST} run 1")]);
    harness.report_end(1, "e1@100", 1, FIRST, 1, EndKind::Stopped);
    assert_eq!(harness.starts()[1..], [format!("{FIRST} run 2 on e3@100")]);
}

#[test]
fn a_cordon_beyond_the_limit_is_refused_and_a_repeated_one_is_not() {
    let mut harness = ControlHarness::start();
    for number in 0..CORDON_LIMIT {
        harness.cordon(&format!("dc-{number}"));
    }
    assert_eq!(harness.cordon("north"), Some(&OperatorAnswer::CordonLimit));
    assert_eq!(harness.cordon("dc-0"), Some(&OperatorAnswer::Accepted));
    assert_eq!(harness.state().cordons().len(), CORDON_LIMIT);
}

#[test]
fn a_request_is_acknowledged_only_after_its_commit() {
    let mut harness = ControlHarness::start();
    let answers = harness.operator_answers();
    harness.pause_syncs(true);
    harness.cordon("north");
    assert_eq!(harness.operator_answers(), answers);
    harness.pause_syncs(false);
    assert_eq!(harness.operator_answers(), answers + 1);
}

// Operators could not tell why a job waits, nor whether a data centre is empty.
#[test]
fn a_job_that_only_a_cordoned_data_centre_can_run_waits_and_is_reported_once() {
    let mut harness = start_ordered();
    harness.connect_worker_in(2, "e2", "south");
    harness.cordon("north");
    harness.submit(0xb, job(&[StepBuilder::tasks(1).required_label("r1")]));
    harness.submit(0xc, job(&[StepBuilder::tasks(1).preferred_rack("r1")]));
    assert_eq!(harness.starts()[1..], ["000000000000000c.0.0.0 run 1 on e2@100"]);
    harness.report_runs(1, "e1@100", &[(FIRST, 1)]);
    harness.keep_alive(1, 2400);
    assert_eq!(harness.blocked(), ["000000000000000b by north"]);
    let left = CordonFigures { data_centres: 1, other: 1, waiting_jobs: 1, ..Default::default() };
    assert_eq!(harness.cordon_figures(), left);
    harness.lift_cordon("north");
    harness.keep_alive(1, 1200);
    assert_eq!(harness.starts()[2..], [format!("{SECOND} run 1 on e1@100")]);
    assert_eq!(harness.cordon_figures(), CordonFigures::default());
}

fn apply(state: &mut FlowState, command: FlowCommand) -> Vec<CommandOutcome> {
    let bytes = CommandBatch { elapsed_ms: 1, commands: vec![command] }.to_bytes();
    state.apply(&CommandBatch::from_bytes(&bytes).unwrap())
}

// A build from before cordons reads eight fields and halts at any other number.
#[test]
fn a_snapshot_has_a_field_for_cordons_only_while_there_are_some() {
    let fields = |state: &FlowState| state.to_snapshot()[0] & 0x0f;
    let mut state = FlowState::default();
    assert_eq!(fields(&state), 8);
    let data_centre = || "north".parse().unwrap();
    for _ in 0..2 {
        let outcomes = apply(&mut state, FlowCommand::Cordon { data_centre: data_centre() });
        assert_eq!(outcomes, [CommandOutcome::Done], "a repeated cordon is one too");
    }
    assert_eq!(fields(&state), 9);
    let restored = FlowState::from_snapshot(&state.to_snapshot()).unwrap();
    assert!(restored.cordons().contains("north"));
    apply(&mut state, FlowCommand::LiftCordon { data_centre: data_centre() });
    let snapshot = state.to_snapshot();
    assert_eq!(fields(&state), 8);
    assert!(FlowState::from_snapshot(&snapshot).unwrap().cordons().is_empty());
}

// A build that does not know a command must halt instead of passing over it.
#[test]
fn an_entry_with_an_unknown_command_cannot_be_decoded() {
    let command = FlowCommand::Cordon { data_centre: "north".parse().unwrap() };
    let mut bytes = CommandBatch { elapsed_ms: 1, commands: vec![command] }.to_bytes();
    let name = bytes.windows(6).position(|part| part == b"Cordon").unwrap();
    bytes[name] = b'X';
    assert!(CommandBatch::from_bytes(&bytes).is_err());
}
