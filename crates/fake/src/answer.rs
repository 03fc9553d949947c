//! Answers that can be foretold, so that a test knows what the whole answer is.

const WORDS: [&str; 16] = [
    "water", "leaf", "root", "soil", "light", "shade", "mint", "probe", "renew", "site", "shop",
    "ticket", "reply", "yes", "no", "later",
];

/// The answer to one prompt.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    seed: [u8; 32],
}

impl Answer {
    /// The answer to a prompt.
    pub fn new(prompt: &str) -> Self {
        Self { seed: *blake3::hash(prompt.as_bytes()).as_bytes() }
    }

    /// The text of one token.
    pub fn token(&self, index: u32) -> String {
        let seed = self.seed[(index as usize) % 32] as usize;
        let word = WORDS[(seed + index as usize) % WORDS.len()];
        format!("{word}{index} ")
    }

    /// The text of the first tokens.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    Answer::new(prompt).text(tokens)
}
