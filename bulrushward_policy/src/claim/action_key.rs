//! Keys of non-idempotent actions: from the caller's idempotency key or from the content.

use bulrushward_protocol::{ActionKey, Fingerprint};
use xxhash_rust::xxh3::Xxh3;

/// Upper 32 bits of every action key that was derived from content, and of no other.
const CONTENT_MARK: u128 = 0xC047_E470;
/// Position of the mark in the key.
const MARK_SHIFT: u32 = 96;
/// Separates fields in the hash, so that moving text between fields changes the key.
const SEPARATOR: &[u8] = &[0];

/// Where an action key comes from, which decides how long a finished action is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionKeySource {
    /// The caller named the action by an idempotency key.
    IdempotencyKey,
    /// The key is a hash of the request's content; an equal request may be meant as a new action.
    Content,
}

/// Derives the key of an action that the caller named by an idempotency key.
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
/// The fingerprint has to cover organisation, service, method, path and body.
#[must_use]
pub fn action_from_content(fingerprint: Fingerprint) -> ActionKey {
    let low = fingerprint & ((1 << MARK_SHIFT) - 1);
    (CONTENT_MARK << MARK_SHIFT) | low
}

/// Tells where an action key comes from; a key not made here counts as named by the caller.
#[must_use]
pub fn action_key_source(action: ActionKey) -> ActionKeySource {
    if action >> MARK_SHIFT == CONTENT_MARK {
        ActionKeySource::Content
    } else {
        ActionKeySource::IdempotencyKey
    }
}
