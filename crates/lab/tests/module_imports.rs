//! No circle of imports between the modules of a finished package: the sources of each are read, and the modules that a
//! file names by `crate::`, `self::` or `super::` are its imports.
//!
//! A directory's `mod.rs` and its own submodules count as one module, as a parent and its children share their privacy.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Packages whose modules have no circle, and are to stay so.
const FINISHED: &[&str] = &[
    "cli",
    "hot-restart",
    "lease",
    "membership",
    "outlier-detection",
    "policy",
    "shared-counter",
    "simulator-adapter",
    "store",
    "subsetting",
];

type ModulePath = Vec<String>;

/// A package's modules by their paths below the crate's root, with their sources.
struct Package {
    sources: BTreeMap<ModulePath, String>,
}

impl Package {
    fn read(name: &str) -> Self {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name).join("src");
        let mut sources = BTreeMap::new();
        let mut open = vec![root.clone()];
        while let Some(directory) = open.pop() {
            for entry in std::fs::read_dir(&directory).expect("a directory of sources") {
                let path = entry.expect("a file").path();
                if path.is_dir() {
                    open.push(path);
                } else if path.extension().is_some_and(|extension| extension == "rs") {
                    let text = std::fs::read_to_string(&path).expect("a source file");
                    sources.insert(module_path(&root, &path), without_comments(&text));
                }
            }
        }
        Package { sources }
    }

    /// The module that a path leads to, as far as it goes; nothing for an item of the root.
    fn module_of(&self, path: &[String]) -> Option<ModulePath> {
        (1..=path.len())
            .rev()
            .map(|length| path[..length].to_vec())
            .find(|path| self.sources.contains_key(path))
    }

    /// For each module those that it imports, its own parents and children left out.
    fn imports(&self) -> BTreeMap<ModulePath, BTreeSet<ModulePath>> {
        let mut imports = BTreeMap::new();
        for (module, source) in &self.sources {
            let named = named_paths(module, source);
            let others = named.iter().filter_map(|path| self.module_of(path));
            let others = others.filter(|other| !other.starts_with(module) && !module.starts_with(other));
            imports.insert(module.clone(), others.collect::<BTreeSet<_>>());
        }
        imports
    }
}

fn module_path(root: &Path, file: &Path) -> ModulePath {
    let relative: PathBuf = file.strip_prefix(root).expect("below the root").with_extension("");
    let mut path: ModulePath = relative.iter().map(|part| part.to_string_lossy().into_owned()).collect();
    if matches!(path.last().map(String::as_str), Some("mod" | "lib" | "main")) {
        path.pop();
    }
    path
}

fn without_comments(text: &str) -> String {
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// All paths in a source that begin at the crate's root, at the module itself or at its parent, from the root on.
fn named_paths(module: &[String], source: &str) -> Vec<ModulePath> {
    let mut paths = Vec::new();
    for (start, beginning) in [("crate", Vec::new()), ("self", module.to_vec()), ("super", parent(module))] {
        for (at, _) in source.match_indices(&format!("{start}::")) {
            let before = source[..at].chars().next_back();
            if before.is_some_and(|before| before.is_alphanumeric() || before == '_' || before == ':') {
                continue;
            }
            let tree = &source[at + start.len() + 2..];
            read_tree(tree, &beginning, &mut paths);
        }
    }
    paths
}

fn parent(module: &[String]) -> ModulePath {
    module[..module.len().saturating_sub(1)].to_vec()
}

/// Reads `a::b`, or `{a::b, c::{d, e}}`, behind a prefix; gives what is left of the text.
fn read_tree<'t>(text: &'t str, prefix: &[String], paths: &mut Vec<ModulePath>) -> &'t str {
    let text = text.trim_start();
    if let Some(mut group) = text.strip_prefix('{') {
        loop {
            group = read_tree(group, prefix, paths).trim_start();
            match group.chars().next() {
                Some(',') => group = group[1..].trim_start(),
                Some('}') => return &group[1..],
                _ => return group,
            }
            if let Some(rest) = group.strip_prefix('}') {
                return rest;
            }
        }
    }
    let end = text.find(|letter: char| !letter.is_alphanumeric() && letter != '_').unwrap_or(text.len());
    let (name, rest) = text.split_at(end);
    let mut path = prefix.to_vec();
    match name {
        "super" => drop(path.pop()),
        "self" | "" => {}
        name => path.push(name.to_string()),
    }
    match rest.strip_prefix("::") {
        Some(rest) if !rest.starts_with('<') => read_tree(rest, &path, paths),
        _ => {
            paths.push(path);
            let rest = rest.trim_start();
            let renamed = rest
                .strip_prefix("as ")
                .map(|rest| rest.trim_start_matches(|l: char| l.is_alphanumeric() || l == '_'));
            renamed.unwrap_or(rest)
        }
    }
}

/// A circle that begins and ends at one module, if there is one.
fn circle(imports: &BTreeMap<ModulePath, BTreeSet<ModulePath>>) -> Option<Vec<String>> {
    fn visit(
        module: &ModulePath,
        imports: &BTreeMap<ModulePath, BTreeSet<ModulePath>>,
        way: &mut Vec<ModulePath>,
        done: &mut BTreeSet<ModulePath>,
    ) -> Option<Vec<String>> {
        if let Some(from) = way.iter().position(|earlier| earlier == module) {
            let circle = way[from..].iter().chain([module]);
            return Some(circle.map(|module| module.join("::")).collect());
        }
        if done.contains(module) {
            return None;
        }
        way.push(module.clone());
        for other in imports.get(module).into_iter().flatten() {
            let found = visit(other, imports, way, done);
            if found.is_some() {
                return found;
            }
        }
        way.pop();
        done.insert(module.clone());
        None
    }
    let mut done = BTreeSet::new();
    imports.keys().find_map(|module| visit(module, imports, &mut Vec::new(), &mut done))
}

#[test]
fn finished_packages_have_no_circle_of_imports() {
    for package in FINISHED {
        let imports = Package::read(package).imports();
        assert!(imports.len() > 1, "{package}: its modules are read");
        assert_eq!(circle(&imports), None, "{package}: these modules import each other");
    }
}

fn of_sources(sources: &[(&str, &str)]) -> Option<Vec<String>> {
    let path = |name: &str| {
        name.split("::").filter(|part| !part.is_empty()).map(String::from).collect::<ModulePath>()
    };
    let sources = sources.iter().map(|(name, text)| (path(name), without_comments(text))).collect();
    circle(&Package { sources }.imports())
}

#[test]
fn a_circle_is_found_however_it_is_written() {
    let grouped = [("a", "use crate::{b::{C, D as E}, f};"), ("b", "use super::a::X;"), ("f", "")];
    assert_eq!(of_sources(&grouped), Some(vec!["a".into(), "b".into(), "a".into()]));
    let qualified =
        [("a", "fn x() { crate::b::y() }"), ("b", "use crate::c;"), ("c", "use crate::a::{self, Z};")];
    assert!(of_sources(&qualified).is_some());
    let nested = [("d", "use crate::e;"), ("d::one", ""), ("e", "use crate::d::one::X;")];
    assert_eq!(of_sources(&nested), None, "a submodule that imports nothing closes no circle");
}

#[test]
fn what_is_no_circle_is_not_taken_for_one() {
    let parent =
        [("", "mod a; pub use a::X;"), ("a", "use crate::Y; use super::Z;"), ("a::b", "use super::X;")];
    assert_eq!(of_sources(&parent), None);
    let comment = [("a", "use crate::b::C; // crate::a"), ("b", "// see crate::a::D")];
    assert_eq!(of_sources(&comment), None);
}
