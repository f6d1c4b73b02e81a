//! A daemon that is told to stop.

use basilbank_standin::{chat_prompt, expected_answer};
use rustix::process::Signal;

use crate::{
    common::{pause_after, wait_all_free, wait_until},
    rig::{Fleet, drafts_at_once},
};

/// Symptom: callers are cut off, or wait, when a VM is replaced. Sequence: SIGTERM comes to a daemon
/// that has streams and is the steward of endpoints. Cause: it has to finish the one and to hand the
/// other over at once, while it still runs.
#[test]
fn a_daemon_that_leaves_finishes_its_streams_and_hands_over() {
    let mut fleet = Fleet::start(3);
    let leaver = fleet.steward(0, "decode-0");
    let others: Vec<_> = (0..3).filter(|i| *i != leaver).collect();
    let messages: Vec<_> = (0..3).map(|i| format!("shelf {i} length=30")).collect();
    pause_after(&fleet.site, Some(4));
    let client = fleet.client(leaver);
    let begin = |message: &String| {
        let mut stream = client.stream(message, 50).unwrap();
        let texts: Vec<String> = stream.by_ref().take(4).map(Result::unwrap).collect();
        (stream, texts)
    };
    let streams: Vec<_> = messages.iter().map(begin).collect();
    fleet.daemons[leaver].signal(Signal::TERM);
    wait_until("new work is refused", || match client.send("POST", "/desk/orders", "late") {
        Ok(answer) => answer.status() == 503 && answer.headers()["x-outcome"] == "not-run",
        Err(_) => true,
    });
    fleet.wait_live(&others);
    for daemon in &others {
        let rows = fleet.rows(*daemon, "/admin/endpoints");
        assert!(!rows.is_empty());
        assert!(rows.iter().all(|row| row["steward"] != fleet.name(leaver)), "{rows:?}");
    }
    for daemon in &others {
        let client = fleet.client(*daemon);
        assert_eq!(client.send("GET", "/desk/stock/1", "").unwrap().status(), 200);
    }
    pause_after(&fleet.site, None);
    for ((stream, mut texts), message) in streams.into_iter().zip(&messages) {
        texts.extend(stream.rest().unwrap());
        assert_eq!(texts, expected_answer(&chat_prompt(message), 50));
    }
    let callers: Vec<_> = others.iter().map(|i| fleet.daemons[*i].callers).collect();
    drafts_at_once(&callers, "after the hand-over", 6);
    assert_eq!(fleet.daemons[leaver].wait_exit().code(), Some(0));
    assert!(fleet.daemons[leaver].logged("event=stopped"));
    wait_all_free(&fleet.site);
}
