//! Typed access to a table of the configuration text, which reports all errors in the table.

use std::ops::Range;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    report::ErrorReport,
    rule::{Rule, describe},
};

/// Maximum number of known names that are compared with an unknown name.
const MAX_CANDIDATES: usize = 1_000;
/// Similarity, from 0 to 1, from which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Position of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TablePosition {
    /// Byte offset of the table in the complete text.
    pub(crate) offset: usize,
    /// Byte offset in the complete text of the part that contains the table.
    pub(crate) base: usize,
}

/// Reads the keys of one table; returned spans are relative to the complete text.
#[derive(Debug)]
pub(crate) struct TableReader<'r, 'd, 't> {
    report: &'r mut ErrorReport<'t>,
    table: &'d DeTable<'t>,
    offset: usize,
    base: usize,
    section: &'static str,
    known: Vec<&'static str>,
}

impl<'r, 'd, 't> TableReader<'r, 'd, 't> {
    pub(crate) fn new(
        report: &'r mut ErrorReport<'t>,
        table: &'d DeTable<'t>,
        position: TablePosition,
        section: &'static str,
    ) -> Self {
        Self {
            report,
            table,
            offset: position.offset,
            base: position.base,
            section,
            known: Vec::new(),
        }
    }

    /// Reads a key that may be absent.
    pub(crate) fn optional<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
    ) -> Option<Spanned<R::Value<'t>>> {
        let value = self.find(key)?;
        self.convert(key, value, rule)
    }

    /// Reads a key that has a default.
    pub(crate) fn optional_or<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
        default: R::Value<'t>,
    ) -> R::Value<'t> {
        self.optional(key, rule)
            .map_or(default, Spanned::into_inner)
    }

    /// Reads a key that must be present.
    pub(crate) fn required<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
    ) -> Option<Spanned<R::Value<'t>>> {
        let Some(value) = self.find(key) else {
            self.report_missing(key, &rule.expected());
            return None;
        };
        self.convert(key, value, rule)
    }

    /// Reads a list that may be absent.
    pub(crate) fn optional_list<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
    ) -> Vec<Spanned<R::Value<'t>>> {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            let expected = format!("an array with {} as each element", rule.expected());
            let found = describe(value.get_ref());
            self.report_mismatch(key, value, &found, &expected);
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.convert(key, item, rule))
            .collect()
    }

    /// Reads a list that must be present.
    pub(crate) fn required_list<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
    ) -> Vec<Spanned<R::Value<'t>>> {
        if !self.table.contains_key(key) {
            let expected = format!("an array with {} as each element", rule.expected());
            self.report_missing(key, &expected);
        }
        self.optional_list(key, rule)
    }

    /// Adds an error about a value of this table; `span` is relative to the complete text.
    pub(crate) fn report_error(&mut self, span: &Range<usize>, message: String) {
        self.report.add_error(span.start, message);
    }

    /// Reports the keys of the table that were not read, since they are unknown.
    pub(crate) fn finish(self) {
        report_unknown_keys(
            self.report,
            self.table,
            self.base,
            self.section,
            &self.known,
        );
    }

    fn find(&mut self, key: &'static str) -> Option<&'d Spanned<DeValue<'t>>> {
        self.known.push(key);
        self.table.get(key)
    }

    fn convert<R: Rule>(
        &mut self,
        key: &str,
        value: &'d Spanned<DeValue<'t>>,
        rule: &R,
    ) -> Option<Spanned<R::Value<'t>>> {
        let converted = rule.convert(value.get_ref());
        if converted.is_none() {
            let found = rule.found(value.get_ref());
            self.report_mismatch(key, value, &found, &rule.expected());
        }
        let span = value.span();
        let span = self.base + span.start..self.base + span.end;
        Some(Spanned::new(span, converted?))
    }

    fn report_mismatch(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
        found: &str,
        expected: &str,
    ) {
        let message = format!("{key}: found {found}, expected {expected}");
        self.report
            .add_error(self.base + value.span().start, message);
    }

    fn report_missing(&mut self, key: &str, expected: &str) {
        let message = format!("{} has no {key:?}, expected {expected}", self.section);
        self.report.add_error(self.offset, message);
    }
}

/// Reports the unknown keys of a table.
pub(crate) fn report_unknown_keys(
    report: &mut ErrorReport<'_>,
    table: &DeTable<'_>,
    base: usize,
    section: &str,
    known: &[&'static str],
) {
    for key in table.keys() {
        let name = key.get_ref().as_ref();
        if !known.contains(&name) {
            let expected = closest_match(name, known.iter().copied())
                .map_or_else(|| format!("one of {}", known.join(", ")), quoted);
            let message = format!("unknown key {name:?} in {section}, expected {expected}");
            report.add_error(base + key.span().start, message);
        }
    }
}

/// Returns the known name that is most similar to an unknown one, if any is similar enough.
pub(crate) fn closest_match<'n>(
    name: &str,
    known: impl Iterator<Item = &'n str>,
) -> Option<&'n str> {
    known
        .take(MAX_CANDIDATES)
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, candidate)| candidate)
}

fn quoted(name: &str) -> String {
    format!("{name:?}")
}
