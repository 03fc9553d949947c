//! The seeds in the settings are exchanged twice, and then a key is taken away.

use stand::platform::List;
use stand::record::Record;
use stand::replica::Replica;
use stand::system::{Client, System};
use stand::{Verdict, sleep_ms, trouble};

use super::{document, route, text};

const KEPT: &str = "nu6wsjnbanfqasnmgkcu";
const REVOKED: &str = "yj8pjbvk9m68k7b2ex5w";
/// Machines with a disk, and those without one.
const CORE: [usize; 3] = [0, 1, 2];
const OTHERS: [usize; 3] = [3, 4, 5];

pub fn seeds(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..3 {
        let (id, zone) = (format!("i-{number}"), format!("z{number}"));
        replicas.push(Replica::start(&id, "api", &zone, record).map_err(text)?);
    }
    list.show(replicas.iter().map(Replica::entry).collect());
    let system = System::start_with(OTHERS.len(), list.addr, record).map_err(text)?;
    let machines = 0..CORE.len() + OTHERS.len();
    let routes = [route("order", "/order/", "unsafe", "api")];
    let tenant = |keys: &str| format!("{{\"name\":\"shop\",\"apiKeys\":[{keys}],\"priority\":1}}");
    let both = tenant(&format!("\"{KEPT}\",\"{REVOKED}\""));
    if system.put(&document(5, &routes, &["api"], &both))? != 200 {
        return Err("the first configuration was refused".to_owned());
    }
    system.wait_ready()?;
    sleep_ms(5_000);
    let request = |machine: usize, id: &str, key: &str| {
        let client = Client {
            method: "POST",
            host: "shop.example",
            path: "/order/new",
            id,
            key: Some(key),
            body: b"one pot",
            more: &[],
        };
        system.request(machine, &client).status
    };
    for machine in machines.clone() {
        let status = request(machine, &format!("before-{machine}"), REVOKED);
        if status != 200 {
            return Err(format!("a proper request was answered {status}"));
        }
    }
    for seeds in [OTHERS, CORE] {
        for machine in machines.clone() {
            // Without the disruption the files are written again as they were.
            let seeds = if trouble() { seeds } else { CORE };
            system.write_settings(machine, &seeds, false).map_err(text)?;
            system.signal(machine, "HUP")?;
        }
        record.line(&format!(
            "the settings of all machines name the seeds {seeds:?}, and they were told"
        ));
        sleep_ms(8_000);
    }
    let keys = tenant(&format!("\"{KEPT}\""));
    if system.put(&document(7, &routes, &["api"], &keys))? != 200 {
        return Err("the second configuration was refused".to_owned());
    }
    let acknowledged_ms = record.now_ms();
    // Longer than `configConvergeMs` and `revokeMs` together.
    sleep_ms(8_000);
    for round in 0..5 {
        for machine in machines.clone() {
            request(machine, &format!("after-{round}-{machine}"), REVOKED);
            request(machine, &format!("kept-{round}-{machine}"), KEPT);
        }
        sleep_ms(200);
    }
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let with = |prefix: &str| runs.iter().filter(|run| run.id().starts_with(prefix)).count();
    let (dropped, kept) = (with("after-"), with("kept-"));
    record.line(&format!(
        "the change was acknowledged at {acknowledged_ms} ms; of 30 requests each, sent 8 s later or more: \
         {dropped} ran with the key that was taken away, {kept} with the other one"
    ));
    if kept < 30 {
        return Err(format!("{kept} of 30 proper requests ran"));
    }
    Ok(if dropped > 0 { Verdict::Broken } else { Verdict::Held })
}
