//! Collects the log lines of one request from several processes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    time::Duration,
};

use jiff::Timestamp;
use snafu::ResultExt;

use crate::{
    error::{CtlError, FileSnafu},
    output::CommandOutput,
};

/// State changes of a process are shown from this long before the request's first line.
const CONTEXT_BEFORE: Duration = Duration::from_secs(5);
/// Time after a request's last line within which a restart of its process is shown.
///
/// A process that is killed loses its requests without logging it, so a restart may explain the end.
const RESTART_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of state changes shown per process; the latest ones are kept.
const MAX_CHANGES: usize = 60;
/// Maximum number of a request's lines shown per process; the latest ones are kept.
const MAX_LINES: usize = 500;
/// Maximum length of a line in bytes; the rest of a longer line counts as unreadable.
const MAX_LINE_BYTES: u64 = 64 << 10;

/// A line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    at: Timestamp,
    /// The fields after the time.
    text: String,
}

/// The relevant lines of one log file.
#[derive(Debug)]
struct Excerpt {
    name: String,
    lines: Vec<LogLine>,
    changes: Vec<LogLine>,
    /// First start of the process after the request's last line, if within the restart window.
    restart: Option<LogLine>,
}

/// Prints the log lines of a request in order of time, and the state changes of its processes.
///
/// # Errors
///
/// Returns [`CtlError`] if a file cannot be read.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> Result<CommandOutput, CtlError> {
    let mut unreadable = 0;
    let mut excerpts = Vec::new();
    for path in files {
        let lines = read_lines(path, &mut unreadable, MAX_LINES, |line| {
            has_field(&line.text, "request", request)
        })?;
        let Some(first) = lines.first() else {
            continue;
        };
        let (from, to) = (first.at - CONTEXT_BEFORE, lines[lines.len() - 1].at);
        let changes = read_lines(path, &mut 0, MAX_CHANGES, |line| {
            (from..=to).contains(&line.at) && is_state_change(&line.text)
        })?;
        let starts = read_lines(path, &mut 0, MAX_CHANGES, |line| {
            line.at > to
                && line.at <= to + RESTART_WINDOW
                && has_field(&line.text, "event", "started")
        })?;
        excerpts.push(Excerpt {
            name: path.display().to_string(),
            lines,
            changes,
            restart: starts.into_iter().next(),
        });
    }
    if excerpts.is_empty() {
        let text = format!("no log line for request {request:?}{}", skipped(unreadable));
        return Ok(CommandOutput::text("").with_failure(text));
    }
    Ok(CommandOutput::text(format_report(
        request, &excerpts, unreadable,
    )))
}

fn format_report(request: &str, excerpts: &[Excerpt], unreadable: usize) -> String {
    let mut ordered: Vec<_> = excerpts
        .iter()
        .flat_map(|excerpt| excerpt.lines.iter().map(move |line| (line, excerpt)))
        .collect();
    ordered.sort_by_key(|(line, _)| line.at);
    let head = format!("request {request}{}", skipped(unreadable));
    let lines = ordered
        .into_iter()
        .map(|(line, excerpt)| format!("{} {}: {}", line.at, excerpt.name, line.text));
    let changes = excerpts.iter().flat_map(Excerpt::format_changes);
    let all: Vec<_> = [head].into_iter().chain(lines).chain(changes).collect();
    all.join("\n")
}

impl Excerpt {
    fn format_changes(&self) -> Vec<String> {
        let changes = self.changes.iter();
        let mut lines = vec![format!("state changes of {} at that time:", self.name)];
        lines.extend(changes.map(|line| format!("  {} {}", line.at, line.text)));
        if self.changes.is_empty() {
            lines.push("  none".to_owned());
        }
        let restart = self.restart.as_ref().map(|line| {
            let name = &self.name;
            format!(
                "{name} started again at {}; requests in progress before that were lost",
                line.at
            )
        });
        lines.extend(restart);
        lines
    }
}

fn skipped(unreadable: usize) -> String {
    if unreadable == 0 {
        return String::new();
    }
    format!(" ({unreadable} unreadable lines skipped)")
}

/// Returns the latest `max_lines` lines that match; adds the unreadable ones to `unreadable`.
fn read_lines(
    path: &Path,
    unreadable: &mut usize,
    max_lines: usize,
    matches: impl Fn(&LogLine) -> bool,
) -> Result<Vec<LogLine>, CtlError> {
    let mut reader = BufReader::new(File::open(path).context(FileSnafu { path })?);
    let mut lines = Vec::new();
    let mut buf = Vec::new();
    loop {
        buf.clear();
        let mut limited = std::io::Read::take(&mut reader, MAX_LINE_BYTES);
        let len = limited
            .read_until(b'\n', &mut buf)
            .context(FileSnafu { path })?;
        if len == 0 {
            return Ok(lines);
        }
        let Some(line) = parse(&String::from_utf8_lossy(&buf)) else {
            *unreadable += 1;
            continue;
        };
        if matches(&line) {
            if lines.len() == max_lines {
                lines.remove(0);
            }
            lines.push(line);
        }
    }
}

/// Parses a line; text before the time, such as a log collector's prefix, is ignored.
fn parse(text: &str) -> Option<LogLine> {
    let start = text.find("ts=")?;
    let (ts, rest) = text[start + 3..].trim_end().split_once(' ')?;
    Some(LogLine {
        at: ts.parse().ok()?,
        text: rest.to_owned(),
    })
}

fn has_field(text: &str, name: &str, value: &str) -> bool {
    text.split(' ')
        .any(|field| field.split_once('=') == Some((name, value)))
}

/// Returns whether a line is about the state of the process rather than about a request.
fn is_state_change(text: &str) -> bool {
    let has_request = text.split(' ').any(|field| field.starts_with("request="));
    !has_request && text.contains("event=")
}
