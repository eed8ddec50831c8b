//! The stand-ins of the second review: clients, an operator, executors and relays around the
//! project's own processes, all on loopback addresses. It uses the standard library alone.
//!
//! `standin CASE FOLDER` plays one case, writes `record.txt` into the folder, and exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod cases;
mod deployment;
mod executor;
mod http;
mod json;
mod relay;

use std::{
    env,
    fs::File,
    io::Write,
    path::PathBuf,
    process::exit,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: PathBuf) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.ms(), text.as_ref());
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::new(PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            exit(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    let code = match cases::play(case, trouble, &record) {
        Ok(None) => {
            record.line("HELD");
            0
        }
        Ok(Some(finding)) => {
            record.line(format!("BROKEN {finding}"));
            println!("{finding}");
            1
        }
        Err(reason) => {
            record.line(format!("COULD NOT RUN {reason}"));
            println!("could not run: {reason}");
            2
        }
    };
    exit(code);
}
