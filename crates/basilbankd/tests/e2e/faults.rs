//! Engines and the platform fail while a draft is in progress.

use basilbank_standin::{
    Client, Engine, Faults, PlatformFaults, Site, chat_prompt, expected_answer,
};
use test_case::test_case;

use crate::harness::{patient_daemon, pause_after, set_faults, wait_all_free};

const MESSAGE: &str = "a pantry for four length=25";

/// Streams some tokens, lets something happen while the stream is silent, and reads the rest.
fn stream_around(site: &mut Site, client: &Client, happens: impl FnOnce(&mut Site)) {
    pause_after(site, Some(5));
    let mut stream = client.stream(MESSAGE, 50).unwrap();
    let mut texts: Vec<String> = stream.by_ref().take(5).map(Result::unwrap).collect();
    happens(site);
    texts.extend(stream.rest().unwrap());
    assert_eq!(texts, expected_answer(&chat_prompt(MESSAGE), 50));
}

/// Symptom: a draft is cut off, or its caller gets tokens twice. Sequence: the decode engine dies
/// after five tokens. Cause: its stream is gone, so the rest has to be made elsewhere from the
/// prompt and these five.
#[test]
fn a_draft_goes_on_when_its_decode_engine_dies() {
    let (mut site, _daemon, client) = patient_daemon();
    stream_around(&mut site, &client, |site| {
        let streaming = site.decodes.iter().position(|engine| engine.held() == 1).unwrap();
        site.decodes[streaming].die();
        let dead = site.decodes.remove(streaming);
        drop(dead);
        pause_after(site, None);
    });
    wait_all_free(&site);
}

/// Symptom: a caller gets a wrong, cut or doubled answer. Sequence: the decode engine's lines come
/// twice, or late, or one is lost. Cause: a stream's lines carry offsets, and only those that follow
/// on what the caller has may be passed on.
#[test_case(&Faults { doubled: true, ..Faults::default() }; "doubled lines")]
#[test_case(&Faults { lose: Some(9), ..Faults::default() }; "a lost line")]
fn a_draft_stays_right_when_lines_go_wrong(faults: &Faults) {
    let (mut site, _daemon, client) = patient_daemon();
    stream_around(&mut site, &client, |site| {
        site.decodes.iter().filter(|e| e.held() == 1).for_each(|e| e.set_faults(faults.clone()));
        let others = site.decodes.iter().filter(|e| e.held() == 0);
        others.for_each(|e| e.set_faults(Faults::default()));
    });
    wait_all_free(&site);
}

/// Symptom: drafts fail while half of the engines could serve them. Sequence: one prefill engine
/// evicts at once, refuses or is dead. Cause: a refusal or an eviction proves that nothing was
/// delivered, so another engine may be asked.
#[test_case(Some(Faults { evict: true, ..Faults::default() }); "evicts at once")]
#[test_case(Some(Faults { leaving: true, ..Faults::default() }); "leaves")]
#[test_case(Some(Faults { full: true, ..Faults::default() }); "is full")]
#[test_case(None; "is dead")]
fn drafts_succeed_beside_a_bad_prefill_engine(faults: Option<Faults>) {
    let (mut site, _daemon, client) = patient_daemon();
    spoil(&mut site.prefills, faults);
    check_drafts(&client);
    wait_all_free(&site);
}

/// Symptom: drafts fail, or wait without end, while half of the engines could serve them. Sequence:
/// one decode engine refuses, is dead, or makes no progress with the transfer. Cause: the KV cache
/// is still at the prefill engine, so another decode engine may take it.
#[test_case(Some(Faults { stall_import: true, ..Faults::default() }); "stalls the transfer")]
#[test_case(Some(Faults { leaving: true, ..Faults::default() }); "leaves")]
#[test_case(Some(Faults { full: true, ..Faults::default() }); "is full")]
#[test_case(None; "is dead")]
fn drafts_succeed_beside_a_bad_decode_engine(faults: Option<Faults>) {
    let (mut site, _daemon, client) = patient_daemon();
    spoil(&mut site.decodes, faults);
    check_drafts(&client);
    set_faults(&site.decodes, &Faults::default());
    wait_all_free(&site);
}

/// Gives the first engine a fault, or takes it away.
fn spoil(engines: &mut Vec<Engine>, faults: Option<Faults>) {
    match faults {
        Some(faults) => engines[0].set_faults(faults),
        None => drop(engines.remove(0)),
    }
}

fn check_drafts(client: &Client) {
    for _ in 0..4 {
        let draft = client.whole("two stools length=6", 50).unwrap();
        assert_eq!(draft.text, expected_answer("two stools length=6", 50).concat());
    }
}

/// Symptom: callers are refused although all engines work. Sequence: the platform goes down after
/// the daemon has read its catalogue. Cause: a catalogue in force stays in force.
#[test]
fn drafts_succeed_while_the_platform_is_down() {
    let (site, _daemon, client) = patient_daemon();
    site.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let draft = client.whole("two stools length=6", 50).unwrap();
    assert_eq!(draft.completion_tokens, 6);
}

/// Symptom: a stream's engine stays held for ever. Sequence: all decode engines stall before their
/// first token and the caller leaves. Cause: a stalled engine answers no cancellation either; it has
/// to be told again when it answers.
#[test]
fn a_stalled_engine_is_freed_when_it_comes_back() {
    let (site, _daemon, client) = patient_daemon();
    pause_after(&site, Some(1));
    let mut stream = client.stream(MESSAGE, 50).unwrap();
    assert!(stream.next().unwrap().is_ok());
    let stalled = Faults { stall: true, stall_after: Some(1), ..Faults::default() };
    set_faults(&site.decodes, &stalled);
    drop(stream);
    drop(client);
    std::thread::sleep(std::time::Duration::from_millis(100));
    pause_after(&site, Some(1));
    wait_all_free(&site);
    assert!(site.decodes.iter().map(Engine::counters).any(|c| c.cancelled == 1));
}
