//! Keys of chats, from an id that the caller supplies or from the opening of the conversation.

use bulrushward_protocol::ChatKey;
use xxhash_rust::xxh3::Xxh3;

/// Separator of hashed fields, so that moving text between fields changes the key.
const SEPARATOR: &[u8] = &[0];

/// Derives the key of a chat from the id that the caller supplies.
#[must_use]
pub fn from_id(organisation: &str, chat_id: &str) -> ChatKey {
    hash(["id", organisation, chat_id])
}

/// Derives the key of a chat from its opening messages, which stay the same in later turns.
#[must_use]
pub fn from_opening<'a>(
    organisation: &'a str,
    model: &'a str,
    opening: impl IntoIterator<Item = &'a str>,
) -> ChatKey {
    hash(["opening", organisation, model].into_iter().chain(opening))
}

fn hash<'a>(fields: impl IntoIterator<Item = &'a str>) -> ChatKey {
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(field.as_bytes());
        hasher.update(SEPARATOR);
    }
    hasher.digest()
}
