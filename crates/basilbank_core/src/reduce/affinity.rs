//! Which prefill endpoint a prompt belongs to, so that prompts with the same beginning meet their
//! cached prefix without daemons telling each other where they sent them.

use crate::{
    catalogue::{EntryTarget, Role},
    event::Completion,
    ids::{EndpointId, VmId},
    state::{State, rank},
};

/// A block that more endpoints hold than this is part of what many prompts share, such as a team's
/// instructions: it says nothing about where a prompt belongs.
const MAX_BLOCK_HOLDERS: usize = 2;

/// The endpoint that a prompt belongs to; `None` when it has no part of its own.
#[must_use]
pub fn preferred_endpoint(
    state: &State,
    target: EntryTarget,
    completion: &Completion,
) -> Option<EndpointId> {
    let block = state.health.prefixes.first_own(&completion.block_hashes, MAX_BLOCK_HOLDERS)?;
    let endpoints = state.view.serving(target, Role::Prefill).iter().copied();
    endpoints.max_by_key(|endpoint| rank(VmId(endpoint.0), block))
}
