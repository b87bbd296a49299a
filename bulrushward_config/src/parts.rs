//! Splits a large configuration text into parts that are parsed one after another.
//!
//! The TOML parser needs up to a hundred times the size of its input in memory. Splitting a large
//! text at table headings bounds that memory by the size of a part.

use std::collections::HashSet;

use toml::{
    Spanned,
    de::{DeString, DeTable},
};

/// Size in bytes of the largest part, and of the largest text that is parsed without splitting.
pub(crate) const MAX_PART_BYTES: usize = 128 << 10;
/// Size in bytes after which a part ends at the next table heading.
const TARGET_PART_BYTES: usize = 64 << 10;
/// Keys of the arrays of tables, which may continue in later parts.
const TABLE_ARRAYS: [&str; 3] = ["kind", "service", "organisation"];

/// A part of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Part<'t> {
    /// Byte offset of the part in the complete text.
    pub(crate) base: usize,
    /// Content of the part.
    pub(crate) text: &'t str,
}

/// Splits a text that is too large to be parsed at once; a smaller text is a single part.
pub(crate) fn split_into_parts(text: &str) -> Vec<Part<'_>> {
    let mut parts = Vec::new();
    let mut base = 0;
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let first = parts.is_empty();
        let large = text.len() > MAX_PART_BYTES;
        if large && starts_array_table(line) && (first || offset - base >= TARGET_PART_BYTES) {
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

/// Returns whether a line is the heading of a table in one of the arrays.
fn starts_array_table(line: &str) -> bool {
    let heading = line
        .strip_prefix("[[")
        .and_then(|rest| rest.split_once("]]"));
    heading.is_some_and(|(key, _)| TABLE_ARRAYS.contains(&key))
}

/// Detects keys declared in several parts, which the parser misses because it only sees one part.
#[derive(Debug, Default)]
pub(crate) struct DuplicateKeyDetector {
    seen: HashSet<String>,
    parts: usize,
}

impl DuplicateKeyDetector {
    /// Adds the next part and returns its keys that duplicate keys of earlier parts.
    pub(crate) fn add_part<'d, 't>(
        &mut self,
        root: &'d DeTable<'t>,
    ) -> Vec<&'d Spanned<DeString<'t>>> {
        let first = self.parts == 0;
        self.parts += 1;
        let is_duplicate = |key: &&Spanned<DeString<'t>>| {
            let name = key.get_ref().as_ref();
            // The first part ends before the first table of an array. An array in it is therefore
            // inline, and later tables cannot extend it.
            let continues_array =
                TABLE_ARRAYS.contains(&name) && !first && !self.seen.contains(name);
            !continues_array && !self.seen.insert(name.to_owned())
        };
        root.keys().filter(is_duplicate).collect()
    }
}
