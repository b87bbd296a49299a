//! Errors in the operators' text and where they stand.

use std::{
    collections::HashSet,
    fmt::{self, Display, Formatter},
};

/// Errors reported for one text; further ones are counted only.
const MAX_ERRORS: usize = 1_000;
/// Lines after which an offset is kept, so that finding a line needs little memory.
const LINES_PER_MARK: usize = 64;

/// One error in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextError {
    /// Line, from 1.
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

/// All errors of a text, in the order of their places.
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
pub(crate) struct Report<'a> {
    text: &'a str,
    /// Byte offsets at which every [`LINES_PER_MARK`]th line starts.
    marks: Vec<usize>,
    errors: Vec<(usize, String)>,
    syntax_lines: HashSet<usize>,
}

impl<'a> Report<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(after_breaks);
        Self {
            text,
            marks: line_starts.step_by(LINES_PER_MARK).collect(),
            errors: Vec::new(),
            syntax_lines: HashSet::new(),
        }
    }

    /// Adds a syntax error; it hides other errors on its line, which would only follow from it.
    pub(crate) fn syntax(&mut self, offset: usize, message: String) {
        let line = self.line(offset);
        self.syntax_lines.insert(line);
        self.errors.push((offset, message));
    }

    /// Adds an error in what the text means.
    pub(crate) fn error(&mut self, offset: usize, message: String) {
        if !self.syntax_lines.contains(&self.line(offset)) {
            self.errors.push((offset, message));
        }
    }

    /// Returns the line of an offset, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        let mark = self.marks.partition_point(|start| *start <= offset) - 1;
        let since_mark = &self.before(offset)[self.marks[mark]..];
        let breaks = since_mark.matches('\n').count();
        mark * LINES_PER_MARK + breaks + 1
    }

    /// Whether further errors will not be shown and are not worth seeking.
    pub(crate) fn is_full(&self) -> bool {
        self.errors.len() >= MAX_ERRORS
    }

    pub(crate) fn has_syntax_errors(&self) -> bool {
        !self.syntax_lines.is_empty()
    }

    /// Returns all errors in the order of their places.
    pub(crate) fn finish(mut self) -> Result<(), TextErrors> {
        if self.errors.is_empty() {
            return Ok(());
        }
        // Errors at one place stay in the order in which they were found.
        self.errors.sort_by_key(|(offset, _)| *offset);
        self.errors.dedup();
        let left_out = self.errors.len().saturating_sub(MAX_ERRORS);
        self.errors.truncate(MAX_ERRORS);
        let mut errors: Vec<_> = self
            .errors
            .iter()
            .map(|(offset, message)| self.place(*offset, message))
            .collect();
        if left_out > 0
            && let Some(last) = errors.last().cloned()
        {
            let message = format!("{left_out} further errors are left out");
            errors.push(TextError { message, ..last });
        }
        Err(TextErrors(errors))
    }

    fn before(&self, offset: usize) -> &'a str {
        &self.text[..self.text.floor_char_boundary(offset)]
    }

    fn place(&self, offset: usize, message: &str) -> TextError {
        let before = self.before(offset);
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        TextError {
            line: self.line(offset),
            column: before[start..].chars().count() + 1,
            message: message.to_owned(),
        }
    }
}
