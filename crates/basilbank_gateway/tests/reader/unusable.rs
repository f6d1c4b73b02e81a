//! Unusable records of the store: which are counted, and which are logged.

use std::{cell::Cell, rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_gateway::{ReadError, Reading, UnusableRecord, UnusableRecordLog};
use tokio::time::sleep;

use crate::rig::{Rig, immediately, in_virtual_time, list, no_answer};

fn record(key: &str, revision: u64) -> UnusableRecord {
    UnusableRecord::new(key, revision, "no_json", "")
}

/// A page with one valid endpoint and unusable records; the next page begins at `next`.
fn page(records: &[UnusableRecord], next: Option<&str>) -> Reading {
    let next = next.map(str::to_owned);
    Reading { unusable: records.to_vec(), next_page: next, ..list(10, &["a"]) }
}

fn unusable_count(rig: &Rig) -> Option<String> {
    let text = rig.router.metrics.encode_text();
    let name = "basilbank_forward_unusable_entries_total{reason=\"no_json\"} ";
    text.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned))
}

/// The counter of unusable records rose for hours although there was one such record. The store
/// dropped its history again and again, so that the record was read with all others each time, and
/// each read counted it.
#[test]
fn unusable_record_version_is_counted_once() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let pages = Rc::new(Cell::new(0));
        let read = Rc::clone(&pages);
        rig.start_reader(Topic::Endpoints, move |query, _| match query.scope {
            Scope::Page { .. } => {
                read.set(read.get() + 1);
                immediately(Ok(page(&[record("servers/b", 9), record("servers/c", 8)], None)))
            }
            Scope::Changes { .. } => immediately(Err(ReadError::HistoryGone)),
        });
        sleep(Duration::from_secs(10)).await;
        assert!(10 <= pages.get(), "{} pages", pages.get());
        assert_eq!(unusable_count(&rig).as_deref(), Some("2"));
        assert_eq!(rig.listed(), ["a"]);
    });
}

/// The store was read hundreds of times a second. Another writer kept writing a record that can't
/// be read, nor can its revision: a change without a revision did not count as a change, and was
/// not followed by a pause.
#[test]
fn unusable_changes_are_followed_by_a_pause() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            // No virtual time passes while a reader reads without a pause, so the read stays
            // unanswered here.
            Scope::Changes { after: 1000.., .. } => no_answer(),
            Scope::Changes { after, .. } => {
                let mut reading = Reading { unusable: vec![record("", 0)], ..Reading::default() };
                reading.revisions.store = (after + 1).into();
                immediately(Ok(reading))
            }
        });
        sleep(Duration::from_secs(10)).await;
        assert!(rig.watches() <= 21, "{} watches in ten seconds", rig.watches());
    });
}

/// Other lines of the log were dropped because a list full of unusable records led to one line for
/// each.
#[test]
fn log_lines_of_one_read_are_limited() {
    let mut record_log = UnusableRecordLog::default();
    let mut log_read = |revision| {
        let new = (0..500).map(|n| record(&format!("servers/{n}"), revision));
        let new: Vec<_> = new.filter(|record| record_log.is_new(record)).collect();
        let lines: Vec<_> = new.iter().filter_map(|record| record_log.log_line(record)).collect();
        let first = lines.first().map(|line| format!("{} {}", line.event(), line.detail()));
        let rest =
            record_log.finish_read().map(|line| format!("{} {}", line.event(), line.detail()));
        (lines.len(), first, rest)
    };
    let first = "unusable_entry key=servers/0 revision=7 reason=no_json detail=\"\"".to_owned();
    let rest = "unusable_entries_more count=480".to_owned();
    assert_eq!(log_read(7), (20, Some(first), Some(rest.clone())));
    assert_eq!(log_read(7), (0, None, None));
    let (lines, _, suppressed) = log_read(8);
    assert_eq!((lines, suppressed), (20, Some(rest)));
}

/// A daemon's memory grew with each record that another writer invented: logged keys were kept for
/// ever, or with their full text.
#[test]
fn remembered_keys_are_bounded() {
    let mut record_log = UnusableRecordLog::default();
    assert!(record_log.is_new(&record("servers/a", 1)));
    (0..1023).for_each(|n| assert!(record_log.is_new(&record(&format!("servers/{n}"), 1))));
    assert!(!record_log.is_new(&record("servers/a", 1)));
    assert!(record_log.is_new(&record("servers/one-more", 1)));
    assert!(record_log.is_new(&record("servers/a", 1)), "it was the oldest");
    let long = UnusableRecord::new(&"å".repeat(1000), 1, "unknown_key", &"x".repeat(1000));
    assert_eq!((long.key.len(), long.detail.len()), (200, 200));
}
