//! Random schedules of faults against the real state machine. `QUORUM_SEEDS` sets the number of
//! seeds, `QUORUM_FIRST_SEED` the first one.

mod cluster;

use {
    cluster::{
        schedule::{run, shorten, steps_of, RunReport},
        InjectedBug,
    },
    rstest::rstest,
    std::env,
};

/// Number of seeds to run unless `QUORUM_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 300;
/// Number of seeds within which some schedule must detect an injected bug.
const BUG_SEEDS: u64 = 300;

fn number_from(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_schedule_of_faults_violates_a_guarantee() {
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
        if !report.violations.is_empty() {
            println!("seed {seed}: {:?}", report.violations);
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

/// Guards against checks that can't fail: some schedule must detect each injected bug.
#[rstest]
#[case::no_sync(InjectedBug::NoSync)]
#[case::vote_not_written(InjectedBug::VoteNotWritten)]
#[case::own_entries_unsynced(InjectedBug::OwnEntriesUnsynced)]
#[case::read_unconfirmed(InjectedBug::ReadUnconfirmed)]
#[case::failure_hidden(InjectedBug::FailureHidden)]
fn an_injected_bug_is_detected(#[case] bug: InjectedBug) {
    let detected_by =
        (0..BUG_SEEDS).find(|seed| !run(*seed, &steps_of(*seed), Some(bug)).violations.is_empty());
    println!("{bug:?} is detected by seed {detected_by:?}");
    assert!(detected_by.is_some(), "{bug:?} is not detected within {BUG_SEEDS} seeds");
}
