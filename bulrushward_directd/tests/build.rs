//! Checks that the users' platform, whose machines start clean, can build the daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use toml::{Table, Value};

fn table(path: &str) -> Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path);
    let text = fs::read_to_string(path).expect("the file is there");
    text.parse().expect("it is TOML")
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().expect("it is text")
}

/// Returns the names of all packages that the daemon is built of.
fn built_of(lock: &Table) -> BTreeSet<String> {
    let packages = lock["package"].as_array().expect("packages are listed");
    let mut needs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for package in packages {
        let listed = package.get("dependencies").and_then(Value::as_array);
        let names = listed.into_iter().flatten().filter_map(Value::as_str);
        // A version may follow the name.
        let names = names.filter_map(|need| need.split(' ').next());
        needs
            .entry(text(package, "name"))
            .or_default()
            .extend(names);
    }
    let mut found = BTreeSet::new();
    let mut open = vec!["bulrushward_directd"];
    while let Some(name) = open.pop() {
        if found.insert(name.to_owned()) {
            open.extend(&needs[name]);
        }
    }
    found
}

#[test]
fn the_build_needs_no_system_package_that_the_deploy_file_does_not_list() {
    let packages = built_of(&table("Cargo.lock"));
    assert!(packages.contains("hyper"), "the walk reaches the libraries");
    let deploy = table("deploy/system.toml");
    let listed = deploy["packages"].as_array().expect("packages are listed");
    let is_listed = listed.iter().any(|name| name.as_str() == Some("cmake"));
    assert_eq!(packages.contains("cmake"), is_listed);
}
