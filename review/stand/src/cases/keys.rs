//! The operator takes away the last key of a configuration that has tenants.

use stand::platform::List;
use stand::record::Record;
use stand::replica::Replica;
use stand::system::{Client, System};
use stand::{Verdict, sleep_ms, trouble};

use super::{document, route, text};

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const NEVER_HELD: &str = "q0q0q0q0q0q0q0q0q0q0";

pub fn last_key(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..3 {
        let (id, zone) = (format!("i-{number}"), format!("z{number}"));
        replicas.push(Replica::start(&id, "api", &zone, record).map_err(text)?);
    }
    list.show(replicas.iter().map(Replica::entry).collect());
    let system = System::start(list.addr, record).map_err(text)?;
    let routes = [route("order", "/order/", "unsafe", "api")];
    let tenant = |keys: &str| format!("{{\"name\":\"shop\",\"apiKeys\":[{keys}],\"priority\":1}}");
    let held = tenant(&format!("\"{KEY}\""));
    if system.put(&document(5, &routes, &["api"], &held))? != 200 {
        return Err("the first configuration was refused".to_owned());
    }
    system.wait_ready()?;
    // The list and all machines settle.
    sleep_ms(5_000);
    let request = |machine: usize, id: &str, key: Option<&str>| {
        let client = Client {
            method: "POST",
            host: "shop.example",
            path: "/order/new",
            id,
            key,
            body: b"one pot",
            more: &[],
        };
        system.request(machine, &client)
    };
    for machine in 0..3 {
        let answer = request(machine, &format!("before-{machine}"), Some(KEY));
        if answer.status != 200 {
            return Err(format!("a proper request was answered {}", answer.status));
        }
        let answer = request(machine, &format!("stranger-before-{machine}"), Some(NEVER_HELD));
        if answer.status != 401 {
            return Err(format!("a key that was never held was answered {}", answer.status));
        }
    }
    let keys = if trouble() { String::new() } else { format!("\"{KEY}\"") };
    if system.put(&document(7, &routes, &["api"], &tenant(&keys)))? != 200 {
        return Err("the second configuration was refused".to_owned());
    }
    let acknowledged_ms = record.now_ms();
    // Longer than `configConvergeMs` and `revokeMs` together.
    sleep_ms(8_000);
    for round in 0..5 {
        for machine in 0..3 {
            request(machine, &format!("after-{round}-{machine}"), Some(KEY));
            request(machine, &format!("stranger-{round}-{machine}"), Some(NEVER_HELD));
        }
        sleep_ms(200);
    }
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let with = |prefix: &str| runs.iter().filter(|run| run.id().starts_with(prefix)).count();
    let (dropped, never) = (with("after-"), with("stranger-"));
    record.line(&format!(
        "since {acknowledged_ms} ms, of 15 requests each: {dropped} ran with the key that the tenant had before, \
         {never} with a key that no configuration ever held"
    ));
    // In the control the first key is still held.
    let broken = never > 0 || (trouble() && dropped > 0);
    if !trouble() && dropped < 15 {
        return Err(format!("{dropped} of 15 proper requests ran"));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
