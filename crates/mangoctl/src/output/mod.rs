//! Tables for people, JSON for programs, and questions before what can't be undone.

use {
    crate::{arguments::CommandCall, failure::CommandFailure},
    serde::Serialize,
    std::io::{self, IsTerminal, Write},
    telemetry::timeline::format_wall,
};

/// Prints an answer as JSON, or as the text that `human` makes of it.
pub(crate) fn show<T: Serialize>(
    call: &CommandCall,
    answer: &T,
    human: impl FnOnce(&T) -> String,
) -> Result<(), CommandFailure> {
    let text = if call.json { serde_json::to_string_pretty(answer)? + "\n" } else { human(answer) };
    print!("{text}");
    Ok(())
}

/// Says what is about to happen and asks, unless the operator has agreed beforehand.
pub(crate) fn confirm(call: &CommandCall, about: &str) -> Result<(), CommandFailure> {
    if call.yes {
        return Ok(());
    }
    if !io::stdin().is_terminal() {
        let detail = format!("{about} Nobody can be asked here: repeat with --yes.");
        return Err(CommandFailure::Usage { detail });
    }
    eprint!("{about} Go on? [y/N] ");
    let _ = io::stderr().flush();
    let mut answer = String::new();
    let _ = io::stdin().read_line(&mut answer);
    match answer.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(CommandFailure::Refused { detail: "not done: you did not agree".to_owned() }),
    }
}

/// Shows progress where a person can see it.
pub(crate) fn progress(text: &str) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}

/// Lines up rows below a heading.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(|cell| cell.to_uppercase()).collect();
    std::iter::once(&heading).chain(rows).map(|row| line(row, &widths)).collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    cells.join("  ").trim_end().to_owned() + "\n"
}

/// The time of day in UTC, to the millisecond.
pub(crate) fn time_of_day(at_ms: u64) -> String {
    let mut text = format_wall(at_ms * 1000);
    text.truncate("00:00:00.000".len());
    text
}
