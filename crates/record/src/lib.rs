//! Configuration records and their schema versions.
//!
//! A [`Record`] has a kind, a name, a version and a body in JSON. The body is kept as it was
//! written, so fields that this build does not know survive. [`schema`] knows the fields of each
//! kind by schema version, carries a newer record's fields through an older writer, and upgrades
//! old bodies; the typed views ([`Workspace`], [`Route`], …) read only records they understand.

pub mod full_config;
mod kind;
mod record;
mod routes;
pub mod schema;
mod view;
pub mod weights;

pub use kind::Kind;
pub use record::{Change, Record};
pub use routes::{Backend, Engine, RetryPolicy, Route, RouteTable, Service, Store};
pub use view::{AtMostOnceRule, Rollout, Server, View, Workspace};
