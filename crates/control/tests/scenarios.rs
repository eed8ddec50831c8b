//! The scenarios of `scenarios/`, each about one promise or failure. `REWRITE=1` writes what
//! happens into the files.

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
