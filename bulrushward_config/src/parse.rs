//! Reading the operators' text and reporting all of its errors.

use std::ops::Range;

use toml::de::{DeTable, DeValue};

use crate::{
    Config, KeyIndex, TextError, TextErrors,
    links::Links,
    parts::{MAX_PART_BYTES, Part, SharedKeys, parts},
    report::Report,
    rule::{KeyHash, describe, shorten},
    sections::{read_fleet, read_kind, read_organisation, read_service},
    table_reader::{Place, TableReader, report_unknown_keys},
};

/// Largest accepted text in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;

/// Keys at the top of the text.
const SECTIONS: [&str; 4] = ["fleet", "kind", "service", "organisation"];

/// Parses and checks a text.
///
/// # Errors
///
/// Returns the errors found, at most 1,000, in the order of their places. After a syntax error the
/// rest of the text is still checked, but names are not, since their declarations may be what is
/// broken. In a text above 128 KiB, the headings of tables in arrays have to start their lines.
pub fn parse(text: &str) -> Result<Config, TextErrors> {
    if text.len() > MAX_TEXT_BYTES {
        let found = text.len();
        let message = format!("the text has {found} bytes, expected at most {MAX_TEXT_BYTES}");
        return Err(TextErrors(vec![TextError {
            line: 1,
            column: 1,
            message,
        }]));
    }
    let mut report = Report::new(text);
    let mut draft = Draft::default();
    let mut shared = SharedKeys::default();
    for part in parts(text) {
        draft.read_part(&mut report, part, &mut shared);
        if report.is_full() {
            break;
        }
    }
    if !report.has_syntax_errors() {
        draft.links.check(&mut report);
    }
    report.finish()?;
    let mut config = draft.config;
    config.keys = KeyIndex::new(draft.keys);
    Ok(config)
}

/// What has been read of a text.
#[derive(Default)]
struct Draft<'t> {
    config: Config,
    links: Links<'t>,
    keys: Vec<(KeyHash, u32)>,
    reserved_shares: f64,
}

impl<'t> Draft<'t> {
    /// Parses a part and reads its tables.
    fn read_part(&mut self, report: &mut Report<'t>, part: Part<'t>, shared: &mut SharedKeys) {
        let Part { base, text } = part;
        if text.len() > MAX_PART_BYTES {
            let message = format!(
                "found {} bytes up to the next line that starts with [[kind]], [[service]] or \
                 [[organisation]], expected at most {MAX_PART_BYTES}",
                text.len()
            );
            report.syntax(base, message);
            return;
        }
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let span = error.span().unwrap_or(text.len()..text.len());
            let message = syntax_message(text, &span, error.message());
            report.syntax(base + span.start, message);
        }
        for key in shared.add(root.get_ref()) {
            let message = format!("found {:?}: duplicate key", key.get_ref());
            report.syntax(base + key.span().start, message);
        }
        self.read(report, root.get_ref(), base);
    }

    /// Reads the tables of a part that starts at byte `base` of the text.
    fn read(&mut self, report: &mut Report<'t>, root: &DeTable<'t>, base: usize) {
        report_unknown_keys(report, root, base, "the text", &SECTIONS);
        self.read_fleet(report, root, base);
        for (table, place) in tables(report, root, base, "kind", "[[kind]]") {
            let reader = TableReader::new(report, table, place, "[[kind]]");
            let kind = read_kind(reader, &mut self.links, &mut self.reserved_shares);
            self.config.kinds.extend(kind);
        }
        for (table, place) in tables(report, root, base, "service", "[[service]]") {
            let reader = TableReader::new(report, table, place, "[[service]]");
            let service = read_service(reader, &mut self.links);
            self.config.services.extend(service);
        }
        for (table, place) in tables(report, root, base, "organisation", "[[organisation]]") {
            let reader = TableReader::new(report, table, place, "[[organisation]]");
            let Some((organisation, hashes)) = read_organisation(reader, &mut self.links) else {
                continue;
            };
            let index = self.config.organisations.len() as u32;
            self.keys
                .extend(hashes.into_iter().map(|hash| (hash, index)));
            self.config.organisations.push(organisation);
        }
    }

    fn read_fleet(&mut self, report: &mut Report<'t>, root: &DeTable<'t>, base: usize) {
        let Some(value) = root.get("fleet") else {
            return;
        };
        let offset = base + value.span().start;
        let Some(table) = value.get_ref().as_table() else {
            let found = describe(value.get_ref());
            report.error(
                offset,
                format!("fleet: found {found}, expected a table [fleet]"),
            );
            return;
        };
        let place = Place { offset, base };
        self.config.fleet = read_fleet(TableReader::new(report, table, place, "[fleet]"));
    }
}

/// Says what a syntax error found and what was expected.
fn syntax_message(text: &str, span: &Range<usize>, message: &str) -> String {
    let found = text.get(span.clone()).unwrap_or_default();
    let found = match found.lines().next() {
        Some(line) if !line.trim().is_empty() => format!("{:?}", shorten(line)),
        _ if span.start >= text.len() => "the end of the text".to_owned(),
        _ => "the end of the line".to_owned(),
    };
    format!("found {found}: {message}")
}

/// Returns the tables of an array and their places; anything else is reported.
fn tables<'d, 't>(
    report: &mut Report<'t>,
    root: &'d DeTable<'t>,
    base: usize,
    key: &str,
    section: &str,
) -> Vec<(&'d DeTable<'t>, Place)> {
    let Some(value) = root.get(key) else {
        return Vec::new();
    };
    let items = match value.get_ref() {
        DeValue::Array(items) => items.iter().collect(),
        _ => vec![value],
    };
    let mut tables = Vec::with_capacity(items.len());
    for item in items {
        let offset = base + item.span().start;
        match item.get_ref() {
            DeValue::Table(table) if !std::ptr::eq(item, value) => {
                tables.push((table, Place { offset, base }));
            }
            other => {
                let found = describe(other);
                let message = format!("{key}: found {found}, expected tables {section}");
                report.error(offset, message);
            }
        }
    }
    tables
}
