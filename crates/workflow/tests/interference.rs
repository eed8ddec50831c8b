//! Tests of learning the interference of best-effort tasks from the tail latencies beside them.

use {
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
    let heavy = table.predict(step(1), &image("web"), &shares(&[("heavy", 0.3)]));
    let light = table.predict(step(1), &image("web"), &shares(&[("light", 0.6)]));
    assert!(heavy < 1.0, "{heavy}");
    assert!(light > 2.0, "{light}");
}

#[test]
fn headroom_is_extrapolated_linearly_while_tail_latency_is_not() {
    let simulated = SimulatedStep { level: 2.0, pressures: vec![("heavy", 4.0)] };
    let table = learn(&simulated, &[&[], &[("heavy", 0.1)], &[("heavy", 0.2)]], 30);
    let predicted = table.predict(step(1), &image("web"), &shares(&[("heavy", 0.4)]));
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
    let busy = table.predict(step(2), &image("web"), &shares(&[("heavy", 0.1)]));
    let calm = table.predict(step(1), &image("web"), &shares(&[("heavy", 0.1)]));
    assert!(busy < 1.0, "{busy}");
    assert!(calm > 1.5, "{calm}");
}

#[test]
fn an_unknown_pair_is_predicted_to_fit_with_a_small_share_only() {
    let table = InterferenceTable::default();
    let little = table.predict(step(1), &image("web"), &shares(&[("new", 0.1)]));
    let much = table.predict(step(1), &image("web"), &shares(&[("new", 0.9)]));
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

#[test]
fn a_step_that_is_calm_for_a_moment_is_forecast_to_get_busy_again() {
    let mut table = InterferenceTable::default();
    for round in 0..60 {
        let level = if round < 50 { 1.6 } else { 3.0 };
        table.observe(
            REPORT_INTERVAL * round,
            step(1),
            &image("web"),
            &shares(&[]),
            f64::recip(level),
        );
    }
    let present = table.predict(step(1), &image("web"), &shares(&[]));
    let forecast = table.forecast(step(1), &image("web"), &shares(&[]));
    assert!(present > 2.5, "{present}");
    assert!(forecast < 2.1, "{forecast}");
}
