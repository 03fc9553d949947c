//! Which servers the attempts of one request may go to.

use base::prelude::*;

use crate::Origin;

/// How well a server fits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It may be used.
    Fits,
    /// It may be used if no other server fits: the origin of the stream then moves to it.
    Moves,
    /// It must not be used.
    Unfit,
}

/// Binds the attempts of a request to an origin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Binding {
    /// Not bound: a request that is no resumable stream, or one that was not sent yet.
    #[default]
    Free,
    /// An attempt was sent there, and the client has no event.
    Sent(Origin),
    /// The client may have events from there.
    Begun(Origin),
    /// The client may have events, but what wrote them is not certain any more.
    Uncertain,
}

impl Binding {
    /// The origin, if there is a certain one.
    pub fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Free | Self::Uncertain => None,
            Self::Sent(origin) | Self::Begun(origin) => Some(origin),
        }
    }

    /// How well a server of this software version fits.
    pub fn fit(&self, software: &Name) -> Fit {
        match self {
            Self::Uncertain => Fit::Unfit,
            Self::Sent(origin) if origin.software != *software => Fit::Moves,
            Self::Begun(origin) if origin.software != *software => Fit::Unfit,
            Self::Free | Self::Sent(_) | Self::Begun(_) => Fit::Fits,
        }
    }

    /// The client may have events from now on, so the origin is final.
    pub fn begin(&mut self) {
        if let Self::Sent(origin) = self {
            *self = Self::Begun(origin.clone());
        }
    }

    /// Whether only servers of its origin may be used.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Begun(_) | Self::Uncertain)
    }
}
