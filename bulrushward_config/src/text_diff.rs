//! Diffs between two versions of the configuration text.

use std::time::Duration;

use similar::TextDiff;

/// Number of unchanged lines shown around each change.
const CONTEXT_LINES: usize = 3;
/// Time after which the diff algorithm falls back to a coarser result.
const DIFF_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns a unified line diff, which is empty if the texts are equal.
#[must_use]
pub fn text_diff(old: &str, new: &str) -> String {
    TextDiff::configure()
        .timeout(DIFF_TIMEOUT)
        .diff_lines(old, new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .to_string()
}
