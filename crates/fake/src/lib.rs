//! Stand-ins for the systems that tamarackbank talks to: a model engine, a plain service and a store.
//!
//! [`Batch`] models the engine without I/O or clocks: continuous batching with a step time, a prefix
//! cache of limited size and numbered cache events, some of which are lost. [`engine`], [`plain`] and
//! [`store`] serve the stand-ins over HTTP for process tests, benchmarks and `tamarackbank dev`.

mod answer;
mod batch;
mod edge;

pub use answer::{Answer, answer};
pub use batch::{Batch, Event, Job, Output, Profile};
pub use edge::{engine, plain, store};
