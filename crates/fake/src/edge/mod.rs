//! The stand-ins over HTTP; the only part of the crate with sockets and clocks.

pub mod engine;
pub mod plain;
pub mod store;
