//! The page of the promises names no test that isn't there.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// All test files of the workspace.
fn test_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            test_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// The names of tests on a page: words between backticks that have a path.
fn names(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_name = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_:*".contains(c);
    quoted.filter(|word| word.contains("::") && word.chars().all(is_name)).collect()
}

#[test]
fn the_page_names_tests_that_are_there() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = fs::read_to_string(crates.join("../docs/PROMISES.md")).unwrap();
    let mut files = Vec::new();
    let folders = ["basilbank", "basilbank_core", "basilbank_forward", "basilbank_standin"];
    for name in folders.into_iter().chain(["basilbankd", "../platform"]) {
        test_files(&crates.join(name).join("tests"), &mut files);
    }
    let names = names(&page);
    assert!(20 < names.len());
    for name in names {
        let (path, test) = name.rsplit_once("::").unwrap();
        let stem = path.rsplit("::").next().unwrap();
        let mut of_name = files.iter().filter(|f| f.file_stem().is_some_and(|s| s == stem));
        let function = format!("fn {test}(");
        let has = |file: &PathBuf| fs::read_to_string(file).unwrap().contains(&function);
        assert!(of_name.any(|file| test == "*" || has(file)), "{name}");
    }
}
