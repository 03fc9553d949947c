//! Which servers the attempts of a stream may go to.

use base::prelude::*;
use resume::{Binding, Fit, Origin};

fn origin(software: &str) -> Origin {
    Origin { service: Name::new("llm"), software: Name::new(software) }
}

// Guards against joining events of two software versions: before the client has an event another version is a last resort, and
// afterwards it is none.
#[test]
fn a_stream_is_bound_once_its_client_may_have_an_event() {
    let (old, new) = (Name::new("v1"), Name::new("v2"));
    let mut binding = Binding::default();
    assert_eq!((binding.fit(&old), binding.fit(&new)), (Fit::Fits, Fit::Fits));
    binding.begin();
    assert!(!binding.is_final(), "nothing was sent");
    binding = Binding::Sent(origin("v1"));
    assert_eq!((binding.fit(&old), binding.fit(&new)), (Fit::Fits, Fit::Moves));
    binding.begin();
    assert!(binding.is_final());
    assert_eq!((binding.fit(&old), binding.fit(&new)), (Fit::Fits, Fit::Unfit));
    assert_eq!(binding.origin(), Some(&origin("v1")));
}

// Guards against going on with a stream although nobody is certain what wrote its events.
#[test]
fn an_uncertain_stream_fits_no_server() {
    assert_eq!(Binding::Uncertain.fit(&Name::new("v1")), Fit::Unfit);
    assert_eq!(Binding::Uncertain.origin(), None);
}
