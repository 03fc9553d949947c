//! Selection of the backend server for a request, by estimated time to first token.
//!
//! [`choose`] serves servers behind an agent. For each [`Candidate`] it estimates the time to first
//! token from the wait for a free slot, the fetch over the cache link and the remaining prefill.
//! The weights of the three measures come from the settings. The [`Choice`] holds the estimate, so
//! that the decision can be explained afterwards. [`direct`] and [`overload`] do the same for servers
//! that are called without an agent; [`admission`] also lets requests of several ranks wait.
//!
//! A prompt is divided into prefix blocks of [`PIECE_TOKENS`] tokens, which identifiers call pieces.
//!
//! ```
//! use route::{Candidate, Need, Weights, choose};
//! let per_token = std::time::Duration::from_micros(20);
//! let cold =
//!     Candidate { name: "cold".into(), free_slots: 1, per_token, ..Candidate::default() };
//! let warm = Candidate { name: "warm".into(), local_pieces: 3, ..cold.clone() };
//! let need = Need { tokens: 4_000, pieces: 4, ..Need::default() };
//! let choice = choose(&Weights::default(), &need, &[cold, warm], 0).unwrap();
//! assert_eq!(choice.index, 1);
//! ```

pub mod admission;
mod choice;
pub mod direct;
mod estimate;
pub mod overload;
mod prefill_rate;
mod service_time;

pub use choice::{Choice, choose};
pub use estimate::{Candidate, Estimate, Need, PIECE_TOKENS, Weights, estimate};
pub use prefill_rate::{INITIAL_TOKENS_PER_MS, PrefillRate};
pub use service_time::ServiceTime;
