//! How fast the engines of a service read prompts, learned from first tokens.
//!
//! Answers the pattern in which a constant that fits one engine misjudges another: too slow a rate refuses work that would
//! be served, too fast a one queues work that comes too late. The time to a first token is a line over the
//! tokens that are read before it: the slope is the reading rate, at the present length of the engines' steps, fitted by least squares
//! over the latest samples. The intercept, what each answer takes in any case, decides nothing: it is the same at every server.

/// Reading rate before anything is known, tokens a millisecond: of the slowest engines in use.
pub const INITIAL_TOKENS_PER_MS: f64 = 45.0;
/// Factor by which a learned rate may differ from [`INITIAL_TOKENS_PER_MS`].
const RANGE: f64 = 4.0;
/// Samples over which the fit reaches back.
const SPAN: f64 = 300.0;
/// Samples that [`INITIAL_TOKENS_PER_MS`] weighs as many as, half of them without tokens.
const PRIOR: f64 = 40.0;
/// Tokens of the other half of them: a long prompt.
const PRIOR_TOKENS: f64 = 8_000.0;
/// How many times the time that the fit gives a sample may count as, and the least that it may: what is beyond says that a
/// server hung.
const OUTLIER: f64 = 8.0;
const OUTLIER_MS: f64 = 300.0;
/// Longest time of a sample, milliseconds, and most tokens.
const MOST_MS: f64 = 2_000.0;
const MOST_TOKENS: f64 = 40_000.0;

/// A fit of times over tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    samples: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        let (half, millis) = (PRIOR / 2.0, PRIOR_TOKENS / INITIAL_TOKENS_PER_MS);
        Self {
            samples: PRIOR,
            tokens: half * PRIOR_TOKENS,
            millis: half * millis,
            tokens_squared: half * PRIOR_TOKENS * PRIOR_TOKENS,
            tokens_millis: half * PRIOR_TOKENS * millis,
        }
    }
}

impl PrefillRate {
    /// A first token came after this many prompt tokens were read, and this time, milliseconds.
    pub fn sample(&mut self, tokens: f64, millis: f64) {
        const KEPT: f64 = 1.0 - 1.0 / SPAN;
        let tokens = tokens.clamp(0.0, MOST_TOKENS);
        let most = (self.millis_for(tokens) * OUTLIER).clamp(OUTLIER_MS, MOST_MS);
        let millis = millis.clamp(0.0, most);
        self.samples = self.samples * KEPT + 1.0;
        self.tokens = self.tokens * KEPT + tokens;
        self.millis = self.millis * KEPT + millis;
        self.tokens_squared = self.tokens_squared * KEPT + tokens * tokens;
        self.tokens_millis = self.tokens_millis * KEPT + tokens * millis;
    }

    /// Time to a first token that the fit gives, milliseconds.
    fn millis_for(&self, tokens: f64) -> f64 {
        (self.millis / self.samples + (tokens - self.tokens / self.samples) / self.tokens_per_ms())
            .max(0.0)
    }

    /// Prompt tokens that are read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        let variance = self.tokens_squared - self.tokens * self.tokens / self.samples;
        let covariance = self.tokens_millis - self.tokens * self.millis / self.samples;
        let rate = if covariance > 0.0 { variance / covariance } else { f64::INFINITY };
        rate.clamp(INITIAL_TOKENS_PER_MS / RANGE, INITIAL_TOKENS_PER_MS * RANGE)
    }
}
