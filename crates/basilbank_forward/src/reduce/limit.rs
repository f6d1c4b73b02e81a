//! Endpoints that take so many calls a second only.

use super::Turn;
use crate::{endpoint::EndpointKey, note::Note};

/// An answer has said what its endpoint takes.
pub fn named(turn: &mut Turn<'_>, key: EndpointKey, rate: Option<f64>) {
    let Some(endpoint) = turn.state.directory.get(key).filter(|endpoint| !endpoint.gone) else {
        return;
    };
    let instance = endpoint.info.instance.clone();
    if turn.state.call_limits.see(key, rate, turn.now) {
        let rate = rate.map_or("none".to_owned(), |rate| rate.to_string());
        turn.note(Note::new("call_limit").with("instance", instance).with("rate", rate));
    }
}
