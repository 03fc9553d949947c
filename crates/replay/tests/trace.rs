//! The trace parser meets random and mutated text.

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
    fn any_text_is_read_or_refused(text in "(?s).{0,300}") {
        let _ = Trace::parse(&text);
    }

    #[test]
    fn a_mutated_trace_is_read_or_refused(at in any::<prop::sample::Index>(), put in "[ -~\n]{0,4}") {
        let mut text = generate(Shape::Shatla, 1, 4, 50).text();
        let place = at.index(text.len());
        text.replace_range(place..(place + 2).min(text.len()), &put);
        if let Ok(trace) = Trace::parse(&text) {
            prop_assert_eq!(Trace::parse(&trace.text()), Ok(trace));
        }
    }
}
