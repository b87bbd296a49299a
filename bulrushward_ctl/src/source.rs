//! Texts in files and the revision that they were edited from.

use std::{fs, path::Path};

use bulrushward_config::parse;
use bulrushward_protocol::{
    Revision,
    admin::{TextErrorInfo, TextErrorsResponse},
};
use snafu::ResultExt;

use crate::{
    error::{CtlError, FileSnafu},
    output::Answer,
};

/// Start of the line in which `show` writes the revision.
const REVISION_LINE: &str = "# revision: ";

/// A text as an operator edits it.
#[derive(Debug)]
pub(crate) struct Source {
    /// Revision in the first line.
    pub(crate) revision: Option<Revision>,
    /// The text without that line.
    pub(crate) text: String,
}

impl Source {
    /// Reads a file.
    pub(crate) fn read(path: &Path) -> Result<Self, CtlError> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        Ok(Self::new(text))
    }

    fn new(text: String) -> Self {
        let header = text
            .strip_prefix(REVISION_LINE)
            .map(|rest| rest.split_once('\n').unwrap_or((rest, "")))
            .and_then(|(number, rest)| Some((number.trim_end().parse().ok()?, rest)));
        match header {
            Some((revision, rest)) => Self {
                revision: Some(revision),
                text: rest.to_owned(),
            },
            None => Self {
                revision: None,
                text,
            },
        }
    }

    /// Returns all errors of the text, with their lines in the file.
    pub(crate) fn check(&self) -> Result<(), TextErrorsResponse> {
        let Err(errors) = parse(&self.text) else {
            return Ok(());
        };
        let errors = errors.0.into_iter().map(|error| TextErrorInfo {
            line: error.line,
            column: error.column,
            message: error.message,
        });
        Err(self.in_file(TextErrorsResponse {
            errors: errors.collect(),
        }))
    }

    /// Turns lines of the text into lines of the file.
    pub(crate) fn in_file(&self, mut answer: TextErrorsResponse) -> TextErrorsResponse {
        for error in &mut answer.errors {
            error.line += usize::from(self.revision.is_some());
        }
        answer
    }
}

/// Returns a text with its revision in the first line.
pub(crate) fn with_revision(revision: Revision, text: &str) -> String {
    format!("{REVISION_LINE}{revision}\n{text}")
}

/// Reports the errors of a text and fails.
pub(crate) fn report_errors(name: &str, errors: &TextErrorsResponse, json: bool) -> Answer {
    let count = errors.errors.len();
    let plural = if count == 1 { "error" } else { "errors" };
    Answer::either(json, errors, |answer| {
        let line = |error: &TextErrorInfo| {
            format!(
                "{name}:{}:{}: {}\n",
                error.line, error.column, error.message
            )
        };
        answer.errors.iter().map(line).collect()
    })
    .failing(format!(
        "{name} has {count} {plural}; mend and try again, nothing was changed"
    ))
}
