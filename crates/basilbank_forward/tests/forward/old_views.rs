//! What daemons of a large fleet know of each other is old, and how they place by it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::LoadGossip;
use test_case::test_case;

use crate::rig::{Rig, held, model, prompt};

/// Drafts that are placed.
const DRAFTS: u32 = 400;

/// Endpoints that read prompts.
const READERS: u16 = 8;

/// How many prompts each prefill endpoint gets. The first one looks idle, the others have a prompt each by
/// peers' word, and what peers do is told so late.
fn placed(untold: Duration) -> HashMap<String, u32> {
    let mut rig = Rig::new();
    let readers = (0..READERS).map(|n| model(&format!("p{n}"), 10 + n, Stage::Prefill));
    rig.list(readers.chain([model("d1", 1, Stage::Decode)]).collect());
    for n in 1..READERS {
        let key = rig.state.directory.find(&format!("p{n}")).expect("listed");
        let endpoint = rig.state.directory.get_mut(key).expect("known");
        endpoint.peer_tokens = 3000;
        endpoint.peer_calls = 1;
    }
    rig.state.peers.report_delay = untold;
    let mut placed = HashMap::new();
    for _ in 0..DRAFTS {
        let id = rig.call("/draft/1", 14_000, Some(prompt(3000)));
        let hold = rig.start();
        rig.came(id, hold.number, held());
        *placed.entry(rig.start().target.instance).or_default() += 1;
        rig.feed(Event::CallerLeft(id));
    }
    placed
}

#[test]
fn what_is_known_at_once_decides() {
    assert_eq!(placed(Duration::ZERO), HashMap::from([("p0".to_owned(), DRAFTS)]));
}

/// Symptom: in a fleet of 195 daemons prompts queued for seconds at a few prefill endpoints, beside idle
/// ones.
/// Sequence: an endpoint looks idle to all daemons, by loads that are older than a prompt's reading takes.
/// Cause: each sent its prompts there until it heard of the others'.
#[test]
fn an_endpoint_that_looks_idle_by_old_views_does_not_get_all() {
    let placed = placed(Duration::from_millis(1200));
    let even = DRAFTS / u32::from(READERS);
    assert_eq!(placed.len(), usize::from(READERS), "{placed:?}");
    assert!(placed.values().all(|count| even / 3 <= *count), "{placed:?}");
    assert!(placed["p0"] <= 3 * even, "{placed:?}");
}

#[test]
fn an_endpoint_that_looks_idle_gets_most_by_views_that_are_nearly_new() {
    let placed = placed(Duration::from_millis(50));
    assert!(DRAFTS / 2 < placed["p0"], "{placed:?}");
    assert!(1 < placed.len(), "{placed:?}");
}

/// Symptom: the views of 195 daemons were 2.4 s old, and drafts last half a second, so that room was given
/// several times over.
/// Sequence: a daemon has a draft in some seconds, and its datagrams are far apart.
/// Cause: a least time between datagrams bounded the bytes, long enough for a daemon that has much to tell;
/// and each of them told all that there is to tell.
#[test]
fn a_daemon_of_a_large_fleet_tells_of_a_rare_draft_at_once() {
    const FLEET: u16 = 195;
    const ROUNDS: u64 = 20;
    let address = |n: u16| SocketAddr::from(([10, 1, 0, n as u8], 7000));
    let mut rig = Rig::as_daemon(address(0), vec![]);
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    let mut sequence = 0;
    let mut hear_all = |rig: &mut Rig| {
        sequence += 1;
        for n in 1..FLEET {
            let beat = LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() };
            rig.feed(Event::gossip(address(n), beat));
        }
    };
    let (mut latest, mut bytes) = (Duration::ZERO, 0);
    let mut told = |rig: &mut Rig| {
        let beats = rig.beats();
        let first = beats.iter().filter(|(to, _)| *to == address(1));
        let sizes: Vec<_> = first.map(|(_, beat)| beat.wire_bytes()).collect();
        bytes += sizes.iter().sum::<usize>();
        !sizes.is_empty()
    };
    hear_all(&mut rig);
    rig.pass_ms(5000);
    rig.beats();
    for _ in 0..ROUNDS {
        hear_all(&mut rig);
        told(&mut rig);
        let id = rig.call("/draft/1", 14_000, Some(prompt(3000)));
        let hold = rig.start();
        rig.came(id, hold.number, held());
        let began = rig.now();
        while !told(&mut rig) && rig.now() < began + Duration::from_secs(3) {
            rig.pass_ms(2);
        }
        latest = latest.max(rig.now() - began);
        rig.pass_ms(600);
        rig.feed(Event::CallerLeft(id));
        rig.pass_ms(2000);
    }
    told(&mut rig);
    let received = bytes as u64 * u64::from(FLEET - 1) * 10 / (ROUNDS * 26);
    assert!(latest <= Duration::from_millis(30), "{latest:?}");
    assert!(received <= 26_000, "{received} bytes a second");
}

