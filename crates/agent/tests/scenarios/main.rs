//! Scenario tests of one agent. Each file in `scenarios/` is a script of commands with the agent's
//! expected output. `REWRITE=1` writes the outputs anew.

mod leader;
mod parse;
mod schedules;
mod text;
mod world;

use world::AgentWorld;

#[test]
fn scenarios_match_their_expected_output() {
    datadriven::walk(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios"), |file| {
        let mut world = AgentWorld::new();
        file.run(|case| world.perform(case));
    });
}
