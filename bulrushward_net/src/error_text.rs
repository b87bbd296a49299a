//! Messages of errors whose `Display` output omits their causes.

use std::error::Error;

/// Returns an error's message followed by those of its causes, separated by `": "`.
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
