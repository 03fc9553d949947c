//! Where a stream may go on after it broke off.
//!
//! The load pattern: servers of two software versions serve side by side during a rolling release, while crashes, restarts
//! of entries and losses of power break streams off. A stream goes on at another server, within its response or in a later
//! request of the same client at any entry. What servers of two software versions write of one stream does not fit
//! together, and servers don't check it.
//!
//! Each stream that may go on has an [`Origin`]: the service and the software version that begin it. The origin is
//! recorded in a [`Table`] when the first attempt is sent, which is before the first event by the time of a prefill, so that
//! the record costs no time. Until the client has an event, a retry prefers servers of the origin but may move to another one;
//! after that, the [`Binding`] is fixed. An entry that doesn't find the origin of a stream refuses to go on with it: which
//! versions it sees itself says nothing about the past.
//!
//! ```
//! use base::prelude::*;
//! use resume::{Key, Lookup, Origin, Table, Write};
//!
//! let mut table = Table::default();
//! let key = Key::new(Some("shop"), "9c41d07be2a35f68");
//! let origin = Origin { service: Name::new("llm"), software: Name::new("v1") };
//! table.insert(Time::ZERO, key, Write::First(origin.clone()));
//! assert_eq!(table.lookup(key), Lookup::Known(origin));
//! ```

mod binding;
mod key;
mod origin;
mod refusal;
mod table;

pub use binding::{Binding, Fit};
pub use key::Key;
pub use origin::Origin;
pub use refusal::{Availability, Refusal};
pub use table::{Lookup, MAX_RECORDS, RETENTION, Table, Write};
