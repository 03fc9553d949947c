//! The configuration and servers of a shop, for tests of forwarded requests.

use std::net::SocketAddr;

use base::prelude::*;
use fleet::Listed;
use limit::Allowance;
use node::forward::Config;
use record::{Change, Kind, Record, View, schema};
use serde_json::{Value, json};

/// Address of the only store.
pub const STORE: &str = "10.0.0.9:1";

fn record(kind: Kind, name: &str, body: &Value) -> Change {
    let place = Revision { epoch: 1, index: 1 };
    let by = Name::new("op");
    Change {
        kind,
        name: Name::new(name),
        revision: place,
        by: by.clone(),
        at_ms: 0,
        record: Some(Record {
            kind,
            name: Name::new(name),
            version: 1,
            schema: schema::newest(kind),
            min_schema: 1,
            body: body.to_string().into(),
            created: place,
            revision: place,
            by,
            at_ms: 0,
        }),
    }
}

/// A view with a weight version named.
pub fn view(weights: u64) -> View {
    let route = |prefix: &str, repeat: &str, attempts: u64| {
        json!({
            "host": "shop", "prefix": prefix, "repeat": repeat, "timeout_ms": 4_000,
            "backends": [{ "service": "llm", "weight": 1 }], "attempts": attempts,
        })
    };
    let engine = json!({
        "model": "m", "slots": 8, "tokens": 50_000, "token_bytes": 300_000,
        "link_rate": 500_000_000_000_u64,
    });
    let store = json!({
        "addr": STORE, "zone": "a", "tokens": 1_000_000, "link_rate": 400_000_000_000_u64,
        "latency_us": 6_000,
    });
    let mut view = View::default();
    view.apply(&[
        record(Kind::Service, "llm", &json!({ "engine": engine })),
        record(Kind::Service, "store", &json!({ "store": store })),
        record(
            Kind::Workspace,
            "shop",
            &json!({ "keys": [blake3::hash(b"key").to_hex().as_str()] }),
        ),
        record(
            Kind::Workspace,
            "wall",
            &json!({ "keys": [blake3::hash(b"own").to_hex().as_str()], "isolated": true }),
        ),
        record(Kind::Route, "once", &route("/once/", "never", 1)),
        record(Kind::Route, "twice", &route("/twice/", "never", 2)),
        record(Kind::Route, "safe", &route("/safe/", "always", 2)),
        record(Kind::Route, "stream", &route("/stream/", "resume", 2)),
        record(Kind::Rollout, "m", &json!({ "model": "m", "version": format!("m@{weights}") })),
    ]);
    view
}

/// Address of a server.
pub fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1], number))
}

/// Settings of forwarding.
pub fn config() -> Config {
    Config {
        allowance: Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) },
        list_interval: Duration::from_secs(1),
        drain_delay: Duration::from_secs(3),
        server_drain: Duration::from_secs(3),
        lease: Duration::from_secs(1),
        old_weights: Duration::from_secs(5),
        deny_window: Duration::from_millis(1_500),
    }
}

/// Entry of the list for a server of an engine.
pub fn listed(number: u16) -> Listed {
    Listed {
        id: Name::from(format!("i-{number}")),
        born: None,
        service: Name::new("llm"),
        addr: addr(number),
        zone: Name::new("a"),
        slots: 8,
        leaving: false,
        cold: Duration::ZERO,
        models: vec![(Name::new("m"), 1)],
    }
}
