//! Three keepers as separate processes, with crashes, lost disks, freezes and a restore.

mod harness;

use std::collections::BTreeSet;
use std::fs;

use harness::{
    agent_of, complete, completion, fake, folder, get, has_record, keeper, keepers, leader, post,
    put, put_as, start, streamed, until,
};
use serde_json::json;

#[test]
fn accepted_records_survive_the_death_of_a_leader() {
    let folder = folder("leader-dies");
    let mut keepers = keepers(&folder, 1);
    for version in 0..20 {
        let body = json!({ "max_tokens": version + 1 });
        let (status, text) = put(&keepers[0].operators, "model/m", version, &body);
        assert_eq!(status, 200, "{text}");
    }
    let dead = leader(&keepers);
    keepers[dead].process.kill();
    let alive = &keepers[(dead + 1) % 3];
    let (status, text) = put(&alive.operators, "model/m", 20, &json!({ "max_tokens": 21 }));
    assert_eq!(status, 200, "{text}");
    // The killed keeper starts again with its disk and catches up.
    let again = start(keepers[dead].settings.clone());
    until("the restarted keeper catches up", || has_record(&again.operators, "model/m", 21));
}

#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_costs_nothing() {
    let folder = folder("lost-disk");
    let mut keepers = keepers(&folder, 2);
    for version in 0..10 {
        put(&keepers[0].operators, "model/m", version, &json!({ "max_tokens": version + 1 }));
    }
    let lost = (leader(&keepers) + 1) % 3;
    let before = get(&keepers[lost].operators, "/dump")["keeper"]["me"].clone();
    keepers[lost].process.kill();
    fs::remove_dir_all(folder.join(format!("k{}", lost + 1))).expect("its disk is lost");
    keepers[lost] = start(keepers[lost].settings.clone());
    let operators = keepers[lost].operators.clone();
    let member = get(&operators, "/dump")["keeper"]["me"].clone();
    assert_ne!(before, member, "a new disk gets a new identity");
    until("the new disk is a voter", || {
        let dump = get(&operators, "/dump");
        let voters = dump["keeper"]["voters"].as_array().cloned().unwrap_or_default();
        voters.contains(&member) && !voters.contains(&before) && voters.len() == 3
    });
    // Directly after the repair another keeper crashes.
    let second = leader(&keepers);
    keepers[second].process.kill();
    let rest = (0..3).find(|place| *place != second).unwrap_or(0);
    let (status, text) = put(&keepers[rest].operators, "model/m", 10, &json!({ "max_tokens": 99 }));
    assert_eq!(status, 200, "{text}");
}

#[test]
fn racing_operators_get_one_winner() {
    let folder = folder("race");
    let keepers = keepers(&folder, 3);
    put(&keepers[0].operators, "model/m", 0, &json!({ "max_tokens": 1 }));
    let racers: Vec<_> = (0..9)
        .map(|racer: u64| {
            let operators = keepers[racer as usize % 3].operators.clone();
            let body = json!({ "max_tokens": 100 + racer });
            std::thread::spawn(move || put(&operators, "model/m", 1, &body).0)
        })
        .collect();
    let statuses: Vec<u16> = racers.into_iter().map(|r| r.join().expect("ends")).collect();
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1, "{statuses:?}");
    assert!(statuses.iter().all(|status| [200, 409].contains(status)), "{statuses:?}");
    until("all keepers have the same record", || {
        let bodies: BTreeSet<String> = keepers
            .iter()
            .map(|k| get(&k.operators, "/v1/records/model/m")["records"][0]["body"].to_string())
            .collect();
        bodies.len() == 1
    });
}

#[test]
fn a_resend_across_a_change_of_leader_answers_the_same() {
    let folder = folder("resend");
    let mut keepers = keepers(&folder, 4);
    let body = json!({ "max_tokens": 5 });
    let first = put_as(&keepers[0].operators, "model/m", 0, &body, "change-17");
    put(&keepers[0].operators, "model/m", 1, &json!({ "max_tokens": 6 }));
    let dead = leader(&keepers);
    keepers[dead].process.kill();
    let again = put_as(&keepers[(dead + 1) % 3].operators, "model/m", 0, &body, "change-17");
    assert_eq!(first, again);
}

#[test]
fn an_isolated_entry_stops_and_a_frozen_one_catches_up_before_it_serves() {
    let folder = folder("frozen");
    let keepers = keepers(&folder, 5);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let _agent = agent_of(&folder, 5, "agent-1", &addr, "serves = demo");
    let frozen = (leader(&keepers) + 1) % 3;
    let callers = keepers[frozen].callers.clone();
    assert_eq!(complete(&callers, &completion("warm", 2, false)).0, 200);
    keepers[frozen].process.signal("STOP");
    // While the entry is frozen, the key of the workspace is replaced.
    let key = blake3::hash(b"new key").to_hex().to_string();
    let other = (frozen + 1) % 3;
    let body = json!({ "keys": [key] });
    let (status, text) = put(&keepers[other].operators, "workspace/demo", 1, &body);
    assert_eq!(status, 200, "{text}");
    std::thread::sleep(std::time::Duration::from_millis(3_500));
    keepers[frozen].process.signal("CONT");
    // It must never serve by the old record: it is unready at first, then rejects the old key.
    let mut seen = BTreeSet::new();
    until("it rejects the old key", || {
        let (status, _) = post(&callers, "/v1/completions", &completion("late", 2, false), &[]);
        seen.insert(status);
        status == 401
    });
    assert!(!seen.contains(&200), "{seen:?}");
}

