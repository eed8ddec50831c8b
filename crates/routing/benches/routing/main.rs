//! Routing experiments: both deployments and all variants in one run, in virtual time.
//!
//! `cargo bench -p routing --bench routing [-- EXPERIMENT...]` prints the tables of
//! `docs/MEASURES-ROUTING.md`. Every run of one build prints the same figures.

mod baseline;
mod deployment;
mod report;
mod simulation;
mod variant;

use {
    deployment::{all_experiments, Deployment},
    report::print_table,
    simulation::Simulation,
    variant::VariantKind,
};

const SEEDS: [u64; 2] = [11, 12];

fn main() {
    let chosen: Vec<_> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    for experiment in all_experiments() {
        if !chosen.is_empty() && !chosen.iter().any(|name| experiment.name.contains(name)) {
            continue;
        }
        for deployment in Deployment::both() {
            let runs = VariantKind::ALL.map(|kind| {
                let runs =
                    SEEDS.map(|seed| Simulation::new(&deployment, &experiment, kind, seed).run());
                (kind, runs.into_iter().reduce(report::Tally::merge).expect("there are seeds"))
            });
            print_table(&deployment, &experiment, &runs);
        }
    }
}
