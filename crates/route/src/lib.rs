//! The choice of a backend server for a run.
//!
//! [`choose`] takes what is known of each [`Candidate`] and estimates the time to first token: the
//! wait for a place, the fetch over the cache link, the prompt work that remains. The weights of
//! the three measures come from settings. Every estimate is kept in the [`Choice`], so that a
//! decision can be explained afterwards.
//!
//! ```
//! use route::{Candidate, Need, Weights, choose};
//! let per_token = std::time::Duration::from_micros(20);
//! let far = Candidate { name: "far".into(), free: 1, per_token, ..Candidate::default() };
//! let near = Candidate { name: "near".into(), local: 3, ..far.clone() };
//! let need = Need { tokens: 4_000, pieces: 4, ..Need::default() };
//! let choice = choose(&Weights::default(), &need, &[far, near], 0).unwrap();
//! assert_eq!(choice.index, 1);
//! ```

mod choice;
pub mod direct;
mod estimate;
pub mod overload;
mod prefill_rate;

pub use choice::{Choice, choose};
pub use estimate::{Candidate, Estimate, Need, PIECE_TOKENS, Weights, estimate};
pub use prefill_rate::{INITIAL_TOKENS_PER_MS, PrefillRate};
