//! Learning interference of best-effort tasks from the tail latencies beside them.

use {
    std::{sync::Arc, time::Duration},
    workflow::{
        job::{JobKey, StepKey},
        plan::{FillerShare, ImageName, InterferenceTable},
        state::{CommandBatch, FlowCommand, FlowState},
    },
};

/// The time between two reports of one worker.
const REPORT: Duration = Duration::from_millis(400);

fn step(job: u64) -> StepKey {
    StepKey { job: JobKey(job), occurrence: 0, step: 0 }
}

fn image(name: &str) -> ImageName {
    Arc::from(name)
}

fn beside(fillers: &[(&str, f64)]) -> Vec<FillerShare> {
    let filler = |(name, share): &(&str, f64)| FillerShare { image: image(name), share: *share };
    fillers.iter().map(filler).collect()
}

/// A latency-critical step whose observed headroom is a level less pressures.
struct Truth {
    level: f64,
    pressures: Vec<(&'static str, f64)>,
}

impl Truth {
    fn tail_share(&self, fillers: &[(&str, f64)]) -> f64 {
        let pressure = |name: &str| {
            self.pressures.iter().find(|(known, _)| *known == name).map_or(0.0, |(_, value)| *value)
        };
        let taken: f64 = fillers.iter().map(|(name, share)| pressure(name) * share).sum();
        (self.level - taken).max(0.1).recip()
    }
}

/// Observes each of the settings in turn, `rounds` times.
fn learn(truth: &Truth, settings: &[&[(&str, f64)]], rounds: u32) -> InterferenceTable {
    let mut table = InterferenceTable::default();
    for round in 0..rounds {
        for fillers in settings {
            let share = truth.tail_share(fillers);
            table.observe(REPORT * round, step(1), &image("web"), &beside(fillers), share);
        }
    }
    table
}

#[test]
fn a_harmful_image_is_told_from_a_harmless_one_beside_it() {
    let truth = Truth { level: 2.5, pressures: vec![("heavy", 6.0), ("light", 0.0)] };
    let settings: [&[(&str, f64)]; 3] =
        [&[("light", 0.4)], &[("heavy", 0.1), ("light", 0.2)], &[("heavy", 0.2)]];
    let table = learn(&truth, &settings, 20);
    let heavy = table.predict(step(1), &image("web"), &beside(&[("heavy", 0.3)]));
    let light = table.predict(step(1), &image("web"), &beside(&[("light", 0.6)]));
    assert!(heavy < 1.0, "{heavy}");
    assert!(light > 2.0, "{light}");
}

#[test]
fn headroom_shrinks_linearly_where_tails_explode() {
    let truth = Truth { level: 2.0, pressures: vec![("heavy", 4.0)] };
    let table = learn(&truth, &[&[], &[("heavy", 0.1)], &[("heavy", 0.2)]], 30);
    let predicted = table.predict(step(1), &image("web"), &beside(&[("heavy", 0.4)]));
    assert!((0.2..0.7).contains(&predicted), "{predicted}");
}

#[test]
fn load_that_swings_is_not_attributed_to_a_harmless_best_effort_image() {
    let mut table = InterferenceTable::default();
    for round in 0..60 {
        let level = 2.0 + 0.8 * (f64::from(round) * 0.25).sin();
        let now = REPORT * round;
        table.observe(now, step(1), &image("web"), &beside(&[]), level.recip());
        table.observe(now, step(1), &image("web"), &beside(&[("light", 0.5)]), level.recip());
    }
    let taken = table.taken(&image("web"), &beside(&[("light", 0.5)])[0]);
    assert!(taken < 0.3, "{taken}");
}

#[test]
fn another_step_of_the_image_inherits_the_pairs_and_has_a_level_of_its_own() {
    let truth = Truth { level: 2.5, pressures: vec![("heavy", 6.0)] };
    let mut table = learn(&truth, &[&[], &[("heavy", 0.2)]], 30);
    for round in 30..40 {
        table.observe(REPORT * round, step(2), &image("web"), &beside(&[]), 0.8);
    }
    let busy = table.predict(step(2), &image("web"), &beside(&[("heavy", 0.1)]));
    let calm = table.predict(step(1), &image("web"), &beside(&[("heavy", 0.1)]));
    assert!(busy < 1.0, "{busy}");
    assert!(calm > 1.5, "{calm}");
}

#[test]
fn an_unknown_pair_is_tried_with_little_only() {
    let table = InterferenceTable::default();
    let little = table.predict(step(1), &image("web"), &beside(&[("new", 0.1)]));
    let much = table.predict(step(1), &image("web"), &beside(&[("new", 0.9)]));
    assert!(little > 1.5, "{little}");
    assert!(much < 1.0, "{much}");
}

#[test]
fn a_job_that_has_ended_leaves_what_its_images_taught() {
    let truth = Truth { level: 2.5, pressures: vec![("heavy", 6.0)] };
    let mut table = learn(&truth, &[&[], &[("heavy", 0.2)]], 30);
    let before = table.taken(&image("web"), &beside(&[("heavy", 0.2)])[0]);
    table.forget_job(JobKey(1));
    let after = table.taken(&image("web"), &beside(&[("heavy", 0.2)])[0]);
    assert_eq!(before.to_bits(), after.to_bits());
}

// A new leader relearned every pair, at the cost of the latency-critical tasks.
#[test]
fn a_new_leader_begins_with_what_the_log_holds() {
    let truth = Truth { level: 2.5, pressures: vec![("heavy", 6.0), ("light", 0.0)] };
    let settings: [&[(&str, f64)]; 2] = [&[("light", 0.4)], &[("heavy", 0.2)]];
    let table = learn(&truth, &settings, 20);
    let commands = vec![FlowCommand::KeepLearned(table.learned_pairs())];
    let mut state = FlowState::default();
    state.apply(&CommandBatch { elapsed_ms: 0, commands });
    let state = FlowState::from_snapshot(&state.to_snapshot()).unwrap();
    let next = InterferenceTable::from_pairs(REPORT, state.learned());
    for name in ["heavy", "light"] {
        let filler = &beside(&[(name, 0.3)])[0];
        let (before, after) =
            (table.taken(&image("web"), filler), next.taken(&image("web"), filler));
        assert_eq!(before.to_bits(), after.to_bits(), "{name}");
    }
}

#[test]
fn a_step_that_is_calm_for_a_moment_is_expected_to_get_busy_again() {
    let mut table = InterferenceTable::default();
    for round in 0..60 {
        let level = if round < 50 { 1.6 } else { 3.0 };
        table.observe(REPORT * round, step(1), &image("web"), &beside(&[]), f64::recip(level));
    }
    let present = table.predict(step(1), &image("web"), &beside(&[]));
    let forecast = table.forecast(step(1), &image("web"), &beside(&[]));
    assert!(present > 2.5, "{present}");
    assert!(forecast < 2.1, "{forecast}");
}
