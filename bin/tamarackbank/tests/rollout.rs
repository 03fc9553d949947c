//! Rollouts of weight versions, with servers that check fencing tokens and servers that ignore them; drains.

mod harness;

use harness::{
    agent_of, complete, completion, fake, folder, get, keepers, leader, post, put, until,
};
use serde_json::json;
use test_case::test_case;

fn versions(operators: &str) -> Vec<String> {
    let value = get(operators, "/v1/servers");
    let servers = value["servers"].as_array().cloned().unwrap_or_default();
    let version = |server: &serde_json::Value| Some(server["version"].as_str()?.to_owned());
    servers.iter().filter_map(version).collect()
}

#[test_case(true, 21; "servers that check tokens")]
#[test_case(false, 22; "servers that ignore tokens")]
fn a_rollout_goes_on_when_its_leader_dies(checks: bool, test: u8) {
    let folder = folder(&format!("rollout-{checks}"));
    let mut keepers = keepers(&folder, test);
    let mut more = vec!["--step-us", "1000"];
    if checks {
        more.push("--checks-tokens");
    }
    let engines: Vec<_> = (0..3).map(|_| fake("engine", &more)).collect();
    let _agents: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(n, (_, addr))| agent_of(&folder, test, &format!("agent-{n}"), addr, "serves = demo"))
        .collect();
    assert_eq!(complete(&keepers[0].callers, &completion("warm", 2, false)).0, 200);
    let operators = keepers[0].operators.clone();
    until("all servers are listed", || versions(&operators).len() == 3);
    put(&operators, "model/demo", 0, &json!({}));
    put(&operators, "version/v2", 0, &json!({ "model": "demo" }));
    let rollout = json!({ "model": "demo", "version": "v2", "parallel": 1, "floor": 2 });
    let (status, text) = put(&operators, "rollout/demo", 0, &rollout);
    assert_eq!(status, 200, "{text}");
    let dead = leader(&keepers);
    keepers[dead].process.kill();
    let alive = (dead + 1) % 3;
    let operators = keepers[alive].operators.clone();
    until("all servers have loaded v2", || {
        let found = versions(&operators);
        found.len() == 3 && found.iter().all(|version| version == "v2")
    });
    assert_eq!(complete(&keepers[alive].callers, &completion("after", 2, false)).0, 200);
}

#[test]
fn a_drained_server_gets_nothing_new() {
    let folder = folder("drained");
    let keepers = keepers(&folder, 23);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let agent = agent_of(&folder, 23, "agent-1", &addr, "serves = demo");
    let callers = keepers[0].callers.clone();
    assert_eq!(complete(&callers, &completion("warm", 2, false)).0, 200);
    put(&keepers[1].operators, "server/agent-1", 0, &json!({ "drain": true }));
    until("the agent is leaving", || get(&agent.operators, "/dump")["agent"]["leaving"] == true);
    until("the entry sees the agent leaving", || {
        get(&keepers[0].operators, "/dump")["entry"]["servers"][0]["leaving"] == true
    });
    let started = get(&addr, "/started");
    let (status, body) = post(&callers, "/v1/completions", &completion("x", 2, false), &[]);
    assert_eq!(status, 503, "{body}");
    assert_eq!(get(&addr, "/started"), started);
}
