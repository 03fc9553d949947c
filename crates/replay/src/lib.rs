//! Deterministic replay of traces, with invariants checked.
//!
//! A [`Trace`] is text: the sizes of a deployment, then requests and faults with their times. [`run`]
//! feeds them through one event queue to the same reducers that the processes run, with `now` taken
//! from the queue. Simulated servers and stores use fixed service times and link rates; networks and
//! machines are not modelled. The same trace yields the same figures every time.

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
