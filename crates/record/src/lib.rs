//! Configuration records and their schema versions.
//!
//! A [`Record`] has a kind, a name, a version and a JSON body. The body is stored as it was written,
//! so that fields unknown to this build are preserved. [`schema`] defines the fields of each kind per
//! schema version, preserves newer fields when an older writer replaces a record, and upgrades old
//! bodies. The typed views ([`Workspace`], [`Route`], …) are built only from records whose schema this
//! build supports.

pub mod full_config;
mod kind;
mod record;
mod regions;
mod routes;
pub mod schema;
mod view;
pub mod weights;

pub use kind::Kind;
pub use record::{Change, Record};
pub use regions::Restriction;
pub use routes::{Backend, ColdStart, Engine, RetryPolicy, Route, RouteTable, Service, Store};
pub use view::{AtMostOnceRule, Rollout, Server, View, Workspace};
