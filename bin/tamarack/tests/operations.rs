//! Runs the commands of docs/OPERATIONS.md on the recorded logs, and compares what they print with the page.

use std::path::Path;
use std::process::Command;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
/// Marks omitted text in an excerpt.
const ELLIPSIS: char = '…';

/// The fenced blocks of the page: language and text.
fn blocks() -> Vec<(&'static str, &'static str)> {
    let fenced = PAGE.split("```").skip(1).step_by(2);
    fenced.filter_map(|block| block.split_once('\n')).collect()
}

/// Whether a line contains the parts of an excerpt in this order.
fn matches_excerpt(line: &str, excerpt: &str) -> bool {
    let mut rest = line;
    excerpt.split(ELLIPSIS).map(str::trim).all(|part| match rest.split_once(part) {
        Some((_, after)) => {
            rest = after;
            true
        }
        None => false,
    })
}

#[test]
fn each_command_of_the_page_prints_the_output_shown() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let own = Path::new(env!("CARGO_BIN_EXE_tamarack")).parent().expect("a folder");
    let path = format!("{}:{}", own.display(), std::env::var("PATH").unwrap_or_default());
    let blocks = blocks();
    let (pairs, odd) = blocks.as_chunks::<2>();
    assert!(odd.is_empty() && pairs.len() >= 4, "commands alternate with their output");
    for [(shell, command), (text, excerpt)] in pairs {
        assert_eq!((*shell, *text), ("sh", "text"), "{command}");
        let output = Command::new("sh")
            .args(["-ec", command])
            .current_dir(&root)
            .env("PATH", &path)
            .output()
            .expect("a shell");
        let printed = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success() && errors.is_empty(), "{command}{printed}{errors}");
        let mut lines = printed.lines();
        for wanted in excerpt.lines() {
            assert!(
                lines.any(|line| matches_excerpt(line, wanted)),
                "{command}{wanted}\nnot in\n{printed}"
            );
        }
    }
}
