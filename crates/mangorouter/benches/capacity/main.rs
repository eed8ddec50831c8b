//! Measures what control costs at growing sizes, and works out `docs/CAPACITY.md` from the slopes.
//!
//! `cargo bench --bench capacity` runs everything; a word such as `control` runs one part. Control,
//! entry and agent run as processes of their own and are read through `/proc`; workers are
//! pretended by threads that speak the agents' side of the protocol.

mod child;
mod figures;
mod parts;
mod pretended;
mod relay;

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
