//! Plays the scripted cases of the review: `standin CASE on|off RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `off`, as
//! `run.sh` says for `TROUBLE=0`, a case does the same without the disruption.

mod cases;
mod executor;
mod fleet;
mod http;
mod json;
mod process;
mod record;

use {
    record::Record,
    std::{env, path::Path, process::ExitCode, sync::Arc, thread, time::Duration},
};

/// The longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, disruption, path] = &arguments[..] else {
        eprintln!("usage: standin CASE on|off RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = match disruption.as_str() {
        "on" => true,
        "off" => false,
        other => {
            eprintln!("{other:?} is neither on nor off");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, disruption {disruption}"));
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case takes too long");
        process::kill_all();
        std::process::exit(2);
    });
    let result = match cases::find(case) {
        Some(play) => play(&record, trouble),
        None => Err(format!("unknown case {case}")),
    };
    if let Err(problem) = result {
        record.note(format!("could not run: {problem}"));
        println!("could not run: {problem}");
        return ExitCode::from(2);
    }
    let findings = record.findings();
    for finding in findings.iter().take(8) {
        println!("broken: {finding}");
    }
    println!("{} findings", findings.len());
    ExitCode::from(u8::from(!findings.is_empty()))
}
