//! Replay of recorded traces against stated outcomes.
//!
//! A [`Trace`] is text: the deployment, requests and faults, each with its time. [`run`] puts them
//! into one queue that feeds the very reducers the processes run, with `now` taken from the trace.
//! Stand-ins answer with set service times and link rates; there is no model of a network or of
//! machines. The same trace gives the same figures each time.

mod generate;
mod outcome;
mod plot;
mod trace;
mod world;

pub use generate::{Shape, generate};
pub use outcome::{Outcome, Violation};
pub use plot::plot;
pub use trace::{Ask, Deployment, Fault, Line, ParseError, Trace};
pub use world::run;
