//! Calls to plain services.

use basilbank_standin::Faults;
use serde_json::Value;

use crate::harness::patient_daemon;

#[test]
fn a_plain_call_is_passed_on() {
    let (site, _daemon, client) = patient_daemon();
    let mut answer = client.send("PUT", "/desk/sheets/7?unit=mm", "600x720").unwrap();
    let request = answer.headers()["x-request-id"].to_str().unwrap().to_owned();
    let echo: Value = serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap();
    assert_eq!(echo["method"], "PUT");
    assert_eq!(echo["target"], "/desk/sheets/7?unit=mm");
    assert_eq!(echo["body"], "600x720");
    let names: Vec<&str> =
        echo["headers"].as_array().unwrap().iter().map(|pair| pair[0].as_str().unwrap()).collect();
    assert!(!names.contains(&"authorization"), "{names:?}");
    let runs: Vec<_> = site.plains.iter().flat_map(|service| service.runs()).collect();
    assert_eq!((runs.len(), &runs[0].request), (1, &request));
}

/// Symptom: an order is placed twice. Sequence: a service runs a POST and its connection breaks
/// before the answer. Cause: the order may have been run, so it must not be sent again, and the
/// caller must not be told that it was not.
#[test]
fn an_order_whose_answer_is_lost_is_not_run_again() {
    let (site, _daemon, client) = patient_daemon();
    for service in &site.plains {
        service.set_faults(Faults { drop_answer: true, ..Faults::default() });
    }
    let answer = client.send("POST", "/desk/orders", "one worktop").unwrap();
    assert!(answer.status().is_server_error());
    assert_eq!(answer.headers()["x-outcome"], "unknown");
    let runs: usize = site.plains.iter().map(|service| service.count("one worktop")).sum();
    assert_eq!(runs, 1);
}

/// Symptom: an order fails although a replica could take it. Sequence: the first replica answers
/// that it did not run it. Cause: that is a proof, so another replica may be asked.
#[test]
fn an_order_that_one_replica_refuses_runs_at_the_other() {
    let (site, _daemon, client) = patient_daemon();
    site.plains[0].set_faults(Faults { leaving: true, ..Faults::default() });
    for order in ["a", "b", "c", "d"] {
        let answer = client.send("POST", "/desk/orders", order).unwrap();
        assert_eq!(answer.status(), 201);
        assert_eq!((site.plains[0].count(order), site.plains[1].count(order)), (0, 1));
    }
}

/// Symptom: a caller hears "not run" of an order that was run, or nothing at all. Sequence: all
/// replicas refuse. Cause: only when each one proved that it did not run it is it not run.
#[test]
fn an_order_that_all_replicas_refuse_was_not_run() {
    let (site, _daemon, client) = patient_daemon();
    for service in &site.plains {
        service.set_faults(Faults { full: true, ..Faults::default() });
    }
    let answer = client.send("POST", "/desk/orders", "one sink").unwrap();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()["x-outcome"], "not-run");
    assert!(site.plains.iter().all(|service| service.count("one sink") == 0));
}
