//! The steward of engines is stopped and goes on.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use basilbank_standin::{CALLER_KEY, ENTRY, Engine, EngineSpec, Faults, SiteSpec};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::{
    common::{set_faults, wait_all_free, wait_until},
    load::Load,
    rig::{Fleet, patient_engine, patient_spec},
};

/// Callers at once: twice as many as there are decode slots.
const CALLERS: usize = 8;
/// Longest wait for an answer.
const ANSWER: Duration = Duration::from_secs(30);

/// What an engine has loaded.
fn loaded(engine: &Engine) -> Value {
    let url = format!("http://{}/load", engine.address());
    let text = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Calls that decode engines refused: each is one more than the slots they have, or met an engine that
/// loaded something else.
fn refused(fleet: &Fleet) -> u64 {
    fleet.site.decodes.iter().map(|engine| engine.counters().refused).sum()
}

/// Orders that engines took.
fn orders(fleet: &Fleet) -> u64 {
    let engines = fleet.site.prefills.iter().chain(&fleet.site.decodes);
    engines.map(|engine| engine.counters().orders).sum()
}

/// Sends a draft that a stopped daemon will find in its socket.
fn send_draft(callers: SocketAddr, prompt: &str) -> TcpStream {
    let mut caller = TcpStream::connect(callers).unwrap();
    caller.set_read_timeout(Some(ANSWER)).unwrap();
    let body = json!({ "model": ENTRY, "prompt": prompt }).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
         Connection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all((head + &body).as_bytes()).unwrap();
    caller
}

/// Symptom: after a pause of one daemon, engines refuse decodes whose prefills were already paid for,
/// or load an old version again. Sequence: the steward of two full engines is stopped in the middle of
/// a roll, for longer than the others wait for it; they take over, and the operators roll once more;
/// the steward goes on, with calls in its socket. Cause: it still believes that it decides, with the
/// ledgers, the orders and the catalogue of before.
#[test]
fn a_steward_that_was_stopped_neither_over_commits_nor_gives_old_orders() {
    let engine = EngineSpec { slots: 2, ..patient_engine() };
    let fleet = Fleet::with(3, &SiteSpec { engine, ..patient_spec() }, |_| ());
    let steward = fleet.steward(0, "decode-0");
    assert_eq!(fleet.steward(0, "decode-1"), steward);
    let others: Vec<_> = (0..3).filter(|i| *i != steward).collect();
    let load = Load::default();
    *load.callers.lock().unwrap() = others.iter().map(|i| fleet.daemons[*i].callers).collect();
    let engines = || fleet.site.prefills.iter().chain(&fleet.site.decodes);
    let put_version = |version: &str| {
        let mut catalogue = fleet.site.catalogue();
        catalogue["models"][0]["version"] = version.into();
        fleet.site.platform.put("catalogue/site", &catalogue.to_string())
    };
    // Nothing but the steward itself holds an old order back.
    let ignores = Faults { ignore_fence: true, ..Faults::default() };
    set_faults(&fleet.site.prefills, &ignores);
    set_faults(&fleet.site.decodes, &ignores);
    thread::scope(|scope| {
        let _running = load.start(scope, CALLERS);
        load.wait_served(3 * CALLERS);
        put_version("2");
        wait_until("a roll begins", || fleet.daemons[steward].logged("event=order_drain"));
        fleet.daemons[steward].signal(Signal::STOP);
        let revision = put_version("3");
        fleet.wait_live(&others);
        load.wait_served(3 * CALLERS);
        wait_until("the engines are rolled", || engines().all(|e| loaded(e)["version"] == "3"));
        let before = orders(&fleet);
        let prompts: Vec<_> = (0..CALLERS).map(|i| format!("waited {i} length=10")).collect();
        let send = |prompt: &String| send_draft(fleet.daemons[steward].callers, prompt);
        let waited: Vec<_> = prompts.iter().map(send).collect();
        fleet.daemons[steward].signal(Signal::CONT);
        for mut caller in waited {
            let mut answer = String::new();
            caller.read_to_string(&mut answer).unwrap();
            let is_refused = answer.to_lowercase().contains("x-outcome: not-run");
            assert!(is_refused || answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        fleet.wait_live(&[0, 1, 2]);
        fleet.wait_revision(&[steward], revision);
        load.wait_served(3 * CALLERS);
        assert_eq!(fleet.steward(others[0], "decode-0"), steward);
        assert!(engines().all(|e| loaded(e)["version"] == "3"));
        assert_eq!(orders(&fleet), before, "there was nothing left to order");
    });
    let cut: u64 = engines().map(|e| e.counters().cut).sum();
    assert_eq!((cut, refused(&fleet)), (0, 0), "requests cut off by orders, and refused");
    wait_all_free(&fleet.site);
}
