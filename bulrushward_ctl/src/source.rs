//! Configuration texts in files, and the revisions on which they are based.

use std::{fs, path::Path};

use bulrushward_config::parse;
use bulrushward_protocol::{
    Revision,
    admin::{TextErrorInfo, TextErrorsResponse},
};
use snafu::ResultExt;

use crate::{
    error::{CtlError, FileSnafu},
    output::CommandOutput,
};

/// Prefix of the first line, in which the `show` command writes the revision.
const REVISION_LINE: &str = "# revision: ";

/// A configuration text, with the revision on which it is based.
#[derive(Debug)]
pub(crate) struct ConfigSource {
    /// Revision from the first line, if it names one.
    pub(crate) revision: Option<Revision>,
    /// The text without the revision line.
    pub(crate) text: String,
}

impl ConfigSource {
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

    /// Checks the text and returns all its errors, with line numbers of the file.
    pub(crate) fn check(&self) -> Result<(), TextErrorsResponse> {
        let Err(errors) = parse(&self.text) else {
            return Ok(());
        };
        let errors = errors.0.into_iter().map(|error| TextErrorInfo {
            line: error.line,
            column: error.column,
            message: error.message,
        });
        Err(self.with_file_lines(TextErrorsResponse {
            errors: errors.collect(),
        }))
    }

    /// Converts line numbers of the text into line numbers of the file.
    pub(crate) fn with_file_lines(&self, mut response: TextErrorsResponse) -> TextErrorsResponse {
        for error in &mut response.errors {
            error.line += usize::from(self.revision.is_some());
        }
        response
    }
}

/// Returns a text with the revision line in front.
pub(crate) fn with_revision(revision: Revision, text: &str) -> String {
    format!("{REVISION_LINE}{revision}\n{text}")
}

/// Returns the output of a command that failed because of errors in a text.
pub(crate) fn report_errors(name: &str, errors: &TextErrorsResponse, json: bool) -> CommandOutput {
    let count = errors.errors.len();
    let plural = if count == 1 { "error" } else { "errors" };
    CommandOutput::json_or_text(json, errors, |response| {
        let line = |error: &TextErrorInfo| {
            format!(
                "{name}:{}:{}: {}\n",
                error.line, error.column, error.message
            )
        };
        response.errors.iter().map(line).collect()
    })
    .with_failure(format!(
        "{name} has {count} {plural}; correct it and try again, nothing was changed"
    ))
}
