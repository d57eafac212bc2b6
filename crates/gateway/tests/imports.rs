//! The modules of each crate import each other in one direction only: there is no import cycle of any length.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// The modules that each module imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// All source files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let files = files.into_iter().filter(|file| file.extension().is_some_and(|extension| extension == "rs"));
    files.chain(folders.iter().flat_map(|folder| source_files(folder))).collect()
}

/// The path of a file's module below the crate's root; empty for the root itself.
fn module_of(file: &Path, root: &Path) -> String {
    let path = file.strip_prefix(root).unwrap().with_extension("");
    let parts: Vec<_> = path.iter().map(|part| part.to_str().unwrap()).collect();
    match parts.as_slice() {
        ["main" | "lib"] => String::new(),
        [parents @ .., "mod"] => parents.join("::"),
        parts => parts.join("::"),
    }
}

/// The paths that a line of code names from the crate's root, those in braces one by one.
fn named_paths(code: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for (at, found) in code.match_indices("crate::") {
        let before = code[..at].chars().next_back();
        if before.is_some_and(|last| last.is_alphanumeric() || last == '_') {
            continue;
        }
        let rest = &code[at + found.len()..];
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

/// The paths that a line of code of a module names by `super`, from the crate's root.
fn relative_paths(code: &str, module: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for (at, found) in code.match_indices("super::") {
        if code[..at].ends_with("super::") {
            continue;
        }
        let mut rest = &code[at + found.len()..];
        let mut parents: Vec<&str> = module.split("::").collect();
        parents.pop();
        while let Some(further) = rest.strip_prefix("super::") {
            rest = further;
            parents.pop();
        }
        let is_path = |next: char| next.is_alphanumeric() || next == '_' || next == ':';
        let path: String = rest.chars().take_while(|next| is_path(*next)).collect();
        paths.push([parents.join("::"), path].join("::").trim_start_matches("::").to_owned());
    }
    paths
}

/// The longest module that a path leads through.
fn module_named(path: &str, modules: &BTreeSet<String>) -> Option<String> {
    let parts: Vec<_> = path.split("::").collect();
    (1..=parts.len()).rev().map(|n| parts[..n].join("::")).find(|name| modules.contains(name))
}

/// The modules that each module names anywhere in its code; comments are ignored.
fn imports_below(root: &Path) -> Imports {
    let files = source_files(root);
    let modules: BTreeSet<String> = files.iter().map(|file| module_of(file, root)).collect();
    let mut imports = Imports::new();
    for file in &files {
        let module = module_of(file, root);
        let text = fs::read_to_string(file).unwrap();
        let code: Vec<&str> = text.lines().map(|line| line.split("//").next().unwrap()).collect();
        let code = code.join(" ");
        let named = [named_paths(&code), relative_paths(&code, &module)].concat();
        let others = named.iter().filter_map(|path| module_named(path, &modules));
        imports.insert(module.clone(), others.filter(|other| *other != module).collect());
    }
    imports
}

/// A cycle of imports through a module, if there is one.
fn cycle_through(start: &str, imports: &Imports) -> Option<Vec<String>> {
    let mut paths = vec![vec![start.to_owned()]];
    let mut seen = BTreeSet::new();
    while let Some(path) = paths.pop() {
        for next in imports.get(path.last().unwrap()).into_iter().flatten() {
            let mut longer = path.clone();
            longer.push(next.clone());
            if next == start {
                return Some(longer);
            }
            if seen.insert(next.clone()) {
                paths.push(longer);
            }
        }
    }
    None
}

#[test]
fn modules_have_no_import_cycle() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for name in ["core", "gateway", "scale-laboratory", "simulator-adapter"] {
        let imports = imports_below(&crates.join(name).join("src"));
        assert!(imports.values().any(|others| !others.is_empty()), "{name}: no imports were found");
        let cycles: Vec<String> = imports
            .keys()
            .filter_map(|module| cycle_through(module, &imports))
            .map(|cycle| cycle.join(" -> "))
            .collect();
        assert!(cycles.is_empty(), "{name}: modules import each other:\n{}", cycles.join("\n"));
    }
}

#[test]
fn cycle_of_three_modules_is_found() {
    let imports = [("a", "b"), ("b", "c"), ("c", "a"), ("d", "a")];
    let imports: Imports =
        imports.iter().map(|(module, other)| (module.to_string(), [other.to_string()].into())).collect();
    assert_eq!(cycle_through("a", &imports).unwrap().join(" "), "a b c a");
    assert!(cycle_through("d", &imports).is_none());
}

#[test]
fn import_paths_are_found_in_every_form() {
    let code = "use crate::driver::{Driver, Head}; use crate::{pool, stream::Error}; x: crate::clock::Clock";
    assert_eq!(named_paths(code), ["driver::", "pool", "stream::Error", "clock::Clock"]);
    let modules = ["clock", "driver", "pool"].map(str::to_owned).into();
    assert_eq!(module_named("driver::", &modules).unwrap(), "driver");
    assert_eq!(module_named("clock::Clock", &modules).unwrap(), "clock");
    assert!(module_named("stream::Error", &modules).is_none());
}

#[test]
fn paths_relative_to_a_module_are_found() {
    let code = "use super::pool::Pool; use super::super::clock; x: super::Error";
    assert_eq!(relative_paths(code, "servers::exchange"), ["servers::pool::Pool", "clock", "servers::Error"]);
    assert_eq!(relative_paths("use super::names::Names;", "host"), ["names::Names"]);
}
