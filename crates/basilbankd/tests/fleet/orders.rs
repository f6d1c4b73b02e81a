//! Stock orders with an idempotency key through several daemons.

use std::{sync::Barrier, thread, time::Duration};

use basilbank_standin::{Client, Faults};
use rustix::process::Signal;
use serde_json::Value;
use test_case::test_case;

use crate::{
    common::wait_until,
    rig::{Fleet, new_key},
};

const ORDERS: &str = "/desk/orders";

/// What a caller was told.
#[derive(PartialEq, Eq, Debug)]
struct Told {
    status: u16,
    /// The header that says what became of the call; empty for an answer of the service.
    outcome: String,
    code: String,
}

/// Sends an order; `None` when no answer came.
fn order(client: &Client, body: &str) -> Option<Told> {
    let mut answer = client.send("POST", ORDERS, body).ok()?;
    let text = answer.body_mut().read_to_string().ok()?;
    let json: Value = serde_json::from_str(&text).unwrap_or_default();
    let outcome = answer.headers().get("x-outcome").and_then(|v| v.to_str().ok());
    Some(Told {
        status: answer.status().as_u16(),
        outcome: outcome.unwrap_or_default().to_owned(),
        code: json["error"]["code"].as_str().unwrap_or_default().to_owned(),
    })
}

fn keyed(fleet: &Fleet, daemon: usize, key: &str) -> Client {
    fleet.client(daemon).with_header("idempotency-key", key)
}

fn runs(fleet: &Fleet, body: &str) -> usize {
    fleet.site.plains.iter().map(|service| service.count(body)).sum()
}

fn set_late(fleet: &Fleet, late: Duration) {
    let faults = Faults { late, ..Faults::default() };
    fleet.site.plains.iter().for_each(|service| service.set_faults(faults.clone()));
}

/// A retry by the caller's word: through any daemon, until the answer is not a refusal of this call.
fn retry(fleet: &Fleet, daemons: &[usize], key: &str, body: &str) -> Told {
    let mut told = None;
    let mut turn = 0;
    wait_until("the retry is answered", || {
        let daemon = daemons[turn % daemons.len()];
        turn += 1;
        told = order(&keyed(fleet, daemon, key), body);
        told.as_ref().is_some_and(|t| t.outcome != "not-run" && t.code != "key_unclaimed")
    });
    told.unwrap()
}

/// Symptom: two worktops are ordered. Sequence: the service runs an order; before its answer the
/// daemon is killed or stopped; the caller sends the order again, with its key, through the others;
/// a stopped daemon goes on. Cause: the run is known to nobody but the voters of the key.
#[test_case(Signal::KILL; "killed")]
#[test_case(Signal::STOP; "stopped")]
fn an_order_whose_daemon_is_gone_is_not_run_again(signal: Signal) {
    let fleet = Fleet::start(4);
    set_late(&fleet, Duration::from_secs(3));
    let (key, body) = (new_key(1), "one worktop");
    let first = keyed(&fleet, 0, &key);
    thread::scope(|scope| {
        let first = scope.spawn(|| order(&first, body));
        wait_until("the service runs it", || runs(&fleet, body) == 1);
        fleet.daemons[0].signal(signal);
        for daemon in [1, 2, 3] {
            let told = retry(&fleet, &[daemon], &key, body);
            assert_eq!((told.status, told.outcome.as_str()), (409, "unknown"), "{told:?}");
        }
        if signal == Signal::STOP {
            fleet.daemons[0].signal(Signal::CONT);
            let told = first.join().unwrap().unwrap();
            assert!(told.status == 201 || told.outcome == "unknown", "{told:?}");
            wait_until("the others know that it has ended", || {
                retry(&fleet, &[1], &key, body).code == "unknown"
            });
            fleet.wait_live(&[0, 1, 2, 3]);
        } else {
            assert_eq!(first.join().unwrap(), None);
        }
    });
    assert_eq!(retry(&fleet, &[1, 2, 3], &key, body).outcome, "unknown");
    assert_eq!(runs(&fleet, body), 1);
}

/// Symptom: two worktops are ordered. Sequence: a daemon is stopped with an order in its socket that
/// it has not read; the caller's retry through another daemon runs; the first one goes on and reads
/// the order. Cause: to it the order looks new.
#[test]
fn an_order_that_waited_in_a_stopped_daemon_is_not_run_again() {
    let fleet = Fleet::start(3);
    let (key, body) = (new_key(1), "one sink");
    let first = keyed(&fleet, 0, &key);
    fleet.daemons[0].signal(Signal::STOP);
    thread::scope(|scope| {
        let first = scope.spawn(|| order(&first, body));
        // A refused retry holds the key until its voters have heard that it was not run.
        let mut told = None;
        wait_until("no other retry has the key", || {
            told = Some(retry(&fleet, &[1, 2], &key, body));
            told.as_ref().is_some_and(|t| t.code != "key_running")
        });
        let told = told.unwrap();
        assert_eq!(told.status, 201, "{told:?}");
        fleet.daemons[0].signal(Signal::CONT);
        let told = first.join().unwrap().unwrap();
        assert_ne!(told.status, 201);
    });
    fleet.wait_live(&[0, 1, 2]);
    assert_eq!(retry(&fleet, &[0], &key, body).code, "unknown");
    assert_eq!(runs(&fleet, body), 1);
}

/// Symptom: two worktops are ordered. Sequence: a caller's order and its impatient repeats come
/// through three daemons at the same moment. Cause: each could find the key free.
#[test]
fn an_order_through_three_daemons_at_once_runs_once() {
    let fleet = Fleet::start(3);
    for round in 0..20 {
        let (key, body) = (new_key(round), format!("order {round}"));
        let start = Barrier::new(3);
        let told: Vec<_> = thread::scope(|scope| {
            let callers = [0, 1, 2].map(|daemon| {
                let client = keyed(&fleet, daemon, &key);
                let (start, body) = (&start, &body);
                scope.spawn(move || {
                    start.wait();
                    order(&client, body).unwrap()
                })
            });
            callers.map(|caller| caller.join().unwrap()).into()
        });
        let done = told.iter().filter(|t| t.status == 201).count();
        assert!(done <= 1, "{told:?}");
        assert_eq!(runs(&fleet, &body), done, "{told:?}");
        if done == 0 {
            assert_eq!(retry(&fleet, &[0, 1, 2], &key, &body).status, 201, "{told:?}");
        }
        assert_eq!(runs(&fleet, &body), 1);
    }
}
