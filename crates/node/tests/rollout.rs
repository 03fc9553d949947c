//! Rollouts to agents.

use std::collections::BTreeMap;

use base::prelude::*;
use node::{Member, Members, plan};
use record::Rollout;
use state::Order;
use wire::{Heartbeat, Hello, Load, ServerInfo};

type Orders = BTreeMap<Name, (Revision, Order)>;

/// Agents with version `v1`; those with an order are leaving.
fn members(now: Time, names: &[&str], orders: &Orders) -> Members {
    let mut members = Members::default();
    for name in names {
        let hello = Hello {
            name: Name::new(name),
            incarnation: Incarnation(1),
            zone: Name::new("z"),
            addr: ([127, 0, 0, 1], 1).into(),
            entry: false,
            keeper: false,
            server: Some(ServerInfo { serves: Name::new("m"), plain: false, slots: 4 }),
        };
        members.connected(now, &hello);
        let load = Some(Load { version: Name::new("v1"), ..Load::default() });
        let leaving = orders.contains_key(*name);
        members.heartbeat(
            now,
            &hello.name,
            &Heartbeat { leaving, ready: true, load, ..Heartbeat::default() },
        );
    }
    members
}

/// A rollout to one agent at a time.
fn rollout(version: u64) -> Rollout {
    let (model, version) = (Name::new("m"), Name::from(format!("v{version}")));
    Rollout { model, version, parallel: 1, floor: 1, paused: false }
}

// Same cause as issue 17, in rollouts to agents: a load in progress was forgotten when the target version changed, so
// that more agents loaded concurrently than the rollout allows.
#[test]
fn another_version_does_not_raise_the_loads_at_once() {
    let now = Time::from_millis(1_000);
    let names = ["a", "b", "c", "d"];
    let mut orders = Orders::new();
    for version in 2..=4_u64 {
        let rollout = rollout(version);
        let members = members(now, &names, &orders);
        let found: Vec<&Member> = members.iter().collect();
        for server in plan(now, &rollout, &found, &orders).issue {
            let (load, by) = (rollout.version.clone(), Name::new("k"));
            let order =
                Order { server: server.clone(), incarnation: Incarnation(1), version: load, by };
            orders.insert(server, (Revision { epoch: 1, index: version }, order));
        }
        let loads: Vec<(&str, &str)> =
            orders.iter().map(|(name, (_, order))| (&**name, &*order.version)).collect();
        assert_eq!(loads, [("a", &*rollout.version)], "the loading agent is redirected");
    }
}

// Guards against more concurrent loads than the rollout allows: agents that had fallen back to old weights counted as
// loading, and were all ordered at the same time.
#[test]
fn agents_that_fell_back_are_ordered_one_after_the_other() {
    let now = Time::from_millis(1_000);
    let names = ["a", "b", "c", "d"];
    let members = members(now, &names, &Orders::new());
    let mut orders = Orders::new();
    for name in names.map(Name::new) {
        let (load, by) = (Name::new("v2"), Name::new("k"));
        let order = Order { server: name.clone(), incarnation: Incarnation(1), version: load, by };
        orders.insert(name, (Revision { epoch: 1, index: 2 }, order));
    }
    let found: Vec<&Member> = members.iter().collect();
    assert_eq!(plan(now, &rollout(3), &found, &orders).issue.len(), 1);
}
