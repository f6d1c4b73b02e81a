//! When a read is abandoned, and which read follows.

use std::{cell::Cell, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_gateway::{ReadError, Reading};
use tokio::time::sleep;

use crate::rig::{
    Rig, configuration, delayed, immediately, in_chunks, in_virtual_time, list, no_answer,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A confirmed route was denied for as long as the store kept its history. A peer had read a
/// change, and this daemon's answer took ten seconds over its link: the watch was dropped 0.3 s
/// after the peer's report although its answer was arriving. The daemon's link was full for 0.3 s
/// of each 1.1 s, and the watch's revision stayed the same.
#[test]
fn slow_changes_are_kept_despite_peer_gossip() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |_, _| immediately(Ok(list(10, &["a"]))));
        rig.start_reader(Topic::Routes, |query, progress| match query.scope {
            Scope::Page { .. } => immediately(Ok(configuration(10, 1))),
            Scope::Changes { after: 10, .. } => {
                in_chunks(progress, 100, 1500, ms(100), Ok(configuration(20, 2)))
            }
            Scope::Changes { .. } => no_answer(),
        });
        rig.send_gossip(Topic::Routes, 20, ms(11_000)).await;
        assert_eq!(rig.router.read(|state| state.routes.version), 2);
    });
}

/// A daemon discarded an answer and read again after its process had paused. A peer reported a
/// change, the process paused beyond the timeout, and the answer in its socket was received just
/// after it resumed: timeouts were checked before received data.
#[test]
fn answer_waiting_in_the_socket_at_the_timeout_is_used() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { after: 10, .. } => delayed(ms(310), Ok(list(20, &["a", "b"]))),
            Scope::Changes { .. } => no_answer(),
        });
        sleep(ms(1)).await;
        rig.send_gossip(Topic::Endpoints, 20, ms(500)).await;
        assert_eq!((rig.watches(), rig.listed().len()), (1, 2));
    });
}

/// A watch never ended if its answer arrived one byte at a time: each byte counted as progress.
#[test]
fn dripping_answer_is_abandoned() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |query, progress| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { .. } => {
                in_chunks(progress, usize::MAX, 1, ms(100), Ok(Reading::default()))
            }
        });
        sleep(ms(10_000)).await;
        assert!(3 <= rig.watches(), "{:?}", rig.queries());
    });
}

/// A slow store was read again and again, and none of its answers was awaited. A peer had reported
/// a change, and the store needed two seconds for each answer: the timeout after a peer's report
/// never grew.
#[test]
fn slow_store_is_eventually_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { after: 10, .. } => delayed(ms(2000), Ok(list(20, &["a", "b"]))),
            Scope::Changes { .. } => no_answer(),
        });
        rig.send_gossip(Topic::Endpoints, 20, ms(9000)).await;
        assert_eq!(rig.listed(), ["a", "b"]);
    });
}

/// The list was never read completely, and pages before a failed one were paid for again. A page in
/// the middle failed, and everything was read again from the first: all pages were one read, which
/// was less likely to succeed the longer the list was.
#[test]
fn failed_page_is_retried_without_the_pages_before_it() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let failed = Cell::new(false);
        rig.start_reader(Topic::Endpoints, move |query, _| match &query.scope {
            Scope::Page { page_token: from } => immediately(match from.as_str() {
                "" => Ok(Reading { next_page: Some("1".to_owned()), ..list(10, &["a"]) }),
                "1" if !failed.replace(true) => Err(ReadError::Failed("status 503".to_owned())),
                "1" => Ok(Reading { next_page: Some("2".to_owned()), ..list(10, &["a", "b"]) }),
                _ => Ok(Reading {
                    revisions: Revisions { store: 14.into(), latest_change: 9.into() },
                    ..list(0, &["a", "b", "c"])
                }),
            }),
            Scope::Changes { after, .. } => {
                assert_eq!(*after, 10, "changes since the first page are read after it");
                no_answer()
            }
        });
        sleep(ms(1000)).await;
        assert_eq!(rig.listed(), ["a", "b", "c"]);
        assert_eq!(rig.queries().len(), 5, "{:?}", rig.queries());
    });
}

/// A daemon called the store without a pause. This happens if the store changes more at each moment
/// than all its records together, so that changes are too long, or if it drops its history all the
/// time: both lead to a full read at once.
#[test]
fn unavailable_changes_are_retried_with_a_pause() {
    for error in [ReadError::TooLong, ReadError::HistoryGone] {
        in_virtual_time(|| async move {
            let rig = Rig::new();
            rig.start_reader(Topic::Endpoints, move |query, _| match query.scope {
                Scope::Page { .. } => delayed(ms(5), Ok(list(10, &["a"]))),
                Scope::Changes { .. } => delayed(ms(5), Err(error.clone())),
            });
            sleep(ms(10_000)).await;
            let calls = rig.queries().len();
            assert!((20..=42).contains(&calls), "{calls} calls in ten seconds");
        });
    }
}

/// The maximum size of a watch's answer depends on the size of the last full read.
#[test]
fn changes_limit_is_twice_the_full_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Routes, |query, progress| match query.scope {
            Scope::Page { .. } => in_chunks(progress, 10, 50_000, ms(1), Ok(configuration(10, 1))),
            Scope::Changes { .. } => no_answer(),
        });
        sleep(ms(1000)).await;
        let (_, watch) = rig.queries().pop().expect("a watch");
        assert_eq!(watch.max_bytes, 1_000_000);
    });
}
