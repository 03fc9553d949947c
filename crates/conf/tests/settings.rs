//! All errors in settings are reported, and any text is parsed or rejected without a panic.

use conf::{Role, Settings};
use proptest::prelude::*;

#[test]
fn all_errors_are_reported_with_their_lines() {
    let text = "[process]\nname = a\nroles = entry, king\nlink = here\ncolour = red\n\
                [entry]\nmax_waiting = -1\nmax_waiting = 5\n[moon]\nx = 1\n";
    let errors = Settings::parse(text).expect_err("errors");
    let seen: Vec<(u32, &str)> = errors.iter().map(|m| (m.line, m.key.as_str())).collect();
    assert_eq!(
        seen,
        [
            (3, "process.roles"),
            (4, "process.link"),
            (5, "process.colour"),
            (8, "entry.max_waiting"),
            (9, "moon"),
        ]
    );
    assert!(errors[2].text.contains("allowed: name, zone"), "{}", errors[2]);
}

#[test]
fn a_keeper_without_voters_is_an_error() {
    let errors = Settings::parse("[process]\nname = a\nroles = keeper\n").expect_err("an error");
    assert_eq!(errors[0].key, "keeper.voters");
}

#[test]
fn the_example_settings_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let mut roles = std::collections::BTreeSet::new();
    let mut zones = std::collections::BTreeSet::new();
    for deployment in std::fs::read_dir(folder).expect("examples") {
        for file in std::fs::read_dir(deployment.expect("a folder").path()).expect("files") {
            let path = file.expect("a file").path();
            let text = std::fs::read_to_string(&path).expect("reads");
            let settings = Settings::parse(&text)
                .unwrap_or_else(|errors| panic!("{}: {errors:?}", path.display()));
            roles.extend(settings.roles);
            zones.insert(settings.zone);
        }
    }
    assert_eq!(roles.len(), 3, "every role: {roles:?}");
    assert!(roles.contains(&Role::Keeper));
    assert_eq!(zones.len(), 7, "four zones in Bangkok and three in Amman: {zones:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in "(?s).{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn lines_like_settings_are_parsed_or_rejected(
        lines in prop::collection::vec("(\\[[a-z]{0,8}\\]|[a-z_]{1,12} ?= ?[ -~]{0,20}|;.{0,9})", 0..20)
    ) {
        let _ = Settings::parse(&lines.join("\n"));
    }
}
