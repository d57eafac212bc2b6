//! Checks that the modules of each crate have no import cycle of any length.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Modules imported by each module.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Returns all Rust source files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let files = files.into_iter().filter(|file| file.extension().is_some_and(|extension| extension == "rs"));
    files.chain(folders.iter().flat_map(|folder| source_files(folder))).collect()
}

/// Returns the path of a file's module from the crate root; empty for the root itself.
fn module_of_file(file: &Path, root: &Path) -> String {
    let path = file.strip_prefix(root).unwrap().with_extension("");
    let parts: Vec<_> = path.iter().map(|part| part.to_str().unwrap()).collect();
    match parts.as_slice() {
        ["main" | "lib"] => String::new(),
        [parents @ .., "mod"] => parents.join("::"),
        parts => parts.join("::"),
    }
}

/// Returns the paths in code that start with `crate::`, without that prefix. Each path in braces counts
/// separately.
fn absolute_paths(code: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for (offset, keyword) in code.match_indices("crate::") {
        let before = code[..offset].chars().next_back();
        if before.is_some_and(|last| last.is_alphanumeric() || last == '_') {
            continue;
        }
        let rest = &code[offset + keyword.len()..];
        if let Some(list) = rest.strip_prefix('{') {
            let list = list.split('}').next().unwrap();
            paths.extend(list.split(',').map(|path| path.trim().to_owned()));
        } else {
            let is_path = |next: char| next.is_alphanumeric() || next == '_' || next == ':';
            paths.push(rest.chars().take_while(|next| is_path(*next)).collect());
        }
    }
    paths
}

/// Returns the paths in a module's code that start with `super::`, resolved from the crate root.
fn relative_paths(code: &str, module: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for (offset, keyword) in code.match_indices("super::") {
        if code[..offset].ends_with("super::") {
            continue;
        }
        let mut rest = &code[offset + keyword.len()..];
        let mut parents: Vec<&str> = module.split("::").collect();
        parents.pop();
        while let Some(stripped) = rest.strip_prefix("super::") {
            rest = stripped;
            parents.pop();
        }
        let is_path = |next: char| next.is_alphanumeric() || next == '_' || next == ':';
        let path: String = rest.chars().take_while(|next| is_path(*next)).collect();
        paths.push([parents.join("::"), path].join("::").trim_start_matches("::").to_owned());
    }
    paths
}

/// Returns the longest prefix of a path that is a module.
fn module_of_path(path: &str, modules: &BTreeSet<String>) -> Option<String> {
    let parts: Vec<_> = path.split("::").collect();
    (1..=parts.len()).rev().map(|n| parts[..n].join("::")).find(|name| modules.contains(name))
}

/// Returns the modules to which the code of each module refers anywhere; comments are ignored.
fn imports_of_crate(root: &Path) -> Imports {
    let files = source_files(root);
    let modules: BTreeSet<String> = files.iter().map(|file| module_of_file(file, root)).collect();
    let mut imports = Imports::new();
    for file in &files {
        let module = module_of_file(file, root);
        let text = fs::read_to_string(file).unwrap();
        let code: Vec<&str> = text.lines().map(|line| line.split("//").next().unwrap()).collect();
        let code = code.join(" ");
        let paths = [absolute_paths(&code), relative_paths(&code, &module)].concat();
        let imported = paths.iter().filter_map(|path| module_of_path(path, &modules));
        imports.insert(module.clone(), imported.filter(|other| *other != module).collect());
    }
    imports
}

/// Returns an import cycle through a module, if there is one.
fn cycle_through(start: &str, imports: &Imports) -> Option<Vec<String>> {
    let mut paths = vec![vec![start.to_owned()]];
    let mut visited = BTreeSet::new();
    while let Some(path) = paths.pop() {
        for next in imports.get(path.last().unwrap()).into_iter().flatten() {
            let mut extended = path.clone();
            extended.push(next.clone());
            if next == start {
                return Some(extended);
            }
            if visited.insert(next.clone()) {
                paths.push(extended);
            }
        }
    }
    None
}

#[test]
fn modules_have_no_import_cycle() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for name in ["core", "gateway", "scale-laboratory", "simulator-adapter"] {
        let imports = imports_of_crate(&crates.join(name).join("src"));
        assert!(imports.values().any(|imported| !imported.is_empty()), "{name}: no imports were found");
        let cycles: Vec<String> = imports
            .keys()
            .filter_map(|module| cycle_through(module, &imports))
            .map(|cycle| cycle.join(" -> "))
            .collect();
        assert!(cycles.is_empty(), "{name}: import cycles:\n{}", cycles.join("\n"));
    }
}

#[test]
fn cycle_of_three_modules_is_found() {
    let imports = [("a", "b"), ("b", "c"), ("c", "a"), ("d", "a")];
    let imports: Imports = imports
        .iter()
        .map(|(module, imported)| (module.to_string(), [imported.to_string()].into()))
        .collect();
    assert_eq!(cycle_through("a", &imports).unwrap().join(" "), "a b c a");
    assert!(cycle_through("d", &imports).is_none());
}

#[test]
fn absolute_paths_are_found_in_every_form() {
    let code = "use crate::driver::{Driver, Head}; use crate::{pool, stream::Error}; x: crate::clock::Clock";
    assert_eq!(absolute_paths(code), ["driver::", "pool", "stream::Error", "clock::Clock"]);
    let modules = ["clock", "driver", "pool"].map(str::to_owned).into();
    assert_eq!(module_of_path("driver::", &modules).unwrap(), "driver");
    assert_eq!(module_of_path("clock::Clock", &modules).unwrap(), "clock");
    assert!(module_of_path("stream::Error", &modules).is_none());
}

#[test]
fn relative_paths_are_resolved_from_the_crate_root() {
    let code = "use super::pool::Pool; use super::super::clock; x: super::Error";
    assert_eq!(relative_paths(code, "servers::exchange"), ["servers::pool::Pool", "clock", "servers::Error"]);
    assert_eq!(relative_paths("use super::names::Names;", "host"), ["names::Names"]);
}
