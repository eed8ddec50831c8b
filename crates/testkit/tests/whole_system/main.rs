//! Runs the whole system under seeded schedules of faults: the reducers of three control processes,
//! two entries and three agents, over a fake network, fake disks, fake executors and clocks that
//! drift apart. After every step a witness checks the promises of `docs/PROMISES.md` from the
//! outside: from what ran where and when, and from what callers and operators received.
//!
//! `SEEDS=first..last` replaces the default seeds. A seed that fails prints its script.

mod breakage;
mod callers;
mod network;
mod processes;
mod schedule;
mod witness;
mod world;

use {breakage::Breakage, rstest::rstest, schedule::ScheduleReport, std::ops::Range};

const DEFAULT_SEEDS: Range<u64> = 0..100;
/// Seeds within which every breakage must be detected.
const BREAKAGE_SEEDS: Range<u64> = 0..300;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SEEDS") else { return DEFAULT_SEEDS };
    let parse = |(first, last): (&str, &str)| Some(first.parse().ok()?..last.parse().ok()?);
    text.split_once("..").and_then(parse).expect("SEEDS=first..last")
}

#[test]
fn no_schedule_of_faults_breaks_a_promise() {
    let mut failed = Vec::new();
    let mut total = ScheduleReport::default();
    for seed in seeds() {
        let report = schedule::run(seed, None);
        if !report.violations.is_empty() {
            println!("seed {seed}:\n{}\n{:#?}", report.script.join("\n"), report.violations);
            failed.push(seed);
        }
        total.add(&report);
    }
    println!("{} schedules: {}; failed: {failed:?}", seeds().count(), total.summary());
    assert_eq!(failed, Vec::<u64>::new());
    assert!(total.answered > 0 && total.not_run > 0 && total.finished > 0, "{}", total.summary());
}

/// The checks can fail: at least one schedule detects each breakage of the system.
#[rstest]
#[case::not_connected_is_claimed_without_proof(Breakage::ClaimNotConnected, "ran")]
#[case::a_stop_is_reported_and_not_made(Breakage::ReportFalseStops, "runs on")]
#[case::a_new_leader_does_not_wait(Breakage::SkipLeaseWait, "runs on")]
#[case::answers_go_to_other_callers(Breakage::SwapAnswers, "got the answer of")]
#[case::a_revision_goes_back(Breakage::RevertRevision, "went back")]
#[case::slots_are_not_guarded(Breakage::ReleaseSlotsEarly, "slots")]
fn every_breakage_is_detected(#[case] breakage: Breakage, #[case] expected: &str) {
    let caught = BREAKAGE_SEEDS.into_iter().find_map(|seed| {
        let report = schedule::run(seed, Some(breakage));
        let found = report.violations.iter().find(|text| text.contains(expected)).cloned();
        found.map(|text| (seed, text))
    });
    println!("{breakage:?}: {caught:?}");
    assert!(caught.is_some(), "no schedule caught {breakage:?}");
}
