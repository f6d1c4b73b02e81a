//! What the core needs to know of a prompt: its size and its prefix.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Estimates a prompt's tokens: its runs of characters that are not white space, at least 1.
#[must_use]
pub fn count_tokens(prompt: &str) -> u32 {
    let count = prompt.split_whitespace().count();
    u32::try_from(count).unwrap_or(u32::MAX).max(1)
}

/// Names a prompt's whole blocks, so that two prompts with the same beginning have the same first
/// names.
///
/// The name of a block is `xxh3_64_with_seed(text, seed)`, where `text` is the block's 16 tokens
/// joined by one blank and `seed` is the name of the block before it, 0 for the first.
#[must_use]
pub fn block_hashes(prompt: &str) -> Arc<[u64]> {
    let tokens: Vec<&str> = prompt.split_whitespace().collect();
    let blocks = tokens.chunks_exact(BLOCK_TOKENS);
    let names = blocks.scan(0, |previous, block| {
        *previous = xxh3_64_with_seed(block.join(" ").as_bytes(), *previous);
        Some(*previous)
    });
    names.collect()
}
