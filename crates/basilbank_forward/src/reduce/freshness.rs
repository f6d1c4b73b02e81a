//! Daemons ask those that watch the store whether a newer configuration is there.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{ConfigurationAge, LoadBeat};

use super::Turn;

/// The store has answered a question that went out at `asked` with no newer version.
pub fn confirmed(turn: &mut Turn<'_>, asked: Duration) {
    turn.state.freshness.prove(asked);
}

/// A peer asks, or answers.
pub fn heard(turn: &mut Turn<'_>, from: SocketAddr, words: &[ConfigurationAge]) {
    for word in words {
        match word.age {
            None => answer(turn, from, word.asked),
            Some(age) => answered(turn, word, Duration::from_millis(u64::from(age))),
        }
    }
}

fn answer(turn: &mut Turn<'_>, to: SocketAddr, asked: u64) {
    let Some(age) = turn.state.freshness.age(turn.now) else { return };
    // Rounded up: a proof must never look newer than it is.
    let age = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
    let version = turn.state.routes.version;
    say(turn, to, ConfigurationAge { asked, age: Some(age), version });
}

fn answered(turn: &mut Turn<'_>, word: &ConfigurationAge, age: Duration) {
    // What the peer has read and this daemon has not may take keys away.
    if word.version <= turn.state.routes.version {
        turn.state.freshness.prove_by(word.asked, age);
    }
}

/// Asks a peer if it is time.
pub fn tick(turn: &mut Turn<'_>) {
    if turn.state.proof_due().is_none_or(|due| turn.now < due) {
        return;
    }
    if let Some((peer, asked)) = turn.state.ask_for_proof(turn.now) {
        say(turn, peer, ConfigurationAge { asked, age: None, version: 0 });
    }
}

fn say(turn: &mut Turn<'_>, to: SocketAddr, word: ConfigurationAge) {
    turn.say(vec![to], LoadBeat { ages: vec![word], ..LoadBeat::default() });
}
