//! Rollouts of weight versions, run by the leader among the keepers.
//!
//! A rollout is a record that names the target version of a model's replicas. The plan is derived from the
//! replicated state and the agents' reports, so that a new leader continues where the previous one stopped.
//! An order is first committed to the log; its position there is its fencing token.

use std::collections::BTreeMap;

use base::prelude::*;
use record::Rollout;
use state::Order;

use crate::members::{Member, MemberStatus};

/// What the leader does next for a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Agents to order to load the version.
    pub issue: Vec<Name>,
    /// Agents that were ordered to load the version and don't report it yet.
    pub loading: Vec<Name>,
    /// Agents that hold the version.
    pub done: usize,
    /// Total number of agents.
    pub all: usize,
}

/// Plans the next orders of a rollout: at most `parallel` concurrent loads, and at least `floor` serving
/// replicas.
pub fn plan(
    now: Time,
    rollout: &Rollout,
    members: &[&Member],
    orders: &BTreeMap<Name, (Revision, Order)>,
) -> Plan {
    let mut plan = Plan::default();
    let mut serving = 0;
    let mut waiting = Vec::new();
    // Agents that still load another version: they are ordered to load this one and count against `parallel`.
    let mut redirected = Vec::new();
    for member in members {
        let serves = member.hello.server.as_ref();
        if !serves.is_some_and(|server| !server.plain && server.serves == rollout.model) {
            continue;
        }
        let status = member.status(now);
        if status == MemberStatus::Gone {
            continue;
        }
        plan.all += 1;
        let name = &member.hello.name;
        let reported = member.heartbeat.load.as_ref().map(|load| &load.version);
        let has_version = reported == Some(&rollout.version);
        let order = orders.get(name).map(|(_, order)| order);
        let order = order.filter(|order| order.incarnation == member.hello.incarnation);
        let ready = status == MemberStatus::Ready;
        let stays_in_service = match order {
            _ if has_version => {
                plan.done += 1;
                true
            }
            Some(order) if order.version == rollout.version => {
                plan.loading.push(name.clone());
                false
            }
            // `!ready`: an agent that is ready with old weights, e.g. after its engine restarted, no longer executes
            // its order.
            Some(order) if !ready && reported != Some(&order.version) => {
                redirected.push(name.clone());
                false
            }
            _ => {
                waiting.extend(ready.then(|| name.clone()));
                true
            }
        };
        serving += usize::from(ready && stays_in_service);
    }
    if rollout.paused {
        return plan;
    }
    plan.issue = redirected;
    for name in waiting {
        if plan.loading.len() + plan.issue.len() >= rollout.parallel {
            break;
        }
        if serving <= rollout.floor {
            break;
        }
        serving -= 1;
        plan.issue.push(name);
    }
    plan
}
