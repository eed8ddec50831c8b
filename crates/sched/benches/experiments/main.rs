//! Compares placement with baselines for both deployments: `cargo bench -p sched --bench
//! experiments`, with words from experiment names to run only some, and `--seed N`. All figures are
//! simulated; `docs/MEASURES-PLACEMENT.md` describes what the fake models and leaves out.

mod baseline;
mod deployment;
mod effects;
mod executor;
mod fleet;
mod outcome;

use {
    baseline::{Variant, VARIANTS},
    deployment::{
        draw_jobs, postal, umoja, BatchMix, Deployment, Disturbance, Experiment, CALM_MIX, WORKERS,
    },
    fleet::FakeFleet,
    outcome::RunOutcome,
};

const DEFAULT_SEED: u64 = 20;
const MINUTES: f64 = 30.0;
const BASE_LOAD: f64 = 0.4;

struct Options {
    seed: u64,
    words: Vec<String>,
}

impl Options {
    fn parse() -> Self {
        let mut options = Self { seed: DEFAULT_SEED, words: Vec::new() };
        let mut arguments = std::env::args().skip(1);
        while let Some(argument) = arguments.next() {
            match argument.as_str() {
                "--seed" => {
                    let seed = arguments.next().and_then(|text| text.parse().ok());
                    options.seed = seed.expect("--seed takes a number");
                }
                "--bench" => {}
                word => options.words.push(word.to_owned()),
            }
        }
        options
    }

    fn wants(&self, name: &str) -> bool {
        self.words.is_empty() || self.words.iter().any(|word| name.contains(word.as_str()))
    }
}

fn experiments(deployment: &Deployment, seed: u64) -> Vec<Experiment> {
    let seconds = MINUTES * 60.0;
    let waves = BatchMix { wave: 40, steady: 0.35, ..CALM_MIX };
    let make = |name, load, mix, disturbances| Experiment {
        name,
        minutes: MINUTES,
        load,
        report_lag: 5.0,
        strength: 1.0,
        jobs: draw_jobs(deployment, mix, seconds, seed),
        disturbances,
    };
    let lose_workers = |workers| vec![Disturbance::Lose { workers, from: 600.0, to: 900.0 }];
    let data_centre = deployment.data_centre(0);
    let same_data_centre =
        (0..WORKERS).filter(|index| deployment.data_centre(*index) == data_centre).collect();
    let merger = BatchMix { doubles_at: 600.0, wave: 20, steady: 0.25, ..CALM_MIX };
    let late = |lag| Experiment { report_lag: lag, ..make("", BASE_LOAD, waves, vec![]) };
    vec![
        make("noisy waves", BASE_LOAD, waves, vec![]),
        Experiment { name: "no batch work", jobs: Vec::new(), ..late(5.0) },
        Experiment { name: "interference of half the strength", strength: 0.5, ..late(5.0) },
        Experiment { name: "interference of twice the strength", strength: 2.0, ..late(5.0) },
        make("merger: twice the load", 0.3, merger, vec![Disturbance::Merger { at: 600.0 }]),
        make("one instance lost", BASE_LOAD, waves, lose_workers(vec![4])),
        make("one rack lost", BASE_LOAD, waves, lose_workers(vec![3, 4, 5])),
        make("one yard lost", BASE_LOAD, waves, lose_workers(same_data_centre)),
        make(
            "a worker fails everything",
            BASE_LOAD,
            CALM_MIX,
            vec![Disturbance::FailAll { worker: 5, from: 300.0, to: 1200.0 }],
        ),
        make("jobs that can never run", BASE_LOAD, BatchMix { infeasible: 20, ..CALM_MIX }, vec![]),
        make(
            "sizes wrong by four",
            BASE_LOAD,
            BatchMix { declared_factor: 4.0, ..CALM_MIX },
            vec![],
        ),
        Experiment { name: "reports at once", ..late(0.0) },
        Experiment { name: "reports 20 s late", ..late(20.0) },
        make(
            "cancellation wave",
            BASE_LOAD,
            BatchMix { wave: 200, ..waves },
            vec![Disturbance::CancelAll { at: 750.0 }],
        ),
        make("urgent work", BASE_LOAD, BatchMix { urgent: 25, steady: 1.2, ..CALM_MIX }, vec![]),
    ]
}

fn main() {
    let options = Options::parse();
    println!("seed {}, {MINUTES} simulated minutes a run", options.seed);
    for deployment in [umoja(), postal()] {
        for experiment in experiments(&deployment, options.seed) {
            let name = format!("{}: {}", deployment.name, experiment.name);
            if options.wants(&name) {
                println!("\n## {name}\n");
                compare(&deployment, &experiment, options.seed);
            }
        }
    }
}

fn compare(deployment: &Deployment, experiment: &Experiment, seed: u64) {
    println!(
        "| variant | p50 ms | p99 ms | p99.9 ms | in 1 s % | batch/h | evictions | throttles \
         | lost | failed | parked | quarantines | urgent s | left | overused s | overcommit \
         | p99 ratio | batch ratio | evictions ratio |"
    );
    println!("|{}", "---|".repeat(19));
    let mut model = None;
    for variant in VARIANTS {
        let outcome = FakeFleet::new(deployment, experiment, variant, seed).run();
        print_row(variant, &outcome, model.as_ref().unwrap_or(&outcome));
        if variant == Variant::Model {
            model = Some(outcome);
        }
    }
}

/// Prints one row. The ratios are those of the model to the variant of the row.
fn print_row(variant: Variant, outcome: &RunOutcome, model: &RunOutcome) {
    let part = |model: f64, other: f64| {
        if other == 0.0 {
            "-".to_owned()
        } else {
            format!("{:.2}", model / other)
        }
    };
    println!(
        "| {} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {} | {} | {} | {} | {} | {} | {:.1} | {} \
         | {:.0} | {} | {} | {} | {} |",
        variant.name(),
        outcome.quantile(0.5),
        outcome.quantile(0.99),
        outcome.quantile(0.999),
        outcome.in_time_percent(),
        outcome.finished_per_hour(),
        outcome.evictions,
        outcome.throttles,
        outcome.lost,
        outcome.failures,
        outcome.parked,
        outcome.quarantines,
        outcome.longest_urgent_wait(),
        outcome.left,
        outcome.overused,
        outcome.overcommits,
        part(model.quantile(0.99), outcome.quantile(0.99)),
        part(model.finished_per_hour(), outcome.finished_per_hour()),
        part(f64::from(model.evictions), f64::from(outcome.evictions)),
    );
}
