//! Parts of a text that can be parsed one after the other.
//!
//! The parser needs many times the memory of what it parses, and organisations are most of a large
//! text. Cutting the text before some of their tables bounds that memory.

use std::collections::HashSet;

use toml::de::DeTable;

/// Line at which a part may start.
const PART_START: &str = "[[organisation]]";
/// Bytes after which a part ends at the next such line.
const PART_BYTES: usize = 64 << 10;

/// One part of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Part<'t> {
    /// Byte offset in the whole text.
    pub(crate) base: usize,
    /// The part itself.
    pub(crate) text: &'t str,
}

/// Cuts a text into parts.
pub(crate) fn cut(text: &str) -> Vec<Part<'_>> {
    let mut parts = Vec::new();
    let mut base = 0;
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let first = parts.is_empty();
        if line.starts_with(PART_START) && (first || offset - base >= PART_BYTES) {
            let text = &text[base..offset];
            parts.push(Part { base, text });
            base = offset;
        }
        offset += line.len();
    }
    let text = &text[base..];
    parts.push(Part { base, text });
    parts
}

/// Notices tables that go on from one part into another.
#[derive(Debug, Default)]
pub(crate) struct SharedKeys {
    seen: HashSet<String>,
    parts: usize,
}

impl SharedKeys {
    /// Takes in the next part; returns whether its tables are its own.
    pub(crate) fn are_apart(&mut self, root: &DeTable<'_>) -> bool {
        let first = self.parts == 0;
        self.parts += 1;
        root.keys().all(|key| {
            let key = key.get_ref().as_ref();
            let organisations = key == "organisation";
            (organisations && !first) || (!organisations && self.seen.insert(key.to_owned()))
        })
    }
}
