//! Fuzzes the trace parser with random and mutated text.

use proptest::prelude::*;
use replay::{Shape, Trace, generate};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    // Must not panic.
    fn any_text_is_parsed_or_rejected(text in "(?s).{0,300}") {
        let _ = Trace::parse(&text);
    }

    #[test]
    fn a_mutated_trace_is_parsed_or_rejected(at in any::<prop::sample::Index>(), inserted in "[ -~\n]{0,4}") {
        let mut text = generate(Shape::Shatla, 1, 4, 50).text();
        let start = at.index(text.len());
        text.replace_range(start..(start + 2).min(text.len()), &inserted);
        if let Ok(trace) = Trace::parse(&text) {
            prop_assert_eq!(Trace::parse(&trace.text()), Ok(trace));
        }
    }
}
