//! What the store still has of the list's changes from before all daemons started.

use std::{sync::Arc, time::Duration};

use basilbank_forward::{
    prelude::*,
    state::history::{ListChange, Search},
};
use test_case::test_case;

use super::{AT_ONCE, LONG, Net, two_versions, versioned};
use crate::rig::{Rig, table};

/// An endpoint that served before.
fn record(name: &str) -> ListChange {
    (name.to_owned(), Some(versioned(name, 9, Stage::Decode)))
}

fn removal(name: &str) -> ListChange {
    (name.to_owned(), None)
}

/// A daemon that has just started beside one version, with all others.
fn restarted(history: Option<HistoryAnswer>) -> Net {
    let listed = two_versions().into_iter().filter(|info| info.version == "v1");
    let listed = listed.map(|info| EndpointInfo { start_time: Some(1), ..info });
    let mut rig = Rig::restarted();
    rig.history = history;
    rig.pass(LONG);
    rig.read(listed.collect());
    let mut net = Net::new(1, vec![]);
    net.rigs[0] = rig;
    net
}

/// Guards against a version that is forgotten, and against refusals where there was one.
#[test_case(vec![], true; "nothing has changed")]
#[test_case(vec![record("v2-x"), removal("v2-x")], false; "another version has gone")]
#[test_case(vec![record("v1-x"), removal("v1-x")], true; "an endpoint of its version has gone")]
#[test_case(vec![removal("x")], false; "an endpoint of an unknown version has gone")]
#[test_case(vec![record("v1-x"), removal("v1-x"), removal("v1-x")], false; "it has gone twice")]
#[test_case(vec![record("v2-a"), record("v1-a")], false; "an endpoint was another version")]
#[test_case(vec![removal("v1-a"), record("v1-a")], false; "an endpoint has come back under its id")]
fn the_store_tells_which_versions_served(history: Vec<ListChange>, goes_on: bool) {
    let mut net = restarted(Some(HistoryAnswer::Changes(history)));
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// Guards against streams of one version that are lost where the store has no history or fails, and
/// against a guess or a long wait while it may still answer.
#[test_case(Some(HistoryAnswer::Gone), true)]
#[test_case(Some(HistoryAnswer::Failed), true)]
#[test_case(None, false)]
fn a_store_that_tells_nothing(history: Option<HistoryAnswer>, goes_on: bool) {
    let mut net = restarted(history);
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// What has happened at a revision before the list was read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Past {
    /// Something that nothing tells of: an endpoint that came or went, another configuration.
    Unknown,
    /// The first configuration was written.
    Configured,
    /// The record of an endpoint was written, which had sent so many heartbeats by then.
    Listed { start: Option<u64>, heartbeats: u64 },
}

/// An endpoint that started long ago, and was listed at once.
const OLD: Past = Past::Listed { start: Some(1), heartbeats: 1 };

/// The same, whose record has changed lately.
const CHANGED: Past = Past::Listed { start: Some(1), heartbeats: 60 };

/// The same, that doesn't say when it started.
const UNSTATED: Past = Past::Listed { start: None, heartbeats: 1 };

/// Guards against a version that is forgotten as the store has dropped its history sooner than a
/// stream may last, and against refusals where the list itself proves that none has gone.
#[test_case(&[Past::Configured, UNSTATED, UNSTATED], 0, true; "all since the first configuration")]
#[test_case(&[Past::Configured, Past::Unknown, UNSTATED], 0, false; "one is unknown")]
#[test_case(&[Past::Configured, UNSTATED, Past::Unknown], 0, false; "the last one is unknown")]
#[test_case(&[Past::Configured, Past::Unknown, UNSTATED], 2, true; "the store has it")]
#[test_case(&[Past::Configured, Past::Unknown, UNSTATED], 1, false; "the store has the one after")]
#[test_case(&[Past::Unknown, Past::Configured, UNSTATED], 0, true; "before the first configuration")]
#[test_case(&[Past::Configured, Past::Unknown, OLD, UNSTATED], 0, true; "before an old record")]
#[test_case(&[Past::Configured, OLD, Past::Unknown, UNSTATED], 0, false; "after an old record")]
#[test_case(&[Past::Configured, Past::Unknown, CHANGED], 0, false; "before a recent change")]
fn a_store_that_has_dropped_its_history(past: &[Past], kept: u64, goes_on: bool) {
    let mut rig = Rig::restarted();
    rig.history = Some(HistoryAnswer::Changes(Vec::new()));
    rig.pass(2 * LONG);
    let first = 100;
    let at = |n: usize| ItemRevisions { created: first + n as u64, changed: first + n as u64 };
    let newest = first + past.len() as u64 - 1;
    rig.forgotten = newest - kept;
    let mut list = Vec::new();
    for (n, past) in past.iter().enumerate() {
        match *past {
            Past::Unknown => {}
            Past::Configured => {
                let mut table = table(2);
                table.revisions = at(n);
                let revisions = Revisions::at(newest);
                rig.feed(Event::RoutesRead { revisions, table: Some(Arc::new(table)) });
            }
            Past::Listed { start, heartbeats } => {
                let name = format!("v1-{n}");
                let info = versioned(&name, n as u16, Stage::Decode);
                let revisions = at(n);
                list.push(EndpointInfo { start_time: start, heartbeats, revisions, ..info });
            }
        }
    }
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(newest), list });
    let mut net = Net::new(1, vec![]);
    net.rigs[0] = rig;
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// Guards against changes of another history.
#[test]
fn changes_of_another_era_say_nothing() {
    let mut net = restarted(None);
    let id = net.rigs[0].resume("/draft/1", "again", "t");
    let answer = HistoryAnswer::Changes(vec![removal("x")]);
    net.rigs[0].feed(Event::HistoryRead { era: Some(7), answer });
    net.pass(AT_ONCE);
    assert!(!net.run(0, id).is_empty());
}

