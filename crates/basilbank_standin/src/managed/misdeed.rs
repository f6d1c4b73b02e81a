//! How an endpoint misbehaves.

use super::{endless::Endless, given_answer::GivenAnswer};

/// Events of a stream after which it begins again at an endpoint that does so.
const EVENTS_BEFORE_REPEAT: u32 = 3;

/// How an endpoint misbehaves, for calls from now on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Misdeed {
    /// It does not.
    #[default]
    None,
    /// It is full: it runs nothing, and says so.
    Full,
    /// It runs the call and fails.
    Error,
    /// It runs the call and closes the connection instead of an answer.
    Lost,
    /// It runs the call and breaks its answer off in the middle.
    Torn,
    /// It answers twice.
    Doubled,
    /// Its answer carries another call's id.
    Mistaken,
    /// Its answer is no HTTP.
    Garbage,
    /// It takes the call and says nothing.
    Silent,
    /// It runs the call and says nothing.
    Hanging,
    /// Its KV caches are gone at once.
    Forgetful,
    /// Its streams begin at their first event, whatever event they are to go on after.
    Restarting,
    /// Its streams begin again at their first event after some events.
    Repeating,
    /// It runs the call, and writes until the caller closes the connection.
    Endless(Endless),
    /// It runs the call, and the head of its answer is this.
    Given(GivenAnswer),
}

impl Misdeed {
    /// The numbers of the events that an endpoint writes after those that the caller had.
    pub(super) fn event_numbers(self, had: u32, last: u32) -> Vec<u32> {
        let rest = had + 1..=last;
        match self {
            Misdeed::Restarting => (1..=last).collect(),
            Misdeed::Repeating => {
                rest.take(EVENTS_BEFORE_REPEAT as usize).chain(1..=last).collect()
            }
            _ => rest.collect(),
        }
    }
}
