//! Several daemons: a caller whose daemon died comes back through another one.

use std::time::{Duration, SystemTime};

use basilbank_standin::{Client, Faults, chat_prompt, expected_answer};
use rustix::process::Signal;
use ureq::{Body, http::Response};

use crate::harness::{
    DaemonProcess, patient_daemons, pause_after, set_faults, wait_all_free, wait_until,
};

/// Symptom: a draft is lost, or made a second time, when its daemon dies. Sequence: a daemon is
/// killed after seven tokens; the caller goes to another one with its last cursor. Cause: nothing of
/// the dead daemon is left but what the caller holds and what the engine does.
#[test]
fn a_draft_goes_on_through_another_daemon() {
    let (site, mut daemons) = patient_daemons(3);
    pause_after(&site, Some(7));
    let message = "a hall of shelves length=30";
    let mut stream = daemons[0].ready_client().stream(message, 50).unwrap();
    let mut texts: Vec<String> = stream.by_ref().take(7).map(Result::unwrap).collect();
    let cursor = stream.cursor.clone().unwrap();
    daemons[0].signal(Signal::KILL);
    daemons[0].wait_exit();
    pause_after(&site, None);
    let other = daemons[1].ready_client().with_header("last-event-id", &cursor);
    texts.extend(other.stream(message, 50).unwrap().rest().unwrap());
    assert_eq!(texts, expected_answer(&chat_prompt(message), 50));
    let started: u64 = site.decodes.iter().map(|engine| engine.counters().streams).sum();
    assert_eq!(started, 1);
}

/// Symptom: an order is placed twice. Sequence: the service runs it, its answer is lost, and the
/// caller sends it again through another daemon with the same key. Cause: only the voters of the key
/// know that it may have been run.
#[test]
fn a_repeated_order_is_not_run_through_another_daemon() {
    let (site, daemons) = patient_daemons(3);
    for service in &site.plains {
        service.set_faults(Faults { drop_answer: true, ..Faults::default() });
    }
    let key = timed_key();
    let first = send_claimed(&daemons[0], &key);
    assert_eq!(first.headers()["x-outcome"], "unknown");
    for service in &site.plains {
        service.set_faults(Faults::default());
    }
    let second = send_claimed(&daemons[1], &key);
    assert_eq!(second.headers()["x-outcome"], "unknown");
    let runs: usize = site.plains.iter().map(|service| service.count("one worktop")).sum();
    assert_eq!(runs, 1);
}

/// Symptom: engine memory stays taken for a draft that nobody reads. Sequence: a daemon is killed
/// while its stream is silent, and its caller does not come back. Cause: only the other daemons can
/// find the stream and see that its owner is gone.
#[test]
fn a_dead_daemons_stream_is_cancelled_by_the_others() {
    let (site, mut daemons) = patient_daemons(3);
    pause_after(&site, Some(2));
    let mut stream = daemons[0].ready_client().stream("a lost draft length=30", 50).unwrap();
    assert!(stream.next().unwrap().is_ok());
    daemons[0].signal(Signal::KILL);
    daemons[0].wait_exit();
    assert!(stream.any(|token| token.is_err()));
    wait_all_free(&site);
}

/// Symptom: a live caller's draft is cancelled or cut. Sequence: its daemon is stopped for a while
/// and goes on. Cause: to the others it looks dead; its stream must outlive a pause shorter than the
/// time after which nobody can be reading any more.
#[test]
fn a_paused_daemon_goes_on_with_its_draft() {
    let (site, daemons) = patient_daemons(3);
    pause_after(&site, Some(2));
    let message = "a slow draft length=30";
    let mut stream = daemons[0].ready_client().stream(message, 50).unwrap();
    let mut texts: Vec<String> = stream.by_ref().take(2).map(Result::unwrap).collect();
    daemons[0].signal(Signal::STOP);
    wait_until("another daemon misses it", || daemons[1].live_peers() == 2);
    daemons[0].signal(Signal::CONT);
    set_faults(&site.decodes, &Faults::default());
    texts.extend(stream.rest().unwrap());
    assert_eq!(texts, expected_answer(&chat_prompt(message), 50));
}

/// Places an order until its key is claimed; up to then it was not run.
fn send_claimed(daemon: &DaemonProcess, key: &str) -> Response<Body> {
    let client: Client = daemon.ready_client().with_header("idempotency-key", key);
    let mut answer = None;
    wait_until("the key is claimed", || {
        let sent = client.send("POST", "/desk/orders", "one worktop").unwrap();
        let is_claimed = sent.headers().get("x-outcome").is_none_or(|o| o != "not-run");
        answer = Some(sent);
        is_claimed
    });
    answer.unwrap()
}

/// A UUIDv7 from a clock that is a little ahead, as daemons allow: they have not voted for long, and
/// so know no key that was made before.
fn timed_key() -> String {
    let ahead = SystemTime::now() + Duration::from_millis(4900);
    let millis = ahead.duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
    format!("{:08x}-{:04x}-7000-8000-000000000001", millis >> 16, millis & 0xffff)
}
