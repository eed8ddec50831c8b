//! Runs `scenarios/*.txt`. `REWRITE=1 cargo test -p sched` accepts changed output.

mod support;

use support::ModelDriver;

#[test]
fn scenarios() {
    datadriven::walk("scenarios", |file| {
        let mut driver = ModelDriver::new(1);
        file.run(|case| {
            if case.directive == "new" {
                driver = ModelDriver::new(1);
            }
            let mut output = driver.run(&case.input);
            if let Some(fault) = driver.overcommitted() {
                output.push_str(&format!("OVERCOMMIT: {fault}\n"));
            }
            output
        });
    });
}
