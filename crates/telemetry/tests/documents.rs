//! Checks that the pages that list events and instruments match the code. `REWRITE=1` regenerates
//! them.

use {
    std::{env, fs, path::Path},
    telemetry::{
        catalogue::all_events,
        metrics::{all_instruments, InstrumentKind},
    },
};

fn check_page(page: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    if env::var_os("REWRITE").is_some() {
        fs::write(&path, expected).expect("the page can be written");
    }
    let found = fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(found, expected, "docs/{page} differs from the code; REWRITE=1 regenerates it");
}

const EVENTS_HEAD: &str = "\
# Events

Every noteworthy step of a process is one of these numbered events. The process writes them to
its log as `E<number> <name> <stamp> <fields>` and keeps the newest in the ring that `/events`
serves, from which `mangoctl timeline` reads. Numbers never change; 1000s are common to all roles,
2000s are control's, 3000s an entry's, 4000s an agent's. `OPERATIONS.md` says what to do about
warnings and errors.

| Number | Name | Severity | Fields | Meaning |
|---|---|---|---|---|
";

#[test]
fn the_events_page_matches_the_catalogue() {
    let mut page = EVENTS_HEAD.to_owned();
    for line in all_events() {
        page += &format!(
            "| {} | {} | {} | {} | {} |\n",
            line.number,
            line.name,
            line.severity,
            line.fields.join(", "),
            line.meaning
        );
    }
    check_page("EVENTS.md", &page);
}

#[test]
fn event_numbers_are_unique() {
    let numbers: Vec<_> = all_events().iter().map(|line| line.number).collect();
    let repeated: Vec<_> = numbers.windows(2).filter(|pair| pair[0] == pair[1]).collect();
    assert_eq!(repeated, Vec::<&[u16]>::new());
}

const METRICS_HEAD: &str = "\
# Metrics

Every process serves these at `/metrics` of its operator port, in the text format of Prometheus
(dots become underscores, and units and `_total` are appended as that format requires). Names
follow the semantic conventions of OpenTelemetry where one exists. The label `case` names the
outcome, reason or kind, from a small fixed set.

| Name | Kind | Unit | Meaning |
|---|---|---|---|
";

#[test]
fn the_metrics_page_matches_the_instruments() {
    let mut page = METRICS_HEAD.to_owned();
    for line in all_instruments() {
        let kind = match line.kind {
            InstrumentKind::Counter => "counter",
            InstrumentKind::Gauge => "gauge",
            InstrumentKind::Histogram => "histogram",
        };
        page += &format!("| {} | {kind} | {} | {} |\n", line.name, line.unit, line.meaning);
    }
    check_page("METRICS.md", &page);
}
