//! Parts of a large text that are parsed one after the other.
//!
//! The parser needs up to a hundred times the memory of what it parses. Cutting a large text
//! before its tables bounds that memory by the size of a part.

use std::collections::HashSet;

use toml::{
    Spanned,
    de::{DeString, DeTable},
};

/// Largest part, and largest text that is parsed in one go, in bytes.
pub(crate) const MAX_PART_BYTES: usize = 128 << 10;
/// Bytes after which a part ends at the next table.
const PART_BYTES: usize = 64 << 10;
/// Keys of the arrays of tables that may go on from part to part.
const ARRAYS: [&str; 3] = ["kind", "service", "organisation"];

/// One part of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Part<'t> {
    /// Byte offset in the whole text.
    pub(crate) base: usize,
    /// The part itself.
    pub(crate) text: &'t str,
}

/// Cuts a text that is too large to be parsed in one go.
pub(crate) fn parts(text: &str) -> Vec<Part<'_>> {
    let mut parts = Vec::new();
    let mut base = 0;
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let first = parts.is_empty();
        let large = text.len() > MAX_PART_BYTES;
        if large && starts_table(line) && (first || offset - base >= PART_BYTES) {
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

/// Whether a line is the heading of a table in an array.
fn starts_table(line: &str) -> bool {
    let heading = line
        .strip_prefix("[[")
        .and_then(|rest| rest.split_once("]]"));
    heading.is_some_and(|(key, _)| ARRAYS.contains(&key))
}

/// Notices tables that stand in several parts, which the parser cannot see.
#[derive(Debug, Default)]
pub(crate) struct SharedKeys {
    seen: HashSet<String>,
    parts: usize,
}

impl SharedKeys {
    /// Takes in the next part; returns its keys that may not stand in this and another part.
    pub(crate) fn add<'d, 't>(&mut self, root: &'d DeTable<'t>) -> Vec<&'d Spanned<DeString<'t>>> {
        let first = self.parts == 0;
        self.parts += 1;
        let may_not = |key: &&Spanned<DeString<'t>>| {
            let name = key.get_ref().as_ref();
            // An array that stands before all tables is not written as tables.
            let goes_on = ARRAYS.contains(&name) && !first && !self.seen.contains(name);
            !goes_on && !self.seen.insert(name.to_owned())
        };
        root.keys().filter(may_not).collect()
    }
}
