//! Checks that the platform can build the daemon: its machines have no system packages beyond those that
//! the deploy file lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use toml::{Table, Value};

fn read_toml(path: &str) -> Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path);
    let text = fs::read_to_string(path).expect("the file can be read");
    text.parse().expect("the file is valid TOML")
}

fn string_field<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().expect("the value is a string")
}

/// Returns the names of all packages that the daemon depends on, directly or indirectly.
fn packages_in_build(lock: &Table) -> BTreeSet<String> {
    let packages = lock["package"].as_array().expect("packages are listed");
    let mut dependencies_of: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for package in packages {
        let listed = package.get("dependencies").and_then(Value::as_array);
        let names = listed.into_iter().flatten().filter_map(Value::as_str);
        // A version follows the name where the lock file holds several versions of a package.
        let names = names.filter_map(|dependency| dependency.split(' ').next());
        dependencies_of
            .entry(string_field(package, "name"))
            .or_default()
            .extend(names);
    }
    let mut found = BTreeSet::new();
    let mut pending = vec!["bulrushward_directd"];
    while let Some(name) = pending.pop() {
        if found.insert(name.to_owned()) {
            pending.extend(&dependencies_of[name]);
        }
    }
    found
}

#[test]
fn the_deploy_file_lists_cmake_exactly_if_the_build_needs_it() {
    // The `cmake` crate runs the program of the same name, which is a system package.
    let packages = packages_in_build(&read_toml("Cargo.lock"));
    assert!(
        packages.contains("hyper"),
        "the dependencies are followed as far as hyper"
    );
    let deploy = read_toml("deploy/system.toml");
    let listed = deploy["packages"].as_array().expect("packages are listed");
    let is_listed = listed.iter().any(|name| name.as_str() == Some("cmake"));
    assert_eq!(packages.contains("cmake"), is_listed);
}
