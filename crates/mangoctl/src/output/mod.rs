//! Output as tables or JSON, and confirmation prompts.

use {
    crate::{arguments::CommandInvocation, error::CommandError},
    serde::Serialize,
    std::io::{self, IsTerminal, Write},
    telemetry::timeline::format_utc_time,
};

/// Prints a response as JSON with `--json`, otherwise as the text that `to_text` returns.
pub(crate) fn show<T: Serialize>(
    invocation: &CommandInvocation,
    response: &T,
    to_text: impl FnOnce(&T) -> String,
) -> Result<(), CommandError> {
    let text = if invocation.json {
        serde_json::to_string_pretty(response)? + "\n"
    } else {
        to_text(response)
    };
    print!("{text}");
    Ok(())
}

/// Describes the consequences of a command and asks for confirmation, unless `--yes` is given.
/// Fails if the operator declines or standard input is not a terminal.
pub(crate) fn confirm(
    invocation: &CommandInvocation,
    consequence: &str,
) -> Result<(), CommandError> {
    if invocation.yes {
        return Ok(());
    }
    if !io::stdin().is_terminal() {
        let detail = format!("{consequence} Standard input is not a terminal: repeat with --yes.");
        return Err(CommandError::Usage { detail });
    }
    eprint!("{consequence} Continue? [y/N] ");
    let _ = io::stderr().flush();
    let mut answer = String::new();
    let _ = io::stdin().read_line(&mut answer);
    match answer.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(CommandError::Refused { detail: "cancelled: not confirmed".to_owned() }),
    }
}

/// Prints progress if standard error is a terminal.
pub(crate) fn print_progress(text: &str) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}

/// Formats rows below a heading, in aligned columns.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(|cell| cell.to_uppercase()).collect();
    std::iter::once(&heading).chain(rows).map(|row| format_row(row, &widths)).collect()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    cells.join("  ").trim_end().to_owned() + "\n"
}

/// Formats the time of day in UTC, to the millisecond.
pub(crate) fn format_time_of_day(at_ms: u64) -> String {
    let mut text = format_utc_time(at_ms * 1000);
    text.truncate("00:00:00.000".len());
    text
}