/// Tokens that are held with a slot for a prompt of 3,000, when so many peers are heard.
fn held_tokens(peers: u16) -> u32 {
    let address = |n: u16| SocketAddr::from(([10, 1, 0, n as u8], 7000));
    let mut rig = Rig::as_daemon(address(0), vec![]);
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    for n in 1..=peers {
        let beat = LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() };
        rig.feed(Event::gossip(address(n), beat));
    }
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    match rig.start().op {
        Op::Hold { tokens, .. } => tokens,
        op => panic!("{op:?}"),
    }
}

/// Symptom: drafts were put back in the middle of their streams, and their prompts read once more.
/// Sequence: daemons that hear of each other late place drafts at the same endpoint; each holds a slot
/// there with a token block, which it grants.
/// Cause: nobody asked whether there was memory, which the endpoint knows.
#[test]
fn an_endpoint_is_asked_for_the_memory_where_views_are_old() {
    assert_eq!(held_tokens(100), 3000);
}

#[test]
fn memory_is_not_held_while_a_prompt_is_read_where_views_are_true() {
    assert_eq!(held_tokens(8), 16);
}

/// Symptom: a daemon said nothing but its heartbeats for minutes.
/// Sequence: a fleet that may say what it likes has much to tell, and then grows beyond that size.
/// Cause: what it had said before was held against it.
#[test]
fn a_fleet_that_grows_goes_on_telling_of_changes() {
    let address = |n: u16| SocketAddr::from(([10, 1, 0, n as u8], 7000));
    let mut rig = Rig::as_daemon(address(0), vec![]);
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    let mut sequence = 0;
    let mut hear = |rig: &mut Rig, peers: u16| {
        sequence += 1;
        for n in 1..=peers {
            let beat = LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() };
            rig.feed(Event::gossip(address(n), beat));
        }
    };
    for _ in 0..100 {
        hear(&mut rig, 79);
        let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
        rig.pass_ms(100);
        rig.feed(Event::CallerLeft(id));
        rig.pass_ms(100);
    }
    hear(&mut rig, 100);
    rig.pass_ms(1500);
    rig.beats();
    let sent = rig.state.peers.last_sent;
    rig.call("/draft/1", 14_000, Some(prompt(500)));
    rig.pass_ms(30);
    assert!(sent < rig.state.peers.last_sent);
    assert!(!rig.beats().is_empty());
}

/// Symptom: at 71 daemons, in bursts, drafts waited for memory at the endpoint that had granted them a slot.
/// Sequence: several daemons hold slots at the endpoint that looks emptiest, each unheard by the others.
/// Cause: the endpoint was asked for a slot alone, though it knows its memory and they didn't.
#[test_case(30, 3000, 60, 16; "views are true")]
#[test_case(60, 3000, 60, 3000; "views are late")]
#[test_case(60, 3000, 6000, 16; "the draft is mostly answer")]
fn where_views_are_late_an_endpoint_is_asked_for_the_prompts_memory(
    peers: u8,
    tokens: u32,
    hint: u32,
    held: u32,
) {
    let mut rig = Rig::new();
    rig.list(vec![model("d", 1, Stage::Decode), model("p", 2, Stage::Prefill)]);
    for n in 0..peers {
        let from = SocketAddr::from(([10, 0, 2, n], 7000));
        rig.feed(Event::gossip(
            from,
            LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() },
        ));
    }
    rig.effects.clear();
    let prompt = Prompt {
        tokens,
        max_output: 7000,
        output_hint: Some(hint),
        session: None,
        parts: Vec::new(),
    };
    rig.call("/draft/1", 14_000, Some(prompt));
    match rig.start().op {
        Op::Hold { tokens, .. } => assert_eq!(tokens, held),
        op => panic!("{op:?}"),
    }
}
