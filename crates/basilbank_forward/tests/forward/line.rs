//! The line in which drafts of all daemons wait for room.

use std::time::Duration;

use basilbank_forward::prelude::*;
use basilbank_wire::{LoadGossip, WaitingCompletion};

use crate::{
    load::{Engines, Got, Phase, Placing, Play},
    rig::{Rig, WRITER, model, numbered, prompt},
};

/// A daemon before decode endpoints that have room, and a peer whose draft is due in so many
/// milliseconds.
fn beside_a_waiting_peer(due: i32) -> Rig {
    let mut rig = numbered(1);
    let stage = |n| if n == 0 { Stage::Prefill } else { Stage::Decode };
    rig.list((0..=1).map(|n| model(&format!("m{n}"), n + 1, stage(n))).collect());
    let service = basilbank_forward::state::service_hash(WRITER);
    let waiting = vec![WaitingCompletion { service, due, ..Default::default() }];
    let beat = LoadGossip { incarnation: 2, sequence: 1, waiting, ..LoadGossip::default() };
    rig.feed(Event::gossip(([10, 0, 0, 2], 7000).into(), beat));
    rig.effects.clear();
    rig
}

fn holds(rig: &Rig) -> usize {
    let holds = |effect: &&Effect| matches!(effect, Effect::Start { attempt, .. } if matches!(attempt.op, Op::Hold { .. }));
    rig.effects.iter().filter(holds).count()
}

#[test]
fn room_is_left_for_a_moment_to_a_draft_that_goes_before() {
    let mut rig = beside_a_waiting_peer(600);
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    rig.pass_ms(5);
    assert_eq!(holds(&rig), 0, "the peer goes first");
    rig.pass_ms(15);
    assert_eq!(holds(&rig), 1);
}

#[test]
fn a_draft_that_is_late_anyway_goes_before_none_that_is_not() {
    let mut rig = beside_a_waiting_peer(-100);
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    assert_eq!(holds(&rig), 1);
}

#[test]
fn a_peer_that_fell_silent_holds_nobody_up() {
    let mut rig = beside_a_waiting_peer(700);
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    rig.pass_ms(3000);
    assert_eq!(holds(&rig), 1);
}

/// Symptom: endpoints put drafts back, whose prompts were then read twice, on a day without any fault.
/// Sequence: all endpoints are full, and drafts wait at many daemons; one ends, and all daemons hear of
/// its room within a millisecond.
/// Cause: each gave the room to a draft of its own. Of 1,143 drafts of these plays 212 ended at endpoints
/// that held more than their memory; with the line 57 do.
#[test]
fn drafts_of_many_daemons_do_not_all_take_the_same_room() {
    let engines = Engines {
        prefill: 4,
        decode: 8,
        memory: 82_000,
        daemons: 24,
        hearing: true,
        slots: 12,
        token: Duration::from_micros(560),
        output: 6000.0,
        ..Engines::USUAL
    };
    let phases = [Phase { rate: 30.0, time: Duration::from_secs(12) }];
    let play = |tuning: Tuning| {
        let got = (0..3).map(|seed| {
            Play::run(engines, &phases, Placing::Router(Box::new(tuning.clone())), seed)
        });
        got.fold(Got::default(), |all, got| Got {
            drafts: all.drafts + got.drafts,
            timely: all.timely + got.timely,
            crowded: all.crowded + got.crowded,
            ..all
        })
    };
    let alone = Tuning { queue_step: Duration::ZERO, ..Tuning::default() };
    let (before, now) = (play(alone), play(Tuning::default()));
    assert!(now.crowded * 2 < before.crowded, "{before:?} before, {now:?} now");
}
