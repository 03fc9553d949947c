//! The prefill rate is learned for engines slower and faster than the initial value, and despite outliers.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use route::{INITIAL_TOKENS_PER_MS, PrefillRate};
use test_case::test_case;

#[test_case(0.3, 0.0; "slow")]
#[test_case(1.0, 60.0; "as the initial value, with a fixed time per request")]
#[test_case(3.5, 20.0; "fast")]
fn the_rate_is_learned_from_first_tokens(factor: f64, fixed_ms: f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut rate = PrefillRate::default();
    for _ in 0..1_500 {
        let tokens = rng.random_range(0.0..12_000.0);
        let noise = rng.random_range(0.7..1.3);
        rate.add_sample(tokens, fixed_ms + tokens / (INITIAL_TOKENS_PER_MS * factor) * noise);
    }
    let found = rate.tokens_per_ms() / (INITIAL_TOKENS_PER_MS * factor);
    assert!((0.85..1.15).contains(&found), "{found:.2} of the rate");
}

// Guards against samples of a server that hangs: they are no evidence of how fast the others prefill.
#[test]
fn outliers_are_bounded() {
    let mut rate = PrefillRate::default();
    for number in 0..1_000 {
        let tokens = f64::from(number % 10) * 1_000.0;
        let hangs = number % 50 == 0;
        rate.add_sample(tokens, if hangs { 60_000.0 } else { tokens / INITIAL_TOKENS_PER_MS });
    }
    let found = rate.tokens_per_ms() / INITIAL_TOKENS_PER_MS;
    assert!((0.5..2.0).contains(&found), "{found:.2} of the rate");
    for _ in 0..1_000 {
        rate.add_sample(1_000.0, 100_000.0);
    }
    assert!(
        rate.tokens_per_ms() >= INITIAL_TOKENS_PER_MS / 4.0,
        "never less than a quarter of the initial value"
    );
}

#[test]
fn the_default_rate_is_the_initial_value() {
    assert!((PrefillRate::default().tokens_per_ms() - INITIAL_TOKENS_PER_MS).abs() < 0.01);
}
