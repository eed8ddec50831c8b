//! Tests of the ends of gangs: a run of a gang is one attempt, whichever members report its end.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    rstest::rstest,
    workflow::{job::RunNumber, message::LinkMessage, state::EndKind},
};

const WORKER: &str = "e1@100";
/// The members of the gang that these tests play.
const MEMBERS: u16 = 3;

/// What happens between the reports of two members.
#[derive(Debug, Clone, Copy)]
enum Interlude {
    /// All ends arrive in one message.
    OneMessage,
    Nothing,
    LeaderChange,
    LeaderChangeAfterSnapshot,
}

fn member(index: u16) -> String {
    format!("000000000000000a.0.0.{index}")
}

/// Starts a gang whose job has two attempts.
fn start_gang() -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(MEMBERS).gang()]));
    assert_eq!(harness.starts().len(), usize::from(MEMBERS));
    harness
}

/// Returns the present run of each member, which is the same for all.
fn gang_run(harness: &ControlHarness) -> RunNumber {
    let run = |index| harness.state().task(&member(index).parse().unwrap()).unwrap().run;
    assert!((1..MEMBERS).all(|index| run(index) == run(0)), "the members share their run");
    run(0)
}

fn failures(harness: &ControlHarness) -> Vec<u32> {
    let record = |index| harness.state().task(&member(index).parse().unwrap()).unwrap();
    (0..MEMBERS).map(|index| record(index).failures).collect()
}

/// Reports the ends of a gang's run, each of a member.
fn report_ends(harness: &mut ControlHarness, ends: &[(u16, EndKind)], interlude: Interlude) {
    let run = gang_run(harness).0;
    let names: Vec<String> = ends.iter().map(|(index, _)| member(*index)).collect();
    let named = names.iter().zip(ends).zip(1..);
    let ends: Vec<_> = named.map(|((task, (_, end)), at)| (at, &**task, run, *end)).collect();
    if let Interlude::OneMessage = interlude {
        harness.report_ends(1, WORKER, &ends);
        return;
    }
    for (at, end) in ends.iter().enumerate() {
        let left: Vec<(&str, u32)> = ends[at..].iter().map(|(_, task, ..)| (*task, run)).collect();
        if at > 0 {
            match interlude {
                Interlude::OneMessage | Interlude::Nothing => {}
                Interlude::LeaderChange => harness.restart_leader(),
                Interlude::LeaderChangeAfterSnapshot => {
                    harness.compact_log();
                    harness.restart_leader();
                }
            }
            harness.announce_incarnation(1, "e1", 100);
            harness.report_runs(1, WORKER, &left);
        }
        harness.report_ends(1, WORKER, &[*end]);
    }
}

// A job with two attempts was shown as failed after the first run of its gang.
#[rstest]
fn a_run_of_a_gang_uses_one_attempt_however_many_members_fail(
    #[values(
        &[(0, EndKind::Failed), (1, EndKind::Failed), (2, EndKind::Failed)],
        &[(2, EndKind::Failed), (0, EndKind::GangBroken), (1, EndKind::Failed)],
        &[(1, EndKind::GangBroken), (2, EndKind::Failed), (0, EndKind::Failed)],
        &[(0, EndKind::GangIncomplete), (2, EndKind::Failed), (1, EndKind::Failed)],
        &[(0, EndKind::Failed), (1, EndKind::Expired), (2, EndKind::Failed)],
        &[(0, EndKind::Stopped), (1, EndKind::Refused), (2, EndKind::Failed)]
    )]
    ends: &[(u16, EndKind)],
    #[values(
        Interlude::OneMessage,
        Interlude::Nothing,
        Interlude::LeaderChange,
        Interlude::LeaderChangeAfterSnapshot
    )]
    interlude: Interlude,
) {
    let mut harness = start_gang();
    report_ends(&mut harness, ends, interlude);
    assert_eq!(harness.phase(0xa), "Running");
    assert_eq!(failures(&harness), [1; MEMBERS as usize]);
    harness.advance(1000);
    harness.connect_worker(1, "e1", 100);
    assert!(gang_run(&harness) > RunNumber(1), "the gang starts again");
    let run = gang_run(&harness).0;
    harness.report_end(1, WORKER, 10, &member(1), run, EndKind::Failed);
    assert_eq!(harness.phase(0xa), "Ended(Failed)");
}

// An operator finds a failed run by what the executor has said about it.
#[test]
fn the_log_line_of_a_members_end_says_what_the_executor_said() {
    let mut harness = start_gang();
    report_ends(&mut harness, &[(0, EndKind::Failed), (1, EndKind::Failed)], Interlude::Nothing);
    let line = |index| format!("{} run 1 Failed", member(index));
    assert_eq!(harness.ends_logged(), [line(0), line(1)]);
}

// The worker was avoided after a single failed run.
#[rstest]
#[case::one_message(Interlude::OneMessage)]
#[case::one_by_one(Interlude::Nothing)]
fn a_failed_run_of_a_gang_counts_once_against_its_worker(#[case] interlude: Interlude) {
    const WHOLE_WORKER: u16 = 16;
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(WHOLE_WORKER).gang()]));
    harness.connect_worker(2, "e2", 100);
    let ends: Vec<_> = (0..WHOLE_WORKER).map(|index| (index, EndKind::Failed)).collect();
    report_ends(&mut harness, &ends, interlude);
    assert_eq!(harness.phase(0xa), "Running");
    assert!(harness.suspected_workers().is_empty(), "{:?}", harness.suspected_workers());
}

// The member that is left kept the gang from starting again until it gave up.
#[rstest]
#[case::listed(&[(1, 1), (2, 1)])]
#[case::lost_orders(&[])]
fn the_members_that_are_left_of_a_run_are_stopped(#[case] listed: &[(u16, u32)]) {
    let mut harness = start_gang();
    let names: Vec<(String, u32)> = listed.iter().map(|(at, run)| (member(*at), *run)).collect();
    let listed: Vec<(&str, u32)> = names.iter().map(|(task, run)| (&**task, *run)).collect();
    harness.advance(1400);
    harness.report_end(1, WORKER, 0, &member(0), 1, EndKind::Refused);
    harness.report_runs(1, WORKER, &listed);
    assert_eq!(harness.stops(), [1, 2].map(|index| format!("{} run 1", member(index))));
    assert_eq!(harness.starts().len(), usize::from(MEMBERS), "{:?}", harness.starts());
    report_ends(
        &mut harness,
        &[(1, EndKind::Stopped), (2, EndKind::GangBroken)],
        Interlude::Nothing,
    );
    harness.advance(1000);
    harness.send(1, LinkMessage::Ping { sequence: 1 });
    harness.advance(1000);
    assert_eq!(harness.starts().len(), 2 * usize::from(MEMBERS), "{:?}", harness.starts());
}

#[test]
fn the_members_of_a_whole_gang_are_not_stopped() {
    let mut harness = start_gang();
    let names = [0, 1, 2].map(member);
    let listed: Vec<(&str, u32)> = names.iter().map(|task| (&**task, 1)).collect();
    harness.report_runs(1, WORKER, &listed);
    harness.report_end(1, WORKER, 1, &names[0], 1, EndKind::Done);
    assert!(harness.stops().is_empty(), "{:?}", harness.stops());
    assert_eq!(harness.phase(0xa), "Ended(Succeeded)");
}
