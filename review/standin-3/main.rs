//! Plays one case of the review: `standin-3 CASE FOLDER RECORD TROUBLE`.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod cases;
mod executor;
mod fleet;
mod http;
mod json;
mod record;
mod relay;

use {
    cases::Verdict,
    record::Record,
    std::{env, path::PathBuf, process::ExitCode},
};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, record, trouble] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let verdict = cases::play(case, &PathBuf::from(folder), record.clone(), trouble != "0");
    let (text, code) = match &verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("BROKEN: {what}"), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
