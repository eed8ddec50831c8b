//! Seeded fault schedules over a whole control group and its agents. `SEEDS=first..last` replaces
//! the default seeds. A seed that fails prints its history.

mod fleet;

use {
    fleet::{schedule, Breakage},
    rstest::rstest,
};

const ALWAYS: std::ops::Range<u64> = 0..60;
/// Number of seeds within which a deliberate fault must be detected.
const SEEDS_TO_FAIL: u64 = 40;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SEEDS") else { return ALWAYS };
    let parse = |(first, last): (&str, &str)| Some(first.parse().ok()?..last.parse().ok()?);
    text.split_once("..").and_then(parse).expect("SEEDS=first..last")
}

#[test]
fn no_schedule_of_faults_breaks_a_promise() {
    let mut failed = Vec::new();
    let mut faults = 0;
    let seeds = seeds();
    let count = seeds.clone().count();
    for seed in seeds {
        let report = schedule::run(seed, None);
        faults += report.faults;
        if !report.violations.is_empty() {
            println!("seed {seed}:\n{}", report.lines.join("\n"));
            println!("seed {seed}: {:#?}", report.violations);
            failed.push(seed);
        }
    }
    println!("{count} schedules, {faults} faults, failed: {failed:?}");
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

/// The checks can fail: each deliberate fault is detected within a bounded number of seeds, as the
/// violation that it causes.
#[rstest]
#[case::lease_overstayed(Breakage::LeaseOverstayed, " runs on ")]
#[case::stop_confirmed_early(Breakage::StopConfirmedEarly, " runs on ")]
#[case::disk_forgets(Breakage::DiskForgets, "")]
#[case::no_wait_for_leases(Breakage::NoWaitForLeases, " runs on ")]
fn a_deliberate_fault_is_seen(#[case] breakage: Breakage, #[case] seen: &str) {
    let found = (0..SEEDS_TO_FAIL).find_map(|seed| {
        let report = schedule::run(seed, Some(breakage));
        let violation = report.violations.into_iter().find(|text| text.contains(seen));
        violation.map(|violation| (seed, violation))
    });
    let (seed, violation) = found.expect("no seed shows the fault");
    println!("{breakage:?}: seed {seed}: {violation}");
}
