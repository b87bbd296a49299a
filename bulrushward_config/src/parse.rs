//! Reading the operators' text and reporting all of its errors.

use toml::de::{DeTable, DeValue};

use crate::{
    Config, KeyIndex, TextError, TextErrors,
    links::Links,
    parts::{SharedKeys, cut},
    report::Report,
    rule::{KeyHash, describe},
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
/// Returns every error found, in the order of their places. After a syntax error the rest of the
/// text is still checked, but names are not, since their declarations may be what is broken.
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
    let (draft, mut report) = read_parts(text).unwrap_or_else(|| read_whole(text));
    if !report.has_syntax_errors() {
        draft.links.check(&mut report);
    }
    report.finish()?;
    let mut config = draft.config;
    config.keys = KeyIndex::new(draft.keys);
    Ok(config)
}

/// Reads a text part by part, or returns `None` if its parts would mean something else.
///
/// A cut inside a string or an array leaves a part with a syntax error, and a table that goes on
/// in another part shows as a key of both. A text with any other syntax error is also read as a
/// whole, so that its errors are those of the whole.
fn read_parts(text: &str) -> Option<(Draft<'_>, Report<'_>)> {
    let mut report = Report::new(text);
    let mut draft = Draft::default();
    let mut keys = SharedKeys::default();
    for part in cut(text) {
        let root = DeTable::parse(part.text).ok()?;
        if !keys.are_apart(root.get_ref()) {
            return None;
        }
        draft.read(&mut report, root.get_ref(), part.base);
    }
    Some((draft, report))
}

/// Reads a text in one go, whatever its errors.
fn read_whole(text: &str) -> (Draft<'_>, Report<'_>) {
    let mut report = Report::new(text);
    let mut draft = Draft::default();
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        report.syntax(error.span(), error.message());
    }
    draft.read(&mut report, root.get_ref(), 0);
    (draft, report)
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
