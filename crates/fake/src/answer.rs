//! Answers that can be foretold, so that a test knows what the whole answer is.

const WORDS: [&str; 16] = [
    "water", "leaf", "root", "soil", "light", "shade", "mint", "probe", "renew", "site", "shop",
    "ticket", "reply", "yes", "no", "later",
];

/// The text of one token of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = blake3::hash(prompt.as_bytes());
    let seed = hash.as_bytes()[(index as usize) % 32] as usize;
    let word = WORDS[(seed + index as usize) % WORDS.len()];
    format!("{word}{index} ")
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}
