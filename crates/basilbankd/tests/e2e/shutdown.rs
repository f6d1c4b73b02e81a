//! Signals to the real process.

use basilbank_standin::{chat_prompt, expected_answer};
use rustix::process::Signal;

use crate::harness::{patient_daemon, pause_after, wait_until};

/// Symptom: a draft is cut off by an update of the daemon. Sequence: SIGTERM arrives while a stream
/// is half way. Cause: the process must outlive all that it has accepted.
#[test]
fn sigterm_cuts_nothing_and_exits_with_success() {
    let (site, mut daemon, client) = patient_daemon();
    pause_after(&site, Some(4));
    let mut stream = client.stream("a long shelf length=30", 50).unwrap();
    let mut texts: Vec<String> = stream.by_ref().take(4).map(Result::unwrap).collect();
    daemon.signal(Signal::TERM);
    wait_until("the daemon shuts down", || daemon.logged("event=shutdown"));
    pause_after(&site, None);
    texts.extend(stream.rest().unwrap());
    assert_eq!(texts, expected_answer(&chat_prompt("a long shelf length=30"), 50));
    assert_eq!(daemon.wait_exit().code(), Some(0));
    assert!(daemon.logged("event=stopped"));
}

/// Symptom: callers that come during a shutdown wait for nothing. Sequence: SIGTERM arrives, then a
/// new call. Cause: it has to be refused as not run, or not be connected at all.
#[test]
fn new_work_is_refused_after_sigterm() {
    let (site, daemon, client) = patient_daemon();
    pause_after(&site, Some(4));
    let mut stream = client.stream("a long shelf length=30", 50).unwrap();
    assert!(stream.next().unwrap().is_ok());
    daemon.signal(Signal::TERM);
    wait_until("new work is refused", || match client.send("POST", "/desk/orders", "late") {
        Ok(answer) => answer.status() == 503 && answer.headers()["x-outcome"] == "not-run",
        Err(_) => true,
    });
    let url = format!("http://{}/readyz", daemon.admin);
    wait_until("it says that it is not ready", || {
        matches!(ureq::get(&url).call(), Err(ureq::Error::StatusCode(503)))
    });
    pause_after(&site, None);
    assert_eq!(stream.rest().unwrap().len(), 29);
}

/// Symptom: an operator can't end a daemon whose stream never ends. Sequence: SIGTERM arrives twice
/// while an engine is silent. Cause: the second one means now, and what it cut is said.
#[test]
fn a_second_sigterm_exits_at_once() {
    let (site, mut daemon, client) = patient_daemon();
    pause_after(&site, Some(4));
    let mut stream = client.stream("a long shelf length=30", 50).unwrap();
    assert!(stream.next().unwrap().is_ok());
    daemon.signal(Signal::TERM);
    wait_until("the daemon shuts down", || daemon.logged("event=shutdown"));
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.wait_exit().code(), Some(1));
    wait_until("it says what it cut", || daemon.logged("event=cut requests=1"));
    assert!(stream.rest().is_err());
}
