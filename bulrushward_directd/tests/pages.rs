//! Checks that the pages of direct routers name what the sources have.

use std::{collections::BTreeSet, fs, path::Path};

/// Collects the texts in quotes that follow `before` in the sources of a directory.
fn quoted(directory: &Path, before: &str, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("the sources are there") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            quoted(&path, before, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source is text");
        let found = text.split(before).skip(1);
        let texts = found.filter_map(|rest| rest.trim_start().strip_prefix('"')?.split('"').next());
        names.extend(texts.map(str::to_owned));
    }
}

/// Returns the names in the first column of the table in a section of a page.
fn listed(page: &str, section: &str) -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(page);
    let text = fs::read_to_string(page).expect("the page is there");
    let (_before, rest) = text
        .split_once(&format!("\n## {section}\n"))
        .expect("the section is there");
    let own = rest.split("\n## ").next().unwrap_or(rest);
    let rows = own.lines().filter(|line| line.starts_with("| `"));
    let first_columns = rows.filter_map(|row| row.split('|').nth(1));
    first_columns
        .flat_map(|column| column.split('`').skip(1).step_by(2))
        .map(|name| name.split('{').next().unwrap_or(name).to_owned())
        .collect()
}

fn sources(before: &str) -> BTreeSet<String> {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut names = BTreeSet::new();
    for package in ["bulrushward_direct", "bulrushward_logging"] {
        quoted(
            &own.join("..").join(package).join("src"),
            before,
            &mut names,
        );
    }
    names
}

#[test]
fn every_event_is_on_the_page_and_the_other_way_round() {
    assert_eq!(listed("OPERATIONS.md", "Events"), sources("event = "));
}

#[test]
fn every_metric_is_on_the_page_and_the_other_way_round() {
    let mut registered = sources("r.add(");
    registered.extend(sources("r.histogram("));
    let without_suffix = |name: String| name.trim_end_matches("_total").to_owned();
    let listed: BTreeSet<_> = listed("OPERATIONS.md", "Metrics")
        .into_iter()
        .map(without_suffix)
        .collect();
    assert_eq!(listed, registered);
}
