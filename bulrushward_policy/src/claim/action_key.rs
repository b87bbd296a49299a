//! Keys of non-idempotent actions, derived from an idempotency key or from the request content.

use bulrushward_protocol::{ActionKey, Fingerprint};
use xxhash_rust::xxh3::Xxh3;

/// Upper 32 bits of all action keys that are derived from content, and of no others.
const CONTENT_MARK: u128 = 0xC047_E470;
/// Position of the mark in the key, in bits.
const MARK_SHIFT: u32 = 96;
/// Separator of hashed fields, so that moving text between fields changes the key.
const SEPARATOR: &[u8] = &[0];

/// The source of an action key, which determines how long a finished action is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionKeySource {
    /// The caller supplied an idempotency key.
    IdempotencyKey,
    /// The key is a hash of the request content; an identical request may be a new action.
    Content,
}

/// Derives the key of an action from the caller's idempotency key.
#[must_use]
pub fn action_from_key(organisation: &str, service: &str, idempotency_key: &str) -> ActionKey {
    let mut hasher = Xxh3::new();
    for field in [organisation, service, idempotency_key] {
        hasher.update(field.as_bytes());
        hasher.update(SEPARATOR);
    }
    let key = hasher.digest128();
    match action_key_source(key) {
        ActionKeySource::IdempotencyKey => key,
        ActionKeySource::Content => key ^ (1 << MARK_SHIFT),
    }
}

/// Derives the key of an action from the fingerprint of its request.
///
/// The fingerprint must cover organisation, service, method, path and body.
#[must_use]
pub fn action_from_content(fingerprint: Fingerprint) -> ActionKey {
    let low = fingerprint & ((1 << MARK_SHIFT) - 1);
    (CONTENT_MARK << MARK_SHIFT) | low
}

/// Returns the source of an action key; keys without the content mark count as idempotency keys.
#[must_use]
pub fn action_key_source(action: ActionKey) -> ActionKeySource {
    if action >> MARK_SHIFT == CONTENT_MARK {
        ActionKeySource::Content
    } else {
        ActionKeySource::IdempotencyKey
    }
}
