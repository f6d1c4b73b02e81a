//! Sizes and prefixes of prompts.

use basilbank::callers::{BLOCK_TOKENS, block_hashes, count_tokens};
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn words(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("w{n}")).collect()
}

#[test_case("", 1; "nothing")]
#[test_case(" \n\t", 1; "white space")]
#[test_case("one", 1; "one")]
#[test_case("  one\n\n two\u{a0}three ", 3; "runs of white space")]
fn tokens_are_runs(prompt: &str, expected: u32) {
    assert_eq!(count_tokens(prompt), expected);
}

#[test]
fn each_block_is_named_after_all_before_it() {
    let words = words(2 * BLOCK_TOKENS);
    let first = xxh3_64_with_seed(words[..BLOCK_TOKENS].join(" ").as_bytes(), 0);
    let second = xxh3_64_with_seed(words[BLOCK_TOKENS..].join(" ").as_bytes(), first);
    assert_eq!(*block_hashes(&words.join("\n ")), [first, second]);
}

/// Symptom: a chat that goes on is prefilled as if it were new. Cause: names that depend on what comes
/// after a block, or on a block that is not whole.
#[test]
fn prompts_with_the_same_beginning_share_names() {
    let long = words(5 * BLOCK_TOKENS + 3);
    let short = block_hashes(&long[..3 * BLOCK_TOKENS + 1].join(" "));
    let long = block_hashes(&long.join(" "));
    assert_eq!((short.len(), long.len()), (3, 5));
    assert_eq!(*short, long[..3]);
    assert!(block_hashes(&words(BLOCK_TOKENS - 1).join(" ")).is_empty());
}
