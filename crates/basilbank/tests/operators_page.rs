//! The operators' page names every metric and every reason that there is, and no others.

use std::{collections::BTreeSet, fs, path::Path};

use basilbank::callers::EdgeRefusal;
use basilbank_core::reason::{Outcome, Refusal, Retry, Waste};
use basilbank_wire::DropReason;

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");
const FAMILIES: &str = include_str!("../src/metrics/families.rs");

/// Endings that the text format adds to a metric's name.
const ENDINGS: [&str; 3] = ["_total", "_seconds", "_bucket"];

/// The texts that directly follow `before` within quotes.
fn quoted<'a>(source: &'a str, before: &str) -> Vec<&'a str> {
    let after = source.split(before).skip(1);
    after.filter_map(|rest| rest.split('"').next()).collect()
}

/// The words between backquotes in a part of the page.
fn words(part: &str) -> BTreeSet<&str> {
    part.split('`').skip(1).step_by(2).collect()
}

/// The page from one heading to the next of its rank.
fn section(heading: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(&format!("\n{heading}\n")).expect(heading);
    let rank = heading.split(' ').next().unwrap();
    rest.split(&format!("\n{rank} ")).next().unwrap()
}

#[test]
fn metrics_are_those_of_the_source() {
    let registered: BTreeSet<&str> = ["register(\"", "register_with_unit(\"", "seconds(\""]
        .iter()
        .flat_map(|before| quoted(FAMILIES, before))
        .collect();
    assert!(10 < registered.len());
    let mut named = BTreeSet::new();
    for word in words(section("## Counters")) {
        let Some(metric) = word.strip_prefix("basilbank_") else { continue };
        let mut name = metric.split('{').next().unwrap();
        for ending in ENDINGS {
            name = name.strip_suffix(ending).unwrap_or(name);
        }
        named.insert(name);
    }
    assert_eq!(named, registered);
}

#[test]
fn reasons_are_named() {
    let words = words(section("## Counters"));
    let mut all: Vec<&str> = Vec::new();
    all.extend(Refusal::ALL.iter().map(|r| r.as_str()));
    all.extend(EdgeRefusal::ALL.iter().map(|r| r.as_str()));
    all.extend(Retry::ALL.iter().map(|r| r.as_str()));
    all.extend(Waste::ALL.iter().map(|r| r.as_str()));
    all.extend(Outcome::ALL.iter().map(|r| r.as_str()));
    all.extend(DropReason::ALL.iter().map(|r| r.as_str()));
    let missing: Vec<_> = all.iter().filter(|reason| !words.contains(*reason)).collect();
    assert!(missing.is_empty(), "not in the page: {missing:?}");
}

/// All text of the core's sources.
fn sources(dir: &Path, text: &mut String) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn notes_are_those_of_the_source() {
    let mut source = String::new();
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../basilbank_core/src"), &mut source);
    let (_, rest) = PAGE.split_once("Notes have the same name").unwrap();
    let table = rest.split("\n## ").next().unwrap();
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let named: BTreeSet<&str> = rows.collect();
    for name in &named {
        assert!(source.contains(&format!("\"{name}\"")), "{name} is not in the core");
    }
    for before in ["note(out, \"", "note(endpoint, \"", "Note { name: \""] {
        for name in quoted(&source, before) {
            assert!(named.contains(name), "{name} is not in the page's table of notes");
        }
    }
}
