//! Output of commands.

use std::{
    io::{self, Write},
    process::ExitCode,
    time::SystemTime,
};

use jiff::{Timestamp, Unit};
use serde::Serialize;

/// The result of a command.
#[derive(Debug, Default)]
pub(crate) struct CommandOutput {
    /// Text for standard output.
    pub(crate) stdout: String,
    /// Error message if the command failed.
    pub(crate) failure: Option<String>,
}

impl CommandOutput {
    /// Creates the output of a successful command.
    pub(crate) fn text(stdout: impl Into<String>) -> Self {
        let stdout = stdout.into();
        Self {
            stdout,
            failure: None,
        }
    }

    /// Creates output from a value, formatted as JSON or by `text`.
    pub(crate) fn json_or_text<T: Serialize>(
        json: bool,
        value: &T,
        text: impl Fn(&T) -> String,
    ) -> Self {
        Self::text(if json { to_json(value) } else { text(value) })
    }

    /// Adds an error, so that the command fails after printing its output.
    pub(crate) fn with_failure(self, failure: impl Into<String>) -> Self {
        let failure = Some(failure.into());
        Self { failure, ..self }
    }
}

/// Writes to standard output; a closed pipe is not an error.
pub(crate) fn print(text: &str) -> ExitCode {
    let line_end = if text.is_empty() || text.ends_with('\n') {
        ""
    } else {
        "\n"
    };
    match write!(io::stdout().lock(), "{text}{line_end}") {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}

/// Formats a time in UTC, rounded to seconds.
pub(crate) fn format_time(at: SystemTime) -> String {
    Timestamp::try_from(at)
        .and_then(|at| at.round(Unit::Second))
        .map_or_else(|_| "unknown time".to_owned(), |at| at.to_string())
}

/// Formats rows as a table with aligned columns.
pub(crate) fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let format_row = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(format_row).collect()
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("the admin types only have string keys") + "\n"
}
