//! The pages name nothing that isn't there.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// All pages of the repository, and the folder that each stands in.
fn pages() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folders = [root.clone(), root.join("docs"), root.join("docs/design")];
    let files = folders.iter().flat_map(|f| fs::read_dir(f).unwrap());
    let paths = files.map(|file| file.unwrap().path());
    paths.filter(|path| path.extension().is_some_and(|e| e == "md")).collect()
}

/// What stands between two marks, for each place where the first one occurs.
fn between<'a>(text: &'a str, open: &'a str, close: char) -> impl Iterator<Item = &'a str> {
    text.split(open).skip(1).filter_map(move |rest| rest.split_once(close).map(|(inner, _)| inner))
}

fn missing(links: impl Iterator<Item = (PathBuf, String)>) -> Vec<String> {
    let dead = links.filter(|(path, _)| !path.exists());
    dead.map(|(_, text)| text).collect()
}

#[test]
fn links_lead_somewhere() {
    let mut dead = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let links = between(&text, "](", ')').filter(|l| !l.contains("://") && !l.starts_with('#'));
        let targets = links.map(|l| {
            let file = l.split('#').next().unwrap_or_default();
            (page.with_file_name("").join(file), format!("{}: {l}", page.display()))
        });
        dead.extend(missing(targets));
    }
    assert!(dead.is_empty(), "{dead:#?}");
}

#[test]
fn named_files_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut dead = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let names = between(&text, "`crates/", '`').map(|n| format!("crates/{n}"));
        let plain = names.filter(|n| !n.contains([' ', '*', '{', '…']));
        let targets = plain.map(|n| (root.join(&n), format!("{}: {n}", page.display())));
        dead.extend(missing(targets));
    }
    assert!(dead.is_empty(), "{dead:#?}");
}
