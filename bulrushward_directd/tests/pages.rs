//! Checks that the operations page lists exactly the events and metrics in the sources of direct routers.

use std::{collections::BTreeSet, fs, path::Path};

/// Collects the string literals that follow `marker` in the sources of a directory.
fn collect_quoted_after(directory: &Path, marker: &str, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("the directory of the sources can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_quoted_after(&path, marker, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("sources are UTF-8 text");
        let found = text.split(marker).skip(1);
        let texts = found.filter_map(|rest| rest.trim_start().strip_prefix('"')?.split('"').next());
        names.extend(texts.map(str::to_owned));
    }
}

/// Returns the names in the first column of the table in a section of a page.
fn names_on_page(page: &str, section: &str) -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(page);
    let text = fs::read_to_string(page).expect("the page can be read");
    let (_preceding, rest) = text
        .split_once(&format!("\n## {section}\n"))
        .expect("the page has the section");
    let section_text = rest.split("\n## ").next().unwrap_or(rest);
    let rows = section_text.lines().filter(|line| line.starts_with("| `"));
    let first_columns = rows.filter_map(|row| row.split('|').nth(1));
    first_columns
        .flat_map(|column| column.split('`').skip(1).step_by(2))
        .map(|name| name.split('{').next().unwrap_or(name).to_owned())
        .collect()
}

fn names_in_sources(marker: &str) -> BTreeSet<String> {
    let package_directory = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut names = BTreeSet::new();
    for package in ["bulrushward_direct", "bulrushward_logging"] {
        collect_quoted_after(
            &package_directory.join("..").join(package).join("src"),
            marker,
            &mut names,
        );
    }
    names
}

#[test]
fn the_page_lists_exactly_the_events_in_the_sources() {
    assert_eq!(
        names_on_page("OPERATIONS.md", "Events"),
        names_in_sources("event = ")
    );
}

#[test]
fn the_page_lists_exactly_the_metrics_in_the_sources() {
    let mut registered = names_in_sources("r.add(");
    registered.extend(names_in_sources("r.histogram("));
    let without_suffix = |name: String| name.trim_end_matches("_total").to_owned();
    let listed: BTreeSet<_> = names_on_page("OPERATIONS.md", "Metrics")
        .into_iter()
        .map(without_suffix)
        .collect();
    assert_eq!(listed, registered);
}
