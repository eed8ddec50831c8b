//! Seeded schedules of faults over whole groups: control processes, agents and executors with a
//! fake network, clock and disk, and the promises checked after every step.

mod fixtures;
mod world;

use {
    rstest::rstest,
    std::panic::catch_unwind,
    world::{Breakage, FleetWorld},
};

/// Seeds that every run of the tests plays.
const SEEDS: std::ops::Range<u64> = 0..40;
const SEEDS_VARIABLE: &str = "SCHEDULE_SEEDS";

/// Seeds in which a breakage has to show.
const BROKEN_SEEDS: std::ops::Range<u64> = 0..100;

/// Plays a seed; a broken promise panics with the seed and what the executors saw.
fn check(seed: u64) {
    play(seed, None);
}

fn play(seed: u64, breakage: Option<Breakage>) {
    let mut world = FleetWorld::new(seed, breakage);
    world.play_faults();
    world.heal();
    world.expect_all_finished();
}

#[test]
fn promises_hold_over_random_faults() {
    let seeds = match std::env::var(SEEDS_VARIABLE) {
        Ok(count) => 0..count.parse().expect("the number of seeds"),
        Err(_) => SEEDS,
    };
    seeds.for_each(check);
}

/// Seeds that have failed once, each with its cause.
#[rstest]
#[case::order_repeated_before_its_refusal(0)]
#[case::done_under_a_lapsed_lease(6)]
#[case::order_on_its_way_to_a_worker_given_up(9)]
#[case::lease_granted_by_the_process_before(1068)]
#[case::lease_that_the_leader_did_not_count(1522)]
#[case::lease_over_before_the_order_was_committed(1446)]
#[case::two_pauses_of_an_agent(2377)]
#[case::acknowledgement_for_the_life_before(2541)]
fn seeds_that_failed_once_hold(#[case] seed: u64) {
    check(seed);
}

#[rstest]
#[case::leases_that_are_overstayed(Breakage::OverstayedLease)]
#[case::executors_taken_for_others(Breakage::SharedPlace)]
#[case::disks_that_forget(Breakage::ForgetfulDisk)]
fn a_built_in_fault_is_caught(#[case] breakage: Breakage) {
    let caught = |seed: &u64| catch_unwind(|| play(*seed, Some(breakage))).is_err();
    let seed = BROKEN_SEEDS.into_iter().find(caught);
    println!("{breakage:?} is caught by seed {seed:?}");
    assert!(seed.is_some());
}
