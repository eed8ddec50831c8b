//! The pages that list events and instruments say what the code says. `REWRITE=1` writes them
//! anew.

use {
    std::{env, fs, path::Path},
    telemetry::{
        catalogue::all_lines,
        metrics::{all_instruments, InstrumentKind},
    },
};

fn check(page: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    if env::var_os("REWRITE").is_some() {
        fs::write(&path, expected).expect("the page can be written");
    }
    let found = fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(found, expected, "docs/{page} differs from the code; REWRITE=1 writes it anew");
}

const EVENTS_HEAD: &str = "\
# Events

Every noteworthy step of a process is one of these numbered events. They go to the log as
`E<number> <name> <stamp> <fields>`, to the ring behind `/events`, and from there to
`mangoctl timeline`. Numbers never change; 1000s are common to all roles, 2000s are control's,
3000s an entry's, 4000s an agent's. What to do about warnings and errors is in `OPERATIONS.md`.

| Number | Name | Severity | Fields | Meaning |
|---|---|---|---|---|
";

#[test]
fn events_are_listed() {
    let mut page = EVENTS_HEAD.to_owned();
    for line in all_lines() {
        page += &format!(
            "| {} | {} | {} | {} | {} |\n",
            line.number,
            line.name,
            line.severity,
            line.fields.join(", "),
            line.meaning
        );
    }
    check("EVENTS.md", &page);
}

#[test]
fn event_numbers_are_unique() {
    let numbers: Vec<_> = all_lines().iter().map(|line| line.number).collect();
    let repeated: Vec<_> = numbers.windows(2).filter(|pair| pair[0] == pair[1]).collect();
    assert_eq!(repeated, Vec::<&[u16]>::new());
}

const METRICS_HEAD: &str = "\
# Metrics

Every process serves these at `/metrics` of its operators' port, in the text format of Prometheus
(dots become underscores, and units and `_total` are appended as that format asks). Names follow
the semantic conventions of OpenTelemetry where these have one. The label `case` tells outcomes,
reasons or kinds apart, from a small fixed set.

| Name | Kind | Unit | Meaning |
|---|---|---|---|
";

#[test]
fn instruments_are_listed() {
    let mut page = METRICS_HEAD.to_owned();
    for line in all_instruments() {
        let kind = match line.kind {
            InstrumentKind::Counter => "counter",
            InstrumentKind::Gauge => "gauge",
            InstrumentKind::Histogram => "histogram",
        };
        page += &format!("| {} | {kind} | {} | {} |\n", line.name, line.unit, line.meaning);
    }
    check("METRICS.md", &page);
}
