//! Texts of errors whose own text leaves out what caused them.

use std::error::Error;

/// Returns the text of an error followed by those of its causes.
#[must_use]
pub fn with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
