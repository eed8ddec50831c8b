//! Random schedules of faults over the real state machine. `QUORUM_SEEDS` sets how many seeds are
//! run, `QUORUM_FIRST_SEED` where they start.

mod cluster;

use {
    cluster::{
        schedule::{run, shorten, steps_of, RunReport},
        Breakage,
    },
    rstest::rstest,
    std::env,
};

/// Seeds that are run unless the environment says otherwise.
const DEFAULT_SEEDS: u64 = 300;
/// A deliberate fault that no schedule shows within this many seeds is not caught.
const BREAKAGE_SEEDS: u64 = 300;

fn number_from(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_schedule_of_faults_breaks_a_promise() {
    let first = number_from("QUORUM_FIRST_SEED", 0);
    let count = number_from("QUORUM_SEEDS", DEFAULT_SEEDS);
    let mut total = RunReport::default();
    let mut failed = Vec::new();
    for seed in first..first + count {
        let report = run(seed, &steps_of(seed), None);
        total.steps += report.steps;
        total.faults += report.faults;
        total.acknowledged += report.acknowledged;
        total.reads += report.reads;
        total.snapshots += report.snapshots;
        total.changes += report.changes;
        if !report.complaints.is_empty() {
            println!("seed {seed}: {:?}", report.complaints);
            failed.push(seed);
        }
    }
    println!(
        "{count} seeds: {} steps, {} faults, {} acknowledged, {} of them membership changes, \
         {} reads answered, {} snapshots installed",
        total.steps, total.faults, total.acknowledged, total.changes, total.reads, total.snapshots
    );
    if let Some(seed) = failed.first() {
        println!("seed {seed} shortened: {:#?}", shorten(*seed, None));
    }
    assert_eq!(failed, Vec::<u64>::new(), "seeds that failed");
}

/// The checks must be able to fail: each deliberate fault is seen by some schedule.
#[rstest]
#[case::no_sync(Breakage::NoSync)]
#[case::vote_not_written(Breakage::VoteNotWritten)]
#[case::own_entries_unsynced(Breakage::OwnEntriesUnsynced)]
#[case::read_unconfirmed(Breakage::ReadUnconfirmed)]
#[case::failure_hidden(Breakage::FailureHidden)]
fn a_deliberate_fault_is_caught(#[case] breakage: Breakage) {
    let caught = (0..BREAKAGE_SEEDS)
        .find(|seed| !run(*seed, &steps_of(*seed), Some(breakage)).complaints.is_empty());
    println!("{breakage:?} is caught by seed {caught:?}");
    assert!(caught.is_some(), "{breakage:?} is not caught within {BREAKAGE_SEEDS} seeds");
}
