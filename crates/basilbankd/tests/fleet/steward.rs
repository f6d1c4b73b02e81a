//! The steward of engines is stopped and goes on.

use std::thread;

use basilbank_standin::{Engine, EngineSpec, Faults, SiteSpec};
use rustix::process::Signal;
use serde_json::Value;

use crate::{
    common::{set_faults, wait_all_free, wait_until},
    load::Load,
    rig::{Fleet, patient_engine, patient_spec},
};

/// Callers at once: twice as many as there are decode slots.
const CALLERS: usize = 8;

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

/// Symptom: after a pause of one daemon, engines refuse decodes whose prefills were already paid for,
/// or load an old version again. Sequence: the steward of two full engines is stopped for longer than
/// the others wait for it; they take over; the operators roll the model; the steward goes on. Cause:
/// it still believes that it decides, with the ledgers and the catalogue of before.
#[test]
fn a_steward_that_was_stopped_neither_over_commits_nor_gives_old_orders() {
    let engine = EngineSpec { slots: 2, ..patient_engine() };
    let fleet = Fleet::with(3, &SiteSpec { engine, ..patient_spec() }, |_| ());
    let steward = fleet.steward(0, "decode-0");
    let others: Vec<_> = (0..3).filter(|i| *i != steward).collect();
    let load = Load::default();
    *load.callers.lock().unwrap() = others.iter().map(|i| fleet.daemons[*i].callers).collect();
    thread::scope(|scope| {
        let _running = load.start(scope, CALLERS);
        load.wait_served(3 * CALLERS);
        // Nothing but the steward itself holds an old order back.
        let ignores = Faults { ignore_fence: true, ..Faults::default() };
        set_faults(&fleet.site.prefills, &ignores);
        set_faults(&fleet.site.decodes, &ignores);
        fleet.daemons[steward].signal(Signal::STOP);
        fleet.wait_live(&others);
        load.wait_served(3 * CALLERS);
        let mut catalogue = fleet.site.catalogue();
        catalogue["models"][0]["version"] = "2".into();
        let revision = fleet.site.platform.put("catalogue/site", &catalogue.to_string());
        let engines = || fleet.site.prefills.iter().chain(&fleet.site.decodes);
        wait_until("the engines are rolled", || engines().all(|e| loaded(e)["version"] == "2"));
        load.wait_served(3 * CALLERS);
        fleet.daemons[steward].signal(Signal::CONT);
        fleet.wait_live(&[0, 1, 2]);
        fleet.wait_revision(&[steward], revision);
        load.wait_served(3 * CALLERS);
        assert_eq!(fleet.steward(others[0], "decode-0"), steward);
        assert!(engines().all(|e| loaded(e)["version"] == "2"));
        let counters: Vec<_> = engines().map(Engine::counters).collect();
        assert!(counters.iter().all(|c| c.cut == 0), "{counters:?}");
    });
    assert_eq!(refused(&fleet), 0, "engines refused what did not fit");
    wait_all_free(&fleet.site);
}
