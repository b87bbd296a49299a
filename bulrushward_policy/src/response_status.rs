//! Which statuses a final response may have.

/// Returns whether a status belongs to a final response: 2xx to 5xx.
///
/// HTTP asks clients to take any other one for a server error.
#[must_use]
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}
