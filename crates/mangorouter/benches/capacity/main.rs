//! Measures what control, entry and agent cost at growing sizes, and computes the figures of
//! `docs/CAPACITY.md` from the slopes.
//!
//! `cargo bench --bench capacity` runs all parts; the name of a part such as `control` runs that
//! one. Control, entry and agent run as processes of their own, whose usage is read from `/proc`.
//! Workers are simulated by threads that speak the agents' side of the protocol.

mod child;
mod parts;
mod relay;
mod simulated;
mod statistics;

use std::env;

fn main() {
    let words: Vec<String> = env::args().skip(1).filter(|word| !word.starts_with('-')).collect();
    let wanted = |part: &str| words.is_empty() || words.iter().any(|word| word == part);
    for (name, run) in parts::ALL {
        if wanted(name) {
            println!("\n## {name}\n");
            run();
        }
    }
}
