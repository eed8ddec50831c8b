//! Tests of learning the interference of best-effort tasks from the tail latencies beside them.

use {
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    workflow::{
        job::{JobKey, StepKey},
        plan::{BestEffortShare, ImageName, InterferenceTable},
        state::{CommandBatch, FlowCommand, FlowState},
    },
};

/// The interval between two reports of one worker.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

fn step(job: u64) -> StepKey {
    StepKey { job: JobKey(job), occurrence: 0, step: 0 }
}

fn image(name: &str) -> ImageName {
    Arc::from(name)
}

fn shares(best_effort: &[(&str, f64)]) -> Vec<BestEffortShare> {
    let share_of =
        |(name, share): &(&str, f64)| BestEffortShare { image: image(name), share: *share };
    best_effort.iter().map(share_of).collect()
}

/// A simulated latency-critical step: its headroom is a level less the pressure of each image
/// beside it.
struct SimulatedStep {
    level: f64,
    pressures: Vec<(&'static str, f64)>,
}

impl SimulatedStep {
    fn tail_share(&self, best_effort: &[(&str, f64)]) -> f64 {
        let pressure = |name: &str| {
            self.pressures.iter().find(|(known, _)| *known == name).map_or(0.0, |(_, value)| *value)
        };
        let taken: f64 = best_effort.iter().map(|(name, share)| pressure(name) * share).sum();
        (self.level - taken).max(0.1).recip()
    }
}

/// Observes each setting in turn, `rounds` times.
fn learn(simulated: &SimulatedStep, settings: &[&[(&str, f64)]], rounds: u32) -> InterferenceTable {
    let mut table = InterferenceTable::default();
    for round in 0..rounds {
        for best_effort in settings {
            let share = simulated.tail_share(best_effort);
            table.observe(
                REPORT_INTERVAL * round,
                step(1),
                &image("web"),
                &shares(best_effort),
                share,
            );
        }
    }
    table
}

#[test]
fn a_harmful_image_is_distinguished_from_a_harmless_one_beside_it() {
    let simulated = SimulatedStep { level: 2.5, pressures: vec![("heavy", 6.0), ("light", 0.0)] };
    let settings: [&[(&str, f64)]; 3] =
        [&[("light", 0.4)], &[("heavy", 0.1), ("light", 0.2)], &[("heavy", 0.2)]];
    let table = learn(&simulated, &settings, 20);
    let heavy =
        table.predict(REPORT_INTERVAL * 30, step(1), &image("web"), &shares(&[("heavy", 0.3)]));
    let light =
        table.predict(REPORT_INTERVAL * 30, step(1), &image("web"), &shares(&[("light", 0.6)]));
    assert!(heavy < 1.0, "{heavy}");
    assert!(light > 2.0, "{light}");
}

#[test]
fn headroom_is_extrapolated_linearly_while_tail_latency_is_not() {
    let simulated = SimulatedStep { level: 2.0, pressures: vec![("heavy", 4.0)] };
    let table = learn(&simulated, &[&[], &[("heavy", 0.1)], &[("heavy", 0.2)]], 30);
    let predicted =
        table.predict(REPORT_INTERVAL * 30, step(1), &image("web"), &shares(&[("heavy", 0.4)]));
    assert!((0.2..0.7).contains(&predicted), "{predicted}");
}

#[test]
fn load_that_swings_is_not_attributed_to_a_harmless_best_effort_image() {
    let mut table = InterferenceTable::default();
    for round in 0..60 {
        let level = 2.0 + 0.8 * (f64::from(round) * 0.25).sin();
        let now = REPORT_INTERVAL * round;
        table.observe(now, step(1), &image("web"), &shares(&[]), level.recip());
        table.observe(now, step(1), &image("web"), &shares(&[("light", 0.5)]), level.recip());
    }
    let taken = table.taken(&image("web"), &shares(&[("light", 0.5)])[0]);
    assert!(taken < 0.3, "{taken}");
}

#[test]
fn another_step_of_the_image_inherits_the_pairs_and_has_a_level_of_its_own() {
    let simulated = SimulatedStep { level: 2.5, pressures: vec![("heavy", 6.0)] };
    let mut table = learn(&simulated, &[&[], &[("heavy", 0.2)]], 30);
    for round in 30..40 {
        table.observe(REPORT_INTERVAL * round, step(2), &image("web"), &shares(&[]), 0.8);
    }
    let busy =
        table.predict(REPORT_INTERVAL * 40, step(2), &image("web"), &shares(&[("heavy", 0.1)]));
    let calm =
        table.predict(REPORT_INTERVAL * 30, step(1), &image("web"), &shares(&[("heavy", 0.1)]));
    assert!(busy < 1.0, "{busy}");
    assert!(calm > 1.5, "{calm}");
}

#[test]
fn an_unknown_pair_is_predicted_to_fit_with_a_small_share_only() {
    let table = InterferenceTable::default();
    let little =
        table.predict(REPORT_INTERVAL * 30, step(1), &image("web"), &shares(&[("new", 0.1)]));
    let much =
        table.predict(REPORT_INTERVAL * 30, step(1), &image("web"), &shares(&[("new", 0.9)]));
    assert!(little > 1.5, "{little}");
    assert!(much < 1.0, "{much}");
}

#[test]
fn a_job_that_has_ended_leaves_the_learned_pairs_of_its_images() {
    let simulated = SimulatedStep { level: 2.5, pressures: vec![("heavy", 6.0)] };
    let mut table = learn(&simulated, &[&[], &[("heavy", 0.2)]], 30);
    let before = table.taken(&image("web"), &shares(&[("heavy", 0.2)])[0]);
    table.forget_job(JobKey(1));
    let after = table.taken(&image("web"), &shares(&[("heavy", 0.2)])[0]);
    assert_eq!(before.to_bits(), after.to_bits());
}

// A new leader relearned every pair, at the cost of the latency-critical tasks.
#[test]
fn a_new_leader_starts_with_the_interference_stored_in_the_log() {
    let simulated = SimulatedStep { level: 2.5, pressures: vec![("heavy", 6.0), ("light", 0.0)] };
    let settings: [&[(&str, f64)]; 2] = [&[("light", 0.4)], &[("heavy", 0.2)]];
    let table = learn(&simulated, &settings, 20);
    let commands = vec![FlowCommand::StoreInterference(table.learned_pairs())];
    let mut state = FlowState::default();
    state.apply(&CommandBatch { elapsed_ms: 0, commands });
    let state = FlowState::from_snapshot(&state.to_snapshot()).unwrap();
    let next = InterferenceTable::from_pairs(REPORT_INTERVAL, state.learned());
    for name in ["heavy", "light"] {
        let pair_share = &shares(&[(name, 0.3)])[0];
        let (before, after) =
            (table.taken(&image("web"), pair_share), next.taken(&image("web"), pair_share));
        assert_eq!(before.to_bits(), after.to_bits(), "{name}");
    }
}

/// Observes a level with a swing of `period_s` seconds, and returns the table and the time.
fn learn_swing(period_s: f64, seconds: f64) -> (InterferenceTable, Duration) {
    let mut table = InterferenceTable::default();
    let rounds = (seconds / REPORT_INTERVAL.as_secs_f64()) as u32;
    for round in 0..rounds {
        let now = REPORT_INTERVAL * round;
        let level = swinging_level(period_s, now);
        table.observe(now, step(1), &image("web"), &shares(&[]), level.recip());
    }
    (table, REPORT_INTERVAL * (rounds - 1))
}

fn swinging_level(period_s: f64, time: Duration) -> f64 {
    2.4 + (std::f64::consts::TAU * time.as_secs_f64() / period_s).sin()
}

// A best-effort task that starts while a service is calm runs into the service's next busy time.
#[rstest]
#[case(8.0)]
#[case(10.0)]
#[case(14.0)]
#[case(18.0)]
fn a_swing_is_forecast_for_the_time_that_a_task_runs(#[case] period_s: f64) {
    const AHEAD: Duration = Duration::from_millis(1500);
    let mut errors = Vec::new();
    for quarter in 0..8 {
        let (table, now) = learn_swing(period_s, 30.0 + period_s * f64::from(quarter) / 8.0);
        let expected = table.predict(now + AHEAD, step(1), &image("web"), &shares(&[]));
        errors.push((expected - swinging_level(period_s, now + AHEAD)).abs());
        let least = table.forecast(now).least_headroom(AHEAD, step(1), &image("web"), &[]);
        assert!(least <= expected + 0.05, "{least} {expected}");
    }
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    // The level changes by up to 1.7 in this time. What is planned leaves 0.2 to spare.
    assert!(mean < 0.2, "{mean} {errors:?}");
}

#[test]
fn a_level_that_jumps_is_followed_within_seconds() {
    let mut table = InterferenceTable::default();
    for round in 0..60 {
        let level: f64 = if round < 50 { 1.6 } else { 3.0 };
        let now = REPORT_INTERVAL * round;
        table.observe(now, step(1), &image("web"), &shares(&[]), level.recip());
    }
    let present = table.predict(REPORT_INTERVAL * 59, step(1), &image("web"), &shares(&[]));
    assert!((2.6..3.4).contains(&present), "{present}");
}
