//! Tokens, prefix blocks, and the text that decode engines generate.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "oak", "panel", "hinge", "plinth", "drawer", "worktop", "sink", "tile", "budget", "council",
    "variance", "quarter", "school", "road", "grant", "reserve",
];

/// Tokens of a text: runs of non-blank characters.
pub(crate) fn tokens(text: &str) -> impl Iterator<Item = &str> {
    text.split_whitespace()
}

/// Names of a text's whole blocks of `size` tokens, as `docs/PROTOCOLS.md` has them.
#[must_use]
pub fn prefix_blocks(text: &str, size: usize) -> Vec<u64> {
    let tokens: Vec<&str> = tokens(text).collect();
    let names = tokens.chunks_exact(size).scan(0, |before, block| {
        *before = xxh3_64_with_seed(block.join(" ").as_bytes(), *before);
        Some(*before)
    });
    names.collect()
}

/// The whole right answer to a prompt: one text for each token. Prompts that differ only in blanks
/// have the same answer. It ends by itself after 48 to 111 tokens, or after `N` when the prompt has
/// a token `length=N`.
#[must_use]
pub fn expected_answer(prompt: &str, max_tokens: u32) -> Vec<String> {
    Generator::new(prompt, "").take(max_tokens as usize).collect()
}

/// Generates an answer from where a continuation of the prompt ends. Each token depends on the
/// prompt and on all tokens before it, so a wrong continuation shows in the rest.
#[derive(Clone, Debug)]
pub(crate) struct Generator {
    state: u64,
    index: u32,
    length: u32,
}

impl Generator {
    /// What follows `continuation`, which was generated for the same prompt before.
    pub(crate) fn new(prompt: &str, continuation: &str) -> Generator {
        let mut state = 0;
        let mut length = None;
        for token in tokens(prompt) {
            state = xxh3_64_with_seed(token.as_bytes(), state);
            length = token.strip_prefix("length=").and_then(|n| n.parse().ok()).or(length);
        }
        let length = length.unwrap_or(48 + (state % 64) as u32);
        let mut generator = Generator { state, index: 0, length };
        for token in tokens(continuation) {
            generator.advance(token);
        }
        generator
    }

    fn advance(&mut self, word: &str) {
        self.state = xxh3_64_with_seed(word.as_bytes(), self.state);
        self.index += 1;
    }
}

impl Iterator for Generator {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        if self.length <= self.index {
            return None;
        }
        let word = WORDS[(self.state >> 32) as usize % WORDS.len()];
        let word = format!("{word}{}", self.state % 100);
        let text = if self.index == 0 { word.clone() } else { format!(" {word}") };
        self.advance(&word);
        Some(text)
    }
}
