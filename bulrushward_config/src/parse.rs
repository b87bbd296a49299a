//! Reading the operators' text and reporting its errors.

use std::fmt::{self, Display, Formatter};

use crate::Config;

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

/// Parses and checks a text.
///
/// # Errors
///
/// Returns every error found.
pub fn parse(text: &str) -> Result<Config, TextErrors> {
    toml::from_str(text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start);
        let before = &text[..start];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        TextErrors(vec![TextError {
            line,
            column,
            message: error.message().to_owned(),
        }])
    })
}