/// Guards against an endpoint that goes after the daemon has read the list, and whose version it knows.
#[test]
fn an_endpoint_that_has_gone_since_the_start_is_known() {
    let mut net = restarted(Some(HistoryAnswer::Changes(vec![removal("v1-b")])));
    net.rigs[0].change(vec![], &["v1-b"]);
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert!(!attempts.is_empty(), "{refusals:?}");
}

/// Guards against changes that are not read, and against too many reads.
#[test]
fn the_search_finds_all_changes_that_the_store_has() {
    for newest in 1..=300 {
        for forgotten in 0..=newest {
            let mut search = Search::new(Revision::from(newest));
            let mut reads = 0;
            loop {
                reads += 1;
                let after = search.after();
                let changes =
                    (after + 1..=newest).map(|revision| record(&format!("v1-{revision}")));
                if !search.handle((forgotten <= after).then(|| changes.collect())) {
                    break;
                }
            }
            let found = search.into_changes().len() as u64;
            assert_eq!(found, newest - forgotten, "{forgotten} of {newest}");
            assert!(reads <= 12, "{forgotten} of {newest}: {reads}");
        }
    }
}

/// Guards against a store that is asked by each call, or for ever.
#[test]
fn the_store_is_asked_once() {
    let mut net = restarted(Some(HistoryAnswer::Failed));
    net.rigs[0].history = None;
    let reads = |net: &mut Net, id: &str| {
        let _ = net.rigs[0].resume("/draft/1", id, "t");
        net.rigs[0].pass(Duration::from_millis(10));
        let effects = std::mem::take(&mut net.rigs[0].effects);
        effects.iter().filter(|effect| matches!(effect, Effect::ReadHistory { .. })).count()
    };
    assert_eq!([reads(&mut net, "a"), reads(&mut net, "b")], [1, 0]);
    net.rigs[0].feed(Event::HistoryRead { era: None, answer: HistoryAnswer::Failed });
    assert_eq!(reads(&mut net, "c"), 0);
    net.rigs[0].pass(Duration::from_secs(1));
    assert_eq!(reads(&mut net, "d"), 1);
}

/// Guards against an endpoint that has started again under its id with another version, and doesn't
/// say when.
#[test_case(Some(50_000), true; "that states its start")]
#[test_case(None, false; "that states none")]
fn a_record_that_was_written_twice(start_time: Option<u64>, goes_on: bool) {
    let mut rig = Rig::restarted();
    rig.history = Some(HistoryAnswer::Changes(Vec::new()));
    rig.pass(4 * LONG);
    let mut table = table(2);
    table.revisions = ItemRevisions { created: 100, changed: 100 };
    let read = Revisions::at(102);
    rig.feed(Event::RoutesRead { revisions: read, table: Some(Arc::new(table)) });
    rig.forgotten = 102;
    let revisions = ItemRevisions { created: 101, changed: 102 };
    let info = versioned("v1-a", 1, Stage::Decode);
    let info = EndpointInfo { start_time, heartbeats: 60, revisions, ..info };
    rig.feed(Event::EndpointsRead { revisions: read, list: vec![info] });
    let mut net = Net::new(1, vec![]);
    net.rigs[0] = rig;
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}
