//! Where a stream may go on after it broke off.
//!
//! The load pattern: servers of two software versions serve side by side during a rolling release, while crashes break
//! streams off. A stream goes on at another server within its response. What servers of two software versions write of one
//! stream does not fit together, and servers don't check it.
//!
//! Until the client has an event, a retry prefers servers of the [`Origin`] that the first attempt was sent to, but may move to
//! another one; after that, the [`Binding`] is fixed.

mod binding;
mod origin;

pub use binding::{Binding, Fit};
pub use origin::Origin;
