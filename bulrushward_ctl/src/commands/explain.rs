//! Tells the story of one request from the logs of several processes.

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
    output::Answer,
};

/// Time before a request's first line from which on changes of what its process believed are shown.
const BEFORE: Duration = Duration::from_secs(5);
/// Time after a request's last line in which a start of its process is shown: what the process carried before
/// is lost, and no line says so.
const AFTER: Duration = Duration::from_secs(30);
/// Changes that are shown at most, the latest ones.
const MAX_CHANGES: usize = 60;
/// Lines of one request that are shown at most.
const MAX_LINES: usize = 500;
/// Longest line that is read, in bytes; the rest of a longer one counts as unreadable.
const MAX_LINE_BYTES: u64 = 64 << 10;

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    at: Timestamp,
    /// What follows the time.
    text: String,
}

/// What one file says.
#[derive(Debug)]
struct Excerpt {
    name: String,
    lines: Vec<Line>,
    changes: Vec<Line>,
    /// First start of the process after the request's last line.
    restart: Option<Line>,
}

/// Prints what the logs say of a request, in order of time, and what its processes believed then.
///
/// # Errors
///
/// Returns [`CtlError`] if a file cannot be read.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> Result<Answer, CtlError> {
    let mut unreadable = 0;
    let mut excerpts = Vec::new();
    for path in files {
        let lines = read_lines(path, &mut unreadable, MAX_LINES, |line| {
            has_field(&line.text, "request", request)
        })?;
        let Some(first) = lines.first() else {
            continue;
        };
        let (from, to) = (first.at - BEFORE, lines[lines.len() - 1].at);
        let changes = read_lines(path, &mut 0, MAX_CHANGES, |line| {
            (from..=to).contains(&line.at) && is_change(&line.text)
        })?;
        let starts = read_lines(path, &mut 0, MAX_CHANGES, |line| {
            line.at > to && line.at <= to + AFTER && has_field(&line.text, "event", "started")
        })?;
        excerpts.push(Excerpt {
            name: path.display().to_string(),
            lines,
            changes,
            restart: starts.into_iter().next(),
        });
    }
    if excerpts.is_empty() {
        let text = format!("no line names request {request:?}{}", skipped(unreadable));
        return Ok(Answer::text("").failing(text));
    }
    Ok(Answer::text(story(request, &excerpts, unreadable)))
}

fn story(request: &str, excerpts: &[Excerpt], unreadable: usize) -> String {
    let mut told: Vec<_> = excerpts
        .iter()
        .flat_map(|excerpt| excerpt.lines.iter().map(move |line| (line, excerpt)))
        .collect();
    told.sort_by_key(|(line, _)| line.at);
    let head = format!("request {request}{}", skipped(unreadable));
    let lines = told
        .into_iter()
        .map(|(line, excerpt)| format!("{} {}: {}", line.at, excerpt.name, line.text));
    let changes = excerpts.iter().flat_map(Excerpt::tell_changes);
    let all: Vec<_> = [head].into_iter().chain(lines).chain(changes).collect();
    all.join("\n")
}

impl Excerpt {
    fn tell_changes(&self) -> Vec<String> {
        let changes = self.changes.iter();
        let mut told = vec![format!("what {} believed changed meanwhile:", self.name)];
        told.extend(changes.map(|line| format!("  {} {}", line.at, line.text)));
        if self.changes.is_empty() {
            told.push("  nothing".to_owned());
        }
        let restart = self.restart.as_ref().map(|line| {
            let name = &self.name;
            format!(
                "{name} started again at {}; requests before that were lost with it",
                line.at
            )
        });
        told.extend(restart);
        told
    }
}

fn skipped(unreadable: usize) -> String {
    if unreadable == 0 {
        return String::new();
    }
    format!(" ({unreadable} unreadable lines skipped)")
}

/// Reads the latest lines that are asked for; counts those that cannot be read.
fn read_lines(
    path: &Path,
    unreadable: &mut usize,
    most: usize,
    is_asked: impl Fn(&Line) -> bool,
) -> Result<Vec<Line>, CtlError> {
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
        if is_asked(&line) {
            if lines.len() == most {
                lines.remove(0);
            }
            lines.push(line);
        }
    }
}

/// Reads a line; something else, such as a collector's prefix, may stand before the time.
fn parse(text: &str) -> Option<Line> {
    let start = text.find("ts=")?;
    let (ts, rest) = text[start + 3..].trim_end().split_once(' ')?;
    Some(Line {
        at: ts.parse().ok()?,
        text: rest.to_owned(),
    })
}

fn has_field(text: &str, name: &str, value: &str) -> bool {
    text.split(' ')
        .any(|field| field.split_once('=') == Some((name, value)))
}

/// Returns whether a line tells of a change of what the process believes, and not of a request.
fn is_change(text: &str) -> bool {
    let has_request = text.split(' ').any(|field| field.starts_with("request="));
    !has_request && text.contains("event=")
}
