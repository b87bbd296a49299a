//! Typed access to a table of the text that reports whatever is wrong with it.

use std::ops::Range;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    report::Report,
    rule::{Rule, describe},
};

/// Known names above this number are not searched for one that is alike.
const MAX_COMPARED_NAMES: usize = 1_000;
/// Likeness, from 0 to 1, at which a known name is offered in place of an unknown one.
const MIN_LIKENESS: f64 = 0.7;

/// Where a table stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// Byte offset in the whole text.
    pub(crate) offset: usize,
    /// Byte offset in the whole text of the part that was parsed.
    pub(crate) base: usize,
}

/// Reads the keys of one table; returned spans are those of the whole text.
#[derive(Debug)]
pub(crate) struct TableReader<'r, 'd, 't> {
    report: &'r mut Report<'t>,
    table: &'d DeTable<'t>,
    offset: usize,
    base: usize,
    section: &'static str,
    known: Vec<&'static str>,
}

impl<'r, 'd, 't> TableReader<'r, 'd, 't> {
    pub(crate) fn new(
        report: &'r mut Report<'t>,
        table: &'d DeTable<'t>,
        place: Place,
        section: &'static str,
    ) -> Self {
        Self {
            report,
            table,
            offset: place.offset,
            base: place.base,
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
        self.read(key, value, rule)
    }

    /// Reads a key that has a default.
    pub(crate) fn or<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
        default: R::Value<'t>,
    ) -> R::Value<'t> {
        self.optional(key, rule)
            .map_or(default, Spanned::into_inner)
    }

    /// Reads a key that must be there.
    pub(crate) fn required<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
    ) -> Option<Spanned<R::Value<'t>>> {
        let Some(value) = self.find(key) else {
            self.missing(key, &rule.expected());
            return None;
        };
        self.read(key, value, rule)
    }

    /// Reads a list that may be absent.
    pub(crate) fn list<R: Rule>(
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
            self.mismatch(key, value, &found, &expected);
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.read(key, item, rule))
            .collect()
    }

    /// Reads a list that must be there.
    pub(crate) fn required_list<R: Rule>(
        &mut self,
        key: &'static str,
        rule: &R,
    ) -> Vec<Spanned<R::Value<'t>>> {
        if !self.table.contains_key(key) {
            let expected = format!("an array with {} as each element", rule.expected());
            self.missing(key, &expected);
        }
        self.list(key, rule)
    }

    /// Adds an error about a value of this table.
    pub(crate) fn error(&mut self, span: &Range<usize>, message: String) {
        self.report.error(span.start, message);
    }

    /// Reports the keys that were not read.
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

    fn read<R: Rule>(
        &mut self,
        key: &str,
        value: &'d Spanned<DeValue<'t>>,
        rule: &R,
    ) -> Option<Spanned<R::Value<'t>>> {
        let read = rule.read(value.get_ref());
        if read.is_none() {
            let found = rule.found(value.get_ref());
            self.mismatch(key, value, &found, &rule.expected());
        }
        let span = value.span();
        let span = self.base + span.start..self.base + span.end;
        Some(Spanned::new(span, read?))
    }

    fn mismatch(&mut self, key: &str, value: &Spanned<DeValue<'_>>, found: &str, expected: &str) {
        let message = format!("{key}: found {found}, expected {expected}");
        self.report.error(self.base + value.span().start, message);
    }

    fn missing(&mut self, key: &str, expected: &str) {
        let message = format!("{} has no {key:?}, expected {expected}", self.section);
        self.report.error(self.offset, message);
    }
}

/// Reports the keys of a table that are not known.
pub(crate) fn report_unknown_keys(
    report: &mut Report<'_>,
    table: &DeTable<'_>,
    base: usize,
    section: &str,
    known: &[&'static str],
) {
    for key in table.keys() {
        let name = key.get_ref().as_ref();
        if !known.contains(&name) {
            let expected = nearest(name, known.iter().copied())
                .map_or_else(|| format!("one of {}", known.join(", ")), quoted);
            let message = format!("unknown key {name:?} in {section}, expected {expected}");
            report.error(base + key.span().start, message);
        }
    }
}

/// Returns the known name that is most like an unknown one.
pub(crate) fn nearest<'n>(name: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    known
        .take(MAX_COMPARED_NAMES)
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(likeness, _)| *likeness >= MIN_LIKENESS)
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, candidate)| candidate)
}

fn quoted(name: &str) -> String {
    format!("{name:?}")
}
