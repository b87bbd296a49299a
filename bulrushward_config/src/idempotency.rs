//! Decides which calls of a plain service are idempotent.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;

use crate::Service;

/// Methods that are idempotent unless `not_idempotent` lists the call.
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl Service {
    /// Returns whether a call is idempotent, so that it may be retried.
    ///
    /// `path` is the undecoded path below the service, with or without a query. A call whose path a
    /// backend server could resolve to a different one (dot segments, empty segments, encoded
    /// slashes) is not idempotent, even if it matches a pattern.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let raw = path.split(['?', '#']).next().unwrap_or_default();
        let Some(path) = unambiguous_path(raw) else {
            return false;
        };
        let matches_any =
            |patterns: &[String]| patterns.iter().any(|p| matches_pattern(p, method, &path));
        if matches_any(&self.not_idempotent) {
            return false;
        }
        IDEMPOTENT_METHODS.contains(&method) || matches_any(&self.idempotent)
    }
}

/// Decodes a path, or returns `None` if a backend server could resolve it to a different path.
fn unambiguous_path(raw: &str) -> Option<Cow<'_, str>> {
    let path = percent_decode_str(raw).decode_utf8().ok()?;
    let slashes = |text: &str| text.matches('/').count();
    let ambiguous = slashes(&path) != slashes(raw)
        || path.contains(['%', '\\', '?', '#', ';'])
        || path.contains(char::is_control)
        || path.contains("//")
        || path
            .split('/')
            .any(|segment| segment == "." || segment == "..");
    (!ambiguous).then_some(path)
}

/// Returns whether a pattern such as `POST /lookup/*` matches a call.
fn matches_pattern(pattern: &str, method: &str, path: &str) -> bool {
    let Some((wanted_method, wanted_path)) = pattern.split_once(' ') else {
        return false;
    };
    let path_matches = match wanted_path.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path == wanted_path,
    };
    wanted_method == method && path_matches
}
