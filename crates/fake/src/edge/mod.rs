//! The stand-ins over HTTP. Only this module uses sockets and clocks.

pub mod engine;
pub mod plain;
pub mod store;
