//! Stand-ins for the systems that tamarackbank meets: a model engine, a plain service and a store.
//!
//! [`Batch`] is the engine's behaviour as a plain value: continuous batching with a step time, a
//! prefix cache of limited memory, numbered cache events with gaps. [`engine`], [`plain`] and
//! [`store`] serve the stand-ins over HTTP for process tests, benches and `tamarackbank dev`.

mod answer;
mod batch;
mod edge;

pub use answer::{Answer, answer};
pub use batch::{Batch, Event, Job, Output, Profile};
pub use edge::{engine, plain, store};
