//! Deterministic answers, so that a test can compute the complete answer to a prompt.

const WORDS: [&str; 16] = [
    "water", "leaf", "root", "soil", "light", "shade", "mint", "probe", "renew", "site", "shop",
    "ticket", "reply", "yes", "no", "later",
];

/// Generates the answer to one prompt.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    seed: [u8; 32],
}

impl Answer {
    /// Seeds the answer with the prompt.
    pub fn new(prompt: &str) -> Self {
        Self { seed: *blake3::hash(prompt.as_bytes()).as_bytes() }
    }

    /// The text of one token.
    pub fn token(&self, index: u32) -> String {
        let seed = self.seed[(index as usize) % 32] as usize;
        let word = WORDS[(seed + index as usize) % WORDS.len()];
        format!("{word}{index} ")
    }

    /// The text of the first `tokens` tokens.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// The complete answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    Answer::new(prompt).text(tokens)
}
