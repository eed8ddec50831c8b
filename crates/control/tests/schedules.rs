//! Seeded fault schedules over a whole control group and its agents. `SEEDS=first..last` chooses
//! others than those that always run; a seed that fails prints what happened.

mod fleet;

const ALWAYS: std::ops::Range<u64> = 0..60;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SEEDS") else { return ALWAYS };
    let parse = |(first, last): (&str, &str)| Some(first.parse().ok()?..last.parse().ok()?);
    text.split_once("..").and_then(parse).expect("SEEDS=first..last")
}

#[test]
fn no_schedule_of_faults_breaks_a_promise() {
    let mut failed = Vec::new();
    let mut faults = 0;
    let seeds = seeds();
    let count = seeds.clone().count();
    for seed in seeds {
        let report = fleet::schedule::run(seed);
        faults += report.faults;
        if !report.violations.is_empty() {
            println!("seed {seed}:\n{}", report.lines.join("\n"));
            println!("seed {seed}: {:#?}", report.violations);
            failed.push(seed);
        }
    }
    println!("{count} schedules, {faults} faults, failed: {failed:?}");
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
