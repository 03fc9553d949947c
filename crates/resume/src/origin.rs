//! What began a stream.

use base::prelude::*;

/// The service and software version that begin a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Service.
    pub service: Name,
    /// Software version of the server.
    pub software: Name,
}
