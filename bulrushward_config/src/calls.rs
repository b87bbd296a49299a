//! Which calls of a service may be repeated.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;

use crate::Service;

/// Methods that are idempotent unless a service says otherwise.
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl Service {
    /// Whether a call may be repeated.
    ///
    /// `path` is the path below the service as it was sent, with or without a query. A path that a
    /// backend server could read as another one (dot segments, empty segments, encoded slashes) is
    /// not idempotent, whatever the patterns say.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let raw = path.split(['?', '#']).next().unwrap_or_default();
        let Some(path) = plain_path(raw) else {
            return false;
        };
        let matches = |patterns: &[String]| patterns.iter().any(|p| matches(p, method, &path));
        if matches(&self.not_idempotent) {
            return false;
        }
        IDEMPOTENT_METHODS.contains(&method) || matches(&self.idempotent)
    }
}

/// Decodes a path; `None` if it could be read as another path.
fn plain_path(raw: &str) -> Option<Cow<'_, str>> {
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

/// Whether a pattern such as `POST /lookup/*` matches a call.
fn matches(pattern: &str, method: &str, path: &str) -> bool {
    let Some((wanted_method, wanted_path)) = pattern.split_once(' ') else {
        return false;
    };
    let path_matches = match wanted_path.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path == wanted_path,
    };
    wanted_method == method && path_matches
}