#[test]
fn a_keeper_alone_stops_within_seconds() {
    let folder = folder("two-lost");
    let mut keepers = keepers(&folder, 6);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let _agent = agent_of(&folder, 6, "agent-1", &addr, "serves = demo");
    assert_eq!(complete(&keepers[0].callers, &completion("warm", 2, false)).0, 200);
    keepers[1].process.kill();
    keepers[2].process.kill();
    // A keeper without a majority cannot know what the others accept, so it must stop serving within seconds.
    until("it is no longer ready", || get(&keepers[0].operators, "/ready")["ready"] == false);
    let (status, body) =
        post(&keepers[0].callers, "/v1/completions", &completion("x", 2, false), &[]);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("2006"), "{body}");
    // With a second keeper there is a majority again.
    let _back = start(keepers[1].settings.clone());
    assert_eq!(complete(&keepers[0].callers, &completion("again", 2, false)).0, 200);
}

#[test]
fn a_stream_outlives_the_keepers() {
    let folder = folder("outlives");
    let mut keepers = keepers(&folder, 7);
    let (_engine, addr) = fake("engine", &["--step-us", "20000"]);
    let _agent = agent_of(&folder, 7, "agent-1", &addr, "serves = demo");
    let callers = keepers[0].callers.clone();
    assert_eq!(complete(&callers, &completion("warm", 1, false)).0, 200);
    let body = completion("a long history", 150, true);
    let caller = std::thread::spawn(move || post(&callers, "/v1/completions", &body, &[]));
    std::thread::sleep(std::time::Duration::from_millis(300));
    keepers[1].process.kill();
    keepers[2].process.kill();
    let (status, body) = caller.join().expect("the caller ends");
    assert_eq!(status, 200);
    assert_eq!(streamed(&body), (::fake::answer("a long history", 150), true));
}

#[test]
fn a_process_that_missed_hundreds_of_changes_catches_up() {
    let folder = folder("missed");
    let mut keepers = keepers(&folder, 8);
    let late = (leader(&keepers) + 1) % 3;
    keepers[late].process.kill();
    let other = (late + 1) % 3;
    for version in 0..300 {
        let body = json!({ "max_tokens": version + 1 });
        assert_eq!(put(&keepers[other].operators, "model/m", version, &body).0, 200);
    }
    let again = keeper(&folder, 8, late as u8 + 1);
    until("it catches up", || has_record(&again.operators, "model/m", 300));
    until("it serves", || get(&again.operators, "/ready")["ready"] == true);
}

#[test]
fn restored_data_gets_a_new_epoch_before_it_serves() {
    let folder = folder("restore");
    let mut keepers = keepers(&folder, 9);
    put(&keepers[0].operators, "model/m", 0, &json!({ "max_tokens": 1 }));
    let before = get(&keepers[0].operators, "/dump")["keeper"]["epoch"].as_u64();
    until("all keepers have the record", || {
        keepers.iter().all(|keeper| has_record(&keeper.operators, "model/m", 1))
    });
    for keeper in &mut keepers {
        keeper.process.kill();
    }
    // One disk was copied; then all disks are lost.
    let copy = folder.join("copy");
    fs::rename(folder.join("k2").join("keeper"), &copy).expect("a copy");
    for name in ["k1", "k2", "k3"] {
        let _ = fs::remove_dir_all(folder.join(name));
    }
    let settings = keepers[0].settings.clone();
    let status = std::process::Command::new(env!("CARGO_BIN_EXE_tamarackbank"))
        .args(["restore", settings.to_str().expect("plain"), "--from"])
        .arg(&copy)
        .status();
    assert!(status.expect("runs").success());
    for keeper in &mut keepers {
        *keeper = start(keeper.settings.clone());
    }
    until("all three keepers are voters again", || {
        let dump = get(&keepers[0].operators, "/dump");
        dump["keeper"]["voters"].as_array().is_some_and(|voters| voters.len() == 3)
    });
    assert!(keepers.iter().all(|keeper| {
        until("the keeper has the record", || has_record(&keeper.operators, "model/m", 1));
        get(&keeper.operators, "/dump")["keeper"]["epoch"].as_u64() > before
    }));
    let (status, text) = put(&keepers[2].operators, "model/m", 1, &json!({ "max_tokens": 2 }));
    assert_eq!(status, 200, "{text}");
}
