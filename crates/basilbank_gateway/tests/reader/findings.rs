//! Entries of the store that can't be used: what is counted, and what is told.

use std::{cell::Cell, rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_gateway::{Finding, Findings, ReadError, Reading};
use tokio::time::sleep;

use crate::rig::{Rig, at_once, in_virtual_time, list, silence};

fn finding(key: &str, revision: u64) -> Finding {
    Finding::new(key, revision, "no_json", "")
}

/// A page with one good endpoint and the findings, whose next page begins at `next`.
fn page(findings: &[Finding], next: Option<&str>) -> Reading {
    let next = next.map(str::to_owned);
    Reading { findings: findings.to_vec(), next, ..list(10, &["a"]) }
}

fn counted(rig: &Rig) -> Option<String> {
    let text = rig.router.metrics.text();
    let name = "basilbank_forward_unusable_entries_total{reason=\"no_json\"} ";
    text.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned))
}

/// Symptom: the counter of unusable entries rose for hours, though there was one.
/// Sequence: an entry is unusable, and the history is forgotten again and again, so that it is read
/// with all others each time.
/// Cause: each reading counted what it held.
#[test]
fn a_version_of_an_entry_counts_once_however_often_it_is_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let pages = Rc::new(Cell::new(0));
        let read = Rc::clone(&pages);
        rig.read(Topic::Endpoints, move |query, _| match query.scope {
            Scope::Page { .. } => {
                read.set(read.get() + 1);
                at_once(Ok(page(&[finding("servers/b", 9), finding("servers/c", 8)], None)))
            }
            Scope::Changes { .. } => at_once(Err(ReadError::HistoryGone)),
        });
        sleep(Duration::from_secs(10)).await;
        assert!(10 <= pages.get(), "{} pages", pages.get());
        assert_eq!(counted(&rig).as_deref(), Some("2"));
        assert_eq!(rig.listed(), ["a"]);
    });
}

/// Symptom: the store was asked hundreds of times a second.
/// Sequence: another writer keeps writing an entry that can't be read, its revision neither.
/// Cause: a change without a revision did not count as one, and was not followed by a pause.
#[test]
fn changes_that_cant_be_used_are_followed_by_a_pause() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.read(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => at_once(Ok(list(10, &["a"]))),
            // No time passes while a reader asks without a pause.
            Scope::Changes { after: 1000.., .. } => silence(),
            Scope::Changes { after, .. } => {
                let mut reading = Reading { findings: vec![finding("", 0)], ..Reading::default() };
                reading.at.store = (after + 1).into();
                at_once(Ok(reading))
            }
        });
        sleep(Duration::from_secs(10)).await;
        assert!(rig.watches() <= 21, "{} watches in ten seconds", rig.watches());
    });
}

/// Symptom: the log's other lines were dropped.
/// Sequence: a list is full of entries that can't be used.
/// Cause: there was a line for each.
#[test]
fn a_reading_writes_some_lines_and_one_that_counts_the_rest() {
    let mut findings = Findings::default();
    let mut told = |revision| {
        let new = (0..500).map(|n| finding(&format!("servers/{n}"), revision));
        let new: Vec<_> = new.filter(|finding| findings.is_new(finding)).collect();
        let lines: Vec<_> = new.iter().filter_map(|finding| findings.line(finding)).collect();
        let first = lines.first().map(|line| format!("{} {}", line.event(), line.detail()));
        let rest = findings.end().map(|line| format!("{} {}", line.event(), line.detail()));
        (lines.len(), first, rest)
    };
    let first = "unusable_entry key=servers/0 revision=7 reason=no_json detail=\"\"".to_owned();
    let rest = "unusable_entries_more count=480".to_owned();
    assert_eq!(told(7), (20, Some(first), Some(rest.clone())));
    assert_eq!(told(7), (0, None, None));
    let (lines, _, more) = told(8);
    assert_eq!((lines, more), (20, Some(rest)));
}

/// Symptom: a daemon's memory grew with each entry that another writer invented.
/// Sequence: more keys than are remembered.
/// Cause: what was told was kept for ever, or with all of its text.
#[test]
fn what_was_told_is_forgotten_at_last() {
    let mut findings = Findings::default();
    assert!(findings.is_new(&finding("servers/a", 1)));
    (0..1023).for_each(|n| assert!(findings.is_new(&finding(&format!("servers/{n}"), 1))));
    assert!(!findings.is_new(&finding("servers/a", 1)));
    assert!(findings.is_new(&finding("servers/one-more", 1)));
    assert!(findings.is_new(&finding("servers/a", 1)), "it was the oldest");
    let long = Finding::new(&"å".repeat(1000), 1, "unknown_key", &"x".repeat(1000));
    assert_eq!((long.key.len(), long.detail.len()), (200, 200));
}
