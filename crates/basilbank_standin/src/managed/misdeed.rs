//! How an endpoint misbehaves.

use super::endless::Endless;

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
    /// It runs the call, and writes until the caller closes the connection.
    Endless(Endless),
}
