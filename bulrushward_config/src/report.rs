//! Errors in the configuration text and their positions.

use std::{
    collections::HashSet,
    fmt::{self, Display, Formatter},
};

/// Maximum number of errors reported for one text; further ones are only counted.
const MAX_ERRORS: usize = 1_000;
/// Number of lines per entry of the line index, which keeps the index small.
const LINES_PER_INDEX_ENTRY: usize = 64;

/// One error in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub message: String,
}

impl Display for TextError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

/// The errors of a configuration text, ordered by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextErrors(pub Vec<TextError>);

impl Display for TextErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for TextErrors {}

/// Collects errors by their byte offset in the text.
#[derive(Debug)]
pub(crate) struct ErrorReport<'a> {
    text: &'a str,
    /// Byte offset of the start of every [`LINES_PER_INDEX_ENTRY`]th line.
    line_index: Vec<usize>,
    errors: Vec<(usize, String)>,
    syntax_lines: HashSet<usize>,
}

impl<'a> ErrorReport<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(after_breaks);
        Self {
            text,
            line_index: line_starts.step_by(LINES_PER_INDEX_ENTRY).collect(),
            errors: Vec::new(),
            syntax_lines: HashSet::new(),
        }
    }

    /// Adds a syntax error; later errors of other types on its line result from it and are dropped.
    pub(crate) fn add_syntax_error(&mut self, offset: usize, message: String) {
        let line = self.line(offset);
        self.syntax_lines.insert(line);
        self.errors.push((offset, message));
    }

    /// Adds an error other than a syntax error, unless its line has a syntax error.
    pub(crate) fn add_error(&mut self, offset: usize, message: String) {
        if !self.syntax_lines.contains(&self.line(offset)) {
            self.errors.push((offset, message));
        }
    }

    /// Returns the line number of an offset, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        let index_entry = self.line_index.partition_point(|start| *start <= offset) - 1;
        let since_index_entry = &self.text_before(offset)[self.line_index[index_entry]..];
        let breaks = since_index_entry.matches('\n').count();
        index_entry * LINES_PER_INDEX_ENTRY + breaks + 1
    }

    /// Returns whether the maximum number of errors is reached, so that no more need to be found.
    pub(crate) fn is_full(&self) -> bool {
        self.errors.len() >= MAX_ERRORS
    }

    pub(crate) fn has_syntax_errors(&self) -> bool {
        !self.syntax_lines.is_empty()
    }

    /// Returns the errors ordered by position.
    pub(crate) fn finish(mut self) -> Result<(), TextErrors> {
        if self.errors.is_empty() {
            return Ok(());
        }
        // The sort is stable: errors at one position stay in the order in which they were found.
        self.errors.sort_by_key(|(offset, _)| *offset);
        self.errors.dedup();
        let omitted = self.errors.len().saturating_sub(MAX_ERRORS);
        self.errors.truncate(MAX_ERRORS);
        let mut errors: Vec<_> = self
            .errors
            .iter()
            .map(|(offset, message)| self.locate(*offset, message))
            .collect();
        if omitted > 0
            && let Some(last) = errors.last().cloned()
        {
            let message = format!("{omitted} further errors are left out");
            errors.push(TextError { message, ..last });
        }
        Err(TextErrors(errors))
    }

    fn text_before(&self, offset: usize) -> &'a str {
        &self.text[..self.text.floor_char_boundary(offset)]
    }

    fn locate(&self, offset: usize, message: &str) -> TextError {
        let before = self.text_before(offset);
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        TextError {
            line: self.line(offset),
            column: before[start..].chars().count() + 1,
            message: message.to_owned(),
        }
    }
}
