//! A machine is killed while its request to the core is held up, and another configuration is sent to it once it is back.

use std::time::Duration;

use stand::http::call;
use stand::platform::List;
use stand::record::Record;
use stand::replica::Replica;
use stand::system::{System, put_once};
use stand::{Verdict, sleep_ms, trouble};

use super::{document, route, text};

const TENANT: &str = "{\"name\":\"shop\",\"apiKeys\":[\"nu6wsjnbanfqasnmgkcu\"],\"priority\":1}";
/// Machines without a disk, beside the three with one.
const OTHERS: usize = 4;
/// The machine that both operators choose; it has no disk.
const CHOSEN: usize = 3;
const ROUNDS: u64 = 5;

/// The versions that the machines answer reads with, 0 where a machine does not know.
fn read_back(system: &System, record: &Record) -> Vec<u64> {
    let read = |machine: &stand::system::Machine| {
        let wait = Duration::from_secs(2);
        let answer = call(machine.control(), "GET", "/v1/config/get", &[], &[], wait);
        let body = answer.text();
        let version = body.split_once("\"version\":").and_then(|(_, rest)| {
            rest.split(|sign: char| !sign.is_ascii_digit()).next()?.parse().ok()
        });
        let version = version.filter(|_| answer.status == 200).unwrap_or(0);
        record.line(&format!(
            "operator reads the configuration at {}: {}, version {version}",
            machine.name, answer.status
        ));
        version
    };
    system.machines.iter().map(read).collect()
}

pub fn late_answer(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let replica = Replica::start("i-0", "api", "z0", record).map_err(text)?;
    list.show(vec![replica.entry()]);
    let mut system = System::start_with(OTHERS, list.addr, record).map_err(text)?;
    let routes = [route("order", "/order/", "unsafe", "api")];
    let config = |version: u64| document(version, &routes, &["api"], TENANT);
    if system.put(&config(5))? != 200 {
        return Err("the first configuration was refused".to_owned());
    }
    system.wait_ready()?;
    sleep_ms(4_000);
    let mut acknowledged = 5;
    for round in 1..=ROUNDS {
        let (one, two) = (10 * round, 10 * round + 3);
        if trouble() {
            // The chosen machine has just been started, as after any restart.
            system.kill_and_restart(CHOSEN)?;
            system.wait_ready()?;
            sleep_ms(3_500);
            let leader = system.leader().ok_or("no machine leads")?;
            let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
            for number in &others {
                system.signal(*number, "STOP")?;
            }
            // The first operator gets no answer within a second.
            if system.put_once(CHOSEN, &config(one)) == 200 {
                acknowledged = acknowledged.max(one);
            }
            system.kill_and_restart(CHOSEN)?;
            sleep_ms(700);
            // The second operator sends another change to the machine that is back.
            let (control, name) =
                (system.machines[CHOSEN].control(), system.machines[CHOSEN].name.clone());
            let (document, own) = (config(two), record.clone());
            let second = std::thread::spawn(move || put_once(control, &name, &document, &own));
            sleep_ms(300);
            for number in &others {
                system.signal(*number, "CONT")?;
            }
            let status = second.join().unwrap_or_default();
            if status == 200 {
                acknowledged = acknowledged.max(two);
            }
            // The first operator sends the same again until it has a clear answer.
            if system.put(&config(one))? == 200 {
                acknowledged = acknowledged.max(one);
            }
            // So does the second one, if it has none.
            if status != 200 && system.put(&config(two))? == 200 {
                acknowledged = acknowledged.max(two);
            }
        } else {
            for version in [one, two] {
                if system.put(&config(version))? == 200 {
                    acknowledged = version;
                }
            }
        }
        record.line(&format!("the newest acknowledged configuration is {acknowledged}"));
        // Longer than `configConvergeMs`, and than `stableWindowMs` after the machines are back.
        sleep_ms(4_000);
        let versions = read_back(&system, record);
        if versions.iter().any(|version| *version > 0 && *version < acknowledged) {
            record.line(
                "a machine shows an older configuration than the newest that was acknowledged",
            );
            return Ok(Verdict::Broken);
        }
    }
    Ok(Verdict::Held)
}
