//! Plots time to first token over the trace as SVG.

use std::fmt::Write as _;

use crate::Outcome;

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 420.0;
const MARGIN: f64 = 55.0;
const COLOURS: [&str; 6] = ["#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#555555"];

/// Plots several replays of one trace, each with its name. The axis of time to first token is logarithmic.
pub fn plot(outcomes: &[(&str, &Outcome)]) -> String {
    let points = || outcomes.iter().flat_map(|(_, outcome)| &outcome.points);
    let last = points().map(|(arrival, _, _)| *arrival).fold(1.0, f64::max);
    let max_ms = points().map(|(_, first, _)| first.as_secs_f64() * 1e3).fold(10.0, f64::max);
    let x = |arrival: f64| MARGIN + (WIDTH - 2.0 * MARGIN) * arrival / last;
    let y = |ms: f64| {
        let share = ms.max(1.0).log10() / max_ms.log10().max(1.0);
        HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * share
    };
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let mut ms = 1.0;
    while ms <= max_ms {
        let line = y(ms);
        let _ = writeln!(
            out,
            "<line x1=\"{MARGIN}\" x2=\"{:.0}\" y1=\"{line:.1}\" y2=\"{line:.1}\" stroke=\"#ddd\"/>\
             <text x=\"4\" y=\"{line:.1}\">{ms} ms</text>",
            WIDTH - MARGIN
        );
        ms *= 10.0;
    }
    for (index, (name, outcome)) in outcomes.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        for (arrival, first, _) in &outcome.points {
            let _ = writeln!(
                out,
                "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"1.5\" fill=\"{colour}\" opacity=\"0.5\"/>",
                x(*arrival),
                y(first.as_secs_f64() * 1e3)
            );
        }
        let _ = writeln!(
            out,
            "<text x=\"{:.0}\" y=\"20\" fill=\"{colour}\">{name}</text>",
            MARGIN + 150.0 * index as f64
        );
    }
    let _ = writeln!(
        out,
        "<text x=\"{:.0}\" y=\"{:.0}\">time to first token over {last:.0} s of trace</text>\n</svg>",
        WIDTH / 2.0 - 120.0,
        HEIGHT - 15.0
    );
    out
}
