//! Parses the configuration text and reports all of its errors.

use std::ops::Range;

use toml::de::{DeTable, DeValue};

use crate::{
    Config, KeyIndex, TextError, TextErrors,
    parts::{DuplicateKeyDetector, MAX_PART_BYTES, Part, split_into_parts},
    report::ErrorReport,
    rule::{KeyHash, describe, truncate},
    sections::{read_fleet, read_kind, read_organisation, read_service},
    symbol_table::SymbolTable,
    table_reader::{TablePosition, TableReader, report_unknown_keys},
};

/// Largest accepted text in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;

/// Top-level keys.
const SECTIONS: [&str; 4] = ["fleet", "kind", "service", "organisation"];

/// Parses and validates a configuration text.
///
/// In a text above 128 KiB, the headings of tables in arrays must start at the beginning of a line.
///
/// # Errors
///
/// Returns the errors found, at most 1,000, ordered by position. After a syntax error, the rest of
/// the text is still checked, but declared names and the references to them are not, because the
/// faulty line may declare one of the names.
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
    let mut report = ErrorReport::new(text);
    let mut builder = ConfigBuilder::default();
    let mut duplicates = DuplicateKeyDetector::default();
    for part in split_into_parts(text) {
        builder.read_part(&mut report, part, &mut duplicates);
        if report.is_full() {
            break;
        }
    }
    if !report.has_syntax_errors() {
        builder.symbols.check(&mut report);
    }
    report.finish()?;
    let mut config = builder.config;
    config.keys = KeyIndex::new(builder.keys);
    Ok(config)
}

/// Collects the values of all parts of a text.
#[derive(Default)]
struct ConfigBuilder<'t> {
    config: Config,
    symbols: SymbolTable<'t>,
    keys: Vec<(KeyHash, u32)>,
    reserved_shares: f64,
}

impl<'t> ConfigBuilder<'t> {
    /// Parses one part and reads its tables.
    fn read_part(
        &mut self,
        report: &mut ErrorReport<'t>,
        part: Part<'t>,
        duplicates: &mut DuplicateKeyDetector,
    ) {
        let Part { base, text } = part;
        if text.len() > MAX_PART_BYTES {
            let message = format!(
                "found {} bytes up to the next line that starts with [[kind]], [[service]] or \
                 [[organisation]], expected at most {MAX_PART_BYTES}",
                text.len()
            );
            report.add_syntax_error(base, message);
            return;
        }
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let span = error.span().unwrap_or(text.len()..text.len());
            let message = syntax_message(text, &span, error.message());
            report.add_syntax_error(base + span.start, message);
        }
        for key in duplicates.add_part(root.get_ref()) {
            let message = format!("found {:?}: duplicate key", key.get_ref());
            report.add_syntax_error(base + key.span().start, message);
        }
        self.read_tables(report, root.get_ref(), base);
    }

    /// Reads the tables of a part that starts at byte offset `base` of the text.
    fn read_tables(&mut self, report: &mut ErrorReport<'t>, root: &DeTable<'t>, base: usize) {
        report_unknown_keys(report, root, base, "the text", &SECTIONS);
        self.read_fleet(report, root, base);
        for (table, position) in tables(report, root, base, "kind", "[[kind]]") {
            let reader = TableReader::new(report, table, position, "[[kind]]");
            let kind = read_kind(reader, &mut self.symbols, &mut self.reserved_shares);
            self.config.kinds.extend(kind);
        }
        for (table, position) in tables(report, root, base, "service", "[[service]]") {
            let reader = TableReader::new(report, table, position, "[[service]]");
            let service = read_service(reader, &mut self.symbols);
            self.config.services.extend(service);
        }
        for (table, position) in tables(report, root, base, "organisation", "[[organisation]]") {
            let reader = TableReader::new(report, table, position, "[[organisation]]");
            let Some((organisation, hashes)) = read_organisation(reader, &mut self.symbols) else {
                continue;
            };
            let index = self.config.organisations.len() as u32;
            self.keys
                .extend(hashes.into_iter().map(|hash| (hash, index)));
            self.config.organisations.push(organisation);
        }
    }

    fn read_fleet(&mut self, report: &mut ErrorReport<'t>, root: &DeTable<'t>, base: usize) {
        let Some(value) = root.get("fleet") else {
            return;
        };
        let offset = base + value.span().start;
        let Some(table) = value.get_ref().as_table() else {
            let found = describe(value.get_ref());
            report.add_error(
                offset,
                format!("fleet: found {found}, expected a table [fleet]"),
            );
            return;
        };
        let position = TablePosition { offset, base };
        self.config.fleet = read_fleet(TableReader::new(report, table, position, "[fleet]"));
    }
}

/// Returns the message for a syntax error.
fn syntax_message(text: &str, span: &Range<usize>, message: &str) -> String {
    let found = text.get(span.clone()).unwrap_or_default();
    let found = match found.lines().next() {
        Some(line) if !line.trim().is_empty() => format!("{:?}", truncate(line)),
        _ if span.start >= text.len() => "the end of the text".to_owned(),
        _ => "the end of the line".to_owned(),
    };
    format!("found {found}: {message}")
}

/// Returns the tables of an array and their positions, and reports other values as errors.
fn tables<'d, 't>(
    report: &mut ErrorReport<'t>,
    root: &'d DeTable<'t>,
    base: usize,
    key: &str,
    section: &str,
) -> Vec<(&'d DeTable<'t>, TablePosition)> {
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
                tables.push((table, TablePosition { offset, base }));
            }
            other => {
                let found = describe(other);
                let message = format!("{key}: found {found}, expected tables {section}");
                report.add_error(offset, message);
            }
        }
    }
    tables
}
