//! Learns how fast the engines of a service prefill prompts, from observed times to first token.
//!
//! A constant that fits one engine misjudges another: too low a rate rejects requests that would be
//! served in time, too high a rate queues requests that come too late. The time to first token is
//! modelled as a line over the tokens that are prefilled before it. Its slope gives the prefill rate
//! at the present length of the engines' steps, and is fitted by least squares over the latest
//! samples. The intercept, the part that does not depend on tokens, is not used: it is the same at
//! every server.

/// Prefill rate before any sample, tokens per millisecond: that of the slowest engines in use.
pub const INITIAL_TOKENS_PER_MS: f64 = 45.0;
/// Maximum factor by which a learned rate may differ from [`INITIAL_TOKENS_PER_MS`].
const MAX_FACTOR: f64 = 4.0;
/// Number of samples over which the fit decays.
const DECAY_SAMPLES: f64 = 300.0;
/// Weight of [`INITIAL_TOKENS_PER_MS`] in the fit, in samples; half of them have no tokens.
const PRIOR_SAMPLES: f64 = 40.0;
/// Tokens of the other half of these samples: a long prompt.
const PRIOR_TOKENS: f64 = 8_000.0;
/// Upper bound of a sample, as a multiple of the time that the fit predicts, and the minimum of that
/// bound in milliseconds. A longer time means that the server stalled.
const OUTLIER_FACTOR: f64 = 8.0;
const MIN_OUTLIER_MS: f64 = 300.0;
/// Maximum time of a sample, milliseconds, and its maximum number of tokens.
const MAX_SAMPLE_MS: f64 = 2_000.0;
const MAX_SAMPLE_TOKENS: f64 = 40_000.0;

/// The running sums of a least-squares fit of times over tokens.
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
        let (half, millis) = (PRIOR_SAMPLES / 2.0, PRIOR_TOKENS / INITIAL_TOKENS_PER_MS);
        Self {
            samples: PRIOR_SAMPLES,
            tokens: half * PRIOR_TOKENS,
            millis: half * millis,
            tokens_squared: half * PRIOR_TOKENS * PRIOR_TOKENS,
            tokens_millis: half * PRIOR_TOKENS * millis,
        }
    }
}

impl PrefillRate {
    /// Adds a sample: a first token that came `millis` milliseconds after it was sent, with `tokens`
    /// prompt tokens to prefill before it.
    pub fn add_sample(&mut self, tokens: f64, millis: f64) {
        const DECAY: f64 = 1.0 - 1.0 / DECAY_SAMPLES;
        let tokens = tokens.clamp(0.0, MAX_SAMPLE_TOKENS);
        let max_millis =
            (self.predicted_ms(tokens) * OUTLIER_FACTOR).clamp(MIN_OUTLIER_MS, MAX_SAMPLE_MS);
        let millis = millis.clamp(0.0, max_millis);
        self.samples = self.samples * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + tokens;
        self.millis = self.millis * DECAY + millis;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
        self.tokens_millis = self.tokens_millis * DECAY + tokens * millis;
    }

    /// Time to first token that the fit predicts, milliseconds.
    fn predicted_ms(&self, tokens: f64) -> f64 {
        (self.millis / self.samples + (tokens - self.tokens / self.samples) / self.tokens_per_ms())
            .max(0.0)
    }

    /// Prompt tokens that are prefilled per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        let variance = self.tokens_squared - self.tokens * self.tokens / self.samples;
        let covariance = self.tokens_millis - self.tokens * self.millis / self.samples;
        let rate = if covariance > 0.0 { variance / covariance } else { f64::INFINITY };
        rate.clamp(INITIAL_TOKENS_PER_MS / MAX_FACTOR, INITIAL_TOKENS_PER_MS * MAX_FACTOR)
    }
}
