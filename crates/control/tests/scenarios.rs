//! Runs the files of `scenarios/`, each of which covers one guarantee or failure. `REWRITE=1`
//! writes the actual output into the files.

mod fleet;

use {
    fleet::script::FleetScript,
    rstest::rstest,
    std::{
        path::PathBuf,
        sync::{Arc, Mutex},
    },
};

#[rstest]
fn scenario(#[files("scenarios/*.txt")] path: PathBuf) {
    let script = Arc::new(Mutex::new(FleetScript::new()));
    datadriven::walk(path.to_str().expect("a plain path"), |file| {
        file.run(|test| script.lock().expect("no other test uses it").step(&mut test.clone()));
    });
}
