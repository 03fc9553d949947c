//! Commands that generate and replay traces.

use std::fs;

use node::Policy;
use replay::{Outcome, Shape, Trace};
use serde_json::{Map, Value};

use crate::args;
use crate::client::Error;

const BASELINES: [(&str, Policy); 4] = [
    ("round-robin", Policy::RoundRobin),
    ("least-load", Policy::LeastLoad),
    ("prefix-hash", Policy::PrefixHash),
    ("fetch-all", Policy::FetchAll),
];

/// Prints a seeded trace.
pub fn generate(generate: &args::Generate) -> Result<(), Error> {
    let shape = match generate.shape.as_str() {
        "siam-baan" => Shape::SiamBaan,
        "shatla" => Shape::Shatla,
        other => return Err(Error::Rejected(format!("'{other}' is not siam-baan or shatla"))),
    };
    let trace = replay::generate(shape, generate.seed, generate.seconds, generate.load);
    print!("{}", trace.text());
    Ok(())
}

/// Replays a trace; fails if the replay violates an invariant.
pub fn replay(replay: &args::Replay, json: bool) -> Result<(), Error> {
    let path = replay.trace.display();
    let text = fs::read_to_string(&replay.trace)
        .map_err(|error| Error::Rejected(format!("{path}: {error}")))?;
    let trace = Trace::parse(&text).map_err(|error| Error::Rejected(format!("{path}: {error}")))?;
    let mut outcomes: Vec<(&str, Outcome)> =
        vec![("estimate", replay::run(&trace, Policy::Estimate))];
    if replay.baselines {
        for (name, policy) in BASELINES {
            outcomes.push((name, replay::run(&trace, policy)));
        }
    }
    if json {
        let all: Map<String, Value> =
            outcomes.iter().map(|(name, out)| ((*name).to_owned(), out.json())).collect();
        println!("{}", Value::Object(all));
    } else {
        for (name, outcome) in &outcomes {
            println!("== {name}\n{outcome}");
        }
    }
    if let Some(path) = &replay.plot {
        let named: Vec<(&str, &Outcome)> =
            outcomes.iter().map(|(name, out)| (*name, out)).collect();
        fs::write(path, replay::plot(&named))
            .map_err(|error| Error::Rejected(format!("{}: {error}", path.display())))?;
    }
    let violations = outcomes[0].1.violations.len();
    if violations > 0 {
        return Err(Error::Rejected(format!("{violations} invariants violated")));
    }
    Ok(())
}
