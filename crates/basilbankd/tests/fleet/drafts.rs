//! Streams whose daemon dies.

use std::time::Duration;

use basilbank_standin::{EngineCounters, EngineSpec, SiteSpec, chat_prompt, expected_answer};

use crate::{
    common::{pause_after, wait_all_free, wait_until},
    rig::{Fleet, drafts_at_once, patient_engine, patient_spec},
};

const MESSAGE: &str = "a pantry for four length=25";
/// What the engines of `small` decode at once.
const SLOTS: usize = 3;

/// One decode engine with few slots, so that a slot that is not given back is missed.
fn small() -> SiteSpec {
    let engine = EngineSpec { slots: SLOTS, ..patient_engine() };
    SiteSpec { decodes: 1, engine, ..patient_spec() }
}

/// Symptom: a caller loses its draft with the VM that it came through, gets tokens twice, or pays for
/// a second run. Sequence: a daemon is killed after five tokens, the one where the caller goes on after
/// five more. Cause: the stream lives at the engine; its cursor must be enough to read on from there.
#[test]
fn a_draft_outlives_two_daemons() {
    // Half of the listed daemons survive: fewer would decide nothing until the list is shorter.
    let mut fleet = Fleet::with(4, &small(), |_| ());
    let mut texts: Vec<String> = Vec::new();
    let mut cursor: Option<String> = None;
    for daemon in [0, 1] {
        pause_after(&fleet.site, Some(5 * (daemon as u32 + 1)));
        let mut stream = fleet.client(daemon);
        if let Some(cursor) = &cursor {
            stream = stream.with_header("last-event-id", cursor);
        }
        let mut stream = stream.stream(MESSAGE, 50).unwrap();
        texts.extend(stream.by_ref().take(5).map(Result::unwrap));
        cursor.clone_from(&stream.cursor);
        fleet.kill(daemon);
        assert!(stream.next().unwrap().is_err(), "nothing follows a daemon's death");
    }
    pause_after(&fleet.site, None);
    let last = fleet.client(2).with_header("last-event-id", &cursor.unwrap());
    texts.extend(last.stream(MESSAGE, 50).unwrap().rest().unwrap());
    assert_eq!(texts, expected_answer(&chat_prompt(MESSAGE), 50));
    let counters: Vec<_> = engines(&fleet);
    let sum = |count: fn(&EngineCounters) -> u64| counters.iter().map(count).sum::<u64>();
    assert_eq!((sum(|c| c.prefills), sum(|c| c.streams), sum(|c| c.takeovers)), (1, 1, 2));
    wait_all_free(&fleet.site);
    let held = || fleet.rows(2, "/admin/endpoints").iter().filter(|e| e["held"] != 0).count();
    wait_until("the survivor holds no slot", || held() == 0);
    all_slots_serve(&fleet, &[2, 3]);
}

/// Symptom: an engine's memory and slot stay taken for nobody. Sequence: a daemon is killed and its
/// caller does not come back. Cause: nobody is left who would cancel the stream, so the engine's
/// steward has to find that its owner is dead.
#[test]
fn the_stream_of_a_dead_daemon_is_reaped() {
    let mut fleet = Fleet::with(3, &small(), |settings| {
        settings.tuning.stream_grace = Duration::from_secs(1);
        settings.tuning.reap_interval = Duration::from_millis(500);
    });
    pause_after(&fleet.site, Some(5));
    let victim = fleet.steward(0, "decode-0");
    let mut stream = fleet.client(victim).stream(MESSAGE, 50).unwrap();
    assert!(stream.next().unwrap().is_ok());
    fleet.kill(victim);
    assert_eq!(fleet.site.decodes[0].held(), 1);
    wait_all_free(&fleet.site);
    assert_eq!(fleet.site.decodes[0].counters().cancelled, 1);
    let others: Vec<_> = (0..3).filter(|i| *i != victim).collect();
    pause_after(&fleet.site, None);
    all_slots_serve(&fleet, &others);
}

/// Holds all slots of the one decode engine at once: none was lost.
fn all_slots_serve(fleet: &Fleet, daemons: &[usize]) {
    pause_after(&fleet.site, Some(1));
    let callers: Vec<_> = daemons.iter().map(|i| fleet.daemons[*i].callers).collect();
    std::thread::scope(|scope| {
        let drafts = scope.spawn(|| drafts_at_once(&callers, "all slots", SLOTS));
        wait_until("all slots are used", || {
            drafts.is_finished() || fleet.site.decodes[0].held() == SLOTS
        });
        pause_after(&fleet.site, None);
        drafts.join().unwrap();
    });
}

fn engines(fleet: &Fleet) -> Vec<EngineCounters> {
    fleet.site.prefills.iter().chain(&fleet.site.decodes).map(|e| e.counters()).collect()
}
