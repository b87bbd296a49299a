//! Generates docs/FAULTS.md from docs/faults.toml and checks that both agree with the tests.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    fs,
    path::{Path, PathBuf},
};

use serde::Deserialize;

/// Environment variable that makes the test write the page instead of comparing it.
const UPDATE_VARIABLE: &str = "UPDATE_FAULTS";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    promises: Vec<Promise>,
    faults: Vec<String>,
    chains: BTreeMap<String, Vec<String>>,
    not_applicable: Vec<Entry>,
    proved: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Promise {
    id: String,
    text: String,
    chain: String,
}

/// A set of table cells; an empty list of faults or steps means all of them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    promises: Vec<String>,
    #[serde(default)]
    faults: Vec<String>,
    #[serde(default)]
    steps: Vec<String>,
    #[serde(default)]
    test: String,
    #[serde(default)]
    reason: String,
}

impl Entry {
    fn covers(&self, promise: &str, fault: &str, step: &str) -> bool {
        let contains = |list: &[String], item: &str| list.iter().any(|one| one == item);
        contains(&self.promises, promise)
            && (self.faults.is_empty() || contains(&self.faults, fault))
            && (self.steps.is_empty() || contains(&self.steps, step))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cell<'a> {
    Proved(&'a str),
    NotApplicable(&'a str),
    NotProved,
}

impl Table {
    fn read() -> Self {
        let text =
            fs::read_to_string(root().join("docs/faults.toml")).expect("the data file exists");
        toml::from_str(&text).expect("the data is valid")
    }

    fn cell(&self, promise: &str, fault: &str, step: &str) -> Cell<'_> {
        let find = |entries: &'_ [Entry]| {
            entries
                .iter()
                .rposition(|entry| entry.covers(promise, fault, step))
        };
        if let Some(index) = find(&self.proved) {
            return Cell::Proved(&self.proved[index].test);
        }
        match find(&self.not_applicable) {
            Some(index) => Cell::NotApplicable(&self.not_applicable[index].reason),
            None => Cell::NotProved,
        }
    }

    fn count(&self, wanted: fn(Cell<'_>) -> bool) -> usize {
        let mut count = 0;
        for promise in &self.promises {
            for fault in &self.faults {
                let steps = &self.chains[&promise.chain];
                count += steps
                    .iter()
                    .filter(|step| wanted(self.cell(&promise.id, fault, step)))
                    .count();
            }
        }
        count
    }

    fn page(&self) -> String {
        let tests: BTreeSet<&str> = self.proved.iter().map(|entry| &*entry.test).collect();
        let tests: Vec<&str> = tests.into_iter().collect();
        let mut reasons: Vec<&str> = Vec::new();
        let mut page = String::from(
            "# Promises under faults\n\nMade from docs/faults.toml by the test `fault_table`; \
             `UPDATE_FAULTS=1 cargo test -p bulrushward --test fault_table` writes it anew.\n\
             A number names the test that proves a cell, a letter the reason why it cannot occur, \
             and an empty cell is not proved.\n",
        );
        for promise in &self.promises {
            let steps = &self.chains[&promise.chain];
            write!(page, "\n## {}: {}\n\n| fault |", promise.id, promise.text)
                .expect("writing to a string succeeds");
            for step in steps {
                write!(page, " {step} |").expect("writing to a string succeeds");
            }
            writeln!(page, "\n|---|{}", "---|".repeat(steps.len()))
                .expect("writing to a string succeeds");
            for fault in &self.faults {
                write!(page, "| {fault} |").expect("writing to a string succeeds");
                for step in steps {
                    let cell = match self.cell(&promise.id, fault, step) {
                        Cell::Proved(test) => {
                            let index = tests.iter().position(|one| *one == test);
                            (index.expect("the test is listed") + 1).to_string()
                        }
                        Cell::NotApplicable(reason) => reason_letter(&mut reasons, reason),
                        Cell::NotProved => String::new(),
                    };
                    write!(page, " {cell} |").expect("writing to a string succeeds");
                }
                page.push('\n');
            }
        }
        page.push_str("\n## Tests\n\n");
        for (index, test) in tests.iter().enumerate() {
            writeln!(page, "{}. `{test}`", index + 1).expect("writing to a string succeeds");
        }
        page.push_str("\n## Reasons\n\n");
        for (index, reason) in reasons.iter().enumerate() {
            writeln!(page, "- {}: {reason}", letter_of(index))
                .expect("writing to a string succeeds");
        }
        page
    }
}

fn reason_letter<'a>(reasons: &mut Vec<&'a str>, reason: &'a str) -> String {
    let known = reasons.iter().position(|one| *one == reason);
    let index = known.unwrap_or_else(|| {
        reasons.push(reason);
        reasons.len() - 1
    });
    letter_of(index)
}

fn letter_of(index: usize) -> String {
    char::from(b'a' + index as u8).to_string()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the names of all functions in the test files of the workspace.
fn test_functions() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for package in fs::read_dir(root()).expect("the workspace exists") {
        let tests = package.expect("an entry").path().join("tests");
        let Ok(files) = fs::read_dir(tests) else {
            continue;
        };
        for file in files {
            let path = file.expect("an entry").path();
            let Ok(text) = fs::read_to_string(path) else {
                continue;
            };
            let found = text.split("fn ").skip(1);
            names.extend(found.filter_map(|rest| Some(rest.split_once('(')?.0.to_owned())));
        }
    }
    names
}

#[test]
fn the_page_matches_the_data() {
    let page = Table::read().page();
    let path = root().join("docs/FAULTS.md");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&path, &page).expect("the page can be written");
    }
    let written = fs::read_to_string(&path).expect("the page exists");
    assert!(
        written == page,
        "docs/FAULTS.md is stale; run with {UPDATE_VARIABLE}=1"
    );
}

#[test]
fn every_named_test_promise_fault_and_step_exists() {
    let table = Table::read();
    let functions = test_functions();
    let promises: BTreeSet<&str> = table.promises.iter().map(|p| &*p.id).collect();
    let steps: BTreeSet<&String> = table.chains.values().flatten().collect();
    for entry in &table.proved {
        assert!(
            functions.contains(&entry.test),
            "test {:?} does not exist",
            entry.test
        );
    }
    for entry in table.proved.iter().chain(&table.not_applicable) {
        let has_either = entry.test.is_empty() != entry.reason.is_empty();
        assert!(
            has_either,
            "an entry has either a test or a reason: {entry:?}"
        );
        for promise in &entry.promises {
            assert!(
                promises.contains(&**promise),
                "promise {promise:?} does not exist"
            );
        }
        for fault in &entry.faults {
            assert!(
                table.faults.contains(fault),
                "fault {fault:?} does not exist"
            );
        }
        for step in &entry.steps {
            assert!(steps.contains(step), "step {step:?} does not exist");
        }
    }
}

#[test]
fn the_counts_are_printed() {
    let table = Table::read();
    let proved = table.count(|cell| matches!(cell, Cell::Proved(_)));
    let not_applicable = table.count(|cell| matches!(cell, Cell::NotApplicable(_)));
    let not_proved = table.count(|cell| cell == Cell::NotProved);
    println!("fault-table proved={proved} not-applicable={not_applicable} not-proved={not_proved}");
    assert!(proved > 0);
}
