//! Placement against baselines, for both desks: `cargo bench -p sched --bench experiments`, with
//! words of experiment names to run only some and `--seed N`. Figures are simulated; see
//! `docs/MEASURES-PLACEMENT.md` for what the fake does and leaves out.

mod baseline;
mod desk;
mod effects;
mod executor;
mod fleet;
mod outcome;

use {
    baseline::{Variant, VARIANTS},
    desk::{draw_jobs, postal, umoja, BatchMix, Desk, Experiment, Mishap, CALM, WORKERS},
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

fn experiments(desk: &Desk, seed: u64) -> Vec<Experiment> {
    let seconds = MINUTES * 60.0;
    let waves = BatchMix { wave: 40, steady: 0.35, ..CALM };
    let make = |name, load, mix, mishaps| Experiment {
        name,
        minutes: MINUTES,
        load,
        report_lag: 5.0,
        strength: 1.0,
        jobs: draw_jobs(desk, mix, seconds, seed),
        mishaps,
    };
    let lose = |workers| vec![Mishap::Lose { workers, from: 600.0, to: 900.0 }];
    let site = desk.site(0);
    let yard = (0..WORKERS).filter(|index| desk.site(*index) == site).collect();
    let merger = BatchMix { doubles_at: 600.0, wave: 20, steady: 0.25, ..CALM };
    let late = |lag| Experiment { report_lag: lag, ..make("", BASE_LOAD, waves, vec![]) };
    vec![
        make("noisy waves", BASE_LOAD, waves, vec![]),
        Experiment { name: "no batch work", jobs: Vec::new(), ..late(5.0) },
        Experiment { name: "interference of half the strength", strength: 0.5, ..late(5.0) },
        Experiment { name: "interference of twice the strength", strength: 2.0, ..late(5.0) },
        make("merger: twice the load", 0.3, merger, vec![Mishap::Merger { at: 600.0 }]),
        make("one instance lost", BASE_LOAD, waves, lose(vec![4])),
        make("one rack lost", BASE_LOAD, waves, lose(vec![3, 4, 5])),
        make("one yard lost", BASE_LOAD, waves, lose(yard)),
        make(
            "a worker fails everything",
            BASE_LOAD,
            CALM,
            vec![Mishap::FailAll { worker: 5, from: 300.0, to: 1200.0 }],
        ),
        make("jobs that can never run", BASE_LOAD, BatchMix { hopeless: 20, ..CALM }, vec![]),
        make("sizes wrong by four", BASE_LOAD, BatchMix { wrong_by: 4.0, ..CALM }, vec![]),
        Experiment { name: "reports at once", ..late(0.0) },
        Experiment { name: "reports 20 s late", ..late(20.0) },
        make(
            "cancellation wave",
            BASE_LOAD,
            BatchMix { wave: 200, ..waves },
            vec![Mishap::CancelAll { at: 750.0 }],
        ),
        make("urgent work", BASE_LOAD, BatchMix { urgent: 25, steady: 1.2, ..CALM }, vec![]),
    ]
}

fn main() {
    let options = Options::parse();
    println!("seed {}, {MINUTES} simulated minutes a run", options.seed);
    for desk in [umoja(), postal()] {
        for experiment in experiments(&desk, options.seed) {
            let name = format!("{}: {}", desk.name, experiment.name);
            if options.wants(&name) {
                println!("\n## {name}\n");
                compare(&desk, &experiment, options.seed);
            }
        }
    }
}

fn compare(desk: &Desk, experiment: &Experiment, seed: u64) {
    println!(
        "| variant | p50 ms | p99 ms | p99.9 ms | in 1 s % | batch/h | evictions | throttles \
         | lost | failed | parked | quarantines | urgent s | left | overused s | overcommit \
         | p99 ratio | batch ratio | evictions ratio |"
    );
    println!("|{}", "---|".repeat(19));
    let mut model = None;
    for variant in VARIANTS {
        let outcome = FakeFleet::new(desk, experiment, variant, seed).run();
        print_row(variant, &outcome, model.as_ref().unwrap_or(&outcome));
        if variant == Variant::Model {
            model = Some(outcome);
        }
    }
}

/// Ratios are those of the model to the variant of the row.
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
