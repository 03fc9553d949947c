//! docs/CODES.md and the enum agree.

use std::collections::BTreeSet;

use base::Code;

#[test]
fn the_table_and_the_enum_agree() {
    let text = include_str!("../../../docs/CODES.md");
    let row = |code: &Code| {
        format!(
            "| {} | {} | {} | {} |",
            code.number(),
            code.as_str(),
            code.status(),
            code.fate().as_str()
        )
    };
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len(), "duplicate numbers");
    for code in Code::ALL {
        assert!(text.contains(&row(code)), "{} is missing or differs", row(code));
    }
    let rows = text.lines().filter(|line| line.starts_with("| ") && !line.contains("code |"));
    assert_eq!(rows.count(), Code::ALL.len());
}
