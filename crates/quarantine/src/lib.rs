//! Quarantine of requests and prompt segments that crash servers ("queries of death").
//!
//! The load pattern: a few requests in a hundred have a prompt with one segment under which every server ends as it
//! begins the response. They come at any entry, no two alike, and share their workspace and their other segments with
//! sound requests. Each one ends all runs of its server; retries carry it to the next. Or a whole request, with or without a
//! prompt, ends each server that runs it, and its caller sends it again: the same method, path and body under another ID.
//!
//! Entries observe three things and exchange them, so that every process decides on the same evidence:
//!
//! | [`Observation`] | what an entry observed |
//! |---|---|
//! | [`Loss`] | a server ended some of its runs, and which of them the server had not begun to answer |
//! | [`Survival`] | a server began a response to a request with this possible [`Cause`] and continued |
//! | [`Trial`] | the leader permitted one request with a quarantined cause |
//!
//! The cause of a crash is one of the requests that the server was about to answer. Those that it had long been answering
//! are victims, and so are requests that had only been sent, if there are others for which the response head was received.
//! A [`Table`] merges the observations and finds the segments that explain the crashes: those in several crashes without a
//! survival since the first of them. Segments that were never seen to survive explain a crash before those that were, so
//! that the segments of the workspace and the kind of request, which sound requests share, aren't blamed. A whole request is
//! blamed for the crashes that no segment explains.
//!
//! A plain request that is lost at three servers without a response is blamed although nothing else shows that they crashed:
//! each may have run it alone. A server that answers a request which was sent after the loss has not crashed.
//!
//! Merging is idempotent and commutative. Frames may be lost, repeated and reordered.
//!
//! ```
//! use base::{Name, Time};
//! use quarantine::{Candidate, Content, Loss, Observation, Server, Stage, Table};
//!
//! let mut table = Table::default();
//! for (millis, server) in [(0, "i-1"), (400, "i-2")] {
//!     let candidate = Candidate {
//!         request: Name::from(format!("request at {server}")),
//!         stage: Stage::Begun,
//!         content: Content { model: Name::new("model"), segments: vec![7], ..Content::default() },
//!     };
//!     for (entry, candidates) in [("entry-1", vec![candidate]), ("entry-2", Vec::new())] {
//!         let loss = Loss {
//!             server: Server { id: Name::new(server), born: None },
//!             entry: Name::new(entry),
//!             at: Time::from_millis(millis),
//!             lost: 3,
//!             remaining: 0,
//!             refused: false,
//!             answered: false,
//!             candidates,
//!         };
//!         table.merge(&Observation::Loss(loss));
//!     }
//! }
//! table.update(Time::from_millis(500), 2);
//! let prompt = |segments: &[u64]| Content {
//!     model: Name::new("model"),
//!     segments: segments.to_vec(),
//!     ..Content::default()
//! };
//! assert!(table.find(&prompt(&[3, 7])).is_some());
//! assert!(table.find(&prompt(&[3])).is_none());
//! ```

mod crash;
mod observation;
mod table;
mod verdict;

pub use crash::Crash;
pub use observation::{
    Candidate, Cause, Content, Loss, Observation, Server, Stage, Survival, Trial,
};
pub use table::{Changes, MAX_TRIALS, TRIAL_VALIDITY, Table};
pub use verdict::Hold;
