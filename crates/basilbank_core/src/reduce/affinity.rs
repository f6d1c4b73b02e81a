//! Prefix affinity: maps prompts with the same beginning to the same prefill endpoint, where their
//! prefix is cached. Daemons compute the same mapping without exchanging messages about it.

use crate::{
    catalogue::{EntryTarget, Role},
    event::Completion,
    ids::{EndpointId, VmId},
    state::{State, rank},
};

/// Maximum number of endpoints that may hold a block for it to identify a prompt. A block with more
/// holders is shared by many prompts, such as a team's instructions, and says nothing about where a
/// prompt belongs.
const MAX_BLOCK_HOLDERS: usize = 2;

/// Returns the prefill endpoint that is preferred for a prompt, or `None` if the prompt has no
/// block that is rare enough to identify it.
#[must_use]
pub fn preferred_endpoint(
    state: &State,
    target: EntryTarget,
    completion: &Completion,
) -> Option<EndpointId> {
    let block = state.health.prefixes.first_rare(&completion.block_hashes, MAX_BLOCK_HOLDERS)?;
    let endpoints = state.view.serving(target, Role::Prefill).iter().copied();
    endpoints.max_by_key(|endpoint| rank(VmId(endpoint.0), block))
}
