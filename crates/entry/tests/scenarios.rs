//! Runs the scripts under `scenarios/` against the entry reducer in fake time.

mod script;

use script::EntryScript;

#[test]
fn scenarios() {
    datadriven::walk("scenarios", |file| {
        let mut script = EntryScript::new();
        file.run(|case| script.run(case));
    });
}
